"""What is wrong with a settings file, and where."""

import attrs


@attrs.frozen
class SettingsFault:
    """One reason why a settings file is refused.

    Attributes:
        file: The settings file.
        section: The section; empty for the whole file.
        key: The key; empty for the whole section.
        found: What stands there; never a key's content.
        allowed: What may stand there.
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
