"""Loads whose sampler stops answering."""

from __future__ import annotations

import asyncio
from unittest import mock

import msgspec
import testtools
from prometheus_client import CollectorRegistry

from stileloom.api.dialect import LoadStrategy, SamplerReport
from stileloom.api.sampler_directory import SamplerEntry
from stileloom.clock import steady_time
from stileloom.http.native_dialect import NativeDialect
from stileloom.http1.pool import ConnectionPool
from stileloom.jobs.metrics import JobMetrics
from stileloom.jobs.version_planner import Load
from stileloom.jobs.weight_loader import WeightLoader
from stileloom.ledger.state import LedgerState
from stileloom.logging import EventLog, configure_logs
from tests.runner_fixture import FakeLedger
from tests.test_item_scheduler import SchedulerFixture, record

CONTROL_S = 0.1
LOAD_S = 0.4
ENDS_AFTER_S = 3.0


class SilentAfterOneReport:
    """A sampler that answers one report, and nothing after it."""

    def __init__(self) -> None:
        self.address = ("", 0)
        self._writers: list[asyncio.StreamWriter] = []
        self._server: asyncio.Server

    async def __aenter__(self) -> SilentAfterOneReport:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = self._server.sockets[0].getsockname()[:2]
        return self

    async def __aexit__(self, *exc: object) -> None:
        self._server.close()
        for writer in self._writers:
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.append(writer)
        if len(self._writers) == 1 and await reader.read(65_536):
            body = msgspec.json.encode(SamplerReport({"m": 1}, False, 0))
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)


class UnansweredLoadTest(testtools.TestCase):
    """Such a load must not keep items from its sampler for good."""

    def test_an_unanswered_load_ends_and_its_sampler_takes_items_again(self) -> None:
        async def scenario() -> None:
            async with SilentAfterOneReport() as sampler:
                entry = SamplerEntry("s", "engines", sampler.address, "a", 2, False, {"m": 1})
                fixture = SchedulerFixture(entry)
                log = EventLog("node")
                loader = WeightLoader(
                    "node",
                    1,
                    fixture.scheduler,
                    fixture.planner,
                    fixture.samplers,
                    NativeDialect(),
                    ConnectionPool(),
                    log,
                    JobMetrics(CollectorRegistry()),
                    FakeLedger(LedgerState()),
                    order_windows=False,
                )
                fixture.scheduler.models_of("s").loading = "m"
                fixture.adopt(record("j", 1))
                self.assertEqual({}, fixture.starts(steady_time()))
                async with asyncio.timeout(ENDS_AFTER_S):
                    await loader.load(Load("s", "m", 2, LoadStrategy.WAIT))
                self.assertEqual({"j-i0": "s"}, fixture.starts(steady_time()))

        configure_logs("error")
        with (
            mock.patch("stileloom.jobs.engine_control.CONTROL_TIMEOUT_S", CONTROL_S),
            mock.patch("stileloom.jobs.weight_loader.LOAD_TIMEOUT_S", LOAD_S),
        ):
            asyncio.run(scenario())
