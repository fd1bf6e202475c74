"""Line plots of experiments, written as PNG."""

import dataclasses
import pathlib
from typing import Sequence

import matplotlib

matplotlib.use('Agg')

from matplotlib import pyplot  # noqa: E402


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Line:
    """One line of a plot."""

    label: str
    x: Sequence[float]
    y: Sequence[float]


def draw(
    *,
    path: pathlib.Path,
    title: str,
    x_label: str,
    y_label: str,
    lines: Sequence[Line],
) -> None:
    """Draw lines over one pair of axes."""
    figure, axes = pyplot.subplots(figsize=(8.0, 4.5))
    for line in lines:
        axes.plot(line.x, line.y, label=line.label)
    axes.set_title(title)
    axes.set_xlabel(x_label)
    axes.set_ylabel(y_label)
    axes.set_ylim(bottom=0.0)
    axes.grid(alpha=0.3)
    axes.legend()
    figure.tight_layout()
    figure.savefig(path, dpi=100)
    pyplot.close(figure)
