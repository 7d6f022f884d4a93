"""Parser for server-sent events that may carry a weight version.

An event is terminated by an empty line; an incomplete event is never returned.
Format: WHATWG HTML, "Server-sent events", with an additional field for the weight version.
"""

from __future__ import annotations

import msgspec

from stileloom.http1.limits import MAX_EVENT_BYTES, MAX_UNNUMBERED_EVENTS, parse_figure

_SEPARATOR = b"\n\n"


class StreamEvent(msgspec.Struct, frozen=True):
    """A parsed event."""

    event_id: int
    data: str
    version: int | None
    """The weight version from this event on; None if the event does not state one."""


class MalformedEvent(Exception):
    """The data is not a valid event."""


class _EventBuffer:
    """Splits received bytes at empty lines, and limits what comes between numbered events."""

    def __init__(self) -> None:
        self._buffer = bytearray()
        self._bytes_since_event = 0
        self._unnumbered_events = 0

    @property
    def has_partial(self) -> bool:
        """Whether an incomplete event is buffered."""
        return bool(self._buffer.strip())

    def add(self, data: bytes) -> None:
        """Adds bytes."""
        self._buffer += data

    def next(self) -> bytes | None:
        """Returns the next complete event with its separator, or None.

        Raises `MalformedEvent` if too much has come since the last numbered event.
        """
        separator_at = self._buffer.find(_SEPARATOR)
        if separator_at < 0:
            self._check(len(self._buffer))
            return None
        end = separator_at + len(_SEPARATOR)
        self._bytes_since_event += end
        self._unnumbered_events += 1
        self._check(0)
        raw = bytes(self._buffer[:end])
        del self._buffer[:end]
        return raw

    def on_numbered_event(self) -> None:
        """Handles that the event returned last has an id."""
        self._bytes_since_event = 0
        self._unnumbered_events = 0

    def _check(self, unread_bytes: int) -> None:
        if self._bytes_since_event + unread_bytes > MAX_EVENT_BYTES:
            raise MalformedEvent(f"no numbered event within {MAX_EVENT_BYTES} bytes")
        if self._unnumbered_events > MAX_UNNUMBERED_EVENTS:
            raise MalformedEvent(f"no numbered event among {MAX_UNNUMBERED_EVENTS}")


class RawEvent(msgspec.Struct, frozen=True):
    """A complete event as received, to be forwarded unchanged."""

    event_id: int | None
    raw: bytes


class EventSplitter:
    """Splits a stream into complete events without parsing their data."""

    def __init__(self) -> None:
        self._buffer = _EventBuffer()

    @property
    def has_partial(self) -> bool:
        """Whether an incomplete event is buffered."""
        return self._buffer.has_partial

    def feed(self, data: bytes) -> list[RawEvent]:
        """Adds bytes and returns the events completed by them. Raises `MalformedEvent`."""
        self._buffer.add(data)
        events: list[RawEvent] = []
        while (raw := self._buffer.next()) is not None:
            event_id = _event_id(raw)
            if event_id is not None:
                self._buffer.on_numbered_event()
            events.append(RawEvent(event_id, raw))
        return events


def _event_id(raw: bytes) -> int | None:
    for line in raw.split(b"\n"):
        name, _, value = line.partition(b":")
        if name == b"id":
            event_id = parse_figure(value.strip().decode("latin1"))
            if event_id is not None:
                return event_id
    return None


class EventStreamParser:
    """Parses the body of an event stream incrementally."""

    def __init__(self, version_field: str) -> None:
        self._version_field = version_field.lower()
        self._buffer = _EventBuffer()

    @property
    def has_partial(self) -> bool:
        """Whether an incomplete event is buffered."""
        return self._buffer.has_partial

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Adds bytes and returns the events completed by them. Raises `MalformedEvent`."""
        self._buffer.add(data)
        events: list[StreamEvent] = []
        while (raw := self._buffer.next()) is not None:
            if raw.strip():
                events.append(self._parse(raw.removesuffix(_SEPARATOR)))
                self._buffer.on_numbered_event()
        return events

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
            elif name == "id":
                event_id = parse_figure(value)
            elif name == self._version_field:
                version = parse_figure(value.strip())
                if version is None:
                    raise MalformedEvent("event has an invalid weight version")
        if event_id is None:
            raise MalformedEvent("event has no numeric id")
        return StreamEvent(event_id, "\n".join(data), version)
