"""A ledger node's cache of the store: many nodes follow objects through one node's watches.

Each call to the store has its price, and a thousand watches are re-armed at each change. So
one node follows a kind while others ask it, and answers their lists and watches. It says
itself when it is behind: an answer is only given while the store was heard within a bound.
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

WATCH_SHARE_OF_BOUND = 0.5
"""A watch that nobody answers is over within this share of the shortest bound."""
BEHIND_SHARE_OF_BOUND = 0.7
"""What was not confirmed within this share of the shortest bound is not passed on."""
PAUSE_SHARE_OF_BOUND = 0.04
CHANGES_KEPT = 512
FIRST_ANSWER_S = 0.4
"""How long the first caller waits for the store's list."""
IDLE_S = 6.0
"""A kind that nobody asks for so long is followed no more."""


class _FollowedKind:
    """One kind of objects, and its newest changes."""

    def __init__(
        self, kind: str, store: ObjectStore, bound_s: float, log: EventLog, rng: random.Random
    ) -> None:
        self.asked_at = steady_time()
        self.watcher = ObjectWatcher(
            store,
            kind,
            self._listed,
            self._changed,
            bound_s * PAUSE_SHARE_OF_BOUND,
            log,
            rng,
            wait_s=bound_s * WATCH_SHARE_OF_BOUND,
        )
        self._records: dict[str, ObjectRecord] = {}
        self._changes: collections.deque[tuple[int, ObjectEvent]] = collections.deque()
        self._complete_after = 0
        """All changes after this revision are held."""
        self._waiters: set[asyncio.Future[None]] = set()

    def _listed(self, records: list[ObjectRecord]) -> None:
        self._records = {record.name: record for record in records}
        self._changes.clear()
        self._complete_after = self.watcher.revision
        self._wake()

    def _changed(self, event: ObjectEvent) -> None:
        if event.gone:
            self._records.pop(event.record.name, None)
        else:
            self._records[event.record.name] = event.record
        self._changes.append((self.watcher.revision, event))
        if len(self._changes) > CHANGES_KEPT:
            self._complete_after, _ = self._changes.popleft()
        self._wake()

    def _wake(self) -> None:
        for waiter in self._waiters:
            if not waiter.done():
                waiter.set_result(None)
        self._waiters.clear()

    async def wait(self, timeout_s: float) -> None:
        """Returns after the next change, or after the time."""
        if timeout_s <= 0:
            return
        waiter: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._waiters.add(waiter)
        await asyncio.wait((waiter,), timeout=timeout_s)
        self._waiters.discard(waiter)

    def page(self) -> ObjectPage:
        """All objects."""
        return ObjectPage(list(self._records.values()), self.watcher.revision)

    def after(self, revision: int) -> WatchBatch | None:
        """Changes after a revision, or None where some of them are forgotten."""
        if revision < self._complete_after:
            return None
        events = [event for changed_at, event in self._changes if changed_at > revision]
        return WatchBatch(events, max(revision, self.watcher.revision))


class StoreCache:
    """Kinds that other nodes follow through this one."""

    def __init__(
        self, store: ObjectStore, bounds: TimeBounds, log: EventLog, rng: random.Random
    ) -> None:
        self._store = store
        self._bound_s = min(bounds.configuration_s, bounds.sampler_drain_s)
        self._log = log
        self._rng = rng
        self._kinds: dict[str, _FollowedKind] = {}
        self._tasks: dict[str, BackgroundTasks] = {}

    async def read(self, call: ReadObjectsCall) -> CacheReply:
        """Answers a list or a watch."""
        followed = self._followed(call.kind)
        if not self._current(followed):
            await followed.wait(FIRST_ANSWER_S if followed.watcher.synced_at is None else 0.0)
        if not self._current(followed):
            return CacheBehind()
        if call.after_revision is None:
            return ObjectsListed(followed.page())
        give_up_at = steady_time() + call.wait_s
        batch = followed.after(call.after_revision)
        while batch is not None and not batch.events and self._current(followed):
            left_s = min(give_up_at, self._behind_at(followed)) - steady_time()
            if left_s <= 0:
                break
            await followed.wait(left_s)
            batch = followed.after(call.after_revision)
        if not self._current(followed):
            return CacheBehind()
        return ObjectsChanged(batch) if batch is not None else ChangesForgotten()

    def _followed(self, kind: str) -> _FollowedKind:
        followed = self._kinds.get(kind)
        if followed is None:
            followed = _FollowedKind(kind, self._store, self._bound_s, self._log, self._rng)
            self._kinds[kind] = followed
            self._tasks[kind] = BackgroundTasks(self._log)
            self._tasks[kind].spawn(followed.watcher.run())
        followed.asked_at = steady_time()
        return followed

    def drop_idle(self) -> None:
        """Follows no kind that nobody asks for."""
        now = steady_time()
        idle = [kind for kind, item in self._kinds.items() if now > item.asked_at + IDLE_S]
        for kind in idle:
            self._tasks.pop(kind).cancel()
            del self._kinds[kind]

    def _behind_at(self, followed: _FollowedKind) -> float:
        synced_at = followed.watcher.synced_at
        if synced_at is None:
            return float("-inf")
        return synced_at + self._bound_s * BEHIND_SHARE_OF_BOUND

    def _current(self, followed: _FollowedKind) -> bool:
        return steady_time() < self._behind_at(followed)

    def stop(self) -> None:
        """Follows nothing any more."""
        for tasks in self._tasks.values():
            tasks.cancel()
