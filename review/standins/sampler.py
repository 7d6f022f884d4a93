"""A sampler as the pages describe it: reports, orders, event streams of items, and lookups."""

from __future__ import annotations

import asyncio
import collections
import contextlib
import dataclasses
import json
import random
import secrets
from collections.abc import Callable
from typing import Any

from standins.store import Store
from standins.web import Request, Response, encode_response, serve

HEARTBEAT_S = 1.2
REPORT_LAG_S = 0.1
LOAD_S = 0.9
"""Time that a change of version takes."""
EVENT_GAP_S = 0.1


@dataclasses.dataclass
class Run:
    """One run of a request at a sampler, for the record."""

    request_id: str
    sampler: str
    began_at: float
    after_event: int = 0
    versions: dict[int, int] = dataclasses.field(default_factory=dict)
    """Version by event id."""
    ended: str = "running"
    ended_at: float = 0.0


@dataclasses.dataclass
class Work:
    """What a lookup takes and returns."""

    seconds: float
    body: bytes


@dataclasses.dataclass
class ExtraAnswers:
    """Answers that a faulty sampler sends once more, late, on the same connection."""

    share: float = 0.0
    delay_s: tuple[float, float] = (0.0, 0.0)
    sent: int = 0


class Sampler:
    """One sampler on its own port."""

    def __init__(
        self, store: Store, service: str, address: tuple[str, int], slots: int, model: str = ""
    ) -> None:
        self.sampler_id = f"i-{secrets.token_hex(5)}"
        self.version = 1
        self.runs: list[Run] = []
        self.orders: list[dict[str, Any]] = []
        self.on_order: Callable[[dict[str, Any]], None] = lambda order: None
        """Called with each order that was accepted, before its answer is sent."""
        self.work_of: Callable[[Request], Work] = lambda request: Work(0.02, b"answer")
        self.queue = 0
        """Lookups that wait for a slot; more are refused."""
        self.extra = ExtraAnswers()
        self._store = store
        self._service = service
        self._address = address
        self._slots = slots
        self._model = model
        self._running = 0
        self._waiting = 0
        self._slot_freed = asyncio.Event()
        self._busy = False
        self._orders_taken = 0
        self._highest_fence = 0
        self._idle = asyncio.Event()
        self._idle.set()
        self._reports: collections.deque[tuple[float, dict[str, Any]]] = collections.deque(
            maxlen=64
        )
        self._tasks: set[asyncio.Task[None]] = set()
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Starts listening and registers with the store."""
        self._server = await serve(*self._address, self._handle)
        self._spawn(self._beat())
        self._spawn(self._sample_reports())

    def stop(self) -> None:
        """Stops everything."""
        for task in self._tasks:
            task.cancel()
        if self._server is not None:
            self._server.close()

    def _spawn(self, coroutine: Any) -> None:
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _models(self) -> list[dict[str, Any]]:
        if not self._model:
            return []
        return [{"name": self._model, "version": self.version, "adapters": []}]

    async def _beat(self) -> None:
        while True:
            entry = {
                "service": self._service,
                "address": f"{self._address[0]}:{self._address[1]}",
                "zone": "zone-0",
                "version": "v1",
                "slots": self._slots,
                "state": "ready",
                "coldRemainingMs": 0,
                "stage": "both",
                "models": self._models(),
                "seq": 0,
            }
            self._store.put("servers", self.sampler_id, entry)
            await asyncio.sleep(HEARTBEAT_S)

    async def _sample_reports(self) -> None:
        while True:
            report = {
                "stage": "both",
                "models": self._models(),
                "busy": self._busy,
                "seq": self._orders_taken,
                "waiting": 0,
                "running": self._running,
                "kvUsed": 0,
                "kvTotal": 100_000,
                "handles": 0,
            }
            self._reports.append((_now(), report))
            await asyncio.sleep(0.02)

    # Calls.

    async def _handle(
        self, request: Request, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> Response | None:
        expected = request.headers.get("expect-instance", self.sampler_id)
        if expected != self.sampler_id:
            return Response(421, b"", {"Instance-Id": self.sampler_id})
        if request.target == "/report":
            return _json(200, self._report())
        if request.target == "/order":
            return self._order(json.loads(request.body))
        if "token-usage" not in request.headers:
            response = await self._lookup(request)
            self._repeat_late(response, writer)
            return response
        if self._busy or self._running >= self._slots:
            return _refusal(request)
        await self._stream(request, reader, writer)
        return None

    def _report(self) -> dict[str, Any]:
        due = _now() - REPORT_LAG_S
        old = [report for taken_at, report in self._reports if taken_at <= due]
        return old[-1] if old else self._reports[0][1]

    def _order(self, order: dict[str, Any]) -> Response:
        fence = order.get("fence")
        if fence is None or "holder" not in order:
            return Response(400)
        if fence < self._highest_fence:
            return Response(412)
        self._highest_fence = fence
        if order["version"] == self.version:
            return Response(200)
        if self._busy or order.get("expected", self._orders_taken) != self._orders_taken:
            return Response(409)
        self._orders_taken += 1
        self._busy = True
        self.orders.append({**order, "at": _now(), "sampler": self.sampler_id})
        self._spawn(self._load(order["version"], order["strategy"]))
        self.on_order(order)
        return Response(202)

    async def _load(self, version: int, strategy: str) -> None:
        if strategy == "wait":
            await self._idle.wait()
        await asyncio.sleep(LOAD_S)
        self.version = version
        self._busy = False

    def _begin(self, request: Request) -> Run:
        run = Run(request.headers["request-id"], self.sampler_id, _now())
        self.runs.append(run)
        self._running += 1
        self._idle.clear()
        return run

    def _end(self, run: Run, how: str) -> None:
        run.ended, run.ended_at = how, _now()
        self._running -= 1
        self._slot_freed.set()
        if not self._running:
            self._idle.set()

    async def _lookup(self, request: Request) -> Response:
        """Works on although its caller may leave, as some samplers do."""
        if self._running >= self._slots and self._waiting >= self.queue:
            return _refusal(request)
        self._waiting += 1
        while self._running >= self._slots:
            self._slot_freed.clear()
            await self._slot_freed.wait()
        self._waiting -= 1
        run = self._begin(request)
        work = self.work_of(request)
        await asyncio.sleep(work.seconds)
        self._end(run, "whole")
        return Response(200, work.body, self._answer_headers(request))

    def _repeat_late(self, response: Response, writer: asyncio.StreamWriter) -> None:
        """Sends an answer once more after a while, if this one is to come twice."""
        if random.random() >= self.extra.share:
            return
        self.extra.sent += 1

        def send_again() -> None:
            if not writer.is_closing():
                writer.write(encode_response(response))

        delay_s = random.uniform(*self.extra.delay_s)
        asyncio.get_running_loop().call_later(delay_s, send_again)

    def _answer_headers(self, request: Request) -> dict[str, str]:
        return {
            "Request-Id": request.headers["request-id"],
            "Response-Stamp": f"{self.sampler_id}.{len(self.runs)}",
        }

    async def _stream(
        self, request: Request, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Sends the events of an item; drops it once the connection closes."""
        run = self._begin(request)
        run.after_event = int(request.headers.get("last-event-id", "0"))
        total = int(request.headers["token-usage"].split(",")[1])
        closing = asyncio.get_running_loop().create_task(_closed(reader))
        try:
            headers = {
                **self._answer_headers(request),
                "Content-Type": "text/event-stream",
                "Weight-Versions": str(self.version),
                "Transfer-Encoding": "chunked",
            }
            head = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
            writer.write(f"HTTP/1.1 200 OK\r\n{head}\r\n".encode())
            for event_id in range(run.after_event + 1, total + 1):
                await asyncio.wait((closing,), timeout=EVENT_GAP_S)
                if closing.done():
                    self._end(run, "dropped")
                    raise ConnectionResetError
                run.versions[event_id] = self.version
                event = f"id: {event_id}\ndata: {run.request_id}-{event_id}\n\n".encode()
                writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
            writer.write(b"0\r\n\r\n")
            self._end(run, "whole")
        finally:
            if run.ended == "running":
                self._end(run, "dropped")
            closing.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await closing


def _refusal(request: Request) -> Response:
    """The sampler is full: the request has not run."""
    return Response(503, b"", {"Not-Executed": "1", "Request-Id": request.headers["request-id"]})


async def _closed(reader: asyncio.StreamReader) -> None:
    """Returns when the caller closes or resets the connection."""
    with contextlib.suppress(ConnectionError):
        await reader.read(1)


def _now() -> float:
    return asyncio.get_running_loop().time()


def _json(status: int, body: Any) -> Response:
    return Response(status, json.dumps(body).encode(), {"Content-Type": "application/json"})
