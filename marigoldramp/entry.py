"""The entry daemon: callers connect here."""

import dataclasses
from typing import Any

from absl import logging
import anyio
import anyio.abc
import msgspec

from . import addresses
from . import alarms
from . import asgi
from . import bindings
from . import bundle
from . import callers
from . import calls
from . import claims
from . import connections
from . import credentials
from . import deliveries
from . import demands
from . import heads
from . import intakes
from . import keys
from . import limits
from . import membership
from . import messages
from . import outcomes
from . import resumes
from . import routes
from . import routing
from . import runtime as runtime_module
from . import settings as settings_module
from . import shares
from . import status
from . import supervision
from . import usage_exchange

IDLE_CHECK = 0.02
#: Seconds without any agent of a service; shorter ones come at each start.
NO_ENDPOINT_AFTER = 5.0


class Model(msgspec.Struct, frozen=True, kw_only=True):
    """One row of the list of models."""

    id: str
    object: str = 'model'
    owned_by: str = 'marigoldramp'


class ModelList(msgspec.Struct, frozen=True, kw_only=True):
    """Answer to ``GET /v1/models``."""

    data: list[Model]
    object: str = 'list'


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Asking:
    """A customer that asks for a page, and the routes in force."""

    customer: bundle.Customer
    table: routes.RouteTable


