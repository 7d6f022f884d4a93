"""The rollout controller, which runs on the ledger leader for one epoch.

Each tick reconciles the ledger, the configuration and the sampler reports, and sends orders.
All state can be rebuilt by the next leader: samples and versions are in the ledger, and owners
report running generations.
"""

from __future__ import annotations

from collections.abc import Iterator

from stileloom import constants
from stileloom.api.engine import EngineOrder, EngineState
from stileloom.api.objects import Round, SamplerRole
from stileloom.effects import Effect, Emit, Send
from stileloom.events import LogEvent
from stileloom.ledger.commands import RegisterRound
from stileloom.ledger.state import LedgerState, RoundState
from stileloom.policy import PoolInput, RequestInput, RoundInput, RuleInputs
from stileloom.rollout.assignments import AssignmentTable
from stileloom.rollout.delivery import PendingReads
from stileloom.rollout.lead import LeadEstimate
from stileloom.rollout.roles import SamplerRoles
from stileloom.rollout.scheduler import Scheduler
from stileloom.rollout.view import ControllerView, PlanInputs, PlanRecord, Propose
from stileloom.rollout.work import (
    Assignment,
    Migration,
    PendingSlot,
    RoundWork,
    SamplerCapacity,
    Start,
)
from stileloom.samplers.messages import (
    GenerationFinished,
    GenerationInterrupted,
    GenerationKey,
    OrderSampler,
    RunningReport,
    StartGeneration,
    StopGeneration,
)
from stileloom.samplers.table import SamplerView
from stileloom.weights import SwapPlanner, SwapTarget

FAILED_SAMPLER_BACKOFF_S = 1.0
MAX_PLAN_INTERVAL_S = 1.0
"""Maximum time between two plans of a round whose inputs have not changed."""
REGISTER_RETRY_INTERVAL_S = 1.0
SWEEP_INTERVAL_S = 0.5
"""Interval at which lost assignments and those of closed slots are dropped."""
PLAN_BUDGET_PER_TICK = 1000
"""Pending slots plus samplers examined per tick; the remaining rounds wait for the next tick."""


