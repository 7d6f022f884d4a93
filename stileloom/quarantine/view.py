"""Suspects as known to one node: the fleet's listing, and local crashes not yet covered by it."""

from __future__ import annotations

import collections

from stileloom.quarantine.book import CRASH_THRESHOLD
from stileloom.quarantine.messages import QuarantineListing, SamplerCrash, SuspectSummary

MAX_PENDING_IDENTITIES = 4096
"""Bounds memory to about 400 KB; exceeds the number of requests in flight at one gateway."""
MAX_REMEMBERED_SUCCESSES = 4096
"""Bounds memory to about 400 KB."""
SUCCESS_RETENTION_S = 60.0
"""How long a successful response counts as evidence that a request is not poison."""


class QuarantineView:
    """Suspects as known to one node. Performs no I/O; times are monotonic seconds."""

    def __init__(self) -> None:
        self._revision = -1
        self._listed: dict[str, SuspectSummary] = {}
        self._received_at = 0.0
        self._pending: dict[str, dict[str, int | None]] = {}
        """Local crashes by identity and sampler incarnation. The value is the listing revision from
        which on the registry has counted the crash, or None until the ledger has accepted it."""
        self._successes: collections.OrderedDict[str, float] = collections.OrderedDict()

    @property
    def revision(self) -> int:
        """Revision of the current listing; -1 before the first one."""
        return self._revision

    @property
    def has_no_suspects(self) -> bool:
        """Whether no request is a suspect."""
        return not self._listed and not self._pending

    @property
    def quarantined_count(self) -> int:
        """Number of listed requests that are quarantined."""
        return sum(summary.quarantined for summary in self._listed.values())

    def apply_listing(self, listing: QuarantineListing, now: float) -> list[str]:
        """Applies a listing; returns quarantined requests that recently succeeded at this node.

        A poison request never succeeds, so these are false positives. Each successful response is
        used only once: the request may have started to crash samplers after it.
        """
        self._revision = listing.revision
        self._received_at = now
        self._listed = {summary.identity: summary for summary in listing.suspects}
        for identity in list(self._pending):
            self._drop_covered(identity)
        return [
            identity
            for identity, summary in self._listed.items()
            if summary.quarantined and self._succeeded_recently(identity, now)
        ]

    def _drop_covered(self, identity: str) -> None:
        uncovered = {
            sampler: covered_from
            for sampler, covered_from in self._pending.pop(identity).items()
            if covered_from is None or covered_from > self._revision
        }
        if uncovered:
            self._pending[identity] = uncovered

    def _succeeded_recently(self, identity: str, now: float) -> bool:
        succeeded_at = self._successes.pop(identity, None)
        return succeeded_at is not None and now <= succeeded_at + SUCCESS_RETENTION_S

    def record_crash(self, crash: SamplerCrash) -> None:
        """Records a crash seen by this node."""
        if len(self._pending) >= MAX_PENDING_IDENTITIES and crash.identity not in self._pending:
            self._pending.pop(next(iter(self._pending)))
        self._pending.setdefault(crash.identity, {}).setdefault(crash.sampler, None)
        self._successes.pop(crash.identity, None)

    def mark_reported(self, crashes: list[SamplerCrash], revision: int) -> None:
        """Marks crashes as accepted by the ledger; listings from `revision` on count them."""
        for crash in crashes:
            samplers = self._pending.get(crash.identity)
            if samplers is not None and crash.sampler in samplers:
                samplers[crash.sampler] = revision
                self._drop_covered(crash.identity)

    def record_success(self, identity: str, now: float) -> bool:
        """Records a successful response; returns whether the request was a suspect."""
        self._successes[identity] = now
        self._successes.move_to_end(identity)
        if len(self._successes) > MAX_REMEMBERED_SUCCESSES:
            self._successes.popitem(last=False)
        pending = self._pending.pop(identity, None)
        return pending is not None or identity in self._listed

    def crashed_samplers(self, identity: str) -> set[str]:
        """Incarnations known to have crashed under a request."""
        listed = self._listed.get(identity)
        crashed = set(listed.crashes) if listed is not None else set()
        return crashed | self._pending.get(identity, {}).keys()

    def is_quarantined(self, identity: str) -> bool:
        """Whether the request is quarantined.

        Local crashes that the listing does not cover yet count as well, since the ledger may be
        unreachable.
        """
        listed = self._listed.get(identity)
        if listed is not None and listed.quarantined:
            return True
        has_uncovered_crashes = identity in self._pending
        return has_uncovered_crashes and len(self.crashed_samplers(identity)) >= CRASH_THRESHOLD

    def trial_in_s(self, identity: str, now: float) -> float:
        """Time until a trial may be requested; infinite if the request is not quarantined."""
        listed = self._listed.get(identity)
        if listed is None or not listed.quarantined:
            return float("inf")
        return max(0.0, listed.trial_in_s - (now - self._received_at))
