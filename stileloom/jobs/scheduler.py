"""Decides which item runs on which sampler, and when a run moves. No I/O, no clock.

Rules, in their order: an item needs a sampler of its model with a version that its job
allows; carried and old work first, then the longest expected; of the samplers with a free
slot the fastest, with a bonus where the group's prompt was read already.
"""

from __future__ import annotations

from collections.abc import Set as AbstractSet

from stileloom.jobs.book import JobRecord
from stileloom.jobs.model_versions import SamplerModels, share_samplers
from stileloom.jobs.open_items import (
    DEFAULT_EXPECTED_TOKENS,
    DEFAULT_TOKENS_PER_EVENT,
    ItemKey,
    ItemRun,
    ItemSize,
    OpenItem,
    SamplerPace,
    StartRun,
)
from stileloom.jobs.partial_text import PartialText
from stileloom.proxy.sampler_table import SamplerBelief, SamplerTable
from stileloom.switches import ALL_ON, Switches

SILENCE_S = 1.3
"""A run that made no event for so long is resumed elsewhere."""
LOAD_SILENCE_S = 4.0
"""The same while the sampler loads weights."""
GROUP_BONUS = 0.95
FULL_SLOWDOWN = 0.1
"""How much slower a full sampler is taken to be than an idle one, beside its measured pace."""
MOVE_IF_SLOWER = 1.2
MOVE_MIN_GAIN_S = 0.35
"""A move reads the prompt and all that was made again, and may cost a connection."""
MOVE_MIN_AGE_S = 0.7
"""A run that has just begun says little about its sampler."""
MOVE_MIN_EVENTS_LEFT = 5.0
LEFT_OF_MADE = 0.5
"""Lengths have heavy tails: what was longer than expected goes on for about half as long."""
CACHE_SHARE = 0.95
SAVE_EVENTS = 5
"""So many events that are not saved yet are worth a write to the ledger."""
DEMAND_CHANGE = 1.4
"""Samplers are shared out anew when a model's part of the work changes by this factor."""
INTERVAL_WEIGHT = 0.2
KEPT_TEXTS = 2000


