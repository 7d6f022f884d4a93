"""Usage: counted once, closed once, reported with one content, by one holder at a time."""

from __future__ import annotations

import asyncio
import contextlib
import random
from typing import Any

import msgspec
import testtools
from prometheus_client import CollectorRegistry
from tornado.httpserver import HTTPServer
from tornado.httputil import HTTPHeaders, HTTPServerRequest, ResponseStartLine
from tornado.netutil import bind_sockets

from stileloom.api.duties import DutyHolder
from stileloom.clock import steady_time
from stileloom.duties.caller import DutyCaller
from stileloom.duties.lost_fences import LostFences
from stileloom.duties.metrics import DutyMetrics
from stileloom.duties.usage import UsageDuty
from stileloom.errors import ErrorKind, StileloomError
from stileloom.http.native_dialect import FENCE_HEADER, NativeDialect
from stileloom.jobs.order_window import OrderWindow
from stileloom.ledger.commands import (
    CloseUsageWindow,
    Command,
    CommandResult,
    MarkUsageSent,
    RecordFinalUsage,
    Refused,
)
from stileloom.ledger.state import LedgerState
from stileloom.logging import EventLog
from stileloom.metering.authority import UsageAuthority
from stileloom.metering.collector import FIRST_CLOSE_DELAY_S
from stileloom.metering.tally import UsageTally
from stileloom.metering.window_clock import WindowClock

WINDOW_S = 5.0
DUE_S = 10.0


class WindowClockTest(testtools.TestCase):
    """True time from a time of day that jumps."""

    def test_a_jump_of_the_time_of_day_does_not_move_requests_to_another_window(self) -> None:
        clock = WindowClock(WINDOW_S)
        for second in range(40):
            jump = 2.0 if 20 <= second < 28 else 0.0
            clock.observe(float(second), 1000.0 + second + jump)
            self.assertEqual(1000.0 + second, clock.true_time(float(second)))

    def test_a_lasting_correction_is_followed(self) -> None:
        clock = WindowClock(WINDOW_S)
        for second in range(120):
            clock.observe(float(second), 1000.0 + second + (2.0 if second >= 20 else 0.0))
        self.assertEqual(1119.0 + 2.0, clock.true_time(119.0))


class TallyTest(testtools.TestCase):
    """Counts of a gateway."""

    def test_totals_stay_until_their_window_is_closed(self) -> None:
        tally = UsageTally()
        tally.count("harbour", 7)
        tally.count("harbour", 8)
        self.assertEqual({7: {"harbour": 1}, 8: {"harbour": 1}}, tally.totals())
        tally.close_before(8)
        self.assertEqual({8: {"harbour": 1}}, tally.totals())

    def test_a_request_of_a_closed_window_is_not_counted_in_a_later_one(self) -> None:
        tally = UsageTally()
        tally.close_before(8)
        self.assertFalse(tally.count("harbour", 7))
        self.assertEqual({}, tally.totals())
        self.assertEqual(1, tally.dropped)


class UsageCluster:
    """A replicated state, and the authorities of its successive leaders in virtual time."""

    def __init__(self) -> None:
        self.state = LedgerState()
        self.clock = WindowClock(WINDOW_S)
        self.clock.observe(0.0, 1000.0)

    def lead(self, now: float) -> UsageAuthority:
        return UsageAuthority(lambda: self.state.usage, self.clock, WINDOW_S, DUE_S, now)

    def close_all(self, authority: UsageAuthority, now: float) -> list[CloseUsageWindow]:
        closed = []
        while (command := authority.next_close(now)) is not None:
            self.state.apply(command)
            closed.append(command)
        return closed


