"""Tests of leases: single cases, then any sequence of faults."""

import hypothesis
from hypothesis import stateful
from hypothesis import strategies
import msgspec
import pytest

from marigoldramp import leases
from marigoldramp import store
from marigoldramp_standins import memory
from marigoldramp_standins import objects

KEY = store.Key(kind=leases.KIND, name='group')
SECONDS = 10.0


def run(coroutine):
    """Run a coroutine whose store answers without waiting."""
    try:
        coroutine.send(None)
    except StopIteration as stopped:
        return stopped.value
    raise AssertionError('the coroutine waited')


class Platform:
    """A store and a clock; time can pass before and after a write."""

    def __init__(self):
        self.now = 100.0
        self.table = objects.Table(sleep=self.sleep)
        self.parked = []

    def clock(self):
        return self.now

    async def sleep(self, seconds):
        self.now += seconds

    def make_store(self):
        return memory.MemoryStore(table=self.table, clock=self.clock)

    def make_lease(self, holder, lease_store=None, **more):
        return leases.Lease(
            store=lease_store or self.make_store(),
            name='group',
            holder=holder,
            seconds=SECONDS,
            clock=self.clock,
            **more,
        )

    def read(self):
        found = run(self.table.read(key=KEY))
        return msgspec.json.decode(found.value, type=leases.Record)


@pytest.fixture
def platform():
    return Platform()


def test_first_contender_holds(platform):
    one, other = platform.make_lease('one'), platform.make_lease('other')
    assert run(one.acquire()) == leases.Held(fence=1)
    assert run(other.acquire()) == leases.NotHeld(holder='one')
    assert (one.held(), other.held()) == (True, False)


def test_lapsed_lease_is_taken_over(platform):
    """The holder dies; the next one waits for the duration of the lease."""
    one, other = platform.make_lease('one'), platform.make_lease('other')
    run(one.acquire())
    platform.now += 2 * SECONDS
    assert run(other.acquire()) == leases.NotHeld(holder='one')
    platform.now += SECONDS - 0.1
    assert run(other.acquire()) == leases.NotHeld(holder='one')
    platform.now += 0.1
    assert run(other.acquire()) == leases.Held(fence=2)
    assert not one.held()
    assert run(one.renew()) == leases.NotHeld(
        holder='other', detail='the lease record has changed'
    )


def test_renewed_lease_is_not_taken_over(platform):
    one, other = platform.make_lease('one'), platform.make_lease('other')
    run(one.acquire())
    for _ in range(10):
        platform.now += SECONDS / 2
        assert run(one.renew()) == leases.Held(fence=1)
        assert run(other.acquire()) == leases.NotHeld(holder='one')


@pytest.mark.parametrize(
    ('gone', 'taken'), [((), False), (('b',), False), (('a',), True)]
)
def test_lease_of_a_holder_that_has_ended_is_free(platform, gone, taken):
    """A contender waits although the holder is known to have ended."""
    first = platform.make_lease('a')
    second = platform.make_lease('b', is_gone=lambda name: name in gone)
    held = run(first.acquire())
    got = run(second.acquire())
    assert isinstance(got, leases.Held) is taken
    if taken:
        assert got.fence > held.fence
        assert isinstance(run(first.renew()), leases.NotHeld)
        assert run(first.acquire()) == leases.NotHeld(holder='b')


def test_released_lease_is_free_at_once(platform):
    one, other = platform.make_lease('one'), platform.make_lease('other')
    run(one.acquire())
    run(one.release())
    assert not one.held()
    assert run(other.acquire()) == leases.Held(fence=2)


def test_restarted_holder_inherits_nothing(platform):
    """Two processes of one name hold the lease.

    Sequence: a holder restarts under its name while the old process is only
    frozen; the first write of the new one is lost; then the old one resumes
    and takes the lease.
    Cause: writes are recognised by the name alone.
    """
    before, after = platform.make_lease('one'), platform.make_lease('one')
    platform.table.faults.lose_requests = 1
    run(after.acquire())
    run(before.acquire())
    assert run(after.acquire()) == leases.NotHeld(holder='one')


def test_released_lease_is_not_taken_back_by_a_stale_reading(platform):
    one, other = platform.make_lease('one'), platform.make_lease('other')
    run(one.acquire())
    platform.table.freeze(kind=leases.KIND)
    run(one.release())
    assert run(one.acquire()) == leases.NotHeld(holder='one')
    platform.table.faults.stale.clear()
    assert run(other.acquire()) == leases.Held(fence=2)


