"""Ledger replicas in virtual time, with links, disks and processors that take time."""

from __future__ import annotations

import heapq
import itertools
import random
from collections.abc import Callable

import msgspec

from stileloom.api.jobs import ItemProgress, JobItem, JobSubmission
from stileloom.daemon.ledger_driver import HELLO_INTERVAL_S, TICK_S
from stileloom.effects import Effect, Emit, Send
from stileloom.events import LogEvent
from stileloom.ledger import Applied, Dropped, LedgerReplica, LedgerState, Persist, empty_ledger
from stileloom.ledger.commands import (
    Command,
    RaiseConfigurationFloor,
    SaveProgress,
    SubmitJob,
    Voter,
)
from stileloom.ledger.messages import HardState, LearnerHello, SnapshotRecord
from stileloom.ledger.recovered import RecoveredLedger
from stileloom.simulator.disk import SimulatedDisk

BASE_INDEX = 1000


class Speeds(msgspec.Struct, frozen=True):
    """What the machines and links take for their work."""

    link_delay_s: float = 0.002
    sync_s: float = 0.001
    write_bytes_per_s: float = 500e6
    send_bytes_per_s: float = 20e6
    """Encoding and compression of frames; the process does nothing else meanwhile."""
    link_bytes_per_s: float = 75e6


class LedgerNode:
    """One machine: a disk and, while it runs, a replica."""

    def __init__(self, disk: SimulatedDisk) -> None:
        self.disk = disk
        self.replica: LedgerReplica | None = None
        self.life = 0
        self.busy_until = 0.0
        self.writes: list[Persist] = []
        """Writes that wait for the one in progress."""
        self.writing = False
        self.hello_at = 0.0
        self.sync_s: float | None = None
        """In place of the speed of all disks."""


