"""Error kinds and their HTTP statuses, exit codes and default outcomes.

Every failure visible to a caller, trainer or operator is an `ErrorKind`. `ERROR_RESPONSES` maps
each kind to its HTTP status, command-line exit code, default outcome and `Retry-After` value.
Problem documents follow RFC 9457.
"""

from __future__ import annotations

import enum

import msgspec


class Outcome(enum.Enum):
    """Whether a request was executed, as far as is known."""

    COMPLETED = "completed"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


class ErrorKind(enum.Enum):
    """All error kinds; the value is the `code` member of the problem document."""

    BAD_REQUEST = "bad_request"
    UNAUTHENTICATED = "unauthenticated"
    BODY_TOO_LARGE = "body_too_large"
    UNKNOWN_SERVICE = "unknown_service"
    UNKNOWN_ROUND = "unknown_round"
    UNKNOWN_OBJECT = "unknown_object"
    UNKNOWN_ROUTE = "unknown_route"
    UNKNOWN_JOB = "unknown_job"
    DEADLINE_PASSED = "deadline_passed"
    KEY_REUSED = "key_reused"
    KEY_IN_USE = "key_in_use"
    CONFLICT = "conflict"
    POLICY_INVALID = "policy_invalid"
    OBJECT_INVALID = "object_invalid"
    SETTINGS_INVALID = "settings_invalid"
    REJECTED_BY_POLICY = "rejected_by_policy"
    OVERLOADED = "overloaded"
    RATE_LIMITED = "rate_limited"
    JOBS_FULL = "jobs_full"
    NO_SAMPLER = "no_sampler"
    DRAINING = "draining"
    NOT_READY = "not_ready"
    LEDGER_UNAVAILABLE = "ledger_unavailable"
    PLATFORM_UNAVAILABLE = "platform_unavailable"
    HISTORY_LOST = "history_lost"
    SAMPLER_FAILED = "sampler_failed"
    STALE_DELIVERIES = "stale_deliveries"
    QUARANTINED = "quarantined"
    PROMISE_BROKEN = "promise_broken"
    INTERNAL = "internal"


class ErrorResponse(msgspec.Struct, frozen=True):
    """HTTP and command-line representation of an error kind."""

    http_status: int
    exit_code: int
    outcome: Outcome
    """Default outcome, used unless the error states a more specific one."""
    retry_after_s: int | None
    """`Retry-After` in seconds; None if retrying cannot succeed."""
    title: str


