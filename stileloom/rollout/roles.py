"""Lends idle lookup samplers to rounds; determines the target role and weights of each sampler."""

from __future__ import annotations

from stileloom.api.objects import Pool, SamplerRole
from stileloom.rollout.view import ControllerView
from stileloom.samplers.table import SamplerView
from stileloom.weights import PoolDemand, RoleShifter, SwapTarget


class SamplerRoles:
    """Lends lookup samplers to rounds by demand; all state can be rebuilt by the next leader."""

    def __init__(self) -> None:
        self._shifters: dict[str, RoleShifter] = {}

    def lent_samplers(self, now: float, view: ControllerView) -> dict[str, str]:
        """Returns the round of each lent sampler."""
        lent: dict[str, str] = {}
        for pool_name, pool in view.configuration.pools.items():
            if not pool.lend_to_rounds or pool.home_role is not SamplerRole.LOOKUP:
                continue
            borrowers = [
                name
                for name, spec in sorted(view.configuration.rounds.items())
                if pool_name in spec.borrow_from
            ]
            if not borrowers:
                continue
            shifter = self._shifters.setdefault(pool_name, RoleShifter())
            demand = self._demand(view, pool_name, pool, shifter.lent)
            for position, sampler_id in enumerate(shifter.update(now, demand)):
                lent[sampler_id] = borrowers[position % len(borrowers)]
        return lent

    def _demand(
        self, view: ControllerView, pool_name: str, pool: Pool, lent: list[str]
    ) -> PoolDemand:
        samplers = [
            sampler
            for sampler in view.table.in_pool(pool_name)
            if not sampler.leaving and not sampler.unreachable and sampler.load is not None
        ]
        not_lent = [sampler for sampler in samplers if sampler.sampler_id not in lent]
        return PoolDemand(
            samplers=sorted(sampler.sampler_id for sampler in samplers),
            keep_home=pool.keep_home,
            running=sum(sampler.running for sampler in not_lent),
            lend_below=pool.lend_below,
            return_above=pool.return_above,
        )

    def target(
        self, view: ControllerView, sampler: SamplerView, lent: dict[str, str]
    ) -> SwapTarget | None:
        pool = view.configuration.pools.get(sampler.machine.pool)
        if pool is None:
            return None
        round_name = lent.get(sampler.sampler_id)
        if round_name is None and pool.home_role is SamplerRole.LOOKUP:
            return SwapTarget(SamplerRole.LOOKUP, pool.model, pool.model_version)
        if round_name is None:
            round_name = next(
                (
                    name
                    for name, spec in sorted(view.configuration.rounds.items())
                    if spec.pool == sampler.machine.pool
                ),
                None,
            )
        round_state = view.state.rounds.get(round_name) if round_name is not None else None
        if round_name is None or round_state is None:
            return None
        spec = view.configuration.rounds[round_name]
        return SwapTarget(SamplerRole.ROLLOUT, spec.model, round_state.version)
