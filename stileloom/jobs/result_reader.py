"""Reads results from a gateway's cache and the rest from the ledger's leader."""

from __future__ import annotations

from typing import Protocol

from stileloom.errors import StileloomError
from stileloom.jobs.messages import JobReply, JobRequest, NoSuchJob, ReadResultsCall, ResultsRead
from stileloom.jobs.result_cache import ResultCache, concatenate, is_full_or_last


class JobCaller(Protocol):
    """Sends calls to the ledger's leader."""

    async def call(self, request: JobRequest, request_id: str, timeout_s: float) -> JobReply:
        """Returns the leader's answer. Raises `StileloomError`."""


class ResultReader:
    """Reads results for the callers of one gateway."""

    def __init__(self, client: JobCaller, cache: ResultCache, cache_results: bool = True) -> None:
        self._client = client
        self._cache = cache
        self._cache_results = cache_results

    async def read(self, job_id: str, position: int, wait_s: float, timeout_s: float) -> JobReply:
        """Reads results from a position; waits up to `wait_s` for the first one.

        Raises `StileloomError` if no result is cached and the leader cannot be reached.
        """
        cached = self._cache.page(job_id, position)
        if cached is not None and is_full_or_last(cached):
            return ResultsRead(cached)
        next_position = cached.next_position if cached is not None else position
        wait_s = 0.0 if cached is not None else wait_s
        call = ReadResultsCall(job_id, next_position, wait_s)
        try:
            reply = await self._client.call(call, job_id, timeout_s + wait_s)
        except StileloomError:
            if cached is None:
                raise
            return ResultsRead(cached)
        if isinstance(reply, NoSuchJob):
            self._cache.remove(job_id)
        if not isinstance(reply, ResultsRead):
            return reply
        if self._cache_results:
            self._cache.put(job_id, next_position, reply.page)
        return ResultsRead(concatenate(cached, reply.page))
