"""Subsets: a gateway routes to a bounded number of samplers of each pool.

Both sides compute the same subset, so an owner knows which gateways want its load reports.
Samplers of the gateway's own zone come first; others fill up to the size.
"""

from __future__ import annotations

from stileloom import constants
from stileloom.api.objects import Machine
from stileloom.hashing import rendezvous_ranked


class PoolMachines:
    """The samplers of one pool by zone."""

    def __init__(self, machines: list[Machine]) -> None:
        self._by_zone: dict[str, list[str]] = {}
        for machine in machines:
            self._by_zone.setdefault(machine.zone, []).append(machine.sampler_id)

    def near(self, zone: str) -> list[str]:
        """Samplers of a zone."""
        return self._by_zone.get(zone, [])

    def far(self, zone: str) -> list[str]:
        """Samplers of every other zone."""
        others = [names for other, names in self._by_zone.items() if other != zone]
        return [name for names in others for name in names]

    def fill_subset(self, zone: str) -> bool:
        """Whether a zone has enough samplers for the subsets of its gateways."""
        return len(self.near(zone)) >= constants.SUBSET_SIZE


def gateway_subset(gateway: str, gateway_zone: str, machines: PoolMachines) -> list[str]:
    """The samplers of one pool that a gateway routes to."""
    chosen = rendezvous_ranked(gateway, machines.near(gateway_zone))[: constants.SUBSET_SIZE]
    missing = constants.SUBSET_SIZE - len(chosen)
    if missing > 0:
        chosen += rendezvous_ranked(gateway, machines.far(gateway_zone))[:missing]
    return chosen
