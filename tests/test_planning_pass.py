"""Planning of many items on many samplers: same decisions as pair by pair, fewer checks."""

from __future__ import annotations

import contextlib
import random
from collections.abc import Iterator
from unittest import mock

import testtools

from stileloom.jobs.open_items import ItemSize
from stileloom.jobs.planning_pass import MAX_CANDIDATES
from stileloom.jobs.sampler_fit import SamplerFit
from stileloom.jobs.scheduler import MAX_SLOW_RUNS, MAX_STARTS_PER_PASS, ItemScheduler
from tests.test_item_scheduler import SERVICE, SchedulerFixture, entry, record

MODELS = ("m", "n", "o")
STEPS = 12
STEP_S = 0.4


@contextlib.contextmanager
def no_pass(self: ItemScheduler, now: float) -> Iterator[None]:
    """Remembers nothing between two checks."""
    yield


def play(seed: int) -> list[object]:
    """Every decision of a random load with loads, moves, failures and ends of runs."""
    rng = random.Random(seed)
    entries = [
        entry(f"s{n}", rng.randint(1, 4), {m: rng.randint(1, 2) for m in MODELS})
        for n in range(rng.randint(2, 14))
    ]
    fixture = SchedulerFixture(*entries, models=MODELS)
    scheduler = fixture.scheduler
    scheduler.cache_tokens[SERVICE] = 9000.0
    decisions: list[object] = []
    for step in range(STEPS):
        now = step * STEP_S
        if step % 3 == 0:
            model = rng.choice(MODELS)
            job = record(f"j{step}", rng.randint(1, 20), model=model, min_version=rng.randint(1, 2))
            items = job.submission.items
            sizes = {item.item_id: ItemSize(rng.uniform(100, 6000), 200.0) for item in items}
            fixture.adopt(job, now, sizes)
            fixture.planner.set_target(model, rng.randint(1, 3), now)
        decisions.append([item.key for item in scheduler.slow_runs(now)])
        decisions.append(sorted(fixture.starts(now).items()))
        decisions.append(fixture.loads(now))
        for item in list(scheduler.items.values()):
            if item.run is None:
                continue
            sampler_id = item.run.sampler_id
            for _ in range(3):
                scheduler.record_event(item, now + rng.uniform(0.01, 0.3))
            if rng.random() < 0.2:
                scheduler.end_run(item, avoid=rng.random() < 0.5)
            elif rng.random() < 0.05:
                fixture.samplers.record_failure(sampler_id, now)
        for sampler in entries:
            if rng.random() < 0.5:
                scheduler.models_of(sampler.sampler_id).loading = None
    return decisions


class PlanningPassTest(testtools.TestCase):
    """Decisions with what a pass remembers, and without."""

    def test_decisions_are_those_of_checks_pair_by_pair(self) -> None:
        for seed in range(150):
            with mock.patch.object(ItemScheduler, "planning_pass", no_pass):
                expected = play(seed)
            self.assertEqual(expected, play(seed), f"seed {seed}")

    def test_full_samplers_are_not_checked_for_every_item(self) -> None:
        """Guards against a leader that plans for longer than its lease: 300 samplers are full,
        600 items wait, 900 run.
        """
        fixture = SchedulerFixture(*[entry(f"s{n}", 3) for n in range(300)])
        fixture.adopt(record("j", 1500))
        started = 0
        while starts := fixture.starts(0.0):
            self.assertLessEqual(len(starts), MAX_STARTS_PER_PASS)
            started += len(starts)
        self.assertEqual(900, started)
        for item in fixture.scheduler.items.values():
            for event in range(3):
                fixture.scheduler.record_event(item, 0.1 * event)
        fixture.planner.set_target("m", 2, 0.0)
        checks = 0
        check = SamplerFit.has_free_slot

        def counted(fit: SamplerFit, sampler: object) -> bool:
            nonlocal checks
            checks += 1
            return check(fit, sampler)  # type: ignore[arg-type]

        with mock.patch.object(SamplerFit, "has_free_slot", counted):
            fixture.scheduler.slow_runs(2.0)
            fixture.starts(2.0)
            fixture.loads(2.0)
        self.assertLess(checks, 10 * 300)

    def test_a_pass_does_not_compare_all_samplers_for_every_item(self) -> None:
        """Guards against a pass of seconds where most of 1,000 samplers are free: 1,000 runs, 1,000
        items that wait.
        """
        fixture = SchedulerFixture(*[entry(f"s{n}", 4) for n in range(1000)])
        fixture.adopt(record("j", 2000))
        started = 0
        while started < 1000:
            started += len(fixture.starts(0.0))
        for item in fixture.scheduler.items.values():
            for event in range(3):
                fixture.scheduler.record_event(item, 0.1 * event)
        costs = 0
        cost = ItemScheduler._cost

        def counted(scheduler: ItemScheduler, *arguments: object) -> object:
            nonlocal costs
            costs += 1
            return cost(scheduler, *arguments)  # type: ignore[arg-type]

        with mock.patch.object(ItemScheduler, "_cost", counted):
            fixture.scheduler.slow_runs(2.0)
            starts = fixture.starts(2.0)
        self.assertEqual(MAX_STARTS_PER_PASS, len(starts))
        self.assertLessEqual(costs, (MAX_STARTS_PER_PASS + MAX_SLOW_RUNS) * MAX_CANDIDATES)
