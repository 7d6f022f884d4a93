"""Operator endpoints: create, update and delete configuration objects by compare-and-swap."""

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
        """Returns the stored object."""
        self.send_json(await self._get_stored(_parse_kind(kind), name))

    async def put(self, kind: str, name: str) -> None:
        """Creates or updates an object; `If-Match` is the revision to replace."""
        spec = self.parse_body(dict)
        parsed = parse_spec(_parse_kind(kind), spec)
        if isinstance(parsed, Policy):
            check_policy(name, parsed)
        revision = await self.shell.object_api.write(
            kind, name, self._expected_revision(), self._change_id(), spec
        )
        self.send_json({"kind": kind, "name": name, "revision": revision, "state": "stored"})

    async def delete(self, kind: str, name: str) -> None:
        """Deletes an object."""
        _parse_kind(kind)
        revision = await self.shell.object_api.write(
            kind, name, self._expected_revision(), self._change_id(), None
        )
        self.send_json({"kind": kind, "name": name, "revision": revision, "state": "stored"})

    async def _get_stored(self, kind: ObjectKind, name: str) -> StoredObject:
        stored = await self.shell.object_api.get(kind.value, name)
        if stored is None:
            raise StileloomError(ErrorKind.UNKNOWN_OBJECT, f"{kind.value} {name!r}")
        return stored

    def _expected_revision(self) -> int | None:
        text = self.request.headers.get("If-Match")
        if text is None:
            return None
        if not text.isdecimal():
            raise StileloomError(ErrorKind.BAD_REQUEST, "If-Match: expected a revision")
        return int(text)

    def _change_id(self) -> str:
        """Returns the operator's change id, which makes retries idempotent, or a new one."""
        return self.request.headers.get("X-Change-Id", uuid.uuid4().hex)


class ObjectsHandler(ApiHandler):
    """`GET /v1/objects`."""

    async def get(self) -> None:
        """Lists all configuration objects."""
        listed = await self.shell.object_api.list()
        objects = [stored for stored in listed.objects if stored.kind in OBJECT_KINDS]
        self.send_json({"revision": listed.revision, "objects": objects})


def _parse_kind(text: str) -> ObjectKind:
    if text not in OBJECT_KINDS:
        known = ", ".join(OBJECT_KINDS)
        raise StileloomError(ErrorKind.UNKNOWN_OBJECT, f"kind {text!r}, expected one of {known}")
    return OBJECT_KINDS[text]
