"""Ledger benchmark: three nodes over loopback TCP, with files on disk and fsync."""

from __future__ import annotations

import asyncio
import random
import statistics
import time
from pathlib import Path

import msgspec

from stileloom.api.samples import Prompt, Sample, Segment
from stileloom.clock import steady_time
from stileloom.daemon.platform_client import MachineList, ObjectApi
from stileloom.daemon.shell import Shell
from stileloom.emulator.deployment import PortAllocator
from stileloom.errors import ErrorKind, StileloomError
from stileloom.ledger import LedgerReplica, empty_ledger
from stileloom.ledger.commands import (
    AcknowledgeDeliveries,
    CommitSample,
    HandOver,
    RegisterRound,
    SubmitPrompts,
    Voter,
)
from stileloom.ledger.storage import LedgerStorage
from stileloom.logging import EventLog, configure_logs
from stileloom.membership import Member, Seed
from stileloom.node import NodeCore

NODES = 3
ROUND_NAME = "bench"
CONCURRENCY = 64
SAMPLE_TOKENS = 1000
PROMPTS_PER_BATCH = 1024
FAILOVERS = 5
UNUSED_ADDRESS = "127.0.0.1:1"
LEADER_TIMEOUT_S = 20.0


class LedgerBenchResult(msgspec.Struct):
    """Throughput, latency and failover time of three voters on one machine."""

    commits_per_s: float
    commit_ms_p50: float
    commit_ms_p99: float
    journal_bytes_per_sample: float
    """Per voter, for samples of `sample_tokens` tokens."""
    sent_bytes_per_sample: float
    """Sent by the leader to both followers."""
    sample_tokens: int
    failover_s: list[float]
    """Seconds from stopping the leader until another node is leader."""


class _Cluster:
    """Three nodes in one process."""

    def __init__(self, folder: Path) -> None:
        self.shells: dict[str, Shell] = {}
        self._folder = folder
        ports = PortAllocator()
        self._ports = {f"voter-{number}": ports.allocate() for number in range(NODES)}
        ports.release()
        self._voters = [Voter(name, f"disk-{name}") for name in self._ports]

    async def start(self, name: str) -> None:
        """Starts a node and recovers its ledger from disk."""
        folder = self._folder / name
        storage = LedgerStorage(folder)
        recovered = storage.recover()
        if recovered is None:
            recovered = empty_ledger(self._voters)
            storage.initialize(recovered)
        port = self._ports[name]
        incarnation = time.time_ns() // 1_000_000
        member = Member(name, name, "region", "127.0.0.1", port, 0, incarnation, voter=True)
        rng = random.Random()
        now = steady_time()
        voter = next(voter for voter in self._voters if voter.node_id == name)
        replica = LedgerReplica(voter, recovered, rng, now)
        seeds = [Seed("127.0.0.1", other) for other in self._ports.values() if other != port]
        core = NodeCore(member, seeds, rng, now, replica)
        api, machines = ObjectApi(UNUSED_ADDRESS), MachineList(UNUSED_ADDRESS)
        shell = Shell(core, EventLog(name), api, machines, storage)
        await shell.start("127.0.0.1", port)
        self.shells[name] = shell

    def leader(self) -> Shell | None:
        """Returns the current leader, or None."""
        for shell in self.shells.values():
            replica = shell.core.replica
            if replica is not None and replica.is_active_leader(shell.now()):
                return shell
        return None

    async def wait_leader(self) -> Shell:
        """Waits for a leader. Raises `StileloomError` (LEDGER_UNAVAILABLE)."""
        give_up_at = steady_time() + LEADER_TIMEOUT_S
        while steady_time() < give_up_at:
            leader = self.leader()
            if leader is not None:
                return leader
            await asyncio.sleep(0.005)
        raise StileloomError(
            ErrorKind.LEDGER_UNAVAILABLE, f"no leader within {LEADER_TIMEOUT_S:.0f} s"
        )

    def stop(self, name: str) -> None:
        self.shells.pop(name).stop()

    def stop_all(self) -> None:
        for name in list(self.shells):
            self.stop(name)


async def run_ledger_bench(folder: Path, seconds: float) -> LedgerBenchResult:
    """Commits samples for `seconds`, then measures failovers."""
    configure_logs("error")
    cluster = _Cluster(folder)
    try:
        for number in range(NODES):
            await cluster.start(f"voter-{number}")
        leader = await cluster.wait_leader()
        times, sent = await _commit_samples(leader, seconds)
        journal = folder / leader.core.node_id / "journal"
        journal_bytes = journal.stat().st_size
        entries = leader.core.replica.log_length if leader.core.replica is not None else 1
        failovers = [await _measure_failover(cluster) for _ in range(FAILOVERS)]
    finally:
        cluster.stop_all()
    ordered = sorted(times)
    return LedgerBenchResult(
        commits_per_s=round(len(times) / seconds, 1),
        commit_ms_p50=round(statistics.median(ordered) * 1000, 2),
        commit_ms_p99=round(ordered[int(0.99 * len(ordered))] * 1000, 2),
        journal_bytes_per_sample=round(journal_bytes / max(1, entries)),
        sent_bytes_per_sample=round(sent / max(1, len(times))),
        sample_tokens=SAMPLE_TOKENS,
        failover_s=[round(value, 2) for value in failovers],
    )


async def _commit_samples(leader: Shell, seconds: float) -> tuple[list[float], int]:
    await leader.command(RegisterRound(ROUND_NAME, 2, PROMPTS_PER_BATCH, 1, 1))
    times: list[float] = []
    next_slot = 0
    submitted = 0
    end_at = steady_time() + seconds
    tokens = [number * 65_537 % (1 << 30) for number in range(SAMPLE_TOKENS)]
    sent_before = leader.network.traffic.sent_bytes

    async def commit() -> None:
        nonlocal next_slot, submitted
        while steady_time() < end_at:
            slot = next_slot
            next_slot += 1
            if slot >= submitted:
                first = submitted
                submitted += PROMPTS_PER_BATCH
                prompts = [
                    Prompt(f"p{number}", "", SAMPLE_TOKENS)
                    for number in range(first, first + PROMPTS_PER_BATCH)
                ]
                await leader.command(SubmitPrompts(ROUND_NAME, f"batch-{first}", prompts))
            sample = Sample(slot, "1.1", f"p{slot}", tokens, [Segment(1, 0, SAMPLE_TOKENS)])
            started_at = steady_time()
            await leader.command(CommitSample(ROUND_NAME, sample))
            times.append(steady_time() - started_at)
            if slot % PROMPTS_PER_BATCH == PROMPTS_PER_BATCH // 2:
                # Acknowledge samples as a trainer would, so that the state does not grow.
                await leader.command(HandOver(ROUND_NAME, slot - CONCURRENCY))
                await leader.command(AcknowledgeDeliveries(ROUND_NAME, slot - CONCURRENCY))

    await asyncio.gather(*[commit() for _ in range(CONCURRENCY)])
    return times, leader.network.traffic.sent_bytes - sent_before


async def _measure_failover(cluster: _Cluster) -> float:
    leader = await cluster.wait_leader()
    name = leader.core.node_id
    cluster.stop(name)
    stopped_at = steady_time()
    await cluster.wait_leader()
    failover_s = steady_time() - stopped_at
    await cluster.start(name)
    await asyncio.sleep(2.0)
    return failover_s
