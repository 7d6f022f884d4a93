"""The clock of all programs: steady, and running on while the machine is suspended.

`time.monotonic` stands still while a machine is suspended. A node that wakes would take its
lease, its order window and what it read before for as young as they were when it fell asleep,
while the other nodes have long elected another leader. The time of day counts the sleep, but
may jump. So every age, lease, window, deadline and timer counts by the clock in this module; the
linter bans `time.monotonic`. The time of day serves only where a moment has to outlive a process.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Coroutine
from typing import Any, TypeVar

_Result = TypeVar("_Result")


def steady_time() -> float:
    """Seconds since the machine started, those in which it was suspended included."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class SuspendAwareEventLoop(asyncio.SelectorEventLoop):
    """An event loop whose timers count the time asleep: what was due fires at the wake.

    A wait that was under way when the machine fell asleep still takes the rest of its time
    before the loop looks at its timers: `stileloom.background.Ticker` bounds that to one tick.
    """

    def time(self) -> float:
        """The clock of all timers, in seconds."""
        return steady_time()


def run_program(main: Coroutine[Any, Any, _Result]) -> _Result:
    """Runs a program's main coroutine, as `asyncio.run` does, on a loop of this clock."""
    with asyncio.Runner(loop_factory=SuspendAwareEventLoop) as runner:
        return runner.run(main)