def test_slow_renewal_counts_from_its_start(platform):
    """The reply to a renewal takes longer than the lease lasts.

    If the duration counted from the reply, the holder would continue while
    others, which saw the record change long before, take over.
    """
    one = platform.make_lease('one')
    run(one.acquire())
    platform.table.faults.slowness = SECONDS
    assert isinstance(run(one.renew()), leases.NotHeld)
    assert not one.held()
    platform.table.faults.slowness = 0
    assert run(one.renew()) == leases.Held(fence=1)


@pytest.mark.parametrize('operation', ['acquire', 'renew'])
def test_lost_reply(platform, operation):
    """A write takes effect but its reply is lost.

    The next write of the same contender would conflict with its own, and the
    lease would have no holder until it lapses.
    """
    one = platform.make_lease('one')
    if operation == 'renew':
        run(one.acquire())
    platform.table.faults.lose_replies = 1
    assert run(getattr(one, operation)()) == leases.Held(fence=1)
    platform.now += SECONDS / 2
    assert run(one.renew()) == leases.Held(fence=1)


def test_lost_request(platform):
    """A write is lost before it takes effect: the lease is still free."""
    one, other = platform.make_lease('one'), platform.make_lease('other')
    platform.table.faults.lose_requests = 1
    assert isinstance(run(one.acquire()), leases.NotHeld)
    assert not one.held()
    assert run(other.acquire()) == leases.Held(fence=1)
    assert run(one.acquire()) == leases.NotHeld(holder='other')


def test_outage_outlasts_the_lease(platform):
    one = platform.make_lease('one')
    run(one.acquire())
    platform.table.faults.outage = True
    platform.now += SECONDS / 2
    assert run(one.renew()) == leases.Held(fence=1)
    platform.now += SECONDS / 2
    assert isinstance(run(one.renew()), leases.NotHeld)
    platform.table.faults.outage = False
    assert run(one.renew()) == leases.Held(fence=1)


def test_unreadable_record_is_left_alone(platform):
    run(platform.table.write(key=KEY, value=b'{', expected=store.CREATE))
    one = platform.make_lease('one')
    for _ in range(3):
        platform.now += 2 * SECONDS
        assert run(one.acquire()) == leases.NotHeld(
            detail=f'{KEY} cannot be read'
        )


def list_moments():
    """Return the moments at which a backup of the store may be made."""
    return ['before it was taken', 'when it was held', 'when it was renewed']


@pytest.mark.parametrize('moment', list_moments())
def test_holder_takes_a_restored_lease_anew(platform, moment):
    """A group has no leader, or one whose orders are refused, for good.

    Sequence: the store is restored from a backup that is some seconds old.
    The holder finds an older record of its own, or none.
    Cause: it continues under that number, which others have had since, or
    waits for its own lease to lapse.
    """
    copies = {'before it was taken': platform.table.copy()}
    one = platform.make_lease('one')
    first = run(one.acquire())
    copies['when it was held'] = platform.table.copy()
    platform.now += 1.0
    run(one.renew())
    copies['when it was renewed'] = platform.table.copy()
    platform.table.restore(copies[moment])
    platform.now += 1.0
    run(one.renew())
    taken = run(one.acquire())
    assert isinstance(taken, leases.Held)
    assert taken.fence > first.fence
    assert run(one.renew()) == taken


@pytest.mark.parametrize('moment', ['before', 'between', 'after'])
def test_nobody_takes_a_lease_that_a_restore_has_undone(platform, moment):
    """Two contenders hold one lease, each by its own clock.

    Sequence: one releases the lease and another one takes it; the store is
    restored from a backup in which it is free, and a third one takes it.
    """
    one, other, third = map(platform.make_lease, ('one', 'other', 'third'))
    copies = {'before': platform.table.copy()}
    run(one.acquire())
    run(one.release())
    copies['between'] = platform.table.copy()
    held = run(other.acquire())
    copies['after'] = platform.table.copy()
    platform.table.restore(copies[moment])
    assert isinstance(run(third.acquire()), leases.NotHeld)
    platform.now += SECONDS - 0.1
    assert isinstance(run(third.acquire()), leases.NotHeld)
    platform.now += SECONDS
    taken = run(third.acquire())
    assert isinstance(taken, leases.Held)
    assert not other.held()
    assert taken.fence > held.fence


def test_fences_are_given_out_once_whatever_is_restored(platform):
    """Orders of an older leader are obeyed again.

    Sequence: the store is restored twice from a backup in which nobody has
    had the lease, and each new holder gets the first fencing number.
    """
    empty = platform.table.copy()
    fences = []
    for holder in ('one', 'other', 'third'):
        lease = platform.make_lease(holder)
        fences.append(run(lease.acquire()).fence)
        platform.table.restore(empty)
        run(lease.acquire())
        platform.now += 2 * SECONDS
    assert fences == sorted(set(fences))


