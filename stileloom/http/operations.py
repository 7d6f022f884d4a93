"""Operator endpoints: status, explain, drain, health probes and metrics."""

from __future__ import annotations

import asyncio
import uuid

import msgspec

from stileloom import constants
from stileloom.errors import ErrorKind, StileloomError
from stileloom.http.base import ApiHandler
from stileloom.http.metrics import render_metrics
from stileloom.membership import Member
from stileloom.rollout.messages import LeaderStatus
from stileloom.routing import LookupRequest

STATUS_TIMEOUT_S = 1.5
STATUS_ATTEMPTS = 3


class NodeStatus(msgspec.Struct):
    """A node in the membership view of the responding node."""

    node_id: str
    zone: str
    state: str
    leaving: bool
    voter: bool


class Status(msgspec.Struct):
    """Response of `GET /v1/status`."""

    node_id: str
    zone: str
    ready: bool
    draining: bool
    revision: int
    """Configuration revision held by the responding node."""
    in_force: int
    """Highest revision known to be in force in every zone."""
    lease_valid: bool
    nodes: list[NodeStatus]
    leader: LeaderStatus | None
    """Status from the leader; None if no leader responded."""


class ExplainBody(msgspec.Struct, forbid_unknown_fields=True):
    """Body of `POST /v1/explain`."""

    service: str
    tenant: str = "anonymous"
    priority: int = 50
    repeatable: bool = True
    max_tokens: int = 32
    prefix_key: str = ""


class StatusHandler(ApiHandler):
    """`GET /v1/status`."""

    async def get(self) -> None:
        """Returns the state of this node, its membership view and the leader's status."""
        core = self.shell.core
        store = core.configuration.store
        now = self.shell.now()
        self.send_json(
            Status(
                node_id=core.node_id,
                zone=core.zone,
                ready=core.ready,
                draining=core.draining,
                revision=store.revision,
                in_force=store.in_force,
                lease_valid=store.lease_valid(now),
                nodes=[_node_status(member) for member in core.membership.members()],
                leader=await self._leader_status(),
            )
        )

    async def _leader_status(self) -> LeaderStatus | None:
        shell = self.shell
        for _ in range(STATUS_ATTEMPTS):
            ticket = shell.waiters.next_ticket()
            future = shell.waiters.expect_status(ticket)
            shell.run(shell.core.request_status(shell.now(), ticket))
            try:
                async with asyncio.timeout(STATUS_TIMEOUT_S / STATUS_ATTEMPTS):
                    return await future
            except TimeoutError:
                continue
        return None


def _node_status(member: Member) -> NodeStatus:
    return NodeStatus(
        member.node_id, member.zone, member.state.name.lower(), member.leaving, member.voter
    )


class ExplainHandler(ApiHandler):
    """`POST /v1/explain`."""

    async def post(self) -> None:
        """Explains the routing decision for a request without running it."""
        body = self.parse_body(ExplainBody)
        now = self.shell.now()
        request = LookupRequest(
            request_id=f"explain/{uuid.uuid4().hex}",
            service=body.service,
            prompt="",
            max_tokens=body.max_tokens,
            tenant=body.tenant,
            priority=body.priority,
            repeatable=body.repeatable,
            deadline_at=now + constants.DEFAULT_DEADLINE_S,
            prefix_key=body.prefix_key,
        )
        self.send_json(self.shell.core.explain(now, request))


class DrainHandler(ApiHandler):
    """`POST /v1/drain` (this node) and `POST /v1/samplers/{id}/drain`."""

    async def post(self, sampler_id: str | None = None) -> None:
        """Starts a drain, which cannot be undone."""
        shell = self.shell
        if sampler_id is None:
            shell.on_drain_request()
            self.send_json({"draining": shell.core.node_id}, status=202)
            return
        if shell.core.table.get(sampler_id) is None:
            raise StileloomError(ErrorKind.UNKNOWN_OBJECT, f"sampler {sampler_id!r}")
        shell.run(shell.core.drain_sampler(shell.now(), sampler_id))
        self.send_json({"draining": sampler_id}, status=202)


class HealthHandler(ApiHandler):
    """`GET /healthz`: liveness probe."""

    async def get(self) -> None:
        """Always succeeds."""
        self.send_json({"status": "ok"})


class ReadyHandler(ApiHandler):
    """`GET /readyz`: readiness probe."""

    async def get(self) -> None:
        """Raises `StileloomError` (NOT_READY, DRAINING)."""
        if self.shell.core.draining:
            raise StileloomError(ErrorKind.DRAINING, "this node is draining")
        if not self.shell.core.ready:
            raise StileloomError(ErrorKind.NOT_READY, "no configuration learned yet")
        self.send_json({"status": "ready"})


class MetricsHandler(ApiHandler):
    """`GET /metrics` in the Prometheus text format."""

    async def get(self) -> None:
        """Returns all metrics of this node."""
        self.set_header("Content-Type", "text/plain; version=0.0.4")
        self.finish(render_metrics(self.shell))
