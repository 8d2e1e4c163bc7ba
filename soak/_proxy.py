"""A fault-injecting TCP proxy on loopback between one VM and the store."""

import enum

import anyio
import anyio.abc

_CHUNK = 65_536


class Mode(enum.Enum):
    """How the proxy treats connections and their data."""

    PASS = "pass"
    SLOW = "slow"
    RESET = "reset"
    """Open connections and new ones are closed."""

    SILENT = "silent"
    """Data is dropped in both directions; connections stay open."""

    ONE_WAY = "one way"
    """Requests are forwarded, responses are dropped."""


_PERMANENT_MODES = (Mode.SILENT, Mode.ONE_WAY)

SLOW_DELAY_S = 0.3
"""Delay in seconds added to each chunk; a hundred times the loopback's own."""


class _Connection:
    """A connection from the VM and the one to the store that belongs to it."""

    def __init__(self, near, far, mode: Mode):
        self.mode = mode
        self._client = near
        self._server = far

    async def aclose(self) -> None:
        """Closes both sides at once."""
        with anyio.CancelScope(shield=True):
            await anyio.aclose_forcefully(self._client)
            await anyio.aclose_forcefully(self._server)

    async def run(self) -> None:
        """Forwards data until either side has closed."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(
                self._copy, self._client, self._server, False, tasks
            )
            tasks.start_soon(
                self._copy, self._server, self._client, True, tasks
            )

    async def _copy(self, source, sink, is_response: bool, tasks) -> None:
        try:
            while True:
                data = await source.receive(_CHUNK)
                if self.mode is Mode.SLOW:
                    await anyio.sleep(SLOW_DELAY_S)
                if not self._drops(is_response):
                    await sink.send(data)
        except (
            anyio.EndOfStream,
            anyio.BrokenResourceError,
            anyio.ClosedResourceError,
        ):
            tasks.cancel_scope.cancel()

    def _drops(self, is_response: bool) -> bool:
        one_way = self.mode is Mode.ONE_WAY and is_response
        return one_way or self.mode is Mode.SILENT


class Proxy:
    """Forwards connections, in a mode that may change at any time."""

    def __init__(self, host: str, port: int, target: tuple[str, int]):
        self.mode = Mode.PASS
        self._address = (host, port)
        self._target = target
        self._connections: set[_Connection] = set()

    async def set_mode(self, mode: Mode) -> None:
        """Changes the mode, for open connections too.

        Connections on which data has been dropped keep their mode, as the data
        is lost for good: only new connections work again.
        """
        self.mode = mode
        for connection in list(self._connections):
            if connection.mode not in _PERMANENT_MODES:
                connection.mode = mode
            if mode is Mode.RESET:
                await connection.aclose()

    def silence_open(self) -> None:
        """Silences the open connections; new ones work."""
        for connection in self._connections:
            connection.mode = Mode.SILENT

    async def run(
        self,
        *,
        task_status: anyio.abc.TaskStatus = anyio.TASK_STATUS_IGNORED,
    ) -> None:
        """Accepts and forwards connections until cancelled."""
        host, port = self._address
        listener = await anyio.create_tcp_listener(
            local_host=host, local_port=port, backlog=256
        )
        async with listener:
            task_status.started()
            await listener.serve(self._forward)

    async def _forward(self, near: anyio.abc.SocketStream) -> None:
        if self.mode is Mode.RESET:
            await anyio.aclose_forcefully(near)
            return
        try:
            far = await anyio.connect_tcp(*self._target)
        except OSError:
            await anyio.aclose_forcefully(near)
            return
        connection = _Connection(near, far, self.mode)
        self._connections.add(connection)
        try:
            await connection.run()
        finally:
            self._connections.discard(connection)
            await connection.aclose()
