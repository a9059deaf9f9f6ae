"""The reporter's side of usage windows: seal, add up, report once.

Comes after :mod:`.usage`, whose parts it closes and adds up.
"""

import dataclasses

from ..protocol import codec

from . import actions
from . import events
from . import leases
from . import rows
from . import usage


@dataclasses.dataclass(frozen=True)
class SendReport:
    """Send these figures; they stand in the table already."""

    report: usage.UsageReport


@dataclasses.dataclass(frozen=True)
class ReportAccepted:
    """The intake took the report of a window."""

    window: int


class WindowSealer:
    """The reporter's side of one window: seal, add up, report.

    Each step follows from the window's row, so a successor goes on where
    the former holder of the lease stopped.
    """

    def __init__(self, owner: str, window: int) -> None:
        self.window = window
        self.done = False
        self._owner = owner
        self._row = rows.Row(usage.window_key(window))
        self._writes = 0

    def start(self) -> list[actions.TableAction]:
        """Look where this window stands."""
        return [actions.Read(usage.window_key(self.window))]

    def step(
        self,
        event: events.TableEvent | ReportAccepted,
        authority: leases.Authority | None,
    ) -> list[actions.TableAction | SendReport]:
        """Take one event under the authority held now, if any."""
        if authority is None:
            return []
        match event:
            case events.ReadDone(row=row):
                self._row = row
                return self._go_on(authority)
            case events.CommitDone():
                return [actions.Read(usage.window_key(self.window))]
            case events.CommitConflict() | events.CommitUnknown():
                return [actions.Read(usage.window_key(self.window))]
            case events.ScanDone(rows=parts):
                return [self._write_figures(parts, authority)]
            case ReportAccepted():
                return [self._write_reported(authority)]
            case _:
                return []

    def _go_on(
        self, authority: leases.Authority
    ) -> list[actions.TableAction | SendReport]:
        if self._row.version == rows.ABSENT:
            return [
                self._write(
                    usage.WindowRow('sealed', authority.fence), authority
                )
            ]
        value = self._value()
        match value.state:
            case 'sealed':
                return [actions.Scan(usage.part_prefix(self.window))]
            case 'final':
                return [self._report(value, authority)]
            case 'reported':
                self.done = True
        return []

    def _report(
        self, value: usage.WindowRow, authority: leases.Authority
    ) -> SendReport:
        return SendReport(
            usage.UsageReport(self.window, authority.fence, value.teams)
        )

    def _write_figures(
        self, parts: list[rows.Row], authority: leases.Authority
    ) -> actions.Commit:
        teams: dict[str, usage.UsageCounts] = {}
        for part in parts:
            usage.merge(
                teams, codec.decode_value(usage.PartRow, part.value).teams
            )
        return self._write(
            usage.WindowRow('final', authority.fence, teams), authority
        )

    def _write_reported(self, authority: leases.Authority) -> actions.Commit:
        value = dataclasses.replace(self._value(), state='reported')
        return self._write(value, authority)

    def _value(self) -> usage.WindowRow:
        return codec.decode_value(usage.WindowRow, self._row.value)

    def _write(
        self, value: usage.WindowRow, authority: leases.Authority
    ) -> actions.Commit:
        self._writes += 1
        write_id = '%s/w%d.%d' % (self._owner, self.window, self._writes)
        write = rows.Write(
            self._row.key, codec.encode_value(value), self._row.version
        )
        return actions.Commit(
            rows.Transaction(write_id, [write], [authority.check])
        )
