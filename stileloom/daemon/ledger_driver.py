"""Runs a ledger replica with a monotonic clock, sockets to the other replicas and a disk."""

from __future__ import annotations

import asyncio
from concurrent.futures import ThreadPoolExecutor

import msgspec
from tornado.ioloop import IOLoop

from stileloom.background import Ticker
from stileloom.clock import steady_time
from stileloom.daemon.background_snapshots import BackgroundSnapshots
from stileloom.effects import Effect, Emit, Send
from stileloom.errors import ErrorKind, StileloomError
from stileloom.events import LogEvent
from stileloom.jobs.metrics import JobMetrics
from stileloom.ledger import LedgerReplica
from stileloom.ledger.commands import Command, CommandResult
from stileloom.ledger.effects import Applied, Dropped, Persist
from stileloom.ledger.messages import LearnerHello
from stileloom.ledger.peer_addresses import PeerAddresses
from stileloom.ledger.state import LedgerState
from stileloom.ledger.storage import LedgerStorage
from stileloom.ledger.wire import LedgerCodec, Sender
from stileloom.logging import EventLog
from stileloom.transport import Network

TICK_S = 0.05
HELLO_INTERVAL_S = 0.4
DISK_RETRY_S = 0.1
COMMIT_STALL_S = 1.0
"""Age of the oldest uncommitted command at which a stall is logged."""


