"""What all handlers share: bodies with a limit, problem documents, the outcome header."""

from __future__ import annotations

from typing import TypeVar

import msgspec
from tornado.web import HTTPError, RequestHandler, stream_request_body

from stileloom.daemon.shell import Shell
from stileloom.errors import ErrorKind, StileloomError, problem_of
from stileloom.settings import NodeSettings

BodyType = TypeVar("BodyType")

DISCARD_FACTOR = 8
"""Of the limit: so much of an oversized body is read and dropped before the connection is cut."""


@stream_request_body
class ApiHandler(RequestHandler):
    """Base of all handlers."""

    def initialize(self, shell: Shell, node_settings: NodeSettings) -> None:
        """Takes what the application hands to each handler."""
        self.shell = shell
        self.node_settings = node_settings
        self._received = bytearray()
        self._too_large = False

    def prepare(self) -> None:
        """Allows a body to run over the limit, so that the caller gets an answer."""
        limit = self.node_settings.limits.max_body_bytes * DISCARD_FACTOR
        self.request.connection.set_max_body_size(limit)  # type: ignore[union-attr]
        trace_parent = self.request.headers.get("traceparent")
        if trace_parent is not None:
            self.set_header("traceparent", trace_parent)

    def data_received(self, chunk: bytes) -> None:
        """Collects the body up to the limit."""
        if len(self._received) + len(chunk) > self.node_settings.limits.max_body_bytes:
            self._too_large = True
            return
        self._received += chunk

    def body_as(self, kind: type[BodyType]) -> BodyType:
        """The body as a typed value.

        Raises `StileloomError`: BODY_TOO_LARGE, or BAD_REQUEST with the path of the fault.
        """
        if self._too_large:
            limit = self.node_settings.limits.max_body_bytes
            raise StileloomError(ErrorKind.BODY_TOO_LARGE, f"more than {limit} bytes")
        try:
            return msgspec.json.decode(bytes(self._received), type=kind)
        except msgspec.DecodeError as error:
            raise StileloomError(ErrorKind.BAD_REQUEST, str(error)) from error

    def number_argument(self, name: str, default: float | None = None) -> float:
        """A number from the query. Raises `StileloomError` (BAD_REQUEST)."""
        text = self.get_query_argument(name, None)
        if text is None and default is not None:
            return default
        try:
            return float(text if text is not None else "missing")
        except ValueError as error:
            raise StileloomError(ErrorKind.BAD_REQUEST, f"{name}: not a number") from error

    def answer(self, value: object, status: int = 200) -> None:
        """Ends with a JSON document."""
        self.set_status(status)
        self.set_header("Content-Type", "application/json")
        self.finish(msgspec.json.encode(value))

    def answer_error(self, error: StileloomError) -> None:
        """Ends with a problem document (RFC 9457)."""
        problem = problem_of(error)
        self.set_status(problem.status)
        self.set_header("Content-Type", "application/problem+json")
        self.set_header("X-Outcome", problem.outcome)
        if problem.retry_after_s is not None:
            # Whole seconds, rounded up: coming back earlier would be refused again.
            self.set_header("Retry-After", str(max(1, -int(-problem.retry_after_s // 1))))
        self.finish(msgspec.json.encode(problem))

    def write_error(self, status_code: int, **kwargs: object) -> None:
        """Turns whatever a handler raised into a problem document."""
        error = kwargs["exc_info"][1] if "exc_info" in kwargs else None  # type: ignore[index]
        if isinstance(error, StileloomError):
            self.answer_error(error)
        elif isinstance(error, HTTPError) and status_code < 500:
            self.answer_error(StileloomError(ErrorKind.BAD_REQUEST, error.reason or "not found"))
        else:
            self.answer_error(StileloomError(ErrorKind.INTERNAL, "see the node's log"))

    def log_exception(self, typ: object, value: object, tb: object) -> None:
        """Errors of the closed list are answers, not faults."""
        if not isinstance(value, StileloomError):
            super().log_exception(typ, value, tb)  # type: ignore[arg-type]


class NotFoundHandler(ApiHandler):
    """Any path that is not part of the interface."""

    def prepare(self) -> None:
        """Refuses."""
        raise StileloomError(ErrorKind.BAD_REQUEST, f"no such path: {self.request.path}")
