"""`pollenmast events`: the catalogue of numbered log events."""

import attrs
import typer

from pollenmast.cli._output import json_text, say, table
from pollenmast.events import CATALOGUE


def events(
    as_json: bool = typer.Option(False, "--json", help="Answer in JSON."),
) -> None:
    """Lists every event that the programs log."""
    if as_json:
        say(json_text([attrs.asdict(event) for event in CATALOGUE]))
        return
    rows = [
        (event.number, event.name, event.meaning, event.action)
        for event in CATALOGUE
    ]
    say(table(("NUMBER", "NAME", "MEANING", "WHAT TO DO"), rows))
