"""What the ranks of a stand-in group count: drifting expert popularity."""

import random as random_module

from marigoldramp import expert_maps
from marigoldramp import popularity

#: Exponent of the popularity over its rank.
STEEPNESS = 0.8
TOKENS_PER_STEP = 1000.0
SECONDS_PER_TOKEN = 1e-5
BASE_SECONDS = 1e-3
#: Time that one step stands for in reports.  A stand-in steps for a few
#: seconds only, in which an estimate over minutes would learn nothing.
SECONDS_PER_STEP = 1.0


class Counts:
    """Popularity of experts by layer, and what each rank reports of it."""

    def __init__(self, *, layers: int, experts: int, seed: int) -> None:
        random = random_module.Random(seed)
        self._layers = []
        for _ in range(layers):
            weights = [(place + 1) ** -STEEPNESS for place in range(experts)]
            random.shuffle(weights)
            total = sum(weights)
            self._layers.append([weight / total for weight in weights])
        self._sequences: dict[int, int] = {}
        self._reported: dict[int, int] = {}

    def report(
        self, *, rank: int, steps: int, in_force: expert_maps.ExpertMap
    ) -> popularity.Report:
        """Return a rank's report of the steps since its last one."""
        since = max(0, steps - self._reported.get(rank, 0))
        self._reported[rank] = steps
        self._sequences[rank] = self._sequences.get(rank, 0) + 1
        tokens = sum(
            expert_maps.rank_loads(layer=layer, popularity=shares)[rank]
            for layer, shares in zip(in_force.layers, self._layers)
        )
        tokens *= since * TOKENS_PER_STEP
        return popularity.Report(
            series=1,
            sequence=self._sequences[rank],
            seconds=since * SECONDS_PER_STEP,
            layers=tuple(
                popularity.scale([share * TOKENS_PER_STEP for share in shares])
                for shares in self._layers
            ),
            timings=(
                popularity.RankTiming(
                    rank=rank,
                    steps=since,
                    busy_seconds=since * BASE_SECONDS
                    + tokens * SECONDS_PER_TOKEN,
                    tokens=tokens,
                ),
            ),
        )
