"""A TCP link with faults: cut, silent, one-way, late, between two ends.

The link listens on a port of its own and forwards to a target.  Tests put
one between an entry and an agent, or a caller and an entry, and switch its
faults at named steps; nothing is timed.
"""

import dataclasses
import enum
import socket

import anyio
import anyio.abc

READ_BYTES = 65536


class Fault(enum.Enum):
    """What happens to bytes of the connections that are open.

    ``SILENT`` drops bytes both ways and keeps the connections; ``FORWARD``
    and ``BACK`` drop one way only; ``HELD`` keeps the bytes for later.
    """

    NONE = 'none'
    SILENT = 'silent'
    FORWARD = 'forward'
    BACK = 'back'
    HELD = 'held'


@dataclasses.dataclass(slots=True, kw_only=True, eq=False)
class _Connection:
    near: anyio.abc.SocketStream
    far: anyio.abc.SocketStream
    fault: Fault = Fault.NONE


class Link:
    """Forwards connections to one target until told otherwise.

    :ivar accepting: whether new connections are taken; a refused one is
        closed at once.
    :ivar new_fault: fault of connections opened from now on.
    """

    def __init__(self, *, host: str, port: int) -> None:
        self.host = host
        self.target = port
        self.port = 0
        self.accepting = True
        self.new_fault = Fault.NONE
        self.opened = 0
        self._connections: set[_Connection] = set()
        self._released = anyio.Event()

    async def run(
        self,
        *,
        task_status: anyio.abc.TaskStatus[int] = anyio.TASK_STATUS_IGNORED,
    ) -> None:
        """Listen and forward until cancelled."""
        listener = await anyio.create_tcp_listener(
            local_host=self.host, local_port=0, family=socket.AF_INET
        )
        try:
            self.port = listener.extra(anyio.abc.SocketAttribute.local_port)
            task_status.started(self.port)
            await listener.serve(self._forward)
        finally:
            # A cancelled task would leave the socket open: connections would
            # still be taken, by nobody, instead of being refused.
            with anyio.CancelScope(shield=True):
                await listener.aclose()

    def set_fault(self, fault: Fault) -> None:
        """Put a fault on the connections that are open now."""
        for connection in self._connections:
            connection.fault = fault

    def release(self) -> None:
        """Let held bytes go on."""
        self.set_fault(Fault.NONE)
        self.new_fault = Fault.NONE
        self._released.set()
        self._released = anyio.Event()

    async def cut(self) -> None:
        """Close every open connection."""
        for connection in list(self._connections):
            await anyio.aclose_forcefully(connection.near)
            await anyio.aclose_forcefully(connection.far)

    async def _forward(self, near: anyio.abc.SocketStream) -> None:
        if not self.accepting:
            await anyio.aclose_forcefully(near)
            return
        self.opened += 1
        try:
            far = await anyio.connect_tcp(self.host, self.target)
        except OSError:
            await anyio.aclose_forcefully(near)
            return
        connection = _Connection(near=near, far=far, fault=self.new_fault)
        self._connections.add(connection)
        try:
            async with near, far, anyio.create_task_group() as group:
                group.start_soon(self._copy, connection, near, far, True)
                group.start_soon(self._copy, connection, far, near, False)
        finally:
            self._connections.discard(connection)

    async def _copy(
        self,
        connection: _Connection,
        source: anyio.abc.SocketStream,
        sink: anyio.abc.SocketStream,
        forward: bool,
    ) -> None:
        try:
            while True:
                chunk = await source.receive(READ_BYTES)
                while connection.fault is Fault.HELD:
                    await self._released.wait()
                if not _drops(connection.fault, forward):
                    await sink.send(chunk)
        except (anyio.EndOfStream, anyio.ClosedResourceError, OSError):
            pass
        except anyio.BrokenResourceError:
            pass
        # A silent middle box tells neither end that the other has gone.
        if connection.fault is Fault.NONE:
            await anyio.aclose_forcefully(sink)
            await anyio.aclose_forcefully(source)


def _drops(fault: Fault, forward: bool) -> bool:
    match fault:
        case Fault.SILENT:
            return True
        case Fault.FORWARD:
            return forward
        case Fault.BACK:
            return not forward
        case _:
            return False
