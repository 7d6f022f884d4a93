"""The ledger node process: a ledger replica and, while it leads, job execution and orders."""

from __future__ import annotations

import asyncio
import random
import time

from prometheus_client import CollectorRegistry
from tornado.httpserver import HTTPServer

from stileloom.api.dialect import Dialect
from stileloom.api.object_store import ObjectStore
from stileloom.api.sampler_directory import SamplerEntry
from stileloom.background import BackgroundTasks, Ticker
from stileloom.clock import steady_time
from stileloom.daemon.cached_store import CachedObjectStore
from stileloom.daemon.directory import Directory
from stileloom.daemon.leader_duties import DutyDependencies
from stileloom.daemon.leadership import RETENTION_MARGIN_S, Leadership
from stileloom.daemon.ledger_driver import LedgerDriver
from stileloom.daemon.ledger_start import PeerDiscovery, open_ledger_with_retry
from stileloom.daemon.metrics_server import start_metrics_server
from stileloom.daemon.process_metrics import ProcessMetrics
from stileloom.daemon.signals import handle_signals
from stileloom.daemon.store_cache import StoreCache
from stileloom.decisions import DecisionLog
from stileloom.duties.lost_fences import LostFences
from stileloom.duties.metrics import DutyMetrics
from stileloom.events import LogEvent
from stileloom.http1.response_memory import ResponseMemory
from stileloom.jobs.job_admission import JobAdmission
from stileloom.jobs.job_ages import JobAges
from stileloom.jobs.metrics import JobMetrics
from stileloom.jobs.service import JobService
from stileloom.ledger import LedgerReplica
from stileloom.ledger.commands import Command, CommandResult, Voter
from stileloom.ledger.order_windows import OrderWindows
from stileloom.ledger.state import LedgerState
from stileloom.ledger.wire import Sender
from stileloom.load import LoadView
from stileloom.load.exchange import LoadShareService
from stileloom.load.messages import LoadShared, ShareLoadCall
from stileloom.load.metrics import LoadMetrics
from stileloom.logging import EventLog
from stileloom.metering.window_clock import WindowClock
from stileloom.proxy.forwarder import Forwarder
from stileloom.proxy.metrics import AttemptMetrics
from stileloom.proxy.sampler_access import SamplerAccess
from stileloom.quarantine.admission import UnrestrictedGuard
from stileloom.quarantine.authority import QuarantineService
from stileloom.quarantine.book import QuarantineRegistry
from stileloom.service_settings import ServiceSettings
from stileloom.settings_file import split_address
from stileloom.transport.cache_messages import ReadObjectsCall
from stileloom.transport.call_frames import Reply, Request
from stileloom.transport.calls import CallServer

STEP_INTERVAL_S = 0.1
LEADERSHIP_TRANSFER_S = 0.3
"""How long this node stays up to vote in the election of its successor."""


