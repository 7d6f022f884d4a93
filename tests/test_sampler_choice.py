"""Selection of samplers for lookups where samplers are uneven.

The earlier design is the selection without a load view in use.
"""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Callable
from statistics import mean, quantiles

import testtools

from stileloom.api.sampler_directory import SamplerEntry
from stileloom.clock import steady_time
from stileloom.load import LoadReading, LoadView
from stileloom.proxy.attempt_plan import HEDGE_DELAY_FRACTION, AttemptPlan
from stileloom.proxy.sampler_choice import SamplerChoice
from stileloom.proxy.sampler_table import SamplerTable, TrackedSampler
from tests.lookup_simulation import ZONES, Gateway, LookupLoad, LookupSimulation
from tests.service_cluster import ServiceCluster, with_cluster

SERVICE = "lookups"
SLOTS = 6
TARGET_S = 0.178
GATEWAYS = 76
SEEDS = range(4)
SLOW = 2.5


def entry(name: str, zone: str = "a") -> SamplerEntry:
    """A sampler for lookups."""
    return SamplerEntry(name, SERVICE, ("10.0.0.1", 1), zone, SLOTS, False, {})


def new_plan() -> AttemptPlan:
    """A lookup of zone `a`."""
    return AttemptPlan(SERVICE, "a", True, 3, TARGET_S, 0.0)


def earlier_selection(
    plan: AttemptPlan, samplers: SamplerTable, now: float, rng: random.Random
) -> TrackedSampler | None:
    """`AttemptPlan.select_sampler` as it was before the load view, unchanged."""
    candidates = [
        tracked
        for tracked in samplers.of_service(plan.service)
        if tracked.entry.sampler_id not in plan.refused_by
        and tracked.entry.sampler_id not in plan.unreachable
        and tracked.entry.sampler_id not in plan.tried
    ]
    if not candidates:
        candidates = [
            tracked
            for tracked in samplers.of_service(plan.service)
            if tracked.entry.sampler_id in plan.tried
            and tracked.entry.sampler_id not in plan.refused_by
            and tracked.entry.sampler_id not in plan.unreachable
            and plan.running == 0
        ]
    if not candidates:
        return None

    def cost(tracked: TrackedSampler) -> tuple[bool, float, bool, float]:
        load = tracked.open_requests / max(1, tracked.entry.slots)
        load_rank = 0.0 if load < 0.5 else load
        remote = tracked.entry.zone != plan.zone
        return (tracked.avoid_until > now, load_rank, remote, rng.random())

    return min(candidates, key=cost)


class UnchangedDecisionsTest(testtools.TestCase):
    """Guards against other decisions in a deployment whose samplers report no fourth figure."""

    def play(
        self, seed: int, select: Callable[[AttemptPlan, SamplerTable, float], TrackedSampler | None]
    ) -> list[tuple[str | None, float]]:
        """Selections and hedge times of random lookups over random changes of the samplers."""
        rng = random.Random(seed)
        table = SamplerTable()
        names = [f"s{number}" for number in range(rng.randint(1, 8))]
        table.replace_all([entry(name, rng.choice("abc")) for name in names])
        now, decisions = 0.0, []
        for _ in range(60):
            plan = AttemptPlan(SERVICE, "a", rng.random() < 0.7, 3, TARGET_S, now)
            for _ in range(6):
                now += rng.uniform(0.0, 0.4)
                change = rng.choice(names)
                rng.choice([table.record_failure, lambda name, _: table.record_success(name)])(
                    change, now
                )
                table.all()[0].open_requests = rng.randint(0, 8)
                tracked = select(plan, table, now)
                name = tracked.entry.sampler_id if tracked is not None else None
                if name is not None:
                    plan.record_start(name, now)
                    rng.choice([plan.record_refusal, plan.record_connect_failure, len])(name)
                decisions.append((name, plan.hedge_at()))
        return decisions

    def test_selections_and_random_numbers_are_as_before_call_by_call(self) -> None:
        for seed in range(50):
            rngs = [random.Random(seed) for _ in range(3)]
            view = LoadView()
            choice = SamplerChoice(view, rngs[2])

            def unused_view(
                plan: AttemptPlan,
                table: SamplerTable,
                now: float,
                view: LoadView = view,
                choice: SamplerChoice = choice,
                rng: random.Random = rngs[2],
            ) -> TrackedSampler | None:
                for tracked in table.all():
                    view.record(tracked.entry, LoadReading(6, 2, SLOTS, None), now, now)
                return plan.select_sampler(table, now, rng, choice)

            selections: list[Callable[[AttemptPlan, SamplerTable, float], TrackedSampler | None]]
            selections = [
                lambda plan, table, now, rng=rngs[0]: earlier_selection(plan, table, now, rng),
                lambda plan, table, now, rng=rngs[1]: plan.select_sampler(table, now, rng),
                unused_view,
            ]
            earlier, *later = [self.play(seed, select) for select in selections]
            for decisions in later:
                self.assertEqual(earlier, decisions)
            for rng in rngs[1:]:
                self.assertEqual(rngs[0].getstate(), rng.getstate())


