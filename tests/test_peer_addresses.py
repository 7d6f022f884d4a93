"""Where ledger nodes find one another."""

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
    """A follower that has heard only its leader must still find the other follower."""

    def test_a_node_without_a_known_address_is_reached_through_the_unnamed_ones(self) -> None:
        """Once the leader is gone, two followers that never spoke must elect one of them."""
        addresses = PeerAddresses(ME, [ME, LEADER, OTHER])
        addresses.record_sender("leader", LEADER)
        self.assertEqual([OTHER], addresses.targets("other"))

    def test_a_known_address_is_the_only_target(self) -> None:
        addresses = PeerAddresses(ME, [ME, LEADER, OTHER])
        addresses.record_sender("leader", LEADER)
        self.assertEqual([LEADER], addresses.targets("leader"))

    def test_a_frame_counts_more_than_the_list(self) -> None:
        addresses = PeerAddresses(ME, [])
        addresses.record_sender("other", OTHER)
        addresses.listed("other", LEADER)
        self.assertEqual(OTHER, addresses.of("other"))

    def test_a_node_that_moved_is_found_by_its_frame(self) -> None:
        addresses = PeerAddresses(ME, [])
        addresses.listed("other", LEADER)
        mine = LedgerCodec(Sender("me", *ME), addresses)
        theirs = LedgerCodec(Sender("other", *OTHER), PeerAddresses(OTHER, []))
        mine.decode(theirs.encode(LearnerHello(Voter("other", "disk"))))
        self.assertEqual(OTHER, addresses.of("other"))
