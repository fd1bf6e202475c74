"""A plain service as a process, which counts how often each call ran.

A dispatch and a ledger service differ only in their name.  Run ``python -m
marigoldramp_standins.service --port 0 --name ledger``.
"""

import argparse
import dataclasses
import hashlib
from typing import Awaitable
from typing import Callable

import anyio
import msgspec

from . import web

MOST_RECEIPT_BYTES = 16 * 1024 * 1024
RECEIPT_CHUNK = 64 * 1024


class Reference(msgspec.Struct, frozen=True, kw_only=True):
    """The one field that the service reads of a body."""

    reference: str = ''


class Confirmation(msgspec.Struct, frozen=True, kw_only=True):
    """Answer to any call but a receipt.

    :ivar run: which run of this reference it was, from 1.
    :ivar body: digest of the body that came.
    """

    service: str
    method: str
    path: str
    reference: str
    run: int
    body: str


class FaultChange(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """Body of ``POST /standin/faults``; what is left out stays as it is.

    :ivar frozen: calls neither run nor end.
    :ivar cut_before: how many of the next calls break without running.
    :ivar cut_after: how many of the next calls run and then break.
    :ivar fail: how many of the next calls run and then answer 500.
    """

    seconds: float | None = None
    frozen: bool | None = None
    cut_before: int | None = None
    cut_after: int | None = None
    fail: int | None = None


class RunsReport(msgspec.Struct, frozen=True, kw_only=True):
    """Body of ``GET /standin/runs``: runs by reference."""

    runs: dict[str, int]


@dataclasses.dataclass(slots=True, kw_only=True)
class Faults:
    """Switches; see :class:`FaultChange`."""

    frozen: bool = False
    cut_before: int = 0
    cut_after: int = 0
    fail: int = 0


class Service:
    """A service that runs each call at once, for ``seconds``."""

    __slots__ = ('name', 'seconds', 'faults', 'runs', '_sleep', '_thawed')

    def __init__(
        self,
        *,
        name: str,
        seconds: float = 0.0,
        sleep: Callable[[float], Awaitable[None]] = anyio.sleep,
    ) -> None:
        self.name = name
        self.seconds = seconds
        self.faults = Faults()
        self.runs: dict[str, int] = {}
        self._sleep = sleep
        self._thawed = anyio.Event()

    async def handle(self, exchange: web.Exchange) -> None:
        """Answer one request."""
        match (exchange.method, *exchange.parts):
            case (_, 'standin', *_):
                await self._administer(exchange)
            case ('GET', 'receipts', number):
                await self._send_receipt(exchange, number)
            case _:
                await self._run(exchange)

    async def _run(self, exchange: web.Exchange) -> None:
        body = await exchange.read_body()
        while self.faults.frozen:
            await self._thawed.wait()
        if self.faults.cut_before:
            self.faults.cut_before -= 1
            await exchange.cut()
            return
        confirmation = self._confirm(exchange, body)
        await self._sleep(self.seconds)
        if self.faults.cut_after:
            self.faults.cut_after -= 1
            await exchange.cut()
        elif self.faults.fail:
            self.faults.fail -= 1
            await exchange.refuse(status=500, error='failed after it ran')
        else:
            await exchange.answer_json(confirmation)

    def _confirm(self, exchange: web.Exchange, body: bytes) -> Confirmation:
        reference = _read_reference(body)
        if exchange.method == 'POST' and reference:
            self.runs[reference] = self.runs.get(reference, 0) + 1
        return Confirmation(
            service=self.name,
            method=exchange.method,
            path='/'.join(exchange.parts),
            reference=reference,
            run=self.runs.get(reference, 0),
            body=digest(body),
        )

    async def _send_receipt(self, exchange: web.Exchange, number: str) -> None:
        size = int(exchange.query('bytes', '1000'))
        if not 0 <= size <= MOST_RECEIPT_BYTES:
            await exchange.refuse(status=400, error='no such size')
            return
        await exchange.start(
            status=200,
            headers=[
                (b'content-type', b'application/octet-stream'),
                (b'content-length', str(size).encode()),
            ],
        )
        receipt = write_receipt(number=number, size=size)
        for start in range(0, size, RECEIPT_CHUNK):
            chunk = receipt[start : start + RECEIPT_CHUNK]
            await exchange.send(chunk, more=True)
        await exchange.send(b'', more=False)

    async def _administer(self, exchange: web.Exchange) -> None:
        match (exchange.method, *exchange.parts[1:]):
            case ('GET', 'runs'):
                await exchange.answer_json(RunsReport(runs=self.runs))
            case ('POST', 'faults'):
                body = await exchange.read_body()
                self._set_faults(msgspec.json.decode(body, type=FaultChange))
                await exchange.answer(status=204)
            case _:
                await exchange.refuse(status=404, error='no such path')

    def _set_faults(self, change: FaultChange) -> None:
        for name in ('frozen', 'cut_before', 'cut_after', 'fail'):
            value = getattr(change, name)
            if value is not None:
                setattr(self.faults, name, value)
        if change.seconds is not None:
            self.seconds = change.seconds
        self._thawed.set()
        self._thawed = anyio.Event()


def write_receipt(*, number: str, size: int) -> bytes:
    """Return the receipt of that number, so that a reader can check it."""
    line = f'receipt {number} '.encode()
    return (line * (size // len(line) + 1))[:size]


def digest(body: bytes) -> str:
    """Return the digest that a confirmation states for a body."""
    return hashlib.blake2b(body, digest_size=8).hexdigest()


def _read_reference(body: bytes) -> str:
    try:
        return msgspec.json.decode(body, type=Reference).reference
    except msgspec.MsgspecError:
        return ''


def main() -> None:
    """Run the stand-in until SIGTERM."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--host', default=web.HOST)
    parser.add_argument('--port', type=int, default=0)
    parser.add_argument('--name', required=True)
    parser.add_argument('--seconds', type=float, default=0.01)
    flags = parser.parse_args()
    service = Service(name=flags.name, seconds=flags.seconds)

    async def run() -> None:
        await web.run_until_signal(
            handle=service.handle, host=flags.host, port=flags.port
        )

    anyio.run(run)


if __name__ == '__main__':
    main()
