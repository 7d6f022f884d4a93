"""Start budget: keeps samples within the staleness bound at their hand-over."""

from __future__ import annotations

from stileloom.ledger.state import RoundState


def start_budget(
    state: RoundState, staleness_bound: int, in_flight: int, requested_until: int = 0
) -> int:
    """Returns the number of generations that may start now.

    Each version consumes `samples_per_step` samples, so a sample started at version v is
    handed over at most `staleness_bound` versions later if no more than

        (staleness_bound + 1) * samples_per_step

    samples are in flight, ready, or handed over since v was published.

    If a trainer takes several steps per version, this budget may not cover the samples that it
    waits for. Those up to offset `requested_until` are always started.
    """
    budget = (staleness_bound + 1) * state.samples_per_step
    used = in_flight + len(state.ready) + state.handed_over_at_version
    requested = requested_until - state.next_offset - len(state.ready) - in_flight
    return max(0, budget - used, requested)
