"""The specification of the leader's lease, checked exhaustively; each of its rules is needed."""

from __future__ import annotations

import testtools
from minicheck import check_safety

from tests.lease_spec import LeaseBounds, LeaseRules, make_lease_protocol
from tests.test_ledger_spec import MAX_STATES, holds

REFUTED_WITHIN_STATES = 60_000
HAND_OVER = LeaseBounds(epochs=3, hand_overs=1, restarts=0)
RESTART = LeaseBounds(epochs=3, hand_overs=0, restarts=1)
BOTH = LeaseBounds(epochs=2, hand_overs=1, restarts=1)


def refuted(bounds: LeaseBounds, rules: LeaseRules) -> bool:
    """Whether two replicas that may act are found without one of the rules."""
    report = check_safety(make_lease_protocol(bounds, rules), max_states=REFUTED_WITHIN_STATES)
    return report["properties"]["one_may_act"]["holds"] is False


class LeaseSpecTest(testtools.TestCase):
    """Bounds and numbers of states are stated in docs/PROOFS.md."""

    def test_holds_with_hand_overs(self) -> None:
        report = check_safety(make_lease_protocol(HAND_OVER, LeaseRules()), max_states=MAX_STATES)
        self.assertEqual({"one_may_act": True}, holds(report))

    def test_holds_with_hand_overs_and_restarts(self) -> None:
        report = check_safety(make_lease_protocol(BOTH, LeaseRules()), max_states=MAX_STATES)
        self.assertEqual({"one_may_act": True}, holds(report))

    def test_a_leader_that_goes_on_after_its_hand_over_is_refuted(self) -> None:
        self.assertTrue(refuted(HAND_OVER, LeaseRules(stops_before_hand_over=False)))

    def test_following_a_hand_over_of_an_earlier_epoch_is_refuted(self) -> None:
        self.assertTrue(refuted(HAND_OVER, LeaseRules(hand_over_is_of_this_epoch=False)))

    def test_voters_that_stick_to_nobody_are_refuted(self) -> None:
        self.assertTrue(refuted(HAND_OVER, LeaseRules(promises_bind=False)))

    def test_a_restart_that_forgets_to_wait_is_refuted(self) -> None:
        self.assertTrue(refuted(RESTART, LeaseRules(restart_waits=False)))

    def test_a_vote_at_once_for_the_leader_of_an_earlier_epoch_is_refuted(self) -> None:
        self.assertTrue(refuted(RESTART, LeaseRules(disk_is_sure=False)))
