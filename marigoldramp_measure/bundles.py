"""Size and time of a bundle's parts, whole and for a small change."""

import dataclasses
import pathlib
import random as random_module
import time
from typing import Any
from typing import Callable

import anyio

from marigoldramp import bundle
from marigoldramp import customers
from marigoldramp import manifests

from . import tables

COUNTS = (10, 2_500, 10_000, 40_000)
LOOKUPS = 2_000

Contents = dict[str, bytes]


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Row:
    """A bundle with some number of customers.

    :ivar whole_bytes: all parts, compressed, as a new process fetches them.
    :ivar manifest_bytes: the manifest, compressed.
    :ivar change_parts: parts that a change of one customer makes new.
    :ivar change_bytes: these parts and the manifest.
    :ivar split_ms: cutting, at the operator.
    :ivar index_ms: indexing all parts, at a process that starts.
    :ivar update_ms: taking in the change of one customer.
    :ivar find_first_us: first find of a customer.
    :ivar find_again_us: later finds.
    :ivar find_unknown_us: looking for a key that no customer has.
    """

    customers: int
    parts: int
    whole_bytes: int
    largest_part_bytes: int
    manifest_bytes: int
    change_parts: int
    change_bytes: int
    split_ms: float
    join_ms: float
    decode_manifest_ms: float
    index_ms: float
    update_ms: float
    find_first_us: float
    find_again_us: float
    find_unknown_us: float


def make_bundle(*, count: int, random: random_module.Random) -> bundle.Bundle:
    """Return a bundle whose customers have random keys."""
    service = bundle.Service(name='drafts', kind='model_engine', model='m')
    return bundle.Bundle(
        number=1,
        services=(service,),
        customers=tuple(
            bundle.Customer(
                name=f'customer-{index}',
                key_digests=(random.randbytes(32).hex(),),
                services=('drafts',),
            )
            for index in range(count)
        ),
    )


def run(*, seed: int, out: pathlib.Path) -> None:
    """Measure bundles of today's and of the two-year size."""
    rows = [
        _measure(count=count, random=random_module.Random(seed))
        for count in COUNTS
    ]
    tables.write(rows=rows, path=out / 'bundles.csv')


def _measure(*, count: int, random: random_module.Random) -> Row:
    whole = make_bundle(count=count, random=random)
    split, split_ms = _time(lambda: manifests.split(whole=whole))
    contents = _list_contents(split)
    manifest = manifests.encode(split.manifest)
    _, decode_ms = _time(lambda: manifests.decode(manifest))
    _, join_ms = _time(
        lambda: manifests.join(manifest=split.manifest, parts=contents)
    )
    table, index_ms = _time(lambda: _index(split.manifest, contents))
    changed = manifests.split(whole=_change_one(whole))
    missing = manifests.find_missing(manifest=changed.manifest, have=contents)
    news = {
        digest: content
        for digest, content in _list_contents(changed).items()
        if digest in missing
    }
    _, update_ms = _time(lambda: _index(changed.manifest, news, table))
    keys = [one.key_digests[0] for one in whole.customers]
    known = random.sample(keys, min(LOOKUPS, len(keys)))
    unknown = [random.randbytes(32).hex() for _ in known]
    return Row(
        customers=count,
        parts=len(contents),
        whole_bytes=sum(len(one) for one in contents.values()),
        largest_part_bytes=max(len(one) for one in contents.values()),
        manifest_bytes=len(manifest),
        change_parts=len(news),
        change_bytes=sum(len(one) for one in news.values()) + len(manifest),
        split_ms=split_ms,
        join_ms=join_ms,
        decode_manifest_ms=decode_ms,
        index_ms=index_ms,
        update_ms=update_ms,
        find_first_us=_time_finds(table, known),
        find_again_us=_time_finds(table, known),
        find_unknown_us=_time_finds(table, unknown),
    )


def _list_contents(split: manifests.Split) -> Contents:
    return {part.digest: part.content for part in split.parts}


def _change_one(whole: bundle.Bundle) -> bundle.Bundle:
    first, *others = whole.customers
    changed = dataclasses.replace(first, requests_per_second=7.0)
    return dataclasses.replace(whole, number=2, customers=(changed, *others))


def _index(
    manifest: manifests.Manifest,
    contents: Contents,
    before: customers.CustomerTable | None = None,
) -> customers.CustomerTable:
    async def build() -> customers.CustomerTable | manifests.Broken:
        return await customers.build(
            manifest=manifest, parts=contents, before=before
        )

    table = anyio.run(build)
    assert isinstance(table, customers.CustomerTable)
    return table


def _time(work: Callable[[], Any]) -> tuple[Any, float]:
    """Return the result of some work and its milliseconds."""
    begun = time.perf_counter()
    result = work()
    return result, (time.perf_counter() - begun) * 1000


def _time_finds(table: customers.CustomerTable, keys: list[str]) -> float:
    """Return the mean microseconds of a find."""
    begun = time.perf_counter()
    for key in keys:
        table.find(key)
    return (time.perf_counter() - begun) / len(keys) * 1_000_000
