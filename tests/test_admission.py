"""Lookups that no sampler accepts: whether they wait for a free slot or are refused at once.

Guards against retrying unreachable samplers until the deadline, and against fixed waits at full
samplers that exceed what the target latency allows.
"""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable
from unittest import mock

import msgspec
import testtools

from stileloom.errors import ErrorKind, StileloomError
from stileloom.http1.connection import SamplerConnection
from stileloom.proxy.admission import (
    MAX_WAIT_FRACTION,
    RETRY_AFTER_FRACTION,
    RETRY_INTERVAL_S,
    UNAVAILABLE_RETRY_AFTER_S,
    wait_or_refuse,
)
from stileloom.proxy.attempt_plan import AttemptPlan
from tests.service_cluster import ServiceCluster, with_cluster

TARGET_S = 0.2
DEADLINE_S = 2.0
SERVICE = "charts"
LONG_DEADLINE_MS = "20000"


def plan(started_at: float = 0.0, full: bool = True) -> AttemptPlan:
    """A lookup without an accepted attempt; `full` if samplers refused it."""
    lookup = AttemptPlan(
        service=SERVICE,
        zone="a",
        repeatable=True,
        max_attempts=3,
        target_latency_s=TARGET_S,
        started_at=started_at,
    )
    lookup.full = full
    return lookup


class DecisionTest(testtools.TestCase):
    """Decisions of `wait_or_refuse`."""

    def decide(self, lookup: AttemptPlan, now: float, deadline_at: float = DEADLINE_S) -> object:
        """The delay in seconds, or the error's kind and its Retry-After in seconds."""
        decision = wait_or_refuse(lookup, 3, deadline_at, now)
        if isinstance(decision, StileloomError):
            return (decision.kind, decision.retry_after_s)
        return decision

    def test_a_lookup_without_reachable_samplers_is_refused_at_once(self) -> None:
        refused = self.decide(plan(full=False), 0.0)
        self.assertEqual((ErrorKind.NO_SAMPLER, UNAVAILABLE_RETRY_AFTER_S), refused)

    def test_a_lookup_that_may_have_run_has_an_unknown_outcome(self) -> None:
        lookup = plan(full=False)
        lookup.possible_runs = 1
        kind, _ = self.decide(lookup, 0.0)  # type: ignore[misc]
        self.assertIs(ErrorKind.SAMPLER_FAILED, kind)

    def test_a_lookup_waits_for_a_slot_for_a_fraction_of_its_target(self) -> None:
        wait_until = TARGET_S * MAX_WAIT_FRACTION
        self.assertEqual(RETRY_INTERVAL_S, self.decide(plan(), 0.0))
        self.assertEqual(
            RETRY_INTERVAL_S, self.decide(plan(), wait_until - 1.01 * RETRY_INTERVAL_S)
        )
        refused = (ErrorKind.OVERLOADED, TARGET_S * RETRY_AFTER_FRACTION)
        self.assertEqual(refused, self.decide(plan(), wait_until - 0.99 * RETRY_INTERVAL_S))

    def test_no_lookup_waits_past_its_deadline(self) -> None:
        kind, _ = self.decide(plan(), 0.0, deadline_at=RETRY_INTERVAL_S / 2)  # type: ignore[misc]
        self.assertIs(ErrorKind.OVERLOADED, kind)


class AbsentServiceTest(testtools.TestCase):
    """Every sampler of a service is down."""

    def send_lookup(self, crashes_sampler: bool) -> tuple[int, str, int]:
        """Status and code of a lookup, and the number of connections opened to samplers for it.

        With `crashes_sampler` the last sampler runs until it crashes under the lookup.
        """
        results: list[tuple[int, str, int]] = []
        opened: list[tuple[str, int]] = []
        original_open = SamplerConnection.open

        async def open_and_record(address: tuple[str, int]) -> SamplerConnection:
            opened.append(address)
            return await original_open(address)

        async def scenario(cluster: ServiceCluster) -> None:
            await cluster.samplers["chart-1"].stop()
            if crashes_sampler:
                cluster.samplers["chart-2"].faults.crash_targets = frozenset({"/charts/7"})
            else:
                await cluster.samplers["chart-2"].stop()
            with mock.patch.object(SamplerConnection, "open", open_and_record):
                answer = await cluster.call(
                    "POST", "/charts/7", b"x", request_id="r1", deadline_ms=LONG_DEADLINE_MS
                )
            code = msgspec.json.decode(answer.body)["code"]
            results.append((answer.code, code, len(opened)))

        with_cluster(scenario)
        return results[0]

    def test_a_lookup_tries_each_unreachable_sampler_once(self) -> None:
        self.assertEqual((503, "no_sampler", 2), self.send_lookup(crashes_sampler=False))

    def test_a_lookup_that_crashes_the_last_sampler_fails_at_once(self) -> None:
        status, code, opened = self.send_lookup(crashes_sampler=True)
        self.assertEqual((502, "sampler_failed"), (status, code))
        self.assertTrue(opened <= 3, opened)


