"""The subcommand that makes an operator's key pair."""

import os
from typing import Annotated

import cyclopts

from . import commands
from . import exits
from . import output as output_module

_OWNER_ONLY = 0o600


def make_key(
    *,
    out: Annotated[
        str,
        cyclopts.Parameter(help='New file for the private key; keep it safe.'),
    ],
    output: commands.Output = 'text',
) -> int:
    """Write the private key to a new file and print the public one."""
    from .. import signatures

    pair = signatures.make_key_pair()
    try:
        # An existing file is never overwritten: it may hold the only copy
        # of a key that is in use.
        number = os.open(
            out, os.O_WRONLY | os.O_CREAT | os.O_EXCL, _OWNER_ONLY
        )
    except OSError as error:
        detail = f'{out}: {error.strerror}'
        output_module.report_fault('bad_input', detail, output)
        return exits.BAD_INPUT
    with os.fdopen(number, 'w') as file:
        file.write(pair.private + '\n')
    output_module.report_done(pair.public, {'public': pair.public}, output)
    return exits.DONE


COMMAND = commands.Command(
    name='operator',
    help='Make a key pair; the public key goes into security.operators.',
    function=make_key,
)
