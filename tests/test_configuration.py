"""Tests of the way of a bundle into force, under faults, on virtual time."""

import anyio
import fake_bundles
import fake_fleet
import hypothesis
from hypothesis import strategies
import msgspec
import pytest
import virtual_time

from marigoldramp import acceptance
from marigoldramp import bundle_sources
from marigoldramp import manifests
from marigoldramp import messages
from marigoldramp import steps

make_bundle = fake_bundles.make_bundle
publish = fake_bundles.publish


@pytest.fixture
def anyio_backend():
    return virtual_time.make_backend()


@pytest.mark.anyio
async def test_roll_reaches_everybody():
    """Nobody waits for the next heartbeat, which is a quarter second off."""
    async with fake_fleet.open_fleet() as fleet:
        await anyio.sleep(0.25)
        await publish(fleet.table, make_bundle(2, customers=4))
        await anyio.sleep(0.02)
        assert fleet.numbers() == {2}
        assert fleet.findings() == []


@pytest.mark.anyio
async def test_customers_are_found_by_key_digest():
    async with fake_fleet.open_fleet() as fleet:
        await publish(fleet.table, make_bundle(2, customers=600))
        await anyio.sleep(0.1)
        config = fleet.nodes[0].config
        digest = fake_bundles.make_key_digest('customer-599')
        assert config.find_customer(digest).name == 'customer-599'
        assert config.find_customer('0' * 64) is None
        assert config.in_force.customers == ()


@pytest.mark.anyio
async def test_only_watchers_read_the_store_and_only_what_changed():
    """Idle and in a roll, store calls do not grow with the fleet."""
    async with fake_fleet.open_fleet(12) as fleet:
        await publish(fleet.table, make_bundle(2, customers=600))
        await anyio.sleep(3)
        fleet.table.counts.__init__()
        await anyio.sleep(100)
        idle = fleet.table.counts.total()
        fleet.table.counts.__init__()
        whole = make_bundle(3, customers=600)
        parts = {part.digest for part in manifests.split(whole=whole).parts}
        before = set(fleet.nodes[0].config._acceptance.contents)
        assert parts == before
        await publish(fleet.table, make_bundle(4, customers=601))
        written = fleet.table.counts.writes
        fleet.table.counts.__init__()
        await anyio.sleep(1)
        assert fleet.numbers() == {4}
        # Two watchers, 100 s of watches of 20 s each, two begun anew.
        assert idle <= 14
        # Two watchers read one part each and watch again.
        assert written == 6
        assert fleet.table.counts.total() <= 4
        assert fleet.table.counts.writes == 0


@pytest.mark.anyio
async def test_store_away_during_and_after_a_roll():
    """The store goes away as soon as one watcher has the new bundle.

    The others have to get it from that one, and later a process that starts
    while the store is still away has to get it from them.
    """

    async def observe(step, where):
        if step is steps.Step.BUNDLE_IN_FORCE and where in armed:
            fleet.table.faults.outage = True
            fleet.table.wake()

    armed = []
    with steps.observe(observe):
        async with fake_fleet.open_fleet() as fleet:
            armed += fleet.nodes[0].membership.watchers(1)
            for node in fleet.nodes:
                node.store.reachable = node.name in armed
            await publish(fleet.table, make_bundle(2))
            await anyio.sleep(3)
            assert fleet.table.faults.outage
            assert fleet.numbers() == {2}
            fleet.start()
            await anyio.sleep(3)
            assert fleet.nodes[-1].config.number == 2
            await anyio.sleep(100)
            armed.clear()
            fleet.mend()
            await publish(fleet.table, make_bundle(3))
            await anyio.sleep(3)
            assert fleet.numbers() == {3}


@pytest.mark.anyio
async def test_whole_site_without_store_serves_nothing_new():
    """Everything restarts while the store is away: no bundle, no service."""
    async with fake_fleet.open_fleet() as fleet:
        fleet.table.faults.outage = True
        fleet.table.wake()
        for node in list(fleet.nodes):
            fleet.site.kill(node)
        fleet.nodes.clear()
        fleet.start(4, incarnation=2)
        await anyio.sleep(30)
        assert fleet.numbers() == {0}
        fleet.table.faults.outage = False
        await anyio.sleep(3)
        assert fleet.numbers() == {1}


