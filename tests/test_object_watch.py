"""Tests of the object watcher: its calls after failures and after lost history."""

from __future__ import annotations

import asyncio
import random
from typing import Any

import testtools

from stileloom.api.object_store import ObjectEvent, ObjectPage, ObjectRecord, WatchBatch
from stileloom.daemon.object_watch import WATCH_WAIT_S, ObjectWatcher
from stileloom.errors import ErrorKind, StileloomError
from stileloom.logging import EventLog

CAUSES_ERROR = "causes-error"
"""Name of an object of which the first report raises an unexpected exception."""


class ScriptedStore:
    """An object store that returns prepared answers in order and then blocks."""

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
        """Returns the next answer."""
        return await self._next("list")

    async def watch_objects(self, kind: str, after_revision: int, wait_s: float) -> WatchBatch:
        """Returns the next answer."""
        return await self._next("watch", after_revision, wait_s)


def unavailable() -> StileloomError:
    """Returns the error that an unavailable object store raises."""
    return StileloomError(ErrorKind.PLATFORM_UNAVAILABLE, "no answer")


def run_watcher(answers: list[Any]) -> tuple[list[tuple[Any, ...]], list[str]]:
    """Returns the calls of a watcher over prepared answers, and the names it reported."""
    reported: list[str] = []

    async def run() -> list[tuple[Any, ...]]:
        store = ScriptedStore(answers)

        def report(record: ObjectRecord) -> None:
            if record.name == CAUSES_ERROR and CAUSES_ERROR not in reported:
                reported.append(record.name)
                raise OverflowError("too large")
            reported.append(record.name)

        def report_all(records: list[ObjectRecord]) -> None:
            for record in records:
                report(record)

        async def no_sleep(seconds: float) -> None:
            await asyncio.sleep(0)

        watcher = ObjectWatcher(
            store,  # type: ignore[arg-type]
            "things",
            report_all,
            lambda event: report(event.record),
            1.0,
            EventLog("n"),
            random.Random(1),
            no_sleep,
        )
        task = asyncio.get_running_loop().create_task(watcher.run())
        exhausted = asyncio.ensure_future(store.exhausted.wait())
        await asyncio.wait((task, exhausted), return_when=asyncio.FIRST_COMPLETED)
        if task.done():
            # The watcher only ends by cancellation, so this raises its failure.
            task.result()
        task.cancel()
        return store.calls

    return asyncio.run(run()), reported


class ObjectWatcherTest(testtools.TestCase):
    """A watcher over a scripted object store."""

    def test_calls_after_a_failure_do_not_wait(self) -> None:
        """Recovery must be detected by the next call, not at the end of a watch."""
        calls, _ = run_watcher([ObjectPage([], 7), unavailable(), unavailable(), WatchBatch([], 7)])
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

    def test_lost_history_is_followed_by_a_list(self) -> None:
        lost = StileloomError(ErrorKind.HISTORY_LOST, "gone")
        page = ObjectPage([ObjectRecord("b", 9, {})], 9)
        calls, reported = run_watcher([ObjectPage([ObjectRecord("a", 3, {})], 7), lost, page])
        self.assertEqual([("list",), ("watch", 7, WATCH_WAIT_S), ("list",)], calls[:3])
        self.assertEqual(["a", "b"], reported)

    def test_continues_from_the_newest_revision(self) -> None:
        event = ObjectEvent(False, ObjectRecord("a", 8, {}))
        calls, reported = run_watcher([ObjectPage([], 7), WatchBatch([event], 12)])
        self.assertEqual(("watch", 12, WATCH_WAIT_S), calls[-1])
        self.assertEqual(["a"], reported)

    def test_watching_resumes_after_a_long_outage(self) -> None:
        """Computing the backoff must not overflow after a thousand consecutive failures."""
        answers: list[Any] = [unavailable()] * 1200
        answers.append(ObjectPage([ObjectRecord("a", 1, {})], 7))
        calls, reported = run_watcher(answers)
        self.assertEqual(["a"], reported)
        self.assertEqual(("watch", 7, WATCH_WAIT_S), calls[-1])

    def test_an_exception_over_a_change_spares_the_changes_after_it(self) -> None:
        names = [CAUSES_ERROR, "b"]
        events = [ObjectEvent(False, ObjectRecord(name, 8, {})) for name in names]
        calls, reported = run_watcher([ObjectPage([], 7), WatchBatch(events, 8)])
        self.assertEqual(names, reported)
        self.assertEqual(("watch", 8, WATCH_WAIT_S), calls[-1])

    def test_an_exception_over_a_list_is_followed_by_another_list(self) -> None:
        page = ObjectPage([ObjectRecord(CAUSES_ERROR, 3, {}), ObjectRecord("b", 3, {})], 7)
        calls, reported = run_watcher([page, page])
        self.assertEqual([("list",), ("list",), ("watch", 7, WATCH_WAIT_S)], calls[:3])
        self.assertEqual([CAUSES_ERROR, CAUSES_ERROR, "b"], reported)
