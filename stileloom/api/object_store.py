"""The port to a store of objects with revisions, compare-and-swap and watches."""

from __future__ import annotations

from typing import Any, Protocol

import msgspec


class ObjectRecord(msgspec.Struct, frozen=True):
    """An object; `spec` and `status` are plain values."""

    name: str
    revision: int
    spec: Any
    status: Any = None
    deleting: bool = False


class ObjectEvent(msgspec.Struct, frozen=True):
    """A change of an object, or its removal."""

    gone: bool
    record: ObjectRecord


class ObjectPage(msgspec.Struct, frozen=True):
    """All objects of a kind, and the revision of the store at that time."""

    records: list[ObjectRecord]
    store_revision: int
    unreadable: int = 0
    """Objects of which not even the name could be read."""


class WatchBatch(msgspec.Struct, frozen=True):
    """Changes after a revision, and the revision to go on from."""

    events: list[ObjectEvent]
    store_revision: int
    unreadable: int = 0
    """Changes of objects of which not even the name could be read."""


class ObjectStore(Protocol):
    """A linearizable store. Calls raise `StileloomError`:

    PLATFORM_UNAVAILABLE where the outcome is not known or nothing was done,
    CONFLICT where the object is there already or has another revision,
    HISTORY_LOST where a watch must begin with a new list.
    """

    async def list_objects(self, kind: str) -> ObjectPage:
        """All objects of a kind."""

    async def get_object(self, kind: str, name: str) -> ObjectRecord | None:
        """One object, or None."""

    async def watch_objects(self, kind: str, after_revision: int, wait_s: float) -> WatchBatch:
        """Waits for changes after a revision."""

    async def create_object(self, kind: str, name: str, spec: Any) -> ObjectRecord:
        """Adds an object."""

    async def replace_object(self, kind: str, record: ObjectRecord) -> ObjectRecord:
        """Replaces the spec if the revision still holds."""

    async def write_status(self, kind: str, name: str, status: Any) -> None:
        """Replaces the status, whatever the revision."""
