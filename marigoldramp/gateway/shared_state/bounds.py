"""A bound on the requests that all gateways together send to an endpoint.

A few gateways hold shares of the bound and send their requests at equal
distances.  In any window of time a holder sends what its share allows and one
request more.  The number of holders and their shares are chosen so that the
sum over all holders keeps the bound.
"""

import functools
import math

import msgspec

#: Window in which a named limit is counted, the factor by which it may be
#: exceeded in it, and the number of requests beyond that.
NAMED_WINDOW_SECONDS = 4.0
NAMED_FACTOR = 1.5
NAMED_EXTRA = 5.0
#: Number of gateways that hold the shares of the lowest named limits; higher
#: limits have one more for each request per second.
MIN_NAMED_HOLDERS = 2
COLD_WINDOW_SECONDS = 1.0
#: Part of the requests allowed to a cold endpoint that its holders may send at
#: once.  The rest is for gateways that have not noticed yet that others hold
#: the shares.
COLD_HOLDERS_PART = 0.6
#: Time by which a request may be sent later than its turn without delaying
#: the next ones: requests that wait are assigned at intervals of 0.1 s.
TURN_TOLERANCE_SECONDS = 0.1
#: Difference of the times that two requests take to reach an endpoint.
TRANSIT_SECONDS = 0.05
#: Number of gateways that may wrongly believe that they hold a share, for
#: which the shares leave room.
SPARE_HOLDERS = 2
#: Where all gateways hold shares, only those that have just been replaced may
#: be wrong: one for each of so many.
GATEWAYS_PER_SPARE = 4
#: Part of the largest number of holders that is used at least, so that more of
#: the gateways with requests hold shares.
MIN_HOLDERS_PART = 0.6
#: Part of the rate that the holders must be able to use.
MIN_USABLE_PART = 0.8
#: Part of an equal share that an isolated gateway uses, as the other gateways
#: may have replaced it.
ISOLATED_SHARE = 0.5


class Division(msgspec.Struct, frozen=True, kw_only=True):
    """The division of a bound among gateways.

    :ivar share: requests per second of each holder.
    """

    holders: int
    share: float


class Bound(msgspec.Struct, frozen=True, kw_only=True):
    """At most ``factor * rate * window + extra`` requests in any window.

    :ivar rate: requests per second.
    :ivar window: seconds.
    :ivar max_holders: maximum number of gateways that hold shares.
    :ivar spread: seconds by which the distance between two requests of a
        gateway may shrink until they reach the endpoint.
    :ivar max_spares: number of gateways beyond the holders for which the
        shares leave room.
    """

    rate: float
    window: float
    factor: float
    extra: float
    max_holders: int
    spread: float = 0.0
    max_spares: int = 0

    @property
    def allowed(self) -> float:
        """Maximum number of requests in any window."""
        return self.factor * self.rate * self.window + self.extra

    def count_most_sends(self, share: float) -> int:
        """Return the most requests in a window by one gateway."""
        if not share:
            return 0
        return 1 + math.floor(share * (self.window + self.spread))

    def divide(self, gateways: int) -> Division:
        """Return how many of some gateways hold shares, and the shares."""
        return _divide(self, gateways)

    def find_isolated_share(self, gateways: int) -> float:
        """Return the share of a gateway that does not hear most of its peers.

        :param gateways: number of all gateways.
        """
        share = ISOLATED_SHARE * self.rate / gateways
        if gateways > self.rate + self.extra:
            return 0.0
        return share if self._has_room(gateways, share) else 0.0

    def _has_room(self, gateways: int, share: float) -> bool:
        """Whether isolated gateways fit, beside holders that are not."""
        sends = self.count_most_sends(share)
        isolated = (gateways - 1) // 2
        division = self.divide(gateways - isolated)
        others = division.holders * self.count_most_sends(division.share)
        return max(gateways * sends, isolated * sends + others) <= self.allowed


def make_named(rate: float) -> Bound:
    """Return the bound of a limit that an endpoint names."""
    return Bound(
        rate=rate,
        window=NAMED_WINDOW_SECONDS,
        factor=NAMED_FACTOR,
        extra=NAMED_EXTRA,
        max_holders=MIN_NAMED_HOLDERS + int(rate),
    )


def make_cold(rate: float, *, factor: float, extra: float) -> Bound:
    """Return the bound of a cold endpoint."""
    allowed = factor * rate * COLD_WINDOW_SECONDS + extra
    return Bound(
        rate=rate,
        window=COLD_WINDOW_SECONDS,
        factor=factor,
        extra=extra,
        max_holders=max(1, round(COLD_HOLDERS_PART * allowed)),
        spread=TURN_TOLERANCE_SECONDS + TRANSIT_SECONDS,
        max_spares=SPARE_HOLDERS,
    )


@functools.lru_cache(maxsize=512)
def _divide(bound: Bound, gateways: int) -> Division:
    """Return the most holders and spares with which the rate can be used.

    If no numbers allow most of the rate, those that allow most are taken.
    """
    most = max(1, min(gateways, bound.max_holders))
    least = math.ceil(MIN_HOLDERS_PART * most)
    best = Division(holders=1, share=0.0)
    for spares in range(bound.max_spares, -1, -1):
        for holders in range(most, 0 if not spares else least - 1, -1):
            wrong = spares
            if holders == gateways:
                wrong = min(spares, holders // GATEWAYS_PER_SPARE)
            found = _find_division(bound, holders, wrong)
            usable = holders * found.share
            if usable >= MIN_USABLE_PART * bound.rate:
                return found
            if usable > best.holders * best.share:
                best = found
    return best


def _find_division(bound: Bound, holders: int, spares: int) -> Division:
    """Return the division with the largest shares that keep the bound."""
    sends = math.floor(bound.allowed / (holders + spares))
    # Just below the share with which one request more would fit the window.
    largest = (sends - 1e-6) / (bound.window + bound.spread)
    share = max(0.0, min(bound.rate / holders, largest))
    return Division(holders=holders, share=share)
