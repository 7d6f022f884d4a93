"""Items on samplers of uneven and noisy speed, on chains of steps in virtual time.

The earlier design is the scheduler without a load view in use.
"""

from __future__ import annotations

import math
import random
from collections.abc import Callable
from statistics import mean, quantiles

import msgspec
import testtools

from stileloom.jobs.open_items import INITIAL_INTERVAL_S, ItemRun, ItemSize, OpenItem
from stileloom.jobs.sampler_speed import MIN_CHANGE, WINDOW_S, SamplerSpeed
from stileloom.jobs.scheduler import (
    FULL_SAMPLER_SLOWDOWN,
    INTERVAL_EWMA_WEIGHT,
    MAX_INTERVAL_GROWTH,
    MOVE_MIN_AGE_S,
    MOVE_MIN_GAIN_S,
    MOVE_MIN_SPEEDUP,
    SHARED_PROMPT_COST_FACTOR,
    ItemScheduler,
)
from stileloom.load import LoadReading, LoadView
from stileloom.proxy.sampler_table import SamplerTable, TrackedSampler
from tests.chain_simulation import EVENT_S, ChainSimulation, Load
from tests.test_item_scheduler import SchedulerFixture, entry, record

SECONDS = 30.0
SEEDS = range(4)
DUE_S = 7.5
"""When a step of the deployment is due."""
FIRST_STEPS_S = 6.0
"""Time of the first two steps, from which the speeds are learnt."""
SLOW_FROM_S = 10.0
RATED_AFTER_S = 3.0 + 2 * WINDOW_S
"""A speed counts over 3 s, and is rated once it has differed in two windows."""
EVEN = Load(
    samplers=8,
    slots=6,
    groups=7,
    mean_events=14.0,
    tail_factor=3.0,
    max_events=120.0,
    move_cost_s=0.2,
)
"""A trainer of the second deployment and its share of the samplers."""
UNEVEN = msgspec.structs.replace(EVEN, speeds=(0.7, 1.7))
NOISE = msgspec.structs.replace(EVEN, noise_share=0.15)
UNEVEN_NOISE = msgspec.structs.replace(UNEVEN, noise_share=0.15)
BECOMES_SLOW = msgspec.structs.replace(NOISE, slow_share=0.15, slow_from_s=SLOW_FROM_S)


class ViewInUse(LoadView):
    """A load view that is always in use."""

    def is_in_use(self, service: str, now: float) -> bool:
        """True."""
        return True


def by_speed(samplers: SamplerTable) -> ItemScheduler:
    """A scheduler whose load view is in use."""
    return ItemScheduler(samplers, load_view=ViewInUse())


def by_speed_without_moves(samplers: SamplerTable) -> ItemScheduler:
    """The same without second runs."""
    return WithoutMoves(samplers, load_view=ViewInUse())


