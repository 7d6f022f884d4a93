"""Assigns items to samplers and decides when a run moves. Performs no I/O and reads no clock.

An item only runs on a sampler that is assigned to its model and has a version that its job
accepts. Items start in the order of `start_order`; where the configuration has tenants, items of
several tenants or priorities start in that of `FairOrder`. Among samplers with a free slot the one
with the shortest event interval is preferred; samplers that have already processed the prompt of
the item's group get a discount.

Where samplers report how long work takes (`LoadView.is_in_use`), their machines are shared and
their speed is noisy. There the interval is that of `SamplerSpeed`, and runs move only at the end of
a step.
"""

from __future__ import annotations

import contextlib
from collections import Counter
from collections.abc import Iterator, Mapping
from collections.abc import Set as AbstractSet
from types import MappingProxyType

from stileloom.api.jobs import JobItem, JobSubmission
from stileloom.fairness.order import FairOrder
from stileloom.fairness.service_shares import ServiceShares
from stileloom.fairness.tenant_load import TenantLoad
from stileloom.jobs.job_terms import JobTerms
from stileloom.jobs.model_versions import SamplerModels
from stileloom.jobs.open_items import (
    INITIAL_INTERVAL_S,
    ItemKey,
    ItemRun,
    ItemSize,
    OpenItem,
    PlannedRun,
    SamplerStats,
    WaitReason,
)
from stileloom.jobs.partial_text import PartialText
from stileloom.jobs.planning_pass import PlanningPass
from stileloom.jobs.registry import JobRecord
from stileloom.jobs.sampler_fit import SamplerFit
from stileloom.jobs.sampler_shares import SamplerShares
from stileloom.jobs.sampler_speed import SamplerSpeed
from stileloom.jobs.start_order import remaining_events, start_order
from stileloom.load import LoadView
from stileloom.proxy.sampler_table import SamplerTable, TrackedSampler
from stileloom.switches import ALL_ON, Switches

EVENT_TIMEOUT_S = 1.3
"""A run without an event for this long is resumed on another sampler."""
LOADING_EVENT_TIMEOUT_S = 4.0
"""Event timeout while the sampler loads weights."""
SHARED_PROMPT_COST_FACTOR = 0.95
FULL_SAMPLER_SLOWDOWN = 0.1
"""Assumed relative slowdown at full load, applied to the measured event interval."""
MOVE_MIN_SPEEDUP = 1.2
MOVE_MIN_GAIN_S = 0.35
"""Minimum time saved by a move, which processes the prompt and the generated text again."""
MOVE_MIN_AGE_S = 0.7
"""A run that has just begun says little about its sampler."""
MOVE_MIN_EVENTS_LEFT = 5.0
LAST_ITEMS_SHARE = 0.1
"""Share of the items that a trainer waits for from which their runs may move, where speeds are
noisy."""
MIN_EVENTS_PER_SAVE = 5
"""Number of unsaved events at which an item is saved to the ledger."""
INTERVAL_EWMA_WEIGHT = 0.2
MAX_INTERVAL_GROWTH = 4.0
"""A longer gap counts as this multiple of the interval: a run whose memory was taken away pauses
without its sampler being slow."""
MAX_RETAINED_TEXTS = 2000
MAX_SLOW_RUNS = 32
UNUSABLE_TEXT_RETENTION_S = 1.0
"""How long an item waits for a sampler that can continue its text. A sampler that restarts keeps
its version, but may be away for longer than the text is worth."""
MAX_STARTS_PER_PASS = 200
"""Starts that are planned at once, with several tenants for each model. The leader renews its lease
in between."""

TenantItem = tuple[str, str]
"""Tenant and item id: texts are kept for later jobs of the same tenant only."""


