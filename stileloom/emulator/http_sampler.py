"""Emulated sampler with an HTTP/1.1 interface and event streams, for tests.

Its output depends only on the request, so a stream that resumes at another sampler can be compared
with an uninterrupted one. Tests inject faults through `SamplerFaults`.
"""

from __future__ import annotations

import asyncio
import hashlib
from collections.abc import Callable

import msgspec
from tornado.httpserver import HTTPServer
from tornado.httputil import HTTPHeaders, HTTPServerRequest, ResponseStartLine
from tornado.netutil import bind_sockets

from stileloom.api.dialect import LoadOrder, SamplerReport
from stileloom.api.headers import HeaderNames
from stileloom.clock import steady_time
from stileloom.http.native_dialect import ORDER_TARGET, REPORT_TARGET

EVENT_INTERVAL_S = 0.002
LOAD_DURATION_S = 0.02


class SamplerFaults(msgspec.Struct):
    """Faults injected into a sampler."""

    disconnect_after_events: int | None = None
    """Number of events after which the connection of a stream is closed."""
    fail_status: int | None = None
    """Requests are run and answered with this status."""
    refuse: bool = False
    """Requests are refused with the header that says they were not run."""
    unresponsive: bool = False
    """Requests are accepted and never answered."""
    ignore_expected_version: bool = False
    """Requests run whatever version they expect."""
    work_s: float = 0.0
    """Duration of a lookup."""
    crash_targets: frozenset[str] = frozenset()
    """Requests to these targets crash the sampler."""
    crash_delay_s: float = 0.005
    """Delay between the start of such a request and the crash."""
    reset_targets: frozenset[str] = frozenset()
    """Requests to these targets have their connection closed; the sampler keeps running."""


class RunRecord(msgspec.Struct, frozen=True):
    """A request that the sampler ran."""

    request_id: str
    target: str
    body: bytes
    after_event: int | None
    started_at: float = 0.0
    """On the steady clock."""
    headers: dict[str, str] = msgspec.field(default_factory=dict)


class WorkGauge(msgspec.Struct):
    """Current and highest number of concurrent lookups."""

    running: int = 0
    max_running: int = 0


def expected_events(item_id: str, count: int) -> list[str]:
    """Returns the data of all events of an item."""
    return [
        hashlib.blake2s(f"{item_id}/{n}".encode()).hexdigest()[:12] for n in range(1, count + 1)
    ]


