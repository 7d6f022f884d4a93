"""Decisions of the admission queue and the retry budget, without an event loop."""

from __future__ import annotations

import testtools

from stileloom.proxy.admission_queue import (
    ATTEMPT_MARGIN_S,
    MAX_REFUSED_IDENTITIES,
    MIN_TRY_INTERVAL_S,
    RATE_WINDOW_S,
    RETRY_AFTER_MAX_S,
    RETURN_WINDOW_S,
    AdmissionQueue,
    Admitted,
    Queued,
    RefusalReason,
    Refused,
    WaitingLookup,
    with_jitter,
)
from stileloom.proxy.retry_budget import FREE_REPEATS, WINDOW_S, RetryBudget

TARGET_S = 0.186
WAIT_S = TARGET_S / 8 - ATTEMPT_MARGIN_S


def lookup(
    request_id: str,
    arrived_at: float = 0.0,
    tenant: str = "",
    priority: int = 5,
    deadline_s: float = 1.5,
    found_full: bool = True,
    identity: str | None = None,
    target_s: float = TARGET_S,
) -> WaitingLookup:
    return WaitingLookup(
        request_id,
        tenant,
        priority,
        arrived_at,
        target_s,
        arrived_at + deadline_s,
        lambda: identity or request_id,
        found_full,
    )


def backlogged_queue(slots_per_second: float) -> AdmissionQueue:
    """A queue that has had lookups waiting for a second until time 1, and is empty at time 1."""
    queue = AdmissionQueue()
    count = int(slots_per_second)
    for number in range(count):
        now = number / count
        queue.offer(lookup(f"w{number}", now, deadline_s=9.0, target_s=8.0), now)
        if number:
            queue.place_freed(now)
            queue.next_ready(now)
    queue.place_freed(1.0)
    while queue.next_ready(1.0) is not None:
        queue.place_freed(1.0)
    for number in range(count):
        queue.withdraw(f"w{number}", 1.0)
    assert len(queue) == 0
    return queue


class OfferTest(testtools.TestCase):
    """Who is admitted, queued or refused at once."""

    def test_a_lookup_tries_at_once_while_nobody_waits(self) -> None:
        queue = AdmissionQueue()
        self.assertIsInstance(queue.offer(lookup("a", found_full=False), 0.0), Admitted)
        self.assertEqual(float("inf"), queue.next_event_at())

    def test_a_new_lookup_does_not_overtake_those_that_wait(self) -> None:
        queue = AdmissionQueue()
        queue.offer(lookup("a"), 0.0)
        decision = queue.offer(lookup("b", 0.001, found_full=False), 0.001)
        self.assertEqual(Queued(1, float("inf")), decision)

    def test_a_lookup_whose_expected_wait_is_too_long_is_refused_at_once(self) -> None:
        """Guards against lookups that wait in vain: at 200 slots per second four fit in 20 ms."""
        queue = backlogged_queue(200.0)
        decisions = [queue.offer(lookup(f"a{n}", 1.0), 1.0) for n in range(6)]
        self.assertEqual([Queued] * 4 + [Refused] * 2, [type(each) for each in decisions])
        refused = decisions[-1]
        assert isinstance(refused, Refused)
        self.assertIs(RefusalReason.EXPECTED_WAIT, refused.reason)
        self.assertEqual(4, refused.position)
        self.assertGreater(refused.expected_wait_s, WAIT_S)

    def test_an_urgent_lookup_is_queued_where_a_less_urgent_one_is_refused(self) -> None:
        queue = backlogged_queue(200.0)
        for number in range(5):
            queue.offer(lookup(f"a{number}", 1.0), 1.0)
        decision = queue.offer(lookup("urgent", 1.0, priority=0), 1.0)
        assert isinstance(decision, Queued)
        self.assertEqual(0, decision.position)

    def test_a_lookup_that_found_all_samplers_full_too_late_is_refused(self) -> None:
        decision = AdmissionQueue().offer(lookup("a"), WAIT_S + 0.001)
        assert isinstance(decision, Refused)
        self.assertIs(RefusalReason.WAITED, decision.reason)


