"""From a caller's request to a call that is whole, known and allowed."""

import dataclasses
from typing import Any
from typing import Callable
from typing import MutableMapping

from . import asgi
from . import bundle
from . import callers
from . import configuration
from . import outcomes
from . import routes
from . import settings
from . import shares

RETRY_WITHOUT_BUNDLE = 1.0


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Intake:
    """A request that is whole, known and allowed, but not yet admitted."""

    call: str
    customer: bundle.Customer
    matched: routes.Matched
    wishes: callers.Wishes
    request: asgi.Request
    body: bytes
    deadline: float


class Reader:
    """Reads requests by the bundle in force."""

    __slots__ = (
        '_config',
        '_shares',
        '_settings',
        '_clock',
        '_routes',
        '_routes_number',
    )

    def __init__(
        self,
        *,
        config: configuration.Configuration,
        shares: shares.Shares,
        settings: settings.Entry,
        clock: Callable[[], float],
    ) -> None:
        self._config = config
        self._shares = shares
        self._settings = settings
        self._clock = clock
        self._routes: routes.RouteTable | None = None
        self._routes_number = 0

    async def read(
        self,
        *,
        call: str,
        scope: MutableMapping[str, Any],
        receive: asgi.Receive,
    ) -> Intake | outcomes.NotRun:
        """Read a whole request and check that it may be made."""
        table = self.find_routes()
        if table is None:
            return describe_no_bundle()
        request = asgi.read_head(scope)
        customer = callers.identify(request=request, config=self._config)
        if isinstance(customer, outcomes.NotRun):
            return customer
        body = await asgi.read_body(
            request=request,
            receive=receive,
            limit=self._settings.body_bytes,
            seconds=self._settings.body_timeout,
        )
        if isinstance(body, outcomes.NotRun):
            return body
        return self._match(call, table, customer, request, body)

    def _match(
        self,
        call: str,
        table: routes.RouteTable,
        customer: bundle.Customer,
        request: asgi.Request,
        body: bytes,
    ) -> Intake | outcomes.NotRun:
        matched = table.match(request=request, body=body)
        if isinstance(matched, outcomes.NotRun):
            return matched
        if matched.service.name not in customer.services:
            return outcomes.NotRun(
                reason=outcomes.Reason.NOT_ALLOWED,
                detail=f'the key may not call {matched.service.name}',
            )
        if self._shares.find(customer) == 0.0:
            return outcomes.NotRun(
                reason=outcomes.Reason.WRONG_INSTANCE,
                detail='ask for addresses; other entries serve this key',
                retry_after=0.0,
            )
        wishes = callers.read_wishes(request=request, route=matched.route)
        if isinstance(wishes, outcomes.NotRun):
            return wishes
        return Intake(
            call=call,
            customer=customer,
            matched=matched,
            wishes=wishes,
            request=request,
            body=body,
            deadline=self._clock() + wishes.seconds,
        )

    def find_routes(self) -> routes.RouteTable | None:
        """Return the routes of the bundle in force, made once for each."""
        in_force = self._config.in_force
        if in_force is None:
            return None
        if self._routes is None or self._routes_number != in_force.number:
            self._routes = routes.RouteTable(config=in_force)
            self._routes_number = in_force.number
        return self._routes


def describe_no_bundle() -> outcomes.NotRun:
    """Return the refusal of an entry that has no configuration."""
    return outcomes.NotRun(
        reason=outcomes.Reason.NO_BUNDLE,
        detail='this entry has no configuration yet',
        retry_after=RETRY_WITHOUT_BUNDLE,
    )
