"""Asking instances for their state over HTTP."""

import time
from typing import Any

import anyio
import httpcore
import msgspec

from .. import settings as settings_module
from .. import status as status_module
from .. import store

CONCURRENT_CALLS = 32
TIMEOUT = 3.0
#: Longest answer that is read.
MOST_BYTES = 8_000_000


class Answer(msgspec.Struct, frozen=True, kw_only=True):
    """What an instance answered, or why it did not."""

    address: str
    status: status_module.Status | None = None
    fault: str = ''


class NoList(msgspec.Struct, frozen=True, kw_only=True):
    """The platform's instance list cannot be read."""

    detail: str


async def ask_all(
    settings: settings_module.Settings,
    fleet_key: bytes,
    addresses: list[str],
) -> list[Answer] | NoList:
    """Ask the given instances, or all of the platform's list."""
    if not addresses:
        listed = await _list_addresses(settings)
        if isinstance(listed, NoList):
            return listed
        addresses = listed
    tokens = status_module.Tokens(fleet_key=fleet_key, wall=time.time)
    answers: dict[int, Answer] = {}
    limiter = anyio.CapacityLimiter(CONCURRENT_CALLS)
    async with httpcore.AsyncConnectionPool() as pool:

        async def ask(index: int, address: str) -> None:
            async with limiter:
                answers[index] = await _ask(pool, tokens.make(), address)

        async with anyio.create_task_group() as group:
            for index, address in enumerate(addresses):
                group.start_soon(ask, index, address)
    return [answers[index] for index in sorted(answers)]


async def _list_addresses(
    settings: settings_module.Settings,
) -> list[str] | NoList:
    plugin: Any = store.PlatformStore.find(settings.platform.store)
    platform: store.PlatformStore = plugin(settings=settings.platform)
    try:
        listed = await platform.list_instances()
    finally:
        await platform.close()
    if isinstance(listed, store.Unavailable):
        return NoList(detail=listed.detail)
    return [f'{one.host}:{one.call_port}' for one in listed.instances]


async def _ask(
    pool: httpcore.AsyncConnectionPool, token: bytes, address: str
) -> Answer:
    try:
        with anyio.fail_after(TIMEOUT):
            content = await _fetch(pool, token, address)
    except (httpcore.NetworkError, httpcore.ProtocolError, OSError) as error:
        return Answer(address=address, fault=f'no answer: {error}')
    except (httpcore.UnsupportedProtocol, ValueError):
        return Answer(address=address, fault='is no IP:PORT')
    if isinstance(content, str):
        return Answer(address=address, fault=content)
    try:
        told = msgspec.json.decode(content, type=status_module.Status)
    except msgspec.MsgspecError as error:
        return Answer(address=address, fault=f'answer not understood: {error}')
    return Answer(address=address, status=told)


async def _fetch(
    pool: httpcore.AsyncConnectionPool, token: bytes, address: str
) -> bytes | str:
    base = address if '://' in address else f'http://{address}'
    content = b''
    async with pool.stream(
        'GET',
        base + status_module.PATH,
        headers=[(status_module.HEADER, token)],
    ) as response:
        if response.status != 200:
            return f'answered {response.status}'
        async for chunk in response.aiter_stream():
            content += chunk
            if len(content) > MOST_BYTES:
                return 'answered too much'
    return content
