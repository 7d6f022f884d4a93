"""Tests of the object store cache and of reads through it."""

from __future__ import annotations

import asyncio
import random
from typing import Any
from unittest import mock

import testtools
from prometheus_client import CollectorRegistry

from stileloom.api.object_store import ObjectEvent, ObjectPage, ObjectRecord, WatchBatch
from stileloom.daemon.cached_store import (
    BACKOFF_BASE_S,
    BACKOFF_MAX_S,
    CachedObjectStore,
    CacheNodes,
)
from stileloom.daemon.process_metrics import ProcessMetrics
from stileloom.daemon.store_cache import StoreCache
from stileloom.errors import ErrorKind, StileloomError
from stileloom.logging import EventLog
from stileloom.service_settings import TimeBounds
from stileloom.transport.cache_messages import (
    CacheBehind,
    ChangesForgotten,
    ObjectsChanged,
    ObjectsListed,
    ReadObjectsCall,
)
from stileloom.transport.calls import CallServer
from tests.ports import free_port
from tests.service_cluster import HOST

KIND = "things"
BOUNDS = TimeBounds(sampler_drain_s=1.0, configuration_s=1.0)
STARTING_CACHE_S = 0.6
"""More than the backoff of a cache that refuses connections, less than that of other failures."""


class FakeStore:
    """An in-memory object store; `down` makes calls fail, `unresponsive` makes watches hang."""

    def __init__(self) -> None:
        self.revision = 1
        self.records: dict[str, ObjectRecord] = {}
        self.events: list[ObjectEvent] = []
        self.calls = 0
        self.down = False
        self.unresponsive = False
        self._changed = asyncio.Event()

    def put(self, name: str) -> None:
        """Creates or updates an object."""
        self.revision += 1
        self.records[name] = ObjectRecord(name, self.revision, {"calls": "127.0.0.1:1"})
        self._publish(ObjectEvent(False, self.records[name]))

    def remove(self, name: str) -> None:
        self.revision += 1
        del self.records[name]
        self._publish(ObjectEvent(True, ObjectRecord(name, self.revision, None)))

    def _publish(self, event: ObjectEvent) -> None:
        self.events.append(event)
        self._changed.set()
        self._changed = asyncio.Event()

    async def list_objects(self, kind: str) -> ObjectPage:
        """Lists the objects; only KIND has any."""
        self._count()
        records = list(self.records.values()) if kind == KIND else []
        return ObjectPage(records, self.revision)

    async def watch_objects(self, kind: str, after_revision: int, wait_s: float) -> WatchBatch:
        """Waits for changes after a revision."""
        self._count()
        if self.unresponsive:
            await asyncio.sleep(wait_s + 1.0)
            raise StileloomError(ErrorKind.PLATFORM_UNAVAILABLE, "no answer")
        if after_revision >= self.revision:
            try:
                async with asyncio.timeout(wait_s):
                    await self._changed.wait()
            except TimeoutError:
                return WatchBatch([], self.revision)
        events = [event for event in self.events if event.record.revision > after_revision]
        return WatchBatch(events, self.revision)

    def _count(self) -> None:
        self.calls += 1
        if self.down:
            raise StileloomError(ErrorKind.PLATFORM_UNAVAILABLE, "503")


def make_cache(store: FakeStore) -> StoreCache:
    """Creates a cache with short time bounds."""
    return StoreCache(store, BOUNDS, EventLog("cache"), random.Random(1))  # type: ignore[arg-type]


