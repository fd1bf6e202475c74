"""Keeps the failure of one task from ending its process.

An exception that no code expects would end the task group of the process, and
with it all requests in progress.
"""

from typing import Any
from typing import Awaitable
from typing import Callable

from absl import logging
import anyio
import anyio.abc

from . import logs

#: Pause before a failed task starts again; it doubles with each failure.
MIN_RESTART_SECONDS = 0.2
MAX_RESTART_SECONDS = 3.2

Function = Callable[..., Awaitable[Any]]


async def run_contained(function: Function, *arguments: Any) -> bool:
    """Run a function; return whether it ended without a failure."""
    try:
        await function(*arguments)
    except Exception:
        logging.exception(
            'task failed', extra=logs.fields(task=_find_name(function))
        )
        return False
    return True


class Supervisor:
    """Starts the tasks of a process in its task group.

    :param tasks: the task group of the process.
    :param note_failure: called with the name of each task that has failed.
    """

    __slots__ = ('_tasks', '_note_failure')

    def __init__(
        self,
        *,
        tasks: anyio.abc.TaskGroup,
        note_failure: Callable[[str], None] = lambda _: None,
    ) -> None:
        self._tasks = tasks
        self._note_failure = note_failure

    def start_soon(self, function: Function, *arguments: Any) -> None:
        """Run a task once."""
        self._tasks.start_soon(
            self._run, function, arguments, name=_find_name(function)
        )

    def keep_running(self, function: Function, *arguments: Any) -> None:
        """Run a task that starts again after a failure."""
        self._tasks.start_soon(
            self._run_again, function, arguments, name=_find_name(function)
        )

    async def _run(
        self, function: Function, arguments: tuple[Any, ...]
    ) -> bool:
        if await run_contained(function, *arguments):
            return True
        self._note_failure(_find_name(function))
        return False

    async def _run_again(
        self, function: Function, arguments: tuple[Any, ...]
    ) -> None:
        pause = MIN_RESTART_SECONDS
        began = anyio.current_time()
        while not await self._run(function, arguments):
            if anyio.current_time() - began > MAX_RESTART_SECONDS:
                pause = MIN_RESTART_SECONDS
            await anyio.sleep(pause)
            pause = min(MAX_RESTART_SECONDS, 2.0 * pause)
            began = anyio.current_time()


def _find_name(function: Function) -> str:
    """Return the name of a function or method, for logs and metrics."""
    return getattr(function, '__qualname__', type(function).__name__)
