"""A ledger node's cache of the object store, which serves lists and watches to other nodes.

One node watches each kind on behalf of all others, which limits the number of calls to the
object store. The cache answers only while its last contact with the object store is within a
staleness bound; otherwise it reports that it is behind.
"""

from __future__ import annotations

import asyncio
import collections
import random

from stileloom.api.object_store import (
    ObjectEvent,
    ObjectPage,
    ObjectRecord,
    ObjectStore,
    WatchBatch,
)
from stileloom.background import BackgroundTasks
from stileloom.clock import steady_time
from stileloom.daemon.object_watch import ObjectWatcher
from stileloom.logging import EventLog
from stileloom.service_settings import TimeBounds
from stileloom.transport.cache_messages import (
    CacheBehind,
    CacheReply,
    ChangesForgotten,
    ObjectsChanged,
    ObjectsListed,
    ReadObjectsCall,
)

WATCH_TIMEOUT_FRACTION = 0.5
"""Timeout of a watch, as a fraction of the shortest time bound."""
MAX_STALENESS_FRACTION = 0.7
"""Age after which cached data is not served, as a fraction of the shortest time bound."""
BATCHING_DELAY_FRACTION = 0.04
"""Delay after a change, as a fraction of the shortest time bound."""
MAX_CACHED_CHANGES = 512
INITIAL_LIST_TIMEOUT_S = 0.4
"""How long the first reader of a kind waits for the list from the object store."""
IDLE_TIMEOUT_S = 6.0
"""A kind that has not been read for this long is evicted."""


class _CachedKind:
    """The objects of one kind and their most recent changes."""

    def __init__(
        self, kind: str, store: ObjectStore, bound_s: float, log: EventLog, rng: random.Random
    ) -> None:
        self.last_read_at = steady_time()
        self.watcher = ObjectWatcher(
            store,
            kind,
            self._on_list,
            self._on_event,
            bound_s * BATCHING_DELAY_FRACTION,
            log,
            rng,
            wait_s=bound_s * WATCH_TIMEOUT_FRACTION,
        )
        self._records: dict[str, ObjectRecord] = {}
        self._changes: collections.deque[tuple[int, ObjectEvent]] = collections.deque()
        self._history_start_revision = 0
        """`_changes` holds all changes after this revision."""
        self._waiters: set[asyncio.Future[None]] = set()

    def _on_list(self, records: list[ObjectRecord]) -> None:
        self._records = {record.name: record for record in records}
        self._changes.clear()
        self._history_start_revision = self.watcher.revision
        self._notify_waiters()

    def _on_event(self, event: ObjectEvent) -> None:
        if event.gone:
            self._records.pop(event.record.name, None)
        else:
            self._records[event.record.name] = event.record
        self._changes.append((self.watcher.revision, event))
        if len(self._changes) > MAX_CACHED_CHANGES:
            self._history_start_revision, _ = self._changes.popleft()
        self._notify_waiters()

    def _notify_waiters(self) -> None:
        for waiter in self._waiters:
            if not waiter.done():
                waiter.set_result(None)
        self._waiters.clear()

    async def wait_for_change(self, timeout_s: float) -> None:
        """Waits for the next change or the timeout."""
        if timeout_s <= 0:
            return
        waiter: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._waiters.add(waiter)
        await asyncio.wait((waiter,), timeout=timeout_s)
        self._waiters.discard(waiter)

    def page(self) -> ObjectPage:
        return ObjectPage(list(self._records.values()), self.watcher.revision)

    def changes_after(self, revision: int) -> WatchBatch | None:
        """Returns the changes after a revision, or None if some of them were evicted."""
        if revision < self._history_start_revision:
            return None
        events = [event for changed_at, event in self._changes if changed_at > revision]
        return WatchBatch(events, max(revision, self.watcher.revision))


class StoreCache:
    """Serves lists and watches of object kinds to other nodes."""

    def __init__(
        self, store: ObjectStore, bounds: TimeBounds, log: EventLog, rng: random.Random
    ) -> None:
        self._store = store
        self._bound_s = min(bounds.configuration_s, bounds.sampler_drain_s)
        self._log = log
        self._rng = rng
        self._kinds: dict[str, _CachedKind] = {}
        self._tasks: dict[str, BackgroundTasks] = {}

    async def read(self, call: ReadObjectsCall) -> CacheReply:
        """Answers a list or watch request."""
        cached = self._get_or_create(call.kind)
        if not self._is_fresh(cached):
            await cached.wait_for_change(
                INITIAL_LIST_TIMEOUT_S if cached.watcher.synced_at is None else 0.0
            )
        if not self._is_fresh(cached):
            return CacheBehind()
        if call.after_revision is None:
            return ObjectsListed(cached.page())
        deadline = steady_time() + call.wait_s
        batch = cached.changes_after(call.after_revision)
        while batch is not None and not batch.events and self._is_fresh(cached):
            remaining_s = min(deadline, self._stale_at(cached)) - steady_time()
            if remaining_s <= 0:
                break
            await cached.wait_for_change(remaining_s)
            batch = cached.changes_after(call.after_revision)
        if not self._is_fresh(cached):
            return CacheBehind()
        return ObjectsChanged(batch) if batch is not None else ChangesForgotten()

    def _get_or_create(self, kind: str) -> _CachedKind:
        cached = self._kinds.get(kind)
        if cached is None:
            cached = _CachedKind(kind, self._store, self._bound_s, self._log, self._rng)
            self._kinds[kind] = cached
            self._tasks[kind] = BackgroundTasks(self._log)
            self._tasks[kind].spawn(cached.watcher.run())
        cached.last_read_at = steady_time()
        return cached

    def evict_idle(self) -> None:
        """Stops watching kinds that have not been read recently."""
        now = steady_time()
        idle = [
            kind for kind, item in self._kinds.items() if now > item.last_read_at + IDLE_TIMEOUT_S
        ]
        for kind in idle:
            self._tasks.pop(kind).cancel()
            del self._kinds[kind]

    def _stale_at(self, cached: _CachedKind) -> float:
        synced_at = cached.watcher.synced_at
        if synced_at is None:
            return float("-inf")
        return synced_at + self._bound_s * MAX_STALENESS_FRACTION

    def _is_fresh(self, cached: _CachedKind) -> bool:
        return steady_time() < self._stale_at(cached)

    def stop(self) -> None:
        """Stops all watches."""
        for tasks in self._tasks.values():
            tasks.cancel()
