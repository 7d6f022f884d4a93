"""The order in which items of several tenants and priorities start. Performs no I/O.

Answers a load in which the tenants together have more items than the samplers have slots: in the
order of latest start alone, the tenant with the most items takes nearly all slots.

The items that may start next are those of the most urgent priority that waits, and those that have
aged to it. Aging makes an item equal to more urgent ones and never places it before them.
Otherwise the backlog of a tenant that sends too much would grow old and displace all others. Among
the items that may start next the tenant with the smallest dominant share is first, so a tenant
that aging has made equal and that holds nothing starts with the next free slot.
"""

from __future__ import annotations

import heapq
from collections import Counter

from stileloom.fairness.priority import LEAST_URGENT, MOST_URGENT
from stileloom.fairness.shares import DominantShares
from stileloom.jobs.open_items import OpenItem
from stileloom.jobs.start_order import start_order

AGING_INTERVAL_S = 0.5
"""An item counts as one step more urgent for each such interval that it has waited.

An item of the least urgent priority is equal to all others after nine intervals, 4.5 s. Steps are
due in 7.5 s, which leaves 3 s for the run.
"""
MAX_AGING_S = (LEAST_URGENT - MOST_URGENT) * AGING_INTERVAL_S
"""An item that has waited this long is equal to all others, whatever its priority."""


def aged_priority(item: OpenItem, now: float) -> int:
    """The priority of an item, less one step for each interval that it has waited."""
    steps = int(max(0.0, now - item.waiting_since) / AGING_INTERVAL_S)
    return max(MOST_URGENT, item.priority - steps)


class FairOrder:
    """Hands out waiting items one by one; the caller says whether each was started.

    The caller adds the usage of a started item to the shares before it calls `started`.
    """

    def __init__(
        self, items: list[OpenItem], shares: DominantShares, interval_s: float, now: float
    ) -> None:
        self._shares = shares
        self._unfinished = Counter(item.priority for item in items)
        """Number of items that were not handed out, by priority without aging."""
        self._priority = MOST_URGENT - 1
        """Items that have aged to this priority may start; set below."""
        self._later: dict[int, list[tuple[int, OpenItem]]] = {}
        """Items that may not start yet, with their position in start order, by aged priority."""
        for position, item in enumerate(start_order(items, interval_s)):
            self._later.setdefault(aged_priority(item, now), []).append((position, item))
        self._queues: dict[str, list[tuple[int, OpenItem]]] = {}
        """Heaps of the items that may start, by tenant."""
        self._tenants: list[tuple[float, int, str]] = []
        """Heap of the tenants with such items: share, position of the first item, tenant."""
        self._admit()

    def next(self) -> OpenItem | None:
        """The item to start next; the same one until `started` or `passed_over` is called."""
        if not self._tenants:
            return None
        _, _, tenant = self._tenants[0]
        return self._queues[tenant][0][1]

    def started(self, item: OpenItem) -> None:
        """Removes an item that was started."""
        self._remove(item)

    def passed_over(self, item: OpenItem) -> None:
        """Removes an item that fits on no sampler; others of its tenant may still fit."""
        self._remove(item)

    def _remove(self, item: OpenItem) -> None:
        if item is not self.next():
            raise ValueError("only the item that was handed out can be removed")
        _, _, tenant = self._tenants[0]
        queue = self._queues[tenant]
        heapq.heappop(queue)
        if queue:
            heapq.heapreplace(self._tenants, self._entry(tenant))
        else:
            heapq.heappop(self._tenants)
        self._unfinished[item.priority] -= 1
        if not self._unfinished[item.priority]:
            del self._unfinished[item.priority]
            self._admit()

    def _admit(self) -> None:
        """Adds the items that have aged to the most urgent priority that still waits."""
        priority = min(self._unfinished, default=self._priority)
        if priority <= self._priority:
            return
        self._priority = priority
        for aged in [aged for aged in self._later if aged <= priority]:
            for position, item in self._later.pop(aged):
                heapq.heappush(self._queues.setdefault(item.tenant, []), (position, item))
        self._tenants = [self._entry(tenant) for tenant, queue in self._queues.items() if queue]
        heapq.heapify(self._tenants)

    def _entry(self, tenant: str) -> tuple[float, int, str]:
        return (self._shares.share(tenant), self._queues[tenant][0][0], tenant)
