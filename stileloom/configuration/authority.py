"""Leader side of configuration distribution.

Grants leases to readers, raises the revision floor in the ledger, and determines the revision in
force: the lowest revision confirmed under any grant that has not expired.
"""

from __future__ import annotations

import msgspec

from stileloom import constants
from stileloom.configuration.messages import GrantReply, GrantRequest
from stileloom.effects import Effect, Emit, Send
from stileloom.events import LogEvent
from stileloom.ledger.commands import RaiseConfigurationFloor


class RaiseFloor(msgspec.Struct, frozen=True):
    """Proposes `command`; grants for its revision wait until it is committed."""

    command: RaiseConfigurationFloor


class _ReaderGrant(msgspec.Struct):
    """The latest grant issued to a reader."""

    zone: str
    confirmed: int
    revision: int
    expires_at: float


class _PendingRequest(msgspec.Struct):
    """A grant request waiting for its floor to be committed."""

    reader: str
    request: GrantRequest


class ConfigurationAuthority:
    """Grants configuration leases; exists only while its node leads the ledger."""

    def __init__(self, epoch: int, started_at: float) -> None:
        self._epoch = epoch
        # No revision is declared in force until all grants of earlier leaders have expired.
        self._earlier_grants_expire_at = started_at + constants.CONFIGURATION_LEASE_S
        self._grants: dict[str, _ReaderGrant] = {}
        self._pending: dict[str, _PendingRequest] = {}
        self._proposed_floor = 0
        self.in_force = 0

    def zone_revisions(self, now: float) -> dict[str, int]:
        """Returns, by zone, the lowest revision that a node may act on under a lease."""
        lowest: dict[str, int] = {}
        for grant in self._grants.values():
            if now < grant.expires_at:
                lowest[grant.zone] = min(lowest.get(grant.zone, grant.confirmed), grant.confirmed)
        return lowest

    def on_request(
        self, now: float, sender: str, message: GrantRequest, floor: int
    ) -> list[Effect]:
        """Answers a grant request, after raising the floor if the requested revision is higher."""
        if message.revision > floor:
            self._pending[sender] = _PendingRequest(sender, message)
            if message.revision <= self._proposed_floor:
                return []
            self._proposed_floor = message.revision
            return [RaiseFloor(RaiseConfigurationFloor(message.revision))]
        return self._grant(now, sender, message, floor)

    def floor_raised(self, now: float, floor: int) -> list[Effect]:
        """Answers the pending requests covered by a newly committed floor."""
        effects: list[Effect] = []
        for reader, pending in list(self._pending.items()):
            if pending.request.revision <= floor:
                del self._pending[reader]
                effects += self._grant(now, reader, pending.request, floor)
        return effects

    def _grant(self, now: float, reader: str, message: GrantRequest, floor: int) -> list[Effect]:
        known = self._grants.get(reader)
        confirmed = message.confirmed
        lease_s = constants.CONFIGURATION_LEASE_S
        expires_at = now + lease_s
        if known is not None:
            expires_at = max(expires_at, known.expires_at)
        self._grants[reader] = _ReaderGrant(message.zone, confirmed, message.revision, expires_at)
        effects = self._update_in_force(now)
        reply = GrantReply(
            message.nonce, floor, self._floor_holder(floor), self.in_force, lease_s, self._epoch
        )
        return [*effects, Send(reader, reply)]

    def _floor_holder(self, floor: int) -> str:
        for reader in sorted(self._grants, key=lambda name: -self._grants[name].expires_at):
            if self._grants[reader].revision >= floor:
                return reader
        return ""

    def _update_in_force(self, now: float) -> list[Effect]:
        if now < self._earlier_grants_expire_at:
            return []
        for reader, grant in list(self._grants.items()):
            if now >= grant.expires_at:
                del self._grants[reader]
        lowest = min((grant.confirmed for grant in self._grants.values()), default=0)
        if lowest <= self.in_force:
            return []
        self.in_force = lowest
        return [Emit(LogEvent.REVISION_IN_FORCE, {"revision": lowest})]
