"""Incremental decoder for one HTTP/1.1 response (RFC 9112, sections 6 and 7); does no I/O.

Malformed responses raise an error; data after the end of the response is never part of its body.
"""

from __future__ import annotations

import enum
import re

import msgspec
from tornado.httputil import HTTPHeaders

from stileloom.http1.limits import (
    MAX_CHUNK_LINE_BYTES,
    MAX_HEAD_BYTES,
    MAX_TRAILER_BYTES,
    parse_figure,
)

_STATUS_LINE = re.compile(rb"^HTTP/1\.[01] ([1-5][0-9][0-9])(?: ([^\r\n]*))?$")
"""Statuses are 100 to 599 (RFC 9110, section 15)."""
_HEX = re.compile(rb"^[0-9a-fA-F]{1,8}$")


class MalformedResponse(Exception):
    """The data is not a valid HTTP/1.1 response."""


class ResponseHead(msgspec.Struct, frozen=True):
    """Status and headers of a response."""

    status: int
    reason: str
    headers: HTTPHeaders


class _Stage(enum.Enum):
    HEAD = "head"
    LENGTH = "length"
    CHUNK_SIZE = "chunk_size"
    CHUNK_DATA = "chunk_data"
    CHUNK_END = "chunk_end"
    TRAILER = "trailer"
    UNTIL_CLOSE = "until_close"
    DONE = "done"


