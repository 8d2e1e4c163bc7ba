"""A TCP proxy on loopback, through which one VM reaches the store."""

import enum

import anyio
import anyio.abc

_CHUNK = 65_536


class Mode(enum.Enum):
    """What becomes of the bytes."""

    PASS = "pass"
    SLOW = "slow"
    RESET = "reset"
    """Connections are closed, new ones too."""

    SILENT = "silent"
    """Both ways swallowed; connections stay open."""

    ONE_WAY = "one way"
    """Questions arrive, answers do not."""


_FOR_GOOD = (Mode.SILENT, Mode.ONE_WAY)

SLOW_S = 0.3
"""Added to each chunk; a hundred times the loopback's own delay."""


class _Connection:
    """Both sides of one connection."""

    def __init__(self, near, far, mode: Mode):
        self.mode = mode
        self._near = near
        self._far = far

    async def aclose(self) -> None:
        """Closes both sides at once."""
        with anyio.CancelScope(shield=True):
            await anyio.aclose_forcefully(self._near)
            await anyio.aclose_forcefully(self._far)

    async def run(self) -> None:
        """Forwards until a side has ended."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._copy, self._near, self._far, False, tasks)
            tasks.start_soon(self._copy, self._far, self._near, True, tasks)

    async def _copy(self, source, sink, answers: bool, tasks) -> None:
        try:
            while True:
                data = await source.receive(_CHUNK)
                if self.mode is Mode.SLOW:
                    await anyio.sleep(SLOW_S)
                if not self._swallows(answers):
                    await sink.send(data)
        except (
            anyio.EndOfStream,
            anyio.BrokenResourceError,
            anyio.ClosedResourceError,
        ):
            tasks.cancel_scope.cancel()

    def _swallows(self, answers: bool) -> bool:
        one_way = self.mode is Mode.ONE_WAY and answers
        return one_way or self.mode is Mode.SILENT


class Proxy:
    """Forwards connections, by a mode that may change at any moment."""

    def __init__(self, host: str, port: int, target: tuple[str, int]):
        self.mode = Mode.PASS
        self._address = (host, port)
        self._target = target
        self._open: set[_Connection] = set()

    async def set(self, mode: Mode) -> None:
        """Changes the mode, for open connections as well.

        Those that have fallen silent stay so: only new ones work again.
        """
        self.mode = mode
        for connection in list(self._open):
            if connection.mode not in _FOR_GOOD:
                connection.mode = mode
            if mode is Mode.RESET:
                await connection.aclose()

    async def run(
        self,
        *,
        task_status: anyio.abc.TaskStatus = anyio.TASK_STATUS_IGNORED,
    ) -> None:
        """Forwards until cancelled."""
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
        self._open.add(connection)
        try:
            await connection.run()
        finally:
            self._open.discard(connection)
            await connection.aclose()
