"""Bundles of which peers say that they have them in force."""

import dataclasses

import anyio


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Offer:
    """A peer with a bundle of this number in force, and where to ask."""

    number: int
    instance: str
    host: str
    port: int


class Offers:
    """The newest offer of each peer; the latest of the highest is taken.

    :param most: peers whose offer is kept.
    """

    __slots__ = ('_most', '_offers', '_raised')

    def __init__(self, *, most: int) -> None:
        self._most = most
        self._offers: dict[str, Offer] = {}
        self._raised = anyio.Event()

    def add(self, offer: Offer) -> None:
        """Note an offer that is worth taking."""
        self._offers.pop(offer.instance, None)
        if len(self._offers) >= self._most:
            self._offers.pop(next(iter(self._offers)))
        self._offers[offer.instance] = offer
        self._raised.set()

    async def take(self, above: int) -> Offer:
        """Wait for an offer above a number, remove and return the best.

        Offers that have become worthless meanwhile are dropped.
        """
        while True:
            self._offers = {
                instance: offer
                for instance, offer in self._offers.items()
                if offer.number > above
            }
            if self._offers:
                best = max(self._offers.values(), key=_rank)
                return self._offers.pop(best.instance)
            self._raised = anyio.Event()
            await self._raised.wait()


def _rank(offer: Offer) -> int:
    return offer.number
