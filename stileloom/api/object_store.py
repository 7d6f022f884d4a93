"""Interface of an object store with revisions, compare-and-swap and watches."""

from __future__ import annotations

from typing import Any, Protocol

import msgspec


class ObjectRecord(msgspec.Struct, frozen=True):
    """A stored object; `spec` and `status` are plain values."""

    name: str
    revision: int
    spec: Any
    status: Any = None
    deleting: bool = False


class ObjectEvent(msgspec.Struct, frozen=True):
    """An update or a deletion of an object."""

    gone: bool
    record: ObjectRecord


class ObjectPage(msgspec.Struct, frozen=True):
    """All objects of a kind, and the store revision of the listing."""

    records: list[ObjectRecord]
    store_revision: int
    unreadable: int = 0
    """Number of objects without a readable name."""


class WatchBatch(msgspec.Struct, frozen=True):
    """Changes after a revision, and the revision from which to continue."""

    events: list[ObjectEvent]
    store_revision: int
    unreadable: int = 0
    """Number of changes to objects without a readable name."""


class ObjectStore(Protocol):
    """A linearizable object store. Methods raise `StileloomError`:

    PLATFORM_UNAVAILABLE if the store is unavailable; a write may or may not have been applied,
    CONFLICT if the object already exists or has another revision,
    HISTORY_LOST if a watch must be restarted from a new listing.
    """

    async def list_objects(self, kind: str) -> ObjectPage:
        """Lists all objects of a kind."""

    async def get_object(self, kind: str, name: str) -> ObjectRecord | None:
        """Returns an object, or None if it does not exist."""

    async def watch_objects(self, kind: str, after_revision: int, wait_s: float) -> WatchBatch:
        """Waits up to `wait_s` for changes after a revision."""

    async def create_object(self, kind: str, name: str, spec: Any) -> ObjectRecord:
        """Creates an object."""

    async def replace_object(self, kind: str, record: ObjectRecord) -> ObjectRecord:
        """Replaces the spec if the revision is unchanged."""

    async def write_status(self, kind: str, name: str, status: Any) -> None:
        """Replaces the status without checking the revision."""
