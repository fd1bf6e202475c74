"""What one caller has been sent: its answer, or its one refusal."""

from typing import Callable

import httpcore

from . import asgi
from . import attempts
from . import callers
from . import connections
from . import heads
from . import outcomes
from . import problems
from . import steps

CALL_HEADER = b'marigoldramp-call'
EVENT_STREAM = b'text/event-stream'
TOKEN_MARK = b'data:'


class CallerAnswer:
    """The answer to one call, as far as its caller has it.

    :param resume_from: bytes that the caller already had.
    :ivar started: the head of the answer has gone to the caller.
    :ivar relayed: bytes of the answer that the caller has been sent.
    :ivar tokens: generated tokens that were relayed.
    :ivar first_byte_at: clock time of the head, 0 before it.
    """

    __slots__ = (
        '_call',
        '_send',
        '_clock',
        '_events',
        'started',
        'relayed',
        'tokens',
        'first_byte_at',
    )

    def __init__(
        self,
        *,
        call: str,
        send: asgi.Send,
        clock: Callable[[], float],
        resume_from: int,
    ) -> None:
        self._call = call
        self._send = send
        self._clock = clock
        self._events = False
        self.started = False
        self.relayed = resume_from
        self.tokens = 0
        self.first_byte_at = 0.0

    async def start(
        self, answering: attempts.Answering, *, resume: bytes
    ) -> None:
        """Send the head; an answer that goes on has sent it already.

        :param resume: token for going on elsewhere, empty for none.
        """
        if self.started:
            return
        self.started = True
        self.first_byte_at = self._clock()
        own = [
            pair
            for pair in answering.headers
            if not pair[0].startswith(heads.OWN_PREFIX)
        ]
        self._events = _is_event_stream(own)
        own.append((CALL_HEADER, self._call.encode()))
        if resume:
            own.append((callers.RESUME_HEADER, resume))
        await self._send(
            {
                'type': 'http.response.start',
                'status': answering.status,
                'headers': own,
            }
        )

    async def relay(
        self, answering: attempts.Answering
    ) -> attempts.Lost | None:
        """Relay the body; ``None`` when the answer is whole."""
        try:
            async for chunk in answering.chunks():
                await self._send_chunk(chunk)
                self.relayed += len(chunk)
                if self._events:
                    self.tokens += chunk.count(TOKEN_MARK)
        except httpcore.TimeoutException as error:
            return attempts.Lost(
                detail=connections.explain(error), silent=True
            )
        except connections.LOST as error:
            return attempts.Lost(
                detail=connections.explain(error), silent=False
            )
        await self._send({'type': 'http.response.body', 'body': b''})
        await steps.reach(steps.Step.CALL_ANSWER_ENDED, self._call)
        return None

    async def refuse(self, refusal: outcomes.Refusal) -> None:
        """Give the caller the final answer of a call that has none.

        An answer that has begun ends with an explicit error and a cut
        connection, so that nobody takes the part for the whole.
        """
        if not self.started:
            await asgi.send_refusal(
                send=self._send, refusal=refusal, call=self._call
            )
        elif self._events:
            await self._send_chunk(
                problems.encode_event(refusal=refusal, call=self._call)
            )

    async def _send_chunk(self, chunk: bytes) -> None:
        await self._send(
            {'type': 'http.response.body', 'body': chunk, 'more_body': True}
        )


def _is_event_stream(headers: asgi.Headers) -> bool:
    for key, value in headers:
        if key == b'content-type':
            return value.startswith(EVENT_STREAM)
    return False
