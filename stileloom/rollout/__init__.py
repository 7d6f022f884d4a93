"""Rollouts: scheduling of generations and delivery of samples to trainers."""

from stileloom.rollout.controller import Controller
from stileloom.rollout.delivery import HandOverTicket, PendingReads, ProposeHandOver
from stileloom.rollout.scheduler import (
    BaselineScheduler,
    DefaultScheduler,
    Mechanism,
    Scheduler,
    SchedulerKind,
    make_scheduler,
)
from stileloom.rollout.view import ControllerView, Propose

__all__ = [
    "BaselineScheduler",
    "Controller",
    "ControllerView",
    "DefaultScheduler",
    "HandOverTicket",
    "Mechanism",
    "PendingReads",
    "Propose",
    "ProposeHandOver",
    "Scheduler",
    "SchedulerKind",
    "make_scheduler",
]
