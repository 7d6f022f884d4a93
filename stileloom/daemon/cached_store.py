"""The store as a node reads it: through another node's cache, or directly where that fails.

All nodes prefer the same cache, by rendezvous hashing over the ledger nodes' names, so that
few nodes follow the store itself. A cache that does not answer in time, or says that it is
behind, costs one direct call; another one is asked for a while after that. What was read never
goes back: a list from a cache that is older than what this node saw is read from the store.
"""

from __future__ import annotations

import asyncio
import random
from typing import Any

import msgspec
import xxhash

from stileloom.api.object_store import ObjectPage, ObjectRecord, ObjectStore, WatchBatch
from stileloom.clock import steady_time
from stileloom.daemon.process_metrics import ProcessMetrics
from stileloom.daemon.store_cache import WATCH_SHARE_OF_BOUND
from stileloom.errors import ErrorKind, StileloomError
from stileloom.events import LogEvent
from stileloom.ledger.registration import read_registrations
from stileloom.logging import EventLog
from stileloom.service_settings import TimeBounds
from stileloom.transport.cache_messages import (
    CacheReply,
    ChangesForgotten,
    ObjectsChanged,
    ObjectsListed,
    ReadObjectsCall,
)
from stileloom.transport.calls import CallConnections, CallFailed

ANSWER_SHARE_OF_BOUND = 0.2
"""Time for an answer, beyond the wait that was asked for."""
PASSED_OVER_S = 5.0
"""How long a cache that failed is not asked; doubled with each failure in a row."""
PASSED_OVER_MAX_S = 40.0
MAX_DOUBLINGS = 8
"""Enough for the greatest pause; a power of a thousand failures is no float any more."""
REFRESH_S = 15.0
"""How often the list of ledger nodes is read again."""

FIRST_LIST_S = 0.06
"""Time for a cache's answer, connecting included, while this node knows nothing of a kind."""

Address = tuple[str, int]


class _CacheNode(msgspec.Struct):
    """A ledger node, and how it answered."""

    name: str
    address: Address
    failures: int = 0
    passed_over_until: float = 0.0


class CacheNodes:
    """Ledger nodes in the order in which their caches are preferred. No I/O."""

    def __init__(self, seeds: list[Address]) -> None:
        self._nodes = [_CacheNode(f"{host}:{port}", (host, port)) for host, port in seeds]

    def learn(self, addresses: dict[str, Address]) -> None:
        """Takes the store's list of ledger nodes, by name."""
        known = {(node.name, node.address): node for node in self._nodes}
        nodes = [
            known.get((name, address), _CacheNode(name, address))
            for name, address in addresses.items()
        ]
        # Every node sorts alike, so nearly all of them ask the same one.
        self._nodes = sorted(nodes, key=lambda node: xxhash.xxh3_64_intdigest(node.name.encode()))

    def choose(self, now: float) -> _CacheNode | None:
        """The node to ask, or None where all failed lately."""
        for node in self._nodes:
            if now >= node.passed_over_until:
                return node
        return None

    def failed(self, node: _CacheNode, now: float) -> None:
        """The node did not answer, or its cache is behind."""
        doublings = min(node.failures, MAX_DOUBLINGS)
        pause_s = min(PASSED_OVER_MAX_S, PASSED_OVER_S * 2**doublings)
        node.failures += 1
        node.passed_over_until = now + pause_s

    def answered(self, node: _CacheNode) -> None:
        """The node's cache is current."""
        node.failures = 0


