"""Sharing of readings within a zone, in virtual time; frames are encoded as they are sent."""

from __future__ import annotations

import asyncio
import itertools
import random
import time
import tracemalloc

import msgspec
import testtools

from stileloom.api.sampler_directory import SamplerEntry
from stileloom.hashing import rendezvous_ranked
from stileloom.load import LoadReading, LoadView
from stileloom.load.exchange import Exchange, LoadExchange, LoadShareService, ReadingReceiver
from stileloom.load.messages import KnownReading, LoadShared, SharedReading, ShareLoadCall
from stileloom.proxy.sampler_table import SamplerTable
from stileloom.transport.call_frames import CallFrame, ReplyFrame
from stileloom.transport.calls import FRAME_HEADER, encode_frame
from stileloom.transport.compression import pack

SERVICE = "lookups"
FULL = LoadReading(6, 1, 6, 1.0)
SLOW = LoadReading(2, 0, 6, 2.5)
IDLE = LoadReading(2, 0, 6, 1.0)
ROUND_TRIP_S = 0.002


def entry(number: int, born_ms: int = 1_764_800_000_000) -> SamplerEntry:
    """A sampler with an id of the length that a deployment uses."""
    name = f"lookups-sampler-{number:03}"
    return SamplerEntry(name, SERVICE, ("10.0.0.1", 80), "a", 6, False, {}, born_ms)


def frame_size(message: object) -> int:
    """Bytes of a message on the connection."""
    return FRAME_HEADER.size + len(pack(msgspec.msgpack.encode(message)))


class Node:
    """A ledger node or a gateway with its view and its list of samplers."""

    def __init__(self, entries: list[SamplerEntry]) -> None:
        self.samplers = SamplerTable()
        self.samplers.replace_all(entries)
        self.view = LoadView()
        self.receiver = ReadingReceiver(self.view, self.samplers.entry_of)
        self.exchange = LoadExchange(self.view, self.receiver, self.samplers.entries_of_service)
        self.service = LoadShareService(self.view, self.samplers.entry_of)

    def list_sampler(self, listed: SamplerEntry, now: float) -> None:
        """Applies a new entry of the directory, as the programs do."""
        self.samplers.put(listed)
        self.view.on_listed(listed)
        self.receiver.on_listed(listed, now)
        self.service.receiver.on_listed(listed, now)

    def measure(self, number: int, reading: LoadReading, now: float) -> None:
        """Records an own reading."""
        self.view.record(entry(number), reading, now, now)


class Zone:
    """Gateways and ledger nodes of one zone, with a count of what is sent."""

    def __init__(self, gateways: int, nodes: int = 2, samplers: int = 4) -> None:
        entries = [entry(number) for number in range(samplers)]
        names = [f"ledger-{number}" for number in range(nodes)]
        self.nodes = {name: Node(entries) for name in names}
        self.failing: dict[str, float] = {}
        """Nodes that do not reply, with the time after which a call fails."""
        self.gateways = [Node(entries) for _ in range(gateways)]
        self.order = rendezvous_ranked(SERVICE, names)
        addresses = {name: (f"10.0.1.{number}", 7) for number, name in enumerate(names)}
        for gateway in self.gateways:
            gateway.exchange.update_nodes(addresses)
        self.calls: list[tuple[float, str]] = []
        self.sent_bytes = 0
        self.out_s = self.back_s = ROUND_TRIP_S / 2
        """Time that a call and its reply take."""
        self.busy_s = 0.0
        """Processor time of both sides, without the connections."""

    def forward(self, gateway: Node, now: float) -> Exchange | None:
        """A lookup of the gateway arrives or makes progress; the exchange, if one is due."""
        started_at = time.process_time()
        try:
            return self._forward(gateway, now)
        finally:
            self.busy_s += time.process_time() - started_at

    def _forward(self, gateway: Node, now: float) -> Exchange | None:
        exchange = gateway.exchange.begin(SERVICE, now)
        if exchange is None:
            return None
        self.calls.append((now, exchange.node))
        frame = CallFrame(len(self.calls), exchange.call)
        self.sent_bytes += frame_size(frame)
        if exchange.node in self.failing:
            gateway.exchange.fail(exchange, now + self.failing[exchange.node])
            return exchange
        received = msgspec.msgpack.decode(msgspec.msgpack.encode(frame), type=CallFrame).request
        assert isinstance(received, ShareLoadCall)
        shared = self.nodes[exchange.node].service.handle(received, now + self.out_s)
        answer = ReplyFrame(frame.number, shared)
        self.sent_bytes += frame_size(answer)
        reply = msgspec.msgpack.decode(msgspec.msgpack.encode(answer), type=ReplyFrame).reply
        assert isinstance(reply, LoadShared)
        gateway.exchange.complete(exchange, reply, now + self.out_s + self.back_s)
        return exchange


