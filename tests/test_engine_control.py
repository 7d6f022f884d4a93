"""Reports of samplers that cannot be used."""

from __future__ import annotations

import asyncio

import msgspec
import testtools

from stileloom.api.dialect import LoadOrder, LoadStrategy, SamplerReport
from stileloom.http.native_dialect import NativeDialect
from stileloom.http1.pool import ConnectionPool
from stileloom.jobs.engine_control import ControlTarget, EngineControl, OrderOutcome
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


class OrderTest(testtools.TestCase):
    """An order counts as not executed only on the sampler's word."""

    def test_the_outcome_of_an_order_by_the_status_of_its_answer(self) -> None:
        expected = {
            "200": OrderOutcome.ALREADY_LOADED,
            "202": OrderOutcome.ACCEPTED,
            "400": OrderOutcome.REFUSED,
            "409": OrderOutcome.BUSY,
            "412": OrderOutcome.FENCED,
            "421": OrderOutcome.GONE,
        } | dict.fromkeys(("000", "101", "204", "302", "500", "600"), OrderOutcome.UNKNOWN)
        order = LoadOrder("m", 2, LoadStrategy.WAIT, "node", 1, 0)

        async def outcome(status: str) -> OrderOutcome:
            async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
                await reader.read(65_536)
                writer.write(f"HTTP/1.1 {status} -\r\nContent-Length: 0\r\n\r\n".encode())
                writer.close()

            async with await asyncio.start_server(serve, "127.0.0.1", 0) as server:
                address = server.sockets[0].getsockname()[:2]
                control = EngineControl(NativeDialect(), ConnectionPool(), EventLog("node"))
                return await control.order(ControlTarget("s", address), order, lambda: True)

        configure_logs("error")
        self.assertEqual(expected, {status: asyncio.run(outcome(status)) for status in expected})
