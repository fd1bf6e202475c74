"""Rows of figures: printed, written as CSV, drawn."""

import csv
import dataclasses
import math
import pathlib
from typing import Any
from typing import Sequence
from typing import TypeVar

R = TypeVar('R', bound=Any)


def write(*, rows: Sequence[Any], path: pathlib.Path) -> None:
    """Write data-class rows to a CSV file and print them as a table."""
    names = [field.name for field in dataclasses.fields(rows[0])]
    table = [[_show(getattr(row, name)) for name in names] for row in rows]
    with path.open('w', newline='') as file:
        writer = csv.writer(file)
        writer.writerow(names)
        writer.writerows(table)
    widths = [
        max(len(line[column]) for line in [names, *table])
        for column in range(len(names))
    ]
    print(f'# {path.name}')
    for line in [names, *table]:
        print('  '.join(text.ljust(w) for text, w in zip(line, widths)))


def _show(value: object) -> str:
    if isinstance(value, float):
        return f'{value:.4g}'
    return str(value)


def average(rows: Sequence[R]) -> R:
    """Return the rows' mean; texts are those of the first."""
    means = {}
    for field in dataclasses.fields(rows[0]):
        values = [getattr(row, field.name) for row in rows]
        if not isinstance(values[0], str):
            known = [value for value in values if not math.isnan(value)]
            means[field.name] = sum(known) / len(known) if known else math.nan
    return dataclasses.replace(rows[0], **means)


def quantile(values: Sequence[float], share: float) -> float:
    """Return a quantile by the nearest rank; NaN of nothing."""
    if not values:
        return float('nan')
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]