class LedgerNode:
    """The components of a ledger node process."""

    def __init__(self, settings: ServiceSettings, store: ObjectStore, dialect: Dialect) -> None:
        self._settings = settings
        self._store = store
        self._dialect = dialect
        self._rng = random.Random()
        self._log = EventLog(settings.node_id)
        self._metrics_registry = CollectorRegistry()
        self._metrics = JobMetrics(self._metrics_registry)
        self._decisions = DecisionLog()
        self._duty_dependencies = DutyDependencies(
            DutyMetrics(self._metrics_registry),
            LostFences(),
            WindowClock(settings.usage_window_s) if settings.usage_window_s else None,
        )
        process_metrics = ProcessMetrics(self._metrics_registry, self._log)
        self._cached_store = CachedObjectStore(
            store,
            settings.peer_call_addresses,
            dialect.kinds.ledger_nodes,
            settings.bounds,
            self._log,
            self._rng,
            process_metrics,
        )
        self._store_cache = StoreCache(store, settings.bounds, self._log, self._rng)
        switches = settings.switches
        reader = self._cached_store if switches.store_cache else store
        self._directory = Directory(
            reader, dialect, settings.bounds, self._log, self._rng, process_metrics
        )
        attempt_metrics = AttemptMetrics(self._metrics_registry)
        self._quarantine_service = QuarantineService(self, self._log)
        self._load = LoadView(self._directory.samplers.entry_of)
        self._load_metrics = LoadMetrics(self._metrics_registry, self._load)
        self._load_sharing = LoadShareService(self._load, self._directory.samplers.entry_of)
        access = SamplerAccess(
            settings.zone,
            self._directory.samplers,
            dialect.names,
            self._log,
            attempt_metrics,
            self._rng,
            UnrestrictedGuard(),
            load=self._load,
            response_memory=ResponseMemory.of_process(settings.limits.memory_mb),
        )
        self._forwarder = Forwarder(access, switches.hedging, self._uses_admission_queue)
        self._directory.on_sampler_listed = self._on_sampler_listed
        self._directory.on_sampler_unlisted = self._on_sampler_unlisted
        self._stopping = asyncio.Event()
        self._reported_voters: list[Voter] = []
        self._order_windows = OrderWindows()
        self._job_ages = JobAges()
        self._ticker = Ticker(self._step, STEP_INTERVAL_S)
        self._driver: LedgerDriver | None = None
        self._service: JobService | None = None
        self._leadership: Leadership | None = None
        self._call_server: CallServer | None = None
        self._metrics_server: HTTPServer | None = None
        self._tasks = BackgroundTasks(self._log)

    async def run(self) -> None:
        """Serves until `stop` is called."""
        await self._start()
        await self._stopping.wait()
        self._log.emit(LogEvent.DRAIN_STARTED, {"leading": self.is_leading()})
        self._ticker.stop()
        self._stop_leading("stopped")
        if self._driver is not None:
            self._driver.transfer_leadership()
            await asyncio.sleep(LEADERSHIP_TRANSFER_S)
        self.abort()
        self._log.emit(LogEvent.NODE_STOPPED, {})

    async def _start(self) -> None:
        settings = self._settings
        kinds = self._dialect.kinds
        opened = await open_ledger_with_retry(settings, self._store, kinds.voter_set, self._log)
        replica = LedgerReplica(
            opened.identity,
            opened.recovered,
            self._rng,
            steady_time(),
            settings.voters,
            settings.switches,
        )
        local_sender = Sender(settings.node_id, *split_address(settings.ledger))
        seeds = [split_address(peer) for peer in settings.peers]
        compress = settings.switches.compressed_frames
        driver = LedgerDriver(
            replica, opened.storage, local_sender, seeds, self._log, self._metrics, compress
        )
        self._metrics.observe_replica(
            self.is_leading,
            lambda: replica.epoch,
            lambda: replica.commit_index,
            lambda: replica.follower_lag,
            lambda: len(replica.voters),
        )
        self._driver = driver
        self._duty_dependencies.metrics.observe_unsent(lambda: len(driver.state.usage.unsent))
        self._service = JobService(
            _CallAddressLedger(driver, settings.calls_port),
            self._quarantine_service,
            JobAdmission(
                settings.limits,
                settings.bounds.job_retention_s + RETENTION_MARGIN_S,
                self._has_tenants,
            ),
            self._job_ages,
            self._log,
            self._metrics,
            self._decisions,
        )
        self._call_server = CallServer(self._handle_call, compress)
        await self._call_server.start(settings.listen_host, settings.calls_port)
        await driver.start(settings.listen_host)
        if settings.metrics_port:
            self._metrics_server = start_metrics_server(
                self._metrics_registry,
                settings.listen_host,
                settings.metrics_port,
                self._log,
                self._decisions,
            )
        self._directory.start()
        discovery = PeerDiscovery(settings, self._store, kinds.ledger_nodes, driver, self._log)
        self._tasks.spawn(discovery.run())
        self._ticker.start()
        self._log.emit(
            LogEvent.NODE_STARTED,
            {"role": "ledger", "zone": settings.zone, "voter": replica.is_voter},
        )

    def _uses_admission_queue(self, service: str, now: float) -> bool:
        return self._has_tenants() or self._load.is_in_use(service, now)

    def _has_tenants(self) -> bool:
        return self._directory.routes.keys is not None

    async def _handle_call(self, request: Request) -> Reply:
        if isinstance(request, ReadObjectsCall):
            return await self._store_cache.read(request)
        if isinstance(request, ShareLoadCall):
            return self._share_load(request)
        assert self._service is not None
        return await self._service.handle(request)

    def _share_load(self, call: ShareLoadCall) -> LoadShared:
        now = steady_time()
        outcome = "served" if self._load_sharing.accepts_readings(now) else "ignored_after_stall"
        self._load_metrics.exchanges.labels(outcome).inc()
        return self._load_sharing.handle(call, now)

    def stop(self) -> None:
        """Requests a graceful shutdown, which transfers leadership first."""
        self._stopping.set()

    def reload(self) -> None:
        """Logs the request; all settings of this process are fixed at startup."""
        self._log.emit(LogEvent.SETTINGS_RELOADED, {})

    def is_leading(self) -> bool:
        """Whether this node executes the work of the leader, as updated by the last step."""
        return self._leadership is not None

    def is_voter(self) -> bool:
        """Whether this node and its current disk are in the voter set."""
        return self._driver is not None and self._driver.replica.is_voter

    def voter_names(self) -> list[str]:
        """Returns the node ids of the voter set known to this node."""
        if self._driver is None:
            return []
        return [voter.node_id for voter in self._driver.replica.voters]

    def abort(self) -> None:
        """Stops immediately; acknowledged writes are already durable."""
        self._ticker.stop()
        self._tasks.cancel()
        self._stop_leading("stopped")
        if self._call_server is not None:
            self._call_server.stop()
        if self._metrics_server is not None:
            self._metrics_server.stop()
        if self._driver is not None:
            self._driver.stop()
        self._directory.stop()
        self._store_cache.stop()
        self._cached_store.close()

    # Leadership.

    def _step(self) -> None:
        assert self._driver is not None
        self._store_cache.evict_idle()
        self._load_sharing.step(steady_time())
        if self._duty_dependencies.window_clock is not None:
            self._duty_dependencies.window_clock.observe(steady_time(), time.time())
        self._order_windows.observe(self._driver.state.order_windows, steady_time())
        self._job_ages.observe(self._driver.state.job_book, steady_time())
        is_active = self._driver.is_active_leader()
        if self._leadership is not None:
            same_epoch = self._leadership.epoch == self._driver.replica.epoch
            if not is_active or not same_epoch:
                self._stop_leading("lease expired or epoch changed")
        if is_active and self._leadership is None:
            self._start_leading(self._driver)
        voters = self._driver.replica.voters
        if voters != self._reported_voters:
            self._reported_voters = list(voters)
            names = [voter.node_id for voter in voters]
            self._log.emit(LogEvent.VOTERS_CHANGED, {"voters": names})
        self._quarantine_service.step()
        if self._leadership is not None:
            self._leadership.runner.step()

    def is_active_leader(self) -> bool:
        """Whether this node's replica leads and holds its lease now."""
        return self._driver is not None and self._driver.is_active_leader()

    def quarantine(self) -> QuarantineRegistry:
        """Returns the quarantine registry in the state that this replica has applied."""
        return self._driver.state.quarantine if self._driver is not None else QuarantineRegistry()

    async def propose(self, command: Command) -> CommandResult:
        """Commits a command."""
        assert self._driver is not None
        return await self._driver.propose(command)

    def _start_leading(self, driver: LedgerDriver) -> None:
        assert self._service is not None
        self._leadership = Leadership(
            self._settings,
            self._store,
            self._dialect,
            driver,
            self._job_ages,
            self._directory,
            self._forwarder,
            self._quarantine_service,
            self._log,
            self._metrics,
            self._rng,
            self._earliest_order_at(driver.state),
            self._duty_dependencies,
            self._decisions,
        )
        self._service.usage = self._leadership.duties.usage
        self._service.runner = self._leadership.runner
        self._log.emit(LogEvent.CONTROLLER_STARTED, {"epoch": self._leadership.epoch})

    def _earliest_order_at(self, state: LedgerState) -> float:
        lease_s = self._settings.bounds.order_lease_s
        if not self._settings.switches.order_windows:
            return steady_time() + lease_s
        node_id = self._settings.node_id
        return self._order_windows.earliest_order_at(state.last_order_holder, node_id, lease_s)

    def _stop_leading(self, reason: str) -> None:
        if self._leadership is None:
            return
        self._leadership.stop()
        self._leadership = None
        if self._service is not None:
            self._service.runner = None
            self._service.usage = None
        self._log.emit(LogEvent.CONTROLLER_STOPPED, {"reason": reason})

    def _on_sampler_listed(self, entry: SamplerEntry) -> None:
        self._load.on_listed(entry)
        self._load_sharing.receiver.on_listed(entry, steady_time())
        if self._leadership is not None:
            self._leadership.runner.on_sampler_listed(entry.sampler_id, entry.model_versions)

    def _on_sampler_unlisted(self, sampler_id: str) -> None:
        self._load.remove(sampler_id)
        self._forwarder.close_connections(sampler_id)
        if self._leadership is not None:
            self._leadership.runner.on_sampler_removed(sampler_id)


class _CallAddressLedger:
    """The ledger as the job service uses it: the leader's address is that for calls."""

    def __init__(self, driver: LedgerDriver, calls_port: int) -> None:
        self._driver = driver
        self._calls_port = calls_port

    @property
    def state(self) -> LedgerState:
        """The replicated state."""
        return self._driver.state

    def is_active_leader(self) -> bool:
        """Whether this replica leads."""
        return self._driver.is_active_leader()

    def leader_address(self) -> tuple[str, int] | None:
        """Returns the call address of the last known leader."""
        address = self._driver.leader_address()
        return (address[0], self._calls_port) if address is not None else None

    def report_damage(self, detail: str) -> None:
        """Hands the lead over."""
        self._driver.report_damage(detail)

    async def propose(self, command: Command) -> CommandResult:
        """Commits a command."""
        return await self._driver.propose(command)


async def serve_ledger_node(
    settings: ServiceSettings, store: ObjectStore, dialect: Dialect
) -> None:
    """Runs a ledger node until it is stopped by a signal."""
    node = LedgerNode(settings, store, dialect)
    handle_signals(node)
    await node.run()
