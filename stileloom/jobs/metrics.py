"""Metrics of a ledger node: items, results, orders, the replica and its disk."""

from __future__ import annotations

from collections.abc import Callable

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram

from stileloom.fairness.tenant_load import TenantLoad, largest_by_share, largest_by_waiting

EVENT_BUCKETS_S = (0.02, 0.04, 0.06, 0.1, 0.15, 0.3, 0.6, 1.0, 2.0, 5.0)
SYNC_BUCKETS_S = (0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.5, 1.0)
JOB_BUCKETS_S = (1.0, 2.0, 3.0, 4.0, 5.0, 7.5, 10.0, 15.0, 30.0)


class JobMetrics:
    """Counters and histograms of one ledger node."""

    def __init__(self, registry: CollectorRegistry) -> None:
        self.runs_started = Counter(
            "stileloom_item_runs_started", "Runs of items begun", registry=registry
        )
        self.runs_ended = Counter(
            "stileloom_item_runs_ended",
            "Runs of items that ended by themselves, by outcome",
            ["outcome"],
            registry=registry,
        )
        self.runs_stopped = Counter(
            "stileloom_item_runs_stopped",
            "Runs of items stopped by the leader, by reason",
            ["reason"],
            registry=registry,
        )
        self.queue_wait = Histogram(
            "stileloom_item_queue_wait_seconds",
            "Time from an item's adoption to its first run",
            buckets=EVENT_BUCKETS_S,
            registry=registry,
        )
        self.first_event = Histogram(
            "stileloom_item_first_event_seconds",
            "Time from the start of a run to its first event",
            buckets=EVENT_BUCKETS_S,
            registry=registry,
        )
        self.event_gap = Histogram(
            "stileloom_item_event_gap_seconds",
            "Time between two events of a run",
            buckets=EVENT_BUCKETS_S,
            registry=registry,
        )
        self._items_waiting = Gauge(
            "stileloom_items_waiting",
            "Open items whose text is incomplete and of which no run was sent",
            registry=registry,
        )
        self._longest_item_wait = Gauge(
            "stileloom_item_longest_wait_seconds",
            "Longest time that such an item has been without a run",
            registry=registry,
        )
        self.item_long_waits = Counter(
            "stileloom_item_long_waits",
            "Long waits in the reports of each second, by what the item waits for",
            ["reason"],
            registry=registry,
        )
        self.jobs_refused = Counter(
            "stileloom_jobs_refused", "Jobs refused for want of room", registry=registry
        )
        self.results_listed = Counter(
            "stileloom_results_listed", "Results committed to the ledger", registry=registry
        )
        self.rewards = Counter(
            "stileloom_reward_calls",
            "Reward calls of whole texts, by outcome",
            ["outcome"],
            registry=registry,
        )
        self.reward_wait = Histogram(
            "stileloom_reward_wait_seconds",
            "Time from an item's whole text to its score, or to its last failed call",
            buckets=EVENT_BUCKETS_S,
            registry=registry,
        )
        self.job_time = Histogram(
            "stileloom_job_seconds",
            "Time from a job's adoption to its end",
            buckets=JOB_BUCKETS_S,
            registry=registry,
        )
        self.orders = Counter(
            "stileloom_orders", "Orders to samplers, by outcome", ["outcome"], registry=registry
        )
        self.sync = Histogram(
            "stileloom_ledger_sync_seconds",
            "Time of one write with its sync at this node's disk",
            buckets=SYNC_BUCKETS_S,
            registry=registry,
        )
        self.commit = Histogram(
            "stileloom_ledger_commit_seconds",
            "Time from a command's proposal to its commitment, at the leader",
            buckets=SYNC_BUCKETS_S,
            registry=registry,
        )
        self.items_open = Gauge(
            "stileloom_items_open",
            "Items without a listed result, at the leader",
            registry=registry,
        )
        self.items_running = Gauge(
            "stileloom_items_running", "Items that run at a sampler now", registry=registry
        )
        self._tenant_items_waiting = Gauge(
            "stileloom_tenant_items_waiting",
            "Waiting items of the ten tenants with the most of them, at the leader, by tenant and"
            " service",
            ["tenant", "service"],
            registry=registry,
        )
        self._tenant_share = Gauge(
            "stileloom_tenant_dominant_share",
            "Dominant share of the ten tenants with the greatest, at the leader, by tenant and"
            " service",
            ["tenant", "service"],
            registry=registry,
        )
        self.sampler_version = Gauge(
            "stileloom_sampler_version",
            "Newest weight version seen at a sampler, by sampler and model",
            ["sampler", "model"],
            registry=registry,
        )
        self._leader = Gauge(
            "stileloom_leader", "1 while this node leads and holds its lease", registry=registry
        )
        self._epoch = Gauge(
            "stileloom_replica_epoch", "Epoch of this node's replica", registry=registry
        )
        self._committed = Gauge(
            "stileloom_replica_commit_index", "Committed entries at this replica", registry=registry
        )
        self._voters = Gauge(
            "stileloom_ledger_voters",
            "Disks in the ledger's voter set, as this replica sees it",
            registry=registry,
        )
        self._lag = Gauge(
            "stileloom_replica_lag_entries",
            "Entries that the slowest follower lacks, at the leader",
            registry=registry,
        )

    def set_item_waits(self, waiting: int, longest_s: float) -> None:
        """Sets how many items have no run, and the longest of their waits in seconds."""
        self._items_waiting.set(waiting)
        self._longest_item_wait.set(longest_s)

    def set_tenant_loads(self, loads: list[TenantLoad]) -> None:
        """Replaces the series of tenants; their number is bounded."""
        self._tenant_items_waiting.clear()
        self._tenant_share.clear()
        for load in largest_by_waiting(loads):
            self._tenant_items_waiting.labels(load.tenant, load.service).set(load.waiting)
        for load in largest_by_share(loads):
            self._tenant_share.labels(load.tenant, load.service).set(load.share)

    def observe_replica(
        self,
        leads: Callable[[], bool],
        epoch: Callable[[], int],
        committed: Callable[[], int],
        lag: Callable[[], int],
        voters: Callable[[], int],
    ) -> None:
        """Registers callbacks that read the state of the replica."""
        self._leader.set_function(lambda: float(leads()))
        self._epoch.set_function(epoch)
        self._committed.set_function(committed)
        self._lag.set_function(lag)
        self._voters.set_function(voters)
