"""HTTP server of a gateway: lookups and streams by route, and calls that concern batch jobs."""

from __future__ import annotations

import asyncio
import math

import msgspec
from tornado.httputil import (
    HTTPConnection,
    HTTPServerConnectionDelegate,
)

from stileloom.api.dialect import Dialect
from stileloom.api.routes import IngressLimits, Route, RouteKind
from stileloom.clock import steady_time
from stileloom.decisions import NO_DECISIONS, DecisionRecorder
from stileloom.errors import ErrorKind, Outcome, Problem, StileloomError, problem_document
from stileloom.events import LogEvent
from stileloom.http1.request_encoder import end_to_end_headers
from stileloom.logging import EventLog
from stileloom.proxy.access_control import AccessControl
from stileloom.proxy.caller_exchange import CallerExchange
from stileloom.proxy.caller_messages import (
    DEADLINE_MARGIN_S,
    MIN_TIMEOUT_S,
    CallerRequest,
    CallerResponse,
    RequestContext,
)
from stileloom.proxy.forwarder import Forwarder
from stileloom.proxy.job_calls import JobCalls
from stileloom.proxy.lookup import Lookup, LookupResponse
from stileloom.proxy.metrics import ProxyMetrics
from stileloom.proxy.route_table import RouteTable
from stileloom.proxy.stream_relay import StreamRelay, StreamWriter
from stileloom.quarantine.identity import identity_of
from stileloom.tenants.credentials import SCHEME

DEFAULT_DEADLINE_S = 10.0
CLOSING_RETRY_AFTER_S = 0.05
JOB_CALL_LABEL = "job call"
"""Stands for the route in metrics of requests that have none."""
UNKNOWN_OUTCOME_STATUS = 504
"""Replaces 503 if the outcome is unknown, since 503 implies that the request did not run. Reads of
jobs keep it: they change nothing."""
CUT_TIMEOUT_S = 0.1
"""For the last answers of requests that are cut; they are written at once."""


