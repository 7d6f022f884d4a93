"""pytest: passes over the failure of tests that are listed as known red, and prints the list.

A test that never ends stops the whole run, with the stacks of all its threads.
"""

from __future__ import annotations

import faulthandler
import os
from collections.abc import Iterator

import pytest

from tests.known_red import read_known_red

STANDARD_ERROR = 2
HUNG_AFTER_S = 900.0
"""Seconds for one test. The longest takes some 60 beside other load; without this limit a hung run
ends only with the limit of whatever started it, and nothing tells where it hung."""

_RUN_OUTPUT = pytest.StashKey[int]()
"""The run's own standard error; while a test runs, descriptor 2 is captured."""


def pytest_configure(config: pytest.Config) -> None:
    """Keeps the run's standard error: it is not captured yet."""
    config.stash[_RUN_OUTPUT] = os.dup(STANDARD_ERROR)


@pytest.hookimpl(wrapper=True)
def pytest_runtest_protocol(item: pytest.Item) -> Iterator[None]:
    """Ends the run, with exit status 1, where a test hangs."""
    output = item.config.stash[_RUN_OUTPUT]
    faulthandler.dump_traceback_later(HUNG_AFTER_S, exit=True, file=output)
    try:
        return (yield)
    finally:
        faulthandler.cancel_dump_traceback_later()


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Listed tests run and may fail."""
    known = {entry.test: entry for entry in read_known_red()}
    for item in items:
        entry = known.get(item.nodeid)
        if entry is not None:
            reason = f"{entry.cause} ({entry.issue})"
            item.add_marker(pytest.mark.xfail(reason=reason, strict=False))


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    """The list stands in every run's output."""
    for entry in read_known_red():
        terminalreporter.write_line(f"known red: {entry.test}: {entry.cause} ({entry.issue})")
