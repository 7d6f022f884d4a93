"""Clients of the platform's object API and machine list."""

from __future__ import annotations

import asyncio

import msgspec
from tornado.httpclient import AsyncHTTPClient, HTTPClientError, HTTPRequest, HTTPResponse

from stileloom.api.objects import Configuration, Machine, ObjectKind, parse_spec
from stileloom.errors import ErrorKind, Outcome, StileloomError
from stileloom.http.decoding import decode
from stileloom.http.json_slices import elements, is_deeper_than, members
from stileloom.http.object_limits import MAX_OBJECT_DEPTH, has_unsupported_integer

WATCH_WAIT_S = 1.0
REQUEST_TIMEOUT_S = 3.0
READ_BACK_ATTEMPTS = 3
READ_BACK_INTERVAL_S = 0.2


class StoredObject(msgspec.Struct, frozen=True):
    """An object of any kind as the object API returns it."""

    kind: str
    name: str
    revision: int
    change_id: str
    spec: dict[str, object]


class ObjectList(msgspec.Struct, frozen=True):
    """All objects at one revision."""

    revision: int
    objects: list[StoredObject]


class _RawList(msgspec.Struct, frozen=True):
    """All objects at one revision, not decoded yet."""

    revision: int
    objects: list[msgspec.Raw]


class ObjectApi:
    """A client of the object API."""

    def __init__(self, address: str) -> None:
        self._base = f"http://{address}"
        self._http = AsyncHTTPClient(force_instance=True, max_clients=64)

    async def watch(self, after_revision: int) -> Configuration | None:
        """Waits for a configuration newer than a revision; returns None on timeout.

        Raises `StileloomError` (PLATFORM_UNAVAILABLE).
        """
        listed = await self.watch_all(after_revision, WATCH_WAIT_S)
        return configuration_of(listed) if listed is not None else None

    async def watch_all(self, after_revision: int, wait_s: float) -> ObjectList | None:
        """Waits for a newer revision and lists all objects; returns None on timeout.

        Raises `StileloomError` (PLATFORM_UNAVAILABLE).
        """
        path = f"/watch?after={after_revision}&wait_s={wait_s}"
        response = await self._fetch("GET", path, timeout_s=REQUEST_TIMEOUT_S + wait_s)
        if response.code == 204:
            return None
        return decode_objects(response.body)

    async def get(self, kind: str, name: str) -> StoredObject | None:
        """Returns one object or None. Raises `StileloomError` (PLATFORM_UNAVAILABLE)."""
        try:
            response = await self._fetch("GET", f"/objects/{kind}/{name}")
        except StileloomError as error:
            if error.kind is ErrorKind.UNKNOWN_OBJECT:
                return None
            raise
        return _decode_object(response.body)

    async def list(self) -> ObjectList:
        """Lists all objects. Raises `StileloomError` (PLATFORM_UNAVAILABLE)."""
        response = await self._fetch("GET", "/objects")
        return decode_objects(response.body)

    async def write(
        self,
        kind: str,
        name: str,
        expected_revision: int | None,
        change_id: str,
        spec: object | None,
    ) -> int:
        """Writes one object by compare-and-swap and returns its revision; `spec` None deletes.

        `expected_revision` is 0 if the object must not exist, or None for an unconditional write.
        If the response is lost, the outcome is determined by reading back the change id. Raises
        `StileloomError`: CONFLICT, or PLATFORM_UNAVAILABLE with outcome unknown.
        """
        headers = {"X-Change-Id": change_id}
        if expected_revision is not None:
            headers["If-Match"] = str(expected_revision)
        method = "PUT" if spec is not None else "DELETE"
        body = msgspec.json.encode(spec) if spec is not None else None
        try:
            response = await self._fetch(method, f"/objects/{kind}/{name}", body, headers)
        except StileloomError as error:
            if error.kind is not ErrorKind.PLATFORM_UNAVAILABLE or spec is None:
                raise
            return await self._read_back(kind, name, change_id, error)
        return int(response.headers["X-Revision"])

    async def _read_back(self, kind: str, name: str, change_id: str, error: StileloomError) -> int:
        for _ in range(READ_BACK_ATTEMPTS):
            await asyncio.sleep(READ_BACK_INTERVAL_S)
            try:
                stored = await self.get(kind, name)
            except StileloomError:
                continue
            if stored is not None and stored.change_id == change_id:
                return stored.revision
        raise error

    async def _fetch(
        self,
        method: str,
        path: str,
        body: bytes | None = None,
        headers: dict[str, str] | None = None,
        timeout_s: float = REQUEST_TIMEOUT_S,
    ) -> HTTPResponse:
        request = HTTPRequest(
            self._base + path,
            method=method,
            body=body,
            headers=headers,
            request_timeout=timeout_s,
            connect_timeout=REQUEST_TIMEOUT_S,
        )
        try:
            return await self._http.fetch(request)
        except HTTPClientError as error:
            if error.code == 404:
                raise StileloomError(ErrorKind.UNKNOWN_OBJECT, path) from error
            if error.code == 409 and error.response is not None:
                detail = error.response.body.decode(errors="replace")
                raise StileloomError(ErrorKind.CONFLICT, detail) from error
            raise _unavailable(str(error)) from error
        except (TimeoutError, OSError) as error:
            raise _unavailable(str(error)) from error


