"""HTTP servers of the emulated machine list and weight store."""

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
    """The machine list; changes become visible after a delay."""

    def __init__(self, settings: EmulatorSettings) -> None:
        self._lag_s = settings.machine_list.lag_s
        self._machines = {
            sampler.sampler_id: Machine(
                sampler.sampler_id, sampler.pool, sampler.zone, settings.host, sampler.port
            )
            for sampler in settings.samplers
        }
        self._pending_changes: list[tuple[float, str, MachineState]] = []

    def change(self, sampler_id: str, state: MachineState) -> None:
        """Changes the state of a machine; visible after the delay."""
        self._pending_changes.append((steady_time() + self._lag_s, sampler_id, state))

    def visible_machines(self) -> list[Machine]:
        """Returns the machines, with all changes that are visible now."""
        due = [change for change in self._pending_changes if change[0] <= steady_time()]
        self._pending_changes = [change for change in self._pending_changes if change not in due]
        for _, sampler_id, state in due:
            machine = self._machines[sampler_id]
            self._machines[sampler_id] = msgspec.structs.replace(machine, state=state)
        return [self._machines[sampler_id] for sampler_id in sorted(self._machines)]


class MachinesHandler(JsonHandler):
    """`GET /machines`, `POST /machines/{id}/{state}`."""

    def initialize(self, state: MachineListState) -> None:
        """Sets the shared state; called by tornado."""
        self.state = state

    def get(self) -> None:
        """Returns the visible machines."""
        self.finish_json(self.state.visible_machines())

    def post(self, sampler_id: str, state: str) -> None:
        """Changes the state of a machine."""
        self.state.change(sampler_id, MachineState(state))
        self.finish_json({})


def machine_list_application(settings: EmulatorSettings) -> Application:
    """Returns the web application of the machine list."""
    shared = {"state": MachineListState(settings)}
    return Application(
        [
            (r"/machines", MachinesHandler, shared),
            (r"/machines/([^/]+)/([^/]+)", MachinesHandler, shared),
        ],
        log_function=lambda handler: None,
    )


class WeightsHandler(JsonHandler):
    """`GET`, `PUT /weights/{model}/{version}`: simulates transfers; no weights are sent."""

    def initialize(self, stored_sizes: dict[tuple[str, int], int], limit: RateLimit) -> None:
        """Sets the shared state; called by tornado."""
        self.stored_sizes = stored_sizes
        self.limit = limit

    async def get(self, model: str, version: str) -> None:
        """Responds after the duration of the transfer."""
        size = self.stored_sizes.get(
            (model, int(version)), int(self.get_query_argument("size_bytes"))
        )
        now = steady_time()
        await asyncio.sleep(self.limit.finished_at(now, size) - now)
        self.finish_json({"size_bytes": size})

    def put(self, model: str, version: str) -> None:
        """Records the size of a stored version."""
        body = msgspec.json.decode(self.request.body, type=dict[str, int])
        self.stored_sizes[(model, int(version))] = body["size_bytes"]
        self.finish_json({})


def weight_store_application(settings: EmulatorSettings) -> Application:
    """Returns the web application of the weight store."""
    shared = {"stored_sizes": {}, "limit": RateLimit(settings.weight_store.bytes_per_s)}
    return Application(
        [(r"/weights/([^/]+)/([0-9]+)", WeightsHandler, shared)],
        log_function=lambda handler: None,
    )
