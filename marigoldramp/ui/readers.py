"""Reading what commands are given; faults are printed with their places."""

from .. import bundle
from .. import settings as settings_module
from .. import settings_files
from . import commands
from . import output as output_module


def read_settings(
    path: str, role: settings_module.Role, output: commands.OutputForm
) -> settings_module.Settings | None:
    """Return settings that suffice for a role, or print the findings."""
    loaded = settings_files.read(path=path)
    found = loaded.findings
    if loaded.value is not None:
        found = settings_files.check_role(loaded.value, role, loaded)
    if found:
        output_module.report_findings(found, output)
        return None
    return loaded.value


def read_bundle(
    path: str, output: commands.OutputForm
) -> bundle.Bundle | None:
    """Return a bundle from its file, or print the findings."""
    from .. import bundle_checks

    loaded = bundle_checks.read(path=path)
    if loaded.value is None:
        output_module.report_findings(loaded.findings, output)
    return loaded.value
