"""Parser for server-sent events that may carry a weight version.

An event is terminated by an empty line; an incomplete event is never returned.
Format: WHATWG HTML, "Server-sent events", with an additional field for the weight version.
"""

from __future__ import annotations

import msgspec


class StreamEvent(msgspec.Struct, frozen=True):
    """A parsed event."""

    event_id: int
    data: str
    version: int | None
    """The weight version from this event on; None if the event does not state one."""


class MalformedEvent(Exception):
    """The data is not a valid event."""


class RawEvent(msgspec.Struct, frozen=True):
    """A complete event as received, to be forwarded unchanged."""

    event_id: int | None
    raw: bytes


class EventSplitter:
    """Splits a stream into complete events without parsing their data."""

    def __init__(self) -> None:
        self._buffer = bytearray()

    @property
    def has_partial(self) -> bool:
        """Whether an incomplete event is buffered."""
        return bool(self._buffer.strip())

    def feed(self, data: bytes) -> list[RawEvent]:
        """Adds bytes and returns the events completed by them."""
        self._buffer += data
        events: list[RawEvent] = []
        while True:
            separator_at = self._buffer.find(b"\n\n")
            if separator_at < 0:
                return events
            raw = bytes(self._buffer[: separator_at + 2])
            del self._buffer[: separator_at + 2]
            events.append(RawEvent(_event_id(raw), raw))


def _event_id(raw: bytes) -> int | None:
    for line in raw.split(b"\n"):
        name, _, value = line.partition(b":")
        if name == b"id" and value.strip().isdigit():
            return int(value)
    return None


class EventStreamParser:
    """Parses the body of an event stream incrementally."""

    def __init__(self, version_field: str) -> None:
        self._version_field = version_field.lower()
        self._buffer = bytearray()

    @property
    def has_partial(self) -> bool:
        """Whether an incomplete event is buffered."""
        return bool(self._buffer.strip())

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Adds bytes and returns the events completed by them. Raises `MalformedEvent`."""
        self._buffer += data
        events: list[StreamEvent] = []
        while True:
            separator_at = self._buffer.find(b"\n\n")
            if separator_at < 0:
                return events
            event_bytes = bytes(self._buffer[:separator_at])
            del self._buffer[: separator_at + 2]
            if event_bytes.strip():
                events.append(self._parse(event_bytes))

    def _parse(self, event_bytes: bytes) -> StreamEvent:
        try:
            lines = event_bytes.decode("utf-8").split("\n")
        except UnicodeDecodeError as error:
            raise MalformedEvent("event is not valid UTF-8") from error
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
            raise MalformedEvent("event has no numeric id")
        return StreamEvent(event_id, "\n".join(data), version)
