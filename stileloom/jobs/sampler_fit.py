"""Decides whether an item may run on a sampler, and names what prevents it. Performs no I/O."""

from __future__ import annotations

from collections.abc import Callable, Mapping

from stileloom.jobs.model_versions import SamplerModels
from stileloom.jobs.open_items import OpenItem, SamplerStats, WaitReason
from stileloom.proxy.sampler_table import SamplerTable, TrackedSampler

MAX_CACHE_FILL = 0.95
MAX_MEMORY_WAIT_S = 2.0
"""After this wait an item starts on a sampler with most slots free although the estimates leave no
memory for it. A sampler without memory preempts its newest run, which waits there."""


class SamplerFit:
    """Slots, memory, models and versions of samplers, compared with what items require."""

    def __init__(
        self,
        samplers: SamplerTable,
        stats: Callable[[str], SamplerStats],
        models_of: Callable[[str], SamplerModels],
        serves: Callable[[str, str], bool],
        cache_tokens: Mapping[str, float],
    ) -> None:
        """`cache_tokens` is the KV cache capacity of each sampler, by service."""
        self._samplers = samplers
        self._stats = stats
        self._models_of = models_of
        self._serves = serves
        self._cache_tokens = cache_tokens

    def can_run(self, open_item: OpenItem, sampler: TrackedSampler, now: float) -> bool:
        """Whether a run may start on a sampler now."""
        return (
            self.has_free_slot(sampler)
            and self.has_room(open_item, sampler, now)
            and self.accepts(open_item, sampler, now)
        )

    def has_free_slot(self, sampler: TrackedSampler) -> bool:
        """Whether a sampler has a slot that no run uses."""
        return self._stats(sampler.entry.sampler_id).running < sampler.entry.slots

    def has_room(self, open_item: OpenItem, sampler: TrackedSampler, now: float) -> bool:
        """Whether the runs of a sampler leave memory for the item, and permit another run."""
        stats = self._stats(sampler.entry.sampler_id)
        if not stats.running:
            return True
        # After a failure one run is a probe.
        if sampler.failures:
            return False
        waited_s = now - open_item.due_since if open_item.due_since is not None else 0.0
        if waited_s >= MAX_MEMORY_WAIT_S and 2 * stats.running < sampler.entry.slots:
            return True
        return stats.tokens + open_item.estimated_tokens <= self._memory_of(open_item)

    def accepts(self, open_item: OpenItem, sampler: TrackedSampler, now: float) -> bool:
        """Whether a sampler serves what the item requires, whatever runs there."""
        return self._mismatch(open_item, sampler, now) is None

    def _mismatch(
        self, open_item: OpenItem, sampler: TrackedSampler, now: float
    ) -> WaitReason | None:
        """Returns what the item requires and the sampler does not serve, or None."""
        sampler_id = sampler.entry.sampler_id
        if not self._serves(sampler_id, open_item.model):
            return WaitReason.OTHER_MODEL
        if now < self._stats(sampler_id).refused_until or sampler.avoid_until > now:
            # After a failure no run starts until the cooldown has passed.
            return WaitReason.AVOIDED
        models = self._models_of(sampler_id)
        if models.loading == open_item.model:
            return WaitReason.LOADING
        version = models.versions.get(open_item.model, 0)
        if version < open_item.min_version:
            return WaitReason.OLD_VERSION
        text_versions = open_item.partial.versions
        if open_item.single_version and text_versions and text_versions != [version]:
            return WaitReason.OTHER_VERSION
        return None

    def wait_reason(self, open_item: OpenItem, now: float) -> WaitReason:
        """Returns why an item has no run."""
        if now < open_item.not_before:
            return WaitReason.DELAYED
        order = list(WaitReason)
        reasons = [
            self._obstacle(open_item, sampler, now)
            for sampler in self._samplers.of_service(open_item.service)
        ]
        return max(reasons, key=order.index, default=WaitReason.NO_SAMPLER)

    def _obstacle(self, open_item: OpenItem, sampler: TrackedSampler, now: float) -> WaitReason:
        """Returns why an item does not start on a sampler."""
        mismatch = self._mismatch(open_item, sampler, now)
        if mismatch is not None:
            return mismatch
        if not self.has_free_slot(sampler):
            return WaitReason.NO_SLOT
        if not self.has_room(open_item, sampler, now):
            return WaitReason.PROBED if sampler.failures else WaitReason.NO_MEMORY
        return WaitReason.STARTING

    def free_slots(self, service: str) -> int:
        """Counts the slots of a service's samplers that no run uses."""
        return sum(
            max(0, sampler.entry.slots - self._stats(sampler.entry.sampler_id).running)
            for sampler in self._samplers.of_service(service)
        )

    def can_continue_text(self, open_item: OpenItem) -> bool:
        """Whether a listed sampler has the version of the item's text, whatever runs there."""
        versions = open_item.partial.versions
        return not versions or any(
            versions == [self._models_of(sampler.entry.sampler_id).versions.get(open_item.model, 0)]
            for sampler in self._samplers.of_service(open_item.service)
            if self._serves(sampler.entry.sampler_id, open_item.model)
        )

    def _memory_of(self, open_item: OpenItem) -> float:
        return self._cache_tokens.get(open_item.service, float("inf")) * MAX_CACHE_FILL
