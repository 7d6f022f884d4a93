"""Following the store: what is asked after a failure, after lost history, and in which order."""

from __future__ import annotations

import asyncio
import random
from typing import Any

import testtools

from stileloom.api.object_store import ObjectEvent, ObjectPage, ObjectRecord, WatchBatch
from stileloom.daemon.object_watch import WATCH_WAIT_S, ObjectWatcher
from stileloom.errors import ErrorKind, StileloomError
from stileloom.logging import EventLog


class ScriptedStore:
    """A store that gives prepared answers in order and then waits for ever."""

    def __init__(self, answers: list[Any]) -> None:
        self.calls: list[tuple[Any, ...]] = []
        self.exhausted = asyncio.Event()
        self._answers = list(answers)

    async def _next(self, *call: Any) -> Any:
        self.calls.append(call)
        if not self._answers:
            self.exhausted.set()
            await asyncio.Event().wait()
        answer = self._answers.pop(0)
        if isinstance(answer, Exception):
            raise answer
        return answer

    async def list_objects(self, kind: str) -> ObjectPage:
        """A prepared page."""
        return await self._next("list")

    async def watch_objects(self, kind: str, after_revision: int, wait_s: float) -> WatchBatch:
        """A prepared batch."""
        return await self._next("watch", after_revision, wait_s)


def down() -> StileloomError:
    """What a store that does not answer raises."""
    return StileloomError(ErrorKind.PLATFORM_UNAVAILABLE, "no answer")


def follow(answers: list[Any]) -> tuple[list[tuple[Any, ...]], list[str]]:
    """Calls of a watcher over prepared answers, and the names it told."""
    told: list[str] = []

    async def run() -> list[tuple[Any, ...]]:
        store = ScriptedStore(answers)

        async def no_sleep(seconds: float) -> None:
            await asyncio.sleep(0)

        watcher = ObjectWatcher(
            store,  # type: ignore[arg-type]
            "things",
            lambda records: told.extend(record.name for record in records),
            lambda event: told.append(event.record.name),
            1.0,
            EventLog("n"),
            random.Random(1),
            no_sleep,
        )
        task = asyncio.get_running_loop().create_task(watcher.run())
        exhausted = asyncio.ensure_future(store.exhausted.wait())
        await asyncio.wait((task, exhausted), return_when=asyncio.FIRST_COMPLETED)
        if task.done():
            # It follows until it is cancelled: what ended it is the failure.
            task.result()
        task.cancel()
        return store.calls

    return asyncio.run(run()), told


class ObjectWatcherTest(testtools.TestCase):
    """One watcher over a scripted store."""

    def test_after_a_failure_it_asks_without_waiting(self) -> None:
        """A store that comes back must be noticed by the first call, not by the end of a watch."""
        calls, _ = follow([ObjectPage([], 7), down(), down(), WatchBatch([], 7)])
        self.assertEqual(
            [
                ("list",),
                ("watch", 7, WATCH_WAIT_S),
                ("watch", 7, 0.0),
                ("watch", 7, 0.0),
                ("watch", 7, WATCH_WAIT_S),
            ],
            calls,
        )

    def test_lost_history_begins_with_a_list(self) -> None:
        lost = StileloomError(ErrorKind.HISTORY_LOST, "gone")
        page = ObjectPage([ObjectRecord("b", 9, {})], 9)
        calls, told = follow([ObjectPage([ObjectRecord("a", 3, {})], 7), lost, page])
        self.assertEqual([("list",), ("watch", 7, WATCH_WAIT_S), ("list",)], calls[:3])
        self.assertEqual(["a", "b"], told)

    def test_goes_on_from_the_newest_revision(self) -> None:
        event = ObjectEvent(False, ObjectRecord("a", 8, {}))
        calls, told = follow([ObjectPage([], 7), WatchBatch([event], 12)])
        self.assertEqual(("watch", 12, WATCH_WAIT_S), calls[-1])
        self.assertEqual(["a"], told)

    def test_a_store_that_is_down_for_long_is_followed_again(self) -> None:
        """After a thousand failures in a row the pause could not be worked out any more."""
        answers: list[Any] = [down()] * 1200
        answers.append(ObjectPage([ObjectRecord("a", 1, {})], 7))
        calls, told = follow(answers)
        self.assertEqual(["a"], told)
        self.assertEqual(("watch", 7, WATCH_WAIT_S), calls[-1])
