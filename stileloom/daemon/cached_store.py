"""Reads the object store through the cache of a ledger node, with a fallback to direct reads.

All nodes order the caches by the same hash of the ledger nodes' names, so that few nodes watch
the object store directly. When a cache times out or is behind, the read goes to the object store,
and the cache is not selected during a backoff. Lists are monotonic: if a cached list is older than
a revision that this node has already read, the object store is listed instead.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from typing import Any

import msgspec
import xxhash

from stileloom.api.object_store import ObjectPage, ObjectRecord, ObjectStore, WatchBatch
from stileloom.clock import steady_time
from stileloom.daemon.process_metrics import ProcessMetrics
from stileloom.daemon.store_cache import WATCH_TIMEOUT_FRACTION
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
from stileloom.transport.calls import CallConnectionPool, CallFailed

RESPONSE_TIMEOUT_FRACTION = 0.2
"""Response timeout in addition to the requested wait, as a fraction of the shortest bound."""
BACKOFF_BASE_S = 5.0
"""Initial backoff after a failed read; doubled with each consecutive failure."""
BACKOFF_MAX_S = 40.0
REFUSED_BACKOFF_S = 0.5
"""Backoff of a cache at whose address nothing listens.

Its process is starting or restarting, and trying it costs no time. After a start of the whole
deployment all nodes would otherwise read the store directly for `BACKOFF_BASE_S`.
"""
MAX_DOUBLINGS = 8
"""Limits the exponent, which would otherwise overflow a float after many failures."""
REFRESH_INTERVAL_S = 15.0
"""How often the list of ledger nodes is read."""
INITIAL_READ_TIMEOUT_S = 0.06
"""Limit for connecting to a cache and reading the first list of a kind."""

Address = tuple[str, int]


class _CacheNode(msgspec.Struct):
    """A ledger node and its backoff state."""

    name: str
    address: Address
    failures: int = 0
    retry_at: float = 0.0


class CacheNodes:
    """Ledger nodes in order of preference as caches. Performs no I/O."""

    def __init__(self, seeds: list[Address]) -> None:
        self._nodes = [_CacheNode(f"{host}:{port}", (host, port)) for host, port in seeds]

    def update_nodes(self, addresses: dict[str, Address]) -> None:
        """Replaces the nodes; those whose name and address are unchanged keep their backoff."""
        known = {(node.name, node.address): node for node in self._nodes}
        nodes = [
            known.get((name, address), _CacheNode(name, address))
            for name, address in addresses.items()
        ]
        # All readers use the same order, so most of them read from the same cache.
        self._nodes = sorted(nodes, key=lambda node: xxhash.xxh3_64_intdigest(node.name.encode()))

    def select(self, now: float) -> _CacheNode | None:
        """Returns the preferred node, or None if all are in backoff."""
        for node in self._nodes:
            if now >= node.retry_at:
                return node
        return None

    def record_refusal(self, node: _CacheNode, now: float) -> None:
        """Starts the short backoff of a node at whose address nothing listens."""
        node.retry_at = now + REFUSED_BACKOFF_S

    def record_failure(self, node: _CacheNode, now: float) -> None:
        """Starts or extends the backoff of a node that timed out or was behind."""
        doublings = min(node.failures, MAX_DOUBLINGS)
        backoff_s = min(BACKOFF_MAX_S, BACKOFF_BASE_S * 2**doublings)
        node.failures += 1
        node.retry_at = now + backoff_s

    def record_success(self, node: _CacheNode) -> None:
        """Resets the failure count of a node."""
        node.failures = 0


class CachedObjectStore:
    """An `ObjectStore` that sends lists and watches to a cache and all else to the object store."""

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
        self.on_nodes_read: Callable[[list[ObjectRecord]], None] = lambda records: None
        """Called with the registrations of ledger nodes after each read."""
        self._store = store
        self._ledger_nodes_kind = ledger_nodes_kind
        self._bound_s = min(bounds.configuration_s, bounds.sampler_drain_s)
        self._log = log
        self._rng = rng
        self._reads = metrics.store_reads
        self._connections = CallConnectionPool()
        self._selected_cache: str | None = None
        self._latest_revisions: dict[str, int] = {}
        self._refresh_at = 0.0

    def close(self) -> None:
        """Closes the connections to caches."""
        self._connections.close()

    async def list_objects(self, kind: str) -> ObjectPage:
        """Lists a kind from a cache, unless the cache is older than an earlier read.

        The first list uses a short timeout, because a node without one cannot serve requests.
        """
        latest_revision = self._latest_revisions.get(kind, 0)
        total_timeout_s = INITIAL_READ_TIMEOUT_S if latest_revision == 0 else self._bound_s
        reply = await self._read_cache(ReadObjectsCall(kind, None, 0.0), total_timeout_s)
        if isinstance(reply, ObjectsListed) and reply.page.store_revision >= latest_revision:
            page = reply.page
        else:
            page = await self._store.list_objects(kind)
            self._reads.labels("store").inc()
        self._latest_revisions[kind] = max(latest_revision, page.store_revision)
        return page

    async def watch_objects(self, kind: str, after_revision: int, wait_s: float) -> WatchBatch:
        """Returns the changes after a revision.

        The wait is limited, because a lost connection is detected only when it ends.
        """
        await self._refresh_nodes()
        bounded_wait_s = min(wait_s, self._bound_s * WATCH_TIMEOUT_FRACTION)
        call = ReadObjectsCall(kind, after_revision, bounded_wait_s)
        reply = await self._read_cache(call, self._bound_s)
        if isinstance(reply, ChangesForgotten):
            raise StileloomError(
                ErrorKind.HISTORY_LOST, "the cache no longer holds the changes after this revision"
            )
        if isinstance(reply, ObjectsChanged):
            batch = reply.batch
        else:
            batch = await self._store.watch_objects(kind, after_revision, bounded_wait_s)
            self._reads.labels("store").inc()
        self._latest_revisions[kind] = max(after_revision, batch.store_revision)
        return batch

    async def _read_cache(self, call: ReadObjectsCall, total_timeout_s: float) -> CacheReply | None:
        """Returns a cache's reply, or None if the object store has to be read directly."""
        node = self.nodes.select(steady_time())
        if node is None:
            return None
        timeout_s = call.wait_s + self._bound_s * RESPONSE_TIMEOUT_FRACTION
        try:
            async with asyncio.timeout(total_timeout_s):
                reply = await self._connections.call(node.address, call, timeout_s)
        except (CallFailed, TimeoutError) as failure:
            refused = isinstance(failure, CallFailed) and failure.refused
            self._record_failure(node, str(failure) or "timed out", refused)
            return None
        if not isinstance(reply, ObjectsListed | ObjectsChanged | ChangesForgotten):
            self._record_failure(node, "cache is behind the object store")
            return None
        self._record_success(node)
        return reply

    def _record_success(self, node: _CacheNode) -> None:
        self.nodes.record_success(node)
        self._reads.labels("cache").inc()
        if self._selected_cache != node.name:
            self._log.emit(
                LogEvent.STORE_CACHE_CHOSEN,
                {"cache": node.name, "before": self._selected_cache or ""},
            )
            self._selected_cache = node.name

    def _record_failure(self, node: _CacheNode, reason: str, refused: bool = False) -> None:
        # Concurrent calls to the same cache fail together and count as one failure.
        now = steady_time()
        if now < node.retry_at:
            return
        if refused:
            self.nodes.record_refusal(node, now)
        else:
            self.nodes.record_failure(node, now)
        if self._selected_cache == node.name:
            self._selected_cache = None
            self._log.emit(LogEvent.STORE_CACHE_LOST, {"cache": node.name, "reason": reason})

    async def _refresh_nodes(self) -> None:
        """Refreshes the list of ledger nodes when due; a failure is retried at the next refresh."""
        now = steady_time()
        if now < self._refresh_at:
            return
        self._refresh_at = now + REFRESH_INTERVAL_S * self._rng.uniform(0.7, 1.3)
        try:
            page = await self.list_objects(self._ledger_nodes_kind)
        except StileloomError:
            return
        self.on_nodes_read(page.records)
        addresses = ledger_node_addresses(page.records)
        if addresses:
            self.nodes.update_nodes(addresses)

    async def get_object(self, kind: str, name: str) -> ObjectRecord | None:
        """Reads one object directly from the object store."""
        return await self._store.get_object(kind, name)

    async def create_object(self, kind: str, name: str, spec: Any) -> ObjectRecord:
        """Creates an object."""
        return await self._store.create_object(kind, name, spec)

    async def replace_object(self, kind: str, record: ObjectRecord) -> ObjectRecord:
        """Replaces the spec if the revision is unchanged."""
        return await self._store.replace_object(kind, record)

    async def write_status(self, kind: str, name: str, status: Any) -> None:
        """Replaces the status."""
        await self._store.write_status(kind, name, status)


def ledger_node_addresses(records: list[ObjectRecord]) -> dict[str, Address]:
    """Returns the call addresses of registered ledger nodes, by name."""
    return {
        name: registration.calls_address
        for name, registration in read_registrations(records).items()
    }
