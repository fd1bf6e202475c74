"""Runs a gateway that can be partitioned from other gateways.

``MARIGOLDRAMP_SOAK_PARTITION`` names a file with the hosts, one a line, that
cannot exchange reports with the others.
"""

import os
import pathlib
import sys

from marigoldramp.gateway import gossip
from marigoldramp.gateway import peer_exchange
from marigoldramp.platform import __main__ as platform_main
from marigoldramp.platform import settings_file

VARIABLE = 'MARIGOLDRAMP_SOAK_PARTITION'


class Partition:
    """The hosts that a file names as partitioned from the others."""

    def __init__(self, *, path, host):
        self._path = path
        self._host = host

    def separates(self, host):
        """Whether a host cannot be reached from this one."""
        try:
            hosts = set(self._path.read_text().split())
        except FileNotFoundError:
            return False
        return (host in hosts) != (self._host in hosts)


def install(partition):
    """Drop reports and fetches between separated hosts."""
    handle_datagram = gossip.Gossip._handle_datagram
    fetch = peer_exchange.fetch

    def handle_unless_separated(self, data, source):
        if not partition.separates(source):
            handle_datagram(self, data, source)

    async def fetch_unless_separated(*, address, path):
        if partition.separates(address.host):
            return None
        return await fetch(address=address, path=path)

    gossip.Gossip._handle_datagram = handle_unless_separated
    peer_exchange.fetch = fetch_unless_separated


def main():
    """Run the gateway; return its exit code."""
    settings = settings_file.read(settings_file.read_path_from_environment())
    path = pathlib.Path(os.environ[VARIABLE])
    install(Partition(path=path, host=settings.peers.host))
    return platform_main.main()


if __name__ == '__main__':
    sys.exit(main())
