"""Which bundles were rolled, by whom and how it ended."""

import enum

import msgspec

from . import audit
from . import operations
from . import store as store_module


class State(enum.StrEnum):
    """What is known of a roll."""

    IN_FORCE = 'in force'
    ROLLED = 'rolled'
    REFUSED = 'refused'
    UNCERTAIN = 'uncertain'
    STARTED = 'started'


class Roll(msgspec.Struct, frozen=True, kw_only=True):
    """One bundle that somebody rolled or tried to roll.

    :ivar at: wall clock in seconds of the last entry about it.
    """

    at: float
    number: int
    digest: str
    author: str
    state: State
    detail: str = ''


class History(msgspec.Struct, frozen=True, kw_only=True):
    """Rolls, the newest first.

    :ivar complete: ``False`` if there were more than asked for.
    """

    in_force: int
    rolls: tuple[Roll, ...]
    complete: bool


_STATES = {
    audit.Action.ROLLED: State.ROLLED,
    audit.Action.REFUSED: State.REFUSED,
    audit.Action.UNCERTAIN: State.UNCERTAIN,
    audit.Action.ROLL_STARTED: State.STARTED,
}


async def read(
    operator: operations.Operations, *, days: int, most: int
) -> History | operations.Failure:
    """Read the rolls of some days from the audit trail."""
    current = await operator.read_current()
    if not isinstance(current, operations.Current):
        return current
    trail = await audit.read(
        operator.store, now=operator.wall(), days=days, most=audit.MOST_ENTRIES
    )
    if isinstance(trail, store_module.Unavailable):
        return operations.PlatformAway(detail=trail.detail)
    rolls = _list_rolls(trail.entries, current)
    return History(
        in_force=current.number,
        rolls=tuple(rolls[:most]),
        complete=trail.complete and len(rolls) <= most,
    )


def _list_rolls(
    entries: tuple[audit.Entry, ...], current: operations.Current
) -> list[Roll]:
    rolls = []
    ended: set[str] = set()
    for entry in entries:
        state = _STATES.get(entry.action)
        if state is None:
            continue
        if state is State.STARTED and entry.nonce in ended:
            # The trail is read backwards: this start's end came already.
            continue
        ended.add(entry.nonce)
        if entry.nonce and entry.nonce == current.nonce:
            state = State.IN_FORCE
        rolls.append(
            Roll(
                at=entry.at,
                number=entry.number,
                digest=entry.digest,
                author=entry.actor,
                state=state,
                detail=entry.detail,
            )
        )
    return rolls
