"""Checks the two-voter rule exhaustively, and that each of its parts is necessary."""

from __future__ import annotations

import testtools
from minicheck import check_safety

from tests.two_voter_spec import Bounds, Rules, make_two_voter_protocol

MAX_STATES = 2_000_000
REFUTED_WITHIN_STATES = 60_000


def violated(rules: Rules, max_states: int = REFUTED_WITHIN_STATES) -> set[str]:
    """The invariants that the checker refutes under these rules."""
    report = check_safety(make_two_voter_protocol(Bounds(), rules), max_states=max_states)
    assert report["exhaustive"] or max_states < MAX_STATES
    return {name for name, found in report["properties"].items() if not found["holds"]}


class TwoVoterSpecTest(testtools.TestCase):
    """The bounds and state counts are listed in docs/PROOFS.md."""

    def test_invariants_hold(self) -> None:
        self.assertEqual(set(), violated(Rules(), MAX_STATES))

    def test_a_commit_index_kept_only_in_memory_can_leave_no_leader(self) -> None:
        self.assertIn("a_leader_can_be_elected", violated(Rules(commit_index_is_durable=False)))

    def test_ignoring_the_previous_voter_set_can_leave_no_leader(self) -> None:
        self.assertIn("a_leader_can_be_elected", violated(Rules(requires_previous_set=False)))

    def test_deciding_alone_under_a_possibly_uncommitted_change_is_unsafe(self) -> None:
        found = violated(Rules(waits_for_commit=False))
        self.assertTrue(found & {"one_leader_per_epoch", "committed_entries_survive"}, found)

    def test_a_stale_proof_of_a_lost_disk_is_unsafe(self) -> None:
        found = violated(Rules(proofs_are_fresh=False))
        self.assertTrue(found & {"one_leader_per_epoch", "committed_entries_survive"}, found)

    def test_a_removed_node_that_grants_no_votes_can_leave_no_leader(self) -> None:
        self.assertIn("a_leader_can_be_elected", violated(Rules(removed_node_votes=False)))

    def test_a_removal_known_only_to_the_leader_can_leave_no_leader(self) -> None:
        self.assertIn("a_leader_can_be_elected", violated(Rules(removal_waits=False)))
