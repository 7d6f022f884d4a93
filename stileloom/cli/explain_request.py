"""`stileloom explain-request`: why a request waited, ran where it ran, or was refused."""

from __future__ import annotations

from typing import Annotated
from urllib.parse import urlencode

import msgspec
import typer
from rich.console import Console
from rich.markup import escape
from rich.table import Table

from stileloom.cli.errors import exit_on_error
from stileloom.cli.operate import Output, OutputOption, print_json
from stileloom.client import HttpCaller
from stileloom.clock import run_main
from stileloom.decisions.records import DecisionsPage, ServedCandidate, ServedDecision
from stileloom.errors import ErrorKind, StileloomError

_SHOWN_APART = {"kind", "age_s", "candidates"}
_FROM_ONE = {"attempts", "status"}
"""Fields that do not apply if they are 0."""


def explain_request(
    address: Annotated[
        str, typer.Argument(help="Metrics address of a gateway or ledger node, HOST:PORT.")
    ],
    request_id: Annotated[
        str, typer.Argument(metavar="ID", help="Id of a lookup, batch item or job.")
    ],
    output: OutputOption = Output.TABLE,
) -> None:
    """Shows the decisions about a request that a gateway or the ledger's leader has kept.

    Example: stileloom explain-request 10.0.0.7:9100 9c41d07be2a35f68
    """
    with exit_on_error():
        path = f"/decisions?{urlencode({'request': request_id})}"
        response = run_main(HttpCaller([address]).call("GET", path))
        page = _decode(response.body, address)
        if not page.records:
            raise StileloomError(ErrorKind.UNKNOWN_OBJECT, _not_found(request_id, page))
        if output is Output.JSON:
            print_json(page)
            return
        console = Console()
        for record in page.records:
            console.print(decision_table(record))


def _decode(body: bytes, address: str) -> DecisionsPage:
    try:
        return msgspec.json.decode(body, type=DecisionsPage)
    except msgspec.DecodeError as error:
        detail = f"{address} is not the metrics address of a gateway or ledger node"
        raise StileloomError(ErrorKind.BAD_REQUEST, detail) from error


def _not_found(request_id: str, page: DecisionsPage) -> str:
    reach = ""
    if page.oldest_age_s is not None:
        reach = f", the oldest from {page.oldest_age_s:.1f} s ago"
    return f"no decision about {request_id} among the {page.kept} kept by this process{reach}"


def decision_table(record: ServedDecision) -> Table:
    """A table of the fields that apply to a decision."""
    table = Table("field", "value", title=f"{record.kind.value}, {record.age_s:.1f} s ago")
    for name in ServedDecision.__struct_fields__:
        value = getattr(record, name)
        if name in _SHOWN_APART or value in (None, "") or (name in _FROM_ONE and value == 0):
            continue
        table.add_row(name, escape(str(value)))
    for number, candidate in enumerate(record.candidates, start=1):
        table.add_row(f"candidate {number}", escape(_describe(candidate)))
    return table


def _describe(candidate: ServedCandidate) -> str:
    age = "no reading" if candidate.age_ms is None else f"read {candidate.age_ms} ms before"
    figures = [
        candidate.sampler,
        f"occupancy {candidate.occupancy_percent} %",
        f"slowness {candidate.slowness_percent} %",
    ]
    if candidate.expected_percent is not None:
        figures.append(f"expected time {candidate.expected_percent} %")
    figures.append(age + (" by another node" if candidate.shared else ""))
    return ", ".join(figures)