class StoreCacheTest(testtools.TestCase):
    """The cache that serves other nodes."""

    def test_many_readers_share_the_calls_of_one_watch(self) -> None:
        async def run() -> tuple[list[Any], int]:
            store = FakeStore()
            store.put("a")
            cache = make_cache(store)
            listed = await cache.read(ReadObjectsCall(KIND, None, 0.0))
            assert isinstance(listed, ObjectsListed)
            readers = [
                cache.read(ReadObjectsCall(KIND, listed.page.store_revision, 5.0))
                for _ in range(50)
            ]
            tasks = [asyncio.ensure_future(reader) for reader in readers]
            await asyncio.sleep(0)
            store.put("b")
            answers = await asyncio.gather(*tasks)
            cache.stop()
            return answers, store.calls

        answers, calls = asyncio.run(run())
        names = {tuple(event.record.name for event in answer.batch.events) for answer in answers}
        self.assertEqual({("b",)}, names)
        self.assertLessEqual(calls, 3)

    def test_a_list_reflects_removals_and_evicted_changes_are_reported(self) -> None:
        async def run() -> tuple[Any, Any]:
            store = FakeStore()
            store.put("a")
            store.put("b")
            cache = make_cache(store)
            first = await cache.read(ReadObjectsCall(KIND, None, 0.0))
            store.remove("a")
            await cache.read(ReadObjectsCall(KIND, first.page.store_revision, 5.0))
            second = await cache.read(ReadObjectsCall(KIND, None, 0.0))
            evicted = await cache.read(ReadObjectsCall(KIND, 0, 0.0))
            cache.stop()
            return second, evicted

        second, evicted = asyncio.run(run())
        self.assertEqual(["b"], [record.name for record in second.page.records])
        self.assertIsInstance(evicted, ChangesForgotten)

    def test_a_cache_without_contact_to_the_store_reports_behind(self) -> None:
        """While its watch hangs, the cache must not serve stale data as current."""

        async def run() -> tuple[Any, Any]:
            store = FakeStore()
            cache = make_cache(store)
            first = await cache.read(ReadObjectsCall(KIND, None, 0.0))
            store.unresponsive = True
            # Completes the pending watch; the next one hangs.
            store.put("a")
            changed = await cache.read(ReadObjectsCall(KIND, first.page.store_revision, 5.0))
            behind = await cache.read(ReadObjectsCall(KIND, changed.batch.store_revision, 30.0))
            cache.stop()
            return changed, behind

        changed, behind = asyncio.run(run())
        self.assertIsInstance(changed, ObjectsChanged)
        self.assertIsInstance(behind, CacheBehind)

    def test_a_cache_whose_store_is_down_at_start_reports_behind(self) -> None:
        async def run() -> Any:
            store = FakeStore()
            store.down = True
            cache = make_cache(store)
            answer = await cache.read(ReadObjectsCall(KIND, None, 0.0))
            cache.stop()
            return answer

        self.assertIsInstance(asyncio.run(run()), CacheBehind)


