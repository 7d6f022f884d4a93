"""What callers and samplers saw, and the promises that it must keep."""

from __future__ import annotations

import collections

import msgspec

from stileloom.clock import steady_time
from stileloom.emulator.http_sampler import HttpSampler, RunRecord, expected_events
from tests.soak.job_ends import CANCEL_S, LEDGER, Disturbances

EVENTS = 40
SLOWEST_END = "slowest end in steady ms"
Result = tuple[str, str, str, tuple[int, ...], str]
"""Id, state, text, versions and score of an item's result."""


def reward_id(item_id: str) -> str:
    """The request id of an item's reward call."""
    return f"score-{item_id}"


class TakenJob(msgspec.Struct):
    """A job that was acknowledged."""

    job_id: str
    items: list[str]
    min_version: int
    taken_at: float
    rewarded: bool = False
    """Whether its items have reward calls."""
    results: dict[int, Result] = msgspec.field(default_factory=dict)
    """What was read, by position."""
    end_asked_at: float | None = None
    """When its end was first asked."""
    end_answered_at: float | None = None
    """When an attempt at its end was answered with success."""

    @property
    def ended(self) -> bool:
        """Whether its end was asked."""
        return self.end_asked_at is not None

    @property
    def complete(self) -> bool:
        """Whether every item's result was read."""
        return len(self.results) == len(self.items)


