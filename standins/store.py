"""A stand-in for the platform's metadata store, with watches and faults."""

import base64
import enum
import json

import anyio
import attrs

from standins import http

POLL_S = 0.01
PAGE_ITEMS = 500
_GONE = http.Response(410, b'{"error": "history is gone"}')
_BUSY = http.Response(503, b'{"error": "not now"}')


class Fault(enum.Enum):
    """A fault that the store simulates."""

    NONE = "none"
    DOWN = "down"
    BUSY = "busy"
    SILENT = "silent"


@attrs.frozen
class _Item:
    key: str
    value: bytes | None
    revision: int
    created: int


@attrs.frozen
class Copy:
    """A snapshot of the store."""

    items: dict[str, _Item]
    revision: int


class Store(http.Handler):
    """A key-value store with one revision counter and a history.

    Attributes:
        fault: The simulated fault.
        delay_s: Delay of each response, in seconds.
        calls: Number of calls so far.
        epoch: Value of the `Store-Era` header; None sends no such header.
    """

    def __init__(self):
        self.fault = Fault.NONE
        self.delay_s = 0.0
        self.calls = 0
        self.epoch: int | None = 1
        self._items: dict[str, _Item] = {}
        self._history: list[_Item] = []
        self._revision = 10
        self._oldest = 10

    @property
    def revision(self) -> int:
        """The revision, which grows with every change."""
        return self._revision

    def put(self, key: str, value: object) -> int:
        """Writes a value, encoded as JSON unless it is bytes.

        Returns:
            The new revision.
        """
        return self._write(key, _encode(value))

    def renew(self, key: str, value: object) -> None:
        """Writes a value unless the key already has it."""
        known = self._items.get(key)
        if known is None or known.value != _encode(value):
            self.put(key, value)

    def delete(self, key: str) -> int:
        """Removes a key if it exists; returns the revision."""
        if key not in self._items:
            return self._revision
        return self._write(key, None)

    def compact(self) -> None:
        """Discards the history."""
        self._history.clear()
        self._oldest = self._revision

    def copy(self) -> Copy:
        """Returns a snapshot for `restore`."""
        return Copy(dict(self._items), self._revision)

    def restore(self, copy: Copy) -> None:
        """Restores a snapshot, which loses all later writes."""
        self._items = dict(copy.items)
        self._revision = copy.revision
        self._history = [
            item for item in self._history if item.revision <= copy.revision
        ]
        self._oldest = min(self._oldest, copy.revision)
        if self.epoch is not None:
            self.epoch += 1

    def items_body(self) -> bytes:
        """Returns the body of a `/kv-range` response with the first page."""
        return self._range(http.Request("GET", "/kv-range", {}, b"")).body

    async def handle(self, request: http.Request) -> http.Response:
        """Returns the response to one call under the current fault."""
        self.calls += 1
        answer = await self._answer(request)
        if self.epoch is None or answer.status is None:
            return answer
        headers = {"Store-Era": str(self.epoch)}
        return attrs.evolve(answer, headers=headers)

    async def _answer(self, request: http.Request) -> http.Response:
        if self.fault is Fault.SILENT:
            await anyio.sleep_forever()
        if self.delay_s:
            await anyio.sleep(self.delay_s)
        if self.fault is Fault.DOWN:
            return http.CLOSE_UNANSWERED
        if self.fault is Fault.BUSY:
            return _BUSY
        if request.path == "/kv-range":
            return self._range(request)
        if request.path == "/kv-watch":
            return await self._watch(request)
        return http.NOT_FOUND

    def _write(self, key: str, value: bytes | None) -> int:
        self._revision += 1
        known = self._items.get(key)
        created = self._revision if known is None else known.created
        item = _Item(key, value, self._revision, created)
        self._history.append(item)
        self._items[key] = item
        if value is None:
            del self._items[key]
        return self._revision

    def _range(self, request: http.Request) -> http.Response:
        prefix = request.query.get("prefix", "")
        after = request.query.get("after", "")
        keys = sorted(
            key for key in self._items if key.startswith(prefix) and key > after
        )
        page = keys[:PAGE_ITEMS]
        body = {
            "items": [_item_json(self._items[key]) for key in page],
            "morePages": len(keys) > len(page),
            "asOf": self._revision,
        }
        return http.json_response(body)

    async def _watch(self, request: http.Request) -> http.Response:
        prefix = request.query.get("prefix", "")
        after = int(request.query["after"])
        until = anyio.current_time() + int(request.query["waitMs"]) / 1000
        epoch = self.epoch
        while True:
            if self.fault is Fault.DOWN or self.epoch != epoch:
                return http.CLOSE_UNANSWERED
            if not self._oldest <= after <= self._revision:
                return _GONE
            events = [
                _item_json(item)
                for item in self._history
                if item.revision > after and item.key.startswith(prefix)
            ]
            if events or anyio.current_time() >= until:
                body = {"events": events, "asOf": self._revision}
                return http.json_response(body)
            await anyio.sleep(POLL_S)


def _encode(value: object) -> bytes:
    return value if isinstance(value, bytes) else json.dumps(value).encode()


def _item_json(item: _Item) -> dict[str, object]:
    if item.value is None:
        return {"key": item.key, "revision": item.revision, "deleted": True}
    return {
        "key": item.key,
        "value": base64.b64encode(item.value).decode(),
        "revision": item.revision,
        "created": item.created,
        "lease": 0,
    }
