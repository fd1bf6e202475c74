"""The subcommand that checks a bundle file."""

from . import commands
from . import exits
from . import output as output_module
from . import readers


def check(
    file: commands.BundlePath, *, output: commands.Output = 'text'
) -> int:
    """Read the file and print every finding with line and column."""
    whole = readers.read_bundle(file, output)
    if whole is None:
        return exits.BAD_INPUT
    text = (
        f'{file}: bundle {whole.number} with '
        f'{output_module.count(len(whole.services), "service")}, '
        f'{output_module.count(len(whole.routes), "route")}, '
        f'{output_module.count(len(whole.groups), "group")} and '
        f'{output_module.count(len(whole.customers), "customer")}; '
        'no findings'
    )
    output_module.report_done(text, {'number': whole.number}, output)
    return exits.DONE


COMMAND = commands.Command(
    name='check',
    help='Check a bundle file; nothing is sent anywhere.',
    function=check,
)
