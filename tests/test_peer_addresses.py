"""Addresses of ledger nodes."""

from __future__ import annotations

import testtools

from stileloom.ledger.commands import Voter
from stileloom.ledger.messages import LearnerHello
from stileloom.ledger.peer_addresses import PeerAddresses
from stileloom.ledger.wire import LedgerCodec, Sender

ME = ("10.0.0.1", 7000)
LEADER = ("10.0.0.2", 7000)
OTHER = ("10.0.0.3", 7000)


class PeerAddressesTest(testtools.TestCase):
    """A follower must reach the other followers, not only the leader."""

    def test_a_node_with_an_unknown_address_is_reached_through_unnamed_addresses(self) -> None:
        """Guards against a failed election between followers that have not exchanged frames."""
        addresses = PeerAddresses(ME, [ME, LEADER, OTHER])
        addresses.record_sender("leader", LEADER)
        self.assertEqual([OTHER], addresses.targets("other"))

    def test_a_known_address_is_the_only_target(self) -> None:
        addresses = PeerAddresses(ME, [ME, LEADER, OTHER])
        addresses.record_sender("leader", LEADER)
        self.assertEqual([LEADER], addresses.targets("leader"))

    def test_an_address_from_a_frame_takes_precedence_over_the_object_store(self) -> None:
        addresses = PeerAddresses(ME, [])
        addresses.record_sender("other", OTHER)
        addresses.add_registered("other", LEADER)
        self.assertEqual(OTHER, addresses.address_of("other"))

    def test_a_frame_updates_the_address_of_a_moved_node(self) -> None:
        addresses = PeerAddresses(ME, [])
        addresses.add_registered("other", LEADER)
        mine = LedgerCodec(Sender("me", *ME), addresses)
        theirs = LedgerCodec(Sender("other", *OTHER), PeerAddresses(OTHER, []))
        mine.decode(theirs.encode(LearnerHello(Voter("other", "disk"))))
        self.assertEqual(OTHER, addresses.address_of("other"))
