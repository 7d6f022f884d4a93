"""The lagging machine list and the rate-limited weight store over HTTP."""

from __future__ import annotations

import asyncio

import msgspec
from tornado.web import Application

from stileloom.api.objects import Machine, MachineState
from stileloom.clock import steady_time
from stileloom.emulator.json_handler import JsonHandler
from stileloom.emulator.rate_limit import RateLimit
from stileloom.emulator.settings import EmulatorSettings


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
        self._changes.append((steady_time() + self._lag_s, sampler_id, state))

    def shown(self) -> list[Machine]:
        """The list as a reader sees it now."""
        due = [change for change in self._changes if change[0] <= steady_time()]
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


class WeightsHandler(JsonHandler):
    """`GET`, `PUT /weights/{model}/{version}`: transfers take their time, without the bytes."""

    def initialize(self, held: dict[tuple[str, int], int], limit: RateLimit) -> None:
        """Takes the shared state."""
        self.held = held
        self.limit = limit

    async def get(self, model: str, version: str) -> None:
        """Answers when the transfer would be done."""
        size = self.held.get((model, int(version)), int(self.get_query_argument("size_bytes")))
        now = steady_time()
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
