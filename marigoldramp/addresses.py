"""Answers "which of your addresses shall I use" for one customer."""

from typing import Callable

import msgspec

from . import address_answers
from . import bundle
from . import keys
from . import membership
from . import messages
from . import outcomes
from . import routes
from . import routing
from . import settings
from . import shares


class AddressBook:
    """Address answers of one entry.

    :param own_address: this entry's own base address, empty once leaving.
    """

    __slots__ = ('_members', '_router', '_keys', '_settings', '_own', '_name')

    def __init__(
        self,
        *,
        instance: str,
        members: membership.Membership,
        router: routing.Router,
        keys: keys.Keys,
        settings: settings.Entry,
        own_address: Callable[[], str],
    ) -> None:
        self._name = instance
        self._members = members
        self._router = router
        self._keys = keys
        self._settings = settings
        self._own = own_address

    def live(self) -> dict[str, str]:
        """Return the base addresses of the entries that are up, by name."""
        live = {
            peer.instance: f'http://{peer.host}:{peer.call_port}'
            for peer in self._members.peers(messages.Role.ENTRY)
        }
        own = self._own()
        if own:
            live[self._name] = own
        return live

    def answer(
        self, *, customer: bundle.Customer, table: routes.RouteTable
    ) -> bytes:
        """Return the JSON text for a customer.

        The bound keys cost no state here: each carries all that the entry
        that gets it back needs to know.
        """
        live = self.live()
        serving = shares.entries_of(customer, tuple(live))
        bindings = {
            service.name: self._make_keys(customer, service)
            for service in table.non_idempotent(customer.services)
        }
        return msgspec.json.encode(
            address_answers.Addresses(
                entries=[
                    address_answers.EntryAddress(address=live[one])
                    for one in serving
                ],
                keep_seconds=self._settings.keep_addresses,
                bindings=bindings,
            )
        )

    def _make_keys(
        self, customer: bundle.Customer, service: bundle.Service
    ) -> list[str]:
        """Return keys for one service, spread over its agents."""
        made: list[str] = []
        used: set[str] = set()
        facts = routing.CallFacts(
            call='',
            service=service.name,
            customer=customer.name,
            priority=bundle.Priority.URGENT,
            remaining=self._settings.keep_addresses,
        )
        while len(made) < self._settings.bindings:
            chosen = self._router.choose(
                service=service, facts=facts, exclude=frozenset(used)
            )
            if isinstance(chosen, outcomes.NotRun):
                if not used:
                    return made
                used.clear()
                continue
            used.add(chosen.instance)
            made.append(
                self._keys.make(
                    customer=customer.name,
                    candidate=chosen,
                    service=service.name,
                )
            )
        return made
