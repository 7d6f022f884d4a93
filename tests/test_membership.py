"""Unit tests of the member table: suspicion, refutation, leaving and merging."""

from __future__ import annotations

import random

import msgspec
import testtools

from stileloom import constants
from stileloom.effects import Send, SendToAddress
from stileloom.membership import Member, Membership, MemberState, Seed
from stileloom.membership.messages import MembershipTable, Ping


def member(name: str, zone: str = "a", incarnation: int = 1) -> Member:
    return Member(name, zone, "r", "127.0.0.1", 1, 1, incarnation)


class MembershipTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.table = Membership(member("me"), [], random.Random(1))
        self.receive_gossip(member("other"))

    def receive_gossip(self, *members: Member, now: float = 0.0) -> None:
        self.table.handle(now, "other", MembershipTable(list(members), reply_wanted=False))

    def test_unresponsive_member_is_declared_dead(self) -> None:
        now = 0.0
        while now < constants.PROBE_INTERVAL_S * 2 + constants.SUSPICION_TIMEOUT_S + 1:
            self.table.tick(now)
            now += 0.1
        self.assertFalse(self.table.is_alive("other"))

    def test_death_report_about_local_member_is_refuted(self) -> None:
        self.receive_gossip(msgspec.structs.replace(member("me"), state=MemberState.DEAD))
        self.assertEqual(2, self.table.local_member.incarnation)
        self.assertEqual(MemberState.ALIVE, self.table.local_member.state)

    def test_only_higher_incarnation_revives_dead_member(self) -> None:
        self.receive_gossip(msgspec.structs.replace(member("other"), state=MemberState.DEAD))
        self.receive_gossip(member("other"))
        self.assertFalse(self.table.is_alive("other"))
        self.receive_gossip(member("other", incarnation=2))
        self.assertTrue(self.table.is_alive("other"))

    def test_leaving_is_permanent_within_an_incarnation(self) -> None:
        self.receive_gossip(msgspec.structs.replace(member("other"), leaving=True))
        self.receive_gossip(member("other"))
        known = self.table.get("other")
        assert known is not None
        self.assertTrue(known.leaving)
        self.receive_gossip(member("other", incarnation=2))
        known = self.table.get("other")
        assert known is not None
        self.assertFalse(known.leaving)

    def test_seeds_are_contacted_although_members_are_known(self) -> None:
        """Guards against groups of nodes that start together and never find one another."""
        table = Membership(member("me"), [Seed("127.0.0.1", 7)], random.Random(1))
        table.handle(0.0, "other", MembershipTable([member("other")], reply_wanted=False))
        seed_requests = []
        for tenth in range(100):
            effects = table.tick(tenth / 10)
            seed_requests += [effect for effect in effects if isinstance(effect, SendToAddress)]
        self.assertTrue(seed_requests)

    def test_probe_is_acknowledged(self) -> None:
        (reply,) = self.table.handle(0.0, "other", Ping(7, []))
        assert isinstance(reply, Send)
        self.assertEqual("other", reply.to)
