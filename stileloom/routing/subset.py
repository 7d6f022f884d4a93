"""Subsets: a gateway routes to a bounded number of samplers of each pool.

Both sides compute the same subset, so an owner knows which gateways want its load reports.
Samplers of the gateway's own zone come first; others fill up to the size.
"""

from __future__ import annotations

from stileloom import constants
from stileloom.api.objects import Machine
from stileloom.hashing import rendezvous_ranked


def gateway_subset(gateway: str, gateway_zone: str, machines: list[Machine]) -> list[str]:
    """The samplers of one pool that a gateway routes to."""
    near = [m.sampler_id for m in machines if m.zone == gateway_zone]
    far = [m.sampler_id for m in machines if m.zone != gateway_zone]
    ranked = rendezvous_ranked(gateway, near) + rendezvous_ranked(gateway, far)
    return ranked[: constants.SUBSET_SIZE]
