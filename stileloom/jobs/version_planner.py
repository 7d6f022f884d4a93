"""Decides which sampler loads which weight version next. No I/O, no clock.

A load makes a sampler useless for a moment, so it waits until its runs are done or have room
elsewhere: a step may run on the version before. Work that needs the newer version makes the
load due at once. Only a part of a service's samplers load together (`loads_at_once`); more
would slow all of them and leave too few to work.
"""

from __future__ import annotations

import msgspec

from stileloom.api.dialect import LoadStrategy
from stileloom.jobs.open_items import OpenItem
from stileloom.jobs.scheduler import ItemScheduler
from stileloom.proxy.sampler_table import SamplerBelief, SamplerTable
from stileloom.switches import ALL_ON, Switches

LOADING_SHARE = 0.4
"""Of a service's samplers so many load at the same time: weights come over shared links."""
MIN_LOADS_AT_ONCE = 2
SETTLE_S = 0.4
"""After a version was named the step that goes with it is given time to arrive and start."""
EVACUATE_SHARE = 0.4
"""A sampler with at most this share of its slots in use hands its runs over and loads."""


def loads_at_once(samplers: int) -> int:
    """How many of a service's samplers may load at the same time."""
    return max(MIN_LOADS_AT_ONCE, int(samplers * LOADING_SHARE))


class Load(msgspec.Struct, frozen=True):
    """Load a version at a sampler."""

    sampler_id: str
    model: str
    version: int
    strategy: LoadStrategy
    evacuate: list[OpenItem] = msgspec.field(default_factory=list)
    """Runs that go on at other samplers first."""


class VersionPlanner:
    """Targets by model, and what is loaded next."""

    def __init__(
        self, scheduler: ItemScheduler, samplers: SamplerTable, switches: Switches = ALL_ON
    ) -> None:
        self._switches = switches
        self.targets: dict[str, int] = {}
        self._named_at: dict[str, float] = {}
        self._scheduler = scheduler
        self._samplers = samplers
        self._not_before: dict[str, float] = {}

    def named(self, model: str, version: int, now: float) -> bool:
        """A trainer has named a version; True where it is new."""
        if version <= self.targets.get(model, 0):
            return False
        self.targets[model] = version
        self._named_at[model] = now
        return True

    def postpone(self, sampler_id: str, until: float) -> None:
        """No order to this sampler before then."""
        self._not_before[sampler_id] = until

    def plan(
        self, now: float, service: str, models: list[str], single_version: set[str]
    ) -> list[Load]:
        """Loads to order now; their samplers count as loading from here on."""
        beliefs = self._samplers.of_service(service)
        loading = sum(
            1
            for belief in beliefs
            if self._scheduler.models_of(belief.entry.sampler_id).loading is not None
        )
        candidates: list[tuple[int, int, Load]] = []
        for model in models:
            candidates += self._candidates(now, service, model, model in single_version)
        candidates.sort(key=lambda row: (row[0], row[1], row[2].sampler_id))
        chosen: list[Load] = []
        places_taken = 0
        for _, _, load in candidates:
            if loading + len(chosen) >= self._most_loads(len(beliefs)):
                break
            # Each load looked for room by itself; together they may need more than there is.
            if load.evacuate and not self._has_room(load, now, places_taken):
                continue
            self._scheduler.models_of(load.sampler_id).loading = load.model
            places_taken += len(load.evacuate)
            chosen.append(load)
        return chosen

    def _most_loads(self, samplers: int) -> int:
        return loads_at_once(samplers) if self._switches.parallel_loads else 1

    def _has_room(self, load: Load, now: float, places_taken: int) -> bool:
        evacuees = self._scheduler.evacuees(load.sampler_id, load.model, now, places_taken)
        return evacuees is not None

    def _candidates(
        self, now: float, service: str, model: str, single_version: bool
    ) -> list[tuple[int, int, Load]]:
        target = self.targets.get(model, 0)
        waiting = self._scheduler.waiting(model)
        needed = max((item.min_version for item in waiting), default=0)
        rows: list[tuple[int, int, Load]] = []
        for belief in self._samplers.of_service(service):
            sampler_id = belief.entry.sampler_id
            models = self._scheduler.models_of(sampler_id)
            version = models.versions.get(model, 0)
            if version >= target or models.loading is not None:
                continue
            if not self._scheduler.serves(sampler_id, model):
                continue
            if now < self._not_before.get(sampler_id, 0.0) or belief.suspect_until > now:
                continue
            load = self._load(now, belief, model, target, version < needed, bool(waiting))
            if load is not None:
                rank = 0 if version < needed else 1
                running = self._scheduler.running_on(sampler_id, model)
                if load.strategy is LoadStrategy.RETAIN and single_version:
                    load = msgspec.structs.replace(load, strategy=LoadStrategy.WAIT)
                rows.append((rank, running, load))
        return rows

    def _load(
        self,
        now: float,
        belief: SamplerBelief,
        model: str,
        target: int,
        needed: bool,
        work_waits: bool,
    ) -> Load | None:
        """The load of a sampler, or None where it has to wait."""
        sampler_id = belief.entry.sampler_id
        evacuees = self._scheduler.evacuees(sampler_id, model, now)
        if evacuees and not self._switches.evacuation:
            evacuees = None
        if not needed:
            if work_waits or now - self._named_at.get(model, now) < SETTLE_S:
                return None
            if evacuees is None or len(evacuees) > belief.entry.slots * EVACUATE_SHARE:
                return None
        if evacuees is not None:
            return Load(sampler_id, model, target, LoadStrategy.WAIT, evacuees)
        return Load(sampler_id, model, target, LoadStrategy.RETAIN)
