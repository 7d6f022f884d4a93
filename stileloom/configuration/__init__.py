"""Configuration distribution: object API readers, monotonic revisions and leases."""

from stileloom.configuration.authority import ConfigurationAuthority, RaiseFloor
from stileloom.configuration.effects import (
    ConfigurationAdopted,
    FetchConfiguration,
    FetchMachines,
    MachinesAdopted,
)
from stileloom.configuration.node import ConfigurationNode
from stileloom.configuration.store import ConfigurationStore

__all__ = [
    "ConfigurationAdopted",
    "ConfigurationAuthority",
    "ConfigurationNode",
    "ConfigurationStore",
    "FetchConfiguration",
    "FetchMachines",
    "MachinesAdopted",
    "RaiseFloor",
]
