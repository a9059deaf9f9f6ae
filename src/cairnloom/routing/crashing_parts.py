"""Detection of prompt parts that crash the engines that answer them.

Checked when model work is placed. No two requests with such a part need be
alike, so the quarantine of single requests does not find them. Hosts share
reports of the requests that engines had not begun to answer when they crashed,
and the times at which answers were seen to go on. A part is refused once such
requests with it were at several crashes, one after the other, and no answer to
a request with it has gone on since.
"""

import collections
import dataclasses
import hashlib
import itertools
from typing import Callable
from typing import Iterable

# A part is refused after this many crashes in a row, unless a part with more
# crashes explains them.
MIN_CRASHES = 2
# After this many crashes in a row a part is refused in any case.
CERTAIN_CRASHES = 3
# How long a part is refused after its latest crash, by the number of crashes
# beyond the first. Then one request with it is tried.
REFUSAL_SECONDS = (30.0, 120.0, 600.0)
# A trial that neither crashes an engine nor is answered is repeated after
# this time.
TRIAL_SECONDS = 10.0
# A report is dropped after this time, unless one of its parts is refused.
REPORT_SECONDS = 60.0
# A report that has refused parts is kept for this time.
REFUSED_REPORT_SECONDS = 1200.0
# All hosts know of an answer within this time. Then a report is dropped whose
# parts were all answered since.
SPREAD_SECONDS = 5.0
# How long answers are remembered for reports that arrive late.
ANSWERED_SECONDS = 10.0
# Two crashes of an engine within this time are the same crash.
SAME_CRASH_SECONDS = 2.0
MAX_REPORTS = 256
MAX_REPORTS_PER_MESSAGE = 16
MAX_ANSWERED_PARTS = 4096
# Further parts of a prompt are ignored.
MAX_PARTS = 64
# Longer names of parts are replaced by a hash.
MAX_NAME_LENGTH = 32


@dataclasses.dataclass(frozen=True)
class CrashReport:
    """A request that an engine had not begun to answer when it crashed.

    ``report_id`` is unique, ``endpoint`` identifies the run of the engine, and
    ``parts`` are the keys of the prompt parts. ``age`` is the time since the
    crash and ``sent_age`` the time since the request was sent, in seconds.
    """

    report_id: str
    endpoint: str
    parts: list[str]
    age: float
    sent_age: float


@dataclasses.dataclass(frozen=True)
class Findings:
    """What a host knows of crashes.

    ``answered`` holds, for parts in the reports, the number of seconds since
    an answer to a request with the part went on.
    """

    reports: list[CrashReport] = dataclasses.field(default_factory=list)
    answered: dict[str, float] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True)
class Refusal:
    """Parts that are refused if a prompt has all of them.

    There is more than one if no request has had only some of them.
    """

    parts: frozenset[str]
    crash_count: int
    until: float


@dataclasses.dataclass(frozen=True)
class _Crash:
    """A crash report with times of this host's clock."""

    report: CrashReport
    sent_at: float
    crashed_at: float


def make_keys(model: str, names: Iterable[str]) -> tuple[str, ...]:
    """Return keys of bounded size for the prompt parts of a request.

    >>> make_keys('m', ['5c1e07a2', '91bd3f06'])
    ('m/5c1e07a2', 'm/91bd3f06')
    """
    return tuple(
        '%s/%s' % (_shorten(model), _shorten(name))
        for name in itertools.islice(names, MAX_PARTS)
    )


def _shorten(name: str) -> str:
    if len(name) <= MAX_NAME_LENGTH:
        return name
    return hashlib.blake2b(name.encode(), digest_size=12).hexdigest()


