"""Lookups that no sampler takes: who waits for a place, who is refused at once.

Story: the three samplers of a service ended. Some thirty lookups at one gateway were kept until
their deadline of two seconds, each asking the dead samplers every 33 ms (2,000 refused connections
a second), and were answered then with 504. Lookups that found all samplers full waited a fixed
0.22 of their target latency, whatever was to be expected, and were told to return after 50 ms.

Evidence: on the code with the fixed waits the first lookup of `AbsentServiceTest` got no answer
with a body, and the second one, which may have run, ended with 504 at its deadline.
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
    ABSENT_RETRY_AFTER_S,
    PATIENT_SHARE_OF_TARGET,
    RETURN_SHARE_OF_TARGET,
    ROUND_S,
    wait_or_refuse,
)
from stileloom.proxy.attempt_plan import AttemptPlan
from tests.service_cluster import ServiceCluster, with_cluster

TARGET_S = 0.2
DEADLINE_S = 2.0
SERVICE = "charts"
LONG_DEADLINE_MS = "20000"


def plan(started_at: float = 0.0, full: bool = True) -> AttemptPlan:
    """A lookup that every sampler refused."""
    made = AttemptPlan(
        service=SERVICE,
        zone="a",
        repeatable=True,
        max_attempts=3,
        target_latency_s=TARGET_S,
        started_at=started_at,
    )
    made.full = full
    return made


class DecisionTest(testtools.TestCase):
    """What is decided when nobody is left to ask."""

    def decide(self, lookup: AttemptPlan, now: float, deadline_at: float = DEADLINE_S) -> object:
        """A pause in seconds, or the kind of the refusal and its Retry-After."""
        decision = wait_or_refuse(lookup, 3, deadline_at, now)
        if isinstance(decision, StileloomError):
            return (decision.kind, decision.retry_after_s)
        return decision

    def test_without_any_sampler_in_reach_a_lookup_is_refused_at_its_arrival(self) -> None:
        refused = self.decide(plan(full=False), 0.0)
        self.assertEqual((ErrorKind.NO_SAMPLER, ABSENT_RETRY_AFTER_S), refused)

    def test_a_lookup_that_may_have_run_gets_no_promise(self) -> None:
        lookup = plan(full=False)
        lookup.may_have_run = 1
        kind, _ = self.decide(lookup, 0.0)  # type: ignore[misc]
        self.assertIs(ErrorKind.SAMPLER_FAILED, kind)

    def test_a_place_is_waited_for_as_long_as_that_costs_next_to_nothing(self) -> None:
        patient_until = TARGET_S * PATIENT_SHARE_OF_TARGET
        self.assertEqual(ROUND_S, self.decide(plan(), 0.0))
        self.assertEqual(ROUND_S, self.decide(plan(), patient_until - 1.01 * ROUND_S))
        refused = (ErrorKind.OVERLOADED, TARGET_S * RETURN_SHARE_OF_TARGET)
        self.assertEqual(refused, self.decide(plan(), patient_until - 0.99 * ROUND_S))

    def test_nobody_waits_past_its_deadline(self) -> None:
        kind, _ = self.decide(plan(), 0.0, deadline_at=ROUND_S / 2)  # type: ignore[misc]
        self.assertIs(ErrorKind.OVERLOADED, kind)


class AbsentServiceTest(testtools.TestCase):
    """Every sampler of a service ended."""

    def refused(self, ends_under_it: bool) -> tuple[int, str, int]:
        """Status and code of a lookup, and how many connections to samplers it opened.

        Where a sampler ends under it, the other one is down before.
        """
        seen: list[tuple[int, str, int]] = []
        opened: list[tuple[str, int]] = []
        really_open = SamplerConnection.open

        async def counted(address: tuple[str, int]) -> SamplerConnection:
            opened.append(address)
            return await really_open(address)

        async def scenario(cluster: ServiceCluster) -> None:
            await cluster.samplers["chart-1"].stop()
            if ends_under_it:
                cluster.samplers["chart-2"].faults.ends_at = frozenset({"/charts/7"})
            else:
                await cluster.samplers["chart-2"].stop()
            with mock.patch.object(SamplerConnection, "open", counted):
                answer = await cluster.call(
                    "POST", "/charts/7", b"x", request_id="r1", deadline_ms=LONG_DEADLINE_MS
                )
            code = msgspec.json.decode(answer.body)["code"]
            seen.append((answer.code, code, len(opened)))

        with_cluster(scenario)
        return seen[0]

    def test_a_lookup_asks_each_sampler_once_and_is_refused(self) -> None:
        self.assertEqual((503, "no_sampler", 2), self.refused(ends_under_it=False))

    def test_a_lookup_under_which_the_last_sampler_ended_fails_at_once(self) -> None:
        status, code, opened = self.refused(ends_under_it=True)
        self.assertEqual((502, "sampler_failed"), (status, code))
        self.assertTrue(opened <= 3, opened)


class Crowd(msgspec.Struct):
    """Samplers of one service and the lookups that come to them, in virtual time."""

    places: int
    """Lookups that run or queue at the samplers at once; more are refused there."""
    work_s: float
    arrivals: list[float]
    """When callers first try, in seconds."""


class Outcomes(msgspec.Struct):
    """What became of the callers."""

    in_time: int = 0
    late: int = 0
    failed: int = 0
    second_tries_failed: int = 0
    held_in_vain_s: float = 0.0


Decision = Callable[[AttemptPlan, int, float, float], float | StileloomError]


def fixed_waits(
    lookup: AttemptPlan, listed: int, deadline_at: float, now: float
) -> float | StileloomError:
    """The figure before: rounds 30 ms apart within 0.22 of the target, then 50 ms away."""
    if now - lookup.started_at + 0.03 > lookup.target_latency_s * 0.22:
        return StileloomError(ErrorKind.OVERLOADED, "", retry_after_s=0.05)
    return 0.03


def play(crowd: Crowd, decide: Decision, seed: int) -> Outcomes:
    """Runs a crowd; each caller comes back once, after Retry-After and its way there and back."""
    rng = random.Random(seed)
    outcomes = Outcomes()
    running = 0
    order = 0
    events: list[tuple[float, int, str, AttemptPlan | None, float, bool]] = []

    def at(when: float, kind: str, lookup: AttemptPlan | None, first: float, again: bool) -> None:
        nonlocal order
        order += 1
        heapq.heappush(events, (when, order, kind, lookup, first, again))

    for arrival in crowd.arrivals:
        at(arrival, "ask", plan(arrival, full=False), arrival, False)
    while events:
        now, _, kind, lookup, first, again = heapq.heappop(events)
        if kind == "done":
            running -= 1
            continue
        assert lookup is not None
        if kind == "again":
            lookup.ask_again()
        if running < crowd.places:
            running += 1
            took_s = crowd.work_s * rng.uniform(0.7, 1.3)
            at(now + took_s, "done", None, 0.0, False)
            outcomes.in_time += now + took_s <= first + TARGET_S
            outcomes.late += first + TARGET_S < now + took_s
            continue
        lookup.full = True
        decision = decide(lookup, 3, first + DEADLINE_S, now)
        if not isinstance(decision, StileloomError):
            at(now + decision, "again", lookup, first, again)
            continue
        outcomes.held_in_vain_s += now - lookup.started_at
        outcomes.failed += again
        outcomes.second_tries_failed += again
        if not again:
            back_at = now + (decision.retry_after_s or 0.0) + rng.uniform(0.006, 0.012)
            at(back_at, "ask", plan(back_at, full=False), first, True)
    return outcomes


class CrowdBenchmark(testtools.TestCase):
    """Bursts over full samplers: 18 places, 38 ms of work, so some 470 lookups a second fit."""

    def crowd(self, per_second: float, seconds: float, seed: int) -> Crowd:
        """Callers at a rate, for some seconds."""
        rng = random.Random(seed)
        arrivals = sorted(rng.uniform(0.0, seconds) for _ in range(int(per_second * seconds)))
        return Crowd(places=18, work_s=0.038, arrivals=arrivals)

    def both(self, per_second: float, seconds: float) -> tuple[Outcomes, Outcomes]:
        """The same crowds with fixed waits, and as it is decided now."""
        totals = (Outcomes(), Outcomes())
        for seed in range(5):
            crowd = self.crowd(per_second, seconds, seed)
            for total, decide in zip(totals, (fixed_waits, wait_or_refuse), strict=True):
                played = play(crowd, decide, seed)
                for name in Outcomes.__struct_fields__:
                    setattr(total, name, getattr(total, name) + getattr(played, name))
        return totals

    def test_a_crowd_at_the_capacity_is_served_in_time(self) -> None:
        """Of 4,500: 4,388 in time before, 4,456 now; failed 112, 36; held in vain 20.9 s, 8.4."""
        before, now = self.both(450, 2.0)
        self.assertTrue(now.in_time > before.in_time)
        self.assertTrue(now.failed < before.failed / 2)
        self.assertTrue(now.held_in_vain_s < before.held_in_vain_s / 2)

    def test_of_a_short_crowd_more_are_served_in_time(self) -> None:
        """Of 1,500 in 0.2 s: in time 780 before, 849 now; failed 720, 641; held 53 s, 36 s."""
        before, now = self.both(1500, 0.2)
        self.assertTrue(now.in_time > before.in_time)
        self.assertTrue(now.failed < before.failed)
        self.assertTrue(now.held_in_vain_s < before.held_in_vain_s)

    def test_a_crowd_that_lasts_is_held_less_for_as_many_in_time(self) -> None:
        """Of 15,000: in time 5,004 before, 4,917 now; failed 9,996, 9,892; held 669, 545 s."""
        before, now = self.both(1500, 2.0)
        self.assertTrue(now.in_time > 0.98 * before.in_time)
        self.assertTrue(now.failed < before.failed)
        self.assertTrue(now.held_in_vain_s < 0.85 * before.held_in_vain_s)
