"""Sans-I/O core of a node: connects its components; performs no I/O and reads no clock.

Both the daemon and the simulator drive this class. Components return effects. Effects addressed
to another component of the same node are executed here (`_process_effects`); all others are
returned to the driver.
"""

from __future__ import annotations

import itertools
import random
from collections.abc import Callable
from typing import Any

import msgspec

from stileloom.api.engine import CancelState, LoadReport, StreamChunk, StreamEnd
from stileloom.api.objects import Configuration, Machine
from stileloom.configuration import (
    ConfigurationAdopted,
    ConfigurationAuthority,
    ConfigurationNode,
    MachinesAdopted,
    RaiseFloor,
)
from stileloom.configuration.messages import GrantReply, GrantRequest, RenewReply
from stileloom.effects import Effect, Emit, Send
from stileloom.events import LogEvent
from stileloom.ledger import Applied, Dropped, LedgerClient, LedgerReplica
from stileloom.ledger.client import CommandFinished
from stileloom.ledger.commands import ClaimKey, Command, CommandResult, ReleaseKey
from stileloom.ledger.leader_tracker import LeaderHint, LeaderTracker
from stileloom.ledger.messages import CommandAnswer, CommandForward
from stileloom.membership import Member, Membership, MemberState, Seed
from stileloom.node import dispatch
from stileloom.node.ownership import Ownership
from stileloom.node.status import leader_status
from stileloom.policy import PolicyRegistry
from stileloom.rollout import (
    Controller,
    ControllerView,
    HandOverTicket,
    Mechanism,
    Propose,
    ProposeHandOver,
    SchedulerKind,
    make_scheduler,
)
from stileloom.rollout.messages import (
    DeliveryAnswer,
    DeliveryRequest,
    DrainSampler,
    LeaderStatus,
    StatusRequest,
)
from stileloom.routing import Gateway, GatewayView, LookupRequest
from stileloom.routing.messages import ClaimIdempotencyKey, Explanation, ReleaseIdempotencyKey
from stileloom.samplers import CommitSampleRequest, SamplerOwner
from stileloom.samplers.messages import (
    GenerationInterrupted,
    GenerationKey,
    SamplerReport,
    StartGeneration,
)
from stileloom.samplers.table import SamplerTable

CONTROLLER_TICK_INTERVAL_S = 0.1


class DeliveryFinished(msgspec.Struct, frozen=True):
    """Response to `request_deliveries`."""

    answer: DeliveryAnswer


class StatusFinished(msgspec.Struct, frozen=True):
    """Response to `request_status`."""

    status: LeaderStatus


class _CommitTicket(msgspec.Struct, frozen=True):
    """Associates a command result with a generation of this node's sampler owner."""

    key: GenerationKey


class _ClaimTicket(msgspec.Struct, frozen=True):
    """Associates a command result with a lookup of this node's gateway."""

    request_id: str


class _ForwardTicket(msgspec.Struct, frozen=True):
    """Associates an applied command with the node that forwarded it."""

    sender: str
    ticket: int


_Handler = Callable[[float, str, Any], list[Effect]]


