"""Parses INI text with configparser and collects all syntax faults."""

import configparser

import attrs

MAX_BYTES = 65_536
"""Maximum size of a settings file; one with every key is under 2 kB."""

_MAX_PARSE_ATTEMPTS = 50
"""Maximum number of parse attempts; each syntax fault costs one more."""

_PLACEHOLDER_SECTION = "\0"
"""Prefix of the section names that replace duplicate section headers.

No settings file can contain it, as files with NUL are rejected earlier. It is
also configparser's default section, so that `[DEFAULT]` has no special meaning.
"""


@attrs.frozen
class SyntaxFault:
    """A line that is not valid INI.

    Attributes:
        section: The section, or empty if unknown.
        key: The key, or empty if unknown.
        found: Description of the fault, with its line number.
        allowed: Description of what is allowed instead.
    """

    section: str
    key: str
    found: str
    allowed: str


@attrs.frozen
class ParsedIni:
    """Result of parsing INI text.

    Attributes:
        sections: The values by section and key.
        faults: The syntax faults.
    """

    sections: dict[str, dict[str, str]]
    faults: tuple[SyntaxFault, ...]


def parse(text: str) -> ParsedIni:
    """Parses the text.

    configparser raises an exception at the first fault of most kinds. To
    report all faults at once, the faulty lines are removed and the rest is
    parsed again.
    """
    lines = text.splitlines()
    faults: list[SyntaxFault] = []
    for _ in range(_MAX_PARSE_ATTEMPTS):
        parser = _new_parser()
        try:
            parser.read_string("\n".join(lines))
        except configparser.Error as error:
            _remove_faulty_lines(error, lines, faults)
            continue
        sections = {
            name: dict(parser.items(name, raw=True))
            for name in parser.sections()
            if not name.startswith(_PLACEHOLDER_SECTION)
        }
        return ParsedIni(sections, tuple(faults))
    return ParsedIni({}, tuple(faults))


def _new_parser() -> configparser.RawConfigParser:
    parser = configparser.RawConfigParser(
        delimiters=("=",),
        comment_prefixes=("#", ";"),
        empty_lines_in_values=False,
        default_section=_PLACEHOLDER_SECTION,
    )
    parser.optionxform = str
    return parser


def _remove_faulty_lines(
    error: configparser.Error, lines: list[str], faults: list[SyntaxFault]
) -> None:
    if isinstance(error, configparser.DuplicateSectionError):
        faults.append(
            SyntaxFault(
                error.section,
                "",
                f"the section again in line {error.lineno}",
                "each section once",
            )
        )
        lines[error.lineno - 1] = f"[{_PLACEHOLDER_SECTION}{error.lineno}]"
    elif isinstance(error, configparser.DuplicateOptionError):
        faults.append(
            SyntaxFault(
                error.section,
                error.option,
                f"the key again in line {error.lineno}",
                "each key once",
            )
        )
        lines[error.lineno - 1] = ""
    elif isinstance(error, configparser.MissingSectionHeaderError):
        faults.append(
            SyntaxFault(
                "", "", f"line {error.lineno} in no section", "[SECTION]"
            )
        )
        lines[error.lineno - 1] = ""
    elif isinstance(error, configparser.ParsingError):
        for number, _ in error.errors:
            faults.append(
                SyntaxFault("", "", f"no INI in line {number}", "KEY = VALUE")
            )
            lines[number - 1] = ""
    else:
        raise AssertionError(f"unknown kind of fault in INI syntax: {error!r}")
