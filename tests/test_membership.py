"""Membership by hand: refutation, leaving, merging."""

from __future__ import annotations

import random

import msgspec
import testtools

from stileloom import constants
from stileloom.effects import Send, SendToAddress
from stileloom.membership import Member, Membership, MemberState, Seed
from stileloom.membership.messages import MembershipTable, Ping


def member(name: str, zone: str = "a", incarnation: int = 1) -> Member:
    """A member."""
    return Member(name, zone, "r", "127.0.0.1", 1, 1, incarnation)


class MembershipTest(testtools.TestCase):
    """One node's table."""

    def setUp(self) -> None:
        super().setUp()
        self.table = Membership(member("me"), [], random.Random(1))
        self.hear(member("other"))

    def hear(self, *members: Member, now: float = 0.0) -> None:
        """Gossip arrives."""
        self.table.handle(now, "other", MembershipTable(list(members), reply_wanted=False))

    def test_a_silent_member_is_suspected_and_then_dead(self) -> None:
        now = 0.0
        while now < constants.PROBE_INTERVAL_S * 2 + constants.SUSPICION_TIMEOUT_S + 1:
            self.table.tick(now)
            now += 0.1
        self.assertFalse(self.table.is_alive("other"))

    def test_a_suspicion_of_oneself_is_refuted(self) -> None:
        self.hear(msgspec.structs.replace(member("me"), state=MemberState.DEAD))
        self.assertEqual(2, self.table.local_member.incarnation)
        self.assertEqual(MemberState.ALIVE, self.table.local_member.state)

    def test_a_higher_incarnation_wins_and_a_lower_one_is_ignored(self) -> None:
        self.hear(msgspec.structs.replace(member("other"), state=MemberState.DEAD))
        self.hear(member("other"))
        self.assertFalse(self.table.is_alive("other"))
        self.hear(member("other", incarnation=2))
        self.assertTrue(self.table.is_alive("other"))

    def test_leaving_sticks_for_an_incarnation(self) -> None:
        self.hear(msgspec.structs.replace(member("other"), leaving=True))
        self.hear(member("other"))
        known = self.table.get("other")
        assert known is not None
        self.assertTrue(known.leaving)
        self.hear(member("other", incarnation=2))
        known = self.table.get("other")
        assert known is not None
        self.assertFalse(known.leaving)

    def test_islands_find_one_another_by_the_seeds(self) -> None:
        """A node that knows others goes on to ask seeds: they may know a whole other island."""
        table = Membership(member("me"), [Seed("127.0.0.1", 7)], random.Random(1))
        table.handle(0.0, "other", MembershipTable([member("other")], reply_wanted=False))
        asked = []
        for tenth in range(100):
            effects = table.tick(tenth / 10)
            asked += [effect for effect in effects if isinstance(effect, SendToAddress)]
        self.assertTrue(asked)

    def test_a_probe_is_answered(self) -> None:
        (reply,) = self.table.handle(0.0, "other", Ping(7, []))
        assert isinstance(reply, Send)
        self.assertEqual("other", reply.to)
