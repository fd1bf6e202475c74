"""One endpoint after the other (a baseline)."""

import random as random_module
from typing import Sequence

from marigoldramp import routing


class RoundRobin(routing.RoutingPolicy):
    """Takes the endpoints in turn, in the order of their names."""

    deadline_first = False

    def __init__(self) -> None:
        self._last = ''

    def choose(
        self,
        *,
        options: Sequence[routing.Option],
        facts: routing.CallFacts,
        random: random_module.Random,
    ) -> routing.Option:
        """Return the option after the one that was taken last."""
        ordered = sorted(options, key=lambda one: one.candidate.instance)
        for option in ordered:
            if option.candidate.instance > self._last:
                break
        else:
            option = ordered[0]
        self._last = option.candidate.instance
        return option
