"""The subcommand that runs an entry."""

from .. import settings as settings_module
from . import commands


def run(*, settings: commands.SettingsPath) -> int:
    """Run until a signal asks for a planned stop."""
    # Imported here, as no other command needs the servers' libraries.
    from .. import entry
    from . import daemons

    return daemons.run(settings, settings_module.Role.ENTRY, entry.run)


COMMAND = commands.Command(
    name='entry',
    help="Run an entry: it takes callers' calls and routes them to agents.",
    function=run,
)
