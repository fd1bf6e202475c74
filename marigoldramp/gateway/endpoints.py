"""The endpoints that this entry knows, and what it believes of each.

Discovery says which there are.  How well each one works shows in the
outcomes of requests: an endpoint that fails is left alone for a time that
doubles with each failure in a row, and is then tried again.
"""

import collections
import random as random_module
import statistics
from typing import Callable
from typing import Iterator
import zlib

from . import deployment
from . import outbound
from . import quality

#: Seconds for which an endpoint is left alone after one failure, and the
#: longest such time.
FIRST_PAUSE = 0.25
LONGEST_PAUSE = 4.0
#: Seconds for which an endpoint counts as full after it has said so.
FULL_SECONDS = 0.1
#: Penalty of an endpoint in another data centre, in requests in flight.  Where
#: a data centre has few endpoints it decides between equals only; where it has
#: many, most requests stay there, which spares bytes between data centres, and
#: fewer entries compete for each endpoint, whose reports come more often.
REMOTE_PENALTY_OF_FEW = 0.05
REMOTE_PENALTY_OF_MANY = 1.5
#: Endpoints of a service in our own data centre that count as many.
MANY_NEAR = 8
#: Endpoints that are compared for one request, in our data centre and in all
#: others.  What is known of the requests of other entries is a moment old;
#: were all compared, many entries would choose the same few at once, seen as
#: endpoints that decline while others are free.
MOST_COMPARED = 16
#: Maximum number of removed endpoints whose backoffs are kept.
MOST_KEPT_BACKOFFS = 1024
#: Requests in flight for which a part of failures of 1 counts.
ERROR_PENALTY = 6.0


class Endpoint:
    """One endpoint.

    :ivar own_requests: requests of this entry that run on it.
    :ivar suspects: how many of them are of each fingerprint under which an
        endpoint has ended.
    :ivar peer_requests: requests that other entries say run on it.
    :ivar resting_until: it is given no requests before then.
    :ivar backoff_until: end of the backoff that it requested; it is given no
        requests before then.
    :ivar failures: failures in a row.
    :ivar quality: how well it does.
    :ivar seconds: smoothed time for a whole request, 0 if unknown.
    """

    __slots__ = (
        'record',
        'own_requests',
        'suspects',
        'peer_requests',
        'resting_until',
        'backoff_until',
        'failures',
        'quality',
        'seconds',
        'gone',
    )

    def __init__(self, *, record: deployment.EndpointRecord) -> None:
        self.record = record
        self.own_requests = 0
        self.suspects: collections.Counter[str] = collections.Counter()
        self.peer_requests = 0
        self.resting_until = 0.0
        self.backoff_until = 0.0
        self.failures = 0
        self.quality = quality.Quality()
        self.seconds = 0.0
        self.gone = False

    @property
    def identity(self) -> str:
        """The name of this start of the endpoint."""
        return self.record.identity

    @property
    def address(self) -> outbound.Address:
        """Where it listens."""
        return outbound.Address(host=self.record.host, port=self.record.port)

    @property
    def in_flight(self) -> int:
        """Requests of all entries that run on it, as far as known."""
        return self.own_requests + self.peer_requests

    def add_request(self, *, suspect: str) -> None:
        """Give it a request, with its fingerprint if that is a suspect."""
        self.own_requests += 1
        if suspect:
            self.suspects[suspect] += 1

    def remove_request(self, *, suspect: str) -> None:
        """Note that it no longer has a request that it was given."""
        self.own_requests -= 1
        if suspect:
            self.suspects[suspect] -= 1
            self.suspects += collections.Counter()

    def is_open(self, *, now: float) -> bool:
        """Whether it may be given requests."""
        # An endpoint in backoff is idle and would otherwise rank first.
        return now >= self.opens_at

    @property
    def opens_at(self) -> float:
        """When it may be given requests; infinite if leaving or gone."""
        if self.record.leaving or self.gone:
            return float('inf')
        return max(self.resting_until, self.backoff_until)

    def note_success(self, *, seconds: float) -> None:
        """A request came to a good end."""
        self.failures = 0
        if self.seconds:
            self.seconds += quality.SMOOTHING * (seconds - self.seconds)
        else:
            self.seconds = seconds

    def note_failure(self, *, now: float) -> None:
        """A request failed by the endpoint's fault."""
        self.failures += 1
        pause = min(LONGEST_PAUSE, FIRST_PAUSE * 2.0 ** (self.failures - 1))
        self.resting_until = max(self.resting_until, now + pause)

    def note_full(self, *, now: float) -> None:
        """The endpoint has refused a request for want of room."""
        self.resting_until = max(self.resting_until, now + FULL_SECONDS)

    def note_backoff(self, *, seconds: float, now: float) -> None:
        """Start or extend the backoff; a shorter one has no effect."""
        self.backoff_until = max(self.backoff_until, now + seconds)


