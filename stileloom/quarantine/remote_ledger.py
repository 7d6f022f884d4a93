"""A gateway's side of calls about suspects: through the client that finds the ledger's leader."""

from __future__ import annotations

from stileloom.errors import ErrorKind, StileloomError
from stileloom.jobs.client import JobClient
from stileloom.quarantine.messages import (
    QuarantineListed,
    QuarantineListing,
    ReportSuspectsCall,
    SamplerEnd,
    StartTrialCall,
    SuspectsReported,
    TrialAnswered,
    WatchQuarantineCall,
)

CALL_TIMEOUT_S = 2.0
"""A report or watch is asked again; this only bounds one round of finding the leader."""
TRIAL_TIMEOUT_S = 0.5
"""A caller waits for it: a held request is refused rather than kept waiting."""
NO_REQUEST = ""
"""These calls are the node's own: no caller waits for them but for a trial."""


class RemoteQuarantineLedger:
    """Implements `QuarantineLedger`."""

    def __init__(self, client: JobClient) -> None:
        self._client = client

    async def report(self, ends: list[SamplerEnd], answered: list[str]) -> int:
        """Records ends and good answers."""
        call = ReportSuspectsCall(ends, answered)
        reply = await self._client.call(call, NO_REQUEST, CALL_TIMEOUT_S)
        if not isinstance(reply, SuspectsReported):
            raise _unexpected(reply)
        return reply.revision

    async def watch(self, known_revision: int, wait_s: float) -> QuarantineListing | None:
        """The list once its revision is another one; None after the wait."""
        call = WatchQuarantineCall(known_revision, wait_s)
        reply = await self._client.call(call, NO_REQUEST, wait_s + CALL_TIMEOUT_S)
        if not isinstance(reply, QuarantineListed):
            raise _unexpected(reply)
        return reply.listing

    async def start_trial(self, identity: str) -> bool:
        """Whether a held request may run once more."""
        reply = await self._client.call(StartTrialCall(identity), NO_REQUEST, TRIAL_TIMEOUT_S)
        if not isinstance(reply, TrialAnswered):
            raise _unexpected(reply)
        return reply.granted


def _unexpected(reply: object) -> StileloomError:
    detail = f"the leader answered {type(reply).__name__} to a call about suspects"
    return StileloomError(ErrorKind.INTERNAL, detail)