class LedgerCluster:
    """Voters and standbys; every leader proposes a command each `propose_every_s`."""

    def __init__(
        self,
        voters: str,
        standbys: str = "",
        state_bytes: int = 0,
        speeds: Speeds | None = None,
        seed: int = 1,
        wanted: int = 0,
    ) -> None:
        """`wanted` is the target size of the voter set, if it is not the initial one."""
        self.now = 0.0
        self.rng = random.Random(seed)
        self.speeds = speeds or Speeds()
        self.is_lost: Callable[[str, str, object], bool] = lambda sender, to, message: False
        self.is_repeated: Callable[[str, str, object], bool] = lambda sender, to, message: False
        self.propose_every_s = 0.01
        self.command: Command = RaiseConfigurationFloor(1)
        self.sent: list[tuple[float, str, str, object, int]] = []
        """Time, sender, receiver, message and encoded size."""
        self.events: list[tuple[float, str, LogEvent]] = []
        self.committed_at: list[float] = [0.0]
        self.leased_without_commit_s = 0.0
        """The longest time for which one node held its lease and committed nothing."""
        self._target_voters = wanted or len(voters)
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self._order = 0
        self._link_free_at: dict[tuple[str, str], float] = {}
        self._leased_since: dict[str, float] = {}
        initial = [Voter(name, f"disk-{name}") for name in voters]
        state = large_state(state_bytes)
        state.voters = initial
        jobs = state.job_book
        encoded = msgspec.msgpack.encode(state)
        snapshot = SnapshotRecord(BASE_INDEX, 1, initial, 0, jobs.blob_end, encoded)
        self.nodes: dict[str, LedgerNode] = {}
        for name in voters + standbys:
            known = RecoveredLedger(HardState(1, None), snapshot, [], blobs=jobs.blobs)
            ledger = known if name in voters else empty_ledger([])
            self.nodes[name] = LedgerNode(SimulatedDisk(Voter(name, f"disk-{name}"), ledger))

    # Machines.

    def start(self, names: str) -> None:
        """Starts processes on their disks."""
        for name in names:
            node = self.nodes[name]
            node.life += 1
            node.busy_until = self.now
            node.replica = LedgerReplica(
                node.disk.identity,
                node.disk.recover(),
                random.Random(self.rng.getrandbits(32)),
                self.now,
                self._target_voters,
            )
            self._tick(name, node.life)
            self._propose(name, node.life)

    def kill(self, name: str) -> None:
        """Ends a process; writes that were not durable may be lost."""
        node = self.nodes[name]
        node.life += 1
        node.replica = None
        node.disk.crash(self.rng.randint(0, node.disk.pending_count))
        node.writes.clear()
        node.writing = False

    def replace_disk(self, name: str) -> None:
        """Gives a stopped machine an empty disk."""
        identity = Voter(name, f"disk-{name}-{self.nodes[name].life}")
        self.nodes[name] = LedgerNode(SimulatedDisk(identity, empty_ledger([])))

    def leader(self) -> str | None:
        """The node that leads and holds its lease."""
        for name, node in self.nodes.items():
            if node.replica is not None and node.replica.is_active_leader(self.now):
                return name
        return None

    def replica(self, name: str) -> LedgerReplica:
        """The replica of a running node."""
        replica = self.nodes[name].replica
        assert replica is not None
        return replica

    # Time.

    def run_for(self, seconds: float) -> None:
        """Runs everything that is due."""
        end_at = self.now + seconds
        while self._queue and self._queue[0][0] <= end_at:
            self.now, _, action = heapq.heappop(self._queue)
            action()
        self.now = end_at

    def longest_pause_s(self, since: float) -> float:
        """The longest time without a commit from then on."""
        times = [since, *(at for at in self.committed_at if at > since), self.now]
        return max(later - earlier for earlier, later in itertools.pairwise(times))

    def elections_since(self, since: float) -> int:
        """Leaders elected from then on."""
        return sum(at > since and e is LogEvent.LEADER_ELECTED for at, _, e in self.events)

    def snapshots_since(self, since: float) -> int:
        """Snapshots that any node took from then on."""
        return sum(at > since and e is LogEvent.SNAPSHOT_TAKEN for at, _, e in self.events)

    def bytes_sent_to(self, name: str, since: float) -> int:
        """Encoded messages to a node from then on."""
        return sum(size for at, _, to, _, size in self.sent if to == name and at > since)

    def _at(self, when: float, action: Callable[[], None]) -> None:
        self._order += 1
        heapq.heappush(self._queue, (max(when, self.now), self._order, action))

    def _when_idle(self, name: str, life: int, action: Callable[[LedgerReplica], None]) -> None:
        """Runs an action of a process once it is not busy, unless it has ended."""
        node = self.nodes[name]
        if node.life != life or node.replica is None:
            return
        if node.busy_until > self.now:
            self._at(node.busy_until, lambda: self._when_idle(name, life, action))
            return
        self._observe_lease(name, node.replica)
        action(node.replica)

    def _tick(self, name: str, life: int) -> None:
        def run(replica: LedgerReplica) -> None:
            self._execute(name, replica.tick(self.now))
            self._announce(name, replica)
            self._at(self.now + TICK_S, lambda: self._tick(name, life))

        self._when_idle(name, life, run)

    def _announce(self, name: str, replica: LedgerReplica) -> None:
        """Announces a learner without a leader to all nodes, as the driver does."""
        node = self.nodes[name]
        if replica.is_voter or replica.has_leader_contact(self.now) or self.now < node.hello_at:
            return
        node.hello_at = self.now + HELLO_INTERVAL_S
        for other in self.nodes:
            if other != name:
                self._send(name, other, LearnerHello(replica.local_voter))

    def _propose(self, name: str, life: int) -> None:
        def run(replica: LedgerReplica) -> None:
            if replica.is_active_leader(self.now):
                self._execute(name, replica.propose(self.now, self.command, object()))
            self._at(self.now + self.propose_every_s, lambda: self._propose(name, life))

        self._when_idle(name, life, run)

    def _observe_lease(self, name: str, replica: LedgerReplica) -> None:
        if not replica.is_active_leader(self.now):
            self._leased_since.pop(name, None)
            return
        since = max(self._leased_since.setdefault(name, self.now), self.committed_at[-1])
        self.leased_without_commit_s = max(self.leased_without_commit_s, self.now - since)

    # Effects.

    def _execute(self, name: str, effects: list[Effect]) -> None:
        for effect in effects:
            if isinstance(effect, Send):
                self._send(name, effect.to, effect.message)
            elif isinstance(effect, Persist):
                self._persist(name, effect)
            elif isinstance(effect, Emit):
                self.events.append((self.now, name, effect.event))
            elif isinstance(effect, Applied):
                self.committed_at.append(self.now)
            else:
                assert isinstance(effect, Dropped)

    def _send(self, name: str, to: str, message: object) -> None:
        size = len(msgspec.msgpack.encode(message))
        sender = self.nodes[name]
        sender.busy_until = max(sender.busy_until, self.now) + size / self.speeds.send_bytes_per_s
        self.sent.append((self.now, name, to, message, size))
        receiver = self.nodes[to]
        if receiver.replica is None or self.is_lost(name, to, message):
            return
        free_at = max(self._link_free_at.get((name, to), 0.0), sender.busy_until)
        self._link_free_at[name, to] = free_at + size / self.speeds.link_bytes_per_s
        life = receiver.life
        arrives_at = self._link_free_at[name, to] + self.speeds.link_delay_s

        def deliver(replica: LedgerReplica) -> None:
            self._execute(to, replica.handle(self.now, name, message))

        self._at(arrives_at, lambda: self._when_idle(to, life, deliver))
        if self.is_repeated(name, to, message):
            later = arrives_at + self.rng.uniform(0.0, 1.0)
            self._at(later, lambda: self._when_idle(to, life, deliver))

    def _persist(self, name: str, write: Persist) -> None:
        node = self.nodes[name]
        node.disk.submit(write)
        node.writes.append(write)
        if not node.writing:
            self._write(name)

    def _write(self, name: str) -> None:
        """Writes all that waits with one sync, as the driver does."""
        node = self.nodes[name]
        life = node.life
        batch, node.writes = node.writes, []
        node.writing = bool(batch)
        if not batch:
            return
        size = sum(len(write.snapshot.state) for write in batch if write.snapshot is not None)
        sync_s = node.sync_s if node.sync_s is not None else self.speeds.sync_s

        def complete() -> None:
            if node.life == life:
                node.disk.complete(batch[-1].write_id)
                self._when_idle(name, life, report)
                self._write(name)

        def report(replica: LedgerReplica) -> None:
            self._execute(name, replica.persisted(self.now, batch[-1].write_id))

        self._at(self.now + sync_s + size / self.speeds.write_bytes_per_s, complete)


def large_state(size: int) -> LedgerState:
    """A state of about this encoded size."""
    state = LedgerState()
    text = "x" * 100_000
    items = [JobItem(f"item-{n}", "/items", {}, b"", "") for n in range(-(-size // len(text)))]
    if items:
        state.apply(SubmitJob(JobSubmission("job", "host", "/items", 1, "model", 1, 1, items)))
        saved = [ItemProgress(item.item_id, 0, [text], 1, [1]) for item in items]
        state.apply(SaveProgress("job", saved))
    return state
