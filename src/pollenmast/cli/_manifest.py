"""`pollenmast manifest`: checks, describes and compares manifests."""

import attrs
import typer

from pollenmast.cli import _adapters
from pollenmast.cli._exits import ExitCode
from pollenmast.cli._output import json_text, print_error, print_output, table
from pollenmast.manifest import (
    MAX_BYTES,
    Difference,
    Effect,
    Manifest,
    ManifestFault,
    differences,
    parse,
    schema,
)

app = typer.Typer(
    help="Checks, describes and compares manifests.",
    no_args_is_help=True,
    rich_markup_mode=None,
)

_JSON = typer.Option(False, "--json", help="Answer in JSON.")


@app.command("check", epilog="Example: pollenmast manifest check manifest.json")
def check(
    file: str = typer.Argument(..., help="The manifest."),
    as_json: bool = _JSON,
    adapter: str = _adapters.ADAPTER_OPTION,
) -> None:
    """Checks a manifest as the fleet will, and sums it up.

    A wrong manifest is refused whole, with the path and the reason of every
    fault. With --adapter it is the configuration of another place.
    """
    if adapter:
        file_adapter = _adapters.find_or_exit(adapter)
        _adapters.check_file(file, file_adapter.configuration, as_json)
    checked = parse(_read_or_exit(file))
    faults = checked.err() or ()
    if as_json:
        print_output(json_text(_summary(checked.ok(), faults)))
    elif checked.is_ok():
        print_output(_table(checked.unwrap()))
    for fault in () if as_json else faults:
        print_error(f"{file}: {fault}")
    raise typer.Exit(ExitCode.INVALID_INPUT if faults else ExitCode.OK)


@app.command(
    "schema",
    epilog="Example: pollenmast manifest schema > manifest.schema.json",
)
def print_schema() -> None:
    """Prints the JSON schema of a manifest, for editors and pipelines."""
    print_output(json_text(schema()))


@app.command(
    "diff",
    epilog="Example: pollenmast manifest diff in-force.json release.json",
)
def diff(
    old: str = typer.Argument(..., help="The manifest in force."),
    new: str = typer.Argument(..., help="The manifest to come."),
    as_json: bool = _JSON,
) -> None:
    """Tells what the fleet does when NEW follows OLD.

    It ends with exit code 2 where the version of NEW is not greater.
    """
    changes = differences(_parse_or_exit(old), _parse_or_exit(new))
    if as_json:
        print_output(json_text([_difference(item) for item in changes]))
    elif changes:
        rows = [
            (item.effect.value, item.subject, item.words) for item in changes
        ]
        print_output(table(("EFFECT", "SUBJECT", "WHAT IT MEANS"), rows))
    else:
        print_output("no difference but the version, if that")
    refused_effects = {Effect.IGNORED, Effect.CONFLICT}
    refused = any(item.effect in refused_effects for item in changes)
    raise typer.Exit(ExitCode.INVALID_INPUT if refused else ExitCode.OK)


def _read_or_exit(file: str) -> bytes:
    try:
        with open(file, "rb") as stream:
            return stream.read(MAX_BYTES + 1)
    except (OSError, ValueError) as error:
        reason = getattr(error, "strerror", None) or "no path"
        print_error(f"{file}: {reason}")
        raise typer.Exit(ExitCode.INVALID_INPUT) from error


def _parse_or_exit(file: str) -> Manifest:
    checked = parse(_read_or_exit(file))
    if checked.is_err():
        for fault in checked.unwrap_err():
            print_error(f"{file}: {fault}")
        raise typer.Exit(ExitCode.INVALID_INPUT)
    return checked.unwrap()


def _summary(
    manifest: Manifest | None, faults: tuple[ManifestFault, ...]
) -> dict[str, object]:
    return {
        "faults": [attrs.asdict(fault) for fault in faults],
        "version": manifest.version if manifest else None,
        "digest": manifest.digest if manifest else None,
    }


def _table(manifest: Manifest) -> str:
    rows = [
        (
            service.name,
            service.number,
            service.port,
            service.kind.value,
            "yes" if service.idempotent else "no",
            len(service.endpoints),
        )
        for service in manifest.services
    ]
    headers = ("SERVICE", "NUMBER", "PORT", "KIND", "IDEMPOTENT", "ENDPOINTS")
    title = f"version {manifest.version}, digest {manifest.digest}"
    return f"{title}\n{table(headers, rows)}"


def _difference(item: Difference) -> dict[str, str]:
    return {
        "effect": item.effect.value,
        "subject": item.subject,
        "words": item.words,
    }