class ResponseDecoder:
    """Decodes the head and the body of one response."""

    def __init__(self, method: str = "GET", max_body_bytes: int | None = None) -> None:
        """`max_body_bytes` includes the framing of chunks; None for a body that is not kept."""
        self._method = method
        self._max_body_bytes = max_body_bytes
        self.head: ResponseHead | None = None
        self._buffer = bytearray()
        self._stage = _Stage.HEAD
        self._remaining = 0
        self._head_bytes = 0
        """Bytes of the heads read so far, with those of interim responses."""
        self._body_bytes = 0
        self._trailer_bytes = 0

    @property
    def done(self) -> bool:
        """Whether the response is complete."""
        return self._stage is _Stage.DONE

    @property
    def has_trailing_data(self) -> bool:
        """Whether data was received after the end of the response."""
        return self.done and bool(self._buffer)

    def feed(self, data: bytes) -> list[bytes]:
        """Adds bytes and returns the fragments of the body in them.

        Raises `MalformedResponse`.
        """
        self._buffer += data
        parts: list[bytes] = []
        while self._step(parts):
            pass
        return parts

    def on_connection_closed(self, clean: bool) -> None:
        """Completes a response of undeclared length if the peer closed the connection cleanly."""
        if self._stage is _Stage.UNTIL_CLOSE and clean:
            self._stage = _Stage.DONE

    def _step(self, parts: list[bytes]) -> bool:
        """Advances the state machine; returns False if it needs more data."""
        if self._stage is _Stage.HEAD:
            return self._read_head()
        if self._stage in (_Stage.LENGTH, _Stage.CHUNK_DATA):
            return self._read_sized(parts)
        if self._stage is _Stage.CHUNK_SIZE:
            return self._read_chunk_size()
        if self._stage is _Stage.CHUNK_END:
            return self._read_chunk_end()
        if self._stage is _Stage.TRAILER:
            return self._read_trailer()
        if self._stage is _Stage.UNTIL_CLOSE and self._buffer:
            self._count_body(len(self._buffer))
            parts.append(bytes(self._buffer))
            self._buffer.clear()
        return False

    def _count_body(self, count: int) -> None:
        self._body_bytes += count
        if self._max_body_bytes is not None and self._body_bytes > self._max_body_bytes:
            raise MalformedResponse(f"body exceeds {self._max_body_bytes} bytes")

    def _read_head(self) -> bool:
        end = self._buffer.find(b"\r\n\r\n")
        if end < 0:
            if not b"HTTP/1.".startswith(bytes(self._buffer[:7])):
                raise MalformedResponse("invalid response head")
            self._check_head(len(self._buffer))
            return False
        self._head_bytes += end + 4
        self._check_head(0)
        head = bytes(self._buffer[:end])
        del self._buffer[: end + 4]
        status_line, _, rest = head.partition(b"\r\n")
        match = _STATUS_LINE.match(status_line)
        if match is None:
            raise MalformedResponse(f"invalid status line: {status_line[:80]!r}")
        status = int(match.group(1))
        if status < 200:
            return True
        try:
            headers = HTTPHeaders.parse(rest.decode("latin1"))
        except Exception as error:
            raise MalformedResponse("invalid header") from error
        reason = (match.group(2) or b"").decode("latin1")
        self.head = ResponseHead(status, reason, headers)
        self._select_framing(status, headers)
        return True

    def _check_head(self, unread_bytes: int) -> None:
        if self._head_bytes + unread_bytes > MAX_HEAD_BYTES:
            raise MalformedResponse(f"response head exceeds {MAX_HEAD_BYTES} bytes")

    def _select_framing(self, status: int, headers: HTTPHeaders) -> None:
        lengths = headers.get_list("Content-Length")
        transfer_encoding = headers.get("Transfer-Encoding")
        if status in (204, 304) or self._method == "HEAD":
            self._stage = _Stage.DONE
        elif transfer_encoding is not None:
            if transfer_encoding.strip().lower() != "chunked" or lengths:
                raise MalformedResponse(
                    f"invalid framing: Transfer-Encoding {transfer_encoding!r}, "
                    f"Content-Length {lengths}"
                )
            self._stage = _Stage.CHUNK_SIZE
        elif lengths:
            length = parse_figure(lengths[0])
            if len(set(lengths)) != 1 or length is None:
                raise MalformedResponse(f"invalid Content-Length: {lengths[0][:80]!r}")
            if self._max_body_bytes is not None and length > self._max_body_bytes:
                raise MalformedResponse(f"body of {length} bytes, limit {self._max_body_bytes}")
            self._remaining = length
            self._stage = _Stage.LENGTH if self._remaining else _Stage.DONE
        else:
            self._stage = _Stage.UNTIL_CLOSE

    def _read_sized(self, parts: list[bytes]) -> bool:
        if not self._buffer:
            return False
        part = bytes(self._buffer[: self._remaining])
        del self._buffer[: self._remaining]
        self._remaining -= len(part)
        self._count_body(len(part))
        parts.append(part)
        if self._remaining == 0:
            in_chunk = self._stage is _Stage.CHUNK_DATA
            self._stage = _Stage.CHUNK_END if in_chunk else _Stage.DONE
        return True

    def _read_line(self) -> bytes | None:
        end = self._buffer.find(b"\r\n")
        if end < 0:
            if len(self._buffer) > MAX_CHUNK_LINE_BYTES:
                raise MalformedResponse(f"chunk line exceeds {MAX_CHUNK_LINE_BYTES} bytes")
            return None
        line = bytes(self._buffer[:end])
        del self._buffer[: end + 2]
        return line

    def _read_chunk_size(self) -> bool:
        line = self._read_line()
        if line is None:
            return False
        self._count_body(len(line) + 4)
        digits = line.partition(b";")[0].strip()
        if not _HEX.match(digits):
            raise MalformedResponse(f"invalid chunk size: {digits!r}")
        self._remaining = int(digits, 16)
        self._stage = _Stage.CHUNK_DATA if self._remaining else _Stage.TRAILER
        return True

    def _read_chunk_end(self) -> bool:
        if len(self._buffer) < 2:
            return False
        if self._buffer[:2] != b"\r\n":
            raise MalformedResponse("chunk is not terminated by CRLF")
        del self._buffer[:2]
        self._stage = _Stage.CHUNK_SIZE
        return True

    def _read_trailer(self) -> bool:
        line = self._read_line()
        if line is None:
            return False
        if not line:
            self._stage = _Stage.DONE
            return False
        self._trailer_bytes += len(line) + 2
        if self._trailer_bytes > MAX_TRAILER_BYTES:
            raise MalformedResponse(f"trailers exceed {MAX_TRAILER_BYTES} bytes")
        return True
