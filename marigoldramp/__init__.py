"""A load balancer for expert-parallel model groups and plain services."""

import os

__version__ = '0.1.0'

# The gRPC library prints a line for each connection that a peer ends, past
# the program's own log and between its JSON lines.  It reads this when it is
# first imported, so it has to be set before any module that uses it.
os.environ.setdefault('GRPC_VERBOSITY', 'ERROR')
