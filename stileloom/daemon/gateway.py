"""The gateway process: forwards the requests of callers to samplers and ledger nodes."""

from __future__ import annotations

import asyncio
import random
from functools import partial

from prometheus_client import CollectorRegistry
from tornado.httpserver import HTTPServer

from stileloom.api.dialect import Dialect
from stileloom.api.object_store import ObjectRecord, ObjectStore
from stileloom.api.sampler_directory import SamplerEntry
from stileloom.background import BackgroundTasks, Ticker
from stileloom.callers.limits import MEGABYTE, CallerLimits
from stileloom.callers.metrics import CallerMetrics
from stileloom.clock import steady_time
from stileloom.daemon.cached_store import CachedObjectStore, ledger_node_addresses
from stileloom.daemon.caller_server import BACKLOG, CallerServer, resident_bytes
from stileloom.daemon.descriptors import listen_plainly, listen_sparingly
from stileloom.daemon.directory import Directory
from stileloom.daemon.drain import DrainSchedule
from stileloom.daemon.load_sharing import LoadSharing
from stileloom.daemon.metrics_server import start_metrics_server
from stileloom.daemon.process_metrics import ProcessMetrics
from stileloom.daemon.readiness import make_ready_server
from stileloom.daemon.signals import handle_signals
from stileloom.decisions import DecisionLog
from stileloom.errors import StileloomError
from stileloom.events import LogEvent
from stileloom.http1.response_memory import ResponseMemory
from stileloom.jobs.client import JobClient
from stileloom.jobs.leader_search import LedgerNodes
from stileloom.ledger.registration import read_registrations
from stileloom.load import LoadView
from stileloom.load.exchange import LoadExchange, ReadingReceiver
from stileloom.load.metrics import LoadMetrics
from stileloom.logging import EventLog
from stileloom.metering.meter import UsageMeter
from stileloom.metering.reporter import UsageReporter
from stileloom.proxy.forwarder import Forwarder
from stileloom.proxy.front import GatewayServer
from stileloom.proxy.job_calls import JobCalls
from stileloom.proxy.metrics import ProxyMetrics
from stileloom.proxy.sampler_access import SamplerAccess
from stileloom.proxy.stream_relay import StreamRelay
from stileloom.quarantine.guard import QuarantineGuard
from stileloom.quarantine.metrics import QuarantineMetrics
from stileloom.quarantine.remote_ledger import RemoteQuarantineLedger
from stileloom.service_settings import ServiceSettings
from stileloom.settings_file import split_address

DRAIN_POLL_S = 0.05
LEDGER_NODES_REFRESH_INTERVAL_S = 1.0
STALL_CHECK_INTERVAL_S = 0.1
QUARANTINE_LIST_TIMEOUT_S = 1.0
"""How long readiness waits for the list of quarantined requests, which a leader answers within some
50 ms. Afterwards the gateway becomes ready without it, because lookups must be served even when
there is no ledger leader."""
MAX_HEADER_BYTES = 65_536
IDLE_TIMEOUT_MARGIN_S = 2.0


