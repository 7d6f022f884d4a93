"""A small deployment with its store and samplers, which ends with the scenario."""

from __future__ import annotations

import contextlib
from collections.abc import AsyncIterator, Callable
from pathlib import Path
from typing import Any

from standins.programs import Deployment, free_ports
from standins.sampler import Sampler
from standins.store import Store
from standins.trainer import MODEL, SERVICE, configure, model_service, rollout_route

GATEWAYS = 2
LEDGER_NODES = 3
MODEL_SAMPLERS = 3
MODEL_SLOTS = 4

Address = tuple[str, int]


class Site:
    """The system's machines, the store and the samplers; no process is started yet."""

    def __init__(self, deployment: Deployment, store: Store, samplers: list[Sampler]) -> None:
        self.deployment = deployment
        self.store = store
        self.samplers = samplers


@contextlib.asynccontextmanager
async def small_site(
    folder: Path,
    routes: list[dict[str, Any]],
    services: list[dict[str, Any]],
    new_sampler: Callable[[Store, Address], Sampler],
    samplers: int,
    spares: int = 0,
) -> AsyncIterator[Site]:
    """Starts store and samplers, and ends all processes and servers afterwards."""
    deployment = Deployment(folder, GATEWAYS, LEDGER_NODES, spares)
    store = Store()
    server = await store.start(*deployment.store_address)
    configure(store, 1, routes, services)
    ports = free_ports([deployment.sampler_host], samplers)
    started = [new_sampler(store, (deployment.sampler_host, port)) for port in ports]
    for sampler in started:
        await sampler.start()
    try:
        yield Site(deployment, store, started)
    finally:
        deployment.kill_all()
        for sampler in started:
            sampler.stop()
        server.close()


def training_site(folder: Path) -> contextlib.AbstractAsyncContextManager[Site]:
    """A small site with one model, its trainer's route, and one machine that may be added."""

    def new_sampler(store: Store, address: Address) -> Sampler:
        return Sampler(store, SERVICE, address, MODEL_SLOTS, MODEL)

    services = [model_service(MODEL_SLOTS)]
    return small_site(folder, [rollout_route()], services, new_sampler, MODEL_SAMPLERS, spares=1)
