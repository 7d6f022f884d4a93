"""Jobs of several tenants on simulated samplers, in virtual time with the real item scheduler.

A run takes as many events as its item has, at a constant interval. Items of the earlier design
start in the order of latest start alone, which is the scheduler without tenants.
"""

from __future__ import annotations

import heapq
import random

import msgspec

from stileloom.api.jobs import JobItem, JobSubmission
from stileloom.api.sampler_directory import SamplerEntry
from stileloom.jobs.job_terms import JobTerms
from stileloom.jobs.open_items import ItemSize, OpenItem
from stileloom.jobs.registry import JobRecord
from stileloom.jobs.scheduler import ItemScheduler
from stileloom.proxy.sampler_table import SamplerTable

SERVICE = "engines"
MODEL = "m"
EVENT_S = 0.04
TOKENS_PER_EVENT = 50.0
DUE_S = 7.5
"""Time within which trainers need their items."""


class TenantTraffic(msgspec.Struct, frozen=True):
    """Jobs that a tenant submits, at random moments."""

    name: str
    items_per_s: float
    job_items: int = 4
    events: float = 16.0
    prompt_tokens: float = 500.0
    priority: int = 5
    surge_at: tuple[float, float] = (0.0, 0.0)
    surge_factor: float = 1.0


class TenantResult(msgspec.Struct):
    """What a tenant got."""

    submitted: int = 0
    ended: int = 0
    in_time: int = 0
    longest_wait_s: float = 0.0
    """Longest time from submission to the first run."""
    run_s: float = 0.0
    """Sum of the times of its runs."""
    most_running: int = 0

    @property
    def share_in_time(self) -> float:
        """Fraction of the items that ended in time."""
        return self.in_time / self.submitted if self.submitted else 1.0


