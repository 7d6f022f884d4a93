"""Usage of tenants: counted at gateways, committed by the leader, reported once per window."""
