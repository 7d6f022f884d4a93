"""What a node holds of the configuration: it only ever goes up."""

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
        self._lease_until = float("-inf")
        self._adopted_at = float("-inf")

    @property
    def revision(self) -> int:
        """The revision held, 0 for none."""
        return self.configuration.revision if self.configuration is not None else 0

    def adopt(self, now: float, configuration: Configuration) -> bool:
        """Takes a higher revision; refuses a lower or equal one."""
        if configuration.revision <= self.revision:
            return False
        self.configuration = configuration
        self._adopted_at = now
        return True

    def adopt_machines(self, machines: list[Machine]) -> bool:
        """Takes a machine list if it differs."""
        digest = machines_digest(machines)
        if digest == self.machines_digest:
            return False
        self.machines = machines
        self.machines_digest = digest
        return True

    def extend_lease(self, until: float) -> None:
        """Renews the configuration lease up to a monotonic time."""
        self._lease_until = max(self._lease_until, until)

    def lease_valid(self, now: float) -> bool:
        """Whether the node may admit new rollouts under its configuration."""
        return self.configuration is not None and now < self._lease_until

    def lease_age(self, now: float) -> float:
        """Seconds since the lease lapsed, 0 while it holds."""
        return max(0.0, now - self._lease_until)


def machines_digest(machines: list[Machine]) -> int:
    """A hash of a machine list; 0 stands for none."""
    if not machines:
        return 0
    return xxhash.xxh3_64_intdigest(msgspec.msgpack.encode(machines))
