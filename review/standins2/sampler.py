"""A model sampler, or a lookup sampler, that follows the users' protocol."""

from __future__ import annotations

import asyncio
import hashlib
import json
import random
import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from standins2.http import Request, Response, Server
from standins2.store import Store

HEARTBEAT_S = 1.2
LOAD_S = 0.9
SPOILED_BODY = b"these bytes belong to no request"


@dataclass(frozen=True)
class Run:
    """A request that this sampler began to run."""

    at: float
    request_id: str
    after: int
    """The event after which it continues."""
    version: int


def event_data(item_id: str, number: int) -> str:
    """The data of an event: the same at every sampler."""
    return hashlib.blake2s(f"{item_id}/{number}".encode()).hexdigest()[:12]


class Sampler:
    """One incarnation.

    A body `events=N` asks a model sampler for N events; `Work-S` says how long a lookup works.
    """

    def __init__(
        self,
        store: Store,
        sampler_id: str,
        service: str,
        zone: str,
        note: Callable[[str], None],
        slots: int = 4,
        models: dict[str, int] | None = None,
        event_s: float = 0.04,
        lookup_body: bytes = b"looked up",
        load_s: float = LOAD_S,
        lookup_s: float = 0.0,
    ) -> None:
        self.sampler_id = sampler_id
        self.service = service
        self.models = dict(models or {})
        self.runs: list[Run] = []
        self.completed_at: dict[str, float] = {}
        """When the work on a lookup ended, by request id."""
        self.running = 0
        self.order_accepted: Callable[[], None] = lambda: None
        self.is_serving = True
        self.spoiled_share = 0.0
        """Share of its lookups that are answered with bytes that are no answer in the protocol."""
        self._store = store
        self._zone = zone
        self._note = note
        self._slots = slots
        self._event_s = event_s
        self._lookup_body = lookup_body
        self._load_s = load_s
        self._lookup_s = lookup_s
        self._rng = random.Random(sampler_id)
        self._state = "ready"
        self._seq = 0
        self._fence = 0
        self._loading: str | None = None
        self._running_by_model: dict[str, int] = {}
        self._born = int(time.time() * 1000)
        self._address = ""
        self._server = Server(self._handle)
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self, host: str) -> None:
        """Listens, and registers itself in the store."""
        self._address = f"{host}:{await self._server.start(host, 0)}"
        self._register()
        self._spawn(self._heartbeats())

    def stop(self) -> None:
        """Ends at once."""
        self.is_serving = False
        for task in self._tasks:
            task.cancel()
        self._server.stop()

    async def drain_and_leave(self, drain_s: float) -> None:
        """States `draining`, serves on for the drain time and a little longer, and ends."""
        self._state = "draining"
        self._register()
        self._note(f"{self.sampler_id} states draining")
        await asyncio.sleep(drain_s + 0.5)
        while self.running:
            await asyncio.sleep(0.05)
        self._store.remove("servers", self.sampler_id)
        self.stop()
        self._note(f"{self.sampler_id} has left")

    def _spawn(self, work: Any) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _register(self) -> None:
        models = [
            {"name": name, "version": version, "adapters": []}
            for name, version in self.models.items()
        ]
        self._store.put(
            "servers",
            self.sampler_id,
            {
                "service": self.service,
                "address": self._address,
                "zone": self._zone,
                "version": "1.0",
                "slots": self._slots,
                "state": self._state,
                "coldRemainingMs": 0,
                "stage": "both",
                "models": models,
                "born": self._born,
            },
        )

    async def _heartbeats(self) -> None:
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            self._register()

    # Requests.

    async def _handle(self, request: Request) -> Response | None:
        expected = request.headers.get("expect-instance", self.sampler_id)
        if expected != self.sampler_id:
            return Response(421, b"", {"Instance-Id": self.sampler_id})
        if request.method == "GET" and request.target == "/report":
            return self._report()
        if request.method == "POST" and request.target == "/order":
            return self._order(json.loads(request.body))
        model = request.headers.get("model", "")
        echo = {"Request-Id": request.headers.get("request-id", "")}
        if self._loading == model or self.running >= self._slots:
            return Response(503, b"", {"Not-Executed": "1", **echo})
        self.running += 1
        self._running_by_model[model] = self._running_by_model.get(model, 0) + 1
        try:
            if model:
                await self._stream(request, model)
                return None
            return await self._lookup(request)
        finally:
            self.running -= 1
            self._running_by_model[model] -= 1

    def _report(self) -> Response:
        models = [
            {"name": name, "version": version, "adapters": []}
            for name, version in self.models.items()
        ]
        report = {
            "stage": "both",
            "models": models,
            "busy": self._loading is not None,
            "seq": self._seq,
            "waiting": 0,
            "running": self.running,
            "kvUsed": 0,
            "kvTotal": 100_000,
            "handles": 0,
        }
        return Response(200, json.dumps(report).encode(), {"Content-Type": "application/json"})

    def _order(self, order: dict[str, Any]) -> Response:
        if order["fence"] < self._fence:
            return Response(412)
        self._fence = order["fence"]
        model, version = order["model"], order["version"]
        if self.models.get(model) == version:
            return Response(200)
        if self._loading is not None or order.get("expected", self._seq) != self._seq:
            return Response(409)
        self._seq += 1
        self._loading = model
        self._note(
            f"{self.sampler_id} takes the order of {order['holder']}, fence {order['fence']}: "
            f"version {version}, strategy {order['strategy']}"
        )
        self._spawn(self._load(model, version, order["strategy"]))
        self.order_accepted()
        return Response(202)

    async def _load(self, model: str, version: int, strategy: str) -> None:
        while strategy == "wait" and self._running_by_model.get(model, 0):
            await asyncio.sleep(0.01)
        await asyncio.sleep(self._load_s)
        self.models[model] = version
        self._loading = None
        self._note(f"{self.sampler_id} has version {version}")

    async def _lookup(self, request: Request) -> Response:
        request_id = request.headers["request-id"]
        self.runs.append(Run(time.perf_counter(), request_id, 0, 0))
        self._note(f"{self.sampler_id} runs lookup {request_id}")
        await asyncio.sleep(float(request.headers.get("work-s", self._lookup_s)))
        self.completed_at[request_id] = time.perf_counter()
        if self._rng.random() < self.spoiled_share:
            self._note(f"{self.sampler_id} spoils its answer to {request_id}")
            return Response(200, SPOILED_BODY)
        headers = {"Request-Id": request_id, "Response-Stamp": f"{self.sampler_id}.{request_id}"}
        return Response(200, self._lookup_body, headers)

    async def _stream(self, request: Request, model: str) -> None:
        request_id = request.headers["request-id"]
        after = int(request.headers.get("last-event-id", "0"))
        count = int(request.body.decode().partition("=")[2])
        version = self.models[model]
        self.runs.append(Run(time.perf_counter(), request_id, after, version))
        self._note(f"{self.sampler_id} runs {request_id} after event {after}, version {version}")
        head = [
            "HTTP/1.1 200 OK",
            "Content-Type: text/event-stream",
            "Transfer-Encoding: chunked",
            "Connection: close",
            f"Request-Id: {request_id}",
            f"Response-Stamp: {self.sampler_id}.{request_id}",
            f"Weight-Versions: {version}",
        ]
        request.writer.write(("\r\n".join(head) + "\r\n\r\n").encode())
        for number in range(after + 1, count + 1):
            await asyncio.sleep(self._event_s)
            if request.closed.is_set():
                return
            current = self.models[model]
            change = f"weight-versions: {current}\n" if current != version else ""
            version = current
            event = f"{change}id: {number}\ndata: {event_data(request_id, number)}\n\n".encode()
            request.writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
        request.writer.write(b"0\r\n\r\n")
        await request.writer.drain()
