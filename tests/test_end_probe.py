"""Probes whether a process listens on a sampler's address."""

from __future__ import annotations

import asyncio

import testtools

from stileloom.quarantine.end_probe import ProbeResult, probe_listener
from tests.ports import free_port

HOST = "127.0.0.1"


class ProbeListenerTest(testtools.TestCase):
    """Only a refused connection proves that a process has ended."""

    def test_a_listening_process_is_distinguished_from_a_crashed_one(self) -> None:
        async def scenario() -> None:
            server = await asyncio.start_server(lambda reader, writer: writer.close(), HOST, 0)
            address = server.sockets[0].getsockname()[:2]
            opened: list[int] = []
            result = await probe_listener(address, lambda: opened.append(1))
            self.assertEqual(ProbeResult.LISTENING, result)
            self.assertEqual([1], opened)
            server.close()
            await server.wait_closed()
            self.assertEqual(ProbeResult.REFUSED, await probe_listener((HOST, free_port())))

        asyncio.run(scenario())
