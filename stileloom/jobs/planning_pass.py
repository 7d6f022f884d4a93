"""What one planning pass has already found out. Performs no I/O and reads no clock.

Answers loads with hundreds of samplers and thousands of open items: checking every pair of them in
each pass takes longer than the leader's lease, so the leader would lose its lease again and again.

A pass holds one moment. While it lasts, runs may start, so samplers only fill up, and no run ends.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterable

from stileloom.jobs.open_items import OpenItem
from stileloom.proxy.sampler_table import TrackedSampler

_Requirement = tuple[str, str, int, tuple[int, ...] | None]


class PlanningPass:
    """Samplers with a free slot by what items require of them, and runs by sampler."""

    def __init__(
        self,
        samplers_of: Callable[[str], list[TrackedSampler]],
        accepts: Callable[[OpenItem, TrackedSampler], bool],
        has_room: Callable[[OpenItem, TrackedSampler], bool],
        has_free_slot: Callable[[TrackedSampler], bool],
    ) -> None:
        """`accepts` ignores what starts change; `has_room` checks only that."""
        self.usable_by_waiting: set[str] | None = None
        """Samplers on which a waiting item could start; None until it is asked for."""
        self.open_by_job: Counter[str] | None = None
        """Number of items without a result, by job; None until it is asked for."""
        self._samplers_of = samplers_of
        self._accepts = accepts
        self._has_room = has_room
        self._has_free_slot = has_free_slot
        self._accepting: dict[_Requirement, list[TrackedSampler]] = {}
        self._with_free_slot: list[TrackedSampler] | None = None
        self._runs: dict[tuple[str, str], list[OpenItem]] | None = None

    def candidates(self, open_item: OpenItem) -> list[TrackedSampler]:
        """The samplers on which the item can start now."""
        requirement = _requirement(open_item)
        accepting = self._accepting.get(requirement)
        if accepting is None:
            accepting = [
                sampler
                for sampler in self._samplers_of(open_item.service)
                if self._has_free_slot(sampler) and self._accepts(open_item, sampler)
            ]
        else:
            accepting = [sampler for sampler in accepting if self._has_free_slot(sampler)]
        self._accepting[requirement] = accepting
        return [sampler for sampler in accepting if self._has_room(open_item, sampler)]

    def with_free_slot(self, samplers: Iterable[TrackedSampler]) -> list[TrackedSampler]:
        """Those of all samplers that have a free slot."""
        if self._with_free_slot is None:
            self._with_free_slot = [sampler for sampler in samplers if self._has_free_slot(sampler)]
        return self._with_free_slot

    def runs_on(self, sampler_id: str, model: str, items: Iterable[OpenItem]) -> list[OpenItem]:
        """The runs of a model on a sampler; `items` are all open items."""
        if self._runs is None:
            self._runs = {}
            for item in items:
                if item.run is not None:
                    self._runs.setdefault((item.run.sampler_id, item.model), []).append(item)
        return list(self._runs.get((sampler_id, model), ()))


def _requirement(open_item: OpenItem) -> _Requirement:
    """What a sampler must have to accept the item, apart from room."""
    versions = tuple(open_item.partial.versions) if open_item.single_version else None
    return (open_item.service, open_item.model, open_item.min_version, versions)
