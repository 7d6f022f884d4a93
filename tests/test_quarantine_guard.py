"""Attempts that the quarantine guard allows, and its reports to the ledger."""

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
from stileloom.quarantine.end_probe import ProbeResult
from stileloom.quarantine.guard import CRASH_ATTRIBUTION_WINDOW_S, QuarantineGuard
from stileloom.quarantine.messages import QuarantineListing, SamplerCrash, SuspectSummary
from stileloom.quarantine.metrics import QuarantineMetrics
from tests.ports import free_port

HOST = "127.0.0.1"
IDENTITY = "identity"


class FakeLedger:
    """Records reports; raises LEDGER_UNAVAILABLE while `unavailable`."""

    def __init__(self) -> None:
        self.unavailable = False
        self.trials = 0
        self.crashes: list[SamplerCrash] = []
        self.successes: list[str] = []

    async def report(self, crashes: list[SamplerCrash], succeeded: list[str]) -> int:
        """Records a report."""
        self._check_available()
        self.crashes += crashes
        self.successes += succeeded
        return 1

    async def watch(self, known_revision: int, wait_s: float) -> QuarantineListing | None:
        """Never returns a listing."""
        await asyncio.sleep(wait_s)
        return None

    async def start_trial(self, identity: str) -> bool:
        """Grants the first trial only."""
        self._check_available()
        self.trials += 1
        return self.trials == 1

    def _check_available(self) -> None:
        if self.unavailable:
            raise StileloomError(ErrorKind.LEDGER_UNAVAILABLE, "unavailable")


def crashed_sampler(name: str) -> SamplerEntry:
    """A sampler with no process listening on its port."""
    return SamplerEntry(name, "s", (HOST, free_port()), "a", 4, False, {}, born_ms=7)


class GuardTest(testtools.TestCase):
    """Admissions of one request by one guard."""

    def setUp(self) -> None:
        super().setUp()
        configure_logs("error")
        self.ledger = FakeLedger()
        metrics = QuarantineMetrics(CollectorRegistry())
        self.guard = QuarantineGuard(self.ledger, EventLog("node"), metrics)

    def apply_listing(self, crashes: int, quarantined: bool, trial_in_s: float = 60.0) -> None:
        """Applies a listing with this state of the request."""
        summary = SuspectSummary(
            IDENTITY, [f"s{number}" for number in range(crashes)], quarantined, trial_in_s
        )
        self.guard.apply_listing(QuarantineListing(1, [summary]))

    async def admitted_attempts(self) -> int | None:
        """Attempts that a new arrival of the request is allowed, or None if it is refused."""
        try:
            permit = await self.guard.admit("r", lambda: IDENTITY)
        except StileloomError as error:
            self.assertEqual(ErrorKind.QUARANTINED, error.kind)
            return None
        return permit.attempts_left

    def test_attempts_decrease_with_known_crashes(self) -> None:
        for crashes, expected in ((0, 3), (2, 1)):
            self.apply_listing(crashes, quarantined=False)
            self.assertEqual(expected, asyncio.run(self.admitted_attempts()))
        self.apply_listing(3, quarantined=True)
        self.assertIsNone(asyncio.run(self.admitted_attempts()))

    def test_a_request_whose_crashes_others_share_still_has_one_attempt(self) -> None:
        """Guards against a 502 for a request that is not quarantined but has no attempt left."""
        self.apply_listing(3, quarantined=False)
        self.assertEqual(1, asyncio.run(self.admitted_attempts()))

    def test_a_crash_is_reported_and_uses_up_an_attempt(self) -> None:
        async def scenario() -> None:
            permit = await self.guard.admit("r", lambda: IDENTITY)
            now = asyncio.get_running_loop().time()
            await permit.on_attempt_failed(crashed_sampler("a"), now)
            self.assertEqual(2, permit.attempts_left)
            self.assertTrue(permit.suspected)
            while not self.ledger.crashes:
                await asyncio.sleep(0.01)
            self.assertEqual([SamplerCrash(IDENTITY, "a/7")], self.ledger.crashes)

        asyncio.run(scenario())

    def test_an_internal_error_in_a_probe_is_logged_and_counts_no_crash(self) -> None:
        async def failing_probe(*arguments: object) -> ProbeResult:
            raise KeyError("fault")

        async def scenario() -> None:
            logged: list[LogEvent] = []

            def note(event: LogEvent, fields: dict[str, object]) -> None:
                logged.append(event)

            permit = await self.guard.admit("r", lambda: IDENTITY)
            now = asyncio.get_running_loop().time()
            with (
                mock.patch.object(guard_module, "probe_listener", failing_probe),
                mock.patch.object(
                    self.guard._log, "emit", lambda event, fields: logged.append(event)
                ),
            ):
                await permit.on_attempt_failed(crashed_sampler("a"), now)
                await asyncio.sleep(0)
            self.assertEqual([LogEvent.INTERNAL_FAULT], logged)
            self.assertEqual(3, permit.attempts_left)

        asyncio.run(scenario())

    def test_a_crash_long_after_the_start_is_not_attributed_to_the_request(self) -> None:
        async def scenario() -> None:
            permit = await self.guard.admit("r", lambda: IDENTITY)
            now = asyncio.get_running_loop().time()
            await permit.on_attempt_failed(
                crashed_sampler("a"), now - CRASH_ATTRIBUTION_WINDOW_S - 1.0
            )
            self.assertEqual(3, permit.attempts_left)

        asyncio.run(scenario())

    def test_crashes_are_reported_once_the_ledger_is_available_again(self) -> None:
        async def scenario() -> None:
            self.ledger.unavailable = True
            for number in range(3):
                permit = await self.guard.admit(f"r{number}", lambda: IDENTITY)
                now = asyncio.get_running_loop().time()
                await permit.on_attempt_failed(crashed_sampler(f"s{number}"), now)
            self.assertIsNone(await self.admitted_attempts())
            self.ledger.unavailable = False
            while len(self.ledger.crashes) < 3:
                await asyncio.sleep(0.01)

        asyncio.run(scenario())

    def test_a_trial_runs_only_if_the_ledger_grants_it(self) -> None:
        self.apply_listing(3, quarantined=True, trial_in_s=0.0)
        self.assertEqual(1, asyncio.run(self.admitted_attempts()))
        self.assertIsNone(asyncio.run(self.admitted_attempts()))
        self.ledger.unavailable = True
        self.assertIsNone(asyncio.run(self.admitted_attempts()))

    def test_a_successful_response_of_a_suspect_is_reported(self) -> None:
        async def scenario() -> None:
            self.apply_listing(2, quarantined=False)
            permit = await self.guard.admit("r", lambda: IDENTITY)
            permit.record_success()
            while not self.ledger.successes:
                await asyncio.sleep(0.01)
            self.assertEqual([IDENTITY], self.ledger.successes)

        asyncio.run(scenario())

    def test_a_successful_response_of_any_other_request_sends_no_message(self) -> None:
        async def scenario() -> None:
            permit = await self.guard.admit("r", lambda: IDENTITY)
            permit.record_success()
            await asyncio.sleep(0)
            self.assertFalse(self.guard._reporting)

        asyncio.run(scenario())
