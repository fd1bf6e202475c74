"""A stopping process takes a request that it cuts off when it exits."""

import asyncio
import os
import pathlib
import signal
import sys
import time

from review import standins

SERVICE = 'notes'
CLIENTS = 6
#: Events of a stream and the pause between two: the sheet of cap-shared names
#: 28 events in the mean, 69 at most, and pauses of 120 ms.
EVENTS = 45
PAUSE_SECONDS = 0.1
#: Seconds from the start of the first streams to SIGTERM.
LEAD_SECONDS = 0.6
GRACE_SECONDS = 8.0
#: Requests that are sent later than this after SIGTERM are not excused.
EXCUSED_SECONDS = 3.0
#: ContactMs, and the same again.
CALM_SECONDS = 6.0
TIMEOUT_SECONDS = 8.0


class Runner:
    """A sound runner that streams events.

    :ivar begun: attempts that it began to work on.
    :ivar ended: attempts whose stream it wrote to the end.
    """

    def __init__(self, record):
        self.begun = set()
        self.ended = set()
        self.port = 0
        self._record = record

    async def start(self):
        """Listen on a free port."""
        _, self.port = await standins.serve(self._handle)

    async def _handle(self, reader, writer):
        while True:
            request = await standins.read_message(reader)
            if request is None:
                return
            attempt = request.find('attempt-id')
            if not attempt:
                writer.write(standins.make_answer(200))
                continue
            await self._stream(writer, attempt)

    async def _stream(self, writer, attempt):
        self.begun.add(attempt)
        self._record.note(f'runner: runs {attempt}')
        head = (
            'HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n'
            f'Transfer-Encoding: chunked\r\nAttempt-Id: {attempt}\r\n'
            'Runner-Seal: s\r\n\r\n'
        )
        writer.write(head.encode())
        for number in range(1, EVENTS + 1):
            event = f'id: {number}\ndata: {attempt} {number}\n\n'.encode()
            writer.write(b'%x\r\n%b\r\n' % (len(event), event))
            await writer.drain()
            await asyncio.sleep(PAUSE_SECONDS)
        writer.write(b'0\r\n\r\n')
        await writer.drain()
        self.ended.add(attempt)
        self._record.note(f'runner: has ended {attempt}')


class Client:
    """A client that keeps its connection for its next request.

    :ivar sent: by attempt the process, the time of its last byte, and the
        seconds after which it had no whole answer, 0 for a whole one.
    """

    def __init__(self, number, gateways, record):
        self.sent = {}
        self._number = number
        self._gateways = gateways
        self._record = record

    async def run(self, until):
        """Make streams, one after the other, until a time."""
        await asyncio.sleep(0.05 * self._number)
        count = 0
        gateways = list(self._gateways)
        while gateways and time.monotonic() < until:
            gateway = gateways.pop(0)
            try:
                reader, writer = await asyncio.open_connection(
                    gateway.host, gateway.calls
                )
            except OSError:
                continue
            keeps = True
            while keeps and time.monotonic() < until:
                count += 1
                attempt = f'c{self._number}-{count}'
                keeps = await self._ask(reader, writer, gateway, attempt)
                await asyncio.sleep(0.02)
            writer.close()

    async def _ask(self, reader, writer, gateway, attempt):
        """Make one request; whether the connection can carry another."""
        writer.write(
            standins.make_request('POST', '/note/1', attempt, key='k')
        )
        sent_at = time.monotonic()
        self._record.note(f'client: sends {attempt} to {gateway.name}')
        answer = await standins.read_head(reader)
        if answer is None:
            self._record.note(f'client: {attempt} has no answer')
            lasted = time.monotonic() - sent_at
            self.sent[attempt] = (gateway, sent_at, lasted)
            return False
        await standins.read_body(reader, answer)
        events = answer.body.count(b'\n\n')
        state = 'whole' if answer.whole else 'cut off'
        closes = answer.find('connection') == 'close'
        self._record.note(
            f'client: {attempt} {answer.start[1]} {state}, {events} events'
            f'{", connection: close" if closes else ""}'
        )
        lasted = 0.0 if answer.whole else time.monotonic() - sent_at
        self.sent[attempt] = (gateway, sent_at, lasted)
        return answer.whole and not closes


async def play(record, folder, trouble):
    """Play the case; return whether the rule was broken."""
    store = standins.Store()
    await store.start()
    runner = Runner(record)
    await runner.start()
    store.put(
        'servers',
        'i-1',
        {
            'Service': SERVICE,
            'Address': f'{standins.HOST}:{runner.port}',
            'Zone': 'a',
            'Version': 1,
            'Slots': 16,
            'State': 'ready',
            'ColdRemainingMs': 0,
            'Sequence': 1,
        },
    )
    route = standins.make_route('note', 'streaming', SERVICE, GapTargetMs=120)
    services = [{'Name': SERVICE, 'MaxConnections': 400}]
    store.put(
        'config', 'main', standins.make_configuration([route], services, 'k')
    )
    gateways = []
    try:
        for number in range(2):
            ports = gateways[0].ports if gateways else None
            gateway = standins.Gateway(
                name=f'edge-a-{number}',
                store=store,
                folder=folder,
                record=record,
                ports=ports,
            )
            gateways.append(gateway)
            gateway.start()
        for gateway in gateways:
            await gateway.wait_ready()
        await asyncio.sleep(CALM_SECONDS)
        return await stop_one(gateways, runner, record, trouble)
    finally:
        for gateway in gateways:
            gateway.kill()


async def stop_one(gateways, runner, record, trouble):
    """Stop the first process; return whether it lost a request."""
    stopped = gateways[0]
    clients = [Client(one, gateways, record) for one in range(CLIENTS)]
    until = time.monotonic() + 2.0 * EVENTS * PAUSE_SECONDS
    tasks = [asyncio.create_task(one.run(until)) for one in clients]
    await asyncio.sleep(LEAD_SECONDS)
    if not runner.begun - runner.ended:
        raise standins.CannotRun('no stream was under way')
    stopped_at = time.monotonic()
    if trouble:
        stopped.signal(signal.SIGTERM)
    while stopped.poll() is None:
        if time.monotonic() - stopped_at > GRACE_SECONDS:
            break
        await asyncio.sleep(0.02)
    if trouble:
        seconds = time.monotonic() - stopped_at
        record.note(f'{stopped.name}: {seconds:.2f} s after SIGTERM')
        # The platform's SIGKILL, if the process still runs.
        stopped.kill()
    await asyncio.gather(*tasks)
    lost = 0
    for client in clients:
        for attempt, (gateway, sent_at, lasted) in client.sent.items():
            if gateway is stopped:
                sent_after = sent_at - stopped_at
                lost += judge(record, runner, attempt, sent_after, lasted)
    return lost > 0


def judge(record, runner, attempt, sent_after, lasted):
    """Return whether a request was lost as the rule has it."""
    if not lasted or attempt not in runner.begun:
        return False
    if attempt in runner.ended or lasted >= TIMEOUT_SECONDS:
        return False
    if sent_after <= EXCUSED_SECONDS:
        record.note(f'{attempt}: cut off, sent early enough to be excused')
        return False
    record.note(
        f'{attempt}: LOST, sent {sent_after:.2f} s after SIGTERM,'
        f' cut off {lasted:.2f} s later while its runner worked'
    )
    return True


if __name__ == '__main__':
    sys.exit(
        standins.run_case(
            play,
            pathlib.Path(__file__).parent,
            trouble=os.environ.get('TROUBLE', '1') != '0',
        )
    )
