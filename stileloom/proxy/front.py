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

from stileloom.api.dialect import Dialect, EndJob, JobCall, ReadItem, ReadResults
from stileloom.api.routes import IngressLimits, Route, RouteKind
from stileloom.clock import steady_time
from stileloom.errors import ErrorKind, Outcome, StileloomError, problem_document
from stileloom.events import LogEvent
from stileloom.http1.request_encoder import end_to_end_headers
from stileloom.http1.response_decoder import ResponseHead
from stileloom.jobs.client import JobClient
from stileloom.jobs.end_delivery import EndDelivery
from stileloom.jobs.messages import (
    ItemRead,
    JobEnded,
    JobRefused,
    JobReply,
    JobRequest,
    JobTaken,
    NoSuchJob,
    ReadItemCall,
    ResultsRead,
    SubmitJobCall,
)
from stileloom.jobs.result_cache import ResultCache
from stileloom.jobs.result_reader import ResultReader
from stileloom.jobs.submission_check import check_submission
from stileloom.logging import EventLog
from stileloom.proxy.forwarder import Forwarder
from stileloom.proxy.lookup import Lookup, LookupResponse
from stileloom.proxy.metrics import ProxyMetrics
from stileloom.proxy.route_table import RouteTable
from stileloom.proxy.stream_relay import StreamRelay, StreamWriter
from stileloom.quarantine.identity import identity_of

DEFAULT_DEADLINE_S = 10.0
JOB_CALL_DEADLINE_S = 4.0
"""Default deadline of job calls."""
DEADLINE_MARGIN_S = 0.05
"""Requests end this long before the caller's deadline, so that the response arrives in time."""
CLOSING_RETRY_AFTER_S = 0.05
UNKNOWN_OUTCOME_STATUS = 504
"""Replaces 503 for a job call whose outcome is unknown, since 503 implies that it did not run."""


class CallerRequest(msgspec.Struct):
    """A complete request of a caller."""

    method: str
    target: str
    headers: HTTPHeaders
    body: bytes
    arrived_at: float
    caller_address: str = ""

    @property
    def path(self) -> str:
        return self.target.partition("?")[0]


class CallerResponse(msgspec.Struct, frozen=True):
    """A response to the caller."""

    status: int
    reason: str
    headers: list[tuple[str, str]]
    body: bytes