class OrderTest(testtools.TestCase):
    """Who goes first."""

    def order(self, queue: AdmissionQueue) -> list[str]:
        """Hands out all waiting lookups, as if each ended at once."""
        names = []
        while len(queue):
            queue.place_freed(0.0)
            ready = queue.next_ready(0.0)
            assert ready is not None
            names.append(ready.request_id)
            queue.withdraw(ready.request_id, 0.0)
        return names

    def test_priority_precedes_all_else(self) -> None:
        queue = AdmissionQueue()
        queue.offer(lookup("late", priority=9, arrived_at=-0.01), 0.0)
        queue.offer(lookup("usual"), 0.0)
        queue.offer(lookup("urgent", priority=0), 0.0)
        self.assertEqual(["urgent", "usual", "late"], self.order(queue))

    def test_the_tenant_with_the_fewest_lookups_in_progress_goes_first(self) -> None:
        queue = AdmissionQueue()
        queue.offer(lookup("big-1", tenant="big", found_full=False), 0.0)
        queue.offer(lookup("big-2", tenant="big"), 0.0)
        queue.offer(lookup("small-1", tenant="small"), 0.0)
        self.assertEqual(["small-1", "big-2"], self.order(queue))

    def test_the_weight_of_a_tenant_scales_its_share(self) -> None:
        queue = AdmissionQueue({"heavy": 4.0})
        for tenant, count in (("heavy", 2), ("light", 1)):
            for number in range(count):
                queue.offer(lookup(f"{tenant}{number}", tenant=tenant, found_full=False), 0.0)
        queue.offer(lookup("light", tenant="light"), 0.0)
        queue.offer(lookup("heavy", tenant="heavy"), 0.0)
        self.assertEqual(["heavy", "light"], self.order(queue))

    def test_among_equals_who_returned_goes_first_then_the_latest_start(self) -> None:
        queue = AdmissionQueue()
        refused = queue.offer(lookup("first", -0.1, identity="x"), -0.05)
        self.assertIsInstance(refused, Refused)
        queue.offer(lookup("later", 0.002), 0.002)
        queue.offer(lookup("earlier", 0.001), 0.002)
        queue.offer(lookup("returned", 0.003, identity="x"), 0.003)
        self.assertEqual(["returned", "earlier", "later"], self.order(queue))

    def test_a_return_counts_for_five_seconds(self) -> None:
        for elapsed_s, expected in ((RETURN_WINDOW_S, "x"), (RETURN_WINDOW_S + 0.01, "y")):
            queue = AdmissionQueue()
            first = lookup("x", -elapsed_s - 1.0, deadline_s=0.5, target_s=20.0)
            self.assertIsInstance(queue.offer(first, -elapsed_s), Refused)
            queue.offer(lookup("y", -0.001, target_s=20.0), 0.0)
            queue.offer(lookup("x", target_s=20.0), 0.0)
            self.assertEqual(expected, self.order(queue)[0])

    def test_who_can_no_longer_meet_the_target_goes_last(self) -> None:
        """Guards against slots for callers that are late already while others become late."""
        queue = AdmissionQueue()
        for name, arrived_at in (("late", -TARGET_S), ("in time", -TARGET_S / 2)):
            refused = queue.offer(lookup(name, arrived_at), arrived_at + WAIT_S)
            self.assertIsInstance(refused, Refused)
        for name in ("late", "new", "in time"):
            queue.offer(lookup(name), 0.0)
        self.assertEqual(["in time", "new", "late"], self.order(queue))

    def test_a_caller_becomes_late_while_it_waits(self) -> None:
        queue = AdmissionQueue()
        queue.offer(lookup("x", -0.7 * TARGET_S), -0.5 * TARGET_S)
        queue.offer(lookup("x"), 0.0)
        queue.offer(lookup("new", 0.001), 0.001)
        ready = queue.next_ready(0.06 * TARGET_S)
        assert ready is not None
        self.assertEqual("new", ready.request_id)

    def test_the_time_of_a_caller_counts_from_its_first_request(self) -> None:
        """Guards against a second refusal that makes a late caller appear new."""
        queue = AdmissionQueue()
        for arrived_at in (-1.0, -0.5):
            refused = queue.offer(lookup("x", arrived_at), arrived_at + WAIT_S)
            self.assertIsInstance(refused, Refused)
        queue.offer(lookup("x"), 0.0)
        queue.offer(lookup("new", 0.001), 0.001)
        self.assertEqual(["new", "x"], self.order(queue))

    def test_the_number_of_identities_is_bounded(self) -> None:
        """Guards against memory that grows with the number of refused callers."""
        queue = AdmissionQueue()
        for number in range(MAX_REFUSED_IDENTITIES + 10):
            queue.offer(lookup(f"r{number}", -1.0), 0.0)
        self.assertEqual(MAX_REFUSED_IDENTITIES, len(queue._refused))


