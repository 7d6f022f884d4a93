"""Deterministic subsetting: a gateway routes to a bounded number of samplers of each pool.

Gateways and owners compute the same subset, so an owner knows which gateways need its load
reports. Samplers in the gateway's zone are preferred; if there are too few, samplers in other
zones are added.
"""

from __future__ import annotations

from stileloom import constants
from stileloom.api.objects import Machine
from stileloom.hashing import rendezvous_ranked


class PoolMachines:
    """The samplers of one pool, indexed by zone."""

    def __init__(self, machines: list[Machine]) -> None:
        self._by_zone: dict[str, list[str]] = {}
        for machine in machines:
            self._by_zone.setdefault(machine.zone, []).append(machine.sampler_id)

    def in_zone(self, zone: str) -> list[str]:
        return self._by_zone.get(zone, [])

    def outside_zone(self, zone: str) -> list[str]:
        names_by_zone = [names for other, names in self._by_zone.items() if other != zone]
        return [name for names in names_by_zone for name in names]

    def can_fill_subset(self, zone: str) -> bool:
        """Whether a zone alone has enough samplers to fill a subset."""
        return len(self.in_zone(zone)) >= constants.SUBSET_SIZE


def gateway_subset(gateway: str, gateway_zone: str, machines: PoolMachines) -> list[str]:
    """Returns the samplers of one pool that a gateway routes to."""
    chosen = rendezvous_ranked(gateway, machines.in_zone(gateway_zone))[: constants.SUBSET_SIZE]
    missing = constants.SUBSET_SIZE - len(chosen)
    if missing > 0:
        chosen += rendezvous_ranked(gateway, machines.outside_zone(gateway_zone))[:missing]
    return chosen
