"""The addresses of gateways that callers are given.

Callers pick one of the addresses at random and keep the answer for a second.
The answer is therefore a random sample in which each gateway is included with
a probability in proportion to its weight: its capacity, lowered while it is
slow, carries more requests for its capacity than others, or has just started.
"""

import math
import random as random_module
from typing import Callable
from typing import Sequence

import msgspec

from . import outbound
from . import peers as peers_module

#: Callers are given no peers of other data centres if at least this many are
#: ready in the local one.
MIN_NEAR_ADDRESSES = 8
#: Callers are given no leaders of groups if at least this many other peers are
#: ready.
MIN_NON_LEADER_ADDRESSES = 10
#: Addresses in an answer where there are enough gateways: callers try another
#: one when a gateway does not respond.
MIN_ADDRESSES = 4
#: Time after which no answer names a gateway that has ended, in addition to
#: :attr:`.settings.Bounds.contact`, less the time to write the answer.
MAX_UNPROVEN_SECONDS = 3.0
ANSWER_SECONDS = 0.25
#: Age from which a gateway gets its full weight.  A new one still imports
#: modules and opens connections to all endpoints.
FULL_AGE_SECONDS = 4
#: Requests in flight, relative to the mean for the capacity, up to which a
#: gateway keeps its weight: the numbers differ by chance and are up to a
#: report interval old.
MAX_USUAL_LOAD = 1.5
#: Requests that are added to both sides of this comparison, so that a few
#: requests on a quiet day do not count as load.
LOAD_OFFSET = 6.0
#: Lateness of a gateway's timers up to which it counts as fast.
MAX_USUAL_DELAY_SECONDS = 0.02
#: Missed report intervals, and the shortest time, from which reports count as
#: late; a single lost datagram does not matter.
MAX_USUAL_INTERVALS = 2.5
MIN_LATE_SECONDS = 0.3
#: Smallest factor of the load and of the delay.  A gateway that got nothing
#: would show no improvement.
MIN_FACTOR = 0.2


class Candidate(msgspec.Struct, frozen=True, kw_only=True):
    """A gateway that accepts callers.

    :ivar capacity: see :attr:`.settings.Settings.capacity`.
    :ivar running: number of its requests that run on endpoints.
    :ivar delay: seconds by which its timers are late.
    :ivar silence: seconds since its last report, as a multiple of the time
        after which the next one is late; 0 for this gateway.
    :ivar age: seconds for which it has been ready.
    :ivar leads: it leads a group of ranks.
    """

    instance: str
    address: outbound.Address
    capacity: float
    running: int = 0
    delay: float = 0.0
    silence: float = 0.0
    age: float = FULL_AGE_SECONDS
    leads: bool = False


class AddressSelector:
    """Chooses the addresses for one answer.

    :param own: returns this gateway, ``None`` while it accepts no callers.
    :param incarnation: random number of this start of the process.
    :param contact: returns :attr:`.settings.Bounds.contact`.
    """

    __slots__ = (
        '_peers',
        '_own',
        '_incarnation',
        '_contact',
        '_clock',
        '_random',
    )

    def __init__(
        self,
        *,
        peers: peers_module.PeerTable,
        own: Callable[[], Candidate | None],
        incarnation: int,
        contact: Callable[[], float],
        clock: Callable[[], float],
        random: random_module.Random,
    ) -> None:
        self._peers = peers
        self._own = own
        self._incarnation = incarnation
        self._contact = contact
        self._clock = clock
        self._random = random

    def choose(self) -> list[outbound.Address]:
        """Return the addresses for one answer, in random order."""
        candidates = self._list_candidates()
        chosen = sample(candidates, weigh(candidates), random=self._random)
        return [one.address for one in chosen]

    def list_shares(self) -> dict[str, float]:
        """Return the share of callers that each gateway is meant to get."""
        candidates = self._list_candidates()
        weights = weigh(candidates)
        total = sum(weights)
        return {
            one.instance: weight / total
            for one, weight in zip(candidates, weights, strict=True)
        }

    def _list_candidates(self) -> list[Candidate]:
        """Return the gateways of which callers may be told.

        Where enough remain, peers of other data centres and leaders of groups
        are left out: a leader that also serves callers sends each change of
        the expert map later, which delays the callers of the whole group.
        """
        ready = [peer for peer in self._peers if self._accepts_callers(peer)]
        near = [peer for peer in ready if self._peers.is_near(peer)]
        if len(near) >= MIN_NEAR_ADDRESSES:
            ready = near
        found = [self._describe(peer) for peer in ready]
        non_leaders = [one for one in found if not one.leads]
        if len(non_leaders) >= MIN_NON_LEADER_ADDRESSES:
            found = non_leaders
        own = self._own()
        if own is None:
            return found
        if own.leads and len(found) >= MIN_NON_LEADER_ADDRESSES:
            return found
        return [own, *found]

    def _accepts_callers(self, peer: peers_module.Peer) -> bool:
        report = peer.report
        if report is None or not report.ready or report.leaving:
            return False
        return (
            bool(report.call_host)
            and self._peers.is_heard_in_time(peer)
            and self._is_proven(peer)
        )

    def _is_proven(self, peer: peers_module.Peer) -> bool:
        """Whether a peer is known to have been alive a short time ago.

        The arrival of a report does not show that: after a freeze this process
        reads reports that had been waiting in its socket.  The report's echo
        is the time of a report of this gateway that the peer had got.
        """
        report = peer.report
        alive_at = self._peers.started_at
        if report is not None and report.echo_incarnation == self._incarnation:
            alive_at = max(alive_at, report.echo)
        longest = self._contact() + MAX_UNPROVEN_SECONDS - ANSWER_SECONDS
        return self._clock() - alive_at <= longest

    def _describe(self, peer: peers_module.Peer) -> Candidate:
        report = peer.report
        assert report is not None
        late_after = max(
            MIN_LATE_SECONDS,
            MAX_USUAL_INTERVALS * self._peers.report_interval(peer),
        )
        return Candidate(
            instance=peer.instance,
            address=outbound.Address(
                host=report.call_host, port=report.call_port
            ),
            capacity=report.capacity,
            running=sum(report.in_flight.values()),
            delay=report.delay_ms / 1000.0,
            silence=(self._clock() - peer.heard_at) / late_after,
            age=report.ready_seconds,
            leads=bool(report.leads),
        )


