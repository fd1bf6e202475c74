"""Where the calls of an endpoint go after it has died, by three rules."""

import collections
import dataclasses
import hashlib
import pathlib
import random as random_module
from typing import Sequence

from marigoldramp import rendezvous
from marigoldramp import routing as kernel_routing

from . import fakes
from . import routing
from . import tables
from . import traffic
from . import virtual

LOAD = 0.7
DEAD = 'model-0'
#: Calls are counted from the verdict on, for so many seconds.
SECONDS = 15.0
REPEATS = 3


def _key(facts: kernel_routing.CallFacts) -> str:
    """Return what the owner of a call is chosen by: its first block."""
    first = facts.prefix[0] if facts.prefix else b''
    return f'{facts.customer}/{first.hex()}'


class RingOwner(kernel_routing.RoutingPolicy):
    """Each prompt's beginning has one owner; the next one takes over."""

    name = 'ring_owner'
    deadline_first = False

    def choose(
        self,
        *,
        options: Sequence[kernel_routing.Option],
        facts: kernel_routing.CallFacts,
        random: random_module.Random,
    ) -> kernel_routing.Option:
        """Return the owner, or the first one behind it that lives."""
        digest = hashlib.blake2b(_key(facts).encode(), digest_size=8)
        place = int.from_bytes(digest.digest(), 'big')
        names = [f'model-{n}' for n in range(traffic.MODEL_RUNNERS)]
        living = {one.candidate.instance: one for one in options}
        for step in range(len(names)):
            found = living.get(names[(place + step) % len(names)])
            if found is not None:
                return found
        return options[0]


class RendezvousOwner(kernel_routing.RoutingPolicy):
    """Each prompt's beginning has an own order of all endpoints."""

    name = 'rendezvous_owner'
    deadline_first = False

    def choose(
        self,
        *,
        options: Sequence[kernel_routing.Option],
        facts: kernel_routing.CallFacts,
        random: random_module.Random,
    ) -> kernel_routing.Option:
        """Return the first one in that order that lives."""
        key = _key(facts)
        return max(
            options,
            key=lambda one: rendezvous.score(
                key=key, name=one.candidate.instance
            ),
        )


POLICIES = ('ring_owner', 'rendezvous_owner', 'two_choices')


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Row:
    """One rule after the death of one endpoint.

    :ivar most_more: by how many calls the survivor gained most that gained
        most, over the calls that the dead endpoint would have had.
    :ivar busiest: the most calls of a survivor over the survivors' mean.
    """

    policy: str
    good: float
    good_urgent: float
    p99_urgent: float
    most_more: float
    busiest: float


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Counted:
    """A run, and the calls that each endpoint got after the verdict."""

    fleet: fakes.Fleet
    calls: collections.Counter[str]


def _count(
    *, policy: str, seed: int, calls: list[traffic.Call], die: bool
) -> Counted:
    """Run once; count the calls that each endpoint gets at the end."""
    since = routing.FAULT_AT + fakes.VERDICT_SECONDS

    async def main() -> fakes.Fleet:
        fleet = fakes.Fleet(policy=policy, seed=seed)
        await fleet.serve(
            calls,
            at=routing.FAULT_AT,
            then=lambda fleet: fleet.kill(DEAD) if die else None,
        )
        return fleet

    fleet = virtual.drive(main)
    counted = collections.Counter(
        {
            name: sum(at >= since for at in endpoint.received)
            for name, endpoint in fleet.endpoints.items()
            if endpoint.service == traffic.MODEL
        }
    )
    return Counted(fleet=fleet, calls=counted)


def measure(*, policy: str, seed: int) -> Row:
    """Compare a run with the death to the same run without it."""
    calls = traffic.generate(
        random=random_module.Random(seed),
        load=LOAD,
        seconds=routing.FAULT_AT + fakes.VERDICT_SECONDS + SECONDS,
    )
    living = _count(policy=policy, seed=seed, calls=calls, die=False)
    dying = _count(policy=policy, seed=seed, calls=calls, die=True)
    before, after = living.calls, dying.calls
    row = routing.summarise(
        condition='dead', load=LOAD, policy=policy, fleet=dying.fleet
    )
    survivors = [name for name in before if name != DEAD]
    gains = [after[name] - before[name] for name in survivors]
    mean = sum(after[name] for name in survivors) / len(survivors)
    return Row(
        policy=policy,
        good=row.good,
        good_urgent=row.good_urgent,
        p99_urgent=row.p99_urgent,
        most_more=max(gains) / max(1, before[DEAD]),
        busiest=max(after[name] for name in survivors) / mean,
    )


def run(*, seed: int, out: pathlib.Path) -> None:
    """Measure each rule on the same inputs."""
    rows = [
        tables.average(
            [
                measure(policy=policy, seed=seed + repeat)
                for repeat in range(REPEATS)
            ]
        )
        for policy in POLICIES
    ]
    tables.write(rows=rows, path=out / 'spread.csv')
