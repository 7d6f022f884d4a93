"""Serves metrics in the Prometheus text format, and decision records as JSON."""

from __future__ import annotations

from collections.abc import Callable

import msgspec
from prometheus_client import CollectorRegistry, generate_latest
from tornado.httpserver import HTTPServer
from tornado.httputil import HTTPHeaders, HTTPServerRequest, ResponseStartLine

from stileloom.clock import steady_time
from stileloom.daemon.descriptors import listen_plainly
from stileloom.decisions import DecisionLog
from stileloom.events import LogEvent
from stileloom.logging import EventLog

CONTENT_TYPE = "text/plain; version=0.0.4"
DECISIONS_PATH = "/decisions"


def start_metrics_server(
    registry: CollectorRegistry,
    host: str,
    port: int,
    log: EventLog,
    decisions: DecisionLog,
    listen: Callable[[HTTPServer, str, int], None] = listen_plainly,
) -> HTTPServer | None:
    """Starts a server of decision records; it answers requests for other paths with all metrics.

    If the port is unavailable, logs the error and returns None, so that the process still starts.
    """

    def answer(request: HTTPServerRequest) -> None:
        if request.path == DECISIONS_PATH:
            sought = request.query_arguments.get("request", [b""])[-1].decode("utf-8", "replace")
            body = msgspec.json.encode(decisions.page(sought, steady_time()))
            content_type = "application/json"
        else:
            body = generate_latest(registry)
            content_type = CONTENT_TYPE
        headers = HTTPHeaders({"Content-Length": str(len(body)), "Content-Type": content_type})
        assert request.connection is not None
        request.connection.write_headers(ResponseStartLine("HTTP/1.1", 200, "OK"), headers, body)
        request.connection.finish()

    server = HTTPServer(answer)
    try:
        listen(server, host, port)
    except OSError as error:
        fields: dict[str, object] = {"error": f"cannot serve metrics on port {port}: {error}"}
        log.emit(LogEvent.INTERNAL_FAULT, fields)
        return None
    return server