class ItemScheduler:
    """Open items and sampler statistics of the leader."""

    def __init__(
        self,
        samplers: SamplerTable,
        recorded_intervals_s: dict[str, float] | None = None,
        switches: Switches = ALL_ON,
        load_view: LoadView | None = None,
    ) -> None:
        self._switches = switches
        self._load_view = load_view
        self.items: dict[ItemKey, OpenItem] = {}
        self._models_by_sampler: dict[str, SamplerModels] = {}
        self.cache_tokens: dict[str, float] = {}
        """KV cache capacity in tokens of each sampler, by service."""
        self._samplers = samplers
        self._stats = {
            sampler_id: SamplerStats(interval_s)
            for sampler_id, interval_s in (recorded_intervals_s or {}).items()
        }
        self._pass: PlanningPass | None = None
        self._speeds: dict[str, SamplerSpeed] = {}
        self._last_items: dict[str, float] = {}
        """Number of open items from which runs of a job may move where speeds are noisy."""
        self._shares = SamplerShares(self.models_of)
        self.has_tenants = False
        """Whether the configuration has tenants; without them no priority has an effect."""
        self._tenant_shares = ServiceShares(samplers, self.cache_tokens)
        self._fit = SamplerFit(samplers, self.stats, self.models_of, self.serves, self.cache_tokens)
        self._retained_texts: dict[TenantItem, PartialText] = {}
        self._seen_items: set[TenantItem] = set()
        self.items_per_job: dict[str, int] = {}
        """Number of items of the last adopted job, by model."""

    # Jobs.

    def adopt_job(
        self,
        record: JobRecord,
        items: list[JobItem],
        terms: JobTerms,
        sizes: dict[str, ItemSize],
        now: float,
        reused_results: AbstractSet[str] = frozenset(),
        texts_of_other_jobs: Mapping[str, PartialText] = MappingProxyType({}),
        age_s: float = 0.0,
    ) -> None:
        """Adds those of the job's items that have no listed result.

        Items in `reused_results` are about to be listed and do not run. `texts_of_other_jobs` are
        saved in the ledger, for items whose text this leader has not seen itself. `age_s` is the
        time since the job was submitted.
        """
        submission = record.submission
        for item in items:
            key = (submission.job_id, item.item_id)
            if item.item_id in record.listed or key in self.items:
                continue
            saved = record.progress.get(item.item_id)
            tenant_item = (submission.tenant, item.item_id)
            retained = self._retained_texts.pop(tenant_item, None)
            other = texts_of_other_jobs.get(item.item_id)
            if retained is None and other is not None:
                retained = other.copy()
            partial = saved.copy() if saved is not None else retained
            if partial is None or not partial.satisfies(
                submission.min_version, terms.single_version
            ):
                partial = PartialText()
            size = sizes.get(item.item_id, ItemSize())
            self.items[key] = OpenItem(
                key=key,
                item=item,
                model=submission.model,
                step=submission.step,
                min_version=submission.min_version,
                single_version=terms.single_version,
                service=terms.service,
                max_attempts=terms.max_attempts,
                expected_tokens=size.expected_tokens,
                prompt_tokens=size.prompt_tokens,
                tokens_per_event=terms.tokens_per_event,
                adopted_at=now,
                deadline=now - age_s + terms.give_up_after_s,
                tenant=submission.tenant,
                priority=terms.priority,
                waiting_since=now - age_s,
                max_tokens=size.max_tokens,
                reused=tenant_item in self._seen_items,
                partial=partial,
                finished=item.item_id in reused_results,
                saved_parts=len(partial.parts) if saved is not None else 0,
            )
            self._seen_items.add(tenant_item)
        self.items_per_job[submission.model] = len(submission.items)
        self._last_items[submission.job_id] = _last_items(submission)
        self._shares.set_demand(
            submission.model,
            sum(sizes.get(item.item_id, ItemSize()).expected_tokens for item in items),
        )

    def remove_job(self, job_id: str) -> list[OpenItem]:
        """Removes and returns the items of an ended job; the caller stops their runs."""
        self._last_items.pop(job_id, None)
        removed = [item for key, item in self.items.items() if key[0] == job_id]
        for open_item in removed:
            del self.items[open_item.key]
            if open_item.partial.parts and self._switches.kept_texts:
                self._retain_text(open_item)
        return removed

    def _retain_text(self, open_item: OpenItem) -> None:
        """Retains the partial text for a later job that reuses the item."""
        tenant_item = (open_item.tenant, open_item.item.item_id)
        self._retained_texts[tenant_item] = open_item.partial
        while len(self._retained_texts) > MAX_RETAINED_TEXTS:
            self._retained_texts.pop(next(iter(self._retained_texts)))

    def remove_listed(self, key: ItemKey) -> None:
        """Removes an item whose result is committed."""
        self.items.pop(key, None)

    # Samplers.

    def stats(self, sampler_id: str) -> SamplerStats:
        """Returns the statistics of a sampler, created on first use."""
        return self._stats.setdefault(sampler_id, SamplerStats())

    def measured_intervals(self, now: float) -> dict[str, float]:
        """Returns the event interval of each known sampler for which it was measured."""
        intervals: dict[str, float] = {}
        for sampler in self._samplers.all():
            sampler_id, service = sampler.entry.sampler_id, sampler.entry.service
            stats = self._stats.get(sampler_id)
            if stats is not None and stats.measured:
                by_speed = self._is_rated_by_speed(service, now)
                intervals[sampler_id] = round(self._interval_s(sampler_id, by_speed), 4)
        return intervals

    def _speed(self, sampler_id: str) -> SamplerSpeed:
        speed = self._speeds.get(sampler_id)
        if speed is None:
            speed = self._speeds[sampler_id] = SamplerSpeed(self.stats(sampler_id).interval_s)
        return speed

    def _is_rated_by_speed(self, service: str, now: float) -> bool:
        return self._load_view is not None and self._load_view.is_in_use(service, now)

    def event_interval_s(self, sampler_id: str, service: str, now: float) -> float:
        """The time between events by which a sampler of the service is rated now."""
        return self._interval_s(sampler_id, self._is_rated_by_speed(service, now))

    def _interval_s(self, sampler_id: str, by_speed: bool) -> float:
        if by_speed:
            return self._speed(sampler_id).interval_s()
        return self.stats(sampler_id).interval_s

    def models_of(self, sampler_id: str) -> SamplerModels:
        """Returns the known model versions of a sampler; the entry is created on first use."""
        return self._models_by_sampler.setdefault(sampler_id, SamplerModels())

    def assign_models(self, service: str, models: list[str]) -> dict[str, str]:
        """Returns the model assigned to each sampler; empty if every sampler serves all models."""
        if not self._switches.sampler_shares:
            return {}
        sampler_ids = [sampler.entry.sampler_id for sampler in self._samplers.of_service(service)]
        return self._shares.assign(frozenset(sampler_ids), models)

    def serves(self, sampler_id: str, model: str) -> bool:
        """Whether the sampler may run items of the model."""
        return self._shares.serves(sampler_id, model)

    def open_items_of(self, service: str) -> int:
        """Counts the items of a service that run or wait for a run."""
        return sum(
            1
            for item in self.items.values()
            if item.service == service and not item.finished and not item.partial.whole
        )

    # Planning.

    def waiting_items(self, model: str) -> list[OpenItem]:
        """Returns the items of a model that are ready to run, in start order."""
        return start_order(self._waiting_items(model), self._shortest_interval_s())

    def _waiting_items(self, model: str | None = None) -> list[OpenItem]:
        return [
            item
            for item in self.items.values()
            if (model is None or item.model == model)
            and item.run is None
            and not item.finished
            and not item.partial.whole
        ]

    def _shortest_interval_s(self) -> float:
        measured = [stats.interval_s for stats in self._stats.values() if stats.measured]
        return min(measured, default=INITIAL_INTERVAL_S)

    def plan_starts(self, now: float, models: list[str]) -> list[PlannedRun]:
        """Selects runs to start now and counts them as running."""
        with self.planning_pass(now):
            return self._plan_starts(now, models)

    def _plan_starts(self, now: float, models: list[str]) -> list[PlannedRun]:
        starts: list[PlannedRun] = []
        for model in models:
            due = self._due_items(model, now)
            if self.has_tenants and len({(item.tenant, item.priority) for item in due}) > 1:
                for service in sorted({item.service for item in due}):
                    items = [item for item in due if item.service == service]
                    starts += self._plan_fair_starts(service, items, now)
                continue
            for open_item in start_order(due, self._shortest_interval_s()):
                if len(starts) >= MAX_STARTS_PER_PASS:
                    break
                sampler = self._best_sampler(open_item, now)
                if sampler is None:
                    continue
                starts.append(self._start(open_item, sampler.entry.sampler_id, now))
        return starts

    def _due_items(self, model: str, now: float) -> list[OpenItem]:
        due = [item for item in self._waiting_items(model) if now >= item.not_before]
        for item in due:
            if item.due_since is None:
                item.due_since = now
            elif (
                now - item.due_since >= UNUSABLE_TEXT_RETENTION_S
                and item.single_version
                and not self._fit.can_continue_text(item)
            ):
                item.discard_text()
        return due

    @contextlib.contextmanager
    def planning_pass(self, now: float) -> Iterator[None]:
        """Remembers what is found out about samplers and runs; no run may end meanwhile."""
        self._pass = PlanningPass(
            self._samplers.of_service,
            lambda item, sampler: self._fit.accepts(item, sampler, now),
            lambda item, sampler: self._fit.has_room(item, sampler, now),
            self._fit.has_free_slot,
            lambda sampler: self._interval_s(
                sampler.entry.sampler_id, self._is_rated_by_speed(sampler.entry.service, now)
            ),
        )
        try:
            yield
        finally:
            self._pass = None

    def _plan_fair_starts(
        self, service: str, items: list[OpenItem], now: float
    ) -> list[PlannedRun]:
        starts: list[PlannedRun] = []
        if not self._service_has_free_slot(service):
            return starts
        shares = self._tenant_shares.current(service)
        order = FairOrder(items, shares, self._shortest_interval_s(), now)
        while len(starts) < MAX_STARTS_PER_PASS and self._service_has_free_slot(service):
            open_item = order.next()
            if open_item is None:
                break
            sampler = self._best_sampler(open_item, now)
            if sampler is None:
                order.passed_over(open_item)
                continue
            starts.append(self._start(open_item, sampler.entry.sampler_id, now))
            order.started(open_item)
        return starts

    def _service_has_free_slot(self, service: str) -> bool:
        return any(
            self._fit.has_free_slot(sampler) for sampler in self._samplers.of_service(service)
        )

    def dominant_share(self, open_item: OpenItem) -> float | None:
        """The share of an item's tenant with its runs now; None without tenants or samplers."""
        if not self.has_tenants:
            return None
        return self._tenant_shares.share_of(open_item)

    def tenant_loads(self) -> list[TenantLoad]:
        """Waiting items and dominant share of each tenant, by service."""
        return self._tenant_shares.loads(self._waiting_items())

    def _start(self, open_item: OpenItem, sampler_id: str, now: float) -> PlannedRun:
        open_item.run = ItemRun(sampler_id, open_item.service, now, now)
        open_item.due_since = None
        stats = self.stats(sampler_id)
        stats.running += 1
        open_item.run.tokens = open_item.estimated_tokens
        stats.tokens += open_item.run.tokens
        self._tenant_shares.start_run(open_item.tenant, open_item.run)
        stats.groups.add(open_item.item.group)
        return PlannedRun(open_item, sampler_id, open_item.run)

    def _best_sampler(
        self, open_item: OpenItem, now: float, spare_only: bool = False
    ) -> TrackedSampler | None:
        """Returns the best sampler with a free slot; with `spare_only` of those that no waiting
        item can use.
        """
        candidates = self._candidates(open_item, now)
        by_speed = self._is_rated_by_speed(open_item.service, now)
        if spare_only and candidates:
            usable = self._usable_by_waiting_items(now)
            candidates = [
                sampler for sampler in candidates if sampler.entry.sampler_id not in usable
            ]
        if not candidates:
            return None
        return min(candidates, key=lambda sampler: self._cost(open_item, sampler, by_speed))

    def _usable_by_waiting_items(self, now: float) -> set[str]:
        """Samplers on which an item that waits could start."""
        if self._pass is not None and self._pass.usable_by_waiting is not None:
            return self._pass.usable_by_waiting
        usable = {
            sampler.entry.sampler_id
            for item in self.items.values()
            if item.run is None and not item.finished and not item.partial.whole
            for sampler in self._candidates(item, now)
        }
        if self._pass is not None:
            self._pass.usable_by_waiting = usable
        return usable

    def _candidates(self, open_item: OpenItem, now: float) -> list[TrackedSampler]:
        if self._pass is not None:
            return self._pass.candidates(open_item)
        return [
            sampler
            for sampler in self._samplers.of_service(open_item.service)
            if self._can_run(open_item, sampler, now)
        ]

    def _can_run(self, open_item: OpenItem, sampler: TrackedSampler, now: float) -> bool:
        return self._fit.can_run(open_item, sampler, now)

    def wait_reason(self, open_item: OpenItem, now: float) -> WaitReason:
        """Returns why an item has no run."""
        return self._fit.wait_reason(open_item, now)

    def free_slots(self, service: str) -> int:
        """Counts the slots of a service's samplers that no run uses."""
        return self._fit.free_slots(service)

    def _cost(
        self, open_item: OpenItem, sampler: TrackedSampler, by_speed: bool = False
    ) -> tuple[bool, float, float]:
        """With `by_speed` the fill only decides between samplers of the same speed."""
        stats = self.stats(sampler.entry.sampler_id)
        fill = stats.running / max(1, sampler.entry.slots)
        avoid = sampler.entry.sampler_id == open_item.avoid_sampler_id
        if by_speed:
            return (avoid, self._interval_s(sampler.entry.sampler_id, by_speed), fill)
        slowdown = FULL_SAMPLER_SLOWDOWN if self._switches.fastest_first else 1.0
        cost = stats.interval_s * (1.0 + slowdown * fill)
        has_discount = self._switches.group_bonus and open_item.item.group
        if has_discount and open_item.item.group in stats.groups:
            cost *= SHARED_PROMPT_COST_FACTOR
        return (avoid, cost, 0.0)

    def unresponsive_runs(self, now: float) -> list[OpenItem]:
        """Returns runs that exceeded the event timeout and marks their samplers as failed."""
        unresponsive: list[OpenItem] = []
        for open_item in self.items.values():
            run = open_item.run
            if run is None:
                continue
            loading = self.models_of(run.sampler_id).loading == open_item.model
            timeout_s = LOADING_EVENT_TIMEOUT_S if loading else EVENT_TIMEOUT_S
            if now - run.last_event_at > timeout_s:
                self._samplers.record_failure(run.sampler_id, now)
                unresponsive.append(open_item)
        return unresponsive

    def slow_runs(self, now: float) -> list[OpenItem]:
        """Returns runs that would finish sooner on another sampler, most remaining events first.

        At most `MAX_SLOW_RUNS` are returned: a step moves three, so that more are never used.
        """
        running = [item for item in self.items.values() if item.run is not None]
        running.sort(key=self.events_left, reverse=True)
        slow: list[OpenItem] = []
        with self.planning_pass(now):
            for open_item in running:
                run = open_item.run
                if (
                    run is not None
                    and self.models_of(run.sampler_id).loading != open_item.model
                    and self.faster_sampler(open_item, now) is not None
                ):
                    slow.append(open_item)
                    if len(slow) == MAX_SLOW_RUNS:
                        break
        return slow

    def _open_items_by_job(self) -> Counter[str]:
        if self._pass is not None and self._pass.open_by_job is not None:
            return self._pass.open_by_job
        counts = Counter(item.key[0] for item in self.items.values() if not item.finished)
        if self._pass is not None:
            self._pass.open_by_job = counts
        return counts

    def _may_move(self, open_item: OpenItem, now: float) -> bool:
        """Whether runs of the item's job may move.

        Where speeds are noisy, only the last items of a step do: a move costs more than it gains
        unless the step waits for the run.
        """
        if not self._is_rated_by_speed(open_item.service, now):
            return True
        job_id = open_item.key[0]
        return self._open_items_by_job()[job_id] <= self._last_items.get(job_id, 0.0)

    def events_left(self, open_item: OpenItem) -> float:
        """Estimates the number of remaining events."""
        return max(MOVE_MIN_EVENTS_LEFT, remaining_events(open_item))

    def faster_sampler(self, open_item: OpenItem, now: float) -> str | None:
        """Returns a sampler with a free slot on which the run would end much sooner, or None."""
        run = open_item.run
        if run is None or run.events < 2 or now - run.started_at < MOVE_MIN_AGE_S:
            return None
        by_speed = self._is_rated_by_speed(open_item.service, now)
        if not self._may_move(open_item, now):
            return None
        current_interval_s = self._interval_s(run.sampler_id, by_speed)
        if self._pass is not None:
            shortest_s = self._pass.shortest_interval_s(open_item.service)
            if current_interval_s <= shortest_s * MOVE_MIN_SPEEDUP:
                return None
        best = self._best_sampler(open_item, now, spare_only=by_speed)
        if best is None:
            return None
        sampler_id = best.entry.sampler_id
        best_interval_s = self._interval_s(sampler_id, by_speed)
        gain_s = (current_interval_s - best_interval_s) * self.events_left(open_item)
        is_worthwhile = (
            current_interval_s > best_interval_s * MOVE_MIN_SPEEDUP and gain_s > MOVE_MIN_GAIN_S
        )
        return sampler_id if is_worthwhile else None

    def start_on(self, open_item: OpenItem, sampler_id: str, now: float) -> PlannedRun:
        """Starts an item on a given sampler and counts it as running."""
        return self._start(open_item, sampler_id, now)

    def runs_to_evacuate(
        self, sampler_id: str, model: str, now: float, reserved_slots: int = 0
    ) -> list[OpenItem] | None:
        """Returns the runs of a model on a sampler if others have free slots for all, else None.

        `reserved_slots` is the number of free slots that are reserved for other runs.
        """
        runs = self._runs_on(sampler_id, model)
        needed_slots = len(runs) + reserved_slots
        free_slots = 0
        samplers = self._samplers.all() if runs else []
        if runs and self._pass is not None:
            samplers = self._pass.with_free_slot(samplers)
        for sampler in samplers:
            if free_slots >= needed_slots:
                break
            other_id = sampler.entry.sampler_id
            if other_id != sampler_id and all(self._can_run(item, sampler, now) for item in runs):
                free_slots += sampler.entry.slots - self.stats(other_id).running
        return runs if free_slots >= needed_slots else None

    def _runs_on(self, sampler_id: str, model: str) -> list[OpenItem]:
        if self._pass is not None:
            return self._pass.runs_on(sampler_id, model, self.items.values())
        return [
            item
            for item in self.items.values()
            if item.model == model and item.run is not None and item.run.sampler_id == sampler_id
        ]

    def items_to_save(self) -> list[OpenItem]:
        """Returns items with enough unsaved events to be written to the ledger."""
        return [
            item
            for item in self.items.values()
            if not item.finished
            and len(item.partial.parts) - item.saved_parts >= MIN_EVENTS_PER_SAVE
        ]

    # Events of runs.

    def record_event(self, open_item: OpenItem, now: float) -> None:
        """Records an event of a run and updates the event interval of its sampler."""
        run = open_item.run
        if run is None:
            return
        if run.events:
            self._measure_interval(open_item.model, run, now)
        # An older run also shows that a sampler works, once the failure is not recent any more:
        # else its free slots would stay empty until that run has ended.
        if run.events == 0 or self._samplers.is_past_cooldown(run.sampler_id, now):
            self._samplers.record_success(run.sampler_id)
        run.events += 1
        run.last_event_at = now

    def _measure_interval(self, model: str, run: ItemRun, now: float) -> None:
        """Updates a sampler's event interval; a pause for a load says nothing about its speed."""
        models = self.models_of(run.sampler_id)
        if models.loading == model or run.last_event_at <= models.load_ended_at:
            return
        self._speed(run.sampler_id).record_gap(now - run.last_event_at, now)
        stats = self.stats(run.sampler_id)
        stats.measured = True
        interval_s = min(now - run.last_event_at, stats.interval_s * MAX_INTERVAL_GROWTH)
        weight = INTERVAL_EWMA_WEIGHT / max(1, stats.running)
        stats.interval_s += weight * (interval_s - stats.interval_s)

    def end_run(self, open_item: OpenItem, avoid: bool = False) -> None:
        """Ends a run; with `avoid` the item prefers any other sampler for its next run."""
        run = open_item.run
        if run is None:
            return
        if avoid:
            open_item.avoid_sampler_id = run.sampler_id
        stats = self.stats(run.sampler_id)
        stats.running -= 1
        stats.tokens -= run.tokens
        self._tenant_shares.end_run(open_item.tenant, run)
        open_item.run = None

    def remove_sampler(self, sampler_id: str) -> None:
        """Removes the state of a sampler that is gone."""
        self._models_by_sampler.pop(sampler_id, None)
        self._speeds.pop(sampler_id, None)
        if self.stats(sampler_id).running == 0:
            self._stats.pop(sampler_id, None)

    def running_on(self, sampler_id: str, model: str) -> int:
        """Counts the runs of a model on a sampler."""
        return len(self._runs_on(sampler_id, model))


def _last_items(submission: JobSubmission) -> float:
    """Number of open items at which only `LAST_ITEMS_SHARE` of those that the trainer waits for
    have no result; the trainer ends the step once it has the groups that it desires.
    """
    items = len(submission.items)
    groups = len({item.group for item in submission.items})
    desired = min(submission.desired_groups or groups, groups)
    awaited = items * desired / max(1, groups)
    return items - awaited + awaited * LAST_ITEMS_SHARE
