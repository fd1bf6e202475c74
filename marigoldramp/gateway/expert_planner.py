"""Decides when the expert map of a group is changed, and to what.

Counts are read from a few ranks in turn, as each read is paid for and makes
the group pause.  Requests are spread over ranks evenly, so a few ranks show
the popularity of experts for all.
"""

import dataclasses
import math
from typing import Callable
from typing import Sequence

from absl import logging
import anyio

from .. import evacuation
from .. import expert_maps
from .. import layer_moves
from .. import logs
from .. import map_changes
from .. import map_conversation
from .. import placement
from .. import popularity
from . import endpoints
from . import ranks

#: Seconds between two reads of counts.
SAMPLE_SECONDS = 1.0
#: Ranks whose counts are read each time, when endpoints are little used and
#: when they are full.
SAMPLED_IDLE = 2
SAMPLED_FULL = 4
#: Seconds after which an old count weighs half in the slow estimate.
HALF_LIFE = 2.5
#: Distance between the fast and the slow estimate from which on the requests
#: count as changed.  The counts of four ranks in a second differ by 0.10 to
#: 0.14 when nothing has changed, and by 0.17 to 0.20 when half of it has.
SUDDEN = 0.15
#: Least fall of the mean skew for which a map is changed; a change costs some
#: forty orders.
LEAST_GAIN_IDLE = 0.35
LEAST_GAIN_FULL = 0.08
#: Least fall of the mean skew for a copy of an expert to one rank in so many,
#: when endpoints are little used and when they are full.  A copy costs the
#: same on both, but an even group serves many more requests in time when it
#: is full; and in a larger group it costs a smaller part of what is served.
GAIN_A_COPY_IDLE = 0.4
GAIN_A_COPY_FULL = 0.0224
#: Use up to which a group counts as little used, and from which on it counts
#: as full: the part in use of what it may run at once, or the pauses of its
#: streams as a part of the accepted ones, whichever is higher.  What it may
#: run counts, not its slots: a group that is kept below its slots for its
#: pauses needs an even map most, and its pauses no longer show it.
IDLE_USE = 0.4
FULL_USE = 0.65
#: Moves that are tried in one layer for each rank, and ranks that each one
#: may go to.  From a first map of 72 ranks, 144 experts and 3 places the
#: search ends after some 55 moves at a skew of 1.1; 24 leave it at 1.3, and
#: more than 6 other ranks lead nowhere else.
MOVES_A_RANK = 1.5
MOST_OTHERS = 6
#: Layers of all ranks for which a search each sample costs little (16% of a
#: core for 864); with more, samples are taken less often.
LAYERS_A_SAMPLE = 1024
#: Seconds after which a preparation is given up.
PREPARE_SECONDS = 4.0


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class _Seen:
    """Counts of a rank at its last read."""

    epoch: int
    at: float
    counts: tuple[int, ...]


