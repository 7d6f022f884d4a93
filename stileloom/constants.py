"""Timing, size and retry constants of all components. The suffix `_S` means seconds."""

# Membership (SWIM, Das, Gupta and Motivala 2002; suspicion as in section 4.2).
PROBE_INTERVAL_S = 1.0
PROBE_TIMEOUT_S = 0.35
SUSPICION_TIMEOUT_S = 2.5
INDIRECT_PROBES = 3
GOSSIP_UPDATES_PER_MESSAGE = 8
GOSSIP_RETRANSMIT_FACTOR = 3
ZONE_SYNC_INTERVAL_S = 2.0
NODE_SYNC_INTERVAL_S = 8.0
"""Interval at which a node compares its table with a representative's, in case gossip was lost."""
DEAD_MEMBER_PROBE_INTERVAL_S = 5.0
STARTUP_SEED_SYNC_INTERVAL_S = 3.0
"""Used during `STARTUP_PERIOD_S`, when groups of nodes may not have discovered one another."""
SEED_SYNC_INTERVAL_S = 30.0
STARTUP_PERIOD_S = 60.0
REPRESENTATIVES_PER_ZONE = 2

# Ledger (Raft, Ongaro and Ousterhout 2014; leader stickiness as in section 6).
LEDGER_HEARTBEAT_INTERVAL_S = 0.15
ELECTION_TIMEOUT_MIN_S = 0.8
ELECTION_TIMEOUT_MAX_S = 1.6
RESTART_PERIOD_S = 0.8
"""Period after its start during which a replica uses the restart election timeouts."""
RESTART_ELECTION_RETRY_INTERVAL_S = 0.15
"""Interval at which a restarted former leader repeats vote requests; others may start later."""
RESTART_ELECTION_MIN_S = 1.2
"""Minimum election timeout of other restarted voters, so that the last leader campaigns first."""
RESTART_ELECTION_MAX_S = 1.8
LEADER_LEASE_S = 0.7
"""Shorter than the minimum election timeout, so a lease expires before a successor is elected."""
COMMIT_TIMEOUT_S = 2.0
"""Age of its oldest uncommitted command at which a leader stops acting.

Longer than the pauses of a slow disk, shorter than the time in which ended work must stop.
"""
FOLLOWER_RESPONSE_TIMEOUT_S = 1.0
"""Time without a response after which a follower is sent no entries until it responds again."""
SNAPSHOT_PIECE_BYTES = 256 * 1024
"""Small enough that its compression delays neither heartbeats nor calls noticeably."""
SNAPSHOT_RETRY_INTERVAL_S = 1.0
"""Time without a reply after which a piece of a snapshot is sent again."""
SNAPSHOT_HOLD_S = 5.0
"""Time without a response after which the snapshot for a follower is no longer kept in memory."""
VOTER_RESPONSE_TIMEOUT_S = 1.5
"""Time without a response after which a voter is replaced by a learner, if one is available."""
STANDBY_ANNOUNCE_INTERVAL_S = 1.6
"""Interval at which a standby (a replica outside the voter set) announces itself to the leader."""
STANDBY_EXPIRY_S = 4.0
"""Time after its last announcement at which a standby is dropped."""
LEADER_CONTACT_TIMEOUT_S = 3.5
"""Time without contact with a leader after which a standby queries every node it knows."""
APPEND_BATCH_ENTRIES = 64
APPEND_BATCH_BYTES = 1024 * 1024
"""Limit of a batch of several entries, so that heartbeats do not wait behind it for long."""
SNAPSHOT_AFTER_ENTRIES = 512
SNAPSHOT_AFTER_BYTES = 8 * 1024 * 1024
"""A snapshot may be taken after this many entries or bytes, because the log is in memory."""
SNAPSHOT_GROWTH_MIN = 0.2
"""Minimum growth of the log between two snapshots, as a fraction of the state's size."""
SNAPSHOT_GROWTH_MAX = 0.35
ENTRY_OVERHEAD_BYTES = 300
"""Memory of an entry besides its encoded size."""
COMMAND_RETRY_INTERVAL_S = 0.5
COMMAND_TIMEOUT_S = 8.0

# Configuration.
CONFIGURATION_LEASE_S = 3.0
CONFIGURATION_RENEW_INTERVAL_S = 1.0
GRANT_RENEW_INTERVAL_S = 0.5
READERS_PER_ZONE = 2
MACHINE_POLL_INTERVAL_S = 1.0

# Samplers.
LOAD_POLL_INTERVAL_S = 0.25
GATEWAY_REPORT_INTERVAL_S = 1.0
"""Interval at which an owner reports a sampler's load to the gateways that route to it."""
CONTROLLER_REPORT_INTERVAL_S = 2.0
"""Interval at which an owner reports to the controller; state changes are reported immediately."""
SAMPLER_REPORT_STALE_S = 5.0
SUBSET_SIZE = 16
ORDER_RETRY_INTERVAL_S = 1.0
ASSIGNMENT_TIMEOUT_S = 5.0
"""Time without a report from its owner after which an assignment is dropped."""
SUSPECT_ASSIGNMENT_TIMEOUT_S = 2.5
"""The same for a suspect, dead or unknown owner; must exceed its running report interval."""
CONTROLLER_DISCOVERY_PERIOD_S = 2.0
"""Time for which a new controller collects running reports before it assigns generations."""

# Requests.
MAX_BODY_BYTES = 1_048_576
DEFAULT_DEADLINE_S = 10.0
RETRY_BUDGET_RATIO = 0.2
RETRY_BUDGET_MIN_PER_S = 1.0
EJECTION_FAILURES = 3
EJECTION_DURATION_S = 5.0
MAX_ATTEMPTS = 3
DRAIN_TIMEOUT_S = 30.0