ERROR_RESPONSES: dict[ErrorKind, ErrorResponse] = {
    ErrorKind.BAD_REQUEST: ErrorResponse(
        400, 2, Outcome.NOT_RUN, None, "The request is not well formed"
    ),
    ErrorKind.UNAUTHENTICATED: ErrorResponse(
        401, 2, Outcome.NOT_RUN, None, "The request has no valid API key"
    ),
    ErrorKind.BODY_TOO_LARGE: ErrorResponse(
        413, 2, Outcome.NOT_RUN, None, "The body is over the limit"
    ),
    ErrorKind.UNKNOWN_SERVICE: ErrorResponse(
        404, 3, Outcome.NOT_RUN, None, "No service has this name"
    ),
    ErrorKind.UNKNOWN_ROUND: ErrorResponse(404, 3, Outcome.NOT_RUN, None, "No round has this name"),
    ErrorKind.UNKNOWN_OBJECT: ErrorResponse(
        404, 3, Outcome.NOT_RUN, None, "No object has this name"
    ),
    ErrorKind.UNKNOWN_ROUTE: ErrorResponse(
        404, 3, Outcome.NOT_RUN, None, "No route matches the host and path"
    ),
    ErrorKind.UNKNOWN_JOB: ErrorResponse(404, 3, Outcome.NOT_RUN, None, "No job has this id"),
    ErrorKind.DEADLINE_PASSED: ErrorResponse(
        504, 4, Outcome.NOT_RUN, None, "The deadline has passed"
    ),
    ErrorKind.KEY_REUSED: ErrorResponse(
        422, 2, Outcome.NOT_RUN, None, "The idempotency key was used with another body"
    ),
    ErrorKind.KEY_IN_USE: ErrorResponse(
        409, 5, Outcome.UNKNOWN, None, "A request with this idempotency key was already admitted"
    ),
    ErrorKind.CONFLICT: ErrorResponse(409, 5, Outcome.NOT_RUN, None, "Another change came first"),
    ErrorKind.POLICY_INVALID: ErrorResponse(
        422, 6, Outcome.NOT_RUN, None, "The policy does not compile"
    ),
    ErrorKind.OBJECT_INVALID: ErrorResponse(
        422, 6, Outcome.NOT_RUN, None, "The object is not valid"
    ),
    ErrorKind.SETTINGS_INVALID: ErrorResponse(
        422, 2, Outcome.NOT_RUN, None, "The settings are not valid"
    ),
    ErrorKind.REJECTED_BY_POLICY: ErrorResponse(
        403, 7, Outcome.NOT_RUN, None, "A policy in force refuses the request"
    ),
    ErrorKind.OVERLOADED: ErrorResponse(
        503, 8, Outcome.NOT_RUN, 1, "The queue can not serve the request before its deadline"
    ),
    ErrorKind.RATE_LIMITED: ErrorResponse(
        429, 8, Outcome.NOT_RUN, 1, "The tenant is over its limit"
    ),
    ErrorKind.JOBS_FULL: ErrorResponse(
        503, 8, Outcome.NOT_RUN, 1, "The ledger nodes have no room for another job"
    ),
    ErrorKind.NO_SAMPLER: ErrorResponse(
        503, 8, Outcome.NOT_RUN, 2, "No sampler of the service can take the request"
    ),
    ErrorKind.DRAINING: ErrorResponse(503, 8, Outcome.NOT_RUN, 1, "This node is draining"),
    ErrorKind.NOT_READY: ErrorResponse(
        503, 8, Outcome.NOT_RUN, 2, "This node has not learned the configuration yet"
    ),
    ErrorKind.LEDGER_UNAVAILABLE: ErrorResponse(
        503, 9, Outcome.UNKNOWN, 2, "The ledger has no leader within reach"
    ),
    ErrorKind.PLATFORM_UNAVAILABLE: ErrorResponse(
        503, 9, Outcome.UNKNOWN, 5, "The object API did not answer"
    ),
    ErrorKind.HISTORY_LOST: ErrorResponse(
        410, 9, Outcome.NOT_RUN, None, "The store's history no longer reaches back so far"
    ),
    ErrorKind.SAMPLER_FAILED: ErrorResponse(
        502, 10, Outcome.UNKNOWN, 1, "The sampler failed while the request ran"
    ),
    ErrorKind.STALE_DELIVERIES: ErrorResponse(
        409, 5, Outcome.NOT_RUN, 1, "Unacknowledged deliveries would exceed the staleness bound"
    ),
    # 503 rather than 4xx: the request is well formed, and only a 503 guarantees that it was not and
    # will not be executed. Retries are rejected immediately.
    ErrorKind.QUARANTINED: ErrorResponse(
        503, 11, Outcome.NOT_RUN, None, "Samplers ended under this request: do not send it again"
    ),
    ErrorKind.PROMISE_BROKEN: ErrorResponse(
        500, 1, Outcome.UNKNOWN, None, "A run broke one of the promises"
    ),
    ErrorKind.INTERNAL: ErrorResponse(500, 70, Outcome.UNKNOWN, None, "An internal fault"),
}


class StileloomError(Exception):
    """Error with an `ErrorKind`, a detail message, an outcome and an optional retry delay."""

    def __init__(
        self,
        kind: ErrorKind,
        detail: str,
        outcome: Outcome | None = None,
        retry_after_s: float | None = None,
    ) -> None:
        super().__init__(f"{kind.value}: {detail}")
        response = ERROR_RESPONSES[kind]
        self.kind = kind
        self.detail = detail
        self.outcome = outcome if outcome is not None else response.outcome
        self.retry_after_s = retry_after_s if retry_after_s is not None else response.retry_after_s

    @property
    def response(self) -> ErrorResponse:
        """Entry of `ERROR_RESPONSES` for this kind."""
        return ERROR_RESPONSES[self.kind]


class Problem(msgspec.Struct, omit_defaults=True):
    """Problem document (RFC 9457) with the extension members `code` and `outcome`."""

    title: str
    status: int
    code: str
    outcome: str
    detail: str = ""
    retry_after_s: float | None = None
    type: str = "about:blank"


def problem_document(error: StileloomError) -> Problem:
    """Builds the problem document for an error."""
    return Problem(
        title=error.response.title,
        status=error.response.http_status,
        code=error.kind.value,
        outcome=error.outcome.value,
        detail=error.detail,
        retry_after_s=error.retry_after_s,
    )
