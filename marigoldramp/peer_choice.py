"""Which peers a process heartbeats unasked: a bounded set.

A full mesh grows with the square of the fleet.  Each entry heartbeats a
bounded number of other entries and, for each service, of agents; an agent
only makes itself known until entries use it.
"""

from typing import Iterable

from . import messages
from . import peer_table
from . import rendezvous

#: Peers chosen in each other data centre, so that what one data centre
#: knows reaches the next though most choices stay at home.
ELSEWHERE = 2
#: Entries to which an unused agent makes itself known.
INTRODUCTIONS = 3
#: Entries that must use an agent before it stops to introduce itself.
ENOUGH_USERS = 2

Records = Iterable[peer_table.Record]


class Choice:
    """Chooses for one process.

    :param most: most peers chosen of one kind: entries, or the agents of
        one service.
    """

    __slots__ = ('_data_centre', '_instance', '_most', '_role', '_scores')

    def __init__(
        self,
        *,
        instance: str,
        role: messages.Role,
        data_centre: str,
        most: int,
    ) -> None:
        self._instance = instance
        self._role = role
        self._data_centre = data_centre
        self._most = most
        self._scores: dict[str, int] = {}

    def choose(self, records: Records, *, users: int) -> set[str]:
        """Return the names of the peers to heartbeat.

        :param users: entries that have heartbeated this agent lately.
        """
        records = [record for record in records if not record.is_gone()]
        self._score(records)
        entries = _of_role(records, messages.Role.ENTRY)
        if self._role is messages.Role.AGENT:
            if users >= ENOUGH_USERS:
                return set()
            return self._choose_kind(entries, INTRODUCTIONS)
        chosen = self._choose_kind(entries, self._most)
        agents = _of_role(records, messages.Role.AGENT)
        for service in {record.service for record in agents}:
            mine = [each for each in agents if each.service == service]
            chosen |= self._choose_kind(mine, self._most)
        return chosen

    def _choose_kind(
        self, records: list[peer_table.Record], most: int
    ) -> set[str]:
        """Choose the best, and one more for each of these that is dead.

        The dead one stays chosen so that its return is noticed.
        """
        ranked = self._order(records, most)
        chosen: set[str] = set()
        living = 0
        for record in ranked[: 2 * most]:
            if living >= most:
                break
            chosen.add(record.instance)
            living += record.state is not peer_table.State.DEAD
        return chosen

    def _order(
        self, records: list[peer_table.Record], most: int
    ) -> list[peer_table.Record]:
        """Return records by preference.

        A few of each other data centre come first, since ``most`` would
        otherwise be used up at home; they take at most half of it.
        """
        ranked = sorted(records, key=self._weigh, reverse=True)
        seen: dict[str, int] = {}
        first: list[peer_table.Record] = []
        home: list[peer_table.Record] = []
        rest: list[peer_table.Record] = []
        for record in ranked:
            centre = record.data_centre
            if centre == self._data_centre:
                home.append(record)
            elif seen.get(centre, 0) < ELSEWHERE and len(first) < most // 2:
                seen[centre] = seen.get(centre, 0) + 1
                first.append(record)
            else:
                rest.append(record)
        return first + home + rest

    def _weigh(self, record: peer_table.Record) -> int:
        return self._scores[record.instance]

    def _score(self, records: Records) -> None:
        """Compute the weights of new names and forget those that went."""
        self._scores = {
            record.instance: self._scores.get(record.instance)
            or rendezvous.score_pair(one=self._instance, other=record.instance)
            for record in records
        }


def _of_role(records: Records, role: messages.Role) -> list[peer_table.Record]:
    return [record for record in records if record.role is role]
