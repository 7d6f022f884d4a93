"""When the end of a job counts as acknowledged, and which of its runs began too late after that."""

from __future__ import annotations

import contextlib
import itertools
from collections.abc import Iterator

import msgspec

from stileloom.clock import steady_time

ACK_S = 4.0
"""An end without an answer counts as acknowledged after so much steady time."""
CONTACT_S = 3.0
"""Steady time begins so long after the last disturbance."""
CANCEL_S = 3.0
"""From the acknowledgement on, runs may still begin for so long."""
LEDGER = "ledger"
"""The place of all ledger nodes, their links and the store."""


class Disturbance(msgspec.Struct):
    """A fault at one place; it is under way until `ended_at`."""

    place: str
    began_at: float
    ended_at: float = float("inf")


class Disturbances:
    """Where and when the deployment was disturbed."""

    def __init__(self, gateways: list[str]) -> None:
        self._gateways = gateways
        self._all: list[Disturbance] = []

    @contextlib.contextmanager
    def at(self, place: str) -> Iterator[None]:
        """A disturbance that lasts as long as the context."""
        disturbance = self.add(place, steady_time(), float("inf"))
        try:
            yield
        finally:
            disturbance.ended_at = steady_time()

    def add(self, place: str, began_at: float, ended_at: float) -> Disturbance:
        """A disturbance whose times are known."""
        disturbance = Disturbance(place, began_at, ended_at)
        self._all.append(disturbance)
        return disturbance

    def in_touch(self, at: float, place: str) -> bool:
        """Whether a place was undisturbed throughout the contact time."""
        return not any(
            disturbance.place == place
            and disturbance.began_at <= at < disturbance.ended_at + CONTACT_S
            for disturbance in self._all
        )

    def due_at(self, asked_at: float) -> float:
        """When an end that was asked then is due to be acknowledged."""
        at, remaining_s = asked_at, ACK_S
        for began_at, ended_at in self._unsteady():
            if ended_at <= at:
                continue
            steady_s = max(0.0, began_at - at)
            if steady_s >= remaining_s:
                break
            remaining_s -= steady_s
            at = ended_at
        return at + remaining_s

    def steady_s(self, from_at: float, to_at: float) -> float:
        """How much of an interval was steady, as far as ends are concerned."""
        steady_s, at = 0.0, from_at
        for began_at, ended_at in self._unsteady():
            steady_s += max(0.0, min(began_at, to_at) - at)
            at = max(at, ended_at)
        return steady_s + max(0.0, to_at - at)

    def _unsteady(self) -> list[tuple[float, float]]:
        return sorted([*self._ledger_unsteady(), *self._no_gateway()])

    def _ledger_unsteady(self) -> list[tuple[float, float]]:
        return [
            (disturbance.began_at, disturbance.ended_at + CONTACT_S)
            for disturbance in self._all
            if disturbance.place == LEDGER
        ]

    def _no_gateway(self) -> list[tuple[float, float]]:
        """Intervals in which every gateway was paused, ended or starting: nobody could ask."""
        of_gateways = [d for d in self._all if d.place in self._gateways]
        moments = sorted({at for d in of_gateways for at in (d.began_at, d.ended_at)})
        intervals: list[tuple[float, float]] = []
        for began_at, ended_at in itertools.pairwise(moments):
            disturbed = {d.place for d in of_gateways if d.began_at <= began_at < d.ended_at}
            if len(disturbed) == len(self._gateways):
                intervals.append((began_at, ended_at))
        return intervals
