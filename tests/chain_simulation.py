"""Chains of training steps on simulated samplers, in virtual time with the real item scheduler.

A trainer asks for step k once a version is named that came out of step k - 2, so two steps overlap.
Lengths of items
have a heavy tail, as generations of language models do, and are known only roughly beforehand.
Samplers may be uneven, and others on their machines may slow some of them down in each period.
"""

from __future__ import annotations

import random
from collections.abc import Callable

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
TICK_S = 0.01
EVENT_S = 0.039
TOKENS_PER_EVENT = 59.0


class Load(msgspec.Struct, frozen=True):
    """One model, its steps and the samplers that run them."""

    samplers: int = 21
    slots: int = 6
    groups: int = 9
    group_items: int = 16
    period_s: float = 4.0
    train_s: float = 0.5
    mean_events: float = 25.4
    spread: float = 0.84
    tail_share: float = 0.08
    tail_factor: float = 5.0
    max_events: float = 182.0
    hint_spread: float = 0.5
    slow_share: float = 0.0
    slow_factor: float = 3.5
    slow_from_s: float = 0.0
    speeds: tuple[float, float] = (1.0, 1.0)
    noise_share: float = 0.0
    """Share of the samplers that are slow in a period, and not in the one before."""
    noise_factor: float = 2.5
    noise_period_s: float = 0.6
    move_cost_s: float = 0.0
    """Time for which a moved run processes its prompt and text again."""


