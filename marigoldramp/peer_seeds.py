"""Makes this process known at the addresses that its settings name."""

import dataclasses

import anyio

from . import peer_sender
from . import peer_table
from . import settings as settings_module

#: Seconds between two greetings while other peers are known.
SEED_EVERY = 10.0


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Seed:
    """An address at which some process receives heartbeats."""

    host: str
    port: int


async def greet(
    settings: settings_module.Membership,
    sender: peer_sender.Sender,
    table: peer_table.Table,
) -> None:
    """Greet the seeds again and again.

    Often while nobody is known; then seldom, so that two halves of a site
    that started apart from each other meet again.
    """
    seeds = [parse(text) for text in settings.seeds]
    while seeds:
        for seed in seeds:
            sender.greet(seed.host, seed.port)
        alone = not any(record.state in peer_table.USABLE for record in table)
        await anyio.sleep(settings.heartbeat if alone else SEED_EVERY)


def parse(text: str) -> Seed:
    """Return the seed in a text such as ``10.0.0.7:4711``."""
    host, _, port = text.rpartition(':')
    return Seed(host=host.strip('[]'), port=int(port))
