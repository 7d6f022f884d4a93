"""A caller's request on its way to samplers, and a sampler's whole answer."""

from __future__ import annotations

import msgspec

from stileloom.http1.response_decoder import ResponseHead
from stileloom.quarantine.identity import identity_of


class Lookup(msgspec.Struct, frozen=True):
    """A request as the caller sent it."""

    request_id: str
    method: str
    target: str
    headers: list[tuple[str, str]]
    body: bytes
    arrived_at: float
    """Monotonic seconds."""
    deadline_at: float
    """Monotonic seconds: when the caller or the route gives up."""
    caller_address: str = ""
    """Where the request came from, for logs only."""

    def identity(self) -> str:
        """What stays the same when the caller sends it again; reads the whole body."""
        return identity_of(self.method, self.target, self.headers, self.body)


class LookupAnswer(msgspec.Struct, frozen=True):
    """A sampler's whole answer."""

    head: ResponseHead
    body: bytes
    failed_attempts: int = 0
    """Attempts that samplers answered with 500, where the answer is the last of these."""
