"""Tests that a cancellation is not lost when the awaited result arrives in the same step.

`asyncio.wait_for` of Python 3.11 drops such a cancellation. A loop that only a cancellation ends
would then run forever.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from typing import Any

import testtools

from stileloom.api.object_store import WatchBatch
from stileloom.daemon.object_watch import ObjectWatcher
from stileloom.http1.caller import send_request
from stileloom.http1.pool import ConnectionPool
from stileloom.jobs.messages import EndJobCall, JobEnded
from stileloom.logging import EventLog
from stileloom.transport.call_frames import Reply, Request
from stileloom.transport.calls import CallConnection, CallServer
from tests.ports import free_port

HOST = "127.0.0.1"
CALL = EndJobCall("j")
TIMEOUT_S = 30.0
MAX_STEPS = 200


async def answer_call(request: Request) -> Reply:
    """Answers as a ledger node."""
    return JobEnded()


async def ends_soon(task: asyncio.Task[Any]) -> bool:
    """Whether a task ends within MAX_STEPS steps of the event loop."""
    for _ in range(MAX_STEPS):
        if task.done():
            return True
        await asyncio.sleep(0)
    return False


class CancelledCallTest(testtools.TestCase):
    """Calls cancelled in the event loop step in which their outcome arrives."""

    def outcome_of(self, callback: str) -> str:
        """Returns how a call ends when it is cancelled right after a callback of its connection."""

        async def run() -> str:
            server = CallServer(answer_call)
            port = free_port()
            await server.start(HOST, port)
            connection = await CallConnection.open((HOST, port))
            task = asyncio.get_running_loop().create_task(connection.call(CALL, TIMEOUT_S))
            cancel_after(connection, callback, task)
            if callback == "connection_lost":
                await asyncio.sleep(0)
                connection.close()
            await asyncio.wait((task,))
            server.stop()
            return "cancelled" if task.cancelled() else "not cancelled"

        return asyncio.run(run())

    def test_a_call_cancelled_with_its_reply_ends_cancelled(self) -> None:
        self.assertEqual("cancelled", self.outcome_of("data_received"))

    def test_a_call_cancelled_with_the_loss_of_its_connection_ends_cancelled(self) -> None:
        self.assertEqual("cancelled", self.outcome_of("connection_lost"))

    def test_a_sampler_call_cancelled_with_its_answer_ends_cancelled(self) -> None:
        async def answer(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")

        async def run() -> bool:
            server = await asyncio.start_server(answer, HOST, 0)
            address = server.sockets[0].getsockname()[:2]
            pool = ConnectionPool()
            connection = await pool.acquire("s", address)
            pool.release("s", connection)
            calling = send_request(pool, "s", address, "GET", "/", [], b"", TIMEOUT_S)
            task = asyncio.get_running_loop().create_task(calling)
            cancel_after(connection, "data_received", task)
            await asyncio.wait((task,))
            server.close()
            return task.cancelled()

        self.assertTrue(asyncio.run(run()))


class CancelledWatchTest(testtools.TestCase):
    """An object watcher cancelled in the step in which its reply arrives."""

    def test_a_watcher_cancelled_with_a_reply_stops(self) -> None:
        async def run() -> bool:
            server = CallServer(answer_call)
            port = free_port()
            await server.start(HOST, port)
            connection = await CallConnection.open((HOST, port))
            store = CallBackedStore(connection)
            watcher = ObjectWatcher(
                store,  # type: ignore[arg-type]
                "things",
                lambda records: None,
                lambda event: None,
                0.0,
                EventLog("n"),
                random.Random(1),
            )
            watcher._revision = 0
            task = asyncio.get_running_loop().create_task(watcher.run())
            cancel_after(connection, "data_received", task)
            await store.watch_started.wait()
            await store.watch_answered.wait()
            stopped = await ends_soon(task)
            task.cancel()
            server.stop()
            return stopped

        self.assertTrue(asyncio.run(run()))


class CallBackedStore:
    """An object store whose first watch calls another node; later watches block."""

    def __init__(self, connection: CallConnection) -> None:
        self.watch_started = asyncio.Event()
        self.watch_answered = asyncio.Event()
        self._connection = connection

    async def watch_objects(self, kind: str, after_revision: int, wait_s: float) -> WatchBatch:
        """Returns no changes."""
        if self.watch_started.is_set():
            await asyncio.Event().wait()
        self.watch_started.set()
        try:
            await self._connection.call(CALL, TIMEOUT_S)
        finally:
            self.watch_answered.set()
        return WatchBatch([], 1)


def cancel_after(connection: Any, callback: str, task: asyncio.Task[Any]) -> None:
    """Cancels a task in the event loop step in which a callback of a connection runs."""
    handle: Callable[..., None] = getattr(connection, callback)

    def handle_and_cancel(*arguments: object) -> None:
        handle(*arguments)
        task.cancel()

    setattr(connection, callback, handle_and_cancel)
