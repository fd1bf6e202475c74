"""A chat completion on its way through the engine stand-in."""

import dataclasses
import enum

import anyio

from . import answers
from . import prefixes

BYTES_PER_TOKEN = 4


@dataclasses.dataclass(slots=True, kw_only=True)
class Run:
    """How often a request came, began to run and ran to its end."""

    received: int = 0
    started: int = 0
    finished: int = 0


class State(enum.StrEnum):
    """Where a job is."""

    WAITING = 'waiting'
    RUNNING = 'running'
    DONE = 'done'
    CANCELLED = 'cancelled'


class Job:
    """One chat completion on its way through the engine.

    :ivar stream: identifier by which its stream is resumed.
    :ivar written: the streamed answer so far.
    :ivar prompt_left: prompt tokens that are not computed yet.
    :ivar detached_at: when its last reader went, ``None`` before that.
    """

    __slots__ = (
        'stream',
        'request',
        'run',
        'state',
        'created',
        'words',
        'blocks',
        'produced',
        'prompt_tokens',
        'prompt_left',
        'written',
        'readers',
        'detached_at',
        'changed',
    )

    def __init__(
        self,
        *,
        stream: str,
        request: answers.ChatRequest,
        run: Run,
        created: int,
    ) -> None:
        prompt = answers.join_prompt(request)
        self.stream = stream
        self.request = request
        self.run = run
        self.state = State.WAITING
        self.created = created
        self.words = answers.write_words(request)
        self.blocks = prefixes.hash_blocks(prompt)
        self.produced = 0
        self.prompt_tokens = max(1, len(prompt) // BYTES_PER_TOKEN)
        self.prompt_left = self.prompt_tokens
        self.written = bytearray()
        self.readers = 0
        self.detached_at: float | None = None
        self.changed = anyio.Event()

    def has_ended(self) -> bool:
        """Tell whether no more will come."""
        return self.state in (State.DONE, State.CANCELLED)

    def count_usage(self) -> answers.Usage:
        """Return the tokens of the job so far."""
        return answers.Usage(
            prompt_tokens=self.prompt_tokens,
            completion_tokens=self.produced,
            total_tokens=self.prompt_tokens + self.produced,
        )

    def produce_word(self) -> None:
        """Add the next word, and the end after the last one."""
        space = ' ' if self.produced else ''
        role = '' if self.produced else 'assistant'
        word = self.words[self.produced]
        self.produced += 1
        self._write(answers.Delta(role=role, content=space + word))
        if self.produced == len(self.words):
            self._write(answers.Delta(), 'stop', self.count_usage())
            self.written += answers.STREAM_END
            self.run.finished += 1
            self.state = State.DONE

    def notify(self) -> None:
        """Wake its readers."""
        self.changed.set()
        self.changed = anyio.Event()

    def _write(
        self,
        delta: answers.Delta,
        finish_reason: str | None = None,
        usage: answers.Usage | None = None,
    ) -> None:
        self.written += answers.encode_chunk(
            stream=self.stream,
            created=self.created,
            model=self.request.model,
            delta=delta,
            finish_reason=finish_reason,
            usage=usage,
        )
