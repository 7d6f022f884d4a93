"""The replicated record of requests under which samplers ended, and which of them are held.

Deterministic: it reads no clock. Times are the leader's wall time, as commands carry it.
"""

from __future__ import annotations

import msgspec

from stileloom.quarantine.messages import QuarantineListing, SamplerEnd, SuspectSummary

ENDS_ALONE = 3
"""So many ends under a request hold it, where no other request was under all of them. Two could
still be chance: a request that lost its sampler is sent to another one at once."""
ENDS_SHARED = 4
"""Of requests that were under the very same ends one at most is the cause. The next end tells
which, for one sampler more; until then nobody is refused."""
LISTED_FROM = 2
"""Ends from which other nodes are told: below, a request is treated as any other, and a crash
under two hundred requests makes no list of two hundred."""
SUSPECT_S = 600.0
"""An end counts so long. Samplers that end by themselves do so some times a day, so chance
rarely adds three within ten minutes."""
FIRST_HOLD_S = 120.0
"""After this a held request may run once more in the whole fleet, in case its cause is mended;
doubled with each such trial."""
MAX_HOLD_S = 3600.0
MOST_SUSPECTS = 10_000
"""Some 2 MB. Those that are held are never dropped for others."""


class Suspect(msgspec.Struct):
    """A request under which samplers ended, with no good answer since."""

    ends: dict[str, float] = msgspec.field(default_factory=dict)
    """When each incarnation of a sampler ended."""
    trials: int = 0
    tried_at_s: float = 0.0

    @property
    def hold_s(self) -> float:
        """Time from the newest end or trial to the next trial."""
        doublings = min(self.trials, 10)
        return min(MAX_HOLD_S, FIRST_HOLD_S * 2**doublings)

    @property
    def newest_s(self) -> float:
        """Time of the newest end or trial."""
        return max([self.tried_at_s, *self.ends.values()])

    @property
    def trial_at_s(self) -> float:
        """From when one more run is allowed, if it is held."""
        return self.newest_s + self.hold_s

    def expired(self, at_s: float) -> bool:
        """Whether nothing is held against it any more."""
        return at_s > self.newest_s + max(SUSPECT_S, 2 * self.hold_s)


class QuarantineBook(msgspec.Struct):
    """All suspects. Part of the ledger's state."""

    revision: int = 0
    """Raised by each change that other nodes have to hear of."""
    suspects: dict[str, Suspect] = msgspec.field(default_factory=dict)

    def record(self, ends: list[SamplerEnd], at_s: float) -> None:
        """Adds ends; a repeat changes nothing."""
        for end in ends:
            suspect = self.suspects.get(end.identity)
            if suspect is None:
                self._make_room()
                suspect = self.suspects.setdefault(end.identity, Suspect())
            elif not self.is_held(end.identity):
                suspect.ends = {
                    sampler: ended_at
                    for sampler, ended_at in suspect.ends.items()
                    if at_s <= ended_at + SUSPECT_S
                }
            if end.sampler in suspect.ends:
                continue
            suspect.ends[end.sampler] = at_s
            if len(suspect.ends) >= LISTED_FROM:
                self.revision += 1

    def clear(self, identities: list[str]) -> list[str]:
        """A good answer, or an operator's word: nothing is held against them. Returns the known."""
        cleared = [identity for identity in identities if identity in self.suspects]
        for identity in cleared:
            if len(self.suspects.pop(identity).ends) >= LISTED_FROM:
                self.revision += 1
        return cleared

    def start_trial(self, identity: str, at_s: float) -> bool:
        """Whether a held request may run once more now; the next trial is then put off."""
        suspect = self.suspects.get(identity)
        if suspect is None or not self.is_held(identity):
            return True
        if at_s < suspect.trial_at_s:
            return False
        suspect.trials += 1
        suspect.tried_at_s = at_s
        self.revision += 1
        return True

    def forget_expired(self, at_s: float) -> None:
        """Drops suspects against whom nothing is held any more."""
        for identity in self.expired(at_s):
            if len(self.suspects.pop(identity).ends) >= LISTED_FROM:
                self.revision += 1

    def expired(self, at_s: float) -> list[str]:
        """Suspects that may be dropped."""
        return [identity for identity, item in self.suspects.items() if item.expired(at_s)]

    def is_held(self, identity: str) -> bool:
        """Whether the request is refused everywhere.

        Where another request was under all the same ends and more, that one explains them.
        """
        suspect = self.suspects.get(identity)
        if suspect is None or len(suspect.ends) < ENDS_ALONE:
            return False
        own = suspect.ends.keys()
        shared_is_enough = len(own) >= ENDS_SHARED
        for other_identity, other in self.suspects.items():
            if other_identity == identity or len(other.ends) < len(own):
                continue
            if own <= other.ends.keys() and not (shared_is_enough and own == other.ends.keys()):
                return False
        return True

    def listing(self, at_s: float) -> QuarantineListing:
        """What other nodes have to know."""
        suspects = [
            SuspectSummary(
                identity,
                sorted(suspect.ends),
                self.is_held(identity),
                max(0.0, suspect.trial_at_s - at_s),
            )
            for identity, suspect in self.suspects.items()
            if len(suspect.ends) >= LISTED_FROM
        ]
        return QuarantineListing(self.revision, suspects)

    def _make_room(self) -> None:
        """Drops the oldest suspect that is not held, where there are too many."""
        if len(self.suspects) < MOST_SUSPECTS:
            return
        for identity, suspect in self.suspects.items():
            if len(suspect.ends) < ENDS_ALONE:
                del self.suspects[identity]
                return
