"""Runs the emulated object API in the current event loop, on a port selected by the kernel."""

from __future__ import annotations

import contextlib
from collections.abc import Iterator

from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets

from stileloom.emulator.object_api_server import object_api_application
from stileloom.emulator.settings import (
    EmulatorSettings,
    MachineListSettings,
    ObjectApiSettings,
    WeightStoreSettings,
)

HOST = "127.0.0.1"


@contextlib.contextmanager
def object_api() -> Iterator[str]:
    """Serves the object API and yields its address."""
    application = object_api_application(
        EmulatorSettings(
            seed=1,
            object_api=ObjectApiSettings(port=1),
            machine_list=MachineListSettings(port=1),
            weight_store=WeightStoreSettings(port=1),
            samplers=[],
        )
    )
    sockets = bind_sockets(0, address=HOST)
    server = HTTPServer(application)
    server.add_sockets(sockets)
    try:
        yield f"{HOST}:{sockets[0].getsockname()[1]}"
    finally:
        server.stop()
