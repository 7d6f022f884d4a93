"""Adapter from stileloom's own object API to the interface `ObjectStore`.

The API lists and watches all kinds together, so a watch of one kind compares the current list with
the cached list at the revision where the watch starts. A status is stored as an object of its own
kind.
"""

from __future__ import annotations

import uuid
from typing import Any

from stileloom.api.object_store import ObjectEvent, ObjectPage, ObjectRecord, WatchBatch
from stileloom.daemon.platform_client import ObjectApi, ObjectList, StoredObject
from stileloom.errors import ErrorKind, StileloomError

STATUS_SUFFIX = "-status"
MAX_CACHED_LISTS = 32


class NativeObjectStore:
    """Implements `stileloom.api.object_store.ObjectStore`."""

    def __init__(self, api: ObjectApi) -> None:
        self._api = api
        self._lists: dict[str, dict[int, dict[str, ObjectRecord]]] = {}
        """The most recent lists of each kind, by revision."""

    async def list_objects(self, kind: str) -> ObjectPage:
        """Lists all objects of a kind."""
        listed = await self._api.list()
        records = _records(listed, kind)
        self._cache_list(kind, listed.revision, records)
        return ObjectPage(list(records.values()), listed.revision)

    async def get_object(self, kind: str, name: str) -> ObjectRecord | None:
        """Returns an object, or None if it does not exist."""
        stored = await self._api.get(kind, name)
        return _record(stored, None) if stored is not None else None

    async def watch_objects(self, kind: str, after_revision: int, wait_s: float) -> WatchBatch:
        """Returns changes after a revision. Raises HISTORY_LOST if that revision is not cached."""
        previous = self._lists.get(kind, {}).get(after_revision)
        if previous is None:
            raise StileloomError(
                ErrorKind.HISTORY_LOST, f"no cached list of {kind} at revision {after_revision}"
            )
        listed = await self._api.watch_all(after_revision, wait_s)
        if listed is None:
            return WatchBatch([], after_revision)
        records = _records(listed, kind)
        self._cache_list(kind, listed.revision, records)
        gone = [
            ObjectEvent(True, record) for name, record in previous.items() if name not in records
        ]
        changed = [
            ObjectEvent(False, record)
            for name, record in records.items()
            if previous.get(name) != record
        ]
        return WatchBatch(gone + changed, listed.revision)

    def _cache_list(self, kind: str, revision: int, records: dict[str, ObjectRecord]) -> None:
        lists = self._lists.setdefault(kind, {})
        lists[revision] = records
        while len(lists) > MAX_CACHED_LISTS:
            del lists[min(lists)]

    async def create_object(self, kind: str, name: str, spec: Any) -> ObjectRecord:
        """Creates an object."""
        return await self._write(kind, name, 0, spec)

    async def replace_object(self, kind: str, record: ObjectRecord) -> ObjectRecord:
        """Replaces the spec if the revision is unchanged."""
        return await self._write(kind, record.name, record.revision, record.spec)

    async def write_status(self, kind: str, name: str, status: Any) -> None:
        """Replaces the status regardless of the revision."""
        await self._write(kind + STATUS_SUFFIX, name, None, status)

    async def _write(
        self, kind: str, name: str, expected_revision: int | None, spec: Any
    ) -> ObjectRecord:
        try:
            revision = await self._api.write(kind, name, expected_revision, uuid.uuid4().hex, spec)
        except StileloomError as error:
            if error.kind is ErrorKind.UNKNOWN_OBJECT:
                raise StileloomError(ErrorKind.CONFLICT, error.detail) from error
            raise
        return ObjectRecord(name, revision, spec)


def _records(listed: ObjectList, kind: str) -> dict[str, ObjectRecord]:
    statuses = {
        stored.name: stored.spec for stored in listed.objects if stored.kind == kind + STATUS_SUFFIX
    }
    return {
        stored.name: _record(stored, statuses.get(stored.name))
        for stored in listed.objects
        if stored.kind == kind
    }


def _record(stored: StoredObject, status: Any) -> ObjectRecord:
    return ObjectRecord(stored.name, stored.revision, stored.spec, status)
