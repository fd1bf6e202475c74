"""Two choices by estimated end."""

import random as random_module
from typing import Sequence

from marigoldramp import routing


class TwoChoices(routing.RoutingPolicy):
    """Draws two endpoints and takes the one that ranks first.

    Taking the best of all would send every entry to the same endpoint until
    the next report; drawing two spreads them.
    """

    def choose(
        self,
        *,
        options: Sequence[routing.Option],
        facts: routing.CallFacts,
        random: random_module.Random,
    ) -> routing.Option:
        """Return the better of two options drawn at random."""
        drawn = random.sample(options, min(2, len(options)))
        return min(drawn, key=lambda option: option.rank)
