"""Validation faults of a rejected settings file."""

import attrs


@attrs.frozen
class SettingsFault:
    """One reason why a settings file is rejected.

    Attributes:
        file: Path of the settings file.
        section: The section; empty if the fault concerns the whole file.
        key: The key; empty if the fault concerns the whole section.
        found: Description of the invalid value; never contains key material.
        allowed: Description of the values that are allowed.
    """

    file: str
    section: str
    key: str
    found: str
    allowed: str

    def __str__(self) -> str:
        where = f" [{self.section}]" if self.section else ""
        if self.key:
            where += f" {self.key}"
        return (
            f"{self.file}:{where} found {self.found}, allowed: {self.allowed}"
        )
