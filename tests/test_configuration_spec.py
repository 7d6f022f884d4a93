"""Exhaustive check of the configuration model, and of two faulty variants of it."""

from __future__ import annotations

import testtools
from minicheck import check_safety

from tests.configuration_spec import make_configuration_protocol
from tests.test_ledger_spec import MAX_STATES, holds


class ConfigurationSpecTest(testtools.TestCase):
    """The bounds and state counts are listed in docs/PROOFS.md."""

    def test_invariants_hold(self) -> None:
        report = check_safety(make_configuration_protocol(), max_states=MAX_STATES)
        self.assertEqual({True}, set(holds(report).values()))

    def test_granting_without_committed_floor_is_refuted(self) -> None:
        protocol = make_configuration_protocol(commit_floor=False)
        report = check_safety(protocol, max_states=MAX_STATES)
        self.assertFalse(holds(report)["node_is_never_served_an_older_revision"])

    def test_serving_starting_node_under_earlier_grant_is_refuted(self) -> None:
        protocol = make_configuration_protocol(wait_for_new_grant=False)
        report = check_safety(protocol, max_states=MAX_STATES)
        self.assertFalse(holds(report)["node_is_never_served_an_older_revision"])
