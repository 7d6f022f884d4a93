"""Monotonic clock that includes time spent in system suspend.

`time.monotonic` stops during suspend, so a resumed node would treat an expired lease, order window
or cached read as valid although another leader may have been elected. Wall-clock time includes
suspend but can jump. All ages, leases, deadlines and timers therefore use this module, and the
linter bans `time.monotonic`. Wall-clock time is used only for timestamps that outlive a process.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Coroutine
from typing import Any, TypeVar

_Result = TypeVar("_Result")


def steady_time() -> float:
    """Seconds since boot, including time in suspend."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class SuspendAwareEventLoop(asyncio.SelectorEventLoop):
    """Event loop whose timers include suspend time: overdue timers fire after resume.

    A selector wait in progress at suspend still runs for its remaining timeout before timers are
    checked. A running `stileloom.background.Ticker` limits that delay to one interval.
    """

    def time(self) -> float:
        """Clock of the loop's timers, in seconds."""
        return steady_time()


def run_main(main: Coroutine[Any, Any, _Result]) -> _Result:
    """Like `asyncio.run`, with a `SuspendAwareEventLoop`."""
    with asyncio.Runner(loop_factory=SuspendAwareEventLoop) as runner:
        return runner.run(main)
