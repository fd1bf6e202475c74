"""Reads the platform's settings file (TOML)."""

import os
import tomllib
from typing import Annotated

import msgspec

from ..gateway import ip_addresses
from ..gateway import retry_budget
from ..gateway import settings
from ..gateway import store_outages

#: Environment variable that holds the path of the settings file.
SETTINGS_PATH_VARIABLE = 'MARIGOLDRAMP_BOOT'
#: Port that serves metrics; ``deploy/system.toml`` has the same number.
METRICS_PORT = 9464
MILLISECONDS_PER_SECOND = 1000.0
BYTES_PER_MEGABIT = 125_000.0
BYTES_PER_MEGABYTE = 1_000_000.0

PositiveFloat = Annotated[float, msgspec.Meta(gt=0)]


class _Listen(
    msgspec.Struct,
    kw_only=True,
    rename={
        'calls': 'FrontAddr',
        'readiness': 'Ready',
        'addresses': 'Directory',
    },
):
    """Addresses as ``IP:PORT``, empty if the process does not serve them.

    :ivar calls: where callers connect.
    :ivar readiness: where the platform asks whether the gateway is ready.
    :ivar addresses: where callers ask for gateway addresses.
    """

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
        'memory_megabytes': 'MemoryMb',
    },
):
    """Resources that the process may use.

    :ivar descriptors: sockets that it may open.
    :ivar core_share: share of one core.
    :ivar core_speed: speed of that core as a multiple of a standard core's;
        ``CpuCores`` is not a number of cores.
    :ivar link_megabits: megabits per second of the instance's link.
    :ivar memory_megabytes: megabytes of memory; 0 if not stated.
    """

    descriptors: int = 1024
    core_share: PositiveFloat = 1.0
    core_speed: PositiveFloat = 1.0
    link_megabits: PositiveFloat = 1000.0
    memory_megabytes: float = 0.0


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
        'contact_ms': 'ContactMs',
        'evacuate_ms': 'EvacuateMs',
        'cold_factor': 'ColdOverage',
        'cold_extra': 'ColdSlack',
    },
):
    """Bounds that the operator sets for the whole deployment.

    :ivar drain_ms: time within which a leaving endpoint must stop getting new
        requests.
    :ivar grace_s: time between the request to stop and the forced stop.
    :ivar apply_ms: time within which a new configuration must be in force.
    :ivar revoke_ms: time after which a removed key must no longer work.
    :ivar retry_ratio: retries as a share of the requests of a window.
    :ivar retry_extra: retries allowed in each window beyond that share.
    :ivar fenced: endpoints check the fencing tokens of orders.
    :ivar longest_addresses_s: time for which callers may keep the addresses
        of gateways.
    :ivar stall_ms: time for which a group of ranks waits for a dead rank.
    :ivar contact_ms: time for which a gateway must have been undisturbed for
        the other bounds to hold for it.
    :ivar evacuate_ms: time within which an evacuation must be in force.
    :ivar cold_factor: factor by which the rate of a cold endpoint may be
        exceeded in one second.
    :ivar cold_extra: requests by which it may be exceeded beyond that.
    """

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
    contact_ms: float = 3000.0
    evacuate_ms: float | None = None
    cold_factor: float | None = None
    cold_extra: float | None = None


class _Store(msgspec.Struct, kw_only=True, rename={'address': 'Address'}):
    address: str


class _SettingsFile(
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
        'heartbeat_ms': 'HeartbeatMs',
    },
):
    """The settings that the gateway uses; others in the file are ignored.

    :ivar ports: first and last port for traffic between gateways.
    :ivar seeds: control addresses of some instances.  Only their hosts are
        used, as the gateways' ports are the same on all instances.
    :ivar heartbeat_ms: interval at which endpoints write their records; 0 if
        not stated.
    """

    instance: str
    host: ip_addresses.Host
    data_centre: str
    region: str = ''
    ports: tuple[int, int]
    seeds: tuple[str, ...] = ()
    listen: _Listen
    limits: _Limits = msgspec.field(default_factory=_Limits)
    bounds: _Bounds = msgspec.field(default_factory=_Bounds)
    store: _Store
    heartbeat_ms: float = 0.0


def read(path: str) -> settings.Settings:
    """Read a settings file.

    :raises OSError: the file cannot be read.
    :raises ValueError: it is invalid; the message names the file and, if
        known, the line or setting.
    """
    with open(path, 'rb') as file:
        text = file.read()
    try:
        document = tomllib.loads(text.decode())
        found = msgspec.convert(document, _SettingsFile, strict=False)
        return _build_settings(found)
    except ValueError as error:
        raise ValueError(f'{path}: {error}') from error


def read_path_from_environment() -> str:
    """Return the path of the settings file.

    :raises ValueError: the environment variable is not set.
    """
    path = os.environ.get(SETTINGS_PATH_VARIABLE, '')
    if not path:
        raise ValueError(
            f'environment variable {SETTINGS_PATH_VARIABLE} is not set'
        )
    return path


def parse_address(text: str) -> settings.Address:
    """Return the address in a text of the form ``IP:PORT``.

    :raises ValueError: the text has another form.
    """
    host, port = ip_addresses.split_address(text)
    return settings.Address(host=host, port=port)


def _build_settings(found: _SettingsFile) -> settings.Settings:
    peer_port = found.ports[0]
    return settings.Settings(
        instance=found.instance,
        data_centre=found.data_centre,
        region=found.region,
        calls=_parse_optional_address(found.listen.calls),
        readiness=_parse_optional_address(found.listen.readiness),
        addresses=_parse_optional_address(found.listen.addresses),
        peers=settings.Address(host=found.host, port=peer_port),
        metrics=settings.Address(host=found.host, port=METRICS_PORT),
        seeds=tuple(
            settings.Address(host=parse_address(seed).host, port=peer_port)
            for seed in found.seeds
        ),
        store=parse_address(found.store.address),
        descriptors=found.limits.descriptors,
        cores=found.limits.core_share * found.limits.core_speed,
        link_rate=found.limits.link_megabits * BYTES_PER_MEGABIT,
        memory=int(found.limits.memory_megabytes * BYTES_PER_MEGABYTE),
        bounds=_build_bounds(found.bounds),
        heartbeat=(
            found.heartbeat_ms / MILLISECONDS_PER_SECOND
            or store_outages.DEFAULT_HEARTBEAT_SECONDS
        ),
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
        contact=found.contact_ms / MILLISECONDS_PER_SECOND,
        evacuate=(
            None
            if found.evacuate_ms is None
            else found.evacuate_ms / MILLISECONDS_PER_SECOND
        ),
        cold=_build_cold_bounds(found),
    )


def _build_cold_bounds(found: _Bounds) -> settings.ColdBounds | None:
    if found.cold_factor is None or found.cold_extra is None:
        return None
    return settings.ColdBounds(
        factor=found.cold_factor, extra=found.cold_extra
    )


def _parse_optional_address(text: str) -> settings.Address | None:
    return parse_address(text) if text else None
