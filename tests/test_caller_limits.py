"""Limits on callers in virtual time: which connections are refused or closed, and in which order.

Each test names the load that it stands for. The figures come from docs/design/0002-contention.md.
"""

from __future__ import annotations

import testtools

from stileloom.callers.limits import (
    CallerLimits,
    CallerState,
    Close,
    ConnectionLimits,
    Limit,
    Refuse,
)

ADDRESS = "10.0.0.1"
MEGABYTE = 1_000_000
UNLIMITED = CallerLimits()


def closed(closes: list[Close] | Refuse) -> list[tuple[int, Limit]]:
    """Returns the closed connections and the limits that they reached."""
    assert not isinstance(closes, Refuse), closes
    return [(close.connection_id, close.limit) for close in closes]


class Callers:
    """Connections of callers, opened one after another."""

    def __init__(self, limits: CallerLimits) -> None:
        self.limits = ConnectionLimits(limits)
        self.now = 0.0
        self.last_id = 0

    def open(self, address: str = ADDRESS) -> list[Close] | Refuse:
        """Opens a connection."""
        self.last_id += 1
        return self.limits.opened(self.last_id, address, self.now)

    def open_in(self, state: CallerState, held_bytes: int = 0, address: str = ADDRESS) -> int:
        """Opens a connection and puts it into a state; returns its id."""
        assert closed(self.open(address)) == []
        connection_id = self.last_id
        assert self.change(connection_id, state, held_bytes) == []
        return connection_id

    def change(
        self, connection_id: int, state: CallerState, held_bytes: int = 0
    ) -> list[tuple[int, Limit]]:
        """Reports the state of a connection; returns what is closed."""
        return closed(self.limits.state_changed(connection_id, state, held_bytes, self.now))

    def expired(self, after_s: float) -> list[tuple[int, Limit]]:
        """Advances the time and returns what is closed."""
        self.now += after_s
        return closed(self.limits.expired(self.now))


class MachineTest(testtools.TestCase):
    """Limits derived from the settings of a machine."""

    def test_shares_of_descriptors_and_memory(self) -> None:
        limits = CallerLimits.of_machine(1638, 88e6, 48e6)
        self.assertEqual(982, limits.connections)
        self.assertEqual(245, limits.address_connections)
        self.assertEqual(12 * MEGABYTE, limits.held_bytes)

    def test_one_address_may_open_64_connections_but_not_more_than_all(self) -> None:
        self.assertEqual(64, CallerLimits.of_machine(200, 0, 0).address_connections)
        few = CallerLimits.of_machine(100, 0, 0)
        self.assertEqual((60, 60), (few.connections, few.address_connections))

    def test_unknown_figures_limit_nothing(self) -> None:
        """A deployment without `[limits]` must not lose connections to guessed limits."""
        callers = Callers(CallerLimits.of_machine(0, 0, 48e6))
        for _ in range(10_000):
            callers.open_in(CallerState.RUNNING, MEGABYTE)
        self.assertEqual([], callers.expired(0.0))

    def test_a_process_that_fills_its_memory_at_the_start_still_serves_small_requests(self) -> None:
        callers = Callers(CallerLimits.of_machine(0, 88e6, 100e6))
        callers.open_in(CallerState.BODY, 100_000)


