"""How many gateway addresses an answer names, by how evenly callers spread.

Callers pick one address of an answer at random.  Compares all addresses, fixed
sizes and the product's size, for gateways that differ in capacity.
"""

import collections
import dataclasses
import pathlib
import random

from marigoldramp.gateway import address_selection
from marigoldramp.gateway import outbound

from . import tables

#: Gateways of one data centre, by capacity in cores.
FLEETS = {
    'uneven': (0.73,) * 17 + (2.15,) * 2,
    'contended': (1.03,) * 9 + (2.15,) * 2,
    'equal': (1.0,) * 19,
}
ANSWERS = 20000
#: 0 stands for all addresses, ``None`` for the product's own size.
SIZES = (0, 12, 7, 4, 2, None)


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Row:
    """What comes of one size.

    :ivar highest: largest load for the capacity, over the mean.
    :ivar lowest: smallest one.
    """

    fleet: str
    way: str
    addresses: int
    highest: float
    lowest: float


def measure(fleet: str, size: int | None, seed: int) -> Row:
    """Return how callers spread with one size."""
    draw = random.Random(seed)
    candidates = [
        address_selection.Candidate(
            instance=str(number),
            address=outbound.Address(host='h', port=number),
            capacity=capacity,
        )
        for number, capacity in enumerate(FLEETS[fleet])
    ]
    weights = address_selection.weigh(candidates)
    used = address_selection.find_sample_size(weights)
    if size is not None:
        used = size or len(candidates)
    counts: collections.Counter[str] = collections.Counter()
    for _ in range(ANSWERS):
        found = address_selection.sample(
            candidates, weights, random=draw, size=used
        )
        counts[draw.choice(found).instance] += 1
    capacity = sum(one.capacity for one in candidates)
    loads = [
        counts[one.instance] / ANSWERS * capacity / one.capacity
        for one in candidates
    ]
    return Row(
        fleet=fleet,
        way='product' if size is None else 'all' if not size else str(size),
        addresses=used,
        highest=max(loads),
        lowest=min(loads),
    )


def run(*, seed: int, out: pathlib.Path) -> None:
    """Measure all sizes; write a table."""
    rows = [measure(fleet, size, seed) for fleet in FLEETS for size in SIZES]
    tables.write(rows=rows, path=out / 'address_sizes.csv')
