"""Checks the agreement on the first voter set exhaustively, and that each rule is necessary."""

from __future__ import annotations

import testtools
from minicheck import check_safety

from tests.voter_set_spec import Rules, make_voter_set_protocol

MAX_STATES = 2_000_000
REFUTED_WITHIN_STATES = 60_000


def violated(rules: Rules, max_states: int = REFUTED_WITHIN_STATES) -> set[str]:
    """The invariants that the checker refutes under these rules."""
    report = check_safety(make_voter_set_protocol(rules), max_states=max_states)
    assert report["exhaustive"] or max_states < MAX_STATES
    return {name for name, found in report["properties"].items() if not found["holds"]}


class VoterSetSpecTest(testtools.TestCase):
    """Three nodes, one of which may lose its disk once before it has agreed."""

    def test_invariants_hold(self) -> None:
        self.assertEqual(set(), violated(Rules(), MAX_STATES))

    def test_writes_that_do_not_compare_revisions_are_unsafe(self) -> None:
        self.assertIn("one_set_is_sealed", violated(Rules(writes_compare_revisions=False)))

    def test_joining_a_sealed_record_is_unsafe(self) -> None:
        self.assertIn("one_set_is_sealed", violated(Rules(sealed_record_is_final=False)))
