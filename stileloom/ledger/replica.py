"""A replica of the ledger: Raft with asynchronous writes, leader leases and disk identities.

Source: Ongaro and Ousterhout, "In Search of an Understandable Consensus Algorithm" (2014),
with pre-vote and leader stickiness (dissertation, sections 9.6 and 4.2.3). Raft terms are
called epochs because they are the epochs of the fencing tokens. Differences from the paper:
a reply that depends on persisted state is deferred until that state is durable, and a vote
counts only if its disk identity is in the voter set. A node that lost its disk, and with it the
record of its earlier votes, therefore cannot vote.
"""

from __future__ import annotations

import enum
import random

import msgspec

from stileloom import constants
from stileloom.blobs import BlobUnavailable
from stileloom.effects import Effect, Emit, Send
from stileloom.events import LogEvent
from stileloom.lease import LeaderLease
from stileloom.ledger.commands import ChangeVoters, Command, StartEpoch, Voter
from stileloom.ledger.effects import Applied, Dropped, Persist
from stileloom.ledger.electorate import Electorate, LostDiskDetector, current_electorate
from stileloom.ledger.log import LedgerLog
from stileloom.ledger.messages import (
    AppendReply,
    AppendRequest,
    Entry,
    HandOver,
    HardState,
    IdentityQuestion,
    LearnerHello,
    SnapshotRecord,
    SnapshotReply,
    SnapshotRequest,
    VoteReply,
    VoteRequest,
)
from stileloom.ledger.progress import FollowerProgress, FollowerState
from stileloom.ledger.recovered import (
    RecoveredLedger,
    decode_state,
    last_leader,
    without_state,
)
from stileloom.ledger.snapshot_transfer import IncomingSnapshot, OutgoingSnapshot
from stileloom.ledger.standbys import StandbyPool, VoterHealth
from stileloom.ledger.voters import next_voter_set
from stileloom.switches import ALL_ON, Switches


class ReplicaRole(enum.Enum):
    """Raft role of a replica."""

    FOLLOWER = "follower"
    CANDIDATE = "candidate"
    LEADER = "leader"


