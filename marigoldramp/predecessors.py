"""Records that an agent has handed over at its planned stop.

A key bound to an incarnation that stopped in good order can still be
answered for: its set of records is complete, so a key that is not in it
never ran and never will.  After a crash nothing is known.
"""

import collections
import dataclasses
import hashlib
from typing import Callable
from typing import Iterable

import msgspec

from . import executions
from . import messages
from . import outcomes
from . import peers

DIGEST_BYTES = 16
#: Incarnations that are remembered at once.
MOST_INCARNATIONS = 64


class KeptAnswer(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """Outcome of one recorded call, as it is handed over.

    :ivar whole: the answer is here in full; else ``reason`` tells.
    :ivar barred: the call did not run.
    """

    status: int
    headers: list[tuple[bytes, bytes]]
    body: bytes
    whole: bool
    barred: bool
    reason: str = ''
    detail: str = ''


class HandedOver(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """One record: the digest of its key, and its outcome."""

    digest: bytes
    answer: KeptAnswer


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Taken:
    """The records of one start of an agent.

    :ivar complete: no record is missing.
    """

    agent: str
    incarnation: int
    handed_over: tuple[HandedOver, ...]
    complete: bool


@dataclasses.dataclass(slots=True, kw_only=True)
class _Predecessor:
    answers: dict[bytes, KeptAnswer]
    complete: bool = False


def digest_key(key: str) -> bytes:
    """Return the digest under which a key is handed over."""
    return hashlib.blake2b(key.encode(), digest_size=DIGEST_BYTES).digest()


def describe(
    *, key: str, execution: executions.Execution
) -> HandedOver | None:
    """Return the record of an execution, ``None`` while it goes on."""
    if not execution.final:
        return None
    refusal = execution.refusal
    answer = KeptAnswer(
        status=execution.status,
        headers=execution.headers,
        body=execution.body() or b'',
        whole=refusal is None and execution.body() is not None,
        barred=isinstance(refusal, outcomes.NotRun),
        reason=refusal.reason.value if refusal else '',
        detail=refusal.detail if refusal else '',
    )
    return HandedOver(digest=digest_key(key), answer=answer)


def encode(handed_over: Iterable[HandedOver]) -> list[peers.Record]:
    """Return records in the form in which they travel."""
    return [
        peers.Record(
            nonce=one.digest, answer=msgspec.msgpack.encode(one.answer)
        )
        for one in handed_over
    ]


def decode(records: Iterable[peers.Record]) -> list[HandedOver]:
    """Return records as they were handed over."""
    decoder = msgspec.msgpack.Decoder(KeptAnswer)
    return [
        HandedOver(digest=one.nonce, answer=decoder.decode(one.answer))
        for one in records
    ]


class Predecessors:
    """Handed-over records by agent and incarnation.

    :param most: records held at once, over all incarnations.
    :param seconds: age from which a key's record may have been dropped by
        the predecessor itself.
    """

    __slots__ = ('_most', '_seconds', '_wall', '_known', '_held')

    def __init__(
        self, *, most: int, seconds: float, wall: Callable[[], float]
    ) -> None:
        self._most = most
        self._seconds = seconds
        self._wall = wall
        self._known: collections.OrderedDict[tuple[str, int], _Predecessor]
        self._known = collections.OrderedDict()
        self._held = 0

    def take(
        self,
        *,
        agent: str,
        incarnation: int,
        handed_over: Iterable[HandedOver],
        complete: bool,
    ) -> bool:
        """Keep records; ``False`` when there is no room for them."""
        found = self._find(agent, incarnation)
        for record in handed_over:
            if self._held >= self._most:
                return False
            # A hand-over whose reply was lost comes twice.
            self._held += record.digest not in found.answers
            found.answers[record.digest] = record.answer
        found.complete = found.complete or complete
        return True

    def list(self) -> tuple[Taken, ...]:
        """Return all sets, to be handed on at a stop."""
        return tuple(
            Taken(
                agent=agent,
                incarnation=incarnation,
                handed_over=tuple(
                    HandedOver(digest=digest, answer=answer)
                    for digest, answer in known.answers.items()
                ),
                complete=known.complete,
            )
            for (agent, incarnation), known in self._known.items()
        )

    def find(
        self, *, binding: messages.Binding, key: str
    ) -> executions.Execution | outcomes.Refusal:
        """Return what became of a key of another incarnation."""
        known = self._known.get((binding.agent, binding.incarnation))
        unknown = outcomes.OutcomeUnknown(
            reason=outcomes.Reason.INCARNATION_GONE,
            detail='the process to which the key was bound has gone',
        )
        if known is None:
            return unknown
        answer = known.answers.get(digest_key(key))
        if answer is not None:
            return _restore(answer)
        expired = self._wall() - binding.made_at >= self._seconds
        if not known.complete or expired:
            return unknown
        return outcomes.NotRun(
            reason=outcomes.Reason.INCARNATION_GONE,
            detail='the key was never used; ask for addresses again',
        )

    def _find(self, agent: str, incarnation: int) -> _Predecessor:
        name = (agent, incarnation)
        if name not in self._known:
            self._known[name] = _Predecessor(answers={})
            if len(self._known) > MOST_INCARNATIONS:
                _, oldest = self._known.popitem(last=False)
                self._held -= len(oldest.answers)
        return self._known[name]


def _restore(answer: KeptAnswer) -> executions.Execution | outcomes.Refusal:
    if answer.whole:
        return executions.restore(
            status=answer.status, headers=answer.headers, body=answer.body
        )
    if answer.barred:
        return outcomes.NotRun(
            reason=outcomes.Reason(answer.reason), detail=answer.detail
        )
    return outcomes.OutcomeUnknown(
        reason=outcomes.Reason(
            answer.reason or outcomes.Reason.ANSWER_NOT_KEPT
        ),
        detail=answer.detail or 'the call ran; its answer was not kept',
    )
