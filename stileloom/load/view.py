"""What a process knows about the load of samplers. Performs no I/O.

Handles uneven and changing speeds of samplers: each gateway alone sees few responses, so a reading
counts by its age and gives way to the median of the other samplers of the service once it is old.
"""

from __future__ import annotations

import math
from bisect import bisect_left
from collections.abc import Callable

import msgspec

from stileloom.api.sampler_directory import SamplerEntry
from stileloom.load.readings import LoadReading
from stileloom.load.stall import StallDetector

FULL_WEIGHT_S = 0.3
"""Age up to which a reading has full weight; slowness changes several times a second."""
EXPIRY_S = 1.5
"""Age from which a reading has no weight."""
IN_USE_S = 10.0
"""How long a fourth figure of a sampler keeps the view in use for its service."""
PRUNE_INTERVAL_S = 1.0
REMOVED_S = 60.0
"""How long the start of a removed sampler is kept; no request of before is answered later."""
USUAL_SLOWNESS = 1.0
MIN_OTHERS = 2
"""Readings from which the median of a service is taken; a single one would be its own median."""


class LoadEstimate(msgspec.Struct, frozen=True):
    """Expected load of a sampler."""

    occupancy: float
    """Running and waiting requests for each slot, decayed with age towards that of the others."""
    slowness: float
    """Decayed with age towards the median of the other samplers of the service."""
    age_s: float
    """Age of the sampler's reading; inf if nothing is known."""
    shared: bool
    """Whether another node measured the reading."""


class MeasuredReading(msgspec.Struct, frozen=True):
    """The latest reading of a sampler's current incarnation."""

    entry: SamplerEntry
    reading: LoadReading
    measured_at: float
    shared: bool

    @property
    def occupancy(self) -> float:
        """Running and waiting requests for each slot.

        The smaller of the slots reported and listed counts, so that a sampler that reports too many
        by mistake does not appear free.
        """
        reading = self.reading
        return (reading.running + reading.waiting) / max(1, min(reading.slots, self.entry.slots))


class _ServiceLoad(msgspec.Struct, frozen=True):
    """The readings of a service that have not expired, each figure in ascending order."""

    computed_at: float
    sampler_ids: set[str]
    occupancies: list[float]
    slownesses: list[float]


def weight_at(age_s: float) -> float:
    """Weight of a reading of this age, from 1 to 0."""
    return min(1.0, max(0.0, (EXPIRY_S - age_s) / (EXPIRY_S - FULL_WEIGHT_S)))


def median_of_others(ordered: list[float], own: float | None, default: float) -> float:
    """Median of figures in ascending order without the own one, which is one of them if given.

    `default` if there are fewer than `MIN_OTHERS`.
    """
    skipped = bisect_left(ordered, own) if own is not None else len(ordered)
    count = len(ordered) - (own is not None)
    if count < MIN_OTHERS:
        return default

    def at(position: int) -> float:
        return ordered[position if position < skipped else position + 1]

    middle = count // 2
    return at(middle) if count % 2 else (at(middle - 1) + at(middle)) / 2


