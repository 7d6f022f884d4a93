"""What a connection attempt tells of a sampler's process."""

from __future__ import annotations

import asyncio

import testtools

from stileloom.quarantine.end_probe import ListenerSign, probe_listener
from tests.ports import free_port

HOST = "127.0.0.1"


class ProbeListenerTest(testtools.TestCase):
    """Only a port without a listener shows that a process has ended."""

    def test_a_listening_process_and_an_ended_one_are_told_apart(self) -> None:
        async def scenario() -> None:
            server = await asyncio.start_server(lambda reader, writer: writer.close(), HOST, 0)
            address = server.sockets[0].getsockname()[:2]
            opened: list[int] = []
            sign = await probe_listener(address, lambda: opened.append(1))
            self.assertEqual(ListenerSign.LISTENS, sign)
            self.assertEqual([1], opened)
            server.close()
            await server.wait_closed()
            self.assertEqual(ListenerSign.REFUSED, await probe_listener((HOST, free_port())))

        asyncio.run(scenario())