class ChoiceTest(testtools.TestCase):
    """Single selections."""

    def gateway(self, readings: dict[str, LoadReading], seed: int = 1) -> Gateway:
        """A gateway with a fresh reading of each sampler; sampler `a` is in zone `a` and so on."""
        gateway = Gateway("a", [entry(name, name) for name in readings], str(seed))
        for tracked in gateway.samplers.all():
            reading = readings[tracked.entry.sampler_id]
            gateway.view.record(tracked.entry, reading, 0.0, 0.0)
        return gateway

    def select(self, gateway: Gateway, now: float = 0.0) -> str:
        """The sampler of one lookup."""
        tracked = new_plan().select_sampler(gateway.samplers, now, gateway.rng, gateway.choice)
        assert tracked is not None
        return tracked.entry.sampler_id

    def test_of_two_samplers_the_one_that_ends_sooner_is_selected(self) -> None:
        """A free slow sampler ends later than a full one of usual speed: 2.5 to 1 + 1/6."""
        full = LoadReading(SLOTS, 0, SLOTS, 1.0)
        gateway = self.gateway({"a": LoadReading(0, 0, SLOTS, SLOW), "b": full})
        self.assertEqual({"b"}, {self.select(gateway) for _ in range(20)})

    def test_the_zone_breaks_ties(self) -> None:
        free = LoadReading(0, 0, SLOTS, 1.0)
        gateway = self.gateway({"b": free, "a": free})
        self.assertEqual({"a"}, {self.select(gateway) for _ in range(20)})

    def test_own_open_requests_count_beyond_the_free_slots(self) -> None:
        free, busy = LoadReading(0, 0, SLOTS, 1.0), LoadReading(4, 0, SLOTS, 1.0)
        gateway = self.gateway({"a": busy, "b": free})
        tracked = gateway.samplers.get("a")
        assert tracked is not None
        for open_requests, selected in ((1, "a"), (2, "b")):
            tracked.open_requests = open_requests
            self.assertEqual(selected, self.select(gateway))

    def test_samplers_that_failed_recently_come_last(self) -> None:
        gateway = self.gateway(
            {"a": LoadReading(0, 0, SLOTS, 1.0), "b": LoadReading(9, 0, SLOTS, SLOW)}
        )
        gateway.samplers.record_failure("a", 0.0)
        self.assertEqual({"b"}, {self.select(gateway) for _ in range(20)})
        gateway.samplers.record_failure("b", 0.0)
        self.assertEqual("a", self.select(gateway))

    def test_an_old_reading_counts_as_the_median_of_its_service(self) -> None:
        """Guards against a sampler that is avoided for long because it once was slow."""
        usual = LoadReading(0, 0, SLOTS, 1.0)
        gateway = self.gateway({"a": LoadReading(0, 0, SLOTS, SLOW), "b": usual})
        self.assertEqual("b", self.select(gateway))
        self.assertEqual("a", self.select(gateway, now=2.0))

    def test_the_hedge_delay_scales_with_the_sampler_of_the_first_attempt(self) -> None:
        for slowness, fraction in ((0.5, 0.3), (0.8, 0.8 * HEDGE_DELAY_FRACTION), (SLOW, 0.6)):
            gateway = self.gateway({"a": LoadReading(0, 0, SLOTS, slowness)})
            gateway.samplers.put(entry("b", "b"))
            gateway.samplers.record_failure("b", 0.0)
            plan = new_plan()
            for expected in ("a", "b"):
                tracked = plan.select_sampler(gateway.samplers, 0.0, gateway.rng, gateway.choice)
                assert tracked is not None
                self.assertEqual(expected, tracked.entry.sampler_id)
                plan.record_start(expected, 0.0)
                self.assertAlmostEqual(fraction * TARGET_S, plan.hedge_at())

    def test_the_figures_of_the_drawn_samplers_are_kept(self) -> None:
        gateway = self.gateway({name: LoadReading(1, 0, SLOTS, 1.0) for name in ZONES})
        plan = new_plan()
        selected = plan.select_sampler(gateway.samplers, 0.1, gateway.rng, gateway.choice)
        self.assertIs(selected, plan.drawn[0].tracked)
        self.assertEqual([0.1, 0.1], [rated.estimate.age_s for rated in plan.drawn])


