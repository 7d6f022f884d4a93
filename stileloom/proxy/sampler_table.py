"""Samplers tracked by a node: the directory's listing combined with local observations.

The first indication that a sampler is draining is final for that incarnation: a directory that lags
may still list it as available. A later start under the same id is a new incarnation.
"""

from __future__ import annotations

import enum

import msgspec

from stileloom.api.sampler_directory import SamplerEntry

FAILURE_COOLDOWN_S = 1.5
"""How long a sampler is avoided after a failed attempt."""


class TrackedSampler(msgspec.Struct):
    """A listed sampler and this node's observations of it."""

    entry: SamplerEntry
    open_requests: int = 0
    avoid_until: float = 0.0
    failures: int = 0

    @property
    def free_slots(self) -> int:
        """Slots not used by this node."""
        return self.entry.slots - self.open_requests


class SamplerChange(enum.Enum):
    """What a new entry changed."""

    NONE = "none"
    DRAINING = "draining"
    """The sampler is draining."""
    RESTARTED = "started again"
    """A new process under the same id; observations of the earlier one were dropped."""


class SamplerTable:
    """Listed samplers that are not draining."""

    def __init__(self) -> None:
        self.has_listing = False
        self._tracked: dict[str, TrackedSampler] = {}
        self._latest_start_ms: dict[str, int] = {}
        """Latest start time by sampler id, in Unix milliseconds."""
        self._draining: set[str] = set()
        """Ids whose latest incarnation is draining."""

    def replace_all(self, entries: list[SamplerEntry]) -> list[str]:
        """Applies a complete listing; returns the ids removed, restarted or newly draining."""
        self.has_listing = True
        listed = {entry.sampler_id for entry in entries}
        changed = [sampler_id for sampler_id in self._tracked if sampler_id not in listed]
        for sampler_id in changed:
            self.remove(sampler_id)
        for entry in entries:
            if self.put(entry) is not SamplerChange.NONE:
                changed.append(entry.sampler_id)
        return changed

    def put(self, entry: SamplerEntry) -> SamplerChange:
        """Adds or updates a sampler; ignores entries of earlier incarnations."""
        sampler_id = entry.sampler_id
        latest_start_ms = self._latest_start_ms.get(sampler_id)
        if latest_start_ms is not None and entry.born_ms < latest_start_ms:
            return SamplerChange.NONE
        self._latest_start_ms[sampler_id] = entry.born_ms
        restarted = latest_start_ms is not None and entry.born_ms > latest_start_ms
        if restarted:
            self._draining.discard(sampler_id)
            self._tracked.pop(sampler_id, None)
        if entry.draining:
            already_draining = not self.mark_draining(sampler_id)
            return SamplerChange.NONE if already_draining else SamplerChange.DRAINING
        if sampler_id in self._draining:
            return SamplerChange.NONE
        tracked = self._tracked.get(sampler_id)
        if tracked is None:
            self._tracked[sampler_id] = TrackedSampler(entry)
        else:
            tracked.entry = entry
        return SamplerChange.RESTARTED if restarted else SamplerChange.NONE

    def mark_draining(self, sampler_id: str) -> bool:
        """Excludes this incarnation from new requests; returns whether that is new."""
        is_new = sampler_id not in self._draining
        self._draining.add(sampler_id)
        self._tracked.pop(sampler_id, None)
        return is_new

    def remove(self, sampler_id: str) -> None:
        """Removes a sampler that the directory no longer lists.

        It may be added again, since entries also expire while the directory is unavailable. Only
        draining is final.
        """
        self._tracked.pop(sampler_id, None)

    def get(self, sampler_id: str) -> TrackedSampler | None:
        """The sampler if it accepts requests, or None."""
        return self._tracked.get(sampler_id)

    def entry_of(self, sampler_id: str) -> SamplerEntry | None:
        """The entry of the sampler if it accepts requests, or None."""
        tracked = self._tracked.get(sampler_id)
        return tracked.entry if tracked is not None else None

    def entries_of_service(self, service: str) -> list[SamplerEntry]:
        """Entries of the samplers of a service that accept requests."""
        return [tracked.entry for tracked in self.of_service(service)]

    def all(self) -> list[TrackedSampler]:
        """All samplers that accept requests."""
        return list(self._tracked.values())

    def of_service(self, service: str) -> list[TrackedSampler]:
        """Samplers of a service that accept requests."""
        return [tracked for tracked in self._tracked.values() if tracked.entry.service == service]

    def responsive_incarnations(self, service: str) -> set[str]:
        """Incarnations of a service that have not failed since their last response to this node."""
        return {
            tracked.entry.incarnation
            for tracked in self.of_service(service)
            if not tracked.failures
        }

    def record_failure(self, sampler_id: str, now: float) -> None:
        """Records a failure: the sampler is avoided for a while."""
        tracked = self._tracked.get(sampler_id)
        if tracked is not None:
            tracked.failures += 1
            tracked.avoid_until = now + FAILURE_COOLDOWN_S

    def is_past_cooldown(self, sampler_id: str, now: float) -> bool:
        """Whether a sampler has failed since its last response, and may be tried again."""
        tracked = self._tracked.get(sampler_id)
        return tracked is not None and tracked.failures > 0 and now >= tracked.avoid_until

    def record_success(self, sampler_id: str) -> None:
        """Records a response: the sampler is no longer avoided."""
        tracked = self._tracked.get(sampler_id)
        if tracked is not None:
            tracked.failures = 0
            tracked.avoid_until = 0.0
