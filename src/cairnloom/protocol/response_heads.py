"""Grammar of the heads of answers.

First stage of reading an answer: :mod:`.client_connection` checks each head
here before its parser gets it. The parser accepts more than the protocol
allows, such as a status of 000 or a folded line, and whoever gets such an
answer next may read it differently.
"""

import re

from .. import exceptions

MAX_LINE_BYTES = 16 * 1024
# No body is as long as a number of more digits says.
MAX_LENGTH_DIGITS = 18

_STATUS_LINE = re.compile(
    rb'HTTP/1\.([0-9]) ([1-5][0-9]{2}) [\t\x20-\x7e\x80-\xff]*'
)
_FIELD_LINE = re.compile(
    rb"([!#$%&'*+.^_`|~0-9A-Za-z-]+):([\t\x20-\x7e\x80-\xff]*)"
)
_LENGTH = re.compile(rb'[0-9]{1,%d}' % MAX_LENGTH_DIGITS)
_BLANKS = b' \t'
_SWITCHING_PROTOCOLS = 101


class HeadReader:
    """Checks the heads of one answer, which may arrive in any pieces.

    Any number of informational heads may come before the final one. See RFC
    9112, sections 4 to 6, for the grammar. What the RFC lets a recipient
    tolerate is an error here too: folded lines, lines that end without a
    carriage return, control bytes in values, and a length beside chunks.

    >>> reader = HeadReader()
    >>> reader.feed(b'HTTP/1.1 200 OK\\r\\nContent-Le')
    >>> reader.feed(b'ngth: 2\\r\\n\\r\\nok')
    >>> reader.complete
    True
    >>> HeadReader().feed(b'HTTP/1.1 000 OK\\r\\n')
    Traceback (most recent call last):
        ...
    cairnloom.exceptions.ProtocolError: status line b'HTTP/1.1 000 OK'
    """

    def __init__(self) -> None:
        self.complete = False
        self._partial_line = b''
        self._begin_head()

    def feed(self, data: bytes) -> None:
        """Check the next bytes of the answer; what follows the head is body.

        Raises :class:`~cairnloom.exceptions.ProtocolError` if they break the
        grammar.
        """
        if self.complete:
            return
        buffered = self._partial_line + data
        start = 0
        while not self.complete:
            end = buffered.find(b'\n', start)
            if end < 0:
                break
            self._check_line(buffered[start:end])
            start = end + 1
        self._partial_line = b'' if self.complete else buffered[start:]
        if len(self._partial_line) > MAX_LINE_BYTES:
            raise exceptions.ProtocolError('line too long')

    def _begin_head(self) -> None:
        self._status: int | None = None
        self._minor_version = 1
        self._lengths: list[bytes] = []
        self._encodings: list[bytes] = []

    def _check_line(self, line: bytes) -> None:
        if not line.endswith(b'\r') or len(line) > MAX_LINE_BYTES:
            raise _make_fault('end of line', line)
        line = line[:-1]
        if self._status is None:
            self._read_status_line(line)
        elif line:
            self._read_field_line(line)
        else:
            self._end_head(self._status)

    def _read_status_line(self, line: bytes) -> None:
        found = _STATUS_LINE.fullmatch(line)
        if found is None:
            raise _make_fault('status line', line)
        self._minor_version = int(found[1])
        self._status = int(found[2])

    def _read_field_line(self, line: bytes) -> None:
        found = _FIELD_LINE.fullmatch(line)
        if found is None:
            raise _make_fault('field line', line)
        match found[1].lower():
            case b'content-length':
                self._lengths.append(found[2].strip(_BLANKS))
            case b'transfer-encoding':
                self._encodings.append(found[2].strip(_BLANKS).lower())

    def _end_head(self, status: int) -> None:
        if status >= 200:
            self._check_framing()
            self.complete = True
            return
        if status == _SWITCHING_PROTOCOLS:
            raise exceptions.ProtocolError('protocol switched unasked')
        if self._lengths or self._encodings:
            raise exceptions.ProtocolError('informational head with a body')
        self._begin_head()

    def _check_framing(self) -> None:
        """Check that the end of the body is given in one way only."""
        if not self._encodings:
            if len(set(self._lengths)) > 1:
                raise exceptions.ProtocolError('several lengths')
            for length in self._lengths:
                if not _LENGTH.fullmatch(length):
                    raise _make_fault('length', length)
            return
        if self._encodings != [b'chunked']:
            raise _make_fault('encoding', b', '.join(self._encodings))
        if self._lengths:
            raise exceptions.ProtocolError('length beside chunks')
        if self._minor_version < 1:
            raise exceptions.ProtocolError('chunks in HTTP/1.0')


def check_field_line(line: bytes) -> None:
    """Check a field line without its end, as trailers have it too.

    Raises :class:`~cairnloom.exceptions.ProtocolError`.
    """
    if not _FIELD_LINE.fullmatch(line):
        raise _make_fault('field line', line)


def _make_fault(part: str, line: bytes) -> exceptions.ProtocolError:
    return exceptions.ProtocolError('%s %r' % (part, line[:100]))