class ExpertPlanner:
    """Plans for one group, see :class:`.map_leader.Planner`.

    :param find: returns the endpoint of a name.
    :param spare: new experts that a rank can copy in each layer.
    :param use: returns the use of the group, see :data:`IDLE_USE`.
    :param slow_ranks: returns the pace of ranks that are slow.
    """

    __slots__ = (
        '_api',
        '_shape',
        '_spare',
        '_find',
        '_use',
        '_slow_ranks',
        '_clock',
        '_estimator',
        '_seen',
        '_sequence',
        '_sampled_at',
    )

    def __init__(
        self,
        *,
        api: ranks.RankApi,
        shape: expert_maps.Shape,
        spare: int,
        find: Callable[[str], endpoints.Endpoint | None],
        use: Callable[[], float],
        slow_ranks: Callable[[], dict[int, float]],
        clock: Callable[[], float],
    ) -> None:
        self._api = api
        self._use = use
        self._slow_ranks = slow_ranks
        self._shape = shape
        self._spare = spare
        self._find = find
        self._clock = clock
        self._estimator = popularity.Estimator(
            layers=shape.layers,
            experts=shape.experts,
            agents=SAMPLED_FULL,
            half_life=HALF_LIFE,
            sudden=SUDDEN,
        )
        self._seen: dict[str, _Seen] = {}
        self._sequence = 0
        self._sampled_at = float('-inf')

    async def plan(
        self,
        *,
        expert_map: expert_maps.ExpertMap,
        conversation: map_conversation.Conversation,
    ) -> map_changes.Plan | None:
        """Return the change to make now, if any."""
        now = self._clock()
        size = self._shape.ranks * self._shape.layers
        pause = SAMPLE_SECONDS * max(1.0, size / LAYERS_A_SAMPLE)
        if now - self._sampled_at < pause:
            return None
        self._sampled_at = now
        if not await self._sample(conversation.agents()):
            return None
        return await self._search(expert_map)

    def ended(self, *, plan: map_changes.Plan, done: bool) -> None:
        """Learn whether a change took place."""
        logging.info('map change ended', extra=logs.fields(done=done))

    async def _sample(self, names: tuple[str, ...]) -> bool:
        """Read counts; return whether there is something new."""
        most = SAMPLED_IDLE if self._use() < IDLE_USE else SAMPLED_FULL
        chosen = sorted(names)[:most]
        self._estimator.agents = len(chosen)
        news = 0
        async with anyio.create_task_group() as tasks:

            async def read(name: str) -> None:
                nonlocal news
                news += await self._read(name)

            for name in chosen:
                tasks.start_soon(read, name)
        return news > 0

    async def _read(self, name: str) -> bool:
        endpoint = self._find(name)
        if endpoint is None:
            return False
        found = await self._api.counts(address=endpoint.address, identity=name)
        if isinstance(found, ranks.NoReply):
            return False
        now = self._clock()
        last = self._seen.get(name)
        self._seen[name] = _Seen(
            epoch=found.epoch, at=now, counts=found.counts
        )
        if len(found.counts) != self._shape.layers * self._shape.experts:
            return False
        if last is None or last.epoch != found.epoch:
            return False
        fresh = [
            max(0, new - old) for new, old in zip(found.counts, last.counts)
        ]
        self._sequence += 1
        return self._estimator.take(
            agent=name,
            report=popularity.Report(
                series=found.epoch,
                sequence=self._sequence,
                seconds=now - last.at,
                layers=_scale_layers(fresh, self._shape.experts),
            ),
        )

    def _evacuate(
        self,
        layer: expert_maps.Layer,
        popularity: Sequence[float],
        slow: dict[int, float],
    ) -> expert_maps.Layer:
        """Return the layer without experts on slow ranks, if it can be."""
        if not slow:
            return layer
        return evacuation.Evacuation(
            layer=layer,
            popularity=popularity,
            slots=self._shape.slots,
            most_new=self._spare,
            slow=slow,
        ).empty()

    async def _search(
        self, expert_map: expert_maps.ExpertMap
    ) -> map_changes.Plan | None:
        """Look for moves that are worth their copies."""
        before = after = 0.0
        layers = []
        use = self._use()
        gain_a_copy = _weigh(use, GAIN_A_COPY_IDLE, GAIN_A_COPY_FULL)
        gain_a_copy *= self._shape.layers / self._shape.ranks
        most_moves = math.ceil(MOVES_A_RANK * self._shape.ranks)
        slow = self._slow_ranks()
        for number, layer in enumerate(expert_map.layers):
            popular = self._estimator.estimate(number)
            search = layer_moves.LayerSearch(
                layer=self._evacuate(layer, popular, slow),
                popularity=popular,
                slots=self._shape.slots,
                most_new=self._spare,
                most_others=MOST_OTHERS,
                first=layer,
                closed=slow,
            )
            best = await _improve(search, gain_a_copy, most_moves)
            layers.append(best)
            before += _weigh_skew(layer, popular, slow)
            after += _weigh_skew(best, popular, slow)
        new = tuple(layers)
        before /= self._shape.layers
        after /= self._shape.layers
        copies = placement.count_loads(old=expert_map.layers, new=new)
        changes = before - after >= _weigh(
            use, LEAST_GAIN_IDLE, LEAST_GAIN_FULL
        )
        logging.info(
            'map considered',
            extra=logs.fields(
                version=str(expert_map.version),
                skew=round(before, 3),
                skew_after=round(after, 3),
                copies=copies,
                use=round(use, 3),
                slow_ranks=len(slow),
                distance=round(
                    sum(
                        self._estimator.distance(number)
                        for number in range(self._shape.layers)
                    )
                    / self._shape.layers,
                    3,
                ),
                changes=changes,
            ),
        )
        if not changes:
            return None
        return map_changes.Plan(layers=new, load_limit=PREPARE_SECONDS)


def _weigh_skew(
    layer: expert_maps.Layer,
    popularity: Sequence[float],
    slow: dict[int, float],
) -> float:
    """Return the time of the slowest rank over the mean of the others."""
    loads = expert_maps.rank_loads(layer=layer, popularity=popularity)
    total = sum(loads)
    if total <= 0.0:
        return 1.0
    times = [load * slow.get(rank, 1.0) for rank, load in enumerate(loads)]
    return max(times) * (len(loads) - len(slow)) / total


def _scale_layers(
    counts: list[int], experts: int
) -> tuple[popularity.LayerCounts, ...]:
    return tuple(
        popularity.scale(counts[start : start + experts])
        for start in range(0, len(counts), experts)
    )


def _weigh(use: float, idle: float, full: float) -> float:
    """Return the value between two that fits the use of a group."""
    part = min(1.0, max(0.0, (use - IDLE_USE) / (FULL_USE - IDLE_USE)))
    return float(idle * (full / idle) ** part)


async def _improve(
    search: layer_moves.LayerSearch, gain_a_copy: float, most_moves: int
) -> expert_maps.Layer:
    """Make moves while they pay; return the best layer."""
    best = search.layer()
    best_skew = search.skew
    spent = 0
    for _ in range(most_moves):
        move = search.find()
        if move is None:
            break
        search.apply(move)
        spent += move.loads
        # Streams of callers run in the same process.
        await anyio.sleep(0)
        if best_skew - search.skew >= gain_a_copy * spent:
            best = search.layer()
            best_skew = search.skew
            spent = 0
    return best
