"""Periodic timer and background tasks."""

from __future__ import annotations

import asyncio
import time
from unittest import mock

import testtools

from stileloom.background import BackgroundTasks, Ticker
from stileloom.logging import EventLog, configure_logs

STEP_S = 300.0
TICKS_AFTER_STEP = 5
TIMEOUT_S = 20.0


class TickerTest(testtools.TestCase):
    """Ticks are independent of the wall clock."""

    def test_a_wall_clock_step_does_not_stop_the_ticker(self) -> None:
        """Heartbeats must continue after the wall clock steps forward and back."""
        wall_clock = time.time

        async def run() -> None:
            enough = asyncio.Event()
            ticks = 0
            offset_s = STEP_S

            def tick() -> None:
                nonlocal ticks, offset_s
                ticks += 1
                if ticks == 2:
                    offset_s = 0.0
                if ticks == 2 + TICKS_AFTER_STEP:
                    enough.set()

            with mock.patch("time.time", lambda: wall_clock() + offset_s):
                ticker = Ticker(tick, 0.01)
                ticker.start()
                async with asyncio.timeout(TIMEOUT_S):
                    await enough.wait()
                ticker.stop()

        asyncio.run(run())


class BackgroundTasksTest(testtools.TestCase):
    """Exceptions of tasks are logged."""

    def test_an_exception_is_logged(self) -> None:
        configure_logs("critical")
        log = EventLog("n")
        events: list[str] = []

        async def fail() -> None:
            raise ValueError("x")

        async def run() -> None:
            tasks = BackgroundTasks(log)
            tasks.spawn(fail())
            await asyncio.sleep(0)
            await asyncio.sleep(0)

        with mock.patch.object(log, "emit", lambda event, fields: events.append(event.name)):
            asyncio.run(run())
        self.assertEqual(["INTERNAL_FAULT"], events)
