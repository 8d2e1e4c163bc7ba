"""Makes docs/SETTINGS.md from the catalogue of keys."""

from docs_tool._markdown import HEAD, code, table
from pollenmast.settings import KEY_FILE_VARIABLE, KEYS, Key

_INTRODUCTION = f"""\
# Settings

One INI file for both programs of a VM: `pollenmast relay --settings FILE` and
`pollenmast agent --settings FILE`. `pollenmast settings check FILE` checks it
and shows every value in force.

- Lines are `key = value`; comments start with `#` or `;`. Nothing is
  interpolated. Keys and sections are told apart by case.
- An unknown section or key, a key that stands twice, a wrong type, range or
  address is one line each: file, section, key, what was found, what is
  allowed. All are told in one go; the exit code is 2 and nothing starts.
- Addresses are IPv4 numbers; names are not looked up. The five ports of a VM
  differ from each other, and from the services' ports in the manifest.
- The fleet's key is read from a file, named by `key_file` or by the
  environment variable `{KEY_FILE_VARIABLE}`, which goes first. A key never
  stands in the settings or on the command line, and is never printed. Make
  one with `openssl rand -hex 32`.
- Change of key, in three rolling restarts of the fleet: (1) the new key as
  `previous_key_file`, so that every VM accepts it; (2) the new key as
  `key_file` and the old one as `previous_key_file`; (3) the old one dropped.

## Example

```ini
[vm]
name = relay-1
availability_zone = pos-frederick
address = 127.0.1.1

[fleet]
key_file = /run/pollenmast/fleet.key
seeds = 127.0.1.2:7003, 127.0.1.3:7003

[platform]
address = 127.0.3.1
port = 8000
```

"""


def page() -> str:
    """Returns the page."""
    text = HEAD + _INTRODUCTION
    for section in dict.fromkeys(key.section for key in KEYS):
        rows = [_row(key) for key in KEYS if key.section == section]
        heads = ("Key", "Meaning", "Allowed", "Default")
        text += f"## [{section}]\n\n{table(heads, rows)}\n"
    return text.rstrip("\n") + "\n"


def _row(key: Key) -> tuple[object, ...]:
    default = code(key.default or None) or "none"
    if key.required:
        default = "must be given"
    return code(key.name), key.meaning, key.kind.allowed, default
