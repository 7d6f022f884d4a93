"""The leader's side of configuration: grants to readers, the floor, what is in force."""

from __future__ import annotations

import msgspec

from stileloom import constants
from stileloom.configuration.messages import GrantReply, GrantRequest
from stileloom.effects import Effect, Emit, Send
from stileloom.events import LogEvent
from stileloom.ledger.commands import RaiseConfigurationFloor


class RaiseFloor(msgspec.Struct, frozen=True):
    """Propose this command; grants for the revision wait until it is committed."""

    command: RaiseConfigurationFloor


class _ReaderGrant(msgspec.Struct):
    """A reader that may be serving under a grant."""

    zone: str
    confirmed: int
    revision: int
    until: float


class _Waiting(msgspec.Struct):
    """A grant request that waits for the floor to be committed."""

    reader: str
    request: GrantRequest


class ConfigurationAuthority:
    """Lives while its node leads the ledger."""

    def __init__(self, epoch: int, started_at: float) -> None:
        self._epoch = epoch
        # Grants of earlier leaders may last this long; until then nothing is "in force".
        self._blind_until = started_at + constants.CONFIGURATION_LEASE_S
        self._grants: dict[str, _ReaderGrant] = {}
        self._waiting: dict[str, _Waiting] = {}
        self._asked_floor = 0
        self.in_force = 0

    def zone_revisions(self, now: float) -> dict[str, int]:
        """By zone, the lowest revision that a node there may act on under a lease."""
        lowest: dict[str, int] = {}
        for grant in self._grants.values():
            if now < grant.until:
                lowest[grant.zone] = min(lowest.get(grant.zone, grant.confirmed), grant.confirmed)
        return lowest

    def on_request(
        self, now: float, sender: str, message: GrantRequest, floor: int
    ) -> list[Effect]:
        """Answers a reader, first raising the floor where it brings a newer revision."""
        if message.revision > floor:
            self._waiting[sender] = _Waiting(sender, message)
            if message.revision <= self._asked_floor:
                return []
            self._asked_floor = message.revision
            return [RaiseFloor(RaiseConfigurationFloor(message.revision))]
        return self._grant(now, sender, message, floor)

    def floor_raised(self, now: float, floor: int) -> list[Effect]:
        """The floor was committed: answers the readers that waited for it."""
        effects: list[Effect] = []
        for reader, waiting in list(self._waiting.items()):
            if waiting.request.revision <= floor:
                del self._waiting[reader]
                effects += self._grant(now, reader, waiting.request, floor)
        return effects

    def _grant(self, now: float, reader: str, message: GrantRequest, floor: int) -> list[Effect]:
        known = self._grants.get(reader)
        confirmed = message.confirmed
        lease_s = constants.CONFIGURATION_LEASE_S
        until = now + lease_s
        if known is not None:
            until = max(until, known.until)
        self._grants[reader] = _ReaderGrant(message.zone, confirmed, message.revision, until)
        effects = self._update_in_force(now)
        reply = GrantReply(
            message.nonce, floor, self._holder_of(floor), self.in_force, lease_s, self._epoch
        )
        return [*effects, Send(reader, reply)]

    def _holder_of(self, floor: int) -> str:
        for reader in sorted(self._grants, key=lambda name: -self._grants[name].until):
            if self._grants[reader].revision >= floor:
                return reader
        return ""

    def _update_in_force(self, now: float) -> list[Effect]:
        if now < self._blind_until:
            return []
        for reader, grant in list(self._grants.items()):
            if now >= grant.until:
                del self._grants[reader]
        lowest = min((grant.confirmed for grant in self._grants.values()), default=0)
        if lowest <= self.in_force:
            return []
        self.in_force = lowest
        return [Emit(LogEvent.REVISION_IN_FORCE, {"revision": lowest})]
