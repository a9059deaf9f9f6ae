"""Quarantine of requests that crash the endpoints that run them.

Checked before a request is sent. A request that may have crashed several
endpoints is refused for a while on every host, since hosts share their crash
marks. When several endpoints of a failure domain crash at once, none of their
requests is marked, since an outage of the domain is the likely cause.

A broken connection alone is no crash: an answer may have been lost. A request
stays marked only if its endpoint could not be reached after that, or if its
run is soon found to have ended. An answer to the same request acquits it, on
all hosts.
"""

import collections
import dataclasses
import hashlib
from typing import Callable

# A request is refused once it may have crashed this many endpoints.
MIN_CRASHES = 2
MARK_SECONDS = 600.0
# Crashes of several endpoints of a failure domain within this time count as an
# outage of the domain.
DOMAIN_OUTAGE_SECONDS = 2.0
# A crashed endpoint is known to have ended within this time: its row is
# removed, or that of its next run is written.
EVIDENCE_SECONDS = 5.0
PROVISIONAL_MARK_SECONDS = 6.0
# An acquittal is kept for as long as hosts may pass on older marks.
ACQUITTAL_SECONDS = 30.0
MARKS_PER_MESSAGE = 32
MAX_ENTRIES = 4096


@dataclasses.dataclass(frozen=True)
class CrashMark:
    """One crash of an endpoint that a request may have caused.

    ``age`` is the time since the crash in seconds. A provisional mark is sent
    to peers at once and expires within seconds. The final mark follows once it
    is clear that the crash was not part of an outage of the failure domain.
    """

    fingerprint: str
    endpoint: str
    crash_id: str
    age: float = 0.0
    provisional: bool = False

    def get_lifetime_seconds(self) -> float:
        """Return the seconds after which the mark expires."""
        return PROVISIONAL_MARK_SECONDS if self.provisional else MARK_SECONDS


@dataclasses.dataclass(frozen=True)
class BrokenAttempt:
    """An attempt whose connection was lost, as after a crash of its endpoint.

    ``answering`` is true if the endpoint had begun to answer it. ``run_key``
    names the run of the endpoint, empty if its runs can't be told apart.
    """

    endpoint: str
    failure_domain: str
    fingerprint: str
    answering: bool
    at: float
    run_key: str = ''


@dataclasses.dataclass(frozen=True)
class Acquittal:
    """A request that an endpoint has answered ``age`` seconds ago."""

    fingerprint: str
    age: float


def fingerprint(team: str, *content: bytes) -> str:
    """Return a hash that identifies a request by team and content."""
    digest = hashlib.blake2b(team.encode() + b'\0', digest_size=12)
    for part in content:
        digest.update(part)
    return digest.hexdigest()