class SharingTest(testtools.TestCase):
    """What gateways learn from each other, and when they ask."""

    def setUp(self) -> None:
        super().setUp()
        self.zone = Zone(2)
        self.first, self.second = self.zone.gateways

    def test_readings_of_one_gateway_reach_another(self) -> None:
        """Without it, each gateway has to find out by itself that a sampler is slow."""
        self.first.measure(0, SLOW, 10.0)
        self.zone.forward(self.first, 10.0)
        self.second.measure(1, FULL, 10.1)
        self.zone.forward(self.second, 10.1)
        estimate = self.second.view.estimate(entry(0), 10.11)
        self.assertEqual((2.5, True), (estimate.slowness, estimate.shared))
        self.assertAlmostEqual(0.11, estimate.age_s, delta=0.01)
        # The first gateway gets the reading of the second one, and its own stays its own.
        self.zone.forward(self.first, 10.3)
        self.assertTrue(self.first.view.estimate(entry(1), 10.3).shared)
        self.assertFalse(self.first.view.estimate(entry(0), 10.3).shared)

    def test_a_reading_is_sent_once_and_never_passed_on(self) -> None:
        """A reading that circulates would never expire."""
        self.first.measure(0, SLOW, 10.0)
        self.assertEqual(1, len(self.zone.forward(self.first, 10.0).call.readings))
        self.assertEqual(0, len(self.zone.forward(self.first, 10.2).call.readings))
        self.first.measure(0, SLOW, 10.3)
        self.assertEqual(1, len(self.zone.forward(self.first, 10.4).call.readings))
        self.second.measure(1, FULL, 10.4)
        self.zone.forward(self.second, 10.4)
        again = self.zone.forward(self.second, 10.6)
        self.assertEqual([], again.call.readings)
        now = 10.3
        while now < 11.79:
            now += 0.2
            for gateway in self.zone.gateways:
                self.zone.forward(gateway, now)
        for node in (*self.zone.gateways, *self.zone.nodes.values()):
            self.assertEqual([], node.view.unexpired(11.91))

    def test_at_most_one_exchange_in_0_2_s(self) -> None:
        for step in range(200):
            now = 10.0 + step * 0.005
            self.first.measure(0, FULL, now)
            self.zone.forward(self.first, now)
        times = [at for at, _ in self.zone.calls]
        self.assertEqual(5, len(times))
        for earlier, later in itertools.pairwise(times):
            self.assertGreaterEqual(round(later - earlier, 6), 0.2)

    def test_nothing_is_sent_unless_a_sampler_is_full_or_slow(self) -> None:
        self.first.measure(0, IDLE, 10.0)
        self.zone.forward(self.first, 10.0)
        self.first.measure(0, FULL, 11.0)
        self.zone.forward(self.first, 12.51)
        self.assertEqual([], self.zone.calls)

    def test_nothing_is_sent_without_a_fourth_figure(self) -> None:
        """Requirement 9: such a deployment is served as before."""
        for step in range(100):
            now = 10.0 + step * 0.05
            self.first.measure(step % 4, LoadReading(6, 3, 6, None), now)
            self.zone.forward(self.first, now)
        self.assertEqual([], self.zone.calls)

    def test_all_samplers_of_a_large_service_are_shared_in_turn(self) -> None:
        """A message holds 256 readings; the samplers beyond that would never be shared."""
        zone = Zone(2, samplers=600)
        first, second = zone.gateways
        # The node handled a call before; it does not confirm what was sent before its first call.
        second.measure(0, SLOW, 8.0)
        zone.forward(second, 8.0)
        for number in range(600):
            first.measure(number, SLOW, 10.0)
        sizes = [len(zone.forward(first, 10.0 + step * 0.2).call.readings) for step in range(4)]
        self.assertEqual([256, 256, 88, 0], sizes)
        second.measure(0, SLOW, 10.5)
        for step in range(3):
            zone.forward(second, 10.6 + step * 0.2)
        self.assertEqual(600, len(second.view.unexpired(11.1)))

    def test_nodes_are_needed_only_where_an_exchange_would_be_due(self) -> None:
        """A zone may have no ledger node, and each read of the registrations has a cost."""
        self.first.measure(0, FULL, 10.0)
        self.assertFalse(self.first.exchange.needs_nodes(SERVICE, 10.0))
        self.first.exchange.update_nodes({})
        self.second.exchange.update_nodes({})
        self.second.measure(0, IDLE, 10.0)
        self.assertFalse(self.second.exchange.needs_nodes(SERVICE, 10.0))
        needed = 0
        for step in range(200):
            now = 10.0 + step * 0.1
            self.first.measure(0, FULL, now)
            needed += self.first.exchange.needs_nodes(SERVICE, now)
        self.assertEqual(3, needed)

    def test_nothing_is_sent_without_a_ledger_node_in_the_zone(self) -> None:
        self.first.exchange.update_nodes({})
        self.first.measure(0, FULL, 10.0)
        self.assertIsNone(self.zone.forward(self.first, 10.0))

    def test_sampler_whose_birth_does_not_fit_into_a_message_is_left_out(self) -> None:
        """One wrong entry of the directory must not prevent the sharing of the others."""
        zone = Zone(1)
        gateway = zone.gateways[0]
        for number, born_ms in ((5, 2**64), (6, -(2**63) - 1)):
            gateway.list_sampler(entry(number, born_ms), 10.0)
        gateway.measure(0, FULL, 10.0)
        self.assertEqual(1, len(zone.forward(gateway, 10.0).call.readings))

    def test_own_reading_does_not_come_back_as_that_of_another_gateway(self) -> None:
        """A slow way to the node makes the node take the reading for a younger one."""
        self.zone.out_s, self.zone.back_s = 0.15, 0.01
        self.first.measure(0, SLOW, 10.0)
        self.zone.forward(self.first, 10.0)
        self.zone.out_s, self.zone.back_s = 0.001, 0.002
        # A reading measured meanwhile must not give way to the earlier one either.
        for now, measured_at in ((10.2, 10.0), (10.4, 10.1)):
            self.first.view.record(entry(0), SLOW, measured_at, now)
            self.zone.forward(self.first, now)
            estimate = self.first.view.estimate(entry(0), now + 0.01)
            self.assertFalse(estimate.shared)
            self.assertAlmostEqual(now + 0.01 - measured_at, estimate.age_s)
        # A reading that another gateway measured later is taken.
        self.second.measure(0, IDLE, 10.45)
        self.second.measure(1, FULL, 10.45)
        self.zone.forward(self.second, 10.45)
        self.zone.forward(self.first, 10.6)
        self.assertTrue(self.first.view.estimate(entry(0), 10.61).shared)

    def test_own_reading_does_not_come_back_after_a_call_without_a_reply(self) -> None:
        """The node may have received the call after the gateway gave it up."""
        zone = Zone(1, nodes=1)
        gateway = zone.gateways[0]
        gateway.measure(0, SLOW, 10.0)
        exchange = gateway.exchange.begin(SERVICE, 10.0)
        gateway.exchange.fail(exchange, 10.2)
        zone.nodes[exchange.node].service.handle(exchange.call, 10.3)
        zone.forward(gateway, 10.75)
        self.assertFalse(gateway.view.estimate(entry(0), 10.76).shared)

    def test_readings_do_not_get_younger_on_a_slow_way_to_the_node(self) -> None:
        """Otherwise other gateways would give full weight to figures that no longer hold."""
        for out_s, back_s in ((0.15, 0.01), (0.01, 0.15)):
            zone = Zone(2)
            first, second = zone.gateways
            for now in (10.0, 10.4):
                zone.out_s, zone.back_s = out_s, back_s
                first.measure(0, SLOW, now)
                zone.forward(first, now)
            zone.out_s, zone.back_s = 0.001, 0.001
            second.measure(1, FULL, 10.6)
            zone.forward(second, 10.6)
            estimate = second.view.estimate(entry(0), 10.61)
            self.assertTrue(estimate.shared)
            self.assertGreaterEqual(estimate.age_s, 0.21)


