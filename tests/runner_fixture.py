"""A job runner of one leader after another, over one replicated state and a clock of the test."""

from __future__ import annotations

import asyncio
import contextlib
import random
from collections.abc import Iterator
from unittest import mock

from prometheus_client import CollectorRegistry

from stileloom.api.jobs import JobItem, JobSubmission, RewardCall
from stileloom.api.routes import Backend, Engine, Route, RouteConfiguration, RouteKind, Service
from stileloom.api.sampler_directory import SamplerEntry
from stileloom.clock import steady_time
from stileloom.decisions import DecisionLog
from stileloom.http.native_dialect import NativeDialect
from stileloom.jobs.job_admission import JobAdmission, ResourceLimits
from stileloom.jobs.job_ages import JobAges
from stileloom.jobs.metrics import JobMetrics
from stileloom.jobs.open_items import ItemKey
from stileloom.jobs.runner import JobRunner, RunnerDependencies
from stileloom.jobs.service import JobService
from stileloom.ledger.commands import Command, CommandResult, SubmitJob
from stileloom.ledger.state import LedgerState
from stileloom.logging import EventLog
from stileloom.proxy.forwarder import Forwarder
from stileloom.proxy.metrics import AttemptMetrics
from stileloom.proxy.route_table import RouteTable
from stileloom.proxy.sampler_access import SamplerAccess
from stileloom.proxy.sampler_table import SamplerTable
from stileloom.quarantine.admission import UnrestrictedGuard
from stileloom.quarantine.authority import QuarantineService
from stileloom.quarantine.book import QuarantineRegistry
from stileloom.switches import ALL_ON

MODEL = "m"
HOST = "rollouts.example"
SERVICE = "drafts"
MAX_WAIT_S = 60.0


def submission(job_id: str, items: list[str], rewards: bool = False) -> JobSubmission:
    """A job over the batch route, optionally with a reward call for each item."""
    rows = [
        JobItem(
            item,
            f"/drafts/{item}",
            {"model": MODEL},
            b"",
            "",
            RewardCall(f"score-{item}", HOST, "/charts/s", b"x") if rewards else None,
        )
        for item in items
    ]
    return JobSubmission(job_id, HOST, "/drafts/j", 0, MODEL, 1, 1, rows)


def routes() -> RouteTable:
    """A batch route with its samplers, and a lookup route for reward calls."""
    lookup = Route(
        "charts", HOST, "/charts/", RouteKind.SAFE, [Backend("charts", 1.0)], 5.0, 1.0, 3
    )
    batch = Route(
        "drafts",
        HOST,
        "/drafts/",
        RouteKind.BATCH,
        [Backend(SERVICE, 1.0)],
        5.0,
        1.0,
        3,
        max_wait_s=MAX_WAIT_S,
    )
    services = [Service("charts", 50), Service(SERVICE, 50, Engine(4, 10_000, [MODEL]))]
    table = RouteTable(random.Random(1))
    table.adopt(RouteConfiguration(1, [lookup, batch], services))
    return table


RETENTION_S = 125.0
NO_LIMITS = ResourceLimits()


class FakeLedger:
    """Applies commands in their order, and leads until the test says otherwise."""

    def __init__(self, state: LedgerState) -> None:
        self.state = state
        self.leads = True
        self.majority = asyncio.Event()
        """Whether commands are committed; those proposed meanwhile wait, in their order."""
        self.majority.set()
        self._commit_order = asyncio.Lock()

    def is_active_leader(self) -> bool:
        """Whether this node leads."""
        return self.leads

    def leader_address(self) -> tuple[str, int] | None:
        """No other node is known."""
        return None

    def report_damage(self, detail: str) -> None:
        """Stops leading."""
        self.leads = False

    def quarantine(self) -> QuarantineRegistry:
        """The quarantine list of the state."""
        return self.state.quarantine

    async def propose(self, command: Command) -> CommandResult:
        """Applies a command."""
        async with self._commit_order:
            await self.majority.wait()
            return self.state.apply(command)


class RunnerFixture:
    """One leader after another; nothing but the replicated state survives a change."""

    def __init__(self, *samplers: SamplerEntry) -> None:
        self.state = LedgerState()
        self.job_ages = JobAges()
        """Of the job service; each runner counts on its own."""
        self.now = steady_time()
        self.routes = routes()
        self.samplers = SamplerTable()
        self.samplers.replace_all(list(samplers))
        self.ledger = FakeLedger(self.state)
        self.decisions = DecisionLog()
        self._log = EventLog("node")
        self.runner = self._new_runner()

    def submit(self, job: JobSubmission) -> None:
        """Commits a job."""
        self.state.apply(SubmitJob(job))

    def items(self) -> list[ItemKey]:
        """Items that the leader runs or has still to run."""
        return list(self.runner.scheduler.items)

    def service(self, limits: ResourceLimits = NO_LIMITS) -> JobService:
        """The job service of the leader."""
        quarantine = QuarantineService(self.ledger, self._log)
        service = JobService(
            self.ledger,
            quarantine,
            JobAdmission(limits, RETENTION_S),
            self.job_ages,
            self._log,
            JobMetrics(CollectorRegistry()),
            self.decisions,
        )
        service.runner = self.runner
        return service

    def change_leader(self) -> None:
        """Replaces the leader by one whose process has just started."""
        self.runner.stop()
        self.runner = self._new_runner()

    def step(self, elapsed_s: float = 0.0) -> None:
        """Steps the leader after some time."""
        self.now += elapsed_s
        self.runner.step()

    @contextlib.contextmanager
    def clock(self) -> Iterator[None]:
        """Lets the runner read the time of the test."""
        with mock.patch("stileloom.jobs.runner.steady_time", lambda: self.now):
            yield

    def _new_runner(self) -> JobRunner:
        dialect = NativeDialect()
        access = SamplerAccess(
            "a",
            self.samplers,
            dialect.names,
            self._log,
            AttemptMetrics(CollectorRegistry()),
            random.Random(1),
            UnrestrictedGuard(),
        )
        self.access = access
        self.forwarder = Forwarder(access)
        runner = JobRunner(
            RunnerDependencies(
                node_id="node",
                epoch=1,
                earliest_order_at=0.0,
                registry=self.state.job_book,
                job_ages=JobAges(),
                ledger=self.ledger,
                routes=self.routes,
                samplers=self.samplers,
                forwarder=self.forwarder,
                dialect=dialect,
                log=self._log,
                metrics=JobMetrics(CollectorRegistry()),
                switches=ALL_ON,
                decisions=self.decisions,
            )
        )
        for tracked in self.samplers.all():
            runner.on_sampler_listed(tracked.entry.sampler_id, tracked.entry.model_versions)
        return runner
