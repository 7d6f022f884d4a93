"""The ledger process: a replica, and while it leads, the runs of items and the orders."""

from __future__ import annotations

import asyncio
import random
import signal
import time
import uuid
from collections.abc import Callable, Coroutine
from pathlib import Path

import msgspec
from prometheus_client import CollectorRegistry
from tornado.ioloop import PeriodicCallback

from stileloom.api.dialect import Dialect
from stileloom.api.object_store import ObjectEvent, ObjectRecord, ObjectStore
from stileloom.api.sampler_directory import SamplerEntry
from stileloom.daemon.directory import Directory
from stileloom.daemon.ledger_driver import LedgerDriver
from stileloom.daemon.metrics_server import make_metrics_server
from stileloom.daemon.object_watch import ObjectWatcher
from stileloom.errors import ErrorKind, StileloomError
from stileloom.events import LogEvent
from stileloom.jobs.metrics import JobMetrics
from stileloom.jobs.runner import JobRunner
from stileloom.jobs.service import JobService
from stileloom.ledger import LedgerReplica, fresh_ledger
from stileloom.ledger.bootstrap import VoterSetRecord, enter_voter_set
from stileloom.ledger.commands import Command, CommandResult, RetireNode, Voter
from stileloom.ledger.replica import RecoveredLedger
from stileloom.ledger.state import LedgerState
from stileloom.ledger.storage import LedgerStorage
from stileloom.ledger.wire import Sender
from stileloom.logging import EventLog
from stileloom.service_settings import ServiceSettings
from stileloom.settings_file import split_address
from stileloom.transport.calls import CallServer

VOTER_SET_NAME = "ledger"
BOOTSTRAP_RETRY_S = 0.2
REGISTER_INTERVAL_S = 0.7
STEP_MS = 100.0
VERSIONS_PAUSE_S = 0.1
REMOVALS_PAUSE_S = 0.5
EXPIRE_INTERVAL_S = 10.0
RETENTION_MARGIN_S = 30.0


