"""`GET /metrics`: counters and histograms as Prometheus text."""

from __future__ import annotations

from prometheus_client import CollectorRegistry, generate_latest
from tornado.httpserver import HTTPServer
from tornado.httputil import HTTPHeaders, HTTPServerRequest, ResponseStartLine

CONTENT_TYPE = "text/plain; version=0.0.4"


def make_metrics_server(registry: CollectorRegistry) -> HTTPServer:
    """Answers any request with all metrics."""

    def answer(request: HTTPServerRequest) -> None:
        body = generate_latest(registry)
        headers = HTTPHeaders({"Content-Length": str(len(body)), "Content-Type": CONTENT_TYPE})
        assert request.connection is not None
        request.connection.write_headers(ResponseStartLine("HTTP/1.1", 200, "OK"), headers, body)
        request.connection.finish()

    return HTTPServer(answer)
