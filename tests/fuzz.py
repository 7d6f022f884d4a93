"""`make fuzz SECONDS=600 SEED=n`: the stateful machine for long, outside CI.

Prints the seed and the shrunk steps of a failure.
"""

from __future__ import annotations

import argparse
import sys

from hypothesis import HealthCheck, Phase, seed, settings
from hypothesis.stateful import run_state_machine_as_test

from stileloom.clock import steady_time
from tests import stateful

EXAMPLES_PER_ROUND = 20
STEPS = 40


def main() -> int:
    """Runs rounds of examples until the time is over."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--seconds", type=float, default=60.0)
    parser.add_argument("--seed", type=int, default=1)
    arguments = parser.parse_args()
    started_at = steady_time()
    rounds = 0
    while steady_time() < started_at + arguments.seconds:
        number = arguments.seed * 1_000_003 + rounds
        machine = seed(number)(stateful.ClusterMachine)
        try:
            run_state_machine_as_test(
                machine,
                settings=settings(
                    max_examples=EXAMPLES_PER_ROUND,
                    stateful_step_count=STEPS,
                    deadline=None,
                    database=None,
                    phases=(Phase.generate, Phase.shrink),
                    suppress_health_check=list(HealthCheck),
                ),
            )
        except Exception as error:
            print(f"seed {number} fails: {error}")
            for note in getattr(error, "__notes__", []):
                print(note)
            return 1
        rounds += 1
    wall_s = steady_time() - started_at
    print(
        f"{rounds * EXAMPLES_PER_ROUND} examples, {stateful.total_faults} faults, "
        f"{stateful.total_virtual_s / 3600:.2f} simulated hours in {wall_s:.0f} s"
    )
    return 0


if __name__ == "__main__":
    sys.exit(main())
