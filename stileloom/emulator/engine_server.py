"""HTTP interface of the emulated engine."""

from __future__ import annotations

import asyncio
import random

import msgspec
from tornado.httpclient import AsyncHTTPClient, HTTPClientError, HTTPRequest
from tornado.iostream import StreamClosedError
from tornado.web import Application

from stileloom.api.engine import CancelReply, EngineOrder, GenerateRequest, LoadReport, StreamEnd
from stileloom.clock import steady_time
from stileloom.emulator.engine_model import EngineModel
from stileloom.emulator.json_handler import JsonHandler
from stileloom.emulator.settings import EmulatorSettings, SamplerSettings

STREAM_INTERVAL_S = 0.02
LOAD_TIMEOUT_S = 60.0


class EngineService:
    """Runs an engine model in real time."""

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
        self._load_tasks: set[asyncio.Task[None]] = set()

    def report(self) -> LoadReport:
        """Returns a load report that is at most `load_lag_s` old."""
        now = steady_time()
        lag_s = self.model.parameters.load_lag_s
        if self._report is None or now >= self._reported_at + lag_s:
            self._report = self.model.report(now)
            self._reported_at = now
        return self._report

    def order(self, order: EngineOrder) -> None:
        """Applies a fenced order. Raises `PermissionError` if its token is outdated."""
        if self.model.order(steady_time(), order):
            task = asyncio.get_running_loop().create_task(self._load(order))
            self._load_tasks.add(task)
            task.add_done_callback(self._load_tasks.discard)

    async def _load(self, order: EngineOrder) -> None:
        size = self.model.parameters.weight_bytes
        base = f"http://{order.source}/v1" if order.source else self._store
        url = f"{base}/weights/{order.model}/{order.version}?size_bytes={size}"
        success = self.model.draw_load_success()
        try:
            await self._http.fetch(HTTPRequest(url, request_timeout=LOAD_TIMEOUT_S))
        except (HTTPClientError, OSError):
            success = False
        self.model.finish_load(steady_time(), order, success)


class EngineHandler(JsonHandler):
    """Base class of the engine's request handlers."""

    def initialize(self, service: EngineService) -> None:
        """Sets the engine; called by tornado."""
        self.service = service


class GenerateHandler(EngineHandler):
    """`POST /v1/completions`: streams tokens as server-sent events."""

    async def post(self) -> None:
        """Submits a generation and streams its tokens."""
        request = msgspec.json.decode(self.request.body, type=GenerateRequest)
        model = self.service.model
        refusal = model.submit(steady_time(), request)
        if refusal is not None:
            self.finish_json(refusal, 409)
            return
        self.set_header("Content-Type", "text/event-stream")
        try:
            await self._stream(request.request_id)
        except StreamClosedError:
            model.cancel(steady_time(), request.request_id)

    async def _stream(self, request_id: str) -> None:
        while True:
            frames = self.service.model.poll(steady_time(), request_id)
            if frames is None:
                # The generation was aborted: end the response without a final `StreamEnd` frame.
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
        """Cancels the generation when the client disconnects."""
        request = msgspec.json.decode(self.request.body, type=GenerateRequest)
        self.service.model.cancel(steady_time(), request.request_id)


class CancelHandler(EngineHandler):
    """`POST /v1/cancellations`."""

    def post(self) -> None:
        """Cancels a generation by id and reports whether it had started."""
        request_id = msgspec.json.decode(self.request.body, type=dict[str, str])["request_id"]
        state = self.service.model.cancel(steady_time(), request_id)
        self.finish_json(CancelReply(state))


class LoadHandler(EngineHandler):
    """`GET /v1/load`."""

    def get(self) -> None:
        """Returns the load report."""
        self.finish_json(self.service.report())


class OrderHandler(EngineHandler):
    """`POST /v1/orders`."""

    def post(self) -> None:
        """Applies a fenced order, or answers 409."""
        try:
            self.service.order(msgspec.json.decode(self.request.body, type=EngineOrder))
        except PermissionError as error:
            self.finish_json({"error": str(error)}, 409)
            return
        self.finish_json({}, 202)


class PeerWeightsHandler(EngineHandler):
    """`GET /v1/weights/{model}/{version}`: transfers weights to another engine."""

    async def get(self, model: str, version: str) -> None:
        """Responds after the duration of the transfer; no bytes are sent."""
        engine = self.service.model
        if (engine.model, engine.version) != (model, int(version)):
            self.finish_json({"error": "model version is not loaded"}, 404)
            return
        await asyncio.sleep(engine.parameters.weight_bytes / engine.parameters.peer_bytes_per_s)
        self.finish_json({})


def engine_application(service: EngineService) -> Application:
    """Returns the web application of an engine."""
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
