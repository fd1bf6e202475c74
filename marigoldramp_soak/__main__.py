"""Runs seeds: ``python -m marigoldramp_soak --seeds 50 --first 1``."""

import argparse
import contextlib
import dataclasses
import random
import sys

from absl import logging
import anyio

from . import checks
from . import faults as faults_module
from . import site as site_module

#: Seconds in which faults are injected, and of calm after them, at the end
#: of which nearly all requests must be served.
FAULT_SECONDS = 15.0
CALM_SECONDS = 8.0
JUDGED_SECONDS = 3.0
START_SECONDS = 4.0
LEAST_SERVED = 0.9
#: Passes that a group makes at least in the judged seconds.
LEAST_PASSES = 50
#: Share of the seeds that have planned work only, in which nothing is cut.
PLANNED_SHARE = 0.3
#: Further kinds of trouble, each an option.
MORE = {
    'ends': 'callers come whose requests end their endpoints',
    'crowds': 'clients come that keep to no limit',
    'restores': 'the store comes back from older copies',
    'stops': 'gateways are stopped in series while bodies come slowly',
    'backoffs': 'endpoints decline requests and request a backoff',
    'limits': 'endpoints name rate limits, and gateways miss each other',
    'colds': 'endpoints restart cold, and gateways miss each other',
    'evacuations': 'the operator evacuates a data centre, and withdraws that',
    'maps': 'a group of ranks changes its map under troubled leaders',
}


@dataclasses.dataclass(kw_only=True)
class Outcome:
    """The result of one seed."""

    seed: int
    requests: int
    served: int
    broken: list
    faults: list
    folder: str
    changes: int


async def run_seed(seed, seconds, more, gateways):
    """Run one seed."""
    # The schedule of faults does not depend on the callers' requests.
    draw = random.Random(f'faults {seed}')
    planned_only = draw.random() < PLANNED_SHARE or 'stops' in more
    folder = site_module.make_folder()
    site = site_module.Site(
        seed=seed,
        draw=random.Random(f'site {seed}'),
        folder=folder,
        has_group='maps' in more,
        has_cold_starts='colds' in more,
        has_evacuations='evacuations' in more,
        gateways=gateways,
        timeout=(
            site_module.LONG_TIMEOUT
            if 'stops' in more
            else site_module.TIMEOUT
        ),
    )
    faults = faults_module.Faults(
        site=site,
        draw=draw,
        planned_only=planned_only,
        more={kind: random.Random(f'{kind} {seed}') for kind in more},
    )
    ends = float('inf')
    async with (
        contextlib.aclosing(site),
        anyio.create_task_group() as tasks,
    ):
        await site.start(tasks)
        await anyio.sleep(START_SECONDS)
        async with anyio.create_task_group() as calls:
            for caller in site.make_callers():
                calls.start_soon(caller.run, lambda: ends)
            await faults.run(anyio.current_time() + seconds)
            calm_since = anyio.current_time()
            ends = calm_since + CALM_SECONDS
        site.close_listeners()
        tasks.cancel_scope.cancel()
    broken = list(checks.check(site, faults, planned_only))
    broken += judge_calm(site, ends - JUDGED_SECONDS)
    if site.group is not None:
        broken += judge_passes(site.group, ends - JUDGED_SECONDS)
    return Outcome(
        seed=seed,
        requests=len(site.told),
        served=sum(told.whole and told.status == 200 for told in site.told),
        broken=broken,
        faults=faults.injected,
        folder=str(folder),
        changes=0 if site.group is None else site.group.changes,
    )


def judge_passes(group, since):
    """Return a line if a group stood long after the faults."""
    passes = sum(at > since for at in group.passes)
    if passes >= LEAST_PASSES:
        return []
    return [f'{passes} passes in the last {JUDGED_SECONDS} s']


def judge_calm(site, since):
    """Return a line if too few requests were served after the faults."""
    late = [
        told
        for told in site.told
        if told.sent_at > since and told.key not in site.revoked
    ]
    served = sum(told.whole and told.status == 200 for told in late)
    if late and served >= LEAST_SERVED * len(late):
        return []
    return [f'{served} of {len(late)} served after the faults']


def main():
    """Run the seeds; return 1 if a promise was broken."""
    parser = argparse.ArgumentParser()
    parser.add_argument('--first', type=int, default=1)
    parser.add_argument('--seeds', type=int, default=5)
    parser.add_argument('--seconds', type=float, default=FAULT_SECONDS)
    parser.add_argument('--gateways', type=int, default=site_module.ENTRIES)
    for kind, told in MORE.items():
        parser.add_argument(f'--{kind}', action='store_true', help=told)
    options = parser.parse_args()
    logging.set_verbosity(logging.ERROR)
    more = [kind for kind in MORE if getattr(options, kind)]
    failed = 0
    for seed in range(options.first, options.first + options.seeds):
        outcome = anyio.run(
            run_seed, seed, options.seconds, more, options.gateways
        )
        verdict = 'BROKEN' if outcome.broken else 'kept'
        print(
            f'seed {seed}: {verdict}, {outcome.served} of '
            f'{outcome.requests} served, {outcome.changes} map changes, '
            f'faults: {" ".join(outcome.faults)}',
            flush=True,
        )
        for line in outcome.broken[:10]:
            print(f'    {line}', flush=True)
        if outcome.broken:
            print(f'    logs: {outcome.folder}', flush=True)
            failed += 1
    print(f'{failed} of {options.seeds} seeds broke a promise')
    return 1 if failed else 0


if __name__ == '__main__':
    sys.exit(main())
