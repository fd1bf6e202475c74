"""Tests of requests between peers."""

import contextlib

import anyio
import grpc
import pytest

from marigoldramp import peer_messages
from marigoldramp import peer_seals
from marigoldramp import peers
from marigoldramp import replays
from marigoldramp import seals

KEY = b'0123456789abcdef'
HOST = '127.0.0.1'
SESSION = 77


def make_sealer(key=KEY):
    return seals.Sealer(fleet_key=key, use='order')


class Recorder(peers.Handlers):
    """Answers every request and counts those that came through."""

    def __init__(self):
        self.senders = []

    async def probe(self, *, sender):
        self.senders.append(sender)
        return peers.ProbeReply(instance='agent-1', incarnation=SESSION)

    async def fetch_manifest(self, *, have, sender):
        return peers.ManifestReply(number=have + 1, manifest=b'manifest')

    async def fetch_parts(self, *, digests, sender):
        return tuple(
            peers.Part(digest=digest, content=digest.encode())
            for digest in digests
        )

    async def order(self, *, order, sender):
        self.senders.append(sender)
        return peers.MapReply(accepted=True, fence=order.fence)

    async def hand_over(self, *, request, sender):
        return peers.HandOverReply(kept=request.complete)


@contextlib.asynccontextmanager
async def serve(*, session=SESSION, port=0, key=KEY):
    """Yield a recorder and the port at which it is asked."""
    recorder = Recorder()
    server = peers.Server(
        handlers=recorder,
        sealer=make_sealer(key),
        instance='agent-1',
        session=session,
        host=HOST,
        port=port,
    )
    recorder.server = server
    recorder.port = await server.start()
    try:
        yield recorder
    finally:
        await server.stop()


@contextlib.asynccontextmanager
async def connect(*, key=KEY, **rest):
    client = peers.Client(sealer=make_sealer(key), instance='entry-1', **rest)
    try:
        yield client
    finally:
        await client.close()


async def give_order(client, port, *, fence=3, receiver='agent-1'):
    return await client.order(
        HOST, port, receiver=receiver, order=peers.MapOrder(fence=fence)
    )


@pytest.mark.anyio
async def test_every_method_answers():
    async with serve() as recorder, connect() as client:
        port = recorder.port
        probed = await client.probe(HOST, port)
        manifest = await client.fetch_manifest(HOST, port, have=4)
        parts = await client.fetch_parts(HOST, port, digests=('a', 'b'))
        ordered = await give_order(client, port)
        handed = await client.hand_over(
            HOST,
            port,
            receiver='agent-1',
            request=peers.HandOverRequest(complete=True),
        )
    assert (probed.instance, probed.incarnation) == ('agent-1', SESSION)
    assert (manifest.number, manifest.manifest) == (5, b'manifest')
    assert [part.content for part in parts] == [b'a', b'b']
    assert (ordered.accepted, ordered.fence) == (True, 3)
    assert handed.kept


@pytest.mark.anyio
async def test_stranger_gives_no_order():
    """A process with another key reaches the port and gives an order."""
    async with serve() as recorder:
        async with connect(key=b'another key of 16') as client:
            ordered = await give_order(client, recorder.port)
    assert isinstance(ordered, peers.Unreachable)
    assert recorder.senders == []


@pytest.mark.anyio
async def test_bare_request_is_refused():
    """A program without any key calls the method as generated code does."""
    async with serve() as recorder:
        target = peer_messages.target_of(HOST, recorder.port)
        async with grpc.aio.insecure_channel(target) as channel:
            call = channel.unary_unary(f'/{peer_messages.SERVICE}/Order')
            with pytest.raises(grpc.aio.AioRpcError) as raised:
                await call(peers.MapOrder().SerializeToString())
    assert raised.value.code() is grpc.StatusCode.UNAUTHENTICATED
    assert recorder.senders == []


@pytest.mark.anyio
async def test_order_for_another_instance_is_refused():
    """An address was reused: another agent answers where one was known."""
    async with serve() as recorder, connect() as client:
        ordered = await give_order(client, recorder.port, receiver='agent-2')
    assert ordered.refusal is peer_seals.Refusal.WRONG_RECEIVER
    assert recorder.senders == []


@pytest.mark.anyio
async def test_restarted_peer_takes_orders_again():
    """The client knows the session of a process that has since restarted.

    The old session is refused, so the order had no effect, and it is given
    once more in the new one.
    """
    async with connect() as client:
        async with serve() as first:
            port = first.port
            await give_order(client, port)
        async with serve(session=SESSION + 1, port=port) as second:
            ordered = await give_order(client, port)
            while isinstance(ordered, peers.Unreachable):
                ordered = await give_order(client, port)
    assert ordered.accepted
    assert second.senders.count('entry-1') >= 1


@pytest.mark.anyio
async def test_order_in_an_old_session_is_given_again():
    """A relay keeps the client's connection open while the peer restarts."""
    async with serve() as recorder, connect() as client:
        await give_order(client, recorder.port)
        recorder.server._checker.session = SESSION + 1
        ordered = await give_order(client, recorder.port)
    assert ordered.accepted
    assert recorder.server.refusals == {peer_seals.Refusal.WRONG_SESSION: 1}


async def forward(source, target, stalled):
    """Copy bytes one way until the flow is lost; then keep both ends open."""
    with contextlib.suppress(anyio.EndOfStream, anyio.BrokenResourceError):
        while True:
            chunk = await source.receive()
            if stalled.is_set():
                await anyio.sleep_forever()
            await target.send(chunk)


