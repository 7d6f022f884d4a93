"""Prometheus metrics of a node, documented in `docs/METRICS.md`; a test compares both."""

from __future__ import annotations

import enum

from prometheus_client import CollectorRegistry, Gauge, generate_latest

from stileloom.daemon.shell import Shell
from stileloom.membership import MemberState


class Metric(enum.Enum):
    """Metrics by name; the value is the help text."""

    stileloom_members = "Members known to this node, by state"
    stileloom_configuration_revision = "Configuration revision held by this node"
    stileloom_configuration_in_force = "Highest revision known to be in force in every zone"
    stileloom_configuration_lease_valid = "1 while the configuration lease holds"
    stileloom_ledger_epoch = "Epoch of this node's ledger replica"
    stileloom_ledger_commit_index = "Committed entries at this node's ledger replica"
    stileloom_ledger_log_entries = "Entries after the last snapshot at this replica"
    stileloom_controller_active = "1 while this node is the controller"
    stileloom_lookups_open = "Lookups without a final answer at this gateway"
    stileloom_generations_running = "Generations under way at this owner"
    stileloom_samplers_owned = "Samplers owned by this node"
    stileloom_internal_sent_bytes_total = "Bytes sent in the internal protocol"
    stileloom_internal_sent_messages_total = "Messages sent in the internal protocol"
    stileloom_internal_received_bytes_total = "Bytes received in the internal protocol"
    stileloom_internal_received_messages_total = "Messages received in the internal protocol"
    stileloom_round_version = "Current weight version of a round, at the ledger's replicas"
    stileloom_round_open_slots = "Slots without an accepted sample, at the ledger's replicas"
    stileloom_round_discarded_tokens = "Tokens of refused samples, at the ledger's replicas"


def render_metrics(shell: Shell) -> bytes:
    """Renders the current metrics in the Prometheus text format."""
    registry = CollectorRegistry()
    core = shell.core
    store = core.configuration.store
    values: dict[Metric, float] = {
        Metric.stileloom_configuration_revision: store.revision,
        Metric.stileloom_configuration_in_force: store.in_force,
        Metric.stileloom_configuration_lease_valid: float(store.lease_valid(shell.now())),
        Metric.stileloom_controller_active: float(core.controller is not None),
        Metric.stileloom_lookups_open: core.gateway.open_count,
        Metric.stileloom_generations_running: core.owner.running_count,
        Metric.stileloom_samplers_owned: len(core.owner.owned),
        Metric.stileloom_internal_sent_bytes_total: shell.network.traffic.sent_bytes,
        Metric.stileloom_internal_sent_messages_total: shell.network.traffic.sent_messages,
        Metric.stileloom_internal_received_bytes_total: shell.network.traffic.received_bytes,
        Metric.stileloom_internal_received_messages_total: shell.network.traffic.received_messages,
    }
    if core.replica is not None:
        values[Metric.stileloom_ledger_epoch] = core.replica.epoch
        values[Metric.stileloom_ledger_commit_index] = core.replica.commit_index
        values[Metric.stileloom_ledger_log_entries] = core.replica.log_length
    for metric, value in values.items():
        Gauge(metric.name, metric.value, registry=registry).set(value)
    _add_members(registry, shell)
    _add_rounds(registry, shell)
    return generate_latest(registry)


def _add_members(registry: CollectorRegistry, shell: Shell) -> None:
    metric = Metric.stileloom_members
    gauge = Gauge(metric.name, metric.value, ["state"], registry=registry)
    members = shell.core.membership.members()
    for state in MemberState:
        gauge.labels(state.name.lower()).set(sum(1 for m in members if m.state is state))


def _add_rounds(registry: CollectorRegistry, shell: Shell) -> None:
    version = Metric.stileloom_round_version
    open_slots = Metric.stileloom_round_open_slots
    discarded = Metric.stileloom_round_discarded_tokens
    gauges = [
        Gauge(metric.name, metric.value, ["round"], registry=registry)
        for metric in (version, open_slots, discarded)
    ]
    replica = shell.core.replica
    for name, state in (replica.state.rounds if replica is not None else {}).items():
        gauges[0].labels(name).set(state.version)
        gauges[1].labels(name).set(len(state.open_slots))
        gauges[2].labels(name).set(state.discarded_tokens)
