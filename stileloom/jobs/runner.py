"""Runs the items of open jobs at the ledger's leader, and loads weight versions.

Everything here is memory: a new leader begins from the ledger's jobs and from what the
samplers and the store say.
"""

from __future__ import annotations

import asyncio

import msgspec

from stileloom.api.dialect import Dialect
from stileloom.api.jobs import FinishedItem, ItemState
from stileloom.api.routes import Route, RouteKind, Service
from stileloom.api.sampler_directory import SamplerEntry
from stileloom.background import BackgroundTasks
from stileloom.clock import steady_time
from stileloom.events import LogEvent
from stileloom.http1.connection import SamplerConnection
from stileloom.http1.pool import ConnectionPool
from stileloom.jobs.book import JobBook, JobRecord
from stileloom.jobs.intake import item_size, reusable_results
from stileloom.jobs.item_request import encode_item_request
from stileloom.jobs.item_stream import ItemStream, RunOutcome
from stileloom.jobs.leader_ledger import LeaderLedger
from stileloom.jobs.metrics import JobMetrics
from stileloom.jobs.open_items import (
    DEFAULT_TOKENS_PER_EVENT,
    ItemRun,
    OpenItem,
    StartRun,
)
from stileloom.jobs.result_writer import ResultWriter
from stileloom.jobs.reward_caller import RewardCaller
from stileloom.jobs.scheduler import ItemScheduler
from stileloom.jobs.suspect_items import SuspectItems
from stileloom.jobs.version_planner import Load, VersionPlanner
from stileloom.jobs.weight_loader import WeightLoader
from stileloom.ledger.commands import ForgetJob
from stileloom.logging import EventLog
from stileloom.proxy.forwarder import Forwarder
from stileloom.proxy.route_table import RouteTable
from stileloom.proxy.sampler_table import SamplerTable
from stileloom.quarantine.guard import QuarantineGuard
from stileloom.switches import Switches

RETRY_S = 0.05
REFUSED_PAUSE_S = 0.15
GIVE_UP_MARGIN_S = 2.0
IMPOSSIBLE_ATTEMPTS = 1
SAVE_INTERVAL_S = 0.25
RECORD_INTERVALS_S = 2.0
"""How often the pace of samplers is saved for a later leader."""
STARTS_PATIENCE_S = 0.2
VERSIONS_PATIENCE_S = 0.6
"""How long a new leader waits for the list of named versions before it orders any."""
STEP_SOON_S = 0.005
MOVES_PER_STEP = 3


class LeaderParts(msgspec.Struct, frozen=True):
    """What a runner is given: the node's parts, and what is settled for this leadership."""

    node_id: str
    epoch: int
    orders_from: float
    """No order before this monotonic time: an earlier leader's last one must be past."""
    book: JobBook
    ledger: LeaderLedger
    routes: RouteTable
    samplers: SamplerTable
    forwarder: Forwarder
    guard: QuarantineGuard
    dialect: Dialect
    log: EventLog
    metrics: JobMetrics
    switches: Switches


