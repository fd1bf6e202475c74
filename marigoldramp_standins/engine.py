"""A model engine as a process: chat completions over HTTP.

Run ``python -m marigoldramp_standins.engine --port 0 --model NAME``.
"""

import argparse
import random

import anyio

from . import batching
from . import engine_api
from . import load_reports
from . import orders
from . import prefixes
from . import web


def make_server(
    *,
    models: tuple[str, ...],
    speed: batching.Speed | None = None,
    slots: int = 16,
    queue: int = 256,
    resume_seconds: float = 0.0,
    cache_blocks: int = 4096,
    checks_fence: bool = True,
    seed: int = 0,
) -> engine_api.EngineServer:
    """Put an engine together; its faults start switched off."""
    events = prefixes.EventLog(chance=random.Random(seed))
    cache = prefixes.PrefixCache(capacity=cache_blocks, log=events)
    engine = batching.Engine(
        cache=cache,
        speed=speed,
        slots=slots,
        queue=queue,
        resume_seconds=resume_seconds,
    )
    return engine_api.EngineServer(
        engine=engine,
        book=orders.OrderBook(models=models, checks_fence=checks_fence),
        events=events,
        load=load_reports.LoadLog(),
    )


def _parse() -> argparse.Namespace:
    parser = argparse.ArgumentParser(description=__doc__)
    speed = batching.Speed()
    parser.add_argument('--host', default=web.HOST)
    parser.add_argument('--port', type=int, default=0)
    parser.add_argument('--model', action='append', required=True)
    parser.add_argument('--slots', type=int, default=16)
    parser.add_argument('--queue', type=int, default=256)
    parser.add_argument('--step', type=float, default=speed.step)
    parser.add_argument('--sequence', type=float, default=speed.sequence)
    parser.add_argument(
        '--prompt-token', type=float, default=speed.prompt_token
    )
    parser.add_argument('--resume-seconds', type=float, default=0.0)
    parser.add_argument('--cache-blocks', type=int, default=4096)
    parser.add_argument('--load-lag', type=float, default=0.5)
    parser.add_argument('--event-lag', type=float, default=0.5)
    parser.add_argument('--event-loss', type=float, default=0.02)
    parser.add_argument('--ignore-fence', action='store_true')
    parser.add_argument('--seed', type=int, default=0)
    return parser.parse_args()


def main() -> None:
    """Run the stand-in until SIGTERM."""
    flags = _parse()
    server = make_server(
        models=tuple(flags.model),
        speed=batching.Speed(
            step=flags.step,
            sequence=flags.sequence,
            prompt_token=flags.prompt_token,
        ),
        slots=flags.slots,
        queue=flags.queue,
        resume_seconds=flags.resume_seconds,
        cache_blocks=flags.cache_blocks,
        checks_fence=not flags.ignore_fence,
        seed=flags.seed,
    )
    server.load.lag = flags.load_lag
    server.events.lag = flags.event_lag
    server.events.loss = flags.event_loss

    async def run() -> None:
        async with anyio.create_task_group() as group:
            group.start_soon(server.engine.run)
            await web.run_until_signal(
                handle=server.handle, host=flags.host, port=flags.port
            )
            group.cancel_scope.cancel()

    anyio.run(run)


if __name__ == '__main__':
    main()
