"""One part of long prompts ends each server that begins an answer on it."""

import itertools
import os
import pathlib
import sys

import anyio

from review import site_2

GATEWAYS = 3
SERVERS = 6
SERVICE = 'drafting'
SLOTS = 6
WORK_SECONDS = 0.3
#: Time until a server begins to write an answer.
BEGIN_SECONDS = 0.1
#: Parts of a prompt that all requests share, and the place of the part that
#: ends servers among those of its requests, counted from 1.
SHARED_PARTS = 19
PLACE = int(os.environ.get('PLACE', '18'))
BAD_PART = 'bad0bad0'
SOUND_CLIENTS = 8
SOUND_PAUSE_SECONDS = 0.2
BAD_PAUSE_SECONDS = 1.0
#: Time after which a server that has ended is back.
BACK_SECONDS = 3.0
WARM_UP_SECONDS = 6.0
BAD_SECONDS = 40.0
#: The rule: crashes, time after them, and requests that may still come.
MOST_CRASHES = 5
CONTACT_SECONDS = 3.0
MOST_REQUESTS = 3
TROUBLE = os.environ.get('TROUBLE', '1') != '0'
RECORD = pathlib.Path(__file__).parent / 'record.txt'
_numbers = itertools.count(1)


class Server(site_2.Server):
    """One server that a part of a prompt ends."""

    def __init__(self, *, site, crashes, arrivals):
        super().__init__(site=site)
        self._crashes = crashes
        self._arrivals = arrivals

    def register(self):
        self.site.store.put(
            'servers',
            self.identity,
            {
                'Service': SERVICE,
                'Address': self.address,
                'Zone': 'zone-a',
                'Version': 'v1',
                'Slots': SLOTS,
                'State': 'ready',
                'ColdRemainingMs': 0,
                'born': 1700000000000 + next(_numbers),
                'Sequence': 1,
            },
        )

    async def answer(self, exchange):
        headers = dict(exchange.head.headers)
        request = headers.get(b'attempt-id', b'')
        echo = [(b'attempt-id', request)]
        expected = headers.get(b'expect-instance', b'').decode()
        if expected != self.identity:
            await exchange.respond(status=421, headers=echo, body=b'')
            return
        await exchange.read_body(max_bytes=1 << 20, seconds=5.0)
        name = request.decode()
        parts = headers.get(b'prompt-prefix', b'').decode()
        self.site.record.note(f'ran {name} at {self.identity}')
        if BAD_PART in parts:
            await anyio.sleep(BEGIN_SECONDS)
            self._arrivals.append((anyio.current_time(), name))
            if self.is_up:
                self._crashes.append(anyio.current_time())
            self.end(back_after=BACK_SECONDS)
            await anyio.sleep_forever()
        await anyio.sleep(WORK_SECONDS)
        await exchange.respond(
            status=200,
            headers=[*echo, (b'runner-seal', b's')],
            body=b'done ' + request,
        )


def make_parts(name, *, bad):
    """Return the parts of a prompt; the last one is the request's own."""
    parts = [f'c{number:03x}:40' for number in range(SHARED_PARTS)]
    if bad:
        parts.insert(PLACE - 1, f'{BAD_PART}:40')
    return ','.join([*parts, f'e{name}:9'])


class Client:
    """One client, whose requests may not be repeated unless they are bad.

    :ivar told: what its requests came to.
    """

    def __init__(self, *, site, directory, number, bad):
        self.told = []
        self._site = site
        self._directory = directory
        self._number = number
        self._bad = bad
        self._prefix = '/draft/' if bad else '/order/'

    async def run(self, until):
        """Make requests until a time."""
        count = 0
        while anyio.current_time() < until:
            count += 1
            kind = 'bad' if self._bad else 'sound'
            request = f'{kind}-{self._number}-{count}'
            host, port = self._directory.pick()
            self._site.record.note(f'sent {request}')
            told = await site_2.ask_once(
                host,
                port,
                path=f'{self._prefix}{request}',
                seconds=5.0,
                headers=[
                    ('Attempt-Id', request),
                    ('Time-Budget-Ms', '4000'),
                    ('Model', 'm'),
                    ('Token-Counts', '800,80'),
                    (
                        'Prompt-Prefix',
                        make_parts(f'{self._number}{count}', bad=self._bad),
                    ),
                ],
            )
            self._site.record.note(f'answered {request}: {told.status}')
            self.told.append(told)
            pause = BAD_PAUSE_SECONDS if self._bad else SOUND_PAUSE_SECONDS
            await anyio.sleep(pause)


async def main():
    """Run the case; return its exit code."""
    record = site_2.Record(RECORD)
    async with anyio.create_task_group() as tasks:
        site = site_2.Site(tasks=tasks, record=record)
        crashes = []
        arrivals = []
        try:
            sound = await play(site, tasks, crashes, arrivals)
        finally:
            tasks.cancel_scope.cancel()
            await site.end()
    broken = judge(record, crashes, arrivals, sound)
    record.close()
    return 1 if broken else 0


async def play(site, tasks, crashes, arrivals):
    """Play the events; return the sound requests."""
    more = {'service': SERVICE, 'SessionAffinity': True, 'TimeoutMs': 4000}
    service = more.pop('service')
    site.configure(
        routes=[
            site_2.make_route(
                'draft', '/draft/', 'idempotent', service, **more
            ),
            site_2.make_route(
                'order', '/order/', 'non_idempotent', service, **more
            ),
        ],
        services=[
            {'Name': service, 'HealthPath': '/health', 'MaxConnections': 200}
        ],
    )
    await site.prepare(GATEWAYS)
    for _ in range(SERVERS):
        server = Server(site=site, crashes=crashes, arrivals=arrivals)
        await server.start()
    for gateway in site.gateways:
        gateway.start()
    await site.wait_ready()
    directory = site_2.Directory(site)
    while len(directory.addresses) < GATEWAYS:
        await directory.refresh()
        await anyio.sleep(0.1)
    until = anyio.current_time() + WARM_UP_SECONDS + BAD_SECONDS
    clients = [
        Client(site=site, directory=directory, number=one, bad=False)
        for one in range(SOUND_CLIENTS)
    ]
    async with anyio.create_task_group() as asking:
        for client in clients:
            asking.start_soon(client.run, until)
        await anyio.sleep(WARM_UP_SECONDS)
        if TROUBLE:
            bad = Client(site=site, directory=directory, number=0, bad=True)
            asking.start_soon(bad.run, until)
    site.check()
    if TROUBLE:
        site_2.require(bool(crashes), 'no server has ended')
    told = [one for client in clients for one in client.told]
    served = sum(one.whole and one.status == 200 for one in told)
    site_2.require(2 * served > len(told), 'too little served')
    return told


def judge(record, crashes, arrivals, sound):
    """Return whether too many requests with the part came to servers."""
    late = []
    if len(crashes) >= MOST_CRASHES:
        since = crashes[MOST_CRASHES - 1] + CONTACT_SECONDS
        late = [name for at, name in arrivals if at > since]
    lost = sum(told.status == 502 or not told.whole for told in sound)
    lines = (
        f'{len(crashes)} servers ended',
        f'{len(late)} requests with the part reached servers later than '
        f'{CONTACT_SECONDS} s after the fifth end; {MOST_REQUESTS} may',
        f'{lost} of {len(sound)} sound requests were lost on the way',
    )
    for line in lines:
        print(line)
        record.note(line)
    return len(late) > MOST_REQUESTS


if __name__ == '__main__':
    sys.exit(site_2.run(main))