class EarlierScheduler(ItemScheduler):
    """The decisions as they were before samplers were rated by `SamplerSpeed`, unchanged."""

    def _best_sampler(
        self, open_item: OpenItem, now: float, spare_only: bool = False
    ) -> TrackedSampler | None:
        candidates = [
            sampler
            for sampler in self._samplers.of_service(open_item.service)
            if self._can_run(open_item, sampler, now)
        ]
        if not candidates:
            return None
        return min(candidates, key=lambda sampler: self._earlier_cost(open_item, sampler))

    def _earlier_cost(self, open_item: OpenItem, sampler: TrackedSampler) -> tuple[bool, float]:
        stats = self.stats(sampler.entry.sampler_id)
        fill = stats.running / max(1, sampler.entry.slots)
        slowdown = FULL_SAMPLER_SLOWDOWN if self._switches.fastest_first else 1.0
        cost = stats.interval_s * (1.0 + slowdown * fill)
        has_discount = self._switches.group_bonus and open_item.item.group
        if has_discount and open_item.item.group in stats.groups:
            cost *= SHARED_PROMPT_COST_FACTOR
        return (sampler.entry.sampler_id == open_item.avoid_sampler_id, cost)

    def slow_runs(self, now: float) -> list[OpenItem]:
        """Runs that would finish sooner on another sampler."""
        slow = [
            open_item
            for open_item in self.items.values()
            if open_item.run is not None
            and self.models_of(open_item.run.sampler_id).loading != open_item.model
            and self.faster_sampler(open_item, now) is not None
        ]
        slow.sort(key=self.events_left, reverse=True)
        return slow

    def faster_sampler(self, open_item: OpenItem, now: float) -> str | None:
        """A sampler on which the run would end much sooner."""
        run = open_item.run
        if run is None or run.events < 2 or now - run.started_at < MOVE_MIN_AGE_S:
            return None
        current_interval_s = self.stats(run.sampler_id).interval_s
        best = self._best_sampler(open_item, now)
        if best is None:
            return None
        sampler_id = best.entry.sampler_id
        best_interval_s = self.stats(sampler_id).interval_s
        gain_s = (current_interval_s - best_interval_s) * self.events_left(open_item)
        is_worthwhile = (
            current_interval_s > best_interval_s * MOVE_MIN_SPEEDUP and gain_s > MOVE_MIN_GAIN_S
        )
        return sampler_id if is_worthwhile else None

    def _measure_interval(self, model: str, run: ItemRun, now: float) -> None:
        models = self.models_of(run.sampler_id)
        if models.loading == model or run.last_event_at <= models.load_ended_at:
            return
        stats = self.stats(run.sampler_id)
        stats.measured = True
        interval_s = min(now - run.last_event_at, stats.interval_s * MAX_INTERVAL_GROWTH)
        weight = INTERVAL_EWMA_WEIGHT / max(1, stats.running)
        stats.interval_s += weight * (interval_s - stats.interval_s)


class UnchangedDecisionsTest(testtools.TestCase):
    """Guards against other decisions in a deployment whose samplers report no fourth figure."""

    def test_items_are_placed_and_moved_as_before_call_by_call(self) -> None:
        moves = 0
        for seed in range(12):
            rng = random.Random(seed)
            load = Load(
                samplers=rng.randint(2, 12),
                slots=rng.randint(1, 8),
                groups=rng.randint(1, 9),
                group_items=rng.choice([1, 8, 16]),
                slow_share=rng.choice([0.0, 0.3]),
                speeds=(rng.uniform(0.5, 1.0), rng.uniform(1.0, 2.0)),
                noise_share=rng.choice([0.0, 0.15]),
                move_cost_s=rng.choice([0.0, 0.2]),
            )
            pauses = {rng.uniform(2.0, 8.0): rng.uniform(0.5, 2.0)}
            runs = [ChainSimulation(load, seed, make) for make in (EarlierScheduler, unused_view)]
            runs.append(ChainSimulation(load, seed))
            for simulation in runs:
                simulation.run(14.0, pauses)
            earlier, *later = [simulation.decisions for simulation in runs]
            moves += sum(kind == "move" for _, kind, _, _ in earlier)
            for decisions in later:
                self.assertEqual(earlier, decisions)
        self.assertGreater(moves, 0)


def unused_view(samplers: SamplerTable) -> ItemScheduler:
    """A scheduler with a load view that has readings without a fourth figure only."""
    view = LoadView()
    for tracked in samplers.all():
        view.record(tracked.entry, LoadReading(5, 3, tracked.entry.slots, None), 0.0, 0.0)
    return ItemScheduler(samplers, load_view=view)


