"""In-memory model of the platform's object store, with revisions and compare-and-swap."""

from __future__ import annotations

import msgspec

WATCH_HISTORY = 1000


class ApiObject(msgspec.Struct, frozen=True):
    """A stored object."""

    kind: str
    name: str
    revision: int
    change_id: str
    spec: dict[str, object]


class CasConflictError(Exception):
    """The object's revision differs from the one that the writer expected."""

    def __init__(self, current: ApiObject | None) -> None:
        self.current = current
        found = f"revision {current.revision} by {current.change_id}" if current else "no object"
        super().__init__(f"revision conflict: found {found}")


class ObjectApiModel:
    """A linearizable object store; the server injects the faults."""

    def __init__(self) -> None:
        self.revision = 0
        self._objects: dict[tuple[str, str], ApiObject] = {}

    def list(self) -> list[ApiObject]:
        """Returns all objects, ordered by kind and name."""
        return [self._objects[key] for key in sorted(self._objects)]

    def get(self, kind: str, name: str) -> ApiObject | None:
        """Returns an object, or None if it does not exist."""
        return self._objects.get((kind, name))

    def write(
        self,
        kind: str,
        name: str,
        expected: int | None,
        change_id: str,
        spec: dict[str, object] | None,
    ) -> int:
        """Writes an object with compare-and-swap and returns the new revision.

        A `spec` of None deletes the object. An `expected` revision of 0 requires that it does not
        exist; None skips the comparison. Raises `CasConflictError`.
        """
        current = self._objects.get((kind, name))
        current_revision = current.revision if current is not None else 0
        if expected is not None and expected != current_revision:
            raise CasConflictError(current)
        self.revision += 1
        if spec is None:
            self._objects.pop((kind, name), None)
        else:
            self._objects[(kind, name)] = ApiObject(kind, name, self.revision, change_id, spec)
        return self.revision
