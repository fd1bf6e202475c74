"""Fails a test whose event loop stands still, in place of hanging it."""

import contextlib
import signal

#: Far more than any test needs that waits for nothing.
MAX_SECONDS = 30.0


@contextlib.contextmanager
def fail_if_stuck(seconds=MAX_SECONDS):
    """Raise in the running code if it does not end within some seconds."""

    def fail(number, frame):
        raise TimeoutError('the code did not end')

    before = signal.signal(signal.SIGALRM, fail)
    signal.setitimer(signal.ITIMER_REAL, seconds)
    try:
        yield
    finally:
        signal.setitimer(signal.ITIMER_REAL, 0.0)
        signal.signal(signal.SIGALRM, before)
