"""The subcommand that runs an agent."""

from .. import settings as settings_module
from . import commands


def run(*, settings: commands.SettingsPath) -> int:
    """Run until a signal asks for a planned stop."""
    # Imported here, as no other command needs the servers' libraries.
    from .. import agent
    from . import daemons

    return daemons.run(settings, settings_module.Role.AGENT, agent.run)


COMMAND = commands.Command(
    name='agent',
    help="Run an agent: it guards the one endpoint beside it.",
    function=run,
)
