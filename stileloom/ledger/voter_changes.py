"""Which standbys the leader replicates to, and the next voter set. No I/O, no clock."""

from __future__ import annotations

import random

from stileloom import constants
from stileloom.ledger.commands import Voter
from stileloom.ledger.electorate import LostDiskDetector
from stileloom.ledger.progress import FollowerProgress, FollowerState
from stileloom.ledger.standbys import StandbyPool, VoterHealth
from stileloom.ledger.voters import next_voter_set


class VoterChanges:
    """Knowledge about voters and standbys from which a leader changes the voter set."""

    def __init__(self, target_voters: int, keeps_standbys: bool, rng: random.Random) -> None:
        self.lost_disk_detector = LostDiskDetector(rng)
        self.standbys = StandbyPool()
        self._target_voters = target_voters
        self._keeps_standbys = keeps_standbys

    @property
    def lost_disks(self) -> set[Voter]:
        """Voters whose disks are proved lost."""
        return self.lost_disk_detector.lost_disks

    def health(
        self,
        now: float,
        voters: list[Voter],
        progress_by_voter: dict[Voter, FollowerProgress],
        leader_since: float,
        unavailable: set[str],
        retired: set[str],
    ) -> VoterHealth:
        """What a leader knows about the voters; `unavailable` are nodes reported as dead."""
        contact_cutoff = now - constants.VOTER_RESPONSE_TIMEOUT_S
        unresponsive = {
            voter.node_id
            for voter, progress in progress_by_voter.items()
            if voter in voters and max(progress.last_contact_at, leader_since) <= contact_cutoff
        }
        return VoterHealth(voters, unavailable | unresponsive, self.lost_disks, frozenset(retired))

    def needed_standbys(self, now: float, health: VoterHealth) -> list[Voter]:
        """The standbys that need a copy of the log."""
        if not self._keeps_standbys:
            return list(self.standbys.recently_seen(now))
        return list(self.standbys.select_replacements(now, health, self._target_voters))

    def next_set(
        self,
        now: float,
        health: VoterHealth,
        progress_by_voter: dict[Voter, FollowerProgress],
        commit_index: int,
    ) -> list[Voter] | None:
        """The next voter set, or None if the current one stays."""
        voters = health.voters
        learners = [
            learner
            for learner, progress in progress_by_voter.items()
            if learner not in voters
            and progress.match_index >= commit_index
            and now < progress.last_contact_at + constants.ELECTION_TIMEOUT_MAX_S
        ]
        behind = frozenset(
            voter.node_id
            for voter, progress in progress_by_voter.items()
            if progress.state is not FollowerState.REPLICATE
        )
        return next_voter_set(
            voters, learners, health.unresponsive, self._target_voters, health.retiring, behind
        )