class ProgramsTest(testtools.TestCase):
    """A gateway and the leader."""

    def test_lookups_and_items_are_placed_by_what_samplers_report(self) -> None:
        """Guards against a part that is tested but not wired in."""

        async def scenario(cluster: ServiceCluster) -> None:
            gateway = cluster.gateways[0]
            entries = gateway.directory.samplers.entries_of_service("charts")
            for number, slow in enumerate(entries):
                for listed in entries:
                    slowness = SLOW if listed is slow else 1.0
                    sampler = cluster.samplers[listed.sampler_id]
                    sampler.load = f"0,0,4,{slowness * 100:.0f}"
                    now = steady_time()
                    gateway._load.record(listed, LoadReading(0, 0, 4, slowness), now, now)
                runs_before = len(cluster.samplers[slow.sampler_id].runs)
                for lookup in range(8):
                    request_id = f"r{number}-{lookup}"
                    answer = await cluster.call("POST", "/charts/x", b"", request_id=request_id)
                    self.assertEqual(200, answer.code)
                self.assertEqual(runs_before, len(cluster.samplers[slow.sampler_id].runs))
            for sampler in cluster.samplers.values():
                sampler.load = "0,0,4,100"
            await cluster.submit("job", ["i1", "i2"])
            await cluster.results("job", 2)
            leader = cluster.leader()
            assert leader is not None
            service = cluster.ledger_nodes[leader]._service
            assert service is not None
            assert service.runner is not None
            scheduler = service.runner.scheduler
            self.assertTrue(scheduler._is_rated_by_speed("drafts", steady_time()))

        with_cluster(scenario)


class HerdTest(testtools.TestCase):
    """Gateways that choose at the same moment with the same readings (requirement 5)."""

    def greatest_share(self, readings: dict[str, LoadReading]) -> float:
        """The greatest share of the simultaneous choices that one sampler gets."""
        fixture = ChoiceTest("gateway")
        choices = Counter(
            fixture.select(fixture.gateway(readings, seed)) for seed in range(GATEWAYS)
        )
        self.assertGreater(len(choices), 1)
        return max(choices.values()) / GATEWAYS

    def test_not_all_gateways_choose_the_one_free_sampler(self) -> None:
        free = LoadReading(0, 0, SLOTS, 1.0)
        for name, others in HERD_LOADS.items():
            readings = {"a": free, **dict.fromkeys("bcd", others)}
            # A sampler is among the two that are drawn with this probability; four standard
            # deviations of the share are allowed for.
            time = others.slowness * (1 + max(0, others.running + 1 - SLOTS) / SLOTS)
            weight = 1 / time
            first = 1 / (1 + 3 * weight)
            drawn = first + (1 - first) / (1 + 2 * weight)
            bound = drawn + 4 * (drawn * (1 - drawn) / GATEWAYS) ** 0.5
            self.assertLess(self.greatest_share(readings), min(1.0, bound), name)


