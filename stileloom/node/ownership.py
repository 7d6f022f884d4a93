"""Who does what among the nodes, by rendezvous hashing: owners, readers, subsets.

All of it follows from membership, the machine list and the configuration, so nodes that agree
on those agree on this without asking one another.
"""

from __future__ import annotations

from stileloom import constants
from stileloom.api.objects import Configuration
from stileloom.hashing import rendezvous_owner, rendezvous_ranked
from stileloom.membership import Membership
from stileloom.routing import PoolMachines, gateway_subset
from stileloom.samplers.table import SamplerTable

REFRESH_S = 1.0


class Ownership:
    """The outcome of the hashing, as one node sees it."""

    def __init__(self, membership: Membership, table: SamplerTable) -> None:
        self.owned: set[str] = set()
        """Samplers that this node owns."""
        self.gateways_by_sampler: dict[str, list[str]] = {}
        """By owned sampler, the nodes that route lookups to it."""
        self._membership = membership
        self._table = table
        self._seen = (-1, -1, -1)
        self._next_refresh_at = float("-inf")
        self._readers: list[str] = []
        self._readers_version = -1
        self._subsets: dict[str, list[str]] = {}

    def owner_of(self, sampler_id: str) -> str | None:
        """The node that owns a sampler: of its own zone if any works there."""
        sampler = self._table.get(sampler_id)
        if sampler is None:
            return None
        near = self._membership.working(sampler.machine.zone)
        return rendezvous_owner(sampler_id, near or self._membership.working())

    def readers(self) -> list[str]:
        """The chosen readers of this node's zone."""
        version = self._membership.working_version
        if self._readers_version != version:
            zone = self._membership.me.zone
            ranked = rendezvous_ranked(f"reader/{zone}", self._membership.working(zone))
            self._readers = ranked[: constants.READERS_PER_ZONE]
            self._readers_version = version
        return self._readers

    def subset(self, pool: str) -> list[str]:
        """The samplers of a pool that this node routes to."""
        if pool not in self._subsets:
            me = self._membership.me
            self._subsets[pool] = gateway_subset(me.node_id, me.zone, self._machines(pool))
        return self._subsets[pool]

    def refresh(self, now: float, configuration: Configuration | None) -> bool:
        """Recomputes after a change of members, samplers or services.

        Returns whether the nodes that route to owned samplers have changed.
        """
        revision = configuration.revision if configuration is not None else 0
        seen = (self._membership.working_version, self._table.version, revision)
        if seen == self._seen or now < self._next_refresh_at:
            return False
        self._seen = seen
        self._next_refresh_at = now + REFRESH_S
        self._subsets.clear()
        self.owned = self._compute_owned()
        before = self.gateways_by_sampler
        self.gateways_by_sampler = self._compute_gateways(configuration)
        return self.gateways_by_sampler != before

    def _machines(self, pool: str) -> PoolMachines:
        return PoolMachines([view.machine for view in self._table.in_pool(pool)])

    def _compute_owned(self) -> set[str]:
        me = self._membership.me
        # Samplers of a zone with working nodes are owned there: they need no hashing here.
        served_elsewhere = {
            zone
            for zone in self._membership.zones()
            if zone != me.zone and self._membership.working(zone)
        }
        return {
            view.sampler_id
            for view in self._table.views()
            if view.machine.zone not in served_elsewhere
            and self.owner_of(view.sampler_id) == me.node_id
        }

    def _compute_gateways(self, configuration: Configuration | None) -> dict[str, list[str]]:
        """Only pools of lookup services: the load of others does not concern gateways."""
        services = configuration.services.values() if configuration is not None else []
        served = {service.pool for service in services}
        pools = {view.machine.pool for view in self._table.views() if view.sampler_id in self.owned}
        zone = self._membership.me.zone
        gateways: dict[str, list[str]] = {}
        for pool in sorted(pools & served):
            machines = self._machines(pool)
            for member in self._membership.alive():
                if member.zone != zone and machines.fill_subset(member.zone):
                    # Its own zone fills its subset: none of the samplers here are in it.
                    continue
                for sampler_id in gateway_subset(member.node_id, member.zone, machines):
                    if sampler_id in self.owned:
                        gateways.setdefault(sampler_id, []).append(member.node_id)
        return gateways
