"""Tells the other entries of a customer how much is asked here."""

from typing import Callable

import anyio

from . import demands
from . import limits as limits_module
from . import messages
from . import shares as shares_module

#: Sends a usage to an entry, by its instance name.
Send = Callable[[str, messages.Usage], None]


class Exchange:
    """One entry's side of the exchange.

    :param wall: wall clock in seconds, for the receivers' checks.
    """

    __slots__ = (
        '_entry',
        '_incarnation',
        '_limits',
        '_shares',
        '_demands',
        '_send',
        '_wall',
        '_sequence',
    )

    def __init__(
        self,
        *,
        entry: str,
        incarnation: int,
        limits: limits_module.Limits,
        shares: shares_module.Shares,
        known: demands.Demands,
        send: Send,
        wall: Callable[[], float],
    ) -> None:
        self._entry = entry
        self._incarnation = incarnation
        self._limits = limits
        self._shares = shares
        self._demands = known
        self._send = send
        self._wall = wall
        self._sequence = 0

    async def run(self) -> None:
        """Publish until cancelled."""
        while True:
            await anyio.sleep(demands.PUBLISH_SECONDS)
            self.publish()

    def publish(self) -> None:
        """Tell each peer what it needs to know now."""
        asked = [
            demands.Asked(
                customer=asking.customer.name,
                fraction=asking.fraction,
                serving=self._shares.serving(asking.customer),
            )
            for asking in self._limits.list_asking()
        ]
        for report in self._demands.publish(asked):
            self._sequence += 1
            usage = messages.Usage(
                entry=self._entry,
                incarnation=self._incarnation,
                sequence=self._sequence,
                sent_at=self._wall(),
                hears=report.hears,
                demands=report.demands,
            )
            self._send(report.peer, usage)

    def receive(self, usage: messages.Usage) -> None:
        """Take in what a peer has told."""
        self._demands.note(usage)
