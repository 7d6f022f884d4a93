"""Effects of the configuration components other than sending messages."""

from __future__ import annotations

import msgspec


class FetchConfiguration(msgspec.Struct, frozen=True):
    """Watch the object API for a newer revision; completed by `NodeCore.configuration_fetched`."""

    after_revision: int


class FetchMachines(msgspec.Struct, frozen=True):
    """Read the machine list; completed by `NodeCore.machines_fetched`."""


class ConfigurationAdopted(msgspec.Struct, frozen=True):
    """The node adopted this configuration revision."""

    revision: int


class MachinesAdopted(msgspec.Struct, frozen=True):
    """The node's machine list changed."""
