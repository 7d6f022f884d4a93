"""Membership: which nodes there are, which are alive, which are leaving."""

from stileloom.membership.messages import Member, MemberState
from stileloom.membership.swim import Membership, Seed

__all__ = ["Member", "MemberState", "Membership", "Seed"]