class EndpointTable:
    """All endpoints, by service.

    :param random: decides between equals.
    """

    __slots__ = (
        '_by_identity',
        '_by_service',
        '_data_centre',
        '_kept_backoffs',
        '_random',
    )

    def __init__(
        self, *, data_centre: str, random: random_module.Random
    ) -> None:
        self._kept_backoffs: dict[tuple[str, int], float] = {}
        self._by_identity: dict[str, Endpoint] = {}
        self._by_service: dict[str, dict[str, Endpoint]] = {}
        self._data_centre = data_centre
        self._random = random

    def __iter__(self) -> Iterator[Endpoint]:
        return iter(list(self._by_identity.values()))

    def __len__(self) -> int:
        return len(self._by_identity)

    def find(self, identity: str) -> Endpoint | None:
        """Return an endpoint by its name."""
        return self._by_identity.get(identity)

    def list_for_service(self, service: str) -> list[Endpoint]:
        """Return the endpoints of a service."""
        return list(self._by_service.get(service, {}).values())

    def put(self, record: deployment.EndpointRecord) -> None:
        """Add an endpoint or change what is known of it.

        Nothing that is believed of one start holds for the next one.  Its
        requests that still run here give their places back to the old one.
        """
        known = self._by_identity.get(record.identity)
        if known is not None and record.born > known.record.born:
            if known.record.born:
                self.remove(record.identity)
                known = None
        if known is None:
            known = Endpoint(record=record)
            known.backoff_until = self._kept_backoffs.pop(
                (record.identity, record.born), 0.0
            )
            self._by_identity[record.identity] = known
        elif known.record.service != record.service:
            self._by_service[known.record.service].pop(record.identity)
        known.record = record
        self._by_service.setdefault(record.service, {})[
            record.identity
        ] = known

    def remove(self, identity: str) -> Endpoint | None:
        """Forget an endpoint; its requests in flight go on."""
        known = self._by_identity.pop(identity, None)
        if known is None:
            return None
        known.gone = True
        self._by_service[known.record.service].pop(identity, None)
        self._keep_backoff(known)
        return known

    def _keep_backoff(self, removed: Endpoint) -> None:
        """Keep the backoff of a removed endpoint.

        Its entry may lapse and come back before the backoff ends; without the
        kept value it would be given requests during the backoff.
        """
        if not removed.backoff_until:
            return
        if len(self._kept_backoffs) >= MOST_KEPT_BACKOFFS:
            del self._kept_backoffs[next(iter(self._kept_backoffs))]
        start = removed.record.identity, removed.record.born
        self._kept_backoffs[start] = removed.backoff_until

    def choose(
        self,
        *,
        service: str,
        now: float,
        slots: Callable[[Endpoint], float],
        avoid: frozenset[str],
        suspect: str = '',
    ) -> Endpoint | None:
        """Return the open endpoint with the most room, if one has any.

        :param slots: returns how many requests an endpoint may run.
        :param avoid: endpoints that are not to be used while there are
            others.
        :param suspect: fingerprint of a request under which an endpoint has
            ended, see :func:`_choose_apart`.
        """
        usual = self.find_median_seconds(service)
        known = self.list_without_slow_ranks(service, now=now)
        if avoid.issuperset(one.identity for one in known):
            # Waiting for another endpoint would last until the deadline.
            avoid = frozenset()
        found = [
            endpoint
            for endpoint in known
            if endpoint.identity not in avoid
            and endpoint.is_open(now=now)
            and endpoint.in_flight < slots(endpoint)
        ]
        if suspect:
            return _choose_apart(suspect, found)
        penalty = REMOTE_PENALTY_OF_FEW
        compared = self._sample(found)
        if sum(self._is_near(one) for one in known) >= MANY_NEAR:
            penalty = REMOTE_PENALTY_OF_MANY
            compared += self._sample(list(filter(self._is_near, found)))
        return min(
            compared,
            key=lambda one: self._rank(one, slots(one), usual, now, penalty),
            default=None,
        )

    def _is_near(self, endpoint: Endpoint) -> bool:
        return endpoint.record.data_centre == self._data_centre

    def _sample(self, found: list[Endpoint]) -> list[Endpoint]:
        if len(found) <= MOST_COMPARED:
            return list(found)
        return self._random.sample(found, MOST_COMPARED)

    def list_without_slow_ranks(
        self, service: str, *, now: float
    ) -> list[Endpoint]:
        """Return the endpoints of a service that do not slow its group.

        A request on a slow rank makes the passes of all requests longer.
        Where half of the ranks are slow the others could not carry all, so
        all are returned.
        """
        known = self.list_for_service(service)
        usual = [one for one in known if not one.quality.is_slow_rank(now=now)]
        return usual if 2 * len(usual) > len(known) else known

    def find_median_seconds(self, service: str) -> float:
        """Return what endpoints of a service take to answer, 0 if unknown."""
        known = [
            one.quality.seconds
            for one in self._by_service.get(service, {}).values()
            if one.quality.seconds
        ]
        return statistics.median_low(known) if known else 0.0

    def _rank(
        self,
        endpoint: Endpoint,
        room: float,
        usual: float,
        now: float,
        remote: float,
    ) -> float:
        """Return how long a request may take there; the least is best.

        :param remote: penalty of an endpoint in another data centre.
        """
        penalty = 0.0 if self._is_near(endpoint) else remote
        penalty += ERROR_PENALTY * endpoint.quality.error_rate(now=now)
        penalty += self._random.random() * 0.1
        slowness = endpoint.quality.slowness(usual=usual, now=now)
        return (1.0 + endpoint.in_flight + penalty) * slowness / room


def _choose_apart(suspect: str, found: list[Endpoint]) -> Endpoint | None:
    """Return where to run a request under which an endpoint has ended.

    Two such requests at one endpoint could not be told apart if it ended as
    well.  And copies of one that several entries send at once would end an
    endpoint each; by the order of their fingerprint they go to the same.
    """
    apart = [one for one in found if not one.suspects.keys() - {suspect}]
    return max(
        apart,
        key=lambda one: zlib.crc32(f'{suspect} {one.identity}'.encode()),
        default=None,
    )
