"""Tests of finding a customer among the parts of a bundle."""

import dataclasses

import pytest

from marigoldramp import bundle
from marigoldramp import customers
from marigoldramp import manifests

COUNT = 600


def make_customer(index, **rest):
    return bundle.Customer(
        name=f'customer-{index}',
        key_digests=(f'{index:064x}', f'{index + 10_000:064x}'),
        services=(),
        **rest,
    )


def split(changed=()):
    listed = [make_customer(index) for index in range(COUNT)]
    for customer in changed:
        listed[int(customer.name.split('-')[1])] = customer
    whole = bundle.Bundle(number=1, customers=tuple(listed))
    return manifests.split(whole=whole)


async def build(cut, before=None, without=()):
    parts = {
        part.digest: part.content
        for part in cut.parts
        if part.digest not in without
    }
    return await customers.build(
        manifest=cut.manifest, parts=parts, before=before
    )


@pytest.mark.anyio
@pytest.mark.parametrize(
    ('number', 'index'),
    [(0, 0), (5, 5), (10_599, 599), (600, None), (2**200, None)],
)
async def test_find(number, index):
    table = await build(split())
    expected = None if index is None else make_customer(index)
    for _ in range(2):
        assert table.find(f'{number:064x}') == expected


@pytest.mark.anyio
async def test_length_and_iteration():
    table = await build(split())
    assert len(table) == COUNT
    assert {one.name for one in table} == {
        f'customer-{index}' for index in range(COUNT)
    }


@pytest.mark.anyio
async def test_changed_customer_replaces_what_was_decoded():
    """A decoded customer does not outlive the part it came from.

    Symptom: a lowered limit never takes hold for callers that were active.
    Sequence: a customer is found, a bundle changes it, it is found again.
    Cause: the decoded customer is kept across bundles.
    """
    table = await build(split())
    key = make_customer(7).key_digests[0]
    assert table.find(key).weight == 1.0
    other = make_customer(8).key_digests[0]
    assert table.find(other).weight == 1.0
    changed = split([make_customer(7, weight=3.0)])
    newer = await build(changed, before=table)
    assert newer.find(key).weight == 3.0
    assert newer.find(other).weight == 1.0


@pytest.mark.anyio
async def test_unchanged_parts_need_not_be_given_again():
    table = await build(split())
    changed = split([make_customer(7, weight=3.0)])
    newer = await build(changed, table, without=table.parts())
    assert len(newer) == COUNT


@pytest.mark.anyio
async def test_missing_part_is_refused():
    cut = split()
    broken = await build(cut, without={cut.parts[1].digest})
    assert isinstance(broken, manifests.Broken)


@pytest.mark.anyio
async def test_decoded_customers_are_bounded():
    table = customers.CustomerTable(
        parts=tuple((await build(split())).parts().values()), most=3
    )
    for index in range(10):
        assert table.find(f'{index:064x}') is not None
    assert len(table._decoded) == 3
    assert dataclasses.is_dataclass(table.find(f'{9:064x}'))
