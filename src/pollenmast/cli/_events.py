"""`pollenmast events`: the catalogue of numbered log events."""

import attrs
import typer

from pollenmast.cli._output import json_text, print_output, table
from pollenmast.events import CATALOGUE


def events(
    as_json: bool = typer.Option(False, "--json", help="Answer in JSON."),
) -> None:
    """Lists every event that the programs log."""
    if as_json:
        print_output(json_text([attrs.asdict(event) for event in CATALOGUE]))
        return
    rows = [
        (event.number, event.name, event.meaning, event.action)
        for event in CATALOGUE
    ]
    print_output(table(("NUMBER", "NAME", "MEANING", "WHAT TO DO"), rows))
