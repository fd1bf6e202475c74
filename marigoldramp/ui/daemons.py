"""What the subcommands ``entry`` and ``agent`` share."""

from typing import Awaitable
from typing import Callable

import anyio

from .. import credentials
from .. import logs
from .. import settings as settings_module
from . import exits
from . import readers

Run = Callable[[settings_module.Settings], Awaitable[int]]


def run(path: str, role: settings_module.Role, program: Run) -> int:
    """Read the settings, then run a program until it is stopped."""
    settings = readers.read_settings(path, role, 'text')
    if settings is None:
        return exits.BAD_INPUT
    logs.configure(settings=settings.logging, instance=settings.instance)
    key = credentials.read(settings.security.fleet_key)
    if isinstance(key, bytes):
        logs.redactor.learn(key)
    return anyio.run(program, settings)
