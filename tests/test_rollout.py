"""Rules of rollouts and weights: budget, lead, lending, swaps."""

from __future__ import annotations

import itertools

import testtools

from stileloom.api.engine import EngineState
from stileloom.api.objects import Machine, SamplerRole
from stileloom.lease import Fence, FencingToken
from stileloom.ledger.state import RoundState
from stileloom.rollout.lead import LeadEstimate
from stileloom.rollout.length_estimate import LengthEstimate
from stileloom.rollout.staleness import may_start_count
from stileloom.samplers.messages import LoadRow
from stileloom.samplers.table import SamplerView
from stileloom.weights import PoolDemand, RoleShifter, SwapPlanner, SwapStyle, SwapTarget


def demand(running: int) -> PoolDemand:
    """Three samplers, of which one stays home."""
    return PoolDemand(["s1", "s2", "s3"], 1, running, lend_below=1.0, return_above=2.0)


def sampler(number: int, version: int | None, running: int = 0) -> SamplerView:
    """A rollout sampler of zone a."""
    state = EngineState.SERVING if version is not None else EngineState.UNKNOWN_VERSION
    name = f"s{number}"
    row = LoadRow(name, state, SamplerRole.ROLLOUT, "m", version, running, 0, 8, FencingToken(0, 0))
    return SamplerView(Machine(name, "p", "a", "10.0.0.1", 9000 + number), row, heard_at=0.0)


class RuleTest(testtools.TestCase):
    """Small rules."""

    def test_budget_counts_what_is_on_its_way(self) -> None:
        state = RoundState("r", 2, 10, 1, version=1)
        self.assertEqual(30, may_start_count(state, 2, 0))
        self.assertEqual(5, may_start_count(state, 2, 25))
        state.handed_over_at_version = 10
        self.assertEqual(0, may_start_count(state, 2, 25))
        self.assertEqual(7, may_start_count(state, 2, 25, wanted_until=32))

    def test_lead_grows_with_length(self) -> None:
        lead = LeadEstimate()
        self.assertEqual(3, lead.lead_steps(10, most=3))
        lead.observe_step(0.0, 0)
        lead.observe_step(100.0, 1)
        lead.observe_generation(10.0, 1000)
        self.assertEqual(1, lead.lead_steps(500, most=3))
        self.assertEqual(2, lead.lead_steps(12_000, most=3))
        self.assertEqual(3, lead.lead_steps(90_000, most=3))

    def test_lengths_are_learned_by_group(self) -> None:
        lengths = LengthEstimate()
        self.assertEqual(50.0, lengths.expected("g", 100, 0))
        lengths.observe("g", 20)
        self.assertEqual(20.0, lengths.expected("g", 100, 0))
        self.assertEqual(60.0, lengths.expected("g", 100, 30))

    def test_a_fence_admits_no_lower_token(self) -> None:
        fence = Fence()
        self.assertTrue(fence.admits(FencingToken(2, 5)))
        self.assertFalse(fence.admits(FencingToken(1, 9)))
        self.assertFalse(fence.admits(FencingToken(2, 4)))
        self.assertTrue(fence.admits(FencingToken(2, 5)))


class LendingTest(testtools.TestCase):
    """Samplers are lent slowly and go home quickly."""

    def lend_all(self) -> RoleShifter:
        """A shifter after a quiet minute."""
        shifter = RoleShifter()
        for now in range(120):
            shifter.update(float(now), demand(0))
        return shifter

    def test_quiet_samplers_are_lent_but_one(self) -> None:
        self.assertEqual(2, len(self.lend_all().lent))

    def test_demand_brings_them_home(self) -> None:
        shifter = self.lend_all()
        for now in range(120, 140):
            shifter.update(float(now), demand(12))
        self.assertEqual([], shifter.lent)

    def test_nothing_flaps_between_the_thresholds(self) -> None:
        shifter = self.lend_all()
        for now in range(120, 300):
            self.assertEqual(2, len(shifter.update(float(now), demand(1))))


class SwapTest(testtools.TestCase):
    """Which samplers load from where."""

    target = SwapTarget(SamplerRole.ROLLOUT, "m", 2)

    def plan(self, views: list[SamplerView], style: SwapStyle) -> dict[str, str]:
        """By sampler, where it is to load from."""
        planner = SwapPlanner(1, itertools.count(1))
        targets = {view.sampler_id: self.target for view in views}
        return {name: order.source for name, order in planner.plan(0.0, views, targets, style)}

    def test_one_in_a_zone_loads_from_the_store(self) -> None:
        views = [sampler(number, 1) for number in range(4)]
        self.assertEqual({"s0": ""}, self.plan(views, SwapStyle.IN_FLIGHT))

    def test_the_others_load_from_holders(self) -> None:
        views = [sampler(0, 2), *[sampler(number, 1) for number in range(1, 5)]]
        holder = "10.0.0.1:9000"
        expected = {"s1": holder, "s2": holder}
        self.assertEqual(expected, self.plan(views, SwapStyle.IN_FLIGHT))

    def test_a_draining_swap_waits_for_what_runs(self) -> None:
        self.assertEqual({}, self.plan([sampler(0, 1, running=3)], SwapStyle.DRAIN))
        self.assertEqual({"s0": ""}, self.plan([sampler(0, 1)], SwapStyle.DRAIN))

    def test_an_unknown_version_is_loaded_again(self) -> None:
        self.assertEqual({"s0": ""}, self.plan([sampler(0, None)], SwapStyle.DRAIN))
