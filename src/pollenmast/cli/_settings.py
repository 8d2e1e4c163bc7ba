"""`pollenmast settings`: checks a settings file."""

import os

import attrs
import typer

from pollenmast.cli import _adapted
from pollenmast.cli._exits import ExitCode
from pollenmast.cli._output import complain, json_text, say, table
from pollenmast.settings import Settings, load

app = typer.Typer(
    help="Checks settings files.", no_args_is_help=True, rich_markup_mode=None
)


@app.command(
    "check", epilog="Example: pollenmast settings check /run/pollenmast/vm.ini"
)
def check(
    file: str = typer.Argument(..., help="The settings file."),
    as_json: bool = typer.Option(False, "--json", help="Answer in JSON."),
    adapter: str = _adapted.ADAPTER,
) -> None:
    """Checks a settings file and shows every value in force.

    Each fault is one line that names file, section, key, what was found and
    what is allowed. Keys are never shown.
    """
    if adapter:
        found = _adapted.find(adapter)
        _adapted.check_file(
            file,
            lambda data: found.settings(data.decode("utf-8", "replace")),
            as_json,
        )
    checked = load(file, os.environ)
    faults = checked.err() or ()
    if as_json:
        shown = {
            "faults": [attrs.asdict(fault) for fault in faults],
            "settings": _values(checked.ok()) if checked.is_ok() else None,
        }
        say(json_text(shown))
    elif checked.is_ok():
        say(_table(checked.unwrap()))
    for fault in () if as_json else faults:
        complain(str(fault))
    raise typer.Exit(ExitCode.REFUSED if faults else ExitCode.OK)


def _values(settings: Settings) -> dict[str, dict[str, object]]:
    """Returns the values by section, without the secret keys."""
    values = attrs.asdict(settings)
    fleet = settings.fleet
    values["fleet"]["key"] = "given"
    values["fleet"]["previous_key"] = "given" if fleet.previous_key else None
    values["fleet"]["seeds"] = [f"{host}:{port}" for host, port in fleet.seeds]
    return values


def _table(settings: Settings) -> str:
    rows = [
        (section, key, _cell(value))
        for section, values in _values(settings).items()
        for key, value in values.items()
    ]
    return table(("SECTION", "KEY", "VALUE"), rows)


def _cell(value: object) -> str:
    if isinstance(value, list):
        return ", ".join(value) or "none"
    return "none" if value is None else str(value)
