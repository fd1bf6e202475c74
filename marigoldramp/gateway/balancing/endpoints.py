"""The table of known endpoints and the choice of one for a request.

Discovery adds and removes endpoints.  Their health is taken from the outcomes
of requests: an endpoint that fails gets no requests for a pause that doubles
with each consecutive failure.
"""

import collections
import random as random_module
import statistics
from typing import Callable
from typing import Iterator
import zlib

import msgspec

from .. import deployment
from .. import outbound
from . import cold_penalties
from . import quality
from ..shared_state import rate_limits
from . import short_requests

#: Pause after the first failure, and its limit after consecutive failures.
MIN_PAUSE_SECONDS = 0.25
MAX_PAUSE_SECONDS = 4.0
#: Pause after an endpoint has declined a request because it is full.
FULL_PAUSE_SECONDS = 0.1
#: Penalty of an endpoint in another data centre, in requests in flight.  The
#: small one, for a gateway whose data centre has few endpoints of the service,
#: only breaks ties.  The large one keeps most requests in the data centre.
#: This saves traffic between data centres, and fewer gateways compete for
#: each endpoint, whose reports come more often.
REMOTE_PENALTY_SMALL = 0.05
REMOTE_PENALTY_LARGE = 1.5
#: Number of endpoints of a service in the gateway's data centre from which the
#: large penalty applies.
MIN_LOCAL_ENDPOINTS = 8
#: Size of the random sample that is compared for one request, from all data
#: centres and again from the gateway's own.  The load that other gateways
#: cause is known with a delay: if all endpoints were compared, many gateways
#: would choose the same few at once, and these would decline while others are
#: free.
MAX_COMPARED_ENDPOINTS = 16
#: Maximum number of removed endpoints whose backoffs and rate limits are kept.
MAX_KEPT_SIGNALS = 1024
#: Penalty of an error rate of 1, in requests in flight.
ERROR_PENALTY = 6.0


