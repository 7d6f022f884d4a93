"""Schedulers: which open slot starts on which sampler, and what is shifted.

`BaselineScheduler` is the yardstick: first come first served, round robin, no shifting, and
weights swapped only once a sampler has drained. `DefaultScheduler` is what users get.
"""

from __future__ import annotations

import abc
import enum

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

    def reserved(self, work: RoundWork) -> int:
        """Places of the step being gathered that are kept for generations under way."""
        return 0


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


class DefaultScheduler(Scheduler):
    """Oldest and longest first, onto the emptiest sampler; shifts work off the tail."""

    swap_style = SwapStyle.IN_FLIGHT
    shifts_roles = True

    def __init__(self, protect_expiring: bool = True, shift_tail: bool = True) -> None:
        self._lengths = LengthEstimate()
        self._protect_expiring = protect_expiring
        self._shift_tail = shift_tail

    def observe(self, group: str, token_count: int) -> None:
        """Feeds the length estimate."""
        self._lengths.observe(group, token_count)

    def plan_starts(self, work: RoundWork) -> list[Start]:
        """Resumed slots do not count against the budget again: they are under way already."""
        resumed = [slot for slot in work.pending if slot.partial.tokens]
        fresh = [slot for slot in work.pending if not slot.partial.tokens]
        under_way = len(work.assignments) + len(resumed)
        budget = may_start_count(work.state, work.staleness_bound, under_way, work.wanted_until)
        ordered = sorted(resumed, key=self._urgency)
        ordered += within_budget(sorted(fresh, key=self._urgency), budget)
        starts: list[Start] = []
        for pending in ordered:
            sampler = _emptiest(work.samplers)
            if sampler is None:
                break
            sampler.assigned += 1
            starts.append(Start(pending, sampler.view.sampler_id))
        return starts

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
            -expected,
            pending.slot,
        )

    def plan_shifts(self, work: RoundWork, now: float) -> list[Shift]:
        """While nothing is left to start, evens out samplers: an emptier batch steps faster."""
        if not self._shift_tail or work.pending or len(work.samplers) < 2:
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

    def reserved(self, work: RoundWork) -> int:
        """Generations that the next version would make too old belong to this step."""
        if not self._protect_expiring:
            return 0
        limit = work.state.version - work.staleness_bound
        oldest = [assignment.oldest_version for assignment in work.assignments]
        oldest += [slot.oldest_version for slot in work.pending]
        return sum(1 for version in oldest if version is not None and version <= limit)


def within_budget(ordered: list[PendingSlot], budget: int) -> list[PendingSlot]:
    """The first `budget` slots, and every blocking one: without it nothing would go on."""
    blocking = [slot for slot in ordered if slot.blocking]
    others = [slot for slot in ordered if not slot.blocking]
    return blocking + others[: max(0, budget - len(blocking))]


def _emptiest(samplers: list[SamplerCapacity]) -> SamplerCapacity | None:
    free = [sampler for sampler in samplers if sampler.free > 0]
    return min(
        free,
        key=lambda s: (s.assigned / max(1, s.limit), not s.current, s.view.sampler_id),
        default=None,
    )


def make_scheduler(kind: SchedulerKind) -> Scheduler:
    """The scheduler of a name."""
    return BaselineScheduler() if kind is SchedulerKind.BASELINE else DefaultScheduler()
