"""The subcommand that checks and shows a gateway's settings file."""

from typing import Annotated

import cyclopts

from . import commands
from . import exits
from . import output as output_module


def show_settings(
    file: Annotated[
        str,
        cyclopts.Parameter(
            name='FILE', help="The platform's settings file of an instance."
        ),
    ],
    *,
    output: commands.Output = 'text',
) -> int:
    """Print the settings that a gateway takes from the file.

    A file that is not sound is refused with file, place and reason, as the
    gateway itself refuses it.
    """
    import msgspec
    import yaml

    from ..platform import settings_file

    try:
        found = settings_file.read(file)
    except (OSError, ValueError) as error:
        output_module.report_fault('bad_input', str(error), output)
        return exits.BAD_INPUT
    plain = msgspec.to_builtins(found)
    text = yaml.safe_dump(plain, sort_keys=False).rstrip()
    output_module.report_done(text, plain, output)
    return exits.DONE


COMMAND = commands.Command(
    name='settings',
    help="Check and print the settings of the platform's file.",
    function=show_settings,
)
