"""Records of non-idempotent calls at one agent.

The record is what makes "at most once" hold: a key begins one execution,
and every later request with that key, through whichever entry and over
whichever connection, gets that execution's answer.  A key that was refused
stays barred, because bytes of an earlier attempt may still lie in some
buffer and would else start the call after its caller was told "not run".

Memory is bounded: a record outlives every moment at which its key could
begin, and a key that is older than that is never begun.
"""

import collections
import dataclasses
from typing import Callable

from . import executions
from . import outcomes
from . import predecessors

#: A key may begin during this part of the time that records are kept.
USABLE_SHARE = 0.5
#: Clocks of two instances differ by less than this, in seconds.
MOST_CLOCK_SKEW = 30.0
#: A full table still takes this many times its bound in barred keys; a
#: refusal that is not recorded could not promise that the key stays unrun.
BARRED_SHARE = 1.25
#: Seconds after which a caller can expect room in a full table.
RETRY_WHEN_FULL = 5.0


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Begun:
    """The key is new; the caller of ``begin`` runs the execution."""

    execution: executions.Execution


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Known:
    """The key has begun or is barred; its execution tells the outcome."""

    execution: executions.Execution


@dataclasses.dataclass(slots=True, kw_only=True)
class _Record:
    execution: executions.Execution
    expires_at: float
    held: int = 0


class Records:
    """Bounded table of records, by idempotency key.

    :param most: records held at once.
    :param seconds: how long a record is kept, at least.
    :param answer_bytes: longest answer that is kept.
    :param answers_bytes: most bytes of all kept answers.
    :param wall: clock that never steps back and that entries share, within
        ``MOST_CLOCK_SKEW``.
    """

    __slots__ = (
        '_most',
        '_seconds',
        '_answer_bytes',
        '_answers_bytes',
        '_wall',
        '_records',
        '_held',
    )

    def __init__(
        self,
        *,
        most: int,
        seconds: float,
        answer_bytes: int,
        answers_bytes: int,
        wall: Callable[[], float],
    ) -> None:
        self._most = most
        self._seconds = seconds
        self._answer_bytes = answer_bytes
        self._answers_bytes = answers_bytes
        self._wall = wall
        self._records: collections.OrderedDict[str, _Record]
        self._records = collections.OrderedDict()
        self._held = 0

    def __len__(self) -> int:
        return len(self._records)

    def find(self, key: str) -> executions.Execution | None:
        """Return what became of a key, if it is recorded."""
        record = self._records.get(key)
        return record.execution if record else None

    def begin(
        self, *, key: str, made_at: float, call: str
    ) -> Begun | Known | outcomes.Refusal:
        """Record a key before its call is handed on.

        :param made_at: when the key was made, by the clock of its maker.
        """
        record = self._records.get(key)
        if record is not None:
            return Known(execution=record.execution)
        refusal = self._check_age(made_at)
        if refusal is not None:
            return refusal
        self._sweep()
        if len(self._records) >= self._most * BARRED_SHARE:
            return outcomes.OutcomeUnknown(
                reason=outcomes.Reason.QUEUE_FULL,
                detail='too many calls are remembered',
            )
        execution = executions.Execution(call=call, window=self._answer_bytes)
        self._insert(key, execution, made_at)
        if len(self._records) > self._most:
            execution.refuse(_describe_full())
            return Known(execution=execution)
        return Begun(execution=execution)

    def bar(
        self, *, key: str, made_at: float, call: str, refusal: outcomes.NotRun
    ) -> executions.Execution | outcomes.Refusal:
        """Make sure that a key which has not begun never will.

        :returns: the key's execution: refused now, or whatever it was.
        """
        match self.begin(key=key, made_at=made_at, call=call):
            case Begun(execution=execution):
                execution.refuse(refusal)
                return execution
            case Known(execution=execution):
                return execution
            case refused:
                return refused

    def describe(self) -> list[predecessors.HandedOver]:
        """Return what an agent that stops hands over: every final record."""
        described = (
            predecessors.describe(key=key, execution=record.execution)
            for key, record in self._records.items()
        )
        return [one for one in described if one is not None]

    def keep(self, key: str) -> None:
        """Count the answer of a call that has ended, within the bounds."""
        record = self._records.get(key)
        if record is None:
            return
        if record.execution.held > self._answer_bytes:
            record.execution.discard()
        record.held = record.execution.held
        self._held += record.held
        self._evict()

    def _insert(
        self, key: str, execution: executions.Execution, made_at: float
    ) -> None:
        # A key from a clock that runs ahead can begin for longer, so its
        # record is kept from the later of the two times.
        kept_from = max(self._wall(), made_at)
        self._records[key] = _Record(
            execution=execution, expires_at=kept_from + self._seconds
        )

    def _check_age(self, made_at: float) -> outcomes.Refusal | None:
        """Refuse a key that is too old or too new to begin.

        A record of a key younger than ``seconds`` would still be here, so
        its absence proves that the key never began.
        """
        age = self._wall() - made_at
        if age >= self._seconds:
            return outcomes.OutcomeUnknown(
                reason=outcomes.Reason.BINDING_EXPIRED,
                detail='the idempotency key is older than the records',
            )
        if age >= self._seconds * USABLE_SHARE or age < -MOST_CLOCK_SKEW:
            return outcomes.NotRun(
                reason=outcomes.Reason.BINDING_EXPIRED,
                detail='ask for addresses again to get new keys',
            )
        return None

    def _sweep(self) -> None:
        """Drop records that have expired, oldest first."""
        now = self._wall()
        while self._records:
            key, record = next(iter(self._records.items()))
            if record.expires_at > now or not record.execution.final:
                return
            self._held -= record.held
            del self._records[key]

    def _evict(self) -> None:
        """Drop the oldest answers, not their records, above the bound."""
        if self._held <= self._answers_bytes:
            return
        for record in self._records.values():
            if not record.held:
                continue
            self._held -= record.held
            record.held = 0
            record.execution.discard()
            if self._held <= self._answers_bytes:
                return


def _describe_full() -> outcomes.NotRun:
    return outcomes.NotRun(
        reason=outcomes.Reason.QUEUE_FULL,
        detail='too many calls are remembered',
        retry_after=RETRY_WHEN_FULL,
    )
