"""Reports of samplers that cannot be used."""

from __future__ import annotations

import asyncio

import msgspec
import testtools

from stileloom.api.dialect import SamplerReport
from stileloom.http.native_dialect import NativeDialect
from stileloom.http1.pool import ConnectionPool
from stileloom.jobs.engine_control import ControlTarget, EngineControl
from stileloom.logging import EventLog, configure_logs
from stileloom.settings_file import split_address
from tests.test_odd_entries import StoreStandIn

SOUND = SamplerReport({"m": 2}, False, 1)


class ReportTest(testtools.TestCase):
    """A load must not end with an exception, which would leave its order without an outcome."""

    def test_a_report_that_cannot_be_used_is_no_report(self) -> None:
        odd = [
            b"not JSON",
            b"[" * 3000 + b"]" * 3000,
            b"\xff\xfe",
            msgspec.json.encode(SamplerReport({"m": 10**30}, False, 1)),
            msgspec.json.encode(SamplerReport({"m": -1}, False, 1)),
        ]

        async def scenario() -> list[SamplerReport | None]:
            async with StoreStandIn(*odd, msgspec.json.encode(SOUND)) as address:
                control = EngineControl(NativeDialect(), ConnectionPool(), EventLog("node"))
                target = ControlTarget("s", split_address(address))
                return [await control.report(target) for _ in range(len(odd) + 1)]

        configure_logs("error")
        self.assertEqual([None] * len(odd) + [SOUND], asyncio.run(scenario()))
