"""What the demonstration runs: instances, settings files and the bundle."""

import dataclasses
import hashlib
import pathlib
import secrets
from typing import Any

import msgspec
import yaml

from marigoldramp import bundle
from marigoldramp import signatures
from marigoldramp import store

from . import processes

HOST = '127.0.0.1'
MODEL = 'notes-7b'
#: Calls that an endpoint runs at once; the engines' batch is as large.
SLOTS = 16
DATA_CENTRES = ('east', 'west')
FLEET_KEY_VARIABLE = 'MARIGOLDRAMP_FLEET_KEY'

#: The rank group whose ranks the two engines' agents carry.
GROUP = bundle.Group(
    name='drafts-ranks',
    service='drafts',
    ranks=8,
    experts=32,
    layers=4,
    slots=5,
    interval_seconds=2.0,
    expert_bytes=1_000_000,
)

DRAFTS = bundle.Service(name='drafts', kind='model_engine', model=MODEL)
DISPATCH = bundle.Service(name='dispatch', kind='plain_service')
LEDGER = bundle.Service(name='ledger', kind='plain_service')

ROUTES = (
    bundle.Route(
        method='POST',
        path='/v1/chat/completions',
        model=MODEL,
        service='drafts',
        default_deadline_seconds=20.0,
    ),
    bundle.Route(method='GET', path='/v1/models', service='drafts'),
    bundle.Route(
        method='POST',
        path='/dispatches',
        service='dispatch',
        idempotent=False,
        default_deadline_seconds=3.0,
        priority=bundle.Priority.URGENT,
    ),
    bundle.Route(
        method='POST',
        path='/pledges/*',
        service='ledger',
        idempotent=False,
        default_deadline_seconds=5.0,
    ),
    bundle.Route(method='GET', path='/receipts/*', service='ledger'),
)


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Node:
    """An instance of the demonstration: an entry or an agent.

    :ivar endpoint: base address of the endpoint beside an agent.
    :ivar ranks: ranks of the group beside it, reached at ``rank_endpoint``.
    """

    instance: store.Instance
    endpoint: str = ''
    kind: str = ''
    ranks: tuple[int, ...] = ()
    rank_endpoint: str = ''

    @property
    def role(self) -> str:
        """Return the subcommand that runs it."""
        return 'agent' if self.endpoint else 'entry'

    @property
    def address(self) -> str:
        """Return the base address for calls."""
        return f'http://{self.instance.host}:{self.instance.call_port}'


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Operator:
    """An operator who signs bundles."""

    name: str
    keys: signatures.KeyPair


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Caller:
    """A customer of the demonstration and its caller key."""

    name: str
    key: str
    services: tuple[str, ...]


def make_node(
    *,
    name: str,
    data_centre: str,
    service: str = '',
    endpoint: str = '',
    kind: str = '',
    ranks: tuple[int, ...] = (),
    rank_endpoint: str = '',
) -> Node:
    """Return an instance on ports that are free now."""
    ports = [processes.find_free_port(host=HOST) for _ in range(3)]
    instance = store.Instance(
        name=name,
        role='endpoint' if endpoint else 'entry',
        data_centre=data_centre,
        host=HOST,
        call_port=ports[0],
        control_port=ports[1],
        datagram_port=ports[2],
        service=service,
        group=GROUP.name if ranks else '',
    )
    return Node(
        instance=instance,
        endpoint=endpoint,
        kind=kind,
        ranks=ranks,
        rank_endpoint=rank_endpoint,
    )


def make_operator(*, name: str) -> Operator:
    """Return an operator with a new key pair."""
    return Operator(name=name, keys=signatures.make_key_pair())


def make_callers() -> tuple[Caller, ...]:
    """Return two customers with new keys."""
    return (
        Caller(
            name='assistance',
            key=secrets.token_urlsafe(24),
            services=('drafts', 'dispatch'),
        ),
        Caller(
            name='appeals',
            key=secrets.token_urlsafe(24),
            services=('drafts', 'ledger'),
        ),
    )


def make_bundle(*, callers: tuple[Caller, ...], entries: int) -> bundle.Bundle:
    """Return the first bundle."""
    customers = tuple(
        bundle.Customer(
            name=caller.name,
            key_digests=(hashlib.sha256(caller.key.encode()).hexdigest(),),
            services=caller.services,
            requests_per_second=500.0,
            entries=entries,
        )
        for caller in callers
    )
    return bundle.Bundle(
        number=1,
        note='first bundle of the demonstration',
        services=(DRAFTS, DISPATCH, LEDGER),
        routes=ROUTES,
        groups=(GROUP,),
        customers=customers,
    )


def write_bundle(*, path: pathlib.Path, document: bundle.Bundle) -> None:
    """Write a bundle as an operator would keep it."""
    plain = msgspec.to_builtins(document)
    for route in plain['routes']:
        route['priority'] = bundle.Priority(route['priority']).name.lower()
    path.write_text(yaml.safe_dump(plain, sort_keys=False))


def write_settings(
    *,
    path: pathlib.Path,
    platform: str,
    operators: tuple[Operator, ...],
    node: Node | None = None,
) -> None:
    """Write the settings file of an instance, or of the operators."""
    document: dict[str, Any] = {
        'instance': 'console',
        'data_centre': DATA_CENTRES[0],
        'platform': {'address': platform, 'poll_instances': 0.5},
        'security': {
            'fleet_key': f'env:{FLEET_KEY_VARIABLE}',
            'operators': {one.name: one.keys.public for one in operators},
        },
    }
    if node is not None:
        document['instance'] = node.instance.name
        document['data_centre'] = node.instance.data_centre
        document[node.role] = _list_role_settings(node)
    path.write_text(yaml.safe_dump(document))


def _list_role_settings(node: Node) -> dict[str, Any]:
    settings: dict[str, Any] = {
        'call_port': node.instance.call_port,
        'control_port': node.instance.control_port,
        'datagram_port': node.instance.datagram_port,
        'drain_limit': 20.0,
    }
    if node.endpoint:
        settings['service'] = node.instance.service
        settings['endpoint'] = node.endpoint
        settings['kind'] = node.kind
        settings['slots'] = SLOTS
    if node.ranks:
        settings['group'] = node.instance.group
        settings['ranks'] = list(node.ranks)
        settings['rank_endpoint'] = node.rank_endpoint
    return settings
