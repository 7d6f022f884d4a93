"""Delivers effects of the node core to the HTTP handlers that wait for them."""

from __future__ import annotations

import asyncio
import itertools

from stileloom.effects import Effect
from stileloom.ledger.client import CommandFinished
from stileloom.node import DeliveryFinished, StatusFinished
from stileloom.rollout.messages import DeliveryAnswer, LeaderStatus
from stileloom.routing import AnswerReady, LookupAnswer, TokensReady


class LookupWaiter:
    """Receives the tokens and the answer of one lookup."""

    def __init__(self) -> None:
        self.events: asyncio.Queue[TokensReady | LookupAnswer] = asyncio.Queue()


class Waiters:
    """Pending lookups, commands, delivery reads and status requests."""

    def __init__(self) -> None:
        self._lookups: dict[str, LookupWaiter] = {}
        self._commands: dict[int, asyncio.Future[CommandFinished]] = {}
        self._deliveries: dict[int, asyncio.Future[DeliveryAnswer]] = {}
        self._statuses: dict[int, asyncio.Future[LeaderStatus]] = {}
        self._tickets = itertools.count(1)

    def next_ticket(self) -> int:
        """Returns a ticket that is unique in this process."""
        return next(self._tickets)

    def resolve(self, effect: Effect) -> None:
        """Delivers an effect to its waiter, if there is one."""
        if isinstance(effect, AnswerReady):
            waiter = self._lookups.pop(effect.answer.request_id, None)
            if waiter is not None:
                waiter.events.put_nowait(effect.answer)
        elif isinstance(effect, TokensReady):
            waiter = self._lookups.get(effect.request_id)
            if waiter is not None:
                waiter.events.put_nowait(effect)
        elif isinstance(effect, CommandFinished):
            _set_result(self._commands.pop(effect.ticket, None), effect)
        elif isinstance(effect, DeliveryFinished):
            _set_result(self._deliveries.pop(effect.answer.ticket, None), effect.answer)
        elif isinstance(effect, StatusFinished):
            _set_result(self._statuses.pop(effect.status.ticket, None), effect.status)

    def expect_lookup(self, request_id: str) -> LookupWaiter:
        """Registers a waiter for the tokens and answer of a lookup."""
        waiter = LookupWaiter()
        self._lookups[request_id] = waiter
        return waiter

    def expect_command(self, ticket: int) -> asyncio.Future[CommandFinished]:
        """Registers a waiter for the result of a command."""
        future: asyncio.Future[CommandFinished] = asyncio.get_running_loop().create_future()
        self._commands[ticket] = future
        return future

    def remove_command(self, ticket: int) -> None:
        """Removes the waiter of a command."""
        self._commands.pop(ticket, None)

    def expect_delivery(self, ticket: int) -> asyncio.Future[DeliveryAnswer]:
        """Registers a waiter for a delivery read."""
        future: asyncio.Future[DeliveryAnswer] = asyncio.get_running_loop().create_future()
        self._deliveries[ticket] = future
        return future

    def expect_status(self, ticket: int) -> asyncio.Future[LeaderStatus]:
        """Registers a waiter for the leader's status."""
        future: asyncio.Future[LeaderStatus] = asyncio.get_running_loop().create_future()
        self._statuses[ticket] = future
        return future


def _set_result(future: asyncio.Future | None, value: object) -> None:
    if future is not None and not future.done():
        future.set_result(value)