class ParkingStore(memory.MemoryStore):
    """Delays single writes until a test lets them take effect."""

    def __init__(self, *, platform):
        super().__init__(table=platform.table, clock=platform.clock)
        self.platform = platform
        self.park = 0
        self.before = 0.0
        self.after = 0.0

    async def write(self, *, key, value, expected):
        self.platform.now += self.before
        if self.park:
            self.park -= 1
            self.platform.parked.append((key, value, expected))
            return store.Uncertain(detail='no reply yet')
        written = await super().write(key=key, value=value, expected=expected)
        self.platform.now += self.after
        return written


#: Three processes; the last is a restart of the first under the same name.
#: The first may still be frozen and resume.
HOLDERS = ('one', 'two', 'one')
NUMBERS = strategies.sampled_from(range(len(HOLDERS)))
FAULTS = ('outage', 'stale', 'lost reply', 'late write')
PAUSES = strategies.sampled_from((0.0, 0.0, 0.0, 0.0, 3.0, SECONDS))


class Contenders(stateful.RuleBasedStateMachine):
    """Several contenders under pauses, outages, lost and late writes."""

    def __init__(self):
        super().__init__()
        self.platform = Platform()
        self.copies = [self.platform.table.copy()]
        self.stores = [ParkingStore(platform=self.platform) for _ in HOLDERS]
        self.leases = [
            self.platform.make_lease(holder, parking)
            for holder, parking in zip(HOLDERS, self.stores)
        ]
        self.grants = {}

    def check(self, number, outcome):
        """Check what an operation returned against all earlier grants."""
        if isinstance(outcome, leases.Held):
            assert self.grants.setdefault(outcome.fence, number) == number
            assert outcome.fence == max(self.grants)
            assert self.leases[number].held()

    @stateful.rule(number=NUMBERS, before=PAUSES, after=PAUSES)
    def acquire(self, number, before, after):
        self.stores[number].before, self.stores[number].after = before, after
        self.check(number, run(self.leases[number].acquire()))

    @stateful.rule(number=NUMBERS)
    def renew(self, number):
        self.check(number, run(self.leases[number].renew()))

    @stateful.rule(number=NUMBERS)
    def release(self, number):
        run(self.leases[number].release())
        assert not self.leases[number].held()

    @stateful.rule(seconds=strategies.sampled_from((3.0, SECONDS)))
    def wait(self, seconds):
        self.platform.now += seconds

    @stateful.rule(fault=strategies.sampled_from(FAULTS), number=NUMBERS)
    def fail(self, fault, number):
        """Let the store fail until :meth:`mend`, or one write be held back."""
        faults = self.platform.table.faults
        match fault:
            case 'outage':
                faults.outage = True
            case 'stale':
                self.platform.table.freeze(kind=leases.KIND)
            case 'lost reply':
                faults.lose_replies += 1
            case 'late write':
                self.stores[number].park += 1

    @stateful.rule()
    def copy(self):
        """Make a copy to which the store may go back."""
        self.copies = [*self.copies, self.platform.table.copy()][-3:]

    @stateful.rule(number=strategies.integers(0, 2))
    def restore(self, number):
        """The store goes back to a copy."""
        self.platform.table.restore(
            self.copies[min(number, len(self.copies) - 1)]
        )

    @stateful.rule()
    def mend(self):
        self.platform.table.faults = objects.Faults()

    @stateful.rule()
    def let_go(self):
        """A write that was given up takes effect late."""
        if self.platform.parked:
            key, value, expected = self.platform.parked.pop(0)
            faults = self.platform.table.faults
            lost, faults.lose_replies = faults.lose_replies, 0
            run(
                self.platform.table.write(
                    key=key, value=value, expected=expected
                )
            )
            faults.lose_replies = lost

    @stateful.invariant()
    def at_most_one_holds(self):
        assert sum(lease.held() for lease in self.leases) <= 1

    def teardown(self):
        """The faults end: somebody holds the lease before long."""
        self.platform.table.faults = objects.Faults()
        for each in self.stores:
            each.park, each.before, each.after = 0, 0.0, 0.0
        held = False
        for _ in range(6):
            for number in range(len(HOLDERS)):
                self.acquire(number, 0.0, 0.0)
                self.at_most_one_holds()
                held = held or self.leases[number].held()
            self.platform.now += SECONDS / 2
        assert held


Contenders.TestCase.settings = hypothesis.settings(
    max_examples=3 * hypothesis.settings().max_examples,
    stateful_step_count=30,
)
TestContenders = Contenders.TestCase
