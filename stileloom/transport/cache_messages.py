"""Calls to a ledger node's cache of the store, and their answers."""

from __future__ import annotations

import msgspec

from stileloom.api.object_store import ObjectPage, WatchBatch


class ReadObjectsCall(msgspec.Struct, frozen=True, tag=True):
    """Objects of a kind as a node's cache of the store has them."""

    kind: str
    after_revision: int | None
    """None for all objects, else the changes after it."""
    wait_s: float
    """How long to wait for a change."""


class ObjectsListed(msgspec.Struct, frozen=True, tag=True):
    """All objects of a kind."""

    page: ObjectPage


class ObjectsChanged(msgspec.Struct, frozen=True, tag=True):
    """Changes after the revision that was asked for; none where the wait was over."""

    batch: WatchBatch


class ChangesForgotten(msgspec.Struct, frozen=True, tag=True):
    """The cache does not hold all changes after the revision: list anew."""


class CacheBehind(msgspec.Struct, frozen=True, tag=True):
    """The cache did not hear from the store lately: ask the store."""


CacheReply = ObjectsListed | ObjectsChanged | ChangesForgotten | CacheBehind
