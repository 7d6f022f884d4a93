"""Message groups by receiving component, and the codec of the node protocol."""

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
    ledger.SnapshotReply,
    ledger.LearnerHello,
    ledger.IdentityQuestion,
    ledger.HandOver,
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
"""Small, loss-tolerant messages, sent over UDP. All others use TCP."""

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
    | ledger.SnapshotReply
    | ledger.LearnerHello
    | ledger.IdentityQuestion
    | ledger.HandOver
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
    """Wire format of a message with its sender (msgpack)."""

    sender: str
    message: Message


ENCODER = msgspec.msgpack.Encoder()
DECODER = msgspec.msgpack.Decoder(Envelope)


class NodeCodec:
    """Encodes and decodes frames of the node protocol."""

    def __init__(self, node_id: str) -> None:
        self._node_id = node_id

    def encode(self, message: object) -> bytes:
        """Encodes a message with this node as the sender."""
        return ENCODER.encode(Envelope(self._node_id, message))  # type: ignore[arg-type]

    def decode(self, frame: bytes) -> tuple[str, Message]:
        """Returns the sender and the message. Raises `msgspec.DecodeError`."""
        envelope = DECODER.decode(frame)
        return envelope.sender, envelope.message

    def uses_datagram(self, message: object) -> bool:
        """Returns whether the message is sent over UDP."""
        return isinstance(message, DATAGRAM_MESSAGES)