class ConnectionCountTest(testtools.TestCase):
    """Many connections."""

    LIMITS = CallerLimits(connections=100, address_connections=64)

    def test_many_connections_from_many_addresses_close_the_oldest_idle_one(self) -> None:
        callers = Callers(self.LIMITS)
        for number in range(100):
            callers.now = float(number)
            callers.open_in(CallerState.IDLE, address=f"10.0.1.{number}")
        callers.change(1, CallerState.HEADER, 10)
        callers.change(1, CallerState.RUNNING, 10)
        callers.change(1, CallerState.IDLE)
        self.assertEqual([(2, Limit.CONNECTIONS)], closed(callers.open("10.0.2.1")))
        self.assertEqual([(3, Limit.CONNECTIONS)], closed(callers.open("10.0.2.2")))

    def test_many_connections_from_one_address_leave_the_others_alone(self) -> None:
        """One caller must not drive out the idle connections of all others."""
        callers = Callers(self.LIMITS)
        other = callers.open_in(CallerState.IDLE, address="10.0.0.2")
        for _ in range(64):
            callers.open_in(CallerState.IDLE)
        for expected in range(other + 1, other + 200):
            self.assertEqual([(expected, Limit.ADDRESS_CONNECTIONS)], closed(callers.open()))

    def test_header_sections_are_closed_after_idle_connections_and_the_longest_first(self) -> None:
        callers = Callers(CallerLimits(connections=3, address_connections=3))
        late = callers.open_in(CallerState.IDLE)
        early = callers.open_in(CallerState.HEADER, 10)
        idle = callers.open_in(CallerState.IDLE)
        callers.now = 1.0
        callers.change(late, CallerState.HEADER, 10)
        order = []
        for _ in range(3):
            order += closed(callers.open())
            callers.change(callers.last_id, CallerState.RUNNING)
        self.assertEqual([idle, early, late], [connection for connection, _ in order])

    def test_new_connection_is_not_closed_before_slow_header_sections(self) -> None:
        """Else many slow callers would cost a new caller the request that is on its way."""
        callers = Callers(CallerLimits(connections=3))
        slow = [callers.open_in(CallerState.HEADER, 10) for _ in range(2)]
        callers.now = 2.0
        callers.open_in(CallerState.IDLE)
        callers.now = 2.9
        self.assertEqual([(slow[0], Limit.CONNECTIONS)], closed(callers.open()))

    def test_only_requests_and_responses_left_refuses_the_new_connection(self) -> None:
        """No request under way and no response is lost to a new connection."""
        states = (CallerState.RUNNING, CallerState.RESPONSE, CallerState.BODY)
        callers = Callers(CallerLimits(connections=len(states)))
        for state in states:
            callers.open_in(state, 100)
        refused = callers.open()
        assert isinstance(refused, Refuse)
        self.assertEqual(Limit.CONNECTIONS, refused.limit)
        self.assertTrue(1.0 <= refused.retry_after_s <= 1.5)
        callers.limits.closed(1)
        self.assertEqual([], callers.open())

    def test_refused_callers_are_told_different_times(self) -> None:
        """Callers that return at the same time would be refused together again."""
        callers = Callers(CallerLimits(connections=1, address_connections=1))
        callers.open_in(CallerState.RUNNING)
        refusals = [callers.open() for _ in range(20)]
        times = {refusal.retry_after_s for refusal in refusals if isinstance(refusal, Refuse)}
        self.assertEqual(20, len(times))

    def test_a_connection_that_was_closed_counts_no_more(self) -> None:
        """A leak in the count would refuse every caller after some hours."""
        callers = Callers(self.LIMITS)
        for _ in range(1000):
            connection = callers.open_in(CallerState.BODY, 500)
            callers.limits.closed(connection)
            callers.limits.closed(connection)
        self.assertEqual(0, callers.limits.held_bytes)
        self.assertEqual(0, sum(callers.limits.count(state) for state in CallerState))

    def test_a_shortage_of_descriptors_closes_the_oldest_idle_connection(self) -> None:
        callers = Callers(UNLIMITED)
        callers.open_in(CallerState.RUNNING)
        idle = callers.open_in(CallerState.IDLE)
        self.assertEqual(
            [(idle, Limit.DESCRIPTORS)], closed(callers.limits.descriptors_exhausted(0.0))
        )
        self.assertIsInstance(callers.limits.descriptors_exhausted(0.0), Refuse)


class SlowCallerTest(testtools.TestCase):
    """Callers that send or read slowly."""

    def test_header_section_has_3_s_however_often_a_byte_comes(self) -> None:
        callers = Callers(UNLIMITED)
        connection = callers.open_in(CallerState.HEADER, 1)
        for count in range(2, 30):
            self.assertEqual([], callers.expired(0.1))
            callers.change(connection, CallerState.HEADER, count)
        self.assertEqual([(connection, Limit.HEADER_TIME)], callers.expired(0.2))

    def test_idle_connection_is_not_a_slow_header_section(self) -> None:
        callers = Callers(UNLIMITED)
        callers.open_in(CallerState.IDLE)
        self.assertEqual([], callers.expired(100.0))

    def test_body_below_2_kb_per_s_is_closed_and_one_above_is_not(self) -> None:
        callers = Callers(UNLIMITED)
        slow = callers.open_in(CallerState.BODY, 60_000)
        fast = callers.open_in(CallerState.BODY, 60_000)
        ended = []
        for second in range(1, 61):
            callers.change(slow, CallerState.BODY, 60_000 + 1900 * second)
            callers.change(fast, CallerState.BODY, 60_000 + 2100 * second)
            ended += callers.expired(1.0)
        self.assertEqual([(slow, Limit.BODY_RATE)], ended)

    def test_rate_is_averaged_from_the_end_of_the_header_section(self) -> None:
        """A body of which 60 kB came at once may pause for as long as these cover."""
        callers = Callers(UNLIMITED)
        connection = callers.open_in(CallerState.BODY, 0)
        callers.change(connection, CallerState.BODY, 60_000)
        self.assertEqual([], callers.expired(29.0))
        self.assertEqual([(connection, Limit.BODY_RATE)], callers.expired(2.0))

    def test_unread_response_is_closed_after_5_s_without_progress(self) -> None:
        callers = Callers(UNLIMITED)
        connection = callers.open_in(CallerState.RESPONSE, 1000)
        self.assertEqual([], callers.expired(4.9))
        self.assertEqual([(connection, Limit.UNREAD_TIME)], callers.expired(0.1))

    def test_response_that_is_read_at_all_is_delivered_however_late(self) -> None:
        """A ready response must not be lost to a caller that reads a byte now and then."""
        callers = Callers(UNLIMITED)
        connection = callers.open_in(CallerState.RESPONSE, 1000)
        for left in range(999, 899, -1):
            self.assertEqual([], callers.expired(4.0))
            callers.change(connection, CallerState.RESPONSE, left)
        for _ in range(10):
            self.assertEqual([], callers.expired(4.0))
            callers.limits.response_read(connection, callers.now)

    def test_running_request_is_not_closed_however_long_it_runs(self) -> None:
        callers = Callers(UNLIMITED)
        callers.open_in(CallerState.RUNNING, 1000)
        self.assertEqual([], callers.expired(10_000.0))


