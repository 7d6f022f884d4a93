"""Schedulers: choose the sampler for each open slot, and which generations to move.

`BaselineScheduler` is the reference for benchmarks: first come first served, round robin, no
moves, and weight swaps only on drained samplers. `DefaultScheduler` is used in production.
"""

from __future__ import annotations

import abc
import enum
import heapq

from stileloom.rollout.length_estimate import LengthEstimate
from stileloom.rollout.staleness import start_budget
from stileloom.rollout.work import (
    Assignment,
    Migration,
    PendingSlot,
    RoundWork,
    SamplerCapacity,
    Start,
)
from stileloom.weights.swap import SwapStyle

MIGRATION_MIN_IMBALANCE = 4
"""Minimum difference in generations between two samplers before one is moved."""
MIGRATION_MIN_REMAINING_TOKENS = 64
MIGRATIONS_PER_PLAN = 2
CURRENT_ONLY_PERIOD_S = 10.0
"""Time after a new version during which fresh slots start only on samplers that hold it."""
NO_TOKENS_SORT_KEY = 1 << 60
"""Sorts slots without tokens after those that have some."""


class SchedulerKind(enum.Enum):
    """Scheduler names in settings and on the command line."""

    BASELINE = "baseline"
    DEFAULT = "default"


class Scheduler(abc.ABC):
    """Plans one round at a time; does not track running generations."""

    swap_style: SwapStyle
    lends_samplers: bool

    @abc.abstractmethod
    def plan_starts(self, work: RoundWork) -> list[Start]:
        """Returns the slots to start now."""

    def plan_migrations(self, work: RoundWork, now: float) -> list[Migration]:
        """Returns the generations to stop now, to be resumed on another sampler."""
        return []

    def observe(self, group: str, token_count: int) -> None:
        """Records a finished generation; ignored by default."""
        del group, token_count

    def protected_count(self, oldest_allowed: int, oldest_versions: list[int]) -> int:
        """Returns how many running generations a hand-over waits for.

        `oldest_versions` has the oldest version of each running generation; `oldest_allowed`
        is the oldest version that may be handed over now.
        """
        return 0

    def has_unplaced_slots(self, work: RoundWork) -> bool:
        """Whether slots wait for capacity, so that freed capacity requires a new plan."""
        return bool(work.pending)


class BaselineScheduler(Scheduler):
    """Assigns slots in order of arrival, round robin over the samplers."""

    swap_style = SwapStyle.DRAIN
    lends_samplers = False

    def __init__(self) -> None:
        self._next_index = 0

    def plan_starts(self, work: RoundWork) -> list[Start]:
        """Starts as many slots as the staleness budget allows."""
        in_flight = len(work.assignments)
        budget = start_budget(work.state, work.staleness_bound, in_flight, work.requested_until)
        # Samplers with old weights get no new work, so that they drain and swap.
        samplers = [sampler for sampler in work.samplers if sampler.current]
        samplers.sort(key=lambda sampler: sampler.view.sampler_id)
        starts: list[Start] = []
        ordered = sorted(work.pending, key=lambda slot: slot.number)
        for pending in within_budget(ordered, budget):
            sampler = self._next(samplers)
            if sampler is None:
                break
            sampler.assigned += 1
            starts.append(Start(pending, sampler.view.sampler_id))
        return starts

    def _next(self, samplers: list[SamplerCapacity]) -> SamplerCapacity | None:
        for _ in samplers:
            self._next_index += 1
            sampler = samplers[self._next_index % len(samplers)]
            if sampler.free > 0:
                return sampler
        return None


class Mechanism(enum.Enum):
    """Features of the default scheduler that benchmarks can disable."""

    LONGEST_FIRST = "longest_first"
    """Start fresh slots in descending order of expected length."""
    LATE_START = "late_start"
    """Start a fresh slot no earlier than its expected duration requires."""
    CURRENT_ONLY = "current_only"
    """Start fresh slots only on samplers that hold the current version, while it is new."""
    PROTECT_EXPIRING = "protect_expiring"
    """Delay a hand-over for running generations that the next version would make too old."""
    SHIFT_TAIL = "shift_tail"
    """Move long generations from loaded samplers to idle ones."""
    IN_FLIGHT_SWAP = "in_flight_swap"
    """Swap weights without waiting for running generations."""
    LEND_SAMPLERS = "lend_samplers"
    """Lend idle lookup samplers to rounds."""


