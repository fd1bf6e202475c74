"""What a subcommand is: an object with a name, a help text and a function."""

import dataclasses
from typing import Annotated
from typing import Callable
from typing import Literal

import cyclopts


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Command:
    """One subcommand.

    :ivar function: takes the arguments and returns the exit code.
    """

    name: str
    help: str
    function: Callable[..., int]


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Group:
    """Subcommands that share a first word."""

    name: str
    help: str
    commands: 'tuple[Command | Group, ...]'


SettingsPath = Annotated[
    str,
    cyclopts.Parameter(
        name=['--settings', '-s'],
        env_var='MARIGOLDRAMP_SETTINGS',
        help='Settings file (YAML).',
    ),
]

OperatorName = Annotated[
    str,
    cyclopts.Parameter(
        name='--operator',
        env_var='MARIGOLDRAMP_OPERATOR',
        help='Your name, as in security.operators of the settings.',
    ),
]

OutputForm = Literal['text', 'json']

Output = Annotated[
    OutputForm,
    cyclopts.Parameter(
        name='--output', help='Form of the output: text, or json for scripts.'
    ),
]

SettingsFile = Annotated[
    str, cyclopts.Parameter(name='FILE', help='Settings file (YAML).')
]

Days = Annotated[
    int,
    cyclopts.Parameter(
        help='How many days to go back, today included.',
        validator=cyclopts.validators.Number(gte=1, lte=400),
    ),
]

Most = Annotated[
    int,
    cyclopts.Parameter(
        help='Most lines to print.',
        validator=cyclopts.validators.Number(gte=1, lte=10_000),
    ),
]

BundlePath = Annotated[
    str, cyclopts.Parameter(name='FILE', help='Bundle file (YAML).')
]

Digest = Annotated[
    str,
    cyclopts.Parameter(
        name='DIGEST', help='Digest of the proposal, as submit printed it.'
    ),
]
