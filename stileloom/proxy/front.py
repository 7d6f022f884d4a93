"""HTTP server of a gateway: lookups and streams by route, and calls that concern batch jobs."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import msgspec
from tornado.httputil import (
    HTTPConnection,
    HTTPHeaders,
    HTTPMessageDelegate,
    HTTPServerConnectionDelegate,
    RequestStartLine,
    ResponseStartLine,
)

from stileloom.api.dialect import Dialect
from stileloom.api.routes import IngressLimits, Route, RouteKind
from stileloom.clock import steady_time
from stileloom.decisions import NO_DECISIONS, DecisionRecorder
from stileloom.errors import ErrorKind, Outcome, Problem, StileloomError, problem_document
from stileloom.events import LogEvent
from stileloom.http1.request_encoder import end_to_end_headers
from stileloom.http1.response_decoder import ResponseHead
from stileloom.logging import EventLog
from stileloom.proxy.access_control import AccessControl
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
"""Replaces 503 for a job call whose outcome is unknown, since 503 implies that it did not run."""


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
        self._open_requests = 0

    @property
    def open_requests(self) -> int:
        """Number of requests without a final response."""
        return self._open_requests

    def start_request(self, server_conn: object, request_conn: HTTPConnection) -> _CallerExchange:
        """Called by tornado for each new request."""
        return _CallerExchange(self, request_conn)

    async def serve(
        self, request: CallerRequest, writer: StreamWriter | None = None
    ) -> CallerResponse | None:
        """Returns the response, or None if it was streamed through `writer`.

        Cancelled when the caller disconnects.
        """
        self._open_requests += 1
        context: RequestContext | None = None
        try:
            if self.closing:
                raise StileloomError(
                    ErrorKind.DRAINING, "the gateway is shutting down", None, CLOSING_RETRY_AFTER_S
                )
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
            self._open_requests -= 1
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
            deadline_at=max(earliest_end, context.deadline_at - DEADLINE_MARGIN_S),
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

    def _refuse(
        self, request: CallerRequest, error: StileloomError, context: RequestContext | None
    ) -> CallerResponse:
        problem = problem_document(error)
        status = problem.status
        if status == 503 and error.outcome is Outcome.UNKNOWN:
            is_read = request.method == "GET"
            status = 503 if is_read else UNKNOWN_OUTCOME_STATUS
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


class _CallerExchange(HTTPMessageDelegate):
    """One request on a caller's connection; implements `StreamWriter`."""

    def __init__(self, front: GatewayServer, connection: HTTPConnection) -> None:
        self._front = front
        self._connection = connection
        self._start: RequestStartLine | None = None
        self._headers = HTTPHeaders()
        self._parts: list[bytes] = []
        self._size = 0
        self._task: asyncio.Task[None] | None = None
        self._streaming = False

    # Implementation of `StreamWriter`.

    @property
    def unsent_bytes(self) -> int:
        """Bytes that wait for the caller; only the streams of `CallerServer` count them."""
        return int(getattr(getattr(self._connection, "stream", None), "unsent_bytes", 0))

    def start(self, head: ResponseHead) -> None:
        """Sends the head of the response."""
        self._streaming = True
        headers = HTTPHeaders()
        for name, value in end_to_end_headers(
            head.headers.get_all(), head.headers.get("Connection", "")
        ):
            headers.add(name, value)
        if self._front.draining:
            headers["Connection"] = "close"
        start_line = ResponseStartLine("HTTP/1.1", head.status, head.reason)
        self._connection.write_headers(start_line, headers)

    def write(self, data: bytes) -> None:
        """Sends events."""
        self._connection.write(data)

    def end_stream(self) -> None:
        """Ends the response as complete."""
        self._connection.finish()

    def abort(self) -> None:
        """Aborts the response: without the last chunk the caller detects the truncation."""
        stream = getattr(self._connection, "stream", None)
        if stream is not None:
            stream.close()

    def headers_received(
        self, start_line: RequestStartLine | ResponseStartLine, headers: HTTPHeaders
    ) -> None:
        """Called by tornado with the request's head."""
        assert isinstance(start_line, RequestStartLine)
        self._start = start_line
        self._headers = headers

    def data_received(self, chunk: bytes) -> None:
        """Called by tornado with a part of the body."""
        self._size += len(chunk)
        self._parts.append(chunk)

    def finish(self) -> None:
        """Called by tornado when the request is complete."""
        assert self._start is not None
        request = CallerRequest(
            self._start.method,
            self._start.path,
            self._headers,
            b"".join(self._parts),
            steady_time(),
            getattr(getattr(self._connection, "context", None), "remote_ip", "") or "",
        )
        self._parts.clear()
        set_close_callback: Callable[[Callable[[], None]], None] | None = getattr(
            self._connection, "set_close_callback", None
        )
        if set_close_callback is not None:
            set_close_callback(self._on_disconnect)
        self._task = asyncio.get_running_loop().create_task(self._serve(request))

    def on_connection_close(self) -> None:
        """Called by tornado when the connection closed before the request was complete."""
        # The exchange may be part of a reference cycle, which would keep the body.
        self._parts.clear()
        self._on_disconnect()

    def _on_disconnect(self) -> None:
        if self._task is not None:
            self._task.cancel()

    async def _serve(self, request: CallerRequest) -> None:
        try:
            response = await self._front.serve(request, self)
        except asyncio.CancelledError:
            raise
        except Exception as error:
            self._front.log_internal_error(request, error)
            if self._streaming:
                self.abort()
                return
            response = CallerResponse(500, "Internal Server Error", [], b"")
        if response is None:
            return
        headers = HTTPHeaders()
        for name, value in response.headers:
            headers.add(name, value)
        headers["Content-Length"] = str(len(response.body))
        if self._front.draining:
            headers["Connection"] = "close"
        start_line = ResponseStartLine("HTTP/1.1", response.status, response.reason)
        body = response.body if request.method != "HEAD" else b""
        self._connection.write_headers(start_line, headers, body)
        self._connection.finish()
