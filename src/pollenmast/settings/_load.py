"""Loads and validates a settings file."""

import pathlib
from collections.abc import Mapping

import attrs
from result import Err, Ok, Result

from pollenmast.settings import _ini, _key_files
from pollenmast.settings._faults import SettingsFault
from pollenmast.settings._keys import (
    KEY_FILE_VARIABLE,
    SETTING_KEYS,
    SettingKey,
)
from pollenmast.settings._model import (
    AgentSettings,
    FleetSettings,
    PlatformSettings,
    RelaySettings,
    Settings,
    VmSettings,
)

_VM_PORTS = (
    ("relay", "peer_port"),
    ("relay", "link_port"),
    ("agent", "gossip_port"),
    ("agent", "fetch_port"),
    ("agent", "operators_port"),
)
"""Keys of a VM's ports.

Their values must differ, even between UDP and TCP.
"""

_MAX_VALUE_CHARS = 120
"""Characters after which a reported value is cut."""


def load(
    path: str | pathlib.Path, environ: Mapping[str, str]
) -> Result[Settings, tuple[SettingsFault, ...]]:
    """Loads a settings file and the key files that it refers to.

    Args:
        path: Path of the settings file.
        environ: The environment; `KEY_FILE_VARIABLE` overrides `key_file`.

    Returns:
        The settings, or all faults found.
    """
    return _Loader(str(path), environ).load()


class _Loader:
    """Collects the values and the faults of one settings file."""

    def __init__(self, file: str, environ: Mapping[str, str]):
        self._file = file
        self._environ = environ
        self._values: dict[tuple[str, str], object] = {}
        self._faults: list[SettingsFault] = []

    def load(self) -> Result[Settings, tuple[SettingsFault, ...]]:
        text = self._read_text()
        if text is None:
            return Err(tuple(self._faults))
        ini = _ini.parse(text)
        for fault in ini.faults:
            self._faults.append(
                SettingsFault(self._file, **attrs.asdict(fault))
            )
        self._reject_unknown_keys(ini.sections)
        for key in SETTING_KEYS:
            self._read_key(key, ini.sections)
        self._reject_duplicate_ports()
        key = self._read_fleet_key()
        previous_key = self._read_previous_key()
        if self._faults:
            return Err(tuple(self._faults))
        return Ok(self._build_settings(key, previous_key))

    def _add_fault(
        self, section: str, key: str, found: str, allowed: str
    ) -> None:
        self._faults.append(
            SettingsFault(self._file, section, key, _printable(found), allowed)
        )

    def _read_text(self) -> str | None:
        try:
            with open(self._file, "rb") as file:
                data = file.read(_ini.MAX_BYTES + 1)
        except (OSError, ValueError) as error:
            reason = getattr(error, "strerror", None) or "no such path"
            self._add_fault("", "", reason, "a settings file")
            return None
        if len(data) > _ini.MAX_BYTES:
            self._add_fault("", "", "a longer file", f"{_ini.MAX_BYTES} bytes")
            return None
        try:
            text = data.decode("utf-8")
        except UnicodeDecodeError:
            text = "\0"
        if "\0" in text:
            self._add_fault("", "", "no text", "INI in UTF-8")
            return None
        return text

    def _reject_unknown_keys(self, sections: dict[str, dict[str, str]]) -> None:
        known = {}
        for key in SETTING_KEYS:
            known.setdefault(key.section, []).append(key.name)
        for section, values in sections.items():
            if section not in known:
                names = ", ".join(f"[{name}]" for name in known)
                self._add_fault(
                    _printable(section), "", "an unknown section", names
                )
                continue
            for name in values:
                if name not in known[section]:
                    self._add_fault(
                        section,
                        _printable(name),
                        "an unknown key",
                        ", ".join(known[section]),
                    )

    def _read_key(
        self, key: SettingKey, sections: dict[str, dict[str, str]]
    ) -> None:
        text = sections.get(key.section, {}).get(key.name)
        if text is None:
            self._values[key.section, key.name] = key.default
            if key.required:
                self._add_fault(
                    key.section, key.name, "nothing", key.kind.allowed
                )
            return
        value = key.kind.read(text)
        if value.is_err():
            self._add_fault(
                key.section, key.name, f"'{text}'", key.kind.allowed
            )
            return
        self._values[key.section, key.name] = value.unwrap()

    def _reject_duplicate_ports(self) -> None:
        seen: dict[object, str] = {}
        for section, name in _VM_PORTS:
            port = self._values.get((section, name))
            if port is None:
                continue
            first = seen.setdefault(port, f"[{section}] {name}")
            if first != f"[{section}] {name}":
                self._add_fault(
                    section, name, f"'{port}', as {first}", "a port of its own"
                )

    def _read_fleet_key(self) -> bytes:
        path = self._environ.get(KEY_FILE_VARIABLE)
        path = path or self._values.get(("fleet", "key_file"))
        if path is None and ("fleet", "key_file") in self._values:
            self._add_fault(
                "fleet",
                "key_file",
                f"nothing, and no {KEY_FILE_VARIABLE} in the environment",
                _key_files.ALLOWED,
            )
        return self._read_key_file("key_file", path) or b""

    def _read_previous_key(self) -> bytes | None:
        path = self._values.get(("fleet", "previous_key_file"))
        return self._read_key_file("previous_key_file", path)

    def _read_key_file(self, name: str, path: object) -> bytes | None:
        if path is None:
            return None
        key = _key_files.read(str(path))
        if key.is_err():
            self._add_fault("fleet", name, key.unwrap_err(), _key_files.ALLOWED)
            return None
        return key.unwrap()

    def _build_settings(
        self, key: bytes, previous_key: bytes | None
    ) -> Settings:
        values = self._values
        return Settings(
            vm=VmSettings(
                name=values["vm", "name"],
                zone=values["vm", "availability_zone"],
                address=values["vm", "address"],
            ),
            fleet=FleetSettings(key, previous_key, values["fleet", "seeds"]),
            platform=PlatformSettings(
                values["platform", "address"], values["platform", "port"]
            ),
            relay=RelaySettings(**self._section_values("relay")),
            agent=AgentSettings(**self._section_values("agent")),
        )

    def _section_values(self, section: str) -> dict[str, object]:
        return {
            name: value
            for (key_section, name), value in self._values.items()
            if key_section == section
        }


def _printable(text: str) -> str:
    """Escapes the text to one line of printable ASCII and shortens it."""
    line = text.encode("unicode_escape").decode("ascii")
    return (
        line
        if len(line) <= _MAX_VALUE_CHARS
        else line[:_MAX_VALUE_CHARS] + "..."
    )