class FailureTest(testtools.TestCase):
    """Ledger nodes and gateways that fail; the gateway's own readings stay in use."""

    def setUp(self) -> None:
        super().setUp()
        self.zone = Zone(2)
        self.first, self.second = self.zone.gateways

    def run_surge(self, start: float, end: float) -> list[tuple[float, str]]:
        """Calls of the first gateway, whose lookups make progress every 10 ms."""
        before = len(self.zone.calls)
        for step in range(round((end - start) / 0.01)):
            now = start + step * 0.01
            self.first.measure(0, FULL, now)
            self.assertFalse(self.first.view.estimate(entry(0), now).shared)
            self.zone.forward(self.first, now)
        return self.zone.calls[before:]

    def test_delay_doubles_from_0_5_to_8_s_over_the_nodes_in_rendezvous_order(self) -> None:
        """Guards against calls to nodes that are lost, and against asking only one of them."""
        for timeout_s in (0.0, 0.2):
            self.zone = Zone(1)
            self.first = self.zone.gateways[0]
            self.zone.failing = {name: timeout_s for name in self.zone.nodes}
            calls = self.run_surge(10.0, 50.0)
            gaps = [later[0] - earlier[0] for earlier, later in itertools.pairwise(calls)]
            expected = [0.5, 1.0, 2.0, 4.0, 8.0, 8.0, 8.0]
            for gap, delay_s in zip(gaps, expected, strict=False):
                self.assertAlmostEqual(delay_s + timeout_s, gap, delta=0.011)
            self.assertGreaterEqual(len(gaps), 7)
            ranks = [self.zone.order.index(name) for _, name in calls]
            self.assertEqual([number % 2 for number in range(len(calls))], ranks)

    def test_next_node_takes_over_and_the_preferred_one_returns(self) -> None:
        """Gateways on different nodes do not see each other's readings."""
        preferred, other = self.zone.order
        self.zone.failing = {preferred: 0.2}
        calls = self.run_surge(10.0, 12.0)
        self.assertEqual(preferred, calls[0][1])
        self.assertEqual({other}, {name for _, name in calls[1:]})
        self.assertGreaterEqual(calls[1][0], 10.7)
        self.assertLess(calls[1][0], 10.8)
        # A further loss starts at the shortest delay again.
        self.zone.failing = {other: 0.2}
        calls = self.run_surge(12.0, 14.0)
        self.assertEqual([other, preferred], [name for _, name in calls[:2]])
        self.assertLess(calls[1][0], calls[0][0] + 0.72)
        self.zone.failing = {}
        calls = self.run_surge(14.0, 24.0)
        self.assertEqual(preferred, calls[-1][1])

    def test_a_preferred_node_that_stays_lost_is_asked_ever_less_often(self) -> None:
        """Each attempt costs a call and interrupts the sharing for half a second."""
        preferred, other = self.zone.order
        self.zone.failing = {preferred: 0.2}
        calls = self.run_surge(10.0, 200.0)
        asked = [at for at, name in calls if name == preferred]
        pauses = [later - earlier for earlier, later in itertools.pairwise(asked)]
        for pause_s, expected in zip(pauses, (8.0, 16.0, 32.0, 60.0, 60.0), strict=False):
            self.assertAlmostEqual(expected + 0.2, pause_s, delta=0.25)
        self.assertEqual(6, len(asked))
        # After its return, the next loss begins with the shortest pause.
        self.zone.failing = {}
        self.assertEqual(preferred, self.run_surge(200.0, 250.0)[-1][1])
        self.zone.failing = {preferred: 0.2}
        asked = [at for at, name in self.run_surge(250.0, 260.0) if name == preferred]
        self.assertEqual(2, len(asked))
        self.assertAlmostEqual(8.2, asked[1] - asked[0], delta=0.25)
        # A failure of the other node does not put off the preferred one.
        self.zone.failing = {other: 0.2}
        self.run_surge(260.0, 261.0)
        self.assertEqual(preferred, self.run_surge(261.0, 262.0)[-1][1])

    def test_restarted_node(self) -> None:
        """Its readings are lost; those measured from then on reach the others as before."""
        self.run_surge(10.0, 11.0)
        node = self.zone.order[0]
        self.zone.nodes[node] = Node([entry(number) for number in range(4)])
        self.run_surge(11.0, 11.3)
        self.second.measure(1, SLOW, 11.3)
        self.zone.forward(self.second, 11.3)
        self.assertTrue(self.second.view.estimate(entry(0), 11.3).shared)

    def test_a_restarted_node_gets_the_readings_that_it_lost(self) -> None:
        """They count as sent, so that other gateways would not get them until they expire."""
        node = self.zone.order[0]
        self.first.measure(0, SLOW, 10.0)
        self.zone.forward(self.first, 10.0)
        self.zone.nodes[node] = Node([entry(number) for number in range(4)])
        self.zone.forward(self.first, 10.2)
        self.assertEqual([], self.zone.nodes[node].view.unexpired(10.2))
        self.assertEqual(1, len(self.zone.forward(self.first, 10.4).call.readings))
        self.assertEqual([], self.zone.forward(self.first, 10.6).call.readings)
        known = self.zone.nodes[node].view.latest(entry(0))
        self.assertAlmostEqual(10.0, known.measured_at, delta=0.005)

    def test_readings_that_a_node_ignored_after_a_stall_are_sent_again(self) -> None:
        service = self.zone.nodes[self.zone.order[0]].service
        for at in (8.0, 10.0):
            service.step(at)
        self.first.measure(0, SLOW, 10.0)
        self.assertEqual(1, len(self.zone.forward(self.first, 10.0).call.readings))
        service.step(10.2)
        self.assertEqual(1, len(self.zone.forward(self.first, 10.2).call.readings))
        service.step(10.4)
        self.assertEqual([], self.zone.forward(self.first, 10.4).call.readings)
        self.second.measure(1, FULL, 10.4)
        self.zone.forward(self.second, 10.4)
        self.assertTrue(self.second.view.estimate(entry(0), 10.41).shared)

    def test_a_reply_of_an_earlier_release_confirms_what_was_sent(self) -> None:
        """Nodes are replaced one by one; an earlier one does not say what it keeps."""
        encoded_reply = msgspec.msgpack.encode({"type": "LoadShared", "readings": []})
        reply = msgspec.msgpack.decode(encoded_reply, type=LoadShared)
        self.first.measure(0, SLOW, 10.0)
        exchange = self.first.exchange.begin(SERVICE, 10.0)
        self.first.exchange.complete(exchange, reply, 10.002)
        self.assertEqual([], self.first.exchange.begin(SERVICE, 10.2).call.readings)

    def test_frozen_node_does_not_take_old_readings_for_new_ones(self) -> None:
        """The ages in calls that waited while the process was stopped are too small."""
        node = self.zone.nodes[self.zone.order[0]]
        for step in range(10):
            node.service.step(10.0 + step * 0.1)
        self.first.measure(0, SLOW, 11.0)
        call = self.first.exchange.begin(SERVICE, 11.0).call
        node.service.step(20.0)
        node.service.handle(call, 20.0)
        self.assertEqual([], node.view.unexpired(20.0))
        for step in range(3):
            node.service.step(20.1 + step * 0.1)
        node.service.handle(call, 20.3)
        self.assertEqual(1, len(node.view.unexpired(20.3)))

    def test_reply_that_was_held_up_makes_nothing_newer(self) -> None:
        """The gateway itself may have been frozen between the reply and its reading."""
        self.first.measure(1, FULL, 10.0)
        exchange = self.first.exchange.begin(SERVICE, 10.0)
        shared = encoded(entry(0), age_ms=100)
        self.first.exchange.complete(exchange, LoadShared([shared]), 10.19)
        self.assertAlmostEqual(0.29, self.first.view.estimate(entry(0), 10.19).age_s)
        self.first.measure(1, FULL, 10.5)
        exchange = self.first.exchange.begin(SERVICE, 10.5)
        self.first.exchange.complete(exchange, LoadShared([encoded(entry(2), age_ms=0)]), 15.0)
        self.assertEqual([], self.first.view.unexpired(15.0))

    def test_gateway_that_is_cut_off(self) -> None:
        """It uses what it has until that expires, and then the median of what it measures."""
        self.first.measure(0, SLOW, 10.0)
        self.zone.forward(self.first, 10.0)
        self.second.measure(1, FULL, 10.1)
        self.zone.forward(self.second, 10.1)
        self.zone.failing = {name: 0.2 for name in self.zone.nodes}
        for step in range(1, 40):
            now = 10.1 + step * 0.05
            self.second.measure(1, FULL, now)
            self.zone.forward(self.second, now)
            estimate = self.second.view.estimate(entry(0), now)
            if now < 10.3:
                self.assertAlmostEqual(2.5, estimate.slowness)
            if now > 11.51:
                self.assertEqual(1.0, estimate.slowness)

    def test_update_of_the_nodes_while_an_exchange_runs(self) -> None:
        """A reading counts as sent only to the node that got it."""
        self.first.measure(0, FULL, 10.0)
        exchange = self.first.exchange.begin(SERVICE, 10.0)
        self.first.exchange.update_nodes({"new": ("10.0.1.9", 7)})
        self.first.exchange.complete(exchange, LoadShared([]), 10.01)
        self.assertEqual(1, len(self.first.exchange.begin(SERVICE, 10.2).call.readings))


