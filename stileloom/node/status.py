"""Builds the leader's cluster status: rounds, samplers and revisions by zone."""

from __future__ import annotations

from stileloom.configuration import ConfigurationAuthority
from stileloom.ledger import LedgerReplica
from stileloom.ledger.state import RoundState
from stileloom.rollout import Controller
from stileloom.rollout.messages import LeaderStatus, RoundStatus, SamplerStatus
from stileloom.samplers.table import SamplerTable, SamplerView


def leader_status(
    now: float,
    ticket: int,
    node_id: str,
    replica: LedgerReplica,
    controller: Controller,
    authority: ConfigurationAuthority,
    table: SamplerTable,
) -> LeaderStatus:
    """Returns the cluster state shown by `stileloom status`."""
    rounds = replica.state.rounds
    return LeaderStatus(
        ticket=ticket,
        leader=node_id,
        epoch=replica.epoch,
        in_force=authority.in_force,
        zone_revisions=authority.zone_revisions(now),
        rounds=[_round_status(rounds[name], controller) for name in sorted(rounds)],
        samplers=[_sampler_status(now, view) for view in table.views()],
        voters=[voter.node_id for voter in replica.voters],
    )


def _round_status(state: RoundState, controller: Controller) -> RoundStatus:
    return RoundStatus(
        name=state.name,
        version=state.version,
        staleness_bound=state.staleness_bound,
        open_slots=len(state.open_slots),
        under_way=controller.running_count(state.name),
        ready=len(state.ready),
        handed_over=state.next_offset,
        acknowledged=state.acknowledged,
        discarded_tokens=state.discarded_tokens + controller.discarded_partial_tokens,
    )


def _sampler_status(now: float, view: SamplerView) -> SamplerStatus:
    load = view.load
    state = "unheard" if load is None else load.state.value
    if view.unreachable:
        state = "unreachable"
    return SamplerStatus(
        sampler_id=view.sampler_id,
        pool=view.machine.pool,
        zone=view.machine.zone,
        state=state,
        role=load.role.value if load is not None else "",
        model=load.model if load is not None else "",
        weight_version=load.weight_version if load is not None else None,
        running=view.running,
        leaving=view.leaving,
    )
