"""The platform's object API as a model: revisions, compare-and-swap, a log of changes."""

from __future__ import annotations

import msgspec

WATCH_HISTORY = 1000


class ApiObject(msgspec.Struct, frozen=True):
    """One object."""

    kind: str
    name: str
    revision: int
    change_id: str
    spec: dict[str, object]


class CasConflictError(Exception):
    """The object is not at the revision that the writer expected."""

    def __init__(self, current: ApiObject | None) -> None:
        self.current = current
        held = f"revision {current.revision} by {current.change_id}" if current else "no object"
        super().__init__(f"expected another revision; there is {held}")


class ObjectApiModel:
    """The store. It is linearizable; faults are added around it."""

    def __init__(self) -> None:
        self.revision = 0
        self._objects: dict[tuple[str, str], ApiObject] = {}

    def list(self) -> list[ApiObject]:
        """All objects in a stable order."""
        return [self._objects[key] for key in sorted(self._objects)]

    def get(self, kind: str, name: str) -> ApiObject | None:
        """One object, or None."""
        return self._objects.get((kind, name))

    def write(
        self,
        kind: str,
        name: str,
        expected: int | None,
        change_id: str,
        spec: dict[str, object] | None,
    ) -> int:
        """Compare-and-swap; `spec` None deletes. Returns the new revision.

        `expected` 0 means that the object must not exist, None that anything goes. Raises
        `CasConflictError`.
        """
        current = self._objects.get((kind, name))
        held = current.revision if current is not None else 0
        if expected is not None and expected != held:
            raise CasConflictError(current)
        self.revision += 1
        if spec is None:
            self._objects.pop((kind, name), None)
        else:
            self._objects[(kind, name)] = ApiObject(kind, name, self.revision, change_id, spec)
        return self.revision
