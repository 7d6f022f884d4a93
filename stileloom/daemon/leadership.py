"""The work of the ledger leader: job items, weight versions, expiry and removal of nodes."""

from __future__ import annotations

import asyncio
import contextlib
import random

from stileloom.api.dialect import Dialect
from stileloom.api.duties import DutyHolder
from stileloom.api.object_store import ObjectEvent, ObjectRecord, ObjectStore
from stileloom.background import BackgroundTasks
from stileloom.daemon.directory import Directory
from stileloom.daemon.leader_duties import DutyDependencies, LeaderDuties
from stileloom.daemon.ledger_driver import LedgerDriver
from stileloom.daemon.object_watch import ObjectWatcher
from stileloom.decisions import NO_DECISIONS, DecisionRecorder
from stileloom.errors import StileloomError
from stileloom.events import LogEvent
from stileloom.jobs.job_ages import JobAges
from stileloom.jobs.metrics import JobMetrics
from stileloom.jobs.runner import JobRunner, RunnerDependencies
from stileloom.ledger.commands import RetireNode
from stileloom.logging import EventLog
from stileloom.proxy.forwarder import Forwarder
from stileloom.quarantine.authority import QuarantineService
from stileloom.service_settings import ServiceSettings

VERSIONS_BATCH_DELAY_S = 0.1
REMOVALS_BATCH_DELAY_S = 0.5
REMOVALS_INTERVAL_S = 0.2
EXPIRY_INTERVAL_S = 10.0
RETENTION_MARGIN_S = 5.0


class Leadership:
    """One term of leadership; all state is in memory."""

    def __init__(
        self,
        settings: ServiceSettings,
        store: ObjectStore,
        dialect: Dialect,
        driver: LedgerDriver,
        job_ages: JobAges,
        directory: Directory,
        forwarder: Forwarder,
        quarantine: QuarantineService,
        log: EventLog,
        metrics: JobMetrics,
        rng: random.Random,
        earliest_order_at: float,
        duty_dependencies: DutyDependencies,
        decisions: DecisionRecorder = NO_DECISIONS,
    ) -> None:
        self.epoch = driver.replica.epoch
        self.runner = JobRunner(
            RunnerDependencies(
                node_id=settings.node_id,
                epoch=self.epoch,
                earliest_order_at=earliest_order_at,
                registry=driver.state.job_book,
                job_ages=job_ages,
                ledger=driver,
                routes=directory.routes,
                samplers=directory.samplers,
                forwarder=forwarder,
                dialect=dialect,
                log=log,
                metrics=metrics,
                switches=settings.switches,
                decisions=decisions,
            )
        )
        self._retention_s = settings.bounds.job_retention_s + RETENTION_MARGIN_S
        self._store = store
        self._dialect = dialect
        self._driver = driver
        self._quarantine_service = quarantine
        self._log = log
        self._removal_finished: dict[str, bool] = {}
        """Whether the removal has been reported as finished, by node id."""
        for tracked in directory.samplers.all():
            self.runner.on_sampler_listed(tracked.entry.sampler_id, tracked.entry.model_versions)
        kinds = dialect.kinds
        versions = ObjectWatcher(
            store,
            kinds.versions,
            self._versions_listed,
            self._version_changed,
            VERSIONS_BATCH_DELAY_S,
            log,
            rng,
        )
        removals = ObjectWatcher(
            store,
            kinds.removals,
            self._removals_listed,
            self._removal_changed,
            REMOVALS_BATCH_DELAY_S,
            log,
            rng,
        )
        self._tasks = BackgroundTasks(log)
        self.duties = LeaderDuties(
            settings,
            DutyHolder(settings.node_id, self.epoch),
            earliest_order_at,
            driver,
            directory,
            self.runner.scheduler,
            dialect,
            log,
            duty_dependencies,
        )
        for work in (versions.run(), removals.run(), self._run_removals(), self._run_expiry()):
            self._tasks.spawn(work)

    def stop(self) -> None:
        """Stops all work of this term."""
        self._tasks.cancel()
        self.duties.stop()
        self.runner.stop()

    # Versions.

    def _versions_listed(self, records: list[ObjectRecord]) -> None:
        for record in records:
            self._handle_version(record)
        self.runner.on_versions_listed()

    def _version_changed(self, event: ObjectEvent) -> None:
        if not event.gone:
            self._handle_version(event.record)

    def _handle_version(self, record: ObjectRecord) -> None:
        try:
            decoded = self._dialect.decode_version(record.spec)
        except StileloomError as error:
            fields: dict[str, object] = {"name": record.name, "detail": error.detail}
            self._log.emit(LogEvent.OBJECT_NOT_UNDERSTOOD, {"what": "version", **fields})
            return
        self.runner.on_version_announced(decoded.model, decoded.version)

    # Expiry.

    async def _run_expiry(self) -> None:
        while True:
            await asyncio.sleep(EXPIRY_INTERVAL_S)
            for command in self.runner.retention_commands(self._retention_s):
                try:
                    await self._driver.propose(command)
                except StileloomError:
                    break
            with contextlib.suppress(StileloomError):
                # Leadership was lost: the next leader repeats the expiry.
                await self._quarantine_service.remove_expired()

    # Node removals.

    def _removals_listed(self, records: list[ObjectRecord]) -> None:
        for record in records:
            self._handle_removal(record)

    def _removal_changed(self, event: ObjectEvent) -> None:
        if not event.gone:
            self._handle_removal(event.record)

    def _handle_removal(self, record: ObjectRecord) -> None:
        finished = record.status == self._dialect.removal_status(finished=True)
        if record.name not in self._removal_finished:
            self._log.emit(LogEvent.LEDGER_NODE_RETIRING, {"retiring": record.name})
        self._removal_finished[record.name] = finished or self._removal_finished.get(
            record.name, False
        )

    async def _run_removals(self) -> None:
        """Retires nodes from the voter set, then reports their removal as finished."""
        while True:
            await asyncio.sleep(REMOVALS_INTERVAL_S)
            for node_id, finished in list(self._removal_finished.items()):
                if finished:
                    continue
                try:
                    await self._retire(node_id)
                except StileloomError:
                    # The object store or the majority is unavailable: retry at the next interval.
                    continue

    async def _retire(self, node_id: str) -> None:
        kind = self._dialect.kinds.removals
        if node_id not in self._driver.state.retired_nodes:
            await self._driver.propose(RetireNode(node_id))
            running = self._dialect.removal_status(finished=False)
            await self._store.write_status(kind, node_id, running)
        if self._has_left_voter_set(node_id):
            # With this second entry the remaining voters store that the voter change is committed;
            # they may have to continue without the retired node.
            await self._driver.propose(RetireNode(node_id))
            finished = self._dialect.removal_status(finished=True)
            await self._store.write_status(kind, node_id, finished)
            self._removal_finished[node_id] = True

    def _has_left_voter_set(self, node_id: str) -> bool:
        """Whether a committed change has removed the node from the voter set."""
        in_applied_state = {voter.node_id for voter in self._driver.state.voters}
        in_log = {voter.node_id for voter in self._driver.replica.voters}
        return node_id not in in_applied_state | in_log and self._driver.is_active_leader()
