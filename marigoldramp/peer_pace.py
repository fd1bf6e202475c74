"""How often heartbeats go, so that a process keeps within its budget."""

from . import peer_table
from . import settings as settings_module

#: Intervals for which a peer that asked is answered.
ANSWERED_INTERVALS = 6
#: A peer is sent about as many datagrams as come from it.
DIRECTIONS = 2


class Pace:
    """Stretches the interval when there are more peers than the budget.

    Both ends of a link keep to the slower one's interval, and judge silence
    by it.  Otherwise a process with many peers would be flooded by those
    that have few, or be suspected by them.

    :ivar interval: seconds between two heartbeats of this process to a peer.
    """

    __slots__ = ('_settings', 'interval')

    def __init__(self, *, settings: settings_module.Membership) -> None:
        self._settings = settings
        self.interval = settings.heartbeat

    def adapt(self, links: int) -> None:
        """Set the interval for a number of peers."""
        least = DIRECTIONS * links / self._settings.datagrams
        self.interval = max(self._settings.heartbeat, least)

    def interval_of(self, record: peer_table.Record) -> float:
        """Return the seconds between two heartbeats on a link."""
        return max(self.interval, record.interval)

    def suspect_after(self, record: peer_table.Record) -> float:
        """Return the seconds of silence after which a peer is verified."""
        stretch = self.interval_of(record) / self._settings.heartbeat
        return self._settings.suspect_after * stretch

    def answer_seconds(self, record: peer_table.Record) -> float:
        """Return for how long a peer that asked is answered."""
        return ANSWERED_INTERVALS * self.interval_of(record)
