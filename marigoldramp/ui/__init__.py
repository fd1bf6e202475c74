"""The command line ``marigoldramp``."""

import sys
from typing import Sequence

import cyclopts

from .. import __version__
from . import agent
from . import audit
from . import bundle_check
from . import bundle_diff
from . import bundle_history
from . import bundle_key_caller
from . import bundle_key_operator
from . import bundle_roll
from . import bundle_sign
from . import bundle_submit
from . import commands
from . import entry
from . import exits
from . import gateway_release
from . import gateway_settings
from . import gateway_status
from . import settings_check
from . import settings_show
from . import status

COMMANDS: tuple[commands.Command | commands.Group, ...] = (
    entry.COMMAND,
    agent.COMMAND,
    commands.Group(
        name='bundle',
        help='Check, submit, sign and roll configuration bundles.',
        commands=(
            bundle_check.COMMAND,
            bundle_diff.COMMAND,
            bundle_submit.COMMAND,
            bundle_sign.COMMAND,
            bundle_roll.COMMAND,
            bundle_history.COMMAND,
            commands.Group(
                name='key',
                help="Make operators' keys and digests of caller keys.",
                commands=(
                    bundle_key_operator.COMMAND,
                    bundle_key_caller.COMMAND,
                ),
            ),
        ),
    ),
    status.COMMAND,
    audit.COMMAND,
    commands.Group(
        name='gateway',
        help="Look at entries on the users' platform.",
        commands=(
            gateway_status.COMMAND,
            gateway_release.COMMAND,
            gateway_settings.COMMAND,
        ),
    ),
    commands.Group(
        name='settings',
        help='Check and show settings files.',
        commands=(settings_check.COMMAND, settings_show.COMMAND),
    ),
)

_HELP = 'A load balancer for expert-parallel model groups and plain services.'


def make_application() -> cyclopts.App:
    """Return the application with all subcommands."""
    application = cyclopts.App(
        name='marigoldramp',
        help=_HELP,
        help_epilogue=exits.HELP,
        version=__version__,
        help_format='plaintext',
        result_action='return_value',
        print_error=True,
        exit_on_error=False,
    )
    for one in COMMANDS:
        _add(application, one)
    return application


def _add(
    application: cyclopts.App, one: commands.Command | commands.Group
) -> None:
    match one:
        case commands.Command():
            application.command(one.function, name=one.name, help=one.help)
        case commands.Group():
            group = cyclopts.App(name=one.name, help=one.help)
            for member in one.commands:
                _add(group, member)
            application.command(group)


def run(arguments: Sequence[str]) -> int:
    """Carry out a command line and return its exit code."""
    application = make_application()
    try:
        code = application(list(arguments))
    except cyclopts.CycloptsError:
        return exits.BAD_INPUT
    return code if isinstance(code, int) else exits.DONE


def main() -> None:
    """Run the program."""
    sys.exit(run(sys.argv[1:]))
