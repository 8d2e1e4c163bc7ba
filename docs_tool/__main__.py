"""`python -m docs_tool`: writes the pages that are generated from code."""

import pathlib

from docs_tool import PAGES

_DOCS = pathlib.Path(__file__).parent.parent / "docs"


def main() -> None:
    """Writes all generated pages."""
    for name, page in PAGES.items():
        (_DOCS / name).write_text(page())
        print(f"docs/{name}")


if __name__ == "__main__":
    main()
