"""Cluster membership: known nodes and whether they are alive or leaving."""

from stileloom.membership.messages import Member, MemberState
from stileloom.membership.swim import Membership, Seed

__all__ = ["Member", "MemberState", "Membership", "Seed"]
