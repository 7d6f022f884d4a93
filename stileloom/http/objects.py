"""Operators: submit, revise and withdraw objects, by compare-and-swap."""

from __future__ import annotations

import uuid

from stileloom.api.objects import ObjectKind, Policy, parse_spec
from stileloom.daemon.platform_client import StoredObject
from stileloom.errors import ErrorKind, StileloomError
from stileloom.http.base import ApiHandler
from stileloom.policy import check_policy

OBJECT_KINDS = {kind.value: kind for kind in ObjectKind}


class ObjectHandler(ApiHandler):
    """`GET`, `PUT`, `DELETE /v1/objects/{kind}/{name}`."""

    async def get(self, kind: str, name: str) -> None:
        """One object as it is stored."""
        self.answer(await self._stored(_kind(kind), name))

    async def put(self, kind: str, name: str) -> None:
        """Submits or revises an object; `If-Match` gives the revision it is based on."""
        spec = self.body_as(dict)
        parsed = parse_spec(_kind(kind), spec)
        if isinstance(parsed, Policy):
            check_policy(name, parsed)
        revision = await self.shell.object_api.write(
            kind, name, self._expected(), self._change_id(), spec
        )
        self.answer({"kind": kind, "name": name, "revision": revision, "state": "stored"})

    async def delete(self, kind: str, name: str) -> None:
        """Withdraws an object."""
        _kind(kind)
        revision = await self.shell.object_api.write(
            kind, name, self._expected(), self._change_id(), None
        )
        self.answer({"kind": kind, "name": name, "revision": revision, "state": "stored"})

    async def _stored(self, kind: ObjectKind, name: str) -> StoredObject:
        stored = await self.shell.object_api.get(kind.value, name)
        if stored is None:
            raise StileloomError(ErrorKind.UNKNOWN_OBJECT, f"{kind.value} {name!r}")
        return stored

    def _expected(self) -> int | None:
        text = self.request.headers.get("If-Match")
        if text is None:
            return None
        if not text.isdecimal():
            raise StileloomError(ErrorKind.BAD_REQUEST, "If-Match: expected a revision")
        return int(text)

    def _change_id(self) -> str:
        """The operator's own id makes a repeat of the same change recognisable."""
        return self.request.headers.get("X-Change-Id", uuid.uuid4().hex)


class ObjectsHandler(ApiHandler):
    """`GET /v1/objects`."""

    async def get(self) -> None:
        """All objects that are configuration."""
        listed = await self.shell.object_api.list()
        objects = [stored for stored in listed.objects if stored.kind in OBJECT_KINDS]
        self.answer({"revision": listed.revision, "objects": objects})


def _kind(text: str) -> ObjectKind:
    if text not in OBJECT_KINDS:
        known = ", ".join(OBJECT_KINDS)
        raise StileloomError(ErrorKind.UNKNOWN_OBJECT, f"kind {text!r}, expected one of {known}")
    return OBJECT_KINDS[text]
