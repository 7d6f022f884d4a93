"""A batch route moves to another service, and the samplers of the old one are taken away."""

from __future__ import annotations

import asyncio
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins2.caller import (  # noqa: E402
    Job,
    Trainer,
    configuration,
    model_service,
    rollout_route,
)
from standins2.case import TROUBLE, Case, run_case  # noqa: E402
from standins2.platform import CannotRun  # noqa: E402
from standins2.sampler import Sampler  # noqa: E402

PREFIX = "/drafts/"
MODEL = "m0"
SAMPLERS = {"pool-a": 1, "pool-b": 7}
"""One sampler of eight is taken away: an eighth."""
OLD, NEW = SAMPLERS
SLOTS = 4
ITEMS = 16
EVENTS = 50
MOVE_AFTER_S = 1.0
CONFIG_S = 2.0
DRAIN_S = 2.0
DEADLINE_S = 25.0
UNSERVED_S = 5.0


async def play(case: Case) -> bool:
    """A job is taken; then the operator moves its route and empties the old service."""
    deployment = case.deployment
    services = [model_service(name, SLOTS, [MODEL]) for name in SAMPLERS]
    route = rollout_route(PREFIX, OLD, deadlineMs=DEADLINE_S * 1000, maxWaitS=60.0)
    await deployment.start(configuration(1, [route], services))
    for name, count in SAMPLERS.items():
        for number in range(count):
            sampler = Sampler(
                deployment.store,
                f"{name}-{number}",
                name,
                "zone-a",
                case.record.note,
                SLOTS,
                {MODEL: 1},
            )
            await case.add_sampler(sampler)
    trainer = Trainer(deployment)
    job = Job("job-0", {f"a-{n}": EVENTS for n in range(ITEMS)})
    sent_at = time.perf_counter()
    if not await trainer.submit(job, PREFIX, MODEL, 0, 1):
        raise CannotRun("the job was not taken")
    if TROUBLE:
        await asyncio.sleep(MOVE_AFTER_S)
        await move_route(case, route, services)
    await trainer.read_until(job, ITEMS, DEADLINE_S - (time.perf_counter() - sent_at))
    broken = is_broken(case, job)
    if broken:
        await show_that_new_service_works(case, trainer)
    return broken


async def move_route(case: Case, route: dict[str, object], services: list[object]) -> None:
    """The route goes to the other service; a configuration's time later the old one drains."""
    moved = {**route, "service": NEW}
    case.deployment.store.put("config", "main", configuration(4, [moved], services))
    case.record.note(f"configuration 4 is acknowledged: the route goes to {NEW}")
    await asyncio.sleep(CONFIG_S + 0.5)
    old = [sampler for sampler in case.samplers if sampler.service == OLD]
    await asyncio.gather(*(sampler.drain_and_leave(DRAIN_S) for sampler in old))


def is_broken(case: Case, job: Job) -> bool:
    """LOST: a step runs out of time while an item has been at no sampler for 5 s.

    No sampler has finished it, others of the step had begun, and the samplers were under half full.
    """
    now = time.perf_counter()
    runs = [run for sampler in case.samplers for run in sampler.runs]
    listed = {result["id"] for result in job.results}
    last_run = {run.request_id: run.at for run in runs}
    serving = [sampler for sampler in case.samplers if sampler.is_serving]
    running = sum(sampler.running for sampler in serving)
    waiting = [
        item_id
        for item_id in job.items
        if item_id not in listed
        and now - last_run.get(item_id, float("-inf")) > UNSERVED_S + EVENTS * 0.05
    ]
    case.record.note(
        f"the step is out of time: {len(listed)} of {ITEMS} items listed, {len(waiting)} at no "
        f"sampler for {UNSERVED_S} s; {running} of {len(serving) * SLOTS} slots in use"
    )
    under_half_full = 2 * running < len(serving) * SLOTS
    broken = bool(waiting) and bool(last_run) and under_half_full
    if broken:
        case.record.note(f"BROKEN: accepted and not run: {waiting}")
    return broken


async def show_that_new_service_works(case: Case, trainer: Trainer) -> None:
    """Another job of the same route runs at once."""
    job = Job("job-1", {"b-0": 5, "b-1": 5})
    taken = await trainer.submit(job, PREFIX, MODEL, 1, 1)
    done = taken and await trainer.read_until(job, 2, 10.0)
    case.record.note(f"a new job of the route is served: {done}")


if __name__ == "__main__":
    run_case(FOLDER, play)
