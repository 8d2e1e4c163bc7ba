"""`pollenmast settings`: checks a settings file."""

import os

import attrs
import typer

from pollenmast.cli import _adapters
from pollenmast.cli._exits import ExitCode
from pollenmast.cli._output import json_text, print_error, print_output, table
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
    adapter: str = _adapters.ADAPTER_OPTION,
) -> None:
    """Checks a settings file and shows every value in force.

    Each fault is one line that names file, section, key, what was found and
    what is allowed. Keys are never shown.
    """
    if adapter:
        file_adapter = _adapters.find_or_exit(adapter)
        _adapters.check_file(
            file,
            lambda data: file_adapter.settings(data.decode("utf-8", "replace")),
            as_json,
        )
    checked = load(file, os.environ)
    faults = checked.err() or ()
    if as_json:
        shown = {
            "faults": [attrs.asdict(fault) for fault in faults],
            "settings": _values(checked.ok()) if checked.is_ok() else None,
        }
        print_output(json_text(shown))
    elif checked.is_ok():
        print_output(_table(checked.unwrap()))
    for fault in () if as_json else faults:
        print_error(str(fault))
    raise typer.Exit(ExitCode.INVALID_INPUT if faults else ExitCode.OK)


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
        (section, key, _format_cell(value))
        for section, values in _values(settings).items()
        for key, value in values.items()
    ]
    return table(("SECTION", "KEY", "VALUE"), rows)


def _format_cell(value: object) -> str:
    if isinstance(value, list):
        return ", ".join(value) or "none"
    return "none" if value is None else str(value)
