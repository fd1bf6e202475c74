"""Routing policies with one endpoint at fault, or all reports late."""

import pathlib

from . import routing

LOAD = 0.8


def run(*, seed: int, out: pathlib.Path) -> None:
    """Measure every policy under each fault."""
    routing.compare(
        conditions=[
            routing.Condition(name=fault, load=LOAD)
            for fault in routing.FAULTS
        ],
        seed=seed,
        path=out / 'routing_faults.csv',
    )
