"""Decides whether a request is taken, and on whose account."""

import random as random_module
from typing import Callable

from .. import outcomes
from . import call_deadlines
from . import calls
from . import codecs
from . import configurations
from . import deployment
from . import fingerprints
from . import inbound
from . import routes

#: Part of the time after which a removed key must not work that is kept as a
#: margin, for clocks that run at different rates.
REVOKE_MARGIN = 0.1
#: Age of the last confirmation, in seconds, up to which an unknown route or
#: key is taken as unknown to the newest configuration as well.
FRESH_SECONDS = 1.8
#: Seconds after which a caller is to come back while our configuration is
#: not known to be the newest.
COME_BACK = 0.5

NotRun = outcomes.NotRun
Reason = outcomes.Reason


class Admission:
    """Admits requests by the configuration in force.

    :param revoke_seconds: returns after how long a removed key must not
        work any more.
    """

    __slots__ = (
        '_codec',
        '_configuration',
        '_revoke_seconds',
        '_clock',
        '_random',
        '_stated',
    )

    def __init__(
        self,
        *,
        codec: codecs.Codec,
        configuration: configurations.ActiveConfiguration,
        revoke_seconds: Callable[[], float],
        clock: Callable[[], float],
        random: random_module.Random,
    ) -> None:
        self._codec = codec
        self._configuration = configuration
        self._revoke_seconds = revoke_seconds
        self._clock = clock
        self._random = random
        self._stated = call_deadlines.StatedTimeouts(clock=clock)

    def trusts_keys(self) -> bool:
        """Whether keys may be believed that the configuration holds."""
        longest = self._revoke_seconds() * (1.0 - REVOKE_MARGIN)
        return self.version_age() < longest

    @property
    def version(self) -> int:
        """The configuration in force, 0 for none."""
        return self._configuration.version

    async def admit(self, exchange: inbound.Exchange) -> calls.Call | NotRun:
        """Return the call, its body read, or why it is refused."""
        head = exchange.head
        try:
            facts = self._codec.read_request(head.headers)
        except ValueError as error:
            return NotRun(reason=Reason.MALFORMED, detail=str(error))
        exchange.request = facts.attempt_id
        config = self._configuration.current
        if config is None:
            return NotRun(
                reason=Reason.NO_BUNDLE,
                detail='no configuration is known yet',
                retry_after=COME_BACK,
            )
        route = self._configuration.routes.find(host=head.host, path=head.path)
        if route is None:
            return self._unknown(
                Reason.UNKNOWN_ROUTE, 'no route has this host and path'
            )
        customer = self._identify(config, route, facts)
        if isinstance(customer, NotRun):
            return customer
        seconds = route.timeout
        if facts.seconds is not None:
            seconds = min(seconds, facts.seconds)
        deadline = head.arrived + seconds
        body = await exchange.read_body(
            max_bytes=config.limits.body_bytes,
            seconds=deadline - self._clock(),
        )
        if isinstance(body, inbound.BodyFault):
            return _describe_fault(body)
        priority = route.priority
        if customer is not None and customer.priority is not None:
            priority = customer.priority
        return calls.Call(
            exchange=exchange,
            facts=facts,
            route=route,
            service=routes.pick_service(route=route, random=self._random),
            customer='' if customer is None else customer.name,
            priority=priority,
            body=body,
            deadline=deadline,
            first_asked_at=deadline
            - self._stated.find_longest(route=route.name, stated=seconds),
            last_event=facts.last_event,
            fingerprint=fingerprints.compute_fingerprint(
                head=head, customer=_name_holder(config, facts), body=body
            ),
            version=config.version,
            version_age=self.version_age(),
        )

    def _identify(
        self,
        config: deployment.Configuration,
        route: deployment.Route,
        facts: codecs.RequestFacts,
    ) -> deployment.Customer | NotRun | None:
        """Return whose key the request carries, ``None`` for nobody's."""
        if not config.requires_keys:
            return None
        customer = config.customers.get(facts.key) if facts.key else None
        trusted = self.trusts_keys()
        if route.public:
            return customer if trusted else None
        if not trusted:
            return NotRun(
                reason=Reason.STORE_AWAY,
                detail='keys cannot be checked at the moment',
                retry_after=COME_BACK,
            )
        if customer is not None:
            return customer
        if not facts.key:
            return self._unknown(
                Reason.NO_KEY, 'send your key as "Authorization: Bearer KEY"'
            )
        return self._unknown(Reason.UNKNOWN_KEY, 'the key is not known')

    def _unknown(self, reason: Reason, detail: str) -> NotRun:
        """Refuse what the newest configuration does not know.

        Ours may have been overtaken; a caller told "unknown" never comes
        back, though its route or key is there.
        """
        if self.version_age() <= FRESH_SECONDS:
            return NotRun(reason=reason, detail=detail)
        return NotRun(
            reason=Reason.STORE_AWAY,
            detail='the configuration may have been overtaken',
            retry_after=COME_BACK,
        )

    def version_age(self) -> float:
        """Return the seconds since our version was known to be the newest."""
        return self._clock() - self._configuration.confirmed_at


def _name_holder(
    config: deployment.Configuration, facts: codecs.RequestFacts
) -> str:
    """Return whose key a request carries, whether or not it is believed.

    On public routes a caller is nobody while keys cannot be checked; its
    requests are the same all the while.
    """
    holder = config.customers.get(facts.key)
    return '' if holder is None else holder.name


def _describe_fault(fault: inbound.BodyFault) -> NotRun:
    match fault:
        case inbound.BodyFault.TOO_LARGE:
            return NotRun(
                reason=Reason.BODY_TOO_LARGE, detail='the body is too large'
            )
        case inbound.BodyFault.TOO_SLOW:
            return NotRun(
                reason=Reason.BODY_TIMEOUT, detail='the body came too slowly'
            )
        case inbound.BodyFault.BROKEN:
            return NotRun(
                reason=Reason.MALFORMED, detail='the body cannot be read'
            )
