"""An event loop whose time jumps to the next timer.

Experiments drive the real decision code, which waits with ``anyio``, through
minutes of traffic in seconds, and every run with one seed is the same.
"""

import asyncio
import selectors
from typing import Any
from typing import Awaitable
from typing import Callable
from typing import TypeVar

import anyio

T = TypeVar('T')


class _Jump(selectors.SelectSelector):
    """Lets time pass at once instead of waiting for input."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0

    def select(self, timeout: float | None = None) -> list[Any]:
        """Advance the clock by the wait; there is never any input."""
        if timeout is None:
            raise RuntimeError('every task waits and no timer is set')
        self.now += max(0.0, timeout)
        return []


class Loop(asyncio.SelectorEventLoop):
    """An asyncio loop in virtual time, which starts at 0."""

    def __init__(self) -> None:
        self._jump = _Jump()
        super().__init__(selector=self._jump)

    def time(self) -> float:
        """Return virtual seconds."""
        return self._jump.now


def drive(main: Callable[[], Awaitable[T]]) -> T:
    """Run a coroutine function to its end in virtual time."""
    return anyio.run(
        main,
        backend='asyncio',
        backend_options={'loop_factory': Loop},
    )


def clock() -> float:
    """Return the running loop's time."""
    return asyncio.get_running_loop().time()
