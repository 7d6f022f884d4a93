"""What one arrival of a request may still do, and what a node reports. With a ledger by hand."""

from __future__ import annotations

import asyncio
from unittest import mock

import testtools
from prometheus_client import CollectorRegistry

from stileloom.api.sampler_directory import SamplerEntry
from stileloom.errors import ErrorKind, StileloomError
from stileloom.events import LogEvent
from stileloom.logging import EventLog, configure_logs
from stileloom.quarantine import guard as guard_module
from stileloom.quarantine.end_probe import ListenerSign
from stileloom.quarantine.guard import BEGAN_LATELY_S, QuarantineGuard
from stileloom.quarantine.messages import QuarantineListing, SamplerEnd, SuspectSummary
from stileloom.quarantine.metrics import QuarantineMetrics
from tests.ports import free_port

HOST = "127.0.0.1"
NAME = "identity"


class ByHand:
    """A ledger that notes what it is told; out of reach while `away`."""

    def __init__(self) -> None:
        self.away = False
        self.trials = 0
        self.ends: list[SamplerEnd] = []
        self.answered: list[str] = []

    async def report(self, ends: list[SamplerEnd], answered: list[str]) -> int:
        """Notes a report."""
        self._reach()
        self.ends += ends
        self.answered += answered
        return 1

    async def watch(self, known_revision: int, wait_s: float) -> QuarantineListing | None:
        """Never has news."""
        await asyncio.sleep(wait_s)
        return None

    async def start_trial(self, identity: str) -> bool:
        """Grants the first one."""
        self._reach()
        self.trials += 1
        return self.trials == 1

    def _reach(self) -> None:
        if self.away:
            raise StileloomError(ErrorKind.LEDGER_UNAVAILABLE, "away")


def ended_sampler(name: str) -> SamplerEntry:
    """A sampler at whose address nobody listens."""
    return SamplerEntry(name, "s", (HOST, free_port()), "a", 4, False, {}, born_ms=7)


class GuardTest(testtools.TestCase):
    """One guard, and arrivals of one request."""

    def setUp(self) -> None:
        super().setUp()
        configure_logs("error")
        self.ledger = ByHand()
        metrics = QuarantineMetrics(CollectorRegistry())
        self.guard = QuarantineGuard(self.ledger, EventLog("node"), metrics)

    def listed(self, ends: int, held: bool, trial_in_s: float = 60.0) -> None:
        """The fleet's list says so of the request."""
        summary = SuspectSummary(NAME, [f"s{number}" for number in range(ends)], held, trial_in_s)
        self.guard.learn(QuarantineListing(1, [summary]))

    async def admitted(self) -> int | None:
        """Attempts that an arrival has, or None where it is refused."""
        try:
            permit = await self.guard.admit("r", lambda: NAME)
        except StileloomError as error:
            self.assertEqual(ErrorKind.QUARANTINED, error.kind)
            return None
        return permit.attempts_left

    def test_attempts_shrink_with_known_ends(self) -> None:
        for ends, expected in ((0, 3), (2, 1)):
            self.listed(ends, held=False)
            self.assertEqual(expected, asyncio.run(self.admitted()))
        self.listed(3, held=True)
        self.assertIsNone(asyncio.run(self.admitted()))

    def test_a_request_whose_ends_others_share_still_has_one_attempt(self) -> None:
        """It is not held, so it must run: it had no attempt left and was answered 502 unasked."""
        self.listed(3, held=False)
        self.assertEqual(1, asyncio.run(self.admitted()))

    def test_an_end_is_reported_and_uses_up_an_attempt(self) -> None:
        async def scenario() -> None:
            permit = await self.guard.admit("r", lambda: NAME)
            now = asyncio.get_running_loop().time()
            await permit.broke_off(ended_sampler("a"), now)
            self.assertEqual(2, permit.attempts_left)
            self.assertTrue(permit.suspected)
            while not self.ledger.ends:
                await asyncio.sleep(0.01)
            self.assertEqual([SamplerEnd(NAME, "a/7")], self.ledger.ends)

        asyncio.run(scenario())

    def test_a_fault_of_ours_while_an_end_is_judged_is_told(self) -> None:
        async def fault(*arguments: object) -> ListenerSign:
            raise KeyError("fault")

        async def scenario() -> None:
            told: list[LogEvent] = []

            def note(event: LogEvent, fields: dict[str, object]) -> None:
                told.append(event)

            permit = await self.guard.admit("r", lambda: NAME)
            now = asyncio.get_running_loop().time()
            with (
                mock.patch.object(guard_module, "probe_listener", fault),
                mock.patch.object(
                    self.guard._log, "emit", lambda event, fields: told.append(event)
                ),
            ):
                await permit.broke_off(ended_sampler("a"), now)
                await asyncio.sleep(0)
            self.assertEqual([LogEvent.INTERNAL_FAULT], told)
            self.assertEqual(3, permit.attempts_left)

        asyncio.run(scenario())

    def test_an_end_long_after_the_begin_is_not_the_requests(self) -> None:
        async def scenario() -> None:
            permit = await self.guard.admit("r", lambda: NAME)
            now = asyncio.get_running_loop().time()
            await permit.broke_off(ended_sampler("a"), now - BEGAN_LATELY_S - 1.0)
            self.assertEqual(3, permit.attempts_left)

        asyncio.run(scenario())

    def test_ends_are_kept_until_the_ledger_is_back(self) -> None:
        async def scenario() -> None:
            self.ledger.away = True
            for number in range(3):
                permit = await self.guard.admit(f"r{number}", lambda: NAME)
                now = asyncio.get_running_loop().time()
                await permit.broke_off(ended_sampler(f"s{number}"), now)
            self.assertIsNone(await self.admitted())
            self.ledger.away = False
            while len(self.ledger.ends) < 3:
                await asyncio.sleep(0.01)

        asyncio.run(scenario())

    def test_one_trial_where_the_ledger_grants_it(self) -> None:
        self.listed(3, held=True, trial_in_s=0.0)
        self.assertEqual(1, asyncio.run(self.admitted()))
        self.assertIsNone(asyncio.run(self.admitted()))
        self.ledger.away = True
        self.assertIsNone(asyncio.run(self.admitted()))

    def test_a_good_answer_of_a_suspect_is_reported(self) -> None:
        async def scenario() -> None:
            self.listed(2, held=False)
            permit = await self.guard.admit("r", lambda: NAME)
            permit.answered()
            while not self.ledger.answered:
                await asyncio.sleep(0.01)
            self.assertEqual([NAME], self.ledger.answered)

        asyncio.run(scenario())

    def test_a_good_answer_of_any_other_request_costs_no_message(self) -> None:
        async def scenario() -> None:
            permit = await self.guard.admit("r", lambda: NAME)
            permit.answered()
            await asyncio.sleep(0)
            self.assertFalse(self.guard._reporting)

        asyncio.run(scenario())
