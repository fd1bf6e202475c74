"""Two choices, and besides them whoever may have the prompt's prefix."""

import random as random_module
from typing import Sequence

from marigoldramp import messages
from marigoldramp import prefix_index
from marigoldramp import routing

MILLISECONDS = 1000.0


class PrefixAffinity(routing.RoutingPolicy):
    """Draws two endpoints and adds the one with most of the prompt cached.

    What the cache may save is set against the rank in seconds, so load
    outbids it.
    """

    #: Seconds that an engine takes for one block of prompt.
    BLOCK_SECONDS = 0.00128
    #: Share of a call's time that a full batch adds to it.
    BATCH_SHARE = 0.5
    #: Whether a call that is sent counts as cached from then on.
    learns_from_calls = True

    def __init__(self) -> None:
        self.index = prefix_index.PrefixIndex()

    def choose(
        self,
        *,
        options: Sequence[routing.Option],
        facts: routing.CallFacts,
        random: random_module.Random,
    ) -> routing.Option:
        """Return the best of two drawn and the one with most cached."""
        drawn = random.sample(options, min(2, len(options)))
        if not facts.prefix:
            return min(drawn, key=lambda option: option.rank)
        saved = {
            one.candidate.instance: self._save(one, facts) for one in options
        }
        most = max(saved.values())
        if most > 0.0:
            holders = [
                one for one in options if saved[one.candidate.instance] == most
            ]
            drawn.append(min(holders, key=lambda option: option.rank))
        chosen = min(
            drawn,
            key=lambda one: one.rank
            + self._price(one)
            - saved[one.candidate.instance],
        )
        if self.learns_from_calls:
            self.index.learn(
                instance=chosen.candidate.instance, prefix=facts.prefix
            )
        return chosen

    def note_cache_events(self, events: messages.CacheEvents) -> None:
        """Take in what an engine tells of its cache."""
        self.index.note(events)

    def forget(self, instance: str) -> None:
        """Forget an endpoint that is gone."""
        self.index.forget(instance)

    def _save(self, option: routing.Option, facts: routing.CallFacts) -> float:
        blocks = self.index.count(
            instance=option.candidate.instance, prefix=facts.prefix
        )
        return blocks * self.BLOCK_SECONDS

    def _price(self, option: routing.Option) -> float:
        """Return how much longer a call takes in the batch as it is.

        An engine with free slots makes nobody wait, and yet each call in
        its batch slows all others down.
        """
        load = option.candidate.load
        if load is None:
            return 0.0
        taken = max(load.running + load.queued, option.candidate.in_flight)
        service = load.service_ms / MILLISECONDS
        return self.BATCH_SHARE * service * taken / max(1, load.slots)
