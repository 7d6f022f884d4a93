"""The replicated state machine: rounds, samples, deliveries, keys, jobs and quarantine.

A snapshot is an encoded `LedgerState`. `apply` is deterministic: it reads no clock and uses no
random numbers.
"""

from __future__ import annotations

import msgspec

from stileloom.api.samples import (
    Delivery,
    Prompt,
    Sample,
    oldest_version,
    segments_are_contiguous,
)
from stileloom.errors import ErrorKind
from stileloom.jobs.registry import JobRegistry
from stileloom.ledger.commands import (
    AcknowledgeDeliveries,
    ChangeVoters,
    ClaimKey,
    ClearSuspects,
    CloseUsageWindow,
    Command,
    CommandResult,
    CommitSample,
    DeliveryPage,
    Done,
    EndJob,
    ForgetJob,
    ForgetSuspects,
    HandOver,
    MarkUsageSent,
    OpenOrderWindow,
    PromptsAccepted,
    PublishVersion,
    RaiseConfigurationFloor,
    RecordFinalUsage,
    RecordIntervals,
    RecordJobAges,
    RecordResults,
    RecordSamplerEnds,
    Refused,
    RegisterRound,
    ReleaseKey,
    RetireNode,
    SampleRefused,
    SaveProgress,
    StartEpoch,
    StartTrial,
    SubmitJob,
    SubmitPrompts,
    Voter,
)
from stileloom.metering.book import UsageRegistry
from stileloom.quarantine.book import QuarantineRegistry

KEY_RETENTION_S = 3600.0
MAX_REMEMBERED_BATCHES = 256


class OpenSlot(msgspec.Struct):
    """A slot without an accepted sample."""

    prompt: Prompt
    discarded_attempts: int = 0


class KeyClaim(msgspec.Struct):
    """The request that claimed an idempotency key."""

    body_digest: int
    request_id: str
    claimed_at_s: float


class RoundState(msgspec.Struct):
    """State of one round."""

    name: str
    staleness_bound: int
    samples_per_step: int
    reorder_window_steps: int
    version: int
    next_slot: int = 0
    open_slots: dict[int, OpenSlot] = msgspec.field(default_factory=dict)
    ready: dict[int, Sample] = msgspec.field(default_factory=dict)
    """Accepted samples that are not delivered yet, by slot."""
    slots_of_ready: dict[int, OpenSlot] = msgspec.field(default_factory=dict)
    """Slots of the samples in `ready`, kept to reopen a slot if its sample becomes stale."""
    deliveries: list[Delivery] = msgspec.field(default_factory=list)
    """Delivered but not acknowledged; offsets are contiguous from `acknowledged`."""
    acknowledged: int = 0
    handed_over_at_version: int = 0
    """Samples delivered since the current version was published."""
    discarded_tokens: int = 0
    batches: dict[str, PromptsAccepted] = msgspec.field(default_factory=dict)

    @property
    def next_offset(self) -> int:
        """Offset of the next delivery."""
        return self.acknowledged + len(self.deliveries)

    def due_before(self, until_offset: int) -> int:
        """Slots below the returned one must be delivered before the log reaches `until_offset`."""
        steps = until_offset // self.samples_per_step - self.reorder_window_steps
        return max(0, steps) * self.samples_per_step

    def delivery_order(self) -> list[int]:
        """Ready slots in delivery order: those that become stale at the next version come first.

        Among these, longer samples come first, so that the fewest tokens are discarded if not
        all of them fit. The others follow in slot order.
        """

        def key(slot_number: int) -> tuple[bool, int, int]:
            sample = self.ready[slot_number]
            if self.age_of(sample) < self.staleness_bound:
                return (True, 0, slot_number)
            return (False, -len(sample.tokens), slot_number)

        return sorted(self.ready, key=key)

    def age_of(self, sample: Sample) -> int:
        """Number of versions from the sample's oldest segment to the current version."""
        oldest = oldest_version(sample.segments)
        return self.version - (oldest if oldest is not None else self.version)


