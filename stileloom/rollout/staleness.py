"""How many generations may start without growing too old before their hand-over."""

from __future__ import annotations

from stileloom.ledger.state import RoundState


def may_start_count(
    state: RoundState, staleness_bound: int, under_way: int, wanted_until: int = 0
) -> int:
    """Generations that may start now.

    A step consumes `samples_per_step` samples at each version, so a sample that starts now
    at version v is handed over at most `staleness_bound` versions later if no more than

        (staleness_bound + 1) * samples_per_step

    samples are under way, ready, or handed over since v was published.

    A trainer may take more steps than one on a version. What it already waits for, up to
    offset `wanted_until`, is always started: its samples are fresh when they are done.
    """
    budget = (staleness_bound + 1) * state.samples_per_step
    used = under_way + len(state.ready) + state.handed_over_at_version
    wanted = wanted_until - state.next_offset - len(state.ready) - under_way
    return max(0, budget - used, wanted)
