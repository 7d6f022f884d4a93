"""The loss of a store machine for good, and reads of an accepted job after it."""

from __future__ import annotations

import asyncio
import json
from typing import Any

from standins.case import Record
from standins.programs import Deployment, Machine
from standins.trainer import Job

REPLACED_AFTER_S = 2.0
READ_FOR_S = 40.0
"""`recoverS` is 12 s, and a loss that is borne costs a few seconds."""


def leader_of(deployment: Deployment) -> Machine:
    """The ledger node that was elected last and still runs."""
    elected = [
        (int(line["epoch"]), machine.name)
        for machine in deployment.of_role("ledger")
        if machine.running
        for line in machine.log_lines("leader_elected")
    ]
    return deployment.machines[max(elected)[1]]


async def replace(deployment: Deployment, lost: Machine, record: Record) -> None:
    """Takes a machine away for good; an empty one comes at another address."""
    lost.kill()
    lost.lose_disk()
    record.write(f"{lost.name} is gone for good")
    await asyncio.sleep(REPLACED_AFTER_S)
    spare = deployment.machines[deployment.spares[0]]
    spare.start(first=False)
    record.write(f"{spare.name} starts in its place at another address, with an empty disk")


async def is_readable(deployment: Deployment, job: Job, record: Record) -> bool:
    """Whether a job is read again with the results that it had, at any gateway, within the time."""
    loop = asyncio.get_running_loop()
    began_at = loop.time()
    statuses: dict[int, int] = {}
    while loop.time() < began_at + READ_FOR_S:
        for gateway in deployment.of_role("gateway"):
            status, results = await _read(deployment, gateway, job)
            statuses[status] = statuses.get(status, 0) + 1
            if status == 200:
                same = results == job.results
                after_s = loop.time() - began_at
                record.write(
                    f"job {job.job_id} is read after {after_s:.1f} s, same results: {same}"
                )
                return same
        await asyncio.sleep(0.5)
    record.write(
        f"job {job.job_id} cannot be read for {READ_FOR_S:g} s at any gateway; "
        f"answers by status (0 for none): {statuses}"
    )
    return False


async def _read(deployment: Deployment, gateway: Machine, job: Job) -> tuple[int, list[Any]]:
    """Reads the body of an item, then all results: gateways may have read results before."""
    answer = await job.read_item(deployment, gateway, job.item_ids[0])
    if answer is None or answer.status not in (200, 404):
        return (answer.status if answer is not None else 0, [])
    page = await job.read(deployment, gateway, 0)
    if page is None or page.status != 200:
        return (page.status if page is not None else 0, [])
    return (200, json.loads(page.body)["results"])
