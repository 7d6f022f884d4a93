"""The platform's metadata store: linearizable, with revisions, lists, watches and history."""

from __future__ import annotations

import asyncio
import json
from typing import Any
from urllib.parse import parse_qs, unquote

from standins2.http import Request, Response, Server

PAGE = 50


class Store:
    """Objects by kind and name. `answer_delay_s` applies to each call of the system."""

    def __init__(self, answer_delay_s: float = 0.004) -> None:
        self.answer_delay_s = answer_delay_s
        self.address: tuple[str, int] = ("", 0)
        self._revision = 1
        self._objects: dict[tuple[str, str], dict[str, Any]] = {}
        self._history: list[tuple[int, str, dict[str, Any], bool]] = []
        self._changed = asyncio.Event()
        self._server = Server(self._handle)

    async def start(self, host: str) -> None:
        """Listens on a free port."""
        self.address = (host, await self._server.start(host, 0))

    def stop(self) -> None:
        """Ends the store."""
        self._server.stop()

    # Calls of the operator, the trainers and the samplers.

    def get(self, kind: str, name: str) -> dict[str, Any] | None:
        """An object or None."""
        return self._objects.get((kind, name))

    def put(self, kind: str, name: str, spec: Any) -> int:
        """Creates or replaces an object; returns the revision that acknowledges it."""
        current = self._objects.get((kind, name))
        if current is not None and current["spec"] == spec:
            return int(current["metadata"]["revision"])
        status = current["status"] if current is not None else None
        return self._write(kind, name, spec, status)

    def remove(self, kind: str, name: str) -> None:
        """Removes an object."""
        current = self._objects.pop((kind, name), None)
        if current is not None:
            self._revision += 1
            self._record(kind, current, gone=True)

    def _write(self, kind: str, name: str, spec: Any, status: Any) -> int:
        self._revision += 1
        metadata = {"name": name, "revision": self._revision, "finalizers": [], "deleting": False}
        written = {"metadata": metadata, "spec": spec, "status": status}
        self._objects[(kind, name)] = written
        self._record(kind, written, gone=False)
        return self._revision

    def _record(self, kind: str, changed: dict[str, Any], gone: bool) -> None:
        self._history.append((self._revision, kind, changed, gone))
        self._changed.set()
        self._changed = asyncio.Event()

    # Calls of the system.

    async def _handle(self, request: Request) -> Response:
        await asyncio.sleep(self.answer_delay_s)
        path, _, query_text = request.target.partition("?")
        query = {name: values[0] for name, values in parse_qs(query_text).items()}
        parts = [unquote(part) for part in path.split("/")[2:]]
        if request.method == "GET" and len(parts) == 1:
            if "watch" in query:
                return await self._watch(parts[0], query)
            return self._list(parts[0], query.get("afterRev", ""))
        if request.method == "GET":
            found = self.get(parts[0], parts[1])
            return _json(200, found) if found is not None else Response(404)
        body = json.loads(request.body)
        if request.method == "POST":
            name = body["metadata"]["name"]
            current = self.get(parts[0], name)
            if current is not None:
                return _json(409, current)
            self._write(parts[0], name, body.get("spec"), body.get("status"))
            return _json(201, self.get(parts[0], name))
        return self._replace(parts, body)

    def _replace(self, parts: list[str], body: dict[str, Any]) -> Response:
        kind, name = parts[0], parts[1]
        current = self.get(kind, name)
        if current is None:
            return Response(404)
        revision = body.get("metadata", {}).get("revision")
        if revision is not None and revision != current["metadata"]["revision"]:
            return _json(409, current)
        is_status = len(parts) == 3
        spec = current["spec"] if is_status else body.get("spec")
        status = body.get("status") if is_status else current["status"]
        if (spec, status) != (current["spec"], current["status"]):
            self._write(kind, name, spec, status)
        return _json(200, self.get(kind, name))

    def _list(self, kind: str, after: str) -> Response:
        names = sorted(name for found, name in self._objects if found == kind and name > after)
        page = [self._objects[(kind, name)] for name in names[:PAGE]]
        return _json(200, {"requests": page, "more": len(names) > PAGE, "at": self._revision})

    async def _watch(self, kind: str, query: dict[str, str]) -> Response:
        after = int(query["watch"])
        loop = asyncio.get_running_loop()
        ends_at = loop.time() + int(query.get("waitMs", "0")) / 1000.0
        while True:
            events = [
                {"object": changed, "gone": gone}
                for revision, found, changed, gone in self._history
                if revision > after and found == kind
            ]
            remaining_s = ends_at - loop.time()
            if events or remaining_s <= 0:
                return _json(200, {"events": events, "at": self._revision})
            changed = self._changed
            try:
                async with asyncio.timeout(remaining_s):
                    await changed.wait()
            except TimeoutError:
                continue


def _json(status: int, body: Any) -> Response:
    return Response(status, json.dumps(body).encode(), {"Content-Type": "application/json"})
