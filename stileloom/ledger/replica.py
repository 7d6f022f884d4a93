"""A replica of the ledger: Raft with asynchronous writes, leases and disk identities.

Source: Ongaro and Ousterhout, "In Search of an Understandable Consensus Algorithm" (2014),
with pre-vote and leader stickiness (dissertation, sections 9.6 and 4.2.3). Terms are called
epochs here, because they are the epochs of the fencing tokens. Two things differ from the
paper: a reply that vouches for something on disk is held back until that write is durable,
and a vote counts only with the disk identity that stands in the voter set, so a node that
lost its disk can not vote with amnesia.
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
from stileloom.ledger.effects import Applied, Dropped, Persist
from stileloom.ledger.electorate import DiskProofs, Electorate, electorate
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
    SnapshotRequest,
    VoteReply,
    VoteRequest,
)
from stileloom.ledger.progress import FollowerProgress, FollowerState
from stileloom.ledger.recovered import RecoveredLedger, last_leader, without_state
from stileloom.ledger.standbys import StandbyPool, VoterHealth
from stileloom.ledger.state import LedgerState
from stileloom.ledger.voters import next_voter_set
from stileloom.switches import ALL_ON, Switches


class ReplicaRole(enum.Enum):
    """What a replica is at the moment."""

    FOLLOWER = "follower"
    CANDIDATE = "candidate"
    LEADER = "leader"


class LedgerReplica:
    """One replica. All calls take the monotonic time in seconds."""

    def __init__(
        self,
        me: Voter,
        recovered: RecoveredLedger,
        rng: random.Random,
        now: float,
        target_voters: int = 3,
        switches: Switches = ALL_ON,
    ) -> None:
        self.me = me
        self.role = ReplicaRole.FOLLOWER
        self.epoch = recovered.hard_state.epoch
        self.leader: str | None = None
        self.unavailable: set[str] = set()
        self._proofs = DiskProofs(rng)
        self._voted_for = recovered.hard_state.voted_for
        self._log = LedgerLog(without_state(recovered.snapshot), recovered.entries)
        self._rng = rng
        self._target_voters = target_voters
        self._switches = switches
        self._lease = LeaderLease()
        self._durable_index = self._log.last_index
        self._commit_index = self._log.base_index
        self._applied_index = self._log.base_index
        self.state = msgspec.msgpack.decode(recovered.snapshot.state, type=LedgerState)
        self._apply_recovered(recovered.commit_index)
        self._progress: dict[Voter, FollowerProgress] = {}
        self._standbys = StandbyPool()
        self._leader_since = now
        self._tickets: dict[int, object] = {}
        self._votes: set[Voter] = set()
        self._trial = False
        self._nonce = 0
        self._write_id = 0
        self._durable_write_id = 0
        self._written_index: dict[int, int] = {}
        self._held: list[tuple[int, Effect]] = []
        self._next_heartbeat_at = now
        # A restarted voter may have answered a leader just before: it waits out that lease.
        self._heard_from_leader_at = now
        self._leader_before = (
            last_leader(recovered, self.state) if switches.restart_head_start else ""
        )
        """Who led when this process ended, if its disk is sure of that; else empty."""
        self._restarted_at = now
        self._election_due_at = now + self._election_timeout(now)
        self._next_hello_at = now

    # Reading.

    @property
    def voters(self) -> list[Voter]:
        """The voter set in effect."""
        return self._log.voters

    @property
    def commit_index(self) -> int:
        """Entries up to here are committed."""
        return self._commit_index

    @property
    def log_length(self) -> int:
        """Entries held after the last snapshot."""
        return len(self._log)

    @property
    def follower_lag(self) -> int:
        """Entries that the slowest voter among the followers lacks; 0 where not the leader."""
        if self.role is not ReplicaRole.LEADER:
            return 0
        others = [voter for voter in self.voters if voter != self.me]
        return max((self._log.last_index - self._match_index(v) for v in others), default=0)

    @property
    def is_voter(self) -> bool:
        """Whether this replica, with this disk, may vote."""
        return self.me in self.voters

    def may_act(self, now: float) -> bool:
        """Whether this replica leads, holds its lease and has applied its own epoch's start."""
        if self.role is not ReplicaRole.LEADER:
            return False
        if self._log.epoch_at(self._applied_index) != self.epoch:
            return False
        return now < self.lease_expires_at(now)

    def hears_leader(self, now: float) -> bool:
        """Whether this replica, outside the voter set, was told lately who leads."""
        return self.leader is not None and now < (
            self._heard_from_leader_at + constants.LEADER_HEARD_S
        )

    def lease_expires_at(self, now: float) -> float:
        """When the leader's lease ends if no more confirmations come."""
        return self._electorate().lease_end(
            lambda names: self._lease.expires_at(self.me.node_id, names, now)
        )

    # Driving.

    def tick(self, now: float) -> list[Effect]:
        """Runs elections, heartbeats and changes of the voter set."""
        if self.role is ReplicaRole.LEADER and self._leads_from_outside(now):
            return self.hand_over(now)
        if self.role is ReplicaRole.LEADER:
            effects = self._feed_standbys(now) + self._change_voters(now)
            if now >= self._next_heartbeat_at:
                self._next_heartbeat_at = now + constants.LEDGER_HEARTBEAT_S
                effects += self._replicate(now, heartbeat=True)
            return effects
        effects = [] if self.is_voter else self._say_hello(now)
        if self._campaigns and now >= self._election_due_at:
            effects += self._start_election(now, trial=True)
        return effects

    def propose(self, now: float, command: Command, ticket: object) -> list[Effect]:
        """Appends a command at the leader; `Applied` or `Dropped` follows with the ticket."""
        if self.role is not ReplicaRole.LEADER:
            return [Dropped(ticket)]
        entry = Entry(self._log.last_index + 1, self.epoch, command)
        self._tickets[entry.index] = ticket
        effects = self._append([entry])
        return effects + self._replicate(now, heartbeat=False)

    def persisted(self, now: float, write_id: int) -> list[Effect]:
        """The driver made the write durable, and all before it."""
        self._durable_write_id = max(self._durable_write_id, write_id)
        for pending in sorted(self._written_index):
            if pending <= write_id:
                self._durable_index = self._written_index.pop(pending)
        released = [effect for due, effect in self._held if due <= write_id]
        self._held = [(due, effect) for due, effect in self._held if due > write_id]
        if self.role is ReplicaRole.LEADER:
            released += self._advance_commit(now)
        return released

    def handle(self, now: float, sender: str, message: object) -> list[Effect]:
        """Takes one message of the ledger protocol."""
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
        if isinstance(message, LearnerHello):
            return self._on_hello(now, message)
        if isinstance(message, IdentityQuestion):
            return self._on_identity_question(sender, message)
        if isinstance(message, HandOver):
            return self._on_hand_over(now, sender, message)
        return []

    def hand_over(self, now: float) -> list[Effect]:
        """Gives leadership to the most advanced follower; this replica must not act any more.

        Source: Ongaro's dissertation, section 3.10.
        """
        followers = [v for v in self.voters if v != self.me and v in self._progress]
        if self.role is not ReplicaRole.LEADER or not followers:
            return []
        successor = max(followers, key=self._match_index)
        effects = self._step_down(now, self.epoch)
        return [*effects, Send(successor.node_id, HandOver(self.epoch))]

    def _on_hand_over(self, now: float, sender: str, message: HandOver) -> list[Effect]:
        if message.epoch != self.epoch or sender != self.leader or not self.is_voter:
            return []
        return self._start_election(now, trial=False, handed_over=True)

    # Elections.

    def _election_timeout(self, now: float) -> float:
        """Time until this replica asks for votes.

        After a restart of all, the node that led last comes first: it may give orders at once,
        and there is no lease of another leader that voters would have to wait out.
        """
        if self._leader_before and now < self._restarted_at + constants.RESTART_S:
            if self._leader_before == self.me.node_id:
                return constants.RESTART_RETRY_S
            return self._rng.uniform(
                constants.RESTART_ELECTION_MIN_S, constants.RESTART_ELECTION_MAX_S
            )
        return self._rng.uniform(constants.ELECTION_TIMEOUT_MIN_S, constants.ELECTION_TIMEOUT_MAX_S)

    def _start_election(self, now: float, trial: bool, handed_over: bool = False) -> list[Effect]:
        self._election_due_at = now + self._election_timeout(now)
        self._trial = trial
        self._votes = {self.me}
        effects: list[Effect] = []
        asked_epoch = self.epoch + 1
        if not trial:
            self.role = ReplicaRole.CANDIDATE
            self.leader = None
            self.epoch = asked_epoch
            self._voted_for = self.me
            effects += self._persist_hard_state()
            effects.append(Emit(LogEvent.ELECTION_STARTED, {"epoch": self.epoch}))
        request = VoteRequest(
            asked_epoch,
            self.me,
            self._log.last_index,
            self._log.last_epoch,
            trial,
            handed_over,
        )
        effects += self._when_durable(
            [
                Send(voter.node_id, request)
                for voter in self._electorate().members
                if voter != self.me
            ]
        )
        return effects + self._count_votes(now)

    def _on_vote_request(self, now: float, message: VoteRequest) -> list[Effect]:
        sticky = now < self._heard_from_leader_at + constants.ELECTION_TIMEOUT_MIN_S
        if message.candidate.node_id == self._leader_before:
            # The lease that this restarted voter may have confirmed was the candidate's own.
            sticky = False
        leading = self.role is ReplicaRole.LEADER and now < self.lease_expires_at(now)
        if ((sticky or leading) and not message.handed_over) or not self._gives_votes:
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
        reply = VoteReply(message.epoch, self.me, granted, message.trial)
        return effects + self._when_durable([Send(message.candidate.node_id, reply)])

    def _on_vote_reply(self, now: float, message: VoteReply) -> list[Effect]:
        asked_epoch = self.epoch + 1 if message.trial else self.epoch
        if not message.granted or message.epoch != asked_epoch:
            return []
        waiting = self._trial if message.trial else self.role is ReplicaRole.CANDIDATE
        if not waiting or message.trial != self._trial:
            return []
        self._votes.add(message.voter)
        return self._count_votes(now)

    def _count_votes(self, now: float) -> list[Effect]:
        if not self._electorate().agrees(self._votes):
            return []
        if self._trial:
            return self._start_election(now, trial=False)
        return self._become_leader(now)

    def _become_leader(self, now: float) -> list[Effect]:
        self.role = ReplicaRole.LEADER
        self._leader_before = ""
        self._leader_since = now
        self.leader = self.me.node_id
        self._lease.clear()
        self._progress = {
            voter: FollowerProgress(self._log.last_index + 1)
            for voter in self._electorate().members
            if voter != self.me
        }
        start = Entry(self._log.last_index + 1, self.epoch, StartEpoch(self.me.node_id))
        effects = self._append([start])
        self._next_heartbeat_at = now + constants.LEDGER_HEARTBEAT_S
        effects.append(Emit(LogEvent.LEADER_ELECTED, {"epoch": self.epoch}))
        return effects + self._replicate(now, heartbeat=True)

    def _step_down(self, now: float, epoch: int) -> list[Effect]:
        effects: list[Effect] = []
        if self.role is ReplicaRole.LEADER:
            effects.append(Emit(LogEvent.LEADER_STEPPED_DOWN, {"epoch": self.epoch}))
            effects += [Dropped(ticket) for ticket in self._tickets.values()]
            self._tickets.clear()
            self._lease.clear()
        self.role = ReplicaRole.FOLLOWER
        self._trial = False
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
            silent = now >= progress.last_heard_at + constants.FOLLOWER_SILENT_S
            if silent and progress.state is FollowerState.REPLICATE:
                # What is sent to a follower that does not answer only piles up.
                progress.state = FollowerState.PROBE
                progress.next_index = min(progress.next_index, self._log.last_index + 1)
                if progress.last_heard_at > float("-inf"):
                    progress.silent = True
                    fields: dict[str, object] = {"follower": follower.node_id, "epoch": self.epoch}
                    effects.append(Emit(LogEvent.FOLLOWER_SILENT, fields))
            if progress.state is FollowerState.REPLICATE:
                if heartbeat or progress.next_index <= self._log.last_index:
                    effects += self._send_entries(now, follower, progress)
            elif heartbeat:
                effects += self._send_probe(now, follower, progress)
        return effects

    def _send_probe(self, now: float, follower: Voter, progress: FollowerProgress) -> list[Effect]:
        """One empty request; or the snapshot, where the log no longer reaches back so far."""
        snapshot_due = now >= progress.snapshot_sent_at + constants.SNAPSHOT_RETRY_S
        if progress.state is FollowerState.SNAPSHOT and not snapshot_due:
            return self._send_request(now, follower, self._log.base_index, [])
        previous = progress.next_index - 1
        if self._log.epoch_at(previous) is None:
            return self._send_snapshot(now, follower, progress)
        progress.state = FollowerState.PROBE
        effects = self._send_request(now, follower, previous, [])
        progress.awaited_nonce = self._nonce
        return effects

    def _send_snapshot(
        self, now: float, follower: Voter, progress: FollowerProgress
    ) -> list[Effect]:
        self._nonce += 1
        self._lease.sent(self._nonce, now)
        snapshot = self._snapshot_now()
        progress.state = FollowerState.SNAPSHOT
        progress.awaited_nonce = self._nonce
        progress.snapshot_sent_at = now
        progress.next_index = snapshot.last_index + 1
        install = SnapshotRequest(self.epoch, self.me, snapshot, self._nonce)
        return [Send(follower.node_id, install)]

    def _send_entries(
        self, now: float, follower: Voter, progress: FollowerProgress
    ) -> list[Effect]:
        previous = progress.next_index - 1
        if self._log.epoch_at(previous) is None:
            return self._send_snapshot(now, follower, progress)
        entries = self._log.after(previous, constants.APPEND_BATCH_ENTRIES)
        # Optimistic: a lost request is found by the next one's mismatch.
        progress.next_index += len(entries)
        return self._send_request(now, follower, previous, entries)

    def _send_request(
        self, now: float, follower: Voter, previous: int, entries: list[Entry]
    ) -> list[Effect]:
        self._nonce += 1
        self._lease.sent(self._nonce, now)
        previous_epoch = self._log.epoch_at(previous)
        assert previous_epoch is not None
        request = AppendRequest(
            self.epoch,
            self.me,
            previous,
            previous_epoch,
            entries,
            self._commit_index,
            self._nonce,
        )
        return [Send(follower.node_id, request)]

    def _on_append_reply(self, now: float, message: AppendReply) -> list[Effect]:
        if message.epoch > self.epoch:
            return self._step_down(now, message.epoch)
        progress = self._progress.get(message.follower)
        if self.role is not ReplicaRole.LEADER or message.epoch != self.epoch or progress is None:
            return []
        effects: list[Effect] = []
        progress.last_heard_at = now
        if progress.silent:
            progress.silent = False
            fields: dict[str, object] = {"follower": message.follower.node_id, "epoch": self.epoch}
            effects.append(Emit(LogEvent.FOLLOWER_REGAINED, fields))
        if message.follower in self._electorate().members:
            self._lease.confirmed(message.follower.node_id, message.nonce)
        if not message.success:
            return effects + self._on_mismatch(now, message, progress)
        if message.match_index > progress.match_index:
            progress.match_index = message.match_index
        if progress.state is FollowerState.REPLICATE:
            progress.next_index = max(progress.next_index, message.match_index + 1)
        elif message.nonce == progress.awaited_nonce:
            progress.state = FollowerState.REPLICATE
            progress.next_index = message.match_index + 1
        effects += self._advance_commit(now)
        replicating = progress.state is FollowerState.REPLICATE
        if replicating and progress.next_index <= self._log.last_index:
            effects += self._send_entries(now, message.follower, progress)
        return effects

    def _on_mismatch(
        self, now: float, message: AppendReply, progress: FollowerProgress
    ) -> list[Effect]:
        """The logs do not meet where the request said.

        While requests are under way their mismatches are answered by one probe in all: an
        answer to each would send the same entries again and again.
        """
        replicating = progress.state is FollowerState.REPLICATE
        if not replicating and message.nonce != progress.awaited_nonce:
            return []
        progress.state = FollowerState.PROBE
        progress.next_index = max(1, min(message.match_index + 1, self._log.last_index + 1))
        return self._send_probe(now, message.follower, progress)

    def _advance_commit(self, now: float) -> list[Effect]:
        agreed = self._electorate().agreed_index(self._match_index)
        # Only an entry of the own epoch commits by counting (Raft, section 5.4.2).
        if agreed <= self._commit_index or self._log.epoch_at(agreed) != self.epoch:
            return []
        self._commit_index = agreed
        return self._apply(now)

    def _match_index(self, voter: Voter) -> int:
        if voter == self.me:
            return self._durable_index
        progress = self._progress.get(voter)
        return progress.match_index if progress is not None else 0

    def _electorate(self) -> Electorate:
        return electorate(self._log, self._commit_index, self._proofs.lost)

    @property
    def _gives_votes(self) -> bool:
        """A voter that the newest change leaves out gives votes until that change is settled
        everywhere: whoever does not know of the commit may need its vote."""
        return self.is_voter or self.me in self._log.voters_before_change

    @property
    def _campaigns(self) -> bool:
        """Whether this replica asks for votes.

        One that knows that it is out does so only where a voter's disk is lost: its log may be
        the longest that is left.
        """
        out = not self.is_voter and self._log.voters_at(self._commit_index) == self.voters
        needed = not self._proofs.lost.isdisjoint(self.voters)
        return self._gives_votes and (needed or not out)

    def _leads_from_outside(self, now: float) -> bool:
        """Whether this leader is out of the voter set and all of its log is committed."""
        return (
            not self.is_voter and self.may_act(now) and self._commit_index == self._log.last_index
        )

    def _on_identity_question(self, sender: str, message: IdentityQuestion) -> list[Effect]:
        if self.is_voter:
            return []
        return [Send(sender, LearnerHello(self.me, message.number))]

    def _on_hello(self, now: float, message: LearnerHello) -> list[Effect]:
        for voter in self.voters:
            same_node = voter.node_id == message.learner.node_id
            if same_node and voter not in (message.learner, self.me):
                number = self._proofs.greeted(voter, message.answer_to)
                if number is not None:
                    return [Send(message.learner.node_id, IdentityQuestion(number))]
                self._progress.pop(voter, None)
        if self.role is not ReplicaRole.LEADER or message.learner in self.voters:
            return []
        self._standbys.heard(message.learner, now)
        effects = self._feed_standbys(now)
        if message.learner not in self._progress:
            effects.append(self._tell_who_leads(message.learner))
        return effects

    def _tell_who_leads(self, standby: Voter) -> Effect:
        """An empty request before all entries: it commits nothing and names the leader."""
        request = AppendRequest(self.epoch, self.me, 0, 0, [], 0, self._nonce)
        return Send(standby.node_id, request)

    def _say_hello(self, now: float) -> list[Effect]:
        if now < self._next_hello_at:
            return []
        self._next_hello_at = now + constants.STANDBY_HELLO_S
        targets = {voter.node_id for voter in self.voters}
        if self.leader is not None and self.hears_leader(now):
            targets = {self.leader}
        hello = LearnerHello(self.me)
        return [Send(target, hello) for target in sorted(targets - {self.me.node_id})]

    def _voter_health(self, now: float) -> VoterHealth:
        deadline_s = now - constants.VOTER_SILENT_S
        silent = {
            voter.node_id
            for voter, progress in self._progress.items()
            if voter in self.voters
            and max(progress.last_heard_at, self._leader_since) <= deadline_s
        }
        leaving = frozenset(self.state.retired_nodes)
        return VoterHealth(self.voters, self.unavailable | silent, self._proofs.lost, leaving)

    def _feed_standbys(self, now: float) -> list[Effect]:
        """Standbys that the voter set needs get the log; others get it no more.

        Without the lease the silence of others says nothing: it may be this node that is cut off.
        """
        if not self.may_act(now):
            return []
        if self._switches.standbys:
            wanted = self._standbys.wanted(now, self._voter_health(now), self._target_voters)
        else:
            wanted = self._standbys.present(now)
        deciders = self._electorate().members
        for learner in list(self._progress):
            if learner not in deciders and learner not in self.voters and learner not in wanted:
                del self._progress[learner]
        effects: list[Effect] = []
        for standby in wanted:
            if standby not in self._progress:
                self._progress[standby] = FollowerProgress(self._log.last_index + 1)
                effects += self._send_probe(now, standby, self._progress[standby])
        return effects

    def _change_voters(self, now: float) -> list[Effect]:
        """Starts the next change once everything before it is committed.

        Without the lease the silence of others says nothing: it may be this node that is cut off.
        """
        if not self.may_act(now):
            return []
        settled = self._log.voters_at(self._commit_index) == self.voters
        if not settled or self._log.epoch_at(self._applied_index) != self.epoch:
            return []
        health = self._voter_health(now)
        learners = [
            learner
            for learner, progress in self._progress.items()
            if learner not in self.voters
            and progress.match_index >= self._commit_index
            and now < progress.last_heard_at + constants.ELECTION_TIMEOUT_MAX_S
        ]
        next_set = next_voter_set(
            self.voters,
            learners,
            health.silent,
            self._target_voters,
            health.leaving,
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
        self._leader_before = ""
        self._trial = False
        self._heard_from_leader_at = now
        self._election_due_at = now + self._election_timeout(now)
        return effects

    def _on_append_request(self, now: float, message: AppendRequest) -> list[Effect]:
        if message.epoch < self.epoch:
            reply = AppendReply(self.epoch, self.me, False, 0, message.nonce)
            return [Send(message.leader.node_id, reply)]
        effects = self._follow(now, message.epoch, message.leader.node_id)
        previous = message.previous_index
        # What the snapshot covers is committed, hence equal at the leader.
        known = previous < self._log.base_index
        if not known and self._log.epoch_at(previous) != message.previous_epoch:
            hint = self._meeting_hint(previous)
            reply = AppendReply(self.epoch, self.me, False, hint, message.nonce)
            return effects + self._when_durable([Send(message.leader.node_id, reply)])
        match_index = previous + len(message.entries)
        # Before the entries are written, so that they and the commit index are durable together.
        self._commit_index = max(self._commit_index, min(message.commit_index, match_index))
        effects += self._take_entries(message.entries)
        effects += self._apply(now)
        reply = AppendReply(self.epoch, self.me, True, match_index, message.nonce)
        return effects + self._when_durable([Send(message.leader.node_id, reply)])

    def _meeting_hint(self, previous: int) -> int:
        """Where the logs may meet: before the epoch that conflicts, not below what is committed."""
        hint = min(previous - 1, self._log.last_index)
        conflicting = self._log.epoch_at(previous)
        while hint > self._commit_index and self._log.epoch_at(hint) == conflicting:
            hint -= 1
        return max(hint, self._commit_index)

    def _take_entries(self, entries: list[Entry]) -> list[Effect]:
        """Adds what is new; an entry of another epoch at its index ends the old suffix."""
        for position, entry in enumerate(entries):
            if entry.index <= self._log.base_index:
                continue
            held_epoch = self._log.epoch_at(entry.index)
            if held_epoch == entry.epoch:
                continue
            truncate = entry.index if held_epoch is not None else None
            return self._append(entries[position:], truncate_from=truncate)
        return []

    def _on_snapshot_request(self, now: float, message: SnapshotRequest) -> list[Effect]:
        if message.epoch < self.epoch:
            reply = AppendReply(self.epoch, self.me, False, 0, message.nonce)
            return [Send(message.leader.node_id, reply)]
        effects = self._follow(now, message.epoch, message.leader.node_id)
        snapshot = message.snapshot
        if snapshot.last_index > self._commit_index:
            self._log.compact(without_state(snapshot))
            self.state = msgspec.msgpack.decode(snapshot.state, type=LedgerState)
            self._commit_index = snapshot.last_index
            self._applied_index = snapshot.last_index
            # A suffix that does not continue the snapshot was dropped here: on disk as well.
            after = snapshot.last_index + 1 if len(self._log) == 0 else None
            effects += self._persist(Persist(0, truncate_from=after, snapshot=snapshot))
            effects.append(Emit(LogEvent.SNAPSHOT_INSTALLED, {"index": snapshot.last_index}))
        reply = AppendReply(self.epoch, self.me, True, snapshot.last_index, message.nonce)
        return effects + self._when_durable([Send(message.leader.node_id, reply)])

    # Applying and persisting.

    def _apply(self, now: float) -> list[Effect]:
        effects: list[Effect] = []
        while self._applied_index < self._commit_index:
            self._applied_index += 1
            entry = self._log.entry(self._applied_index)
            result = self.state.apply(entry.command)
            ticket = self._tickets.pop(self._applied_index, None)
            if ticket is not None:
                effects.append(Applied(ticket, result))
            if isinstance(entry.command, ChangeVoters):
                effects += self._persist(Persist(0))
                effects += self._adopt_voters(now)
        if self._applied_index - self._log.base_index >= constants.SNAPSHOT_AFTER_ENTRIES:
            effects += self._take_snapshot()
        return effects

    def _apply_recovered(self, commit_index: int) -> None:
        """What the disk says was committed holds again at once."""
        self._commit_index = max(self._commit_index, min(commit_index, self._log.last_index))
        while self._applied_index < self._commit_index:
            self._applied_index += 1
            self.state.apply(self._log.entry(self._applied_index).command)

    def _adopt_voters(self, now: float) -> list[Effect]:
        if self.role is not ReplicaRole.LEADER:
            return []
        if self.me not in self.voters:
            return self._step_down(now, self.epoch)
        for voter in self.voters:
            if voter != self.me:
                self._progress.setdefault(voter, FollowerProgress(self._log.last_index + 1))
        return []

    def _take_snapshot(self) -> list[Effect]:
        snapshot = self._snapshot_now()
        self._log.compact(without_state(snapshot))
        effects: list[Effect] = self._persist(Persist(0, snapshot=snapshot))
        return [*effects, Emit(LogEvent.SNAPSHOT_TAKEN, {"index": snapshot.last_index})]

    def _snapshot_now(self) -> SnapshotRecord:
        """The applied state as a snapshot, encoded when it is needed and not held."""
        index = self._applied_index
        epoch = self._log.epoch_at(index)
        assert epoch is not None
        state = msgspec.msgpack.encode(self.state)
        return SnapshotRecord(index, epoch, self._log.voters_at(index), state)

    def _append(self, entries: list[Entry], truncate_from: int | None = None) -> list[Effect]:
        if truncate_from is not None:
            self._log.truncate_from(truncate_from)
            ceiling = truncate_from - 1
            self._durable_index = min(self._durable_index, ceiling)
            for write_id, index in self._written_index.items():
                self._written_index[write_id] = min(index, ceiling)
        self._log.append(entries)
        return self._persist(Persist(0, truncate_from=truncate_from, entries=entries))

    def _persist_hard_state(self) -> list[Effect]:
        return self._persist(Persist(0, hard_state=HardState(self.epoch, self._voted_for)))

    def _persist(self, write: Persist) -> list[Effect]:
        self._write_id += 1
        self._written_index[self._write_id] = self._log.last_index
        commit_index = self._commit_index
        return [msgspec.structs.replace(write, write_id=self._write_id, commit_index=commit_index)]

    def _when_durable(self, effects: list[Effect]) -> list[Effect]:
        """Holds effects back until every write so far is durable."""
        if self._durable_write_id >= self._write_id:
            return effects
        self._held += [(self._write_id, effect) for effect in effects]
        return []
