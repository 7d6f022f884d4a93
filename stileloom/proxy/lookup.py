"""A caller's request that is forwarded to samplers, and a sampler's complete response."""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from stileloom.api.routes import DEFAULT_PRIORITY
from stileloom.decisions import LookupDecision
from stileloom.http1.response_decoder import ResponseHead
from stileloom.quarantine.identity import identity_of


class Lookup(msgspec.Struct, frozen=True):
    """A request as received from the caller."""

    request_id: str
    method: str
    target: str
    headers: list[tuple[str, str]]
    body: bytes
    arrived_at: float
    """Monotonic seconds."""
    deadline_at: float
    """When the caller's or the route's timeout ends, in monotonic seconds."""
    tenant: str = ""
    """The tenant on whose behalf it runs; empty if it is anonymous."""
    priority: int = DEFAULT_PRIORITY
    """The tenant's priority, or that of the route if the tenant has none; 0 is the most urgent."""
    caller_address: str = ""
    """The caller's network address, for logs only."""
    check_send: Callable[[], None] = lambda: None
    """Called right before each attempt is sent; the `StileloomError` it raises ends the lookup."""
    decision: LookupDecision = msgspec.field(default_factory=LookupDecision)
    """What is decided about it, for its decision record."""

    def identity(self) -> str:
        """Digest that is equal for all retries of the request; hashes the complete body."""
        return identity_of(self.method, self.target, self.headers, self.body, self.tenant)


class LookupResponse(msgspec.Struct, frozen=True):
    """A sampler's complete response."""

    head: ResponseHead
    body: bytes
    failed_attempts: int = 0
    """For an error response: the number of attempts that got status 500. Otherwise 0."""
