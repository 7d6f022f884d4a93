"""A ledger node's entry in the object store: its addresses for replicas and gateways."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

import msgspec

from stileloom.api.object_store import ObjectRecord
from stileloom.settings_file import split_address

Address = tuple[str, int]


class LedgerRegistration(msgspec.Struct, frozen=True):
    """The entry as written by the node."""

    ledger: str
    """Address for other replicas."""
    calls: str
    """Address for gateways."""
    disk: str
    zone: str = ""
    """Empty if the entry has none, as those of earlier releases, or one of a wrong type."""

    @property
    def ledger_address(self) -> Address:
        """`ledger` as host and port."""
        return split_address(self.ledger)

    @property
    def calls_address(self) -> Address:
        """`calls` as host and port."""
        return split_address(self.calls)


def read_registrations(records: Iterable[ObjectRecord]) -> dict[str, LedgerRegistration]:
    """The entries by node.

    Malformed entries are skipped, because other clients also write to the object store and one of
    their mistakes must not hide the valid entries.
    """
    found: dict[str, LedgerRegistration] = {}
    for record in records:
        registration = _parse(record.spec)
        if registration is not None:
            found[record.name] = registration
    return found


def _parse(spec: Any) -> LedgerRegistration | None:
    if isinstance(spec, dict) and not isinstance(spec.get("zone", ""), str):
        # Jobs, caches and peers need the addresses only.
        spec = spec | {"zone": ""}
    try:
        registration = msgspec.convert(spec, LedgerRegistration)
        _ = registration.ledger_address, registration.calls_address
    except (msgspec.ValidationError, ValueError, RecursionError):
        return None
    return registration
