"""The platform's metadata store, kept in memory: objects with revisions, lists and watches."""

from __future__ import annotations

import asyncio
import copy
import json
from collections.abc import Callable
from typing import Any
from urllib.parse import parse_qs, unquote

from standins.web import Request, Response, serve

ANSWER_S = 0.004
Object = dict[str, Any]


class Store:
    """Objects by kind and name. All of its history stays available."""

    def __init__(self) -> None:
        self.revision = 0
        self.on_write: Callable[[str, str, Object], None] = lambda kind, name, stored: None
        """Called after a change that a process of the system made, before it is answered."""
        self._objects: dict[str, dict[str, Object]] = {}
        self._events: list[tuple[int, str, bool, Object]] = []
        self._changed = asyncio.Event()

    async def start(self, host: str, port: int) -> asyncio.Server:
        """Starts listening."""
        return await serve(host, port, self._handle)

    # Changes made by the operator, the trainers and the samplers.

    def put(self, kind: str, name: str, spec: Any) -> int:
        """Creates or replaces an object; returns the store's revision."""
        known = self._objects.get(kind, {}).get(name)
        if known is None:
            self._add(kind, name, spec)
        elif known["spec"] != spec:
            known["spec"] = spec
            self._record(kind, known)
        return self.revision

    def remove(self, kind: str, name: str) -> None:
        """Removes an object if it exists."""
        known = self._objects.get(kind, {}).pop(name, None)
        if known is not None:
            self._record(kind, known, gone=True)

    def get(self, kind: str, name: str) -> Object | None:
        """The object, or None."""
        return self._objects.get(kind, {}).get(name)

    def _add(self, kind: str, name: str, spec: Any) -> Object:
        metadata = {"name": name, "revision": 0, "made": 0, "finalizers": [], "deleting": False}
        created: Object = {"metadata": metadata, "spec": spec, "status": None}
        self._objects.setdefault(kind, {})[name] = created
        self._record(kind, created)
        return created

    def _record(self, kind: str, changed: Object, gone: bool = False) -> None:
        self.revision += 1
        changed["metadata"]["revision"] = self.revision
        self._events.append((self.revision, kind, gone, copy.deepcopy(changed)))
        self._changed.set()
        self._changed = asyncio.Event()

    # Calls.

    async def _handle(self, request: Request, *_: object) -> Response:
        await asyncio.sleep(ANSWER_S)
        path, _, query_text = request.target.partition("?")
        query = {name: values[0] for name, values in parse_qs(query_text).items()}
        parts = [unquote(part) for part in path.strip("/").split("/")]
        if len(parts) < 2 or parts[0] != "objects":
            return _answer(404, {})
        if request.method == "GET" and "watch" in query:
            return await self._watch(parts[1], int(query["watch"]), int(query.get("waitMs", "0")))
        if request.method == "GET" and len(parts) == 2:
            objects = [known for _, known in sorted(self._objects.get(parts[1], {}).items())]
            return _answer(200, {"requests": objects, "more": False, "at": self.revision})
        if request.method == "GET":
            known = self.get(parts[1], parts[2])
            return _answer(404, {}) if known is None else _answer(200, known)
        return self._write(request, parts)

    async def _watch(self, kind: str, after: int, wait_ms: int) -> Response:
        ends_at = asyncio.get_running_loop().time() + wait_ms / 1000.0
        while True:
            changed = self._changed
            events = [
                {"object": known, "gone": gone}
                for revision, of_kind, gone, known in self._events
                if revision > after and of_kind == kind
            ]
            left_s = ends_at - asyncio.get_running_loop().time()
            if events or left_s <= 0:
                return _answer(200, {"events": events, "at": max(after, self.revision)})
            try:
                async with asyncio.timeout(left_s):
                    await changed.wait()
            except TimeoutError:
                continue

    def _write(self, request: Request, parts: list[str]) -> Response:
        kind = parts[1]
        body = json.loads(request.body) if request.body else {}
        name = parts[2] if len(parts) > 2 else body["metadata"]["name"]
        known = self.get(kind, name)
        if request.method == "POST":
            if known is not None:
                return _answer(409, known)
            known = self._add(kind, name, body.get("spec"))
        elif known is None:
            return _answer(404, {})
        elif request.method == "DELETE":
            self.remove(kind, name)
        else:
            revision = body.get("metadata", {}).get("revision", 0)
            if revision and revision != known["metadata"]["revision"]:
                return _answer(409, known)
            field = "status" if parts[-1] == "status" and len(parts) == 4 else "spec"
            if known[field] != body.get(field):
                known[field] = body.get(field)
                self._record(kind, known)
        self.on_write(kind, name, known)
        return _answer(200, known)


def _answer(status: int, body: Any) -> Response:
    return Response(status, json.dumps(body).encode(), {"Content-Type": "application/json"})
