"""Tests of rollout planning and weight swaps: start budget, lead, lending, swap sources."""

from __future__ import annotations

import itertools

import testtools

from stileloom.api.engine import EngineState
from stileloom.api.objects import Machine, SamplerRole
from stileloom.lease import Fence, FencingToken
from stileloom.ledger.state import RoundState
from stileloom.rollout.lead import LeadEstimate
from stileloom.rollout.length_estimate import LengthEstimate
from stileloom.rollout.staleness import start_budget
from stileloom.samplers.messages import LoadRow
from stileloom.samplers.table import SamplerView
from stileloom.weights import PoolDemand, RoleShifter, SwapPlanner, SwapStyle, SwapTarget


def demand(running: int) -> PoolDemand:
    """Returns the demand of a pool of three samplers that keeps one."""
    return PoolDemand(["s1", "s2", "s3"], 1, running, lend_below=1.0, return_above=2.0)


def sampler(number: int, version: int | None, running: int = 0) -> SamplerView:
    """Returns a rollout sampler in zone a."""
    state = EngineState.SERVING if version is not None else EngineState.UNKNOWN_VERSION
    name = f"s{number}"
    row = LoadRow(name, state, SamplerRole.ROLLOUT, "m", version, running, 0, 8, FencingToken(0, 0))
    return SamplerView(Machine(name, "p", "a", "10.0.0.1", 9000 + number), row, last_contact_at=0.0)


class EstimateTest(testtools.TestCase):
    """Start budget, lead and length estimates, and the fence."""

    def test_start_budget_counts_in_flight_samples(self) -> None:
        state = RoundState("r", 2, 10, 1, version=1)
        self.assertEqual(30, start_budget(state, 2, 0))
        self.assertEqual(5, start_budget(state, 2, 25))
        state.handed_over_at_version = 10
        self.assertEqual(0, start_budget(state, 2, 25))
        self.assertEqual(7, start_budget(state, 2, 25, requested_until=32))

    def test_lead_grows_with_length(self) -> None:
        lead = LeadEstimate()
        self.assertEqual(3, lead.lead_steps(10, max_steps=3))
        lead.observe_step(0.0, 0)
        lead.observe_step(100.0, 1)
        lead.observe_generation(10.0, 1000)
        self.assertEqual(1, lead.lead_steps(500, max_steps=3))
        self.assertEqual(2, lead.lead_steps(12_000, max_steps=3))
        self.assertEqual(3, lead.lead_steps(90_000, max_steps=3))

    def test_lengths_are_estimated_by_group(self) -> None:
        lengths = LengthEstimate()
        self.assertEqual(50.0, lengths.expected("g", 100, 0))
        lengths.observe("g", 20)
        self.assertEqual(20.0, lengths.expected("g", 100, 0))
        self.assertEqual(60.0, lengths.expected("g", 100, 30))

    def test_fence_rejects_lower_tokens(self) -> None:
        fence = Fence()
        self.assertTrue(fence.admits(FencingToken(2, 5)))
        self.assertFalse(fence.admits(FencingToken(1, 9)))
        self.assertFalse(fence.admits(FencingToken(2, 4)))
        self.assertTrue(fence.admits(FencingToken(2, 5)))


class LendingTest(testtools.TestCase):
    """Samplers are lent when idle and returned on demand."""

    def shifter_after_idle_time(self) -> RoleShifter:
        """Returns a shifter after two minutes without load."""
        shifter = RoleShifter()
        for now in range(120):
            shifter.update(float(now), demand(0))
        return shifter

    def test_idle_samplers_are_lent_except_those_kept(self) -> None:
        self.assertEqual(2, len(self.shifter_after_idle_time().lent))

    def test_demand_returns_lent_samplers(self) -> None:
        shifter = self.shifter_after_idle_time()
        for now in range(120, 140):
            shifter.update(float(now), demand(12))
        self.assertEqual([], shifter.lent)

    def test_no_change_between_the_thresholds(self) -> None:
        shifter = self.shifter_after_idle_time()
        for now in range(120, 300):
            self.assertEqual(2, len(shifter.update(float(now), demand(1))))


class SwapTest(testtools.TestCase):
    """Selection of the samplers to swap and of their weight sources."""

    target = SwapTarget(SamplerRole.ROLLOUT, "m", 2)

    def plan(self, views: list[SamplerView], style: SwapStyle) -> dict[str, str]:
        """Returns the weight source of each sampler to load; empty means the object store."""
        planner = SwapPlanner(1, itertools.count(1))
        targets = {view.sampler_id: self.target for view in views}
        return {name: order.source for name, order in planner.plan(0.0, views, targets, style)}

    def test_one_sampler_per_zone_loads_from_the_object_store(self) -> None:
        views = [sampler(number, 1) for number in range(4)]
        self.assertEqual({"s0": ""}, self.plan(views, SwapStyle.IN_FLIGHT))

    def test_other_samplers_load_from_holders(self) -> None:
        views = [sampler(0, 2), *[sampler(number, 1) for number in range(1, 5)]]
        holder = "10.0.0.1:9000"
        expected = {"s1": holder, "s2": holder}
        self.assertEqual(expected, self.plan(views, SwapStyle.IN_FLIGHT))

    def test_drain_swap_waits_for_running_generations(self) -> None:
        self.assertEqual({}, self.plan([sampler(0, 1, running=3)], SwapStyle.DRAIN))
        self.assertEqual({"s0": ""}, self.plan([sampler(0, 1)], SwapStyle.DRAIN))

    def test_unknown_version_is_reloaded(self) -> None:
        self.assertEqual({"s0": ""}, self.plan([sampler(0, None)], SwapStyle.DRAIN))
