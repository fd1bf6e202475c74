"""The subcommand that lets a blocked request run again."""

from typing import Annotated

import cyclopts

from . import commands
from . import exits
from . import output as output_module


def release_request(
    fingerprint: Annotated[
        str,
        cyclopts.Parameter(
            name='FINGERPRINT',
            help='Of the request, as "status --blocked" prints it.',
        ),
    ],
    address: Annotated[
        str,
        cyclopts.Parameter(
            name='ADDRESS',
            help='A gateway, as IP:PORT; it tells all others.',
        ),
    ],
    *,
    output: commands.Output = 'text',
) -> int:
    """Let requests run under which endpoints have ended.

    For one whose cause has been mended.  Endpoints that end under it from now
    on count anew.
    """
    import anyio

    from ..gateway import peer_exchange
    from ..platform import settings_file

    try:
        place = settings_file.parse_address(address)
    except ValueError as error:
        output_module.report_fault('bad_input', str(error), output)
        return exits.BAD_INPUT

    async def ask() -> bool | None:
        return await peer_exchange.release(
            address=place, fingerprint=fingerprint
        )

    match anyio.run(ask):
        case True:
            output_module.report_done('released', fingerprint, output)
            return exits.DONE
        case False:
            detail = f'{fingerprint} is not blocked'
        case None:
            detail = f'no answer from {address}'
    output_module.report_fault('refused', detail, output)
    return exits.REFUSED


COMMAND = commands.Command(
    name='release',
    help='Let a request run again that is blocked as endpoints ended by it.',
    function=release_request,
)
