"""The engine stand-in's core: continuous batching by steps.

Every step admits waiting jobs by priority into the batch, spends a budget on
prompts that are not cached, and gives each prepared job one more word.  The
time of a step grows with its batch.  Tests call :meth:`Engine.begin` and
:meth:`Engine.finish` themselves; a process runs :meth:`Engine.run`.
"""

import collections
import dataclasses
import time
from typing import AsyncIterator
from typing import Awaitable
from typing import Callable

import anyio

from . import answers
from . import jobs
from . import prefixes

MOST_STREAMS_KEPT = 4096
MOST_RUNS_KEPT = 1_000_000


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Speed:
    """What a step costs.

    :ivar step: seconds of any step.
    :ivar sequence: seconds added by each job in the batch.
    :ivar prompt_token: seconds added by each prompt token not cached.
    :ivar prompt_tokens: most prompt tokens in one step.
    """

    step: float = 0.01
    sequence: float = 0.0005
    prompt_token: float = 0.00002
    prompt_tokens: int = 2048


@dataclasses.dataclass(slots=True, kw_only=True)
class Faults:
    """Switches for what the engine does wrong.

    :ivar frozen: no step begins.
    :ivar slowdown: factor on the time of each step.
    :ivar cut_streams: how many of the next streams break in the middle.
    """

    frozen: bool = False
    slowdown: float = 1.0
    cut_streams: int = 0


