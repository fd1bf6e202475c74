"""Two choices on the load report as it stands (a baseline)."""

import random as random_module
from typing import Sequence

from marigoldramp import routing


class TwoChoicesRaw(routing.RoutingPolicy):
    """Draws two endpoints and takes the one that reports less load."""

    deadline_first = False

    def choose(
        self,
        *,
        options: Sequence[routing.Option],
        facts: routing.CallFacts,
        random: random_module.Random,
    ) -> routing.Option:
        """Return the less loaded of two options drawn at random."""
        drawn = random.sample(options, min(2, len(options)))
        return min(drawn, key=routing.reported_load)
