"""A gateway is stopped; what its samplers end in the last moments of the drain is lost."""

from __future__ import annotations

import asyncio
import signal
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins2.caller import configuration  # noqa: E402
from standins2.case import TROUBLE, Case, run_case  # noqa: E402
from standins2.http import CallFailed, call  # noqa: E402
from standins2.platform import BOUNDS, HOST  # noqa: E402
from standins2.sampler import Sampler  # noqa: E402

PREFIX = "/moves/"
ROUTE = {
    "name": "moves",
    "host": HOST,
    "pathPrefix": PREFIX,
    "routeType": "unsafe",
    "timeoutMs": 12_000,
    "targetLatencyMs": 8000,
    "priority": 2,
    "service": "move-app",
    "maxAttempts": 1,
}
DEADLINE_MS = 12_000
STOP_AFTER_S = 1.0
GRACE_S = float(BOUNDS["graceS"])  # type: ignore[arg-type]
LAST_SIXTH_S = GRACE_S * 5 / 6
"""Time after SIGTERM from which a sampler that is still at work excuses a lost answer."""
ENDS_AFTER_SIGTERM_S = [6.0 + 0.05 * number for number in range(13)]
"""When samplers end their work: up to 6.6 s, before the last sixth of the grace."""


async def play(case: Case) -> bool:
    """Requests of different length are under way when their gateway gets SIGTERM."""
    deployment = case.deployment
    service = {"name": "move-app", "healthPath": "/healthz", "maxConnections": 100}
    await deployment.start(configuration(1, [ROUTE], [service]))
    for number in range(3):
        sampler = Sampler(
            deployment.store, f"i-{number}", "move-app", "zone-a", case.record.note, slots=8
        )
        await case.add_sampler(sampler)
    await asyncio.sleep(1.5)
    answered: dict[str, int | None] = {}
    callers = [
        asyncio.create_task(send(case, f"r-{number}", STOP_AFTER_S + ends_after_s, answered))
        for number, ends_after_s in enumerate(ENDS_AFTER_SIGTERM_S)
    ]
    await asyncio.sleep(STOP_AFTER_S)
    stopped_at = time.perf_counter()
    if TROUBLE:
        gateway = deployment.gateways[0]
        case.record.note(f"SIGTERM to {gateway.name}")
        gateway.send(signal.SIGTERM)
    await asyncio.gather(*callers)
    # The samplers go on with what was cut; when they end says whether the loss is excused.
    await asyncio.sleep(1.0)
    return is_broken(case, stopped_at, answered)


async def send(case: Case, request_id: str, work_s: float, answered: dict[str, int | None]) -> None:
    """Sends a request whose sampler works for a given time."""
    headers = {
        "Host": HOST,
        "Request-Id": request_id,
        "Deadline-Ms": str(DEADLINE_MS),
        "Work-S": f"{work_s:.3f}",
    }
    target = f"{PREFIX}{request_id}"
    case.record.note(f"{request_id} is sent, its sampler works for {work_s:.1f} s")
    try:
        answer = await call(case.deployment.front(), "POST", target, headers, b"x", 13.0)
        answered[request_id] = answer.status
        case.record.note(f"{request_id} answered {answer.status}")
    except CallFailed as failure:
        answered[request_id] = None
        case.record.note(f"{request_id} got no answer: {failure}")


def is_broken(case: Case, stopped_at: float, answered: dict[str, int | None]) -> bool:
    """LOST: no answer, though its sampler's work ended before the last sixth of the grace."""
    lost: list[str] = []
    for sampler in case.samplers:
        for request_id, completed_at in sampler.completed_at.items():
            after_s = completed_at - stopped_at
            if answered[request_id] is None and after_s < LAST_SIXTH_S:
                lost.append(request_id)
                case.record.note(
                    f"BROKEN: {request_id} got no answer; its sampler ended {after_s:.2f} s after "
                    f"the SIGTERM, the last sixth of the grace begins at {LAST_SIXTH_S:.2f} s"
                )
    case.record.note(f"{len(answered)} requests, {len(lost)} lost")
    return bool(lost)


if __name__ == "__main__":
    run_case(FOLDER, play)
