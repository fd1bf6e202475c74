"""Settings of one gateway process, as its adapter reads them.

Times are in seconds.  The adapter checks the file; what is here is sound.
"""

import dataclasses

from . import outbound
from . import retry_budget

Address = outbound.Address
#: Bytes a second of a link that go with one core.  A leader of 192 ranks sends
#: 4.8 MB for one change, and a core some 2,000 orders a second.
LINK_A_CORE = 2_500_000.0


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Bounds:
    """Bounds that the operator sets for a whole deployment.

    :ivar drain: within which a leaving endpoint must get nothing new.
    :ivar grace: between the request for a stop and the forced one.
    :ivar apply: within which a configuration is to be in force.
    :ivar revoke: after which a removed key must not work any more.
    :ivar longest_addresses: for which callers keep an address answer.
    :ivar retries: the budget of repeated sends.
    :ivar fenced: endpoints check fencing numbers of orders.
    :ivar stall: for which a group of ranks waits for a dead rank.
    """

    drain: float
    grace: float
    apply: float
    revoke: float
    longest_addresses: float
    retries: retry_budget.Bounds
    fenced: bool
    stall: float


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Settings:
    """Everything that a process is told at its start.

    :ivar calls: where callers connect.
    :ivar readiness: where the platform asks whether we take requests.
    :ivar addresses: where callers ask for addresses.
    :ivar peers: where other entries reach us, by TCP and by UDP.
    :ivar metrics: where metrics can be read.
    :ivar seeds: peers that may live; they may be stale.
    :ivar store: the platform's store.
    :ivar descriptors: sockets that the process may open.
    :ivar cores: processor time that the process may use in a second, in
        seconds of a usual core.
    :ivar link_rate: bytes a second of the instance's link.
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

    @property
    def strength(self) -> float:
        """How much the instance can do, in cores.

        The leader of a large group tells all ranks of each change while it
        serves callers.  Where instances are of unlike size, one with two
        cores and 100 Mbit/s does so in less than half of the time of one with
        one core and 20 Mbit/s, and the group is even for so much longer.
        """
        return min(self.cores, self.link_rate / LINK_A_CORE)
