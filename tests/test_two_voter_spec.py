"""The two-voter rule, checked exhaustively; each of its parts is needed."""

from __future__ import annotations

import testtools
from minicheck import check_safety

from tests.two_voter_spec import Bounds, Rules, make_two_voter_protocol

MAX_STATES = 2_000_000
REFUTED_WITHIN_STATES = 60_000


def broken(rules: Rules, max_states: int = REFUTED_WITHIN_STATES) -> set[str]:
    """The invariants that are found not to hold under these rules."""
    report = check_safety(make_two_voter_protocol(Bounds(), rules), max_states=max_states)
    assert report["exhaustive"] or max_states < MAX_STATES
    return {name for name, found in report["properties"].items() if not found["holds"]}


class TwoVoterSpecTest(testtools.TestCase):
    """Bounds and numbers of states are stated in docs/PROOFS.md."""

    def test_holds(self) -> None:
        self.assertEqual(set(), broken(Rules(), MAX_STATES))

    def test_a_commit_index_that_is_only_memory_leaves_nobody_to_lead(self) -> None:
        self.assertIn("somebody_can_lead", broken(Rules(commit_index_is_durable=False)))

    def test_without_the_set_before_the_change_nobody_can_lead(self) -> None:
        self.assertIn("somebody_can_lead", broken(Rules(asks_previous_set=False)))

    def test_deciding_alone_under_a_change_that_may_not_be_committed_is_unsafe(self) -> None:
        found = broken(Rules(waits_for_commit=False))
        self.assertTrue(found & {"one_leader_an_epoch", "committed_is_never_lost"}, found)

    def test_a_proof_of_an_earlier_life_is_unsafe(self) -> None:
        found = broken(Rules(proofs_are_fresh=False))
        self.assertTrue(found & {"one_leader_an_epoch", "committed_is_never_lost"}, found)

    def test_a_leaver_that_gives_no_votes_leaves_nobody_to_lead(self) -> None:
        self.assertIn("somebody_can_lead", broken(Rules(leaver_votes=False)))

    def test_a_removal_that_only_the_leader_knows_of_leaves_nobody_to_lead(self) -> None:
        self.assertIn("somebody_can_lead", broken(Rules(removal_waits=False)))
