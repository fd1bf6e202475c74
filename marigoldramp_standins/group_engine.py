"""The engines of a rank group as a process that steps by itself.

All ranks of the group are in this one process, as real ones would be joined
by their collective library.  Run ``python -m
marigoldramp_standins.group_engine --port 0 --ranks 8``.
"""

import argparse
from typing import TypeVar

import anyio
import msgspec

from marigoldramp import expert_maps
from marigoldramp import map_orders
from marigoldramp import map_ranks
from marigoldramp import rank_engines

from . import counts as counts_module
from . import group as groups
from . import web

T = TypeVar('T')


class GroupReport(msgspec.Struct, frozen=True, kw_only=True):
    """Body of ``GET /standin/group``.

    :ivar mixed_steps: steps in which two ranks used different maps.
    """

    steps: int
    stalls: int
    mixed_steps: int
    versions: list[str]


class GroupEngine:
    """HTTP form of a stand-in group."""

    def __init__(
        self,
        *,
        group: groups.Group,
        step_seconds: float,
        counts: counts_module.Counts | None = None,
    ) -> None:
        self.group = group
        self._counts = counts or counts_module.Counts(
            layers=1, experts=1, seed=0
        )
        self._engines = group.engines()
        self._step_seconds = step_seconds

    async def run(self) -> None:
        """Step and load weights until cancelled."""
        while True:
            self.group.step()
            self.group.advance(self._step_seconds)
            await anyio.sleep(self._step_seconds)

    async def handle(self, exchange: web.Exchange) -> None:
        """Answer one request."""
        match (exchange.method, *exchange.parts):
            case ('GET', 'standin', 'group'):
                await exchange.answer_json(self._report())
            case ('GET', 'ranks', rank):
                answer = await self._engines[int(rank)].state()
                await _answer(exchange, answer)
            case ('GET', 'ranks', rank, 'report'):
                await self._send_report(exchange, int(rank))
            case ('GET', 'ranks', rank, 'maps', version):
                await self._send_map(exchange, int(rank), version)
            case ('POST', 'ranks', rank, verb):
                body = await exchange.read_body()
                await _answer(
                    exchange, await self._obey(int(rank), verb, body)
                )
            case _:
                await exchange.refuse(status=404, error='no such path')

    def _report(self) -> GroupReport:
        return GroupReport(
            steps=self.group.steps,
            stalls=self.group.stalls,
            mixed_steps=len(self.group.mixed_steps),
            versions=sorted(str(one) for one in self.group.versions()),
        )

    async def _send_report(self, exchange: web.Exchange, rank: int) -> None:
        state = self.group.ranks[rank]
        if state.schedule is None or not state.alive:
            await exchange.refuse(status=404, error='the rank has no map')
            return
        report = self._counts.report(
            rank=rank,
            steps=state.entered,
            in_force=state.maps[state.schedule.in_force],
        )
        await exchange.answer_json(report)

    async def _send_map(
        self, exchange: web.Exchange, rank: int, version: str
    ) -> None:
        fence, number = version.split('.')
        found = await self._engines[rank].fetch_map(
            version=expert_maps.Version(fence=int(fence), number=int(number))
        )
        if found is None:
            await exchange.refuse(status=404, error='no such map')
        else:
            await exchange.answer_json(found)

    async def _obey(
        self, rank: int, verb: str, body: bytes
    ) -> map_ranks.EngineAnswer:
        engine = self._engines[rank]
        match verb:
            case 'prepare':
                prepare = _read(body, rank_engines.PrepareBody)
                return await engine.prepare(
                    fence=prepare.fence, expert_map=prepare.expert_map
                )
            case 'hold':
                hold = _read(body, rank_engines.HoldBody)
                return await engine.hold(
                    fence=hold.fence, before_step=hold.before_step
                )
            case 'arm':
                arm = _read(body, rank_engines.ArmBody)
                return await engine.arm(
                    fence=arm.fence,
                    version=arm.version,
                    from_step=arm.from_step,
                )
            case 'release':
                fence = _read(body, rank_engines.FenceBody).fence
                return await engine.release(fence=fence)
            case 'undo':
                fence = _read(body, rank_engines.FenceBody).fence
                return await engine.undo(fence=fence)
            case 'adopt':
                adopt = _read(body, rank_engines.AdoptBody)
                return await engine.adopt(
                    fence=adopt.fence, schedule=adopt.schedule
                )
            case _:
                return map_ranks.EngineRefusal(
                    reason=map_orders.Refusal.MALFORMED
                )


def _read(body: bytes, shape: type[T]) -> T:
    return msgspec.json.decode(body, type=shape)


async def _answer(
    exchange: web.Exchange, answer: map_ranks.EngineAnswer
) -> None:
    match answer:
        case map_orders.RankState():
            await exchange.answer_json(answer)
        case map_ranks.EngineRefusal(reason=reason):
            refused = rank_engines.RefusedBody(reason=reason)
            await exchange.answer(
                status=409, body=msgspec.json.encode(refused)
            )


def main() -> None:
    """Run the stand-in until SIGTERM."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--host', default=web.HOST)
    parser.add_argument('--port', type=int, default=0)
    parser.add_argument('--ranks', type=int, default=8)
    parser.add_argument('--experts', type=int, default=32)
    parser.add_argument('--layers', type=int, default=4)
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--step-seconds', type=float, default=0.02)
    parser.add_argument('--load-seconds', type=float, default=0.05)
    flags = parser.parse_args()
    engine = GroupEngine(
        group=groups.Group(ranks=flags.ranks, load_seconds=flags.load_seconds),
        step_seconds=flags.step_seconds,
        counts=counts_module.Counts(
            layers=flags.layers, experts=flags.experts, seed=flags.seed
        ),
    )

    async def run() -> None:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(engine.run)
            await web.run_until_signal(
                handle=engine.handle, host=flags.host, port=flags.port
            )
            tasks.cancel_scope.cancel()

    anyio.run(run)


if __name__ == '__main__':
    main()
