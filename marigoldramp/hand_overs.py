"""Records of non-idempotent calls, handed from agent to agent at a stop.

An agent that stops gives its own records, and those that it took over from
others, to the agents that entries will ask for them.  When the agents of a
service are restarted one after the other, the records of the first would
else be gone with the last, while callers still hold its keys.
"""

from typing import Sequence

from absl import logging

from . import executor as executor_module
from . import keys
from . import membership
from . import messages
from . import peers
from . import predecessors

#: Records in one message.
BATCH = 64
#: Agents that are asked to take one set of records, as some may be gone.
MOST_ASKED = 4

Peers = Sequence[membership.Peer]


class HandOvers:
    """Gives and takes the records of one agent.

    :param instance: name of this agent.
    """

    __slots__ = (
        '_instance',
        '_service',
        '_incarnation',
        '_executor',
        '_members',
        '_client',
        '_gone',
    )

    def __init__(
        self,
        *,
        instance: str,
        service: str,
        incarnation: int,
        executor: executor_module.Executor,
        members: membership.Membership,
        client: peers.Client,
    ) -> None:
        self._instance = instance
        self._service = service
        self._incarnation = incarnation
        self._executor = executor
        self._members = members
        self._client = client
        self._gone: set[str] = set()

    async def give(self) -> bool:
        """Hand all records over; return whether anybody has our own."""
        kept = await self._give_set(
            predecessors.Taken(
                agent=self._instance,
                incarnation=self._incarnation,
                handed_over=tuple(self._executor.records.describe()),
                complete=True,
            )
        )
        for taken in self._executor.predecessors.list():
            await self._give_set(taken)
        return kept

    def take(
        self, *, request: peers.HandOverRequest, sender: str
    ) -> peers.HandOverReply:
        """Keep the records that an agent of this service hands over."""
        if request.service != self._service or not self._may_give(
            sender, request.agent
        ):
            return peers.HandOverReply(kept=False, reason='not for this agent')
        kept = self._executor.predecessors.take(
            agent=request.agent,
            incarnation=request.incarnation,
            handed_over=predecessors.decode(request.records),
            complete=request.complete,
        )
        return peers.HandOverReply(kept=kept, reason='' if kept else 'full')

    def _may_give(self, sender: str, agent: str) -> bool:
        """Whether a sender may speak for an agent: itself, or another one.

        For others only agents of the service speak, as nobody else has
        taken their records over.
        """
        if sender == agent:
            return True
        return any(peer.instance == sender for peer in self._list_agents())

    def _list_agents(self) -> list[membership.Peer]:
        """Return the other agents of the service.

        Agents do not heartbeat each other, so that most are known by name
        only.  Had this waited for heartbeats of theirs, no record would
        ever be handed over; trying a few shows who lives.
        """
        return [
            peer
            for peer in self._members.all_peers()
            if peer.role is messages.Role.AGENT
            and peer.service == self._service
        ]

    def _list_successors(self, agent: str) -> list[membership.Peer]:
        """Return those to give an agent's records, as entries will ask.

        They ask the agent's next start first, then the others by rank.
        What is known here of another agent may be of its last start, which
        was leaving or has died; so nobody is left out, and one that leaves
        refuses.  Those held to be dead come last, as each may cost a timeout.
        """
        others = [
            peer
            for peer in self._list_agents()
            if peer.instance not in self._gone
        ]
        others.sort(
            key=lambda peer: (
                peer.state is membership.State.DEAD,
                peer.instance != agent,
                keys.rank(agent, peer.instance),
            )
        )
        return others

    async def _give_set(self, taken: predecessors.Taken) -> bool:
        kept = 0
        for peer in self._list_successors(taken.agent)[:MOST_ASKED]:
            kept += await self._give_to(peer, taken)
            if kept == keys.MOST_SUCCESSORS:
                break
        return kept > 0

    async def _give_to(
        self, peer: membership.Peer, taken: predecessors.Taken
    ) -> bool:
        """Return whether a peer has taken a whole set."""
        records = taken.handed_over
        for start in range(0, max(1, len(records)), BATCH):
            last = start + BATCH >= len(records)
            reply = await self._client.hand_over(
                peer.host,
                peer.control_port,
                receiver=peer.instance,
                request=peers.HandOverRequest(
                    agent=taken.agent,
                    service=self._service,
                    incarnation=taken.incarnation,
                    complete=taken.complete and last,
                    records=predecessors.encode(
                        records[start : start + BATCH]
                    ),
                ),
            )
            if isinstance(reply, peers.Unreachable):
                # Each try costs a timeout, which the stop has to wait for.
                self._gone.add(peer.instance)
            if isinstance(reply, peers.Unreachable) or not reply.kept:
                logging.warning('%s took no records', peer.instance)
                return False
        logging.info(
            'handed %d records of %s to %s',
            len(records),
            taken.agent,
            peer.instance,
        )
        return True
