"""The stand-ins over HTTP: object API, machine list, weight store, engines."""

from __future__ import annotations

import asyncio
import random
import signal
import time

import msgspec
from tornado.httpclient import AsyncHTTPClient, HTTPClientError, HTTPRequest
from tornado.iostream import StreamClosedError
from tornado.web import Application, RequestHandler

from stileloom.api.engine import (
    CancelReply,
    EngineOrder,
    GenerateRequest,
    LoadReport,
    StreamEnd,
)
from stileloom.api.objects import Machine, MachineState
from stileloom.emulator.engine_model import EngineModel
from stileloom.emulator.object_api_model import CasConflictError, ObjectApiModel
from stileloom.emulator.settings import EmulatorSettings, SamplerSettings

STREAM_INTERVAL_S = 0.02
WATCH_POLL_S = 0.02
LOAD_TIMEOUT_S = 60.0
LEAVE_POLL_S = 0.05


class JsonHandler(RequestHandler):
    """Answers JSON."""

    def answer(self, value: object, status: int = 200) -> None:
        """Ends with a JSON document."""
        self.set_status(status)
        self.set_header("Content-Type", "application/json")
        self.finish(msgspec.json.encode(value))


# Object API.


class ObjectApiState:
    """The store with its faults."""

    def __init__(self, settings: EmulatorSettings) -> None:
        self.model = ObjectApiModel()
        self.delay_s = settings.object_api.delay_s
        self.lost_answer_probability = settings.object_api.lost_answer_probability
        self.down_until = 0.0
        self.rng = random.Random(f"{settings.seed}/object-api")


class ObjectApiHandler(JsonHandler):
    """Base: applies the faults."""

    def initialize(self, state: ObjectApiState) -> None:
        """Takes the shared state."""
        self.state = state

    async def prepare(self) -> None:
        """Slow, or down."""
        if self.state.delay_s:
            await asyncio.sleep(self.state.delay_s)
        if time.monotonic() < self.state.down_until:
            self.set_status(503)
            self.finish()


class ObjectListHandler(ObjectApiHandler):
    """`GET /objects`."""

    def get(self) -> None:
        """Everything at one revision."""
        model = self.state.model
        self.answer({"revision": model.revision, "objects": model.list()})


class WatchHandler(ObjectApiHandler):
    """`GET /watch?after=&wait_s=`."""

    async def get(self) -> None:
        """Everything as soon as the revision is above `after`, or 204."""
        after = int(self.get_query_argument("after"))
        give_up_at = time.monotonic() + float(self.get_query_argument("wait_s", "1"))
        model = self.state.model
        while model.revision <= after:
            if time.monotonic() >= give_up_at:
                self.set_status(204)
                self.finish()
                return
            await asyncio.sleep(WATCH_POLL_S)
        self.answer({"revision": model.revision, "objects": model.list()})


class ObjectHandler(ObjectApiHandler):
    """`GET`, `PUT`, `DELETE /objects/{kind}/{name}`."""

    def get(self, kind: str, name: str) -> None:
        """One object."""
        stored = self.state.model.get(kind, name)
        if stored is None:
            self.answer({"error": "no such object"}, 404)
        else:
            self.answer(stored)

    def put(self, kind: str, name: str) -> None:
        """Compare-and-swap."""
        self._write(kind, name, msgspec.json.decode(self.request.body))

    def delete(self, kind: str, name: str) -> None:
        """Compare-and-swap to nothing."""
        self._write(kind, name, None)

    def _write(self, kind: str, name: str, spec: dict[str, object] | None) -> None:
        expected = self.request.headers.get("If-Match")
        change_id = self.request.headers.get("X-Change-Id", "")
        try:
            revision = self.state.model.write(
                kind, name, int(expected) if expected is not None else None, change_id, spec
            )
        except CasConflictError as error:
            self.answer({"error": str(error)}, 409)
            return
        if self.state.rng.random() < self.state.lost_answer_probability:
            self.set_status(503)
            self.finish()
            return
        self.set_header("X-Revision", str(revision))
        self.answer({"revision": revision})


class FaultHandler(JsonHandler):
    """`POST /faults`: sets `down_s`, `delay_s` or `lost_answer_probability` from now on."""

    def initialize(self, state: ObjectApiState) -> None:
        """Takes the shared state."""
        self.state = state

    def post(self) -> None:
        """Brings a fault about."""
        body = msgspec.json.decode(self.request.body, type=dict[str, float])
        if "down_s" in body:
            self.state.down_until = time.monotonic() + body["down_s"]
        self.state.delay_s = body.get("delay_s", self.state.delay_s)
        self.state.lost_answer_probability = body.get(
            "lost_answer_probability", self.state.lost_answer_probability
        )
        self.answer({})


