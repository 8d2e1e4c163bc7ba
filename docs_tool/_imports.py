"""Generates docs/IMPORTS.md: imports between packages, lowest level first."""

import ast
import graphlib
import pathlib

from docs_tool._markdown import HEAD, code, table

_ROOT = pathlib.Path(__file__).parent.parent / "src" / "pollenmast"
_TOP = "pollenmast"

_INTRODUCTION = """\
# Imports

Each package of `src/pollenmast` and what it imports of the others, the lowest
first: nothing is imported from further down, so there is no circle.

"""


def imports() -> dict[str, set[str]]:
    """Returns the imported packages of each package."""
    found: dict[str, set[str]] = {}
    for path in sorted(_ROOT.rglob("*.py")):
        package = _package(path.relative_to(_ROOT).parts)
        targets = found.setdefault(package, set())
        targets |= _imported_packages(path) - {package}
    return found


def levels(graph: dict[str, set[str]]) -> list[list[str]]:
    """Sorts packages into levels, each above everything it imports.

    Raises:
        graphlib.CycleError: The imports form a cycle.
    """
    sorter = graphlib.TopologicalSorter(graph)
    sorter.prepare()
    found = []
    while sorter.is_active():
        ready = sorted(sorter.get_ready())
        found.append(ready)
        sorter.done(*ready)
    return found


def page() -> str:
    """Returns the text of the page."""
    graph = imports()
    rows = [
        (number, code(package), _format_packages(graph.get(package, set())))
        for number, level in enumerate(levels(graph), 1)
        for package in level
    ]
    heads = ("Level", "Package", "Imports")
    return HEAD + _INTRODUCTION + table(heads, rows)


def _format_packages(packages: set[str]) -> str:
    return ", ".join(code(each) for each in sorted(packages)) or "nothing"


def _package(parts: tuple[str, ...]) -> str:
    if parts == ("__main__.py",):
        return "__main__"
    return parts[0] if len(parts) > 1 else _TOP


def _imported_packages(path: pathlib.Path) -> set[str]:
    found = set()
    for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
        if isinstance(node, ast.Import):
            for alias in node.names:
                found |= _resolve_packages(alias.name, [])
        elif isinstance(node, ast.ImportFrom) and node.module:
            found |= _resolve_packages(
                node.module, [alias.name for alias in node.names]
            )
    return found


def _resolve_packages(module: str, names: list[str]) -> set[str]:
    top, *rest = module.split(".")
    if top != _TOP:
        return set()
    if rest:
        return {rest[0] if (_ROOT / rest[0]).is_dir() else _TOP}
    inner = {name for name in names if (_ROOT / name).is_dir()}
    return inner or {_TOP}
