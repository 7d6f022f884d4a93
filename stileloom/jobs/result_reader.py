"""Reads results at a gateway: what it has kept, and the rest from the ledger's leader."""

from __future__ import annotations

from typing import Protocol

from stileloom.errors import StileloomError
from stileloom.jobs.messages import JobReply, JobRequest, NoSuchJob, ReadResultsCall, ResultsRead
from stileloom.jobs.result_cache import ResultCache, fills_a_page, joined


class JobCaller(Protocol):
    """Whoever reaches the ledger's leader."""

    async def call(self, request: JobRequest, request_id: str, timeout_s: float) -> JobReply:
        """The leader's answer. Raises `StileloomError`."""


class ResultReader:
    """Reads of results at one gateway."""

    def __init__(self, jobs: JobCaller, cache: ResultCache, keeps: bool = True) -> None:
        self._jobs = jobs
        self._cache = cache
        self._keeps = keeps

    async def read(self, job_id: str, position: int, wait_s: float, timeout_s: float) -> JobReply:
        """Results from a position on; waits up to `wait_s` for the first.

        Raises `StileloomError` where nothing is kept and the leader can not be reached.
        """
        kept = self._cache.page(job_id, position)
        if kept is not None and fills_a_page(kept):
            return ResultsRead(kept)
        next_position = kept.next_position if kept is not None else position
        wait_s = 0.0 if kept is not None else wait_s
        call = ReadResultsCall(job_id, next_position, wait_s)
        try:
            reply = await self._jobs.call(call, job_id, timeout_s + wait_s)
        except StileloomError:
            if kept is None:
                raise
            return ResultsRead(kept)
        if isinstance(reply, NoSuchJob):
            self._cache.forget(job_id)
        if not isinstance(reply, ResultsRead):
            return reply
        if self._keeps:
            self._cache.keep(job_id, next_position, reply.page)
        return ResultsRead(joined(kept, reply.page))