class SamplerSpeedTest(testtools.TestCase):
    """Ratings of one sampler."""

    def feed(self, speed: SamplerSpeed, first: int, gaps_s: list[float]) -> list[float]:
        """Feeds windows of equal gaps from window number `first` on; the rating after each."""
        ratings = []
        for number, gap_s in enumerate(gaps_s, first):
            for position in range(8):
                speed.record_gap(gap_s, (number + (position + 0.5) / 8) * WINDOW_S)
            speed.record_gap(gap_s, (number + 1.01) * WINDOW_S)
            ratings.append(speed.interval_s())
        return ratings

    def test_a_sampler_is_rated_by_its_first_gap(self) -> None:
        """Guards against a second step that is placed as if nothing were known yet."""
        speed = SamplerSpeed()
        self.assertEqual(INITIAL_INTERVAL_S, speed.interval_s())
        speed.record_gap(0.03, 0.1)
        self.assertEqual(0.03, speed.interval_s())

    def test_a_slow_first_period_is_corrected(self) -> None:
        self.assertEqual([0.04, 0.04], self.feed(SamplerSpeed(), 0, [0.1, 0.04, 0.04])[1:])

    def test_a_slow_period_changes_no_rating(self) -> None:
        windows = [0.04] * 6 + [0.1, 0.04, 0.1, 0.04, 0.1, 0.04, 0.04]
        self.assertEqual({0.04}, set(self.feed(SamplerSpeed(), 0, windows)[1:]))

    def test_a_steady_change_is_rated_within_five_windows(self) -> None:
        windows = [0.04] * 5 + [0.1] * 5
        self.assertEqual(0.1, self.feed(SamplerSpeed(), 0, windows)[-1])

    def test_a_change_by_less_than_a_fifth_keeps_the_rating(self) -> None:
        """Guards against samplers of about the same speed that change places all the time."""
        for factor, changes in ((0.99, False), (1.01, True)):
            gap_s = 0.04 * (1.0 + MIN_CHANGE * factor)
            ratings = self.feed(SamplerSpeed(), 0, [0.04] * 5 + [gap_s] * 8)
            self.assertEqual(changes, ratings[-1] != 0.04)

    def test_windows_before_a_pause_do_not_count_with_those_after_it(self) -> None:
        speed = SamplerSpeed()
        self.feed(speed, 0, [0.04] * 5)
        self.assertEqual([0.04, 0.08], self.feed(speed, 50, [0.08] * 2))


