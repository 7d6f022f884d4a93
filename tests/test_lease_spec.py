"""Checks the lease specification exhaustively, and that each of its rules is necessary."""

from __future__ import annotations

import testtools
from minicheck import check_safety

from tests.lease_spec import LeaseBounds, LeaseRules, make_lease_protocol
from tests.test_ledger_spec import MAX_STATES, holds

REFUTED_WITHIN_STATES = 60_000
HAND_OVER = LeaseBounds(epochs=3, hand_overs=1, restarts=0)
RESTART = LeaseBounds(epochs=3, hand_overs=0, restarts=1)
HAND_OVER_AND_RESTART = LeaseBounds(epochs=2, hand_overs=1, restarts=1)


def refuted(bounds: LeaseBounds, rules: LeaseRules) -> bool:
    """Whether the checker finds two active leaders under these rules."""
    report = check_safety(make_lease_protocol(bounds, rules), max_states=REFUTED_WITHIN_STATES)
    return report["properties"]["at_most_one_active_leader"]["holds"] is False


class LeaseSpecTest(testtools.TestCase):
    """The bounds and state counts are listed in docs/PROOFS.md."""

    def test_invariant_holds_with_hand_overs(self) -> None:
        report = check_safety(make_lease_protocol(HAND_OVER, LeaseRules()), max_states=MAX_STATES)
        self.assertEqual({"at_most_one_active_leader": True}, holds(report))

    def test_invariant_holds_with_hand_overs_and_restarts(self) -> None:
        report = check_safety(
            make_lease_protocol(HAND_OVER_AND_RESTART, LeaseRules()), max_states=MAX_STATES
        )
        self.assertEqual({"at_most_one_active_leader": True}, holds(report))

    def test_a_leader_that_stays_active_after_its_hand_over_is_refuted(self) -> None:
        self.assertTrue(refuted(HAND_OVER, LeaseRules(stops_before_hand_over=False)))

    def test_accepting_a_hand_over_of_an_earlier_epoch_is_refuted(self) -> None:
        self.assertTrue(refuted(HAND_OVER, LeaseRules(hand_over_matches_epoch=False)))

    def test_voters_that_ignore_their_promises_are_refuted(self) -> None:
        self.assertTrue(refuted(HAND_OVER, LeaseRules(promises_are_binding=False)))

    def test_a_restart_without_a_wait_is_refuted(self) -> None:
        self.assertTrue(refuted(RESTART, LeaseRules(restart_waits=False)))

    def test_an_immediate_vote_for_the_leader_of_an_earlier_epoch_is_refuted(self) -> None:
        self.assertTrue(refuted(RESTART, LeaseRules(disk_leader_is_current=False)))
