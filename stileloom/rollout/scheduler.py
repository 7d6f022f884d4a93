"""Schedulers: which open slot starts on which sampler, and what is shifted.

`BaselineScheduler` is the yardstick: first come first served, round robin, no shifting, and
weights swapped only once a sampler has drained. `DefaultScheduler` is what users get.
"""

from __future__ import annotations

import abc
import enum
import heapq

from stileloom.rollout.length_estimate import LengthEstimate
from stileloom.rollout.staleness import may_start_count
from stileloom.rollout.work import (
    Assignment,
    PendingSlot,
    RoundWork,
    SamplerCapacity,
    Shift,
    Start,
)
from stileloom.weights.swap import SwapStyle

SHIFT_MIN_IMBALANCE = 4
"""Generations by which two samplers must differ before one is shifted between them."""
SHIFT_MIN_REMAINING_TOKENS = 64
SHIFTS_PER_PLAN = 2
SWAP_EXPECTED_S = 10.0
"""After this, samplers that still hold an older version are used all the same."""
VERSION_UNKNOWN = 1 << 60
"""Sorts slots without any tokens behind those that have some."""


class SchedulerKind(enum.Enum):
    """Schedulers by the name that settings and the command line use."""

    BASELINE = "baseline"
    DEFAULT = "default"


class Scheduler(abc.ABC):
    """Plans one round at a time; keeps no record of what runs."""

    swap_style: SwapStyle
    shifts_roles: bool

    @abc.abstractmethod
    def plan_starts(self, work: RoundWork) -> list[Start]:
        """What to start now."""

    def plan_shifts(self, work: RoundWork, now: float) -> list[Shift]:
        """What to stop now, so that it goes on elsewhere."""
        return []

    def observe(self, group: str, token_count: int) -> None:
        """A generation finished; a scheduler that learns nothing ignores it."""
        del group, token_count

    def reserved(self, oldest_allowed: int, oldest_versions: list[int]) -> int:
        """Places of the step being gathered that are kept for generations under way.

        `oldest_versions` has the oldest version in each of them; `oldest_allowed` is the
        oldest that may be handed over now.
        """
        return 0

    def may_start_more(self, work: RoundWork) -> bool:
        """Whether something waits only for room, so that each end calls for a new plan."""
        return bool(work.pending)


class BaselineScheduler(Scheduler):
    """Round robin over samplers, slots in order of arrival."""

    swap_style = SwapStyle.DRAIN
    shifts_roles = False

    def __init__(self) -> None:
        self._turn = 0

    def plan_starts(self, work: RoundWork) -> list[Start]:
        """Starts as many as the staleness budget allows, each on the next sampler in turn."""
        under_way = len(work.assignments)
        budget = may_start_count(work.state, work.staleness_bound, under_way, work.wanted_until)
        # A sampler with old weights must drain, so that it can swap.
        samplers = [sampler for sampler in work.samplers if sampler.current]
        samplers.sort(key=lambda sampler: sampler.view.sampler_id)
        starts: list[Start] = []
        ordered = sorted(work.pending, key=lambda slot: slot.slot)
        for pending in within_budget(ordered, budget):
            sampler = self._next(samplers)
            if sampler is None:
                break
            sampler.assigned += 1
            starts.append(Start(pending, sampler.view.sampler_id))
        return starts

    def _next(self, samplers: list[SamplerCapacity]) -> SamplerCapacity | None:
        for _ in samplers:
            self._turn += 1
            sampler = samplers[self._turn % len(samplers)]
            if sampler.free > 0:
                return sampler
        return None


class Mechanism(enum.Enum):
    """Parts of the default scheduler that a bench can leave out, to see what each is worth."""

    LONGEST_FIRST = "longest_first"
    """Fresh slots in the order of their expected length."""
    LATE_START = "late_start"
    """A slot starts no earlier than its expected duration asks for."""
    CURRENT_ONLY = "current_only"
    """Fresh slots start only on samplers that hold the current version already."""
    PROTECT_EXPIRING = "protect_expiring"
    """A step waits for what the next version would make too old."""
    SHIFT_TAIL = "shift_tail"
    """Long generations are moved from full samplers to empty ones."""
    IN_FLIGHT_SWAP = "in_flight_swap"
    """Weights are swapped under running generations."""
    LEND_SAMPLERS = "lend_samplers"
    """Idle lookup samplers work for rounds."""


