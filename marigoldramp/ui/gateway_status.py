"""The subcommand that asks gateways for their state."""

from typing import Annotated
from typing import TYPE_CHECKING

import cyclopts

from . import commands
from . import exits
from . import output as output_module

if TYPE_CHECKING:
    from ..gateway import outbound
    from ..gateway import status as status_module


def show_status(
    addresses: Annotated[
        list[str],
        cyclopts.Parameter(
            name='ADDRESS',
            negative=(),
            help='Gateways to ask, as IP:PORT; "peers" of the settings.',
        ),
    ],
    *,
    endpoints: Annotated[
        bool,
        cyclopts.Parameter(
            negative=(), help='Show what each one believes of endpoints.'
        ),
    ] = False,
    peers: Annotated[
        bool,
        cyclopts.Parameter(
            negative=(), help="Show each one's view of its peers."
        ),
    ] = False,
    blocked: Annotated[
        bool,
        cyclopts.Parameter(
            negative=(),
            help='Show the requests that are sent to no endpoint, as '
            'endpoints end by them.',
        ),
    ] = False,
    output: commands.Output = 'text',
) -> int:
    """Print configuration, load, queues and leadership of gateways."""
    import anyio

    from ..platform import settings_file

    try:
        places = [settings_file.parse_address(text) for text in addresses]
    except ValueError as error:
        output_module.report_fault('bad_input', str(error), output)
        return exits.BAD_INPUT
    answers = anyio.run(_ask, places)
    text = _describe(
        addresses, answers, endpoints=endpoints, peers=peers, blocked=blocked
    )
    output_module.report_done(text, answers, output)
    return exits.REFUSED if None in answers else exits.DONE


async def _ask(
    places: 'list[outbound.Address]',
) -> 'list[status_module.Status | None]':
    """Return what each gateway answered, in the order of the addresses."""
    import anyio

    from ..gateway import peer_exchange

    answers: list[status_module.Status | None] = [None] * len(places)

    async def ask_one(index: int) -> None:
        answers[index] = await peer_exchange.fetch_status(
            address=places[index]
        )

    async with anyio.create_task_group() as tasks:
        for index in range(len(places)):
            tasks.start_soon(ask_one, index)
    return answers


def _describe(
    addresses: list[str],
    answers: 'list[status_module.Status | None]',
    *,
    endpoints: bool,
    peers: bool,
    blocked: bool,
) -> str:
    head = (
        'INSTANCE',
        'DATA CENTRE',
        'STATE',
        'VERSION',
        'AGE',
        'STORE AGE',
        'RUNNING',
        'WAITING',
        'PEERS',
        'ENDPOINTS',
        'LEADS',
        'EVACUATED',
    )
    rows = [
        _make_row(address, answer)
        for address, answer in zip(addresses, answers)
    ]
    parts = [output_module.format_table(head, rows)]
    for answer in answers:
        if answer is not None and endpoints:
            parts.append(_describe_endpoints(answer))
        if answer is not None and peers:
            parts.append(_describe_peers(answer))
        if answer is not None and blocked:
            parts.append(_describe_blocked(answer))
    return '\n\n'.join(parts)


def _make_row(
    address: str, status: 'status_module.Status | None'
) -> tuple[str, ...]:
    if status is None:
        return (address, '-', 'no answer', *['-'] * 9)
    state = 'ready' if status.ready else 'not ready'
    return (
        status.instance,
        status.data_centre,
        'leaving' if status.leaving else state,
        str(status.version),
        _show_age(status.version_age),
        'by peers' if status.relies else _show_age(status.store_age),
        str(status.running),
        str(sum(queue.waiting for queue in status.queues)),
        str(sum(peer.state == 'ready' for peer in status.peers)),
        str(sum(one.state == 'open' for one in status.endpoints)),
        ','.join(status.leads) or '-',
        _show_evacuated(status.evacuated),
    )


def _show_evacuated(data_centres: tuple[str, ...] | None) -> str:
    if data_centres is None:
        return 'not known'
    return ','.join(data_centres) or '-'


def _describe_endpoints(status: 'status_module.Status') -> str:
    head = (
        f'ENDPOINT OF {status.instance}',
        'SERVICE',
        'DATA CENTRE',
        'STATE',
        'OWN',
        'ELSEWHERE',
        'ERRORS',
        'SLOWNESS',
        'LIMIT',
        'SHARE',
        'COLD',
    )
    rows = [
        (
            one.identity,
            one.service,
            one.data_centre,
            one.state,
            str(one.own),
            str(one.elsewhere),
            f'{one.errors:.2f}',
            f'{one.slowness:.1f}',
            _show_rate(one.rate_limit),
            _show_rate(one.rate_share),
            _show_cold(one.cold_seconds),
        )
        for one in status.endpoints
    ]
    return output_module.format_table(head, rows)


def _show_rate(rate: float | None) -> str:
    return '-' if rate is None else f'{rate:.2f}/s'


def _show_cold(seconds: float | None) -> str:
    return '-' if seconds is None else f'{seconds:.1f} s'


def _describe_peers(status: 'status_module.Status') -> str:
    head = (
        f'PEER OF {status.instance}',
        'DATA CENTRE',
        'STATE',
        'VERSION',
        'HEARD',
        'EACH',
        'CALLERS',
    )
    rows = [
        (
            peer.instance,
            peer.data_centre,
            peer.state,
            str(peer.version),
            _show_age(peer.heard_age),
            f'{peer.period:.1f} s',
            _show_part(peer.address_share),
        )
        for peer in status.peers
    ]
    return output_module.format_table(head, rows)


def _show_part(part: float | None) -> str:
    return '-' if part is None else f'{100.0 * part:.1f}%'


def _describe_blocked(status: 'status_module.Status') -> str:
    head = (f'BLOCKED AT {status.instance}', 'ENDS', 'SECONDS LEFT')
    rows = [
        (one.fingerprint, str(one.ends), f'{one.seconds:.0f}')
        for one in status.blocked
    ]
    return output_module.format_table(head, rows)


def _show_age(seconds: float | None) -> str:
    return 'never' if seconds is None else f'{seconds:.1f} s'


COMMAND = commands.Command(
    name='status',
    help='Ask gateways for configuration, load, queues and leadership.',
    function=show_status,
)
