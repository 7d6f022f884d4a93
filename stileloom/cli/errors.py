"""How the command line ends on an error: one line on standard error and a listed exit code."""

from __future__ import annotations

import contextlib
from collections.abc import Iterator

import typer

from stileloom.errors import StileloomError


@contextlib.contextmanager
def exit_on_error() -> Iterator[None]:
    """Turns a `StileloomError` into its exit code."""
    try:
        yield
    except StileloomError as error:
        typer.echo(f"error: {error.kind.value}: {error.detail}", err=True)
        raise typer.Exit(error.answer.exit_code) from error