def encoded(sampler: SamplerEntry, age_ms: int = 0, **fields: int) -> SharedReading:
    """A reading as another node sends it."""
    figures = {"running": 2, "waiting": 0, "slots": 6, "slowness_percent": 250} | fields
    return SharedReading(sampler.sampler_id, sampler.born_ms, age_ms, **figures)


class AcceptanceTest(testtools.TestCase):
    """Which readings of other nodes are recorded."""

    def setUp(self) -> None:
        super().setUp()
        self.node = Node([entry(0, born_ms=5)])

    def accept(self, *readings: SharedReading, now: float = 10.0) -> None:
        """Passes readings of a gateway to the node."""
        self.node.service.handle(ShareLoadCall(list(readings), []), now)

    def test_expired_and_invalid_readings_are_dropped(self) -> None:
        """A faulty node must not give a sampler a load that nobody measured."""
        listed = entry(0, born_ms=5)
        self.accept(
            encoded(listed, age_ms=1500),
            encoded(listed, age_ms=-1),
            encoded(listed, slots=0),
            encoded(listed, running=-1),
            encoded(listed, slowness_percent=0),
            encoded(listed, waiting=10**9),
        )
        self.assertEqual([], self.node.view.unexpired(10.0))
        self.accept(encoded(listed, age_ms=1499))
        self.assertEqual(1, len(self.node.view.unexpired(10.0)))

    def test_an_earlier_incarnation_is_dropped(self) -> None:
        """Otherwise a restarted sampler would be avoided for the load of its earlier process."""
        self.accept(encoded(entry(0, born_ms=4)))
        self.node.list_sampler(entry(0, born_ms=5), 10.0)
        self.assertEqual([], self.node.view.unexpired(10.0))

    def test_an_unknown_incarnation_counts_once_it_is_listed(self) -> None:
        """The entry of a restarted sampler may reach a gateway before the ledger node."""
        restarted, new = entry(0, born_ms=6), entry(1)
        self.accept(encoded(restarted, age_ms=100), encoded(new))
        self.accept(encoded(restarted, age_ms=500, slowness_percent=900))
        self.assertEqual([], self.node.view.unexpired(10.0))
        self.assertFalse(self.node.view.is_in_use(SERVICE, 10.0))
        self.node.list_sampler(restarted, 10.4)
        estimate = self.node.view.estimate(restarted, 10.4)
        self.assertEqual(2.5, self.node.view.latest(restarted).reading.slowness)
        self.assertTrue(estimate.shared)
        # Five sixths of the weight is left after 0.5 s; without other readings the rest is 1.
        self.assertAlmostEqual(2.25, estimate.slowness)
        self.assertAlmostEqual(0.5, estimate.age_s)
        self.node.list_sampler(new, 11.5)
        self.assertEqual([], self.node.view.unexpired(11.5))

    def test_a_reading_that_differs_by_the_time_of_messages_is_not_returned(self) -> None:
        """The same reading would be returned with each exchange."""
        listed = entry(0, born_ms=5)
        self.node.view.record(listed, SLOW, 10.0, 10.0)
        for age_ms, returned in ((115, 0), (125, 1)):
            known = KnownReading(listed.sampler_id, 5, age_ms)
            reply = self.node.service.handle(ShareLoadCall([], [known]), 10.1)
            self.assertEqual(returned, len(reply.readings))

    def test_ages_are_rounded_up(self) -> None:
        """A reading that loses part of a millisecond with each message gets younger."""
        listed = entry(0, born_ms=5)
        self.node.view.record(listed, SLOW, 10.0, 10.0)
        known = KnownReading(listed.sampler_id, 5, 1500)
        (returned,) = self.node.service.handle(ShareLoadCall([], [known]), 10.1002).readings
        self.assertEqual(101, returned.age_ms)

    def test_at_most_256_readings_of_a_message_count(self) -> None:
        """A faulty node must not take the processor time of another with one message."""
        entries = [entry(number) for number in range(300)]
        node = Node(entries)
        node.service.handle(ShareLoadCall([encoded(one) for one in entries], []), 10.0)
        self.assertEqual(256, len(node.view.unexpired(10.0)))

    def test_unlisted_readings_are_bounded(self) -> None:
        """A node whose directory is unavailable must not collect readings without limit."""
        for number in range(2000):
            self.accept(encoded(entry(number, born_ms=7)), now=10.0 + number * 1e-4)
        self.assertLessEqual(len(self.node.service.receiver._unlisted), 256)