class LedgerDriver:
    """Runs the replica of this process."""

    def __init__(
        self,
        replica: LedgerReplica,
        storage: LedgerStorage,
        local_sender: Sender,
        seeds: list[tuple[str, int]],
        log: EventLog,
        metrics: JobMetrics,
        compress: bool = True,
    ) -> None:
        self.replica = replica
        self._storage = storage
        self._local_sender = local_sender
        self._log = log
        self._metrics = metrics
        self._addresses = PeerAddresses((local_sender.host, local_sender.port), seeds)
        self._network = Network(
            LedgerCodec(local_sender, self._addresses, compress), self._handle_message
        )
        self._disk = ThreadPoolExecutor(max_workers=1, thread_name_prefix="ledger")
        self._snapshot_writer = BackgroundSnapshots(storage, self._disk, self._start_write, log)
        self._writes: list[Persist] = []
        self._writing = False
        self._write_started_at = 0.0
        self._disk_failing = False
        self._stopped = False
        self._next_hello_at = 0.0
        self._uncommitted: dict[asyncio.Future[CommandResult], float] = {}
        """Time of proposal of each command that waits for its commit, oldest first."""
        self._stalled_since: float | None = None
        self._ticker = Ticker(self._tick, TICK_S, self._log_blocked_loop)

    async def start(self, listen_host: str) -> None:
        """Starts listening and the ticker. Raises `OSError` if the port is in use."""
        await self._network.start(listen_host, self._local_sender.port)
        self._ticker.start()

    def stop(self) -> None:
        """Stops the ticker, closes the sockets and waits for pending writes."""
        self._stopped = True
        self._ticker.stop()
        self._network.stop()
        self._snapshot_writer.stop()
        self._disk.shutdown(wait=True)
        self._storage.close()
        self._storage.blobs.close()

    @property
    def state(self) -> LedgerState:
        """The replicated state as far as this replica has applied it."""
        return self.replica.state

    def transfer_leadership(self) -> None:
        """Transfers leadership to another replica if this one leads."""
        self._run(self.replica.transfer_leadership(steady_time()))

    def report_damage(self, detail: str) -> None:
        """Hands the lead over because what the state refers to cannot be read here."""
        self._run(self.replica.report_damage(detail))

    def is_active_leader(self) -> bool:
        """Whether this replica leads and holds its lease now."""
        return not self._stopped and self.replica.is_active_leader(steady_time())

    def leader_address(self) -> tuple[str, int] | None:
        """Returns the address of the last known leader."""
        leader = self.replica.leader
        if leader is None:
            return None
        if leader == self.replica.local_voter.node_id:
            return (self._local_sender.host, self._local_sender.port)
        return self._addresses.address_of(leader)

    def set_peer_address(self, node_id: str, address: tuple[str, int]) -> None:
        """Records a node address that is registered in the object store."""
        self._addresses.add_registered(node_id, address)

    def needs_peer_discovery(self) -> bool:
        """Whether a voter's address or the leader is unknown."""
        others = [
            voter.node_id for voter in self.replica.voters if voter != self.replica.local_voter
        ]
        unknown = any(self._addresses.address_of(node_id) is None for node_id in others)
        return unknown or self.replica.leader is None

    async def propose(self, command: Command) -> CommandResult:
        """Commits a command and returns its result.

        Raises `StileloomError` (LEDGER_UNAVAILABLE, outcome unknown) if leadership is lost.
        """
        future: asyncio.Future[CommandResult] = asyncio.get_running_loop().create_future()
        proposed_at = steady_time()
        self._uncommitted[future] = proposed_at
        future.add_done_callback(self._uncommitted.pop)
        self._run(self.replica.propose(proposed_at, command, future))
        result = await future
        self._metrics.commit.observe(steady_time() - proposed_at)
        return result

    def _log_blocked_loop(self, late_s: float) -> None:
        fields: dict[str, object] = {"blocked_ms": round(late_s * 1000)}
        self._log.emit(LogEvent.EVENT_LOOP_BLOCKED, fields)

    def _log_commit_stall(self, now: float) -> None:
        """Logs the begin and the end of a time in which a command waits for its commit."""
        oldest_at = next(iter(self._uncommitted.values()), None)
        if self._stalled_since is not None and oldest_at != self._stalled_since:
            stalled_ms = round((now - self._stalled_since) * 1000)
            self._stalled_since = None
            self._log.emit(LogEvent.COMMIT_RESUMED, {"stalled_ms": stalled_ms})
        if self._stalled_since is None and oldest_at is not None:
            if now < oldest_at + COMMIT_STALL_S:
                return
            self._stalled_since = oldest_at
            fields: dict[str, object] = {
                "waiting": len(self._uncommitted),
                "commit_index": self.replica.commit_index,
                "holds_lease": self.is_active_leader(),
            }
            self._log.emit(LogEvent.COMMIT_STALLED, fields)

    def _tick(self) -> None:
        now = steady_time()
        self._run(self.replica.tick(now))
        self._log_commit_stall(now)
        lacks_leader = not self.replica.is_voter and not self.replica.has_leader_contact(now)
        if lacks_leader and now >= self._next_hello_at:
            self._next_hello_at = now + HELLO_INTERVAL_S
            self._send_hello()

    def _send_hello(self) -> None:
        """Announces this learner, which has no contact with a leader, to all known addresses."""
        hello = LearnerHello(self.replica.local_voter)
        for address in self._addresses.all_addresses():
            self._network.send(address, hello)

    def _handle_message(self, sender: str, message: object) -> None:
        self._run(self.replica.handle(steady_time(), sender, message))

    def _run(self, effects: list[Effect]) -> None:
        if self._stopped:
            return
        for effect in effects:
            if isinstance(effect, Send):
                for address in self._addresses.targets(effect.to):
                    self._network.send(address, effect.message)
            elif isinstance(effect, Persist):
                self._writes.append(effect)
                self._start_write()
            elif isinstance(effect, Emit):
                self._log.emit(effect.event, effect.fields)
            elif isinstance(effect, Applied | Dropped):
                self._resolve(effect)

    def _resolve(self, effect: Applied | Dropped) -> None:
        future = effect.ticket
        if not isinstance(future, asyncio.Future) or future.done():
            return
        if isinstance(effect, Applied):
            future.set_result(effect.result)
        else:
            future.set_exception(
                StileloomError(
                    ErrorKind.LEDGER_UNAVAILABLE,
                    "leadership was lost; the outcome of the command is unknown",
                )
            )

    def _start_write(self) -> None:
        """Writes all queued effects as one batch, unless a write is in progress."""
        if self._writing:
            return
        batch: list[Persist] = []
        while self._writes and not self._must_wait(self._writes[0], batch):
            batch.append(self._writes.pop(0))
        if batch:
            self._writing = True
            self._write(batch)

    def _must_wait(self, write: Persist, batch: list[Persist]) -> bool:
        """Whether the write replaces a snapshot that is written beside it, now or after `batch`."""
        replaces_snapshot = write.snapshot is not None and not write.background
        return replaces_snapshot and (
            self._snapshot_writer.busy or any(earlier.background for earlier in batch)
        )

    def _write(self, batch: list[Persist]) -> None:
        if self._stopped:
            return
        self._write_started_at = steady_time()
        now_due = [
            msgspec.structs.replace(write, snapshot=None) if write.background else write
            for write in batch
        ]
        future = IOLoop.current().run_in_executor(self._disk, self._storage.write, now_due)
        IOLoop.current().add_future(future, lambda done: self._write_finished(done, batch))

    def _write_finished(self, done: asyncio.Future[None], batch: list[Persist]) -> None:
        error = done.exception()
        if isinstance(error, OSError):
            # Writes are acknowledged only once they are durable, so retry the same batch.
            self._set_disk_failing(failing=True, detail=repr(error))
            asyncio.get_running_loop().call_later(DISK_RETRY_S, self._write, batch)
            return
        done.result()
        self._set_disk_failing(failing=False, detail="")
        self._metrics.sync.observe(steady_time() - self._write_started_at)
        self._writing = False
        if self._stopped:
            return
        for write in batch:
            if write.background and write.snapshot is not None:
                self._snapshot_writer.submit(write)
        self._run(self.replica.persisted(steady_time(), batch[-1].write_id))
        self._start_write()

    def _set_disk_failing(self, failing: bool, detail: str) -> None:
        if failing == self._disk_failing:
            return
        self._disk_failing = failing
        event = LogEvent.DISK_LOST if failing else LogEvent.DISK_REGAINED
        self._log.emit(event, {"detail": detail} if failing else {})
