"""The stateful machine: any faults in any order, against the oracle of the nine promises."""

from __future__ import annotations

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from stileloom.api.objects import ObjectKind
from stileloom.simulator.cluster import Cluster
from tests.clusters import SERVICE, ZONES, round_spec, service_spec, start_cluster

NODES = [f"{zone}-{number}" for zone in ZONES for number in (1, 2)]
VOTERS = [f"{zone}-1" for zone in ZONES]
SAMPLERS = [f"{pool}-{number}" for pool in ("rollouts", "lookups") for number in (1, 2, 3)]
PLACES = [*ZONES, "platform"]
SETTLE_S = 15.0

total_faults = 0
total_virtual_s = 0.0


class ClusterMachine(RuleBasedStateMachine):
    """Each rule brings one fault about, or lets time pass."""

    cluster: Cluster

    @initialize(seed=st.integers(0, 2**32 - 1))
    def begin(self, seed: int) -> None:
        self.cluster = start_cluster(seed=seed)

    @rule(seconds=st.sampled_from([0.1, 0.7, 2.0, 4.0]))
    def pass_time(self, seconds: float) -> None:
        self.cluster.run_for(seconds)

    @rule(node=st.sampled_from(NODES))
    def kill(self, node: str) -> None:
        self.cluster.kill(node)

    @rule(node=st.sampled_from(NODES))
    def restart(self, node: str) -> None:
        self.cluster.restart(node)

    @rule(node=st.sampled_from(NODES), seconds=st.sampled_from([0.5, 2.0, 5.0]))
    def pause(self, node: str, seconds: float) -> None:
        self.cluster.pause(node, seconds)

    @rule(seconds=st.sampled_from([1.0, 4.0]))
    def pause_leader(self, seconds: float) -> None:
        leader = self.cluster.leader()
        if leader is not None:
            self.cluster.pause(leader, seconds)

    @rule()
    def kill_leader(self) -> None:
        leader = self.cluster.leader()
        if leader is not None:
            self.cluster.kill(leader)

    @rule(node=st.sampled_from(VOTERS))
    def replace_disk(self, node: str) -> None:
        """At most one disk is lost at a time: with two of three gone, data is gone."""
        voters = [self.cluster.machine(name) for name in VOTERS]
        replicas = [m.core.replica for m in voters if m.core is not None and not m.paused]
        whole = [r for r in replicas if r is not None and r.is_voter and r.leader is not None]
        if len(whole) == len(VOTERS):
            self.cluster.replace_disk(node)

    @rule(node=st.sampled_from(NODES))
    def drain(self, node: str) -> None:
        self.cluster.drain(node)

    @rule(
        one=st.sampled_from(PLACES),
        other=st.sampled_from(PLACES),
        seconds=st.sampled_from([1.0, 4.0, 8.0]),
        both_ways=st.booleans(),
    )
    def cut(self, one: str, other: str, seconds: float, both_ways: bool) -> None:
        if one != other:
            self.cluster.cut(one, other, seconds, both_ways)

    @rule(zone=st.sampled_from(ZONES), seconds=st.sampled_from([2.0, 6.0]))
    def isolate_zone(self, zone: str, seconds: float) -> None:
        self.cluster.isolate_zone(zone, seconds)

    @rule(seconds=st.sampled_from([2.0, 10.0]))
    def object_api_down(self, seconds: float) -> None:
        self.cluster.object_api_down(seconds)

    @rule(probability=st.sampled_from([0.0, 0.5]))
    def lose_answers(self, probability: float) -> None:
        self.cluster.lose_answers(probability)

    @rule(
        loss=st.sampled_from([0.0, 0.1, 0.3]),
        duplication=st.sampled_from([0.0, 0.2]),
        late=st.sampled_from([0.0, 0.2]),
    )
    def unsettle_network(self, loss: float, duplication: float, late: float) -> None:
        self.cluster.unsettle_network(loss, duplication, late)

    @rule(sampler=st.sampled_from(SAMPLERS), seconds=st.sampled_from([0.5, 3.0]))
    def crash_engine(self, sampler: str, seconds: float) -> None:
        self.cluster.crash_engine(sampler, seconds)

    @rule(limit=st.integers(1, 64), stale=st.booleans())
    def operators_race(self, limit: int, stale: bool) -> None:
        kind, name = SERVICE
        held = self.cluster.platform.objects.get(kind.value, name)
        expected = held.revision - 1 if stale and held is not None else None
        self.cluster.change_object(kind, name, service_spec(limit), expected)

    @rule(bound=st.sampled_from([1, 2]))
    def revise_round(self, bound: int) -> None:
        """The trainer checks the bound it was promised at the start, the tightest one."""
        self.cluster.change_object(ObjectKind.ROUND, "drafts", round_spec(min(1, bound)))

    @rule(seconds=st.sampled_from([0.1, 2.0]))
    def crash_trainer(self, seconds: float) -> None:
        self.cluster.trainer.crash(seconds)

    def _a_moment(self) -> None:
        """Faults that follow on one another at once are rarer than those with work between."""
        self.cluster.run_for(self.cluster.world.rng.choice([0.0, 0.05, 0.4, 1.5]))

    @invariant()
    def no_promise_is_broken(self) -> None:
        if hasattr(self, "cluster"):
            self._a_moment()
            assert not self.cluster.oracle.violations, self.cluster.oracle.violations

    def teardown(self) -> None:
        """Once all is healed, the round goes on and every lookup is accounted for."""
        global total_faults, total_virtual_s
        if not hasattr(self, "cluster"):
            return
        cluster = self.cluster
        before = cluster.trainer.steps_done
        violations = cluster.finish(SETTLE_S)
        total_faults += cluster.faults_injected
        total_virtual_s += cluster.world.now
        assert not violations, violations
        assert cluster.trainer.steps_done > before, "the round came to a halt"
