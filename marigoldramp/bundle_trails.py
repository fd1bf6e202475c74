"""The audit trail of one bundle, down to when each instance took it up."""

from . import audit
from . import operations
from . import store as store_module
from . import takeups


async def read(
    operator: operations.Operations, *, number: int, days: int, most: int
) -> audit.Trail | operations.PlatformAway:
    """Read what operators did with a bundle and which instances have it."""
    trail = await audit.read(
        operator.store, now=operator.wall(), days=days, most=audit.MOST_ENTRIES
    )
    if isinstance(trail, store_module.Unavailable):
        return operations.PlatformAway(detail=trail.detail)
    taken_up = await _read_take_ups(operator, number)
    if isinstance(taken_up, operations.PlatformAway):
        return taken_up
    done = [entry for entry in trail.entries if entry.number == number]
    entries = sorted(done + taken_up, key=lambda entry: entry.at, reverse=True)
    return audit.Trail(
        entries=tuple(entries[:most]),
        complete=trail.complete and len(entries) <= most,
        unreadable=trail.unreadable,
    )


async def _read_take_ups(
    operator: operations.Operations, number: int
) -> list[audit.Entry] | operations.PlatformAway:
    """Read the take-ups of every data centre in the instance list."""
    platform = operator.store.store
    listed = await platform.list_instances()
    if isinstance(listed, store_module.Unavailable):
        return operations.PlatformAway(detail=listed.detail)
    entries: list[audit.Entry] = []
    for data_centre in sorted({one.data_centre for one in listed.instances}):
        read = await takeups.read(
            platform, data_centre=data_centre, number=number
        )
        if isinstance(read, store_module.Unavailable):
            return operations.PlatformAway(detail=read.detail)
        if read is not None:
            entries += _list_entries(read)
    return entries


def _list_entries(read: takeups.TakeUps) -> list[audit.Entry]:
    return [
        audit.Entry(
            at=one.at,
            actor=one.instance,
            action=audit.Action.TAKEN_UP,
            number=read.number,
            digest=read.digest,
            detail=f'in {read.data_centre}',
        )
        for one in read.instances
    ]
