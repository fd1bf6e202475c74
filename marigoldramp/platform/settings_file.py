"""Reads the platform's settings file (TOML)."""

import os
import tomllib
from typing import Annotated

import msgspec

from ..gateway import retry_budget
from ..gateway import settings

#: Names the settings file.
PATH_VARIABLE = 'MARIGOLDRAMP_BOOT'
#: Where metrics are served; ``deploy/system.toml`` names the same port.
METRICS_PORT = 9464
MILLISECONDS_PER_SECOND = 1000.0
BYTES_A_MEGABIT = 125_000.0

Positive = Annotated[float, msgspec.Meta(gt=0)]


class _Listen(
    msgspec.Struct,
    kw_only=True,
    rename={
        'calls': 'FrontAddr',
        'readiness': 'Ready',
        'addresses': 'Directory',
    },
):
    """Addresses as ``IP:PORT``; empty for what this process does not do."""

    calls: str = ''
    readiness: str = ''
    addresses: str = ''


class _Limits(
    msgspec.Struct,
    kw_only=True,
    rename={
        'descriptors': 'MaxFds',
        'core_share': 'CpuShare',
        'core_speed': 'CpuCores',
        'link_megabits': 'LinkMbps',
    },
):
    """What the process may use.

    :ivar core_share: part of one core.
    :ivar core_speed: how many times as fast as a usual one that core is; the
        name on the wire speaks of cores.
    :ivar link_megabits: of the instance, a second.
    """

    descriptors: int = 1024
    core_share: Positive = 1.0
    core_speed: Positive = 1.0
    link_megabits: Positive = 1000.0


class _Bounds(
    msgspec.Struct,
    kw_only=True,
    rename={
        'drain_ms': 'DrainMs',
        'grace_s': 'GraceS',
        'apply_ms': 'ConfigApplyMs',
        'revoke_ms': 'RevokeMs',
        'retry_ratio': 'RetryBudgetRatio',
        'retry_window_s': 'BudgetWindowS',
        'retry_extra': 'BudgetExtra',
        'fenced': 'RequireFencing',
        'longest_addresses_s': 'ttl_max_s',
        'stall_ms': 'stall_ms',
    },
):
    drain_ms: float = 2000.0
    grace_s: float = 8.0
    apply_ms: float = 2000.0
    revoke_ms: float = 5000.0
    retry_ratio: float = 0.1
    retry_window_s: float = 10.0
    retry_extra: float = 0.0
    fenced: bool = True
    longest_addresses_s: float = 5.0
    stall_ms: float = 1500.0


class _Store(msgspec.Struct, kw_only=True, rename={'address': 'Address'}):
    address: str


class _File(
    msgspec.Struct,
    kw_only=True,
    rename={
        'instance': 'NodeName',
        'host': 'Ip',
        'data_centre': 'Zone',
        'region': 'Region',
        'ports': 'InternalPorts',
        'seeds': 'SeedNodes',
        'listen': 'Listen',
        'limits': 'Limits',
        'bounds': 'Bounds',
        'store': 'PlatformStore',
    },
):
    """The part of the file that is used.

    :ivar ports: first and last port for traffic between our processes.
    :ivar seeds: control addresses of some instances; of these only the host
        counts, as ports are the same on all instances.
    """

    instance: str
    host: str
    data_centre: str
    region: str = ''
    ports: tuple[int, int]
    seeds: tuple[str, ...] = ()
    listen: _Listen
    limits: _Limits = msgspec.field(default_factory=_Limits)
    bounds: _Bounds = msgspec.field(default_factory=_Bounds)
    store: _Store


def read(path: str) -> settings.Settings:
    """Read a settings file.

    :raises OSError: it cannot be read.
    :raises ValueError: it is not sound; the text names file and place.
    """
    with open(path, 'rb') as file:
        text = file.read()
    try:
        document = tomllib.loads(text.decode())
        found = msgspec.convert(document, _File, strict=False)
        return _build(found)
    except ValueError as error:
        raise ValueError(f'{path}: {error}') from error


def path_from_environment() -> str:
    """Return the path of the settings file.

    :raises ValueError: the platform has not named one.
    """
    path = os.environ.get(PATH_VARIABLE, '')
    if not path:
        raise ValueError(f'the variable {PATH_VARIABLE} is not set')
    return path


def parse_address(text: str) -> settings.Address:
    """Return the address in a text ``IP:PORT``.

    :raises ValueError: there is none.
    """
    host, colon, port = text.rpartition(':')
    if not colon or not host or not port.isdigit():
        raise ValueError(f'{text!r} is not an address and a port')
    return settings.Address(host=host, port=int(port))


def _build(found: _File) -> settings.Settings:
    peer_port = found.ports[0]
    return settings.Settings(
        instance=found.instance,
        data_centre=found.data_centre,
        region=found.region,
        calls=_parse_optional(found.listen.calls),
        readiness=_parse_optional(found.listen.readiness),
        addresses=_parse_optional(found.listen.addresses),
        peers=settings.Address(host=found.host, port=peer_port),
        metrics=settings.Address(host=found.host, port=METRICS_PORT),
        seeds=tuple(
            settings.Address(host=parse_address(seed).host, port=peer_port)
            for seed in found.seeds
        ),
        store=parse_address(found.store.address),
        descriptors=found.limits.descriptors,
        cores=found.limits.core_share * found.limits.core_speed,
        link_rate=found.limits.link_megabits * BYTES_A_MEGABIT,
        bounds=_build_bounds(found.bounds),
    )


def _build_bounds(found: _Bounds) -> settings.Bounds:
    return settings.Bounds(
        drain=found.drain_ms / MILLISECONDS_PER_SECOND,
        grace=found.grace_s,
        apply=found.apply_ms / MILLISECONDS_PER_SECOND,
        revoke=found.revoke_ms / MILLISECONDS_PER_SECOND,
        longest_addresses=found.longest_addresses_s,
        retries=retry_budget.Bounds(
            ratio=found.retry_ratio,
            extra=found.retry_extra,
            window=found.retry_window_s,
        ),
        fenced=found.fenced,
        stall=found.stall_ms / MILLISECONDS_PER_SECOND,
    )


def _parse_optional(text: str) -> settings.Address | None:
    return parse_address(text) if text else None
