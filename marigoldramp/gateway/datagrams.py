"""A UDP socket that costs little for each datagram.

Reports are most of what a calm gateway does.  Reading in a callback of the
event loop takes one turn of it for all datagrams that have arrived, where a
task that awaits each of them takes two turns for one.
"""

import asyncio
import socket
from typing import Callable

from absl import logging

from .. import logs
from . import ip_addresses

MAX_BYTES = 65536
#: Datagrams that are read before other work gets its turn.
MAX_READ_AT_ONCE = 32

OnDatagram = Callable[[bytes, str], None]


class DatagramSocket:
    """One bound UDP socket.

    :param on_datagram: called with each datagram and the host it came from.
    """

    __slots__ = ('_socket', '_on_datagram')

    def __init__(
        self, *, bound: socket.socket, on_datagram: OnDatagram
    ) -> None:
        self._socket = bound
        self._on_datagram = on_datagram
        asyncio.get_running_loop().add_reader(bound, self._receive)

    @property
    def port(self) -> int:
        """The local port."""
        port: int = self._socket.getsockname()[1]
        return port

    def send(self, data: bytes, host: str, port: int) -> None:
        """Send a datagram.

        :raises OSError: the buffer is full, or the host is unreachable or is
            not an IP address.
        """
        if not ip_addresses.is_ip_address(host):
            raise OSError(f'{host[:80]!r} is not an IP address')
        try:
            self._socket.sendto(data, (host, port))
        except OverflowError as error:
            raise OSError(str(error)) from error

    def close(self) -> None:
        """Stop receiving and close the socket."""
        asyncio.get_running_loop().remove_reader(self._socket)
        self._socket.close()

    def _receive(self) -> None:
        for _ in range(MAX_READ_AT_ONCE):
            try:
                data, source = self._socket.recvfrom(MAX_BYTES)
            except BlockingIOError:
                return
            except OSError as error:
                logging.info(
                    'datagram not received',
                    extra=logs.fields(detail=str(error)),
                )
                return
            self._on_datagram(data, source[0])


async def open_socket(
    *, host: str, port: int, on_datagram: OnDatagram
) -> DatagramSocket:
    """Bind a socket and receive on it.

    :raises OSError: the address cannot be bound.
    """
    found = await asyncio.get_running_loop().getaddrinfo(
        host, port, type=socket.SOCK_DGRAM, flags=socket.AI_PASSIVE
    )
    family, kind, protocol, _, address = found[0]
    bound = socket.socket(family, kind, protocol)
    bound.setblocking(False)
    try:
        bound.bind(address)
    except OSError:
        bound.close()
        raise
    return DatagramSocket(bound=bound, on_datagram=on_datagram)
