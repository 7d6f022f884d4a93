"""What the leader reports about items without a run."""

from __future__ import annotations

import asyncio
from unittest import mock

import testtools
from prometheus_client import CollectorRegistry

from stileloom.api.sampler_directory import SamplerEntry
from stileloom.events import LogEvent
from stileloom.jobs.item_waits import LONG_WAIT_S, ItemWaits
from stileloom.jobs.metrics import JobMetrics
from stileloom.jobs.open_items import WaitReason
from tests.runner_fixture import RunnerFixture, submission
from tests.test_item_scheduler import SchedulerFixture, entry, record


class ItemWaitsTest(testtools.TestCase):
    """Which items count as waiting, and the reasons that are given."""

    def fixture(self, *samplers: SamplerEntry) -> SchedulerFixture:
        """One item; samplers that are listed."""
        fixture = SchedulerFixture(*samplers)
        fixture.adopt(record("j", 1))
        (self.item,) = fixture.scheduler.items.values()
        self.log = mock.Mock()
        self.registry = CollectorRegistry()
        self.waits = ItemWaits(fixture.scheduler, self.log, JobMetrics(self.registry))
        return fixture

    def reported(self, now: float) -> list[dict[str, object]]:
        """The lines of an observation."""
        self.log.reset_mock()
        self.waits.observe(now)
        return [
            call.args[1]
            for call in self.log.emit.mock_calls
            if call.args[0] is LogEvent.ITEMS_WAITING
        ]

    def test_a_long_wait_is_reported_once_a_second_with_its_reason_and_the_free_slots(self) -> None:
        self.fixture(entry("a"))
        self.item.not_before = 100.0
        self.assertEqual([], self.reported(0.0))
        self.assertEqual([], self.reported(LONG_WAIT_S - 0.1))
        (line,) = self.reported(LONG_WAIT_S + 0.2)
        self.assertEqual(
            ("j", "delayed", ["j-i0"], 1, 2200, 2),
            (
                line["job"],
                line["reason"],
                line["items"],
                line["count"],
                line["longest_ms"],
                line["free_slots"],
            ),
        )
        self.assertEqual([], self.reported(LONG_WAIT_S + 0.6))
        self.assertEqual(1, len(self.reported(LONG_WAIT_S + 1.3)))
        longest_s = self.registry.get_sample_value("stileloom_item_longest_wait_seconds")
        self.assertEqual(LONG_WAIT_S + 1.3, longest_s)

    def test_a_planned_run_that_was_not_sent_is_a_wait(self) -> None:
        fixture = self.fixture(entry("a"))
        self.reported(0.0)
        fixture.starts()
        (line,) = self.reported(LONG_WAIT_S)
        self.assertEqual("starting", line["reason"])
        assert self.item.run is not None
        self.item.run.sent = True
        self.assertEqual([], self.reported(LONG_WAIT_S + 1.5))
        self.assertEqual(0.0, self.registry.get_sample_value("stileloom_items_waiting"))

    def test_the_reason_is_the_obstacle_at_the_sampler_that_meets_most_conditions(self) -> None:
        fixture = self.fixture(entry("a", slots=1), entry("b", slots=1))
        scheduler = fixture.scheduler
        reasons = [scheduler.wait_reason(self.item, 0.0)]
        fixture.samplers.record_failure("a", 0.0)
        scheduler.stats("b").running = 1
        reasons.append(scheduler.wait_reason(self.item, 0.0))
        scheduler.models_of("b").loading = "m"
        reasons.append(scheduler.wait_reason(self.item, 0.0))
        fixture.samplers.remove("b")
        reasons.append(scheduler.wait_reason(self.item, 0.0))
        fixture.samplers.remove("a")
        reasons.append(scheduler.wait_reason(self.item, 0.0))
        self.assertEqual(
            [
                WaitReason.STARTING,
                WaitReason.NO_SLOT,
                WaitReason.LOADING,
                WaitReason.AVOIDED,
                WaitReason.NO_SAMPLER,
            ],
            reasons,
        )


class RunLogTest(testtools.TestCase):
    """Lines about runs say what samplers saw."""

    def test_a_run_is_logged_as_sent_and_as_stopped_only_after_it_was_sent(self) -> None:
        async def scenario(wait_s: float) -> list[LogEvent]:
            writers: list[asyncio.StreamWriter] = []
            server = await asyncio.start_server(
                lambda reader, writer: writers.append(writer), "127.0.0.1", 0
            )
            address = server.sockets[0].getsockname()[:2]
            fixture = RunnerFixture(SamplerEntry("s", "drafts", address, "a", 4, False, {"m": 1}))
            fixture.submit(submission("job", ["i"]))
            lines: list[LogEvent] = []
            with (
                fixture.clock(),
                mock.patch(
                    "stileloom.logging.EventLog.emit",
                    lambda log, event, fields: lines.append(event),
                ),
            ):
                fixture.step(1.0)
                await asyncio.sleep(wait_s)
                fixture.runner.stop_job("job")
                fixture.runner.stop()
            server.close()
            for writer in writers:
                writer.transport.abort()
            return [e for e in lines if e in (LogEvent.ITEMS_SENT, LogEvent.ITEM_STOPPED)]

        self.assertEqual([], asyncio.run(scenario(0.0)))
        sent = [LogEvent.ITEMS_SENT, LogEvent.ITEM_STOPPED]
        self.assertEqual(sent, asyncio.run(scenario(0.1)))
