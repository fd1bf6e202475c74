"""The choice of an endpoint for requests shorter than a report interval.

When a report of a peer arrives, most requests that it counts have ended.  If
all gateways compared endpoints by these counts, they would send to the same
ones at once.  What the counts do show is how many requests come from each data
centre, whatever endpoints they went to.  From this each gateway computes which
part of its requests has to leave the data centre, or go to slow endpoints.
"""

import math
import random as random_module
from typing import Callable
from typing import Sequence
from typing import TYPE_CHECKING

import msgspec

from .. import codecs

if TYPE_CHECKING:
    from . import endpoints

#: Usual age of what a gateway knows of its peers' requests.
REPORT_AGE_SECONDS = 0.3
#: Time over which the demand of each data centre is smoothed; the numbers of
#: requests in flight at one time differ by chance.
SMOOTHING_SECONDS = 1.0
#: Part of the slots of a data centre's endpoints up to which its own requests
#: fill them: more would make requests wait there.
TARGET_LOAD = 0.7
#: Part of the slots of all endpoints up to which slow ones get nothing but
#: trials.
MAX_LOAD = 0.85
#: Slowness from which an endpoint counts as slow.  It fades between trials.
MIN_SLOWNESS = 1.1
#: Seconds, for each multiple of the usual time, after which a slow endpoint is
#: tried again.  A trial costs the more, the slower the endpoint is.
TRIAL_SECONDS_PER_SLOWNESS = 1.0
#: Probability that a request is used for a trial that is due.  Peers see the
#: trial in the next report; this bounds how many begin before.
TRIAL_PROBABILITY = 0.1
#: Size of the random sample of a large group that is compared.
MAX_COMPARED_ENDPOINTS = 16
#: Penalty of an error rate of 1, in requests in flight.
ERROR_PENALTY = 6.0


def remove_wait(seconds: float, load: codecs.ReportedLoad | None) -> float:
    """Return the time of a request without its wait at the endpoint.

    Otherwise an endpoint that many gateways chose at once would count as slow,
    and the others would get its requests as well.

    :param load: what the response says of the endpoint's load.
    """
    if load is None or load.slots <= 0:
        return seconds
    return seconds / (1.0 + load.waiting / load.slots)


def is_short(known: Sequence['endpoints.Endpoint'], *, usual: float) -> bool:
    """Whether the requests of a service are short.

    :param known: endpoints of the service.
    :param usual: usual time to an answer, 0 if it is not known.
    """
    return 0.0 < usual <= REPORT_AGE_SECONDS and not any(
        one.quality.has_streams for one in known
    )


class Group(msgspec.Struct, kw_only=True):
    """Open endpoints among which a request may choose freely.

    :ivar capacity: slots, divided by the slowness of their endpoints.
    """

    members: list['endpoints.Endpoint']
    capacity: float


class Demand:
    """The smoothed demand for a service, by data centre of the callers.

    It is counted in slots that are taken on endpoints of usual speed.
    """

    __slots__ = ('_slots', '_updated_at')

    def __init__(self) -> None:
        self._slots: dict[str, float] = {}
        self._updated_at = float('-inf')

    def update(self, current: dict[str, float], *, now: float) -> None:
        """Record the present demand."""
        weight = 1.0 - math.exp((self._updated_at - now) / SMOOTHING_SECONDS)
        for name in {**self._slots, **current}:
            value = current.get(name, 0.0)
            last = self._slots.get(name, value)
            self._slots[name] = last + weight * (value - last)
        self._updated_at = now

    def find(self, data_centre: str) -> float:
        """Return the demand of one data centre."""
        return self._slots.get(data_centre, 0.0)

    def sum(self) -> float:
        """Return the demand of all data centres."""
        return sum(self._slots.values())


