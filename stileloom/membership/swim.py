"""SWIM membership within a zone, with representatives between zones.

Implements Das, Gupta and Motivala, "SWIM" (2002): direct and indirect probes, suspicion with
incarnation numbers, and updates piggybacked on probes. Between zones only a few representatives
probe one another and compare digests of their member tables.
"""

from __future__ import annotations

import random

import msgspec
import xxhash

from stileloom import constants
from stileloom.effects import Effect, Emit, Send, SendToAddress
from stileloom.events import LogEvent
from stileloom.hashing import rendezvous_ranked
from stileloom.membership.messages import (
    Acknowledgement,
    Member,
    MembershipDigest,
    MembershipTable,
    MemberState,
    Ping,
    PingRequest,
)


class Seed(msgspec.Struct, frozen=True):
    """Configured address of a node from which the member table can be requested."""

    host: str
    port: int


class _Probe(msgspec.Struct):
    """An outstanding probe of this node."""

    target: str
    sent_at: float
    indirect: bool = False


class _Relay(msgspec.Struct):
    """A probe sent on behalf of another node."""

    requester: str
    requester_sequence: int
    sent_at: float


class Membership:
    """Member table of one node and the protocol that maintains it."""

    def __init__(self, local_member: Member, seeds: list[Seed], rng: random.Random) -> None:
        self.local_member = local_member
        self._seeds = seeds
        self._rng = rng
        self._members: dict[str, Member] = {local_member.node_id: local_member}
        self._suspected_at: dict[str, float] = {}
        self._probes: dict[int, _Probe] = {}
        self._relays: dict[int, _Relay] = {}
        self._sequence = 0
        self._probe_order: list[str] = []
        self._transmissions_left: dict[str, int] = {}
        self._next_probe_at = 0.0
        self._next_zone_sync_at = 0.0
        self._next_node_sync_at = 0.0
        self._started_at: float | None = None
        self._next_seed_sync_at = 0.0
        self._next_dead_probe_at = 0.0
        self._digest: int | None = None
        self._alive_cache: dict[str | None, list[Member]] = {}
        self._eligible_cache: dict[str | None, list[str]] = {}
        self.eligible_version = 0
        """Incremented when the set of eligible nodes changes; callers use it to refresh caches."""

    # Queries.

    @property
    def node_id(self) -> str:
        return self.local_member.node_id

    def members(self) -> list[Member]:
        """Returns every known member, including dead ones."""
        return list(self._members.values())

    def get(self, node_id: str) -> Member | None:
        """Returns the record of a node, or None if it is unknown."""
        return self._members.get(node_id)

    def is_alive(self, node_id: str) -> bool:
        """Returns whether a node is known and not dead."""
        member = self._members.get(node_id)
        return member is not None and member.state != MemberState.DEAD

    def alive(self, zone: str | None = None) -> list[Member]:
        """Returns the members that are not dead (alive or suspect), of one zone or all."""
        if zone not in self._alive_cache:
            self._alive_cache[zone] = [
                member
                for member in self._members.values()
                if member.state != MemberState.DEAD and (zone is None or member.zone == zone)
            ]
        return self._alive_cache[zone]

    def eligible(self, zone: str | None = None) -> list[str]:
        """Returns the ids of nodes eligible for new work, of one zone or all.

        Suspect and leaving members are excluded.
        """
        if zone not in self._eligible_cache:
            self._eligible_cache[zone] = [
                member.node_id for member in self.alive(zone) if _is_eligible(member)
            ]
        return self._eligible_cache[zone]

    def zones(self) -> list[str]:
        """Returns all zones with a member that is not dead, sorted."""
        return sorted({member.zone for member in self.alive()})

    def representatives(self, zone: str) -> list[str]:
        """Returns the nodes that exchange membership state with other zones for `zone`."""
        candidates = [member.node_id for member in self.alive(zone) if not member.leaving]
        ranked = rendezvous_ranked(f"representative/{zone}", candidates)
        return ranked[: constants.REPRESENTATIVES_PER_ZONE]

    # Timers and messages.

    def tick(self, now: float) -> list[Effect]:
        """Runs the timers for probes, suspicions and table synchronization."""
        effects: list[Effect] = []
        effects += self._check_probes(now)
        effects += self._check_suspicions(now)
        if now >= self._next_probe_at:
            self._next_probe_at = now + constants.PROBE_INTERVAL_S
            effects += self._start_probe(now)
        if now >= self._next_zone_sync_at:
            self._next_zone_sync_at = now + constants.ZONE_SYNC_INTERVAL_S
            effects += self._sync_zones()
        if now >= self._next_node_sync_at:
            self._next_node_sync_at = now + constants.NODE_SYNC_INTERVAL_S
            effects += self._sync_with_representative()
        if now >= self._next_seed_sync_at:
            effects += self._sync_with_seed(now)
        if now >= self._next_dead_probe_at:
            self._next_dead_probe_at = now + constants.DEAD_MEMBER_PROBE_INTERVAL_S
            effects += self._probe_dead(now)
        return effects

    def handle(self, now: float, sender: str, message: object) -> list[Effect]:
        """Handles a message of the membership protocol."""
        if isinstance(message, Ping):
            effects = self._merge_all(now, message.updates)
            return [
                *effects,
                Send(sender, Acknowledgement(message.sequence, self._select_gossip())),
            ]
        if isinstance(message, Acknowledgement):
            return self._merge_all(now, message.updates) + self._on_acknowledgement(now, message)
        if isinstance(message, PingRequest):
            return self._merge_all(now, message.updates) + self._relay_probe(now, sender, message)
        if isinstance(message, MembershipDigest):
            if message.digest == self._table_digest():
                return []
            return [Send(sender, MembershipTable(self.members(), reply_wanted=True))]
        if isinstance(message, MembershipTable):
            effects = self._merge_all(now, message.members)
            if message.reply_wanted:
                effects.append(Send(sender, MembershipTable(self.members(), reply_wanted=False)))
            return effects
        return []

    def leave(self) -> list[Effect]:
        """Announces that this node is leaving; permanent for the life of the process."""
        if self.local_member.leaving:
            return []
        self._store_record(msgspec.structs.replace(self.local_member, leaving=True))
        targets = [member.node_id for member in self.alive(self.local_member.zone)]
        table = MembershipTable([self.local_member], reply_wanted=False)
        for zone in self.zones():
            targets += self.representatives(zone)
        return [Send(target, table) for target in sorted(set(targets)) if target != self.node_id]

    # Probing.

    def _probe_candidates(self) -> list[str]:
        candidates = [member.node_id for member in self.alive(self.local_member.zone)]
        if self.node_id in self.representatives(self.local_member.zone):
            for zone in self.zones():
                if zone != self.local_member.zone:
                    candidates += self.representatives(zone)
        return [node_id for node_id in candidates if node_id != self.node_id]

    def _start_probe(self, now: float) -> list[Effect]:
        candidates = set(self._probe_candidates())
        while self._probe_order and self._probe_order[-1] not in candidates:
            self._probe_order.pop()
        if not self._probe_order:
            self._probe_order = sorted(candidates)
            self._rng.shuffle(self._probe_order)
        if not self._probe_order:
            return []
        return [self._ping(now, self._probe_order.pop())]

    def _ping(self, now: float, target: str) -> Effect:
        self._sequence += 1
        self._probes[self._sequence] = _Probe(target, now)
        return Send(target, Ping(self._sequence, self._select_gossip(recipient=target)))

    def _check_probes(self, now: float) -> list[Effect]:
        effects: list[Effect] = []
        for sequence, probe in list(self._probes.items()):
            if not probe.indirect and now >= probe.sent_at + constants.PROBE_TIMEOUT_S:
                probe.indirect = True
                effects += self._send_indirect_probes(sequence, probe.target)
            if now >= probe.sent_at + constants.PROBE_INTERVAL_S:
                del self._probes[sequence]
                effects += self._suspect(now, probe.target)
        for sequence, relay in list(self._relays.items()):
            if now >= relay.sent_at + constants.PROBE_INTERVAL_S:
                del self._relays[sequence]
        return effects

    def _send_indirect_probes(self, sequence: int, target: str) -> list[Effect]:
        relays = [node for node in self._probe_candidates() if node != target]
        count = min(constants.INDIRECT_PROBES, len(relays))
        chosen = self._rng.sample(sorted(relays), count)
        return [Send(node, PingRequest(sequence, target, self._select_gossip())) for node in chosen]

    def _relay_probe(self, now: float, sender: str, message: PingRequest) -> list[Effect]:
        self._sequence += 1
        self._relays[self._sequence] = _Relay(sender, message.sequence, now)
        return [
            Send(
                message.target, Ping(self._sequence, self._select_gossip(recipient=message.target))
            )
        ]

    def _on_acknowledgement(self, now: float, message: Acknowledgement) -> list[Effect]:
        relay = self._relays.pop(message.sequence, None)
        if relay is not None:
            return [Send(relay.requester, Acknowledgement(relay.requester_sequence, []))]
        self._probes.pop(message.sequence, None)
        return []

    def _probe_dead(self, now: float) -> list[Effect]:
        """Contacts a dead member, or the seeds if alone, to detect that a partition has healed."""
        dead = sorted(
            member.node_id
            for member in self._members.values()
            if member.state == MemberState.DEAD and not member.leaving
        )
        is_alone = len(self.alive()) < 2
        if is_alone:
            table = MembershipTable([self.local_member], reply_wanted=True)
            self._next_dead_probe_at = now + constants.PROBE_INTERVAL_S
            return [SendToAddress(seed.host, seed.port, table) for seed in self._seeds]
        is_representative = self.node_id in self.representatives(self.local_member.zone)
        if not dead or not is_representative:
            return []
        table = MembershipTable(self.members(), reply_wanted=True)
        return [Send(self._rng.choice(dead), table)]

    # Suspicion.

    def _suspect(self, now: float, node_id: str) -> list[Effect]:
        member = self._members.get(node_id)
        if member is None or member.state != MemberState.ALIVE:
            return []
        suspect = msgspec.structs.replace(member, state=MemberState.SUSPECT)
        return self._merge(now, suspect)

    def _check_suspicions(self, now: float) -> list[Effect]:
        effects: list[Effect] = []
        for node_id, since in list(self._suspected_at.items()):
            member = self._members[node_id]
            if member.state != MemberState.SUSPECT:
                del self._suspected_at[node_id]
            elif now >= since + constants.SUSPICION_TIMEOUT_S:
                dead = msgspec.structs.replace(member, state=MemberState.DEAD)
                effects += self._merge(now, dead)
        return effects

    # The table.

    def _merge_all(self, now: float, updates: list[Member]) -> list[Effect]:
        effects: list[Effect] = []
        for update in updates:
            effects += self._merge(now, update)
        return effects

    def _merge(self, now: float, update: Member) -> list[Effect]:
        if update.node_id == self.node_id:
            return self._merge_self(update)
        known = self._members.get(update.node_id)
        merged = _merge_records(known, update)
        if merged is None:
            return []
        self._store_record(merged)
        if merged.state == MemberState.SUSPECT:
            self._suspected_at.setdefault(merged.node_id, now)
        else:
            self._suspected_at.pop(merged.node_id, None)
        return _change_events(known, merged)

    def _merge_self(self, update: Member) -> list[Effect]:
        """Overrides a suspect, dead or newer record of this node by raising its incarnation."""
        if update.incarnation < self.local_member.incarnation:
            return []
        if (
            update.incarnation == self.local_member.incarnation
            and update.state == MemberState.ALIVE
        ):
            return []
        self._store_record(
            msgspec.structs.replace(self.local_member, incarnation=update.incarnation + 1)
        )
        return [Emit(LogEvent.MEMBER_REFUTED, {"incarnation": self.local_member.incarnation})]

    def _store_record(self, member: Member) -> None:
        if member.node_id == self.local_member.node_id:
            self.local_member = member
        before = self._members.get(member.node_id)
        self._members[member.node_id] = member
        self._alive_cache.clear()
        if before is None or _is_eligible(before) != _is_eligible(member):
            self._eligible_cache.clear()
            self.eligible_version += 1
        self._transmissions_left[member.node_id] = self._retransmission_limit()
        self._digest = None

    def _retransmission_limit(self) -> int:
        return constants.GOSSIP_RETRANSMIT_FACTOR * max(1, len(self._members).bit_length())

    def _select_gossip(self, recipient: str | None = None) -> list[Member]:
        """Selects the updates with the most transmissions left and counts this transmission.

        Includes the recipient's own record if it is suspect or dead, so that it can refute it.
        """
        ranked = sorted(self._transmissions_left, key=lambda node: -self._transmissions_left[node])
        chosen = ranked[: constants.GOSSIP_UPDATES_PER_MESSAGE]
        for node_id in chosen:
            self._transmissions_left[node_id] -= 1
            if self._transmissions_left[node_id] <= 0:
                del self._transmissions_left[node_id]
        member = self._members.get(recipient) if recipient is not None else None
        updates = [self._members[node_id] for node_id in chosen]
        if member is not None and member.state != MemberState.ALIVE and member not in updates:
            updates.append(member)
        return updates

    # Table synchronization.

    def _table_digest(self) -> int:
        if self._digest is None:
            rows = sorted(self._members.values(), key=lambda member: member.node_id)
            self._digest = xxhash.xxh3_64_intdigest(msgspec.msgpack.encode(rows))
        return self._digest

    def _sync_with_seed(self, now: float) -> list[Effect]:
        """Requests a seed's table even if other members are known.

        Nodes that start together can form two disjoint groups that only seeds can connect.
        """
        self._started_at = self._started_at if self._started_at is not None else now
        starting = now < self._started_at + constants.STARTUP_PERIOD_S
        interval_s = (
            constants.STARTUP_SEED_SYNC_INTERVAL_S if starting else constants.SEED_SYNC_INTERVAL_S
        )
        self._next_seed_sync_at = now + interval_s
        if not self._seeds or self.node_id not in self.representatives(self.local_member.zone):
            return []
        seed = self._rng.choice(self._seeds)
        table = MembershipTable([self.local_member], reply_wanted=True)
        return [SendToAddress(seed.host, seed.port, table)]

    def _sync_with_representative(self) -> list[Effect]:
        others = [
            node_id
            for node_id in self.representatives(self.local_member.zone)
            if node_id != self.node_id
        ]
        if not others:
            return []
        return [Send(self._rng.choice(others), MembershipDigest(self._table_digest()))]

    def _sync_zones(self) -> list[Effect]:
        """Sends the table digest to one node of another zone and one of the local zone.

        Only representatives do so.
        """
        if self.node_id not in self.representatives(self.local_member.zone):
            return []
        others = [zone for zone in self.zones() if zone != self.local_member.zone]
        targets: list[str] = []
        if others:
            targets += self.representatives(self._rng.choice(others))[:1]
        peers = [m.node_id for m in self.alive(self.local_member.zone) if m.node_id != self.node_id]
        if peers:
            targets.append(self._rng.choice(sorted(peers)))
        return [Send(target, MembershipDigest(self._table_digest())) for target in targets]


def _is_eligible(member: Member) -> bool:
    return member.state is MemberState.ALIVE and not member.leaving


def _merge_records(known: Member | None, update: Member) -> Member | None:
    """Returns the record to store after receiving `update`, or None if nothing changes."""
    if known is None or update.incarnation > known.incarnation:
        return update
    if update.incarnation < known.incarnation:
        return None
    state = max(known.state, update.state)
    leaving = known.leaving or update.leaving
    if state == known.state and leaving == known.leaving:
        return None
    return msgspec.structs.replace(known, state=MemberState(state), leaving=leaving)


def _change_events(known: Member | None, merged: Member) -> list[Effect]:
    fields: dict[str, object] = {"member": merged.node_id, "zone": merged.zone}
    if merged.leaving and (known is None or not known.leaving):
        return [Emit(LogEvent.MEMBER_LEAVING, fields)]
    before = known.state if known is not None else None
    if merged.state == before:
        return []
    if merged.state == MemberState.DEAD:
        return [Emit(LogEvent.MEMBER_DEAD, fields)]
    if merged.state == MemberState.SUSPECT:
        return [Emit(LogEvent.MEMBER_SUSPECTED, fields)]
    return [Emit(LogEvent.MEMBER_JOINED, fields)]
