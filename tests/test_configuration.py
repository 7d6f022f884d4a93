"""Unit tests of configuration distribution: store, leader authority and reader."""

from __future__ import annotations

import testtools

from stileloom.api.objects import Configuration
from stileloom.configuration import ConfigurationAuthority, ConfigurationStore, RaiseFloor
from stileloom.configuration.messages import GrantReply, GrantRequest, RenewRequest
from stileloom.configuration.reader import Reader
from stileloom.constants import CONFIGURATION_LEASE_S
from stileloom.effects import Effect, Send


def grant_replies(effects: list[Effect]) -> list[GrantReply]:
    return [e.message for e in effects if isinstance(e, Send) and isinstance(e.message, GrantReply)]


class StoreTest(testtools.TestCase):
    def test_lower_revision_is_rejected(self) -> None:
        store = ConfigurationStore()
        self.assertTrue(store.adopt(0.0, Configuration(5)))
        self.assertFalse(store.adopt(0.0, Configuration(4)))
        self.assertFalse(store.adopt(0.0, Configuration(5)))
        self.assertEqual(5, store.revision)

    def test_lease_expires(self) -> None:
        store = ConfigurationStore()
        store.adopt(0.0, Configuration(1))
        store.extend_lease(3.0)
        self.assertTrue(store.lease_valid(2.9))
        self.assertFalse(store.lease_valid(3.0))
        self.assertEqual(1.0, store.time_since_lease_expiry(4.0))


class AuthorityTest(testtools.TestCase):
    def test_grant_waits_for_committed_floor(self) -> None:
        authority = ConfigurationAuthority(epoch=1, started_at=0.0)
        request = GrantRequest(nonce=1, zone="a", revision=7, confirmed=0)
        effects = authority.on_request(1.0, "r", request, floor=0)
        self.assertEqual([], grant_replies(effects))
        self.assertEqual(7, next(e for e in effects if isinstance(e, RaiseFloor)).command.revision)
        (grant,) = grant_replies(authority.floor_raised(1.1, floor=7))
        self.assertEqual(7, grant.floor)

    def test_in_force_is_lowest_revision_of_all_zones(self) -> None:
        authority = ConfigurationAuthority(epoch=1, started_at=-10.0)
        authority.on_request(0.0, "rb", GrantRequest(1, "b", 7, 6), floor=7)
        authority.on_request(0.0, "ra", GrantRequest(1, "a", 7, 7), floor=7)
        self.assertEqual(6, authority.in_force)
        authority.on_request(0.5, "rb", GrantRequest(2, "b", 7, 7), floor=7)
        self.assertEqual(7, authority.in_force)

    def test_expired_grant_does_not_limit_revision_in_force(self) -> None:
        authority = ConfigurationAuthority(epoch=1, started_at=-10.0)
        authority.on_request(0.0, "rb", GrantRequest(1, "b", 6, 6), floor=6)
        authority.on_request(1.0, "ra", GrantRequest(1, "a", 7, 7), floor=7)
        self.assertEqual(6, authority.in_force)
        later = CONFIGURATION_LEASE_S + 0.1
        authority.on_request(later, "ra", GrantRequest(2, "a", 7, 7), floor=7)
        self.assertEqual(7, authority.in_force)

    def test_new_leader_declares_nothing_while_earlier_grants_may_be_valid(self) -> None:
        authority = ConfigurationAuthority(epoch=2, started_at=0.0)
        authority.on_request(1.0, "ra", GrantRequest(1, "a", 7, 7), floor=7)
        self.assertEqual(0, authority.in_force)


class ReaderTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.store = ConfigurationStore()
        self.reader = Reader("r", "a", self.store, now=-10.0)

    def obtain_grant(self, now: float, floor: int) -> list[Effect]:
        """Sends a grant request and delivers the grant immediately."""
        sent = self.reader.tick(now, "leader")
        request = next(
            e.message for e in sent if isinstance(e, Send) and isinstance(e.message, GrantRequest)
        )
        return self.reader.on_grant(
            now, "leader", GrantReply(request.nonce, floor, "other", 0, CONFIGURATION_LEASE_S, 1)
        )

    def test_reader_below_floor_does_not_serve(self) -> None:
        self.reader.configuration_fetched(0.0, Configuration(4), None)
        self.obtain_grant(0.0, floor=5)
        self.assertFalse(self.reader.serving(0.1))
        self.reader.adopt(0.2, Configuration(5))
        self.assertTrue(self.reader.serving(0.3))

    def test_reader_does_not_adopt_revision_above_grant(self) -> None:
        self.reader.configuration_fetched(0.0, Configuration(4), None)
        self.obtain_grant(0.0, floor=4)
        self.reader.configuration_fetched(0.1, Configuration(6), None)
        self.assertEqual(4, self.store.revision)

    def test_starting_node_waits_for_newer_grant(self) -> None:
        self.reader.configuration_fetched(0.0, Configuration(4), None)
        self.obtain_grant(0.0, floor=4)
        starting = RenewRequest(1, 0, 0, starting=True)
        self.assertEqual([], self.reader.on_renew(0.1, "n", starting))
        effects = self.obtain_grant(0.6, floor=4)
        self.assertIn("n", [e.to for e in effects if isinstance(e, Send)])

    def test_reader_confirms_lowest_revision_of_its_nodes(self) -> None:
        self.reader.configuration_fetched(0.0, Configuration(4), None)
        self.obtain_grant(0.0, floor=4)
        self.reader.on_renew(0.1, "n", RenewRequest(1, 4, 0, starting=False))
        self.reader.configuration_fetched(0.2, Configuration(5), None)
        self.obtain_grant(0.6, floor=5)
        self.assertEqual(5, self.store.revision)
        self.assertEqual(4, self.reader.confirmed(0.7))
        self.reader.on_renew(0.8, "n", RenewRequest(2, 5, 0, starting=False))
        self.assertEqual(5, self.reader.confirmed(0.9))