class ClosingTest(testtools.TestCase):
    """When a window is closed, and with which counts."""

    def test_a_window_is_closed_in_time_with_the_totals_of_all_gateways(self) -> None:
        cluster = UsageCluster()
        authority = cluster.lead(0.0)
        authority.collector.add("a", {200: {"harbour": 1}})
        authority.collector.add("a", {200: {"harbour": 3}})
        authority.collector.add("b", {200: {"harbour": 2, "survey": 1}})
        self.assertEqual([], cluster.close_all(authority, WINDOW_S))
        (closed,) = cluster.close_all(authority, WINDOW_S + DUE_S / 2)
        self.assertEqual(CloseUsageWindow(200, {"harbour": 5, "survey": 1}), closed)

    def test_reports_that_overtake_each_other_count_once(self) -> None:
        cluster = UsageCluster()
        authority = cluster.lead(0.0)
        authority.collector.add("a", {200: {"harbour": 3}})
        authority.collector.add("a", {200: {"harbour": 1}})
        authority.collector.add("a", {200: {"harbour": 3}})
        self.assertEqual({"harbour": 3}, authority.collector.counts(200, {}))

    def test_totals_of_a_gateway_that_ended_outlive_the_leader_that_took_them(self) -> None:
        cluster = UsageCluster()
        cluster.state.apply(RecordFinalUsage("a", {200: {"harbour": 3}}))
        successor = cluster.lead(8.0)
        successor.collector.add("b", {200: {"harbour": 1}})
        (closed,) = cluster.close_all(successor, 8.0 + FIRST_CLOSE_DELAY_S)
        self.assertEqual({"harbour": 4}, closed.counts)
        self.assertEqual({}, cluster.state.usage.final_totals)

    def test_a_new_leader_waits_for_the_totals_before_it_closes(self) -> None:
        cluster = UsageCluster()
        authority = cluster.lead(9.0)
        authority.collector.add("a", {200: {"harbour": 3}})
        self.assertIsNone(authority.next_close(10.0))

    def test_windows_that_nobody_closed_are_closed_oldest_first_also_empty_ones(self) -> None:
        cluster = UsageCluster()
        authority = cluster.lead(0.0)
        authority.collector.add("a", {200: {"harbour": 1}, 203: {"harbour": 2}})
        closed = cluster.close_all(authority, 4 * WINDOW_S + DUE_S / 2)
        self.assertEqual([200, 201, 202, 203], [command.window for command in closed])
        self.assertEqual([{"harbour": 1}, {}, {}, {"harbour": 2}], [c.counts for c in closed])

    def test_nothing_is_reported_before_the_first_request(self) -> None:
        cluster = UsageCluster()
        self.assertEqual([], cluster.close_all(cluster.lead(0.0), 1000.0))


