"""Sealing of usage windows: close a window, add up its parts, report it once.

The reporter uses this module. It is the stage after :mod:`.usage`, which
writes the parts of a window.
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
    """Send this report; its totals are already stored in the table."""

    report: usage.UsageReport


@dataclasses.dataclass(frozen=True)
class ReportAccepted:
    """The platform's usage service accepted the report of a window."""

    window: int


class WindowSealer:
    """Seals one window, adds up its parts and reports the totals.

    Each step is chosen from the state stored in the window's row, so the next
    holder of the lease continues where the previous one stopped. If
    ``may_be_reported`` is set, the table may have lost that the window was
    reported. It is then reported only if the totals are still stored, and
    otherwise ``given_up``.
    """

    def __init__(
        self, owner: str, window: int, may_be_reported: bool = False
    ) -> None:
        self.window = window
        self.done = False
        self.given_up = False
        self._owner = owner
        self._may_be_reported = may_be_reported
        self._row = rows.Row(usage.window_key(window))
        self._write_count = 0

    @property
    def value(self) -> usage.WindowRow:
        """The window's row as it was read last."""
        return self._decode_row()

    def start(self) -> list[actions.TableAction]:
        """Begin by reading the state of this window."""
        return [actions.Read(usage.window_key(self.window))]

    def step(
        self,
        event: events.TableEvent | ReportAccepted,
        authority: leases.Authority | None,
    ) -> list[actions.TableAction | SendReport]:
        """Process one event and return the actions to carry out.

        Without ``authority``, that is, without the lease, nothing is done.
        """
        if authority is None:
            return []
        match event:
            case events.ReadDone(row=row):
                self._row = row
                if row.era != authority.era:
                    # The lease has to be taken over in the new era first.
                    return []
                return self._continue_from_row(authority)
            case events.CommitDone():
                return [actions.Read(usage.window_key(self.window))]
            case events.CommitConflict() | events.CommitUnknown():
                return [actions.Read(usage.window_key(self.window))]
            case events.ScanDone(rows=parts):
                return [self._write_totals(parts, authority)]
            case ReportAccepted():
                return [self._write_reported(authority)]
            case _:
                return []

    def _continue_from_row(
        self, authority: leases.Authority
    ) -> list[actions.TableAction | SendReport]:
        value = self._decode_row()
        match value.state:
            case 'open' | 'sealed' if self._may_be_reported:
                self.done = self.given_up = True
            case 'open':
                sealed_row = usage.WindowRow('sealed', authority.fence)
                return [self._write(sealed_row, authority)]
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

    def _write_totals(
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
        value = dataclasses.replace(self._decode_row(), state='reported')
        return self._write(value, authority)

    def _decode_row(self) -> usage.WindowRow:
        if self._row.value is None:
            return usage.WindowRow('open', 0)
        return codec.decode_value(usage.WindowRow, self._row.value)

    def _write(
        self, value: usage.WindowRow, authority: leases.Authority
    ) -> actions.Commit:
        self._write_count += 1
        write_id = '%s/w%d.%d' % (self._owner, self.window, self._write_count)
        write = rows.Write(
            self._row.key, codec.encode_value(value), self._row.version
        )
        return actions.Commit(
            rows.Transaction(
                write_id, [write], [authority.check], authority.era
            )
        )


class WindowRestorer:
    """Writes the row of a window again after the table has lost it.

    ``value`` is what this process knows to have been written, or sent.
    """

    def __init__(
        self, owner: str, window: int, value: usage.WindowRow
    ) -> None:
        self.done = False
        self._owner = owner
        self._window = window
        self._value = value
        self._write_count = 0

    def start(self) -> list[actions.TableAction]:
        """Begin by reading what the table has of the window."""
        return [actions.Read(usage.window_key(self._window))]

    def step(
        self, event: events.TableEvent, authority: leases.Authority | None
    ) -> list[actions.TableAction]:
        """Process one event and return the actions to carry out."""
        if authority is None:
            return []
        match event:
            case events.ReadDone(row=row) if row.era == authority.era:
                return self._handle_row(row, authority)
            case events.CommitDone():
                self.done = True
            case events.CommitConflict() | events.CommitUnknown():
                return self.start()
        return []

    def _handle_row(
        self, row: rows.Row, authority: leases.Authority
    ) -> list[actions.TableAction]:
        value = codec.encode_value(self._value)
        if row.value == value:
            self.done = True
            return []
        self._write_count += 1
        write_id = '%s/r%d.%d.%d' % (
            self._owner,
            row.era,
            self._window,
            self._write_count,
        )
        write = rows.Write(row.key, value, row.version)
        return [
            actions.Commit(
                rows.Transaction(
                    write_id, [write], [authority.check], authority.era
                )
            )
        ]
