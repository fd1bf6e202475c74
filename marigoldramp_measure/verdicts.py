"""Time until a killed, frozen or leaving peer is known to the others.

The victim is a process of its own, which is sent a real signal; the observers
run in this process and talk to it over real sockets.
"""

import contextlib
import dataclasses
import enum
import pathlib
import random as random_module
import signal
import sys
import time

import anyio
import anyio.abc
import cyclopts
import msgspec

from marigoldramp import store

from . import instances
from . import tables
from . import usage

OBSERVERS = 8
#: Eight observers and a victim know no more than nine peers, which leaves
#: the interval as it is.
DATAGRAMS = 50.0
TRIALS = 3


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class VerdictRow:
    """Time until an instance knows, over all trials and observers."""

    fault: str
    samples: int
    p50_s: float
    worst_s: float
    load: float


class Fault(enum.StrEnum):
    """What is done to the victim."""

    KILLED = 'killed'
    FROZEN = 'frozen'
    LEAVING = 'leaving'


SIGNALS = {
    Fault.KILLED: signal.SIGKILL,
    Fault.FROZEN: signal.SIGSTOP,
    Fault.LEAVING: signal.SIGTERM,
}

app = cyclopts.App(help=__doc__)


def run(*, seed: int, out: pathlib.Path) -> None:
    """Measure every fault."""
    measure(seed=seed, out=out)


@app.default
def measure(
    *,
    trials: int = TRIALS,
    observers: int = OBSERVERS,
    datagrams: float = DATAGRAMS,
    seed: int = 1,
    out: pathlib.Path = pathlib.Path('out'),
) -> None:
    """Measure the time until a dead, frozen or leaving peer is known.

    :param trials: victims of each fault.
    :param observers: instances that heartbeat the victim.
    :param datagrams: the observers' budget; a smaller one stretches the
        interval as more peers would.
    """
    out.mkdir(parents=True, exist_ok=True)
    rows = []
    for fault in Fault:
        random = random_module.Random(seed)
        times: list[float] = []
        for _ in range(trials):
            members = _make_observers(observers, datagrams, random)
            times += anyio.run(_measure_verdict, fault, members, random)
        rows.append(
            VerdictRow(
                fault=fault.value,
                samples=len(times),
                p50_s=tables.quantile(times, 0.5),
                worst_s=max(times),
                load=usage.read_load(),
            )
        )
    tables.write(rows=rows, path=out / 'verdicts.csv')


def _make_observers(
    count: int, datagrams: float, random: random_module.Random
) -> list[instances.Instance]:
    settings = instances.read_settings({})
    settings = dataclasses.replace(
        settings,
        membership=dataclasses.replace(
            settings.membership, datagrams=datagrams
        ),
    )
    return [
        instances.Instance(
            description=instances.Description(
                name=f'entry-{number}', data_centre='a'
            ),
            settings=settings,
            random=random_module.Random(random.random()),
        )
        for number in range(count)
    ]


async def _measure_verdict(
    fault: Fault,
    members: list[instances.Instance],
    random: random_module.Random,
) -> list[float]:
    """Return the seconds from the signal to each observer's knowledge."""
    observers = len(members)
    known: list[float] = []
    async with anyio.create_task_group() as group:
        for member in members:
            await member.start(group)
            member.members.on_dead(lambda _: known.append(time.monotonic()))
            member.members.on_leaving(lambda _: known.append(time.monotonic()))
        rows = [member.row() for member in members]
        victim, row = await _start_victim(rows)
        group.start_soon(_read_list, members, [*rows, row])
        try:
            # At a random moment between two heartbeats.
            await anyio.sleep(4.0 + random.random())
            began = time.monotonic()
            victim.send_signal(SIGNALS[fault])
            await instances.wait_until(
                lambda: len(known) >= observers, seconds=10.0
            )
        finally:
            with contextlib.suppress(ProcessLookupError):
                victim.kill()
            await victim.wait()
        group.cancel_scope.cancel()
    for member in members:
        await member.stop()
    if len(known) < observers:
        raise RuntimeError(f'{len(known)} of {observers} noticed: {fault}')
    return [at - began for at in known[:observers]]


async def _start_victim(
    rows: list[store.Instance],
) -> tuple[anyio.abc.Process, store.Instance]:
    """Start a victim that knows these rows; return its own as well."""
    victim = await anyio.open_process(
        [sys.executable, '-m', 'marigoldramp_measure.verdicts', 'victim']
    )
    assert victim.stdin is not None and victim.stdout is not None
    await victim.stdin.send(msgspec.json.encode(rows) + b'\n')
    line = await _read_line(victim.stdout)
    row = msgspec.json.decode(line, type=store.Instance)
    return victim, row


async def _read_list(
    members: list[instances.Instance], rows: list[store.Instance]
) -> None:
    while True:
        for member in members:
            member.members.seed(rows)
        await anyio.sleep(1.0)


async def _read_line(stream: anyio.abc.ByteReceiveStream) -> bytes:
    line = b''
    while not line.endswith(b'\n'):
        line += await stream.receive()
    return line


@app.command(name='victim', show=False)
def run_victim() -> None:
    """Run one instance until it is signalled; used by ``measure``."""
    anyio.run(_run_victim)


async def _run_victim() -> None:
    rows = msgspec.json.decode(sys.stdin.readline(), type=list[store.Instance])
    member = instances.Instance(
        description=instances.Description(name='victim', data_centre='a'),
        settings=instances.read_settings({}),
        random=random_module.Random(),
    )
    async with anyio.create_task_group() as group:
        await member.start(group)
        member.members.seed(rows)
        print(msgspec.json.encode(member.row()).decode(), flush=True)
        with anyio.open_signal_receiver(signal.SIGTERM) as signals:
            async for _ in signals:
                await member.members.announce_leaving()


if __name__ == '__main__':
    app()
