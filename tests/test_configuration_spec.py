"""The specification of configuration in force, checked exhaustively, with two mutations."""

from __future__ import annotations

import testtools
from minicheck import check_safety

from tests.configuration_spec import make_configuration_protocol
from tests.test_ledger_spec import MAX_STATES, holds


class ConfigurationSpecTest(testtools.TestCase):
    """Bounds and numbers of states are stated in docs/PROOFS.md."""

    def test_holds(self) -> None:
        report = check_safety(make_configuration_protocol(), max_states=MAX_STATES)
        self.assertEqual({True}, set(holds(report).values()))

    def test_a_grant_without_a_committed_floor_is_refuted(self) -> None:
        protocol = make_configuration_protocol(commit_floor=False)
        report = check_safety(protocol, max_states=MAX_STATES)
        self.assertFalse(holds(report)["nobody_is_served_less_than_before"])

    def test_serving_a_starting_node_under_an_old_grant_is_refuted(self) -> None:
        protocol = make_configuration_protocol(wait_for_new_grant=False)
        report = check_safety(protocol, max_states=MAX_STATES)
        self.assertFalse(holds(report)["nobody_is_served_less_than_before"])
