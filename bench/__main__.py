"""Command line: `python -m bench list`, `python -m bench run NAME`.

Every public module of this package that defines NAME, DESCRIPTION and run()
is a measurement.
"""

import importlib
import json
import pathlib
import pkgutil
import types

import typer

import bench
from bench import _capacity_page, _run_note

app = typer.Typer(add_completion=False, no_args_is_help=True)
_ALL = "all"
_MEASUREMENTS_PAGE = pathlib.Path("docs/MEASUREMENTS.md")
_CAPACITY_PAGE = pathlib.Path("docs/CAPACITY-QUIC.md")


def measurements() -> dict[str, types.ModuleType]:
    """Returns the measurement modules, sorted by name."""
    found = {}
    for info in pkgutil.iter_modules(bench.__path__):
        if info.name.startswith("_"):
            continue
        module = importlib.import_module(f"bench.{info.name}")
        if hasattr(module, "NAME"):
            found[module.NAME] = module
    return dict(sorted(found.items()))


def print_table(result: dict) -> None:
    """Prints lists of rows as tables and other values one per line."""
    for key, value in result.items():
        if isinstance(value, list) and value and isinstance(value[0], dict):
            print(f"{key}:")
            _print_rows(value)
        elif isinstance(value, dict):
            print(f"{key}:")
            print_table(value)
        else:
            print(f"  {key}: {_cell(value)}")


def _print_rows(rows: list[dict]) -> None:
    columns = list(dict.fromkeys(key for row in rows for key in row))
    cells = [[_cell(row.get(column, "")) for column in columns] for row in rows]
    widths = [
        max(len(text) for text in column)
        for column in zip(columns, *cells, strict=True)
    ]
    for line in (columns, *cells):
        padded = [
            text.rjust(width) for text, width in zip(line, widths, strict=True)
        ]
        print("  " + "  ".join(padded))


def _cell(value: object) -> str:
    return f"{value:.4g}" if isinstance(value, float) else str(value)


@app.command("list")
def list_measurements() -> None:
    """Lists the measurements."""
    for name, module in measurements().items():
        print(f"{name:18}{module.DESCRIPTION}")


@app.command()
def run(
    name: str,
    json_file: pathlib.Path = typer.Option(None, "--json"),  # noqa: B008
) -> None:
    """Runs one measurement, or `all`, and prints its table."""
    found = measurements()
    chosen = found if name == _ALL else {name: found[name]}
    results = {}
    for each, module in chosen.items():
        print(f"== {each}: {module.DESCRIPTION}")
        note = _run_note.RunNote()
        results[each] = module.run()
        results[each][_run_note.NOTE] = note.end()
        print_table(results[each])
    if json_file is not None:
        json_file.parent.mkdir(parents=True, exist_ok=True)
        json_file.write_text(json.dumps(results, indent=1) + "\n")


@app.command()
def page(results: pathlib.Path) -> None:
    """Writes docs/CAPACITY-QUIC.md from the JSON of a run of `capacity`."""
    result = json.loads(results.read_text())["capacity"]
    _CAPACITY_PAGE.write_text(_capacity_page.page(result))
    print(_CAPACITY_PAGE)


@app.command("measurements")
def write_measurements(results: list[pathlib.Path]) -> None:
    """Writes docs/MEASUREMENTS.md and its plots from the JSON of runs."""
    # Imported here because Matplotlib takes a second to import and reads fonts
    # from disk, which running a measurement does not need.
    from bench import _measurements_page

    folder = _MEASUREMENTS_PAGE.parent / "plots"
    merged = _measurements_page.merge(results)
    _MEASUREMENTS_PAGE.write_text(_measurements_page.page(merged, folder))
    print(_MEASUREMENTS_PAGE)


if __name__ == "__main__":
    app()
