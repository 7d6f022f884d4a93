"""Limits on the connections of callers, for gateways with little memory and few descriptors."""
