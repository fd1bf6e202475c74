"""Checks of settings that reach across fields or depend on the role."""

import collections
import ipaddress
import re
import urllib.parse

from . import credentials
from . import documents
from . import findings
from . import plugins
from . import settings as settings_module
from . import store

PUBLIC_KEY = re.compile(r'[0-9a-f]{64}')
#: Names of instances, data centres and operators become part of object
#: names in the platform's store and of addresses of its HTTP API.
NAME = re.compile(r'[A-Za-z0-9][A-Za-z0-9._-]{0,63}')

NAME_FORM = (
    'must be up to 64 letters, digits, dots, hyphens or underscores, '
    'beginning with a letter or digit'
)

Findings = tuple[findings.Finding, ...]


class _Checks:
    """Collects findings about one settings file."""

    __slots__ = ('_found', '_loaded', '_settings')

    def __init__(
        self,
        *,
        settings: settings_module.Settings,
        loaded: documents.Loaded[settings_module.Settings],
    ) -> None:
        self._settings = settings
        self._loaded = loaded
        self._found: list[findings.Finding] = []

    def find(self, message: str, *path: str | int) -> None:
        self._found.append(self._loaded.finding(message, *path))

    def found(self) -> Findings:
        return tuple(sorted(self._found))

    def names(self) -> None:
        settings = self._settings
        for field in ('instance', 'data_centre'):
            name = getattr(settings, field)
            if name and not NAME.fullmatch(name):
                self.find(NAME_FORM, field)

    def host(self) -> None:
        try:
            ipaddress.ip_address(self._settings.host)
        except ValueError:
            self.find('must be an IP address', 'host')

    def address(self, text: str, *path: str) -> None:
        if text and not _is_address(text):
            self.find('must read http://HOST:PORT or https://HOST', *path)

    def security(self) -> None:
        security = self._settings.security
        if security.fleet_key and not credentials.is_reference(
            security.fleet_key
        ):
            self.find(
                'must name the secret as env:NAME or file:PATH',
                'security',
                'fleet_key',
            )
        owners = collections.defaultdict(list)
        for name, key in security.operators.items():
            owners[key.lower()].append(name)
            if not NAME.fullmatch(name):
                self.find(NAME_FORM, 'security', 'operators', name)
            if not PUBLIC_KEY.fullmatch(key.lower()):
                self.find(
                    'must be an Ed25519 public key of 64 hexadecimal digits',
                    'security',
                    'operators',
                    name,
                )
        for names in owners.values():
            # One person under two names could sign twice.
            for name in names[1:]:
                self.find(
                    f'has the same key as {names[0]!r}',
                    'security',
                    'operators',
                    name,
                )

    def membership(self) -> None:
        membership = self._settings.membership
        if membership.suspect_after <= membership.heartbeat:
            self.find(
                'must be longer than membership.heartbeat',
                'membership',
                'suspect_after',
            )
        for index, seed in enumerate(membership.seeds):
            if not _is_seed(seed):
                self.find('must read IP:PORT', 'membership', 'seeds', index)
        if membership.table < membership.peers:
            self.find(
                'must not be below membership.peers', 'membership', 'table'
            )

    def agent(self) -> None:
        agent = self._settings.agent
        if agent.answer_bytes > agent.answers_bytes:
            self.find(
                'must not exceed agent.answers_bytes', 'agent', 'answer_bytes'
            )
        if agent.ranks and not agent.group:
            self.find('needs agent.group', 'agent', 'ranks')
        if len(set(agent.ranks)) < len(agent.ranks):
            self.find('names a rank twice', 'agent', 'ranks')
        for index, rank in enumerate(agent.ranks):
            if rank < 0:
                self.find('must not be negative', 'agent', 'ranks', index)

    def agent_kind(self) -> None:
        from . import endpoint_kinds

        kind = self._settings.agent.kind
        self.plugin(endpoint_kinds.EndpointKind, kind, 'agent', 'kind')

    def needs(self, text: str, *path: str) -> None:
        if not text:
            self.find('is required for this role', *path)

    def plugin(
        self, kind: type[plugins.Plugin], name: str, *path: str
    ) -> None:
        known = kind.names()
        if name not in known:
            self.find(
                'there is no such plug-in; known: ' + ', '.join(known), *path
            )

    def sign_offs(self) -> None:
        security = self._settings.security
        if security.sign_offs > len(security.operators):
            self.find(
                f'asks for {security.sign_offs} operators, but '
                f'security.operators names {len(security.operators)}; no '
                'bundle could ever be accepted',
                'security',
                'sign_offs',
            )


def _is_address(text: str) -> bool:
    try:
        parts = urllib.parse.urlsplit(text)
        port_is_valid = parts.port is None or parts.port > 0
    except ValueError:
        return False
    if parts.scheme not in ('http', 'https') or not parts.hostname:
        return False
    return port_is_valid


def _is_seed(text: str) -> bool:
    host, _, port = text.rpartition(':')
    try:
        ipaddress.ip_address(host.strip('[]'))
    except ValueError:
        return False
    return port.isascii() and port.isdigit() and 0 < int(port) < 65536


def check_form(
    settings: settings_module.Settings,
    loaded: documents.Loaded[settings_module.Settings],
) -> Findings:
    """Report values that are wrong in whatever role they are used."""
    checks = _Checks(settings=settings, loaded=loaded)
    checks.names()
    checks.host()
    checks.address(settings.platform.address, 'platform', 'address')
    checks.address(settings.agent.endpoint, 'agent', 'endpoint')
    checks.address(settings.metrics.otlp_endpoint, 'metrics', 'otlp_endpoint')
    checks.security()
    checks.membership()
    checks.agent()
    return checks.found()


def check_role(
    settings: settings_module.Settings,
    role: settings_module.Role,
    loaded: documents.Loaded[settings_module.Settings],
) -> Findings:
    """Report what the role needs and the settings lack."""
    checks = _Checks(settings=settings, loaded=loaded)
    checks.needs(settings.platform.address, 'platform', 'address')
    checks.plugin(
        store.PlatformStore, settings.platform.store, 'platform', 'store'
    )
    checks.sign_offs()
    if role != 'operator':
        checks.needs(settings.instance, 'instance')
        checks.needs(settings.data_centre, 'data_centre')
        checks.needs(settings.security.fleet_key, 'security', 'fleet_key')
    if role == 'agent':
        checks.needs(settings.agent.service, 'agent', 'service')
        checks.needs(settings.agent.endpoint, 'agent', 'endpoint')
        checks.agent_kind()
    return checks.found()