class TurnTest(testtools.TestCase):
    """When the head of the queue tries the samplers."""

    def test_only_the_head_tries_and_not_before_the_interval_has_passed(self) -> None:
        queue = AdmissionQueue()
        queue.offer(lookup("a"), 0.0)
        queue.offer(lookup("b"), 0.0)
        self.assertIsNone(queue.next_ready(0.9 * MIN_TRY_INTERVAL_S))
        self.assertEqual(MIN_TRY_INTERVAL_S, queue.next_event_at())
        ready = queue.next_ready(MIN_TRY_INTERVAL_S)
        assert ready is not None
        self.assertEqual("a", ready.request_id)
        self.assertIsNone(queue.next_ready(MIN_TRY_INTERVAL_S))

    def test_a_freed_slot_lets_one_lookup_try_at_once(self) -> None:
        queue = AdmissionQueue()
        queue.offer(lookup("a"), 0.0)
        queue.offer(lookup("b"), 0.0)
        queue.place_freed(0.001)
        self.assertIsNotNone(queue.next_ready(0.001))
        self.assertIsNone(queue.next_ready(0.001))

    def test_slots_that_become_free_while_nobody_waits_give_no_turns_later(self) -> None:
        queue = AdmissionQueue()
        for _ in range(20):
            queue.place_freed(0.0)
        queue.offer(lookup("a", 0.1), 0.1)
        self.assertIsNone(queue.next_ready(0.1))

    def test_the_interval_follows_from_the_rate(self) -> None:
        """Guards against tries each 5 ms where a slot becomes free each 20 ms."""
        queue = backlogged_queue(50.0)
        queue.offer(lookup("a", 1.0), 1.0)
        self.assertIsNone(queue.next_ready(1.015))
        self.assertIsNotNone(queue.next_ready(1.0202))

    def test_a_lookup_is_not_handed_out_after_its_wait(self) -> None:
        queue = AdmissionQueue()
        queue.offer(lookup("a"), 0.0)
        self.assertIsNone(queue.next_ready(WAIT_S))

    def test_a_withdrawn_lookup_is_gone_and_leaves_its_turn(self) -> None:
        queue = AdmissionQueue()
        queue.offer(lookup("a"), 0.0)
        queue.offer(lookup("b"), 0.0)
        queue.withdraw("a", 0.001)
        self.assertEqual(1, len(queue))
        queue.place_freed(0.001)
        ready = queue.next_ready(0.001)
        assert ready is not None
        self.assertEqual("b", ready.request_id)


class ExpiryTest(testtools.TestCase):
    """How waits end."""

    def test_a_wait_ends_after_an_eighth_of_the_target(self) -> None:
        queue = AdmissionQueue()
        queue.offer(lookup("a"), 0.0)
        self.assertEqual([], queue.expire(WAIT_S - 1e-6))
        ((ended, refused),) = queue.expire(WAIT_S)
        self.assertEqual(("a", RefusalReason.WAITED), (ended.request_id, refused.reason))
        self.assertEqual(0, len(queue))

    def test_a_deadline_ends_the_wait(self) -> None:
        queue = AdmissionQueue()
        queue.offer(lookup("a", deadline_s=0.004), 0.0)
        self.assertEqual(0.004, queue.next_event_at())
        ((_, refused),) = queue.expire(0.004)
        self.assertIs(RefusalReason.DEADLINE, refused.reason)


