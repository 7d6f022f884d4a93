"""Decides which sampler loads which weight version next. Performs no I/O and reads no clock.

A sampler cannot generate while it loads. Jobs may accept the previous version, so a load is
delayed until the sampler's runs have ended or can be moved to other samplers. It is ordered at
once if waiting items require the newer version. Only some samplers of a service load at a time,
because they share bandwidth and the others have to continue running items.
"""

from __future__ import annotations

import math

import msgspec

from stileloom.api.dialect import LoadStrategy
from stileloom.jobs.open_items import OpenItem
from stileloom.jobs.scheduler import ItemScheduler
from stileloom.proxy.sampler_table import SamplerTable, TrackedSampler
from stileloom.switches import ALL_ON, Switches

MAX_LOADING_SHARE = 0.4
"""Maximum fraction of a service's samplers that load concurrently."""
MIN_CONCURRENT_LOADS = 2
LOAD_DELAY_S = 0.4
"""Delay of loads after an announcement, so that items of its step can arrive and start first."""
READY_ITEM_SHARE = 0.5
"""Samplers load a version ahead of its use until they have slots for this share of a job's items.

The next job's longest items start first, on these samplers; the others have loaded by the time the
shorter ones start. A sampler that skips a version this way loads half as often.
"""
MAX_EVACUATED_SLOT_SHARE = 0.4
"""A sampler's runs are moved before a load if they use at most this fraction of its slots."""


def max_concurrent_loads(samplers: int) -> int:
    """Returns how many of a service's samplers may load concurrently."""
    return max(MIN_CONCURRENT_LOADS, int(samplers * MAX_LOADING_SHARE))


class Load(msgspec.Struct, frozen=True):
    """A planned load of a version on a sampler."""

    sampler_id: str
    model: str
    version: int
    strategy: LoadStrategy
    evacuate: list[OpenItem] = msgspec.field(default_factory=list)
    """Runs to move to other samplers before the load."""


class _Candidate(msgspec.Struct, frozen=True):
    """A possible load."""

    load: Load
    is_required: bool
    """Whether waiting items require the version."""
    version: int
    """The version that the sampler has."""
    running: int
    """Runs of the model on the sampler."""

    @property
    def order(self) -> tuple[bool, int, int, str]:
        """Required loads first, then the samplers that can serve the fewest jobs."""
        return (not self.is_required, self.version, self.running, self.load.sampler_id)


