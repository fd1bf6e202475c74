"""Keeps one task running for each peer that is chosen or heard."""

import functools
from typing import Callable

import anyio
import anyio.abc

from . import messages
from . import peer_choice
from . import peer_link
from . import peer_pace
from . import peer_table
from . import supervision

#: Known instances up to which peers are chosen anew every interval.
CHOICE_KNOWN = 256

MakeLink = Callable[[peer_table.Record], peer_link.Link]
OnEnd = Callable[[peer_table.Record], None]


class Links:
    """Starts the tasks of peers and chooses which peers to heartbeat.

    :param on_end: told when a peer is no longer attended.
    """

    __slots__ = (
        '_choice',
        '_clock',
        '_group',
        '_links',
        '_make_link',
        '_on_end',
        '_pace',
        '_table',
    )

    def __init__(
        self,
        *,
        table: peer_table.Table,
        choice: peer_choice.Choice,
        make_link: MakeLink,
        on_end: OnEnd,
        pace: peer_pace.Pace,
        clock: Callable[[], float],
    ) -> None:
        self._table = table
        self._choice = choice
        self._make_link = make_link
        self._on_end = on_end
        self._pace = pace
        self._clock = clock
        self._links: dict[str, peer_link.Link] = {}
        self._group: anyio.abc.TaskGroup | None = None

    async def run(self, every: float) -> None:
        """Attend peers until cancelled, choosing anew ``every`` seconds.

        At 1,280 known instances a choice takes two milliseconds, so it is
        not made for each that becomes known, and less often in large fleets.
        """
        async with anyio.create_task_group() as group:
            self._group = group
            try:
                while True:
                    self.choose()
                    known = len(self._table)
                    await anyio.sleep(every * max(1.0, known / CHOICE_KNOWN))
            finally:
                self._group = None

    def choose(self) -> None:
        """Choose the peers to heartbeat and attend them."""
        chosen = self._choice.choose(self._table, users=self._count_users())
        for record in self._table:
            record.chosen = record.instance in chosen
            if record.chosen:
                self.attend(record)
        self._pace.adapt(len(self._links))

    def attend(self, record: peer_table.Record) -> None:
        """Start the peer's task if none runs."""
        if record.attended or self._group is None:
            return
        record.attended = True
        link = self._make_link(record)
        self._links[record.instance] = link
        self._group.start_soon(
            functools.partial(self._run_link, record, link),
            name=f'peer {record.instance}',
        )

    def wake(self, instance: str) -> bool:
        """Heartbeat and judge a peer now; false if it is not attended."""
        link = self._links.get(instance)
        if link is None:
            return False
        link.wake()
        return True

    def wake_all(self) -> None:
        """Heartbeat every attended peer now."""
        for link in self._links.values():
            link.wake()

    async def _run_link(
        self, record: peer_table.Record, link: peer_link.Link
    ) -> None:
        try:
            await supervision.run_contained(link.run)
        finally:
            record.attended = False
            del self._links[record.instance]
        self._on_end(record)

    def _count_users(self) -> int:
        """Return how many entries heartbeat us of their own choice."""
        now = self._clock()
        return sum(
            record.role is messages.Role.ENTRY and record.is_asking(now)
            for record in self._table
        )
