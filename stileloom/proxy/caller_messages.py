"""Requests of callers and the responses to them."""

from __future__ import annotations

import msgspec
from tornado.httputil import HTTPHeaders

from stileloom.api.routes import Route
from stileloom.decisions import LookupDecision
from stileloom.errors import ErrorKind, StileloomError
from stileloom.proxy.access_control import Caller

DEADLINE_MARGIN_S = 0.05
"""Requests end this long before the caller's deadline, so that the response arrives in time."""
MIN_TIMEOUT_S = 0.001


class CallerRequest(msgspec.Struct):
    """A complete request of a caller."""

    method: str
    target: str
    headers: HTTPHeaders
    body: bytes
    arrived_at: float
    """Monotonic seconds."""
    caller_address: str = ""

    @property
    def path(self) -> str:
        """The target without its query."""
        return self.target.partition("?")[0]

    @property
    def host(self) -> str:
        """The `Host` header."""
        return str(self.headers.get("Host", ""))

    def timeout_s(self, deadline_header: str, default_s: float) -> float:
        """How long the caller waits for a response. Raises `StileloomError` (BAD_REQUEST)."""
        text = self.headers.get(deadline_header, "")
        try:
            return max(0.0, float(text) / 1000.0) if text else default_s
        except ValueError as error:
            raise StileloomError(ErrorKind.BAD_REQUEST, "deadline is not a number") from error


class RequestContext(msgspec.Struct, frozen=True):
    """A request with what the active configuration says about it."""

    request: CallerRequest
    request_id: str
    route: Route
    caller: Caller
    revision: int
    """Version of the configuration that the route and the caller were taken from."""
    deadline_at: float
    """When the caller's or the route's timeout ends, in monotonic seconds."""
    decision: LookupDecision = msgspec.field(default_factory=LookupDecision)
    """What is decided about a lookup; not used for jobs."""


class CallerResponse(msgspec.Struct, frozen=True):
    """A response to the caller."""

    status: int
    reason: str
    headers: list[tuple[str, str]]
    body: bytes


def json_response(status: int, body: bytes) -> CallerResponse:
    """A successful response with a JSON body."""
    reason = "Accepted" if status == 202 else "OK"
    return CallerResponse(status, reason, [("Content-Type", "application/json")], body)