class LoadView:
    """The latest reading of each sampler, with its age."""

    def __init__(self, entry_of: Callable[[str], SamplerEntry | None] | None = None) -> None:
        """`entry_of` returns the listed sampler of an id; without it, all count as listed."""
        self._entry_of = entry_of
        self.stalls = StallDetector()
        """Stalls of this process; whoever records or receives readings asks it first."""
        self._measured: dict[str, MeasuredReading] = {}
        self._by_service: dict[str, dict[str, MeasuredReading]] = {}
        """The same readings by service, so that a decision looks at those of its service only."""
        self._latest_start_ms: dict[str, int] = {}
        """Latest start time by sampler id, kept after a removal: an earlier process may still
        respond to requests that it received before."""
        self._removed: dict[str, float | None] = {}
        """Removed samplers, with the time at which pruning first saw the removal."""
        self._slowness_reported_at: dict[str, float] = {}
        """When a sampler of a service last reported a fourth figure, by service."""
        self._service_loads: dict[str, _ServiceLoad] = {}
        self._pruned_at = -math.inf

    def record(
        self,
        entry: SamplerEntry,
        reading: LoadReading,
        measured_at: float,
        now: float,
        shared: bool = False,
    ) -> None:
        """Records a reading, unless a newer one or one of a later incarnation is known."""
        self._prune(now)
        if not self._is_current(entry):
            return
        measured_at = min(measured_at, now)
        service = entry.service
        if reading.slowness is not None:
            reported_at = self._slowness_reported_at.get(service, -math.inf)
            self._slowness_reported_at[service] = max(reported_at, measured_at)
        known = self._measured.get(entry.sampler_id)
        if known is not None and known.measured_at > measured_at:
            return
        self._forget(entry.sampler_id)
        latest = MeasuredReading(entry, reading, measured_at, shared)
        self._measured[entry.sampler_id] = latest
        self._by_service.setdefault(service, {})[entry.sampler_id] = latest
        self._service_loads.pop(service, None)

    def is_in_use(self, service: str, now: float) -> bool:
        """Whether a sampler of the service reported a fourth figure in the last 10 s."""
        return now - self._slowness_reported_at.get(service, -math.inf) <= IN_USE_S

    def estimate(self, entry: SamplerEntry, now: float) -> LoadEstimate:
        """Expected load of a sampler now."""
        service = self._service_load(entry.service, now)
        known = self.latest(entry)
        # A reading of another incarnation is not one of another sampler either.
        counted = self._measured.get(entry.sampler_id)
        own_occupancy, own_slowness = None, None
        if counted is not None and entry.sampler_id in service.sampler_ids:
            own_occupancy, own_slowness = counted.occupancy, counted.reading.slowness
        usual_occupancy = median_of_others(service.occupancies, own_occupancy, 0.0)
        usual_slowness = median_of_others(service.slownesses, own_slowness, USUAL_SLOWNESS)
        if known is None:
            return LoadEstimate(usual_occupancy, usual_slowness, math.inf, False)
        age_s = max(0.0, now - known.measured_at)
        weight = weight_at(age_s)
        slowness = known.reading.slowness
        if slowness is None:
            slowness = usual_slowness
        return LoadEstimate(
            weight * known.occupancy + (1 - weight) * usual_occupancy,
            weight * slowness + (1 - weight) * usual_slowness,
            age_s,
            known.shared,
        )

    def remove(self, sampler_id: str) -> None:
        """Forgets the reading of a sampler that was removed or restarted."""
        self._removed.setdefault(sampler_id, None)
        self._forget(sampler_id)

    def _forget(self, sampler_id: str) -> None:
        known = self._measured.pop(sampler_id, None)
        if known is not None:
            service = known.entry.service
            self._service_loads.pop(service, None)
            del self._by_service[service][sampler_id]
            if not self._by_service[service]:
                del self._by_service[service]

    def on_listed(self, entry: SamplerEntry) -> None:
        """Notes the incarnation that the directory lists; readings of earlier ones are dropped."""
        self._removed.pop(entry.sampler_id, None)
        self._is_current(entry)

    def latest(self, entry: SamplerEntry) -> MeasuredReading | None:
        """The latest reading of this incarnation, whatever its age."""
        known = self._measured.get(entry.sampler_id)
        if known is None or known.entry.incarnation != entry.incarnation:
            return None
        return known

    def unexpired(self, now: float) -> list[MeasuredReading]:
        """All readings that have not expired."""
        return [known for known in self._measured.values() if now - known.measured_at < EXPIRY_S]

    def has_full_or_slow_sampler(self, service: str, now: float) -> bool:
        """Whether a reading that has not expired shows a full or slow sampler of the service."""
        return any(
            known.reading.is_full or known.reading.is_slow
            for known in self._listed_of(service, now)
        )

    def _listed_of(self, service: str, now: float) -> list[MeasuredReading]:
        """Unexpired readings of the listed samplers of a service.

        Removed samplers may still respond to requests that they received before.
        """
        return [
            known
            for sampler_id, known in self._by_service.get(service, {}).items()
            if now - known.measured_at < EXPIRY_S
            and (self._entry_of is None or self._entry_of(sampler_id) is not None)
        ]

    def _is_current(self, entry: SamplerEntry) -> bool:
        """Whether no later incarnation is known; drops what is known of an earlier one."""
        latest_start_ms = self._latest_start_ms.get(entry.sampler_id)
        if latest_start_ms is not None and entry.born_ms < latest_start_ms:
            return False
        if latest_start_ms != entry.born_ms:
            self._latest_start_ms[entry.sampler_id] = entry.born_ms
            self._forget(entry.sampler_id)
        return True

    def _service_load(self, service: str, now: float) -> _ServiceLoad:
        load = self._service_loads.get(service)
        if load is None or load.computed_at != now:
            counted = self._listed_of(service, now)
            slownesses = [known.reading.slowness for known in counted]
            load = _ServiceLoad(
                now,
                {known.entry.sampler_id for known in counted},
                sorted(known.occupancy for known in counted),
                sorted(slowness for slowness in slownesses if slowness is not None),
            )
            self._service_loads[service] = load
        return load

    def _prune(self, now: float) -> None:
        """Drops readings without weight, also of samplers that responded after their removal."""
        if now < self._pruned_at + PRUNE_INTERVAL_S:
            return
        self._pruned_at = now
        expired = [
            sampler_id
            for sampler_id, known in self._measured.items()
            if now - known.measured_at > IN_USE_S
        ]
        for sampler_id in expired:
            self._forget(sampler_id)
            if self._entry_of is not None and self._entry_of(sampler_id) is None:
                self._removed.setdefault(sampler_id, None)
        for sampler_id, removed_at in list(self._removed.items()):
            if removed_at is None:
                self._removed[sampler_id] = now
            elif now - removed_at > REMOVED_S:
                del self._removed[sampler_id]
                self._latest_start_ms.pop(sampler_id, None)
