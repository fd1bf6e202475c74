"""A foreign entry among the runners ends the processes that lead groups."""

import asyncio
import json
import os
import pathlib
import sys
import time

from review import standins

SIZE = 2
SERVICE = 'llm'
#: Seconds after which the platform starts a process that has ended again.
RESTART_SECONDS = 0.5
PLAY_SECONDS = 40.0
#: Ends of its own within a day from which a machine counts in the rule, and
#: the machines that it takes.
MOST_ENDS = 3
MOST_MACHINES = 2
ENGINE = {
    'Slots': 6,
    'Stride': 6,
    'step_ms': 5.85,
    'per_seq_ms': 0.7,
    'read_per_s': 61200.0,
    'usual': {'prompt': 800, 'answer': 150},
    'Sets': 1,
    'Experts': 8,
    'Placements': 6,
    'Spare': 2,
    'ExpertMb': 1000.0,
    'LinkMbps': 180000.0,
    'ExpertShare': 0.85,
}


class Rank:
    """A sound runner that carries one rank of an idle group."""

    def __init__(self, number, record):
        self.number = number
        self.name = f'i-rank{number}'
        self._record = record
        self._port = 0

    async def start(self):
        """Listen on a free port."""
        _, self._port = await standins.serve(self._handle)

    def entry(self):
        """Return what it writes of itself into the store."""
        return {
            'Service': SERVICE,
            'Address': f'{standins.HOST}:{self._port}',
            'Zone': 'a',
            'Version': 1,
            'Slots': 6,
            'State': 'ready',
            'ColdRemainingMs': 0,
            'Sequence': 1,
        }

    async def _handle(self, reader, writer):
        while True:
            request = await standins.read_message(reader)
            if request is None:
                return
            writer.write(self._answer(request))
            await writer.drain()

    def _answer(self, request):
        if request.find('expect-instance') not in ('', self.name):
            return standins.make_answer(421)
        path = request.start[1].partition('?')[0]
        if path == '/marigoldramp/report':
            return self._tell(self._report())
        if request.start[1].startswith('/marigoldramp/picked?'):
            lists = [[0, 2, 4, 6]] if not self.number else [[1, 3, 5, 7]]
            shown = {'Version': 0, 'Experts': lists}
            return self._tell({'ExpertMap': shown, 'Prepared': None})
        if path == '/marigoldramp/picked':
            return self._tell({'step': 1, 'epoch': 1, 'Counts': [0] * 8})
        if path == '/marigoldramp/order':
            return standins.make_answer(200)
        attempt = request.find('attempt-id')
        self._record.note(f'{self.name}: runs {attempt}')
        body = f'{attempt} is done'.encode()
        echo = (f'Attempt-Id: {attempt}', 'Runner-Seal: s')
        return standins.make_answer(200, body, echo)

    def _report(self):
        group = {'Name': 'g0', 'epoch': 1, 'rank': self.number}
        return {
            'group': {**group, 'State': 'open'},
            'size': SIZE,
            'step': 1,
            'Sequence': 0,
            'ExpertMap': 0,
            'Prepared': None,
            'Armed': None,
            'held': None,
            'pace': 1.0,
        }

    def _tell(self, value):
        kind = ('Content-Type: application/json',)
        return standins.make_answer(200, json.dumps(value).encode(), kind)


def make_foreign_entry():
    """Return an entry of another writer, with bytes that can't be read."""
    return (
        b'{"Service":"llm","Address":"\xff\xfe127.0.0.1:8743","Zone":"a",'
        b'"Version":1,"Slots":6,"State":"ready","ColdRemainingMs":0,'
        b'"Sequence":1}'
    )


async def ask(gateway, record, number):
    """Make one request; note what it came to."""
    attempt = f'a{number:04d}'
    try:
        reader, writer = await asyncio.open_connection(
            gateway.host, gateway.calls
        )
    except OSError:
        record.note(f'client: {attempt} {gateway.name} takes no connection')
        return
    try:
        writer.write(standins.make_request('GET', '/look/1', attempt, key='k'))
        answer = await asyncio.wait_for(standins.read_message(reader), 2.0)
    except (OSError, asyncio.TimeoutError):
        answer = None
    finally:
        writer.close()
    told = 'no answer' if answer is None else answer.start[1]
    record.note(f'client: {attempt} {gateway.name} {told}')


async def keep_asking(gateways, record):
    """Make requests in turn until cancelled."""
    number = 0
    while True:
        number += 1
        await ask(gateways[number % len(gateways)], record, number)
        await asyncio.sleep(0.5)


async def watch(gateways, record, until):
    """Start processes that have ended again; count these ends."""
    while time.monotonic() < until:
        for gateway in gateways:
            code = gateway.poll()
            if code is not None:
                gateway.ended += 1
                record.note(f'{gateway.name}: ended by itself, code {code}')
                await asyncio.sleep(RESTART_SECONDS)
                gateway.start()
        if all(one.ended >= MOST_ENDS for one in gateways):
            return
        await asyncio.sleep(0.05)


async def play(record, folder, trouble):
    """Play the case; return whether the rule was broken."""
    store = standins.Store()
    await store.start()
    ranks = [Rank(number, record) for number in range(SIZE)]
    for rank in ranks:
        await rank.start()
        store.put('servers', rank.name, rank.entry())
    routes = [standins.make_route('look', 'idempotent', SERVICE)]
    services = [{'Name': SERVICE, 'MaxConnections': 200, 'Engine': ENGINE}]
    store.put(
        'config', 'main', standins.make_configuration(routes, services, 'k')
    )
    gateways = []
    try:
        for number in range(MOST_MACHINES):
            ports = gateways[0].ports if gateways else None
            gateway = standins.Gateway(
                name=f'edge-a-{number}',
                store=store,
                folder=folder,
                record=record,
                ports=ports,
                extra='EvacuateMs = 5000\nColdOverage = 1.5\nColdSlack = 5',
            )
            gateways.append(gateway)
            gateway.start()
        for gateway in gateways:
            await gateway.wait_ready()
        asking = asyncio.create_task(keep_asking(gateways, record))
        await asyncio.sleep(3.0)
        if trouble:
            record.note('another writer: servers/i-foreign')
            store.put('servers', 'i-foreign', make_foreign_entry())
        await watch(gateways, record, time.monotonic() + PLAY_SECONDS)
        asking.cancel()
        for gateway in gateways:
            note_ends(gateway, record)
            if 'address already in use' in gateway.log.lower():
                raise standins.CannotRun('a port was taken')
        return sum(one.ended >= MOST_ENDS for one in gateways) >= MOST_MACHINES
    finally:
        for gateway in gateways:
            gateway.kill()


def note_ends(gateway, record):
    """Note how often a gateway ended, and its last error."""
    record.note(f'{gateway.name}: ended by itself {gateway.ended} times')
    errors = [line for line in gateway.log.splitlines() if 'Error' in line]
    if errors:
        record.note(f'{gateway.name}: last error: {errors[-1].strip()}')


if __name__ == '__main__':
    sys.exit(
        standins.run_case(
            play,
            pathlib.Path(__file__).parent,
            trouble=os.environ.get('TROUBLE', '1') != '0',
        )
    )