class MachineList:
    """A client of the machine list."""

    def __init__(self, address: str) -> None:
        self._url = f"http://{address}/machines"
        self._http = AsyncHTTPClient(force_instance=True)

    async def read(self) -> list[Machine] | None:
        """Returns the machines, or None if the request failed."""
        try:
            response = await self._http.fetch(
                HTTPRequest(self._url, request_timeout=REQUEST_TIMEOUT_S)
            )
        except (TimeoutError, HTTPClientError, OSError):
            return None
        return msgspec.json.decode(response.body, type=list[Machine])


def decode_objects(body: bytes) -> ObjectList:
    """Decodes a list; an object that cannot be used loses its content, and hides no other.

    Raises `StileloomError` (PLATFORM_UNAVAILABLE).
    """
    try:
        raw = decode(body, _RawList)
    except StileloomError:
        raw = _split_list(body)
    return ObjectList(raw.revision, [_decode_object(bytes(item)) for item in raw.objects])


def _split_list(body: bytes) -> _RawList:
    try:
        fields = members(body)
        revision = decode(fields.get("revision", b""), int)
        objects = elements(fields.get("objects", b""))
    except StileloomError as error:
        raise _unavailable(error.detail) from error
    return _RawList(revision, [msgspec.Raw(item) for item in objects])


def _decode_object(document: bytes) -> StoredObject:
    """Decodes an object; without its content if that is beyond the limits."""
    try:
        if not is_deeper_than(document, MAX_OBJECT_DEPTH):
            stored = decode(document, StoredObject)
            if not has_unsupported_integer(stored.spec):
                return stored
        fields = members(document)
        del fields["spec"]
        named = {name: decode(value, object) for name, value in fields.items()}
        return msgspec.convert({**named, "spec": {}}, StoredObject)
    except (StileloomError, KeyError, msgspec.ValidationError) as error:
        raise _unavailable(f"object API: {error}") from error


def _unavailable(detail: str) -> StileloomError:
    return StileloomError(ErrorKind.PLATFORM_UNAVAILABLE, detail, Outcome.UNKNOWN)


def configuration_of(listed: ObjectList) -> Configuration:
    """Returns the typed configuration in a list; skips objects of other kinds."""
    kinds = {kind.value: kind for kind in ObjectKind}
    configuration = Configuration(listed.revision)
    for stored in listed.objects:
        kind = kinds.get(stored.kind)
        if kind is None:
            continue
        try:
            spec = parse_spec(kind, stored.spec)
        except StileloomError:
            # Objects may be written without validation; an invalid one must not hide the others.
            continue
        configuration = configuration.with_object(kind, stored.name, spec)
    return configuration
