"""Start budget: keeps samples within the staleness bound at their hand-over."""

from __future__ import annotations

from stileloom.ledger.state import RoundState


def start_budget(
    state: RoundState, staleness_bound: int, in_flight: int, wanted_until: int = 0
) -> int:
    """Returns the number of generations that may start now.

    Each version consumes `samples_per_step` samples, so a sample started at version v is
    handed over at most `staleness_bound` versions later if no more than

        (staleness_bound + 1) * samples_per_step

    samples are in flight, ready, or handed over since v was published.

    A trainer may take several steps per version. Slots up to offset `wanted_until`, which it
    already waits for, are always started.
    """
    budget = (staleness_bound + 1) * state.samples_per_step
    used = in_flight + len(state.ready) + state.handed_over_at_version
    wanted = wanted_until - state.next_offset - len(state.ready) - in_flight
    return max(0, budget - used, wanted)
