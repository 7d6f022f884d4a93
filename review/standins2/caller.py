"""Trainers and lookup callers: each call on a fresh connection, retried as the pages say."""

from __future__ import annotations

import asyncio
import base64
import json
from dataclasses import dataclass, field
from typing import Any

from standins2.http import CallFailed, Response, call
from standins2.platform import HOST, Deployment
from standins2.sampler import event_data

READ_TIMEOUT_S = 2.5


@dataclass
class Job:
    """A batch job as its trainer sees it."""

    job_id: str
    items: dict[str, int]
    """Number of events by item id."""
    results: list[dict[str, Any]] = field(default_factory=list)
    taken: bool = False


def body_of(job: Job, prefix: str, model: str, step: int, min_version: int) -> bytes:
    """The submission; two items make a group."""
    requests = [
        {
            "id": item_id,
            "path": f"{prefix}{number}",
            "headers": {
                "Model": model,
                "Token-Usage": f"40,{events}",
                "Prompt-Prefix": f"{number // 2:x}:40",
                "Length-Hint": str(events),
            },
            "body": base64.b64encode(f"events={events}".encode()).decode(),
            "tokens": 40 + events,
            "group": f"g{job.job_id}{number // 2}",
        }
        for number, (item_id, events) in enumerate(job.items.items())
    ]
    return json.dumps(
        {
            "step": step,
            "model": model,
            "minVersion": min_version,
            "desired": max(1, len(job.items) // 2),
            "requests": requests,
        }
    ).encode()


def text_of(item_id: str, events: int) -> str:
    """The whole output of an item."""
    return "\n".join(event_data(item_id, number) for number in range(1, events + 1))


class Trainer:
    """Submits, reads and ends jobs through any gateway."""

    def __init__(self, deployment: Deployment, only: int | None = None) -> None:
        """`only` is the number of the gateway to call; by default all are called in turn."""
        self._deployment = deployment
        self._only = only
        self._note = deployment.record.note
        self._calls = 0

    async def submit(
        self, job: Job, prefix: str, model: str, step: int, min_version: int, within_s: float = 12.0
    ) -> bool:
        """Submits a job until it is taken; whether it was."""
        body = body_of(job, prefix, model, step, min_version)
        headers = {"Request-Id": job.job_id, "Content-Type": "application/json"}
        give_up_at = asyncio.get_running_loop().time() + within_s
        while asyncio.get_running_loop().time() < give_up_at:
            answer = await self.call("POST", f"{prefix}{job.job_id}", headers, body, 4.0)
            self._note(f"job {job.job_id} of {len(job.items)} items answered {_status(answer)}")
            if answer is not None and answer.status == 202:
                job.taken = True
                return True
            await asyncio.sleep(0.3)
        return False

    async def read(self, job: Job) -> int | None:
        """Reads the next page into the job; returns the status, or None without an answer."""
        target = f"/lots/{job.job_id}?afterRev={len(job.results)}"
        answer = await self.call("GET", target, {"Wait-Ms": "500"}, b"", READ_TIMEOUT_S)
        if answer is None:
            return None
        if answer.status == 200:
            for result in json.loads(answer.body)["results"]:
                job.results.append(result)
                self._note(
                    f"job {job.job_id} lists {result['id']} {result['state']} "
                    f"versions {result.get('versions')}"
                )
        return answer.status

    async def read_until(self, job: Job, count: int, within_s: float) -> bool:
        """Reads twice a second until `count` results are listed; whether they were."""
        give_up_at = asyncio.get_running_loop().time() + within_s
        while len(job.results) < count:
            if asyncio.get_running_loop().time() >= give_up_at:
                return False
            await self.read(job)
            await asyncio.sleep(0.3)
        return True

    async def end(self, job: Job) -> None:
        """Ends a job; repeated until it is answered 200."""
        for _ in range(10):
            answer = await self.call("DELETE", f"/lots/{job.job_id}", {}, b"", 4.0)
            self._note(f"end of job {job.job_id} answered {_status(answer)}")
            if answer is not None and answer.status == 200:
                return
            await asyncio.sleep(0.3)

    async def call(
        self, method: str, target: str, headers: dict[str, str], body: bytes, timeout_s: float
    ) -> Response | None:
        """One call at the next gateway that runs; None if there was no answer."""
        running = [n for n, program in enumerate(self._deployment.gateways) if program.running]
        self._calls += 1
        number = running[self._calls % len(running)] if self._only is None else self._only
        try:
            return await call(
                self._deployment.front(number),
                method,
                target,
                {"Host": HOST, **headers},
                body,
                timeout_s,
            )
        except CallFailed as failure:
            self._note(f"{method} {target}: {failure}")
            return None


def _status(answer: Response | None) -> str:
    return str(answer.status) if answer is not None else "not at all"


def configuration(
    version: int, routes: list[dict[str, Any]], services: list[dict[str, Any]]
) -> Any:
    """A configuration as the operator writes it."""
    limits = {
        "maxHeaderBytes": 16_384,
        "maxBodyBytes": 33_554_432,
        "headerTimeoutMs": 3000,
        "idleTimeoutMs": 15_000,
    }
    return {"version": version, "routes": routes, "services": services, "limits": limits}


def rollout_route(prefix: str, service: str, **fields: Any) -> dict[str, Any]:
    """A route of batch jobs."""
    return {
        "name": "drafts",
        "host": HOST,
        "pathPrefix": prefix,
        "routeType": "rollout",
        "timeoutMs": 10_000,
        "targetLatencyMs": 400,
        "priority": 1,
        "service": service,
        "maxAttempts": 3,
        "maxWaitS": 60.0,
        "deadlineMs": 20_000,
        "singleVersion": False,
        "stickySessions": True,
        "resumable": True,
        **fields,
    }


def model_service(name: str, slots: int, models: list[str]) -> dict[str, Any]:
    """A service of model samplers."""
    engine = {
        "slots": slots,
        "kvCapacityTokens": 100_000,
        "stride": 1,
        "models": [{"name": model} for model in models],
    }
    return {"name": name, "healthPath": "/healthz", "maxConnections": 100, "engine": engine}
