"""All gateways start again beside one entry that cannot be read."""

import json
import os
import pathlib
import sys
import urllib.parse

import anyio

from marigoldramp_soak import objects
from review import cold_2
from review import site_2

GATEWAYS = 3
SERVERS = 3
#: Requests per second of all clients together.
RATE = 60.0
#: The bounds of the store's pages and of an object, in bytes.
PAGE_BYTES = 1048576
PAGE_ITEMS = 500
VALUE_BYTES = 1048576
#: Room for all of an object but its value.
OBJECT_BYTES = 256
#: The entry of another writer; it comes before those of the servers.
FOREIGN_NAME = 'export-7'
MARK = '@foreign@'
#: Arrays in one another, in its field ``Service``.
DEPTH = 2000
KIND = 'servers'
WARM_UP_SECONDS = 6.0
DOWN_SECONDS = 1.0
RECOVERY_SECONDS = 12.0
JUDGED_SECONDS = 6.0
LEAST_SHARE = 0.25
TROUBLE = os.environ.get('TROUBLE', '1') != '0'
RECORD = pathlib.Path(__file__).parent / 'record.txt'


def make_foreign_value():
    """Return a value of the largest size, with a field of another type.

    It is a JSON document in which ``Service`` is an array and not a text.
    """
    service = b'[' * DEPTH + b']' * DEPTH
    head = b'{"Service":' + service + b',"Note":"'
    tail = b'"}'
    text = b'x' * (VALUE_BYTES - OBJECT_BYTES - len(head + tail))
    return head + text + tail


class PagedStore(objects.Objects):
    """The platform's store, whose lists have pages."""

    def __init__(self):
        super().__init__()
        self._foreign = make_foreign_value()
        self.foreign_lists = 0

    def write_foreign(self):
        """Have another writer write its entry."""
        self.put(KIND, FOREIGN_NAME, MARK)

    async def _serve(self, exchange):
        query = urllib.parse.parse_qs(exchange.head.query)
        kind, _, name = exchange.head.path.rpartition('objects/')[2].partition(
            '/'
        )
        is_list = exchange.head.method == b'GET' and not name
        if not is_list or 'Watch' in query:
            return await super()._serve(exchange)
        after = query.get('After', [''])[0]
        items = self.kinds.get(kind, {})
        names = sorted(one for one in items if one > after)
        page = []
        size = 0
        for one in names:
            size += self._measure(items[one])
            if page and (size > PAGE_BYTES or len(page) >= PAGE_ITEMS):
                break
            page.append(items[one])
        if any(one['Spec'] == MARK for one in page):
            self.foreign_lists += 1
        return 200, {
            'Items': page,
            'More': len(page) < len(names),
            'AtRev': self.revision,
        }

    def _measure(self, item):
        size = len(json.dumps(item))
        return size + (len(self._foreign) if item['Spec'] == MARK else 0)

    async def _respond(self, exchange, status, body):
        body = body.replace(json.dumps(MARK).encode(), self._foreign)
        await super()._respond(exchange, status, body)


async def main():
    """Run the case; return its exit code."""
    record = site_2.Record(RECORD)
    async with anyio.create_task_group() as tasks:
        site = site_2.Site(tasks=tasks, record=record)
        site.store = PagedStore()
        try:
            before, after = await play(site, tasks)
        finally:
            tasks.cancel_scope.cancel()
            await site.end()
    broken = judge(record, before, after)
    record.close()
    return 1 if broken else 0


async def play(site, tasks):
    """Play the events; return the requests before and after."""
    cold_2.configure(site)
    await site.prepare(GATEWAYS)
    await cold_2.add_servers(site, SERVERS)
    for gateway in site.gateways:
        gateway.start()
    await site.wait_ready()
    clients = cold_2.Clients(site=site, rate=RATE)
    await clients.start(tasks)
    await anyio.sleep(WARM_UP_SECONDS)
    if TROUBLE:
        site.store.write_foreign()
        site.record.note('another writer has written an entry')
    await anyio.sleep(WARM_UP_SECONDS)
    killed_at = anyio.current_time()
    site.record.note('all gateways are killed')
    for gateway in site.gateways:
        await gateway.kill()
    await anyio.sleep(DOWN_SECONDS)
    for gateway in site.gateways:
        gateway.start()
    back_at = anyio.current_time()
    lists_before = site.store.foreign_lists
    site.record.note('all gateways are started')
    await anyio.sleep(RECOVERY_SECONDS + JUDGED_SECONDS)
    ready = [await site.is_ready(gateway) for gateway in site.gateways]
    line = f'{sum(ready)} of {GATEWAYS} gateways are ready'
    print(line)
    site.record.note(line)
    clients.stop()
    await anyio.sleep(1.0)
    site.check()
    if TROUBLE:
        site_2.require(
            site.store.foreign_lists > lists_before,
            'no gateway has listed the entry',
        )
    before = [one for one in clients.told if one.sent_at < killed_at]
    after = [
        one for one in clients.told if one.sent_at > back_at + RECOVERY_SECONDS
    ]
    return before, after


def judge(record, before, after):
    """Return whether too few requests are served after the recovery."""
    shares = []
    for name, requests in (('before', before), ('after', after)):
        served = sum(one.whole and one.status == 200 for one in requests)
        shares.append(served / max(1, len(requests)))
        line = f'{name}: {served} of {len(requests)} requests served'
        print(line)
        record.note(line)
    site_2.require(shares[0] >= LEAST_SHARE, 'too little served before')
    site_2.require(bool(after), 'no request after the recovery')
    return shares[1] < LEAST_SHARE


if __name__ == '__main__':
    sys.exit(site_2.run(main))