class Controller:
    """Plans generations, weight swaps and role changes of all rounds for one epoch."""

    def __init__(
        self, epoch: int, scheduler: Scheduler, now: float, sequence: Iterator[int]
    ) -> None:
        """`sequence` must not repeat a number within an epoch."""
        self.epoch = epoch
        self.assignments = AssignmentTable()
        self.pending_reads = PendingReads()
        self.discarded_partial_tokens = 0
        self._scheduler = scheduler
        self._swaps = SwapPlanner(epoch, sequence)
        self._roles = SamplerRoles()
        self._discovery_ends_at = now + constants.CONTROLLER_DISCOVERY_PERIOD_S
        self._reported_owners: set[str] = set()
        self._sequence = sequence
        self._backoff_until: dict[str, float] = {}
        self._next_sweep_at = float("-inf")
        self._next_round = 0
        self._plan_records: dict[str, PlanRecord] = {}
        self._versions: dict[str, int] = {}
        self._version_seen_at: dict[str, float] = {}
        self._leads: dict[str, LeadEstimate] = {}
        self._proposed_at: dict[str, float] = {}

    # Tick and messages.

    def tick(self, now: float, view: ControllerView) -> list[Effect]:
        """Runs one reconciliation pass."""
        effects: list[Effect] = []
        if now >= self._next_sweep_at:
            self._next_sweep_at = now + SWEEP_INTERVAL_S
            self.assignments.drop_closed(view.state)
            effects += self.assignments.drop_lost(now, view.is_healthy)
            effects += self._register_rounds(now, view)
        lent: dict[str, str] = {}
        if self._scheduler.lends_samplers:
            lent = self._roles.lent_samplers(now, view)
        effects += self._swap_weights(now, view, lent)
        effects += self._plan_rounds(now, view, lent)
        return effects + self.pending_reads.tick(
            now, view.state, self._protected_counts(view.state)
        )

    def _plan_rounds(self, now: float, view: ControllerView, lent: dict[str, str]) -> list[Effect]:
        """Plans rounds in turn until the budget is used up; the next tick resumes there.

        A long tick would delay the heartbeats that renew the leader's lease.
        """
        effects: list[Effect] = []
        budget = PLAN_BUDGET_PER_TICK
        names = sorted(view.configuration.rounds)
        first = self._next_round % max(1, len(names))
        for position, name in enumerate(names[first:] + names[:first]):
            round_state = view.state.rounds.get(name)
            if round_state is None:
                continue
            effects += self._record_version(now, name, round_state.version)
            if budget <= 0:
                self._next_round = first + position
                break
            if self._needs_plan(now, view, name, round_state):
                work = self._round_work(now, view, name, round_state, lent)
                budget -= len(work.pending) + len(work.samplers)
                if self._is_discovery_over(now, view) and view.admits_rollouts:
                    effects += self._plan(now, view, name, work)
                self._plan_records[name].waiting_for_capacity = self._scheduler.has_unplaced_slots(
                    work
                )
        return effects

    def _protected_counts(self, state: LedgerState) -> dict[str, int]:
        """Returns, by round with pending reads, how many generations its hand-over waits for."""
        protected_counts: dict[str, int] = {}
        for name in self.pending_reads.waiting_rounds():
            round_state = state.rounds.get(name)
            if round_state is not None:
                oldest_allowed = round_state.version - round_state.staleness_bound
                versions = self.assignments.oldest_versions(name)
                protected_counts[name] = self._scheduler.protected_count(oldest_allowed, versions)
        return protected_counts

    def _needs_plan(
        self, now: float, view: ControllerView, name: str, round_state: RoundState
    ) -> bool:
        """Whether the inputs changed or the last plan is old; if so, records the new inputs."""
        current_inputs = PlanInputs(
            version=round_state.version,
            next_slot=round_state.next_slot,
            next_offset=round_state.next_offset,
            requested_until=self.pending_reads.requested_until(name),
            interruptions=self.assignments.interruptions,
            sampler_changes=view.table.changes,
        )
        planned = self._plan_records.get(name)
        if planned is not None and planned.inputs == current_inputs and now < planned.replan_at:
            capacity_freed = self.assignments.completions != planned.completions
            if not (planned.waiting_for_capacity and capacity_freed):
                return False
        replan_at = now + MAX_PLAN_INTERVAL_S
        self._plan_records[name] = PlanRecord(
            current_inputs, replan_at, self.assignments.completions
        )
        return True

    def handle(
        self, now: float, sender: str, message: object, view: ControllerView
    ) -> list[Effect]:
        """Handles a message from an owner."""
        if isinstance(message, RunningReport):
            self._reported_owners.add(sender)
            return self.assignments.apply_report(now, sender, message.running, view.state)
        if isinstance(message, GenerationFinished):
            assignment = self.assignments.record_finished(message)
            if assignment is not None:
                self._record_generation(now, assignment, message)
            return []
        if isinstance(message, GenerationInterrupted):
            self.assignments.record_interrupted(message)
            if message.failed:
                self._backoff_until[message.sampler_id] = now + FAILED_SAMPLER_BACKOFF_S
            return []
        return []

    def _is_discovery_over(self, now: float, view: ControllerView) -> bool:
        """Whether every owner reported its running generations or the discovery period is over."""
        if now >= self._discovery_ends_at:
            return True
        owners = {view.owner_of(sampler.sampler_id) for sampler in view.table.views()}
        return owners <= self._reported_owners

    def running_count(self, round_name: str) -> int:
        """Returns the number of running generations of a round."""
        return len(self.assignments.for_round(round_name))

    # Rounds.

    def _register_rounds(self, now: float, view: ControllerView) -> list[Effect]:
        effects: list[Effect] = []
        for name, spec in view.configuration.rounds.items():
            bound = self._staleness_bound(view, name, spec)
            known = view.state.rounds.get(name)
            if (
                known is not None
                and known.staleness_bound == bound
                and known.samples_per_step == spec.samples_per_step
                and known.reorder_window_steps == spec.reorder_window_steps
            ):
                continue
            if now < self._proposed_at.get(name, float("-inf")) + REGISTER_RETRY_INTERVAL_S:
                continue
            self._proposed_at[name] = now
            command = RegisterRound(
                name, bound, spec.samples_per_step, spec.reorder_window_steps, spec.first_version
            )
            effects.append(Propose(command))
        return effects

    def _record_generation(
        self, now: float, assignment: Assignment, message: GenerationFinished
    ) -> None:
        self._scheduler.observe(assignment.prompt.group, message.token_count)
        lead = self._leads.get(assignment.key.round_name)
        generated = message.token_count - assignment.first_token
        if lead is not None:
            lead.observe_generation(now - assignment.started_at, generated)

    def _record_version(self, now: float, name: str, version: int) -> list[Effect]:
        if self._versions.get(name) == version:
            return []
        if name in self._versions:
            self._version_seen_at[name] = now
        self._versions[name] = version
        return [Emit(LogEvent.VERSION_PUBLISHED, {"round": name, "version": version})]

    def _staleness_bound(self, view: ControllerView, name: str, spec: Round) -> int:
        inputs = RuleInputs(
            request=RequestInput(target=name, kind="rollout"),
            round=RoundInput(
                staleness_bound=spec.staleness_bound, samples_per_step=spec.samples_per_step
            ),
        )
        return view.policies.staleness_bound(inputs, view.wall_time_s)

    # Weights and roles.

    def _swap_weights(self, now: float, view: ControllerView, lent: dict[str, str]) -> list[Effect]:
        targets: dict[str, SwapTarget] = {}
        for sampler in view.table.views():
            target = self._roles.target(view, sampler, lent)
            if target is not None:
                targets[sampler.sampler_id] = target
        effects: list[Effect] = []
        style = self._scheduler.swap_style
        for sampler_id, order in self._swaps.plan(now, view.table.views(), targets, style):
            owner = view.owner_of(sampler_id)
            if owner is None:
                continue
            effects += self._stop_for_role_change(view, sampler_id, order)
            effects.append(Send(owner, OrderSampler(sampler_id, order)))
        return effects

    def _stop_for_role_change(
        self, view: ControllerView, sampler_id: str, order: EngineOrder
    ) -> list[Effect]:
        """Stops the generations on a sampler that changes role; they resume on other samplers."""
        sampler = view.table.get(sampler_id)
        if sampler is None or sampler.load is None or sampler.load.role is order.role:
            return []
        effects: list[Effect] = [
            Emit(LogEvent.ROLE_SHIFTED, {"sampler": sampler_id, "role": order.role.value})
        ]
        for assignment in self.assignments.on_sampler(sampler_id):
            effects += self._stop(assignment)
        return effects

    # Planning.

    def _round_work(
        self,
        now: float,
        view: ControllerView,
        name: str,
        round_state: RoundState,
        lent: dict[str, str],
    ) -> RoundWork:
        bound = round_state.staleness_bound
        lead = self._leads.setdefault(name, LeadEstimate())
        lead.observe_step(now, round_state.next_offset // round_state.samples_per_step)
        self.discarded_partial_tokens += self.assignments.drop_stale_partials(round_state, bound)
        assignments = self.assignments.for_round(name)
        requested_until = self.pending_reads.requested_until(name)
        pending = self._pending_slots(view, round_state, requested_until)
        return RoundWork(
            state=round_state,
            staleness_bound=bound,
            pending=pending,
            has_blocking=any(slot.blocking for slot in pending),
            assignments=assignments,
            samplers=self._capacities(now, view, name, round_state, lent),
            requested_until=requested_until,
            version_age_s=now - self._version_seen_at.get(name, now),
            lead=lead,
        )

    def _pending_slots(
        self, view: ControllerView, round_state: RoundState, requested_until: int
    ) -> list[PendingSlot]:
        """Returns the unassigned open slots within the staleness bound or requested by a reader."""
        name = round_state.name
        size = round_state.samples_per_step
        steps = round_state.next_offset // size + round_state.staleness_bound + 1
        end_slot = max(steps * size, requested_until)
        due_before = round_state.due_before(requested_until)
        priorities: dict[tuple[str, int], int] = {}
        found: list[PendingSlot] = []
        for number in round_state.open_slots:
            if number < end_slot and not self.assignments.is_assigned(name, number):
                pending = self._pending_slot(view, round_state, number, priorities)
                pending.blocking = number < due_before
                found.append(pending)
        return found

    def _pending_slot(
        self,
        view: ControllerView,
        round_state: RoundState,
        number: int,
        priorities: dict[tuple[str, int], int],
    ) -> PendingSlot:
        prompt = round_state.open_slots[number].prompt
        key = (prompt.group, prompt.max_tokens)
        if key not in priorities:
            inputs = RuleInputs(
                request=RequestInput(
                    target=round_state.name,
                    kind="rollout",
                    max_tokens=prompt.max_tokens,
                    group=prompt.group,
                ),
                round=_round_input(round_state),
            )
            priorities[key] = view.policies.priority(inputs, view.wall_time_s)
        partial = self.assignments.partial(round_state.name, number)
        return PendingSlot(number, prompt, priorities[key], partial)

    def _capacities(
        self,
        now: float,
        view: ControllerView,
        name: str,
        round_state: RoundState,
        lent: dict[str, str],
    ) -> list[SamplerCapacity]:
        spec = view.configuration.rounds[name]
        placement_allowed: dict[tuple[str, str], bool] = {}
        capacities: list[SamplerCapacity] = []
        pools = dict.fromkeys([spec.pool, *spec.borrow_from])
        for sampler in [s for pool in pools for s in view.table.in_pool(pool)]:
            pool_name = sampler.machine.pool
            borrowed = lent.get(sampler.sampler_id) == name
            if (pool_name != spec.pool or sampler.sampler_id in lent) and not borrowed:
                continue
            if not self._is_available(now, sampler, spec):
                continue
            pool_and_zone = (pool_name, sampler.machine.zone)
            if pool_and_zone not in placement_allowed:
                placement_allowed[pool_and_zone] = self._may_place(view, round_state, pool_and_zone)
            if not placement_allowed[pool_and_zone]:
                continue
            assert sampler.load is not None
            limit = min(sampler.load.max_running, spec.max_concurrency_per_sampler)
            assigned = self.assignments.count_on(sampler.sampler_id)
            current = sampler.load.weight_version == round_state.version
            capacities.append(SamplerCapacity(sampler, assigned, limit, current))
        return capacities

    def _is_available(self, now: float, sampler: SamplerView, spec: Round) -> bool:
        load = sampler.load
        if load is None or not sampler.usable(now):
            # Samplers that are loading weights are not usable either.
            return False
        if now < self._backoff_until.get(sampler.sampler_id, float("-inf")):
            return False
        return (
            load.state is EngineState.SERVING
            and load.role is SamplerRole.ROLLOUT
            and load.model == spec.model
        )

    def _may_place(
        self, view: ControllerView, round_state: RoundState, pool_and_zone: tuple[str, str]
    ) -> bool:
        pool_name, zone = pool_and_zone
        pool = view.configuration.pools.get(pool_name)
        home_role = pool.home_role.value if pool is not None else ""
        inputs = RuleInputs(
            request=RequestInput(target=round_state.name, kind="rollout"),
            round=_round_input(round_state),
            pool=PoolInput(pool_name, zone, home_role),
        )
        return view.policies.may_place(inputs, view.wall_time_s)

    def _plan(self, now: float, view: ControllerView, name: str, work: RoundWork) -> list[Effect]:
        effects: list[Effect] = []
        spec = view.configuration.rounds[name]
        for start in self._scheduler.plan_starts(work):
            effects += self._start(now, view, name, spec, start)
        for migration in self._scheduler.plan_migrations(work, now):
            effects += self._migrate(migration)
        return effects + self._stop_on_leaving_samplers(view, work)

    def _stop_on_leaving_samplers(self, view: ControllerView, work: RoundWork) -> list[Effect]:
        """Stops generations on leaving samplers if others have capacity to resume them.

        They would finish there, but a long generation would delay the drain.
        """
        effects: list[Effect] = []
        if not any(sampler.free > 0 for sampler in work.samplers):
            return effects
        for assignment in work.assignments:
            sampler = view.table.get(assignment.sampler_id)
            if sampler is not None and sampler.leaving and not assignment.stopping:
                effects += self._stop(assignment)
        return effects

    def _start(
        self, now: float, view: ControllerView, name: str, spec: Round, start: Start
    ) -> list[Effect]:
        owner = view.owner_of(start.sampler_id)
        if owner is None:
            return []
        pending = start.pending
        key = GenerationKey(name, pending.number, f"{self.epoch}.{next(self._sequence)}")
        self.assignments.add(
            Assignment(
                key=key,
                prompt=pending.prompt,
                sampler_id=start.sampler_id,
                owner=owner,
                started_at=now,
                known_token_count=len(pending.partial.tokens),
                first_token=len(pending.partial.tokens),
                oldest_version=self._oldest_version_at_start(view, pending, start.sampler_id),
                confirmed_at=now,
            )
        )
        message = StartGeneration(
            key, start.sampler_id, spec.model, pending.prompt, pending.priority, pending.partial
        )
        return [Send(owner, message)]

    def _oldest_version_at_start(
        self, view: ControllerView, pending: PendingSlot, sampler_id: str
    ) -> int | None:
        sampler = view.table.get(sampler_id)
        version = sampler.load.weight_version if sampler is not None and sampler.load else None
        oldest = pending.oldest_version
        return oldest if oldest is not None else version

    def _migrate(self, migration: Migration) -> list[Effect]:
        for assignment in self.assignments.for_round(migration.key.round_name):
            if assignment.key == migration.key:
                fields: dict[str, object] = {
                    "round": migration.key.round_name,
                    "slot": migration.key.slot,
                    "from": assignment.sampler_id,
                }
                return [Emit(LogEvent.GENERATION_SHIFTED, fields), *self._stop(assignment)]
        return []

    def _stop(self, assignment: Assignment) -> list[Effect]:
        # If the message is lost, the owner's next report resets the flag and allows another stop.
        assignment.stopping = True
        return [Send(assignment.owner, StopGeneration(assignment.key))]


def _round_input(state: RoundState) -> RoundInput:
    return RoundInput(state.version, state.staleness_bound, state.samples_per_step)
