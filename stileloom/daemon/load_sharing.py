"""Carries out the exchanges of load readings that a gateway decides on.

Handles surges in which samplers are full or slow; the rules are in `load/exchange.py`.
"""

from __future__ import annotations

from collections.abc import Callable

from stileloom.background import BackgroundTasks
from stileloom.clock import steady_time
from stileloom.events import LogEvent
from stileloom.load.exchange import EXCHANGE_TIMEOUT_S, Exchange, LoadExchange
from stileloom.load.messages import LoadShared
from stileloom.load.metrics import LoadMetrics
from stileloom.logging import EventLog
from stileloom.transport.calls import CallConnectionPool, CallFailed


class LoadSharing:
    """Runs exchanges on connections of its own.

    A node of an earlier release closes the connection on an unknown call, which must not break off
    calls about jobs.
    """

    def __init__(self, exchange: LoadExchange, log: EventLog, metrics: LoadMetrics) -> None:
        self.on_nodes_needed: Callable[[], None] = lambda: None
        """Called when the ledger nodes of the zone should be read again."""
        self._exchange = exchange
        self._log = log
        self._metrics = metrics
        self._connections = CallConnectionPool()
        self._tasks = BackgroundTasks(log)
        self._chosen: dict[str, str] = {}
        """Node of the last successful exchange, by service."""

    def on_lookup_active(self, service: str) -> None:
        """Starts an exchange if one is due; called while a lookup of the service is forwarded."""
        now = steady_time()
        exchange = self._exchange.begin(service, now)
        if exchange is not None:
            self._tasks.spawn(self._run(exchange))
        elif self._exchange.needs_nodes(service, now):
            self.on_nodes_needed()

    def stop(self) -> None:
        """Cancels exchanges and closes the connections."""
        self._tasks.cancel()
        self._connections.close()

    async def _run(self, exchange: Exchange) -> None:
        try:
            reply = await self._connections.call(
                exchange.address, exchange.call, EXCHANGE_TIMEOUT_S
            )
        except CallFailed as failure:
            self._on_failure(exchange, "no_reply" if failure.sent else "lost", str(failure))
            return
        except Exception as error:
            # The address is what another program registered: a wrong port or host name raises
            # other exceptions, after which the service must not count as in an exchange for ever.
            self._on_failure(exchange, "error", repr(error))
            return
        if not isinstance(reply, LoadShared):
            self._on_failure(exchange, "invalid", type(reply).__name__)
            return
        self._exchange.complete(exchange, reply, steady_time())
        self._metrics.exchanges.labels("completed").inc()
        if self._chosen.get(exchange.service) != exchange.node:
            self._chosen[exchange.service] = exchange.node
            self._log.emit(
                LogEvent.LOAD_NODE_CHOSEN, {"service": exchange.service, "node": exchange.node}
            )

    def _on_failure(self, exchange: Exchange, outcome: str, detail: str) -> None:
        delay_s = self._exchange.fail(exchange, steady_time())
        self._metrics.exchanges.labels(outcome).inc()
        self._chosen.pop(exchange.service, None)
        self.on_nodes_needed()
        self._log.emit(
            LogEvent.LOAD_NODE_LOST,
            {
                "service": exchange.service,
                "node": exchange.node,
                "reason": detail,
                "retry_s": delay_s,
            },
        )
