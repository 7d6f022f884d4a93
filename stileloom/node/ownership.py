"""Assigns sampler owners, configuration readers and gateway subsets by rendezvous hashing.

Assignments depend only on membership, the machine list and the configuration, so nodes that
agree on these need no coordination.
"""

from __future__ import annotations

from stileloom import constants
from stileloom.api.objects import Configuration
from stileloom.hashing import rendezvous_owner, rendezvous_ranked
from stileloom.membership import Membership
from stileloom.routing import PoolMachines, gateway_subset
from stileloom.samplers.table import SamplerTable

REFRESH_INTERVAL_S = 1.0


class Ownership:
    """Assignments computed from this node's view of the cluster."""

    def __init__(self, membership: Membership, table: SamplerTable) -> None:
        self.owned: set[str] = set()
        """Ids of the samplers owned by this node."""
        self.gateways_by_sampler: dict[str, list[str]] = {}
        """For each owned sampler, the ids of the nodes that route lookups to it."""
        self._membership = membership
        self._table = table
        self._input_versions = (-1, -1, -1)
        self._next_refresh_at = float("-inf")
        self._readers: list[str] = []
        self._readers_version = -1
        self._subsets: dict[str, list[str]] = {}

    def owner_of(self, sampler_id: str) -> str | None:
        """Returns the owner of a sampler, from its own zone if that has an eligible node."""
        sampler = self._table.get(sampler_id)
        if sampler is None:
            return None
        same_zone = self._membership.eligible(sampler.machine.zone)
        return rendezvous_owner(sampler_id, same_zone or self._membership.eligible())

    def readers(self) -> list[str]:
        """Returns the designated configuration readers of this node's zone."""
        version = self._membership.eligible_version
        if self._readers_version != version:
            zone = self._membership.local_member.zone
            ranked = rendezvous_ranked(f"reader/{zone}", self._membership.eligible(zone))
            self._readers = ranked[: constants.READERS_PER_ZONE]
            self._readers_version = version
        return self._readers

    def subset(self, pool: str) -> list[str]:
        """Returns the samplers of a pool that this node routes to."""
        if pool not in self._subsets:
            local = self._membership.local_member
            self._subsets[pool] = gateway_subset(local.node_id, local.zone, self._machines(pool))
        return self._subsets[pool]

    def refresh(self, now: float, configuration: Configuration | None) -> bool:
        """Recomputes assignments after a change of members, samplers or configuration.

        At most once per `REFRESH_INTERVAL_S`. Returns whether `gateways_by_sampler` changed.
        """
        revision = configuration.revision if configuration is not None else 0
        versions = (self._membership.eligible_version, self._table.version, revision)
        if versions == self._input_versions or now < self._next_refresh_at:
            return False
        self._input_versions = versions
        self._next_refresh_at = now + REFRESH_INTERVAL_S
        self._subsets.clear()
        self.owned = self._compute_owned()
        before = self.gateways_by_sampler
        self.gateways_by_sampler = self._compute_gateways(configuration)
        return self.gateways_by_sampler != before

    def _machines(self, pool: str) -> PoolMachines:
        return PoolMachines([view.machine for view in self._table.in_pool(pool)])

    def _compute_owned(self) -> set[str]:
        local = self._membership.local_member
        # A zone with eligible nodes owns its samplers, so those of other such zones are skipped.
        other_eligible_zones = {
            zone
            for zone in self._membership.zones()
            if zone != local.zone and self._membership.eligible(zone)
        }
        return {
            view.sampler_id
            for view in self._table.views()
            if view.machine.zone not in other_eligible_zones
            and self.owner_of(view.sampler_id) == local.node_id
        }

    def _compute_gateways(self, configuration: Configuration | None) -> dict[str, list[str]]:
        """Maps owned samplers to gateways; only for pools used by lookup services."""
        services = configuration.services.values() if configuration is not None else []
        service_pools = {service.pool for service in services}
        pools = {view.machine.pool for view in self._table.views() if view.sampler_id in self.owned}
        zone = self._membership.local_member.zone
        gateways: dict[str, list[str]] = {}
        for pool in sorted(pools & service_pools):
            machines = self._machines(pool)
            for member in self._membership.alive():
                if member.zone != zone and machines.can_fill_subset(member.zone):
                    # The member's subset is filled from its own zone.
                    continue
                for sampler_id in gateway_subset(member.node_id, member.zone, machines):
                    if sampler_id in self.owned:
                        gateways.setdefault(sampler_id, []).append(member.node_id)
        return gateways
