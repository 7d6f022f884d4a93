"""Base handler: body size limit, JSON responses, problem documents, the outcome header."""

from __future__ import annotations

from typing import TypeVar

import msgspec
from tornado.web import HTTPError, RequestHandler, stream_request_body

from stileloom.daemon.shell import Shell
from stileloom.errors import ErrorKind, StileloomError, problem_document
from stileloom.settings import NodeSettings

BodyType = TypeVar("BodyType")

DISCARD_FACTOR = 8
"""Multiple of the size limit up to which an oversized body is read and discarded."""


@stream_request_body
class ApiHandler(RequestHandler):
    """Base of all handlers."""

    def initialize(self, shell: Shell, node_settings: NodeSettings) -> None:
        """Implements `RequestHandler`."""
        self.shell = shell
        self.node_settings = node_settings
        self._body = bytearray()
        self._body_too_large = False

    def prepare(self) -> None:
        """Accepts bodies beyond the limit, so that the client receives an error response."""
        limit = self.node_settings.limits.max_body_bytes * DISCARD_FACTOR
        self.request.connection.set_max_body_size(limit)  # type: ignore[union-attr]
        traceparent = self.request.headers.get("traceparent")
        if traceparent is not None:
            self.set_header("traceparent", traceparent)

    def data_received(self, chunk: bytes) -> None:
        """Buffers the body up to the limit."""
        if len(self._body) + len(chunk) > self.node_settings.limits.max_body_bytes:
            self._body_too_large = True
            return
        self._body += chunk

    def parse_body(self, body_type: type[BodyType]) -> BodyType:
        """Decodes the body.

        Raises `StileloomError`: BODY_TOO_LARGE, or BAD_REQUEST with the path of the invalid value.
        """
        if self._body_too_large:
            limit = self.node_settings.limits.max_body_bytes
            raise StileloomError(ErrorKind.BODY_TOO_LARGE, f"more than {limit} bytes")
        try:
            return msgspec.json.decode(bytes(self._body), type=body_type)
        except msgspec.DecodeError as error:
            raise StileloomError(ErrorKind.BAD_REQUEST, str(error)) from error

    def number_argument(self, name: str, default: float | None = None) -> float:
        """Returns a numeric query argument. Raises `StileloomError` (BAD_REQUEST)."""
        text = self.get_query_argument(name, None)
        if text is None and default is not None:
            return default
        try:
            return float(text if text is not None else "missing")
        except ValueError as error:
            raise StileloomError(ErrorKind.BAD_REQUEST, f"{name}: not a number") from error

    def send_json(self, value: object, status: int = 200) -> None:
        """Finishes the response with a JSON document."""
        self.set_status(status)
        self.set_header("Content-Type", "application/json")
        self.finish(msgspec.json.encode(value))

    def send_problem(self, error: StileloomError) -> None:
        """Finishes the response with a problem document (RFC 9457)."""
        problem = problem_document(error)
        self.set_status(problem.status)
        self.set_header("Content-Type", "application/problem+json")
        self.set_header("X-Outcome", problem.outcome)
        if problem.retry_after_s is not None:
            # Rounded up to whole seconds: an earlier retry would be rejected again.
            self.set_header("Retry-After", str(max(1, -int(-problem.retry_after_s // 1))))
        self.finish(msgspec.json.encode(problem))

    def write_error(self, status_code: int, **kwargs: object) -> None:
        """Sends a problem document for any exception raised by a handler."""
        error = kwargs["exc_info"][1] if "exc_info" in kwargs else None  # type: ignore[index]
        if isinstance(error, StileloomError):
            self.send_problem(error)
        elif isinstance(error, HTTPError) and status_code < 500:
            self.send_problem(StileloomError(ErrorKind.BAD_REQUEST, error.reason or "not found"))
        else:
            self.send_problem(StileloomError(ErrorKind.INTERNAL, "see the node's log"))

    def log_exception(self, typ: object, value: object, tb: object) -> None:
        """Does not log `StileloomError`, which is a regular response."""
        if not isinstance(value, StileloomError):
            super().log_exception(typ, value, tb)  # type: ignore[arg-type]


class NotFoundHandler(ApiHandler):
    """Handles all unknown paths."""

    def prepare(self) -> None:
        """Rejects the request."""
        raise StileloomError(ErrorKind.BAD_REQUEST, f"no such path: {self.request.path}")
