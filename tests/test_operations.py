"""Tests of submitting, signing and rolling bundles."""

import itertools
import random

import anyio
from fake_roll_store import Fault
from fake_roll_store import RollStore
import hypothesis
from hypothesis import strategies
import msgspec
import pytest

from marigoldramp import audit
from marigoldramp import bundle
from marigoldramp import manifests
from marigoldramp import operations
from marigoldramp import proposals
from marigoldramp import rolls
from marigoldramp import settings
from marigoldramp import signatures
from marigoldramp import store
from marigoldramp import store_retries
from marigoldramp_standins import objects

PAIRS = {name: signatures.make_key_pair() for name in ('ann', 'bob', 'carl')}
SECURITY = settings.Security(
    fleet_key='env:FLEET',
    sign_offs=2,
    operators={name: pair.public for name, pair in PAIRS.items()},
)
ATTEMPTS = store_retries.ATTEMPTS
SEEDS = itertools.count()
NOW = 1_700_000_000.0


async def skip(seconds):
    await anyio.sleep(0)


def make_operator(platform, name='ann', sleep=skip):
    """Return an operator; no two share random numbers, as no two do."""
    seed = next(SEEDS)
    return operations.Operations(
        store=platform,
        security=SECURITY,
        operator=name,
        random=random.Random(seed),
        wall=lambda: NOW,
        sleep=sleep,
    )


def make_bundle(number, note=''):
    customer = bundle.Customer(name='acme', key_digests=(), services=())
    return bundle.Bundle(number=number, note=note, customers=(customer,))


async def propose(platform, number, note='', signers=('ann', 'bob')):
    """Submit and sign a bundle; return the digest."""
    submitter = make_operator(platform)
    submitted = await proposals.submit(
        submitter, whole=make_bundle(number, note)
    )
    digest = submitted.manifest.digest
    for name in signers:
        signer = make_operator(platform, name)
        signed = await proposals.sign(
            signer, digest=digest, private=PAIRS[name].private
        )
        assert isinstance(signed, proposals.Signed)
    return digest


async def read_current(table):
    found = await RollStore(table=table).read(key=manifests.CURRENT)
    if isinstance(found, store.Absent):
        return None
    return manifests.decode(found.value)


async def list_actions(table):
    platform = store_retries.RetryingStore(
        store=RollStore(table=table), random=random.Random(1), sleep=skip
    )
    trail = await audit.read(platform, now=NOW, days=1)
    return sorted(entry.action for entry in trail.entries)


@pytest.mark.anyio
async def test_submit_sign_roll():
    platform = RollStore()
    digest = await propose(platform, 1)
    outcome = await rolls.roll(make_operator(platform, 'carl'), digest=digest)
    assert isinstance(outcome, rolls.Rolled)
    current = await read_current(platform.table)
    assert current.digest == digest
    assert current.author == 'carl'
    assert {one.operator for one in current.sign_offs} == {'ann', 'bob'}
    assert await list_actions(platform.table) == [
        audit.Action.ROLL_STARTED,
        audit.Action.ROLLED,
        audit.Action.SIGNED,
        audit.Action.SIGNED,
        audit.Action.SUBMITTED,
    ]


@pytest.mark.anyio
async def test_only_new_parts_are_written():
    platform = RollStore()
    digest = await propose(platform, 1)
    await rolls.roll(make_operator(platform), digest=digest)
    submitted = await proposals.submit(
        make_operator(platform), whole=make_bundle(2)
    )
    assert submitted.parts_written == 0


@pytest.mark.anyio
@pytest.mark.parametrize(
    ('name', 'private', 'reason'),
    [
        ('dora', PAIRS['ann'].private, 'no known operator'),
        ('bob', PAIRS['ann'].private, 'does not belong'),
        ('ann', 'ab', 'malformed'),
        ('ann', 'no hex', 'malformed'),
    ],
    ids=['unknown', 'key of another', 'short key', 'no key'],
)
async def test_wrong_signers_are_refused(name, private, reason):
    platform = RollStore()
    digest = await propose(platform, 1, signers=())
    signer = make_operator(platform, name)
    outcome = await proposals.sign(signer, digest=digest, private=private)
    assert isinstance(outcome, operations.Refused)
    assert reason in outcome.detail


@pytest.mark.anyio
async def test_false_sign_off_does_not_keep_its_operator_out():
    """An operator signs though a wrong sign-off stands in that name.

    Symptom: a bundle can never be rolled.  Sequence: somebody with access
    to the store writes a sign-off in another's name first.  Cause: sign-offs
    are created once and never replaced.
    """
    platform = RollStore()
    digest = await propose(platform, 1, signers=())
    key = manifests.key_sign_off(digest, 'ann')
    false = manifests.SignOff(operator='ann', signature='ab')
    value = msgspec.json.encode(false)
    await platform.write(key=key, value=value, expected=store.CREATE)
    for name in ('ann', 'bob'):
        signer = make_operator(platform, name)
        await proposals.sign(
            signer, digest=digest, private=PAIRS[name].private
        )
    outcome = await rolls.roll(make_operator(platform), digest=digest)
    assert isinstance(outcome, rolls.Rolled)