class MoveTest(testtools.TestCase):
    """Second runs where the load view is in use."""

    def fixture(self, items: int, gap_s: float = 0.15, desired: int = 0) -> SchedulerFixture:
        """Items on two samplers, of which `slow` is steadily slow; all but one have results.

        The trainer waits for `desired` groups of one item each, 0 for all of them.
        """
        fixture = SchedulerFixture(entry("slow", slots=1), entry("spare", slots=1))
        fixture.scheduler = by_speed(fixture.samplers)
        for name in ("slow", "spare"):
            fixture.scheduler.models_of(name).record_version("m", 1)
        fixture.scheduler.stats("spare").refused_until = 0.1
        fixture.adopt(record("j", items, desired_groups=desired), sizes={"j-i0": ItemSize(9000.0)})
        self.assertEqual({"j-i0": "slow"}, fixture.starts())
        item = fixture.scheduler.items["j", "j-i0"]
        for number in range(1, 21):
            item.partial.add(number, "x", 1)
            fixture.scheduler.record_event(item, number * gap_s)
        return fixture

    def moved_to(self, fixture: SchedulerFixture) -> str | None:
        """Where the run moves."""
        item = fixture.scheduler.items["j", "j-i0"]
        target = fixture.scheduler.faster_sampler(item, 3.0)
        self.assertEqual([item] if target else [], fixture.scheduler.slow_runs(3.0))
        return target

    def finish(self, fixture: SchedulerFixture, first: int, last: int) -> None:
        """Results of some items."""
        for number in range(first, last):
            fixture.scheduler.remove_listed(("j", f"j-i{number}"))

    def test_a_run_moves_only_among_the_last_tenth_of_its_step(self) -> None:
        fixture = self.fixture(20)
        self.finish(fixture, 3, 20)
        for number in (1, 2):
            fixture.scheduler.items["j", f"j-i{number}"].partial.whole = True
        self.assertIsNone(self.moved_to(fixture))
        self.finish(fixture, 2, 3)
        self.assertEqual("spare", self.moved_to(fixture))

    def test_runs_move_before_the_trainer_has_the_groups_that_it_waits_for(self) -> None:
        """Guards against second runs that begin only once the trainer has ended the step: of 18
        awaited items of 20, the last tenth begins with 3 open ones.
        """
        for open_items, target in ((4, None), (3, "spare")):
            fixture = self.fixture(20, desired=18)
            self.finish(fixture, open_items, 20)
            for number in range(1, open_items):
                fixture.scheduler.items["j", f"j-i{number}"].partial.whole = True
            self.assertEqual(target, self.moved_to(fixture))

    def test_a_run_does_not_move_to_a_slot_that_a_waiting_item_can_use(self) -> None:
        fixture = self.fixture(20)
        self.finish(fixture, 2, 20)
        self.assertIsNone(self.moved_to(fixture))
        fixture.scheduler.items["j", "j-i1"].min_version = 2
        self.assertEqual("spare", self.moved_to(fixture))

    def test_a_run_that_gains_little_stays(self) -> None:
        fixture = self.fixture(10, gap_s=0.1)
        self.finish(fixture, 1, 10)
        item = fixture.scheduler.items["j", "j-i0"]
        enough = math.ceil(MOVE_MIN_GAIN_S / (0.1 - INITIAL_INTERVAL_S))
        for events_left, target in ((enough - 1, None), (enough, "spare")):
            item.max_tokens = (len(item.partial.parts) + events_left) * item.tokens_per_event
            self.assertEqual(target, self.moved_to(fixture))


class WithoutMoves(ItemScheduler):
    """Starts no second runs."""

    def slow_runs(self, now: float) -> list[OpenItem]:
        """None."""
        return []


class RecordedIntervalsTest(testtools.TestCase):
    """Intervals that the leader saves for its successor."""

    def test_noise_changes_no_recorded_interval(self) -> None:
        """Guards against a commit every two seconds, and a new leader that begins with noise."""
        recorded: dict[str, set[float]] = {"earlier": set(), "by speed": set()}
        for name, make in (("earlier", ItemScheduler), ("by speed", by_speed)):
            simulation = ChainSimulation(NOISE, 1, make)
            for second in range(6, 16, 2):
                simulation.run(float(second))
                recorded[name].update(
                    simulation.scheduler.measured_intervals(simulation.now).values()
                )
        self.assertEqual({EVENT_S}, recorded["by speed"])
        self.assertGreater(len(recorded["earlier"]), 1)


