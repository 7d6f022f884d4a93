"""Rollouts: which slot is generated where, and when samples are handed to their trainer."""

from stileloom.rollout.controller import Controller
from stileloom.rollout.delivery import DeliveryDesk, HandOverTicket, ProposeHandOver
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
    "DeliveryDesk",
    "HandOverTicket",
    "Mechanism",
    "Propose",
    "ProposeHandOver",
    "Scheduler",
    "SchedulerKind",
    "make_scheduler",
]
