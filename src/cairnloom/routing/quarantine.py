"""Requests that crash the endpoints that run them.

A request that was alone in common to several crashes is refused for a while,
wherever it is sent again: hosts share the marks. A crash that took several
endpoints of a failure domain at once marks nobody.
"""

import collections
import dataclasses
import hashlib

MARKS_TO_REFUSE = 2
TERM_SECONDS = 600.0
DOMAIN_SECONDS = 2.0
PROVISIONAL_SECONDS = 6.0
MARKS_PER_MESSAGE = 32
LARGEST_TABLE = 4096


@dataclasses.dataclass(frozen=True)
class CrashMark:
    """One crash under one request; ``age`` in seconds, for peers.

    A provisional mark tells peers at once and counts for seconds only; the
    lasting one follows when it is known that the crash came alone.
    """

    fingerprint: str
    endpoint: str
    crash_id: str
    age: float = 0.0
    provisional: bool = False

    def term(self) -> float:
        """Return how long the mark counts, in seconds."""
        return PROVISIONAL_SECONDS if self.provisional else TERM_SECONDS


@dataclasses.dataclass(frozen=True)
class BrokenAttempt:
    """An attempt that broke off with its endpoint.

    ``answering`` tells that the endpoint had begun to answer it.
    """

    endpoint: str
    failure_domain: str
    fingerprint: str
    answering: bool
    at: float


def fingerprint(team: str, body: bytes) -> str:
    """Name a request by its team and content."""
    text = team.encode() + b'\0' + body
    return hashlib.blake2b(text, digest_size=12).hexdigest()


class Quarantine:
    """Count crashes by request, here and at peers."""

    def __init__(self, host: str) -> None:
        self._host = host
        self._broken: collections.deque[BrokenAttempt] = collections.deque(
            maxlen=LARGEST_TABLE
        )
        self._marks: dict[tuple[str, str], tuple[CrashMark, float]] = {}
        self._count = 0

    def note_broken(self, broken: BrokenAttempt) -> None:
        """Note an attempt that broke off, before it is tried again."""
        self._broken.append(broken)

    def confirm_marks(self, now: float) -> None:
        """Turn breaks into marks once it is known that they came alone."""
        while self._broken and now - self._broken[0].at >= DOMAIN_SECONDS:
            broken = self._broken[0]
            if self._is_suspect(broken):
                self._mark(broken)
            self._broken.popleft()
        self._bound(now)

    def is_refused(self, request: str, now: float) -> bool:
        """Tell whether a request must not run now."""
        endpoints = {
            mark.endpoint
            for (name, _), (mark, at) in self._marks.items()
            if name == request and now - at < mark.term()
        }
        unsettled = {
            broken.endpoint
            for broken in self._broken
            if broken.fingerprint == request and self._is_suspect(broken)
        }
        return len(endpoints | unsettled) >= MARKS_TO_REFUSE

    def is_empty(self) -> bool:
        """Tell whether no request is suspected of anything."""
        return not self._marks and not self._broken

    def message(self, now: float) -> list[CrashMark]:
        """Return the newest marks, for peers."""
        newest = sorted(self._marks.values(), key=lambda item: -item[1])
        marks = [
            CrashMark(
                broken.fingerprint,
                broken.endpoint,
                '%s/%s' % (self._host, broken.endpoint),
                now - broken.at,
                provisional=True,
            )
            for broken in self._broken
            if self._is_suspect(broken)
        ]
        marks += [
            dataclasses.replace(mark, age=now - at)
            for mark, at in newest
            if not mark.provisional
        ]
        return marks[:MARKS_PER_MESSAGE]

    def merge(self, marks: list[CrashMark], now: float) -> None:
        """Take the marks of a peer."""
        for mark in marks:
            key = (mark.fingerprint, mark.crash_id)
            if key not in self._marks and mark.age < mark.term():
                self._marks[key] = (mark, now - mark.age)
        self._bound(now)

    def _is_suspect(self, broken: BrokenAttempt) -> bool:
        near = [
            other
            for other in self._broken
            if other.failure_domain == broken.failure_domain
            and abs(other.at - broken.at) < DOMAIN_SECONDS
        ]
        if any(self._is_other_cause(broken, other) for other in near):
            return False
        if not broken.answering:
            return True
        # A request that was being answered is less likely to be the cause
        # than one whose prompt the endpoint had just begun to read.
        return all(
            other.answering
            for other in near
            if other.endpoint == broken.endpoint
        )

    def _is_other_cause(
        self, broken: BrokenAttempt, other: BrokenAttempt
    ) -> bool:
        if other.endpoint == broken.endpoint:
            return False
        return other.fingerprint != broken.fingerprint

    def _mark(self, broken: BrokenAttempt) -> None:
        self._count += 1
        crash_id = '%s/%d' % (self._host, self._count)
        mark = CrashMark(broken.fingerprint, broken.endpoint, crash_id)
        self._marks[(broken.fingerprint, crash_id)] = (mark, broken.at)

    def _bound(self, now: float) -> None:
        for key, (mark, at) in list(self._marks.items()):
            if now - at >= mark.term():
                del self._marks[key]
        while len(self._marks) > LARGEST_TABLE:
            del self._marks[next(iter(self._marks))]
