"""What one node knows of suspects: the fleet's list, and ends of its own on their way there."""

from __future__ import annotations

import collections

from stileloom.quarantine.book import ENDS_ALONE
from stileloom.quarantine.messages import QuarantineListing, SamplerEnd, SuspectSummary

MOST_PENDING = 4096
"""Ends that wait for the ledger, some 400 KB; more than all requests in flight at one gateway."""
MOST_ANSWERED = 4096
"""Good answers that are remembered, some 400 KB."""
ANSWERED_S = 60.0
"""A good answer so long ago still tells a popular request from a poison one, which has none."""


class QuarantineView:
    """No I/O; monotonic seconds."""

    def __init__(self) -> None:
        self._revision = -1
        self._listed: dict[str, SuspectSummary] = {}
        self._learned_at = 0.0
        self._pending: dict[str, dict[str, int | None]] = {}
        """Own ends by identity and sampler; with the revision from which a list covers them,
        None before the ledger has them."""
        self._answered: collections.OrderedDict[str, float] = collections.OrderedDict()

    @property
    def revision(self) -> int:
        """Revision of the list, -1 before the first one."""
        return self._revision

    @property
    def empty(self) -> bool:
        """Whether nothing is known against any request."""
        return not self._listed and not self._pending

    @property
    def held_count(self) -> int:
        """Listed requests that are refused."""
        return sum(summary.held for summary in self._listed.values())

    def learn(self, listing: QuarantineListing, now: float) -> list[str]:
        """Takes the leader's list; returns held requests that are innocent.

        A poison request never gets a good answer, so one that had one here lately is none. Each
        remembered answer is used once, for the case that it ends samplers only since then.
        """
        self._revision = listing.revision
        self._learned_at = now
        self._listed = {summary.identity: summary for summary in listing.suspects}
        for identity in list(self._pending):
            self._drop_covered(identity)
        return [
            identity
            for identity, summary in self._listed.items()
            if summary.held and self._answered_lately(identity, now)
        ]

    def _drop_covered(self, identity: str) -> None:
        rest = {
            sampler: covered_from
            for sampler, covered_from in self._pending.pop(identity).items()
            if covered_from is None or covered_from > self._revision
        }
        if rest:
            self._pending[identity] = rest

    def _answered_lately(self, identity: str, now: float) -> bool:
        answered_at = self._answered.pop(identity, None)
        return answered_at is not None and now <= answered_at + ANSWERED_S

    def ended(self, end: SamplerEnd) -> None:
        """This node saw a sampler end under a request."""
        if len(self._pending) >= MOST_PENDING and end.identity not in self._pending:
            self._pending.pop(next(iter(self._pending)))
        self._pending.setdefault(end.identity, {}).setdefault(end.sampler, None)
        self._answered.pop(end.identity, None)

    def reported(self, ends: list[SamplerEnd], revision: int) -> None:
        """The ledger has these ends; lists from `revision` on cover them."""
        for end in ends:
            samplers = self._pending.get(end.identity)
            if samplers is not None and end.sampler in samplers:
                samplers[end.sampler] = revision
                self._drop_covered(end.identity)

    def answered(self, identity: str, now: float) -> bool:
        """A good answer; True where something was known against the request."""
        self._answered[identity] = now
        self._answered.move_to_end(identity)
        if len(self._answered) > MOST_ANSWERED:
            self._answered.popitem(last=False)
        pending = self._pending.pop(identity, None)
        return pending is not None or identity in self._listed

    def ends_under(self, identity: str) -> set[str]:
        """Incarnations that are known to have ended under a request."""
        listed = self._listed.get(identity)
        ends = set(listed.ends) if listed is not None else set()
        return ends | self._pending.get(identity, {}).keys()

    def is_held(self, identity: str) -> bool:
        """Whether the request is refused.

        Own ends that the list does not cover count as well: the ledger may be out of reach.
        """
        listed = self._listed.get(identity)
        if listed is not None and listed.held:
            return True
        uncovered = identity in self._pending
        return uncovered and len(self.ends_under(identity)) >= ENDS_ALONE

    def trial_in_s(self, identity: str, now: float) -> float:
        """Time until a trial may be asked for; infinite where the list does not hold it."""
        listed = self._listed.get(identity)
        if listed is None or not listed.held:
            return float("inf")
        return max(0.0, listed.trial_in_s - (now - self._learned_at))
