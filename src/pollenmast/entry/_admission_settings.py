"""Parses which components of admission control are disabled."""

import attrs
from result import Err, Ok, Result

from pollenmast.admission import AdmissionSettings

ADMISSION_VARIABLE = "POLLENMAST_ADMISSION"
"""Name of the environment variable that lists the disabled components."""

ALL = "all"
"""The value that disables every component."""

COMPONENTS = tuple(field.name for field in attrs.fields(AdmissionSettings))
"""The names of the components."""


def parse_admission(text: str) -> Result[AdmissionSettings, str]:
    """Returns the settings without the listed components, or an error message.

    Args:
        text: Names separated by commas, in any order. Blanks around a name,
            empty items and repeated names are ignored.
    """
    names = [name.strip() for name in text.split(",")]
    disabled = set(filter(None, names))
    for name in names:
        if name and name not in (*COMPONENTS, ALL):
            return Err(
                f"{ADMISSION_VARIABLE}: {name!r} is unknown; allowed are"
                f" {', '.join((*COMPONENTS, ALL))}"
            )
    if ALL in disabled:
        disabled.update(COMPONENTS)
    return Ok(
        AdmissionSettings(**{name: name not in disabled for name in COMPONENTS})
    )


def disabled_components(settings: AdmissionSettings) -> str:
    """Returns the disabled components as the variable lists them."""
    disabled = [name for name in COMPONENTS if not getattr(settings, name)]
    return ",".join(disabled)
