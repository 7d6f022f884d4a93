"""Base class of the emulator's HTTP handlers."""

from __future__ import annotations

import msgspec
from tornado.web import RequestHandler


class JsonHandler(RequestHandler):
    """Request handler that responds with JSON."""

    def finish_json(self, value: object, status: int = 200) -> None:
        """Finishes the response with a JSON document."""
        self.set_status(status)
        self.set_header("Content-Type", "application/json")
        self.finish(msgspec.json.encode(value))
