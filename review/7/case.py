"""One part of long prompts ends each server that begins an answer on it."""

import os
import pathlib
import sys

import anyio

from review import parts_2
from review import site_2

GATEWAYS = 3
SERVERS = 6
#: Parts of a prompt that all requests share, and the place of the part that
#: ends servers among those of its requests, counted from 1.
SHARED_PARTS = 19
PLACE = int(os.environ.get('PLACE', '18'))
WARM_UP_SECONDS = 6.0
BAD_SECONDS = 40.0
TROUBLE = os.environ.get('TROUBLE', '1') != '0'
RECORD = pathlib.Path(__file__).parent / 'record.txt'


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
    broken = parts_2.judge(record, crashes, arrivals, sound)
    record.close()
    return 1 if broken else 0


async def play(site, tasks, crashes, arrivals):
    """Play the events; return the sound requests."""
    parts_2.configure(site)
    await site.prepare(GATEWAYS)
    for _ in range(SERVERS):
        server = parts_2.Server(site=site, crashes=crashes, arrivals=arrivals)
        await server.start()
    for gateway in site.gateways:
        gateway.start()
    await site.wait_ready()
    directory = site_2.Directory(site)
    while len(directory.addresses) < GATEWAYS:
        await directory.refresh()
        await anyio.sleep(0.1)
    told = await parts_2.ask(
        site,
        directory=directory,
        prompts=parts_2.Prompts(shared=SHARED_PARTS, place=PLACE),
        warm_up=WARM_UP_SECONDS,
        bad_seconds=BAD_SECONDS,
        has_bad=TROUBLE,
    )
    site.check()
    if TROUBLE:
        site_2.require(bool(crashes), 'no server has ended')
    return told


if __name__ == '__main__':
    sys.exit(site_2.run(main))
