"""A cancelled task ends, whatever else arrives at the same moment.

Story: programs follow the store, the ledger and each other in loops that end by cancellation
alone. `asyncio.wait_for` of Python 3.11 drops a cancellation that comes once the awaited future
is done: it returns the result, or raises its error, and the loop around it goes on for ever. A
leader that lost its lease goes on with its duties, and a process does not end.

Evidence: without the mend each call returns or fails in place of ending cancelled, and the
watcher still follows after it was stopped.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from typing import Any

import testtools

from stileloom.api.object_store import WatchBatch
from stileloom.daemon.object_watch import ObjectWatcher
from stileloom.http1.caller import call as call_sampler
from stileloom.http1.pool import ConnectionPool
from stileloom.jobs.messages import EndJobCall, JobEnded
from stileloom.logging import EventLog
from stileloom.transport.call_frames import Reply, Request
from stileloom.transport.calls import CallConnection, CallServer
from tests.ports import free_port

HOST = "127.0.0.1"
CALL = EndJobCall("j")
TIMEOUT_S = 30.0
ENDED_WITHIN_STEPS = 200
"""Steps of the event loop; a cancelled call needs fewer than ten."""


async def answered(request: Request) -> Reply:
    """A ledger node that answers at once."""
    return JobEnded()


async def ended(task: asyncio.Task[Any]) -> bool:
    """Whether a task ends within some steps of the event loop."""
    for _ in range(ENDED_WITHIN_STEPS):
        if task.done():
            return True
        await asyncio.sleep(0)
    return False


class CancelledCallTest(testtools.TestCase):
    """Calls that are cancelled in the step in which their outcome arrives."""

    def outcome_of(self, event: str) -> str:
        """How a call ends that is cancelled right after `event` of its connection."""

        async def run() -> str:
            server = CallServer(answered)
            port = free_port()
            await server.start(HOST, port)
            connection = await CallConnection.open((HOST, port))
            task = asyncio.get_running_loop().create_task(connection.call(CALL, TIMEOUT_S))
            cancel_after(connection, event, task)
            if event == "connection_lost":
                await asyncio.sleep(0)
                connection.close()
            await asyncio.wait((task,))
            server.stop()
            return "cancelled" if task.cancelled() else "went on"

        return asyncio.run(run())

    def test_a_call_that_is_cancelled_with_its_reply_ends_cancelled(self) -> None:
        self.assertEqual("cancelled", self.outcome_of("data_received"))

    def test_a_call_that_is_cancelled_with_the_loss_of_its_connection_ends_cancelled(self) -> None:
        self.assertEqual("cancelled", self.outcome_of("connection_lost"))

    def test_a_call_to_a_sampler_that_is_cancelled_with_its_answer_ends_cancelled(self) -> None:
        async def answer(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")

        async def run() -> bool:
            server = await asyncio.start_server(answer, HOST, 0)
            address = server.sockets[0].getsockname()[:2]
            pool = ConnectionPool()
            connection = await pool.acquire("s", address)
            pool.release("s", connection)
            calling = call_sampler(pool, "s", address, "GET", "/", [], b"", TIMEOUT_S)
            task = asyncio.get_running_loop().create_task(calling)
            cancel_after(connection, "data_received", task)
            await asyncio.wait((task,))
            server.close()
            return task.cancelled()

        self.assertTrue(asyncio.run(run()))


class CancelledWatchTest(testtools.TestCase):
    """A loop that follows the store ends with its owner."""

    def test_a_watcher_that_is_stopped_with_a_reply_follows_no_more(self) -> None:
        async def run() -> bool:
            server = CallServer(answered)
            port = free_port()
            await server.start(HOST, port)
            connection = await CallConnection.open((HOST, port))
            store = StoreOverCalls(connection)
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
            await store.asked.wait()
            await store.answered.wait()
            stopped = await ended(task)
            task.cancel()
            server.stop()
            return stopped

        self.assertTrue(asyncio.run(run()))


class StoreOverCalls:
    """A store whose first watch asks another node; the next one waits for ever."""

    def __init__(self, connection: CallConnection) -> None:
        self.asked = asyncio.Event()
        self.answered = asyncio.Event()
        self._connection = connection

    async def watch_objects(self, kind: str, after_revision: int, wait_s: float) -> WatchBatch:
        """Changes, none of them."""
        if self.asked.is_set():
            await asyncio.Event().wait()
        self.asked.set()
        try:
            await self._connection.call(CALL, TIMEOUT_S)
        finally:
            self.answered.set()
        return WatchBatch([], 1)


def cancel_after(connection: Any, event: str, task: asyncio.Task[Any]) -> None:
    """Cancels a task in the step in which an event of a connection was handled."""
    handle: Callable[..., None] = getattr(connection, event)

    def handle_and_cancel(*arguments: object) -> None:
        handle(*arguments)
        task.cancel()

    setattr(connection, event, handle_and_cancel)
