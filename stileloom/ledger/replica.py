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
from stileloom.effects import Effect, Emit, Send
from stileloom.events import LogEvent
from stileloom.lease import LeaderLease
from stileloom.ledger.commands import ChangeVoters, Command, StartEpoch, Voter
from stileloom.ledger.durable_writes import DurableWrites
from stileloom.ledger.effects import Applied, Dropped, Persist
from stileloom.ledger.election_timer import ElectionTimer
from stileloom.ledger.electorate import Electorate, current_electorate
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
from stileloom.ledger.progress import FollowerState
from stileloom.ledger.recovered import (
    RecoveredLedger,
    decode_state,
    last_leader,
    without_state,
)
from stileloom.ledger.replication import Replication
from stileloom.ledger.snapshot_schedule import SnapshotSchedule
from stileloom.ledger.snapshot_transfer import IncomingSnapshot
from stileloom.ledger.standbys import VoterHealth
from stileloom.ledger.voter_changes import VoterChanges
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
        self._voter_changes = VoterChanges(target_voters, switches.standbys, rng)
        self._voted_for = recovered.hard_state.voted_for
        self._log = LedgerLog(without_state(recovered.snapshot), recovered.entries)
        self._lease = LeaderLease()
        self._snapshots = SnapshotSchedule(
            local_voter.disk_id,
            recovered.snapshot.last_index,
            len(recovered.snapshot.state),
            self._log.bytes_after(self._log.base_index),
        )
        self._writes = DurableWrites(self._log.last_index)
        self._commit_index = self._log.base_index
        self._applied_index = self._log.base_index
        self._blobs = recovered.blobs
        self.state = decode_state(recovered.snapshot, self._blobs)
        self._apply_recovered(recovered.commit_index)
        self._replication = Replication(
            local_voter, self._log, self._writes, self._lease, self._blobs, self
        )
        self._incoming: IncomingSnapshot | None = None
        """The snapshot that is being received from the leader, if any."""
        self._leader_since = now
        self._tickets_by_index: dict[int, object] = {}
        self._proposed_at: dict[int, float] = {}
        """Times of the entries that this leader has proposed and not committed, in log order."""
        self._votes: set[Voter] = set()
        self._in_pre_vote = False
        self._next_heartbeat_at = now
        # A voter may have confirmed a lease just before it restarted; it lets that lease expire.
        self._last_leader_contact_at = now
        previous_leader = last_leader(recovered, self.state) if switches.restart_head_start else ""
        self._election_timer = ElectionTimer(local_voter.node_id, previous_leader, rng, now)
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
        return max(
            (self._log.last_index - self._replication.match_index(v) for v in others), default=0
        )

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
            self._replication.release_outgoing()
            effects = self._replicate_to_standbys(now) + self._change_voters(now)
            if now >= self._next_heartbeat_at:
                self._next_heartbeat_at = now + constants.LEDGER_HEARTBEAT_INTERVAL_S
                effects += self._replication.replicate(now, heartbeat=True)
            return effects
        effects = [] if self.is_voter else self._send_hello(now)
        if self._may_campaign and self._election_timer.is_due(now):
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
        return effects + self._replication.replicate(now, heartbeat=False)

    def persisted(self, now: float, write_id: int) -> list[Effect]:
        """Called by the driver once this write and all earlier ones are durable."""
        released = self._writes.complete(write_id)
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
        followers = [
            v for v in self.voters if v != self.local_voter and v in self._replication.progress
        ]
        if self.role is not ReplicaRole.LEADER or not followers:
            return []
        successor = max(followers, key=self._replication.match_index)
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

    def _start_election(
        self, now: float, pre_vote: bool, handed_over: bool = False
    ) -> list[Effect]:
        self._election_timer.restart(now)
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
        effects += self._writes.when_durable(
            [
                Send(voter.node_id, request)
                for voter in self._electorate().members
                if voter != self.local_voter
            ]
        )
        return effects + self._count_votes(now)

    def _on_vote_request(self, now: float, message: VoteRequest) -> list[Effect]:
        sticky = now < self._last_leader_contact_at + constants.ELECTION_TIMEOUT_MIN_S
        if message.candidate.node_id == self._election_timer.previous_leader:
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
                self._election_timer.restart(now)
                effects += self._persist_hard_state()
        reply = VoteReply(message.epoch, self.local_voter, granted, message.trial)
        return effects + self._writes.when_durable([Send(message.candidate.node_id, reply)])

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
        self._election_timer.previous_leader = ""
        self._leader_since = now
        self.leader = self.local_voter.node_id
        self._lease.clear()
        self._incoming = None
        self._replication.start(
            [voter for voter in self._electorate().members if voter != self.local_voter]
        )
        start = Entry(self._log.last_index + 1, self.epoch, StartEpoch(self.local_voter.node_id))
        effects = self._append([start])
        self._next_heartbeat_at = now + constants.LEDGER_HEARTBEAT_INTERVAL_S
        effects.append(Emit(LogEvent.LEADER_ELECTED, {"epoch": self.epoch}))
        return effects + self._replication.replicate(now, heartbeat=True)

    def _step_down(self, now: float, epoch: int) -> list[Effect]:
        effects: list[Effect] = []
        if self.role is ReplicaRole.LEADER:
            effects.append(Emit(LogEvent.LEADER_STEPPED_DOWN, {"epoch": self.epoch}))
            effects += [Dropped(ticket) for ticket in self._tickets_by_index.values()]
            self._tickets_by_index.clear()
            self._proposed_at.clear()
            self._lease.clear()
            self._replication.stop()
        self.role = ReplicaRole.FOLLOWER
        self._in_pre_vote = False
        if epoch > self.epoch:
            self.epoch = epoch
            self._voted_for = None
            self.leader = None
            effects += self._persist_hard_state()
        self._election_timer.restart(now)
        return effects

    # Replication, at the leader.

    def _on_append_reply(self, now: float, message: AppendReply) -> list[Effect]:
        if message.epoch > self.epoch:
            return self._step_down(now, message.epoch)
        progress = self._replication.progress.get(message.follower)
        if self.role is not ReplicaRole.LEADER or message.epoch != self.epoch or progress is None:
            return []
        effects = self._replication.record_contact(now, message.follower, progress)
        if message.success and message.follower in self._electorate().members:
            self._lease.record_confirmed(message.follower.node_id, message.nonce)
        if not message.success:
            return effects + self._replication.on_mismatch(now, message, progress)
        if message.match_index > progress.match_index:
            progress.match_index = message.match_index
        if progress.state is FollowerState.REPLICATE:
            progress.next_index = max(progress.next_index, message.match_index + 1)
        elif self._replication.ends_search(progress, message):
            progress.start_replication(message.match_index + 1)
        effects += self._advance_commit(now)
        replicating = progress.state is FollowerState.REPLICATE
        if replicating and progress.next_index <= self._log.last_index:
            effects += self._replication.send_entries(now, message.follower, progress)
        return effects

    def _on_snapshot_reply(self, now: float, message: SnapshotReply) -> list[Effect]:
        """Sends the next piece, or continues where the follower lost the earlier ones."""
        if message.epoch > self.epoch:
            return self._step_down(now, message.epoch)
        progress = self._replication.progress.get(message.follower)
        if self.role is not ReplicaRole.LEADER or message.epoch != self.epoch or progress is None:
            return []
        effects = self._replication.record_contact(now, message.follower, progress)
        transfer = progress.transfer
        if transfer is None or message.transfer != transfer.transfer:
            return effects
        if message.received <= progress.received and message.nonce != progress.piece_nonce:
            return effects
        progress.received = message.received
        return effects + self._replication.send_piece(now, message.follower, progress, transfer)

    def _advance_commit(self, now: float) -> list[Effect]:
        quorum_index = self._electorate().quorum_index(self._replication.match_index)
        # Only entries of the current epoch commit by counting replicas (Raft, section 5.4.2).
        if quorum_index <= self._commit_index or self._log.epoch_at(quorum_index) != self.epoch:
            return []
        self._commit_index = quorum_index
        return self._apply(now)

    def _electorate(self) -> Electorate:
        return current_electorate(self._log, self._commit_index, self._voter_changes.lost_disks)

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
        voter_lost_disk = not self._voter_changes.lost_disks.isdisjoint(self.voters)
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
            for voter, progress in self._replication.progress.items()
        )

    def _on_identity_question(self, sender: str, message: IdentityQuestion) -> list[Effect]:
        if self.is_voter:
            return []
        return [Send(sender, LearnerHello(self.local_voter, message.number))]

    def _on_hello(self, now: float, message: LearnerHello) -> list[Effect]:
        for voter in self.voters:
            same_node = voter.node_id == message.learner.node_id
            if same_node and voter not in (message.learner, self.local_voter):
                nonce = self._voter_changes.lost_disk_detector.handle_hello(
                    voter, message.answer_to
                )
                if nonce is not None:
                    return [Send(message.learner.node_id, IdentityQuestion(nonce))]
                self._replication.progress.pop(voter, None)
        if self.role is not ReplicaRole.LEADER or message.learner in self.voters:
            return []
        self._voter_changes.standbys.record_hello(message.learner, now)
        # A disk that was just proved lost may no longer be needed to commit what waits.
        effects = self._advance_commit(now) + self._replicate_to_standbys(now)
        if message.learner not in self._replication.progress and self.is_active_leader(now):
            # A standby that hears from no leader for a while asks all nodes, and finds a successor.
            effects.append(self._announce_leader(message.learner))
        return effects

    def _announce_leader(self, standby: Voter) -> Effect:
        """An empty append request at index 0: it names the leader and commits nothing."""
        request = AppendRequest(
            self.epoch, self.local_voter, 0, 0, [], 0, self._replication.last_nonce
        )
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

    def _health(self, now: float) -> VoterHealth:
        return self._voter_changes.health(
            now,
            self.voters,
            self._replication.progress,
            self._leader_since,
            self.unavailable,
            self.state.retired_nodes,
        )

    def _replicate_to_standbys(self, now: float) -> list[Effect]:
        """Starts replication to the standbys that are needed and stops it for the others.

        Does nothing without the lease: the voters may seem unresponsive only because this node is
        partitioned from them.
        """
        if not self.is_active_leader(now):
            return []
        selected = self._voter_changes.needed_standbys(now, self._health(now))
        kept = {*self._electorate().members, *self.voters, *selected}
        progress = self._replication.progress
        for learner in [known for known in progress if known not in kept]:
            del progress[learner]
        effects: list[Effect] = []
        for standby in selected:
            if standby not in progress:
                progress[standby] = self._replication.new_progress()
                effects += self._replication.send_probe(now, standby, progress[standby])
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
        next_set = self._voter_changes.next_set(
            now, self._health(now), self._replication.progress, self._commit_index
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
        self._election_timer.previous_leader = ""
        self._in_pre_vote = False
        self._last_leader_contact_at = now
        self._election_timer.restart(now)
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
            hint = self._log.conflict_hint(previous, self._commit_index)
            reply = AppendReply(self.epoch, self.local_voter, False, hint, message.nonce)
            return effects + self._writes.when_durable([Send(message.leader.node_id, reply)])
        match_index = previous + len(message.entries)
        # Set before appending, so that the write of the entries includes the new commit index.
        self._commit_index = max(self._commit_index, min(message.commit_index, match_index))
        effects += self._append_missing_entries(message.entries)
        effects += self._apply(now)
        reply = AppendReply(self.epoch, self.local_voter, True, match_index, message.nonce)
        return effects + self._writes.when_durable([Send(message.leader.node_id, reply)])

    def _append_missing_entries(self, entries: list[Entry]) -> list[Effect]:
        """Appends the entries that the log lacks; truncates the log from a conflicting entry on."""
        missing = self._log.missing(entries)
        if not missing:
            return []
        conflicts = missing[0].index <= self._log.last_index
        return self._append(missing, truncate_from=missing[0].index if conflicts else None)

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
                return effects + self._writes.when_durable([Send(leader, received)])
            effects += self._install(snapshot)
        self._incoming = None
        reply = AppendReply(self.epoch, self.local_voter, True, last_index, message.nonce)
        return effects + self._writes.when_durable([Send(leader, reply)])

    def _install(self, snapshot: SnapshotRecord) -> list[Effect]:
        """Replaces the state, and the log up to the snapshot's last index."""
        self._log.compact(without_state(snapshot))
        self.state = decode_state(snapshot, self._blobs)
        self._snapshots.record_snapshot(snapshot.last_index, len(snapshot.state))
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
        if self._snapshots.is_due(
            self._applied_index, is_transferring=self._replication.outgoing is not None
        ):
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
                self._replication.progress.setdefault(voter, self._replication.new_progress())
        return []

    def _take_snapshot(self) -> list[Effect]:
        snapshot = self.encode_snapshot()
        self._snapshots.record_snapshot(snapshot.last_index, len(snapshot.state))
        compact_to, first_blob = snapshot.last_index, snapshot.first_blob
        outgoing = self._replication.outgoing
        if outgoing is not None:
            # The followers that receive this snapshot need its blobs and the entries after it.
            compact_to = min(compact_to, outgoing.snapshot.last_index)
            first_blob = min(first_blob, outgoing.snapshot.first_blob)
        if compact_to > self._log.base_index:
            self._log.compact(self._snapshot_metadata(compact_to))
        effects: list[Effect] = self._persist(
            Persist(0, snapshot=snapshot, background=True, first_blob=first_blob)
        )
        return [*effects, Emit(LogEvent.SNAPSHOT_TAKEN, {"index": snapshot.last_index})]

    def encode_snapshot(self) -> SnapshotRecord:
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
            self._writes.truncate(truncate_from - 1)
        self._log.append(entries)
        self._snapshots.log_bytes += self._log.bytes_after(self._log.last_index - len(entries))
        return self._persist(Persist(0, truncate_from=truncate_from, entries=entries))

    def _persist_hard_state(self) -> list[Effect]:
        return self._persist(Persist(0, hard_state=HardState(self.epoch, self._voted_for)))

    def _persist(self, write: Persist) -> list[Effect]:
        return self._writes.persist(write, self._log.last_index, self._commit_index)