class Outcome(msgspec.Struct):
    """What trainers get from chains of steps with the same items."""

    simulations: list[ChainSimulation]

    @property
    def durations_s(self) -> list[float]:
        """From the request of each step to its last item; those that ended after the chain are
        counted as ended with it."""
        return [
            simulation.ended_at.get(step, simulation.now) - asked_at
            for simulation in self.simulations
            for step, asked_at in enumerate(simulation.asked_at)
            if asked_at + DUE_S <= simulation.now
        ]

    @property
    def in_time(self) -> float:
        """Share of the steps that ended when they were due."""
        return mean(duration_s <= DUE_S for duration_s in self.durations_s)

    @property
    def longest_s(self) -> float:
        """99th percentile of the durations."""
        return quantiles(self.durations_s, n=100)[-1]

    @property
    def moves(self) -> int:
        """Number of second runs."""
        return sum(
            kind == "move"
            for simulation in self.simulations
            for _, kind, _, _ in simulation.decisions
        )

    def moves_to_slower(self) -> int:
        """Moves to a sampler that is no faster than the one left, apart from its noise."""
        count = 0
        for simulation in self.simulations:
            placed: dict[str, str] = {}
            for at, kind, item, sampler in simulation.decisions:
                if kind == "move":
                    left_speed = simulation.steady_speed(placed[item], at)
                    count += simulation.steady_speed(sampler, at) <= left_speed
                placed[item] = sampler
        return count

    def misplaced(self, since: float = FIRST_STEPS_S) -> int:
        """Starts of a step on a sampler that is faster by more than a fifth, apart from noise, than
        the sampler of a longer item."""
        count = 0
        for simulation in self.simulations:
            for asked_at in simulation.asked_at:
                speeds = [
                    simulation.steady_speed(sampler, at)
                    for at, kind, _, sampler in simulation.decisions
                    if at == asked_at >= since and kind == "start"
                ]
                for position, speed in enumerate(speeds[1:], 1):
                    count += speed * (1.0 - MIN_CHANGE) > min(speeds[:position])
        return count

    def summary(self) -> str:
        """One line for reports."""
        return (
            f"in time {self.in_time:.3f}, mean {mean(self.durations_s):.2f} s, "
            f"p99 {self.longest_s:.2f} s, moves {self.moves}, "
            f"to slower samplers {self.moves_to_slower()}, misplaced {self.misplaced()}"
        )


def play(load: Load, make_scheduler: Callable[[SamplerTable], ItemScheduler]) -> Outcome:
    """Plays the seeds."""
    simulations = [ChainSimulation(load, seed, make_scheduler) for seed in SEEDS]
    for simulation in simulations:
        simulation.run(SECONDS)
    return Outcome(simulations)


class PlacementTest(testtools.TestCase):
    """Chains of steps, each compared with the earlier design."""

    def test_noise_moves_no_item(self) -> None:
        """Guards against runs that follow speeds which have changed again when they arrive."""
        earlier, now = play(NOISE, ItemScheduler), play(NOISE, by_speed)
        self.assertGreater(earlier.moves, 0)
        self.assertEqual(0, now.moves)
        self.assertGreaterEqual(now.in_time, earlier.in_time)
        self.assertLess(mean(now.durations_s), mean(earlier.durations_s))

    def test_the_longest_items_start_on_the_fastest_samplers_in_spite_of_noise(self) -> None:
        earlier, now = play(UNEVEN_NOISE, ItemScheduler), play(UNEVEN_NOISE, by_speed)
        self.assertGreater(earlier.misplaced(), 0)
        self.assertEqual(0, now.misplaced())
        self.assertGreater(earlier.moves_to_slower(), 0)
        self.assertEqual(0, now.moves_to_slower())
        self.assertGreaterEqual(now.in_time, earlier.in_time)
        self.assertLess(mean(now.durations_s), mean(earlier.durations_s))

    def test_a_sampler_that_is_steadily_slow_is_left(self) -> None:
        """Guards against a rating that takes a lasting change for noise."""
        without_moves = play(BECOMES_SLOW, by_speed_without_moves)
        now = play(BECOMES_SLOW, by_speed)
        self.assertEqual(0, now.misplaced(SLOW_FROM_S + RATED_AFTER_S))
        self.assertEqual(0, now.moves_to_slower())
        self.assertGreater(now.in_time, without_moves.in_time)
        self.assertLess(now.longest_s, without_moves.longest_s)


LOADS = {
    "even": EVEN,
    "uneven": UNEVEN,
    "noise": NOISE,
    "uneven, noise": UNEVEN_NOISE,
    "one becomes slow": BECOMES_SLOW,
}
MAKERS = {"earlier": ItemScheduler, "by speed": by_speed, "no second runs": by_speed_without_moves}

if __name__ == "__main__":
    for load_name, load in LOADS.items():
        for name, make in MAKERS.items():
            print(f"{load_name}; {name}: {play(load, make).summary()}")