class NodeCore:
    """State and behaviour of one node.

    Times are in monotonic seconds unless named wall time.
    """

    def __init__(
        self,
        local_member: Member,
        seeds: list[Seed],
        rng: random.Random,
        now: float,
        replica: LedgerReplica | None = None,
        scheduler: SchedulerKind = SchedulerKind.DEFAULT,
        disabled_mechanisms: frozenset[Mechanism] = frozenset(),
    ) -> None:
        """`disabled_mechanisms` are left out of the default scheduler, for benchmarks."""
        self.node_id = local_member.node_id
        self.zone = local_member.zone
        self.membership = Membership(local_member, seeds, rng)
        self.configuration = ConfigurationNode(local_member.node_id, local_member.zone)
        self.replica = replica
        self.tracker = LeaderTracker(self._voter_ids)
        self.client = LedgerClient(self.tracker, first_ticket=rng.randrange(1 << 40))
        self.gateway = Gateway(local_member.node_id, local_member.zone, rng, now)
        self.owner = SamplerOwner(local_member.node_id)
        self.table = SamplerTable()
        self.ownership = Ownership(self.membership, self.table)
        self.controller: Controller | None = None
        self.authority: ConfigurationAuthority | None = None
        self.policies = PolicyRegistry({})
        self.draining = False
        self.wall_time_s = 0.0
        self._scheduler_kind = scheduler
        self._disabled_mechanisms = disabled_mechanisms
        # Shared by all controllers, so that no number repeats within an epoch: an epoch has several
        # controllers if its leader lease expires and is renewed.
        self._controller_sequence = itertools.count(1)
        self._internal_tickets: dict[int, _CommitTicket | _ClaimTicket | None] = {}
        self._next_controller_tick_at = now
        self._handlers: dict[type, _Handler] = {}
        self._register_handlers()

    # Queries.

    def leader(self, now: float) -> str | None:
        """Returns the ledger leader known to this node, or None."""
        if self.replica is not None and self.replica.leader is not None:
            return self.replica.leader
        return self.tracker.leader(now)

    @property
    def revision(self) -> int:
        """Configuration revision held by this node, or 0 if none."""
        return self.configuration.store.revision

    @property
    def ready(self) -> bool:
        """Whether this node accepts client requests."""
        return self.configuration.store.configuration is not None and not self.draining

    def _is_healthy(self, node_id: str) -> bool:
        member = self.membership.get(node_id)
        return member is not None and member.state is MemberState.ALIVE

    def _voter_ids(self) -> list[str]:
        return [member.node_id for member in self.membership.alive() if member.voter]

    # Timers and incoming messages.

    def tick(self, now: float, wall_time_s: float) -> list[Effect]:
        """Runs the timers of all components."""
        self.wall_time_s = wall_time_s
        leader = self.leader(now)
        effects = self._emit_rule_failures()
        effects += self.membership.tick(now)
        effects += self.client.tick(now)
        effects += self._tick_replica(now)
        contact = leader if leader is not None else self.tracker.next_target(now)
        effects += self.configuration.tick(now, self.ownership.readers(), contact)
        self._tick_ownership(now)
        effects += self.owner.tick(now, leader, self.ownership.gateways_by_sampler)
        effects += self.gateway.tick(now, self._gateway_view(now))
        effects += self._tick_controller(now)
        return self._process_effects(now, effects)

    def receive(self, now: float, sender: str, message: object) -> list[Effect]:
        """Handles a message from another node."""
        return self._process_effects(now, self._handle(now, sender, message))

    def _handle(self, now: float, sender: str, message: object) -> list[Effect]:
        handler = self._handlers.get(type(message))
        return handler(now, sender, message) if handler is not None else []

    def _register_handlers(self) -> None:
        groups: list[tuple[tuple[type, ...], _Handler]] = [
            (dispatch.MEMBERSHIP_MESSAGES, self.membership.handle),
            (dispatch.CONFIGURATION_MESSAGES, self._on_configuration_message),
            (dispatch.LEDGER_MESSAGES, self._on_ledger_message),
            (dispatch.OWNER_MESSAGES, self._on_owner_message),
            (dispatch.CONTROLLER_MESSAGES, self._on_controller_message),
        ]
        for kinds, handler in groups:
            for kind in kinds:
                self._handlers[kind] = handler
        self._handlers[GrantRequest] = self._on_grant_request
        self._handlers[SamplerReport] = self._on_sampler_report
        self._handlers[CommandForward] = self._on_command_forward
        self._handlers[CommandAnswer] = self._on_command_answer
        self._handlers[LeaderHint] = self._on_leader_hint
        self._handlers[DeliveryRequest] = self._on_delivery_request
        self._handlers[DeliveryAnswer] = lambda now, sender, message: [DeliveryFinished(message)]
        self._handlers[StatusRequest] = self._on_status_request
        self._handlers[LeaderStatus] = lambda now, sender, message: [StatusFinished(message)]
        self._handlers[DrainSampler] = self._on_drain_sampler

    # Message handlers.

    def _on_configuration_message(self, now: float, sender: str, message: object) -> list[Effect]:
        if isinstance(message, GrantReply):
            self.tracker.update(now, sender, message.epoch)
        if isinstance(message, RenewReply):
            self.tracker.update(now, message.leader, message.epoch)
        return self.configuration.handle(now, sender, message)

    def _on_ledger_message(self, now: float, sender: str, message: object) -> list[Effect]:
        return self.replica.handle(now, sender, message) if self.replica is not None else []

    def _on_owner_message(self, now: float, sender: str, message: object) -> list[Effect]:
        if isinstance(message, StartGeneration) and not self._admits_rollouts(now):
            refused = GenerationInterrupted(
                message.key, message.sampler_id, message.partial, failed=True
            )
            return [Send(sender, refused)]
        return self.owner.handle(now, sender, message)

    def _on_controller_message(self, now: float, sender: str, message: object) -> list[Effect]:
        view = self._controller_view(now)
        if self.controller is None or view is None:
            return []
        return self.controller.handle(now, sender, message, view)

    def _on_sampler_report(self, now: float, sender: str, message: object) -> list[Effect]:
        assert isinstance(message, SamplerReport)
        return self.table.on_report(now, message)

    def _on_leader_hint(self, now: float, sender: str, message: object) -> list[Effect]:
        assert isinstance(message, LeaderHint)
        self.tracker.update(now, message.leader, message.epoch)
        return []

    def _on_grant_request(self, now: float, sender: str, message: object) -> list[Effect]:
        assert isinstance(message, GrantRequest)
        if self.authority is None or not self._is_active_leader(now) or self.replica is None:
            return [Send(sender, self._leader_hint(now))]
        floor = self.replica.state.configuration_floor
        return self.authority.on_request(now, sender, message, floor)

    def _leader_hint(self, now: float) -> LeaderHint:
        leader = self.leader(now)
        epoch = self.replica.epoch if self.replica is not None else 0
        return LeaderHint(leader if leader is not None and leader != self.node_id else "", epoch)

    def _on_command_forward(self, now: float, sender: str, message: object) -> list[Effect]:
        assert isinstance(message, CommandForward)
        if self.replica is None or not self._is_active_leader(now):
            return [
                Send(sender, CommandAnswer(message.ticket, None, self._leader_hint(now).leader))
            ]
        ticket = _ForwardTicket(sender, message.ticket)
        return self.replica.propose(now, message.command, ticket)

    def _on_command_answer(self, now: float, sender: str, message: object) -> list[Effect]:
        assert isinstance(message, CommandAnswer)
        return self.client.handle(now, sender, message)

    def _on_delivery_request(self, now: float, sender: str, message: object) -> list[Effect]:
        assert isinstance(message, DeliveryRequest)
        if self.controller is None or self.replica is None or not self._is_active_leader(now):
            return [Send(sender, DeliveryAnswer(message.ticket, None, not_leader=True))]
        return self.controller.pending_reads.add_read(now, sender, message, self.replica.state)

    def _on_status_request(self, now: float, sender: str, message: object) -> list[Effect]:
        assert isinstance(message, StatusRequest)
        if self.controller is None or self.replica is None or self.authority is None:
            return [Send(sender, self._leader_hint(now))]
        status = leader_status(
            now,
            message.ticket,
            self.node_id,
            self.replica,
            self.controller,
            self.authority,
            self.table,
        )
        return [Send(sender, status)]

    def _on_drain_sampler(self, now: float, sender: str, message: object) -> list[Effect]:
        assert isinstance(message, DrainSampler)
        return self.table.mark_draining(message.sampler_id)

    # Component timers.

    def _is_active_leader(self, now: float) -> bool:
        return self.replica is not None and self.replica.is_active_leader(now)

    def _admits_rollouts(self, now: float) -> bool:
        return self.configuration.store.lease_valid(now) and not self.draining

    def _tick_replica(self, now: float) -> list[Effect]:
        if self.replica is None:
            return []
        dead = {m.node_id for m in self.membership.members()} - {
            m.node_id for m in self.membership.alive()
        }
        self.replica.unavailable = dead
        return self.replica.tick(now)

    def _tick_ownership(self, now: float) -> None:
        changed = self.ownership.refresh(now, self.configuration.store.configuration)
        self.owner.set_owned_samplers(now, self.ownership.owned)
        if changed:
            self.owner.schedule_report()

    def _tick_controller(self, now: float) -> list[Effect]:
        if not self._is_active_leader(now) or self.replica is None:
            return self._stop_controller()
        effects = self._start_controller(now)
        view = self._controller_view(now)
        if self.controller is None or view is None or now < self._next_controller_tick_at:
            return effects
        self._next_controller_tick_at = now + CONTROLLER_TICK_INTERVAL_S
        return effects + self.controller.tick(now, view)

    def _start_controller(self, now: float) -> list[Effect]:
        assert self.replica is not None
        epoch = self.replica.epoch
        if self.controller is not None and self.controller.epoch == epoch:
            return []
        scheduler = make_scheduler(self._scheduler_kind, self._disabled_mechanisms)
        self.controller = Controller(epoch, scheduler, now, self._controller_sequence)
        self.authority = ConfigurationAuthority(epoch, now)
        # Announces the new leader: owners then report their running generations to it.
        hint = LeaderHint(self.node_id, epoch)
        others = [m.node_id for m in self.membership.alive() if m.node_id != self.node_id]
        announcements: list[Effect] = [Send(node_id, hint) for node_id in others]
        return [Emit(LogEvent.CONTROLLER_STARTED, {"epoch": epoch}), *announcements]

    def _stop_controller(self) -> list[Effect]:
        """Discards the controller and its in-memory state when the leader lease expires."""
        if self.controller is None:
            return []
        epoch = self.controller.epoch
        self.controller = None
        self.authority = None
        return [Emit(LogEvent.CONTROLLER_STOPPED, {"epoch": epoch})]

    def _controller_view(self, now: float) -> ControllerView | None:
        configuration = self.configuration.store.configuration
        if self.replica is None or configuration is None or not self._is_active_leader(now):
            return None
        return ControllerView(
            state=self.replica.state,
            configuration=configuration,
            policies=self.policies,
            table=self.table,
            owner_of=self.ownership.owner_of,
            is_healthy=self._is_healthy,
            wall_time_s=self.wall_time_s,
            admits_rollouts=self.configuration.store.lease_valid(now),
        )

    def _gateway_view(self, now: float) -> GatewayView:
        store = self.configuration.store
        return GatewayView(
            configuration=store.configuration,
            policies=self.policies,
            table=self.table,
            subset=self.ownership.subset,
            wall_time_s=self.wall_time_s,
            lease_valid=store.lease_valid(now),
            time_since_lease_expiry_s=store.time_since_lease_expiry(now),
        )

    # Driver callbacks.

    def persisted(self, now: float, write_id: int) -> list[Effect]:
        """Completes `Persist`: its write is durable."""
        if self.replica is None:
            return []
        return self._process_effects(now, self.replica.persisted(now, write_id))

    def configuration_fetched(
        self, now: float, configuration: Configuration | None
    ) -> list[Effect]:
        """Completes `FetchConfiguration`; None if there is no newer revision or the API failed."""
        leader = self.leader(now) or self.tracker.next_target(now)
        return self._process_effects(
            now, self.configuration.configuration_fetched(now, configuration, leader)
        )

    def machines_fetched(self, now: float, machines: list[Machine] | None) -> list[Effect]:
        """Completes `FetchMachines`; None if the machine list is unavailable."""
        return self._process_effects(now, self.configuration.machines_fetched(machines))

    def load_reported(self, now: float, sampler_id: str, load: LoadReport | None) -> list[Effect]:
        """Completes `QueryLoad`; None if the engine did not respond."""
        self.owner.load_reported(now, sampler_id, load)
        return []

    def stream_chunk(self, now: float, request_id: str, chunk: StreamChunk) -> list[Effect]:
        """Handles a chunk of tokens received on a stream."""
        if self.owner.owns_stream(request_id):
            return self._process_effects(now, self.owner.stream_chunk(request_id, chunk))
        return self._process_effects(now, self.gateway.stream_chunk(now, request_id, chunk))

    def stream_end(self, now: float, request_id: str, end: StreamEnd) -> list[Effect]:
        """Handles the final frame of a stream, which carries its token count."""
        if self.owner.owns_stream(request_id):
            return self._process_effects(now, self.owner.stream_end(request_id, end))
        view = self._gateway_view(now)
        return self._process_effects(now, self.gateway.stream_end(now, request_id, end, view))

    def stream_failed(
        self, now: float, request_id: str, never_started: bool, detail: str
    ) -> list[Effect]:
        """Handles a stream that was rejected, truncated or lost."""
        if self.owner.owns_stream(request_id):
            return self._process_effects(now, self.owner.stream_failed(request_id))
        effects = self.gateway.stream_failed(
            now, request_id, never_started, detail, self._gateway_view(now)
        )
        return self._process_effects(now, effects)

    def cancel_confirmed(
        self, now: float, request_id: str, state: CancelState | None
    ) -> list[Effect]:
        """Completes `ConfirmNotRun`."""
        return self._process_effects(now, self.gateway.cancel_confirmed(now, request_id, state))

    # Calls from the HTTP server.

    def submit_lookup(self, now: float, request: LookupRequest) -> list[Effect]:
        """Submits a lookup; exactly one `AnswerReady` effect follows."""
        return self._process_effects(
            now, self.gateway.submit(now, request, self._gateway_view(now))
        )

    def cancel_lookup(self, now: float, request_id: str) -> list[Effect]:
        """Cancels a lookup whose client disconnected."""
        return self._process_effects(now, self.gateway.on_caller_disconnected(request_id))

    def explain(self, now: float, request: LookupRequest) -> Explanation:
        """Explains how a lookup would be routed. Raises the same errors as its admission."""
        return self.gateway.explain(now, request, self._gateway_view(now))

    def submit_command(self, now: float, command: Command) -> tuple[int, list[Effect]]:
        """Submits a command to the ledger; `CommandFinished` with the returned ticket follows."""
        ticket, effects = self.client.submit(now, command)
        return ticket, self._process_effects(now, effects)

    def request_deliveries(self, now: float, request: DeliveryRequest) -> list[Effect]:
        """Requests deliveries from the leader.

        The caller must retry if no `DeliveryFinished` effect follows.
        """
        return self._send_to_leader(now, request)

    def request_status(self, now: float, ticket: int) -> list[Effect]:
        """Requests the leader's status; a `StatusFinished` effect may follow."""
        return self._send_to_leader(now, StatusRequest(ticket))

    def _send_to_leader(self, now: float, message: object) -> list[Effect]:
        """Sends a message to the leader, or to a voter if the leader is unknown."""
        leader = self.leader(now) or self.tracker.next_target(now)
        return self._process_effects(now, [Send(leader, message)]) if leader is not None else []

    def drain(self, now: float) -> list[Effect]:
        """Stops admitting work and hands over running generations; finishes in-flight lookups.

        The driver stops the process once the node is `idle`.
        """
        if self.draining:
            return []
        self.draining = True
        self.gateway.draining = True
        effects: list[Effect] = [Emit(LogEvent.DRAIN_STARTED, {})]
        # Announces the departure first, so that handed-over work is not assigned to this node.
        effects += self.membership.leave()
        return self._process_effects(now, effects + self.owner.hand_over())

    def drain_sampler(self, now: float, sampler_id: str) -> list[Effect]:
        """Broadcasts an operator's request to drain a sampler to all nodes."""
        message = DrainSampler(sampler_id)
        targets = [member.node_id for member in self.membership.alive()]
        return self._process_effects(now, [Send(target, message) for target in targets])

    @property
    def idle(self) -> bool:
        """Whether this node has no work in flight."""
        return self.gateway.open_count == 0 and self.owner.running_count == 0

    # Effects between components.

    def _process_effects(self, now: float, effects: list[Effect]) -> list[Effect]:
        """Executes internal effects and those that follow from them; returns external effects."""
        external: list[Effect] = []
        pending = list(reversed(effects))
        while pending:
            effect = pending.pop()
            resulting = self._execute_internal(now, effect)
            if resulting is None:
                external.append(effect)
            else:
                pending.extend(reversed(resulting))
        return external

    def _execute_internal(self, now: float, effect: Effect) -> list[Effect] | None:
        """Executes an internal effect and returns the resulting effects; None if external."""
        if isinstance(effect, Send):
            return (
                self._handle(now, self.node_id, effect.message) if self._is_local(effect) else None
            )
        if isinstance(effect, Applied | Dropped):
            result = effect.result if isinstance(effect, Applied) else None
            return self._on_applied(now, effect.ticket, result)
        if isinstance(effect, Propose | RaiseFloor):
            ticket = effect if isinstance(effect, RaiseFloor) else None
            return self._propose(now, effect.command, ticket)
        if isinstance(effect, ProposeHandOver):
            return self._propose(now, effect.command, effect.ticket)
        if isinstance(effect, CommitSampleRequest):
            return self._submit_internal(now, effect.command, _CommitTicket(effect.key))
        if isinstance(effect, ClaimIdempotencyKey):
            return self._submit_internal(
                now, self._claim_command(effect.request), _ClaimTicket(effect.request.request_id)
            )
        if isinstance(effect, ReleaseIdempotencyKey):
            request = effect.request
            command = ReleaseKey(request.idempotency_key, request.request_id)
            return self._submit_internal(now, command, None)
        if isinstance(effect, CommandFinished) and effect.ticket in self._internal_tickets:
            return self._on_internal_result(now, effect)
        if isinstance(effect, ConfigurationAdopted):
            return self._on_configuration_adopted()
        if isinstance(effect, MachinesAdopted):
            return self.table.set_machines(self.configuration.store.machines)
        return None

    def _is_local(self, effect: Send) -> bool:
        return effect.to == self.node_id

    def _claim_command(self, request: LookupRequest) -> ClaimKey:
        return ClaimKey(
            request.idempotency_key,
            request.body_digest,
            request.request_id,
            request.repeatable,
            self.wall_time_s,
        )

    def _propose(self, now: float, command: Command, ticket: object) -> list[Effect]:
        if self.replica is None or not self._is_active_leader(now):
            return self._on_applied(now, ticket, None)
        return self.replica.propose(now, command, ticket)

    def _submit_internal(
        self, now: float, command: Command, ticket: _CommitTicket | _ClaimTicket | None
    ) -> list[Effect]:
        number, effects = self.client.submit(now, command)
        self._internal_tickets[number] = ticket
        return effects

    def _on_internal_result(self, now: float, effect: CommandFinished) -> list[Effect]:
        ticket = self._internal_tickets.pop(effect.ticket)
        if isinstance(ticket, _CommitTicket):
            return self.owner.committed(now, ticket.key, effect.result)
        if isinstance(ticket, _ClaimTicket):
            return self.gateway.on_claim_result(
                now, ticket.request_id, effect.result, self._gateway_view(now)
            )
        return []

    def _on_applied(self, now: float, ticket: object, result: CommandResult | None) -> list[Effect]:
        """Handles the result of a command proposed by this node; None if it was dropped."""
        if isinstance(ticket, _ForwardTicket):
            return [Send(ticket.sender, CommandAnswer(ticket.ticket, result, ""))]
        if isinstance(ticket, HandOverTicket) and self.controller is not None:
            return self.controller.pending_reads.on_hand_over_result(ticket, result)
        if isinstance(ticket, RaiseFloor) and result is not None:
            return self._on_floor_raised(now)
        return []

    def _on_floor_raised(self, now: float) -> list[Effect]:
        if self.authority is None or self.replica is None or not self._is_active_leader(now):
            return []
        return self.authority.floor_raised(now, self.replica.state.configuration_floor)

    def _emit_rule_failures(self) -> list[Effect]:
        return [
            Emit(LogEvent.RULE_FAILED, msgspec.to_builtins(failure))
            for failure in self.policies.take_failures()
        ]

    def _on_configuration_adopted(self) -> list[Effect]:
        configuration = self.configuration.store.configuration
        assert configuration is not None
        self.policies = PolicyRegistry(configuration.policies)
        return []
