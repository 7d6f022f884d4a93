"""Leader leases on a monotonic clock, and fencing tokens against holders of expired leases."""

from stileloom.lease.fence import Fence, FencingToken
from stileloom.lease.leader import LeaderLease

__all__ = ["Fence", "FencingToken", "LeaderLease"]