class _SamplerQueue:
    """A priority queue of samplers, least utilized first."""

    def __init__(self, samplers: list[SamplerCapacity]) -> None:
        self._by_name = {sampler.view.sampler_id: sampler for sampler in samplers}
        self._heap = [(_load_key(sampler), sampler.view.sampler_id) for sampler in samplers]
        heapq.heapify(self._heap)

    def take(self) -> SamplerCapacity | None:
        """Returns the least utilized sampler with capacity; the caller then increases its load."""
        while self._heap:
            queued_key, name = self._heap[0]
            sampler = self._by_name[name]
            load_key = _load_key(sampler)
            if sampler.free <= 0:
                heapq.heappop(self._heap)
            elif load_key != queued_key:
                # The load has changed since the entry was queued.
                heapq.heapreplace(self._heap, (load_key, name))
            else:
                return sampler
        return None


def _load_key(sampler: SamplerCapacity) -> tuple[float, bool]:
    """Sort key: utilization, then samplers that hold the current version first."""
    return (sampler.assigned / max(1, sampler.limit), not sampler.current)


class DefaultScheduler(Scheduler):
    """Starts slots as late as their step allows, on the least utilized sampler."""

    def __init__(self, disabled: frozenset[Mechanism] = frozenset()) -> None:
        self._length_estimate = LengthEstimate()
        self._disabled = disabled
        self._unplaced_count = 0
        swaps_in_flight = self._enabled(Mechanism.IN_FLIGHT_SWAP)
        self.swap_style = SwapStyle.IN_FLIGHT if swaps_in_flight else SwapStyle.DRAIN
        self.lends_samplers = self._enabled(Mechanism.LEND_SAMPLERS)

    def _enabled(self, mechanism: Mechanism) -> bool:
        return mechanism not in self._disabled

    def observe(self, group: str, token_count: int) -> None:
        self._length_estimate.observe(group, token_count)

    def plan_starts(self, work: RoundWork) -> list[Start]:
        """Starts resumed slots, which need no budget, and due fresh slots within the budget."""
        resumed = [slot for slot in work.pending if slot.partial.tokens]
        in_flight = len(work.assignments) + len(resumed)
        budget = start_budget(work.state, work.staleness_bound, in_flight, work.requested_until)
        fresh = self._due_slots(work) if budget or work.has_blocking else []
        ordered = sorted(resumed, key=self._start_order)
        ordered += within_budget(sorted(fresh, key=self._start_order), budget)
        self._unplaced_count = 0
        if not ordered:
            return []
        starts: list[Start] = []
        self._unplaced_count = len(ordered)
        queue = _SamplerQueue(work.samplers)
        fresh_queue = queue
        if self._enabled(Mechanism.CURRENT_ONLY) and work.version_age_s < CURRENT_ONLY_PERIOD_S:
            current = [sampler for sampler in work.samplers if sampler.current]
            fresh_queue = _SamplerQueue(current)
        for pending in ordered:
            sampler = (queue if pending.partial.tokens else fresh_queue).take()
            if sampler is None:
                continue
            sampler.assigned += 1
            self._unplaced_count -= 1
            starts.append(Start(pending, sampler.view.sampler_id))
        return starts

    def _due_slots(self, work: RoundWork) -> list[PendingSlot]:
        """Returns the fresh slots that must start now to finish in time for their step."""
        fresh = [slot for slot in work.pending if not slot.partial.tokens]
        if not self._enabled(Mechanism.LATE_START):
            return fresh
        size = work.state.samples_per_step
        # The lead is counted from the last step handed over. If the staleness bound is at most 1
        # and no full step was handed over at the current version, it is counted from the step
        # that is collected now, so that the next step is generated in parallel.
        base_step = work.state.next_offset // size
        if work.staleness_bound > 1 or work.state.handed_over_at_version >= size:
            base_step -= 1
        leads: dict[tuple[str, int], int] = {}
        due: list[PendingSlot] = []
        for slot in fresh:
            key = (slot.prompt.group, slot.prompt.max_tokens)
            if key not in leads:
                expected = self._length_estimate.expected(*key, 0)
                leads[key] = work.lead.lead_steps(expected, max(1, work.staleness_bound))
            if slot.blocking or slot.number // size - base_step <= leads[key]:
                due.append(slot)
        return due

    def has_unplaced_slots(self, work: RoundWork) -> bool:
        """Whether the last plan lacked capacity for a due slot."""
        return self._unplaced_count > 0

    def _start_order(self, pending: PendingSlot) -> tuple[bool, int, int, float, int]:
        """Sort key: blocking, policy priority, oldest version, longest expected length, arrival."""
        oldest = pending.oldest_version
        expected = self._length_estimate.expected(
            pending.prompt.group, pending.prompt.max_tokens, len(pending.partial.tokens)
        )
        return (
            not pending.blocking,
            -pending.priority,
            oldest if oldest is not None else NO_TOKENS_SORT_KEY,
            -expected if self._enabled(Mechanism.LONGEST_FIRST) else 0.0,
            pending.number,
        )

    def plan_migrations(self, work: RoundWork, now: float) -> list[Migration]:
        """Balances load while no slot is due, as engines decode faster with smaller batches."""
        if not self._enabled(Mechanism.SHIFT_TAIL) or len(work.samplers) < 2:
            return []
        if any(slot.partial.tokens for slot in work.pending) or self._due_slots(work):
            return []
        migrations: list[Migration] = []
        by_load = sorted(work.samplers, key=lambda sampler: sampler.assigned)
        least_loaded, most_loaded = by_load[0], by_load[-1]
        while len(migrations) < MIGRATIONS_PER_PLAN:
            if most_loaded.assigned - least_loaded.assigned < MIGRATION_MIN_IMBALANCE:
                break
            assignment = self._longest_on(work, most_loaded.view.sampler_id, migrations)
            if assignment is None:
                break
            most_loaded.assigned -= 1
            least_loaded.assigned += 1
            migrations.append(Migration(assignment.key))
        return migrations

    def _longest_on(
        self, work: RoundWork, sampler_id: str, planned: list[Migration]
    ) -> Assignment | None:
        keys = {migration.key for migration in planned}
        candidates = [
            assignment
            for assignment in work.assignments
            if assignment.sampler_id == sampler_id
            and not assignment.stopping
            and assignment.key not in keys
        ]
        remaining = [
            (
                self._length_estimate.expected(
                    assignment.prompt.group,
                    assignment.prompt.max_tokens,
                    assignment.known_token_count,
                )
                - assignment.known_token_count,
                assignment,
            )
            for assignment in candidates
        ]
        eligible = [row for row in remaining if row[0] >= MIGRATION_MIN_REMAINING_TOKENS]
        if not eligible:
            return None
        return max(eligible, key=lambda row: (row[0], -row[1].key.slot))[1]

    def protected_count(self, oldest_allowed: int, oldest_versions: list[int]) -> int:
        """Returns the number of generations that the next version would make too old."""
        if not self._enabled(Mechanism.PROTECT_EXPIRING):
            return 0
        return sum(1 for version in oldest_versions if version <= oldest_allowed)


def within_budget(ordered: list[PendingSlot], budget: int) -> list[PendingSlot]:
    """Returns up to `budget` slots, plus every blocking slot, as the trainer waits for it."""
    blocking = [slot for slot in ordered if slot.blocking]
    others = [slot for slot in ordered if not slot.blocking]
    return blocking + others[: max(0, budget - len(blocking))]


def make_scheduler(kind: SchedulerKind, disabled: frozenset[Mechanism] = frozenset()) -> Scheduler:
    """Creates a scheduler; `disabled` applies only to the default one."""
    if kind is SchedulerKind.BASELINE:
        return BaselineScheduler()
    return DefaultScheduler(disabled)
