"""Calls that share a connection between two nodes."""

from __future__ import annotations

import asyncio
import threading
import zlib
from unittest import mock

import testtools

from stileloom.jobs.messages import EndJobCall, ItemRead, JobEnded, ReadItemCall
from stileloom.transport.call_frames import Reply, Request
from stileloom.transport.calls import CallConnectionPool, CallFailed, CallServer
from tests.ports import free_port

HOST = "127.0.0.1"
REPLY_DELAY_S = 0.4


class CallConnectionPoolTest(testtools.TestCase):
    """Time-outs of one call beside others."""

    def test_a_call_that_times_out_does_not_fail_others_on_its_connection(self) -> None:
        async def handle(request: Request) -> Reply:
            if isinstance(request, ReadItemCall):
                await asyncio.sleep(REPLY_DELAY_S)
                return ItemRead(b"")
            await asyncio.Event().wait()
            return JobEnded()

        async def run() -> Reply:
            address = (HOST, free_port())
            server = CallServer(handle)
            await server.start(*address)
            pool = CallConnectionPool()
            answered = asyncio.create_task(pool.call(address, ReadItemCall("j", "i"), 5.0))
            call = asyncio.create_task(pool.call(address, EndJobCall("j"), REPLY_DELAY_S / 2))
            await asyncio.wait((call,))
            self.assertIsInstance(call.exception(), CallFailed)
            try:
                return await answered
            finally:
                pool.close()
                server.stop()

        self.assertEqual(ItemRead(b""), asyncio.run(run()))

    def test_large_calls_and_replies_are_compressed_off_the_event_loop(self) -> None:
        """Guards against lookups that wait while a gateway compresses a job."""
        body = b"a job's requests " * 200_000
        threads: set[int] = set()

        def compress(data: bytes, level: int) -> bytes:
            if len(data) > 100_000:
                threads.add(threading.get_ident())
            return deflate(data, level)

        async def handle(request: Request) -> Reply:
            return ItemRead(body)

        async def run() -> Reply:
            address = (HOST, free_port())
            server = CallServer(handle)
            await server.start(*address)
            pool = CallConnectionPool()
            try:
                return await pool.call(address, ReadItemCall("j", body.decode()), 5.0)
            finally:
                pool.close()
                server.stop()

        deflate = zlib.compress
        with mock.patch.object(zlib, "compress", compress):
            self.assertEqual(ItemRead(body), asyncio.run(run()))
        self.assertNotEqual(set(), threads)
        self.assertNotIn(threading.get_ident(), threads)
