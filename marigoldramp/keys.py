"""Finds the bound key, and the agents to ask, for a non-idempotent call."""

import dataclasses
import hashlib
from typing import Callable

from . import bindings
from . import bundle
from . import callers
from . import claims
from . import messages
from . import outcomes
from . import routing

#: Agents of the service that are asked for the records of one that stopped.
MOST_SUCCESSORS = 2


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Bound:
    """A key and what it is bound to.

    :ivar first: no attempt with this key was made before.
    :ivar own: this entry made the key for this request alone, so one that
        did not run can be replaced without the caller's help.
    :ivar claim: the claim that pairs a caller's own key with this one.
    """

    key: str
    binding: messages.Binding
    first: bool
    own: bool
    claim: claims.Claimed | None = None


class Keys:
    """Bound keys of one entry."""

    __slots__ = ('_binder', '_claims', '_router', '_wall')

    def __init__(
        self,
        *,
        binder: bindings.Binder,
        claims: claims.Claims,
        router: routing.Router,
        wall: Callable[[], float],
    ) -> None:
        self._binder = binder
        self._claims = claims
        self._router = router
        self._wall = wall

    def make(
        self, *, customer: str, candidate: routing.Candidate, service: str
    ) -> str:
        """Return a new key bound to a candidate."""
        return self._binder.make(
            service=service,
            customer=customer,
            agent=candidate.instance,
            incarnation=candidate.incarnation,
            made_at=self._wall(),
        )

    async def find(
        self,
        *,
        service: bundle.Service,
        facts: routing.CallFacts,
        wishes: callers.Wishes,
    ) -> Bound | outcomes.Refusal:
        """Return the bound key of a call."""
        if not wishes.key:
            return self._bind_anew(service, facts, frozenset())
        opened = self._binder.open(
            key=wishes.key, customer=facts.customer, service=service.name
        )
        match opened:
            case messages.Binding():
                return Bound(
                    key=wishes.key,
                    binding=opened,
                    first=wishes.first,
                    own=False,
                )
            case bindings.Invalid(detail=detail):
                return outcomes.NotRun(
                    reason=outcomes.Reason.BINDING_INVALID, detail=detail
                )
            case bindings.Bare():
                return await self._claim(service, facts, wishes)

    async def renew(
        self,
        *,
        bound: Bound,
        barred: bool,
        service: bundle.Service,
        facts: routing.CallFacts,
        wishes: callers.Wishes,
        exclude: frozenset[str],
    ) -> Bound | None:
        """Return another key for a call that did not run, if it may have one.

        A key of this request's own is known to nobody else.  A claimed one
        is known to every entry that has read the claim, so it is replaced
        only once its agent has barred it: an entry that comes late with the
        old key is refused then, and finds the new one.

        :param barred: the agent itself has refused the key for good.
        :param exclude: agents that are not to get the new key.
        """
        if not bound.own and not (barred and bound.claim):
            return None
        anew = self._bind_anew(service, facts, exclude)
        if not isinstance(anew, Bound):
            return None
        if bound.claim is None:
            return anew
        replaced = await self._claims.replace(
            customer=facts.customer,
            service=service.name,
            key=wishes.key,
            old=bound.claim,
            bound=anew.key,
        )
        found = self._open_claimed(replaced, facts, service)
        return found if isinstance(found, Bound) else None

    def targets(
        self, *, service: str, bound: Bound
    ) -> tuple[routing.Candidate, ...]:
        """Return the agents that may know a key: its own one first.

        An agent that stopped in good order has handed its records to the
        next ones in an order that every process computes alike.  They
        follow even an agent that is still known here: for a second after
        its end it is, and a used key would else get no answer.
        """
        binding = bound.binding
        own = self._router.find(service=service, instance=binding.agent)
        targets = [own] if own is not None else []
        others = [
            one
            for one in self._router.candidates(service)
            if one.instance != binding.agent
        ]
        others.sort(key=lambda one: rank(binding.agent, one.instance))
        return (*targets, *others[:MOST_SUCCESSORS])

    def _bind_anew(
        self,
        service: bundle.Service,
        facts: routing.CallFacts,
        exclude: frozenset[str],
    ) -> Bound | outcomes.Refusal:
        chosen = self._router.choose(
            service=service, facts=facts, exclude=exclude
        )
        if isinstance(chosen, outcomes.NotRun):
            return chosen
        key = self.make(
            customer=facts.customer, candidate=chosen, service=service.name
        )
        return self._open_own(key, facts.customer, service.name, own=True)

    def _open_own(
        self, key: str, customer: str, service: str, *, own: bool
    ) -> Bound | outcomes.Refusal:
        opened = self._binder.open(key=key, customer=customer, service=service)
        if not isinstance(opened, messages.Binding):
            raise RuntimeError('a key of our own did not open')
        return Bound(key=key, binding=opened, first=True, own=own)

    async def _claim(
        self,
        service: bundle.Service,
        facts: routing.CallFacts,
        wishes: callers.Wishes,
    ) -> Bound | outcomes.Refusal:
        """Bind a key that the caller made up, through the store."""
        anew = self._bind_anew(service, facts, frozenset())
        if not isinstance(anew, Bound):
            return self.doubt(anew, wishes)
        claimed = await self._claims.claim(
            customer=facts.customer,
            service=service.name,
            key=wishes.key,
            bound=anew.key,
        )
        found = self._open_claimed(claimed, facts, service)
        return found if isinstance(found, Bound) else self.doubt(found, wishes)

    def _open_claimed(
        self,
        claimed: claims.Claimed | outcomes.OutcomeUnknown,
        facts: routing.CallFacts,
        service: bundle.Service,
    ) -> Bound | outcomes.OutcomeUnknown:
        if not isinstance(claimed, claims.Claimed):
            return claimed
        opened = self._binder.open(
            key=claimed.bound, customer=facts.customer, service=service.name
        )
        if not isinstance(opened, messages.Binding):
            return outcomes.OutcomeUnknown(
                reason=outcomes.Reason.BINDING_INVALID,
                detail='the claim of this key cannot be read',
            )
        return Bound(
            key=claimed.bound,
            binding=opened,
            first=claimed.first,
            own=False,
            claim=claimed,
        )

    def doubt(
        self, refusal: outcomes.Refusal, wishes: callers.Wishes
    ) -> outcomes.Refusal:
        """Return a refusal that is true of a key made up by the caller.

        Without the caller's word that it never sent the key before, an
        earlier request with it may have run.
        """
        if wishes.first:
            return outcomes.NotRun(
                reason=refusal.reason,
                detail=refusal.detail,
                retry_after=claims.RETRY_AFTER_OUTAGE,
            )
        return outcomes.OutcomeUnknown(
            reason=refusal.reason, detail=refusal.detail
        )


def rank(agent: str, other: str) -> bytes:
    """Return the place of another agent among the successors of one."""
    text = f'{agent}\0{other}'
    return hashlib.blake2b(text.encode(), digest_size=8).digest()