def object_api_application(settings: EmulatorSettings) -> Application:
    """The object API."""
    shared = {"state": ObjectApiState(settings)}
    return Application(
        [
            (r"/objects", ObjectListHandler, shared),
            (r"/objects/([^/]+)/([^/]+)", ObjectHandler, shared),
            (r"/watch", WatchHandler, shared),
            (r"/faults", FaultHandler, shared),
        ],
        log_function=lambda handler: None,
    )


# Machine list.


class MachineListState:
    """The list, which shows changes only after its lag."""

    def __init__(self, settings: EmulatorSettings) -> None:
        self._lag_s = settings.machine_list.lag_s
        self._shown = {
            sampler.sampler_id: Machine(
                sampler.sampler_id, sampler.pool, sampler.zone, settings.host, sampler.port
            )
            for sampler in settings.samplers
        }
        self._changes: list[tuple[float, str, MachineState]] = []

    def change(self, sampler_id: str, state: MachineState) -> None:
        """A machine changes; it shows after the lag."""
        self._changes.append((time.monotonic() + self._lag_s, sampler_id, state))

    def shown(self) -> list[Machine]:
        """The list as a reader sees it now."""
        due = [change for change in self._changes if change[0] <= time.monotonic()]
        self._changes = [change for change in self._changes if change not in due]
        for _, sampler_id, state in due:
            machine = self._shown[sampler_id]
            self._shown[sampler_id] = msgspec.structs.replace(machine, state=state)
        return [self._shown[sampler_id] for sampler_id in sorted(self._shown)]


class MachinesHandler(JsonHandler):
    """`GET /machines`, `POST /machines/{id}/{state}`."""

    def initialize(self, state: MachineListState) -> None:
        """Takes the shared state."""
        self.state = state

    def get(self) -> None:
        """The list."""
        self.answer(self.state.shown())

    def post(self, sampler_id: str, state: str) -> None:
        """Changes a machine."""
        self.state.change(sampler_id, MachineState(state))
        self.answer({})


def machine_list_application(settings: EmulatorSettings) -> Application:
    """The machine list."""
    shared = {"state": MachineListState(settings)}
    return Application(
        [
            (r"/machines", MachinesHandler, shared),
            (r"/machines/([^/]+)/([^/]+)", MachinesHandler, shared),
        ],
        log_function=lambda handler: None,
    )


# Weight store.


class RateLimit:
    """First come, first served at a total rate."""

    def __init__(self, bytes_per_s: float) -> None:
        self._bytes_per_s = bytes_per_s
        self._free_at = 0.0

    def finished_at(self, now: float, size_bytes: int) -> float:
        """When a transfer that is asked for now ends."""
        self._free_at = max(now, self._free_at) + size_bytes / self._bytes_per_s
        return self._free_at


class WeightsHandler(JsonHandler):
    """`GET`, `PUT /weights/{model}/{version}`: transfers take their time, without the bytes."""

    def initialize(self, held: dict[tuple[str, int], int], limit: RateLimit) -> None:
        """Takes the shared state."""
        self.held = held
        self.limit = limit

    async def get(self, model: str, version: str) -> None:
        """Answers when the transfer would be done."""
        size = self.held.get((model, int(version)), int(self.get_query_argument("size_bytes")))
        now = time.monotonic()
        await asyncio.sleep(self.limit.finished_at(now, size) - now)
        self.answer({"size_bytes": size})

    def put(self, model: str, version: str) -> None:
        """A trainer stores a version."""
        body = msgspec.json.decode(self.request.body, type=dict[str, int])
        self.held[(model, int(version))] = body["size_bytes"]
        self.answer({})


def weight_store_application(settings: EmulatorSettings) -> Application:
    """The weight store."""
    shared = {"held": {}, "limit": RateLimit(settings.weight_store.bytes_per_s)}
    return Application(
        [(r"/weights/([^/]+)/([0-9]+)", WeightsHandler, shared)],
        log_function=lambda handler: None,
    )


# Engines.


