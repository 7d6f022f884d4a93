"""Runs the items of open jobs and orders weight loads; active only on the ledger's leader.

All state is in memory. A new leader rebuilds it from the jobs in the ledger, the samplers'
reports and the object store.
"""

from __future__ import annotations

import asyncio
import math
import traceback
from collections.abc import Callable

import msgspec

from stileloom.api.dialect import Dialect
from stileloom.api.jobs import FinishedItem, ItemState
from stileloom.api.routes import Service
from stileloom.api.sampler_directory import MAX_VERSION
from stileloom.background import MAX_TRACEBACK_LENGTH, BackgroundTasks
from stileloom.clock import steady_time
from stileloom.decisions import NO_DECISIONS, DecisionRecorder
from stileloom.events import LogEvent
from stileloom.fairness.order import MAX_AGING_S
from stileloom.fairness.tenant_load import largest_by_waiting
from stileloom.http1.pool import ConnectionPool
from stileloom.jobs.intake import item_size, reusable_results, saved_texts
from stileloom.jobs.item_runs import ItemRuns
from stileloom.jobs.item_waits import ItemWaits
from stileloom.jobs.job_ages import JobAges
from stileloom.jobs.job_terms import JobTerms, apply_terms, job_terms
from stileloom.jobs.leader_ledger import LeaderLedger
from stileloom.jobs.metrics import JobMetrics
from stileloom.jobs.open_items import (
    OpenItem,
    PlannedRun,
)
from stileloom.jobs.registry import JobRecord, JobRegistry
from stileloom.jobs.result_writer import ResultWriter
from stileloom.jobs.reward_caller import RewardCaller
from stileloom.jobs.scheduler import MAX_STARTS_PER_PASS, ItemScheduler
from stileloom.jobs.version_planner import Load, VersionPlanner
from stileloom.jobs.weight_loader import WeightLoader
from stileloom.ledger.commands import ForgetJob
from stileloom.logging import EventLog
from stileloom.proxy.forwarder import Forwarder
from stileloom.proxy.route_table import RouteTable
from stileloom.proxy.sampler_table import SamplerTable
from stileloom.switches import Switches

PROGRESS_SAVE_PERIOD_S = 0.25
EVENT_INTERVAL_SAVE_PERIOD_S = 2.0
"""Period at which the measured event intervals of samplers are saved for the next leader."""
JOB_AGE_SAVE_PERIOD_S = 2.0
"""Period at which the ages of open jobs are saved; a new leader's count may lack that much."""
TENANT_REPORT_PERIOD_S = 1.0
"""Period at which the metrics of tenants are set."""
TENANT_LOG_PERIOD_S = 10.0
START_DELAY_S = 0.2
VERSION_LIST_TIMEOUT_S = 0.6
"""Time after which a new leader orders loads even without the list of announced versions."""
STEP_DELAY_S = 0.005
MAX_MOVES_PER_STEP = 3


class RunnerDependencies(msgspec.Struct, frozen=True):
    """Dependencies of a runner and the parameters of its leadership."""

    node_id: str
    epoch: int
    earliest_order_at: float
    """Monotonic time from which orders are safe, because no earlier leader can still send any."""
    registry: JobRegistry
    job_ages: JobAges
    """Kept by the node across changes of leader."""
    ledger: LeaderLedger
    routes: RouteTable
    samplers: SamplerTable
    forwarder: Forwarder
    dialect: Dialect
    log: EventLog
    metrics: JobMetrics
    switches: Switches
    decisions: DecisionRecorder = NO_DECISIONS


