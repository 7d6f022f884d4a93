"""Commits results and saved events to the ledger and notifies waiting readers."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from functools import partial

from stileloom.api.jobs import FinishedItem, ItemProgress
from stileloom.background import BackgroundTasks
from stileloom.clock import steady_time
from stileloom.errors import StileloomError
from stileloom.events import LogEvent
from stileloom.jobs.leader_ledger import LeaderLedger
from stileloom.jobs.metrics import JobMetrics
from stileloom.jobs.open_items import OpenItem
from stileloom.jobs.registry import JobRegistry
from stileloom.jobs.scheduler import ItemScheduler
from stileloom.ledger.commands import (
    RecordIntervals,
    RecordJobAges,
    RecordResults,
    SaveProgress,
)
from stileloom.logging import EventLog

FLUSH_DELAY_S = 0.02
"""Results of a job within this time are committed in one command."""
MAX_ITEMS_LOGGED = 16
INTERVAL_CHANGE_FACTOR = 1.15
"""Event intervals are saved again only if one changed by at least this factor."""


class ResultWriter:
    """Ledger writes of one leadership."""

    def __init__(
        self,
        registry: JobRegistry,
        ledger: LeaderLedger,
        scheduler: ItemScheduler,
        tasks: BackgroundTasks,
        log: EventLog,
        metrics: JobMetrics,
        on_listed: Callable[[], None],
    ) -> None:
        self._registry = registry
        self._ledger = ledger
        self._scheduler = scheduler
        self._tasks = tasks
        self._log = log
        self._metrics = metrics
        self._on_listed = on_listed
        self._finished: dict[str, list[FinishedItem]] = {}
        self._complete_texts: list[OpenItem] = []
        """Complete texts without a score that are not saved yet."""
        self._flush_scheduled = False
        self._stopped = False
        self._waiters: dict[str, set[asyncio.Future[None]]] = {}

    def stop(self) -> None:
        """Stops writing and releases all waiting readers at the end of the leadership."""
        self._stopped = True
        for job_id in list(self._waiters):
            self.notify_waiters(job_id)

    def wait_for_results(self, job_id: str) -> asyncio.Future[None]:
        """Returns a future that is resolved when the job has new results or has ended."""
        future: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._waiters.setdefault(job_id, set()).add(future)
        future.add_done_callback(partial(self._forget_waiter, job_id))
        return future

    def _forget_waiter(self, job_id: str, future: asyncio.Future[None]) -> None:
        waiters = self._waiters.get(job_id, set())
        waiters.discard(future)
        if not waiters:
            self._waiters.pop(job_id, None)

    def queue_result(self, job_id: str, result: FinishedItem) -> None:
        """Queues a result for the next flush."""
        self._finished.setdefault(job_id, []).append(result)
        self._schedule_flush()

    def queue_complete_text(self, open_item: OpenItem) -> None:
        """Queues a complete text for saving, so that a new leader only has to request its score."""
        self._complete_texts.append(open_item)
        self._schedule_flush()

    def _schedule_flush(self) -> None:
        if not self._flush_scheduled:
            self._flush_scheduled = True
            asyncio.get_running_loop().call_later(FLUSH_DELAY_S, self._flush)

    def _flush(self) -> None:
        self._flush_scheduled = False
        finished, self._finished = self._finished, {}
        complete_texts, self._complete_texts = self._complete_texts, []
        if self._stopped:
            return
        # Texts first, because a result contains the number of events that are already saved.
        self._save_events([open_item for open_item in complete_texts if not open_item.finished])
        for job_id, results in finished.items():
            self._tasks.spawn(self._commit_results(job_id, results))

    async def _commit_results(self, job_id: str, results: list[FinishedItem]) -> None:
        try:
            await self._ledger.propose(RecordResults(job_id, results))
        except StileloomError:
            return
        for result in results:
            self._scheduler.remove_listed((job_id, result.item_id))
        self._metrics.results_listed.inc(len(results))
        record = self._registry.jobs.get(job_id)
        self._log.emit(
            LogEvent.RESULTS_LISTED,
            {
                "job": job_id,
                "items": [result.item_id for result in results[:MAX_ITEMS_LOGGED]],
                "count": len(results),
                "listed": len(record.results) if record is not None else 0,
            },
        )
        self.notify_waiters(job_id)
        self._on_listed()

    def save_progress(self) -> None:
        """Saves events of unfinished items, so that a new leader can resume them."""
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
            self._tasks.spawn(self._commit_progress(job_id, items))

    async def _commit_progress(self, job_id: str, items: list[ItemProgress]) -> None:
        try:
            await self._ledger.propose(SaveProgress(job_id, items))
        except StileloomError:
            # Leadership was lost; the next leader resumes from the saved events.
            return

    def record_intervals(self) -> None:
        """Saves the measured event intervals if they changed."""
        intervals = self._scheduler.measured_intervals(steady_time())
        if _have_changed(intervals, self._registry.interval_s):
            self._tasks.spawn(self._commit_intervals(intervals))

    async def _commit_intervals(self, intervals: dict[str, float]) -> None:
        try:
            await self._ledger.propose(RecordIntervals(intervals))
        except StileloomError:
            # Leadership was lost; the next leader measures the intervals again.
            return

    def record_ages(self, age_s: dict[str, int]) -> None:
        """Saves the ages of open jobs."""
        self._tasks.spawn(self._commit_ages(age_s))

    async def _commit_ages(self, age_s: dict[str, int]) -> None:
        try:
            await self._ledger.propose(RecordJobAges(age_s))
        except StileloomError:
            # Leadership was lost; the next leader continues from its own count.
            return

    def notify_waiters_of_ended_jobs(self) -> None:
        """Resolves the futures of all readers whose job has ended."""
        for job_id in list(self._waiters):
            job = self._registry.jobs.get(job_id)
            if job is None or job.ended:
                self.notify_waiters(job_id)

    def notify_waiters(self, job_id: str) -> None:
        """Resolves the futures of all readers that wait for a job."""
        for future in self._waiters.pop(job_id, set()):
            if not future.done():
                future.set_result(None)


def _have_changed(new: dict[str, float], old: dict[str, float]) -> bool:
    if new.keys() - old.keys():
        return True
    return any(
        interval_s > old[sampler_id] * INTERVAL_CHANGE_FACTOR
        or old[sampler_id] > interval_s * INTERVAL_CHANGE_FACTOR
        for sampler_id, interval_s in new.items()
    )
