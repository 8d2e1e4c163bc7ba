"""Generates docs/SETTINGS.md from the catalogue of settings keys."""

from docs_tool._markdown import HEAD, code, table
from pollenmast.entry import ADMISSION_VARIABLE, ALL, COMPONENTS, EXIT_SETTINGS
from pollenmast.settings import KEY_FILE_VARIABLE, SETTING_KEYS, SettingKey

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


_PLATFORM = """\
## The program of the platform

`python -m pollenmast.platform` has a settings file in the platform's own
format, lines `a.b=value`, named by the environment variable
`POLLENMAST_CONFIG`. Other fields are ignored. `pollenmast settings check FILE
--adapter platform` shows what follows from a file, in the names of the first
column; an operator's configuration is checked by `pollenmast manifest check
FILE --adapter platform`.

"""

_ADMISSION = f"""
The environment variable `{ADMISSION_VARIABLE}` disables components of admission
control (OPERATIONS.md, "When there is too little room"): names separated by
commas, blanks around them are ignored; empty or missing disables none. An
unknown name is refused like any invalid setting: exit code {EXIT_SETTINGS}, and
the message names the value and the allowed ones. The variable is read at the
start only; `settings check` shows what it disables in its own environment.

"""

_COMPONENTS = {
    "credits": "Limits by credits: all flows are placed as without admission"
    " control, and nothing is held or refused for lack of capacity.",
    "guests": "Overflow to other zones.",
    "hold": "Holding flows: what finds no credit is refused at once.",
    "repeats": "The limit and the later turn of retries.",
    "full": "Telling a full endpoint from one that is down.",
    "all": "All of these.",
}

_FIELDS = (
    ("vm", "the VM's name, in its log lines", "nodeId"),
    ("zone", "its availability zone: endpoints there come first", "zone"),
    (
        "packets",
        "where clients' packets arrive, UDP",
        "listenAddrs.datagramAddr",
    ),
    ("ready", "where readiness is asked for", "listenAddrs.ready"),
    ("control", "where other VMs ask, or none", "listenAddrs.control"),
    ("metrics", "port 9464 of the same address", "listenAddrs.ready"),
    (
        "gossip",
        "where other VMs' reports arrive, UDP: the first of the ports",
        "internalPorts",
    ),
    ("directory", "the store", "platform.address"),
    ("seeds", "control addresses of some VMs", "seedNodes"),
    (
        "apply_s",
        "seconds within which a change must be in force: the lesser bound",
        "bounds.configApplyMs, bounds.drainMs",
    ),
    (
        "grace_s",
        "seconds from the signal to stop until the process is killed",
        "bounds.graceS",
    ),
    (
        "admission",
        "components of admission control that are disabled, see below",
        ADMISSION_VARIABLE,
    ),
)


def page() -> str:
    """Returns the text of the page."""
    text = HEAD + _INTRODUCTION
    for section in dict.fromkeys(key.section for key in SETTING_KEYS):
        rows = [_row(key) for key in SETTING_KEYS if key.section == section]
        heads = ("Key", "Meaning", "Allowed", "Default")
        text += f"## [{section}]\n\n{table(heads, rows)}\n"
    fields = [(code(name), words, code(key)) for name, words, key in _FIELDS]
    text += _PLATFORM + table(("Setting", "Meaning", "From"), fields)
    names = (*COMPONENTS, ALL)
    components = [(code(name), _COMPONENTS[name]) for name in names]
    return text + _ADMISSION + table(("Name", "Disables"), components)


def _row(key: SettingKey) -> tuple[object, ...]:
    default = code(key.default or None) or "none"
    if key.required:
        default = "must be given"
    return code(key.name), key.meaning, key.kind.allowed, default
