"""The platform's questions: is this entry ready, where do callers connect."""

import msgspec

from ..gateway import adapter
from ..gateway import inbound
from ..gateway import program

READY_PATH = '/marigoldramp/ready'
ADDRESSES_PATH = '/marigoldramp/resolve'
#: Most addresses in one answer.
MOST_ADDRESSES = 64
#: Seconds for which callers are to keep an answer.  Shorter costs more
#: questions; longer, and callers keep to an entry that has gone.
KEEP_SECONDS = 1.0
JSON_HEADERS = [(b'content-type', b'application/json')]


class _Addresses(
    msgspec.Struct,
    kw_only=True,
    rename={'addresses': 'Addresses', 'seconds': 'TtlS'},
):
    addresses: list[str]
    seconds: float


def make(running: program.Program) -> adapter.Pages:
    """Return the pages of a process."""

    async def show_readiness(exchange: inbound.Exchange) -> None:
        status = 404
        if exchange.head.path == READY_PATH:
            status = 200 if running.is_ready() else 503
        await exchange.respond(status=status, headers=[], body=b'')

    async def show_addresses(exchange: inbound.Exchange) -> None:
        if exchange.head.path != ADDRESSES_PATH:
            await exchange.respond(status=404, headers=[], body=b'')
            return
        found = running.ready_addresses()[:MOST_ADDRESSES]
        if not found:
            await exchange.respond(status=503, headers=[], body=b'')
            return
        longest = running.settings.bounds.longest_addresses
        body = msgspec.json.encode(
            _Addresses(
                addresses=[f'{one.host}:{one.port}' for one in found],
                seconds=min(KEEP_SECONDS, longest),
            )
        )
        await exchange.respond(status=200, headers=JSON_HEADERS, body=body)

    return adapter.Pages(readiness=show_readiness, addresses=show_addresses)
