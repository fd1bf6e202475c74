"""Any endpoint, at random (a baseline)."""

import random as random_module
from typing import Sequence

from marigoldramp import routing


class RandomChoice(routing.RoutingPolicy):
    """Takes any endpoint."""

    deadline_first = False

    def choose(
        self,
        *,
        options: Sequence[routing.Option],
        facts: routing.CallFacts,
        random: random_module.Random,
    ) -> routing.Option:
        """Return an option at random."""
        return random.choice(options)
