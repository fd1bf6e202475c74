"""Runs the whole path on this machine: ``make demo`` or ``make demo-up``.

It starts the stand-ins, an agent beside each endpoint and some entries as
processes on loopback, rolls a first signed bundle, sends calls through the
path, prints a short table and stops everything.  It exits 0 only if every
call had its whole own answer, no non-idempotent call ran twice and every
process stopped in good order.
"""

import argparse
import dataclasses
import pathlib
import signal
import sys
import tempfile
import time

import anyio

from . import demo_calls
from . import demo_fleet
from . import demo_table
from . import processes

FAILED = 1


@dataclasses.dataclass(slots=True, kw_only=True)
class Outcome:
    """What went well so far."""

    calls_went_well: bool = False
    stopped_well: bool = False


def _parse() -> argparse.Namespace:
    parser = argparse.ArgumentParser(
        description='Run the whole path on this machine.'
    )
    parser.add_argument('--entries', type=int, default=3)
    parser.add_argument('--calls', type=int, default=300)
    parser.add_argument('--at-once', type=int, default=24)
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument(
        '--stay', action='store_true', help='leave it running until Ctrl-C'
    )
    parser.add_argument(
        '--folder', type=pathlib.Path, help='keep settings and logs here'
    )
    return parser.parse_args()


def _say(text: str) -> None:
    print(text, flush=True)


async def _send_calls(
    fleet: demo_fleet.Fleet, flags: argparse.Namespace
) -> bool:
    """Send the calls, print the table; true if all went well."""
    plans = demo_calls.plan_calls(count=flags.calls, seed=flags.seed)
    _say(f'Sending {len(plans)} calls, {flags.at_once} at once ...')
    begun = time.monotonic()
    results = await demo_calls.make_calls(
        plans=plans,
        addresses=fleet.entry_addresses(),
        customers=fleet.callers,
        at_once=flags.at_once,
    )
    seconds = time.monotonic() - begun
    runs = await fleet.count_runs()
    _say(f'{len(results)} calls in {seconds:.1f} s\n')
    _say(demo_table.render(results=results, runs=runs))
    verdict = demo_table.judge(results=results, runs=runs)
    for fault in verdict.faults:
        _say(f'FAULT {fault}')
    group = await fleet.ask_group()
    _say(
        f'\nRank group: {group.steps} steps, {group.mixed_steps} of them on '
        f'mixed maps, map {", ".join(group.versions)}'
    )
    return not verdict.faults and not group.mixed_steps


def _show_access(fleet: demo_fleet.Fleet) -> None:
    addresses = fleet.entry_addresses()
    caller = fleet.callers[0]
    _say('\nEntries:  ' + '  '.join(addresses))
    _say(f'Platform: {fleet.platform}')
    _say(f'Caller key of customer {caller.name}: {caller.key}')
    _say(
        '\nTry\n'
        f"  curl -N {addresses[0]}/v1/chat/completions \\\n"
        f"    -H 'Authorization: Bearer {caller.key}' \\\n"
        "    -H 'Content-Type: application/json' \\\n"
        '    -d \'{"model": "notes-7b", "stream": true, "messages": '
        '[{"role": "user", "content": "Gate 12, one chair"}]}\'\n\n'
        'Ctrl-C stops everything.'
    )


async def _work(
    flags: argparse.Namespace, folder: pathlib.Path, outcome: Outcome
) -> None:
    """Bring the fleet up, use it and, however that ends, stop it."""
    fleet = demo_fleet.Fleet(folder=folder, say=_say)
    try:
        await fleet.start(entries=flags.entries)
        outcome.calls_went_well = await _send_calls(fleet, flags)
        if flags.stay:
            _show_access(fleet)
            await anyio.sleep_forever()
    except processes.Failed as error:
        _say(f'FAULT {error}')
    finally:
        with anyio.CancelScope(shield=True):
            outcome.stopped_well = await fleet.stop()


async def _run(flags: argparse.Namespace, folder: pathlib.Path) -> int:
    outcome = Outcome()

    async def work(scope: anyio.CancelScope) -> None:
        await _work(flags, folder, outcome)
        scope.cancel()

    async with anyio.create_task_group() as group:
        group.start_soon(work, group.cancel_scope)
        with anyio.open_signal_receiver(
            signal.SIGINT, signal.SIGTERM
        ) as signals:
            async for _ in signals:
                group.cancel_scope.cancel()
                break
    well = outcome.calls_went_well and outcome.stopped_well
    return 0 if well else FAILED


def main() -> int:
    """Run the demonstration and return the exit code."""
    flags = _parse()
    if flags.folder is not None:
        flags.folder.mkdir(parents=True, exist_ok=True)
        return anyio.run(_run, flags, flags.folder)
    with tempfile.TemporaryDirectory(prefix='marigoldramp-') as folder:
        return anyio.run(_run, flags, pathlib.Path(folder))


if __name__ == '__main__':
    sys.exit(main())