@pytest.mark.anyio
async def test_store_answers_with_an_older_bundle():
    """The store is set back, as after a restore from a copy.

    What has come into force stays, a process that starts takes it from its
    peers even where it has read the older one first, and operators see it.
    """
    async with fake_fleet.open_fleet(bundle=5) as fleet:
        await publish(fleet.table, make_bundle(4))
        await anyio.sleep(30)
        assert fleet.numbers() == {5}
        assert any('older than 5' in each for each in fleet.findings())
        fleet.start()
        await anyio.sleep(3)
        assert fleet.nodes[-1].config.number == 5
        await publish(fleet.table, make_bundle(6))
        await anyio.sleep(3)
        assert fleet.numbers() == {6}
        assert fleet.findings() == []


@pytest.mark.anyio
async def test_store_with_lower_versions():
    """The store comes back empty and counts its versions anew.

    A watch after a version of the old store would never end.
    """
    async with fake_fleet.open_fleet() as fleet:
        fleet.table.version = 1000
        await publish(fleet.table, make_bundle(2))
        await anyio.sleep(1)
        fleet.table.__init__()
        await publish(fleet.table, make_bundle(3))
        await anyio.sleep(85)
        assert fleet.numbers() == {3}


@pytest.mark.anyio
async def test_another_bundle_of_the_same_number():
    async with fake_fleet.open_fleet() as fleet:
        await publish(fleet.table, make_bundle(1, customers=9))
        await anyio.sleep(3)
        digest = fake_bundles.make_key_digest('customer-8')
        for node in fleet.nodes:
            assert node.config.find_customer(digest) is None
        assert any('differs from' in each for each in fleet.findings())


def unsigned(split):
    return fake_bundles.sign(split, operators=('ann',))


def signed_for_other_content(split):
    other = manifests.split(whole=make_bundle(2, customers=9))
    return msgspec.structs.replace(
        split.manifest, sign_offs=fake_bundles.sign(other).sign_offs
    )


@pytest.mark.anyio
@pytest.mark.parametrize(
    ('change', 'message'),
    [
        (unsigned, '1 of 2 sign-offs'),
        (signed_for_other_content, 'does not match'),
    ],
)
async def test_sign_offs_that_do_not_suffice(change, message):
    async with fake_fleet.open_fleet() as fleet:
        whole = make_bundle(2)
        manifest = change(manifests.split(whole=whole))
        await publish(fleet.table, whole, manifest=manifest)
        await anyio.sleep(30)
        assert fleet.numbers() == {1}
        assert any(message in each for each in fleet.findings())
        await publish(fleet.table, make_bundle(3))
        await anyio.sleep(3)
        assert fleet.numbers() == {3}


async def write_unknown_field(table, number):
    """Publish a bundle whose general part has a field of a later version."""
    split = manifests.split(whole=make_bundle(number))
    general = split.manifest.parts[0]
    text = b'{"services":[],"routes":[],"groups":[],"tenants":[]}'
    content = manifests.zlib.compress(text)
    ref = msgspec.structs.replace(
        general, digest=manifests._digest(text), size=len(text)
    )
    await fake_bundles.write(table, manifests.key_part(ref.digest), content)
    manifest = msgspec.structs.replace(
        split.manifest, parts=(ref, *split.manifest.parts[1:])
    )
    signed = fake_bundles.sign(
        manifests.Split(manifest=manifest, parts=split.parts)
    )
    await fake_bundles.write(
        table, manifests.CURRENT, manifests.encode(signed)
    )


async def write_noise(table, number):
    await fake_bundles.write(table, manifests.CURRENT, b'noise')


@pytest.mark.anyio
@pytest.mark.parametrize('write', [write_unknown_field, write_noise])
async def test_bundle_that_cannot_be_read(write):
    """A newer version rolls what this one cannot parse.

    The old bundle stays in force, the finding stays visible, and the next
    bundle that can be read comes into force.
    """
    async with fake_fleet.open_fleet() as fleet:
        await write(fleet.table, 2)
        await anyio.sleep(100)
        assert fleet.numbers() == {1}
        assert fleet.findings()
        await publish(fleet.table, make_bundle(3))
        await anyio.sleep(3)
        assert fleet.numbers() == {3}
        assert fleet.findings() == []


@pytest.mark.anyio
async def test_part_that_comes_late():
    """The manifest can be read but a part of it not yet."""
    async with fake_fleet.open_fleet() as fleet:
        whole = make_bundle(2, customers=4)
        manifest = fake_bundles.sign(manifests.split(whole=whole))
        await fake_bundles.write(
            fleet.table, manifests.CURRENT, manifests.encode(manifest)
        )
        await anyio.sleep(5)
        assert fleet.numbers() == {1}
        await fake_bundles.publish_parts(fleet.table, whole)
        await anyio.sleep(3)
        assert fleet.numbers() == {2}


