"""The record in the store of the software versions that services have had.

Part of the third stage of a request that takes a stream up. Hosts that were
started after a stream had begun can't have observed which versions served
then. Hubs therefore keep a row with the versions that are listed, those that
were listed in the recent past, and since when this is recorded.
"""

import dataclasses

from ..coordination import actions
from ..coordination import events
from ..coordination import rows
from ..protocol import codec
from ..routing import stream_versions

KEY = 'versions/services'


@dataclasses.dataclass(frozen=True)
class ServiceVersions:
    """The versions of a service; times are in seconds on the store's clock.

    ``since`` is the beginning of the record. ``listed`` are the versions that
    are listed at present, and ``past`` holds the times at which earlier ones
    were found to be no longer listed.
    """

    since: float
    listed: list[str]
    past: dict[str, float] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True)
class VersionsRow:
    """The row of the record."""

    services: dict[str, ServiceVersions] = dataclasses.field(
        default_factory=dict
    )


@dataclasses.dataclass(frozen=True)
class Observation:
    """What this host observes now.

    ``store_ahead`` is how far the store's clock is ahead of this host's steady
    clock, and ``era`` the store's era. ``listed`` holds the versions of the
    endpoints of each service, None among them if one is not known.
    """

    now: float
    store_ahead: float
    era: int
    listed: dict[str, set[str | None]]


class VersionRecord:
    """Keeps the record, and adds what it says to this host's history."""

    def __init__(
        self, owner: str, history: stream_versions.VersionHistory
    ) -> None:
        self._owner = owner
        self._history = history
        self._row: rows.Row | None = None
        self._observation: Observation | None = None
        self._write_count = 0

    def begin(self, observation: Observation) -> list[actions.TableAction]:
        """Return the first action of a round: to read or write the row."""
        self._observation = observation
        if self._row is not None and self._row.era == observation.era:
            return self._write_if_changed(self._row, observation)
        return [actions.Read(KEY)]

    def forget_row(self) -> None:
        """Have the next round read the row again."""
        self._row = None

    def is_read(self) -> bool:
        """Return whether the row has been read since it was forgotten."""
        return self._row is not None

    def step(self, event: events.TableEvent) -> list[actions.TableAction]:
        """Process the result of a call; return the next actions."""
        observation = self._observation
        match event:
            case events.ReadDone(row=row) if observation is not None:
                self._row = row
                self._add_to_history(_decode(row), observation)
                return self._write_if_changed(row, observation)
            case events.CommitDone(versions=versions, era=era):
                if self._row is not None:
                    self._row = dataclasses.replace(
                        self._row, version=versions[KEY], era=era
                    )
            case (
                events.CommitConflict()
                | events.CommitUnknown()
                | events.CommitFailed()
            ):
                # The next round reads the row again.
                self._row = None
        return []

    def _write_if_changed(
        self, row: rows.Row, observation: Observation
    ) -> list[actions.TableAction]:
        recorded = _decode(row).services
        updated = dict(recorded)
        for service, versions in observation.listed.items():
            if None not in versions:
                updated[service] = self._update(
                    service, recorded.get(service), observation
                )
        if all(
            service in recorded and recorded[service].listed == entry.listed
            for service, entry in updated.items()
        ):
            return []
        self._write_count += 1
        write_id = '%s/v%d' % (self._owner, self._write_count)
        value = codec.encode_value(VersionsRow(updated))
        self._row = dataclasses.replace(row, value=value)
        return [
            actions.Commit(
                rows.Transaction(
                    write_id,
                    [rows.Write(KEY, value, row.version)],
                    era=row.era,
                )
            )
        ]

    def _update(
        self,
        service: str,
        recorded: ServiceVersions | None,
        observation: Observation,
    ) -> ServiceVersions:
        store_now = observation.now + observation.store_ahead
        listed = sorted(
            version
            for version in observation.listed[service]
            if version is not None
        )
        if recorded is None:
            watched_since = self._history.find_start(service, observation.now)
            return ServiceVersions(
                watched_since + observation.store_ahead, listed
            )
        past = {
            version: store_now
            for version in recorded.listed
            if version not in listed
        }
        for version, ended_at in recorded.past.items():
            is_recent = store_now - ended_at < stream_versions.STREAM_SECONDS
            if is_recent and version not in listed:
                past.setdefault(version, ended_at)
        return ServiceVersions(recorded.since, listed, past)

    def _add_to_history(
        self, recorded: VersionsRow, observation: Observation
    ) -> None:
        ahead = observation.store_ahead
        for service, entry in recorded.services.items():
            listed_at = {
                version: ended_at - ahead
                for version, ended_at in entry.past.items()
            }
            listed_at |= dict.fromkeys(entry.listed, observation.now)
            self._history.merge(service, entry.since - ahead, listed_at)


def _decode(row: rows.Row) -> VersionsRow:
    if row.value is None:
        return VersionsRow()
    return codec.decode_value(VersionsRow, row.value)