class CachedObjectStoreTest(testtools.TestCase):
    """Reads through a cache."""

    def make_reader(self, store: FakeStore, seeds: list[tuple[str, int]]) -> CachedObjectStore:
        """Creates a reader with direct access to `store`."""
        log = EventLog("reader")
        metrics = ProcessMetrics(CollectorRegistry(), log)
        return CachedObjectStore(
            store,  # type: ignore[arg-type]
            seeds,
            "ledger-nodes",
            BOUNDS,
            log,
            random.Random(1),
            metrics,
        )

    def test_reads_fall_back_to_the_store_when_the_cache_stops(self) -> None:
        async def run() -> list[int]:
            store, direct_store = FakeStore(), FakeStore()
            store.put("a")
            direct_store.put("a")
            direct_store.put("b")
            cache = make_cache(store)
            port = free_port()
            server = CallServer(cache.read)  # type: ignore[arg-type]
            await server.start(HOST, port)
            reader = self.make_reader(direct_store, [(HOST, port)])
            sizes = [len((await reader.list_objects(KIND)).records)]
            calls_before = direct_store.calls
            server.stop()
            sizes.append(len((await reader.list_objects(KIND)).records))
            sizes.append(calls_before)
            reader.close()
            cache.stop()
            return sizes

        self.assertEqual([1, 2, 0], asyncio.run(run()))

    def test_the_first_list_does_not_wait_for_a_cache_that_is_starting(self) -> None:
        """A gateway answers all requests with 503 until it has its first list."""

        async def run() -> tuple[int, bool]:
            direct_store = FakeStore()
            direct_store.put("a")
            port = free_port()
            requested = asyncio.Event()
            allow_answer = asyncio.Event()

            async def answer_late(call: object) -> CacheBehind:
                requested.set()
                await allow_answer.wait()
                return CacheBehind()

            server = CallServer(answer_late)  # type: ignore[arg-type]
            await server.start(HOST, port)
            reader = self.make_reader(direct_store, [(HOST, port)])
            page = await reader.list_objects(KIND)
            was_requested = requested.is_set()
            allow_answer.set()
            server.stop()
            reader.close()
            return len(page.records), was_requested

        async def bounded_run() -> tuple[int, bool]:
            async with asyncio.timeout(30.0):
                return await run()

        bounds = TimeBounds(sampler_drain_s=600.0, configuration_s=600.0)
        with mock.patch("tests.test_store_cache.BOUNDS", bounds):
            self.assertEqual((1, True), asyncio.run(bounded_run()))

    def test_a_cache_that_starts_with_its_readers_is_used_soon_after_it_listens(self) -> None:
        """Guards against a whole deployment that reads the store directly after it has started."""

        async def run() -> tuple[int, int]:
            address = (HOST, free_port())
            direct_store, cached_store = FakeStore(), FakeStore()
            direct_store.put("a")
            cached_store.put("a")
            reader = self.make_reader(direct_store, [address])
            await reader.list_objects(KIND)
            await reader.list_objects("ledger-nodes")
            cache = make_cache(cached_store)
            server = CallServer(cache.read)  # type: ignore[arg-type]
            await server.start(*address)
            await asyncio.sleep(STARTING_CACHE_S)
            before = direct_store.calls
            for _ in range(3):
                await reader.watch_objects(KIND, 2, 0.05)
            reader.close()
            server.stop()
            cache.stop()
            return before, direct_store.calls

        before, after = asyncio.run(run())
        self.assertEqual(before, after)

    def test_a_list_older_than_an_earlier_read_is_not_used(self) -> None:
        """An outdated list would restore a sampler that has been removed."""

        async def run() -> list[str]:
            store, direct_store = FakeStore(), FakeStore()
            store.put("old")
            for _ in range(3):
                direct_store.put("new")
            cache = make_cache(store)
            port = free_port()
            server = CallServer(cache.read)  # type: ignore[arg-type]
            await server.start(HOST, port)
            reader = self.make_reader(direct_store, [(HOST, port)])
            # The reader has already read revision 4; the cache is at 2.
            reader._latest_revisions[KIND] = direct_store.revision
            page = await reader.list_objects(KIND)
            server.stop()
            reader.close()
            cache.stop()
            return [record.name for record in page.records]

        self.assertEqual(["new"], asyncio.run(run()))


class CacheNodesTest(testtools.TestCase):
    """Selection of caches and backoff after failures."""

    def test_all_readers_select_nodes_in_the_same_order(self) -> None:
        addresses = {f"ledger-{n}": (f"10.0.0.{n}", 1) for n in range(9)}
        chosen = set()
        for _ in range(3):
            nodes = CacheNodes([("10.9.9.9", 1)])
            nodes.update_nodes(dict(reversed(addresses.items())))
            first = nodes.select(0.0)
            assert first is not None
            nodes.record_failure(first, 0.0)
            next_choice = nodes.select(1.0)
            after_backoff = nodes.select(BACKOFF_BASE_S + 0.1)
            assert next_choice is not None and after_backoff is not None
            chosen.add((first.name, next_choice.name, after_backoff.name))
        ((first_name, next_name, after_backoff_name),) = chosen
        self.assertNotEqual(first_name, next_name)
        self.assertEqual(first_name, after_backoff_name)

    def test_repeated_failures_extend_the_backoff(self) -> None:
        nodes = CacheNodes([("10.0.0.1", 1)])
        node = nodes.select(0.0)
        assert node is not None
        nodes.record_failure(node, 0.0)
        nodes.record_failure(node, 0.0)
        self.assertIsNone(nodes.select(BACKOFF_BASE_S + 0.1))
        self.assertIsNotNone(nodes.select(2 * BACKOFF_BASE_S + 0.1))
        for _ in range(1200):
            nodes.record_failure(node, 0.0)
        self.assertIsNotNone(nodes.select(BACKOFF_MAX_S + 0.1))
