"""Samplers spoil some answers; callers get a success without a signature."""

from __future__ import annotations

import asyncio
import sys
from collections import Counter
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins2.caller import configuration  # noqa: E402
from standins2.case import TROUBLE, Case, run_case  # noqa: E402
from standins2.http import CallFailed, Response, call  # noqa: E402
from standins2.platform import HOST  # noqa: E402
from standins2.sampler import Sampler  # noqa: E402

PREFIX = "/tiles/"
ROUTE = {
    "name": "tiles",
    "host": HOST,
    "pathPrefix": PREFIX,
    "routeType": "safe",
    "timeoutMs": 1500,
    "targetLatencyMs": 200,
    "priority": 2,
    "service": "tile-app",
    "maxAttempts": 2,
}
SAMPLERS = 5
FAULTY = 3
SPOILED_SHARE = 0.03
LOOKUP_S = 0.03
CALLERS = 4
EPISODE_S = 5.0
DEADLINE_MS = 1500
ANSWER = b"looked up"


async def play(case: Case) -> bool:
    """Callers send lookups; for some seconds, three of five samplers spoil 3 in 100 answers."""
    deployment = case.deployment
    service = {"name": "tile-app", "healthPath": "/healthz", "maxConnections": 100}
    await deployment.start(configuration(1, [ROUTE], [service]))
    for number in range(SAMPLERS):
        sampler = Sampler(
            deployment.store,
            f"i-{number}",
            "tile-app",
            "zone-a",
            case.record.note,
            slots=6,
            lookup_s=LOOKUP_S,
            lookup_body=ANSWER,
        )
        await case.add_sampler(sampler)
    await asyncio.sleep(1.5)
    answers: dict[str, Response | None] = {}
    callers = [asyncio.create_task(send(case, n, answers)) for n in range(CALLERS)]
    if TROUBLE:
        case.record.note("three of the samplers begin to spoil answers")
        for sampler in case.samplers[:FAULTY]:
            sampler.spoiled_share = SPOILED_SHARE
    await asyncio.sleep(EPISODE_S)
    for sampler in case.samplers:
        sampler.spoiled_share = 0.0
    await asyncio.sleep(1.0)
    for caller in callers:
        caller.cancel()
    return is_broken(case, answers)


async def send(case: Case, caller: int, answers: dict[str, Response | None]) -> None:
    """Sends one lookup after the other."""
    number = 0
    while True:
        number += 1
        request_id = f"c{caller}-{number}"
        headers = {"Host": HOST, "Request-Id": request_id, "Deadline-Ms": str(DEADLINE_MS)}
        target = f"{PREFIX}{request_id}"
        try:
            answer = await call(case.deployment.front(), "POST", target, headers, b"x", 3.0)
            answers[request_id] = answer
            case.record.note(f"{request_id} answered {answer.status}")
        except CallFailed as failure:
            answers[request_id] = None
            case.record.note(f"{request_id}: {failure}")


def is_broken(case: Case, answers: dict[str, Response | None]) -> bool:
    """MIXED: a success without the sampler's signature, or with other bytes than its body."""
    broken = 0
    for request_id, answer in answers.items():
        if answer is None or not 200 <= answer.status < 300:
            continue
        if "response-stamp" not in answer.headers or answer.body != ANSWER:
            broken += 1
            case.record.note(
                f"BROKEN: {request_id} got {answer.status} with the headers "
                f"{answer.headers} and the body {answer.body!r}"
            )
    statuses = dict(Counter(a.status if a is not None else None for a in answers.values()))
    case.record.note(f"{len(answers)} lookups, answers {statuses}; {broken} broken")
    return bool(broken)


if __name__ == "__main__":
    run_case(FOLDER, play)
