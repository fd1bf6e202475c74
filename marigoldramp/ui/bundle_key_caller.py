"""The subcommand that prints the digest of a caller key."""

import hashlib
import secrets
from typing import Annotated

import cyclopts

from . import commands
from . import exits
from . import output as output_module

_KEY_BYTES = 24


def show_digest(
    *,
    key: Annotated[
        str,
        cyclopts.Parameter(
            help='The caller key, as env:NAME or file:PATH; a new key is '
            'made and printed if this is not given.'
        ),
    ] = '',
    output: commands.Output = 'text',
) -> int:
    """Print the digest that stands for a caller key in a bundle."""
    from .. import credentials

    if not key:
        made = secrets.token_urlsafe(_KEY_BYTES)
        digest = hashlib.sha256(made.encode()).hexdigest()
        output_module.report_done(
            f'key: {made}\ndigest: {digest}',
            {'key': made, 'digest': digest},
            output,
        )
        return exits.DONE
    secret = credentials.read(key)
    if isinstance(secret, credentials.Missing):
        detail = f'--key: {secret.detail}'
        output_module.report_fault('bad_input', detail, output)
        return exits.BAD_INPUT
    digest = hashlib.sha256(secret).hexdigest()
    output_module.report_done(digest, {'digest': digest}, output)
    return exits.DONE


COMMAND = commands.Command(
    name='caller',
    help='Print the digest of a caller key for key_digests of a customer.',
    function=show_digest,
)