class CrashingParts:
    """Find the prompt parts that crash engines, from the reports of all hosts.

    ``owner`` identifies the process. ``on_refused`` is called when a part
    becomes refused.

    >>> parts = CrashingParts('host-1')
    >>> for number in (1, 2):
    ...     endpoint = 'engine-%d' % number
    ...     _ = parts.note_crash(endpoint, ('a', 'b'), number, number + 0.5)
    >>> parts.is_refused(('a', 'b'), 3.0)
    True
    >>> parts.is_refused(('a', 'c'), 3.0)
    False
    """

    def __init__(self, owner: str) -> None:
        self._owner = owner
        self._report_count = 0
        self._crashes: dict[str, _Crash] = {}
        self._answered_at: collections.OrderedDict[str, float] = (
            collections.OrderedDict()
        )
        self._refusals: list[Refusal] = []
        self._suspects: set[str] = set()
        self._tried_at: dict[frozenset[str], float] = {}
        self._is_stale = False
        self.on_refused: Callable[[Refusal], None] = lambda refusal: None

    def note_crash(
        self,
        endpoint: str,
        parts: tuple[str, ...],
        sent_at: float,
        now: float,
    ) -> CrashReport:
        """Record a request that was not being answered at a crash."""
        self._report_count += 1
        report = CrashReport(
            '%s/%d' % (self._owner, self._report_count),
            endpoint,
            list(parts),
            0.0,
            now - sent_at,
        )
        self.merge(Findings([report]), now)
        return report

    def note_answered(self, parts: tuple[str, ...], now: float) -> None:
        """Record that an answer to a request with these parts goes on."""
        for part in parts:
            self._set_answered(part, now)

    def merge(self, findings: Findings, now: float) -> None:
        """Add what another host has found."""
        for report in findings.reports:
            if not report.parts or report.age >= REFUSED_REPORT_SECONDS:
                continue
            crash = _Crash(report, now - report.sent_age, now - report.age)
            known_crash = self._crashes.get(report.report_id)
            # A late message makes the crash appear later than it was.
            if (
                known_crash is None
                or crash.crashed_at < known_crash.crashed_at
            ):
                self._crashes[report.report_id] = crash
                self._is_stale = True
        for part, age in findings.answered.items():
            self._set_answered(part, now - age)

    def list_findings(self, now: float) -> Findings:
        """Return what other hosts need to know.

        The reports on which refusals are based come first, as only the first
        MAX_REPORTS_PER_MESSAGE are sent.
        """
        if not self._crashes:
            return Findings()
        self._update()
        refused_parts = {
            part for refusal in self._refusals for part in refusal.parts
        }
        crashes = sorted(
            (
                crash
                for crash in self._crashes.values()
                if self._list_suspects(crash)
            ),
            key=lambda crash: -crash.crashed_at,
        )
        chained_ids = {
            crash.report.report_id
            for part in refused_parts
            for crash in _find_chain(
                [crash for crash in crashes if part in crash.report.parts]
            )
        }
        crashes.sort(
            key=lambda crash: crash.report.report_id not in chained_ids
        )
        known_parts = {
            part
            for crash in self._crashes.values()
            for part in crash.report.parts
        }
        return Findings(
            [
                dataclasses.replace(
                    crash.report,
                    age=now - crash.crashed_at,
                    sent_age=now - crash.sent_at,
                )
                for crash in crashes[:MAX_REPORTS_PER_MESSAGE]
            ],
            {
                part: now - self._answered_at[part]
                for part in known_parts
                if part in self._answered_at
            },
        )

    def find_refusal(
        self, parts: tuple[str, ...], now: float, may_try: bool = False
    ) -> Refusal | None:
        """Return why a request with these parts must not be sent, or None.

        With ``may_try`` a request is let through once a refusal is over, to
        see whether its parts still crash engines. Only one host should try,
        or many engines could crash at once.
        """
        if not self._crashes:
            return None
        self._update()
        for refusal in self._refusals:
            if not refusal.parts <= set(parts):
                continue
            retry_at = max(
                refusal.until,
                self._tried_at.get(refusal.parts, float('-inf'))
                + TRIAL_SECONDS,
            )
            if not may_try or now < retry_at:
                return refusal
            self._tried_at[refusal.parts] = now
        return None

    def is_refused(self, parts: tuple[str, ...], now: float) -> bool:
        """Return whether a request with these parts must not be sent."""
        return self.find_refusal(parts, now) is not None

    def list_refusals(self) -> list[Refusal]:
        """Return all present refusals."""
        self._update()
        return list(self._refusals)

    def remove_expired(self, now: float) -> None:
        """Drop the reports that no longer matter."""
        self._update()
        lifetimes = {
            report_id: self._get_lifetime_seconds(crash)
            for report_id, crash in self._crashes.items()
        }
        expired_ids = [
            report_id
            for report_id, crash in self._crashes.items()
            if now - crash.crashed_at >= lifetimes[report_id]
        ]
        excess_count = len(lifetimes) - len(expired_ids) - MAX_REPORTS
        if excess_count > 0:
            # Those with the shortest lifetime are dropped first.
            kept_ids = lifetimes.keys() - set(expired_ids)
            expired_ids += sorted(kept_ids, key=lifetimes.__getitem__)[
                :excess_count
            ]
        for report_id in expired_ids:
            del self._crashes[report_id]
            self._is_stale = True
        present_refusals = {refusal.parts for refusal in self._refusals}
        for parts in self._tried_at.keys() - present_refusals:
            del self._tried_at[parts]
        self._forget_old_answers(now)

    def _get_lifetime_seconds(self, crash: _Crash) -> float:
        suspects = self._list_suspects(crash)
        if not suspects:
            return SPREAD_SECONDS
        if any(refusal.parts & set(suspects) for refusal in self._refusals):
            return REFUSED_REPORT_SECONDS
        return REPORT_SECONDS

    def _forget_old_answers(self, now: float) -> None:
        reported_parts = {
            part
            for crash in self._crashes.values()
            for part in crash.report.parts
        }
        for part, answered_at in list(self._answered_at.items()):
            if now - answered_at < ANSWERED_SECONDS:
                break
            if part not in reported_parts:
                del self._answered_at[part]

    def _set_answered(self, part: str, answered_at: float) -> None:
        if answered_at <= self._answered_at.get(part, float('-inf')):
            return
        self._answered_at[part] = answered_at
        self._answered_at.move_to_end(part)
        if len(self._answered_at) > MAX_ANSWERED_PARTS:
            self._answered_at.popitem(last=False)
        if part in self._suspects:
            self._is_stale = True

    def _list_suspects(self, crash: _Crash) -> list[str]:
        """Return the parts of a report that were not answered since."""
        return [
            part
            for part in crash.report.parts
            if self._answered_at.get(part, float('-inf')) <= crash.crashed_at
        ]

    def _update(self) -> None:
        """Find the refused parts again after a change."""
        if not self._is_stale:
            return
        self._is_stale = False
        known_parts = {
            part for refusal in self._refusals for part in refusal.parts
        }
        self._refusals = self._find_refusals()
        for refusal in self._refusals:
            if not refusal.parts <= known_parts:
                self.on_refused(refusal)

    def _find_refusals(self) -> list[Refusal]:
        crashes_by_part: dict[str, list[_Crash]] = {}
        for crash in self._crashes.values():
            for part in self._list_suspects(crash):
                crashes_by_part.setdefault(part, []).append(crash)
        self._suspects = set(crashes_by_part)
        chain_lengths = {
            part: len(_find_chain(crashes))
            for part, crashes in crashes_by_part.items()
        }
        refusals: dict[frozenset[str], Refusal] = {}
        for part, length in chain_lengths.items():
            if length < MIN_CRASHES:
                continue
            evidence = crashes_by_part[part]
            if length < CERTAIN_CRASHES:
                evidence = [
                    crash
                    for crash in evidence
                    if not self._is_explained(crash, length, chain_lengths)
                ]
                if len(_find_chain(evidence)) < MIN_CRASHES:
                    continue
            refusal = self._build_refusal(evidence)
            refusals[refusal.parts] = refusal
        return list(refusals.values())

    def _is_explained(
        self, crash: _Crash, length: int, chain_lengths: dict[str, int]
    ) -> bool:
        """Return whether a part with more crashes was at the same crash."""
        return any(
            chain_lengths.get(part, 0) > length
            for other_crash in self._crashes.values()
            if other_crash.report.endpoint == crash.report.endpoint
            and abs(other_crash.crashed_at - crash.crashed_at)
            < SAME_CRASH_SECONDS
            for part in self._list_suspects(other_crash)
        )

    def _build_refusal(self, evidence: list[_Crash]) -> Refusal:
        common_parts = set.intersection(
            *(set(self._list_suspects(crash)) for crash in evidence)
        )
        crash_count = _count_crashes(evidence)
        step = min(crash_count - MIN_CRASHES, len(REFUSAL_SECONDS) - 1)
        latest_crash_at = max(crash.crashed_at for crash in evidence)
        return Refusal(
            frozenset(common_parts),
            crash_count,
            latest_crash_at + REFUSAL_SECONDS[step],
        )


def _count_crashes(reports: list[_Crash]) -> int:
    """Return the number of crashes that several reports tell of."""
    last_crash_at: dict[str, float] = {}
    count = 0
    for crash in sorted(reports, key=lambda crash: crash.crashed_at):
        endpoint = crash.report.endpoint
        previous_at = last_crash_at.get(endpoint, float('-inf'))
        if crash.crashed_at - previous_at >= SAME_CRASH_SECONDS:
            count += 1
        last_crash_at[endpoint] = crash.crashed_at
    return count


def _find_chain(crashes: list[_Crash]) -> list[_Crash]:
    """Return the longest sequence of crashes that are independent evidence.

    Each request was sent after the crash before, and to another engine.
    Requests that were all sent before the first crash may be the victims of
    an outage.
    """
    chain: list[_Crash] = []
    endpoints: set[str] = set()
    for crash in sorted(crashes, key=lambda crash: crash.crashed_at):
        if crash.report.endpoint in endpoints:
            continue
        if not chain or crash.sent_at >= chain[-1].crashed_at:
            chain.append(crash)
            endpoints.add(crash.report.endpoint)
    return chain
