"""The ledger's leader is stopped right after a sampler has loaded a version."""

from __future__ import annotations

import asyncio
import signal
import sys
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
SAMPLERS = 3
SLOTS = 8
ITEMS = 6
EVENTS = 150
ROUNDS = 5
STOP_AFTER_ORDER_S = 1.0
"""A load takes 0.9 s; the sampler's next write to the store follows within its heartbeat."""
CATCH_UP_S = 5.2


async def play(case: Case) -> bool:
    """One step a round; in each, the next version is named while the step runs."""
    deployment = case.deployment
    route = rollout_route(PREFIX, "lm", singleVersion=True)
    await deployment.start(configuration(1, [route], [model_service("lm", SLOTS, [MODEL])]))
    for number in range(SAMPLERS):
        sampler = Sampler(
            deployment.store, f"i-{number}", "lm", "zone-a", case.record.note, SLOTS, {MODEL: 1}
        )
        await case.add_sampler(sampler)
    trainer = Trainer(deployment)
    for step in range(1, ROUNDS + 1):
        if await play_step(case, trainer, step):
            return True
    return False


async def play_step(case: Case, trainer: Trainer, step: int) -> bool:
    """A step allows the version before the newest one; its route wants a single one."""
    record, deployment = case.record, case.deployment
    job = Job(f"job-{step}", {f"s{step}-{n}": EVENTS for n in range(ITEMS)})
    if not await trainer.submit(job, PREFIX, MODEL, step, max(1, step - 1)):
        raise CannotRun(f"{job.job_id} was not taken")
    await asyncio.sleep(0.5)
    ordered = asyncio.Event()
    for sampler in case.samplers:
        sampler.order_accepted = ordered.set
    deployment.store.put("versions", MODEL, {"model": MODEL, "version": step + 1})
    record.note(f"version {step + 1} is named")
    async with asyncio.timeout(10.0):
        await ordered.wait()
    if TROUBLE:
        await asyncio.sleep(STOP_AFTER_ORDER_S)
        await restart_leader(case)
    if not await trainer.read_until(job, ITEMS, 30.0):
        raise CannotRun(f"{job.job_id} has no results")
    await trainer.end(job)
    return is_broken(case, job)


async def restart_leader(case: Case) -> None:
    """The machine that leads is stopped and started again."""
    leader = case.deployment.leader()
    if leader is None:
        raise CannotRun("no leader")
    case.record.note(f"SIGTERM to {leader.name}, which leads")
    leader.send(signal.SIGTERM)
    await leader.ended(8.0)
    leader.settings["bootstrap"] = False
    leader.start()
    case.record.note(f"{leader.name} starts again")
    await asyncio.sleep(CATCH_UP_S)


def is_broken(case: Case, job: Job) -> bool:
    """VERSION: a result of a route with `singleVersion` carries several versions."""
    several = [
        result
        for result in job.results
        if result["state"] == "succeeded" and len(result["versions"]) > 1
    ]
    for result in several:
        case.record.note(f"BROKEN: {result['id']} succeeded with versions {result['versions']}")
    return bool(several)


if __name__ == "__main__":
    run_case(FOLDER, play)
