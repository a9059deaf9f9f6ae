"""Decision of a host whether it calls the store itself.

Called in each synchronization round. Two hosts follow the store for all; the
others receive from hubs what has changed, and how long ago that was last read
from the store. Only if this becomes too long ago do further hosts call the
store, and only a few at a time.

Load patterns: the store refuses or answers nobody, and all hosts notice it at
once; the store rejects only some hosts, those that follow it among them; all
hosts start at the same time.
"""

import dataclasses
import enum

# How many hosts follow the store for all.
FOLLOWERS = 2
# A host that was started with addresses of others reads the store at most once
# in its first START_SECONDS, as it does not know its place among them yet. It
# does so after READ_DELAY_SECONDS, unless it has a current state by then.
START_SECONDS = 1.5
READ_DELAY_SECONDS = 0.05
# A host whose state has not been confirmed as current for this long follows
# the store itself, and does so for at least MIN_FOLLOW_SECONDS. If other hosts
# answer that the store is silent, only the next FOLLOWERS hosts do so, and as
# many again each time that the silence has doubled.
FOLLOW_AFTER_SECONDS = 1.0
MIN_FOLLOW_SECONDS = 3.0
# The shortest and the longest pause after a failed call to the store, for the
# hosts that follow it for all, and for those that do so in their place.
RETRY_SECONDS = (0.4, 1.0)
SUBSTITUTE_RETRY_SECONDS = (4.0, 8.0)


class Mode(enum.Enum):
    """How a host uses the store.

    With ``READ_ONCE`` it reads the configuration and the endpoints, and
    repeats this only if it fails.
    """

    FOLLOW = 'follow'
    READ_ONCE = 'read_once'
    NONE = 'none'


@dataclasses.dataclass(frozen=True)
class Contact:
    """What a host observes of the others and of the store.

    ``place`` is its place among the hosts in the order in which they follow
    the store, None if it is not among them because it leaves. ``is_alone`` is
    set if it knows no other host. ``answered_at`` is the time of the last
    answer of another host, and ``current_at`` the latest time at which its
    copy of the store's rows was known to be current.
    """

    place: int | None
    is_alone: bool
    answered_at: float
    current_at: float


class StoreAccess:
    """Decide whether one host calls the store.

    ``has_seeds`` is set if the host was started with addresses of others.
    ``retry_delays`` are the shortest and the longest pause, in seconds, after
    a failed call of the host. ``is_substitute`` is set if the host follows the
    store only because those that do so for all have not reached it.

    >>> access = StoreAccess(0.0, has_seeds=True)
    >>> access.choose_mode(Contact(0, True, -1.0, -1.0), 0.5).value
    'read_once'
    >>> access.choose_mode(Contact(0, False, 4.9, 4.8), 5.0).value
    'follow'
    >>> access.choose_mode(Contact(5, False, 4.9, 4.8), 5.0).value
    'none'
    """

    def __init__(self, started_at: float, has_seeds: bool) -> None:
        self._started_at = started_at
        self._has_seeds = has_seeds
        self._follow_until = float('-inf')
        self.retry_delays = RETRY_SECONDS
        self.is_substitute = False

    def choose_mode(self, contact: Contact, now: float) -> Mode:
        """Return how the host uses the store from now on."""
        age = now - self._started_at
        self.is_substitute = False
        if self._has_seeds and age < START_SECONDS:
            return Mode.READ_ONCE if age >= READ_DELAY_SECONDS else Mode.NONE
        if contact.is_alone:
            return Mode.FOLLOW
        self.retry_delays = RETRY_SECONDS
        place = contact.place
        if place is not None and place < FOLLOWERS:
            return Mode.FOLLOW
        self.retry_delays = SUBSTITUTE_RETRY_SECONDS
        silence = now - max(contact.current_at, self._started_at)
        if silence > self._find_allowed_silence(contact, now):
            self._follow_until = now + MIN_FOLLOW_SECONDS
        self.is_substitute = now - contact.answered_at < FOLLOW_AFTER_SECONDS
        return Mode.FOLLOW if now < self._follow_until else Mode.NONE

    def _find_allowed_silence(self, contact: Contact, now: float) -> float:
        last_contact = max(contact.answered_at, self._started_at)
        if now - last_contact >= FOLLOW_AFTER_SECONDS:
            return FOLLOW_AFTER_SECONDS
        if contact.place is None:
            return float('inf')
        return FOLLOW_AFTER_SECONDS * 2.0 ** (contact.place // FOLLOWERS - 1)