class CachedObjectStore:
    """An `ObjectStore`: reads of some kinds go through caches, all else to the store."""

    def __init__(
        self,
        store: ObjectStore,
        seeds: list[Address],
        ledger_nodes_kind: str,
        bounds: TimeBounds,
        log: EventLog,
        rng: random.Random,
        metrics: ProcessMetrics,
    ) -> None:
        self.nodes = CacheNodes(seeds)
        self._store = store
        self._ledger_nodes_kind = ledger_nodes_kind
        self._bound_s = min(bounds.configuration_s, bounds.sampler_drain_s)
        self._log = log
        self._rng = rng
        self._reads = metrics.store_reads
        self._connections = CallConnections()
        self._in_use: str | None = None
        self._seen_revisions: dict[str, int] = {}
        self._refresh_at = 0.0

    def close(self) -> None:
        """Closes the connections to caches."""
        self._connections.close()

    async def list_objects(self, kind: str) -> ObjectPage:
        """All objects of a kind, from a cache that is not behind what was seen.

        A node that knows nothing yet can serve nobody: it gives a cache little time.
        """
        seen = self._seen_revisions.get(kind, 0)
        limit_s = FIRST_LIST_S if seen == 0 else self._bound_s
        reply = await self._ask_cache(ReadObjectsCall(kind, None, 0.0), limit_s)
        if isinstance(reply, ObjectsListed) and reply.page.store_revision >= seen:
            page = reply.page
        else:
            page = await self._store.list_objects(kind)
            self._reads.labels("store").inc()
        self._seen_revisions[kind] = max(seen, page.store_revision)
        return page

    async def watch_objects(self, kind: str, after_revision: int, wait_s: float) -> WatchBatch:
        """Changes after a revision; waits no longer than a lost answer may go unnoticed."""
        await self._refresh_nodes()
        short_wait_s = min(wait_s, self._bound_s * WATCH_SHARE_OF_BOUND)
        call = ReadObjectsCall(kind, after_revision, short_wait_s)
        reply = await self._ask_cache(call, self._bound_s)
        if isinstance(reply, ChangesForgotten):
            raise StileloomError(ErrorKind.HISTORY_LOST, "the cache forgot the changes")
        if isinstance(reply, ObjectsChanged):
            batch = reply.batch
        else:
            batch = await self._store.watch_objects(kind, after_revision, short_wait_s)
            self._reads.labels("store").inc()
        self._seen_revisions[kind] = max(after_revision, batch.store_revision)
        return batch

    async def _ask_cache(self, call: ReadObjectsCall, limit_s: float) -> CacheReply | None:
        """A cache's answer within a limit, or None where the store has to be asked."""
        node = self.nodes.choose(steady_time())
        if node is None:
            return None
        timeout_s = call.wait_s + self._bound_s * ANSWER_SHARE_OF_BOUND
        try:
            async with asyncio.timeout(limit_s):
                reply = await self._connections.call(node.address, call, timeout_s)
        except (CallFailed, TimeoutError) as failure:
            self._note_failure(node, str(failure) or "no answer in time")
            return None
        if not isinstance(reply, ObjectsListed | ObjectsChanged | ChangesForgotten):
            self._note_failure(node, "behind")
            return None
        self._note_answer(node)
        return reply

    def _note_answer(self, node: _CacheNode) -> None:
        self.nodes.answered(node)
        self._reads.labels("cache").inc()
        if self._in_use != node.name:
            self._log.emit(
                LogEvent.STORE_CACHE_CHOSEN, {"cache": node.name, "before": self._in_use or ""}
            )
            self._in_use = node.name

    def _note_failure(self, node: _CacheNode, reason: str) -> None:
        # Calls that were under way together fail together: one of them counts.
        if steady_time() < node.passed_over_until:
            return
        self.nodes.failed(node, steady_time())
        if self._in_use == node.name:
            self._in_use = None
            self._log.emit(LogEvent.STORE_CACHE_LOST, {"cache": node.name, "reason": reason})

    async def _refresh_nodes(self) -> None:
        """Reads the list of ledger nodes now and then; failures are left to the next time."""
        now = steady_time()
        if now < self._refresh_at:
            return
        self._refresh_at = now + REFRESH_S * self._rng.uniform(0.7, 1.3)
        try:
            page = await self.list_objects(self._ledger_nodes_kind)
        except StileloomError:
            return
        addresses = ledger_node_addresses(page.records)
        if addresses:
            self.nodes.learn(addresses)

    async def get_object(self, kind: str, name: str) -> ObjectRecord | None:
        """One object, from the store."""
        return await self._store.get_object(kind, name)

    async def create_object(self, kind: str, name: str, spec: Any) -> ObjectRecord:
        """Adds an object."""
        return await self._store.create_object(kind, name, spec)

    async def replace_object(self, kind: str, record: ObjectRecord) -> ObjectRecord:
        """Replaces the spec if the revision still holds."""
        return await self._store.replace_object(kind, record)

    async def write_status(self, kind: str, name: str, status: Any) -> None:
        """Replaces the status."""
        await self._store.write_status(kind, name, status)


def ledger_node_addresses(records: list[ObjectRecord]) -> dict[str, Address]:
    """Where registered ledger nodes take calls, by name."""
    return {
        name: registration.calls_address
        for name, registration in read_registrations(records).items()
    }
