"""Replicated registry of requests under which samplers crashed; decides which are quarantined.

Deterministic: it reads no clock. Times are the leader's wall-clock time, carried by the commands.
"""

from __future__ import annotations

import msgspec

from stileloom.quarantine.messages import QuarantineListing, SamplerCrash, SuspectSummary

CRASH_THRESHOLD = 3
"""Crashes after which a request is quarantined if no other request was running during all of them.
Two may be a coincidence, since a request whose sampler crashed is retried on another one at once.
"""
SHARED_CRASH_THRESHOLD = 4
"""Crashes after which requests that share all of their crashes are quarantined together. At most
one of them is the cause; below this threshold none is refused, since the next crash is likely to
tell them apart."""
MIN_PUBLISHED_CRASHES = 2
"""Crashes after which a suspect is published to other nodes. Publishing after a single crash would
list every request that was running on the sampler, possibly hundreds."""
CRASH_RETENTION_S = 600.0
"""How long a crash counts against a request that is not quarantined. Samplers crash by themselves a
few times a day, so chance rarely adds three within this time."""
INITIAL_QUARANTINE_S = 120.0
"""Delay until a quarantined request is granted a trial, one run in the whole fleet, in case the
cause has been fixed. Doubles with each trial."""
MAX_QUARANTINE_S = 3600.0
MAX_SUSPECTS = 10_000
"""Bounds memory to about 2 MB. Only requests below the quarantine threshold are evicted."""


class Suspect(msgspec.Struct):
    """A request under which samplers crashed, without a successful response since."""

    ends: dict[str, float] = msgspec.field(default_factory=dict)
    """Times of the crashes by sampler incarnation."""
    trials: int = 0
    tried_at_s: float = 0.0

    @property
    def quarantine_s(self) -> float:
        """Delay from the latest crash or trial to the next trial."""
        doublings = min(self.trials, 10)
        return min(MAX_QUARANTINE_S, INITIAL_QUARANTINE_S * 2**doublings)

    @property
    def last_event_at_s(self) -> float:
        """Time of the latest crash or trial."""
        return max([self.tried_at_s, *self.ends.values()])

    @property
    def next_trial_at_s(self) -> float:
        """Earliest time of the next trial of a quarantined request."""
        return self.last_event_at_s + self.quarantine_s

    def is_expired(self, at_s: float) -> bool:
        """Whether the latest crash or trial is old enough to remove the suspect."""
        return at_s > self.last_event_at_s + max(CRASH_RETENTION_S, 2 * self.quarantine_s)


class QuarantineRegistry(msgspec.Struct):
    """All suspects; part of the ledger's state."""

    revision: int = 0
    """Incremented by each change that other nodes must receive."""
    suspects: dict[str, Suspect] = msgspec.field(default_factory=dict)

    def record(self, crashes: list[SamplerCrash], at_s: float) -> None:
        """Records crashes; idempotent."""
        for crash in crashes:
            suspect = self.suspects.get(crash.identity)
            if suspect is None:
                self._evict_oldest_if_full()
                suspect = self.suspects.setdefault(crash.identity, Suspect())
            elif not self.is_quarantined(crash.identity):
                suspect.ends = {
                    sampler: crashed_at
                    for sampler, crashed_at in suspect.ends.items()
                    if at_s <= crashed_at + CRASH_RETENTION_S
                }
            if crash.sampler in suspect.ends:
                continue
            suspect.ends[crash.sampler] = at_s
            if len(suspect.ends) >= MIN_PUBLISHED_CRASHES:
                self.revision += 1

    def clear(self, identities: list[str]) -> list[str]:
        """Clears suspects after a successful response or release; returns the known ones."""
        cleared = [identity for identity in dict.fromkeys(identities) if identity in self.suspects]
        for identity in cleared:
            if len(self.suspects.pop(identity).ends) >= MIN_PUBLISHED_CRASHES:
                self.revision += 1
        return cleared

    def start_trial(self, identity: str, at_s: float) -> bool:
        """Whether the request may run. A trial of a quarantined request postpones the next one."""
        suspect = self.suspects.get(identity)
        if suspect is None or not self.is_quarantined(identity):
            return True
        if at_s < suspect.next_trial_at_s:
            return False
        suspect.trials += 1
        suspect.tried_at_s = at_s
        self.revision += 1
        return True

    def remove_expired(self, at_s: float) -> None:
        """Removes expired suspects."""
        for identity in self.expired_identities(at_s):
            if len(self.suspects.pop(identity).ends) >= MIN_PUBLISHED_CRASHES:
                self.revision += 1

    def expired_identities(self, at_s: float) -> list[str]:
        """Identities of the expired suspects."""
        return [identity for identity, suspect in self.suspects.items() if suspect.is_expired(at_s)]

    def is_quarantined(self, identity: str) -> bool:
        """Whether all nodes refuse the request.

        Another request that was running during all of the same crashes may be their cause, so it
        prevents the quarantine. From `SHARED_CRASH_THRESHOLD` crashes on, it does so only if it
        was also running during a further crash.
        """
        suspect = self.suspects.get(identity)
        if suspect is None or len(suspect.ends) < CRASH_THRESHOLD:
            return False
        own_crashes = suspect.ends.keys()
        quarantine_shared = len(own_crashes) >= SHARED_CRASH_THRESHOLD
        for other_identity, other in self.suspects.items():
            if other_identity == identity or len(other.ends) < len(own_crashes):
                continue
            if own_crashes <= other.ends.keys() and not (
                quarantine_shared and own_crashes == other.ends.keys()
            ):
                return False
        return True

    def listing(self, at_s: float) -> QuarantineListing:
        """The suspects to publish to other nodes."""
        suspects = [
            SuspectSummary(
                identity,
                sorted(suspect.ends),
                self.is_quarantined(identity),
                max(0.0, suspect.next_trial_at_s - at_s),
            )
            for identity, suspect in self.suspects.items()
            if len(suspect.ends) >= MIN_PUBLISHED_CRASHES
        ]
        return QuarantineListing(self.revision, suspects)

    def _evict_oldest_if_full(self) -> None:
        """Evicts the oldest suspect below the quarantine threshold when the registry is full."""
        if len(self.suspects) < MAX_SUSPECTS:
            return
        for identity, suspect in self.suspects.items():
            if len(suspect.ends) < CRASH_THRESHOLD:
                del self.suspects[identity]
                return
