"""What is decided about one lookup, collected until its response. Performs no I/O.

Handles surges and uneven samplers: for each lookup it keeps which sampler was selected by which
figures, so that the record describes the attempt that answered, also after hedges and repeats.
"""

from __future__ import annotations

import math

import msgspec

from stileloom.api.sampler_directory import SamplerEntry
from stileloom.decisions.records import CandidateLoad, DecisionKind, DecisionRecord
from stileloom.errors import Problem
from stileloom.load import LoadEstimate


class _Selection(msgspec.Struct, frozen=True):
    """The latest selection of a sampler."""

    sampler: str
    at: float
    candidates: list[CandidateLoad]


class LookupDecision(msgspec.Struct):
    """Decisions about one lookup. Parts that know more set the optional fields."""

    tenant: str = ""
    service: str = ""
    priority: int | None = None
    share: float | None = None
    """Number of the tenant's lookups in progress."""
    queue_position: int | None = None
    """Number of lookups ahead of it when it came to the admission queue."""
    attempts: int = 0
    answered_by: str = ""
    """The sampler whose response goes to the caller, once it is complete."""
    _selections: dict[str, _Selection] = msgspec.field(default_factory=dict)
    """Latest selection of each sampler, in the order of their first selection."""
    _last: _Selection | None = None

    def record_admission(self, share: float, queue_position: int) -> None:
        """Records the tenant's share and the lookups ahead when the lookup first came to a queue.

        Later waits of a lookup that found all samplers full are left out.
        """
        if self.queue_position is None:
            self.share = share
            self.queue_position = queue_position

    def record_selection(self, now: float, candidates: list[CandidateLoad]) -> None:
        """Records that the first of the candidates was selected for an attempt."""
        sampler = candidates[0].sampler
        self.attempts += 1
        self._last = self._selections[sampler] = _Selection(sampler, now, candidates)

    def answered(
        self, request_id: str, arrived_at: float, now: float, status: int | None
    ) -> DecisionRecord:
        """The record of a lookup that was answered; `status` is None for a stream."""
        is_aborted = status is None and not self.answered_by
        kind = DecisionKind.LOOKUP_ABORTED if is_aborted else DecisionKind.LOOKUP_ANSWERED
        selection = self._selections.get(self.answered_by, self._last)
        wait_s = selection.at - arrived_at if selection is not None else 0.0
        return self._record(
            kind, request_id, now, selection, wait_s, 200 if status is None else status
        )

    def refused(
        self, request_id: str, arrived_at: float, now: float, problem: Problem
    ) -> DecisionRecord:
        """The record of a lookup that was answered with an error of this system."""
        return self._record(
            DecisionKind.LOOKUP_REFUSED,
            request_id,
            now,
            self._last,
            now - arrived_at,
            problem.status,
            problem.code,
            problem.detail,
            problem.retry_after_s,
        )

    def _record(
        self,
        kind: DecisionKind,
        request_id: str,
        now: float,
        selection: _Selection | None,
        wait_s: float,
        status: int,
        reason: str = "",
        detail: str = "",
        retry_after_s: float | None = None,
    ) -> DecisionRecord:
        return DecisionRecord(
            kind=kind,
            request=request_id,
            tenant=self.tenant,
            service=self.service,
            priority=self.priority,
            share=self.share,
            queue_position=self.queue_position,
            wait_ms=round(wait_s * 1000),
            sampler=selection.sampler if selection is not None else "",
            attempts=self.attempts,
            status=status,
            reason=reason,
            detail=detail,
            retry_after_s=retry_after_s,
            at=now,
            candidates=selection.candidates if selection is not None else [],
        )


def candidate_load(
    entry: SamplerEntry, estimate: LoadEstimate, expected_time: float | None = None
) -> CandidateLoad:
    """The figures of a candidate; `expected_time` is in units of the usual work."""
    return CandidateLoad(
        entry.sampler_id,
        round(estimate.occupancy * 100),
        round(estimate.slowness * 100),
        None if math.isinf(estimate.age_s) else round(estimate.age_s * 1000),
        estimate.shared,
        None if expected_time is None else round(expected_time * 100),
    )
