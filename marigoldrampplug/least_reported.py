"""Least reported load (a baseline)."""

import random as random_module
from typing import Sequence

from marigoldramp import routing


class LeastReported(routing.RoutingPolicy):
    """Takes the endpoint that reports the least load; ties at random."""

    deadline_first = False

    def choose(
        self,
        *,
        options: Sequence[routing.Option],
        facts: routing.CallFacts,
        random: random_module.Random,
    ) -> routing.Option:
        """Return an option with the least reported load."""
        least = min(routing.reported_load(option) for option in options)
        return random.choice(
            [one for one in options if routing.reported_load(one) == least]
        )