class JobRunner:
    """Lives as long as one leadership."""

    def __init__(self, parts: LeaderParts) -> None:
        book, ledger, samplers = parts.book, parts.ledger, parts.samplers
        dialect, log, metrics, switches = parts.dialect, parts.log, parts.metrics, parts.switches
        self.scheduler = ItemScheduler(samplers, book.interval_s, switches)
        self.planner = VersionPlanner(self.scheduler, samplers, switches)
        self._switches = switches
        self._orders_from = parts.orders_from
        self._book = book
        self._ledger = ledger
        self._routes = parts.routes
        self._samplers = samplers
        self._dialect = dialect
        self._log = log
        self._metrics = metrics
        self._pool = ConnectionPool()
        self._connections: dict[tuple[str, str], SamplerConnection] = {}
        self._adopted: dict[str, float] = {}
        self._stopped = False
        self._next_save_at = 0.0
        self._next_record_at = steady_time() + RECORD_INTERVALS_S
        self._versions_due_at = steady_time() + VERSIONS_PATIENCE_S
        self._starts_from = steady_time() + STARTS_PATIENCE_S
        """Samplers that have to load first had better not get work just before."""
        self._tasks = BackgroundTasks(log)
        self._suspects = SuspectItems(parts.guard, self.scheduler, self._host_of, self._tasks, log)
        self._writer = ResultWriter(
            book, ledger, self.scheduler, self._tasks, log, metrics, self._step_soon
        )
        self._loader = WeightLoader(
            parts.node_id,
            parts.epoch,
            self.scheduler,
            self.planner,
            samplers,
            dialect,
            self._pool,
            log,
            metrics,
            ledger,
            switches.order_windows,
        )
        self._rewards = RewardCaller(
            parts.forwarder, parts.routes, samplers, dialect.names, self, log, metrics
        )

    def stop(self) -> None:
        """Leadership is over: closes every stream."""
        self._stopped = True
        for connection in self._connections.values():
            connection.close()
        self._connections.clear()
        self._rewards.stop()
        self._tasks.cancel()
        self._writer.stop()

    # What the rest of the node tells.

    def version_named(self, model: str, version: int) -> None:
        """A trainer has named a version."""
        if self.planner.named(model, version, steady_time()):
            self._log.emit(LogEvent.VERSION_NAMED, {"model": model, "version": version})

    def versions_listed(self) -> None:
        """All versions that are named by now were told."""
        self._versions_due_at = float("-inf")
        self._starts_from = float("-inf")
        self._step_soon()

    def sampler_seen(self, sampler_id: str, versions: dict[str, int]) -> None:
        """The directory lists a sampler."""
        self._loader.saw_versions(sampler_id, versions)

    def sampler_gone(self, sampler_id: str) -> None:
        """The sampler leaves or is gone; its runs go on while it makes events."""
        self._suspects.sampler_gone(sampler_id)
        self._pool.forget(sampler_id)
        self._loader.forget(sampler_id)

    def results_wait(self, job_id: str) -> asyncio.Future[None]:
        """Resolved when the job has new results or has ended."""
        return self._writer.wait(job_id)

    def _may_act(self) -> bool:
        """Checked right before anything leaves: a process may have slept since its last step."""
        return not self._stopped and self._ledger.may_act()

    # The loop of decisions.

    def step(self) -> None:
        """Takes in what has changed and starts what is due."""
        if not self._may_act():
            return
        now = steady_time()
        self._follow_book(now)
        for open_item in self.scheduler.unresponsive_runs(now):
            self._stop_run(open_item, "silent", avoid=True)
            open_item.not_before = 0.0
        self._move_slow_runs(now)
        for service in self._routes.services():
            if service.engine is not None and service.engine.models:
                self._plan_service(now, service)
        self._rewards.step(now)
        self._metrics.items_open.set(len(self.scheduler.items))
        self._metrics.items_running.set(len(self._connections))
        if now >= self._next_save_at:
            self._next_save_at = now + SAVE_INTERVAL_S
            if self._switches.saved_events:
                self._writer.save_progress()
        if now >= self._next_record_at and self._switches.recorded_paces:
            self._next_record_at = now + RECORD_INTERVALS_S
            self._writer.record_intervals()

    def _move_slow_runs(self, now: float) -> None:
        """Each goes straight to the sampler that it gains by: its place is not given away."""
        if not self._switches.moves:
            return
        starts: list[StartRun] = []
        for open_item in self.scheduler.slow_runs(now):
            sampler_id = self.scheduler.faster_sampler(open_item, now)
            if sampler_id is not None and len(starts) < MOVES_PER_STEP:
                self._stop_run(open_item, "moved", avoid=True)
                starts.append(self.scheduler.start_at(open_item, sampler_id, now))
        self._begin(starts)

    def _begin(self, starts: list[StartRun]) -> None:
        self._log_starts(starts)
        for start in starts:
            self._tasks.spawn(self._run_item(start))

    def _plan_service(self, now: float, service: Service) -> None:
        assert service.engine is not None
        models = service.engine.models
        self.scheduler.cache_tokens[service.name] = service.engine.cache_tokens
        self.scheduler.share_out(service.name, models)
        if now >= max(self._orders_from, self._versions_due_at):
            single = {item.model for item in self.scheduler.items.values() if item.single_version}
            for load in self.planner.plan(now, service.name, models, single):
                for open_item in load.evacuate:
                    self._stop_run(open_item, "the sampler loads")
                    open_item.not_before = 0.0
                self._tasks.spawn(self._load(load))
        if now >= self._starts_from:
            self._begin(self.scheduler.plan_starts(now, models))

    def _log_starts(self, starts: list[StartRun]) -> None:
        """One line for each job and sampler: a step starts dozens of items at once."""
        together: dict[tuple[str, str], list[OpenItem]] = {}
        for start in starts:
            together.setdefault((start.item.key[0], start.sampler_id), []).append(start.item)
        for (job_id, sampler_id), items in together.items():
            versions = self.scheduler.models_of(sampler_id).versions
            self._log.emit(
                LogEvent.ITEMS_SENT,
                {
                    "job": job_id,
                    "sampler": sampler_id,
                    "items": [item.item.item_id for item in items],
                    "after_events": [item.partial.last_event_id or 0 for item in items],
                    "version": versions.get(items[0].model, 0),
                    "running_there": self.scheduler.pace(sampler_id).running,
                },
            )

    def _follow_book(self, now: float) -> None:
        for job_id, record in list(self._book.jobs.items()):
            if job_id not in self._adopted:
                self._adopted[job_id] = now
            if record.is_open:
                self._adopt(record, now)
        for job_id in {job_id for job_id, _ in self.scheduler.items}:
            ended = self._book.jobs.get(job_id)
            if ended is None or not ended.is_open:
                self._drop(job_id)
        for open_item in list(self.scheduler.items.values()):
            if now >= open_item.deadline and not open_item.finished:
                self._finish(open_item, ItemState.GIVEN_UP, "out of time")

    def _adopt(self, record: JobRecord, now: float) -> None:
        submission = record.submission
        first = submission.items[0].item_id if submission.items else ""
        known = any(
            (submission.job_id, item.item_id) in self.scheduler.items for item in submission.items
        )
        if known or not first:
            return
        route = self._route_of(record)
        if route is None:
            return
        reusable = reusable_results(self._book, record, route.single_version)
        for finished in reusable:
            self._writer.list_result(submission.job_id, finished)
        names = self._dialect.names
        sizes = {item.item_id: item_size(item.headers, names) for item in submission.items}
        self.planner.named(submission.model, submission.min_version, now)
        self.scheduler.adopt_job(
            record,
            route.backends[0].service,
            route.single_version,
            route.max_attempts,
            route.max_wait_s + GIVE_UP_MARGIN_S - (now - self._adopted[submission.job_id]),
            sizes,
            now,
            self._tokens_per_event(route.backends[0].service),
            {finished.item_id for finished in reusable},
        )
        self._log.emit(
            LogEvent.JOB_ADOPTED,
            {
                "job": submission.job_id,
                "step": submission.step,
                "model": submission.model,
                "min_version": submission.min_version,
                "items": len(submission.items),
                "listed": len(record.results),
            },
        )
        for item in submission.items:
            open_item = self.scheduler.items.get((submission.job_id, item.item_id))
            if open_item is not None and open_item.partial.whole and not open_item.finished:
                self._text_whole(open_item)

    def _tokens_per_event(self, service_name: str) -> float:
        service = self._routes.service(service_name)
        if service is None or service.engine is None:
            return DEFAULT_TOKENS_PER_EVENT
        return service.engine.tokens_per_event

    def _route_of(self, record: JobRecord) -> Route | None:
        route = self._routes.match(record.submission.host, record.submission.path)
        return route if route is not None and route.kind is RouteKind.BATCH else None

    def _drop(self, job_id: str) -> None:
        self._metrics.job_time.observe(steady_time() - self._adopted[job_id])
        for open_item in self.scheduler.drop_job(job_id):
            self._stop_run(open_item, "job ended")
            self._rewards.drop(open_item.key)
        self._writer.wake(job_id)

    # Runs.

    async def _run_item(self, start: StartRun) -> None:
        open_item = start.item
        run = start.run
        if open_item.run is not run:
            return
        belief = self._samplers.get(start.sampler_id)
        if belief is None:
            self.scheduler.run_ended(open_item)
            return
        entry = belief.entry
        if not self._suspects.allows(open_item, entry.sampler_id):
            return
        try:
            connection = await self._pool.acquire(entry.sampler_id, entry.address)
        except (OSError, TimeoutError) as error:
            self._samplers.failed(entry.sampler_id, steady_time())
            self._note_run(open_item, entry.sampler_id, RunOutcome.BROKEN, type(error).__name__)
            if open_item.run is run:
                self.scheduler.run_ended(open_item, avoid=True)
                open_item.not_before = steady_time() + RETRY_S
            return
        if open_item.run is not run or not self._may_act():
            self._pool.release(entry.sampler_id, connection)
            return
        # The text is copied: an end of this run that comes late must not touch a later one's.
        partial = open_item.partial.copy()
        open_item.partial = partial
        stream = ItemStream(
            open_item.item.item_id,
            partial,
            open_item.min_version,
            self._dialect.names,
            lambda _: self._event(open_item, run),
            lambda outcome, detail: self._ended(start, entry, outcome, detail),
        )
        self._connections[open_item.key] = connection
        self._metrics.runs_started.inc()
        if not open_item.has_run:
            open_item.has_run = True
            self._metrics.queue_wait.observe(steady_time() - open_item.adopted_at)
        left_s = open_item.deadline - steady_time()
        request = encode_item_request(
            open_item, self._host_of(open_item), entry.sampler_id, left_s, self._dialect.names
        )
        connection.exchange(request, stream)

    def _event(self, open_item: OpenItem, run: ItemRun) -> None:
        if open_item.run is not run:
            return
        now = steady_time()
        metric = self._metrics.event_gap if run.events else self._metrics.first_event
        metric.observe(now - run.last_event_at)
        self.scheduler.record_event(open_item, now)

    def _host_of(self, open_item: OpenItem) -> str:
        record = self._book.jobs.get(open_item.key[0])
        return record.submission.host if record is not None else ""

    def _stop_run(self, open_item: OpenItem, reason: str, avoid: bool = False) -> None:
        """Closes the sampler's connection; the text so far is kept."""
        connection = self._connections.pop(open_item.key, None)
        if connection is not None:
            connection.close()
        run = open_item.run
        if run is not None:
            self._metrics.runs_stopped.labels(reason).inc()
            self._log.emit(
                LogEvent.ITEM_STOPPED,
                {
                    "item": open_item.item.item_id,
                    "job": open_item.key[0],
                    "sampler": run.sampler_id,
                    "events": len(open_item.partial.parts),
                    "events_left": round(self.scheduler.events_left(open_item)),
                    "event_ms": round(self.scheduler.pace(run.sampler_id).interval_s * 1000),
                    "silent_ms": round((steady_time() - run.last_event_at) * 1000),
                    "reason": reason,
                },
            )
        self.scheduler.run_ended(open_item, avoid)

    def _ended(
        self, start: StartRun, entry: SamplerEntry, outcome: RunOutcome, detail: str
    ) -> None:
        open_item = start.item
        sampler_id = start.sampler_id
        if open_item.run is not start.run:
            # It was stopped before: its text is not the item's any more.
            return
        connection = self._connections.pop(open_item.key, None)
        now = steady_time()
        failed = outcome in (RunOutcome.FAILED, RunOutcome.BROKEN, RunOutcome.REFUSED)
        self.scheduler.run_ended(open_item, avoid=failed)
        if connection is not None:
            if outcome in (RunOutcome.TOO_OLD, RunOutcome.BROKEN):
                connection.close()
            else:
                asyncio.get_running_loop().call_soon(self._pool.release, sampler_id, connection)
        self._metrics.runs_ended.labels(outcome.value).inc()
        if outcome is RunOutcome.WHOLE:
            self._samplers.answered(sampler_id)
            self._suspects.answered(open_item)
            open_item.partial.whole = True
            self._text_whole(open_item)
            return
        self._note_run(open_item, sampler_id, outcome, detail)
        open_item.not_before = now + RETRY_S
        if outcome is RunOutcome.BROKEN:
            self._suspects.broke_off(open_item, entry, now - start.run.started_at)
        if outcome is RunOutcome.REFUSED:
            self.scheduler.pace(sampler_id).refused_until = now + REFUSED_PAUSE_S
        elif outcome is RunOutcome.MISDIRECTED:
            self._samplers.mark_leaving(sampler_id)
        elif outcome is RunOutcome.FAILED:
            open_item.failures += 1
            if open_item.failures >= open_item.max_attempts:
                self._finish(open_item, ItemState.GIVEN_UP, f"{open_item.failures} failed runs")
        elif outcome is RunOutcome.IMPOSSIBLE:
            open_item.rejections += 1
            if open_item.rejections >= IMPOSSIBLE_ATTEMPTS:
                self._finish(open_item, ItemState.GIVEN_UP, "the sampler says it can't be done")
        self._step_soon()

    def _note_run(
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

    def _step_soon(self) -> None:
        asyncio.get_running_loop().call_later(STEP_SOON_S, self.step)

    # Results.

    def _text_whole(self, open_item: OpenItem) -> None:
        """The text ends here: it is listed, or saved until its score has come."""
        if self.scheduler.items.get(open_item.key) is not open_item:
            # Its job has ended, or another leader has listed it.
            return
        reward = open_item.item.reward
        if reward is None:
            self._finish(open_item, ItemState.SUCCEEDED, "")
            return
        self._writer.save_whole(open_item)
        self._rewards.ask(open_item, reward)

    def scored(self, open_item: OpenItem, score: str) -> None:
        """The score of a whole text has come."""
        self._finish(open_item, ItemState.SUCCEEDED, "", score)

    def not_scored(self, open_item: OpenItem, reason: str) -> None:
        """A whole text gets no score."""
        self._finish(open_item, ItemState.GIVEN_UP, reason)

    def _finish(self, open_item: OpenItem, state: ItemState, reason: str, score: str = "") -> None:
        if open_item.run is not None:
            self._stop_run(open_item, reason)
        self._rewards.drop(open_item.key)
        open_item.finished = True
        succeeded = state is ItemState.SUCCEEDED
        result = FinishedItem(
            open_item.item.item_id,
            state,
            open_item.saved_parts if succeeded else 0,
            open_item.partial.parts[open_item.saved_parts :] if succeeded else [],
            list(open_item.partial.versions) if succeeded else [],
            score,
        )
        if not succeeded:
            self._log.emit(
                LogEvent.ITEM_GIVEN_UP,
                {
                    "item": result.item_id,
                    "job": open_item.key[0],
                    "reason": reason,
                    "failures": open_item.failures,
                },
            )
        self._writer.list_result(open_item.key[0], result)

    async def _load(self, load: Load) -> None:
        await self._loader.load(load)
        self._step_soon()

    def expired(self, retention_s: float) -> list[ForgetJob]:
        """Commands that drop jobs nobody may ask for any more."""
        now = steady_time()
        return [
            ForgetJob(job_id)
            for job_id, adopted_at in self._adopted.items()
            if now - adopted_at > retention_s
            and job_id in self._book.jobs
            and not self._book.jobs[job_id].is_open
        ]
