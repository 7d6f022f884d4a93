"""The candidates of a lookup's attempt, for its decision record. Performs no I/O."""

from __future__ import annotations

from stileloom.api.sampler_directory import SamplerEntry
from stileloom.decisions import CandidateLoad, candidate_load
from stileloom.load import LoadView
from stileloom.proxy.attempt_plan import AttemptPlan


def attempt_candidates(
    plan: AttemptPlan, selected: SamplerEntry, view: LoadView, now: float
) -> list[CandidateLoad]:
    """The samplers that were drawn for the current attempt, or only the selected one.

    Without a load view in use none are drawn, and the figures of the view did not decide.
    """
    if plan.drawn:
        return [
            candidate_load(rated.tracked.entry, rated.estimate, rated.expected_time)
            for rated in plan.drawn
        ]
    return [candidate_load(selected, view.estimate(selected, now))]
