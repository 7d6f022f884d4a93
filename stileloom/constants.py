"""Named constants with their units, one place for all parts."""

# Membership (SWIM: Das, Gupta, Motivala 2002; suspicion as in its section 4.2).
PROBE_INTERVAL_S = 1.0
PROBE_TIMEOUT_S = 0.35
SUSPICION_TIMEOUT_S = 2.5
INDIRECT_PROBES = 3
GOSSIP_UPDATES_PER_MESSAGE = 8
GOSSIP_RETRANSMIT_FACTOR = 3
ZONE_SYNC_INTERVAL_S = 2.0
NODE_SYNC_INTERVAL_S = 8.0
"""How often an ordinary node compares its table with a representative's: gossip may miss some."""
DEAD_MEMBER_PROBE_INTERVAL_S = 5.0
STARTUP_SEED_SYNC_INTERVAL_S = 3.0
"""How often a young representative asks a seed: nodes that start together may form islands."""
SEED_SYNC_INTERVAL_S = 30.0
STARTUP_PERIOD_S = 60.0
REPRESENTATIVES_PER_ZONE = 2

# Ledger (Raft: Ongaro and Ousterhout 2014; leader stickiness from section 6 there).
LEDGER_HEARTBEAT_S = 0.15
ELECTION_TIMEOUT_MIN_S = 0.8
ELECTION_TIMEOUT_MAX_S = 1.6
RESTART_S = 0.8
"""For so long after its start a replica counts as restarted."""
RESTART_RETRY_S = 0.15
"""How often a restarted node that led last asks for votes: the others may start later."""
RESTART_ELECTION_MIN_S = 1.2
"""A restarted voter that did not lead last leaves this time to the one that did."""
RESTART_ELECTION_MAX_S = 1.8
LEADER_LEASE_S = 0.7
"""Shorter than the least election timeout, so that a lease ends before a successor starts."""
FOLLOWER_SILENT_S = 1.0
"""A follower that did not answer for so long gets no entries until it does."""
SNAPSHOT_RETRY_S = 3.0
VOTER_SILENT_S = 1.5
"""A voter that did not answer for so long gives its place to a learner, if there is one."""
STANDBY_HELLO_S = 1.6
"""How often a replica outside the voter set tells the leader that it is there."""
STANDBY_FORGOTTEN_S = 4.0
"""A standby that said nothing for so long is not counted on."""
LEADER_HEARD_S = 3.5
"""A standby that heard nothing of a leader for so long asks every node that it knows."""
APPEND_BATCH_ENTRIES = 64
SNAPSHOT_AFTER_ENTRIES = 512
COMMAND_RETRY_S = 0.5
COMMAND_TIMEOUT_S = 8.0

# Configuration.
CONFIGURATION_LEASE_S = 3.0
CONFIGURATION_RENEW_INTERVAL_S = 1.0
GRANT_RENEW_INTERVAL_S = 0.5
READERS_PER_ZONE = 2
MACHINE_POLL_INTERVAL_S = 1.0

# Samplers.
LOAD_POLL_S = 0.25
GATEWAY_REPORT_S = 1.0
"""How often an owner sends load to the gateways that route to a sampler."""
CONTROLLER_REPORT_S = 2.0
"""How often it sends it to the controller; a change of state goes at once to both."""
SAMPLER_REPORT_STALE_S = 5.0
SUBSET_SIZE = 16
ORDER_RETRY_S = 1.0
ASSIGNMENT_LOST_S = 5.0
ASSIGNMENT_LOST_SUSPECT_S = 2.5
"""The same for an owner that membership suspects; longer than a running report's interval."""
CONTROLLER_SETTLE_S = 2.0
"""A new controller listens this long for running generations before it assigns any."""

# Requests.
MAX_BODY_BYTES = 1_048_576
DEFAULT_DEADLINE_S = 10.0
RETRY_BUDGET_RATIO = 0.2
RETRY_BUDGET_MIN_PER_S = 1.0
EJECTION_FAILURES = 3
EJECTION_S = 5.0
MAX_ATTEMPTS = 3
DRAIN_TIMEOUT_S = 30.0
