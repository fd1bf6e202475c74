"""What a routing policy is given, and what it is."""

import abc
import dataclasses
import random as random_module
from typing import Sequence

from . import candidates
from . import messages
from . import plugins


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class CallFacts:
    """What the router needs to know about a call.

    :ivar remaining: seconds until the answer is worthless.
    :ivar prefix: digests of the prompt's blocks, each over all before it.
    :ivar tokens: expected generated tokens, 0 where unknown.
    """

    call: str
    service: str
    customer: str
    priority: int
    remaining: float
    prefix: tuple[bytes, ...] = ()
    tokens: int = 0
    prompt_bytes: int = 0


@dataclasses.dataclass(slots=True, kw_only=True)
class Option:
    """A candidate with the estimates on which a policy decides.

    It is made for each endpoint at each choice, and a frozen one takes
    four times as long to make.

    :ivar wait: estimated seconds until the call starts there.
    :ivar end: seconds until it may have ended there, with some luck; what
        is later than its deadline is refused.
    :ivar rank: the lower the better, in seconds: the wait, how far its
        slots are taken, and what makes the endpoint doubtful.
    """

    candidate: candidates.Candidate
    wait: float
    end: float
    rank: float


def reported_load(option: Option) -> float:
    """Return the load that an endpoint reports, in calls per slot."""
    load = option.candidate.load
    if load is None:
        return 0.0
    return (load.running + load.queued) / max(1, load.slots)


class RoutingPolicy(plugins.Plugin, kind=True):
    """Kind of plug-in that picks one endpoint out of those in question.

    One object serves one service at one entry.
    """

    #: Offer only endpoints on which the call can end before its deadline.
    deadline_first = True

    @abc.abstractmethod
    def choose(
        self,
        *,
        options: Sequence[Option],
        facts: CallFacts,
        random: random_module.Random,
    ) -> Option:
        """Pick one of the options, of which there is at least one."""

    def note_cache_events(self, events: messages.CacheEvents) -> None:
        """Take in what an engine tells of its prefix cache."""

    def forget(self, instance: str) -> None:
        """Forget an endpoint that is dead or gone."""
