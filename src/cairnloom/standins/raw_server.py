"""Stand-in for a server that breaks the protocol.

It writes prepared bytes for each request, at any moment of its upload, and
then ends the connection in a given way. No HTTP library would send most of
these answers.
"""

import collections
import dataclasses
import re
from typing import Any
from typing import Literal

from twisted.internet import protocol
from twisted.python import failure

# Stands for the id of the request in the bytes of an answer.
ID_PLACEHOLDER = b'{id}'
# Written bytes leave within this time, before the connection is reset.
FLUSH_SECONDS = 0.05

_LENGTH = re.compile(rb'\r\ncontent-length: *([0-9]+)\r\n', re.IGNORECASE)

# How a connection goes on after an answer:
# - keep: it takes further requests
# - close: it is shut down in both directions, and then closed
# - exit: it is closed at once, as by the system for a process that ends;
#   bytes that were not read turn this into a reset
# - reset: it is reset
# - shutdown-reset: its writing side is shut down, and it is reset afterwards
# - shutdown: its writing side is shut down, and nothing further is read
# - linger: its writing side is shut down, and the rest of the request is read
# - hang: nothing further is sent or read
Ending = Literal[
    'keep',
    'close',
    'exit',
    'reset',
    'shutdown-reset',
    'shutdown',
    'linger',
    'hang',
]


@dataclasses.dataclass(frozen=True)
class RawAnswer:
    """The bytes that answer one request.

    ``body_bytes`` is how much of the request's body is read before they are
    written, None for all of it. What follows of the body is left unread.
    """

    data: bytes
    ending: Ending = 'keep'
    body_bytes: int | None = None


class RawServer(protocol.ServerFactory):
    """Answers each request with the next of ``answers``, in turn.

    Once they are used up, the last one is repeated. ``id_header`` names the
    header that holds the id of a request. ``requests`` holds the heads of
    these requests. ``connections`` counts all connections, and
    ``open_connections`` those that have not ended. ``late_bytes`` is what was
    received after an answer that ended its connection. Requests for a path
    that begins as a key of ``control_answers`` get its answer instead.
    """

    noisy = False

    def __init__(
        self, reactor: Any, id_header: str, *answers: RawAnswer
    ) -> None:
        self.reactor = reactor
        self.answers = collections.deque(answers)
        self.control_answers: dict[bytes, RawAnswer] = {}
        self.requests: list[bytes] = []
        self.connections = 0
        self.open_connections = 0
        self.late_bytes = 0
        # A connection that is not read from is referenced by nothing else.
        self.protocols: set[protocol.Protocol] = set()
        self._id = re.compile(
            b'\r\n%s: *([^\r]*)\r\n' % re.escape(id_header.encode()),
            re.IGNORECASE,
        )

    def buildProtocol(self, addr: Any) -> protocol.Protocol:
        """Accept a connection."""
        self.connections += 1
        return _RawProtocol(self)

    def take_answer(self, head: bytes) -> RawAnswer:
        """Return the answer to a request with this head."""
        path = head.split(b' ', 2)[1]
        for prefix, control_answer in self.control_answers.items():
            if path.startswith(prefix):
                return control_answer
        self.requests.append(head)
        answer = self.answers[0]
        if len(self.answers) > 1:
            self.answers.popleft()
        found = self._id.search(head)
        request_id = found.group(1) if found else b''
        return dataclasses.replace(
            answer, data=answer.data.replace(ID_PLACEHOLDER, request_id)
        )


class _RawProtocol(protocol.Protocol):
    """One connection of the server."""

    transport: Any

    def __init__(self, server: RawServer) -> None:
        self._server = server
        self._received = bytearray()
        self._answer: RawAnswer | None = None
        self._body_start = 0
        self._length = 0
        self._ended = False

    def connectionMade(self) -> None:
        """Count the connection."""
        self._server.open_connections += 1
        self._server.protocols.add(self)

    def connectionLost(
        self, reason: failure.Failure = protocol.connectionDone
    ) -> None:
        """Count the end of the connection."""
        self._server.open_connections -= 1
        self._server.protocols.discard(self)

    def dataReceived(self, data: bytes) -> None:
        """Answer a request once enough of it has arrived."""
        if self._ended:
            self._server.late_bytes += len(data)
            return
        self._received += data
        if self._answer is None:
            self._body_start = self._received.find(b'\r\n\r\n') + 4
            if self._body_start < 4:
                return
            head = bytes(self._received[: self._body_start - 2])
            found = _LENGTH.search(head)
            self._length = int(found.group(1)) if found else 0
            self._answer = self._server.take_answer(head)
        answer = self._answer
        needed_bytes = self._length
        if answer.body_bytes is not None:
            needed_bytes = min(needed_bytes, answer.body_bytes)
        if len(self._received) >= self._body_start + needed_bytes:
            self.transport.write(answer.data)
            self._end(answer)

    def _end(self, answer: RawAnswer) -> None:
        if answer.ending == 'keep':
            del self._received[: self._body_start + self._length]
            self._answer = None
            return
        self._ended = True
        if answer.ending != 'linger':
            self.transport.pauseProducing()
        match answer.ending:
            case 'close':
                self.transport.loseConnection()
            case 'exit':
                self.transport._shouldShutdown = False
                self.transport.loseConnection()
            case 'reset':
                self._reset_later()
            case 'shutdown-reset':
                self.transport.loseWriteConnection()
                self._reset_later()
            case 'shutdown' | 'linger':
                self.transport.loseWriteConnection()

    def _reset_later(self) -> None:
        self._server.reactor.callLater(
            FLUSH_SECONDS, self.transport.abortConnection
        )
