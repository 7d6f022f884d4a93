"""Configuration state of a node; its revision never decreases."""

from __future__ import annotations

import msgspec
import xxhash

from stileloom.api.objects import Configuration, Machine


class ConfigurationStore:
    """The configuration, its lease and the machine list of one node."""

    def __init__(self) -> None:
        self.configuration: Configuration | None = None
        self.in_force = 0
        self.machines: list[Machine] = []
        self.machines_digest = 0
        self._lease_expires_at = float("-inf")
        self._adopted_at = float("-inf")

    @property
    def revision(self) -> int:
        """Revision of the held configuration, or 0 if none."""
        return self.configuration.revision if self.configuration is not None else 0

    def adopt(self, now: float, configuration: Configuration) -> bool:
        """Stores a configuration if its revision is higher; returns whether it did."""
        if configuration.revision <= self.revision:
            return False
        self.configuration = configuration
        self._adopted_at = now
        return True

    def adopt_machines(self, machines: list[Machine]) -> bool:
        """Stores a machine list if it differs; returns whether it did."""
        digest = machines_digest(machines)
        if digest == self.machines_digest:
            return False
        self.machines = machines
        self.machines_digest = digest
        return True

    def extend_lease(self, expires_at: float) -> None:
        """Extends the lease to a monotonic time; never shortens it."""
        self._lease_expires_at = max(self._lease_expires_at, expires_at)

    def lease_valid(self, now: float) -> bool:
        """Returns whether the node may admit new rollouts under its configuration."""
        return self.configuration is not None and now < self._lease_expires_at

    def time_since_lease_expiry(self, now: float) -> float:
        """Returns the seconds since the lease expired, or 0 while it is valid."""
        return max(0.0, now - self._lease_expires_at)


def machines_digest(machines: list[Machine]) -> int:
    """Returns a hash of a machine list, or 0 if it is empty."""
    if not machines:
        return 0
    return xxhash.xxh3_64_intdigest(msgspec.msgpack.encode(machines))
