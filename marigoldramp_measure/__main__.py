"""Command that runs one experiment by its name.

An experiment is a module of this package that defines
``run(*, seed: int, out: pathlib.Path) -> None``; nothing else lists it.
"""

import importlib
import pathlib
import pkgutil
import sys
import types

import cyclopts

import marigoldramp_measure

app = cyclopts.App(
    name='marigoldramp_measure',
    help='Run an experiment; it writes CSV files and plots.',
)


def find_experiments() -> dict[str, types.ModuleType]:
    """Return the experiments of the package by name."""
    found = {}
    for one in pkgutil.iter_modules(marigoldramp_measure.__path__):
        if one.name.startswith('_'):
            continue
        module = importlib.import_module(f'marigoldramp_measure.{one.name}')
        if callable(getattr(module, 'run', None)):
            found[one.name] = module
    return found


@app.default
def main(
    name: str, *, seed: int = 1, out: pathlib.Path = pathlib.Path('out')
) -> int:
    """Run one experiment.

    :param name: the experiment; ``list`` prints them all.
    :param seed: the same seed gives the same input.
    :param out: directory for CSV files and plots; it is made.
    """
    experiments = find_experiments()
    if name == 'list':
        for known, module in sorted(experiments.items()):
            print(f'{known:14} {(module.__doc__ or "").splitlines()[0]}')
        return 0
    experiment = experiments.get(name)
    if experiment is None:
        known = ', '.join(sorted(experiments))
        print(f'no experiment {name!r}; known: {known}', file=sys.stderr)
        return 2
    out.mkdir(parents=True, exist_ok=True)
    experiment.run(seed=seed, out=out)
    return 0


if __name__ == '__main__':
    sys.exit(app())
