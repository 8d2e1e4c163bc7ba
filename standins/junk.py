"""A stand-in for another writer, whose entries in the store are junk."""

import json
import random
from collections.abc import Mapping

Write = tuple[str, object | None]
"""A key and its value; None deletes the key."""

_LONE = "\ud800"
_INVALID = (None, [], {}, True, -1, 1.5, "", _LONE, "x" * 300)
_NAMES = (
    *("", "i-", "i-0", "i-0000000000", "I-a1", "i-g", f"i-{_LONE}"),
    *("i-" + "f" * 17, "x" * 190, "\u00fc-1"),
)
_VALUES = (b"\xff", b"[" * 5000, b"{}", b"null", b"\xef\xbb\xbf{}")
_LENGTHS = (1 << 17, 1 << 20)


class JunkWriter:
    """Writes entries that name no endpoint, or one that nobody may use.

    Attributes:
        valid: Names of the endpoints that it described completely. They are of
            a service that no configuration names, or have the token of a
            living endpoint.
    """

    def __init__(
        self,
        rng: random.Random,
        entry: Mapping[str, object],
        living: Mapping[str, int],
        *,
        overwrites: bool = False,
    ):
        """Creates a writer.

        Args:
            rng: Draws the entries.
            entry: A complete entry of a service in use, at an address where
                nobody listens.
            living: The numbers of living endpoints by name.
            overwrites: Whether it writes entries of living endpoints, too,
                which then have to write their own again.
        """
        self._overwrites = overwrites
        self._rng = rng
        self._entry = dict(entry)
        self._living = living
        self.valid: set[str] = set()

    def draw(self) -> Write:
        """Returns the next write."""
        kinds = (
            self._changed_field,
            self._changed_key,
            self._other_bytes,
            self._long,
            self._deletion,
            self._drained_zone,
            self._same_number,
            self._other_service,
            *((self._overwritten,) if self._overwrites else ()),
        )
        return self._rng.choice(kinds)()

    def _id(self) -> str:
        return f"i-{self._rng.randrange(1 << 32, 1 << 40):010x}"

    def _changed_field(self) -> Write:
        entry = dict(self._entry)
        field = self._rng.choice([*entry, "born"])
        if field != "born" and self._rng.random() < 0.3:
            del entry[field]
        else:
            entry[field] = self._rng.choice(_INVALID)
        return f"servers/{self._id()}", entry

    def _changed_key(self) -> Write:
        return f"servers/{self._rng.choice(_NAMES)}", self._entry

    def _other_bytes(self) -> Write:
        ill_formed = json.dumps({**self._entry, "service": "??"}).encode()
        ill_formed = ill_formed.replace(b"??", b"\xed\xa0\x80")
        value = self._rng.choice((*_VALUES, ill_formed))
        return f"servers/{self._id()}", value

    def _long(self) -> Write:
        field = self._rng.choice(("service", "zone", "version", "other"))
        text = "\U0001f527" + "x" * (self._rng.choice(_LENGTHS) - 1024)
        entry = json.dumps({**self._entry, field: text}, ensure_ascii=False)
        return "servers/i-5ca1ab1e00", entry.encode()

    def _deletion(self) -> Write:
        name = self._rng.choice(("i-7f", "", _LONE, "backup-00000000a1", "x"))
        prefix = self._rng.choice(("servers/", "op/evacuate/", "op/"))
        return prefix + name, None

    def _drained_zone(self) -> Write:
        zone = self._rng.choice(("z\x00", _LONE, "z" * 300, ""))
        value = self._rng.choice(({}, [], b"\xff"))
        return f"op/evacuate/{zone}", value

    def _same_number(self) -> Write:
        """Returns a complete entry with the number of a living endpoint."""
        number = self._rng.choice(list(self._living.values()))
        name = f"{self._rng.choice(('h', 'z'))}-{number:x}"
        self.valid.add(name)
        return f"servers/{name}", self._entry

    def _other_service(self) -> Write:
        """Returns a complete entry of a service that nobody names."""
        number = self._rng.choice(list(self._living.values()))
        name = self._rng.choice((f"backup-{number:010x}", self._id()))
        self.valid.add(name)
        return f"servers/{name}", {**self._entry, "service": "backups"}

    def _overwritten(self) -> Write:
        """Returns the entry of a living endpoint with another one's fields."""
        name = self._rng.choice(list(self._living))
        if self._rng.random() < 0.5:
            return f"servers/{name}", self._rng.choice(_VALUES)
        return f"servers/{name}", self._entry
