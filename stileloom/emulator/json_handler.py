"""What the stand-ins' HTTP handlers share."""

from __future__ import annotations

import msgspec
from tornado.web import RequestHandler


class JsonHandler(RequestHandler):
    """Answers JSON."""

    def answer(self, value: object, status: int = 200) -> None:
        """Ends with a JSON document."""
        self.set_status(status)
        self.set_header("Content-Type", "application/json")
        self.finish(msgspec.json.encode(value))
