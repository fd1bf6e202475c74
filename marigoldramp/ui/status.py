"""The subcommand that asks instances for their state."""

from typing import Annotated
from typing import Any

import cyclopts

from .. import settings as settings_module
from . import commands
from . import exits
from . import output as output_module
from . import readers


def show_status(
    addresses: Annotated[
        list[str] | None,
        cyclopts.Parameter(
            name='ADDRESS',
            negative=(),
            help='Instances to ask, as IP:PORT of their calls; all of the '
            "platform's list if none is given.",
        ),
    ] = None,
    *,
    settings: commands.SettingsPath,
    peers: Annotated[
        bool,
        cyclopts.Parameter(
            negative=(), help="Show each instance's view of its peers too."
        ),
    ] = False,
    output: commands.Output = 'text',
) -> int:
    """Print bundle, load, leaving and alarms of instances."""
    import anyio

    from .. import credentials
    from . import status_calls

    known = readers.read_settings(
        settings, settings_module.Role.OPERATOR, output
    )
    if known is None:
        return exits.BAD_INPUT
    key = credentials.read(known.security.fleet_key)
    if isinstance(key, credentials.Missing):
        detail = f'security.fleet_key: {key.detail}'
        output_module.report_fault('bad_input', detail, output)
        return exits.BAD_INPUT
    answers = anyio.run(status_calls.ask_all, known, key, addresses or [])
    if isinstance(answers, status_calls.NoList):
        output_module.report_fault(
            'platform_unavailable', answers.detail, output
        )
        return exits.PLATFORM_UNAVAILABLE
    output_module.report_done(_describe(answers, peers), answers, output)
    silent = any(answer.status is None for answer in answers)
    return exits.REFUSED if silent else exits.DONE


def _describe(answers: list[Any], peers: bool) -> str:
    head = (
        'INSTANCE',
        'ROLE',
        'DATA CENTRE',
        'BUNDLE',
        'STATE',
        'CALLS',
        'PEERS',
        'ALARMS',
    )
    rows = [_make_row(answer) for answer in answers]
    lines = [output_module.format_table(head, rows)]
    for answer in answers:
        if answer.status is None:
            continue
        for alarm in answer.status.alarms:
            lines.append(
                f'{answer.status.instance}: {alarm.name}: {alarm.detail}'
            )
        if peers:
            lines.append(_describe_peers(answer.status))
    return '\n'.join(lines)


def _make_row(answer: Any) -> tuple[str, ...]:
    status = answer.status
    if status is None:
        return (answer.address, '-', '-', '-', answer.fault, '-', '-', '-')
    state = 'ready' if status.ready else 'not ready'
    return (
        status.instance,
        status.role,
        status.data_centre,
        str(status.bundle),
        'leaving' if status.leaving else state,
        str(status.in_flight),
        str(len(status.peers)),
        str(len(status.alarms)),
    )


def _describe_peers(status: Any) -> str:
    head = (
        f'PEER OF {status.instance}',
        'ROLE',
        'DATA CENTRE',
        'SERVICE',
        'STATE',
        'BUNDLE',
        'RUNNING',
        'QUEUED',
    )
    rows = [
        (
            peer.instance,
            peer.role,
            peer.data_centre,
            peer.service or '-',
            'leaving' if peer.leaving else peer.state,
            str(peer.bundle),
            _show(peer.running),
            _show(peer.queued),
        )
        for peer in status.peers
    ]
    return '\n' + output_module.format_table(head, rows)


def _show(value: int | None) -> str:
    return '-' if value is None else str(value)


COMMAND = commands.Command(
    name='status',
    help='Ask instances for bundle, load, peers, leaving and alarms.',
    function=show_status,
)