@pytest.mark.anyio
async def test_part_too_large_for_the_store_is_refused():
    services = tuple(
        bundle.Service(name=random.Random(n).randbytes(2000).hex(), kind='x')
        for n in range(600)
    )
    whole = bundle.Bundle(number=1, services=services)
    outcome = await proposals.submit(make_operator(RollStore()), whole=whole)
    assert 'the store takes' in outcome.detail


@pytest.mark.anyio
@pytest.mark.parametrize(
    ('number', 'signers', 'reason'),
    [
        (5, (), '0 of 2 sign-offs'),
        (5, ('ann',), '1 of 2 sign-offs'),
        (5, ('ann', 'ann'), '1 of 2 sign-offs'),
    ],
)
async def test_too_few_sign_offs_are_refused(number, signers, reason):
    platform = RollStore()
    digest = await propose(platform, number, signers=signers)
    outcome = await rolls.roll(make_operator(platform), digest=digest)
    assert outcome == rolls.Refused(detail=reason)
    assert await read_current(platform.table) is None


@pytest.mark.anyio
@pytest.mark.parametrize('number', [3, 4])
async def test_older_number_is_refused(number):
    """A signed bundle must not replace one with its number or a greater.

    Symptom: an old configuration comes back into force.  Sequence: two
    bundles are proposed, the greater is rolled, then the other.  Cause:
    the conditional write alone does not compare numbers.
    """
    platform = RollStore()
    older = await propose(platform, number, note='older')
    newer = await propose(platform, 4, note='newer')
    operator = make_operator(platform)
    await rolls.roll(operator, digest=newer)
    outcome = await rolls.roll(operator, digest=older)
    assert isinstance(outcome, rolls.Refused)
    assert (await read_current(platform.table)).digest == newer
    refused = await proposals.submit(operator, whole=make_bundle(number))
    assert 'bundle 4 is in force' in refused.detail


@pytest.mark.anyio
@pytest.mark.parametrize('digest', ['ab' * 32, 'changed'])
async def test_unknown_and_changed_proposals_are_refused(digest):
    platform = RollStore()
    if digest == 'changed':
        digest = await propose(platform, 1)
        key = manifests.key_proposal(digest)
        other = manifests.split(whole=make_bundle(2)).manifest
        found = await platform.read(key=key)
        await platform.write(
            key=key, value=manifests.encode(other), expected=found.version
        )
    outcome = await rolls.roll(make_operator(platform), digest=digest)
    assert isinstance(outcome, rolls.Refused)
    assert await read_current(platform.table) is None


@pytest.mark.anyio
@pytest.mark.parametrize(
    ('faults', 'outcome', 'in_force', 'action'),
    [
        ([Fault.LOST_REPLY], rolls.Rolled, True, 'rolled'),
        ([Fault.LOST_REQUEST], rolls.Rolled, True, 'rolled'),
        ([Fault.AWAY], rolls.Rolled, True, 'rolled'),
        ([Fault.LOST_REQUEST, Fault.AWAY], rolls.Rolled, True, 'rolled'),
        ([Fault.LOST_REPLY, Fault.AWAY], rolls.Rolled, True, 'rolled'),
        ([Fault.AWAY] * ATTEMPTS, rolls.PlatformAway, False, 'refused'),
        (
            [Fault.LOST_REQUEST] * ATTEMPTS,
            rolls.OutcomeUncertain,
            False,
            'uncertain',
        ),
        (
            [Fault.LOST_REPLY] + [Fault.AWAY] * ATTEMPTS,
            rolls.OutcomeUncertain,
            True,
            'uncertain',
        ),
    ],
)
async def test_faults_of_the_store(faults, outcome, in_force, action):
    """The roller says what it knows, whatever the store loses.

    Symptom: an operator is told that a roll failed, and it is in force.
    Sequence: the conditional write takes effect or not, its reply is lost.
    Cause: without a reply the two look alike; the retry and the read tell.
    """
    platform = RollStore(faults=faults)
    digest = await propose(platform, 1)
    ended = await rolls.roll(make_operator(platform), digest=digest)
    assert isinstance(ended, outcome)
    assert (await read_current(platform.table) is not None) == in_force
    assert action in await list_actions(platform.table)


@pytest.mark.anyio
async def test_outage_is_reported():
    platform = RollStore()
    digest = await propose(platform, 1)
    platform.table.faults.outage = True
    operator = make_operator(platform)
    for outcome in (
        await rolls.roll(operator, digest=digest),
        await proposals.sign(
            operator, digest=digest, private=PAIRS['ann'].private
        ),
        await proposals.submit(operator, whole=make_bundle(1)),
    ):
        assert isinstance(outcome, operations.PlatformAway)


