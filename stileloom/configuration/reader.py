"""Configuration reader: one of the nodes of a zone that watch the object API.

A reader serves a revision only under a grant whose floor, committed in the ledger, is at least
that revision. Once any node has received a revision, no node is served an older one: see
`docs/decisions/0003-configuration-in-force.md`.
"""

from __future__ import annotations

import msgspec

from stileloom import constants
from stileloom.api.objects import Configuration, Machine
from stileloom.configuration.effects import FetchConfiguration, FetchMachines
from stileloom.configuration.messages import (
    ConfigurationPull,
    GrantReply,
    GrantRequest,
    RenewReply,
    RenewRequest,
    RevisionNotice,
)
from stileloom.configuration.store import ConfigurationStore
from stileloom.effects import Effect, Send


class _NodeLease(msgspec.Struct):
    """Revision of a node at its last renewal, and the latest expiry of its lease."""

    revision: int
    expires_at: float


class _StartingNode(msgspec.Struct):
    """A node without a revision, answered only under a grant requested after its own request."""

    node_id: str
    request: RenewRequest
    received_at: float


class Reader:
    """Obtains grants from the leader and leases revisions to the nodes of its zone.

    Uses the configuration store of its own node.
    """

    def __init__(self, node_id: str, zone: str, store: ConfigurationStore, now: float) -> None:
        self._node_id = node_id
        self._zone = zone
        self._store = store
        self._fetched: Configuration | None = None
        self._grant_expires_at = float("-inf")
        self._grant_floor = 0
        self._sent_at: dict[int, float] = {}
        self._nonce = 0
        self._next_grant_at = float("-inf")
        self._next_machines_at = float("-inf")
        self._fetching = False
        self._fetching_machines = False
        self._leader = ""
        self._epoch = 0
        self._node_leases: dict[str, _NodeLease] = {}
        self._starting_nodes: list[_StartingNode] = []
        # Leases issued in an earlier term as reader, or before a restart, may still be valid.
        self._earlier_leases_expire_at = now + constants.CONFIGURATION_LEASE_S

    def held_revision(self) -> int:
        """Returns the highest revision held by this reader, served or not."""
        fetched = self._fetched.revision if self._fetched is not None else 0
        return max(fetched, self._store.revision)

    def serving(self, now: float) -> bool:
        """Returns whether the reader may issue leases."""
        return now < self._grant_expires_at and self._store.revision >= max(1, self._grant_floor)

    def tick(self, now: float, leader: str | None) -> list[Effect]:
        """Requests grants from the leader, watches the object API and polls the machine list."""
        effects: list[Effect] = []
        if not self._fetching:
            self._fetching = True
            effects.append(FetchConfiguration(self.held_revision()))
        if not self._fetching_machines and now >= self._next_machines_at:
            self._fetching_machines = True
            self._next_machines_at = now + constants.MACHINE_POLL_INTERVAL_S
            effects.append(FetchMachines())
        if now >= self._next_grant_at and leader is not None:
            effects += self._request_grant(now, leader)
        return effects

    def configuration_fetched(
        self, now: float, configuration: Configuration | None, leader: str | None
    ) -> list[Effect]:
        """Handles a watch result; None if there is no newer revision or the API failed."""
        self._fetching = False
        if configuration is None or configuration.revision <= self.held_revision():
            return []
        self._fetched = configuration
        return self._request_grant(now, leader) if leader is not None else []

    def machines_fetched(self, machines: list[Machine] | None) -> bool:
        """Handles a poll result; returns whether the machine list of this node changed."""
        self._fetching_machines = False
        return machines is not None and self._store.adopt_machines(machines)

    def confirmed(self, now: float) -> int:
        """Returns the lowest revision that any node may act on under this reader's leases.

        Returns 0 while leases from an earlier term may still be valid.
        """
        if now < self._earlier_leases_expire_at:
            return 0
        for node_id, lease in list(self._node_leases.items()):
            if now >= lease.expires_at:
                del self._node_leases[node_id]
        held = [lease.revision for lease in self._node_leases.values()]
        return min([*held, self._store.revision])

    def on_grant(self, now: float, sender: str, message: GrantReply) -> list[Effect]:
        """Handles a grant: adopts a fetched revision it covers, or pulls the floor revision."""
        self._leader = sender
        self._epoch = message.epoch
        sent_at = self._sent_at.pop(message.nonce, None)
        if sent_at is None:
            return []
        self._grant_expires_at = max(self._grant_expires_at, sent_at + message.lease_s)
        self._grant_floor = max(self._grant_floor, message.floor)
        self._store.in_force = max(self._store.in_force, message.in_force)
        effects: list[Effect] = []
        if self._fetched is not None and self._fetched.revision <= self._grant_floor:
            effects += self.adopt(now, self._fetched)
        if self._store.revision < self._grant_floor:
            if message.floor_holder != self._node_id:
                effects.append(Send(message.floor_holder, ConfigurationPull()))
            return effects
        if self.serving(now):
            self._store.extend_lease(self._grant_expires_at)
            effects += self._serve_starting_nodes(now, sent_at)
        return effects

    def adopt(self, now: float, configuration: Configuration) -> list[Effect]:
        """Adopts a revision covered by the grant and notifies the nodes with a lease."""
        if configuration.revision > self._grant_floor:
            return []
        if not self._store.adopt(now, configuration):
            return []
        notice = RevisionNotice(configuration.revision)
        return [Send(node_id, notice) for node_id in sorted(self._node_leases)]

    def on_renew(self, now: float, sender: str, message: RenewRequest) -> list[Effect]:
        """Answers a renewal request; requests of starting nodes wait for the next grant."""
        if message.starting:
            self._starting_nodes = [node for node in self._starting_nodes if node.node_id != sender]
            self._starting_nodes.append(_StartingNode(sender, message, now))
            return []
        return self._reply_to_renewal(now, sender, message)

    def _reply_to_renewal(self, now: float, node_id: str, message: RenewRequest) -> list[Effect]:
        if not self.serving(now):
            return []
        lease_s = min(constants.CONFIGURATION_LEASE_S, self._grant_expires_at - now)
        if message.revision < self._store.revision:
            # An outdated node gets no lease: it pulls the configuration and renews again.
            lease_s = 0.0
        else:
            known = self._node_leases.get(node_id)
            expires_at = max(now + lease_s, known.expires_at if known is not None else now)
            self._node_leases[node_id] = _NodeLease(message.revision, expires_at)
        return [
            Send(
                node_id,
                RenewReply(
                    message.nonce,
                    self._store.revision,
                    self._store.machines_digest,
                    self._store.in_force,
                    lease_s,
                    self._leader,
                    self._epoch,
                ),
            )
        ]

    def _serve_starting_nodes(self, now: float, grant_sent_at: float) -> list[Effect]:
        effects: list[Effect] = []
        ready = [node for node in self._starting_nodes if node.received_at <= grant_sent_at]
        self._starting_nodes = [
            node for node in self._starting_nodes if node.received_at > grant_sent_at
        ]
        for node in ready:
            effects += self._reply_to_renewal(now, node.node_id, node.request)
        return effects

    def _request_grant(self, now: float, leader: str) -> list[Effect]:
        self._next_grant_at = now + constants.GRANT_RENEW_INTERVAL_S
        self._nonce += 1
        self._sent_at[self._nonce] = now
        if len(self._sent_at) > 64:
            self._sent_at.pop(next(iter(self._sent_at)))
        request = GrantRequest(self._nonce, self._zone, self.held_revision(), self.confirmed(now))
        return [Send(leader, request)]