class LedgerState(msgspec.Struct):
    """The replicated state."""

    rounds: dict[str, RoundState] = msgspec.field(default_factory=dict)
    keys: dict[str, KeyClaim] = msgspec.field(default_factory=dict)
    voters: list[Voter] = msgspec.field(default_factory=list)
    configuration_floor: int = 0
    job_book: JobRegistry = msgspec.field(default_factory=JobRegistry)
    retired_nodes: set[str] = msgspec.field(default_factory=set)
    """Nodes that are being retired or have been; they do not become voters again."""
    order_windows: int = 0
    """Number of order windows opened so far."""
    last_order_holder: str = ""
    """The node that opened the newest order window."""
    last_leader: str = ""
    quarantine: QuarantineRegistry = msgspec.field(default_factory=QuarantineRegistry)
    """Requests during which samplers crashed."""
    usage: UsageRegistry = msgspec.field(default_factory=UsageRegistry)
    """Usage of tenants that is not reported yet."""

    def apply(self, command: Command) -> CommandResult:
        """Applies a committed command."""
        if isinstance(command, CommitSample):
            return self._commit_sample(command)
        if isinstance(command, HandOver):
            return self._hand_over(command)
        if isinstance(command, AcknowledgeDeliveries):
            return self._acknowledge(command)
        if isinstance(command, SubmitPrompts):
            return self._submit_prompts(command)
        if isinstance(command, PublishVersion):
            return self._publish_version(command)
        if isinstance(command, RegisterRound):
            return self._register_round(command)
        if isinstance(command, ClaimKey):
            return self._claim_key(command)
        if isinstance(command, ReleaseKey):
            return self._release_key(command)
        if isinstance(command, RaiseConfigurationFloor):
            self.configuration_floor = max(self.configuration_floor, command.revision)
            return Done()
        if isinstance(command, ChangeVoters):
            self.voters = command.voters
            return Done()
        if isinstance(command, RetireNode):
            self.retired_nodes.add(command.node_id)
            return Done()
        if isinstance(command, SubmitJob | RecordResults | SaveProgress | EndJob | ForgetJob):
            return self._apply_to_jobs(command)
        if isinstance(command, RecordSamplerEnds | ClearSuspects | StartTrial | ForgetSuspects):
            return self._apply_to_quarantine(command)
        if isinstance(command, RecordFinalUsage | CloseUsageWindow | MarkUsageSent):
            return self._apply_to_usage(command)
        if isinstance(command, RecordIntervals):
            self.job_book.interval_s = command.interval_s
            return Done()
        if isinstance(command, RecordJobAges):
            self.job_book.record_ages(command.age_s)
            return Done()
        if isinstance(command, OpenOrderWindow):
            self.order_windows += 1
            self.last_order_holder = command.holder
            return Done()
        assert isinstance(command, StartEpoch)
        self.last_leader = command.leader
        return Done()

    def _apply_to_jobs(
        self, command: SubmitJob | RecordResults | SaveProgress | EndJob | ForgetJob
    ) -> CommandResult:
        registry = self.job_book
        if isinstance(command, SubmitJob):
            return Done(duplicate=not registry.submit(command.submission))
        if isinstance(command, RecordResults):
            registry.record(command.job_id, command.finished)
            return Done()
        if isinstance(command, SaveProgress):
            registry.save(command.job_id, command.items)
            return Done()
        if isinstance(command, ForgetJob):
            registry.forget(command.job_id)
            return Done()
        if not registry.end(command.job_id):
            return Refused(ErrorKind.UNKNOWN_JOB, f"unknown job {command.job_id!r}")
        return Done()

    def _apply_to_quarantine(
        self, command: RecordSamplerEnds | ClearSuspects | StartTrial | ForgetSuspects
    ) -> CommandResult:
        registry = self.quarantine
        if isinstance(command, RecordSamplerEnds):
            registry.record(command.ends, command.at_s)
        elif isinstance(command, ClearSuspects):
            registry.clear(command.identities)
        elif isinstance(command, ForgetSuspects):
            registry.remove_expired(command.at_s)
        elif not registry.start_trial(command.identity, command.at_s):
            return Refused(ErrorKind.QUARANTINED, "the next trial of this request is not due yet")
        return Done()

    def _apply_to_usage(
        self, command: RecordFinalUsage | CloseUsageWindow | MarkUsageSent
    ) -> CommandResult:
        if isinstance(command, RecordFinalUsage):
            self.usage.record(command.source, command.totals)
        elif isinstance(command, MarkUsageSent):
            self.usage.mark_sent(command.window)
        elif not self.usage.close(command.window, command.counts):
            return Refused(ErrorKind.CONFLICT, f"window {command.window} is closed already")
        return Done()

    def _register_round(self, command: RegisterRound) -> CommandResult:
        existing = self.rounds.get(command.round_name)
        if existing is None:
            self.rounds[command.round_name] = RoundState(
                name=command.round_name,
                staleness_bound=command.staleness_bound,
                samples_per_step=command.samples_per_step,
                reorder_window_steps=command.reorder_window_steps,
                version=command.first_version,
            )
            return Done()
        existing.staleness_bound = command.staleness_bound
        existing.samples_per_step = command.samples_per_step
        existing.reorder_window_steps = command.reorder_window_steps
        return Done(duplicate=True)

    def _submit_prompts(self, command: SubmitPrompts) -> CommandResult:
        round_state = self.rounds.get(command.round_name)
        if round_state is None:
            return _unknown_round(command.round_name)
        earlier = round_state.batches.get(command.batch_id)
        if earlier is not None:
            return earlier
        first_slot = round_state.next_slot
        for prompt in command.prompts:
            round_state.open_slots[round_state.next_slot] = OpenSlot(prompt)
            round_state.next_slot += 1
        accepted = PromptsAccepted(first_slot, len(command.prompts))
        round_state.batches[command.batch_id] = accepted
        if len(round_state.batches) > MAX_REMEMBERED_BATCHES:
            round_state.batches.pop(next(iter(round_state.batches)))
        return accepted

    def _commit_sample(self, command: CommitSample) -> CommandResult:
        round_state = self.rounds.get(command.round_name)
        if round_state is None:
            return _unknown_round(command.round_name)
        sample = command.sample
        slot = round_state.open_slots.get(sample.slot)
        if slot is None:
            if sample.slot >= round_state.next_slot:
                return Refused(ErrorKind.BAD_REQUEST, f"slot {sample.slot} does not exist")
            return Done(duplicate=True)
        if not segments_are_contiguous(sample.segments, len(sample.tokens)):
            return SampleRefused("the sample's segments do not cover its tokens")
        if sample.prompt_id != slot.prompt.prompt_id:
            return SampleRefused("the sample belongs to a different prompt than its slot")
        if round_state.age_of(sample) > round_state.staleness_bound:
            slot.discarded_attempts += 1
            round_state.discarded_tokens += len(sample.tokens)
            return SampleRefused("the sample exceeds the staleness bound")
        del round_state.open_slots[sample.slot]
        round_state.ready[sample.slot] = sample
        round_state.slots_of_ready[sample.slot] = slot
        return Done()

    def _hand_over(self, command: HandOver) -> CommandResult:
        round_state = self.rounds.get(command.round_name)
        if round_state is None:
            return _unknown_round(command.round_name)
        self._reopen_stale_slots(round_state)
        for slot_number in round_state.delivery_order():
            if round_state.next_offset >= command.until_offset:
                break
            sample = round_state.ready.pop(slot_number)
            del round_state.slots_of_ready[slot_number]
            round_state.deliveries.append(
                Delivery(round_state.next_offset, sample, round_state.version)
            )
            round_state.handed_over_at_version += 1
        count = max(0, command.until_offset - round_state.acknowledged)
        return DeliveryPage(round_state.deliveries[:count], round_state.version)

    def _reopen_stale_slots(self, round_state: RoundState) -> None:
        for slot_number, sample in list(round_state.ready.items()):
            if round_state.age_of(sample) > round_state.staleness_bound:
                del round_state.ready[slot_number]
                slot = round_state.slots_of_ready.pop(slot_number)
                slot.discarded_attempts += 1
                round_state.open_slots = {slot_number: slot, **round_state.open_slots}
                round_state.discarded_tokens += len(sample.tokens)

    def _acknowledge(self, command: AcknowledgeDeliveries) -> CommandResult:
        round_state = self.rounds.get(command.round_name)
        if round_state is None:
            return _unknown_round(command.round_name)
        if command.offset > round_state.next_offset:
            return Refused(
                ErrorKind.BAD_REQUEST, f"offset {command.offset} has not been delivered yet"
            )
        count = command.offset - round_state.acknowledged
        if count <= 0:
            return Done(duplicate=True)
        round_state.deliveries = round_state.deliveries[count:]
        round_state.acknowledged = command.offset
        return Done()

    def _publish_version(self, command: PublishVersion) -> CommandResult:
        round_state = self.rounds.get(command.round_name)
        if round_state is None:
            return _unknown_round(command.round_name)
        if command.version <= round_state.version:
            return Done(duplicate=True)
        step = command.version - round_state.version
        stale_offsets = [
            delivery.offset
            for delivery in round_state.deliveries
            if round_state.age_of(delivery.sample) + step > round_state.staleness_bound
        ]
        if stale_offsets:
            # A delivery cannot be withdrawn, and these would exceed the staleness bound with the
            # new version.
            return Refused(
                ErrorKind.STALE_DELIVERIES,
                f"deliveries from offset {stale_offsets[0]} must be acknowledged first",
            )
        round_state.version = command.version
        round_state.handed_over_at_version = 0
        self._reopen_stale_slots(round_state)
        return Done()

    def _claim_key(self, command: ClaimKey) -> CommandResult:
        self._expire_keys(command.claimed_at_s)
        claim = self.keys.get(command.key)
        if claim is None:
            self.keys[command.key] = KeyClaim(
                command.body_digest, command.request_id, command.claimed_at_s
            )
            return Done()
        if claim.body_digest != command.body_digest:
            return Refused(
                ErrorKind.KEY_REUSED, "the key was already used with a different request body"
            )
        if claim.request_id == command.request_id or command.repeatable:
            return Done(duplicate=True)
        return Refused(
            ErrorKind.KEY_IN_USE, f"the key is already claimed by request {claim.request_id}"
        )

    def _release_key(self, command: ReleaseKey) -> CommandResult:
        claim = self.keys.get(command.key)
        if claim is not None and claim.request_id == command.request_id:
            del self.keys[command.key]
        return Done()

    def _expire_keys(self, now_s: float) -> None:
        """Removes expired claims.

        Claims are stored in order of arrival, which is close to the order of their timestamps:
        clock skew between gateways is much smaller than the retention.
        """
        while self.keys:
            oldest = next(iter(self.keys))
            if self.keys[oldest].claimed_at_s + KEY_RETENTION_S > now_s:
                return
            del self.keys[oldest]


def _unknown_round(name: str) -> Refused:
    return Refused(ErrorKind.UNKNOWN_ROUND, f"unknown round {name!r}")
