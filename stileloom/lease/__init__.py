"""Leases on a monotonic clock, and fencing tokens for those who outlive theirs."""

from stileloom.lease.fence import Fence, FencingToken
from stileloom.lease.leader import LeaderLease

__all__ = ["Fence", "FencingToken", "LeaderLease"]
