"""A trainer: batch jobs, their results and the versions that it names."""

from __future__ import annotations

import asyncio
import base64
import json
import secrets
from typing import Any

from standins.case import Record
from standins.programs import Deployment, Machine
from standins.sampler import Sampler
from standins.store import Store
from standins.web import Response, call

HOST = "train.example"
JOB_PREFIX = "/train/"
SERVICE = "lm-pool"
MODEL = "model-a"
RETRY_S = 0.3
RESULTS_WITHIN_S = 30.0


def rollout_route(**fields: Any) -> dict[str, Any]:
    """A rollout route, with the figures of a small deployment."""
    return {
        "name": "r-train",
        "host": HOST,
        "pathPrefix": JOB_PREFIX,
        "routeType": "rollout",
        "timeoutMs": 10000,
        "targetLatencyMs": 400,
        "priority": 1,
        "backends": [{"service": SERVICE, "weight": 100}],
        "maxAttempts": 3,
        "resumable": True,
        "deadlineMs": 12000,
        "maxWaitS": 40,
        **fields,
    }


def model_service(slots: int) -> dict[str, Any]:
    """The service of the model's samplers."""
    engine = {"slots": slots, "kvCapacityTokens": 100_000, "stride": 1, "models": [{"name": MODEL}]}
    return {"name": SERVICE, "maxConnections": 170, "engine": engine}


def configure(store: Store, version: int, routes: list[Any], services: list[Any]) -> None:
    """Puts a configuration, as the operator does."""
    limits = {
        "maxHeaderBytes": 16384,
        "maxBodyBytes": 33554432,
        "headerTimeoutMs": 10000,
        "idleTimeoutMs": 15000,
    }
    spec = {"version": version, "routes": routes, "services": services, "limits": limits}
    store.put("config", "main", spec)


class Job:
    """One batch job and what was read of it."""

    def __init__(self, step: int, min_version: int, items: int, events: int, group: int) -> None:
        self.job_id = secrets.token_hex(8)
        self.item_ids = [secrets.token_hex(8) for _ in range(items)]
        self.results: list[dict[str, Any]] = []
        self.statuses: list[int] = []
        """Answers to its submission; 0 for none."""
        self.accepted_at = 0.0
        requests = [
            {
                "id": item_id,
                "path": f"{JOB_PREFIX}{item_id}",
                "headers": {
                    "Model": MODEL,
                    "Token-Usage": f"16,{events}",
                    "Prompt-Prefix": f"{index // group:04x}:16",
                },
                "body": base64.b64encode(item_id.encode()).decode(),
                "tokens": 16 + events,
                "group": f"g-{step}-{index // group}",
            }
            for index, item_id in enumerate(self.item_ids)
        ]
        body = {
            "step": step,
            "model": MODEL,
            "minVersion": min_version,
            "desired": items // group,
            "requests": requests,
        }
        self._body = json.dumps(body).encode()

    async def submit(self, deployment: Deployment, for_s: float = 30.0) -> bool:
        """Submits the job until it is accepted; the next gateway is asked after each failure."""
        gateways = deployment.of_role("gateway")
        ends_at = _now() + for_s
        while _now() < ends_at:
            gateway = gateways[len(self.statuses) % len(gateways)]
            headers = {"Host": HOST, "Request-Id": self.job_id, "Content-Type": "application/json"}
            answer = await call(
                deployment.front(gateway),
                "POST",
                f"{JOB_PREFIX}{self.job_id}",
                headers,
                self._body,
            )
            self.statuses.append(answer.status if answer is not None else 0)
            if self.statuses[-1] == 202:
                self.accepted_at = _now()
                return True
            await asyncio.sleep(RETRY_S)
        return False

    async def read(
        self, deployment: Deployment, gateway: Machine, position: int
    ) -> Response | None:
        """Reads results from a position, as a client that allows a wait of one second."""
        headers = {"Host": HOST, "Wait-Ms": "1000"}
        target = f"/lots/{self.job_id}?afterRev={position}"
        return await call(deployment.front(gateway), "GET", target, headers, timeout_s=2.5)

    async def read_item(
        self, deployment: Deployment, gateway: Machine, item_id: str
    ) -> Response | None:
        """Reads the body of an item."""
        target = f"/items/{self.job_id}?id={item_id}"
        return await call(deployment.front(gateway), "GET", target, {"Host": HOST}, timeout_s=2.5)

    async def follow(self, deployment: Deployment, for_s: float) -> bool:
        """Reads results until all are listed or the time is up."""
        gateways = deployment.of_role("gateway")
        ends_at = _now() + for_s
        reads = 0
        while _now() < ends_at and len(self.results) < len(self.item_ids):
            gateway = gateways[reads % len(gateways)]
            reads += 1
            answer = await self.read(deployment, gateway, len(self.results))
            if answer is not None and answer.status == 200:
                self.results += json.loads(answer.body)["results"]
            await asyncio.sleep(RETRY_S)
        return len(self.results) == len(self.item_ids)


async def complete_job(
    job: Job, deployment: Deployment, samplers: list[Sampler], record: Record
) -> bool:
    """Submits a job and reads all of its results; False if that fails."""
    accepted = await job.submit(deployment)
    record.write(f"job {job.job_id} is sent, answers (0 for none): {job.statuses}")
    if not accepted or not await job.follow(deployment, RESULTS_WITHIN_S):
        return False
    states = [result["state"] for result in job.results]
    runs = [run for sampler in samplers for run in sampler.runs if run.request_id in job.item_ids]
    record.write(
        f"all {len(states)} results of it are read: {states}; its items ran {len(runs)} times"
    )
    return True


async def gateways_ready(deployment: Deployment, for_s: float = 30.0) -> bool:
    """Waits until all gateways answer 200 at their readiness address."""
    ends_at = _now() + for_s
    for gateway in deployment.of_role("gateway"):
        while True:
            answer = await call(deployment.ready(gateway), "GET", "/ready", {"Host": "ready"})
            if answer is not None and answer.status == 200:
                break
            if _now() > ends_at:
                return False
            await asyncio.sleep(0.2)
    return True


def _now() -> float:
    return asyncio.get_running_loop().time()