class Burst(msgspec.Struct):
    """Samplers of one service and the lookups that arrive, in virtual time."""

    slots: int
    """Number of lookups that the samplers accept at a time, running or queued."""
    work_s: float
    arrivals: list[float]
    """Arrival times of the callers' first requests, in seconds."""


class Outcomes(msgspec.Struct):
    """What became of the callers' lookups."""

    in_time: int = 0
    late: int = 0
    failed: int = 0
    failed_retries: int = 0
    wasted_wait_s: float = 0.0
    """Total time that lookups waited before they were refused."""


Policy = Callable[[AttemptPlan, int, float, float], float | StileloomError]


def baseline_policy(
    lookup: AttemptPlan, listed: int, deadline_at: float, now: float
) -> float | StileloomError:
    """Retries every 30 ms for 22 % of the target latency, then refuses with Retry-After 50 ms."""
    if now - lookup.started_at + 0.03 > lookup.target_latency_s * 0.22:
        return StileloomError(ErrorKind.OVERLOADED, "", retry_after_s=0.05)
    return 0.03


def simulate(burst: Burst, policy: Policy, seed: int) -> Outcomes:
    """Simulates a burst; a refused caller retries once, after Retry-After and a round trip."""
    rng = random.Random(seed)
    outcomes = Outcomes()
    running = 0
    order = 0
    events: list[tuple[float, int, str, AttemptPlan | None, float, bool]] = []

    def schedule(
        at: float, kind: str, lookup: AttemptPlan | None, first_arrival: float, is_retry: bool
    ) -> None:
        nonlocal order
        order += 1
        heapq.heappush(events, (at, order, kind, lookup, first_arrival, is_retry))

    for arrival in burst.arrivals:
        schedule(arrival, "arrival", plan(arrival, full=False), arrival, False)
    while events:
        now, _, kind, lookup, first_arrival, is_retry = heapq.heappop(events)
        if kind == "done":
            running -= 1
            continue
        assert lookup is not None
        if kind == "next_round":
            lookup.reset_refusals()
        if running < burst.slots:
            running += 1
            took_s = burst.work_s * rng.uniform(0.7, 1.3)
            schedule(now + took_s, "done", None, 0.0, False)
            outcomes.in_time += now + took_s <= first_arrival + TARGET_S
            outcomes.late += first_arrival + TARGET_S < now + took_s
            continue
        lookup.full = True
        decision = policy(lookup, 3, first_arrival + DEADLINE_S, now)
        if not isinstance(decision, StileloomError):
            schedule(now + decision, "next_round", lookup, first_arrival, is_retry)
            continue
        outcomes.wasted_wait_s += now - lookup.started_at
        outcomes.failed += is_retry
        outcomes.failed_retries += is_retry
        if not is_retry:
            retry_at = now + (decision.retry_after_s or 0.0) + rng.uniform(0.006, 0.012)
            schedule(retry_at, "arrival", plan(retry_at, full=False), first_arrival, True)
    return outcomes


class BurstBenchmark(testtools.TestCase):
    """Bursts at samplers with 18 slots and 38 ms of work: about 470 lookups per second."""

    def burst(self, per_second: float, seconds: float, seed: int) -> Burst:
        """Arrivals at random times, at a constant mean rate."""
        rng = random.Random(seed)
        arrivals = sorted(rng.uniform(0.0, seconds) for _ in range(int(per_second * seconds)))
        return Burst(slots=18, work_s=0.038, arrivals=arrivals)

    def compare(self, per_second: float, seconds: float) -> tuple[Outcomes, Outcomes]:
        """Totals of the same five bursts with the baseline policy and with the current one."""
        totals = (Outcomes(), Outcomes())
        for seed in range(5):
            burst = self.burst(per_second, seconds, seed)
            for total, policy in zip(totals, (baseline_policy, wait_or_refuse), strict=True):
                result = simulate(burst, policy, seed)
                for name in Outcomes.__struct_fields__:
                    setattr(total, name, getattr(total, name) + getattr(result, name))
        return totals

    def test_a_burst_at_capacity_is_served_in_time(self) -> None:
        """Guards against lookups that give up although a slot becomes free soon."""
        before, now = self.compare(450, 2.0)
        self.assertTrue(now.in_time > before.in_time)
        self.assertTrue(now.failed < before.failed / 2)
        self.assertTrue(now.wasted_wait_s < before.wasted_wait_s / 2)

    def test_more_lookups_of_a_short_burst_are_served_in_time(self) -> None:
        """Guards against retries that come back too early or too late for their target."""
        before, now = self.compare(1500, 0.2)
        self.assertTrue(now.in_time > before.in_time)
        self.assertTrue(now.failed < before.failed)
        self.assertTrue(now.wasted_wait_s < before.wasted_wait_s)

    def test_lookups_of_a_long_burst_wait_less_before_they_are_refused(self) -> None:
        """Guards against long waits of lookups that are refused in the end."""
        before, now = self.compare(1500, 2.0)
        self.assertTrue(now.in_time > 0.98 * before.in_time)
        self.assertTrue(now.failed < before.failed)
        self.assertTrue(now.wasted_wait_s < 0.85 * before.wasted_wait_s)