class GatewayServer(HTTPServerConnectionDelegate):
    """Tornado's delegate for the requests of one gateway's callers."""

    def __init__(
        self,
        dialect: Dialect,
        routes: RouteTable,
        forwarder: Forwarder,
        relay: StreamRelay,
        jobs: JobCalls,
        log: EventLog,
        metrics: ProxyMetrics,
        decisions: DecisionRecorder = NO_DECISIONS,
    ) -> None:
        self.draining = False
        """Whether responses carry `Connection: close`."""
        self.closing = False
        """Whether new requests are refused, since connections may be closed at any moment."""
        self.max_body_bytes = IngressLimits().max_body_bytes
        self.idle_timeout_s = IngressLimits().idle_timeout_s
        self._dialect = dialect
        self._routes = routes
        self._access = AccessControl(routes, dialect.names)
        self._forwarder = forwarder
        self._relay = relay
        self._jobs = jobs
        self._log = log
        self._metrics = metrics
        self._decisions = decisions
        self._cut_at = math.inf
        """When a draining gateway cuts open requests, in monotonic seconds."""
        self._open: set[CallerExchange] = set()
        """Complete requests without a final response."""

    @property
    def open_requests(self) -> int:
        """Number of requests without a final response."""
        return len(self._open)

    def begin_drain(self, cut_at: float) -> None:
        """Announces the end on each connection; requests that cannot end until then are refused."""
        self.draining = True
        self._cut_at = cut_at

    async def cut_requests(self) -> int:
        """Ends all open requests; their callers learn that the outcome is unknown.

        Streams that have begun are aborted. Returns the number of requests.
        """
        exchanges = list(self._open)
        tasks = [exchange.cut() for exchange in exchanges]
        if tasks:
            await asyncio.wait(tasks, timeout=CUT_TIMEOUT_S)
        return len(exchanges)

    def opened(self, exchange: CallerExchange) -> None:
        """Counts a complete request as open."""
        self._open.add(exchange)

    def closed(self, exchange: CallerExchange) -> None:
        """Stops counting a request that has its final response, or whose caller has left."""
        self._open.discard(exchange)

    def start_request(self, server_conn: object, request_conn: HTTPConnection) -> CallerExchange:
        """Called by tornado for each new request."""
        return CallerExchange(self, request_conn)

    async def serve(
        self, request: CallerRequest, writer: StreamWriter | None = None
    ) -> CallerResponse | None:
        """Returns the response, or None if it was streamed through `writer`.

        Cancelled when the caller disconnects.
        """
        context: RequestContext | None = None
        try:
            if self.closing:
                raise _draining("the gateway is shutting down")
            call = self._dialect.job_call(request.method, request.target, request.headers)
            if call is not None:
                self._require_configuration()
                caller = self._access.authenticate_job_call(request.headers, request.host)
                return await self._jobs.serve(request, call, caller)
            context = self._context(request, self._find_route(request))
            if context.route.kind is RouteKind.BATCH and request.method == "POST":
                return await self._jobs.submit(context)
            return await self._serve_lookup(context, writer)
        except StileloomError as error:
            return self._refuse(request, error, context)
        finally:
            route_name = context.route.name if context is not None else JOB_CALL_LABEL
            self._metrics.latency.labels(route_name).observe(steady_time() - request.arrived_at)

    def _require_configuration(self) -> None:
        if self._routes.version == 0:
            raise StileloomError(ErrorKind.NOT_READY, "no configuration received yet", None, 0.2)

    def _find_route(self, request: CallerRequest) -> Route:
        self._require_configuration()
        route = self._routes.match(request.host, request.path)
        if route is None:
            raise StileloomError(
                ErrorKind.UNKNOWN_ROUTE,
                f"no matching route in configuration {self._routes.version}",
            )
        return route

    def _context(self, request: CallerRequest, route: Route) -> RequestContext:
        """Authenticates and checks a request on a route. Raises `StileloomError`."""
        names = self._dialect.names
        caller = self._access.authenticate(request.headers, route)
        request_id = request.headers.get(names.request_id)
        if not request_id:
            detail = f"header {names.request_id} is missing"
            raise StileloomError(ErrorKind.BAD_REQUEST, detail)
        is_job = route.kind is RouteKind.BATCH
        default_s = route.timeout_s if is_job else DEFAULT_DEADLINE_S
        timeout_s = min(request.timeout_s(names.deadline_ms, default_s), route.timeout_s)
        return RequestContext(
            request,
            request_id,
            route,
            caller,
            self._routes.version,
            request.arrived_at + timeout_s,
        )

    async def _serve_lookup(
        self, context: RequestContext, writer: StreamWriter | None
    ) -> CallerResponse | None:
        request = context.request
        route = context.route
        if request.arrived_at + route.target_latency_s > self._cut_at:
            raise _draining("the gateway ends before the request can be expected to")
        headers = end_to_end_headers(
            request.headers.get_all(), request.headers.get("Connection", "")
        )
        earliest_end = request.arrived_at + MIN_TIMEOUT_S
        lookup = Lookup(
            request_id=context.request_id,
            method=request.method,
            target=request.target,
            headers=self._access.headers_for_sampler(headers, context.caller, route),
            body=request.body,
            arrived_at=request.arrived_at,
            deadline_at=max(
                earliest_end, min(context.deadline_at, self._cut_at) - DEADLINE_MARGIN_S
            ),
            tenant=context.caller.tenant,
            priority=context.caller.priority_on(route),
            caller_address=request.caller_address,
            check_send=self._access.key_check(context.caller),
            decision=context.decision,
        )
        service = self._routes.choose_backend(route)
        self._begin_decision(context, service)
        response: LookupResponse | None
        if route.kind is RouteKind.STREAMING and writer is not None:
            response = await self._relay.relay(lookup, route, service, writer)
            if response is None:
                self._metrics.requests.labels(route.name, "200").inc()
                self._record_answer(context, None)
                return None
        else:
            response = await self._forwarder.forward(lookup, route, service)
        head = response.head
        headers = end_to_end_headers(head.headers.get_all(), head.headers.get("Connection", ""))
        self._metrics.requests.labels(route.name, str(head.status)).inc()
        self._record_answer(context, head.status)
        return CallerResponse(head.status, head.reason, headers, response.body)

    # Decision records.

    def _begin_decision(self, context: RequestContext, service: str) -> None:
        decision = context.decision
        decision.service = service
        decision.tenant = context.caller.tenant
        decision.priority = context.caller.priority_on(context.route)

    def _record_answer(self, context: RequestContext, status: int | None) -> None:
        """Records an answered lookup; `status` is None for a stream."""
        arrived_at, now = context.request.arrived_at, steady_time()
        record = context.decision.answered(context.request_id, arrived_at, now, status)
        self._decisions.record(record)

    def _record_refusal(self, context: RequestContext | None, problem: Problem) -> None:
        """Records a refused lookup.

        Requests without a valid key or route are left out: they would displace the records of
        tenants.
        """
        if context is None or context.route.kind is RouteKind.BATCH:
            return
        arrived_at, now = context.request.arrived_at, steady_time()
        record = context.decision.refused(context.request_id, arrived_at, now, problem)
        self._decisions.record(record)

    # Failures.

    def log_internal_error(self, request: CallerRequest, error: Exception) -> None:
        """Logs an internal error with the request's id."""
        fields: dict[str, object] = {
            "request": request.headers.get(self._dialect.names.request_id, ""),
            "error": repr(error),
        }
        self._log.emit(LogEvent.INTERNAL_FAULT, fields)

    def _identity_fields(
        self, context: RequestContext | None, error: StileloomError
    ) -> dict[str, object]:
        """The log field that relates a quarantined request to sampler crashes."""
        if error.kind is not ErrorKind.QUARANTINED or context is None:
            return {}
        request = context.request
        headers = self._access.headers_for_sampler(
            request.headers.get_all(), context.caller, context.route
        )
        tenant = context.caller.tenant
        identity = identity_of(request.method, request.target, headers, request.body, tenant)
        return {"identity": identity}

    def cut_response(self, request: CallerRequest) -> CallerResponse:
        """The response to a request that is cut while it may be running."""
        detail = "the gateway ended before the request did"
        return self._refuse(
            request, StileloomError(ErrorKind.DRAINING, detail, Outcome.UNKNOWN), None
        )

    def _is_job_read(self, request: CallerRequest) -> bool:
        call = None
        if request.method == "GET":
            call = self._dialect.job_call(request.method, request.target, request.headers)
        return call is not None

    def _refuse(
        self, request: CallerRequest, error: StileloomError, context: RequestContext | None
    ) -> CallerResponse:
        problem = problem_document(error)
        status = problem.status
        if status == 503 and error.outcome is Outcome.UNKNOWN and not self._is_job_read(request):
            status = UNKNOWN_OUTCOME_STATUS
        self._metrics.refusals.labels(error.kind.value).inc()
        self._log.emit(
            LogEvent.REQUEST_REFUSED,
            {
                **self._identity_fields(context, error),
                "request": request.headers.get(self._dialect.names.request_id, ""),
                "target": request.path[:80],
                "host": request.headers.get("Host", "")[:80],
                "caller": request.caller_address,
                "code": error.kind.value,
                "status": status,
                "detail": error.detail,
                "configuration": self._routes.version,
                "after_ms": round((steady_time() - request.arrived_at) * 1000),
            },
        )
        headers = [("Content-Type", "application/problem+json")]
        if status == 401:
            headers.append(("WWW-Authenticate", SCHEME))
        if status in (429, 503) and problem.retry_after_s is not None:
            headers.append(("Retry-After", f"{problem.retry_after_s:g}"))
        problem.status = status
        self._record_refusal(context, problem)
        return CallerResponse(status, problem.title, headers, msgspec.json.encode(problem))


def _draining(detail: str) -> StileloomError:
    """The refusal of a request that has not run."""
    return StileloomError(ErrorKind.DRAINING, detail, None, CLOSING_RETRY_AFTER_S)