class LedgerReplica:
    """One replica, without I/O. `now` is monotonic time in seconds."""

    def __init__(
        self,
        local_voter: Voter,
        recovered: RecoveredLedger,
        rng: random.Random,
        now: float,
        target_voters: int = 3,
        switches: Switches = ALL_ON,
    ) -> None:
        self.local_voter = local_voter
        self.role = ReplicaRole.FOLLOWER
        self.epoch = recovered.hard_state.epoch
        self.leader: str | None = None
        self.unavailable: set[str] = set()
        """Nodes that another source, such as the membership, reports as dead."""
        self._is_damaged = False
        """Whether this replica's blob log lacks bytes that a leader has to serve."""
        self._lost_disk_detector = LostDiskDetector(rng)
        self._voted_for = recovered.hard_state.voted_for
        self._log = LedgerLog(without_state(recovered.snapshot), recovered.entries)
        self._rng = rng
        self._target_voters = target_voters
        self._switches = switches
        self._lease = LeaderLease()
        self._snapshot_index = recovered.snapshot.last_index
        """Last index that the newest snapshot covers."""
        self._log_bytes = self._log.bytes_after(self._log.base_index)
        """Size of the entries since the newest snapshot."""
        self._snapshot_growth_bytes = self._growth_before_snapshot(len(recovered.snapshot.state))
        self._durable_index = self._log.last_index
        self._commit_index = self._log.base_index
        self._applied_index = self._log.base_index
        self._blobs = recovered.blobs
        self.state = decode_state(recovered.snapshot, self._blobs)
        self._apply_recovered(recovered.commit_index)
        self._progress: dict[Voter, FollowerProgress] = {}
        self._outgoing: OutgoingSnapshot | None = None
        """The snapshot that is being sent to followers, if any."""
        self._incoming: IncomingSnapshot | None = None
        """The snapshot that is being received from the leader, if any."""
        self._standbys = StandbyPool()
        self._leader_since = now
        self._tickets_by_index: dict[int, object] = {}
        self._proposed_at: dict[int, float] = {}
        """Times of the entries that this leader has proposed and not committed, in log order."""
        self._votes: set[Voter] = set()
        self._in_pre_vote = False
        self._last_nonce = 0
        self._last_write_id = 0
        self._durable_write_id = 0
        self._last_index_by_write: dict[int, int] = {}
        self._deferred_effects: list[tuple[int, Effect]] = []
        self._next_heartbeat_at = now
        # A voter may have confirmed a lease just before it restarted; it lets that lease expire.
        self._last_leader_contact_at = now
        self._previous_leader = (
            last_leader(recovered, self.state) if switches.restart_head_start else ""
        )
        """Leader before the restart; empty if unknown or once a new leader is known."""
        self._restarted_at = now
        self._election_due_at = now + self._election_timeout(now)
        self._next_hello_at = now

    # Queries.

    @property
    def voters(self) -> list[Voter]:
        """The voter set in effect."""
        return self._log.voters

    @property
    def commit_index(self) -> int:
        """Index of the last committed entry."""
        return self._commit_index

    @property
    def log_length(self) -> int:
        """Number of entries after the last snapshot."""
        return len(self._log)

    @property
    def follower_lag(self) -> int:
        """Entries that the slowest voting follower lacks; 0 if this replica is not the leader."""
        if self.role is not ReplicaRole.LEADER:
            return 0
        others = [voter for voter in self.voters if voter != self.local_voter]
        return max((self._log.last_index - self._match_index(v) for v in others), default=0)

    @property
    def is_voter(self) -> bool:
        """Whether this replica, with its current disk, is in the voter set."""
        return self.local_voter in self.voters

    def is_active_leader(self, now: float) -> bool:
        """Whether this replica leads, holds its lease and can commit.

        Followers may confirm the lease of a leader whose commands do not commit, because its disk
        or theirs hang. What such a leader does may contradict a command that waits, such as the
        end of a job.
        """
        if self.role is not ReplicaRole.LEADER:
            return False
        if self._log.epoch_at(self._applied_index) != self.epoch:
            return False
        oldest_proposal_at = next(iter(self._proposed_at.values()), now)
        if now >= oldest_proposal_at + constants.COMMIT_TIMEOUT_S:
            return False
        return now < self.lease_expires_at(now)

    def has_leader_contact(self, now: float) -> bool:
        """Whether a known leader has contacted this replica recently."""
        return self.leader is not None and now < (
            self._last_leader_contact_at + constants.LEADER_CONTACT_TIMEOUT_S
        )

    def lease_expires_at(self, now: float) -> float:
        """When the leader's lease expires unless it is confirmed again."""
        return self._electorate().lease_expires_at(
            lambda names: self._lease.expires_at(self.local_voter.node_id, names, now)
        )

    # Entry points.

    def tick(self, now: float) -> list[Effect]:
        """Runs elections, heartbeats and voter set changes that are due."""
        is_leader = self.role is ReplicaRole.LEADER
        if is_leader and (self._is_removed_leader(now) or self._must_hand_over(now)):
            return self.transfer_leadership(now)
        if self.role is ReplicaRole.LEADER:
            self._release_outgoing()
            effects = self._replicate_to_standbys(now) + self._change_voters(now)
            if now >= self._next_heartbeat_at:
                self._next_heartbeat_at = now + constants.LEDGER_HEARTBEAT_INTERVAL_S
                effects += self._replicate(now, heartbeat=True)
            return effects
        effects = [] if self.is_voter else self._send_hello(now)
        if self._may_campaign and now >= self._election_due_at:
            effects += self._start_election(now, pre_vote=True)
        return effects

    def propose(self, now: float, command: Command, ticket: object) -> list[Effect]:
        """Appends a command at the leader; `Applied` or `Dropped` follows with the ticket."""
        if self.role is not ReplicaRole.LEADER:
            return [Dropped(ticket)]
        entry = Entry(self._log.last_index + 1, self.epoch, command)
        self._tickets_by_index[entry.index] = ticket
        self._proposed_at[entry.index] = now
        effects = self._append([entry])
        return effects + self._replicate(now, heartbeat=False)

    def persisted(self, now: float, write_id: int) -> list[Effect]:
        """Called by the driver once this write and all earlier ones are durable."""
        self._durable_write_id = max(self._durable_write_id, write_id)
        for pending in sorted(self._last_index_by_write):
            if pending <= write_id:
                self._durable_index = self._last_index_by_write.pop(pending)
        released = [effect for awaited, effect in self._deferred_effects if awaited <= write_id]
        self._deferred_effects = [
            (awaited, effect) for awaited, effect in self._deferred_effects if awaited > write_id
        ]
        if self.role is ReplicaRole.LEADER:
            released += self._advance_commit(now)
        return released

    def handle(self, now: float, sender: str, message: object) -> list[Effect]:
        """Handles one message of the ledger protocol."""
        if isinstance(message, VoteRequest):
            return self._on_vote_request(now, message)
        if isinstance(message, VoteReply):
            return self._on_vote_reply(now, message)
        if isinstance(message, AppendRequest):
            return self._on_append_request(now, message)
        if isinstance(message, AppendReply):
            return self._on_append_reply(now, message)
        if isinstance(message, SnapshotRequest):
            return self._on_snapshot_request(now, message)
        if isinstance(message, SnapshotReply):
            return self._on_snapshot_reply(now, message)
        if isinstance(message, LearnerHello):
            return self._on_hello(now, message)
        if isinstance(message, IdentityQuestion):
            return self._on_identity_question(sender, message)
        if isinstance(message, HandOver):
            return self._on_hand_over(now, sender, message)
        return []

    def transfer_leadership(self, now: float) -> list[Effect]:
        """Steps down and transfers leadership to the most up-to-date follower.

        Source: Ongaro's dissertation, section 3.10.
        """
        followers = [v for v in self.voters if v != self.local_voter and v in self._progress]
        if self.role is not ReplicaRole.LEADER or not followers:
            return []
        successor = max(followers, key=self._match_index)
        effects = self._step_down(now, self.epoch)
        return [*effects, Send(successor.node_id, HandOver(self.epoch))]

    def report_damage(self, detail: str) -> list[Effect]:
        """Called if this replica cannot read what its state refers to.

        It goes on as a voter, because its log and its votes are complete, but hands the lead over
        to a follower that answers and does not campaign again.
        """
        if self._is_damaged:
            return []
        self._is_damaged = True
        return [Emit(LogEvent.LEDGER_DAMAGED, {"detail": detail})]

    def _on_hand_over(self, now: float, sender: str, message: HandOver) -> list[Effect]:
        if self._is_damaged:
            return []
        if message.epoch != self.epoch or sender != self.leader or not self.is_voter:
            return []
        return self._start_election(now, pre_vote=False, handed_over=True)

    # Elections.

    def _election_timeout(self, now: float) -> float:
        """Time until this replica starts an election.

        After a restart of all nodes the previous leader campaigns first: if it opened the last
        order window, it may send orders without waiting (`ledger/order_windows.py`).
        """
        if self._previous_leader and now < self._restarted_at + constants.RESTART_PERIOD_S:
            if self._previous_leader == self.local_voter.node_id:
                return constants.RESTART_ELECTION_RETRY_INTERVAL_S
            return self._rng.uniform(
                constants.RESTART_ELECTION_MIN_S, constants.RESTART_ELECTION_MAX_S
            )
        return self._rng.uniform(constants.ELECTION_TIMEOUT_MIN_S, constants.ELECTION_TIMEOUT_MAX_S)

    def _start_election(
        self, now: float, pre_vote: bool, handed_over: bool = False
    ) -> list[Effect]:
        self._election_due_at = now + self._election_timeout(now)
        self._in_pre_vote = pre_vote
        self._votes = {self.local_voter}
        effects: list[Effect] = []
        requested_epoch = self.epoch + 1
        if not pre_vote:
            self.role = ReplicaRole.CANDIDATE
            self.leader = None
            self.epoch = requested_epoch
            self._voted_for = self.local_voter
            effects += self._persist_hard_state()
            effects.append(Emit(LogEvent.ELECTION_STARTED, {"epoch": self.epoch}))
        request = VoteRequest(
            requested_epoch,
            self.local_voter,
            self._log.last_index,
            self._log.last_epoch,
            pre_vote,
            handed_over,
        )
        effects += self._when_durable(
            [
                Send(voter.node_id, request)
                for voter in self._electorate().members
                if voter != self.local_voter
            ]
        )
        return effects + self._count_votes(now)

    def _on_vote_request(self, now: float, message: VoteRequest) -> list[Effect]:
        sticky = now < self._last_leader_contact_at + constants.ELECTION_TIMEOUT_MIN_S
        if message.candidate.node_id == self._previous_leader:
            # A lease that this voter confirmed before its restart is the candidate's own.
            sticky = False
        leading = self.role is ReplicaRole.LEADER and now < self.lease_expires_at(now)
        if ((sticky or leading) and not message.handed_over) or not self._grants_votes:
            return []
        effects: list[Effect] = []
        if message.epoch > self.epoch and not message.trial:
            effects += self._step_down(now, message.epoch)
        up_to_date = (message.last_epoch, message.last_index) >= (
            self._log.last_epoch,
            self._log.last_index,
        )
        if message.trial:
            granted = up_to_date and message.epoch > self.epoch
        else:
            granted = (
                up_to_date
                and message.epoch == self.epoch
                and self._voted_for in (None, message.candidate)
            )
            if granted and self._voted_for is None:
                self._voted_for = message.candidate
                self._election_due_at = now + self._election_timeout(now)
                effects += self._persist_hard_state()
        reply = VoteReply(message.epoch, self.local_voter, granted, message.trial)
        return effects + self._when_durable([Send(message.candidate.node_id, reply)])

    def _on_vote_reply(self, now: float, message: VoteReply) -> list[Effect]:
        requested_epoch = self.epoch + 1 if message.trial else self.epoch
        if not message.granted or message.epoch != requested_epoch:
            return []
        campaigning = self._in_pre_vote if message.trial else self.role is ReplicaRole.CANDIDATE
        if not campaigning or message.trial != self._in_pre_vote:
            return []
        self._votes.add(message.voter)
        return self._count_votes(now)

    def _count_votes(self, now: float) -> list[Effect]:
        if not self._electorate().has_quorum(self._votes):
            return []
        if self._in_pre_vote:
            return self._start_election(now, pre_vote=False)
        return self._become_leader(now)

    def _become_leader(self, now: float) -> list[Effect]:
        self.role = ReplicaRole.LEADER
        self._previous_leader = ""
        self._leader_since = now
        self.leader = self.local_voter.node_id
        self._lease.clear()
        self._outgoing = self._incoming = None
        self._progress = {
            voter: FollowerProgress(self._log.last_index + 1)
            for voter in self._electorate().members
            if voter != self.local_voter
        }
        start = Entry(self._log.last_index + 1, self.epoch, StartEpoch(self.local_voter.node_id))
        effects = self._append([start])
        self._next_heartbeat_at = now + constants.LEDGER_HEARTBEAT_INTERVAL_S
        effects.append(Emit(LogEvent.LEADER_ELECTED, {"epoch": self.epoch}))
        return effects + self._replicate(now, heartbeat=True)

    def _step_down(self, now: float, epoch: int) -> list[Effect]:
        effects: list[Effect] = []
        if self.role is ReplicaRole.LEADER:
            effects.append(Emit(LogEvent.LEADER_STEPPED_DOWN, {"epoch": self.epoch}))
            effects += [Dropped(ticket) for ticket in self._tickets_by_index.values()]
            self._tickets_by_index.clear()
            self._proposed_at.clear()
            self._lease.clear()
            self._outgoing = None
            self._progress.clear()
        self.role = ReplicaRole.FOLLOWER
        self._in_pre_vote = False
        if epoch > self.epoch:
            self.epoch = epoch
            self._voted_for = None
            self.leader = None
            effects += self._persist_hard_state()
        self._election_due_at = now + self._election_timeout(now)
        return effects

    # Replication, at the leader.

    def _replicate(self, now: float, heartbeat: bool) -> list[Effect]:
        effects: list[Effect] = []
        for follower, progress in self._progress.items():
            if not progress.is_responsive(now) and progress.state is not FollowerState.PROBE:
                # Entries for an unresponsive follower would only accumulate in send buffers, and
                # a transfer would hold the log.
                if not progress.keeps_transfer(now):
                    progress.start_probe()
                    progress.next_index = min(progress.next_index, self._log.last_index + 1)
                if progress.last_contact_at > float("-inf") and not progress.unresponsive:
                    progress.unresponsive = True
                    fields: dict[str, object] = {"follower": follower.node_id, "epoch": self.epoch}
                    effects.append(Emit(LogEvent.FOLLOWER_SILENT, fields))
            if progress.state is FollowerState.REPLICATE:
                if heartbeat or progress.next_index <= self._log.last_index:
                    effects += self._send_entries(now, follower, progress)
            elif heartbeat:
                effects += self._send_probe(now, follower, progress)
        return effects

    def _send_probe(self, now: float, follower: Voter, progress: FollowerProgress) -> list[Effect]:
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
            progress.first_probe_nonce = self._last_nonce + 1
        return self._send_request(now, follower, previous, [])

    def _start_transfer(
        self, now: float, follower: Voter, progress: FollowerProgress
    ) -> list[Effect]:
        """Starts to send a snapshot; one that others are receiving is reused if possible."""
        outgoing = self._outgoing
        if outgoing is None or self._log.epoch_at(outgoing.snapshot.last_index) is None:
            outgoing = OutgoingSnapshot(self._last_nonce + 1, self._encode_snapshot(), self._blobs)
            self._outgoing = outgoing
        progress.start_transfer(outgoing)
        return self._send_piece(now, follower, progress, outgoing)

    def _continue_transfer(
        self, now: float, follower: Voter, progress: FollowerProgress
    ) -> list[Effect]:
        """Sends a lost piece again, else a heartbeat."""
        transfer = progress.transfer
        piece_lost = now >= progress.piece_sent_at + constants.SNAPSHOT_RETRY_INTERVAL_S
        if transfer is None or not piece_lost or not progress.is_responsive(now):
            return self._send_request(now, follower, self._log.base_index, [])
        return self._send_piece(now, follower, progress, transfer)

    def _send_piece(
        self, now: float, follower: Voter, progress: FollowerProgress, transfer: OutgoingSnapshot
    ) -> list[Effect]:
        try:
            piece = transfer.piece(progress.received)
        except BlobUnavailable as error:
            return self.report_damage(str(error))
        self._last_nonce += 1
        progress.piece_nonce = self._last_nonce
        progress.piece_sent_at = now
        request = SnapshotRequest(
            self.epoch,
            self.local_voter,
            piece,
            self._last_nonce,
            transfer.transfer,
            progress.received,
            len(transfer.snapshot.state),
        )
        return [Send(follower.node_id, request)]

    def _release_outgoing(self) -> None:
        """Drops the encoded snapshot once no follower is receiving it."""
        if all(progress.transfer is not self._outgoing for progress in self._progress.values()):
            self._outgoing = None

    def _send_entries(
        self, now: float, follower: Voter, progress: FollowerProgress
    ) -> list[Effect]:
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
        self._last_nonce += 1
        self._lease.record_sent(self._last_nonce, now)
        previous_epoch = self._log.epoch_at(previous)
        assert previous_epoch is not None
        request = AppendRequest(
            self.epoch,
            self.local_voter,
            previous,
            previous_epoch,
            entries,
            self._commit_index,
            self._last_nonce,
        )
        return [Send(follower.node_id, request)]

    def _on_append_reply(self, now: float, message: AppendReply) -> list[Effect]:
        if message.epoch > self.epoch:
            return self._step_down(now, message.epoch)
        progress = self._progress.get(message.follower)
        if self.role is not ReplicaRole.LEADER or message.epoch != self.epoch or progress is None:
            return []
        effects = self._record_contact(now, message.follower, progress)
        if message.success and message.follower in self._electorate().members:
            self._lease.record_confirmed(message.follower.node_id, message.nonce)
        if not message.success:
            return effects + self._on_mismatch(now, message, progress)
        if message.match_index > progress.match_index:
            progress.match_index = message.match_index
        if progress.state is FollowerState.REPLICATE:
            progress.next_index = max(progress.next_index, message.match_index + 1)
        elif self._ends_search(progress, message):
            progress.start_replication(message.match_index + 1)
        effects += self._advance_commit(now)
        replicating = progress.state is FollowerState.REPLICATE
        if replicating and progress.next_index <= self._log.last_index:
            effects += self._send_entries(now, message.follower, progress)
        return effects

    def _record_contact(
        self, now: float, follower: Voter, progress: FollowerProgress
    ) -> list[Effect]:
        progress.last_contact_at = now
        if not progress.unresponsive:
            return []
        progress.unresponsive = False
        fields: dict[str, object] = {"follower": follower.node_id, "epoch": self.epoch}
        return [Emit(LogEvent.FOLLOWER_REGAINED, fields)]

    def _ends_search(self, progress: FollowerProgress, reply: AppendReply) -> bool:
        """Whether the reply ends the probe or the snapshot in progress."""
        if progress.transfer is not None:
            # Rejected heartbeats are expected there.
            installed = reply.match_index >= progress.transfer.snapshot.last_index
            in_log = self._log.epoch_at(reply.match_index) is not None
            return reply.success and (installed or in_log)
        first = progress.first_probe_nonce
        return first is not None and reply.nonce >= first

    def _on_snapshot_reply(self, now: float, message: SnapshotReply) -> list[Effect]:
        """Sends the next piece, or continues where the follower lost the earlier ones."""
        if message.epoch > self.epoch:
            return self._step_down(now, message.epoch)
        progress = self._progress.get(message.follower)
        if self.role is not ReplicaRole.LEADER or message.epoch != self.epoch or progress is None:
            return []
        effects = self._record_contact(now, message.follower, progress)
        transfer = progress.transfer
        if transfer is None or message.transfer != transfer.transfer:
            return effects
        if message.received <= progress.received and message.nonce != progress.piece_nonce:
            return effects
        progress.received = message.received
        return effects + self._send_piece(now, message.follower, progress, transfer)

    def _on_mismatch(
        self, now: float, message: AppendReply, progress: FollowerProgress
    ) -> list[Effect]:
        """Probes for the last common entry after a rejected request.

        The first of several rejected pipelined requests starts the probe; the other rejections
        are ignored, because a probe for each would make the leader resend the same entries.
        """
        replicating = progress.state is FollowerState.REPLICATE
        if not replicating and not self._ends_search(progress, message):
            return []
        progress.start_probe()
        progress.next_index = max(1, min(message.match_index + 1, self._log.last_index + 1))
        return self._send_probe(now, message.follower, progress)

    def _advance_commit(self, now: float) -> list[Effect]:
        quorum_index = self._electorate().quorum_index(self._match_index)
        # Only entries of the current epoch commit by counting replicas (Raft, section 5.4.2).
        if quorum_index <= self._commit_index or self._log.epoch_at(quorum_index) != self.epoch:
            return []
        self._commit_index = quorum_index
        return self._apply(now)

    def _match_index(self, voter: Voter) -> int:
        if voter == self.local_voter:
            return self._durable_index
        progress = self._progress.get(voter)
        return progress.match_index if progress is not None else 0

    def _electorate(self) -> Electorate:
        return current_electorate(
            self._log, self._commit_index, self._lost_disk_detector.lost_disks
        )

    @property
    def _grants_votes(self) -> bool:
        """Whether this replica answers vote requests.

        A voter removed by the newest change still grants votes: a candidate that does not know
        whether the change is committed may need a majority of the previous set.
        """
        return self.is_voter or self.local_voter in self._log.voters_before_change

    @property
    def _may_campaign(self) -> bool:
        """Whether this replica may start an election; a damaged one may not.

        A replica whose removal is committed campaigns only if a voter has lost its disk: a
        remaining voter with a shorter log may need this replica's vote and cannot get it.
        """
        if self._is_damaged:
            return False
        removed = not self.is_voter and self._log.voters_at(self._commit_index) == self.voters
        voter_lost_disk = not self._lost_disk_detector.lost_disks.isdisjoint(self.voters)
        return self._grants_votes and (voter_lost_disk or not removed)

    def _is_removed_leader(self, now: float) -> bool:
        """Whether this leader is outside the voter set and has committed its whole log."""
        return (
            not self.is_voter
            and self.is_active_leader(now)
            and self._commit_index == self._log.last_index
        )

    def _must_hand_over(self, now: float) -> bool:
        """Whether this leader is damaged and another voter can lead."""
        return self._is_damaged and any(
            progress.is_responsive(now) and voter in self.voters
            for voter, progress in self._progress.items()
        )

    def _on_identity_question(self, sender: str, message: IdentityQuestion) -> list[Effect]:
        if self.is_voter:
            return []
        return [Send(sender, LearnerHello(self.local_voter, message.number))]

    def _on_hello(self, now: float, message: LearnerHello) -> list[Effect]:
        for voter in self.voters:
            same_node = voter.node_id == message.learner.node_id
            if same_node and voter not in (message.learner, self.local_voter):
                nonce = self._lost_disk_detector.handle_hello(voter, message.answer_to)
                if nonce is not None:
                    return [Send(message.learner.node_id, IdentityQuestion(nonce))]
                self._progress.pop(voter, None)
        if self.role is not ReplicaRole.LEADER or message.learner in self.voters:
            return []
        self._standbys.record_hello(message.learner, now)
        effects = self._replicate_to_standbys(now)
        if message.learner not in self._progress and self.is_active_leader(now):
            # A standby that hears from no leader for a while asks all nodes, and finds a successor.
            effects.append(self._announce_leader(message.learner))
        return effects

    def _announce_leader(self, standby: Voter) -> Effect:
        """An empty append request at index 0: it names the leader and commits nothing."""
        request = AppendRequest(self.epoch, self.local_voter, 0, 0, [], 0, self._last_nonce)
        return Send(standby.node_id, request)

    def _send_hello(self, now: float) -> list[Effect]:
        if now < self._next_hello_at:
            return []
        self._next_hello_at = now + constants.STANDBY_ANNOUNCE_INTERVAL_S
        targets = {voter.node_id for voter in self.voters}
        if self.leader is not None and self.has_leader_contact(now):
            targets = {self.leader}
        hello = LearnerHello(self.local_voter)
        return [Send(target, hello) for target in sorted(targets - {self.local_voter.node_id})]

    def _voter_health(self, now: float) -> VoterHealth:
        contact_cutoff = now - constants.VOTER_RESPONSE_TIMEOUT_S
        unresponsive = {
            voter.node_id
            for voter, progress in self._progress.items()
            if voter in self.voters
            and max(progress.last_contact_at, self._leader_since) <= contact_cutoff
        }
        retiring = frozenset(self.state.retired_nodes)
        return VoterHealth(
            self.voters,
            self.unavailable | unresponsive,
            self._lost_disk_detector.lost_disks,
            retiring,
        )

    def _replicate_to_standbys(self, now: float) -> list[Effect]:
        """Starts replication to the standbys that are needed and stops it for the others.

        Does nothing without the lease: the voters may seem unresponsive only because this node is
        partitioned from them.
        """
        if not self.is_active_leader(now):
            return []
        if self._switches.standbys:
            selected = self._standbys.select_replacements(
                now, self._voter_health(now), self._target_voters
            )
        else:
            selected = self._standbys.recently_seen(now)
        electorate_members = self._electorate().members
        for learner in list(self._progress):
            if (
                learner not in electorate_members
                and learner not in self.voters
                and learner not in selected
            ):
                del self._progress[learner]
        effects: list[Effect] = []
        for standby in selected:
            if standby not in self._progress:
                self._progress[standby] = FollowerProgress(self._log.last_index + 1)
                effects += self._send_probe(now, standby, self._progress[standby])
        return effects

    def _change_voters(self, now: float) -> list[Effect]:
        """Proposes the next voter set change once the previous one is committed.

        Does nothing without the lease, for the same reason as `_replicate_to_standbys`.
        """
        if not self.is_active_leader(now):
            return []
        change_committed = self._log.voters_at(self._commit_index) == self.voters
        if not change_committed or self._log.epoch_at(self._applied_index) != self.epoch:
            return []
        health = self._voter_health(now)
        learners = [
            learner
            for learner, progress in self._progress.items()
            if learner not in self.voters
            and progress.match_index >= self._commit_index
            and now < progress.last_contact_at + constants.ELECTION_TIMEOUT_MAX_S
        ]
        next_set = next_voter_set(
            self.voters,
            learners,
            health.unresponsive,
            self._target_voters,
            health.retiring,
            frozenset(
                voter.node_id
                for voter, progress in self._progress.items()
                if progress.state is not FollowerState.REPLICATE
            ),
        )
        if next_set is None:
            return []
        return self.propose(now, ChangeVoters(next_set), None)

    # Replication, at a follower.

    def _follow(self, now: float, epoch: int, leader: str) -> list[Effect]:
        effects: list[Effect] = []
        if epoch > self.epoch or self.role is not ReplicaRole.FOLLOWER:
            effects += self._step_down(now, epoch)
        self.leader = leader
        self._previous_leader = ""
        self._in_pre_vote = False
        self._last_leader_contact_at = now
        self._election_due_at = now + self._election_timeout(now)
        return effects

    def _on_append_request(self, now: float, message: AppendRequest) -> list[Effect]:
        if message.epoch < self.epoch:
            reply = AppendReply(self.epoch, self.local_voter, False, 0, message.nonce)
            return [Send(message.leader.node_id, reply)]
        effects = self._follow(now, message.epoch, message.leader.node_id)
        previous = message.previous_index
        # Entries covered by the snapshot are committed and therefore match the leader's log.
        compacted = previous < self._log.base_index
        if not compacted and self._log.epoch_at(previous) != message.previous_epoch:
            hint = self._conflict_hint(previous)
            reply = AppendReply(self.epoch, self.local_voter, False, hint, message.nonce)
            return effects + self._when_durable([Send(message.leader.node_id, reply)])
        match_index = previous + len(message.entries)
        # Set before appending, so that the write of the entries includes the new commit index.
        self._commit_index = max(self._commit_index, min(message.commit_index, match_index))
        effects += self._append_missing_entries(message.entries)
        effects += self._apply(now)
        reply = AppendReply(self.epoch, self.local_voter, True, match_index, message.nonce)
        return effects + self._when_durable([Send(message.leader.node_id, reply)])

    def _conflict_hint(self, previous: int) -> int:
        """The `previous_index` that the leader should try next.

        The index before the first entry of the conflicting epoch, but not below the commit index.
        """
        hint = min(previous - 1, self._log.last_index)
        conflicting = self._log.epoch_at(previous)
        while hint > self._commit_index and self._log.epoch_at(hint) == conflicting:
            hint -= 1
        return max(hint, self._commit_index)

    def _append_missing_entries(self, entries: list[Entry]) -> list[Effect]:
        """Appends the entries that the log lacks; truncates the log from a conflicting entry on."""
        for position, entry in enumerate(entries):
            if entry.index <= self._log.base_index:
                continue
            local_epoch = self._log.epoch_at(entry.index)
            if local_epoch == entry.epoch:
                continue
            truncate = entry.index if local_epoch is not None else None
            return self._append(entries[position:], truncate_from=truncate)
        return []

    def _on_snapshot_request(self, now: float, message: SnapshotRequest) -> list[Effect]:
        if message.epoch < self.epoch:
            reply = AppendReply(self.epoch, self.local_voter, False, 0, message.nonce)
            return [Send(message.leader.node_id, reply)]
        effects = self._follow(now, message.epoch, message.leader.node_id)
        leader = message.leader.node_id
        last_index = message.snapshot.last_index
        if last_index > self._commit_index:
            if self._incoming is None or not self._incoming.accepts(message):
                jobs = self.state.job_book
                held = (jobs.blob_start, jobs.blob_end)
                self._incoming = IncomingSnapshot(
                    message.epoch, message.transfer, self._blobs, held
                )
            snapshot = self._incoming.add(message)
            if snapshot is None:
                # A write of its own, so that the pieces do not gather in memory.
                effects += self._persist(Persist(0))
                received = SnapshotReply(
                    self.epoch,
                    self.local_voter,
                    message.transfer,
                    self._incoming.received,
                    message.nonce,
                )
                return effects + self._when_durable([Send(leader, received)])
            effects += self._install(snapshot)
        self._incoming = None
        reply = AppendReply(self.epoch, self.local_voter, True, last_index, message.nonce)
        return effects + self._when_durable([Send(leader, reply)])

    def _install(self, snapshot: SnapshotRecord) -> list[Effect]:
        """Replaces the state, and the log up to the snapshot's last index."""
        self._log.compact(without_state(snapshot))
        self.state = decode_state(snapshot, self._blobs)
        self._snapshot_index = snapshot.last_index
        self._log_bytes = 0
        self._snapshot_growth_bytes = self._growth_before_snapshot(len(snapshot.state))
        self._commit_index = snapshot.last_index
        self._applied_index = snapshot.last_index
        # `compact` emptied the log if its entries do not continue the snapshot; the journal must
        # drop these entries as well.
        truncate = snapshot.last_index + 1 if len(self._log) == 0 else None
        effects = self._persist(
            Persist(0, truncate_from=truncate, snapshot=snapshot, first_blob=snapshot.first_blob)
        )
        return [*effects, Emit(LogEvent.SNAPSHOT_INSTALLED, {"index": snapshot.last_index})]

    # Applying and persisting.

    def _apply(self, now: float) -> list[Effect]:
        effects: list[Effect] = []
        while self._applied_index < self._commit_index:
            self._applied_index += 1
            entry = self._log.entry(self._applied_index)
            result = self.state.apply(entry.command)
            ticket = self._tickets_by_index.pop(self._applied_index, None)
            self._proposed_at.pop(self._applied_index, None)
            if ticket is not None:
                effects.append(Applied(ticket, result))
            if isinstance(entry.command, ChangeVoters):
                # After a restart the replica must still know that the change is committed.
                effects += self._persist(Persist(0))
                effects += self._on_voters_applied(now)
        if self._snapshot_due():
            effects += self._take_snapshot()
        return effects

    def _apply_recovered(self, commit_index: int) -> None:
        """Applies the entries that were known to be committed before the restart."""
        self._commit_index = max(self._commit_index, min(commit_index, self._log.last_index))
        while self._applied_index < self._commit_index:
            self._applied_index += 1
            self.state.apply(self._log.entry(self._applied_index).command)

    def _on_voters_applied(self, now: float) -> list[Effect]:
        if self.role is not ReplicaRole.LEADER:
            return []
        if self.local_voter not in self.voters:
            return self._step_down(now, self.epoch)
        for voter in self.voters:
            if voter != self.local_voter:
                self._progress.setdefault(voter, FollowerProgress(self._log.last_index + 1))
        return []

    def _snapshot_due(self) -> bool:
        """Whether the log has grown enough, compared with the cost of a snapshot.

        A transfer postpones the snapshot, because each keeps an encoded state in memory.
        """
        few = self._applied_index - self._snapshot_index < constants.SNAPSHOT_AFTER_ENTRIES
        if few and self._log_bytes < constants.SNAPSHOT_AFTER_BYTES:
            return False
        due_at = self._snapshot_growth_bytes * (1 if self._outgoing is None else 2)
        return self._log_bytes >= due_at

    def _growth_before_snapshot(self, state_bytes: int) -> float:
        """Differs by voter, so that they do not all write their states at the same time."""
        by_disk = random.Random(f"{self.local_voter.disk_id} {self._snapshot_index}")
        return state_bytes * by_disk.uniform(
            constants.SNAPSHOT_GROWTH_MIN, constants.SNAPSHOT_GROWTH_MAX
        )

    def _take_snapshot(self) -> list[Effect]:
        snapshot = self._encode_snapshot()
        self._snapshot_index = snapshot.last_index
        self._log_bytes = 0
        self._snapshot_growth_bytes = self._growth_before_snapshot(len(snapshot.state))
        compact_to, first_blob = snapshot.last_index, snapshot.first_blob
        if self._outgoing is not None:
            # The followers that receive this snapshot need its blobs and the entries after it.
            compact_to = min(compact_to, self._outgoing.snapshot.last_index)
            first_blob = min(first_blob, self._outgoing.snapshot.first_blob)
        if compact_to > self._log.base_index:
            self._log.compact(self._snapshot_metadata(compact_to))
        effects: list[Effect] = self._persist(
            Persist(0, snapshot=snapshot, background=True, first_blob=first_blob)
        )
        return [*effects, Emit(LogEvent.SNAPSHOT_TAKEN, {"index": snapshot.last_index})]

    def _encode_snapshot(self) -> SnapshotRecord:
        """Encodes the applied state as a snapshot. The result is not cached, to save memory."""
        metadata = self._snapshot_metadata(self._applied_index)
        return msgspec.structs.replace(metadata, state=msgspec.msgpack.encode(self.state))

    def _snapshot_metadata(self, index: int) -> SnapshotRecord:
        epoch = self._log.epoch_at(index)
        assert epoch is not None
        jobs = self.state.job_book
        return SnapshotRecord(
            index, epoch, self._log.voters_at(index), jobs.blob_start, jobs.blob_end, b""
        )

    def _append(self, entries: list[Entry], truncate_from: int | None = None) -> list[Effect]:
        if truncate_from is not None:
            self._log.truncate_from(truncate_from)
            last_kept = truncate_from - 1
            self._durable_index = min(self._durable_index, last_kept)
            for write_id, index in self._last_index_by_write.items():
                self._last_index_by_write[write_id] = min(index, last_kept)
        self._log.append(entries)
        self._log_bytes += self._log.bytes_after(self._log.last_index - len(entries))
        return self._persist(Persist(0, truncate_from=truncate_from, entries=entries))

    def _persist_hard_state(self) -> list[Effect]:
        return self._persist(Persist(0, hard_state=HardState(self.epoch, self._voted_for)))

    def _persist(self, write: Persist) -> list[Effect]:
        """Returns the write with its id and the current commit index filled in."""
        self._last_write_id += 1
        self._last_index_by_write[self._last_write_id] = self._log.last_index
        commit_index = self._commit_index
        return [
            msgspec.structs.replace(write, write_id=self._last_write_id, commit_index=commit_index)
        ]

    def _when_durable(self, effects: list[Effect]) -> list[Effect]:
        """Defers effects until every write issued so far is durable."""
        if self._durable_write_id >= self._last_write_id:
            return effects
        self._deferred_effects += [(self._last_write_id, effect) for effect in effects]
        return []
