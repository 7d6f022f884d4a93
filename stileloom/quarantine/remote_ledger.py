"""A gateway's quarantine calls, sent to the ledger's leader through `JobClient`."""

from __future__ import annotations

from stileloom.errors import ErrorKind, StileloomError
from stileloom.jobs.client import JobClient
from stileloom.quarantine.messages import (
    QuarantineListed,
    QuarantineListing,
    ReportSuspectsCall,
    SamplerCrash,
    StartTrialCall,
    SuspectsReported,
    TrialAnswered,
    WatchQuarantineCall,
)

CALL_TIMEOUT_S = 2.0
"""Short, since reports and watches are retried; includes the search for the leader."""
TRIAL_TIMEOUT_S = 0.5
"""Short, since a caller is waiting; after a timeout its request is refused."""
NO_REQUEST_ID = ""
"""Quarantine calls carry no request id."""


class RemoteQuarantineLedger:
    """Implements `QuarantineLedger` by calls to the leader."""

    def __init__(self, client: JobClient) -> None:
        self._client = client

    async def report(self, crashes: list[SamplerCrash], succeeded: list[str]) -> int:
        """Records crashes and successful responses; returns the revision that covers them."""
        call = ReportSuspectsCall(crashes, succeeded)
        reply = await self._client.call(call, NO_REQUEST_ID, CALL_TIMEOUT_S)
        if not isinstance(reply, SuspectsReported):
            raise _unexpected_reply(reply)
        return reply.revision

    async def watch(self, known_revision: int, wait_s: float) -> QuarantineListing | None:
        """The listing once its revision differs from `known_revision`, or None after `wait_s`."""
        call = WatchQuarantineCall(known_revision, wait_s)
        reply = await self._client.call(call, NO_REQUEST_ID, wait_s + CALL_TIMEOUT_S)
        if not isinstance(reply, QuarantineListed):
            raise _unexpected_reply(reply)
        return reply.listing

    async def start_trial(self, identity: str) -> bool:
        """Requests a trial; returns whether the request may run."""
        reply = await self._client.call(StartTrialCall(identity), NO_REQUEST_ID, TRIAL_TIMEOUT_S)
        if not isinstance(reply, TrialAnswered):
            raise _unexpected_reply(reply)
        return reply.granted


def _unexpected_reply(reply: object) -> StileloomError:
    detail = f"unexpected reply of the ledger to a quarantine call: {type(reply).__name__}"
    return StileloomError(ErrorKind.INTERNAL, detail)
