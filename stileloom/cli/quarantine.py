"""`stileloom quarantine`: requests that are rejected because they crashed samplers."""

from __future__ import annotations

from typing import Annotated

import msgspec
import typer

from stileloom.cli.errors import exit_on_error
from stileloom.clock import run_main
from stileloom.errors import ErrorKind, StileloomError
from stileloom.jobs.client import JobClient
from stileloom.jobs.leader_search import LedgerNodes
from stileloom.jobs.messages import JobReply
from stileloom.logging import EventLog, configure_logs
from stileloom.quarantine.messages import (
    QuarantineListed,
    QuarantineListing,
    QuarantineRequest,
    ReleaseSuspectCall,
    SuspectReleased,
    WatchQuarantineCall,
)
from stileloom.settings_file import split_address

CALL_TIMEOUT_S = 5.0
"""Longer than an election, which takes up to two seconds."""
NO_REVISION = -1

NodeOption = Annotated[list[str], typer.Option(help="Call address of a ledger node, HOST:PORT.")]

app = typer.Typer(help="Manage requests that are rejected because they crashed samplers.")


@app.command("list")
def list_suspects(
    node: NodeOption, output: Annotated[str, typer.Option("-o", help="`text` or `json`.")] = "text"
) -> None:
    """Lists requests during which several samplers crashed, and whether they are quarantined.

    Example: stileloom quarantine list --node 10.0.0.7:7300
    """
    with exit_on_error():
        reply = _call(node, WatchQuarantineCall(NO_REVISION, 0.0))
        if not isinstance(reply, QuarantineListed) or reply.listing is None:
            raise StileloomError(ErrorKind.INTERNAL, "unexpected response from the ledger")
        if output == "json":
            typer.echo(msgspec.json.encode(reply.listing).decode())
        else:
            typer.echo(render(reply.listing))


@app.command()
def release(
    identity: Annotated[
        str, typer.Argument(help="Request identity, as shown by `list` and in logs.")
    ],
    node: NodeOption,
) -> None:
    """Releases a request from quarantine, after the cause of the crashes has been fixed.

    Example: stileloom quarantine release 5a1f0c... --node 10.0.0.7:7300
    """
    with exit_on_error():
        reply = _call(node, ReleaseSuspectCall(identity))
        if not isinstance(reply, SuspectReleased):
            raise StileloomError(ErrorKind.INTERNAL, "unexpected response from the ledger")
        if not reply.known:
            raise StileloomError(
                ErrorKind.UNKNOWN_OBJECT, f"no crashes are recorded for {identity}"
            )
        typer.echo(f"released {identity}")


def render(listing: QuarantineListing) -> str:
    """Formats a listing, one line per request."""
    if not listing.suspects:
        return "no crashes are recorded for any request"
    rows = []
    for summary in listing.suspects:
        state = (
            f"refused, one run in {summary.trial_in_s:.0f} s" if summary.quarantined else "watched"
        )
        rows.append(f"{summary.identity}  {state}  ended: {', '.join(summary.crashes)}")
    return "\n".join(rows)


def _call(nodes: list[str], request: QuarantineRequest) -> JobReply:
    configure_logs("error")

    async def run() -> JobReply:
        addresses = [split_address(node) for node in nodes]
        client = JobClient(LedgerNodes(addresses), EventLog("cli"), lambda: None)
        try:
            return await client.call(request, "cli", CALL_TIMEOUT_S)
        finally:
            client.close()

    return run_main(run())
