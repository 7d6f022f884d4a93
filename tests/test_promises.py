"""One test for each system guarantee, run in the simulator with fault injection."""

from __future__ import annotations

import msgspec
import testtools

from stileloom.api.objects import MachineState
from stileloom.errors import Outcome
from stileloom.events import LogEvent
from stileloom.rollout import SchedulerKind
from stileloom.simulator.callers import CallerParameters
from stileloom.simulator.cluster import Cluster
from stileloom.simulator.oracle import LookupFact, Oracle
from tests.clusters import (
    LENGTHS,
    ROUND,
    SERVICE,
    ZONES,
    service_spec,
    small_plan,
    start_cluster,
)


class PromiseTest(testtools.TestCase):
    """Each test injects the faults that could violate its guarantee."""

    def leader_of(self, cluster: Cluster) -> str:
        """Returns the leader; fails if there is none."""
        leader = cluster.leader()
        self.assertIsNotNone(leader)
        assert leader is not None
        return leader

    def assert_guarantees_held(self, cluster: Cluster, settle_s: float = 12.0) -> None:
        """Heals all faults and checks that rounds make progress and no guarantee was violated."""
        steps_before = cluster.trainer.steps_done
        self.assertEqual([], cluster.finish(settle_s))
        self.assertGreater(cluster.trainer.steps_done, steps_before, "the round made no progress")

    def test_samples_name_their_versions(self) -> None:
        """In-flight swaps, failing weight loads and engine crashes."""
        cluster = start_cluster(seed=11)
        for engine in cluster.directory.engines.values():
            parameters = engine.model.parameters
            engine.model.parameters = type(parameters)(
                max_running=8, weight_bytes=400_000_000, load_failure_probability=0.3
            )
        cluster.run_for(10)
        cluster.crash_engine("rollouts-1", 1.0)
        cluster.run_for(10)
        self.assertTrue(cluster.events(LogEvent.SAMPLER_UNKNOWN_VERSION))
        audit_report = cluster.trainer.audit.report
        self.assertGreater(audit_report.delivered, 20)
        self.assert_guarantees_held(cluster)

    def test_samples_keep_the_staleness_bound(self) -> None:
        """Versions are published faster than long samples finish, and samplers stall.

        Runs both schedulers, as the default one rarely produces stale samples.
        """
        lengths = msgspec.structs.replace(LENGTHS, long_fraction=0.3, long_factor=6)
        trainer = msgspec.structs.replace(small_plan().trainer, train_s=0.3, lengths=lengths)
        discarded = 0
        for scheduler in SchedulerKind:
            cluster = start_cluster(seed=12, trainer=trainer, scheduler=scheduler)
            for _ in range(4):
                cluster.run_for(4)
                cluster.crash_engine("rollouts-2", 0.5)
                cluster.cut("a", "c", 2.0, both_ways=True)
            core = cluster.machine(self.leader_of(cluster)).core
            assert core is not None and core.replica is not None
            discarded += core.replica.state.rounds[ROUND].discarded_tokens
            self.assertIn(1, cluster.trainer.audit.report.ages)
            self.assert_guarantees_held(cluster)
        self.assertGreater(discarded, 0, "no sample exceeded the staleness bound")

    def test_samples_reach_their_trainer_exactly_once(self) -> None:
        """The leader is killed and the trainer crashes, under loss, duplication and delay."""
        cluster = start_cluster(seed=13)
        cluster.unsettle_network(loss=0.05, duplication=0.1, late=0.1)
        for _ in range(3):
            cluster.run_for(4)
            leader = self.leader_of(cluster)
            cluster.kill(leader)
            cluster.trainer.crash(0.5)
            cluster.run_for(5)
            cluster.restart(leader)
        self.assert_guarantees_held(cluster)

    def test_generations_of_a_dead_owner_are_taken_over(self) -> None:
        """A node other than the leader is killed permanently while it runs generations."""
        cluster = start_cluster(seed=25, lookups_per_s=0)
        cluster.run_for(2)
        leader = self.leader_of(cluster)
        cores = {name: cluster.machine(name).core for name in cluster.nodes}
        busy = [n for n, core in cores.items() if core is not None and core.owner.running_count]
        victim = next(name for name in busy if name != leader)
        cluster.kill(victim)
        steps_before = cluster.trainer.steps_done
        cluster.run_for(15)
        self.assertGreater(cluster.trainer.steps_done, steps_before + 4)
        self.assert_guarantees_held(cluster)

    def test_lookups_get_their_own_whole_answer(self) -> None:
        """Messages are lost, delayed and duplicated, and streams break partway."""
        callers = CallerParameters(service="charts", max_tokens=200)
        cluster = start_cluster(seed=14, lookups_per_s=10.0, callers=callers)
        cluster.unsettle_network(loss=0.1, duplication=0.2, late=0.2)
        for sampler in ("lookups-1", "lookups-2", "lookups-3"):
            cluster.run_for(3)
            cluster.crash_engine(sampler, 1.0)
        cluster.run_for(3)
        self.assertGreater(cluster.callers.totals.completed, 60)
        self.assertTrue(cluster.events(LogEvent.STREAM_RESUMED), "no stream was resumed")
        self.assert_guarantees_held(cluster)

    def test_not_run_is_true(self) -> None:
        """Engines crash and zones are partitioned while non-repeatable lookups run."""
        callers = CallerParameters(service="charts", max_tokens=200, non_repeatable_fraction=0.4)
        cluster = start_cluster(seed=15, lookups_per_s=10.0, callers=callers)
        cluster.run_for(3)
        for sampler in ("lookups-1", "lookups-2", "lookups-3"):
            cluster.crash_engine(sampler, 3.0)
        cluster.run_for(4)
        cluster.cut("a", "b", 3.0, both_ways=False)
        cluster.run_for(4)
        self.assertGreater(cluster.callers.totals.not_run, 0)
        self.assertGreater(cluster.callers.totals.unknown, 0, "no request failed after it was sent")
        self.assert_guarantees_held(cluster)

    def test_non_repeatable_runs_at_most_once(self) -> None:
        """Some idempotency keys are sent to two gateways; gateways are killed and engines crash."""
        cluster = start_cluster(seed=16, lookups_per_s=15.0)
        cluster.unsettle_network(loss=0.05, duplication=0.2, late=0.2)
        for name in ("a-2", "b-2", "c-2"):
            cluster.run_for(2)
            cluster.kill(name)
            # Crash repeatedly, so that some crash hits a non-repeatable request.
            for engine in ("lookups-2", "lookups-1", "lookups-2"):
                cluster.crash_engine(engine, 0.5)
                cluster.run_for(1)
            cluster.restart(name)
        self.assertGreater(cluster.callers.totals.completed, 60)
        self.assert_guarantees_held(cluster)

    def test_leaving_back_end_gets_no_new_work(self) -> None:
        """The machine list marks samplers as leaving while their engines still accept work."""
        cluster = start_cluster(seed=17, lookups_per_s=10.0)
        cluster.run_for(2)
        for sampler in ("lookups-1", "rollouts-1"):
            cluster.platform.set_machine_state(sampler, MachineState.LEAVING)
        cluster.run_for(cluster.plan.machine_lag_s)
        for sampler in ("lookups-1", "rollouts-1"):
            cluster.oracle.sampler_leaving(cluster.world.now, sampler)
        # Once marked as leaving, a sampler must not be used even if the list reports it live.
        cluster.platform.set_machine_state("lookups-1", MachineState.LIVE)
        cluster.run_for(10)
        self.assert_guarantees_held(cluster)

    def test_planned_stop_interrupts_nothing(self) -> None:
        """Nodes, including the leader, are drained in turn without other faults."""
        callers = CallerParameters(service="charts", max_tokens=200, non_repeatable_fraction=0.4)
        cluster = start_cluster(seed=18, lookups_per_s=20.0, callers=callers)
        cluster.run_for(3)
        for name in ("a-2", self.leader_of(cluster), "c-2"):
            cluster.drain(name)
            cluster.run_for(4)
            self.assertFalse(cluster.machine(name).alive, f"{name} did not stop")
            cluster.restart(name)
            cluster.run_for(4)
        cluster.callers.stop()
        cluster.run_for(3)
        self.assertEqual(0, cluster.callers.totals.unknown)
        self.assertEqual(0, cluster.callers.open_count)
        self.assert_guarantees_held(cluster)

    def test_configuration_takes_effect_and_never_reverts(self) -> None:
        """Concurrent writes, node restarts, zone partitions and lost API responses."""
        cluster = start_cluster(seed=19)
        cluster.run_for(5)
        kind, name = SERVICE
        for limit in range(10, 16):
            cluster.lose_answers(0.3)
            stored_object = cluster.platform.objects.get(kind.value, name)
            assert stored_object is not None
            first = cluster.change_object(kind, name, service_spec(limit), stored_object.revision)
            second = cluster.change_object(
                kind, name, service_spec(limit + 50), stored_object.revision
            )
            self.assertFalse(
                first is not None and second is not None, "both concurrent writes succeeded"
            )
            cluster.isolate_zone(ZONES[limit % 3], 2.0)
            cluster.kill(f"{ZONES[(limit + 1) % 3]}-2")
            cluster.run_for(4)
            cluster.restart(f"{ZONES[(limit + 1) % 3]}-2")
        self.assert_guarantees_held(cluster)
        stored_revision = cluster.platform.objects.revision
        node_revisions = {cluster.machine(node).core.revision for node in cluster.nodes}  # type: ignore[union-attr]
        self.assertEqual({stored_revision}, node_revisions)
        last_event = cluster.events(LogEvent.REVISION_IN_FORCE)[-1]
        self.assertEqual(stored_revision, last_event[2]["revision"])

    def test_configuration_is_in_force_within_seconds(self) -> None:
        """Without faults, every zone confirms a revision within 4 s."""
        cluster = start_cluster(seed=20, lookups_per_s=0)
        cluster.run_for(5)
        kind, name = SERVICE
        for limit in range(20, 25):
            revision = cluster.change_object(kind, name, service_spec(limit))
            stored_at = cluster.world.now
            cluster.run_for(4)
            events = cluster.events(LogEvent.REVISION_IN_FORCE)
            times = [at for at, _, fields in events if fields["revision"] == revision]
            self.assertTrue(times, f"revision {revision} not in force after 4 s")
            self.assertLess(times[0] - stored_at, 4.0)

    def test_rounds_go_on_while_the_object_api_is_down(self) -> None:
        """The object API is down for ten minutes and the leader is killed meanwhile."""
        cluster = start_cluster(seed=21, lookups_per_s=0)
        cluster.run_for(3)
        cluster.object_api_down(600.0)
        steps_before = cluster.trainer.steps_done
        cluster.run_for(15)
        cluster.kill(self.leader_of(cluster))
        cluster.run_for(15)
        self.assertGreater(cluster.trainer.steps_done, steps_before + 5)
        self.assert_guarantees_held(cluster)

    def test_a_trainer_that_publishes_rarely_is_not_starved(self) -> None:
        """Four steps per version require more samples than the staleness budget allows."""
        plan = small_plan()
        trainer = msgspec.structs.replace(plan.trainer, steps_per_version=4)
        cluster = start_cluster(seed=24, lookups_per_s=0, trainer=trainer)
        cluster.run_for(20)
        self.assertGreater(cluster.trainer.steps_done, 8)
        self.assert_guarantees_held(cluster)

    def test_a_node_without_its_disk_does_not_vote(self) -> None:
        """Two of three voters lose their disks in turn and rejoin as voters."""
        cluster = start_cluster(seed=22, lookups_per_s=0)
        cluster.run_for(3)
        for _ in range(2):
            leader = self.leader_of(cluster)
            victim = next(name for name in cluster.voters if name != leader)
            cluster.replace_disk(victim)
            cluster.run_for(8)
            core = cluster.machine(self.leader_of(cluster)).core
            assert core is not None and core.replica is not None
            disks = {voter.node_id: voter.disk_id for voter in core.replica.voters}
            disk = cluster.machine(victim).disk
            assert disk is not None
            self.assertEqual(disk.identity.disk_id, disks[victim])
        self.assert_guarantees_held(cluster)

    def test_a_paused_leader_wakes_without_its_lease(self) -> None:
        """A leader paused beyond its lease must not act after another leader was elected."""
        cluster = start_cluster(seed=23)
        cluster.run_for(3)
        leader = self.leader_of(cluster)
        core = cluster.machine(leader).core
        assert core is not None and core.replica is not None
        epoch = core.replica.epoch
        cluster.pause(leader, 6.0)
        cluster.run_for(5.9)
        self.assertNotEqual(leader, self.leader_of(cluster))
        self.assertFalse(core.replica.is_active_leader(cluster.world.now))
        cluster.run_for(3)
        self.assertGreater(core.replica.epoch, epoch)
        self.assert_guarantees_held(cluster)


class OracleTest(testtools.TestCase):
    """The oracle detects violations."""

    def test_duplicate_answer_and_duplicate_run(self) -> None:
        oracle = Oracle()
        oracle.sent(LookupFact("r", "prompt", 3, False, ""))
        oracle.answered("r", Outcome.NOT_RUN, [])
        oracle.answered("r", Outcome.UNKNOWN, [])
        oracle.engine_began(0.0, "s", "r#1")
        oracle.engine_began(0.0, "s", "r#2")
        oracle.check_lookups()
        self.assertEqual(2, len(oracle.violations))

    def test_wrong_tokens_and_reverted_configuration(self) -> None:
        oracle = Oracle()
        oracle.sent(LookupFact("r", "prompt", 3, True, ""))
        oracle.answered("r", Outcome.COMPLETED, [1, 2])
        oracle.in_force(5)
        oracle.node_acts_on("n", 5, True)
        oracle.node_acts_on("n", 4, True)
        self.assertEqual(3, len(oracle.violations))
