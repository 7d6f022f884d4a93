"""Tests of the object store adapter for stileloom's own object API."""

from __future__ import annotations

import asyncio

import testtools

from stileloom.daemon.native_object_store import NativeObjectStore
from stileloom.daemon.platform_client import ObjectApi
from stileloom.errors import ErrorKind, StileloomError
from tests.object_api import object_api

KIND = "samplers"


class NativeObjectStoreTest(testtools.TestCase):
    """Two readers of one object store, as in a ledger node."""

    def test_each_watch_returns_all_changes_after_its_own_revision(self) -> None:
        """Readers that share one object store must not consume each other's changes."""

        async def run() -> list[list[tuple[bool, str]]]:
            with object_api() as address:
                store = NativeObjectStore(ObjectApi(address))
                await store.create_object(KIND, "a", {"n": 1})
                first = await store.list_objects(KIND)
                second = await store.list_objects(KIND)
                await store.create_object(KIND, "b", {"n": 2})
                await ObjectApi(address).write(KIND, "a", None, "gone", None)
                seen = []
                for page in (first, second):
                    batch = await store.watch_objects(KIND, page.store_revision, 1.0)
                    seen.append(sorted((event.gone, event.record.name) for event in batch.events))
                return seen

        expected = [(False, "b"), (True, "a")]
        self.assertEqual([expected, expected], asyncio.run(run()))

    def test_a_watch_from_an_unknown_revision_reports_lost_history(self) -> None:
        async def run() -> ErrorKind:
            with object_api() as address:
                store = NativeObjectStore(ObjectApi(address))
                try:
                    await store.watch_objects(KIND, 17, 0.0)
                except StileloomError as error:
                    return error.kind
                raise AssertionError("no error")

        self.assertEqual(ErrorKind.HISTORY_LOST, asyncio.run(run()))