class UsageStateMachine(testtools.TestCase):
    """The replicated record under racing leaders."""

    def test_a_window_that_two_leaders_close_keeps_its_first_content(self) -> None:
        state = LedgerState()
        state.apply(CloseUsageWindow(200, {"harbour": 1}))
        result = state.apply(CloseUsageWindow(200, {"harbour": 2}))
        self.assertIsInstance(result, Refused)
        self.assertEqual({200: {"harbour": 1}}, state.usage.unsent)

    def test_random_leaders_never_report_two_contents_of_a_window(self) -> None:
        for seed in range(200):
            rng = random.Random(seed)
            cluster = UsageCluster()
            sent: dict[int, dict[str, int]] = {}
            totals: dict[str, dict[int, dict[str, int]]] = {"a": {}, "b": {}}
            leaders = [cluster.lead(0.0)]
            delayed: list[Command] = []
            for step in range(200):
                now = step * 0.5
                if rng.random() < 0.3:
                    source = rng.choice("ab")
                    window = 200 + int(now // WINDOW_S)
                    counts = totals[source].setdefault(window, {})
                    counts["t"] = counts.get("t", 0) + 1
                if rng.random() < 0.1:
                    leaders.append(cluster.lead(now))
                leader = rng.choice(leaders[-2:])
                source = rng.choice("ab")
                leader.collector.add(source, totals[source])
                command = leader.next_close(now)
                if command is not None:
                    delayed.append(command)
                while delayed and rng.random() < 0.5:
                    cluster.state.apply(delayed.pop(rng.randrange(len(delayed))))
                unsent = cluster.state.usage.unsent
                if unsent and rng.random() < 0.5:
                    window = min(unsent)
                    self.assertEqual(sent.setdefault(window, unsent[window]), unsent[window])
                    if rng.random() < 0.5:
                        cluster.state.apply(MarkUsageSent(window))
            self.assertNotEqual({}, sent)


class AccountingService:
    """Stand-in of the operator's service: refuses, loses answers and carries calls out late."""

    def __init__(self) -> None:
        self.accepted: dict[int, dict[str, int]] = {}
        self.contradictions = 0
        self.fences: list[int] = []
        self.lose_answers = 0
        self.refuse = 0
        self._server = HTTPServer(self._handle)

    def start(self) -> tuple[str, int]:
        sockets = bind_sockets(0, address="127.0.0.1")
        self._server.add_sockets(sockets)
        host, port = sockets[0].getsockname()
        return str(host), int(port)

    async def stop(self) -> None:
        self._server.stop()
        await self._server.close_all_connections()

    def _handle(self, request: HTTPServerRequest) -> None:
        fence = int(request.headers[FENCE_HEADER])
        if self.refuse:
            self.refuse -= 1
            self._answer(request, 429)
        elif self.fences and fence < max(self.fences):
            self._answer(request, 409)
        else:
            self.fences.append(fence)
            body = msgspec.json.decode(request.body)
            known = self.accepted.setdefault(body["window"], body["counts"])
            self.contradictions += known != body["counts"]
            if self.lose_answers:
                self.lose_answers -= 1
                assert request.connection is not None
                request.connection.stream.close()  # type: ignore[attr-defined]
                return
            self._answer(request, 200)

    def _answer(self, request: HTTPServerRequest, status: int) -> None:
        assert request.connection is not None
        start_line = ResponseStartLine("HTTP/1.1", status, "-")
        request.connection.write_headers(start_line, HTTPHeaders({"Content-Length": "0"}))
        request.connection.finish()


class StateLedger:
    """A ledger of one replica, which may have lost its lead."""

    def __init__(self) -> None:
        self.state = LedgerState()
        self.active = True

    def is_active_leader(self) -> bool:
        return self.active

    async def propose(self, command: Command) -> CommandResult:
        if not self.active:
            raise StileloomError(ErrorKind.LEDGER_UNAVAILABLE, "no lead")
        return self.state.apply(command)


class UsageDutyTest(testtools.TestCase):
    """The reports of one holder against the stand-in of the service."""

    def _play(
        self,
        prepare: Any,
        until: Any,
        fence: int = 4,
        earliest_in_s: float = 0.0,
        lost_fences: LostFences | None = None,
    ) -> tuple[AccountingService, StateLedger, bool]:
        lost_fences = lost_fences or LostFences()

        async def scenario() -> tuple[AccountingService, StateLedger, bool]:
            service = AccountingService()
            ledger = StateLedger()
            for window in (200, 201):
                ledger.state.apply(CloseUsageWindow(window, {"harbour": window}))
            prepare(service, ledger)
            clock = WindowClock(WINDOW_S)
            clock.observe(steady_time(), 1000.0)
            usage = ledger.state.usage
            authority = UsageAuthority(lambda: usage, clock, WINDOW_S, DUE_S, steady_time())
            caller = DutyCaller(
                service.start(),
                100.0,
                OrderWindow("node", ledger),
                steady_time() + earliest_in_s,
                EventLog("node"),
                DutyMetrics(CollectorRegistry()),
            )
            holder = DutyHolder("node", fence)
            duty = UsageDuty(
                holder,
                usage,
                authority,
                ledger,
                caller,
                lost_fences,
                NativeDialect(),
                EventLog("node"),
            )
            task = asyncio.get_running_loop().create_task(duty.run())
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(4.0):
                    while not until(service, ledger) and not task.done():
                        await asyncio.sleep(0.02)
            ended = task.done()
            task.cancel()
            await service.stop()
            return service, ledger, ended

        return asyncio.run(scenario())

    def test_refused_calls_and_lost_answers_are_repeated_with_the_same_content(self) -> None:
        def prepare(service: AccountingService, ledger: StateLedger) -> None:
            service.refuse = 1
            service.lose_answers = 1

        service, ledger, _ = self._play(prepare, lambda s, led: not led.state.usage.unsent)
        self.assertEqual({200: {"harbour": 200}, 201: {"harbour": 201}}, service.accepted)
        self.assertEqual(0, service.contradictions)
        self.assertEqual({}, ledger.state.usage.unsent)

    def test_a_holder_whose_fence_was_overtaken_stops_for_good(self) -> None:
        def prepare(service: AccountingService, ledger: StateLedger) -> None:
            service.fences.append(9)

        service, ledger, ended = self._play(prepare, lambda s, led: False)
        self.assertTrue(ended)
        self.assertEqual({}, service.accepted)
        self.assertEqual([200, 201], list(ledger.state.usage.unsent))

    def test_a_fence_that_was_overtaken_is_not_used_again_when_the_lease_is_regained(self) -> None:
        lost_fences = LostFences()
        lost_fences.add("usage", 4)
        service, _, ended = self._play(
            lambda s, led: None, lambda s, led: bool(s.accepted), lost_fences=lost_fences
        )
        self.assertTrue(ended)
        self.assertEqual({}, service.accepted)

    def test_a_node_that_lost_its_lead_calls_nobody(self) -> None:
        def prepare(service: AccountingService, ledger: StateLedger) -> None:
            ledger.active = False

        service, _, _ = self._play(prepare, lambda s, led: bool(s.accepted))
        self.assertEqual({}, service.accepted)

    def test_a_successor_waits_until_no_call_of_its_predecessor_can_count(self) -> None:
        service, _, _ = self._play(
            lambda s, led: None, lambda s, led: bool(s.accepted), earliest_in_s=60.0
        )
        self.assertEqual({}, service.accepted)