class LedgerNode:
    """All parts of a ledger process."""

    def __init__(self, settings: ServiceSettings, store: ObjectStore, dialect: Dialect) -> None:
        self._settings = settings
        self._store = store
        self._dialect = dialect
        self._rng = random.Random()
        self._log = EventLog(settings.node_id)
        self._registry = CollectorRegistry()
        self._metrics = JobMetrics(self._registry)
        self._directory = Directory(store, dialect, settings.bounds, self._log, self._rng)
        self._directory.on_sampler = self._sampler_seen
        self._directory.on_sampler_gone = self._sampler_gone
        self._versions: dict[str, int] = {}
        self._removals: dict[str, bool] = {}
        """Nodes to be emptied, and whether the end was written."""
        self._stopping = asyncio.Event()
        self._next_expiry_at = 0.0
        self._tasks: set[asyncio.Task[None]] = set()
        self._leader_tasks: list[asyncio.Task[None]] = []
        self._voters_told: list[Voter] = []
        self._driver: LedgerDriver
        self._service: JobService

    async def run(self) -> None:
        """Serves until SIGTERM."""
        settings = self._settings
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self._stopping.set)
        loop.add_signal_handler(
            signal.SIGHUP, lambda: self._log.emit(LogEvent.SETTINGS_RELOADED, {})
        )
        storage = LedgerStorage(Path(settings.data_folder))
        identity, recovered = await self._recover(storage)
        replica = LedgerReplica(identity, recovered, self._rng, time.monotonic(), settings.voters)
        host, port = split_address(settings.ledger)
        me = Sender(settings.node_id, host, port)
        seeds = [split_address(peer) for peer in settings.peers]
        self._driver = LedgerDriver(replica, storage, me, seeds, self._log)
        self._service = JobService(_CallsLedger(self._driver, settings.calls_port), self._log)
        calls = CallServer(self._service.handle)
        await calls.start(settings.host, settings.calls_port)
        await self._driver.start()
        metrics = None
        if settings.metrics_port:
            metrics = make_metrics_server(self._registry)
            metrics.listen(settings.metrics_port, address=settings.host)
        self._directory.start()
        self._spawn(self._follow_peers(identity))
        ticker = PeriodicCallback(self._step, STEP_MS)
        ticker.start()
        self._log.emit(
            LogEvent.NODE_STARTED,
            {"role": "ledger", "zone": settings.zone, "voter": replica.is_voter},
        )
        await self._stopping.wait()
        self._log.emit(LogEvent.DRAIN_STARTED, {"leading": self._service.runner is not None})
        ticker.stop()
        self._stop_leading("stopped")
        calls.stop()
        self._driver.stop()
        self._directory.stop()
        self._log.emit(LogEvent.NODE_STOPPED, {})

    def _spawn(self, coroutine: Coroutine[None, None, None]) -> None:
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    # Start.

    async def _recover(self, storage: LedgerStorage) -> tuple[Voter, RecoveredLedger]:
        """The ledger of this disk; at the deployment's first start the voters agree first.

        A disk that is empty later is a learner without a voter set: it waits for a leader.
        """
        identity = storage.read_identity()
        recovered = storage.recover()
        if identity is None:
            identity = Voter(self._settings.node_id, uuid.uuid4().hex)
            storage.write_identity(identity)
        if recovered is not None:
            return identity, recovered
        voters: list[Voter] = []
        if self._settings.first_start:
            voters = (await self._agree_on_voters(identity)).voters
        if identity not in voters:
            self._log.emit(LogEvent.VOTER_WITHOUT_DISK, {"disk": identity.disk_id})
        recovered = fresh_ledger(voters)
        storage.start_fresh(recovered)
        return identity, recovered

    async def _agree_on_voters(self, me: Voter) -> VoterSetRecord:
        kind = self._dialect.kinds.voter_set
        while True:
            try:
                record = await self._store.get_object(kind, VOTER_SET_NAME)
                current = (
                    msgspec.convert(record.spec, VoterSetRecord) if record is not None else None
                )
                if current is not None and current.sealed:
                    return current
                entered = enter_voter_set(current, me, self._settings.voters)
                if entered is not None:
                    spec = msgspec.to_builtins(entered)
                    if record is None:
                        await self._store.create_object(kind, VOTER_SET_NAME, spec)
                    else:
                        changed = msgspec.structs.replace(record, spec=spec)
                        await self._store.replace_object(kind, changed)
                    continue
            except StileloomError as error:
                # Down, or another node was first: look again.
                if error.kind not in (ErrorKind.PLATFORM_UNAVAILABLE, ErrorKind.CONFLICT):
                    raise
            await asyncio.sleep(BOOTSTRAP_RETRY_S)

    async def _follow_peers(self, identity: Voter) -> None:
        """Registers this node, and asks the store for the others while one is not known."""
        registered = False
        while True:
            try:
                if not registered or self._driver.misses_peers():
                    registered = await self._register(identity)
            except StileloomError as error:
                self._log.emit(
                    LogEvent.STORE_LOST, {"kind": "ledger nodes", "detail": error.detail}
                )
            await asyncio.sleep(REGISTER_INTERVAL_S)

    async def _register(self, identity: Voter) -> bool:
        """Learns the others; True once the own entry stands."""
        kind = self._dialect.kinds.ledger_nodes
        spec = {
            "ledger": self._settings.ledger,
            "calls": f"{self._settings.host}:{self._settings.calls_port}",
            "disk": identity.disk_id,
        }
        page = await self._store.list_objects(kind)
        self._learn_nodes(page.records)
        mine = [record for record in page.records if record.name == self._settings.node_id]
        if not mine:
            await self._store.create_object(kind, self._settings.node_id, spec)
        elif mine[0].spec != spec:
            changed = msgspec.structs.replace(mine[0], spec=spec)
            await self._store.replace_object(kind, changed)
        return True

    def _learn_nodes(self, records: list[ObjectRecord]) -> None:
        for record in records:
            if record.name != self._settings.node_id:
                self._driver.learn_address(record.name, split_address(record.spec["ledger"]))

    # Leadership.

    def _step(self) -> None:
        leads = self._driver.may_act()
        if leads and self._service.runner is None:
            self._start_leading()
        elif not leads and self._service.runner is not None:
            self._stop_leading("lease over")
        voters = self._driver.replica.voters
        if voters != self._voters_told:
            self._voters_told = list(voters)
            names = [voter.node_id for voter in voters]
            self._log.emit(LogEvent.VOTERS_CHANGED, {"voters": names})
        if self._service.runner is not None:
            self._service.runner.step()
            self._expire_jobs(self._service.runner)

    def _start_leading(self) -> None:
        epoch = self._driver.replica.epoch
        runner = JobRunner(
            self._settings.node_id,
            epoch,
            time.monotonic() + self._settings.bounds.order_lease_s,
            self._driver.state.job_book,
            self._driver,
            self._directory.routes,
            self._directory.samplers,
            self._dialect,
            self._log,
            self._metrics,
        )
        self._service.runner = runner
        for model, version in self._versions.items():
            runner.version_named(model, version)
        for service in self._directory.routes.services():
            for belief in self._directory.samplers.of_service(service.name):
                runner.sampler_seen(belief.entry.sampler_id, belief.entry.model_versions)
        kinds = self._dialect.kinds
        watchers = [
            self._watcher(
                kinds.versions, self._versions_listed, self._version_changed, VERSIONS_PAUSE_S
            ),
            self._watcher(
                kinds.removals, self._removals_listed, self._removal_changed, REMOVALS_PAUSE_S
            ),
        ]
        loop = asyncio.get_running_loop()
        self._leader_tasks = [loop.create_task(watcher.run()) for watcher in watchers]
        self._leader_tasks.append(loop.create_task(self._carry_out_removals()))
        self._log.emit(LogEvent.CONTROLLER_STARTED, {"epoch": epoch})

    def _watcher(
        self,
        kind: str,
        on_list: Callable[[list[ObjectRecord]], None],
        on_event: Callable[[ObjectEvent], None],
        pause_s: float,
    ) -> ObjectWatcher:
        return ObjectWatcher(
            self._store,
            kind,
            on_list,
            on_event,
            pause_s,
            self._log,
            self._rng,
        )

    def _stop_leading(self, reason: str) -> None:
        for task in self._leader_tasks:
            task.cancel()
        self._leader_tasks = []
        if self._service.runner is not None:
            self._service.runner.stop()
            self._service.runner = None
            self._log.emit(LogEvent.CONTROLLER_STOPPED, {"reason": reason})

    def _expire_jobs(self, runner: JobRunner) -> None:
        now = time.monotonic()
        if now < self._next_expiry_at:
            return
        self._next_expiry_at = now + EXPIRE_INTERVAL_S
        retention_s = self._settings.bounds.job_retention_s + RETENTION_MARGIN_S
        for command in runner.expired(retention_s):
            self._spawn(self._propose_quietly(command))

    async def _propose_quietly(self, command: Command) -> None:
        try:
            await self._driver.propose(command)
        except StileloomError:
            return

    # What the store tells.

    def _sampler_seen(self, entry: SamplerEntry) -> None:
        if self._service.runner is not None:
            self._service.runner.sampler_seen(entry.sampler_id, entry.model_versions)

    def _sampler_gone(self, sampler_id: str) -> None:
        if self._service.runner is not None:
            self._service.runner.sampler_gone(sampler_id)

    def _versions_listed(self, records: list[ObjectRecord]) -> None:
        for record in records:
            self._note_version(record)

    def _version_changed(self, event: ObjectEvent) -> None:
        if not event.gone:
            self._note_version(event.record)

    def _note_version(self, record: ObjectRecord) -> None:
        try:
            named = self._dialect.decode_version(record.spec)
        except StileloomError as error:
            fields: dict[str, object] = {"name": record.name, "detail": error.detail}
            self._log.emit(LogEvent.OBJECT_NOT_UNDERSTOOD, {"what": "version", **fields})
            return
        self._versions[named.model] = max(named.version, self._versions.get(named.model, 0))
        if self._service.runner is not None:
            self._service.runner.version_named(named.model, named.version)

    def _removals_listed(self, records: list[ObjectRecord]) -> None:
        for record in records:
            self._note_removal(record)

    def _removal_changed(self, event: ObjectEvent) -> None:
        if not event.gone:
            self._note_removal(event.record)

    def _note_removal(self, record: ObjectRecord) -> None:
        finished = record.status == self._dialect.removal_status(finished=True)
        if record.name not in self._removals:
            self._log.emit(LogEvent.LEDGER_NODE_RETIRING, {"retiring": record.name})
        self._removals[record.name] = finished or self._removals.get(record.name, False)

    async def _carry_out_removals(self) -> None:
        """Empties nodes one by one: out of the voter set first, then the status is written."""
        while True:
            await asyncio.sleep(0.2)
            for node_id, finished in list(self._removals.items()):
                if not finished:
                    try:
                        await self._remove(node_id)
                    except StileloomError:
                        continue

    async def _remove(self, node_id: str) -> None:
        kind = self._dialect.kinds.removals
        state = self._driver.state
        if node_id not in state.retired_nodes:
            await self._driver.propose(RetireNode(node_id))
            await self._store.write_status(
                kind, node_id, self._dialect.removal_status(finished=False)
            )
        if self._is_out(node_id):
            await self._store.write_status(
                kind, node_id, self._dialect.removal_status(finished=True)
            )
            self._removals[node_id] = True

    def _is_out(self, node_id: str) -> bool:
        """Whether the node has left the committed voter set."""
        in_state = {voter.node_id for voter in self._driver.state.voters}
        in_log = {voter.node_id for voter in self._driver.replica.voters}
        return node_id not in in_state | in_log and self._driver.may_act()


class _CallsLedger:
    """The ledger as the job service sees it: addresses are those for calls."""

    def __init__(self, driver: LedgerDriver, calls_port: int) -> None:
        self._driver = driver
        self._calls_port = calls_port

    @property
    def state(self) -> LedgerState:
        """The replicated state."""
        return self._driver.state

    def may_act(self) -> bool:
        """Whether this replica leads."""
        return self._driver.may_act()

    def leader_address(self) -> tuple[str, int] | None:
        """Where the leader takes calls."""
        address = self._driver.leader_address()
        return (address[0], self._calls_port) if address is not None else None

    async def propose(self, command: Command) -> CommandResult:
        """Commits a command."""
        return await self._driver.propose(command)


async def serve_ledger_node(
    settings: ServiceSettings, store: ObjectStore, dialect: Dialect
) -> None:
    """Runs a ledger node until it is told to stop."""
    await LedgerNode(settings, store, dialect).run()