class HeldBytesTest(testtools.TestCase):
    """Bytes held for callers, which are never above the limit but for running requests."""

    LIMITS = CallerLimits(held_bytes=10 * MEGABYTE)

    def test_largest_unread_response_is_closed_first(self) -> None:
        callers = Callers(self.LIMITS)
        sizes = (3, 5, 1)
        ids = [callers.open_in(CallerState.RESPONSE, size * MEGABYTE) for size in sizes]
        body = callers.open_in(CallerState.BODY)
        callers.now = 2.0
        over = callers.change(body, CallerState.BODY, 2 * MEGABYTE)
        self.assertEqual([(ids[1], Limit.HELD_BYTES)], over)
        self.assertEqual(6 * MEGABYTE, callers.limits.held_bytes)

    def test_bodies_are_closed_before_responses_that_are_read(self) -> None:
        """A response that is read is delivered; a body that is refused has not run."""
        callers = Callers(self.LIMITS)
        response = callers.open_in(CallerState.RESPONSE, 8 * MEGABYTE)
        body = callers.open_in(CallerState.BODY)
        self.assertEqual(
            [(body, Limit.HELD_BYTES)], callers.change(body, CallerState.BODY, 3 * MEGABYTE)
        )
        self.assertEqual([], callers.change(response, CallerState.RESPONSE, 7 * MEGABYTE))

    def test_refusal_of_a_body_is_sent_and_none_after_a_response_began(self) -> None:
        """Bytes of a refusal inside of a response would be taken for its content."""
        limits = ConnectionLimits(CallerLimits(held_bytes=1000))
        for connection, state in ((1, CallerState.BODY), (2, CallerState.RESPONSE)):
            limits.opened(connection, ADDRESS, 0.0)
            (close,) = limits.state_changed(connection, state, 2000, 0.0)
            self.assertEqual(state is CallerState.BODY, close.retry_after_s is not None)

    def test_running_requests_are_kept_over_the_limit_and_further_bodies_are_closed(self) -> None:
        callers = Callers(self.LIMITS)
        running = callers.open_in(CallerState.BODY)
        callers.change(running, CallerState.BODY, 9 * MEGABYTE)
        callers.change(running, CallerState.RUNNING, 9 * MEGABYTE)
        body = callers.open_in(CallerState.BODY)
        self.assertEqual(
            [(body, Limit.HELD_BYTES)], callers.change(body, CallerState.BODY, 2 * MEGABYTE)
        )
        self.assertEqual(1, callers.limits.count(CallerState.RUNNING))

    def test_complete_requests_run_only_while_there_is_room_for_their_copies(self) -> None:
        """Each running request holds copies of its body; bodies within the limit could kill."""
        callers = Callers(self.LIMITS)
        outcomes = []
        for _ in range(4):
            body = callers.open_in(CallerState.BODY)
            callers.change(body, CallerState.BODY, MEGABYTE)
            outcomes.append(callers.change(body, CallerState.RUNNING, MEGABYTE))
        self.assertEqual([[], [], [], [(4, Limit.HELD_BYTES)]], outcomes)
        small = callers.open_in(CallerState.BODY)
        self.assertEqual([], callers.change(small, CallerState.RUNNING, 1000))
        callers.change(1, CallerState.RESPONSE, 100)
        body = callers.open_in(CallerState.BODY, MEGABYTE)
        self.assertEqual([], callers.change(body, CallerState.RUNNING, MEGABYTE))

    def test_many_connections_leave_less_room_but_not_none(self) -> None:
        """Connections take memory themselves: 900 of them took 10.6 MB."""
        callers = Callers(self.LIMITS)
        for _ in range(900):
            callers.open_in(CallerState.IDLE)
        body = callers.open_in(CallerState.BODY, 3 * MEGABYTE)
        self.assertEqual(
            [(body, Limit.HELD_BYTES)], callers.change(body, CallerState.BODY, 5 * MEGABYTE)
        )

    def test_many_large_header_sections_stay_below_the_limit(self) -> None:
        callers = Callers(self.LIMITS)
        for _ in range(500):
            connection = callers.open_in(CallerState.HEADER, 1)
            callers.change(connection, CallerState.HEADER, 64_000)
            self.assertTrue(callers.limits.held_bytes <= 10 * MEGABYTE)