HERD_LOADS = {
    "others full": LoadReading(SLOTS, 0, SLOTS, 1.0),
    "others slow": LoadReading(0, 0, SLOTS, SLOW),
    "others slow and full": LoadReading(SLOTS, 0, SLOTS, SLOW),
}


def speeds(number: int, period: int) -> float:
    """Steady speeds of 0.7 to 1.7 of the mean, as slowness."""
    return 1 / (0.7, 1.0, 1.35, 1.7)[number]


def noise(number: int, period: int) -> float:
    """Work takes 2.5 times as long at one of the four samplers in six of ten periods, 15 %."""
    slow = random.Random(period // 4).sample(range(4), 4)[period % 4]
    return SLOW if period % 10 < 6 and number == slow else 1.0


def half(number: int, period: int) -> float:
    """Half of the samplers are slow at once, the other half after 2.4 s."""
    return SLOW if number // 2 == period // 4 % 2 else 1.0


def surge(slowness: Callable[[int, int], float], factor: int, one_zone: bool = False) -> LookupLoad:
    """Lookups at a multiple of the usual rate."""
    seconds = 60.0 if factor == 1 else 8.0
    return LookupLoad(slowness, 6.0 * factor, seconds, one_zone)


class Totals:
    """Results of the seeds of a load."""

    def __init__(self, load: LookupLoad, active: bool) -> None:
        runs = [LookupSimulation(load, seed, active) for seed in SEEDS]
        self.in_time = mean(run.in_time for run in runs)
        answered_s = [took for run in runs for took in run.answered_s]
        self.mean_s = mean(answered_s)
        self.p99_s = quantiles(answered_s, n=100)[-1]
        self.wasted = sum(run.wasted for run in runs)
        self.lookups = sum(len(run.latencies_s) for run in runs)

    def summary(self) -> str:
        """One line for reports."""
        return (
            f"in time {self.in_time:.4f}, mean {self.mean_s * 1000:.1f} ms, "
            f"p99 {self.p99_s * 1000:.0f} ms, wasted {self.wasted} of {self.lookups}"
        )


KINDS = {"speeds": speeds, "noise": noise, "half slow": half}


class SurgeTest(testtools.TestCase):
    """Surges to 80 times the usual rate, compared with the earlier design."""

    def test_lookups_end_sooner_and_no_fewer_in_time(self) -> None:
        for kind, slowness in KINDS.items():
            for one_zone in (False, True):
                load = surge(slowness, 80, one_zone)
                earlier, now = Totals(load, False), Totals(load, True)
                self.assertGreaterEqual(now.in_time, earlier.in_time, kind)
                self.assertGreaterEqual(now.in_time, 0.95, kind)
                self.assertLessEqual(now.p99_s, TARGET_S, kind)
                self.assertLess(now.mean_s, earlier.mean_s, kind)
                if one_zone:
                    self.assertLess(now.wasted, earlier.wasted, kind)


if __name__ == "__main__":
    for kind, slowness in KINDS.items():
        for factor, one_zone in ((1, False), (20, False), (80, False), (20, True), (80, True)):
            for name, active in (("earlier", False), ("by expected time", True)):
                load = surge(slowness, factor, one_zone)
                where = "one zone" if one_zone else "all zones"
                summary = Totals(load, active).summary()
                print(f"{kind}, {factor} times, {where}; {name}: {summary}")
