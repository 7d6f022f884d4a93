"""Retirement of ledger nodes while others are lost, in virtual time."""

from __future__ import annotations

import testtools

from stileloom import constants
from stileloom.ledger.commands import RaiseConfigurationFloor, RetireNode
from tests.ledger_cluster import LedgerCluster

SETTLE_S = 3.0


class RetirementTest(testtools.TestCase):
    """Five voters, of which two are lost: the others are a majority only with the retiring one."""

    def run_with_two_lost(self, is_leader_retired: bool) -> tuple[LedgerCluster, float, list[str]]:
        """Returns the cluster, the time of the order and the lost nodes."""
        cluster = LedgerCluster("abcde")
        cluster.start("abcde")
        cluster.run_for(SETTLE_S)
        leader = cluster.leader()
        assert leader is not None
        followers = [name for name in "abcde" if name != leader]
        lost = followers[:2]
        for name in lost:
            cluster.kill(name)
        cluster.run_for(SETTLE_S)
        ordered_at = cluster.now
        cluster.command = RetireNode(leader if is_leader_retired else followers[2])
        cluster.run_for(0.05)
        cluster.command = RaiseConfigurationFloor(1)
        cluster.run_for(5.0)
        return cluster, ordered_at, lost

    def test_commands_commit_while_the_leader_retires_and_two_voters_are_lost(self) -> None:
        """Guards against a voter set of which no majority can store what is proposed."""
        cluster, ordered_at, _ = self.run_with_two_lost(is_leader_retired=True)
        self.assertLess(cluster.longest_pause_s(ordered_at), constants.ELECTION_TIMEOUT_MAX_S)

    def test_commands_commit_while_a_follower_retires_and_two_voters_are_lost(self) -> None:
        cluster, ordered_at, _ = self.run_with_two_lost(is_leader_retired=False)
        self.assertLess(cluster.longest_pause_s(ordered_at), constants.LEADER_LEASE_S)

    def test_a_node_retires_once_the_lost_voters_are_back(self) -> None:
        """Guards against a node that is never emptied."""
        cluster, _, lost = self.run_with_two_lost(is_leader_retired=False)
        cluster.start("".join(lost))
        cluster.run_for(8.0)
        leader = cluster.leader()
        self.assertIsNotNone(leader)
        replica = cluster.replica(leader or "")
        voters = {voter.node_id for voter in replica.voters}
        self.assertEqual(set(), voters & set(replica.state.retired_nodes))
        self.assertEqual(4, len(voters))


class SurvivorTest(testtools.TestCase):
    """Two voters are left, and the disk of one is lost."""

    def test_a_leader_commits_alone_although_the_lost_disk_is_proved_late(self) -> None:
        """Guards against a leader whose waiting command keeps it from acting for good."""
        for down_s in (0.2, constants.COMMIT_TIMEOUT_S + 1.0):
            cluster = LedgerCluster("ab")
            cluster.start("ab")
            cluster.run_for(SETTLE_S)
            leader = cluster.leader()
            assert leader is not None
            other = "b" if leader == "a" else "a"
            cluster.kill(other)
            cluster.replace_disk(other)
            cluster.run_for(down_s)
            returned_at = cluster.now
            cluster.start(other)
            cluster.run_for(SETTLE_S)
            self.assertIsNotNone(cluster.leader())
            self.assertGreater(cluster.committed_at[-1], returned_at)