class ItemScheduler:
    """All open items at the leader."""

    def __init__(
        self,
        samplers: SamplerTable,
        known_interval_s: dict[str, float] | None = None,
        switches: Switches = ALL_ON,
    ) -> None:
        self._switches = switches
        self.items: dict[ItemKey, OpenItem] = {}
        self.models: dict[str, SamplerModels] = {}
        self.cache_tokens: dict[str, float] = {}
        """Tokens that a sampler of a service can hold."""
        self._samplers = samplers
        self._paces = {
            sampler_id: SamplerPace(interval_s)
            for sampler_id, interval_s in (known_interval_s or {}).items()
        }
        self._share: dict[str, str] = {}
        self._share_of: tuple[frozenset[str], frozenset[str]] | None = None
        self._demand: dict[str, float] = {}
        self._demand_used: dict[str, float] = {}
        self._kept: dict[str, PartialText] = {}
        self._seen_items: set[str] = set()

    # Jobs.

    def adopt_job(
        self,
        record: JobRecord,
        service: str,
        single_version: bool,
        max_attempts: int,
        max_wait_s: float,
        sizes: dict[str, ItemSize],
        now: float,
        tokens_per_event: float = DEFAULT_TOKENS_PER_EVENT,
        results_known: AbstractSet[str] = frozenset(),
    ) -> None:
        """Takes the items of a job that are not listed yet.

        Those in `results_known` are about to be listed and do not run.
        """
        submission = record.submission
        for item in submission.items:
            key = (submission.job_id, item.item_id)
            if item.item_id in record.listed or key in self.items:
                continue
            saved = record.progress.get(item.item_id)
            kept = self._kept.pop(item.item_id, None)
            partial = saved.copy() if saved is not None else kept
            if partial is None or not partial.fits(submission.min_version, single_version):
                partial = PartialText()
            size = sizes.get(item.item_id, ItemSize())
            self.items[key] = OpenItem(
                key=key,
                item=item,
                model=submission.model,
                step=submission.step,
                min_version=submission.min_version,
                single_version=single_version,
                service=service,
                max_attempts=max_attempts,
                expected_tokens=size.expected_tokens,
                prompt_tokens=size.prompt_tokens,
                tokens_per_event=tokens_per_event,
                adopted_at=now,
                give_up_at=now + max_wait_s,
                carried=item.item_id in self._seen_items,
                partial=partial,
                finished=item.item_id in results_known,
                saved_parts=len(partial.parts) if saved is not None else 0,
            )
            self._seen_items.add(item.item_id)
        self._demand[submission.model] = sum(
            sizes.get(item.item_id, ItemSize()).expected_tokens for item in submission.items
        )

    def drop_job(self, job_id: str) -> list[OpenItem]:
        """The job has ended: returns its items; the caller stops their runs."""
        dropped = [item for key, item in self.items.items() if key[0] == job_id]
        for open_item in dropped:
            del self.items[open_item.key]
            if open_item.partial.parts and self._switches.kept_texts:
                self._keep(open_item)
        return dropped

    def _keep(self, open_item: OpenItem) -> None:
        """A later job may carry the item: its text so far is not made again."""
        self._kept[open_item.item.item_id] = open_item.partial
        while len(self._kept) > KEPT_TEXTS:
            self._kept.pop(next(iter(self._kept)))

    def listed(self, key: ItemKey) -> None:
        """The item's result is durable."""
        self.items.pop(key, None)

    # Samplers.

    def pace(self, sampler_id: str) -> SamplerPace:
        """Pace of a sampler."""
        return self._paces.setdefault(sampler_id, SamplerPace())

    def intervals(self) -> dict[str, float]:
        """The time between two events at each listed sampler that has made some."""
        return {
            belief.entry.sampler_id: round(pace.interval_s, 4)
            for belief in self._samplers.all()
            if (pace := self._paces.get(belief.entry.sampler_id)) is not None and pace.measured
        }

    def models_of(self, sampler_id: str) -> SamplerModels:
        """Beliefs on a sampler's models."""
        return self.models.setdefault(sampler_id, SamplerModels())

    def share_out(self, service: str, models: list[str]) -> dict[str, str]:
        """The model of each sampler of the service; empty where each serves all."""
        if not self._switches.sampler_shares:
            return {}
        ids = frozenset(belief.entry.sampler_id for belief in self._samplers.of_service(service))
        demand = {model: self._demand.get(model, DEFAULT_EXPECTED_TOKENS) for model in models}
        state = (ids, frozenset(models))
        if state != self._share_of or self._demand_changed(demand):
            current = {**self._share_by_versions(ids, models), **self._share}
            self._share = share_samplers(sorted(ids), demand, current)
            self._share_of = state
            self._demand_used = demand
        return self._share

    def _share_by_versions(self, sampler_ids: frozenset[str], models: list[str]) -> dict[str, str]:
        """The share that an earlier leader gave, as the samplers' versions show it.

        Only the models that a sampler serves get new versions, so a new leader that shared
        anew would have to load nearly all of them first.
        """
        share: dict[str, str] = {}
        for sampler_id in sampler_ids:
            versions = self.models_of(sampler_id).versions
            newest = max(models, key=lambda model: versions.get(model, 0))
            behind = [model for model in models if versions.get(model, 0) < versions.get(newest, 0)]
            if behind:
                share[sampler_id] = newest
        return share

    def _demand_changed(self, demand: dict[str, float]) -> bool:
        if set(demand) != set(self._demand_used):
            return True
        total = sum(demand.values()) or 1.0
        used_total = sum(self._demand_used.values()) or 1.0
        for model, amount in demand.items():
            part = amount / total
            used = self._demand_used[model] / used_total
            if part > used * DEMAND_CHANGE or used > part * DEMAND_CHANGE:
                return True
        return False

    def serves(self, sampler_id: str, model: str) -> bool:
        """Whether the sampler is one of the model's."""
        return self._share.get(sampler_id, model) == model

    # Planning.

    def waiting(self, model: str) -> list[OpenItem]:
        """Items of a model that do not run, in the order in which they start."""
        items = [
            item
            for item in self.items.values()
            if item.model == model
            and item.run is None
            and not item.finished
            and not item.partial.whole
        ]
        items.sort(key=lambda item: (not item.carried, item.step, -item.expected_tokens))
        return items

    def plan_starts(self, now: float, models: list[str]) -> list[StartRun]:
        """Runs to start now; they count as running from here on."""
        starts: list[StartRun] = []
        for model in models:
            for open_item in self.waiting(model):
                if now < open_item.not_before:
                    continue
                belief = self._best_sampler(open_item, now)
                if belief is None:
                    continue
                starts.append(self._start(open_item, belief.entry.sampler_id, now))
        return starts

    def _start(self, open_item: OpenItem, sampler_id: str, now: float) -> StartRun:
        open_item.run = ItemRun(sampler_id, now, now)
        pace = self.pace(sampler_id)
        pace.running += 1
        open_item.run.tokens = open_item.tokens_held
        pace.tokens += open_item.run.tokens
        pace.groups.add(open_item.item.group)
        return StartRun(open_item, sampler_id, open_item.run)

    def _best_sampler(self, open_item: OpenItem, now: float) -> SamplerBelief | None:
        candidates = [
            belief
            for belief in self._samplers.of_service(open_item.service)
            if self._may_run(open_item, belief, now)
        ]
        if not candidates:
            return None
        return min(candidates, key=lambda belief: self._cost(open_item, belief))

    def _may_run(self, open_item: OpenItem, belief: SamplerBelief, now: float) -> bool:
        sampler_id = belief.entry.sampler_id
        if not self.serves(sampler_id, open_item.model):
            return False
        pace = self.pace(sampler_id)
        if pace.running >= belief.entry.slots or now < pace.refused_until:
            return False
        if belief.suspect_until > now or (belief.failures and pace.running):
            # It did not answer lately: nothing for a while, then one run that finds out.
            return False
        if pace.running and pace.tokens + open_item.tokens_held > self._cache_tokens(open_item):
            return False
        models = self.models_of(sampler_id)
        if models.loading == open_item.model:
            return False
        version = models.versions.get(open_item.model, 0)
        if version < open_item.min_version:
            return False
        made_under = open_item.partial.versions
        return not (open_item.single_version and made_under and made_under != [version])

    def _cost(self, open_item: OpenItem, belief: SamplerBelief) -> tuple[bool, float]:
        pace = self.pace(belief.entry.sampler_id)
        fill = pace.running / max(1, belief.entry.slots)
        slowdown = FULL_SLOWDOWN if self._switches.fastest_first else 1.0
        cost = pace.interval_s * (1.0 + slowdown * fill)
        bonus = self._switches.group_bonus and open_item.item.group
        if bonus and open_item.item.group in pace.groups:
            cost *= GROUP_BONUS
        return (belief.entry.sampler_id == open_item.avoid, cost)

    def silent_runs(self, now: float) -> list[OpenItem]:
        """Runs to take from their sampler since it is silent or gone."""
        moves: list[OpenItem] = []
        for open_item in self.items.values():
            run = open_item.run
            if run is None:
                continue
            loading = self.models_of(run.sampler_id).loading == open_item.model
            limit_s = LOAD_SILENCE_S if loading else SILENCE_S
            if now - run.last_event_at > limit_s:
                self._samplers.failed(run.sampler_id, now)
                moves.append(open_item)
        return moves

    def slow_runs(self, now: float) -> list[OpenItem]:
        """Runs that may gain by a move, those with most to come first."""
        slow = [
            open_item
            for open_item in self.items.values()
            if open_item.run is not None
            and self.models_of(open_item.run.sampler_id).loading != open_item.model
            and self.faster_sampler(open_item, now) is not None
        ]
        slow.sort(key=self.events_left, reverse=True)
        return slow

    def _cache_tokens(self, open_item: OpenItem) -> float:
        return self.cache_tokens.get(open_item.service, float("inf")) * CACHE_SHARE

    def events_left(self, open_item: OpenItem) -> float:
        """Expected events to come."""
        made = len(open_item.partial.parts)
        expected = open_item.expected_tokens / open_item.tokens_per_event
        return max(MOVE_MIN_EVENTS_LEFT, expected - made, made * LEFT_OF_MADE)

    def faster_sampler(self, open_item: OpenItem, now: float) -> str | None:
        """A sampler with room at which a run would end much sooner, or None."""
        run = open_item.run
        if run is None or run.events < 2 or now - run.started_at < MOVE_MIN_AGE_S:
            return None
        here_s = self.pace(run.sampler_id).interval_s
        best = self._best_sampler(open_item, now)
        if best is None:
            return None
        sampler_id = best.entry.sampler_id
        there_s = self.pace(sampler_id).interval_s
        gain_s = (here_s - there_s) * self.events_left(open_item)
        worth_it = here_s > there_s * MOVE_IF_SLOWER and gain_s > MOVE_MIN_GAIN_S
        return sampler_id if worth_it else None

    def start_at(self, open_item: OpenItem, sampler_id: str, now: float) -> StartRun:
        """Starts an item at a sampler; the run counts from here on."""
        return self._start(open_item, sampler_id, now)

    def evacuees(
        self, sampler_id: str, model: str, now: float, places_taken: int = 0
    ) -> list[OpenItem] | None:
        """Runs of a model at a sampler, if others have room for all of them; else None.

        `places_taken` of that room are spoken for.
        """
        runs = [
            item
            for item in self.items.values()
            if item.model == model and item.run is not None and item.run.sampler_id == sampler_id
        ]
        room = 0
        for belief in self._samplers.all():
            other_id = belief.entry.sampler_id
            if other_id == sampler_id:
                continue
            if runs and all(self._may_run(item, belief, now) for item in runs):
                room += belief.entry.slots - self.pace(other_id).running
        return runs if room - places_taken >= len(runs) else None

    def unsaved(self) -> list[OpenItem]:
        """Items with events that are worth saving."""
        return [
            item
            for item in self.items.values()
            if not item.finished and len(item.partial.parts) - item.saved_parts >= SAVE_EVENTS
        ]

    # Signs from runs.

    def event(self, open_item: OpenItem, now: float) -> None:
        """A run made an event."""
        run = open_item.run
        if run is None:
            return
        if run.events == 0:
            self._samplers.answered(run.sampler_id)
        else:
            pace = self.pace(run.sampler_id)
            pace.measured = True
            interval_s = now - run.last_event_at
            pace.interval_s += (
                INTERVAL_WEIGHT * (interval_s - pace.interval_s) / max(1, pace.running)
            )
        run.events += 1
        run.last_event_at = now

    def run_ended(self, open_item: OpenItem, avoid: bool = False) -> None:
        """A run is over; with `avoid` the item goes to another sampler next, if one has room."""
        run = open_item.run
        if run is None:
            return
        if avoid:
            open_item.avoid = run.sampler_id
        pace = self.pace(run.sampler_id)
        pace.running -= 1
        pace.tokens -= run.tokens
        open_item.run = None

    def forget_sampler(self, sampler_id: str) -> None:
        """The incarnation is gone."""
        self.models.pop(sampler_id, None)
        if self.pace(sampler_id).running == 0:
            self._paces.pop(sampler_id, None)

    def running_on(self, sampler_id: str, model: str) -> int:
        """Runs of a model at a sampler."""
        return sum(
            1
            for item in self.items.values()
            if item.model == model and item.run is not None and item.run.sampler_id == sampler_id
        )