@pytest.mark.anyio
@pytest.mark.parametrize('race_at', ['audit.', 'bundle'])
@pytest.mark.parametrize('number', [4, 6])
async def test_another_operator_comes_first(race_at, number):
    """Of two racing operators one wins, and the other is told so.

    Symptom: both believe that their bundle is in force, or the older one
    is.  Sequence: one reads the bundle in force, the other replaces it, the
    first goes on.  Cause: what was read no longer holds at the write.
    """
    table = objects.Table()
    platform = RollStore(table=table)
    digest = await propose(platform, number)
    rival = await propose(platform, 5)

    async def race():
        other = make_operator(RollStore(table=table), 'bob')
        won = await rolls.roll(other, digest=rival)
        assert isinstance(won, rolls.Rolled)

    platform.race = race
    platform.race_at = race_at
    ended = await rolls.roll(make_operator(platform), digest=digest)
    assert isinstance(ended, rolls.Refused)
    assert 'bob rolled bundle 5' in ended.detail
    assert (await read_current(table)).number == 5


@pytest.mark.anyio
@pytest.mark.parametrize(
    ('rivals', 'outcome'),
    [((5,), rolls.Refused), ((5, 6), rolls.OutcomeUncertain)],
)
async def test_lost_request_and_then_other_operators(rivals, outcome):
    """A request is lost and others roll before it is sent again.

    Symptom: a bundle is called rolled that never was, or the reverse.
    Sequence: no reply comes, one or two rolls of others follow.  Cause: with
    two, the own one may have stood between them, and nothing shows it.
    """
    table = objects.Table()
    platform = RollStore(table=table, faults=[Fault.LOST_REQUEST])
    digest = await propose(platform, 4)
    digests = [await propose(platform, number) for number in rivals]

    async def race(seconds):
        for rival in digests:
            other = make_operator(RollStore(table=table), 'bob')
            await rolls.roll(other, digest=rival)

    operator = make_operator(platform, sleep=race)
    ended = await rolls.roll(operator, digest=digest)
    assert isinstance(ended, outcome)


@pytest.mark.anyio
async def test_own_write_is_recognised_after_it_was_replaced():
    """A lost reply, then another roll on top of the own one.

    Symptom: the operator is told "refused" about a bundle that was in force.
    Sequence: the write takes effect, its reply is lost, another operator
    rolls a newer bundle before the retry.  Cause: the own nonce is gone from
    the store; the newer bundle still names it as the one it replaced.
    """
    table = objects.Table()
    platform = RollStore(table=table, faults=[Fault.LOST_REPLY])
    digest = await propose(platform, 1)
    rival = await propose(platform, 2)

    async def race(seconds):
        other = make_operator(RollStore(table=table), 'bob')
        await rolls.roll(other, digest=rival)

    operator = make_operator(platform, sleep=race)
    ended = await rolls.roll(operator, digest=digest)
    assert isinstance(ended, rolls.Rolled)
    assert ended.replaced_by == 2


FAULTS = strategies.lists(strategies.sampled_from(list(Fault)), max_size=8)
YIELDS = strategies.lists(strategies.integers(0, 6), max_size=30)


@hypothesis.given(
    numbers=strategies.lists(
        strategies.integers(1, 4), min_size=2, max_size=6
    ),
    faults=strategies.tuples(FAULTS, FAULTS),
    yields=strategies.tuples(YIELDS, YIELDS),
)
def test_two_racing_operators_never_go_back(numbers, faults, yields):
    """The number in force only grows, and names one content.

    Symptom: instances run two configurations under one number, or an older
    one comes back.  Sequence: any interleaving of two operators' rolls with
    lost requests, lost replies and outages.  Cause: a check that is not part
    of the conditional write.
    """

    class CountedTable(objects.Table):
        __slots__ = ('seen',)

        def __init__(self):
            super().__init__()
            self.seen = []

        def _apply(self, key, value, expected):
            outcome = super()._apply(key, value, expected)
            if key == manifests.CURRENT and isinstance(outcome, store.Written):
                self.seen.append(manifests.decode(value))
            return outcome

    async def scenario():
        table = CountedTable()
        platform = RollStore(table=table)
        digests = [
            await propose(platform, number, note=f'{index}')
            for index, number in enumerate(numbers)
        ]
        ended = {}

        async def act(name, turn):
            platform = RollStore(
                table=table, faults=faults[turn], yields=yields[turn]
            )
            operator = make_operator(platform, name)
            for digest in digests[turn::2]:
                ended[digest] = await rolls.roll(operator, digest=digest)

        async with anyio.create_task_group() as group:
            group.start_soon(act, 'ann', 0)
            group.start_soon(act, 'bob', 1)
        return table.seen, ended

    seen, ended = anyio.run(scenario)
    order = [manifest.number for manifest in seen]
    assert order == sorted(set(order))
    in_force = {manifest.digest for manifest in seen}
    for digest, outcome in ended.items():
        match outcome:
            case rolls.Rolled():
                assert digest in in_force
            case rolls.Refused() | rolls.PlatformAway():
                assert digest not in in_force
