"""Running one operation against the platform's store."""

from typing import Any
from typing import Awaitable
from typing import Callable
from typing import TypeVar

import anyio

from .. import operations
from .. import settings as settings_module
from .. import store
from . import commands
from . import exits
from . import output as output_module

T = TypeVar('T')

Work = Callable[[operations.Operations], Awaitable[T]]


def run(settings: settings_module.Settings, operator: str, work: Work[T]) -> T:
    """Run an operation and release the store's connections after it."""

    async def connect() -> T:
        plugin: Any = store.PlatformStore.find(settings.platform.store)
        platform: store.PlatformStore = plugin(settings=settings.platform)
        try:
            return await work(
                operations.Operations(
                    store=platform,
                    security=settings.security,
                    operator=operator,
                )
            )
        finally:
            await platform.close()

    return anyio.run(connect)


def report_failure(
    failure: operations.Failure, output: commands.OutputForm
) -> int:
    """Print why an operation was not done and return the exit code."""
    match failure:
        case operations.Refused():
            outcome, code = 'refused', exits.REFUSED
        case operations.PlatformAway():
            outcome, code = 'platform_unavailable', exits.PLATFORM_UNAVAILABLE
        case operations.OutcomeUncertain():
            outcome, code = 'outcome_uncertain', exits.OUTCOME_UNCERTAIN
    output_module.report_fault(outcome, failure.detail, output)
    return code