class Quarantine:
    """Counts the crashes that each request may have caused, on all hosts.

    ``is_running`` returns whether a run of an endpoint, given by its key, is
    still known to run.
    """

    def __init__(
        self,
        host: str,
        is_running: Callable[[str], bool] = lambda run_key: False,
    ) -> None:
        self._host = host
        self._is_running = is_running
        self._acquitted_at: collections.OrderedDict[str, float] = (
            collections.OrderedDict()
        )
        self._unconfirmed_attempts: collections.deque[BrokenAttempt] = (
            collections.deque(maxlen=MAX_ENTRIES)
        )
        self._marks: dict[tuple[str, str], tuple[CrashMark, float]] = {}
        self._crash_count = 0
        self._judgements: collections.Counter[str] = collections.Counter()

    def begin_judgement(self, request_fingerprint: str) -> None:
        """Remember answers to a request from now on.

        Called when a connection is lost, as it takes a while until it is known
        whether the endpoint is at fault.
        """
        self._judgements[request_fingerprint] += 1

    def end_judgement(self, request_fingerprint: str) -> None:
        """End what :meth:`begin_judgement` has begun."""
        self._judgements[request_fingerprint] -= 1
        if self._judgements[request_fingerprint] <= 0:
            del self._judgements[request_fingerprint]

    def note_broken(self, attempt: BrokenAttempt) -> None:
        """Record a broken attempt, unless the request was answered since."""
        acquitted_at = self._acquitted_at.get(attempt.fingerprint)
        if acquitted_at is None or attempt.at > acquitted_at:
            self._unconfirmed_attempts.append(attempt)

    def note_answered(self, request_fingerprint: str, now: float) -> None:
        """Record that an endpoint has answered a request.

        Crashes for which it is blamed until then had another cause.
        """
        if not self.is_empty():
            self._acquit(request_fingerprint, now)

    def confirm_marks(self, now: float) -> None:
        """Mark the requests whose endpoints have crashed, but in no outage.

        Each broken attempt is judged after the time within which an outage
        would have crashed other endpoints of its failure domain as well, and
        within which the end of its endpoint's run becomes known.
        """
        judged_seconds = max(DOMAIN_OUTAGE_SECONDS, EVIDENCE_SECONDS)
        while (
            self._unconfirmed_attempts
            and now - self._unconfirmed_attempts[0].at >= judged_seconds
        ):
            attempt = self._unconfirmed_attempts[0]
            if self._is_suspect(attempt) and not self._has_survived(attempt):
                self._mark_request(attempt)
            self._unconfirmed_attempts.popleft()
        self._drop_old_marks(now)

    def is_refused(self, request_fingerprint: str, now: float) -> bool:
        """Return whether a request must not be sent now."""
        marked_endpoints = {
            mark.endpoint
            for (marked_fingerprint, _), (
                mark,
                crashed_at,
            ) in self._marks.items()
            if marked_fingerprint == request_fingerprint
            and now - crashed_at < mark.get_lifetime_seconds()
        }
        unconfirmed_endpoints = {
            attempt.endpoint
            for attempt in self._unconfirmed_attempts
            if attempt.fingerprint == request_fingerprint
            and self._is_suspect(attempt)
        }
        return len(marked_endpoints | unconfirmed_endpoints) >= MIN_CRASHES

    def is_empty(self) -> bool:
        """Return whether no request is suspected of a crash."""
        return not (
            self._marks or self._unconfirmed_attempts or self._judgements
        )

    def list_newest_marks(self, now: float) -> list[CrashMark]:
        """Return the newest marks, to send to peers."""
        newest_marks = sorted(
            self._marks.values(), key=lambda mark_and_time: -mark_and_time[1]
        )
        marks = [
            CrashMark(
                attempt.fingerprint,
                attempt.endpoint,
                '%s/%s' % (self._host, attempt.endpoint),
                now - attempt.at,
                provisional=True,
            )
            for attempt in self._unconfirmed_attempts
            if self._is_suspect(attempt)
        ]
        marks += [
            dataclasses.replace(mark, age=now - crashed_at)
            for mark, crashed_at in newest_marks
            if not mark.provisional
        ]
        return marks[:MARKS_PER_MESSAGE]

    def list_acquittals(self, now: float) -> list[Acquittal]:
        """Return the newest acquittals, to send to peers."""
        newest = list(self._acquitted_at.items())[-MARKS_PER_MESSAGE:]
        return [
            Acquittal(request_fingerprint, now - acquitted_at)
            for request_fingerprint, acquitted_at in newest
        ]

    def merge(
        self,
        marks: list[CrashMark],
        now: float,
        acquittals: list[Acquittal] | None = None,
    ) -> None:
        """Merge the marks and the acquittals of a peer."""
        for acquittal in acquittals or ():
            if acquittal.age < ACQUITTAL_SECONDS:
                self._acquit(acquittal.fingerprint, now - acquittal.age)
        for mark in marks:
            key = (mark.fingerprint, mark.crash_id)
            crashed_at = now - mark.age
            acquitted_at = self._acquitted_at.get(
                mark.fingerprint, float('-inf')
            )
            if (
                key not in self._marks
                and mark.age < mark.get_lifetime_seconds()
                and crashed_at > acquitted_at
            ):
                self._marks[key] = (mark, crashed_at)
        self._drop_old_marks(now)

    def _acquit(self, request_fingerprint: str, at: float) -> None:
        """Drop what a request is blamed for up to a time."""
        blamed_marks = [
            key
            for key, (_, crashed_at) in self._marks.items()
            if key[0] == request_fingerprint and crashed_at <= at
        ]
        for key in blamed_marks:
            del self._marks[key]
        kept_attempts = [
            attempt
            for attempt in self._unconfirmed_attempts
            if attempt.fingerprint != request_fingerprint or attempt.at > at
        ]
        has_dropped = len(kept_attempts) < len(self._unconfirmed_attempts)
        is_judged = request_fingerprint in self._judgements
        if blamed_marks or has_dropped or is_judged:
            self._unconfirmed_attempts.clear()
            self._unconfirmed_attempts.extend(kept_attempts)
            self._acquitted_at[request_fingerprint] = max(
                at, self._acquitted_at.get(request_fingerprint, at)
            )
            self._acquitted_at.move_to_end(request_fingerprint)

    def _has_survived(self, attempt: BrokenAttempt) -> bool:
        """Return whether the endpoint still runs after a lost connection."""
        return bool(attempt.run_key) and self._is_running(attempt.run_key)

    def _is_suspect(self, attempt: BrokenAttempt) -> bool:
        simultaneous_attempts = [
            other_attempt
            for other_attempt in self._unconfirmed_attempts
            if other_attempt.failure_domain == attempt.failure_domain
            and abs(other_attempt.at - attempt.at) < DOMAIN_OUTAGE_SECONDS
        ]
        if any(
            self._suggests_outage(attempt, other_attempt)
            for other_attempt in simultaneous_attempts
        ):
            return False
        if not attempt.answering:
            return True
        # A request that was already being answered is less likely to be the
        # cause than one that the endpoint had just begun to process.
        return all(
            other_attempt.answering
            for other_attempt in simultaneous_attempts
            if other_attempt.endpoint == attempt.endpoint
        )

    def _suggests_outage(
        self, attempt: BrokenAttempt, other_attempt: BrokenAttempt
    ) -> bool:
        if other_attempt.endpoint == attempt.endpoint:
            return False
        return other_attempt.fingerprint != attempt.fingerprint

    def _mark_request(self, attempt: BrokenAttempt) -> None:
        self._crash_count += 1
        crash_id = '%s/%d' % (self._host, self._crash_count)
        mark = CrashMark(attempt.fingerprint, attempt.endpoint, crash_id)
        self._marks[(attempt.fingerprint, crash_id)] = (mark, attempt.at)

    def _drop_old_marks(self, now: float) -> None:
        for key, (mark, crashed_at) in list(self._marks.items()):
            if now - crashed_at >= mark.get_lifetime_seconds():
                del self._marks[key]
        while len(self._marks) > MAX_ENTRIES:
            del self._marks[next(iter(self._marks))]
        for request_fingerprint, at in list(self._acquitted_at.items()):
            if now - at >= ACQUITTAL_SECONDS:
                del self._acquitted_at[request_fingerprint]
        while len(self._acquitted_at) > MAX_ENTRIES:
            self._acquitted_at.popitem(last=False)