class Balancer:
    """Chooses endpoints of one service.

    :param data_centre: data centre of this gateway.
    """

    __slots__ = ('_data_centre', '_random', '_demand')

    def __init__(
        self, *, data_centre: str, random: random_module.Random
    ) -> None:
        self._data_centre = data_centre
        self._random = random
        self._demand = Demand()

    def choose(
        self,
        found: Sequence['endpoints.Endpoint'],
        *,
        slots: Callable[['endpoints.Endpoint'], float],
        usual: float,
        now: float,
    ) -> 'endpoints.Endpoint | None':
        """Return an endpoint, ``None`` if this gateway has filled them all.

        :param found: open endpoints of the service.
        :param slots: returns how many requests an endpoint may run at once.
        :param usual: usual time to an answer.
        """
        groups: dict[str, Group] = {}
        slow: list[endpoints.Endpoint] = []
        slow_capacity = 0.0
        current: dict[str, float] = {}
        own_slots = 0.0
        for one in found:
            slowness = 1.0
            if one.quality.may_be_slow(usual=usual):
                slowness = one.quality.slowness(usual=usual, now=now)
            if one.own_requests:
                own_slots += one.own_requests / slowness
            for name, count in one.peer_origins.items():
                current[name] = current.get(name, 0.0) + count / slowness
            if slowness >= MIN_SLOWNESS:
                # A slow request is still running when it is reported.
                if one.in_flight < slots(one):
                    slow.append(one)
                    slow_capacity += slots(one) / slowness
                continue
            name = one.record.data_centre
            group = groups.get(name)
            if group is None:
                group = groups[name] = Group(members=[], capacity=0.0)
            group.members.append(one)
            group.capacity += slots(one)
        current[self._data_centre] = (
            current.get(self._data_centre, 0.0) + own_slots
        )
        self._demand.update(current, now=now)
        trust = math.exp(-REPORT_AGE_SECONDS / usual)
        for members in self._order_choices(
            groups, Group(members=slow, capacity=slow_capacity), usual, now
        ):
            chosen = self._find_least_loaded(members, slots, trust, now)
            if chosen is not None:
                return chosen
        return None

    def _order_choices(
        self,
        groups: dict[str, Group],
        slow: Group,
        usual: float,
        now: float,
    ) -> list[list['endpoints.Endpoint']]:
        """Return lists of endpoints, the one to choose from first."""
        home = groups.pop(self._data_centre, Group(members=[], capacity=0.0))
        away = self._draw_remote(groups)
        capacity = home.capacity + sum(one.capacity for one in groups.values())
        load = self._demand.sum() / max(1.0, capacity)
        target = min(MAX_LOAD, max(TARGET_LOAD, load))
        excess = min(slow.capacity, self._demand.sum() - MAX_LOAD * capacity)
        order = [home.members, away, slow.members]
        due = [one for one in slow.members if _is_trial_due(one, usual, now)]
        if due and self._random.random() < TRIAL_PROBABILITY:
            order.insert(0, due)
        elif self._random.random() * self._demand.sum() < excess:
            order = [slow.members, home.members, away]
        elif away and self._exceeds(
            self._demand.find(self._data_centre), target * home.capacity
        ):
            order = [away, home.members, slow.members]
        return order

    def _exceeds(self, demand: float, room: float) -> bool:
        """Whether a request belongs to the part that exceeds the room."""
        return self._random.random() * demand > room

    def _draw_remote(
        self, groups: dict[str, Group]
    ) -> list['endpoints.Endpoint']:
        """Return the endpoints of another data centre, by the room there."""
        if not groups:
            return []
        rooms = [
            max(
                0.01 * group.capacity,
                TARGET_LOAD * group.capacity - self._demand.find(name),
            )
            for name, group in groups.items()
        ]
        chosen = self._random.choices(list(groups.values()), rooms)[0]
        return chosen.members

    def _find_least_loaded(
        self,
        members: list['endpoints.Endpoint'],
        slots: Callable[['endpoints.Endpoint'], float],
        trust: float,
        now: float,
    ) -> 'endpoints.Endpoint | None':
        """Return the endpoint with the fewest requests for its slots.

        :param trust: part of the peers' requests that still run.
        """
        if len(members) > MAX_COMPARED_ENDPOINTS:
            members = self._random.sample(members, MAX_COMPARED_ENDPOINTS)
        best = None
        least = float('inf')
        for one in members:
            count = slots(one)
            load = one.own_requests + trust * one.peer_requests
            if load >= count:
                continue
            load += self._random.random()
            load += ERROR_PENALTY * one.quality.error_rate(now=now)
            if load < least * count:
                best, least = one, load / count
        return best


def _is_trial_due(
    endpoint: 'endpoints.Endpoint', usual: float, now: float
) -> bool:
    if endpoint.in_flight:
        return False
    known = endpoint.quality
    spacing = TRIAL_SECONDS_PER_SLOWNESS * known.slowness(usual=usual, now=now)
    return now - known.observed_at >= spacing
