"""Configuration component of a node: keeps its lease renewed with a reader of its zone."""

from __future__ import annotations

from stileloom import constants
from stileloom.api.objects import Configuration, Machine
from stileloom.configuration.effects import ConfigurationAdopted, MachinesAdopted
from stileloom.configuration.messages import (
    ConfigurationPull,
    ConfigurationReply,
    GrantReply,
    MachinesPull,
    MachinesReply,
    RenewReply,
    RenewRequest,
    RevisionNotice,
)
from stileloom.configuration.reader import Reader
from stileloom.configuration.store import ConfigurationStore
from stileloom.effects import Effect, Emit, Send
from stileloom.events import LogEvent
from stileloom.hashing import rendezvous_ranked


class ConfigurationNode:
    """Keeps a node's configuration current; runs a `Reader` while it is a designated reader."""

    def __init__(self, node_id: str, zone: str) -> None:
        self.store = ConfigurationStore()
        self.reader: Reader | None = None
        self._node_id = node_id
        self._zone = zone
        self._nonce = 0
        self._sent_at: dict[int, float] = {}
        self._next_renew_at = float("-inf")
        self._reader_index = 0
        self._renewal_answered = True
        self._lease_was_valid = False

    def tick(self, now: float, readers: list[str], leader: str | None) -> list[Effect]:
        """Updates the reader role and sends due requests.

        `readers` are the designated readers of this zone. `leader` is the ledger leader, or a voter
        to contact if the leader is unknown.
        """
        effects = self._update_role(now, readers)
        if self.reader is not None:
            effects += self.reader.tick(now, leader)
        elif now >= self._next_renew_at:
            effects += self._renew_lease(now, readers)
        return effects + self._report_lease_expiry(now)

    def handle(self, now: float, sender: str, message: object) -> list[Effect]:
        """Handles a message of the configuration protocol."""
        previous_revision = self.store.revision
        effects = self._dispatch(now, sender, message)
        return effects + self._adoption_effects(previous_revision)

    def configuration_fetched(
        self, now: float, configuration: Configuration | None, leader: str | None
    ) -> list[Effect]:
        """Handles a watch result; None if there is no newer revision or the API failed."""
        if self.reader is None:
            return []
        return self.reader.configuration_fetched(now, configuration, leader)

    def machines_fetched(self, machines: list[Machine] | None) -> list[Effect]:
        """Handles a poll of the machine list; None if it failed."""
        if self.reader is None or not self.reader.machines_fetched(machines):
            return []
        return [MachinesAdopted()]

    def _dispatch(self, now: float, sender: str, message: object) -> list[Effect]:
        if isinstance(message, RenewReply):
            return self._on_renew_reply(now, sender, message)
        if isinstance(message, RevisionNotice):
            if message.revision > self.store.revision:
                return [Send(sender, ConfigurationPull())]
            return []
        if isinstance(message, ConfigurationPull):
            if self.store.configuration is None:
                return []
            return [Send(sender, ConfigurationReply(self.store.configuration))]
        if isinstance(message, ConfigurationReply):
            return self._on_configuration(now, message.configuration)
        if isinstance(message, MachinesPull):
            return [Send(sender, MachinesReply(self.store.machines_digest, self.store.machines))]
        if isinstance(message, MachinesReply):
            return [MachinesAdopted()] if self.store.adopt_machines(message.machines) else []
        if self.reader is None:
            return []
        if isinstance(message, GrantReply):
            return self.reader.on_grant(now, sender, message)
        if isinstance(message, RenewRequest):
            return self.reader.on_renew(now, sender, message)
        return []

    def _adoption_effects(self, previous_revision: int) -> list[Effect]:
        if self.store.revision == previous_revision:
            return []
        fields: dict[str, object] = {
            "revision": self.store.revision,
            "before": previous_revision,
        }
        adopted = ConfigurationAdopted(self.store.revision)
        return [Emit(LogEvent.CONFIGURATION_ADOPTED, fields), adopted]

    def _update_role(self, now: float, readers: list[str]) -> list[Effect]:
        is_designated = self._node_id in readers
        if is_designated and self.reader is None:
            self.reader = Reader(self._node_id, self._zone, self.store, now)
            return [Emit(LogEvent.READER_STARTED, {"zone": self._zone})]
        if not is_designated and self.reader is not None:
            self.reader = None
            return [Emit(LogEvent.READER_STOPPED, {"zone": self._zone})]
        return []

    def _renew_lease(self, now: float, readers: list[str]) -> list[Effect]:
        if not readers:
            return []
        if not self._renewal_answered:
            self._reader_index += 1
        self._renewal_answered = False
        ranked = rendezvous_ranked(f"reader-of/{self._node_id}", readers)
        target = ranked[self._reader_index % len(ranked)]
        return self._send_renewal(now, target)

    def _send_renewal(self, now: float, reader: str) -> list[Effect]:
        self._next_renew_at = now + constants.CONFIGURATION_RENEW_INTERVAL_S
        self._nonce += 1
        self._sent_at[self._nonce] = now
        if len(self._sent_at) > 16:
            self._sent_at.pop(next(iter(self._sent_at)))
        starting = self.store.configuration is None
        request = RenewRequest(
            self._nonce, self.store.revision, self.store.machines_digest, starting
        )
        return [Send(reader, request)]

    def _on_renew_reply(self, now: float, sender: str, message: RenewReply) -> list[Effect]:
        sent_at = self._sent_at.pop(message.nonce, None)
        if sent_at is None:
            return []
        self._renewal_answered = True
        self.store.in_force = max(self.store.in_force, message.in_force)
        effects: list[Effect] = []
        if message.machines_digest != self.store.machines_digest:
            effects.append(Send(sender, MachinesPull()))
        if message.revision > self.store.revision:
            return [*effects, Send(sender, ConfigurationPull())]
        if message.lease_s > 0:
            self.store.extend_lease(sent_at + message.lease_s)
        return effects

    def _on_configuration(self, now: float, configuration: Configuration) -> list[Effect]:
        if configuration.revision < self.store.revision:
            fields: dict[str, object] = {
                "offered": configuration.revision,
                "held": self.store.revision,
            }
            return [Emit(LogEvent.CONFIGURATION_REFUSED, fields)]
        if self.reader is not None:
            return self.reader.adopt(now, configuration)
        if self.store.adopt(now, configuration):
            self._next_renew_at = now
        return []

    def _report_lease_expiry(self, now: float) -> list[Effect]:
        valid = self.store.lease_valid(now)
        expired = self._lease_was_valid and not valid
        self._lease_was_valid = valid
        if not expired:
            return []
        return [Emit(LogEvent.CONFIGURATION_LEASE_LAPSED, {"revision": self.store.revision})]
