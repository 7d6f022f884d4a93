"""Samplers send some answers twice; a request that may run once runs at two samplers."""

from __future__ import annotations

import asyncio
import sys
from collections import Counter
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins2.caller import configuration  # noqa: E402
from standins2.case import TROUBLE, Case, run_case  # noqa: E402
from standins2.http import CallFailed, call  # noqa: E402
from standins2.platform import HOST  # noqa: E402
from standins2.sampler import Sampler  # noqa: E402

PREFIX = "/moves/"
SAMPLERS = 5
FAULTY = 3
EXCESS_SHARE = 0.03
LOOKUP_S = 0.03
CALLERS = 6
GATEWAYS = 2
EPISODES = 12
EPISODE_S = 5.0
PAUSE_S = 2.0
DEADLINE_MS = 2000


async def play(case: Case) -> bool:
    """Callers send requests that may run once, a little more than the samplers can take."""
    deployment = case.deployment
    route = {
        "name": "moves",
        "host": HOST,
        "pathPrefix": PREFIX,
        "routeType": "unsafe",
        "timeoutMs": 2000,
        "targetLatencyMs": 400,
        "priority": 2,
        "service": "move-app",
        "maxAttempts": 2,
    }
    service = {"name": "move-app", "healthPath": "/healthz", "maxConnections": 100}
    await deployment.start(configuration(1, [route], [service]))
    for number in range(SAMPLERS):
        sampler = Sampler(
            deployment.store,
            f"i-{number}",
            "move-app",
            "zone-a",
            case.record.note,
            slots=1,
            lookup_s=LOOKUP_S,
        )
        await case.add_sampler(sampler)
    await asyncio.sleep(1.5)
    statuses: dict[str, int | None] = {}
    callers = [asyncio.create_task(send(case, n, statuses)) for n in range(CALLERS)]
    for episode in range(1, EPISODES + 1):
        await play_episode(case, episode)
        if broken_requests(case, statuses):
            break
    for caller in callers:
        caller.cancel()
    await asyncio.sleep(0.5)
    return is_broken(case, statuses)


async def play_episode(case: Case, episode: int) -> None:
    """Three of the five samplers send 3 in 100 of their answers twice for some seconds."""
    if TROUBLE:
        case.record.note(f"episode {episode} begins")
        for sampler in case.samplers[:FAULTY]:
            sampler.excess_share = EXCESS_SHARE
    await asyncio.sleep(EPISODE_S)
    for sampler in case.samplers:
        sampler.excess_share = 0.0
    await asyncio.sleep(PAUSE_S)


async def send(case: Case, caller: int, statuses: dict[str, int | None]) -> None:
    """Sends one request after the other, each with an id of its own, and repeats none."""
    number = 0
    while True:
        number += 1
        request_id = f"c{caller}-{number}"
        headers = {"Host": HOST, "Request-Id": request_id, "Deadline-Ms": str(DEADLINE_MS)}
        try:
            target = f"{PREFIX}{request_id}"
            front = case.deployment.front(caller % GATEWAYS)
            answer = await call(front, "POST", target, headers, b"x", 3.0)
            statuses[request_id] = answer.status
        except CallFailed:
            statuses[request_id] = None
        case.record.note(f"{request_id} answered {statuses[request_id]}")


def broken_requests(case: Case, statuses: dict[str, int | None]) -> dict[str, list[str]]:
    """Where the requests ran that break a rule.

    TWICE: a request that is not idempotent has run more than once. REFUSED: it is answered 429,
    503, 408 or 421 and has run.
    """
    runs: dict[str, list[str]] = {}
    for sampler in case.samplers:
        for run in sampler.runs:
            runs.setdefault(run.request_id, []).append(sampler.sampler_id)
    return {
        request_id: ran
        for request_id, ran in runs.items()
        if len(ran) > 1 or statuses.get(request_id) in (408, 421, 429, 503)
    }


def is_broken(case: Case, statuses: dict[str, int | None]) -> bool:
    """Notes the requests that break a rule; whether there are any."""
    broken = broken_requests(case, statuses)
    for request_id, ran in broken.items():
        status = statuses.get(request_id)
        case.record.note(f"BROKEN: {request_id} ran at {ran} and was answered {status}")
    answers = dict(Counter(statuses.values()))
    case.record.note(f"{len(statuses)} requests, answers {answers}; {len(broken)} broken")
    return bool(broken)


if __name__ == "__main__":
    run_case(FOLDER, play, gateways=GATEWAYS)