class GatewayServer(HTTPServerConnectionDelegate):
    """Tornado's delegate for the requests of one gateway's callers."""

    def __init__(
        self,
        dialect: Dialect,
        routes: RouteTable,
        forwarder: Forwarder,
        relay: StreamRelay,
        jobs: JobClient,
        log: EventLog,
        metrics: ProxyMetrics,
        cache_results: bool = True,
    ) -> None:
        self.draining = False
        """Whether responses carry `Connection: close`."""
        self.closing = False
        """Whether new requests are refused, since connections may be closed at any moment."""
        self.max_body_bytes = IngressLimits().max_body_bytes
        self.idle_timeout_s = IngressLimits().idle_timeout_s
        self._dialect = dialect
        self._routes = routes
        self._forwarder = forwarder
        self._relay = relay
        self._jobs = jobs
        self._ends = EndDelivery(jobs, log)
        self._results = ResultReader(jobs, ResultCache(), cache_results)
        self._log = log
        self._metrics = metrics
        self._open_requests = 0

    @property
    def open_requests(self) -> int:
        """Number of requests without a final response."""
        return self._open_requests

    @property
    def pending_ends(self) -> int:
        """Number of received ends of jobs that the ledger has not answered."""
        return len(self._ends)

    def stop(self) -> None:
        """Abandons the ends of jobs that are not delivered."""
        self._ends.stop()

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
        route_name = "job call"
        try:
            if self.closing:
                raise StileloomError(
                    ErrorKind.DRAINING, "the gateway is shutting down", None, CLOSING_RETRY_AFTER_S
                )
            names = self._dialect.names
            call = self._dialect.job_call(request.method, request.target, request.headers)
            if call is not None:
                return await self._serve_job_call(request, call)
            route = self._find_route(request)
            route_name = route.name
            if route.kind is RouteKind.BATCH and request.method == "POST":
                return await self._submit_job(request, route)
            return await self._serve_lookup(request, route, names.request_id, writer)
        except StileloomError as error:
            return self._refuse(request, error)
        finally:
            self._open_requests -= 1
            self._metrics.latency.labels(route_name).observe(steady_time() - request.arrived_at)

    def _find_route(self, request: CallerRequest) -> Route:
        if self._routes.version == 0:
            raise StileloomError(ErrorKind.NOT_READY, "no configuration received yet", None, 0.2)
        route = self._routes.match(request.headers.get("Host", ""), request.path)
        if route is None:
            raise StileloomError(
                ErrorKind.UNKNOWN_ROUTE,
                f"no matching route in configuration {self._routes.version}",
            )
        return route

    def _deadline_s(self, request: CallerRequest, default_s: float) -> float:
        text = request.headers.get(self._dialect.names.deadline_ms, "")
        try:
            return max(0.0, float(text) / 1000.0) if text else default_s
        except ValueError as error:
            raise StileloomError(ErrorKind.BAD_REQUEST, "deadline is not a number") from error

    # Lookups.

    async def _serve_lookup(
        self,
        request: CallerRequest,
        route: Route,
        id_header: str,
        writer: StreamWriter | None,
    ) -> CallerResponse | None:
        request_id = request.headers.get(id_header)
        if not request_id:
            raise StileloomError(ErrorKind.BAD_REQUEST, f"header {id_header} is missing")
        timeout_s = min(self._deadline_s(request, DEFAULT_DEADLINE_S), route.timeout_s)
        lookup = Lookup(
            request_id=request_id,
            method=request.method,
            target=request.target,
            headers=end_to_end_headers(
                request.headers.get_all(), request.headers.get("Connection", "")
            ),
            body=request.body,
            arrived_at=request.arrived_at,
            deadline_at=request.arrived_at + max(0.001, timeout_s - DEADLINE_MARGIN_S),
            caller_address=request.caller_address,
        )
        service = self._routes.choose_backend(route)
        response: LookupResponse | None
        if route.kind is RouteKind.STREAMING and writer is not None:
            response = await self._relay.relay(lookup, route, service, writer)
            if response is None:
                self._metrics.requests.labels(route.name, "200").inc()
                return None
        else:
            response = await self._forwarder.forward(lookup, route, service)
        head = response.head
        headers = end_to_end_headers(head.headers.get_all(), head.headers.get("Connection", ""))
        self._metrics.requests.labels(route.name, str(head.status)).inc()
        return CallerResponse(head.status, head.reason, headers, response.body)

    # Jobs.

    async def _submit_job(self, request: CallerRequest, route: Route) -> CallerResponse:
        job_id = request.headers.get(self._dialect.names.request_id)
        if not job_id:
            raise StileloomError(ErrorKind.BAD_REQUEST, "job id is missing")
        host = request.headers.get("Host", "")
        submission = self._dialect.decode_job(job_id, host, request.path, request.body)
        check_submission(submission)
        timeout_s = min(self._deadline_s(request, route.timeout_s), route.timeout_s)
        reply = await self._call(SubmitJobCall(submission), job_id, timeout_s)
        if isinstance(reply, JobRefused):
            kind = ErrorKind.JOBS_FULL
            if reply.retry_after_s is None:
                kind = ErrorKind.BODY_TOO_LARGE
            raise StileloomError(kind, reply.reason, retry_after_s=reply.retry_after_s)
        self._log.emit(
            LogEvent.JOB_SUBMITTED,
            {
                "job": job_id,
                "route": route.name,
                "configuration": self._routes.version,
                "items": len(submission.items),
                "taken_ms": round((steady_time() - request.arrived_at) * 1000),
            },
        )
        if not isinstance(reply, JobTaken):
            raise StileloomError(ErrorKind.INTERNAL, "unexpected reply of the ledger")
        return _json_response(202, b"{}")

    async def _serve_job_call(self, request: CallerRequest, call: JobCall) -> CallerResponse:
        timeout_s = self._deadline_s(request, JOB_CALL_DEADLINE_S)
        if isinstance(call, ReadResults):
            limit_s = max(0.1, timeout_s - DEADLINE_MARGIN_S)
            reply = await self._results.read(call.job_id, call.position, call.wait_s, limit_s)
        elif isinstance(call, ReadItem):
            reply = await self._call(
                ReadItemCall(call.job_id, call.item_id), call.job_id, timeout_s
            )
        else:
            assert isinstance(call, EndJob)
            reply = await self._end_job(request, call.job_id, timeout_s)
        return self._job_response(reply)

    async def _end_job(self, request: CallerRequest, job_id: str, timeout_s: float) -> JobReply:
        fields: dict[str, object] = {"job": job_id, "caller": request.caller_address}
        self._log.emit(LogEvent.JOB_END_RECEIVED, fields)
        outcome = "caller_left"
        try:
            reply = await self._ends.end(job_id, max(0.1, timeout_s - DEADLINE_MARGIN_S))
            outcome = "ended" if isinstance(reply, JobEnded) else ErrorKind.UNKNOWN_JOB.value
            return reply
        except StileloomError as error:
            outcome = error.kind.value
            raise
        finally:
            after_ms = round((steady_time() - request.arrived_at) * 1000)
            self._log.emit(
                LogEvent.JOB_END_ANSWERED, {**fields, "outcome": outcome, "after_ms": after_ms}
            )

    def _job_response(self, reply: JobReply) -> CallerResponse:
        if isinstance(reply, ResultsRead):
            return _json_response(200, self._dialect.encode_page(reply.page))
        if isinstance(reply, ItemRead):
            headers = [("Content-Type", "application/octet-stream")]
            return CallerResponse(200, "OK", headers, reply.body)
        if isinstance(reply, JobEnded):
            return _json_response(200, b"{}")
        if isinstance(reply, NoSuchJob):
            raise StileloomError(ErrorKind.UNKNOWN_JOB, "no such job or item")
        raise StileloomError(ErrorKind.INTERNAL, "unexpected reply of the ledger")

    async def _call(self, request: JobRequest, job_id: str, timeout_s: float) -> JobReply:
        return await self._jobs.call(request, job_id, max(0.1, timeout_s - DEADLINE_MARGIN_S))

    # Failures.

    def log_internal_error(self, request: CallerRequest, error: Exception) -> None:
        """Logs an internal error with the request's id."""
        fields: dict[str, object] = {
            "request": request.headers.get(self._dialect.names.request_id, ""),
            "error": repr(error),
        }
        self._log.emit(LogEvent.INTERNAL_FAULT, fields)

    def _identity_fields(self, request: CallerRequest, error: StileloomError) -> dict[str, object]:
        """The log field that relates a quarantined request to sampler crashes."""
        if error.kind is not ErrorKind.QUARANTINED:
            return {}
        headers = request.headers.get_all()
        return {"identity": identity_of(request.method, request.target, headers, request.body)}

    def _refuse(self, request: CallerRequest, error: StileloomError) -> CallerResponse:
        problem = problem_document(error)
        status = problem.status
        if status == 503 and error.outcome is Outcome.UNKNOWN:
            is_read = request.method == "GET"
            status = 503 if is_read else UNKNOWN_OUTCOME_STATUS
        self._metrics.refusals.labels(error.kind.value).inc()
        self._log.emit(
            LogEvent.REQUEST_REFUSED,
            {
                **self._identity_fields(request, error),
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
        if status in (429, 503) and problem.retry_after_s is not None:
            headers.append(("Retry-After", f"{problem.retry_after_s:g}"))
        problem.status = status
        return CallerResponse(status, problem.title, headers, msgspec.json.encode(problem))


def _json_response(status: int, body: bytes) -> CallerResponse:
    reason = "Accepted" if status == 202 else "OK"
    return CallerResponse(status, reason, [("Content-Type", "application/json")], body)


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