class Entry(runtime_module.Program):
    """One entry on a runtime."""

    role = messages.Role.ENTRY

    def __init__(self, *, settings: settings_module.Settings) -> None:
        self.settings = settings.entry
        self.instance = settings.instance
        self.data_centre = settings.data_centre
        self.runtime: runtime_module.Runtime
        self.router: routing.Router
        self.calls: calls.Calls
        self.book: addresses.AddressBook
        self._pools: dict[str, connections.Pool] = {}
        self._supervisor: supervision.Supervisor

    def start(
        self, runtime: runtime_module.Runtime, group: anyio.abc.TaskGroup
    ) -> None:
        self.runtime = runtime
        self._supervisor = supervision.Supervisor(tasks=group)
        self.router = routing.Router(
            clock=runtime.clock,
            random=runtime.random,
            data_centre=self.data_centre,
            most_endpoints=self.settings.endpoints,
        )
        made = self._make_keys()
        self.book = addresses.AddressBook(
            instance=self.instance,
            members=runtime.members,
            router=self.router,
            keys=made,
            settings=self.settings,
            own_address=self._describe_own,
        )
        known = demands.Demands(
            entry=self.instance,
            clock=runtime.clock,
            most_peers=runtime.settings.membership.table,
        )
        shared = shares.Shares(
            entry=self.instance,
            live_entries=self._list_entries,
            clock=runtime.clock,
            most=self.settings.customers,
            known=known,
        )
        limited = limits.Limits(
            clock=runtime.clock, most_customers=self.settings.customers
        )
        self.calls = calls.Calls(
            tools=self._make_tools(),
            config=runtime.config,
            limits=limited,
            keys=made,
            settings=self.settings,
            metrics=runtime.metrics,
            shares=shared,
        )
        members = runtime.members
        exchange = usage_exchange.Exchange(
            entry=self.instance,
            incarnation=runtime.incarnation,
            limits=limited,
            shares=shared,
            known=known,
            send=members.send_usage,
            wall=runtime.wall,
        )
        members.on_usage(exchange.receive)
        self._supervisor.keep_running(exchange.run)
        members.on_heartbeat(self._note_heartbeat)
        members.on_cache_events(self.router.note_cache_events)
        members.on_dead(self._note_gone)
        members.on_leaving(self._note_gone)
        members.on_unlinked(self._note_gone)
        members.on_silent(self._note_silent)

    async def handle(
        self, scope: Any, receive: asgi.Receive, send: asgi.Send
    ) -> None:
        match (scope['method'], scope['path']):
            case ('GET', '/marigoldramp/addresses'):
                await self._send_addresses(scope, send)
            case ('GET', '/v1/models'):
                await self._send_models(scope, send)
            case _:
                await self.calls.handle(scope, receive, send)

    def in_flight(self) -> int:
        return self.calls.in_flight

    async def drain(self) -> None:
        """Serve callers with old addresses for a moment, then end.

        The address answer no longer names this entry; a caller that still
        keeps it is served during the linger time and then turned away with
        "not run", never cut off.
        """
        self.calls.exits_at = self.runtime.exits_at
        await anyio.sleep(self.settings.linger)
        self.calls.closed = True
        while self.in_flight():
            await anyio.sleep(IDLE_CHECK)

    def alarms(self) -> list[status.Alarm]:
        found = alarms.nearly_full(
            name=alarms.Name.CALLS_NEARLY_FULL,
            count=self.in_flight(),
            bound=self.settings.calls,
            setting='entry.calls',
        )
        in_force = self.runtime.config.in_force
        idle = [
            service.name
            for service in (in_force.services if in_force else ())
            if not self.router.candidates(service.name)
        ]
        if self.runtime.watch.lasts(
            alarms.Name.NO_ENDPOINT,
            present=bool(idle),
            seconds=NO_ENDPOINT_AFTER,
        ):
            detail = f'no agent serves {alarms.spell(idle)}'
            found.append(alarms.make(alarms.Name.NO_ENDPOINT, detail))
        return found

    # Pages for callers

    async def _send_addresses(self, scope: Any, send: asgi.Send) -> None:
        asking = self._identify(scope)
        match asking:
            case outcomes.NotRun():
                await asgi.send_refusal(send=send, refusal=asking, call='')
            case Asking(customer=customer, table=table):
                body = self.book.answer(customer=customer, table=table)
                await asgi.send_json(send=send, body=body)

    async def _send_models(self, scope: Any, send: asgi.Send) -> None:
        asking = self._identify(scope)
        match asking:
            case outcomes.NotRun():
                await asgi.send_refusal(send=send, refusal=asking, call='')
            case Asking(customer=customer, table=table):
                names = table.models(customer.services)
                models = ModelList(data=[Model(id=name) for name in names])
                body = msgspec.json.encode(models)
                await asgi.send_json(send=send, body=body)

    def _identify(self, scope: Any) -> Asking | outcomes.NotRun:
        """Return who asks for a page, by the bundle in force."""
        table = self.calls.find_routes()
        if table is None:
            return intakes.describe_no_bundle()
        customer = callers.identify(
            request=asgi.read_head(scope), config=self.runtime.config
        )
        if isinstance(customer, outcomes.NotRun):
            return customer
        return Asking(customer=customer, table=table)

    # Peers

    def _note_heartbeat(self, heartbeat: messages.Heartbeat) -> None:
        if heartbeat.role is messages.Role.AGENT:
            self.router.report(heartbeat=heartbeat, now=self.runtime.clock())

    def _note_gone(self, peer: membership.Peer) -> None:
        if peer.role is messages.Role.AGENT:
            self.router.drop(instance=peer.instance)

    def _note_silent(self, peer: membership.Peer) -> None:
        """Forget connections that may never bring a byte again."""
        pool = self._pools.get(peer.instance)
        if pool is not None:
            self._supervisor.start_soon(pool.clear)

    def find_pool(self, candidate: routing.Candidate) -> connections.Pool:
        """Return the connections to an agent, at its present address."""
        pool = self._pools.get(candidate.instance)
        moved = pool is not None and (
            pool.host != candidate.host or pool.port != candidate.call_port
        )
        if pool is None or moved:
            pool = connections.Pool(
                host=candidate.host,
                port=candidate.call_port,
                most_idle=self.settings.idle_connections,
            )
            self._pools[candidate.instance] = pool
        return pool

    # Parts

    def _describe_own(self) -> str:
        if self.runtime.leaving:
            return ''
        host = self.runtime.settings.host
        return f'http://{host}:{self.runtime.server.port}'

    def _list_entries(self) -> set[str]:
        """Return the entries among which customers are shared out.

        This one counts even while it leaves: it still serves the callers
        that keep its address.
        """
        return {self.instance, *self.book.live()}

    def _make_keys(self) -> keys.Keys:
        return keys.Keys(
            binder=bindings.Binder(fleet_key=self.runtime.fleet_key),
            claims=claims.Claims(
                platform=self.runtime.platform, wall=self.runtime.wall
            ),
            router=self.router,
            wall=self.runtime.wall,
        )

    def _make_tools(self) -> deliveries.Tools:
        return deliveries.Tools(
            instance=self.instance,
            router=self.router,
            members=self.runtime.members,
            heads=heads.Heads(fleet_key=self.runtime.fleet_key),
            resumes=resumes.Resumes(fleet_key=self.runtime.fleet_key),
            find_pool=self.find_pool,
            clock=self.runtime.clock,
            wall=self.runtime.wall,
            silence=self.settings.silence,
        )


async def run(settings: settings_module.Settings) -> int:
    """Run an entry until it is stopped; return the exit code."""
    key = runtime_module.read_fleet_key(settings)
    if isinstance(key, credentials.Missing):
        logging.error('security.fleet_key: %s', key.detail)
        return runtime_module.BAD_SETTINGS
    program = Entry(settings=settings)
    runtime = runtime_module.Runtime(
        settings=settings, program=program, fleet_key=key
    )
    return await runtime_module.run_until_signal(runtime)
