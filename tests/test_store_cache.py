"""Following the store through another node's cache: what is passed on, and when it is not."""

from __future__ import annotations

import asyncio
import random
from typing import Any
from unittest import mock

import testtools
from prometheus_client import CollectorRegistry

from stileloom.api.object_store import ObjectEvent, ObjectPage, ObjectRecord, WatchBatch
from stileloom.daemon.cached_store import (
    PASSED_OVER_MAX_S,
    PASSED_OVER_S,
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


class FakeStore:
    """A store in memory; `down` makes it refuse, `silent` makes its watches hang."""

    def __init__(self) -> None:
        self.revision = 1
        self.records: dict[str, ObjectRecord] = {}
        self.events: list[ObjectEvent] = []
        self.calls = 0
        self.down = False
        self.silent = False
        self._changed = asyncio.Event()

    def put(self, name: str) -> None:
        """Changes an object."""
        self.revision += 1
        self.records[name] = ObjectRecord(name, self.revision, {"calls": "127.0.0.1:1"})
        self._tell(ObjectEvent(False, self.records[name]))

    def remove(self, name: str) -> None:
        """Removes an object."""
        self.revision += 1
        del self.records[name]
        self._tell(ObjectEvent(True, ObjectRecord(name, self.revision, None)))

    def _tell(self, event: ObjectEvent) -> None:
        self.events.append(event)
        self._changed.set()
        self._changed = asyncio.Event()

    async def list_objects(self, kind: str) -> ObjectPage:
        """All objects; there are none of other kinds."""
        self._count()
        records = list(self.records.values()) if kind == KIND else []
        return ObjectPage(records, self.revision)

    async def watch_objects(self, kind: str, after_revision: int, wait_s: float) -> WatchBatch:
        """Changes of the one kind."""
        self._count()
        if self.silent:
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


def cache_over(store: FakeStore) -> StoreCache:
    """A cache with short bounds."""
    return StoreCache(store, BOUNDS, EventLog("cache"), random.Random(1))  # type: ignore[arg-type]


class StoreCacheTest(testtools.TestCase):
    """The node that follows the store for others."""

    def test_many_readers_cost_the_calls_of_one(self) -> None:
        async def run() -> tuple[list[Any], int]:
            store = FakeStore()
            store.put("a")
            cache = cache_over(store)
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

    def test_a_list_follows_removals_and_forgotten_changes_are_said(self) -> None:
        async def run() -> tuple[Any, Any]:
            store = FakeStore()
            store.put("a")
            store.put("b")
            cache = cache_over(store)
            first = await cache.read(ReadObjectsCall(KIND, None, 0.0))
            store.remove("a")
            await cache.read(ReadObjectsCall(KIND, first.page.store_revision, 5.0))
            second = await cache.read(ReadObjectsCall(KIND, None, 0.0))
            older = await cache.read(ReadObjectsCall(KIND, 0, 0.0))
            cache.stop()
            return second, older

        second, older = asyncio.run(run())
        self.assertEqual(["b"], [record.name for record in second.page.records])
        self.assertIsInstance(older, ChangesForgotten)

    def test_a_cache_that_does_not_hear_from_the_store_says_so(self) -> None:
        """While its watch hangs nothing may be passed on as current."""

        async def run() -> tuple[Any, Any]:
            store = FakeStore()
            cache = cache_over(store)
            first = await cache.read(ReadObjectsCall(KIND, None, 0.0))
            store.silent = True
            # The watch under way ends; the next one hangs.
            store.put("a")
            changed = await cache.read(ReadObjectsCall(KIND, first.page.store_revision, 5.0))
            behind = await cache.read(ReadObjectsCall(KIND, changed.batch.store_revision, 30.0))
            cache.stop()
            return changed, behind

        changed, behind = asyncio.run(run())
        self.assertIsInstance(changed, ObjectsChanged)
        self.assertIsInstance(behind, CacheBehind)

    def test_a_cache_whose_store_is_down_from_the_start_is_behind(self) -> None:
        async def run() -> Any:
            store = FakeStore()
            store.down = True
            cache = cache_over(store)
            answer = await cache.read(ReadObjectsCall(KIND, None, 0.0))
            cache.stop()
            return answer

        self.assertIsInstance(asyncio.run(run()), CacheBehind)


class CachedObjectStoreTest(testtools.TestCase):
    """The node that reads through a cache."""

    def reader(self, store: FakeStore, seeds: list[tuple[str, int]]) -> CachedObjectStore:
        """A reader with its own path to the store."""
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

    def test_it_reads_from_the_cache_and_from_the_store_once_the_cache_is_gone(self) -> None:
        async def run() -> list[int]:
            store, own_path = FakeStore(), FakeStore()
            store.put("a")
            own_path.put("a")
            own_path.put("b")
            cache = cache_over(store)
            port = free_port()
            server = CallServer(cache.read)  # type: ignore[arg-type]
            await server.start(HOST, port)
            reader = self.reader(own_path, [(HOST, port)])
            sizes = [len((await reader.list_objects(KIND)).records)]
            calls_before = own_path.calls
            server.stop()
            sizes.append(len((await reader.list_objects(KIND)).records))
            sizes.append(calls_before)
            reader.close()
            cache.stop()
            return sizes

        self.assertEqual([1, 2, 0], asyncio.run(run()))

    def test_a_first_list_does_not_wait_for_a_cache_that_is_starting_too(self) -> None:
        """Until its first list a gateway answers all requests with 503."""

        async def run() -> tuple[int, bool]:
            own_path = FakeStore()
            own_path.put("a")
            port = free_port()
            asked = asyncio.Event()
            may_answer = asyncio.Event()

            async def answer_late(call: object) -> CacheBehind:
                asked.set()
                await may_answer.wait()
                return CacheBehind()

            server = CallServer(answer_late)  # type: ignore[arg-type]
            await server.start(HOST, port)
            reader = self.reader(own_path, [(HOST, port)])
            page = await reader.list_objects(KIND)
            was_asked = asked.is_set()
            may_answer.set()
            server.stop()
            reader.close()
            return len(page.records), was_asked

        async def bounded_run() -> tuple[int, bool]:
            async with asyncio.timeout(30.0):
                return await run()

        bounds = TimeBounds(sampler_drain_s=600.0, configuration_s=600.0)
        with mock.patch("tests.test_store_cache.BOUNDS", bounds):
            self.assertEqual((1, True), asyncio.run(bounded_run()))

    def test_a_cache_behind_what_was_seen_is_not_listed_from(self) -> None:
        """A listing that goes back would bring back a sampler that has left."""

        async def run() -> list[str]:
            store, own_path = FakeStore(), FakeStore()
            store.put("old")
            for _ in range(3):
                own_path.put("new")
            cache = cache_over(store)
            port = free_port()
            server = CallServer(cache.read)  # type: ignore[arg-type]
            await server.start(HOST, port)
            reader = self.reader(own_path, [(HOST, port)])
            # Seen through another path: revision 4; the cache is at 2.
            reader._seen_revisions[KIND] = own_path.revision
            page = await reader.list_objects(KIND)
            server.stop()
            reader.close()
            cache.stop()
            return [record.name for record in page.records]

        self.assertEqual(["new"], asyncio.run(run()))


class CacheNodesTest(testtools.TestCase):
    """Whose cache is asked."""

    def test_all_readers_prefer_the_same_node_and_fall_back_in_the_same_order(self) -> None:
        addresses = {f"ledger-{n}": (f"10.0.0.{n}", 1) for n in range(9)}
        chosen = set()
        for _ in range(3):
            nodes = CacheNodes([("10.9.9.9", 1)])
            nodes.learn(dict(reversed(addresses.items())))
            first = nodes.choose(0.0)
            assert first is not None
            nodes.failed(first, 0.0)
            second = nodes.choose(1.0)
            again = nodes.choose(PASSED_OVER_S + 0.1)
            assert second is not None and again is not None
            chosen.add((first.name, second.name, again.name))
        ((first_name, second_name, again_name),) = chosen
        self.assertNotEqual(first_name, second_name)
        self.assertEqual(first_name, again_name)

    def test_a_node_that_fails_again_and_again_is_asked_less_often(self) -> None:
        nodes = CacheNodes([("10.0.0.1", 1)])
        node = nodes.choose(0.0)
        assert node is not None
        nodes.failed(node, 0.0)
        nodes.failed(node, 0.0)
        self.assertIsNone(nodes.choose(PASSED_OVER_S + 0.1))
        self.assertIsNotNone(nodes.choose(2 * PASSED_OVER_S + 0.1))
        for _ in range(1200):
            nodes.failed(node, 0.0)
        self.assertIsNotNone(nodes.choose(PASSED_OVER_MAX_S + 0.1))