class TenantSimulation:
    """Runs the jobs of tenants; `leader_changes` are moments at which all state is rebuilt."""

    def __init__(
        self,
        tenants: list[TenantTraffic],
        seed: int,
        samplers: int = 4,
        slots: int = 8,
        cache_tokens: float = 25_698.0,
        fair: bool = True,
        max_wait_s: float = DUE_S,
    ) -> None:
        """After `max_wait_s` the trainer ends a job, with or without all results."""
        self.now = 0.0
        self.results = {tenant.name: TenantResult() for tenant in tenants}
        self.idle_slots_while_waiting = 0
        """Plans that left a slot free although a waiting item fitted there."""
        self._traffic = {tenant.name: tenant for tenant in tenants}
        self._seed = seed
        self._fair = fair
        self._max_wait_s = max_wait_s
        self._cache_tokens = cache_tokens
        self._entries = [
            SamplerEntry(f"s{n}", SERVICE, ("10.0.0.1", 1), "a", slots, False, {MODEL: 1})
            for n in range(samplers)
        ]
        self.scheduler = self._new_scheduler()
        self._jobs: dict[str, tuple[JobRecord, dict[str, ItemSize], float]] = {}
        self._events: dict[tuple[str, str], float] = {}
        self._has_started: set[tuple[str, str]] = set()
        self._ends: list[tuple[float, int, OpenItem, object]] = []
        self._order = 0

    def run(self, seconds: float, leader_changes: tuple[float, ...] = ()) -> None:
        """Submits jobs for some time and runs until all have ended."""
        moments = sorted([(at, "") for at in leader_changes] + self._submissions(seconds))
        for at, tenant in moments:
            self._advance(at)
            if tenant:
                self._submit(tenant)
            else:
                self._change_leader()
            self._plan()
        self._advance(seconds + self._max_wait_s + 0.1)

    def share_in_time(self, *names: str) -> float:
        """Fraction of the items of these tenants, or of all, that ended in time."""
        results = [self.results[name] for name in names or self.results]
        return sum(r.in_time for r in results) / max(1, sum(r.submitted for r in results))

    def runs_by_tenant(self) -> dict[str, int]:
        """Runs under way."""
        running: dict[str, int] = {}
        for item in self.scheduler.items.values():
            if item.run is not None:
                running[item.tenant] = running.get(item.tenant, 0) + 1
        return running

    def _new_scheduler(self) -> ItemScheduler:
        table = SamplerTable()
        table.replace_all(self._entries)
        scheduler = ItemScheduler(table)
        scheduler.has_tenants = self._fair
        scheduler.cache_tokens[SERVICE] = self._cache_tokens
        for entry in self._entries:
            scheduler.models_of(entry.sampler_id).record_version(MODEL, 1)
        scheduler.assign_models(SERVICE, [MODEL])
        return scheduler

    def _submissions(self, seconds: float) -> list[tuple[float, str]]:
        """Each tenant has its own generator: a surge of one leaves the others as they are."""
        moments: list[tuple[float, str]] = []
        for name, tenant in self._traffic.items():
            rng = random.Random(f"{self._seed}-{name}")
            at = 0.0
            while True:
                begin, end = tenant.surge_at
                factor = tenant.surge_factor if begin <= at < end else 1.0
                at += rng.expovariate(tenant.items_per_s * factor / tenant.job_items)
                if at >= seconds:
                    break
                moments.append((at, name))
        return moments

    def _submit(self, name: str) -> None:
        tenant = self._traffic[name]
        number = self.results[name].submitted
        self.results[name].submitted += tenant.job_items
        job_id = f"{name}:{number}"
        rng = random.Random(f"{self._seed}-{job_id}")
        items = [JobItem(f"{job_id}-{n}", "/p", {}, b"", job_id) for n in range(tenant.job_items)]
        sizes: dict[str, ItemSize] = {}
        for item in items:
            events = max(1.0, tenant.events * rng.lognormvariate(-0.18, 0.6))
            self._events[job_id, item.item_id] = events
            sizes[item.item_id] = ItemSize(events * TOKENS_PER_EVENT, tenant.prompt_tokens)
        record = JobRecord(
            JobSubmission(job_id, "h", "/p", 0, MODEL, 1, 1, items, tenant=tenant.name)
        )
        self._jobs[job_id] = (record, sizes, self.now)
        self._adopt(job_id)

    def _adopt(self, job_id: str) -> None:
        record, sizes, submitted_at = self._jobs[job_id]
        age_s = self.now - submitted_at
        priority = self._traffic[record.submission.tenant].priority
        terms = JobTerms(SERVICE, False, 3, self._max_wait_s, TOKENS_PER_EVENT, priority)
        self.scheduler.adopt_job(
            record, record.submission.items, terms, sizes, self.now, age_s=age_s
        )

    def _change_leader(self) -> None:
        """Streams end with their leader; items without a result begin again."""
        self._ends.clear()
        self.scheduler = self._new_scheduler()
        for job_id in self._jobs:
            self._adopt(job_id)

    def _plan(self) -> None:
        self._remove_overdue()
        for start in self.scheduler.plan_starts(self.now, [MODEL]):
            item = start.item
            result = self.results[item.tenant]
            if item.key not in self._has_started:
                self._has_started.add(item.key)
                result.longest_wait_s = max(result.longest_wait_s, self.now - item.waiting_since)
            self._order += 1
            ends_at = self.now + self._events[item.key] * EVENT_S
            heapq.heappush(self._ends, (ends_at, self._order, item, start.run))
        for name, running in self.runs_by_tenant().items():
            self.results[name].most_running = max(self.results[name].most_running, running)
        if self.scheduler._service_has_free_slot(SERVICE) and any(
            self.scheduler._best_sampler(item, self.now) is not None
            for item in self.scheduler.waiting_items(MODEL)
        ):
            self.idle_slots_while_waiting += 1

    def _advance(self, until: float) -> None:
        while self._ends and self._ends[0][0] <= until:
            self.now, _, item, run = heapq.heappop(self._ends)
            if item.run is not run:
                continue
            result = self.results[item.tenant]
            result.run_s += self._events[item.key] * EVENT_S
            result.ended += 1
            result.in_time += self.now - item.waiting_since <= DUE_S
            self.scheduler.end_run(item)
            self.scheduler.remove_listed(item.key)
            self._jobs[item.key[0]][0].listed.add(item.key[1])
            self._plan()
        self.now = until

    def _remove_overdue(self) -> None:
        for job_id in [
            job_id for job_id, (_, _, at) in self._jobs.items() if self.now >= at + self._max_wait_s
        ]:
            for item in self.scheduler.remove_job(job_id):
                self.scheduler.end_run(item)
            del self._jobs[job_id]
