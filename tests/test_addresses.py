"""Tests of the answer to "which of your addresses shall I use"."""

import collections
import types

import msgspec
import pytest

from marigoldramp import addresses
from marigoldramp import bundle
from marigoldramp import outcomes
from marigoldramp import shares

ENTRIES = ('e1', 'e2', 'e3', 'e4')


class Members:
    """Entries that are up, with their addresses."""

    def __init__(self, names):
        self.names = names

    def peers(self, role):
        return [
            types.SimpleNamespace(instance=name, host=name, call_port=1)
            for name in self.names
        ]


class Router:
    """Agents of every service, chosen in their order."""

    def __init__(self, agents):
        self.agents = agents

    def choose(self, *, service, facts, exclude):
        for agent in self.agents:
            if agent not in exclude:
                return types.SimpleNamespace(instance=agent)
        return outcomes.NotRun(reason=outcomes.Reason.NO_ENDPOINT)


class Keys:
    """Keys that read as the agent to which they are bound."""

    def make(self, *, customer, candidate, service):
        return candidate.instance


class Table:
    """Routes with one non-idempotent service for who may call it."""

    def non_idempotent(self, services):
        return [
            bundle.Service(name=name, kind='plain_service')
            for name in services
            if name == 'dispatch'
        ]


def ask(*, agents=('a1', 'a2', 'a3'), own='http://e1:1', **changes):
    values = {'name': 'c', 'key_digests': (), 'services': ('dispatch', 's')}
    customer = bundle.Customer(**(values | changes))
    book = addresses.AddressBook(
        instance='e1',
        members=Members(ENTRIES[1:]),
        router=Router(agents),
        keys=Keys(),
        settings=types.SimpleNamespace(bindings=8, keep_addresses=30.0),
        own_address=lambda: own,
    )
    answer = book.answer(customer=customer, table=Table())
    return msgspec.json.decode(answer)


@pytest.mark.parametrize('count', [1, 2, 4, 9])
def test_a_customer_is_given_its_few_entries(count):
    told = ask(entries=count)
    customer = bundle.Customer(
        name='c', key_digests=(), services=(), entries=count
    )
    wanted = shares.entries_of(customer, ENTRIES)
    assert [one['address'] for one in told['entries']] == [
        f'http://{name}:1' for name in wanted
    ]
    assert told['keep_seconds'] == 30.0


def test_a_leaving_entry_does_not_name_itself():
    """Symptom: a caller asks again and is sent back to the leaving entry.

    Sequence: the entry has begun to leave and its address is empty.  Cause:
    an answer that counts the process that gives it.
    """
    told = ask(entries=4, own='')
    names = {one['address'] for one in told['entries']}
    assert names == {f'http://{name}:1' for name in ENTRIES[1:]}


@pytest.mark.parametrize('agents', [('a1',), ('a1', 'a2', 'a3')])
def test_keys_are_spread_over_the_agents(agents):
    keys = ask(agents=agents)['bindings']['dispatch']
    spread = collections.Counter(keys)
    assert len(keys) == 8 and set(spread) == set(agents)
    assert max(spread.values()) - min(spread.values()) <= 1


def test_no_keys_without_agents_or_non_idempotent_services():
    assert ask(agents=())['bindings'] == {'dispatch': []}
    assert ask(services=('s',))['bindings'] == {}
