"""HTTP server of the emulated object API, with fault injection."""

from __future__ import annotations

import asyncio
import random

import msgspec
from tornado.web import Application

from stileloom.clock import steady_time
from stileloom.emulator.json_handler import JsonHandler
from stileloom.emulator.object_api_model import CasConflictError, ObjectApiModel
from stileloom.emulator.settings import EmulatorSettings

WATCH_POLL_S = 0.02


class ObjectApiState:
    """The object store and the injected faults."""

    def __init__(self, settings: EmulatorSettings) -> None:
        self.model = ObjectApiModel()
        self.delay_s = settings.object_api.delay_s
        self.lost_answer_probability = settings.object_api.lost_answer_probability
        self.unavailable_until = 0.0
        self.rng = random.Random(f"{settings.seed}/object-api")


class ObjectApiHandler(JsonHandler):
    """Base class that applies the injected faults."""

    def initialize(self, state: ObjectApiState) -> None:
        """Sets the shared state; called by tornado."""
        self.state = state

    async def prepare(self) -> None:
        """Delays the response, or answers 503 during an outage."""
        if self.state.delay_s:
            await asyncio.sleep(self.state.delay_s)
        if steady_time() < self.state.unavailable_until:
            self.set_status(503)
            self.finish()


class ObjectListHandler(ObjectApiHandler):
    """`GET /objects`."""

    def get(self) -> None:
        """Returns all objects and the current revision."""
        model = self.state.model
        self.finish_json({"revision": model.revision, "objects": model.list()})


class WatchHandler(ObjectApiHandler):
    """`GET /watch?after=&wait_s=`."""

    async def get(self) -> None:
        """Returns all objects once the revision exceeds `after`, or 204 on a timeout."""
        after = int(self.get_query_argument("after"))
        give_up_at = steady_time() + float(self.get_query_argument("wait_s", "1"))
        model = self.state.model
        while model.revision <= after:
            if steady_time() >= give_up_at:
                self.set_status(204)
                self.finish()
                return
            await asyncio.sleep(WATCH_POLL_S)
        self.finish_json({"revision": model.revision, "objects": model.list()})


class ObjectHandler(ObjectApiHandler):
    """`GET`, `PUT`, `DELETE /objects/{kind}/{name}`."""

    def get(self, kind: str, name: str) -> None:
        """Returns an object, or 404."""
        stored = self.state.model.get(kind, name)
        if stored is None:
            self.finish_json({"error": "no such object"}, 404)
        else:
            self.finish_json(stored)

    def put(self, kind: str, name: str) -> None:
        """Writes an object with compare-and-swap."""
        self._write(kind, name, msgspec.json.decode(self.request.body))

    def delete(self, kind: str, name: str) -> None:
        """Deletes an object with compare-and-swap."""
        self._write(kind, name, None)

    def _write(self, kind: str, name: str, spec: dict[str, object] | None) -> None:
        expected = self.request.headers.get("If-Match")
        change_id = self.request.headers.get("X-Change-Id", "")
        try:
            revision = self.state.model.write(
                kind, name, int(expected) if expected is not None else None, change_id, spec
            )
        except CasConflictError as error:
            self.finish_json({"error": str(error)}, 409)
            return
        if self.state.rng.random() < self.state.lost_answer_probability:
            self.set_status(503)
            self.finish()
            return
        self.set_header("X-Revision", str(revision))
        self.finish_json({"revision": revision})


class FaultHandler(JsonHandler):
    """`POST /faults`: sets `down_s`, `delay_s` or `lost_answer_probability`."""

    def initialize(self, state: ObjectApiState) -> None:
        """Sets the shared state; called by tornado."""
        self.state = state

    def post(self) -> None:
        """Injects faults."""
        body = msgspec.json.decode(self.request.body, type=dict[str, float])
        if "down_s" in body:
            self.state.unavailable_until = steady_time() + body["down_s"]
        self.state.delay_s = body.get("delay_s", self.state.delay_s)
        self.state.lost_answer_probability = body.get(
            "lost_answer_probability", self.state.lost_answer_probability
        )
        self.finish_json({})


def object_api_application(settings: EmulatorSettings) -> Application:
    """Returns the web application of the object API."""
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