class VersionPlanner:
    """Tracks the target version of each model and plans loads."""

    def __init__(
        self, scheduler: ItemScheduler, samplers: SamplerTable, switches: Switches = ALL_ON
    ) -> None:
        self._switches = switches
        self.targets: dict[str, int] = {}
        self._announced_at: dict[str, float] = {}
        self._scheduler = scheduler
        self._samplers = samplers
        self._not_before: dict[str, float] = {}

    def set_target(self, model: str, version: int, now: float) -> bool:
        """Sets a version announced by a trainer as the target; returns whether it is newer."""
        if version <= self.targets.get(model, 0):
            return False
        self.targets[model] = version
        self._announced_at[model] = now
        return True

    def postpone(self, sampler_id: str, until: float) -> None:
        """Plans no load for this sampler before `until`."""
        self._not_before[sampler_id] = until

    def plan(
        self, now: float, service: str, models: list[str], single_version_models: set[str]
    ) -> list[Load]:
        """Selects loads to order now and marks their samplers as loading."""
        with self._scheduler.planning_pass(now):
            return self._plan(now, service, models, single_version_models)

    def _plan(
        self, now: float, service: str, models: list[str], single_version_models: set[str]
    ) -> list[Load]:
        samplers = self._samplers.of_service(service)
        loading = sum(
            1
            for sampler in samplers
            if self._scheduler.models_of(sampler.entry.sampler_id).loading is not None
        )
        candidates: list[_Candidate] = []
        for model in models:
            candidates += self._candidates(now, service, model, model in single_version_models)
        candidates.sort(key=lambda candidate: candidate.order)
        spare_loads = {model: self._loads_ahead(service, model) for model in models}
        chosen: list[Load] = []
        reserved_slots = 0
        for candidate in candidates:
            load = candidate.load
            if loading + len(chosen) >= self._max_loads(len(samplers)):
                break
            if not candidate.is_required and spare_loads[load.model] <= 0:
                continue
            # Candidates were checked independently; together they may need more slots than free.
            if load.evacuate and not self._has_free_slots(load, now, reserved_slots):
                continue
            self._scheduler.models_of(load.sampler_id).loading = load.model
            reserved_slots += len(load.evacuate)
            spare_loads[load.model] -= 1
            chosen.append(load)
        return chosen

    def _loads_ahead(self, service: str, model: str) -> int:
        """How many samplers may load the target before an item requires it."""
        target = self.targets.get(model, 0)
        serving = [
            sampler
            for sampler in self._samplers.of_service(service)
            if self._scheduler.serves(sampler.entry.sampler_id, model)
        ]
        items = self._scheduler.items_per_job.get(model)
        if items is None or not serving:
            return len(serving)
        slots = max(1, serving[0].entry.slots)
        needed = math.ceil(items * READY_ITEM_SHARE / slots)
        ready = sum(1 for sampler in serving if self._is_ready(sampler, model, target))
        return needed - ready

    def _is_ready(self, sampler: TrackedSampler, model: str, version: int) -> bool:
        """Whether a sampler has a version or is loading it."""
        models = self._scheduler.models_of(sampler.entry.sampler_id)
        return models.loading == model or models.versions.get(model, 0) >= version

    def _max_loads(self, samplers: int) -> int:
        return max_concurrent_loads(samplers) if self._switches.parallel_loads else 1

    def _has_free_slots(self, load: Load, now: float, reserved_slots: int) -> bool:
        runs_to_evacuate = self._scheduler.runs_to_evacuate(
            load.sampler_id, load.model, now, reserved_slots
        )
        return runs_to_evacuate is not None

    def _candidates(
        self, now: float, service: str, model: str, single_version: bool
    ) -> list[_Candidate]:
        """Returns possible loads."""
        target = self.targets.get(model, 0)
        waiting = self._scheduler.waiting_items(model)
        required_version = max((item.min_version for item in waiting), default=0)
        candidates: list[_Candidate] = []
        for sampler in self._samplers.of_service(service):
            sampler_id = sampler.entry.sampler_id
            models = self._scheduler.models_of(sampler_id)
            version = models.versions.get(model, 0)
            if version >= target or models.loading is not None:
                continue
            if not self._scheduler.serves(sampler_id, model):
                continue
            if now < self._not_before.get(sampler_id, 0.0) or sampler.avoid_until > now:
                continue
            load = self._plan_load(
                now, sampler, model, target, version < required_version, bool(waiting)
            )
            if load is not None:
                running = self._scheduler.running_on(sampler_id, model)
                if load.strategy is LoadStrategy.RETAIN and single_version:
                    load = msgspec.structs.replace(load, strategy=LoadStrategy.WAIT)
                candidates.append(_Candidate(load, version < required_version, version, running))
        return candidates

    def _plan_load(
        self,
        now: float,
        sampler: TrackedSampler,
        model: str,
        target: int,
        is_required: bool,
        has_waiting_items: bool,
    ) -> Load | None:
        """Returns the load of a sampler, or None if it has to wait."""
        sampler_id = sampler.entry.sampler_id
        runs_to_evacuate = self._scheduler.runs_to_evacuate(sampler_id, model, now)
        if runs_to_evacuate and not self._switches.evacuation:
            runs_to_evacuate = None
        if not is_required:
            if has_waiting_items or now - self._announced_at.get(model, now) < LOAD_DELAY_S:
                return None
            if (
                runs_to_evacuate is None
                or len(runs_to_evacuate) > sampler.entry.slots * MAX_EVACUATED_SLOT_SHARE
            ):
                return None
        if runs_to_evacuate is not None:
            return Load(sampler_id, model, target, LoadStrategy.WAIT, runs_to_evacuate)
        return Load(sampler_id, model, target, LoadStrategy.RETAIN)
