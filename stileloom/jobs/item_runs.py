"""Runs of items at samplers during one leadership: connections, streams and their outcomes."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Protocol

from stileloom.api.headers import HeaderNames
from stileloom.api.sampler_directory import SamplerEntry
from stileloom.background import BackgroundTasks
from stileloom.clock import steady_time
from stileloom.decisions import NO_DECISIONS, DecisionRecorder
from stileloom.events import LogEvent
from stileloom.http1.connection import SamplerConnection
from stileloom.http1.pool import ConnectionPool
from stileloom.http1.response_decoder import ResponseHead
from stileloom.jobs.decisions import item_started
from stileloom.jobs.item_request import encode_item_request
from stileloom.jobs.item_stream import ItemStream, RunOutcome
from stileloom.jobs.metrics import JobMetrics
from stileloom.jobs.open_items import ItemKey, ItemRun, OpenItem, PlannedRun
from stileloom.jobs.scheduler import ItemScheduler
from stileloom.load import LoadView
from stileloom.load.recording import record_response_load
from stileloom.logging import EventLog
from stileloom.proxy.sampler_table import SamplerTable

RUN_RETRY_DELAY_S = 0.05
"""Delay before an item whose run failed may run again."""
MAX_RUN_RETRY_DELAY_S = 1.0
"""The delay doubles with each broken run without an event, up to this. It limits how fast an item
takes samplers down if it should crash them; an accepted item is never refused a run."""
MAX_DOUBLINGS = 8
REFUSAL_BACKOFF_S = 0.15
MAX_REJECTIONS = 1
_UNFINISHED_RUNS = (
    RunOutcome.TOO_OLD,
    RunOutcome.TOO_LONG,
    RunOutcome.OTHER_VERSION,
    RunOutcome.BROKEN,
)
"""Outcomes after which the sampler may still be sending."""
SENT_LOG_DELAY_S = 0.01
"""Runs that are sent within this time share a log line: a step may start dozens of them."""


class RunListener(Protocol):
    """Receives the outcomes of runs that concern more than the run."""

    def on_complete_text(self, open_item: OpenItem) -> None:
        """Handles the end of a run with which the text of its item is complete."""

    def on_run_limit(self, open_item: OpenItem, reason: str) -> None:
        """Handles an item that has failed or been rejected as often as its route allows."""

    def on_slot_free(self) -> None:
        """Handles the end of a run without a complete text: other items may start."""


class ItemRuns:
    """Starts, stops and ends runs; `ItemScheduler` decides which."""

    def __init__(
        self,
        scheduler: ItemScheduler,
        samplers: SamplerTable,
        pool: ConnectionPool,
        names: HeaderNames,
        host_of: Callable[[OpenItem], str],
        may_send: Callable[[], bool],
        listener: RunListener,
        tasks: BackgroundTasks,
        log: EventLog,
        metrics: JobMetrics,
        load: LoadView,
        on_version: Callable[[str, str, int], None],
        decisions: DecisionRecorder = NO_DECISIONS,
    ) -> None:
        """`may_send` is checked before each send: the process may have been suspended.
        `on_version` receives the version of a model that a response shows a sampler to have, or
        an older one."""
        self._scheduler = scheduler
        self._samplers = samplers
        self._pool = pool
        self._names = names
        self._host_of = host_of
        self._may_send = may_send
        self._listener = listener
        self._tasks = tasks
        self._log = log
        self._metrics = metrics
        self._load = load
        self._on_version = on_version
        self._decisions = decisions
        self._connections: dict[ItemKey, SamplerConnection] = {}
        self._unlogged: dict[tuple[str, str, int], list[tuple[str, int]]] = {}
        """Items that were sent, each with the event after which it continues, by job, sampler and
        version."""

    def __len__(self) -> int:
        """Returns the number of runs with an open stream."""
        return len(self._connections)

    def close(self) -> None:
        """Closes all streams."""
        self._log_sent_items()
        for connection in self._connections.values():
            connection.close()
        self._connections.clear()

    def start(self, starts: list[PlannedRun]) -> None:
        """Starts planned runs."""
        self._record_decisions(starts)
        for start in starts:
            self._tasks.spawn(self._run_item(start))

    def stop(self, open_item: OpenItem, reason: str, avoid: bool = False) -> None:
        """Stops a run by closing its connection; the partial text is kept.

        A planned run that was not sent is dropped without a line: no sampler has seen it.
        """
        connection = self._connections.pop(open_item.key, None)
        if connection is not None:
            connection.close()
        run = open_item.run
        if run is not None and run.sent:
            self._metrics.runs_stopped.labels(reason).inc()
            self._log.emit(
                LogEvent.ITEM_STOPPED,
                {
                    "item": open_item.item.item_id,
                    "job": open_item.key[0],
                    "sampler": run.sampler_id,
                    "events": len(open_item.partial.parts),
                    "events_left": round(self._scheduler.events_left(open_item)),
                    "event_ms": round(self._scheduler.stats(run.sampler_id).interval_s * 1000),
                    "silent_ms": round((steady_time() - run.last_event_at) * 1000),
                    "reason": reason,
                },
            )
        self._scheduler.end_run(open_item, avoid)

    async def _run_item(self, start: PlannedRun) -> None:
        open_item = start.item
        run = start.run
        if open_item.run is not run:
            return
        sampler = self._samplers.get(start.sampler_id)
        if sampler is None:
            self._scheduler.end_run(open_item)
            return
        entry = sampler.entry
        try:
            connection = await self._pool.acquire(entry.sampler_id, entry.address)
        except (OSError, TimeoutError) as error:
            self._samplers.record_failure(entry.sampler_id, steady_time())
            self._log_failed_run(
                open_item, entry.sampler_id, RunOutcome.BROKEN, type(error).__name__
            )
            if open_item.run is run:
                self._scheduler.end_run(open_item, avoid=True)
                open_item.not_before = steady_time() + RUN_RETRY_DELAY_S
            return
        if open_item.run is not run or not self._may_send():
            self._pool.release(entry.sampler_id, connection)
            if open_item.run is run:
                self._scheduler.end_run(open_item)
            return
        # A copy, so that late events of this run cannot modify the text of a later run.
        partial = open_item.partial.copy()
        open_item.partial = partial
        stream = ItemStream(
            open_item.item.item_id,
            partial,
            open_item.min_version,
            self._names,
            lambda _: self._on_event(open_item, run),
            lambda outcome, detail: self._on_run_ended(start, outcome, detail),
            lambda head: self._record_load(entry, head),
            open_item.single_version,
            lambda version: self._on_version(entry.sampler_id, open_item.model, version),
            entry.sampler_id,
        )
        self._connections[open_item.key] = connection
        self._metrics.runs_started.inc()
        if not open_item.has_run:
            open_item.has_run = True
            self._metrics.queue_wait.observe(steady_time() - open_item.adopted_at)
        remaining_s = open_item.deadline - steady_time()
        request = encode_item_request(
            open_item,
            self._host_of(open_item),
            entry.sampler_id,
            remaining_s,
            self._names,
            self._scheduler.has_tenants,
        )
        connection.exchange(request, stream)
        run.sent = True
        self._log_sent_item(open_item, entry.sampler_id)

    def _record_load(self, entry: SamplerEntry, head: ResponseHead) -> None:
        now = steady_time()
        record_response_load(self._load, entry, head.headers, self._names, now, now)

    def _on_event(self, open_item: OpenItem, run: ItemRun) -> None:
        if open_item.run is not run:
            return
        now = steady_time()
        metric = self._metrics.event_gap if run.events else self._metrics.first_event
        metric.observe(now - run.last_event_at)
        self._scheduler.record_event(open_item, now)

    def _on_run_ended(self, start: PlannedRun, outcome: RunOutcome, detail: str) -> None:
        open_item = start.item
        sampler_id = start.sampler_id
        if open_item.run is not start.run:
            # The run was stopped earlier; the item may have another run by now.
            return
        connection = self._connections.pop(open_item.key, None)
        now = steady_time()
        failed = outcome in (
            RunOutcome.FAILED,
            RunOutcome.BROKEN,
            RunOutcome.TOO_LONG,
            RunOutcome.REFUSED,
            RunOutcome.OTHER_VERSION,
        )
        self._scheduler.end_run(open_item, avoid=failed)
        if connection is not None:
            if outcome in _UNFINISHED_RUNS:
                connection.close()
            else:
                asyncio.get_running_loop().call_soon(self._pool.release, sampler_id, connection)
        self._metrics.runs_ended.labels(outcome.value).inc()
        if outcome is RunOutcome.COMPLETE:
            self._samplers.record_success(sampler_id)
            open_item.partial.whole = True
            self._listener.on_complete_text(open_item)
            return
        self._log_failed_run(open_item, sampler_id, outcome, detail)
        open_item.not_before = now + self._retry_delay_s(open_item, start.run, outcome)
        if outcome is RunOutcome.TOO_LONG:
            open_item.discard_text()
        if outcome is RunOutcome.REFUSED:
            self._scheduler.stats(sampler_id).refused_until = now + REFUSAL_BACKOFF_S
        elif outcome is RunOutcome.MISDIRECTED:
            self._samplers.mark_draining(sampler_id)
        elif outcome is RunOutcome.FAILED:
            open_item.failures += 1
            if open_item.failures >= open_item.max_attempts:
                self._listener.on_run_limit(open_item, f"{open_item.failures} failed runs")
        elif outcome is RunOutcome.IMPOSSIBLE:
            open_item.rejections += 1
            if open_item.rejections >= MAX_REJECTIONS:
                self._listener.on_run_limit(
                    open_item, "the sampler rejected the item as impossible"
                )
        self._listener.on_slot_free()

    def _retry_delay_s(self, open_item: OpenItem, run: ItemRun, outcome: RunOutcome) -> float:
        """Returns the delay before the next run, after one that ended with `outcome`."""
        if outcome is not RunOutcome.BROKEN or run.events:
            open_item.broken_runs = 0
            return RUN_RETRY_DELAY_S
        doublings = min(open_item.broken_runs, MAX_DOUBLINGS)
        open_item.broken_runs += 1
        return min(MAX_RUN_RETRY_DELAY_S, RUN_RETRY_DELAY_S * 2**doublings)

    def _log_failed_run(
        self, open_item: OpenItem, sampler_id: str, outcome: RunOutcome, detail: str
    ) -> None:
        self._log.emit(
            LogEvent.ITEM_RUN_FAILED,
            {
                "item": open_item.item.item_id,
                "job": open_item.key[0],
                "sampler": sampler_id,
                "outcome": outcome.value,
                "detail": detail,
                "events": len(open_item.partial.parts),
            },
        )

    def _record_decisions(self, starts: list[PlannedRun]) -> None:
        now = steady_time()
        for start in starts:
            self._decisions.record(item_started(start, self._scheduler, now))

    def _log_sent_item(self, open_item: OpenItem, sampler_id: str) -> None:
        if not self._unlogged:
            asyncio.get_running_loop().call_later(SENT_LOG_DELAY_S, self._log_sent_items)
        version = self._scheduler.models_of(sampler_id).versions.get(open_item.model, 0)
        sent = self._unlogged.setdefault((open_item.key[0], sampler_id, version), [])
        sent.append((open_item.item.item_id, open_item.partial.last_event_id or 0))

    def _log_sent_items(self) -> None:
        """Logs one line for each job, sampler and version."""
        unlogged, self._unlogged = self._unlogged, {}
        for (job_id, sampler_id, version), sent in unlogged.items():
            self._log.emit(
                LogEvent.ITEMS_SENT,
                {
                    "job": job_id,
                    "sampler": sampler_id,
                    "items": [item_id for item_id, _ in sent],
                    "after_events": [event_id for _, event_id in sent],
                    "version": version,
                    "running_there": self._scheduler.stats(sampler_id).running,
                },
            )
