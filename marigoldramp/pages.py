"""Pages that every process serves beside its calls."""

import enum
from typing import Any
from typing import Callable
from typing import MutableMapping

import msgspec

from . import asgi
from . import metrics
from . import outcomes
from . import servers
from . import status

_TEXT = [(b'content-type', b'text/plain; charset=utf-8')]


class _Path(enum.StrEnum):
    READY = '/marigoldramp/ready'
    METRICS = '/marigoldramp/metrics'
    STATUS = status.PATH


class Pages:
    """ASGI application that serves the pages and passes the rest on.

    :param describe: returns the state of the process.
    """

    __slots__ = ('_tokens', '_metrics', '_describe', '_calls')

    def __init__(
        self,
        *,
        tokens: status.Tokens,
        metrics: metrics.Metrics,
        describe: Callable[[], status.Status],
        calls: servers.Application,
    ) -> None:
        self._tokens = tokens
        self._metrics = metrics
        self._describe = describe
        self._calls = calls

    async def handle(
        self,
        scope: MutableMapping[str, Any],
        receive: asgi.Receive,
        send: asgi.Send,
    ) -> None:
        """Serve one request."""
        match scope['path']:
            case _Path.READY:
                await self._send_ready(send)
            case _Path.METRICS:
                await asgi.send_whole(
                    send=send,
                    status=200,
                    headers=_TEXT,
                    body=self._metrics.render(),
                )
            case _Path.STATUS:
                await self._send_status(scope, send)
            case _:
                await self._calls(scope, receive, send)

    async def _send_ready(self, send: asgi.Send) -> None:
        state = self._describe()
        ready = state.ready and not state.leaving
        await asgi.send_whole(
            send=send,
            status=200 if ready else 503,
            headers=_TEXT,
            body=b'ready\n' if ready else b'not ready\n',
        )

    async def _send_status(
        self, scope: MutableMapping[str, Any], send: asgi.Send
    ) -> None:
        token = asgi.read_head(scope).find(status.HEADER)
        if token is None or not self._tokens.check(token):
            refusal = outcomes.NotRun(
                reason=outcomes.Reason.UNAUTHENTICATED,
                detail='the status is for operators with the fleet key',
            )
            await asgi.send_refusal(send=send, refusal=refusal, call='')
            return
        body = msgspec.json.encode(self._describe())
        await asgi.send_json(send=send, body=body)