class Engine:
    """Continuous batching over a bounded batch and a bounded queue.

    :param slots: jobs in one batch.
    :param queue: jobs that wait for the batch.
    :param resume_seconds: how long a stream goes on without a reader.
    :param sleep: waits for a number of seconds.
    """

    __slots__ = (
        'speed',
        'faults',
        'slots',
        'queue',
        'resume_seconds',
        'waiting',
        'running',
        'runs',
        'steps',
        'on_change',
        '_cache',
        '_clock',
        '_sleep',
        '_streams',
        '_made',
        '_prompts',
        '_wake',
    )

    def __init__(
        self,
        *,
        cache: prefixes.PrefixCache,
        speed: Speed | None = None,
        slots: int = 16,
        queue: int = 256,
        resume_seconds: float = 0.0,
        clock: Callable[[], float] = time.monotonic,
        sleep: Callable[[float], Awaitable[None]] = anyio.sleep,
    ) -> None:
        self.speed = speed or Speed()
        self.faults = Faults()
        self.slots = slots
        self.queue = queue
        self.resume_seconds = resume_seconds
        self.waiting: list[jobs.Job] = []
        self.running: list[jobs.Job] = []
        self.runs: collections.OrderedDict[str, jobs.Run] = (
            collections.OrderedDict()
        )
        self.steps = 0
        self.on_change: Callable[[], None] = _do_nothing
        self._cache = cache
        self._clock = clock
        self._sleep = sleep
        self._streams: collections.OrderedDict[str, jobs.Job] = (
            collections.OrderedDict()
        )
        self._made = 0
        self._prompts: dict[str, int] = {}
        self._wake = anyio.Event()

    def submit(
        self, *, request: answers.ChatRequest, name: str, created: int = 0
    ) -> jobs.Job | None:
        """Queue a request; ``None`` when the queue is full.

        :param name: under which its runs are counted.
        """
        if len(self.waiting) >= self.queue:
            return None
        self._made += 1
        run = self.runs.setdefault(name, jobs.Run())
        run.received += 1
        while len(self.runs) > MOST_RUNS_KEPT:
            self.runs.popitem(last=False)
        job = jobs.Job(
            stream=f'stream-{self._made}',
            request=request,
            run=run,
            created=created,
        )
        self._streams[job.stream] = job
        self.waiting.append(job)
        self.wake()
        self.on_change()
        return job

    def find(self, *, stream: str) -> jobs.Job | None:
        """Return the job of a stream that can still be resumed."""
        self._forget()
        job = self._streams.get(stream)
        if job is None or job.state is jobs.State.CANCELLED:
            return None
        return job

    def cancel(self, *, job: jobs.Job) -> None:
        """Stop a job; its slot is free from the next step on."""
        self._streams.pop(job.stream, None)
        if job.has_ended():
            return
        job.state = jobs.State.CANCELLED
        if job in self.waiting:
            self.waiting.remove(job)
        if job in self.running:
            self.running.remove(job)
        job.notify()
        self.on_change()

    def attach(self, *, job: jobs.Job) -> None:
        """Note one more reader of a job."""
        job.readers += 1
        job.detached_at = None

    def detach(self, *, job: jobs.Job) -> None:
        """Note that a reader went; a stream may be resumed for a while."""
        job.readers -= 1
        if job.readers:
            return
        if not (self.resume_seconds and job.request.stream):
            self.cancel(job=job)
            return
        job.detached_at = self._clock()

    async def follow(
        self, *, job: jobs.Job, start: int
    ) -> AsyncIterator[bytes]:
        """Give the streamed answer from byte ``start`` on until it ends."""
        while True:
            if len(job.written) > start:
                chunk = bytes(job.written[start:])
                start += len(chunk)
                yield chunk
            elif job.has_ended():
                return
            else:
                await job.changed.wait()

    def begin(self) -> float:
        """Choose the work of the next step; return its seconds."""
        self._forget()
        self.waiting.sort(key=lambda job: job.request.priority)
        while self.waiting and len(self.running) < self.slots:
            self._admit(self.waiting.pop(0))
        self._prompts = self._share_prompt_budget()
        tokens = sum(self._prompts.values())
        seconds = (
            self.speed.step
            + self.speed.sequence * len(self.running)
            + self.speed.prompt_token * tokens
        )
        return seconds * self.faults.slowdown

    def finish(self) -> None:
        """Carry out the step that was begun."""
        self.steps += 1
        for job in list(self.running):
            # A job that came after the step began waits for the next one.
            if job.stream in self._prompts:
                self._advance(job, self._prompts[job.stream])
        self._prompts = {}
        self.running = [job for job in self.running if not job.has_ended()]
        self.on_change()

    async def run(self) -> None:
        """jobs.Run steps for ever; wait while there is nothing to do."""
        while True:
            while self.faults.frozen or not (self.waiting or self.running):
                await self._wake.wait()
            await self._sleep(self.begin())
            self.finish()

    def wake(self) -> None:
        """Let the loop look again, after a change of its work or faults."""
        self._wake.set()
        self._wake = anyio.Event()

    def _admit(self, job: jobs.Job) -> None:
        job.state = jobs.State.RUNNING
        job.run.started += 1
        cached = self._cache.count_leading(blocks=job.blocks)
        saved = cached * prefixes.BLOCK_BYTES // jobs.BYTES_PER_TOKEN
        # At least one token is computed, as the first word needs a step.
        job.prompt_left = max(1, job.prompt_tokens - saved)
        self.running.append(job)

    def _share_prompt_budget(self) -> dict[str, int]:
        budget = self.speed.prompt_tokens
        shares = {}
        for job in self.running:
            share = min(job.prompt_left, budget)
            budget -= share
            shares[job.stream] = share
        return shares

    def _advance(self, job: jobs.Job, prompt_tokens: int) -> None:
        if job.prompt_left:
            job.prompt_left -= prompt_tokens
            if job.prompt_left:
                return
            self._cache.store(blocks=job.blocks)
        job.produce_word()
        job.notify()

    def _forget(self) -> None:
        """Cancel or forget streams that nobody has read for long."""
        before = self._clock() - self.resume_seconds
        for job in list(self._streams.values()):
            if job.detached_at is not None and job.detached_at <= before:
                self.cancel(job=job)
        while len(self._streams) > MOST_STREAMS_KEPT:
            self.cancel(job=next(iter(self._streams.values())))


def _do_nothing() -> None:
    pass
