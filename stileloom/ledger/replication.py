"""Replication from the leader to followers and learners: entries, probes and snapshots."""

from __future__ import annotations

from typing import Protocol

from stileloom import constants
from stileloom.blobs import BlobLog, BlobUnavailable
from stileloom.effects import Effect, Emit, Send
from stileloom.events import LogEvent
from stileloom.lease import LeaderLease
from stileloom.ledger.commands import Voter
from stileloom.ledger.durable_writes import DurableWrites
from stileloom.ledger.log import LedgerLog
from stileloom.ledger.messages import (
    AppendReply,
    AppendRequest,
    Entry,
    SnapshotRecord,
    SnapshotRequest,
)
from stileloom.ledger.progress import FollowerProgress, FollowerState
from stileloom.ledger.snapshot_transfer import OutgoingSnapshot


class ReplicationSource(Protocol):
    """The leading replica."""

    epoch: int

    @property
    def commit_index(self) -> int:
        """Index of the last committed entry."""

    def encode_snapshot(self) -> SnapshotRecord:
        """Encodes the applied state."""

    def report_damage(self, detail: str) -> list[Effect]:
        """Hands the lead over because the blob log cannot be read."""


class Replication:
    """Progress of all followers, and the messages that advance them."""

    def __init__(
        self,
        local_voter: Voter,
        log: LedgerLog,
        writes: DurableWrites,
        lease: LeaderLease,
        blobs: BlobLog,
        source: ReplicationSource,
    ) -> None:
        self.progress: dict[Voter, FollowerProgress] = {}
        self.outgoing: OutgoingSnapshot | None = None
        """The snapshot that is being sent to followers, if any."""
        self.last_nonce = 0
        self._local_voter = local_voter
        self._log = log
        self._writes = writes
        self._lease = lease
        self._blobs = blobs
        self._source = source

    def start(self, followers: list[Voter]) -> None:
        """Begins with the followers of a new leader."""
        self.outgoing = None
        self.progress = {follower: self.new_progress() for follower in followers}

    def stop(self) -> None:
        """Forgets all followers when leadership is lost."""
        self.outgoing = None
        self.progress.clear()

    def new_progress(self) -> FollowerProgress:
        """Progress of a follower of which nothing is known."""
        return FollowerProgress(self._log.last_index + 1)

    def replicate(self, now: float, heartbeat: bool) -> list[Effect]:
        """Sends what is due to each follower; on a heartbeat every follower gets a message."""
        effects: list[Effect] = []
        for follower, progress in self.progress.items():
            if not progress.is_responsive(now) and progress.state is not FollowerState.PROBE:
                # Entries for an unresponsive follower would only accumulate in send buffers, and
                # a transfer would hold the log.
                if not progress.keeps_transfer(now):
                    progress.start_probe()
                    progress.next_index = min(progress.next_index, self._log.last_index + 1)
                if progress.last_contact_at > float("-inf") and not progress.unresponsive:
                    progress.unresponsive = True
                    fields: dict[str, object] = {
                        "follower": follower.node_id,
                        "epoch": self._source.epoch,
                    }
                    effects.append(Emit(LogEvent.FOLLOWER_SILENT, fields))
            if progress.state is FollowerState.REPLICATE:
                if heartbeat or progress.next_index <= self._log.last_index:
                    effects += self.send_entries(now, follower, progress)
            elif heartbeat:
                effects += self.send_probe(now, follower, progress)
        return effects

    def send_probe(self, now: float, follower: Voter, progress: FollowerProgress) -> list[Effect]:
        """Sends an append request without entries to find the last common entry.

        Sends a snapshot instead if the entry before the follower's next one is compacted and the
        follower is responsive.
        """
        if progress.state is FollowerState.SNAPSHOT:
            return self._continue_transfer(now, follower, progress)
        previous = progress.next_index - 1
        if self._log.epoch_at(previous) is None:
            if progress.is_responsive(now):
                return self._start_transfer(now, follower, progress)
            previous = self._log.base_index
        if progress.state is not FollowerState.PROBE or progress.probed_index != previous:
            # A repeated probe must not supersede the first: its reply may take longer than a
            # heartbeat interval.
            progress.start_probe()
            progress.probed_index = previous
            progress.first_probe_nonce = self.last_nonce + 1
        return self._send_request(now, follower, previous, [])

    def _start_transfer(
        self, now: float, follower: Voter, progress: FollowerProgress
    ) -> list[Effect]:
        """Starts to send a snapshot; one that others are receiving is reused if possible."""
        outgoing = self.outgoing
        if outgoing is None or self._log.epoch_at(outgoing.snapshot.last_index) is None:
            outgoing = OutgoingSnapshot(
                self.last_nonce + 1, self._source.encode_snapshot(), self._blobs
            )
            self.outgoing = outgoing
        progress.start_transfer(outgoing)
        return self.send_piece(now, follower, progress, outgoing)

    def _continue_transfer(
        self, now: float, follower: Voter, progress: FollowerProgress
    ) -> list[Effect]:
        """Sends a lost piece again, else a heartbeat."""
        transfer = progress.transfer
        piece_lost = now >= progress.piece_sent_at + constants.SNAPSHOT_RETRY_INTERVAL_S
        if transfer is None or not piece_lost or not progress.is_responsive(now):
            return self._send_request(now, follower, self._log.base_index, [])
        return self.send_piece(now, follower, progress, transfer)

    def send_piece(
        self, now: float, follower: Voter, progress: FollowerProgress, transfer: OutgoingSnapshot
    ) -> list[Effect]:
        """Sends the next piece of a snapshot."""
        try:
            piece = transfer.piece(progress.received)
        except BlobUnavailable as error:
            return self._source.report_damage(str(error))
        self.last_nonce += 1
        progress.piece_nonce = self.last_nonce
        progress.piece_sent_at = now
        request = SnapshotRequest(
            self._source.epoch,
            self._local_voter,
            piece,
            self.last_nonce,
            transfer.transfer,
            progress.received,
            len(transfer.snapshot.state),
        )
        return [Send(follower.node_id, request)]

    def release_outgoing(self) -> None:
        """Drops the encoded snapshot once no follower is receiving it."""
        if all(progress.transfer is not self.outgoing for progress in self.progress.values()):
            self.outgoing = None

    def send_entries(self, now: float, follower: Voter, progress: FollowerProgress) -> list[Effect]:
        """Sends the entries that the follower lacks, without waiting for a reply."""
        previous = progress.next_index - 1
        if self._log.epoch_at(previous) is None:
            return self._start_transfer(now, follower, progress)
        entries = self._log.after(previous, constants.APPEND_BATCH_ENTRIES)
        # Optimistic: if this request is lost, the next one is rejected as a mismatch.
        progress.next_index += len(entries)
        return self._send_request(now, follower, previous, entries)

    def _send_request(
        self, now: float, follower: Voter, previous: int, entries: list[Entry]
    ) -> list[Effect]:
        self.last_nonce += 1
        self._lease.record_sent(self.last_nonce, now)
        previous_epoch = self._log.epoch_at(previous)
        assert previous_epoch is not None
        request = AppendRequest(
            self._source.epoch,
            self._local_voter,
            previous,
            previous_epoch,
            entries,
            self._source.commit_index,
            self.last_nonce,
        )
        return [Send(follower.node_id, request)]

    def record_contact(
        self, now: float, follower: Voter, progress: FollowerProgress
    ) -> list[Effect]:
        """Records a reply of a follower."""
        progress.last_contact_at = now
        if not progress.unresponsive:
            return []
        progress.unresponsive = False
        return [Emit(LogEvent.FOLLOWER_REGAINED, self._log_fields(follower))]

    def _log_fields(self, follower: Voter) -> dict[str, object]:
        return {"follower": follower.node_id, "epoch": self._source.epoch}

    def ends_search(self, progress: FollowerProgress, reply: AppendReply) -> bool:
        """Whether the reply ends the probe or the snapshot in progress."""
        if progress.transfer is not None:
            # Rejected heartbeats are expected there.
            installed = reply.match_index >= progress.transfer.snapshot.last_index
            in_log = self._log.epoch_at(reply.match_index) is not None
            return reply.success and (installed or in_log)
        first = progress.first_probe_nonce
        return first is not None and reply.nonce >= first

    def on_mismatch(
        self, now: float, message: AppendReply, progress: FollowerProgress
    ) -> list[Effect]:
        """Probes for the last common entry after a rejected request.

        The first of several rejected pipelined requests starts the probe; the other rejections
        are ignored, because a probe for each would make the leader resend the same entries.
        """
        replicating = progress.state is FollowerState.REPLICATE
        if not replicating and not self.ends_search(progress, message):
            return []
        progress.start_probe()
        progress.next_index = max(1, min(message.match_index + 1, self._log.last_index + 1))
        return self.send_probe(now, message.follower, progress)

    def match_index(self, voter: Voter) -> int:
        """Last index known to be durable at a voter."""
        if voter == self._local_voter:
            return self._writes.durable_index
        progress = self.progress.get(voter)
        return progress.match_index if progress is not None else 0
