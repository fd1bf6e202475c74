"""What the sites in one process have in common: settings, configuration.

See :mod:`.site`.
"""

import dataclasses
import functools
import hashlib
import importlib.resources
import time
from typing import Any
from typing import Callable

from marigoldramp import bundle
from marigoldramp import documents
from marigoldramp import messages
from marigoldramp import metrics
from marigoldramp import settings as settings_module

from . import site_processes
from . import web

KEY = 'key of the tester'
BOUNDED_KEY = 'key of the bounded'
LEDGER = 'ledger'
CHAT = 'chat'
MODEL = 'm'
DATA_CENTRE = 'a'


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Layout:
    """What a site has.

    :ivar service: which service the endpoints run.
    :ivar entry: changes of an entry's settings.
    :ivar agent: changes of an agent's settings.
    :ivar handle: serves the endpoints' requests instead of a stand-in.
    :ivar clock: clock of every process, the event loop's own.
    :ivar fleet_key: secret of the site's processes.  Sites that run side by
        side need one each: a port that one frees can be another's next, and
        its processes would take what was meant for the first.
    """

    service: str = LEDGER
    entries: int = 2
    agents: int = 2
    entry: dict[str, Any] = dataclasses.field(default_factory=dict)
    agent: dict[str, Any] = dataclasses.field(default_factory=dict)
    handle: web.Handle | None = None
    clock: Callable[[], float] = time.monotonic
    fleet_key: bytes = site_processes.FLEET_KEY


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Gone:
    """An agent that was found dead."""

    instance: str
    role: messages.Role = messages.Role.AGENT


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class ListedEntry:
    """An entry as callers are sent to it."""

    instance: str
    call_port: int
    host: str = web.HOST


@functools.cache
def read_defaults() -> settings_module.Settings:
    package = importlib.resources.files('marigoldramp')
    text = package.joinpath('settings_default.yaml').read_text('utf-8')
    loaded = documents.load(
        text=text, source='defaults', shape=settings_module.Settings
    )
    assert loaded.value is not None
    return loaded.value


@functools.cache
def make_metrics() -> metrics.Metrics:
    return metrics.create(settings=read_defaults().metrics, instance='site')


@functools.cache
def make_bundle() -> bundle.Bundle:
    """Return the configuration of every site."""
    services = (LEDGER, CHAT)
    return bundle.Bundle(
        number=1,
        services=(
            bundle.Service(name=LEDGER, kind='plain_service', retry_share=1.0),
            bundle.Service(
                name=CHAT, kind='model_engine', model=MODEL, retry_share=1.0
            ),
        ),
        routes=(
            bundle.Route(
                method='POST',
                path='/ledger/*',
                service=LEDGER,
                idempotent=False,
            ),
            bundle.Route(method='POST', path='/quotes/*', service=LEDGER),
            bundle.Route(method='GET', path='/receipts/*', service=LEDGER),
            bundle.Route(
                method='POST', path='/v1/chat/completions', service=CHAT
            ),
        ),
        customers=(
            bundle.Customer(
                name='tester',
                key_digests=(_digest(KEY),),
                services=services,
                requests_per_second=100_000.0,
                concurrent_calls=10_000,
                tokens_per_second=10_000_000.0,
                entries=8,
            ),
            bundle.Customer(
                name='bounded',
                key_digests=(_digest(BOUNDED_KEY),),
                services=services,
                requests_per_second=0.001,
                entries=8,
            ),
        ),
    )


def _digest(key: str) -> str:
    return hashlib.sha256(key.encode()).hexdigest()


def make_settings(
    *, layout: Layout, name: str, endpoint: str
) -> settings_module.Settings:
    """Return the settings of one process."""
    defaults = read_defaults()
    kinds = {LEDGER: 'plain_service', CHAT: 'model_engine'}
    return dataclasses.replace(
        defaults,
        instance=name,
        data_centre=DATA_CENTRE,
        host=web.HOST,
        entry=dataclasses.replace(defaults.entry, **layout.entry),
        agent=dataclasses.replace(
            defaults.agent,
            service=layout.service,
            kind=kinds[layout.service],
            endpoint=endpoint,
            **layout.agent,
        ),
    )
