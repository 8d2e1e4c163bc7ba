"""Generates docs/MANIFEST.md from the validation rules of the manifest."""

from docs_tool._markdown import HEAD, code, table
from pollenmast.manifest import (
    MANIFEST,
    MAX_BYTES,
    Array,
    Field,
    Object,
)

_INTRODUCTION = f"""\
# The manifest

What an operator's pipeline publishes: every service, its endpoints, and what
is intended for them. JSON in UTF-8, {MAX_BYTES:,} bytes at the most.
`pollenmast manifest schema` prints the JSON schema, `pollenmast manifest
check FILE` checks a manifest as the fleet does, and `pollenmast manifest diff
OLD NEW` tells what a release will move, drain, bring and take away.

- The version only grows. An older one is never taken. Of two contents under
  one version the greater digest wins everywhere, whichever came first; this
  is reported (event 403), since two pipelines must have published.
- A manifest is taken whole or refused whole, with path and reason of each
  fault (the first 100). The one in force stays. Unknown keys are refused, as
  is a key that stands twice.
- No two endpoints of the whole manifest share an address and port.
- Beyond what the JSON schema can say, the checks ask for unique names,
  numbers and ports, and for addresses of single machines.
- The digest is BLAKE2b with 16 bytes over the canonical form: every default
  left out, keys sorted, no spaces.
- How much fits (trial, names of some 10 letters, defaults left out): 7,500
  endpoints of 2,500 services took 912,009 bytes, 10,000 took 1,133,409, which
  is refused. So about 8,000 endpoints fit; 11,000 need a shorter form.

## Planned changes

- An endpoint comes: add it. It gets flows once it answers probes, few at
  first.
- An endpoint drains: set its `state` to `draining`. It gets no new flows
  within seconds; open ones go on.
- An endpoint leaves: drain it, wait until `pollenmast status` shows no flows
  to it on any VM, then remove it.
- An endpoint moves: add the new one under another name, drain the old one,
  remove it.
- A service comes: add it, with a number never used before.
- A service leaves: drain its endpoints, wait, then remove it.

## Example

```json
{{
  "version": 3,
  "services": [
    {{
      "name": "registry",
      "number": 1,
      "port": 4001,
      "kind": "session",
      "idempotent": false,
      "endpoints": [
        {{
          "name": "registry-1",
          "address": "127.0.2.1",
          "port": 5001,
          "load_port": 6001,
          "zone": "pos-frederick"
        }}
      ]
    }}
  ]
}}
```

"""


def page() -> str:
    """Returns the text of the page."""
    text = HEAD + _INTRODUCTION + "\n".join(_objects(MANIFEST))
    return text.rstrip("\n") + "\n"


def _objects(item: Object) -> list[str]:
    """Returns tables for an object and all objects nested in it."""
    heads = ("Key", "Meaning", "Allowed", "Default")
    rows = [_row(field) for field in item.fields]
    parts = [f"## {item.title.capitalize()}\n\n{table(heads, rows)}"]
    for field in item.fields:
        rule = field.rule
        if isinstance(rule, Array):
            parts.extend(_objects(rule.item))
        elif isinstance(rule, Object):
            parts.extend(_objects(rule))
    return parts


def _row(field: Field) -> tuple[object, ...]:
    allowed = field.rule.allowed
    if isinstance(field.rule, Array):
        allowed += "; unique: " + ", ".join(field.rule.unique)
    if field.required:
        default = "must be given"
    else:
        default = code(field.default) or "its keys' defaults"
    return code(field.name), field.meaning, allowed, default
