"""Commits results and saved events to the ledger, and wakes those who wait for them."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from stileloom.api.jobs import FinishedItem, ItemProgress
from stileloom.background import BackgroundTasks
from stileloom.errors import StileloomError
from stileloom.events import LogEvent
from stileloom.jobs.book import JobBook
from stileloom.jobs.leader_ledger import LeaderLedger
from stileloom.jobs.metrics import JobMetrics
from stileloom.jobs.open_items import OpenItem
from stileloom.jobs.scheduler import ItemScheduler
from stileloom.ledger.commands import (
    RecordIntervals,
    RecordResults,
    SaveProgress,
)
from stileloom.logging import EventLog

FLUSH_S = 0.02
"""Results that come within this time are committed together."""
ITEMS_LOGGED = 16
INTERVAL_CHANGE = 1.15
"""A sampler whose pace changed by less than this factor is not saved anew."""


class ResultWriter:
    """Writes of one leadership."""

    def __init__(
        self,
        book: JobBook,
        ledger: LeaderLedger,
        scheduler: ItemScheduler,
        tasks: BackgroundTasks,
        log: EventLog,
        metrics: JobMetrics,
        on_listed: Callable[[], None],
    ) -> None:
        self._book = book
        self._ledger = ledger
        self._scheduler = scheduler
        self._tasks = tasks
        self._log = log
        self._metrics = metrics
        self._on_listed = on_listed
        self._finished: dict[str, list[FinishedItem]] = {}
        self._whole: list[OpenItem] = []
        """Whole texts that wait for their score and are not saved yet."""
        self._flush_due = False
        self._stopped = False
        self._waiters: dict[str, list[asyncio.Future[None]]] = {}

    def stop(self) -> None:
        """Leadership is over: nothing more is written, and nobody waits on."""
        self._stopped = True
        for job_id in list(self._waiters):
            self.wake(job_id)

    def wait(self, job_id: str) -> asyncio.Future[None]:
        """Resolved when the job has new results or has ended."""
        future: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._waiters.setdefault(job_id, []).append(future)
        return future

    def list_result(self, job_id: str, result: FinishedItem) -> None:
        """Lists a result soon, together with others."""
        self._finished.setdefault(job_id, []).append(result)
        self._flush_soon()

    def save_whole(self, open_item: OpenItem) -> None:
        """Saves a whole text soon: a new leader asks only for its score."""
        self._whole.append(open_item)
        self._flush_soon()

    def _flush_soon(self) -> None:
        if not self._flush_due:
            self._flush_due = True
            asyncio.get_running_loop().call_later(FLUSH_S, self._flush)

    def _flush(self) -> None:
        self._flush_due = False
        finished, self._finished = self._finished, {}
        whole, self._whole = self._whole, []
        if self._stopped:
            return
        # Texts go first: a result that follows names saved events by their number.
        self._save_events([open_item for open_item in whole if not open_item.finished])
        for job_id, results in finished.items():
            self._tasks.spawn(self._record(job_id, results))

    async def _record(self, job_id: str, results: list[FinishedItem]) -> None:
        try:
            await self._ledger.propose(RecordResults(job_id, results))
        except StileloomError:
            return
        for result in results:
            self._scheduler.remove_listed((job_id, result.item_id))
        self._metrics.results_listed.inc(len(results))
        record = self._book.jobs.get(job_id)
        self._log.emit(
            LogEvent.RESULTS_LISTED,
            {
                "job": job_id,
                "items": [result.item_id for result in results[:ITEMS_LOGGED]],
                "count": len(results),
                "listed": len(record.results) if record is not None else 0,
            },
        )
        self.wake(job_id)
        self._on_listed()

    def save_progress(self) -> None:
        """Events of long items go to the ledger: a new leader goes on from there."""
        self._save_events(self._scheduler.items_to_save())

    def _save_events(self, open_items: list[OpenItem]) -> None:
        by_job: dict[str, list[ItemProgress]] = {}
        for open_item in open_items:
            partial = open_item.partial
            if partial.last_event_id is None:
                continue
            by_job.setdefault(open_item.key[0], []).append(
                ItemProgress(
                    open_item.item.item_id,
                    open_item.saved_parts,
                    partial.parts[open_item.saved_parts :],
                    partial.last_event_id,
                    list(partial.versions),
                    partial.whole,
                )
            )
            open_item.saved_parts = len(partial.parts)
        for job_id, items in by_job.items():
            self._tasks.spawn(self._save(job_id, items))

    async def _save(self, job_id: str, items: list[ItemProgress]) -> None:
        try:
            await self._ledger.propose(SaveProgress(job_id, items))
        except StileloomError:
            # Leadership is lost: the next leader goes on from what is saved.
            return

    def record_intervals(self) -> None:
        """Saves how fast samplers are, where that has changed."""
        intervals = self._scheduler.measured_intervals()
        if _differ(intervals, self._book.interval_s):
            self._tasks.spawn(self._record_intervals(intervals))

    async def _record_intervals(self, intervals: dict[str, float]) -> None:
        try:
            await self._ledger.propose(RecordIntervals(intervals))
        except StileloomError:
            # Leadership is lost: the next leader measures by itself.
            return

    def wake(self, job_id: str) -> None:
        """Resolves all that wait for a job."""
        for future in self._waiters.pop(job_id, []):
            if not future.done():
                future.set_result(None)


def _differ(new: dict[str, float], old: dict[str, float]) -> bool:
    if new.keys() - old.keys():
        return True
    return any(
        interval_s > old[sampler_id] * INTERVAL_CHANGE
        or old[sampler_id] > interval_s * INTERVAL_CHANGE
        for sampler_id, interval_s in new.items()
    )
