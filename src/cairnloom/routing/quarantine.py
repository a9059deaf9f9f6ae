"""Quarantine of requests that crash the endpoints that run them.

Checked before a request is sent. A request that may have crashed several
endpoints is refused for a while on every host, since hosts share their crash
marks. When several endpoints of a failure domain crash at once, none of their
requests is marked, since an outage of the domain is the likely cause.
"""

import collections
import dataclasses
import hashlib

# A request is refused once it may have crashed this many endpoints.
MIN_CRASHES = 2
MARK_SECONDS = 600.0
# Crashes of several endpoints of a failure domain within this time count as an
# outage of the domain.
DOMAIN_OUTAGE_SECONDS = 2.0
PROVISIONAL_MARK_SECONDS = 6.0
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
    """An attempt that broke off because its endpoint crashed.

    ``answering`` is true if the endpoint had begun to answer it.
    """

    endpoint: str
    failure_domain: str
    fingerprint: str
    answering: bool
    at: float


def fingerprint(team: str, body: bytes) -> str:
    """Return a hash that identifies a request by team and content."""
    text = team.encode() + b'\0' + body
    return hashlib.blake2b(text, digest_size=12).hexdigest()


class Quarantine:
    """Counts the crashes that each request may have caused, on all hosts."""

    def __init__(self, host: str) -> None:
        self._host = host
        self._unconfirmed_attempts: collections.deque[BrokenAttempt] = (
            collections.deque(maxlen=MAX_ENTRIES)
        )
        self._marks: dict[tuple[str, str], tuple[CrashMark, float]] = {}
        self._crash_count = 0

    def note_broken(self, attempt: BrokenAttempt) -> None:
        """Record a broken attempt, before the request is sent again."""
        self._unconfirmed_attempts.append(attempt)

    def confirm_marks(self, now: float) -> None:
        """Mark the requests whose endpoints did not crash in an outage.

        Each broken attempt is judged after the time within which an outage
        would have crashed other endpoints of its failure domain as well.
        """
        while (
            self._unconfirmed_attempts
            and now - self._unconfirmed_attempts[0].at >= DOMAIN_OUTAGE_SECONDS
        ):
            attempt = self._unconfirmed_attempts[0]
            if self._is_suspect(attempt):
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
        return not self._marks and not self._unconfirmed_attempts

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

    def merge(self, marks: list[CrashMark], now: float) -> None:
        """Merge the marks of a peer."""
        for mark in marks:
            key = (mark.fingerprint, mark.crash_id)
            if (
                key not in self._marks
                and mark.age < mark.get_lifetime_seconds()
            ):
                self._marks[key] = (mark, now - mark.age)
        self._drop_old_marks(now)

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
