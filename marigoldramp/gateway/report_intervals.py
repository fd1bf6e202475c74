"""How often entries report to each other."""

import dataclasses

#: Seconds between two reports to a peer, with few peers.
PERIOD = 0.1
#: Peers to which a report goes each period before the period stretches;
#: reports are most of what a node spends on control.  A leader reports to
#: more of them, so that its end is noticed soon in a larger deployment too.
PEERS_A_PERIOD = 16
PEERS_A_PERIOD_OF_LEADER = 64
#: The same for peers in other data centres.  Callers and endpoints of one data
#: centre are served by its own entries where there are many, so what happens
#: elsewhere matters less, and bytes between data centres are dear: with 99
#: entries in five of them reports were most of these bytes.
REMOTE_PEERS_A_PERIOD = 4


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class ReportIntervals:
    """Seconds between two reports of an entry to each of its peers.

    :ivar near: to those in its own data centre.
    :ivar remote: to the others.
    """

    near: float
    remote: float


def compute_intervals(
    *, near: int, remote: int, leads: bool
) -> ReportIntervals:
    """Return how often an entry reports to its peers.

    :param near: how many peers are in its own data centre.
    :param remote: how many are in others.
    :param leads: it leads a group of ranks.
    """
    if leads:
        period = _stretch(near + remote, PEERS_A_PERIOD_OF_LEADER)
        return ReportIntervals(near=period, remote=period)
    return ReportIntervals(
        near=_stretch(near, PEERS_A_PERIOD),
        remote=_stretch(remote, REMOTE_PEERS_A_PERIOD),
    )


def _stretch(peers: int, usual: int) -> float:
    return PERIOD * max(1.0, peers / usual)
