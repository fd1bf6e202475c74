"""An event loop on virtual time, for tests of code that waits.

Whenever every task waits, the clock jumps to the next timer.  Minutes of
heartbeats pass in milliseconds, and always in the same order.  Only for code
that does not touch real sockets.
"""

import asyncio
import selectors

BACKEND = 'asyncio'


class _JumpingSelector(selectors.SelectSelector):
    """Lets the loop's clock jump instead of waiting for it."""

    def __init__(self):
        super().__init__()
        self.now = 0.0

    def select(self, timeout=None):
        ready = super().select(0)
        if ready:
            return ready
        if timeout is None:
            raise RuntimeError('every task waits and no timer is set')
        self.now += timeout
        return ready


class VirtualLoop(asyncio.SelectorEventLoop):
    """Event loop whose clock only moves when nothing else can."""

    def __init__(self):
        self._jumping = _JumpingSelector()
        super().__init__(self._jumping)

    def time(self):
        return self._jumping.now


def make_backend():
    """Return the value for an ``anyio_backend`` fixture."""
    return BACKEND, {'loop_factory': VirtualLoop}


def now():
    """Return the virtual time; works as a ``clock``."""
    return asyncio.get_running_loop().time()