class Record:
    """All that was observed. A broken promise stands in `broken` with its facts."""

    def __init__(self, gateways: list[str] | None = None) -> None:
        self.broken: list[str] = []
        self.disturbances = Disturbances(gateways or [])
        self.jobs: dict[str, TakenJob] = {}
        self.counts: collections.Counter[str] = collections.Counter()
        self.samplers: list[HttpSampler] = []
        """Every incarnation that ever ran."""
        self._promised_not_run: set[str] = set()
        self._unsafe: set[str] = set()
        self._sent_lookups: dict[str, tuple[str, bytes]] = {}
        self._started_at = steady_time()

    def breaks(self, promise: str, facts: str) -> None:
        """A promise is broken."""
        at_s = steady_time() - self._started_at
        self.broken.append(f"{at_s:.2f} s {promise}: {facts}")

    # Lookups.

    def sends_lookup(self, request_id: str, target: str, body: bytes, unsafe: bool) -> None:
        """A caller is about to send a lookup."""
        self._sent_lookups[request_id] = (target, body)
        if unsafe:
            self._unsafe.add(request_id)

    def answered(self, request_id: str, status: int, body: bytes) -> None:
        """A caller got an answer; 599 stands for none."""
        self.counts[f"lookup {status}"] += 1
        _, sent = self._sent_lookups[request_id]
        if status == 200 and body != b"echo:" + sent:
            self.breaks("whole answers", f"{request_id}: {body[:60]!r}")
        if status in (429, 503) and request_id in self._unsafe:
            self._promised_not_run.add(request_id)
        if status in (400, 404):
            self.breaks("proper requests are served", f"{request_id}: {status}")

    # Jobs.

    def took_job(self, job: TakenJob) -> None:
        """A job was acknowledged."""
        self.jobs[job.job_id] = job
        self.counts["jobs taken"] += 1

    def read(self, job: TakenJob, position: int, total: int, results: list[Result]) -> None:
        """A page of results came."""
        if total != len(job.items):
            self.breaks("the total is right", f"{job.job_id}: {total} of {len(job.items)}")
        for offset, result in enumerate(results):
            known = job.results.get(position + offset)
            if known is None:
                job.results[position + offset] = result
                self._judge(job, result)
            elif known != result:
                self.breaks("positions are fixed", f"{job.job_id} at {position + offset}")
        ids = [result[0] for result in job.results.values()]
        if len(set(ids)) < len(ids):
            self.breaks("each item stands once", job.job_id)

    def _judge(self, job: TakenJob, result: Result) -> None:
        item_id, state, text, versions, score = result
        self.counts[f"item {state}"] += 1
        if item_id not in job.items:
            self.breaks("items belong to their job", f"{job.job_id}: {item_id}")
        if state == "succeeded" and text != "\n".join(expected_events(item_id, EVENTS)):
            self.breaks("texts are whole", f"{job.job_id}: {item_id}")
        scored = score.endswith(f"/{reward_id(item_id)}")
        if state == "succeeded" and scored != job.rewarded:
            self.breaks("items succeed with their score", f"{job.job_id}: {item_id} {score!r}")
        if any(version < job.min_version for version in versions):
            self.breaks("versions are young enough", f"{item_id}: {versions}")
        if state != "succeeded" and not job.ended:
            self.breaks("items are not given up early", f"{job.job_id}: {item_id}")

    def missing(self, job: TakenJob, status: int) -> None:
        """An acknowledged job was denied."""
        self.breaks("acknowledged jobs stay", f"{job.job_id}: {status}")

    # At the samplers.

    def judge_samplers(self) -> None:
        """Runs and orders that must not be: read at the end, over all incarnations."""
        runs: collections.Counter[str] = collections.Counter()
        for sampler in self.samplers:
            for run in sampler.runs:
                runs[run.request_id] += 1
                sent = self._sent_lookups.get(run.request_id)
                if sent is not None and sent != (run.target, run.body):
                    self.breaks("requests are unchanged", run.request_id)
            self._judge_orders(sampler)
        self._judge_rewards()
        self._judge_ends()
        for request_id in self._unsafe:
            if runs[request_id] > 1:
                self.breaks("unsafe requests run once", f"{request_id}: {runs[request_id]}")
        for request_id in self._promised_not_run:
            if runs[request_id]:
                self.breaks("refused requests do not run", request_id)

    def _judge_rewards(self) -> None:
        """No reward call reaches a sampler before the last event of its item was made."""
        completed_at: dict[str, float] = {}
        for sampler in self.samplers:
            for item_id, at in sampler.completed_at.items():
                completed_at[item_id] = min(at, completed_at.get(item_id, at))
        first = {reward_id(item_id): at for item_id, at in completed_at.items()}
        for sampler in self.samplers:
            for run in sampler.runs:
                if not run.request_id.startswith(reward_id("")):
                    continue
                self.counts["reward calls"] += 1
                if run.started_at < first.get(run.request_id, float("inf")):
                    self.breaks("rewards are asked for whole texts", run.request_id)

    def _judge_ends(self) -> None:
        """No item or reward call of an ended job reaches a sampler after its last moment."""
        jobs = {item: job for job in self.jobs.values() if job.ended for item in job.items}
        for job in self.jobs.values():
            if job.end_asked_at is not None and job.end_answered_at is not None:
                steady_s = self.disturbances.steady_s(job.end_asked_at, job.end_answered_at)
                self.counts[SLOWEST_END] = max(self.counts[SLOWEST_END], round(steady_s * 1000))
        jobs |= {reward_id(item): job for item, job in jobs.items()}
        last_moments: dict[str, float] = {}
        late: dict[str, list[tuple[float, RunRecord, HttpSampler]]] = collections.defaultdict(list)
        for sampler in self.samplers:
            for run in sampler.runs:
                job = jobs.get(run.request_id)
                if job is None or job.end_asked_at is None:
                    continue
                if run.started_at <= job.end_asked_at:
                    continue
                self.counts["runs after an end was asked"] += 1
                if job.job_id not in last_moments:
                    last_moments[job.job_id] = self._last_moment(job, job.end_asked_at)
                late_s = run.started_at - last_moments[job.job_id]
                if late_s > 0 and self._sender_in_touch(run, sampler):
                    late[job.job_id].append((late_s, run, sampler))
        for job_id, runs in late.items():
            job = self.jobs[job_id]
            late_s, run, sampler = max(runs, key=lambda entry: entry[0])
            self.breaks(
                "runs do not begin after their job has ended",
                (
                    f"{job_id}: {len(runs)} runs, the last {late_s:.2f} s late: {run.request_id} "
                    f"at {sampler.sampler_id}, {self._seconds(run.started_at)}; "
                    f"end asked {self._seconds(job.end_asked_at)}, "
                    f"answered {self._seconds(job.end_answered_at)}, "
                    f"last moment {self._seconds(last_moments[job_id])}"
                ),
            )

    def _last_moment(self, job: TakenJob, asked_at: float) -> float:
        due_at = self.disturbances.due_at(asked_at)
        answered_at = job.end_answered_at
        return (due_at if answered_at is None else min(answered_at, due_at)) + CANCEL_S

    def _sender_in_touch(self, run: RunRecord, sampler: HttpSampler) -> bool:
        """Whether its sender must have known. Which ledger node sent it is not seen."""
        places = (LEDGER, f"to {sampler.sampler_id}")
        return all(self.disturbances.in_touch(run.started_at, place) for place in places)

    def _seconds(self, at: float | None) -> str:
        return "never" if at is None else f"at {at - self._started_at:.2f} s"

    def _judge_orders(self, sampler: HttpSampler) -> None:
        holders: dict[int, set[str]] = collections.defaultdict(set)
        for order in sampler.orders:
            holders[order.fence].add(order.holder)
        for fence, names in holders.items():
            if len(names) > 1:
                self.breaks("one holder for a fence", f"{sampler.sampler_id}: {fence} {names}")
