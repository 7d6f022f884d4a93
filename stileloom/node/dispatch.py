"""Which part of a node takes which message, and the union that goes over the wire."""

from __future__ import annotations

import msgspec

from stileloom.configuration import messages as configuration
from stileloom.ledger import messages as ledger
from stileloom.ledger.leader_tracker import LeaderHint
from stileloom.membership import messages as membership
from stileloom.rollout import messages as rollout
from stileloom.samplers import messages as samplers

MEMBERSHIP_MESSAGES = (
    membership.Ping,
    membership.Acknowledgement,
    membership.PingRequest,
    membership.MembershipDigest,
    membership.MembershipTable,
)
CONFIGURATION_MESSAGES = (
    configuration.GrantReply,
    configuration.RenewRequest,
    configuration.RenewReply,
    configuration.RevisionNotice,
    configuration.ConfigurationPull,
    configuration.ConfigurationReply,
    configuration.MachinesPull,
    configuration.MachinesReply,
)
LEDGER_MESSAGES = (
    ledger.VoteRequest,
    ledger.VoteReply,
    ledger.AppendRequest,
    ledger.AppendReply,
    ledger.SnapshotRequest,
    ledger.LearnerHello,
    ledger.IdentityQuestion,
)
OWNER_MESSAGES = (samplers.StartGeneration, samplers.StopGeneration, samplers.OrderSampler)
CONTROLLER_MESSAGES = (
    samplers.GenerationInterrupted,
    samplers.GenerationFinished,
    samplers.RunningReport,
)

DATAGRAM_MESSAGES = (
    membership.Ping,
    membership.Acknowledgement,
    membership.PingRequest,
    membership.MembershipDigest,
    configuration.GrantRequest,
    configuration.GrantReply,
    configuration.RenewRequest,
    configuration.RenewReply,
    configuration.RevisionNotice,
    LeaderHint,
)
"""Small messages that may be lost: sent by UDP. All others go by TCP."""

Message = (
    membership.Ping
    | membership.Acknowledgement
    | membership.PingRequest
    | membership.MembershipDigest
    | membership.MembershipTable
    | configuration.GrantRequest
    | configuration.GrantReply
    | configuration.RenewRequest
    | configuration.RenewReply
    | configuration.RevisionNotice
    | configuration.ConfigurationPull
    | configuration.ConfigurationReply
    | configuration.MachinesPull
    | configuration.MachinesReply
    | ledger.VoteRequest
    | ledger.VoteReply
    | ledger.AppendRequest
    | ledger.AppendReply
    | ledger.SnapshotRequest
    | ledger.LearnerHello
    | ledger.IdentityQuestion
    | ledger.CommandForward
    | ledger.CommandAnswer
    | LeaderHint
    | samplers.StartGeneration
    | samplers.StopGeneration
    | samplers.GenerationInterrupted
    | samplers.GenerationFinished
    | samplers.OrderSampler
    | samplers.SamplerReport
    | samplers.RunningReport
    | rollout.DeliveryRequest
    | rollout.DeliveryAnswer
    | rollout.DrainSampler
    | rollout.StatusRequest
    | rollout.LeaderStatus
)


class Envelope(msgspec.Struct, frozen=True, array_like=True):
    """A message with its sender, as it goes over the wire (msgpack)."""

    sender: str
    message: Message


ENCODER = msgspec.msgpack.Encoder()
DECODER = msgspec.msgpack.Decoder(Envelope)


class NodeCodec:
    """Frames of the internal protocol of one node."""

    def __init__(self, node_id: str) -> None:
        self._node_id = node_id

    def encode(self, message: object) -> bytes:
        """A message in its envelope."""
        return ENCODER.encode(Envelope(self._node_id, message))  # type: ignore[arg-type]

    def decode(self, frame: bytes) -> tuple[str, Message]:
        """The sender and the message. Raises `msgspec.DecodeError`."""
        envelope = DECODER.decode(frame)
        return envelope.sender, envelope.message

    def fits_datagram(self, message: object) -> bool:
        """Whether the message may be lost, and so go by UDP."""
        return isinstance(message, DATAGRAM_MESSAGES)