class CostTest(testtools.TestCase):
    """Requirement 7: bytes and calls at 76 and at 390 gateways; none of them leaves the zone."""

    def test_at_most_20_bytes_for_a_reading_plus_ids(self) -> None:
        largest = encoded(
            entry(0), 1499, running=65535, waiting=65535, slots=65535, slowness_percent=65535
        )
        ids = len(entry(0).sampler_id) + len(msgspec.msgpack.encode(entry(0).born_ms))
        self.assertLessEqual(len(msgspec.msgpack.encode(largest)) - ids, 20)
        known = KnownReading(entry(0).sampler_id, entry(0).born_ms, 1500)
        self.assertLessEqual(len(msgspec.msgpack.encode(known)) - ids, 20)

    def test_frames_are_counted_as_they_are_sent(self) -> None:
        call = ShareLoadCall([encoded(entry(number)) for number in range(9)], [])
        frame = CallFrame(300, call)
        self.assertEqual(len(asyncio.run(encode_frame(frame))), frame_size(frame))

    def run_zone(self, gateways: int, lookups_per_s: float, readings: list[LoadReading]) -> Zone:
        """Ten seconds of lookups that arrive at random at the gateways of a zone."""
        rng = random.Random(1)
        zone = Zone(gateways)
        now = 10.0
        events: list[tuple[float, int, bool]] = []
        while now < 20.0:
            now += rng.expovariate(lookups_per_s)
            gateway = rng.randrange(gateways)
            events += [(now, gateway, False), (now + 0.04, gateway, True)]
        for at, number, responds in sorted(events):
            gateway = zone.gateways[number]
            if responds:
                gateway.measure(rng.randrange(4), rng.choice(readings), at)
                if readings is OVERLOADED:
                    # The refused lookup tries another sampler; others end with their response.
                    zone.forward(gateway, at)
            else:
                zone.forward(gateway, at)
        return zone

    def test_memory_grows_with_samplers_only(self) -> None:
        """A process keeps one reading of each sampler, however many responses it gets."""
        sizes = []
        for rounds in (1, 50):
            tracemalloc.start()
            node = Node([])
            before, _ = tracemalloc.get_traced_memory()
            for count in range(rounds):
                for number in range(28):
                    node.measure(number, SLOW, 10.0 + count * 0.1)
            sizes.append(tracemalloc.get_traced_memory()[0] - before)
            tracemalloc.stop()
        print(f"view of 28 samplers: {sizes[0]} bytes after one reading each, {sizes[1]} after 50")
        self.assertLess(sizes[1], 2 * sizes[0])

    def test_cost_of_a_surge_and_at_rest(self) -> None:
        for total in (76, 390):
            in_zone = -(-total // 4)
            # The lookups of a surge grow with the gateways: 480/s are 80 times 6/s at 76 gateways.
            for factor, readings in ((80, OVERLOADED), (1, CALM)):
                zone = self.run_zone(in_zone, factor * 6.0 * total / 76 / 4, readings)
                calls = len(zone.calls)
                if calls:
                    print(
                        f"{total} gateways, {factor} x: {calls / 10 * 4:.0f} calls/s, "
                        f"{zone.sent_bytes / calls:.0f} bytes each with the reply, "
                        f"{zone.sent_bytes / 10 * 4 / 1000:.0f} kB/s in all zones, "
                        f"{zone.busy_s / calls * 1e6:.0f} us of processor time each"
                    )
                if readings is CALM:
                    self.assertEqual(0, calls)
                else:
                    self.assertGreater(calls, 0)
                    self.assertLessEqual(calls, in_zone * (10.0 / 0.2 + 1))


OVERLOADED = [FULL, SLOW, IDLE]
CALM = [IDLE]
