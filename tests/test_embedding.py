"""The examples of docs/EMBEDDING.md run and print the expected output."""

from __future__ import annotations

import contextlib
import io
import runpy
from pathlib import Path

import testtools

EXAMPLES = Path(__file__).resolve().parents[1] / "examples"


class ExampleTest(testtools.TestCase):
    """Runs each example as a script."""

    def run_example(self, name: str) -> str:
        """Runs an example and returns its standard output."""
        output = io.StringIO()
        with contextlib.redirect_stdout(output):
            runpy.run_path(str(EXAMPLES / name), run_name="__main__")
        return output.getvalue().strip()

    def test_membership(self) -> None:
        self.assertEqual("alive: green, red", self.run_example("embed_membership.py"))

    def test_ledger(self) -> None:
        self.assertEqual("floor: 5", self.run_example("embed_ledger.py"))
