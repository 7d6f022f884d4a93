"""Times of a gateway's drain, from the signal to stop until the process is killed.

Performs no I/O and reads no clock. Times are monotonic seconds.
"""

from __future__ import annotations

import msgspec

MAX_NOTICE_S = 2.5
"""Load balancers that ask each second have taken a gateway out after two answers."""
MAX_NOTICE_SHARE = 0.4
"""Of the grace; a short one must leave time for the requests that were accepted."""
CLOSING_SHARE = 1 / 16
"""Of the grace, for the last answers and the end of the process. Requests run on in the last sixth
of the grace, in which a sampler that is still at work excuses a missing answer."""


class DrainSchedule(msgspec.Struct, frozen=True):
    """When a draining gateway stops which work."""

    refuse_at: float
    """From then on all new requests are refused: those that are accepted until then come from
    callers whose load balancer does not know yet that the gateway stops."""
    cut_at: float
    """Requests without an answer get their last one: that their outcome is unknown."""
    killed_at: float
    """End of the grace, at which the process is killed."""

    @classmethod
    def of_grace(cls, stopped_at: float, grace_s: float) -> DrainSchedule:
        """The schedule of a gateway that is stopped at this time, with this grace."""
        return cls(
            stopped_at + min(MAX_NOTICE_S, MAX_NOTICE_SHARE * grace_s),
            stopped_at + (1.0 - CLOSING_SHARE) * grace_s,
            stopped_at + grace_s,
        )
