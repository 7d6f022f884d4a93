"""What the configuration parts ask their driver to do, beside sending."""

from __future__ import annotations

import msgspec


class FetchConfiguration(msgspec.Struct, frozen=True):
    """Watch the object API after this revision; answer with `fetched` or `fetch_failed`."""

    after_revision: int


class FetchMachines(msgspec.Struct, frozen=True):
    """Read the machine list; answer with `machines_fetched`."""


class ConfigurationAdopted(msgspec.Struct, frozen=True):
    """The node's configuration changed to this revision."""

    revision: int


class MachinesAdopted(msgspec.Struct, frozen=True):
    """The node's machine list changed."""