class RateTest(testtools.TestCase):
    """The rate at which slots become free."""

    def test_without_a_slot_in_the_last_two_seconds_lookups_are_queued(self) -> None:
        """Guards against a rate from before a pause that refuses lookups at once."""
        queue = backlogged_queue(10.0)
        self.assertIsInstance(queue.offer(lookup("a", 1.01), 1.01), Refused)
        after = 1.0 + RATE_WINDOW_S
        self.assertEqual(Queued(0, float("inf")), queue.offer(lookup("b", after), after))

    def test_time_without_waiting_lookups_does_not_lower_the_rate(self) -> None:
        """Guards against a gateway with few lookups that takes the service for slow."""
        queue = AdmissionQueue()
        for number in range(4):
            queue.place_freed(number * 0.5)
        self.assertEqual(Queued(0, 0.0), queue.offer(lookup("a", 1.6), 1.6))

    def test_the_suspension_of_the_process_is_no_backlog(self) -> None:
        queue = backlogged_queue(400.0)
        queue.offer(lookup("a", 1.0), 1.0)
        # The process is suspended for 1.5 s here.
        self.assertEqual(1, len(queue.expire(2.5)))
        decision = queue.offer(lookup("b", 2.5), 2.5)
        assert isinstance(decision, Queued)
        self.assertLess(decision.expected_wait_s, WAIT_S)


class RetryAfterTest(testtools.TestCase):
    """When refused callers are told to return."""

    def refused_after(self, queue: AdmissionQueue, count: int, now: float) -> list[float]:
        """Retry-After of lookups that are refused at once, without jitter."""
        values = []
        for number in range(count):
            refused = queue.offer(lookup(f"r{number}", now - 1.0), now)
            assert isinstance(refused, Refused)
            values.append(refused.retry_after_s / with_jitter(1000.0, f"r{number}") * 1000.0)
        return values

    def test_it_grows_with_the_lookups_refused_before_within_its_bounds(self) -> None:
        values = self.refused_after(backlogged_queue(100.0), 400, 1.0)
        self.assertAlmostEqual(TARGET_S / 4, values[0], places=2)
        self.assertAlmostEqual(0.5, values[49], delta=0.02)
        self.assertAlmostEqual(RETRY_AFTER_MAX_S, values[-1], places=2)

    def test_a_caller_that_can_meet_its_target_returns_early_enough(self) -> None:
        """Guards against a Retry-After beyond the target where a slot is expected before."""
        queue = backlogged_queue(200.0)
        values = []
        for number in range(100):
            decision = queue.offer(lookup(f"a{number}", 1.0), 1.0)
            if isinstance(decision, Refused):
                values.append(decision.retry_after_s)
        # A caller that returns waits an eighth again, so that a quarter is left for the work.
        early = [value for value in values if value <= TARGET_S * 0.625]
        self.assertGreaterEqual(min(early), TARGET_S / 4)
        # As many as get slots until then; the others return when the backlog has drained.
        self.assertAlmostEqual(200.0 * TARGET_S * 0.625, len(early) + 4, delta=2)
        self.assertEqual(early, values[: len(early)])
        self.assertGreater(max(values), 0.4)

    def test_refusals_whose_time_has_passed_no_longer_count(self) -> None:
        queue = backlogged_queue(100.0)
        self.refused_after(queue, 20, 1.0)
        self.assertAlmostEqual(TARGET_S / 4, self.refused_after(queue, 1, 1.5)[0], places=2)

    def test_the_jitter_is_up_to_half_of_the_value_and_follows_from_the_request_id(self) -> None:
        values = [with_jitter(0.1, f"r{number}") for number in range(200)]
        self.assertEqual(values, [with_jitter(0.1, f"r{number}") for number in range(200)])
        self.assertTrue(all(0.1 <= value <= 0.15 for value in values))
        self.assertGreater(max(values) - min(values), 0.045)


class RetryBudgetTest(testtools.TestCase):
    """Repeats and hedges."""

    def allowed(self, budget: RetryBudget, now: float) -> int:
        """Uses up the budget."""
        count = 0
        while budget.allows_repeat(now):
            budget.record_repeat(now)
            count += 1
        return count

    def test_ten_repeats_are_free(self) -> None:
        self.assertEqual(FREE_REPEATS, self.allowed(RetryBudget(), 0.0))

    def test_a_fifth_of_the_first_sends_may_be_repeated(self) -> None:
        budget = RetryBudget()
        for _ in range(100):
            budget.record_first_send(0.0)
        self.assertEqual(20, self.allowed(budget, 1.0))

    def test_the_budget_is_that_of_the_last_five_seconds(self) -> None:
        budget = RetryBudget()
        for _ in range(100):
            budget.record_first_send(0.0)
        self.allowed(budget, 0.0)
        self.assertFalse(budget.allows_repeat(WINDOW_S - 0.1))
        self.assertEqual(FREE_REPEATS, self.allowed(budget, WINDOW_S))
