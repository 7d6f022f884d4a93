"""The order in which waiting items start. Performs no I/O and reads no clock.

Answers a load in which steps overlap and have more items than the samplers have slots. A step ends
with its longest items, whose lengths have a heavy tail, and the trainer waits for it: if the items
of an earlier step all went first, the longest items of the next step would start late and hold it
up, although the short items of the earlier step could have waited without harm.

So items start in the order of their latest start: the deadline less the time that the rest of the
text takes. Among items of one job this is the longest first.
"""

from __future__ import annotations

from stileloom.jobs.open_items import OpenItem

REMAINING_TO_GENERATED_RATIO = 0.5
"""Minimum estimate of the remaining output, as a fraction of the generated one. Lengths have heavy
tails: what is longer than expected goes on for about half as long, within its limit."""


def remaining_events(item: OpenItem) -> float:
    """Estimates how many events the rest of an item's text has."""
    generated = len(item.partial.parts)
    expected = item.expected_tokens / item.tokens_per_event
    most = max(0.0, item.max_tokens / item.tokens_per_event - generated)
    return min(most, max(expected - generated, generated * REMAINING_TO_GENERATED_RATIO))


def latest_start(item: OpenItem, interval_s: float) -> float:
    """Monotonic time at which an item has to start to end at its deadline.

    `interval_s` is the time between two events on a fast sampler.
    """
    return item.deadline - remaining_events(item) * interval_s


def start_order(items: list[OpenItem], interval_s: float) -> list[OpenItem]:
    """Sorts items; those that an earlier job contained already come first."""
    return sorted(items, key=lambda item: (not item.reused, latest_start(item, interval_s)))
