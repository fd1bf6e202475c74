"""How often gateways report to each other."""

import msgspec

#: Seconds between two reports to a peer, with few peers.
DEFAULT_INTERVAL_SECONDS = 0.1
#: Peers to which a report goes each period before the period stretches;
#: reports are most of the control traffic of an instance.  A leader reports to
#: more of them, so that its end is noticed soon in a larger deployment too.
MAX_NEAR_PEERS = 16
MAX_PEERS_OF_LEADER = 64
#: The same for peers in other data centres.  Callers and endpoints of one data
#: centre are served by its own gateways where there are many, so what happens
#: elsewhere matters less, and traffic between them is expensive: with 99
#: gateways in five data centres, reports are most of it.
MAX_REMOTE_PEERS = 4


class Intervals(msgspec.Struct, frozen=True, kw_only=True):
    """Seconds between two reports of a gateway to each of its peers.

    :ivar near: to those in its own data centre.
    :ivar remote: to the others.
    """

    near: float
    remote: float


def compute_intervals(*, near: int, remote: int, leads: bool) -> Intervals:
    """Return how often a gateway reports to its peers.

    :param near: how many peers are in its own data centre.
    :param remote: how many are in others.
    :param leads: it leads a group of ranks.
    """
    if leads:
        interval = _stretch(near + remote, MAX_PEERS_OF_LEADER)
        return Intervals(near=interval, remote=interval)
    return Intervals(
        near=_stretch(near, MAX_NEAR_PEERS),
        remote=_stretch(remote, MAX_REMOTE_PEERS),
    )


def _stretch(peers: int, limit: int) -> float:
    return DEFAULT_INTERVAL_SECONDS * max(1.0, peers / limit)