class _SamplerChoice:
    """The least crowded sampler with room, again and again, while they fill up."""

    def __init__(self, samplers: list[SamplerCapacity]) -> None:
        self._by_name = {sampler.view.sampler_id: sampler for sampler in samplers}
        self._heap = [(_crowding(sampler), sampler.view.sampler_id) for sampler in samplers]
        heapq.heapify(self._heap)

    def take(self) -> SamplerCapacity | None:
        """The sampler to use; the caller then adds to its load."""
        while self._heap:
            known, name = self._heap[0]
            sampler = self._by_name[name]
            crowding = _crowding(sampler)
            if sampler.free <= 0:
                heapq.heappop(self._heap)
            elif crowding != known:
                # Its load has grown since it was put here.
                heapq.heapreplace(self._heap, (crowding, name))
            else:
                return sampler
        return None


def _crowding(sampler: SamplerCapacity) -> tuple[float, bool]:
    """How full a sampler is; at a tie one that holds the current version goes first."""
    return (sampler.assigned / max(1, sampler.limit), not sampler.current)


class DefaultScheduler(Scheduler):
    """Blocking and oldest first, each as late as it can, onto the emptiest sampler."""

    def __init__(self, without: frozenset[Mechanism] = frozenset()) -> None:
        self._lengths = LengthEstimate()
        self._without = without
        self._left_over = 0
        in_flight = self._has(Mechanism.IN_FLIGHT_SWAP)
        self.swap_style = SwapStyle.IN_FLIGHT if in_flight else SwapStyle.DRAIN
        self.shifts_roles = self._has(Mechanism.LEND_SAMPLERS)

    def _has(self, mechanism: Mechanism) -> bool:
        return mechanism not in self._without

    def observe(self, group: str, token_count: int) -> None:
        """Feeds the length estimate."""
        self._lengths.observe(group, token_count)

    def plan_starts(self, work: RoundWork) -> list[Start]:
        """Resumed slots do not count against the budget again: they are under way already."""
        resumed = [slot for slot in work.pending if slot.partial.tokens]
        under_way = len(work.assignments) + len(resumed)
        budget = may_start_count(work.state, work.staleness_bound, under_way, work.wanted_until)
        fresh = self._due(work) if budget or work.has_blocking else []
        ordered = sorted(resumed, key=self._urgency)
        ordered += within_budget(sorted(fresh, key=self._urgency), budget)
        self._left_over = 0
        if not ordered:
            return []
        starts: list[Start] = []
        self._left_over = len(ordered)
        choice = _SamplerChoice(work.samplers)
        fresh_choice = choice
        if self._has(Mechanism.CURRENT_ONLY) and work.version_age_s < SWAP_EXPECTED_S:
            current = [sampler for sampler in work.samplers if sampler.current]
            fresh_choice = _SamplerChoice(current)
        for pending in ordered:
            sampler = (choice if pending.partial.tokens else fresh_choice).take()
            if sampler is None:
                continue
            sampler.assigned += 1
            self._left_over -= 1
            starts.append(Start(pending, sampler.view.sampler_id))
        return starts

    def _due(self, work: RoundWork) -> list[PendingSlot]:
        """Fresh slots that have to start by now to be done in time for their step."""
        fresh = [slot for slot in work.pending if not slot.partial.tokens]
        if not self._has(Mechanism.LATE_START):
            return fresh
        size = work.state.samples_per_step
        # The last step that is handed over, or, with a bound that leaves no other slack, the
        # one that belongs to the current version, even while it is waited for: then the next
        # one starts beside what the trainer waits for, and slows that down a little.
        step = work.state.next_offset // size
        if work.staleness_bound > 1 or work.state.handed_over_at_version >= size:
            step -= 1
        leads: dict[tuple[str, int], int] = {}
        due: list[PendingSlot] = []
        for slot in fresh:
            group = (slot.prompt.group, slot.prompt.max_tokens)
            if group not in leads:
                expected = self._lengths.expected(*group, 0)
                leads[group] = work.lead.lead_steps(expected, max(1, work.staleness_bound))
            if slot.blocking or slot.slot // size - step <= leads[group]:
                due.append(slot)
        return due

    def may_start_more(self, work: RoundWork) -> bool:
        """Whether the last plan found no room for something that is due."""
        return self._left_over > 0

    def _urgency(self, pending: PendingSlot) -> tuple[bool, int, int, float, int]:
        """Blocking, priority by policy, oldest tokens, longest expected, then arrival."""
        oldest = pending.oldest_version
        expected = self._lengths.expected(
            pending.prompt.group, pending.prompt.max_tokens, len(pending.partial.tokens)
        )
        return (
            not pending.blocking,
            -pending.priority,
            oldest if oldest is not None else VERSION_UNKNOWN,
            -expected if self._has(Mechanism.LONGEST_FIRST) else 0.0,
            pending.slot,
        )

    def plan_shifts(self, work: RoundWork, now: float) -> list[Shift]:
        """While nothing is left to start, evens out samplers: an emptier batch steps faster."""
        if not self._has(Mechanism.SHIFT_TAIL) or len(work.samplers) < 2:
            return []
        if any(slot.partial.tokens for slot in work.pending) or self._due(work):
            return []
        shifts: list[Shift] = []
        by_load = sorted(work.samplers, key=lambda sampler: sampler.assigned)
        emptiest, busiest = by_load[0], by_load[-1]
        while len(shifts) < SHIFTS_PER_PLAN:
            if busiest.assigned - emptiest.assigned < SHIFT_MIN_IMBALANCE:
                break
            assignment = self._longest_on(work, busiest.view.sampler_id, shifts)
            if assignment is None:
                break
            busiest.assigned -= 1
            emptiest.assigned += 1
            shifts.append(Shift(assignment.key))
        return shifts

    def _longest_on(
        self, work: RoundWork, sampler_id: str, taken: list[Shift]
    ) -> Assignment | None:
        keys = {shift.key for shift in taken}
        candidates = [
            assignment
            for assignment in work.assignments
            if assignment.sampler_id == sampler_id
            and not assignment.stopping
            and assignment.key not in keys
        ]
        remaining = [
            (
                self._lengths.expected(
                    assignment.prompt.group,
                    assignment.prompt.max_tokens,
                    assignment.tokens_at_start,
                )
                - assignment.tokens_at_start,
                assignment,
            )
            for assignment in candidates
        ]
        long_enough = [row for row in remaining if row[0] >= SHIFT_MIN_REMAINING_TOKENS]
        if not long_enough:
            return None
        return max(long_enough, key=lambda row: (row[0], -row[1].key.slot))[1]

    def reserved(self, oldest_allowed: int, oldest_versions: list[int]) -> int:
        """Generations that the next version would make too old belong to this step."""
        if not self._has(Mechanism.PROTECT_EXPIRING):
            return 0
        return sum(1 for version in oldest_versions if version <= oldest_allowed)


def within_budget(ordered: list[PendingSlot], budget: int) -> list[PendingSlot]:
    """The first `budget` slots, and every blocking one: without it nothing would go on."""
    blocking = [slot for slot in ordered if slot.blocking]
    others = [slot for slot in ordered if not slot.blocking]
    return blocking + others[: max(0, budget - len(blocking))]


def make_scheduler(kind: SchedulerKind, without: frozenset[Mechanism] = frozenset()) -> Scheduler:
    """The scheduler of a name; `without` only concerns the default one."""
    if kind is SchedulerKind.BASELINE:
        return BaselineScheduler()
    return DefaultScheduler(without)
