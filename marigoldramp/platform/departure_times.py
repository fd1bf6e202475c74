"""Prints how long gateways took to stop using endpoints that left.

Run by ``python -m marigoldramp.platform.departure_times LOG...``.  A log is
the output of a day that was played with the logs of all gateways.  Times count
from the start of the planned departure where the log names it, and else from
the first gateway that knows of the departure, which is later.
"""

import collections
import json
import pathlib
import re
import sys
from typing import Iterator

import cyclopts
import msgspec

#: Log messages of a gateway that gives an endpoint no new requests.
DEPARTURE_MESSAGES = ('endpoint leaving', 'endpoint gone')
START_MESSAGE = 'started'
#: Log messages of a gateway whose own reading of the store has stopped.
SILENCE_MESSAGES = ('store lost', 'watch behind peers')
NOTED_MESSAGES = (*DEPARTURE_MESSAGES, START_MESSAGE, *SILENCE_MESSAGES)
#: A gateway that started within this many seconds before the departure, or
#: after it, may learn of it late.
RECENT_START_SECONDS = 4.0
#: Longest time between a planned departure and the first gateway's line.
MAX_FIRST_DELAY_SECONDS = 3.0
PLANNED_DEPARTURE = re.compile(
    r'^\s+([\d.]+) s to\s+[\d.]+ s\s+scale_in [1-9]'
)
#: Delays that are listed for each log.
ROWS_SHOWN = 8

app = cyclopts.App(
    help='Print how long gateways took to stop using endpoints that left.'
)


class LogLine(msgspec.Struct, frozen=True, kw_only=True):
    """A line of a gateway's log.

    :ivar at: seconds since the start of the day.
    """

    at: float
    gateway: str
    message: str
    endpoint: str


class Delay(msgspec.Struct, frozen=True, kw_only=True, order=True):
    """How long one gateway took to stop using one endpoint.

    :ivar since: when the endpoint left, in seconds since the day's start.
    :ivar has_started: the gateway was started shortly before or meanwhile.
    :ivar lacked_store: the gateway lost the store meanwhile, or its watch of
        the store stayed behind peers.
    """

    seconds: float
    endpoint: str
    gateway: str
    since: float
    has_started: bool
    lacked_store: bool

    @property
    def is_undisturbed(self) -> bool:
        """Whether the log shows no reason for the gateway to be late."""
        return not self.has_started and not self.lacked_store

    @property
    def mark(self) -> str:
        """Return why the gateway may be late, for the table."""
        if self.has_started:
            return ' (started)'
        return ' (store silent)' if self.lacked_store else ''


def read_lines(text: str) -> Iterator[LogLine]:
    """Yield the lines of a log that concern departures."""
    for line in text.splitlines():
        begin = line.find('{"time"')
        if begin <= 0:
            continue
        try:
            record = json.loads(line[begin:])
        except ValueError:
            continue
        if record['message'] in NOTED_MESSAGES:
            yield LogLine(
                at=float(line.split()[0]),
                gateway=record['instance'],
                message=record['message'],
                endpoint=record['fields'].get('endpoint', ''),
            )


def find_delays(text: str) -> list[Delay]:
    """Return the delays in a log, the longest first."""
    planned = [
        float(found.group(1))
        for found in map(PLANNED_DEPARTURE.match, text.splitlines())
        if found
    ]
    known_at: dict[str, dict[str, float]] = collections.defaultdict(dict)
    started_at: dict[str, list[float]] = collections.defaultdict(list)
    silent_at: dict[str, list[float]] = collections.defaultdict(list)
    for line in read_lines(text):
        if line.message == START_MESSAGE:
            started_at[line.gateway].append(line.at)
        elif line.message in SILENCE_MESSAGES:
            silent_at[line.gateway].append(line.at)
        else:
            known_at[line.endpoint].setdefault(line.gateway, line.at)
    delays = []
    for endpoint, gateways in known_at.items():
        since = _find_departure(min(gateways.values()), planned)
        for gateway, at in gateways.items():
            has_started = any(
                since - RECENT_START_SECONDS < start < at
                for start in started_at[gateway]
            )
            lacked_store = any(
                since < silent < at for silent in silent_at[gateway]
            )
            delays.append(
                Delay(
                    seconds=at - since,
                    endpoint=endpoint,
                    gateway=gateway,
                    since=since,
                    has_started=has_started,
                    lacked_store=lacked_store,
                )
            )
    return sorted(delays, reverse=True)


def _find_departure(first: float, planned: list[float]) -> float:
    """Return when an endpoint left of which a gateway first knew then."""
    before = [
        at for at in planned if 0.0 <= first - at <= MAX_FIRST_DELAY_SECONDS
    ]
    return max(before, default=first)


def describe(delays: list[Delay], *, bound: float) -> Iterator[str]:
    """Yield lines with the median, the tail and what exceeds the bound.

    :param bound: seconds within which all gateways must know a departure.
    """
    endpoints = {one.endpoint for one in delays}
    yield f'{len(endpoints)} departures, {len(delays)} pairs'
    if not delays:
        return
    running = [one for one in delays if not one.has_started]
    undisturbed = [one for one in delays if one.is_undisturbed]
    for name, group in (
        ('all', delays),
        ('without restarted gateways', running),
        ('and without those that lacked the store', undisturbed),
    ):
        seconds = [one.seconds for one in group]
        if seconds:
            yield (
                f'  {name}: median {seconds[len(seconds) // 2]:.2f}, '
                f'99th percentile {seconds[len(seconds) // 100]:.2f}, '
                f'largest {seconds[0]:.2f} s; '
                f'{sum(one > bound / 2.0 for one in seconds)} over half '
                f'and {sum(one > bound for one in seconds)} over the bound'
            )
    for one in delays[:ROWS_SHOWN]:
        yield (
            f'  {one.seconds:6.2f} {one.endpoint} {one.gateway} '
            f'left at {one.since:.2f}{one.mark}'
        )


@app.default
def main(*logs: pathlib.Path, bound: float = 3.0) -> int:
    """Print the delays of some logs.

    :param logs: outputs of days that were played with the gateways' logs.
    :param bound: seconds within which all gateways must know a departure.
    """
    for log in logs:
        print(f'{log}:')
        for line in describe(
            find_delays(log.read_text(errors='replace')), bound=bound
        ):
            print(line)
    return 0


if __name__ == '__main__':
    sys.exit(app())
