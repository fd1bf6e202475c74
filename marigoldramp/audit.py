"""The audit trail: who submitted, signed and rolled what, and when.

Each entry is an object of its own in the platform's store, created once and
never written again.  The objects of one day share a kind, as the store can
only list whole kinds: a reader fetches the days that it wants and no more.
"""

import dataclasses
import datetime
import enum
import random as random_module

import msgspec

from . import store as store_module
from . import store_retries

KIND_PREFIX = 'audit.'
MOST_DAYS = 400
MOST_ENTRIES = 10_000
DAY_SECONDS = 86_400.0


class Action(enum.StrEnum):
    """What was done.

    ``ROLL_STARTED`` is written before the bundle itself, so that no bundle
    comes into force without a trace even if its roller dies in between.
    """

    SUBMITTED = 'submitted'
    SIGNED = 'signed'
    ROLL_STARTED = 'roll_started'
    ROLLED = 'rolled'
    REFUSED = 'refused'
    UNCERTAIN = 'uncertain'
    TAKEN_UP = 'taken_up'


class Entry(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """One entry of the trail.

    :ivar at: wall clock in seconds.
    :ivar actor: operator, or instance for a bundle taken up.
    :ivar number: number of the bundle.
    :ivar digest: digest of the bundle's manifest.
    :ivar nonce: tells one roll of a bundle from another.
    """

    at: float
    actor: str
    action: Action
    number: int = 0
    digest: str = ''
    nonce: str = ''
    detail: str = ''


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Trail:
    """Entries as read, the newest first.

    :ivar complete: ``False`` if there were more than asked for.
    :ivar unreadable: objects that hold no entry that this version knows.
    """

    entries: tuple[Entry, ...]
    complete: bool
    unreadable: int = 0


async def append(
    store: store_retries.RetryingStore,
    *,
    entry: Entry,
    random: random_module.Random,
) -> store_retries.Result:
    """Add an entry to the trail."""
    key = _make_key(entry, random)
    value = msgspec.json.encode(entry)
    return await store.write(
        key=key, value=value, expected=store_module.CREATE
    )


async def read(
    store: store_retries.RetryingStore,
    *,
    now: float,
    days: int = 7,
    most: int = MOST_ENTRIES,
) -> Trail | store_module.Unavailable:
    """Read the newest entries, going back day by day.

    :param now: wall clock in seconds.
    :param days: how many days to go back, today included.
    :param most: most entries to return.
    """
    entries: list[Entry] = []
    unreadable = 0
    for back in range(min(days, MOST_DAYS)):
        kind = name_kind(now - back * DAY_SECONDS)
        listing = await store.list_objects(kind=kind)
        if isinstance(listing, store_module.Unavailable):
            return listing
        newest_first = sorted(
            listing.objects, key=lambda one: one.key.name, reverse=True
        )
        for stored in newest_first:
            entry = _decode(stored.value)
            if entry is None:
                unreadable += 1
                continue
            if len(entries) >= most:
                return Trail(
                    entries=tuple(entries),
                    complete=False,
                    unreadable=unreadable,
                )
            entries.append(entry)
    return Trail(entries=tuple(entries), complete=True, unreadable=unreadable)


def _make_key(entry: Entry, random: random_module.Random) -> store_module.Key:
    microseconds = int(entry.at * 1_000_000)
    return store_module.Key(
        kind=name_kind(entry.at),
        name=f'{microseconds:020d}-{random.getrandbits(48):012x}',
    )


def name_kind(at: float) -> str:
    """Return the kind under which the entries of that day stand."""
    day = datetime.datetime.fromtimestamp(at, tz=datetime.UTC).date()
    return KIND_PREFIX + day.isoformat()


def _decode(value: bytes) -> Entry | None:
    try:
        return msgspec.json.decode(value, type=Entry)
    except msgspec.MsgspecError:
        return None
