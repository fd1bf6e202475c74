"""Rebalancing policy that works out the whole map anew each interval."""

import heapq
from typing import Sequence

import anyio

from marigoldramp import expert_maps
from marigoldramp import placement


class Recompute(placement.RebalancingPolicy):
    """The baseline that gets the least skew whatever it costs."""

    async def begin_interval(
        self, *, situation: placement.Situation
    ) -> placement.Proposal | placement.Stay:
        """Propose the most even map, regardless of the one in force."""
        layers = []
        for shares in situation.popularity:
            layers.append(
                place(
                    popularity=shares,
                    ranks=self.group.ranks,
                    slots=self.group.slots,
                )
            )
            await anyio.sleep(0)
        new = tuple(layers)
        return placement.Proposal(
            layers=new,
            loads=placement.count_loads(old=situation.layers, new=new),
            skew_before=placement.mean_skew(
                layers=situation.layers, popularity=situation.popularity
            ),
            skew_after=placement.mean_skew(
                layers=new, popularity=situation.popularity
            ),
        )


def place(
    *, popularity: Sequence[float], ranks: int, slots: int
) -> expert_maps.Layer:
    """Return an even layer.

    The hottest experts get the spare replicas; then the largest share goes
    to the least loaded rank that does not hold that expert yet.
    """
    replicas = _replicate(popularity, ranks, slots)
    shares = [
        (popularity[expert] / count, expert)
        for expert, count in enumerate(replicas)
        for _ in range(count)
    ]
    shares.sort(reverse=True)
    held: list[set[int]] = [set() for _ in range(ranks)]
    queue = [(0.0, rank) for rank in range(ranks)]
    for share, expert in shares:
        put_back = []
        while queue:
            load, rank = heapq.heappop(queue)
            if expert not in held[rank]:
                held[rank].add(expert)
                if len(held[rank]) < slots:
                    put_back.append((load + share, rank))
                break
            put_back.append((load, rank))
        for entry in put_back:
            heapq.heappush(queue, entry)
    return tuple(tuple(sorted(one)) for one in held)


def _replicate(
    popularity: Sequence[float], ranks: int, slots: int
) -> list[int]:
    replicas = [1] * len(popularity)
    queue = [(-share, expert) for expert, share in enumerate(popularity)]
    heapq.heapify(queue)
    for _ in range(ranks * slots - len(popularity)):
        while queue:
            _, expert = heapq.heappop(queue)
            if replicas[expert] < ranks:
                replicas[expert] += 1
                share = popularity[expert] / replicas[expert]
                heapq.heappush(queue, (-share, expert))
                break
    return replicas
