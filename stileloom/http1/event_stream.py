"""Parses a stream of server-sent events, with the weight version of each event.

An event is a block of lines that ends with an empty line. Only whole events count: a
sampler may stop in the middle of one.
Source: WHATWG HTML, "Server-sent events"; the version line is this product's addition.
"""

from __future__ import annotations

import msgspec


class StreamEvent(msgspec.Struct, frozen=True):
    """One whole event."""

    event_id: int
    data: str
    version: int | None
    """Set where the event says that the weights changed with it."""


class MalformedEvent(Exception):
    """The bytes are no event."""


class RawEvent(msgspec.Struct, frozen=True):
    """One whole event as it came, to be passed on."""

    event_id: int | None
    raw: bytes


class EventSplitter:
    """Cuts a stream into whole events without looking at their data."""

    def __init__(self) -> None:
        self._buffer = bytearray()

    @property
    def has_partial(self) -> bool:
        """Whether an event was begun and not ended."""
        return bool(self._buffer.strip())

    def feed(self, data: bytes) -> list[RawEvent]:
        """Adds bytes; returns whole events."""
        self._buffer += data
        events: list[RawEvent] = []
        while True:
            end = self._buffer.find(b"\n\n")
            if end < 0:
                return events
            raw = bytes(self._buffer[: end + 2])
            del self._buffer[: end + 2]
            events.append(RawEvent(_event_id(raw), raw))


def _event_id(raw: bytes) -> int | None:
    for line in raw.split(b"\n"):
        name, _, value = line.partition(b":")
        if name == b"id" and value.strip().isdigit():
            return int(value)
    return None


class EventStreamParser:
    """Takes bytes of a body; returns whole events."""

    def __init__(self, version_field: str) -> None:
        self._version_field = version_field.lower()
        self._buffer = bytearray()

    @property
    def has_partial(self) -> bool:
        """Whether an event was begun and not ended."""
        return bool(self._buffer.strip())

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Adds bytes. Raises `MalformedEvent`."""
        self._buffer += data
        events: list[StreamEvent] = []
        while True:
            end = self._buffer.find(b"\n\n")
            if end < 0:
                return events
            block = bytes(self._buffer[:end])
            del self._buffer[: end + 2]
            if block.strip():
                events.append(self._parse(block))

    def _parse(self, block: bytes) -> StreamEvent:
        try:
            lines = block.decode("utf-8").split("\n")
        except UnicodeDecodeError as error:
            raise MalformedEvent("not UTF-8") from error
        event_id = None
        version = None
        data: list[str] = []
        for line in lines:
            name, _, value = line.rstrip("\r").partition(":")
            value = value.removeprefix(" ")
            if name == "data":
                data.append(value)
            elif name == "id" and value.isdecimal():
                event_id = int(value)
            elif name == self._version_field and value.strip().isdecimal():
                version = int(value)
        if event_id is None:
            raise MalformedEvent("an event without an id")
        return StreamEvent(event_id, "\n".join(data), version)
