"""The controller: lives on the ledger's leader, for one epoch.

Each tick it compares what the ledger, the configuration and the samplers' reports say with
what ought to be, and sends orders. It keeps nothing that a successor could not learn again:
samples and versions stand in the ledger, running generations are reported by their owners.
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
from stileloom.rollout.delivery import DeliveryDesk
from stileloom.rollout.lead import LeadEstimate
from stileloom.rollout.roles import SamplerRoles
from stileloom.rollout.scheduler import Scheduler
from stileloom.rollout.view import ControllerView, PlanBasis, Planned, Propose
from stileloom.rollout.work import (
    Assignment,
    PendingSlot,
    RoundWork,
    SamplerCapacity,
    Shift,
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

AVOID_AFTER_FAILURE_S = 1.0
PLAN_AT_LEAST_EVERY_S = 1.0
"""A round is planned again when something changed, and this often in any case."""
REGISTER_RETRY_S = 1.0
SWEEP_EVERY_S = 0.5
"""How often assignments are compared with the ledger and with what owners report."""
SLOTS_PER_TICK = 1000
"""Pending slots and samplers that one tick looks at before the other rounds have to wait."""


class Controller:
    """Rounds, weight rollout, placement and role shifts, for one epoch."""

    def __init__(
        self, epoch: int, scheduler: Scheduler, now: float, sequence: Iterator[int]
    ) -> None:
        """`sequence` never yields a number twice within an epoch."""
        self.epoch = epoch
        self.assignments = AssignmentTable()
        self.desk = DeliveryDesk()
        self.discarded_partial_tokens = 0
        self._scheduler = scheduler
        self._swaps = SwapPlanner(epoch, sequence)
        self._roles = SamplerRoles()
        self._settled_at = now + constants.CONTROLLER_SETTLE_S
        self._reported: set[str] = set()
        self._sequence = sequence
        self._avoid_until: dict[str, float] = {}
        self._next_sweep_at = float("-inf")
        self._next_round = 0
        self._planned: dict[str, Planned] = {}
        self._versions: dict[str, int] = {}
        self._version_seen_at: dict[str, float] = {}
        self._leads: dict[str, LeadEstimate] = {}
        self._registered_at: dict[str, float] = {}

    # Driving.

    def tick(self, now: float, view: ControllerView) -> list[Effect]:
        """One round of comparing and ordering."""
        effects: list[Effect] = []
        if now >= self._next_sweep_at:
            self._next_sweep_at = now + SWEEP_EVERY_S
            self.assignments.drop_closed(view.state)
            effects += self.assignments.drop_lost(now, view.is_working)
            effects += self._register_rounds(now, view)
        lent: dict[str, str] = {}
        if self._scheduler.shifts_roles:
            lent = self._roles.lent_samplers(now, view)
        effects += self._swap_weights(now, view, lent)
        effects += self._plan_rounds(now, view, lent)
        return effects + self.desk.tick(now, view.state, self._reserved(view.state))

    def _plan_rounds(self, now: float, view: ControllerView, lent: dict[str, str]) -> list[Effect]:
        """Plans rounds in turn; those that find the tick's time used up come first next time.

        A long tick would hold up the heartbeats that the leader's lease lives on.
        """
        effects: list[Effect] = []
        budget = SLOTS_PER_TICK
        names = sorted(view.configuration.rounds)
        first = self._next_round % max(1, len(names))
        for position, name in enumerate(names[first:] + names[:first]):
            round_state = view.state.rounds.get(name)
            if round_state is None:
                continue
            effects += self._note_version(now, name, round_state.version)
            if budget <= 0:
                self._next_round = first + position
                break
            if self._needs_plan(now, view, name, round_state):
                work = self._work(now, view, name, round_state, lent)
                budget -= len(work.pending) + len(work.samplers)
                if self._is_settled(now, view) and view.admits_rollouts:
                    effects += self._plan(now, view, name, work)
                self._planned[name].waits_for_room = self._scheduler.may_start_more(work)
        return effects

    def _reserved(self, state: LedgerState) -> dict[str, int]:
        """By round that a trainer waits for, the places kept for generations under way."""
        reserved: dict[str, int] = {}
        for name in self.desk.waiting_rounds():
            round_state = state.rounds.get(name)
            if round_state is not None:
                oldest_allowed = round_state.version - round_state.staleness_bound
                versions = self.assignments.oldest_versions(name)
                reserved[name] = self._scheduler.reserved(oldest_allowed, versions)
        return reserved

    def _needs_plan(
        self, now: float, view: ControllerView, name: str, round_state: RoundState
    ) -> bool:
        """Whether anything that a plan looks at has changed since the last one."""
        seen = PlanBasis(
            version=round_state.version,
            next_slot=round_state.next_slot,
            next_offset=round_state.next_offset,
            wanted_until=self.desk.wanted_until(name),
            interruptions=self.assignments.interruptions,
            samplers=view.table.changes,
        )
        planned = self._planned.get(name)
        if planned is not None and planned.basis == seen and now < planned.again_at:
            room_made = self.assignments.ends != planned.ends
            if not (planned.waits_for_room and room_made):
                return False
        again_at = now + PLAN_AT_LEAST_EVERY_S
        self._planned[name] = Planned(seen, again_at, self.assignments.ends)
        return True

    def handle(
        self, now: float, sender: str, message: object, view: ControllerView
    ) -> list[Effect]:
        """Takes a message of an owner."""
        if isinstance(message, RunningReport):
            self._reported.add(sender)
            return self.assignments.reported(now, sender, message.running, view.state)
        if isinstance(message, GenerationFinished):
            assignment = self.assignments.finished(message)
            if assignment is not None:
                self._observe(now, assignment, message)
            return []
        if isinstance(message, GenerationInterrupted):
            self.assignments.interrupted(message)
            if message.failed:
                self._avoid_until[message.sampler_id] = now + AVOID_AFTER_FAILURE_S
            return []
        return []

    def _is_settled(self, now: float, view: ControllerView) -> bool:
        """Whether every owner has said what it runs, or has had the time to."""
        if now >= self._settled_at:
            return True
        owners = {view.owner_of(sampler.sampler_id) for sampler in view.table.views()}
        return owners <= self._reported

    def under_way(self, round_name: str) -> int:
        """Generations of a round under way."""
        return len(self.assignments.of_round(round_name))

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
            if now < self._registered_at.get(name, float("-inf")) + REGISTER_RETRY_S:
                continue
            self._registered_at[name] = now
            command = RegisterRound(
                name, bound, spec.samples_per_step, spec.reorder_window_steps, spec.first_version
            )
            effects.append(Propose(command))
        return effects

    def _observe(self, now: float, assignment: Assignment, message: GenerationFinished) -> None:
        self._scheduler.observe(assignment.prompt.group, message.token_count)
        lead = self._leads.get(assignment.key.round_name)
        made = message.token_count - assignment.first_token
        if lead is not None:
            lead.observe_generation(now - assignment.started_at, made)

    def _note_version(self, now: float, name: str, version: int) -> list[Effect]:
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
            effects += self._clear_for_role(view, sampler_id, order)
            effects.append(Send(owner, OrderSampler(sampler_id, order)))
        return effects

    def _clear_for_role(
        self, view: ControllerView, sampler_id: str, order: EngineOrder
    ) -> list[Effect]:
        """Generations on a sampler that leaves the role are stopped and go on elsewhere."""
        sampler = view.table.get(sampler_id)
        if sampler is None or sampler.load is None or sampler.load.role is order.role:
            return []
        effects: list[Effect] = [
            Emit(LogEvent.ROLE_SHIFTED, {"sampler": sampler_id, "role": order.role.value})
        ]
        for assignment in self.assignments.on_sampler(sampler_id):
            effects += self._stop(assignment)
        return effects

    # Planning a round.

    def _work(
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
        self.discarded_partial_tokens += self.assignments.drop_over_age_partials(round_state, bound)
        assignments = self.assignments.of_round(name)
        wanted_until = self.desk.wanted_until(name)
        pending = self._pending(view, round_state, wanted_until)
        return RoundWork(
            state=round_state,
            staleness_bound=bound,
            pending=pending,
            has_blocking=any(slot.blocking for slot in pending),
            assignments=assignments,
            samplers=self._capacities(now, view, name, round_state, lent),
            wanted_until=wanted_until,
            version_age_s=now - self._version_seen_at.get(name, now),
            lead=lead,
        )

    def _pending(
        self, view: ControllerView, round_state: RoundState, wanted_until: int
    ) -> list[PendingSlot]:
        """Open slots that nobody generates for, up to the last step that may start by now."""
        name = round_state.name
        size = round_state.samples_per_step
        steps = round_state.next_offset // size + round_state.staleness_bound + 1
        horizon = max(steps * size, wanted_until)
        due_before = round_state.due_before(wanted_until)
        priorities: dict[tuple[str, int], int] = {}
        found: list[PendingSlot] = []
        for number in round_state.open_slots:
            if number < horizon and not self.assignments.is_assigned(name, number):
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
        placeable: dict[tuple[str, str], bool] = {}
        capacities: list[SamplerCapacity] = []
        pools = dict.fromkeys([spec.pool, *spec.borrow_from])
        for sampler in [s for pool in pools for s in view.table.in_pool(pool)]:
            pool_name = sampler.machine.pool
            borrowed = lent.get(sampler.sampler_id) == name
            if (pool_name != spec.pool or sampler.sampler_id in lent) and not borrowed:
                continue
            if not self._may_take(now, sampler, spec):
                continue
            place = (pool_name, sampler.machine.zone)
            if place not in placeable:
                placeable[place] = self._may_place(view, round_state, place)
            if not placeable[place]:
                continue
            assert sampler.load is not None
            limit = min(sampler.load.max_running, spec.max_concurrency_per_sampler)
            assigned = self.assignments.count_on(sampler.sampler_id)
            current = sampler.load.weight_version == round_state.version
            capacities.append(SamplerCapacity(sampler, assigned, limit, current))
        return capacities

    def _may_take(self, now: float, sampler: SamplerView, spec: Round) -> bool:
        load = sampler.load
        if load is None or not sampler.usable(now):
            # A sampler that swaps in flight takes new work again as soon as it serves.
            return False
        if now < self._avoid_until.get(sampler.sampler_id, float("-inf")):
            return False
        return (
            load.state is EngineState.SERVING
            and load.role is SamplerRole.ROLLOUT
            and load.model == spec.model
        )

    def _may_place(
        self, view: ControllerView, round_state: RoundState, place: tuple[str, str]
    ) -> bool:
        pool_name, zone = place
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
        for shift in self._scheduler.plan_shifts(work, now):
            effects += self._shift(shift)
        return effects + self._move_off_leaving(view, work)

    def _move_off_leaving(self, view: ControllerView, work: RoundWork) -> list[Effect]:
        """A planned stop interrupts nothing, but a long tail is better off elsewhere."""
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
        key = GenerationKey(name, pending.slot, f"{self.epoch}.{next(self._sequence)}")
        self.assignments.add(
            Assignment(
                key=key,
                prompt=pending.prompt,
                sampler_id=start.sampler_id,
                owner=owner,
                started_at=now,
                tokens_at_start=len(pending.partial.tokens),
                first_token=len(pending.partial.tokens),
                oldest_version=self._version_at_start(view, pending, start.sampler_id),
                confirmed_at=now,
            )
        )
        message = StartGeneration(
            key, start.sampler_id, spec.model, pending.prompt, pending.priority, pending.partial
        )
        return [Send(owner, message)]

    def _version_at_start(
        self, view: ControllerView, pending: PendingSlot, sampler_id: str
    ) -> int | None:
        sampler = view.table.get(sampler_id)
        version = sampler.load.weight_version if sampler is not None and sampler.load else None
        oldest = pending.oldest_version
        return oldest if oldest is not None else version

    def _shift(self, shift: Shift) -> list[Effect]:
        for assignment in self.assignments.of_round(shift.key.round_name):
            if assignment.key == shift.key:
                fields: dict[str, object] = {
                    "round": shift.key.round_name,
                    "slot": shift.key.slot,
                    "from": assignment.sampler_id,
                }
                return [Emit(LogEvent.GENERATION_SHIFTED, fields), *self._stop(assignment)]
        return []

    def _stop(self, assignment: Assignment) -> list[Effect]:
        # If the message is lost, the next running report clears the mark again.
        assignment.stopping = True
        return [Send(assignment.owner, StopGeneration(assignment.key))]


def _round_input(state: RoundState) -> RoundInput:
    return RoundInput(state.version, state.staleness_bound, state.samples_per_step)