class Shelf(bundle_sources.Source):
    """A source that holds some parts, whole or damaged."""

    name = 'shelf'

    def __init__(self, contents):
        self.contents = contents

    async def fetch(self, digests):
        return {
            digest: self.contents[digest]
            for digest in digests
            if digest in self.contents
        }


@pytest.mark.anyio
async def test_damaged_part_at_one_peer():
    """A peer hands out one damaged part and lacks another.

    Kept, the damaged one would spoil the bundle that the next peer
    completes, and that peer would be held to blame.
    """
    taken = acceptance.Acceptance(
        instance='entry-1',
        security=fake_bundles.SECURITY,
        clock=virtual_time.now,
        on_accepted=lambda whole: None,
    )
    split = manifests.split(whole=make_bundle(2))
    text = manifests.encode(fake_bundles.sign(split))
    whole = {part.digest: part.content for part in split.parts}
    damaged = {split.parts[0].digest: b'damaged'}
    assert not await taken.take(text, Shelf(damaged))
    assert len(taken.findings.show()) == 1
    assert await taken.take(text, Shelf(whole))
    assert taken.number == 2


@pytest.mark.anyio
async def test_isolated_process_reads_the_store():
    """No heartbeat gets through to an agent, but it reaches the store."""
    async with fake_fleet.open_fleet() as fleet:
        node = fleet.start(role=messages.Role.AGENT, service='s')
        fleet.site.network.cuts |= {(0, node.port), (node.port, 0)}
        await anyio.sleep(10)
        await publish(fleet.table, make_bundle(2))
        await anyio.sleep(20)
        assert node.config.number == 2


@pytest.mark.anyio
async def test_both_watchers_die_in_a_roll():
    async with fake_fleet.open_fleet() as fleet:
        watchers = fleet.nodes[0].membership.watchers(2)
        for node in list(fleet.nodes):
            if node.name in watchers:
                fleet.site.kill(node)
                fleet.nodes.remove(node)
        await publish(fleet.table, make_bundle(2))
        await anyio.sleep(6)
        assert fleet.numbers() == {2}


@pytest.mark.anyio
async def test_agents_learn_from_entries():
    async with fake_fleet.open_fleet() as fleet:
        fleet.start(3, role=messages.Role.AGENT, service='s', data_centre='b')
        await anyio.sleep(3)
        assert fleet.numbers() == {1}


FAULTS = ('roll', 'old', 'outage', 'stale', 'cut', 'restart', 'mend', 'wait')


@hypothesis.given(
    strategies.lists(
        strategies.tuples(
            strategies.sampled_from(FAULTS), strategies.integers(0, 3)
        ),
        max_size=14,
    )
)
def test_any_sequence_of_faults(actions):
    """Numbers only grow at each start of a process, whatever fails.

    When the faults end the newest bundle is in force everywhere.
    """
    backend, options = virtual_time.make_backend()
    anyio.run(run_actions, actions, backend=backend, backend_options=options)


async def run_actions(actions):
    async with fake_fleet.open_fleet(4) as fleet:
        newest = 1
        for action, which in actions:
            node = fleet.nodes[which]
            faults = fleet.table.faults
            match action:
                case 'roll':
                    away, faults.outage = faults.outage, False
                    newest += 1
                    whole = make_bundle(newest, customers=which)
                    await publish(fleet.table, whole)
                    faults.outage = away
                case 'old':
                    whole = make_bundle(max(1, newest - 1), customers=which)
                    await publish(fleet.table, whole)
                case 'outage':
                    faults.outage = True
                    fleet.table.wake()
                case 'stale':
                    fleet.table.freeze(kind='bundle')
                case 'cut':
                    node.store.reachable = False
                    fleet.site.network.cut(node, fleet.nodes[0], both=False)
                case 'restart':
                    fleet.site.kill(node)
                    fleet.nodes[which] = again = fleet.site.start(
                        node.name,
                        port=node.port,
                        incarnation=node.incarnation + 1,
                    )
                    fleet.equip(again)
                    fleet.nodes.pop()
                    await anyio.sleep(0)
                case 'mend':
                    fleet.mend()
            fleet.site.seed(*fleet.nodes)
            await anyio.sleep(0.3 if action != 'wait' else 10)
        fleet.mend()
        await publish(fleet.table, make_bundle(newest + 1))
        fleet.site.seed(*fleet.nodes)
        await anyio.sleep(20)
        assert fleet.numbers() == {newest + 1}
