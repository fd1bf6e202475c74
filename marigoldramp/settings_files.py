"""Reads settings files: laid over the defaults, checked, each fault placed."""

import dataclasses
import functools
import importlib.resources

from . import documents
from . import findings
from . import node_reader
from . import nodes
from . import settings as settings_module
from . import settings_checks


def read(*, path: str) -> documents.Loaded[settings_module.Settings]:
    """Read a settings file laid over the defaults; faults are findings."""
    text = documents.read_file(path)
    if isinstance(text, findings.Finding):
        return documents.Loaded(value=None, findings=(text,), source=path)
    loaded = documents.load(
        text=text,
        source=path,
        shape=settings_module.Settings,
        under=read_defaults(),
    )
    value = loaded.value or _repair(loaded)
    if value is None:
        return loaded
    faulty = {one.field for one in loaded.findings}
    found = [
        one
        for one in settings_checks.check_form(value, loaded)
        if one.field not in faulty
    ]
    if not found:
        return loaded
    both = tuple(sorted([*loaded.findings, *found]))
    return dataclasses.replace(loaded, value=None, findings=both)


def _repair(
    loaded: documents.Loaded[settings_module.Settings],
) -> settings_module.Settings | None:
    """Return the settings with defaults in place of what is faulty.

    They serve only to find the remaining faults, so that an operator learns
    of all in one round.
    """
    if loaded.tree is None or not isinstance(loaded.tree.value, dict):
        return None
    sound = loaded.tree
    for one in loaded.findings:
        sound = _drop(sound, one.field.split('.'))
    whole = documents.merge(under=read_defaults(), over=sound)
    return documents.convert(whole, settings_module.Settings)


def _drop(node: nodes.Node, path: list[str]) -> nodes.Node:
    """Return a tree without the member at a path."""
    if not isinstance(node.value, dict) or path[0] not in node.value:
        return node
    members = dict(node.value)
    member = members.pop(path[0])
    if len(path) > 1:
        inner = _drop(member.node, path[1:])
        members[path[0]] = nodes.Member(place=member.place, node=inner)
    return nodes.Node(place=node.place, value=members)


def check_role(
    settings: settings_module.Settings,
    role: settings_module.Role | str,
    loaded: documents.Loaded[settings_module.Settings] | None = None,
) -> tuple[findings.Finding, ...]:
    """Report what a role needs and the settings do not give.

    :param loaded: as returned by :func:`read`, for the findings' places.
    """
    return settings_checks.check_role(
        settings,
        settings_module.Role(role),
        loaded or _without_places(settings),
    )


def _without_places(
    settings: settings_module.Settings,
) -> documents.Loaded[settings_module.Settings]:
    return documents.Loaded(value=settings, findings=(), source='settings')


@functools.cache
def read_defaults() -> nodes.Node:
    """Return the tree of ``settings_default.yaml``."""
    name = 'settings_default.yaml'
    package = importlib.resources.files(__package__)
    text = package.joinpath(name).read_text(encoding='utf-8')
    tree = node_reader.read(text=text, source=name)
    assert tree.root is not None and not tree.findings
    return tree.root
