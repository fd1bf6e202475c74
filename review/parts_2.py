"""Servers that a part of a prompt ends, and clients that send such prompts."""

import itertools

import anyio

from review import site_2

SERVICE = 'drafting'
SLOTS = 6
WORK_SECONDS = 0.3
#: Time until a server begins to write an answer.
BEGIN_SECONDS = 0.1
BAD_PART = 'bad0bad0'
SOUND_CLIENTS = 8
SOUND_PAUSE_SECONDS = 0.2
BAD_PAUSE_SECONDS = 1.0
#: Time after which a server that has ended is back.
BACK_SECONDS = 3.0
#: The rule: crashes, time after them, and requests that may still come.
MOST_CRASHES = 5
CONTACT_SECONDS = 3.0
MOST_REQUESTS = 3
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
            self._arrivals.append((anyio.current_time(), name))
            await anyio.sleep(BEGIN_SECONDS)
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


class Prompts:
    """The parts of prompts.

    :param shared: number of parts that all requests share.
    :param place: place of the part that ends servers, counted from 1.
    """

    def __init__(self, *, shared, place):
        self._shared = shared
        self._place = place

    def make(self, name, *, bad):
        """Return the parts of a prompt; the last one is the request's own."""
        parts = [f'c{number:03x}:40' for number in range(self._shared)]
        if bad:
            parts.insert(self._place - 1, f'{BAD_PART}:40')
        return ','.join([*parts, f'e{name}:9'])


class Client:
    """One client, whose requests may not be repeated unless they are bad.

    :ivar told: what its requests came to.
    """

    def __init__(self, *, site, directory, prompts, number, bad):
        self.told = []
        self._prompts = prompts
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
                        self._prompts.make(
                            f'{self._number}{count}', bad=self._bad
                        ),
                    ),
                ],
            )
            self._site.record.note(f'answered {request}: {told.status}')
            self.told.append(told)
            pause = BAD_PAUSE_SECONDS if self._bad else SOUND_PAUSE_SECONDS
            await anyio.sleep(pause)


def configure(site):
    """Write the configuration of the service."""
    more = {'SessionAffinity': True, 'TimeoutMs': 4000}
    site.configure(
        routes=[
            site_2.make_route(
                'draft', '/draft/', 'idempotent', SERVICE, **more
            ),
            site_2.make_route(
                'order', '/order/', 'non_idempotent', SERVICE, **more
            ),
        ],
        services=[
            {'Name': SERVICE, 'HealthPath': '/health', 'MaxConnections': 200}
        ],
    )


async def ask(site, *, directory, prompts, warm_up, bad_seconds, has_bad):
    """Have clients ask; return the requests that are sound.

    :param warm_up: seconds in which all requests are sound.
    :param bad_seconds: seconds after them.
    :param has_bad: one more client then sends requests with the bad part.
    """
    until = anyio.current_time() + warm_up + bad_seconds
    clients = [
        Client(
            site=site,
            directory=directory,
            prompts=prompts,
            number=number,
            bad=number == 0,
        )
        for number in range(SOUND_CLIENTS + 1)
    ]
    bad, *sound = clients
    async with anyio.create_task_group() as asking:
        for client in sound:
            asking.start_soon(client.run, until)
        await anyio.sleep(warm_up)
        if has_bad:
            asking.start_soon(bad.run, until)
    told = [one for client in sound for one in client.told]
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
