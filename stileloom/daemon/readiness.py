"""The readiness endpoint of a gateway."""

from __future__ import annotations

from collections.abc import Callable

from tornado.httpserver import HTTPServer
from tornado.httputil import HTTPHeaders, HTTPServerRequest, ResponseStartLine


def make_ready_server(is_ready: Callable[[], bool]) -> HTTPServer:
    """Creates a server that answers any request with 200 when ready and 503 otherwise."""

    def answer(request: HTTPServerRequest) -> None:
        ready = is_ready()
        start_line = ResponseStartLine("HTTP/1.1", 200 if ready else 503, "OK" if ready else "No")
        assert request.connection is not None
        request.connection.write_headers(start_line, HTTPHeaders({"Content-Length": "0"}))
        request.connection.finish()

    return HTTPServer(answer)
