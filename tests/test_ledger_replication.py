"""Replication in virtual time, where large states, slow links and slow disks take time."""

from __future__ import annotations

import testtools

from stileloom import constants
from tests.ledger_cluster import LedgerCluster, Speeds

LARGE_STATE_BYTES = 40_000_000


class LargeStateTest(testtools.TestCase):
    """A state whose encoding takes longer than the leader's lease."""

    def test_leader_serves_while_a_standby_replaces_a_voter(self) -> None:
        """Guards against a leader that loses its lease while it sends the state in one message."""
        cluster = LedgerCluster("abcde", "f", LARGE_STATE_BYTES)
        cluster.start("abcdf")
        cluster.run_for(3.0)
        leader = cluster.leader()
        self.assertIsNotNone(leader)
        settled_at = cluster.now
        cluster.run_for(20.0)
        self.assertEqual(0, cluster.elections_since(settled_at))
        self.assertEqual(leader, cluster.leader())
        self.assertLess(cluster.longest_pause_s(settled_at), constants.LEADER_LEASE_S)
        voters = {voter.node_id for voter in cluster.replica(leader or "").voters}
        self.assertIn("f", voters)

    def test_a_voter_that_does_not_answer_is_not_sent_the_state(self) -> None:
        """Guards against a leader that encodes its state again and again for a dead voter."""
        cluster = LedgerCluster("abc", "", LARGE_STATE_BYTES)
        cluster.start("abc")
        cluster.run_for(3.0)
        leader = cluster.leader()
        dead = next(name for name in "abc" if name != leader)
        cluster.kill(dead)
        settled_at = cluster.now
        cluster.run_for(20.0)
        self.assertLess(cluster.bytes_sent_to(dead, settled_at), 1_000_000)
        self.assertLess(cluster.longest_pause_s(settled_at), constants.LEADER_LEASE_S)


class SlowLinkTest(testtools.TestCase):
    """Answers that take longer than the interval between heartbeats."""

    def test_replication_resumes_after_lost_entries_over_a_slow_link(self) -> None:
        """Guards against a probe that is superseded before its answer arrives."""
        cluster = LedgerCluster("abc", "", 0, Speeds(link_delay_s=0.1))
        cluster.start("abc")
        cluster.run_for(5.0)
        self.assertIsNotNone(cluster.leader())
        broken_until = cluster.now + 0.3
        cluster.is_lost = lambda sender, to, message: cluster.now < broken_until
        cluster.run_for(10.0)
        self.assertLess(cluster.longest_pause_s(broken_until), 2.0)
        self.assertLess(cluster.leased_without_commit_s, constants.LEADER_LEASE_S)
