"""HTTP pages for the platform: readiness, and addresses for callers."""

import msgspec

from ..gateway import adapter
from ..gateway import inbound
from ..gateway import program

READY_PATH = '/marigoldramp/ready'
ADDRESSES_PATH = '/marigoldramp/resolve'
#: In one response.
MAX_ADDRESSES = 64
#: Time for which callers keep a response.  A shorter one costs more requests;
#: with a longer one callers go on using a gateway that has stopped.
DEFAULT_TTL_SECONDS = 1.0
JSON_HEADERS = [(b'content-type', b'application/json')]


class _AddressesResponse(
    msgspec.Struct,
    kw_only=True,
    rename={'addresses': 'Addresses', 'seconds': 'TtlS'},
):
    addresses: list[str]
    seconds: float


def make(running: program.Program) -> adapter.Pages:
    """Return the pages of a gateway."""

    async def show_readiness(exchange: inbound.Exchange) -> None:
        status = 404
        if exchange.head.path == READY_PATH:
            status = 200 if running.is_ready() else 503
        await exchange.respond(status=status, headers=[], body=b'')

    async def show_addresses(exchange: inbound.Exchange) -> None:
        if exchange.head.path != ADDRESSES_PATH:
            await exchange.respond(status=404, headers=[], body=b'')
            return
        found = running.ready_addresses()[:MAX_ADDRESSES]
        if not found:
            await exchange.respond(status=503, headers=[], body=b'')
            return
        longest = running.settings.bounds.longest_addresses
        body = msgspec.json.encode(
            _AddressesResponse(
                addresses=[
                    f'{address.host}:{address.port}' for address in found
                ],
                seconds=min(DEFAULT_TTL_SECONDS, longest),
            )
        )
        await exchange.respond(status=200, headers=JSON_HEADERS, body=body)

    return adapter.Pages(readiness=show_readiness, addresses=show_addresses)
