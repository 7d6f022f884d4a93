"""Committed commands with repeated, unknown and reordered contents.

A command whose application raises would end every replica, and end it again at each start.
"""

from __future__ import annotations

import hypothesis
import testtools
from hypothesis import strategies

from stileloom.api.jobs import FinishedItem, ItemProgress, ItemState, JobItem, JobSubmission
from stileloom.ledger.commands import (
    ClearSuspects,
    CloseUsageWindow,
    Command,
    EndJob,
    ForgetJob,
    ForgetSuspects,
    MarkUsageSent,
    RecordFinalUsage,
    RecordJobAges,
    RecordResults,
    RecordSamplerEnds,
    SaveProgress,
    StartTrial,
    SubmitJob,
)
from stileloom.ledger.state import LedgerState
from stileloom.quarantine.messages import SamplerCrash

NAMES = strategies.sampled_from(["a", "b", "c"])
TIMES = strategies.sampled_from([0.0, 1.0, 700.0, 8000.0])
FIGURES = strategies.integers(0, 3)
CRASHES = strategies.lists(strategies.builds(SamplerCrash, NAMES, NAMES), max_size=8)
RESULTS = strategies.builds(
    lambda item, state, saved: FinishedItem(item, state, saved, ["x"], [1]),
    NAMES,
    strategies.sampled_from(ItemState),
    FIGURES,
)


def submission(job_id: str, items: list[str]) -> JobSubmission:
    """A job."""
    rows = [JobItem(item, "/p", {}, b"", "") for item in items]
    return JobSubmission(job_id, "h", "/p", 0, "m", 1, 1, rows)


COMMANDS: strategies.SearchStrategy[Command] = strategies.one_of(
    strategies.builds(RecordSamplerEnds, CRASHES, TIMES),
    strategies.builds(ClearSuspects, strategies.lists(NAMES, max_size=5)),
    strategies.builds(StartTrial, NAMES, TIMES),
    strategies.builds(ForgetSuspects, TIMES),
    strategies.builds(
        SubmitJob, strategies.builds(submission, NAMES, strategies.lists(NAMES, unique=True))
    ),
    strategies.builds(RecordResults, NAMES, strategies.lists(RESULTS, max_size=4)),
    strategies.builds(
        SaveProgress,
        NAMES,
        strategies.lists(
            strategies.builds(
                lambda item, first: ItemProgress(item, first, ["x"], first + 1, [1]), NAMES, FIGURES
            ),
            max_size=4,
        ),
    ),
    strategies.builds(EndJob, NAMES),
    strategies.builds(ForgetJob, NAMES),
    strategies.builds(RecordJobAges, strategies.dictionaries(NAMES, FIGURES)),
    strategies.builds(
        RecordFinalUsage, NAMES, strategies.dictionaries(FIGURES, strategies.just({"t": 1}))
    ),
    strategies.builds(CloseUsageWindow, FIGURES, strategies.just({"t": 1})),
    strategies.builds(MarkUsageSent, FIGURES),
)


class ApplyTest(testtools.TestCase):
    """No command raises, whatever came before it."""

    @hypothesis.settings(max_examples=300, derandomize=True, deadline=None)
    @hypothesis.given(strategies.lists(COMMANDS, max_size=30))
    def test_no_command_raises(self, commands: list[Command]) -> None:
        state = LedgerState()
        for command in commands:
            state.apply(command)

    def test_a_request_that_is_cleared_twice_by_one_command_is_cleared(self) -> None:
        """Guards against two good answers of a suspect within one report."""
        state = LedgerState()
        crashes = [SamplerCrash("r", sampler) for sampler in ("s1", "s2")]
        state.apply(RecordSamplerEnds(crashes, 1.0))
        state.apply(ClearSuspects(["r", "r"]))
        self.assertEqual({}, state.quarantine.suspects)
