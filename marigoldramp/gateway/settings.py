"""Settings of one gateway process, as read by its platform adapter.

Times are in seconds.  The adapter validates the file before it creates these.
"""

import msgspec

from . import outbound
from . import retry_budget
from . import store_outages

Address = outbound.Address
#: Link bandwidth in bytes per second that counts as much as one core: a leader
#: of 192 ranks sends 4.8 MB for one change of the expert map, and a core sends
#: about 2,000 orders per second.
LINK_BYTES_PER_SECOND_PER_CORE = 2_500_000.0


class ColdBounds(msgspec.Struct, frozen=True, kw_only=True):
    """How far the rate of a cold endpoint may be exceeded in one second.

    It may get ``factor`` times its rate and ``extra`` requests more.
    """

    factor: float
    extra: float


class Bounds(msgspec.Struct, frozen=True, kw_only=True):
    """Bounds that the operator sets for a whole deployment.

    :ivar drain: time within which a leaving endpoint must stop getting new
        requests.
    :ivar grace: time between the request to stop and the forced stop.
    :ivar apply: time within which a new configuration must be in force.
    :ivar revoke: time after which a removed key must be rejected.
    :ivar longest_addresses: time for which callers cache addresses.
    :ivar retries: retry budget.
    :ivar fenced: endpoints check the fencing tokens of orders.
    :ivar stall: time for which a group of ranks waits for a dead rank.
    :ivar contact: time for which a gateway must have run and been connected
        undisturbed for the other bounds to hold for it.
    :ivar evacuate: time within which an evacuation of a data centre must be in
        force; ``None`` if the operator evacuates none.
    :ivar cold: ``None`` if cold endpoints need no protection.
    """

    drain: float
    grace: float
    apply: float
    revoke: float
    longest_addresses: float
    retries: retry_budget.Bounds
    fenced: bool
    stall: float
    contact: float = 3.0
    evacuate: float | None = None
    cold: ColdBounds | None = None


class Settings(msgspec.Struct, frozen=True, kw_only=True):
    """Settings of one gateway.

    :ivar instance: name of the instance, which is also the gateway's.
    :ivar calls: listening address for callers, ``None`` if it serves none.
    :ivar readiness: listening address for readiness checks of the platform.
    :ivar addresses: listening address for callers that ask for the addresses
        of gateways.
    :ivar peers: listening address for peers, over TCP and UDP.
    :ivar metrics: listening address for metrics.
    :ivar seeds: addresses of possible peers; they may be out of date.
    :ivar store: address of the platform's store.
    :ivar descriptors: maximum number of open sockets.
    :ivar cores: processor time per second that the process may use, in seconds
        of a standard core.
    :ivar link_rate: bandwidth of the instance's link in bytes per second.
    :ivar memory: bytes of memory that the process may use; 0 if not stated.
    :ivar heartbeat: interval at which endpoints write their records.
    """

    instance: str
    data_centre: str
    region: str
    calls: Address | None
    readiness: Address | None
    addresses: Address | None
    peers: Address
    metrics: Address
    seeds: tuple[Address, ...]
    store: Address
    descriptors: int
    cores: float
    link_rate: float
    bounds: Bounds
    memory: int = 0
    heartbeat: float = store_outages.DEFAULT_HEARTBEAT_SECONDS

    @property
    def capacity(self) -> float:
        """Return the capacity of the instance, in cores.

        The leader of a large group sends each change of the expert map to all
        ranks while it serves callers.  Where instances differ in size, one
        with two cores and 100 Mbit/s takes less than half as long for this as
        one with one core and 20 Mbit/s, and the ranks stay balanced for that
        much longer.
        """
        return min(self.cores, self.link_rate / LINK_BYTES_PER_SECOND_PER_CORE)
