"""Error handling of the commands: a line on standard error and the exit code of the error kind."""

from __future__ import annotations

import contextlib
from collections.abc import Iterator

import typer

from stileloom.errors import StileloomError


@contextlib.contextmanager
def exit_on_error() -> Iterator[None]:
    """Prints a `StileloomError` and exits with its exit code."""
    try:
        yield
    except StileloomError as error:
        typer.echo(f"error: {error.kind.value}: {error.detail}", err=True)
        raise typer.Exit(error.response.exit_code) from error
