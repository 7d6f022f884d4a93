"""Membership: SWIM with suspicion inside a zone, representatives between zones.

Source: Das, Gupta, Motivala, "SWIM" (2002): probes, indirect probes, suspicion and
incarnations, updates carried on probes. Between zones only a few representatives probe one
another and compare digests of their tables.
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
    """Where a starting node asks for the member table."""

    host: str
    port: int


class _Probe(msgspec.Struct):
    """One probe under way."""

    target: str
    sent_at: float
    indirect: bool = False


class _Relay(msgspec.Struct):
    """A probe made for another node."""

    requester: str
    requester_sequence: int
    sent_at: float


class Membership:
    """The member table of one node and the protocol that keeps it."""

    def __init__(self, me: Member, seeds: list[Seed], rng: random.Random) -> None:
        self.me = me
        self._seeds = seeds
        self._rng = rng
        self._members: dict[str, Member] = {me.node_id: me}
        self._suspected_at: dict[str, float] = {}
        self._probes: dict[int, _Probe] = {}
        self._relays: dict[int, _Relay] = {}
        self._sequence = 0
        self._probe_order: list[str] = []
        self._gossip_left: dict[str, int] = {}
        self._next_probe_at = 0.0
        self._next_zone_sync_at = 0.0
        self._next_node_sync_at = 0.0
        self._started_at: float | None = None
        self._next_seed_sync_at = 0.0
        self._next_dead_probe_at = 0.0
        self._digest: int | None = None
        self._alive: dict[str | None, list[Member]] = {}
        self._working: dict[str | None, list[str]] = {}
        self.working_version = 0
        """Raised whenever the set of working nodes changes; others use it to notice that."""

    # Reading the table.

    @property
    def node_id(self) -> str:
        """This node's id."""
        return self.me.node_id

    def members(self) -> list[Member]:
        """Every known member, also dead ones."""
        return list(self._members.values())

    def get(self, node_id: str) -> Member | None:
        """The record of a node, or None."""
        return self._members.get(node_id)

    def is_alive(self, node_id: str) -> bool:
        """Whether a node is not known to be dead."""
        member = self._members.get(node_id)
        return member is not None and member.state != MemberState.DEAD

    def alive(self, zone: str | None = None) -> list[Member]:
        """Members not known to be dead, in one zone or in all."""
        if zone not in self._alive:
            self._alive[zone] = [
                member
                for member in self._members.values()
                if member.state != MemberState.DEAD and (zone is None or member.zone == zone)
            ]
        return self._alive[zone]

    def working(self, zone: str | None = None) -> list[str]:
        """Nodes to give new work to, in one zone or in all.

        A suspect is passed over until it has refuted.
        """
        if zone not in self._working:
            self._working[zone] = [
                member.node_id for member in self.alive(zone) if _is_working(member)
            ]
        return self._working[zone]

    def zones(self) -> list[str]:
        """All zones that have a member that is not dead, sorted."""
        return sorted({member.zone for member in self.alive()})

    def representatives(self, zone: str) -> list[str]:
        """The nodes that speak for a zone."""
        candidates = [member.node_id for member in self.alive(zone) if not member.leaving]
        ranked = rendezvous_ranked(f"representative/{zone}", candidates)
        return ranked[: constants.REPRESENTATIVES_PER_ZONE]

    # Driving.

    def tick(self, now: float) -> list[Effect]:
        """Runs the timers: probes, suspicions, comparison between zones."""
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
        """Takes one message of the membership protocol."""
        if isinstance(message, Ping):
            effects = self._merge_all(now, message.updates)
            return [*effects, Send(sender, Acknowledgement(message.sequence, self._gossip()))]
        if isinstance(message, Acknowledgement):
            return self._merge_all(now, message.updates) + self._on_acknowledgement(now, message)
        if isinstance(message, PingRequest):
            return self._merge_all(now, message.updates) + self._relay(now, sender, message)
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
        """Marks this node as leaving; sticks until the process ends."""
        if self.me.leaving:
            return []
        self._store(msgspec.structs.replace(self.me, leaving=True))
        targets = [member.node_id for member in self.alive(self.me.zone)]
        table = MembershipTable([self.me], reply_wanted=False)
        for zone in self.zones():
            targets += self.representatives(zone)
        return [Send(target, table) for target in sorted(set(targets)) if target != self.node_id]

    # Probing.

    def _probe_candidates(self) -> list[str]:
        candidates = [member.node_id for member in self.alive(self.me.zone)]
        if self.node_id in self.representatives(self.me.zone):
            for zone in self.zones():
                if zone != self.me.zone:
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
        return Send(target, Ping(self._sequence, self._gossip(about=target)))

    def _check_probes(self, now: float) -> list[Effect]:
        effects: list[Effect] = []
        for sequence, probe in list(self._probes.items()):
            if not probe.indirect and now >= probe.sent_at + constants.PROBE_TIMEOUT_S:
                probe.indirect = True
                effects += self._ask_others(sequence, probe.target)
            if now >= probe.sent_at + constants.PROBE_INTERVAL_S:
                del self._probes[sequence]
                effects += self._suspect(now, probe.target)
        for sequence, relay in list(self._relays.items()):
            if now >= relay.sent_at + constants.PROBE_INTERVAL_S:
                del self._relays[sequence]
        return effects

    def _ask_others(self, sequence: int, target: str) -> list[Effect]:
        helpers = [node for node in self._probe_candidates() if node != target]
        count = min(constants.INDIRECT_PROBES, len(helpers))
        chosen = self._rng.sample(sorted(helpers), count)
        return [Send(node, PingRequest(sequence, target, self._gossip())) for node in chosen]

    def _relay(self, now: float, sender: str, message: PingRequest) -> list[Effect]:
        self._sequence += 1
        self._relays[self._sequence] = _Relay(sender, message.sequence, now)
        return [Send(message.target, Ping(self._sequence, self._gossip(about=message.target)))]

    def _on_acknowledgement(self, now: float, message: Acknowledgement) -> list[Effect]:
        relay = self._relays.pop(message.sequence, None)
        if relay is not None:
            return [Send(relay.requester, Acknowledgement(relay.requester_sequence, []))]
        self._probes.pop(message.sequence, None)
        return []

    def _probe_dead(self, now: float) -> list[Effect]:
        """Probes one dead member, or a seed while alone, so that healed cuts are noticed."""
        dead = sorted(
            member.node_id
            for member in self._members.values()
            if member.state == MemberState.DEAD and not member.leaving
        )
        alone = len(self.alive()) < 2
        if alone:
            table = MembershipTable([self.me], reply_wanted=True)
            self._next_dead_probe_at = now + constants.PROBE_INTERVAL_S
            return [SendToAddress(seed.host, seed.port, table) for seed in self._seeds]
        is_representative = self.node_id in self.representatives(self.me.zone)
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
        merged = _newer(known, update)
        if merged is None:
            return []
        self._store(merged)
        if merged.state == MemberState.SUSPECT:
            self._suspected_at.setdefault(merged.node_id, now)
        else:
            self._suspected_at.pop(merged.node_id, None)
        return _change_events(known, merged)

    def _merge_self(self, update: Member) -> list[Effect]:
        """Refutes whatever others say of this node that is not so."""
        if update.incarnation < self.me.incarnation:
            return []
        if update.incarnation == self.me.incarnation and update.state == MemberState.ALIVE:
            return []
        self._store(msgspec.structs.replace(self.me, incarnation=update.incarnation + 1))
        return [Emit(LogEvent.MEMBER_REFUTED, {"incarnation": self.me.incarnation})]

    def _store(self, member: Member) -> None:
        if member.node_id == self.me.node_id:
            self.me = member
        before = self._members.get(member.node_id)
        self._members[member.node_id] = member
        self._alive.clear()
        if before is None or _is_working(before) != _is_working(member):
            self._working.clear()
            self.working_version += 1
        self._gossip_left[member.node_id] = self._retransmissions()
        self._digest = None

    def _retransmissions(self) -> int:
        return constants.GOSSIP_RETRANSMIT_FACTOR * max(1, len(self._members).bit_length())

    def _gossip(self, about: str | None = None) -> list[Member]:
        """The updates sent least often; a suspect always hears of its suspicion."""
        ranked = sorted(self._gossip_left, key=lambda node: -self._gossip_left[node])
        chosen = ranked[: constants.GOSSIP_UPDATES_PER_MESSAGE]
        for node_id in chosen:
            self._gossip_left[node_id] -= 1
            if self._gossip_left[node_id] <= 0:
                del self._gossip_left[node_id]
        member = self._members.get(about) if about is not None else None
        updates = [self._members[node_id] for node_id in chosen]
        if member is not None and member.state != MemberState.ALIVE and member not in updates:
            updates.append(member)
        return updates

    # Between zones.

    def _table_digest(self) -> int:
        if self._digest is None:
            rows = sorted(self._members.values(), key=lambda member: member.node_id)
            self._digest = xxhash.xxh3_64_intdigest(msgspec.msgpack.encode(rows))
        return self._digest

    def _sync_with_seed(self, now: float) -> list[Effect]:
        """Asks a seed for its table, whoever is known already.

        Nodes that start together can find one another in two islands, each of which is
        content: nobody in one knows of anybody in the other but by the seeds.
        """
        self._started_at = self._started_at if self._started_at is not None else now
        young = now < self._started_at + constants.YOUNG_FOR_S
        interval_s = constants.SEED_SYNC_YOUNG_S if young else constants.SEED_SYNC_OLD_S
        self._next_seed_sync_at = now + interval_s
        if not self._seeds or self.node_id not in self.representatives(self.me.zone):
            return []
        seed = self._rng.choice(self._seeds)
        table = MembershipTable([self.me], reply_wanted=True)
        return [SendToAddress(seed.host, seed.port, table)]

    def _sync_with_representative(self) -> list[Effect]:
        others = [r for r in self.representatives(self.me.zone) if r != self.node_id]
        if not others:
            return []
        return [Send(self._rng.choice(others), MembershipDigest(self._table_digest()))]

    def _sync_zones(self) -> list[Effect]:
        """A representative compares its table with one of another zone, and one of its own."""
        if self.node_id not in self.representatives(self.me.zone):
            return []
        others = [zone for zone in self.zones() if zone != self.me.zone]
        targets: list[str] = []
        if others:
            targets += self.representatives(self._rng.choice(others))[:1]
        peers = [m.node_id for m in self.alive(self.me.zone) if m.node_id != self.node_id]
        if peers:
            targets.append(self._rng.choice(sorted(peers)))
        return [Send(target, MembershipDigest(self._table_digest())) for target in targets]


def _is_working(member: Member) -> bool:
    return member.state is MemberState.ALIVE and not member.leaving


def _newer(known: Member | None, update: Member) -> Member | None:
    """The record to store after hearing `update`, or None where nothing changes."""
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
