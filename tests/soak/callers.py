"""Callers, a trainer and an operator: they act all the while and note what they see."""

from __future__ import annotations

import asyncio
import base64
import random
from typing import Any

import msgspec
from tornado.httpclient import AsyncHTTPClient, HTTPClientError, HTTPRequest, HTTPResponse

from stileloom.clock import steady_time
from stileloom.http.native_dialect import NativeDialect
from tests.soak.deployment import HOST, HOSTNAME, MODEL, Deployment
from tests.soak.kept_connection import UNKNOWN_STATUS, KeptConnection
from tests.soak.record import Record, Result, TakenJob, reward_id

LOOKUP_PAUSE_S = 0.03
LOOKUP_DEADLINE_MS = 2000
JOB_PAUSE_S = 1.0
REWARDED_SHARE = 0.5
"""Of the jobs so many have reward calls."""
VERSION_PAUSE_S = 3.0
CONFIGURATION_PAUSE_S = 4.0
CALL_TIMEOUT_S = 5.0
ENDED_SHARE = 1 / 3
"""Of the jobs so many are ended by their trainer while items still wait."""
JOB_ITEMS = (2, 12)
ENDED_JOB_ITEMS = (80, 160)
"""Far more than the samplers have slots."""
END_AFTER_S = (0.2, 5.0)
END_ATTEMPT_S = 1.5
END_PAUSE_S = 0.1
KEPT_CONNECTIONS = 4
KEPT_PAUSE_S = 0.15


def configuration(version: int, probes: list[str]) -> dict[str, Any]:
    """Safe and unsafe lookups, batch jobs, and routes that come and go."""
    common = {
        "host": HOSTNAME,
        "timeout_s": 4.0,
        "target_latency_s": 1.0,
        "max_attempts": 3,
    }
    charts = [{"service": "charts", "weight": 1}]
    routes: list[dict[str, Any]] = [
        {**common, "name": "charts", "path_prefix": "/charts/", "kind": "safe", "backends": charts},
        {
            **common,
            "name": "scores",
            "path_prefix": "/scores/",
            "kind": "safe",
            "backends": charts,
            "max_attempts": 1000,
        },
        {**common, "name": "moves", "path_prefix": "/moves/", "kind": "unsafe", "backends": charts},
        {
            **common,
            "name": "drafts",
            "path_prefix": "/drafts/",
            "kind": "batch",
            "backends": [{"service": "drafts", "weight": 1}],
            "max_wait_s": 600.0,
            "job_deadline_s": 300.0,
            "max_attempts": 1000,
        },
    ]
    for name in probes:
        prefix = f"/{name}/"
        routes.append(
            {**common, "name": name, "path_prefix": prefix, "kind": "safe", "backends": charts}
        )
    engine = {"slots": 4, "cache_tokens": 100_000, "models": [MODEL]}
    services = [
        {"name": "charts", "max_connections": 50},
        {"name": "drafts", "max_connections": 50, "engine": engine},
    ]
    return {"version": version, "routes": routes, "services": services}