class Endpoint:
    """The state of one endpoint.

    :ivar own_requests: number of requests of this gateway that run on it.
    :ivar suspects: number of these requests that are suspects, by fingerprint,
        see :mod:`.suspects`.
    :ivar peer_requests: number of requests on it that other gateways report.
    :ivar peer_origins: the same by data centre of these gateways.
    :ivar resting_until: end of the pause after a failure or a refusal.
    :ivar backoff_until: end of the backoff that the endpoint requested.
    :ivar rate_limit: the limit on its rate of requests, if it names one or is
        cold.
    :ivar failures: number of consecutive failures.
    :ivar quality: estimates of its latency and error rate.
    :ivar seconds: smoothed duration of a whole request, 0 if unknown.
    :ivar is_removed: whether it has been removed from the table.
    :ivar is_evacuated: whether its data centre must get no requests.
    """

    __slots__ = (
        'record',
        'own_requests',
        'suspects',
        'peer_requests',
        'peer_origins',
        'resting_until',
        'backoff_until',
        'rate_limit',
        'failures',
        'quality',
        'seconds',
        'is_removed',
        'is_evacuated',
    )

    def __init__(self, *, record: deployment.EndpointRecord) -> None:
        self.record = record
        self.own_requests = 0
        self.suspects: collections.Counter[str] = collections.Counter()
        self.peer_requests = 0
        self.peer_origins: dict[str, int] = {}
        self.resting_until = 0.0
        self.backoff_until = 0.0
        self.rate_limit = rate_limits.RateLimit()
        self.failures = 0
        self.quality = quality.Quality()
        self.seconds = 0.0
        self.is_removed = False
        self.is_evacuated = False

    @property
    def identity(self) -> str:
        """The name of the endpoint, which a restart keeps."""
        return self.record.identity

    @property
    def address(self) -> outbound.Address:
        """The address that it listens on."""
        return outbound.Address(host=self.record.host, port=self.record.port)

    @property
    def in_flight(self) -> int:
        """The known number of requests of all gateways that run on it."""
        return self.own_requests + self.peer_requests

    def add_request(self, *, suspect: str) -> None:
        """Count a request that is sent to it.

        :param suspect: fingerprint of the request if it is a suspect, else
            empty.
        """
        self.own_requests += 1
        if suspect:
            self.suspects[suspect] += 1

    def remove_request(self, *, suspect: str) -> None:
        """Count off a request that no longer runs on it."""
        self.own_requests -= 1
        if suspect:
            self.suspects[suspect] -= 1
            self.suspects += collections.Counter()

    def is_open(self, *, now: float) -> bool:
        """Whether it may be sent requests."""
        # An endpoint in backoff is idle and would otherwise score best.
        return (
            now >= self.resting_until
            and now >= self.backoff_until
            and now >= self.rate_limit.opens_at
            and not self.record.leaving
            and not self.is_removed
            and not self.is_evacuated
        )

    @property
    def opens_at(self) -> float:
        """When it may be sent requests; infinite for never."""
        if self.is_withdrawn:
            return float('inf')
        return max(
            self.resting_until, self.backoff_until, self.rate_limit.opens_at
        )

    @property
    def is_leaving(self) -> bool:
        """Whether it is shutting down or has been removed."""
        return self.record.leaving or self.is_removed

    @property
    def is_withdrawn(self) -> bool:
        """Whether it must get no further requests, for whatever reason."""
        return self.is_leaving or self.is_evacuated

    def note_success(self, *, seconds: float) -> None:
        """Record a request that succeeded and took some seconds."""
        self.failures = 0
        if self.seconds:
            self.seconds += quality.SMOOTHING_WEIGHT * (seconds - self.seconds)
        else:
            self.seconds = seconds

    def note_failure(self, *, now: float) -> None:
        """Record a failure of the endpoint and pause it."""
        self.failures += 1
        pause = min(
            MAX_PAUSE_SECONDS, MIN_PAUSE_SECONDS * 2.0 ** (self.failures - 1)
        )
        self.resting_until = max(self.resting_until, now + pause)

    def note_full(self, *, now: float) -> None:
        """Pause the endpoint after it declined a request for lack of room."""
        self.resting_until = max(self.resting_until, now + FULL_PAUSE_SECONDS)

    def note_backoff(self, *, seconds: float, now: float) -> None:
        """Start or extend the backoff; a shorter one has no effect."""
        self.backoff_until = max(self.backoff_until, now + seconds)


class _KeptSignals(msgspec.Struct, frozen=True, kw_only=True):
    """What a removed endpoint has asked for."""

    backoff_until: float
    rate_limit: rate_limits.RateLimit


