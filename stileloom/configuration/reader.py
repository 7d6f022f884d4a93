"""A reader: one of the two nodes of a zone that watch the object API.

It may hand out a revision only under a grant whose floor, committed in the ledger, is at
least that revision. So whatever a node was ever served, nobody is served less afterwards:
see `docs/decisions/0003-configuration-in-force.md`.
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
    """What a node held when it last asked, and how long its lease can last."""

    revision: int
    until: float


class _StartingNode(msgspec.Struct):
    """A node without a revision that waits for a grant asked for after its request."""

    node_id: str
    request: RenewRequest
    heard_at: float


class Reader:
    """The work of a reader; it shares the store of its node."""

    def __init__(self, node_id: str, zone: str, store: ConfigurationStore, now: float) -> None:
        self._node_id = node_id
        self._zone = zone
        self._store = store
        self._fetched: Configuration | None = None
        self._grant_until = float("-inf")
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
        self._starting: list[_StartingNode] = []
        # Leases handed out in an earlier term as reader, or before a restart, may last on.
        self._blind_until = now + constants.CONFIGURATION_LEASE_S

    def held_revision(self) -> int:
        """The highest revision known here, served or not."""
        fetched = self._fetched.revision if self._fetched is not None else 0
        return max(fetched, self._store.revision)

    def serving(self, now: float) -> bool:
        """Whether leases may be handed out now."""
        return now < self._grant_until and self._store.revision >= max(1, self._grant_floor)

    def tick(self, now: float, leader: str | None) -> list[Effect]:
        """Asks the leader for a grant, watches the object API, polls the machine list."""
        effects: list[Effect] = []
        if not self._fetching:
            self._fetching = True
            effects.append(FetchConfiguration(self.held_revision()))
        if not self._fetching_machines and now >= self._next_machines_at:
            self._fetching_machines = True
            self._next_machines_at = now + constants.MACHINE_POLL_S
            effects.append(FetchMachines())
        if now >= self._next_grant_at and leader is not None:
            effects += self._ask_for_grant(now, leader)
        return effects

    def fetched(
        self, now: float, configuration: Configuration | None, leader: str | None
    ) -> list[Effect]:
        """The watch answered; None means that nothing changed or the API failed."""
        self._fetching = False
        if configuration is None or configuration.revision <= self.held_revision():
            return []
        self._fetched = configuration
        return self._ask_for_grant(now, leader) if leader is not None else []

    def machines_fetched(self, machines: list[Machine] | None) -> bool:
        """The machine list answered; returns whether the node's list changed."""
        self._fetching_machines = False
        return machines is not None and self._store.adopt_machines(machines)

    def confirmed(self, now: float) -> int:
        """Lowest revision that any node may act on under a lease from here."""
        if now < self._blind_until:
            return 0
        for node_id, lease in list(self._node_leases.items()):
            if now >= lease.until:
                del self._node_leases[node_id]
        held = [lease.revision for lease in self._node_leases.values()]
        return min([*held, self._store.revision])

    def on_grant(self, now: float, sender: str, message: GrantReply) -> list[Effect]:
        """Takes a grant: adopts what it allows, pulls what it demands."""
        self._leader = sender
        self._epoch = message.epoch
        sent_at = self._sent_at.pop(message.nonce, None)
        if sent_at is None:
            return []
        self._grant_until = max(self._grant_until, sent_at + message.lease_s)
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
            self._store.extend_lease(self._grant_until)
            effects += self._serve_starting(now, sent_at)
        return effects

    def adopt(self, now: float, configuration: Configuration) -> list[Effect]:
        """Adopts a revision that a grant covers and tells the nodes at once."""
        if configuration.revision > self._grant_floor:
            return []
        if not self._store.adopt(now, configuration):
            return []
        notice = RevisionNotice(configuration.revision)
        return [Send(node_id, notice) for node_id in sorted(self._node_leases)]

    def on_renew(self, now: float, sender: str, message: RenewRequest) -> list[Effect]:
        """Answers a node of the zone."""
        if message.starting:
            self._starting = [s for s in self._starting if s.node_id != sender]
            self._starting.append(_StartingNode(sender, message, now))
            return []
        return self._renew(now, sender, message)

    def _renew(self, now: float, node_id: str, message: RenewRequest) -> list[Effect]:
        if not self.serving(now):
            return []
        lease_s = min(constants.CONFIGURATION_LEASE_S, self._grant_until - now)
        if message.revision < self._store.revision:
            # No lease for a revision that is behind: the node pulls first, then asks again.
            lease_s = 0.0
        else:
            known = self._node_leases.get(node_id)
            until = max(now + lease_s, known.until if known is not None else now)
            self._node_leases[node_id] = _NodeLease(message.revision, until)
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

    def _serve_starting(self, now: float, grant_sent_at: float) -> list[Effect]:
        effects: list[Effect] = []
        due = [starting for starting in self._starting if starting.heard_at <= grant_sent_at]
        self._starting = [s for s in self._starting if s.heard_at > grant_sent_at]
        for starting in due:
            effects += self._renew(now, starting.node_id, starting.request)
        return effects

    def _ask_for_grant(self, now: float, leader: str) -> list[Effect]:
        self._next_grant_at = now + constants.GRANT_RENEW_S
        self._nonce += 1
        self._sent_at[self._nonce] = now
        if len(self._sent_at) > 64:
            self._sent_at.pop(next(iter(self._sent_at)))
        request = GrantRequest(self._nonce, self._zone, self.held_revision(), self.confirmed(now))
        return [Send(leader, request)]
