"""Reading a bundle file and checking it as a whole.

Types and bounds of single values are checked by the data classes; here come
the checks between values.  They run on whatever items are sound, so that an
operator sees every fault of a file in one round.
"""

import difflib
import re
from typing import Any
from typing import Iterable
from typing import Sequence

from . import bundle
from . import documents
from . import findings
from . import plugins
from . import route_checks
from . import settings_checks

Checked = documents.Loaded[bundle.Bundle]
Path = tuple[str | int, ...]

KEY_DIGEST = re.compile(r'[0-9a-f]{64}')
LONGEST_NOTE = 4096

_SHAPES: dict[str, type[Any]] = {
    'services': bundle.Service,
    'routes': bundle.Route,
    'groups': bundle.Group,
    'customers': bundle.Customer,
}


def read(*, path: str) -> Checked:
    """Read a bundle file; every fault is a finding with its place."""
    text = documents.read_file(path)
    if isinstance(text, findings.Finding):
        return documents.Loaded(value=None, findings=(text,), source=path)
    return load(text=text, source=path)


def load(*, text: str, source: str) -> Checked:
    """Read a bundle's text; every fault is a finding with its place."""
    loaded = documents.load(text=text, source=source, shape=bundle.Bundle)
    found = sorted({*loaded.findings, *check(loaded)})
    return documents.Loaded(
        value=None if found else loaded.value,
        findings=tuple(found),
        tree=loaded.tree,
        source=source,
    )


def check(loaded: Checked) -> tuple[findings.Finding, ...]:
    """Report what is wrong between the values of a bundle."""
    checks = _Checks(loaded=loaded)
    checks.check_note()
    checks.check_names()
    checks.check_services()
    checks.check_groups()
    checks.check_customers()
    checks.check_keys()
    checks.check_routes()
    return tuple(sorted(checks.found))


class _Checks:
    """Collects findings about one bundle."""

    __slots__ = ('_items', '_loaded', '_services', 'found')

    def __init__(self, *, loaded: Checked) -> None:
        self.found: list[findings.Finding] = []
        self._loaded = loaded
        self._items = {
            section: _read_items(loaded, section) for section in _SHAPES
        }
        self._services = _read_names(loaded, 'services')

    def sound(self, section: str) -> list[tuple[int, Any]]:
        """Return the sound items of a section with their indices."""
        return [
            (index, item)
            for index, item in enumerate(self._items[section])
            if item is not None
        ]

    def find(self, message: str, *path: str | int) -> None:
        """Add a finding about the value at a path."""
        self.found.append(self._loaded.finding(message, *path))

    def refer(self, name: str, *path: str | int) -> None:
        """Check that a service of that name stands in the bundle."""
        if name not in self._services:
            hint = suggest(name, self._services)
            self.find(f'there is no service {name!r}{hint}', *path)

    def check_note(self) -> None:
        value = self._loaded.value
        if value is not None and len(value.note) > LONGEST_NOTE:
            self.find(f'is longer than {LONGEST_NOTE} characters', 'note')

    def check_names(self) -> None:
        for section in ('services', 'groups', 'customers'):
            first: dict[str, int] = {}
            for index, item in self.sound(section):
                path = (section, index, 'name')
                if not settings_checks.NAME.fullmatch(item.name):
                    self.find(settings_checks.NAME_FORM, *path)
                if item.name in first:
                    line = self._loaded.place(section, first[item.name]).line
                    self.find(
                        f'the name {item.name!r} stands twice, first in line '
                        f'{line}',
                        *path,
                    )
                first.setdefault(item.name, index)

    def check_services(self) -> None:
        from . import endpoint_kinds
        from . import routing

        for index, service in self.sound('services'):
            path = ('services', index)
            self._check_plugin(
                endpoint_kinds.EndpointKind, service.kind, *path, 'kind'
            )
            self._check_plugin(
                routing.RoutingPolicy, service.routing, *path, 'routing'
            )

    def _check_plugin(
        self, kind: type[plugins.Plugin], name: str, *path: str | int
    ) -> None:
        known = kind.names()
        if name not in known:
            self.find(
                f'there is no such plug-in{suggest(name, known)}; known: '
                + ', '.join(known),
                *path,
            )

    def check_groups(self) -> None:
        from . import placement

        for index, group in self.sound('groups'):
            self._check_plugin(
                placement.RebalancingPolicy,
                group.rebalancing,
                'groups',
                index,
                'rebalancing',
            )
            self.refer(group.service, 'groups', index, 'service')
            places = group.ranks * group.slots
            if places < group.experts:
                self.find(
                    f'{group.ranks} ranks of {group.slots} slots hold '
                    f'{places} experts, not {group.experts}',
                    'groups',
                    index,
                    'slots',
                )

    def check_customers(self) -> None:
        for index, customer in self.sound('customers'):
            for position, name in enumerate(customer.services):
                self.refer(name, 'customers', index, 'services', position)

    def check_routes(self) -> None:
        self.found += route_checks.check(
            self._loaded, self._items['services'], self._items['routes']
        )
        for index, route in self.sound('routes'):
            self.refer(route.service, 'routes', index, 'service')

    def check_keys(self) -> None:
        # A key that two customers share would let one call as the other,
        # and both would use up one limit.
        owners: dict[str, str] = {}
        for index, customer in self.sound('customers'):
            for position, digest in enumerate(customer.key_digests):
                path = ('customers', index, 'key_digests', position)
                if not KEY_DIGEST.fullmatch(digest):
                    self.find(
                        'must be a SHA-256 digest of 64 lower-case '
                        'hexadecimal digits, never the key itself',
                        *path,
                    )
                if digest in owners:
                    self.find(
                        f'the customer {owners[digest]!r} has this key', *path
                    )
                owners.setdefault(digest, customer.name)


def suggest(name: str, known: Iterable[str]) -> str:
    """Return a hint at the nearest known name, if one is near."""
    near = difflib.get_close_matches(name, list(known), n=1)
    return f'; did you mean {near[0]!r}?' if near else ''


def _read_items(loaded: Checked, section: str) -> Sequence[Any]:
    if loaded.value is not None:
        items: Sequence[Any] = getattr(loaded.value, section)
        return items
    return documents.read_items(loaded, section, _SHAPES[section])


def _read_names(loaded: Checked, section: str) -> set[str]:
    """Return the names of a section's items, of unsound ones as well.

    A service that has a fault of its own is not unknown to its routes.
    """
    if loaded.tree is None:
        return set()
    plain = loaded.tree.find((section,)).plain()
    if not isinstance(plain, list):
        return set()
    return {
        item['name']
        for item in plain
        if isinstance(item, dict) and isinstance(item.get('name'), str)
    }