class EndpointTable:
    """All known endpoints, by identity and by service.

    :param data_centre: the data centre of this gateway.
    :param random: samples endpoints and breaks ties.
    :ivar checksum: checksum of the records, equal at gateways that hold the
        same ones.
    """

    __slots__ = (
        'checksum',
        '_by_identity',
        '_by_service',
        '_data_centre',
        '_evacuated',
        '_kept_signals',
        '_random',
        '_balancers',
    )

    def __init__(
        self, *, data_centre: str, random: random_module.Random
    ) -> None:
        self.checksum = 0
        self._kept_signals: dict[tuple[str, int], _KeptSignals] = {}
        self._by_identity: dict[str, Endpoint] = {}
        self._by_service: dict[str, dict[str, Endpoint]] = {}
        self._data_centre = data_centre
        self._evacuated: frozenset[str] | None = frozenset()
        self._random = random
        self._balancers: dict[str, short_requests.Balancer] = {}

    def __iter__(self) -> Iterator[Endpoint]:
        return iter(list(self._by_identity.values()))

    def __len__(self) -> int:
        return len(self._by_identity)

    def find(self, identity: str) -> Endpoint | None:
        """Return an endpoint by its identity."""
        return self._by_identity.get(identity)

    def list_for_service(self, service: str) -> list[Endpoint]:
        """Return the endpoints of a service."""
        return list(self._by_service.get(service, {}).values())

    def put(self, record: deployment.EndpointRecord) -> None:
        """Add an endpoint or update its record.

        A restarted endpoint gets a new :class:`Endpoint`, as the state of the
        previous process does not apply to it.  Requests that were sent to the
        previous process are counted on the old object until they finish.
        """
        known = self._by_identity.get(record.identity)
        if known is not None and record.born > known.record.born:
            if known.record.born:
                self.remove(record.identity)
                known = None
        if known is None:
            known = Endpoint(record=record)
            kept = self._kept_signals.pop((record.identity, record.born), None)
            if kept is not None:
                known.backoff_until = kept.backoff_until
                known.rate_limit = kept.rate_limit
                # Whether it is cold is decided anew by its new record.
                known.rate_limit.cold.record = None
            self._by_identity[record.identity] = known
        else:
            self.checksum ^= _hash_record(known.record)
            if known.record.service != record.service:
                self._by_service[known.record.service].pop(record.identity)
        self.checksum ^= _hash_record(record)
        known.record = record
        known.is_evacuated = self._is_evacuated(record)
        self._by_service.setdefault(record.service, {})[
            record.identity
        ] = known

    def set_evacuated(self, data_centres: frozenset[str] | None) -> None:
        """Set the data centres whose endpoints must get no requests.

        :param data_centres: ``None`` if they are not known; then no endpoint
            gets requests.
        """
        self._evacuated = data_centres
        for endpoint in self._by_identity.values():
            endpoint.is_evacuated = self._is_evacuated(endpoint.record)

    def _is_evacuated(self, record: deployment.EndpointRecord) -> bool:
        if self._evacuated is None:
            return True
        return record.data_centre in self._evacuated

    def remove(self, identity: str) -> Endpoint | None:
        """Remove an endpoint; its requests in flight continue."""
        known = self._by_identity.pop(identity, None)
        if known is None:
            return None
        self.checksum ^= _hash_record(known.record)
        known.is_removed = True
        self._by_service[known.record.service].pop(identity, None)
        self._keep_signals(known)
        return known

    def _keep_signals(self, removed: Endpoint) -> None:
        """Keep the backoff and the rate limit of a removed endpoint.

        Its record may lapse and come back before these end; without the kept
        values it would be sent requests that it does not accept.
        """
        if not removed.backoff_until and not removed.rate_limit.version:
            return
        if len(self._kept_signals) >= MAX_KEPT_SIGNALS:
            del self._kept_signals[next(iter(self._kept_signals))]
        start = removed.record.identity, removed.record.born
        self._kept_signals[start] = _KeptSignals(
            backoff_until=removed.backoff_until,
            rate_limit=removed.rate_limit,
        )

    def choose(
        self,
        *,
        service: str,
        now: float,
        slots: Callable[[Endpoint], float],
        avoid: frozenset[str],
        suspect: str = '',
        late_after: float = float('inf'),
    ) -> Endpoint | None:
        """Return the best open endpoint with a free slot, if there is one.

        :param slots: returns how many requests an endpoint may run at once.
        :param avoid: identities of endpoints to use only if the service has
            no others.
        :param suspect: fingerprint of the request if it is a suspect, see
            :func:`_choose_isolated`.
        :param late_after: when the request will miss its objective.
        """
        usual = self.find_median_seconds(service)
        known = self.list_without_slow_ranks(service, now=now)
        if avoid.issuperset(one.identity for one in known):
            # Waiting for another endpoint would last until the deadline.
            avoid = frozenset()
        found = [
            endpoint
            for endpoint in known
            if endpoint.identity not in avoid and endpoint.is_open(now=now)
        ]
        if not suspect and short_requests.is_short(known, usual=usual):
            return self._find_balancer(service).choose(
                found, slots=slots, usual=usual, now=now
            )
        found = [one for one in found if one.in_flight < slots(one)]
        if suspect:
            return _choose_isolated(suspect, found)
        remote = REMOTE_PENALTY_SMALL
        cold = cold_penalties.find_penalty(late_after - now)
        compared = self._sample(found)
        if sum(self._is_local(one) for one in known) >= MIN_LOCAL_ENDPOINTS:
            remote = REMOTE_PENALTY_LARGE
            compared += self._sample(list(filter(self._is_local, found)))
        return min(
            compared,
            key=lambda one: self._score(
                one, slots(one), usual, now, remote, cold
            ),
            default=None,
        )

    def _find_balancer(self, service: str) -> short_requests.Balancer:
        found = self._balancers.get(service)
        if found is None:
            found = self._balancers[service] = short_requests.Balancer(
                data_centre=self._data_centre, random=self._random
            )
        return found

    def _is_local(self, endpoint: Endpoint) -> bool:
        return endpoint.record.data_centre == self._data_centre

    def _sample(self, found: list[Endpoint]) -> list[Endpoint]:
        if len(found) <= MAX_COMPARED_ENDPOINTS:
            return list(found)
        return self._random.sample(found, MAX_COMPARED_ENDPOINTS)

    def list_without_slow_ranks(
        self, service: str, *, now: float
    ) -> list[Endpoint]:
        """Return the endpoints of a service that run its requests.

        Endpoints of evacuated data centres and slow ranks are left out.  All
        ranks of a group compute each forward pass together, so a request on a
        slow rank delays the requests on all others.  If half of the ranks or
        more are slow, all are returned, as the others could not take the whole
        load.
        """
        known = self.list_for_service(service)
        if self._evacuated != frozenset():
            known = [one for one in known if not one.is_evacuated]
        fast = [one for one in known if not one.quality.is_slow_rank(now=now)]
        return fast if 2 * len(fast) > len(known) else known

    def find_median_seconds(self, service: str) -> float:
        """Return the median time to an answer of a service, 0 if unknown."""
        known = [
            one.quality.usual_seconds
            for one in self._by_service.get(service, {}).values()
            if one.quality.usual_seconds
        ]
        return statistics.median_low(known) if known else 0.0

    def _score(
        self,
        endpoint: Endpoint,
        slot_count: float,
        usual: float,
        now: float,
        remote_penalty: float,
        cold_penalty: float,
    ) -> float:
        """Return the relative expected duration of a request; lowest is best.

        :param slot_count: how many requests the endpoint may run at once.
        :param usual: median time to an answer of the service.
        :param remote_penalty: penalty of an endpoint in another data centre.
        :param cold_penalty: penalty of a cold endpoint.
        """
        penalty = 0.0 if self._is_local(endpoint) else remote_penalty
        penalty += ERROR_PENALTY * endpoint.quality.error_rate(now=now)
        penalty += self._random.random() * 0.1
        if endpoint.rate_limit.cold.is_cold:
            penalty += cold_penalty
        slowness = endpoint.quality.slowness(usual=usual, now=now)
        return (1.0 + endpoint.in_flight + penalty) * slowness / slot_count


def _hash_record(record: deployment.EndpointRecord) -> int:
    """Return a hash that changes whenever the record is written anew."""
    text = f'{record.identity} {record.born} {record.revision}'
    return zlib.crc32(text.encode())


def _choose_isolated(suspect: str, found: list[Endpoint]) -> Endpoint | None:
    """Return the endpoint to run a suspect on, if one has no other suspect.

    If an endpoint ended with two suspects on it, either could be the cause.
    Copies of one suspect that several gateways send at once would end an
    endpoint each, so rendezvous hashing sends them to the same one.
    """
    isolated = [one for one in found if not one.suspects.keys() - {suspect}]
    return max(
        isolated,
        key=lambda one: zlib.crc32(f'{suspect} {one.identity}'.encode()),
        default=None,
    )
