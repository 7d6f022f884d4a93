"""`python -m tests.ledger_memory --rate 4`: memory and time of a voter over minutes of batch jobs.

A replica and its files run in virtual time, at a multiple of the jobs of a deployment with 256
items each four seconds. Prints one line for each half minute: memory of the process, encoded state,
bytes on disk, and the longest call of the replica, which blocks the event loop.
"""

from __future__ import annotations

import argparse
import random
import tempfile
from pathlib import Path
from time import perf_counter

import msgspec

from stileloom.api.jobs import FinishedItem, ItemState, JobItem, JobSubmission
from stileloom.effects import Effect
from stileloom.ledger import LedgerReplica, Persist, empty_ledger
from stileloom.ledger.commands import Command, EndJob, ForgetJob, RecordResults, SubmitJob, Voter
from stileloom.ledger.storage import LedgerStorage

PERIOD_S = 4.0
RETENTION_S = 125.0
ITEMS_OF_JOBS = (112, 144)
EVENTS_OF_ITEMS = (14, 25)
EVENT_BYTES = 320
BODY_BYTES = 600
RESULTS_A_COMMAND = 4
LINE_EVERY_S = 30.0


class Measured(msgspec.Struct):
    """What one run needed."""

    rss_mb: list[float] = msgspec.field(default_factory=list)
    """After each half minute."""
    state_bytes: int = 0
    disk_bytes: int = 0
    longest_call_s: float = 0.0


class SingleVoter(msgspec.Struct):
    """A voter set of one, whose files are written at once."""

    replica: LedgerReplica
    storage: LedgerStorage
    longest_call_s: float = 0.0

    def run(self, effects: list[Effect]) -> None:
        """Executes writes until none is left."""
        while writes := [effect for effect in effects if isinstance(effect, Persist)]:
            self.storage.write(writes)
            began_at = perf_counter()
            effects = self.replica.persisted(0.0, writes[-1].write_id)
            self.longest_call_s = max(self.longest_call_s, perf_counter() - began_at)

    def propose(self, command: Command) -> None:
        """Commits a command."""
        began_at = perf_counter()
        effects = self.replica.propose(0.0, command, None)
        self.longest_call_s = max(self.longest_call_s, perf_counter() - began_at)
        self.run(effects)


def measure(seconds: float, rate: float, folder: Path) -> Measured:
    """Runs jobs for some time; jobs are ended after two periods and forgotten after 125 s."""
    rng = random.Random(1)
    voter = Voter("a", "disk-a")
    storage = LedgerStorage(folder)
    ledger = empty_ledger([voter])
    storage.initialize(ledger)
    node = SingleVoter(LedgerReplica(voter, ledger, rng, 0.0, 1), storage)
    node.run(node.replica.tick(60.0))
    node.run(node.replica.tick(61.0))
    measured = Measured()
    jobs: list[tuple[float, str]] = []
    now, next_line_at, number = 0.0, LINE_EVERY_S, 0
    while now < seconds:
        for kind, count in enumerate(ITEMS_OF_JOBS):
            number += 1
            job_id = f"job-{number}"
            run_job(node, rng, job_id, count, EVENTS_OF_ITEMS[kind])
            jobs.append((now, job_id))
        while jobs and now - jobs[0][0] > RETENTION_S:
            node.propose(ForgetJob(jobs.pop(0)[1]))
        now += PERIOD_S / rate
        if now >= next_line_at:
            next_line_at += LINE_EVERY_S
            measured.rss_mb.append(rss_mb())
            measured.state_bytes = len(msgspec.msgpack.encode(node.replica.state))
            measured.disk_bytes = sum(path.stat().st_size for path in folder.iterdir())
            measured.longest_call_s = node.longest_call_s
            print(
                f"{now:6.0f} s: {measured.rss_mb[-1]:6.1f} MB, state "
                f"{measured.state_bytes / 1e6:6.2f} MB, disk {measured.disk_bytes / 1e6:6.1f} MB, "
                f"longest call {node.longest_call_s * 1000:5.1f} ms",
                flush=True,
            )
    storage.close()
    storage.blobs.close()
    return measured


def run_job(node: SingleVoter, rng: random.Random, job_id: str, count: int, events: int) -> None:
    """Submits, completes and ends one job."""
    items = [
        JobItem(
            f"{job_id}-{n}", "/drafts/x", {"Model": "m"}, rng.randbytes(BODY_BYTES), f"g{n % 9}"
        )
        for n in range(count)
    ]
    node.propose(SubmitJob(JobSubmission(job_id, "host", "/drafts/", 1, "m", 1, 9, items)))
    for first in range(0, count, RESULTS_A_COMMAND):
        finished = [
            FinishedItem(
                item.item_id,
                ItemState.SUCCEEDED,
                0,
                [rng.randbytes(EVENT_BYTES // 2).hex() for _ in range(events)],
                [1],
            )
            for item in items[first : first + RESULTS_A_COMMAND]
        ]
        node.propose(RecordResults(job_id, finished))
    node.propose(EndJob(job_id))


def rss_mb() -> float:
    """Memory of this process."""
    pages = int(Path("/proc/self/statm").read_text().split()[1])
    return pages * 4096 / 1e6


def main() -> None:
    """Prints a table."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--seconds", type=float, default=600.0, help="virtual time")
    parser.add_argument("--rate", type=float, default=4.0, help="multiple of the jobs")
    arguments = parser.parse_args()
    with tempfile.TemporaryDirectory() as scratch:
        measure(arguments.seconds, arguments.rate, Path(scratch))


if __name__ == "__main__":
    main()
