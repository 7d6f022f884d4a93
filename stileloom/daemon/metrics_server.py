"""Serves metrics in the Prometheus text format."""

from __future__ import annotations

from collections.abc import Callable

from prometheus_client import CollectorRegistry, generate_latest
from tornado.httpserver import HTTPServer
from tornado.httputil import HTTPHeaders, HTTPServerRequest, ResponseStartLine

from stileloom.daemon.descriptors import listen_plainly
from stileloom.events import LogEvent
from stileloom.logging import EventLog

CONTENT_TYPE = "text/plain; version=0.0.4"


def start_metrics_server(
    registry: CollectorRegistry,
    host: str,
    port: int,
    log: EventLog,
    listen: Callable[[HTTPServer, str, int], None] = listen_plainly,
) -> HTTPServer | None:
    """Starts a server that answers any request with all metrics.

    If the port is unavailable, logs the error and returns None, so that the process still starts.
    """

    def answer(request: HTTPServerRequest) -> None:
        body = generate_latest(registry)
        headers = HTTPHeaders({"Content-Length": str(len(body)), "Content-Type": CONTENT_TYPE})
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