class ChainSimulation:
    """Runs steps; `pause` stops all samplers for a while, as a change of leader does."""

    def __init__(
        self,
        load: Load,
        seed: int,
        make_scheduler: Callable[[SamplerTable], ItemScheduler] = ItemScheduler,
    ) -> None:
        self.load = load
        self.decisions: list[tuple[float, str, str, str]] = []
        """Time, kind, item and sampler of each start and move."""
        self.now = 0.0
        self.asked_at: list[float] = []
        self.ended_at: dict[int, float] = {}
        self._rng = random.Random(seed)
        table = SamplerTable()
        names = [f"s{number}" for number in range(load.samplers)]
        table.replace_all(
            [
                SamplerEntry(name, SERVICE, ("10.0.0.1", 1), "a", load.slots, False, {MODEL: 1})
                for name in names
            ]
        )
        self.scheduler = make_scheduler(table)
        for name in names:
            self.scheduler.models_of(name).record_version(MODEL, 1)
        self._names = names
        self._slow = set(names[: int(load.samplers * load.slow_share)])
        # Drawn apart from the items, so that all loads of a seed have the same items.
        self._noise_rng = random.Random(f"{seed} noise")
        self._noisy: set[str] = set()
        self._noise_until = 0.0
        self._speeds = {name: self._noise_rng.uniform(*load.speeds) for name in names}
        self._events: dict[str, int] = {}
        """True length of each item."""
        self._next_event_at: dict[tuple[str, str], float] = {}
        self._paused_until = 0.0

    def run(
        self, seconds: float, pauses: dict[float, float] | None = None, keep_runs: bool = False
    ) -> None:
        """Runs for some time; `pauses` maps the begin of each pause to its length.

        With `keep_runs` runs under way go on during a pause and only starts wait for its end.
        """
        pauses = dict(pauses or {})
        while self.now < seconds:
            self.now += TICK_S
            for begin in [begin for begin in pauses if begin <= self.now]:
                self._pause(pauses.pop(begin), keep_runs)
            self._ask()
            self._disturb()
            if self.now >= self._paused_until or keep_runs:
                self._advance()
            if self.now >= self._paused_until:
                self._start()

    def lateness_s(self, step: int) -> float:
        """How much later than on time a step was asked."""
        return self.asked_at[step] - step * self.load.period_s

    def duration_s(self, step: int) -> float:
        """Time from the request of a step to its last item."""
        return self.ended_at[step] - self.asked_at[step]

    def _ask(self) -> None:
        step = len(self.asked_at)
        named_at = 0.0
        if step >= 2:
            named_at = self.ended_at.get(step - 2, float("inf")) + self.load.train_s
        if self.now < max(step * self.load.period_s, named_at):
            return
        self.asked_at.append(self.now)
        items = [
            JobItem(f"{step}-{group}-{n}", "/p", {}, b"", f"{step}-{group}")
            for group in range(self.load.groups)
            for n in range(self.load.group_items)
        ]
        sizes = {item.item_id: self._draw(item.item_id) for item in items}
        submission = JobSubmission(f"job-{step}", "h", "/p", step, MODEL, 1, 1, items)
        self.scheduler.adopt_job(
            JobRecord(submission),
            items,
            JobTerms(SERVICE, False, 3, 60.0, TOKENS_PER_EVENT),
            sizes,
            self.now,
        )

    def _draw(self, item_id: str) -> ItemSize:
        load, rng = self.load, self._rng
        sigma = load.spread
        events = load.mean_events * rng.lognormvariate(-sigma * sigma / 2, sigma) / 1.3
        if rng.random() < load.tail_share:
            events *= load.tail_factor
        self._events[item_id] = max(1, round(min(events, load.max_events)))
        hint = self._events[item_id] * rng.lognormvariate(0.0, load.hint_spread)
        return ItemSize(min(hint, load.max_events) * TOKENS_PER_EVENT, 1016.0)

    def _interval_s(self, sampler_id: str) -> float:
        interval_s = EVENT_S / self.steady_speed(sampler_id, self.now)
        return interval_s * (self.load.noise_factor if sampler_id in self._noisy else 1.0)

    def steady_speed(self, sampler_id: str, at: float) -> float:
        """Speed of a sampler without noise, relative to the usual one."""
        speed = self._speeds[sampler_id]
        is_slow = sampler_id in self._slow and at >= self.load.slow_from_s
        return speed / self.load.slow_factor if is_slow else speed

    def _disturb(self) -> None:
        """Draws the samplers that are slow in the next period."""
        if self.now >= self._noise_until:
            self._noise_until += self.load.noise_period_s
            others = [name for name in self._names if name not in self._noisy]
            count = round(self.load.noise_share * len(self._names))
            self._noisy = set(self._noise_rng.sample(others, count))

    def _start(self) -> None:
        self.scheduler.assign_models(SERVICE, [MODEL])
        for planned in self.scheduler.plan_starts(self.now, [MODEL]):
            self._begin("start", planned.item, planned.sampler_id)
        for open_item in self.scheduler.slow_runs(self.now)[:3]:
            sampler_id = self.scheduler.faster_sampler(open_item, self.now)
            if sampler_id is not None:
                self.scheduler.end_run(open_item, avoid=True)
                self.scheduler.start_on(open_item, sampler_id, self.now)
                self._begin("move", open_item, sampler_id, self.load.move_cost_s)

    def _begin(self, kind: str, open_item: OpenItem, sampler_id: str, delay_s: float = 0.0) -> None:
        self.decisions.append((self.now, kind, open_item.key[1], sampler_id))
        self._next_event_at[open_item.key] = self.now + delay_s + self._interval_s(sampler_id)

    def _advance(self) -> None:
        for open_item in list(self.scheduler.items.values()):
            run = open_item.run
            while run is not None and self._next_event_at[open_item.key] <= self.now:
                event_at = self._next_event_at[open_item.key]
                self._next_event_at[open_item.key] += self._interval_s(run.sampler_id)
                self.scheduler.record_event(open_item, event_at)
                open_item.partial.add(len(open_item.partial.parts) + 1, "x", 1)
                if len(open_item.partial.parts) >= self._events[open_item.key[1]]:
                    self.scheduler.end_run(open_item)
                    self.scheduler.remove_listed(open_item.key)
                    self._finish_step(open_item.step)
                    break

    def _finish_step(self, step: int) -> None:
        if not any(item.step == step for item in self.scheduler.items.values()):
            self.ended_at[step] = self.now

    def _pause(self, length_s: float, keep_runs: bool) -> None:
        """Cuts all runs, unless they are kept; they go on from their texts after the pause."""
        self._paused_until = self.now + length_s
        if keep_runs:
            return
        for open_item in self.scheduler.items.values():
            self.scheduler.end_run(open_item)
