"""`make mutants`: seeded breaks, each of which a named test must catch.

Each mutant is a textual change in a scratch copy of the tree. A mutant whose text is not found
counts as missed: the list has to follow the code.
"""

from __future__ import annotations

import concurrent.futures
import os
import shutil
import subprocess
import sys
import tempfile
from pathlib import Path
from typing import NamedTuple

ROOT = Path(__file__).resolve().parents[1]
WORKERS = 4
TIMEOUT_S = 240


class Mutant(NamedTuple):
    """One break."""

    name: str
    promise: str
    file: str
    before: str
    after: str
    test: str


PROMISES = "tests/test_promises.py"

MUTANTS = [
    Mutant(
        "segments take the newest version for all tokens",
        "samples name their versions",
        "stileloom/samplers/owner.py",
        "generation.segments, chunk.weight_version, len(chunk.tokens)",
        "[], chunk.weight_version, len(generation.tokens)",
        f"{PROMISES}::PromiseTest::test_samples_name_their_versions",
    ),
    Mutant(
        "age is not checked, neither at commit nor at hand-over",
        "staleness bound",
        "stileloom/ledger/state.py",
        "return self.version - (oldest if oldest is not None else self.version)",
        "return 0",
        f"{PROMISES}::PromiseTest::test_samples_keep_the_staleness_bound",
    ),
    Mutant(
        "a second sample for a slot is accepted",
        "exactly once",
        "stileloom/ledger/state.py",
        "        del state.open_slots[sample.slot]\n        state.ready[sample.slot] = sample",
        "        state.ready[sample.slot + len(state.ready)] = sample",
        f"{PROMISES}::PromiseTest::test_samples_reach_their_trainer_exactly_once",
    ),
    Mutant(
        "a generation whose owner died is never started again",
        "exactly once",
        "stileloom/rollout/assignments.py",
        "if now >= assignment.confirmed_at + silence_s:",
        "if False:",
        f"{PROMISES}::PromiseTest::test_generations_of_a_dead_owner_are_taken_over",
    ),
    Mutant(
        "late answers of an earlier attempt are accepted",
        "whole answers",
        "stileloom/routing/gateway.py",
        "if self._by_attempt.pop(execution.attempt_id, None) is not None:",
        "if self._by_attempt.get(execution.attempt_id) is not None:",
        "tests/test_routing.py",
    ),
    Mutant(
        "a cut stream passes for a whole answer",
        "whole answers",
        "stileloom/routing/execution.py",
        'return end.token_count == len(self.tokens) and end.finish_reason != "cancelled"',
        "return True",
        "tests/test_routing.py",
    ),
    Mutant(
        "tokens of a resumed stream come from the wrong place",
        "whole answers",
        "stileloom/routing/execution.py",
        "fresh = chunk.tokens[skip:]",
        "fresh = chunk.tokens[skip:][::-1] if self.attempts > 1 else chunk.tokens[skip:]",
        f"{PROMISES}::PromiseTest::test_lookups_get_their_own_whole_answer",
    ),
    Mutant(
        "whatever is given up is said not to have run",
        "not_run is true",
        "stileloom/routing/execution.py",
        "return Outcome.UNKNOWN if self.may_have_begun else Outcome.NOT_RUN",
        "return Outcome.NOT_RUN",
        f"{PROMISES}::PromiseTest::test_not_run_is_true",
    ),
    Mutant(
        "a failed attempt is said not to have run",
        "not_run is true",
        "stileloom/routing/gateway.py",
        "        if surely_not_begun:\n            execution.attempt_never_began()",
        "        execution.attempt_never_began()",
        "tests/test_routing.py",
    ),
    Mutant(
        "a non-repeatable request is retried",
        "at most once",
        "stileloom/routing/execution.py",
        "return self.request.repeatable or not self.may_have_begun",
        "return True",
        f"{PROMISES}::PromiseTest::test_non_repeatable_runs_at_most_once",
    ),
    Mutant(
        "an idempotency key may be claimed twice",
        "at most once",
        "stileloom/ledger/state.py",
        "if claim.request_id == command.request_id or command.repeatable:",
        "if True:",
        f"{PROMISES}::PromiseTest::test_non_repeatable_runs_at_most_once",
    ),
    Mutant(
        "a sign of leaving does not stick",
        "leaving back end",
        "stileloom/samplers/table.py",
        "        if machine.state is MachineState.LEAVING:\n",
        "        view.leaving = False\n        if machine.state is MachineState.LEAVING:\n",
        f"{PROMISES}::PromiseTest::test_leaving_back_end_gets_no_new_work",
    ),
    Mutant(
        "the machine list's sign of leaving is ignored",
        "leaving back end",
        "stileloom/samplers/table.py",
        "if machine.state is MachineState.LEAVING:",
        "if False:",
        f"{PROMISES}::PromiseTest::test_leaving_back_end_gets_no_new_work",
    ),
    Mutant(
        "a draining node ends with requests in flight",
        "planned stop",
        "stileloom/node/core.py",
        "return self.gateway.open_count == 0 and self.owner.running_count == 0",
        "return True",
        f"{PROMISES}::PromiseTest::test_planned_stop_interrupts_nothing",
    ),
    Mutant(
        "a node takes a lower revision",
        "configuration",
        "stileloom/configuration/store.py",
        "if configuration.revision <= self.revision:",
        "if configuration.revision == self.revision:",
        "tests/test_configuration.py",
    ),
    Mutant(
        "a revision is in force as soon as one zone has it",
        "configuration",
        "stileloom/configuration/authority.py",
        "lowest = min((grant.confirmed for grant in self._grants.values()), default=0)",
        "lowest = max((grant.revision for grant in self._grants.values()), default=0)",
        "tests/test_configuration.py",
    ),
    Mutant(
        "a grant does not wait for the floor to be committed",
        "configuration",
        "stileloom/configuration/authority.py",
        "if message.revision > floor:",
        "if False:",
        "tests/test_configuration.py",
    ),
    Mutant(
        "an append is acknowledged before it is durable",
        "exactly once (ledger)",
        "stileloom/ledger/replica.py",
        "if self._durable_write_id >= self._write_id:",
        "if True:",
        "tests/test_ledger.py",
    ),
    Mutant(
        "a replaced disk votes",
        "exactly once (ledger)",
        "stileloom/ledger/replica.py",
        "if sticky or leading or not self.is_voter:",
        "if sticky or leading:",
        "tests/test_ledger.py",
    ),
    Mutant(
        "the leader's lease is not checked",
        "fencing",
        "stileloom/ledger/replica.py",
        "return now < self.lease_expires_at(now)",
        "return True",
        f"{PROMISES}::PromiseTest::test_a_paused_leader_wakes_without_its_lease",
    ),
    Mutant(
        "what a trainer waits for is not started beyond the budget",
        "rounds go on",
        "stileloom/rollout/staleness.py",
        "return max(0, budget - used, wanted)",
        "return max(0, budget - used)",
        f"{PROMISES}::PromiseTest::test_a_trainer_that_publishes_rarely_is_not_starved",
    ),
]


