"""The subcommand that prints settings as they are in force."""

import dataclasses

from .. import settings_files
from . import commands
from . import exits
from . import output as output_module


def show(
    file: commands.SettingsFile, *, output: commands.Output = 'text'
) -> int:
    """Print every setting, with its default where the file has none.

    Secrets stay references, as they do in the file.
    """
    import msgspec
    import yaml

    loaded = settings_files.read(path=file)
    if loaded.value is None:
        output_module.report_findings(loaded.findings, output)
        return exits.BAD_INPUT
    plain = msgspec.to_builtins(dataclasses.asdict(loaded.value))
    text = yaml.safe_dump(plain, sort_keys=False).rstrip()
    output_module.report_done(text, plain, output)
    return exits.DONE


COMMAND = commands.Command(
    name='show',
    help='Print the settings of a file laid over the defaults.',
    function=show,
)
