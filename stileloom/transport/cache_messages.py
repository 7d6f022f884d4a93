"""Calls to a ledger node's cache of the object store, and their replies."""

from __future__ import annotations

import msgspec

from stileloom.api.object_store import ObjectPage, WatchBatch


class ReadObjectsCall(msgspec.Struct, frozen=True, tag=True):
    """Lists or watches the cached objects of a kind."""

    kind: str
    after_revision: int | None
    """None requests all objects, otherwise only changes after this revision."""
    wait_s: float
    """How long to wait for a change."""


class ObjectsListed(msgspec.Struct, frozen=True, tag=True):
    """All objects of a kind."""

    page: ObjectPage


class ObjectsChanged(msgspec.Struct, frozen=True, tag=True):
    """Changes after the requested revision; empty if none occurred within the wait."""

    batch: WatchBatch


class ChangesForgotten(msgspec.Struct, frozen=True, tag=True):
    """Some changes after the revision are no longer cached; the caller must list again."""


class CacheBehind(msgspec.Struct, frozen=True, tag=True):
    """The cache is stale; the caller must query the object store."""


CacheReply = ObjectsListed | ObjectsChanged | ChangesForgotten | CacheBehind