class HttpSampler:
    """One process of a sampler; a restarted sampler is a new instance."""

    def __init__(
        self,
        sampler_id: str,
        model_versions: dict[str, int],
        events: int = 6,
        event_interval_s: float = EVENT_INTERVAL_S,
    ) -> None:
        self.sampler_id = sampler_id
        self.model_versions = dict(model_versions)
        self.load: str | None = None
        """Value of the load header of responses, which is absent if it is None."""
        self.faults = SamplerFaults()
        self.runs: list[RunRecord] = []
        self.completed_at: dict[str, float] = {}
        """By request id, when the last event was first sent, on the steady clock. An item may run
        again after a change of leader."""
        self.gauge = WorkGauge()
        """Running lookups; samplers of one service may share it."""
        self.orders: list[LoadOrder] = []
        self.permanent_crash_targets: frozenset[str] = frozenset()
        """Like `SamplerFaults.crash_targets`, but kept when `faults` is replaced."""
        self.on_crash: Callable[[], None] = lambda: None
        """Called when a request crashes the sampler, before its connections are closed."""
        self.crashed_by = ""
        """Target of the newest request at the time of a crash; empty before a crash."""
        self._names = HeaderNames()
        self._events = events
        self._event_interval_s = event_interval_s
        self._fence = 0
        self._loading_until = 0.0
        self._server = HTTPServer(self._serve)
        self._tasks: set[asyncio.Task[None]] = set()

    def listen(self, host: str, port: int = 0) -> int:
        """Starts listening and returns the port; the kernel selects one if `port` is 0."""
        sockets = bind_sockets(port, address=host)
        self._server.add_sockets(sockets)
        return int(sockets[0].getsockname()[1])

    async def stop(self) -> None:
        """Stops listening, cancels all requests and closes all connections."""
        self._server.stop()
        for task in self._tasks:
            task.cancel()
        await self._server.close_all_connections()

    async def _crash(self) -> None:
        """Simulates a crash: stops listening and closes all connections."""
        if self.crashed_by:
            return
        current = asyncio.current_task()
        self.crashed_by = self.runs[-1].target
        self.on_crash()
        self._server.stop()
        for task in self._tasks:
            if task is not current:
                task.cancel()
        await self._server.close_all_connections()

    def _serve(self, request: HTTPServerRequest) -> None:
        task = asyncio.get_running_loop().create_task(self._handle(request))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _handle(self, request: HTTPServerRequest) -> None:
        names = self._names
        expected = request.headers.get(names.expect_sampler, self.sampler_id)
        not_run = {names.request_id: request.headers.get(names.request_id, ""), names.not_run: "1"}
        if expected != self.sampler_id:
            self._reply(request, 421, not_run | {names.sampler_id: self.sampler_id})
        elif request.path == REPORT_TARGET:
            self._reply(request, 200, {}, msgspec.json.encode(self._report()))
        elif request.path == ORDER_TARGET:
            self._reply(request, self._order(msgspec.json.decode(request.body, type=LoadOrder)), {})
        elif not self._has_expected_version(request):
            self._reply(request, 421, not_run | {names.sampler_id: self.sampler_id})
        elif self.faults.refuse:
            self._reply(request, 503, not_run)
        else:
            await self._run(request)

    def _has_expected_version(self, request: HTTPServerRequest) -> bool:
        expected = request.headers.get(self._names.expect_version)
        version = self.model_versions.get(request.headers.get("model", ""), 0)
        return expected in (None, str(version)) or self.faults.ignore_expected_version

    def _report(self) -> SamplerReport:
        return SamplerReport(
            dict(self.model_versions), steady_time() < self._loading_until, len(self.orders)
        )

    def _order(self, order: LoadOrder) -> int:
        if order.fence < self._fence:
            return 412
        self._fence = order.fence
        if order.expected_orders != len(self.orders):
            return 409
        self.orders.append(order)
        self.model_versions[order.model] = order.version
        self._loading_until = steady_time() + LOAD_DURATION_S
        return 202

    async def _run(self, request: HTTPServerRequest) -> None:
        names = self._names
        request_id = request.headers.get(names.request_id, "")
        after = request.headers.get(names.last_event_id)
        after_event = int(after) if after is not None else None
        target = request.uri or ""
        self.runs.append(
            RunRecord(
                request_id,
                target,
                request.body,
                after_event,
                steady_time(),
                dict(request.headers.get_all()),
            )
        )
        if target in self.faults.crash_targets | self.permanent_crash_targets:
            await asyncio.sleep(self.faults.crash_delay_s)
            await self._crash()
            return
        if target in self.faults.reset_targets:
            assert request.connection is not None
            request.connection.stream.close()  # type: ignore[attr-defined]
            return
        if self.faults.unresponsive:
            return
        headers = {names.request_id: request_id, names.signature: f"{self.sampler_id}/{request_id}"}
        if self.load is not None:
            headers[names.load] = self.load
        if self.faults.fail_status is not None:
            self._reply(request, self.faults.fail_status, headers)
        elif "model" in request.headers:
            await self._stream(request, headers, request_id, after_event or 0)
        else:
            await self._run_lookup(request, headers)

    async def _run_lookup(self, request: HTTPServerRequest, headers: dict[str, str]) -> None:
        """Runs a lookup or a reward call and counts it in the gauge."""
        self.gauge.running += 1
        self.gauge.max_running = max(self.gauge.max_running, self.gauge.running)
        try:
            await asyncio.sleep(self.faults.work_s)
        finally:
            self.gauge.running -= 1
        self._reply(request, 200, headers, b"echo:" + request.body)

    async def _stream(
        self, request: HTTPServerRequest, headers: dict[str, str], request_id: str, after: int
    ) -> None:
        version = self.model_versions.get(request.headers["model"], 0)
        connection = request.connection
        assert connection is not None
        headers |= {"Content-Type": "text/event-stream"}
        headers[self._names.versions] = str(version)
        connection.write_headers(ResponseStartLine("HTTP/1.1", 200, "OK"), HTTPHeaders(headers))
        events = expected_events(request_id, self._events)
        for number, data in enumerate(events[after:], start=after + 1):
            await asyncio.sleep(self._event_interval_s)
            cut = self.faults.disconnect_after_events
            if cut is not None and number - after > cut:
                connection.stream.close()  # type: ignore[attr-defined]
                return
            current = self.model_versions.get(request.headers["model"], 0)
            change = f"{self._names.versions.lower()}: {current}\n" if current != version else ""
            version = current
            connection.write(f"{change}id: {number}\ndata: {data}\n\n".encode())
        self.completed_at.setdefault(request_id, steady_time())
        connection.finish()

    def _reply(
        self, request: HTTPServerRequest, status: int, headers: dict[str, str], body: bytes = b""
    ) -> None:
        assert request.connection is not None
        all_headers = HTTPHeaders({**headers, "Content-Length": str(len(body))})
        start_line = ResponseStartLine("HTTP/1.1", status, "-")
        request.connection.write_headers(start_line, all_headers, body)
        request.connection.finish()