class Callers:
    """All loops of one soak; each ends when `stopped` is set."""

    def __init__(
        self, deployment: Deployment, record: Record, rng: random.Random, item_bytes: int
    ) -> None:
        self.stopped = False
        self.version = 1
        self.configuration_version = 1
        self.probe = "probe-1"
        """The route that the newest configuration has."""
        self._deployment = deployment
        self._record = record
        self._rng = rng
        self._http = AsyncHTTPClient(force_instance=True, max_clients=200)
        self._number = 0
        self._item_body = base64.b64encode(random.Random(item_bytes).randbytes(item_bytes)).decode()
        self._tasks: set[asyncio.Task[None]] = set()
        self._seen_versions: dict[tuple[int, int], int] = {}
        """Newest configuration whose effect a caller saw, by gateway and its life."""

    def start(self) -> None:
        """Begins all loops."""
        for loop in (self._lookups, self._jobs, self._versions, self._configurations):
            self._spawn(loop())
        for front in self._deployment.fronts[:KEPT_CONNECTIONS]:
            self._spawn(self._kept_lookups(front))

    async def finish(self) -> None:
        """Ends the loops; reads that are under way may still end."""
        self.stopped = True
        if self._tasks:
            await asyncio.wait(self._tasks, timeout=2 * CALL_TIMEOUT_S)

    def _spawn(self, work: Any) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._done)

    def _done(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self._record.breaks("the soak itself works", repr(task.exception()))

    def _next_id(self, kind: str) -> str:
        self._number += 1
        return f"{kind}-{self._number}"

    async def _call(
        self,
        gateway: int,
        method: str,
        target: str,
        body: bytes | None,
        timeout_s: float = CALL_TIMEOUT_S,
        **headers: str,
    ) -> HTTPResponse:
        request = HTTPRequest(
            f"http://{HOST}:{self._deployment.fronts[gateway]}{target}",
            method=method,
            headers={"Host": HOSTNAME, **headers},
            body=body,
            connect_timeout=1.0,
            request_timeout=timeout_s,
            allow_nonstandard_methods=True,
        )
        try:
            return await self._http.fetch(request, raise_error=False)
        except (OSError, HTTPClientError):
            return HTTPResponse(request, UNKNOWN_STATUS)

    def _any_gateway(self) -> int:
        return self._rng.randrange(len(self._deployment.fronts))

    async def send(self, request_id: str, target: str, body: bytes, gateway: int) -> HTTPResponse:
        """One lookup under an id of the sender's own, at a gateway of its choice."""
        names = NativeDialect.names
        headers = {names.request_id: request_id, names.deadline_ms: str(LOOKUP_DEADLINE_MS)}
        return await self._call(gateway, "POST", target, body, **headers)

    # Lookups.

    async def _lookups(self) -> None:
        while not self.stopped:
            self._spawn(self.lookup(self._rng.choice(["charts", "moves"])))
            await asyncio.sleep(LOOKUP_PAUSE_S)

    async def lookup(self, route: str) -> int:
        """One lookup; its status."""
        request_id = self._next_id(route)
        target, body = f"/{route}/{request_id}", request_id.encode() * 3
        self._record.sends_lookup(request_id, target, body, unsafe=route == "moves")
        answer = await self.send(request_id, target, body, self._any_gateway())
        self._record.answered(request_id, answer.code, answer.body or b"")
        return answer.code

    async def _kept_lookups(self, front: int) -> None:
        """Lookups one after another, each on the same connection until that breaks."""
        connection = KeptConnection(HOST, front)
        names = NativeDialect.names
        route = "charts"
        while not self.stopped:
            route = "moves" if route == "charts" else "charts"
            request_id = self._next_id(f"kept-{route}")
            target, body = f"/{route}/{request_id}", request_id.encode() * 3
            self._record.sends_lookup(request_id, target, body, unsafe=route == "moves")
            headers = {
                "Host": HOSTNAME,
                names.request_id: request_id,
                names.deadline_ms: str(LOOKUP_DEADLINE_MS),
            }
            status, answer = await connection.post(target, headers, body, CALL_TIMEOUT_S)
            self._record.answered(request_id, status, answer)
            await asyncio.sleep(KEPT_PAUSE_S)
        connection.close()

    # Jobs.

    async def _jobs(self) -> None:
        while not self.stopped:
            self._spawn(self._run_job())
            await asyncio.sleep(JOB_PAUSE_S)

    async def _run_job(self) -> None:
        job_id = self._next_id("job")
        ends = self._rng.random() < ENDED_SHARE
        count = self._rng.randint(*(ENDED_JOB_ITEMS if ends else JOB_ITEMS))
        items = [f"{job_id}-i{number}" for number in range(count)]
        min_version = max(1, self.version - 1)
        rewarded = self._rng.random() < REWARDED_SHARE
        body = msgspec.json.encode(
            {
                "model": MODEL,
                "min_version": min_version,
                "items": [self._row(item, rewarded) for item in items],
            }
        )
        job = TakenJob(job_id, items, min_version, steady_time(), rewarded)
        while not self.stopped:
            names = NativeDialect.names
            headers = {names.request_id: job_id}
            answer = await self._call(self._any_gateway(), "POST", "/drafts/j", body, **headers)
            if answer.code == 202:
                self._record.took_job(job)
                break
            self._record.counts[f"job {answer.code}"] += 1
            await asyncio.sleep(0.2)
        else:
            return
        ends_at = steady_time() + self._rng.uniform(*END_AFTER_S) if ends else float("inf")
        while not self.stopped and not job.complete and steady_time() < ends_at:
            await self.read_on(job)
        if ends:
            await self._end(job)

    def _row(self, item: str, rewarded: bool) -> list[Any]:
        row: list[Any] = [item, f"/drafts/{item}", {"model": MODEL}, self._item_body, "g"]
        if rewarded:
            row.append([reward_id(item), HOSTNAME, f"/scores/{item}", "dGV4dA=="])
        return row

    async def _end(self, job: TakenJob) -> None:
        """Asks for a job's end until it is acknowledged, each time at another gateway."""
        job.end_asked_at = steady_time()
        gateway = self._any_gateway()
        while job.end_answered_at is None:
            answer = await self._call(
                gateway, "DELETE", f"/v1/jobs/{job.job_id}", None, timeout_s=END_ATTEMPT_S
            )
            self._record.counts[f"end {answer.code}"] += 1
            if answer.code == 200:
                job.end_answered_at = steady_time()
                return
            if answer.code in (404, 410):
                self._record.missing(job, answer.code)
                return
            await asyncio.sleep(END_PAUSE_S)
            others = [n for n in range(len(self._deployment.fronts)) if n != gateway]
            gateway = self._rng.choice(others or [gateway])

    async def read_on(self, job: TakenJob) -> None:
        """Reads from a random position that was read before, or from the next one."""
        position = len(job.results)
        if position and self._rng.random() < 0.3:
            position = self._rng.randrange(position)
        target = f"/v1/jobs/{job.job_id}/results?position={position}&wait_s=0.5"
        answer = await self._call(self._any_gateway(), "GET", target, None)
        if answer.code == 200:
            page = msgspec.json.decode(answer.body)
            results: list[Result] = [
                (item, state, text, tuple(versions), score)
                for item, state, text, versions, score in page["results"]
            ]
            self._record.read(job, position, page["total_items"], results)
        elif answer.code in (404, 410):
            self._record.missing(job, answer.code)
        else:
            self._record.counts[f"read {answer.code}"] += 1
            await asyncio.sleep(0.2)

    # Trainer and operator.

    async def _versions(self) -> None:
        while not self.stopped:
            await asyncio.sleep(VERSION_PAUSE_S)
            self.version += 1
            spec = {"model": MODEL, "version": self.version}
            await self._deployment.write("versions", MODEL, spec)

    async def _configurations(self) -> None:
        while not self.stopped:
            await asyncio.sleep(CONFIGURATION_PAUSE_S)
            self.configuration_version += 1
            self.probe = f"probe-{self.configuration_version}"
            spec = configuration(self.configuration_version, [self.probe])
            await self._deployment.write("configuration", "main", spec)
            for _ in range(6):
                await asyncio.sleep(0.4)
                for gateway in range(len(self._deployment.fronts)):
                    await self._probe(gateway, self.configuration_version, self.probe)

    async def _probe(self, gateway: int, version: int, probe: str) -> None:
        """Once a gateway's life showed a version's route, it must not deny it any more."""
        name = f"gateway-{gateway + 1}"
        life = self._deployment.programs[name].lives
        shown = await self.shows_probe(gateway, probe)
        if self._deployment.programs[name].lives != life or shown is None:
            return
        key = (gateway, life)
        if shown:
            self._seen_versions[key] = version
        elif self._seen_versions.get(key, 0) >= version:
            self._record.breaks("a gateway's configuration never goes back", f"{name} {version}")

    async def shows_probe(self, gateway: int, probe: str) -> bool | None:
        """Whether a gateway has the probe's route in force; None where it did not say."""
        request_id = self._next_id("probe")
        headers = {NativeDialect.names.request_id: request_id}
        answer = await self._call(gateway, "POST", f"/{probe}/x", b"p", **headers)
        if answer.code == 404:
            return False
        return True if answer.code in (200, 502, 504) else None