class JobRunner:
    """Schedules and runs items during one leadership."""

    def __init__(self, dependencies: RunnerDependencies) -> None:
        registry, ledger, samplers = (
            dependencies.registry,
            dependencies.ledger,
            dependencies.samplers,
        )
        dialect, log, metrics, switches = (
            dependencies.dialect,
            dependencies.log,
            dependencies.metrics,
            dependencies.switches,
        )
        self.scheduler = ItemScheduler(
            samplers, registry.interval_s, switches, dependencies.forwarder.load
        )
        self.planner = VersionPlanner(self.scheduler, samplers, switches)
        self._switches = switches
        self._orders_allowed_at = dependencies.earliest_order_at
        self._registry = registry
        self._ledger = ledger
        self._routes = dependencies.routes
        self._samplers = samplers
        self._dialect = dialect
        self._log = log
        self._metrics = metrics
        self._pool = ConnectionPool()
        self._job_ages = dependencies.job_ages
        self._ending_jobs: set[str] = set()
        """Jobs whose end is proposed; leadership cannot outlast a proposal that is dropped."""
        self._stopped = False
        self._next_progress_save_at = 0.0
        self._next_event_interval_save_at = steady_time() + EVENT_INTERVAL_SAVE_PERIOD_S
        self._next_job_age_save_at = steady_time() + JOB_AGE_SAVE_PERIOD_S
        self._next_tenant_report_at = 0.0
        self._next_tenant_log_at = 0.0
        self._terms_version = 0
        """Version of the configuration from which the terms of open items were read."""
        self._terms: dict[str, JobTerms] = {}
        """Terms of each adopted job."""
        self._version_list_deadline = steady_time() + VERSION_LIST_TIMEOUT_S
        self._starts_allowed_at = steady_time() + START_DELAY_S
        """Delays the first runs, because samplers may be about to load weights."""
        self._tasks = BackgroundTasks(log)
        self._waits = ItemWaits(self.scheduler, log, metrics)
        self._runs = ItemRuns(
            self.scheduler,
            samplers,
            self._pool,
            dialect.names,
            self._host_of,
            self._is_active_leader,
            self,
            self._tasks,
            log,
            metrics,
            dependencies.forwarder.load,
            self._on_version_shown,
            dependencies.decisions,
        )
        self._writer = ResultWriter(
            registry, ledger, self.scheduler, self._tasks, log, metrics, self._schedule_step
        )
        self._loader = WeightLoader(
            dependencies.node_id,
            dependencies.epoch,
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
            dependencies.forwarder,
            dependencies.routes,
            samplers,
            dialect.names,
            self,
            log,
            metrics,
            self._is_active_leader,
        )

    def stop(self) -> None:
        """Closes all streams and cancels all tasks at the end of the leadership."""
        self._stopped = True
        self._metrics.set_tenant_loads([])
        self._runs.close()
        self._rewards.stop()
        self._tasks.cancel()
        self._writer.stop()

    # Notifications from the node.

    def on_version_announced(self, model: str, version: int) -> None:
        """Handles a version announced by a trainer."""
        if self.planner.set_target(model, version, steady_time()):
            self._log.emit(LogEvent.VERSION_NAMED, {"model": model, "version": version})

    def on_versions_listed(self) -> None:
        """Handles the end of the initial list of announced versions."""
        self._version_list_deadline = float("-inf")
        self._starts_allowed_at = float("-inf")
        self._schedule_step()

    def on_sampler_listed(self, sampler_id: str, versions: dict[str, int]) -> None:
        """Records the versions of a sampler that the directory lists."""
        self._loader.record_versions(sampler_id, versions)

    def _on_version_shown(self, sampler_id: str, model: str, version: int) -> None:
        """Records a version that the response to an item shows a sampler to have at least.

        The directory may know an older one: a sampler writes its entry some time after a load.
        """
        if version <= MAX_VERSION and self._samplers.get(sampler_id) is not None:
            self._loader.record_versions(sampler_id, {model: version})

    def on_sampler_removed(self, sampler_id: str) -> None:
        """Handles a sampler that is draining or gone; its runs continue while events arrive."""
        self._pool.close_connections(sampler_id)
        self._loader.remove_sampler(sampler_id)

    def stop_job(self, job_id: str) -> None:
        """Stops all work of a job whose end is about to be proposed."""
        self._ending_jobs.add(job_id)
        self._remove_ended_jobs()

    def wait_for_results(self, job_id: str) -> asyncio.Future[None]:
        """Returns a future that is resolved when the job has new results or has ended."""
        return self._writer.wait_for_results(job_id)

    def _is_active_leader(self) -> bool:
        """Whether this node is still the active leader.

        Checked before each send, because the process may have been suspended since its last step.
        """
        return not self._stopped and self._ledger.is_active_leader()

    # Scheduling loop.

    def step(self) -> None:
        """Applies changes of the job registry and starts due runs, loads and reward calls.

        Ended jobs are removed first. An internal error is logged and does not reach the caller,
        which may be the call that ends a job.
        """
        if not self._is_active_leader():
            return
        now = steady_time()
        self._remove_ended_jobs()
        self._job_ages.observe(self._registry, now)
        self._run_logged(self._apply_configuration)
        for record in list(self._registry.jobs.values()):
            if self._may_run(record):
                self._run_logged(self._adopt, record, now)
        self._run_logged(self._run_open_items, now)

    def _run_logged(self, action: Callable[..., None], *arguments: object) -> None:
        """Runs a part of a step, so that its internal error does not prevent the others."""
        try:
            action(*arguments)
        except Exception as error:
            trace = "".join(traceback.format_exception(error))[-MAX_TRACEBACK_LENGTH:]
            self._log.emit(LogEvent.INTERNAL_FAULT, {"error": repr(error), "trace": trace})

    def _apply_configuration(self) -> None:
        """Applies a changed configuration to the open items."""
        if self._terms_version == self._routes.version:
            return
        self._terms_version = self._routes.version
        self.scheduler.has_tenants = self._routes.keys is not None
        changed: set[str] = set()
        for job_id, former in self._terms.items():
            record = self._registry.jobs.get(job_id)
            terms = job_terms(self._routes, record.submission) if record is not None else None
            # Without its route a job keeps its terms.
            if terms is not None and terms != former:
                self._terms[job_id] = terms
                changed.add(job_id)
                self._log_changed_terms(job_id, former, terms)
        for open_item in self.scheduler.items.values():
            if open_item.key[0] in changed:
                apply_terms(open_item, self._terms[open_item.key[0]])

    def _log_changed_terms(self, job_id: str, former: JobTerms, terms: JobTerms) -> None:
        changes = {
            name: [getattr(former, name), getattr(terms, name)]
            for name in JobTerms.__struct_fields__
            if getattr(former, name) != getattr(terms, name)
        }
        fields = {"job": job_id, "configuration": self._routes.version, "changes": changes}
        self._log.emit(LogEvent.JOB_TERMS_CHANGED, fields)

    def _report_tenants(self, now: float) -> None:
        if not self.scheduler.has_tenants:
            self._metrics.set_tenant_loads([])
            return
        loads = self.scheduler.tenant_loads()
        self._metrics.set_tenant_loads(loads)
        if now < self._next_tenant_log_at:
            return
        for load in largest_by_waiting(loads):
            waited_s = now - load.waiting_since
            if waited_s < MAX_AGING_S:
                continue
            self._next_tenant_log_at = now + TENANT_LOG_PERIOD_S
            self._log.emit(
                LogEvent.TENANT_WAITING,
                {
                    "tenant": load.tenant,
                    "service": load.service,
                    "waiting": load.waiting,
                    "waited_ms": round(waited_s * 1000),
                    "priority": load.priority,
                    "share": round(load.share, 4),
                },
            )

    def _run_open_items(self, now: float) -> None:
        for open_item in list(self.scheduler.items.values()):
            if now >= open_item.deadline and not open_item.finished:
                self._finish(open_item, ItemState.GIVEN_UP, "out of time")
        for open_item in self.scheduler.unresponsive_runs(now):
            self._runs.stop(open_item, "silent", avoid=True)
            open_item.not_before = 0.0
        self._move_slow_runs(now)
        for service in self._routes.services():
            if service.engine is not None and service.engine.models:
                self._plan_service(now, service)
        self._rewards.step(now)
        self._metrics.items_open.set(len(self.scheduler.items))
        self._metrics.items_running.set(len(self._runs))
        self._waits.observe(now)
        if now >= self._next_progress_save_at:
            self._next_progress_save_at = now + PROGRESS_SAVE_PERIOD_S
            if self._switches.saved_events:
                self._writer.save_progress()
        if now >= self._next_tenant_report_at:
            self._next_tenant_report_at = now + TENANT_REPORT_PERIOD_S
            self._report_tenants(now)
        if now >= self._next_event_interval_save_at and self._switches.recorded_paces:
            self._next_event_interval_save_at = now + EVENT_INTERVAL_SAVE_PERIOD_S
            self._writer.record_intervals()
        if now >= self._next_job_age_save_at:
            self._next_job_age_save_at = now + JOB_AGE_SAVE_PERIOD_S
            self._record_job_ages(now)

    def _record_job_ages(self, now: float) -> None:
        ages = {
            job_id: math.floor(self._job_ages.age_s(job_id, now))
            for job_id, record in self._registry.jobs.items()
            if record.is_open
        }
        if ages:
            self._writer.record_ages(ages)

    def _move_slow_runs(self, now: float) -> None:
        """Moves slow runs, and restarts each at once so that no other item takes its new slot."""
        if not self._switches.moves:
            return
        starts: list[PlannedRun] = []
        for open_item in self.scheduler.slow_runs(now):
            sampler_id = self.scheduler.faster_sampler(open_item, now)
            if sampler_id is not None and len(starts) < MAX_MOVES_PER_STEP:
                self._runs.stop(open_item, "moved", avoid=True)
                starts.append(self.scheduler.start_on(open_item, sampler_id, now))
        self._runs.start(starts)

    def _plan_service(self, now: float, service: Service) -> None:
        assert service.engine is not None
        models = service.engine.models
        self.scheduler.cache_tokens[service.name] = service.engine.cache_tokens
        self.scheduler.assign_models(service.name, models)
        if now >= max(self._orders_allowed_at, self._version_list_deadline):
            single_version_models = {
                item.model for item in self.scheduler.items.values() if item.single_version
            }
            for load in self.planner.plan(now, service.name, models, single_version_models):
                for open_item in load.evacuate:
                    self._runs.stop(open_item, "the sampler loads")
                    open_item.not_before = 0.0
                self._tasks.spawn(self._load(load))
        if now >= self._starts_allowed_at:
            starts = self.scheduler.plan_starts(now, models)
            self._runs.start(starts)
            if len(starts) >= MAX_STARTS_PER_PASS:
                self._schedule_step()

    def _remove_ended_jobs(self) -> None:
        jobs = self._registry.jobs
        self._ending_jobs = {job for job in self._ending_jobs if job in jobs and jobs[job].is_open}
        for job_id in {job_id for job_id, _ in self.scheduler.items}:
            if job_id not in jobs or not self._may_run(jobs[job_id]):
                self._run_logged(self._remove_job, job_id)
        self._writer.notify_waiters_of_ended_jobs()

    def _may_run(self, record: JobRecord) -> bool:
        return record.is_open and record.submission.job_id not in self._ending_jobs

    def _adopt(self, record: JobRecord, now: float) -> None:
        submission = record.submission
        first_item_id = submission.items[0].item_id if submission.items else ""
        is_adopted = any(
            (submission.job_id, item.item_id) in self.scheduler.items for item in submission.items
        )
        if is_adopted or not first_item_id:
            return
        terms = job_terms(self._routes, submission)
        if terms is None:
            return
        self._terms[submission.job_id] = terms
        reusable = reusable_results(self._registry, record, terms.single_version)
        for finished in reusable:
            self._writer.queue_result(submission.job_id, finished)
        names = self._dialect.names
        items = self._registry.load_items(record)
        sizes = {item.item_id: item_size(item.headers, names) for item in items}
        self.planner.set_target(submission.model, submission.min_version, now)
        age_s = self._job_ages.age_s(submission.job_id, now)
        self.scheduler.adopt_job(
            record,
            items,
            terms,
            sizes,
            now,
            {finished.item_id for finished in reusable},
            saved_texts(self._registry, record) if self._switches.kept_texts else {},
            age_s,
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
                self.on_complete_text(open_item)

    def _remove_job(self, job_id: str) -> None:
        removed = self.scheduler.remove_job(job_id)
        self._terms.pop(job_id, None)
        if removed:
            self._metrics.job_time.observe(steady_time() - removed[0].adopted_at)
        for open_item in removed:
            self._run_logged(self._runs.stop, open_item, "job ended")
            self._rewards.cancel(open_item.key)
        self._writer.notify_waiters(job_id)

    def _schedule_step(self) -> None:
        asyncio.get_running_loop().call_later(STEP_DELAY_S, self.step)

    # Results.

    def _host_of(self, open_item: OpenItem) -> str:
        record = self._registry.jobs.get(open_item.key[0])
        return record.submission.host if record is not None else ""

    def on_complete_text(self, open_item: OpenItem) -> None:
        """Lists a complete text, or saves it and requests its score."""
        if self.scheduler.items.get(open_item.key) is not open_item:
            # The job has ended, or the result was listed by another leader.
            return
        if not self._is_acceptable(open_item):
            return
        reward = open_item.item.reward
        if reward is None:
            self._finish(open_item, ItemState.SUCCEEDED, "")
            return
        self._writer.queue_complete_text(open_item)
        self._rewards.request_score(open_item, reward)

    def _is_acceptable(self, open_item: OpenItem) -> bool:
        """Whether the versions of a complete text are those that its job accepts now.

        Otherwise the text is discarded, so that the item runs again.
        """
        partial = open_item.partial
        if partial.satisfies(open_item.min_version, open_item.single_version):
            return True
        fields = {
            "item": open_item.item.item_id,
            "job": open_item.key[0],
            "versions": list(partial.versions),
            "min_version": open_item.min_version,
            "single_version": open_item.single_version,
        }
        self._log.emit(LogEvent.ITEM_TEXT_DISCARDED, fields)
        open_item.discard_text()
        self._schedule_step()
        return False

    def on_run_limit(self, open_item: OpenItem, reason: str) -> None:
        """Gives up an item that has failed or been rejected as often as its route allows."""
        self._finish(open_item, ItemState.GIVEN_UP, reason)

    def on_slot_free(self) -> None:
        """Plans again soon, because a run has ended."""
        self._schedule_step()

    def on_scored(self, open_item: OpenItem, score: str) -> None:
        """Lists a complete text with its score."""
        if not self._is_acceptable(open_item):
            return
        self._finish(open_item, ItemState.SUCCEEDED, "", score)

    def on_reward_failed(self, open_item: OpenItem, reason: str) -> None:
        """Gives up an item whose reward call failed too often."""
        self._finish(open_item, ItemState.GIVEN_UP, reason)

    def _finish(self, open_item: OpenItem, state: ItemState, reason: str, score: str = "") -> None:
        if open_item.run is not None:
            self._runs.stop(open_item, reason)
        self._rewards.cancel(open_item.key)
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
        self._writer.queue_result(open_item.key[0], result)

    async def _load(self, load: Load) -> None:
        await self._loader.load(load)
        self._schedule_step()

    def retention_commands(self, retention_s: float) -> list[ForgetJob]:
        """Returns commands that remove jobs without open items after the retention period."""
        now = steady_time()
        return [
            ForgetJob(job_id)
            for job_id, record in self._registry.jobs.items()
            if not record.is_open
            and job_id in self._job_ages.accepted_at
            and self._job_ages.age_s(job_id, now) > retention_s
        ]