@pytest.mark.anyio
async def test_silent_connection_is_given_up():
    """Orders time out for good on a connection that the network forgot.

    An order succeeds; then something between the two ends loses track of
    the connection, so that bytes vanish without an error while new
    connections work.  A probe has to reach the peer, and the order after
    the one that timed out has to as well.
    """
    stalled = anyio.Event()

    async def relay(stream):
        mine = anyio.Event() if stalled.is_set() else stalled
        async with await anyio.connect_tcp(HOST, recorder.port) as onward:
            async with anyio.create_task_group() as group:
                group.start_soon(forward, stream, onward, mine)
                group.start_soon(forward, onward, stream, mine)

    async with serve() as recorder, anyio.create_task_group() as group:
        listener = await anyio.create_tcp_listener(local_host=HOST)
        port = listener.extra(anyio.abc.SocketAttribute.local_port)
        group.start_soon(listener.serve, relay)
        async with connect() as client:
            first = await give_order(client, port)
            stalled.set()
            probed = await client.probe(HOST, port)
            second = await client.order(
                HOST,
                port,
                receiver='agent-1',
                order=peers.MapOrder(),
                timeout=0.2,
            )
            third = await give_order(client, port)
        group.cancel_scope.cancel()
    assert first.accepted
    assert probed.instance == 'agent-1'
    assert isinstance(second, peers.Unreachable)
    assert second.refusal is None
    assert third.accepted


@pytest.mark.anyio
async def test_kept_connections_are_bounded():
    async with contextlib.AsyncExitStack() as stack:
        recorders = [
            await stack.enter_async_context(serve()) for _ in range(3)
        ]
        client = await stack.enter_async_context(connect(most_channels=2))
        for recorder in recorders:
            await give_order(client, recorder.port)
            assert len(client._kept) <= 2


def make_pair(now=None, **rest):
    """Return both ends of the seal, on one wall clock."""
    now = now if now is not None else [1000.0]
    asker = peer_seals.Asker(
        sealer=make_sealer(), instance='entry-1', wall=lambda: now[0]
    )
    checker = peer_seals.Checker(
        sealer=make_sealer(),
        instance='agent-1',
        session=SESSION,
        clock=lambda: now[0],
        wall=lambda: now[0],
        **rest,
    )
    return asker, checker


def ask(asker, *, method='Order', receiver='agent-1', session=SESSION):
    return asker.ask(
        method=method, receiver=receiver, session=session, body=b'body'
    )


@pytest.mark.parametrize(
    ('changes', 'method', 'body', 'later', 'refusal'),
    [
        ({}, 'Order', b'body', 0, None),
        ({}, 'HandOver', b'body', 0, peer_seals.Refusal.WRONG_METHOD),
        ({}, 'Order', b'other', 0, peer_seals.Refusal.WRONG_BODY),
        ({}, 'Order', b'body', 31, peer_seals.Refusal.OLD),
        ({}, 'Order', b'body', -31, peer_seals.Refusal.OLD),
        (
            {'receiver': 'agent-2'},
            'Order',
            b'body',
            0,
            peer_seals.Refusal.WRONG_RECEIVER,
        ),
        (
            {'session': SESSION - 1},
            'Order',
            b'body',
            0,
            peer_seals.Refusal.WRONG_SESSION,
        ),
    ],
    ids=['whole', 'method', 'body', 'old', 'early', 'receiver', 'session'],
)
def test_check(changes, method, body, later, refusal):
    now = [1000.0]
    asker, checker = make_pair(now)
    sealed = asker.seal(ask(asker, **changes))
    now[0] += later
    checked = checker.check(method=method, sealed=sealed, body=body, once=True)
    assert getattr(checked, 'refusal', None) is refusal


@pytest.mark.parametrize(
    ('once', 'refusal'), [(True, peer_seals.Refusal.REPLAYED), (False, None)]
)
def test_replayed_request(once, refusal):
    """A recorded order is sent again, within its time of validity."""
    asker, checker = make_pair()
    sealed = asker.seal(ask(asker))
    for _ in range(2):
        checked = checker.check(
            method='Order', sealed=sealed, body=b'body', once=once
        )
    assert getattr(checked, 'refusal', None) is refusal


def test_full_window_refuses_rather_than_forgets():
    """More orders come than the window holds.

    Forgetting the oldest would let whoever recorded it give it again.
    """
    now = [0.0]
    window = replays.ReplayWindow(seconds=60, most=2, clock=lambda: now[0])
    assert [window.take(nonce) for nonce in (b'a', b'b', b'c', b'a')] == [
        True,
        True,
        False,
        False,
    ]
    now[0] = 60.0
    assert window.take(b'c')


@pytest.mark.parametrize(
    ('receiver', 'nonce', 'digest', 'refusal'),
    [
        ('agent-1', None, b'd', None),
        ('', None, b'd', None),
        ('agent-2', None, b'd', peer_seals.Refusal.WRONG_RECEIVER),
        ('agent-1', b'other', b'd', peer_seals.Refusal.REPLAYED),
        ('agent-1', None, b'e', peer_seals.Refusal.WRONG_BODY),
    ],
    ids=['whole', 'anyone', 'receiver', 'nonce', 'body'],
)
def test_reply(receiver, nonce, digest, refusal):
    asker, checker = make_pair()
    asked = ask(asker, receiver=receiver)
    answered = asked
    if nonce is not None:
        answered = peer_seals.Ask(
            method='Order',
            sender='entry-1',
            receiver='',
            session=0,
            sent_at=0,
            nonce=nonce,
            digest=b'',
        )
    sealed = checker.seal(ask=answered, digest=b'd')
    opened = asker.open(
        ask=asked, sealed=sealed, digest=digest, sender=receiver
    )
    if refusal is None:
        assert opened.session == SESSION
    else:
        assert opened is refusal
