"""The text of an item as far as it was made: a chain of events without a gap."""

from __future__ import annotations

import msgspec

FIRST_EVENT_ID = 1


class BrokenChain(Exception):
    """An event does not follow the one before."""


class PartialText(msgspec.Struct):
    """Events of one item in order, and the versions that made them."""

    parts: list[str] = msgspec.field(default_factory=list)
    last_event_id: int | None = None
    versions: list[int] = msgspec.field(default_factory=list)
    whole: bool = False
    """Whether the sampler ended the text after these events."""

    @property
    def text(self) -> str:
        """The data of all events, separated by line feeds."""
        return "\n".join(self.parts)

    def add(self, event_id: int, data: str, version: int) -> None:
        """Adds the next event. Raises `BrokenChain` where it is not the next one."""
        last = self.last_event_id if self.last_event_id is not None else FIRST_EVENT_ID - 1
        if event_id != last + 1:
            raise BrokenChain(f"event {event_id} after {last}")
        self.parts.append(data)
        self.last_event_id = event_id
        if version not in self.versions:
            self.versions.append(version)

    def copy(self) -> PartialText:
        """An independent copy."""
        return PartialText(list(self.parts), self.last_event_id, list(self.versions), self.whole)

    def fits(self, min_version: int, single_version: bool) -> bool:
        """Whether the text so far may be part of a result with these bounds."""
        if any(version < min_version for version in self.versions):
            return False
        return not single_version or len(self.versions) <= 1