class EngineService:
    """An engine model in real time."""

    def __init__(self, settings: EmulatorSettings, sampler: SamplerSettings) -> None:
        self.model = EngineModel(
            sampler.sampler_id,
            sampler.engine,
            sampler.role,
            sampler.model,
            sampler.version,
            random.Random(f"{settings.seed}/{sampler.sampler_id}"),
        )
        self._store = f"http://{settings.host}:{settings.weight_store.port}"
        self._http = AsyncHTTPClient(force_instance=True)
        self._report: LoadReport | None = None
        self._reported_at = float("-inf")
        self._loads: set[asyncio.Task[None]] = set()

    def report(self) -> LoadReport:
        """The load, up to `load_lag_s` old."""
        now = time.monotonic()
        lag_s = self.model.parameters.load_lag_s
        if self._report is None or now >= self._reported_at + lag_s:
            self._report = self.model.report(now)
            self._reported_at = now
        return self._report

    def order(self, order: EngineOrder) -> None:
        """Takes a fenced order. Raises `PermissionError`."""
        if self.model.order(time.monotonic(), order):
            task = asyncio.get_running_loop().create_task(self._load(order))
            self._loads.add(task)
            task.add_done_callback(self._loads.discard)

    async def _load(self, order: EngineOrder) -> None:
        size = self.model.parameters.weight_bytes
        base = f"http://{order.source}/v1" if order.source else self._store
        url = f"{base}/weights/{order.model}/{order.version}?size_bytes={size}"
        success = self.model.draw_load_success()
        try:
            await self._http.fetch(HTTPRequest(url, request_timeout=LOAD_TIMEOUT_S))
        except (HTTPClientError, OSError):
            success = False
        self.model.finish_load(time.monotonic(), order, success)


class EngineHandler(JsonHandler):
    """Base of an engine's handlers."""

    def initialize(self, service: EngineService) -> None:
        """Takes the engine."""
        self.service = service


class GenerateHandler(EngineHandler):
    """`POST /v1/completions`: a stream of server-sent events."""

    async def post(self) -> None:
        """Runs a generation and streams its tokens."""
        request = msgspec.json.decode(self.request.body, type=GenerateRequest)
        model = self.service.model
        refusal = model.submit(time.monotonic(), request)
        if refusal is not None:
            self.answer(refusal, 409)
            return
        self.set_header("Content-Type", "text/event-stream")
        try:
            await self._stream(request.request_id)
        except StreamClosedError:
            model.cancel(time.monotonic(), request.request_id)

    async def _stream(self, request_id: str) -> None:
        while True:
            frames = self.service.model.poll(time.monotonic(), request_id)
            if frames is None:
                # Cut off: the connection ends without the counted last frame.
                self.finish()
                return
            for frame in frames:
                self.write(b"data: " + msgspec.json.encode(frame) + b"\n\n")
            if frames:
                await self.flush()
            if frames and isinstance(frames[-1], StreamEnd):
                self.finish()
                return
            await asyncio.sleep(STREAM_INTERVAL_S)

    def on_connection_close(self) -> None:
        """The reader went away."""
        request = msgspec.json.decode(self.request.body, type=GenerateRequest)
        self.service.model.cancel(time.monotonic(), request.request_id)


class CancelHandler(EngineHandler):
    """`POST /v1/cancellations`."""

    def post(self) -> None:
        """Cancels by id and says whether it ever began."""
        request_id = msgspec.json.decode(self.request.body, type=dict[str, str])["request_id"]
        state = self.service.model.cancel(time.monotonic(), request_id)
        self.answer(CancelReply(state))


class LoadHandler(EngineHandler):
    """`GET /v1/load`."""

    def get(self) -> None:
        """The load, with a lag."""
        self.answer(self.service.report())


class OrderHandler(EngineHandler):
    """`POST /v1/orders`."""

    def post(self) -> None:
        """Takes a fenced order."""
        try:
            self.service.order(msgspec.json.decode(self.request.body, type=EngineOrder))
        except PermissionError as error:
            self.answer({"error": str(error)}, 409)
            return
        self.answer({}, 202)


class PeerWeightsHandler(EngineHandler):
    """`GET /v1/weights/{model}/{version}`: passes weights on to another engine."""

    async def get(self, model: str, version: str) -> None:
        """Answers when the transfer would be done."""
        engine = self.service.model
        if (engine.model, engine.version) != (model, int(version)):
            self.answer({"error": "not held"}, 404)
            return
        await asyncio.sleep(engine.parameters.weight_bytes / engine.parameters.peer_bytes_per_s)
        self.answer({})


def engine_application(service: EngineService) -> Application:
    """An engine's interface."""
    shared = {"service": service}
    return Application(
        [
            (r"/v1/completions", GenerateHandler, shared),
            (r"/v1/cancellations", CancelHandler, shared),
            (r"/v1/load", LoadHandler, shared),
            (r"/v1/orders", OrderHandler, shared),
            (r"/v1/weights/([^/]+)/([0-9]+)", PeerWeightsHandler, shared),
        ],
        log_function=lambda handler: None,
    )


async def run_until_stopped(
    application: Application, host: str, port: int, engine: EngineService | None = None
) -> None:
    """Serves until SIGTERM; an engine first finishes what it runs."""
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    server = application.listen(port, address=host)
    await stop.wait()
    if engine is not None:
        engine.model.leave(time.monotonic())
        while engine.model.open_count > 0:
            await asyncio.sleep(LEAVE_POLL_S)
    server.stop()
