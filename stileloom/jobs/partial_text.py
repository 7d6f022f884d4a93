"""Partial text of an item as a contiguous sequence of events."""

from __future__ import annotations

import msgspec

FIRST_EVENT_ID = 1


class BrokenChain(Exception):
    """An event does not directly follow the previous one."""


class PartialText(msgspec.Struct):
    """Events of one item in order, and the weight versions that generated them."""

    parts: list[str] = msgspec.field(default_factory=list)
    last_event_id: int | None = None
    versions: list[int] = msgspec.field(default_factory=list)
    whole: bool = False
    """Whether the text is complete."""

    @property
    def text(self) -> str:
        """The data of all events, joined by line feeds."""
        return "\n".join(self.parts)

    def add(self, event_id: int, data: str, version: int) -> None:
        """Appends an event. Raises `BrokenChain` if its id is not the next one."""
        last = self.last_event_id if self.last_event_id is not None else FIRST_EVENT_ID - 1
        if event_id != last + 1:
            raise BrokenChain(f"event {event_id} after {last}")
        self.parts.append(data)
        self.last_event_id = event_id
        if version not in self.versions:
            self.versions.append(version)

    def copy(self) -> PartialText:
        """Returns an independent copy."""
        return PartialText(list(self.parts), self.last_event_id, list(self.versions), self.whole)

    def satisfies(self, min_version: int, single_version: bool) -> bool:
        """Whether the partial text satisfies the version constraints of a job."""
        if any(version < min_version for version in self.versions):
            return False
        return not single_version or len(self.versions) <= 1
