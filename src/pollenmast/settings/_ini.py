"""Reads INI text with configparser, gathering every fault of form."""

import configparser

import attrs

MOST_BYTES = 65_536
"""Bytes of a settings file; a full one has under two kilobytes."""

_MOST_REPAIRS = 50
"""Faults of form that are listed; each costs one more reading."""

_NOWHERE = "\0"
"""Section name that no file holds; stands for what was already reported."""


@attrs.frozen
class FormFault:
    """A line that is no INI.

    Attributes:
        section: The section, where it is known.
        key: The key, where it is known.
        found: What is wrong, with its line number.
        allowed: What may stand there.
    """

    section: str
    key: str
    found: str
    allowed: str


@attrs.frozen
class Ini:
    """The sections of a file, and what was wrong with its form."""

    sections: dict[str, dict[str, str]]
    faults: tuple[FormFault, ...]


def read(text: str) -> Ini:
    """Reads the text.

    configparser raises at the first fault of form. To report all of them in
    one go, the faulty line is taken out and the rest is read again.
    """
    lines = text.splitlines()
    faults: list[FormFault] = []
    for _ in range(_MOST_REPAIRS):
        parser = _parser()
        try:
            parser.read_string("\n".join(lines))
        except configparser.Error as error:
            _repair(error, lines, faults)
            continue
        sections = {
            name: dict(parser.items(name, raw=True))
            for name in parser.sections()
            if not name.startswith(_NOWHERE)
        }
        return Ini(sections, tuple(faults))
    return Ini({}, tuple(faults))


def _parser() -> configparser.RawConfigParser:
    parser = configparser.RawConfigParser(
        delimiters=("=",),
        comment_prefixes=("#", ";"),
        empty_lines_in_values=False,
        default_section=_NOWHERE,
    )
    parser.optionxform = str
    return parser


def _repair(
    error: configparser.Error, lines: list[str], faults: list[FormFault]
) -> None:
    if isinstance(error, configparser.DuplicateSectionError):
        faults.append(
            FormFault(
                error.section,
                "",
                f"the section again in line {error.lineno}",
                "each section once",
            )
        )
        lines[error.lineno - 1] = f"[{_NOWHERE}{error.lineno}]"
    elif isinstance(error, configparser.DuplicateOptionError):
        faults.append(
            FormFault(
                error.section,
                error.option,
                f"the key again in line {error.lineno}",
                "each key once",
            )
        )
        lines[error.lineno - 1] = ""
    elif isinstance(error, configparser.MissingSectionHeaderError):
        faults.append(
            FormFault("", "", f"line {error.lineno} in no section", "[SECTION]")
        )
        lines[error.lineno - 1] = ""
    elif isinstance(error, configparser.ParsingError):
        for number, _ in error.errors:
            faults.append(
                FormFault("", "", f"no INI in line {number}", "KEY = VALUE")
            )
            lines[number - 1] = ""
    else:
        raise AssertionError(f"unknown fault of form: {error!r}")