def weigh(candidates: Sequence[Candidate]) -> list[float]:
    """Return the weight of each gateway."""
    capacity = sum(one.capacity for one in candidates)
    running = sum(one.running for one in candidates)
    if capacity <= 0.0:
        return [1.0] * len(candidates)
    usual = running / capacity
    oldest = max((one.age for one in candidates), default=0.0)
    return [
        max(one.capacity, MIN_FACTOR * capacity / len(candidates))
        * _find_load_factor(one, usual)
        * _find_speed_factor(one)
        * (_find_age_factor(one) if oldest >= FULL_AGE_SECONDS else 1.0)
        for one in candidates
    ]


def _find_load_factor(one: Candidate, usual: float) -> float:
    """Return the factor for the number of requests.

    :param usual: mean number of requests per unit of capacity.
    """
    expected = usual * one.capacity + LOAD_OFFSET
    ratio = (one.running + LOAD_OFFSET) / expected
    return _lower(ratio / MAX_USUAL_LOAD)


def _find_speed_factor(one: Candidate) -> float:
    """Return the factor for late timers and late reports."""
    return min(
        _lower(one.delay / MAX_USUAL_DELAY_SECONDS), _lower(one.silence)
    )


def _find_age_factor(one: Candidate) -> float:
    """Return the factor that raises a new gateway's load in steps."""
    return min(1.0, (math.floor(one.age) + 1) / (FULL_AGE_SECONDS + 1))


def _lower(excess: float) -> float:
    return 1.0 if excess <= 1.0 else max(MIN_FACTOR, 1.0 / excess)


def find_sample_size(weights: Sequence[float]) -> int:
    """Return how many addresses an answer names.

    It is the largest number at which no gateway would have to be in more than
    every answer to get its part: all of them where the weights are equal.
    """
    if not weights:
        return 0
    # The sum of equal weights may be rounded down.
    largest = math.floor(sum(weights) / max(weights) + 1e-6)
    return min(len(weights), max(MIN_ADDRESSES, largest))


def sample(
    candidates: Sequence[Candidate],
    weights: Sequence[float],
    *,
    random: random_module.Random,
    size: int | None = None,
) -> list[Candidate]:
    """Return gateways, each with a probability in proportion to its weight.

    This is systematic sampling in random order: the gateways lie one behind
    the other on a line, each as long as its part of the sample, and those at
    points of distance 1 are taken.

    :param size: number of gateways, by default :func:`find_sample_size`.
    """
    if size is None:
        size = find_sample_size(weights)
    lengths = _find_inclusions(weights, size)
    order = list(range(len(candidates)))
    random.shuffle(order)
    found: list[Candidate] = []
    point = random.random()
    end = 0.0
    for index in order:
        end += lengths[index]
        # A length is at most 1, except for rounding.
        if end > point and len(found) < size:
            found.append(candidates[index])
            point += 1.0
    random.shuffle(found)
    return found


def _find_inclusions(weights: Sequence[float], size: int) -> list[float]:
    """Return the probability of each gateway to be in a sample.

    Where the smallest sample does not leave a gateway its part, it is in every
    one, and the others share the rest.
    """
    inclusions = [1.0] * len(weights)
    free = list(range(len(weights)))
    while free:
        rest = size - (len(weights) - len(free))
        scale = rest / sum(weights[index] for index in free)
        full = [index for index in free if weights[index] * scale >= 1.0]
        if not full:
            for index in free:
                inclusions[index] = weights[index] * scale
            break
        free = [index for index in free if index not in full]
    return inclusions
