"""The subcommand that checks a settings file."""

from typing import Annotated
from typing import Literal

import cyclopts

from .. import settings as settings_module
from . import commands
from . import exits
from . import output as output_module
from . import readers


def check(
    file: commands.SettingsFile,
    *,
    role: Annotated[
        Literal['entry', 'agent', 'operator'],
        cyclopts.Parameter(help='For whom the settings have to suffice.'),
    ] = 'operator',
    output: commands.Output = 'text',
) -> int:
    """Read the file and print every finding with line and column."""
    known = readers.read_settings(file, settings_module.Role(role), output)
    if known is None:
        return exits.BAD_INPUT
    text = f'{file}: no findings; the settings suffice for role {role}'
    output_module.report_done(text, {'role': role}, output)
    return exits.DONE


COMMAND = commands.Command(
    name='check',
    help='Check a settings file.',
    function=check,
)