def run(mutant: Mutant) -> str:
    """`caught`, or why it was missed."""
    with tempfile.TemporaryDirectory(prefix="stileloom-mutant-") as scratch:
        folder = Path(scratch)
        for name in ("stileloom", "tests", "examples", "docs"):
            if (ROOT / name).exists():
                shutil.copytree(ROOT / name, folder / name)
        shutil.copy(ROOT / "pyproject.toml", folder)
        path = folder / mutant.file
        source = path.read_text()
        if mutant.before not in source:
            return "MISSED (text not found)"
        path.write_text(source.replace(mutant.before, mutant.after))
        environment = {**os.environ, "PYTHONPATH": scratch}
        pytest = [sys.executable, "-m", "pytest", "-q", "-x", "-p", "no:cacheprovider"]
        command = [*pytest, mutant.test]
        try:
            done = subprocess.run(
                command, cwd=folder, env=environment, capture_output=True, timeout=TIMEOUT_S
            )
        except subprocess.TimeoutExpired:
            return "caught (no end)"
        return "caught" if done.returncode == 1 else f"MISSED (exit {done.returncode})"


def main() -> int:
    """Runs every mutant and prints the list."""
    missed = 0
    with concurrent.futures.ThreadPoolExecutor(WORKERS) as pool:
        for mutant, verdict in zip(MUTANTS, pool.map(run, MUTANTS), strict=True):
            missed += verdict.startswith("MISSED")
            print(f"{verdict:8}  {mutant.promise}: {mutant.name}", flush=True)
    print(f"{len(MUTANTS) - missed} caught, {missed} missed")
    return 1 if missed else 0


if __name__ == "__main__":
    sys.exit(main())
