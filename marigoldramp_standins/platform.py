"""The platform as a process: object API, instance list and fault switches.

Run ``python -m marigoldramp_standins.platform --port 0``.
"""

import argparse
import http

import anyio
import msgspec

from marigoldramp import store

from . import instance_list
from . import objects
from . import web


class FaultChange(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """Body of ``POST /standin/faults``; what is left out stays as it is.

    :ivar stale: per kind, the version whose state reads show.
    :ivar freeze: kinds whose present state reads show from now on.
    :ivar silent: a lost reply leaves the connection open and silent,
        instead of breaking it.
    :ivar instance_lag: seconds until an instance change becomes visible.
    """

    outage: bool | None = None
    slowness: float | None = None
    lose_replies: int | None = None
    lose_requests: int | None = None
    stale: dict[str, int] | None = None
    freeze: tuple[str, ...] = ()
    silent: bool | None = None
    instance_lag: float | None = None


class CountsReport(msgspec.Struct, kw_only=True):
    """Body of ``GET /standin/counts``."""

    counts: objects.Counts
    total: int
    version: int


class Platform:
    """The HTTP side of one object table and one instance list."""

    __slots__ = ('table', 'instances', 'silent')

    def __init__(
        self, *, table: objects.Table, instances: instance_list.InstanceList
    ) -> None:
        self.table = table
        self.instances = instances
        self.silent = False

    async def handle(self, exchange: web.Exchange) -> None:
        """Answer one request."""
        match (exchange.method, *exchange.parts):
            case ('GET', 'objects', kind, name):
                await self._read(exchange, store.Key(kind=kind, name=name))
            case ('PUT' | 'DELETE', 'objects', kind, name):
                await self._change(exchange, store.Key(kind=kind, name=name))
            case ('GET', 'objects', kind):
                listing = await self.table.list_objects(kind=kind)
                await _answer_listing(exchange, listing)
            case ('GET', 'watch', kind):
                await self._watch(exchange, kind)
            case ('GET', 'instances'):
                await self._list_instances(exchange)
            case (_, 'standin', *_):
                await self._administer(exchange)
            case _:
                await exchange.refuse(status=404, error='no such path')

    async def _read(self, exchange: web.Exchange, key: store.Key) -> None:
        match await self.table.read(key=key):
            case store.Stored() as found:
                await exchange.answer(
                    status=http.HTTPStatus.OK,
                    body=found.value,
                    headers=_version_header(found.version),
                )
            case store.Absent():
                await exchange.refuse(status=404, error='no such object')
            case store.Unavailable() as away:
                await exchange.refuse(status=503, error=away.detail)

    async def _change(self, exchange: web.Exchange, key: store.Key) -> None:
        body = await exchange.read_body()
        expected = _read_expected(exchange)
        if expected is None:
            await exchange.refuse(status=428, error='a condition is required')
            return
        if len(body) > objects.LONGEST_VALUE:
            await exchange.refuse(status=413, error='the value is too long')
            return
        if exchange.method == 'DELETE':
            outcome = await self.table.delete(key=key, expected=expected)
        else:
            outcome = await self.table.write(
                key=key, value=body, expected=expected
            )
        await self._answer_change(exchange, outcome, expected)

    async def _answer_change(
        self,
        exchange: web.Exchange,
        outcome: (
            store.Written
            | store.Conflict
            | store.Unavailable
            | store.Uncertain
        ),
        expected: int,
    ) -> None:
        match outcome:
            case store.Written():
                created = expected == store.CREATE
                await exchange.answer(
                    status=201 if created else 200,
                    headers=_version_header(outcome.version),
                )
            case store.Conflict():
                await exchange.refuse(status=412, error='another version')
            case store.Unavailable():
                await exchange.refuse(status=503, error=outcome.detail)
            case store.Uncertain() if self.silent:
                await exchange.wait_gone()
            case store.Uncertain():
                await exchange.cut()

    async def _watch(self, exchange: web.Exchange, kind: str) -> None:
        after = int(exchange.query('after', '0'))
        seconds = float(exchange.query('seconds', '20'))
        # Without the second task a watch whose client has gone would wait
        # on for the full time.
        async with anyio.create_task_group() as group:
            group.start_soon(_cancel_when_gone, exchange, group.cancel_scope)
            listing = await self.table.watch(
                kind=kind, after=after, seconds=seconds
            )
            await _answer_listing(exchange, listing)
            group.cancel_scope.cancel()

    async def _list_instances(self, exchange: web.Exchange) -> None:
        if not await self.table.arrive_at_instances():
            await exchange.refuse(status=503, error='the platform is away')
            return
        await exchange.answer_json(self.instances.list_instances())

    async def _administer(self, exchange: web.Exchange) -> None:
        match (exchange.method, *exchange.parts[1:]):
            case ('POST', 'faults'):
                body = await exchange.read_body()
                self._set_faults(msgspec.json.decode(body, type=FaultChange))
                await exchange.answer_json(self.table.faults)
            case ('GET', 'counts'):
                await exchange.answer_json(self._report())
            case ('PUT', 'instances', name):
                body = await exchange.read_body()
                instance = msgspec.json.decode(body, type=store.Instance)
                self.instances.put(
                    instance=msgspec.structs.replace(instance, name=name)
                )
                await exchange.answer(status=204)
            case ('DELETE', 'instances', name):
                self.instances.remove(name=name)
                await exchange.answer(status=204)
            case ('POST', 'publish'):
                self.instances.publish()
                await exchange.answer(status=204)
            case _:
                await exchange.refuse(status=404, error='no such path')

    def _set_faults(self, change: FaultChange) -> None:
        faults = self.table.faults
        for name in ('outage', 'slowness', 'lose_replies', 'lose_requests'):
            value = getattr(change, name)
            if value is not None:
                setattr(faults, name, value)
        if change.stale is not None:
            faults.stale = change.stale
        for kind in change.freeze:
            self.table.freeze(kind=kind)
        if change.silent is not None:
            self.silent = change.silent
        if change.instance_lag is not None:
            self.instances.lag = change.instance_lag
        self.table.wake()

    def _report(self) -> CountsReport:
        counts = self.table.counts
        return CountsReport(
            counts=counts, total=counts.total(), version=self.table.version
        )


def _version_header(version: int) -> web.Headers:
    return [(b'etag', b'"%d"' % version)]


def _read_expected(exchange: web.Exchange) -> int | None:
    """Return the version that a write expects, ``None`` without one."""
    if exchange.header('if-none-match') == '*':
        return store.CREATE
    text = exchange.header('if-match').strip('"')
    return int(text) if text.isdigit() else None


async def _answer_listing(
    exchange: web.Exchange, listing: store.Listing | store.Unavailable
) -> None:
    match listing:
        case store.Listing():
            await exchange.answer_json(listing)
        case store.Unavailable():
            await exchange.refuse(status=503, error=listing.detail)


async def _cancel_when_gone(
    exchange: web.Exchange, scope: anyio.CancelScope
) -> None:
    await exchange.wait_gone()
    scope.cancel()


def main() -> None:
    """Run the stand-in until SIGTERM."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--host', default=web.HOST)
    parser.add_argument('--port', type=int, default=0)
    parser.add_argument('--instance-lag', type=float, default=0.0)
    flags = parser.parse_args()
    platform = Platform(
        table=objects.Table(),
        instances=instance_list.InstanceList(lag=flags.instance_lag),
    )

    def end_watches() -> None:
        platform.table.faults.outage = True
        platform.table.wake()

    async def run() -> None:
        await web.run_until_signal(
            handle=platform.handle,
            host=flags.host,
            port=flags.port,
            closing=end_watches,
        )

    anyio.run(run)


if __name__ == '__main__':
    main()