class Gateway:
    """The components of a gateway process."""

    def __init__(self, settings: ServiceSettings, store: ObjectStore, dialect: Dialect) -> None:
        self._settings = settings
        self._dialect = dialect
        self._rng = random.Random()
        self._log = EventLog(settings.node_id)
        self._metrics_registry = CollectorRegistry()
        self.started = asyncio.Event()
        self._stopping = asyncio.Event()
        self._stopped_at = 0.0
        """When the drain was asked for, in monotonic seconds."""
        metrics = ProxyMetrics(self._metrics_registry)
        process_metrics = ProcessMetrics(self._metrics_registry, self._log)
        seeds = settings.peer_call_addresses
        self._cached_store = CachedObjectStore(
            store,
            seeds,
            dialect.kinds.ledger_nodes,
            settings.bounds,
            self._log,
            self._rng,
            process_metrics,
        )
        switches = settings.switches
        reader = self._cached_store if switches.store_cache else store
        self.directory = Directory(
            reader, dialect, settings.bounds, self._log, self._rng, process_metrics
        )
        self._ledger_nodes = LedgerNodes(seeds)
        self._jobs = JobClient(self._ledger_nodes, self._log, self._refresh_ledger_nodes)
        self._guard = QuarantineGuard(
            RemoteQuarantineLedger(self._jobs),
            self._log,
            QuarantineMetrics(self._metrics_registry),
            metrics.connection_opened,
        )
        self._usage_meter: UsageMeter | None = None
        self._usage_reporter: UsageReporter | None = None
        if settings.usage_window_s:
            self._usage_meter = UsageMeter(settings.usage_window_s, self._log)
            self._usage_reporter = UsageReporter(
                settings.node_id, self._usage_meter, self._jobs, self._rng
            )
        self._load = LoadView(self.directory.samplers.entry_of)
        self._decisions = DecisionLog()
        access = SamplerAccess(
            settings.zone,
            self.directory.samplers,
            dialect.names,
            self._log,
            metrics,
            self._rng,
            self._guard,
            self._count_run,
            self._load,
            ResponseMemory.of_process(settings.limits.memory_mb),
        )
        self._forwarder = Forwarder(access, switches.hedging, self._uses_admission_queue)
        self._load_receiver = ReadingReceiver(self._load, self.directory.samplers.entry_of)
        self._load_exchange = LoadExchange(
            self._load, self._load_receiver, self.directory.samplers.entries_of_service
        )
        self._load_sharing = LoadSharing(
            self._load_exchange, self._log, LoadMetrics(self._metrics_registry, self._load)
        )
        self._forwarder.on_lookup_active = self._load_sharing.on_lookup_active
        self._load_sharing.on_nodes_needed = self._refresh_ledger_nodes
        self._cached_store.on_nodes_read = self._update_sharing_nodes
        self._relay = StreamRelay(access)
        self.directory.on_sampler_listed = self._on_sampler_listed
        self.directory.on_sampler_unlisted = self._on_sampler_unlisted
        self._job_calls = JobCalls(dialect, self._jobs, self._log, switches.kept_results)
        self.front = GatewayServer(
            dialect,
            self.directory.routes,
            self._forwarder,
            self._relay,
            self._job_calls,
            self._log,
            metrics,
            self._decisions,
        )
        metrics.observe_open(lambda: self.front.open_requests)
        self._last_refresh_at = float("-inf")
        self._created_at = steady_time()
        self._stall_ticker = Ticker(
            lambda: self._load.stalls.step(steady_time()), STALL_CHECK_INTERVAL_S
        )
        self._tasks = BackgroundTasks(self._log)
        self._caller_server: CallerServer | None = None
        """Set once it listens, if callers are limited."""

    async def run(self) -> None:
        """Serves until `stop` is called; returns after the drain."""
        started_at = steady_time()
        servers = self._listen()
        if self._caller_server is not None:
            self._tasks.spawn(self._caller_server.watch(self._max_header_bytes))
        self.started.set()
        self.directory.start()
        self._guard.start()
        self._stall_ticker.start()
        self._refresh_ledger_nodes()
        if self._usage_reporter is not None:
            self._tasks.spawn(self._usage_reporter.run())
        self._log.emit(LogEvent.NODE_STARTED, {"role": "gateway", "zone": self._settings.zone})
        await self._stopping.wait()
        await self._drain()
        for server in servers:
            server.stop()
            await server.close_all_connections()
        self.abort()
        uptime_s = round(steady_time() - started_at, 1)
        self._log.emit(LogEvent.NODE_STOPPED, {"lived_s": uptime_s})

    def _listen(self) -> list[HTTPServer]:
        limited = self._settings.callers.limited
        front = (CallerServer if limited else HTTPServer)(
            self.front,
            max_header_size=MAX_HEADER_BYTES,
            max_body_size=self.front.max_body_bytes,
            max_buffer_size=self.front.max_body_bytes + MAX_HEADER_BYTES,
            idle_connection_timeout=self.front.idle_timeout_s + IDLE_TIMEOUT_MARGIN_S,
        )
        host, port = split_address(self._settings.front)
        listen = listen_plainly
        if isinstance(front, CallerServer):
            front.limit(self._caller_limits(), self._log, CallerMetrics(self._metrics_registry))
            front.listen_to_callers(host, port)
            self._caller_server = front
            listen = partial(listen_sparingly, front.free_descriptor)
        else:
            front.listen(port, address=host, backlog=BACKLOG)
        ready = make_ready_server(self._is_ready)
        host, port = split_address(self._settings.ready)
        listen(ready, host, port)
        servers = [front, ready]
        if self._settings.metrics_port:
            metrics = start_metrics_server(
                self._metrics_registry,
                self._settings.host,
                self._settings.metrics_port,
                self._log,
                self._decisions,
                listen,
            )
            servers += [metrics] if metrics is not None else []
        return servers

    def _caller_limits(self) -> CallerLimits:
        limits = self._settings.limits
        return CallerLimits.of_machine(
            limits.descriptors, limits.memory_mb * MEGABYTE, resident_bytes()
        )

    def _max_header_bytes(self) -> int:
        configuration = self.directory.routes.configuration
        return MAX_HEADER_BYTES if configuration is None else configuration.limits.max_header_bytes

    def _is_ready(self) -> bool:
        return (
            not self.front.draining
            and self.directory.is_initialized
            and self._quarantine_list_ready()
        )

    def _quarantine_list_ready(self) -> bool:
        """Whether the list of quarantined requests has been read or its timeout has passed."""
        timed_out = steady_time() > self._created_at + QUARANTINE_LIST_TIMEOUT_S
        return timed_out or self._guard.view.revision >= 0

    def stop(self) -> None:
        """Starts the drain."""
        if not self._stopping.is_set():
            self._stopped_at = steady_time()
            self._stopping.set()

    def abort(self) -> None:
        """Stops background work and closes the connections to ledger nodes."""
        self._tasks.cancel()
        self._stall_ticker.stop()
        self._load_sharing.stop()
        self._job_calls.stop()
        self.directory.stop()
        self._guard.stop()
        self._jobs.close()
        self._cached_store.close()

    def reload(self) -> None:
        """Logs the request; all settings of this process are fixed at startup."""
        self._log.emit(LogEvent.SETTINGS_RELOADED, {})

    async def _drain(self) -> None:
        """Reports not ready, serves during the notice, and answers all requests before the end."""
        schedule = DrainSchedule.of_grace(self._stopped_at, self._settings.bounds.stop_grace_s)
        self.front.begin_drain(schedule.cut_at)
        self._log.emit(LogEvent.DRAIN_STARTED, {"open": self.front.open_requests})
        await asyncio.sleep(schedule.refuse_at - steady_time())
        # New requests are rejected from here on: one that arrives while its connection is closed
        # has not run.
        self.front.closing = True
        while self._has_open_work() and steady_time() < schedule.cut_at:
            await asyncio.sleep(min(DRAIN_POLL_S, max(0.0, schedule.cut_at - steady_time())))
        cut = await self.front.cut_requests()
        if self._usage_reporter is not None:
            await self._usage_reporter.flush(schedule.killed_at - steady_time())
        self._log.emit(LogEvent.DRAIN_FINISHED, {"cut": cut, "open": self.front.open_requests})

    def _count_run(self, tenant: str, began_at: float) -> None:
        if self._usage_meter is not None:
            self._usage_meter.count(tenant, began_at)

    def _uses_admission_queue(self, service: str, now: float) -> bool:
        has_tenants = self.directory.routes.keys is not None
        return has_tenants or self._load.is_in_use(service, now)

    def _has_open_work(self) -> bool:
        return self.front.open_requests > 0 or self._job_calls.pending_ends > 0

    def _on_sampler_listed(self, entry: SamplerEntry) -> None:
        self._load.on_listed(entry)
        self._load_receiver.on_listed(entry, steady_time())

    def _on_sampler_unlisted(self, sampler_id: str) -> None:
        self._load.remove(sampler_id)
        self._forwarder.close_connections(sampler_id)
        self._relay.close_connections(sampler_id)

    # Ledger nodes.

    def _refresh_ledger_nodes(self) -> None:
        """Reads the addresses of ledger nodes, at most once per refresh interval."""
        now = steady_time()
        if now < self._last_refresh_at + LEDGER_NODES_REFRESH_INTERVAL_S:
            return
        self._last_refresh_at = now
        self._tasks.spawn(self._read_ledger_nodes())

    async def _read_ledger_nodes(self) -> None:
        try:
            page = await self._cached_store.list_objects(self._dialect.kinds.ledger_nodes)
        except StileloomError:
            return
        self._ledger_nodes.update_addresses(list(ledger_node_addresses(page.records).values()))
        self._update_sharing_nodes(page.records)

    def _update_sharing_nodes(self, records: list[ObjectRecord]) -> None:
        """Readings of load are shared within this gateway's zone only."""
        self._load_exchange.update_nodes(
            {
                name: registration.calls_address
                for name, registration in read_registrations(records).items()
                if registration.zone == self._settings.zone
            }
        )


async def serve_gateway(settings: ServiceSettings, store: ObjectStore, dialect: Dialect) -> None:
    """Runs a gateway until it is stopped by a signal."""
    gateway = Gateway(settings, store, dialect)
    handle_signals(gateway)
    await gateway.run()
