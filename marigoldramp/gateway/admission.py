"""Authenticates a request and decides whether it is admitted."""

import random as random_module
from typing import Callable

import msgspec

from .. import outcomes
from . import call_deadlines
from . import calls
from . import codecs
from . import configurations
from . import deployment
from . import exit_time
from . import fingerprints
from . import inbound
from . import routes

#: Share of the key revocation time that is kept as a margin for clocks that
#: run at different rates.
REVOKE_MARGIN_RATIO = 0.1
#: An unknown route or key is reported as unknown only if the configuration was
#: confirmed as the newest within this many seconds.
MAX_CONFIRMED_AGE_SECONDS = 1.8
#: Retry delay for callers while the configuration may be outdated.
RETRY_AFTER_SECONDS = 0.5

NotRun = outcomes.NotRun
Reason = outcomes.Reason


class _Grant(msgspec.Struct, frozen=True, kw_only=True):
    """What the configuration allows a request.

    :ivar customer: ``None`` if the request is anonymous.
    :ivar seconds: time for its answer, from its arrival.
    :ivar deadline: when its answer is due.
    """

    config: deployment.Configuration
    route: deployment.Route
    customer: deployment.Customer | None
    seconds: float
    deadline: float


class Admission:
    """Admits requests according to the current configuration.

    :param revoke_seconds: returns the seconds after which a removed key must
        no longer work.
    :param process_exit: when the process exits.
    """

    __slots__ = (
        '_codec',
        '_configuration',
        '_revoke_seconds',
        '_clock',
        '_random',
        '_stated_timeouts',
        '_exit',
    )

    def __init__(
        self,
        *,
        codec: codecs.Codec,
        configuration: configurations.ActiveConfiguration,
        revoke_seconds: Callable[[], float],
        clock: Callable[[], float],
        random: random_module.Random,
        process_exit: exit_time.ExitTime | None = None,
    ) -> None:
        self._exit = process_exit or exit_time.ExitTime()
        self._codec = codec
        self._configuration = configuration
        self._revoke_seconds = revoke_seconds
        self._clock = clock
        self._random = random
        self._stated_timeouts = call_deadlines.StatedTimeouts(clock=clock)

    def trusts_keys(self) -> bool:
        """Whether the configuration is recent enough to check keys."""
        max_age = self._revoke_seconds() * (1.0 - REVOKE_MARGIN_RATIO)
        return self.version_age() < max_age

    @property
    def version(self) -> int:
        """Version of the current configuration, 0 for none."""
        return self._configuration.version

    async def admit(self, exchange: inbound.Exchange) -> calls.Call | NotRun:
        """Read the body; return the call, or why it is refused."""
        head = exchange.head
        try:
            facts = self._codec.read_request(head.headers)
        except ValueError as error:
            return NotRun(reason=Reason.MALFORMED, detail=str(error))
        exchange.attempt_id = facts.attempt_id
        grant = self._grant(head, facts)
        if isinstance(grant, NotRun):
            return grant
        if self._exit.precedes(grant.deadline):
            return describe_stopping()
        body: bytes | inbound.BodyFault | None = None
        with self._exit.interrupt(grant.deadline):
            body = await exchange.read_body(
                max_bytes=grant.config.limits.body_bytes,
                seconds=grant.deadline - self._clock(),
            )
        if body is None:
            return describe_stopping()
        if isinstance(body, inbound.BodyFault):
            return _refuse_body(body)
        # A key or route may have been taken away while the body arrived.
        grant = self._grant(head, facts)
        if isinstance(grant, NotRun):
            return grant
        return self._make_call(exchange, facts, grant, body)

    def _grant(
        self, head: inbound.Head, facts: codecs.RequestFacts
    ) -> _Grant | NotRun:
        """Return what the configuration now allows a request."""
        config = self._configuration.current
        if config is None:
            return NotRun(
                reason=Reason.NO_BUNDLE,
                detail='no configuration is known yet',
                retry_after=RETRY_AFTER_SECONDS,
            )
        route = self._configuration.routes.find(host=head.host, path=head.path)
        if route is None:
            return self._refuse_unknown(
                Reason.UNKNOWN_ROUTE, 'no route has this host and path'
            )
        customer = self._identify(config, route, facts)
        if isinstance(customer, NotRun):
            return customer
        seconds = route.timeout
        if facts.seconds is not None:
            seconds = min(seconds, facts.seconds)
        return _Grant(
            config=config,
            route=route,
            customer=customer,
            seconds=seconds,
            deadline=head.arrived + seconds,
        )

    def _make_call(
        self,
        exchange: inbound.Exchange,
        facts: codecs.RequestFacts,
        grant: _Grant,
        body: bytes,
    ) -> calls.Call:
        config, route, customer = grant.config, grant.route, grant.customer
        priority = route.priority
        if customer is not None and customer.priority is not None:
            priority = customer.priority
        service = routes.pick_service(route=route, random=self._random)
        return calls.Call(
            exchange=exchange,
            facts=facts,
            route=route,
            service=service,
            customer='' if customer is None else customer.name,
            priority=priority,
            body=body,
            deadline=grant.deadline,
            first_asked_at=grant.deadline
            - self._stated_timeouts.find_longest(
                route=route.name, stated=grant.seconds
            ),
            last_event=facts.last_event,
            fingerprint=fingerprints.compute_fingerprint(
                head=exchange.head,
                customer=_find_key_holder(config, facts),
                body=body,
            ),
            parts=fingerprints.compute_part_fingerprints(
                service=service, parts=facts.shared_parts
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
        """Return the customer that sent the request, ``None`` if anonymous."""
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
                retry_after=RETRY_AFTER_SECONDS,
            )
        if customer is not None:
            return customer
        if not facts.key:
            return self._refuse_unknown(
                Reason.NO_KEY, 'send your key as "Authorization: Bearer KEY"'
            )
        return self._refuse_unknown(Reason.UNKNOWN_KEY, 'the key is not known')

    def _refuse_unknown(self, reason: Reason, detail: str) -> NotRun:
        """Refuse a request whose route or key is unknown.

        While the configuration may be outdated, ask the caller to retry.  A
        caller told "unknown" would not, though a newer configuration may have
        its route or key.
        """
        if self.version_age() <= MAX_CONFIRMED_AGE_SECONDS:
            return NotRun(reason=reason, detail=detail)
        return NotRun(
            reason=Reason.STORE_AWAY,
            detail='the configuration may have been overtaken',
            retry_after=RETRY_AFTER_SECONDS,
        )

    def version_age(self) -> float:
        """Return the seconds since the version was confirmed as newest."""
        return self._clock() - self._configuration.confirmed_at


def describe_stopping() -> NotRun:
    """Return the refusal of what might be cut off at the exit."""
    return NotRun(
        reason=Reason.LEAVING,
        detail='the process is being stopped',
        retry_after=0.0,
    )


def _find_key_holder(
    config: deployment.Configuration, facts: codecs.RequestFacts
) -> str:
    """Return the customer whose key a request carries, trusted or not.

    On public routes a caller counts as anonymous while keys cannot be
    checked.  The fingerprints of its requests must not change with that.
    """
    holder = config.customers.get(facts.key)
    return '' if holder is None else holder.name


def _refuse_body(fault: inbound.BodyFault) -> NotRun:
    match fault:
        case inbound.BodyFault.TOO_LARGE:
            return NotRun(
                reason=Reason.BODY_TOO_LARGE, detail='the body is too large'
            )
        case inbound.BodyFault.TOO_SLOW:
            return NotRun(
                reason=Reason.BODY_TIMEOUT, detail='the body came too slowly'
            )
        case inbound.BodyFault.NO_ROOM:
            return NotRun(
                reason=Reason.QUEUE_FULL,
                detail='the bodies of other requests take up the memory',
                retry_after=RETRY_AFTER_SECONDS,
            )
        case inbound.BodyFault.BROKEN:
            return NotRun(
                reason=Reason.MALFORMED, detail='the body cannot be read'
            )
