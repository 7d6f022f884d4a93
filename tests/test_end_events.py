"""Log events that tell where the end of a job is held up."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Iterator
from contextlib import contextmanager
from unittest import mock

import testtools

from stileloom.background import LATE_TICK_S, Ticker
from stileloom.events import LogEvent
from stileloom.logging import EventLog
from tests.service_cluster import TIMEOUT_S, ServiceCluster, with_cluster

Lines = list[tuple[LogEvent, dict[str, object]]]


@contextmanager
def recorded_lines() -> Iterator[Lines]:
    """Collects the log events of all programs of a test."""
    lines: Lines = []

    def record(_: EventLog, event: LogEvent, fields: dict[str, object]) -> None:
        lines.append((event, fields))

    with mock.patch.object(EventLog, "emit", record):
        yield lines


def fields_of(lines: Lines, event: LogEvent) -> list[dict[str, object]]:
    """Returns the fields of all lines of an event."""
    return [fields for line_event, fields in lines if line_event is event]


class EndEventsTest(testtools.TestCase):
    """Events of a job's end at the gateway and at the leader."""

    def test_an_end_is_logged_with_its_outcome(self) -> None:
        async def scenario(cluster: ServiceCluster) -> None:
            await cluster.submit("j1", ["a"])
            with recorded_lines() as lines:
                await cluster.call("DELETE", "/v1/jobs/j1")
                await cluster.call("DELETE", "/v1/jobs/none")
            received = fields_of(lines, LogEvent.JOB_END_RECEIVED)
            self.assertEqual(["j1", "none"], [fields["job"] for fields in received])
            answered = fields_of(lines, LogEvent.JOB_END_ANSWERED)
            self.assertEqual(["ended", "unknown_job"], [fields["outcome"] for fields in answered])

        with_cluster(scenario)

    def test_a_command_without_a_majority_is_logged_as_stalled(self) -> None:
        async def scenario(cluster: ServiceCluster) -> None:
            await cluster.submit("j1", ["a"])
            leader = cluster.leader()
            assert leader is not None
            followers = [name for name in cluster.ledger_nodes if name != leader]
            with recorded_lines() as lines:
                for name in followers:
                    await cluster.kill(name)
                end = asyncio.create_task(cluster.call("DELETE", "/v1/jobs/j1"))
                await cluster.wait_until(lambda: bool(fields_of(lines, LogEvent.COMMIT_STALLED)))
                for name in followers:
                    cluster.restart(name)
                await cluster.wait_until(lambda: bool(fields_of(lines, LogEvent.COMMIT_RESUMED)))
                await end

        with_cluster(scenario)

    def test_a_blocked_event_loop_is_reported(self) -> None:
        delays: list[float] = []

        async def run() -> None:
            ticker = Ticker(lambda: None, 0.01, delays.append)
            ticker.start()
            await asyncio.sleep(0)
            time.sleep(LATE_TICK_S + 0.05)
            async with asyncio.timeout(TIMEOUT_S):
                while not delays:
                    await asyncio.sleep(0.01)
            ticker.stop()

        asyncio.run(run())
        self.assertGreaterEqual(delays[0], LATE_TICK_S)
