"""Tests of membership: verdicts on peers under faults, on virtual time."""

import contextlib

import anyio
import fake_network
import pytest
import virtual_time

from marigoldramp import messages

AGENT = messages.Role.AGENT


@pytest.fixture
def anyio_backend():
    return virtual_time.make_backend()


@contextlib.asynccontextmanager
async def open_site():
    async with anyio.create_task_group() as group:
        yield fake_network.Site(group)
        group.cancel_scope.cancel()


@contextlib.asynccontextmanager
async def open_pair(**rest):
    """Yield a site, an entry and an agent that know each other."""
    async with open_site() as site:
        entry = site.start('entry-1')
        agent = site.start('agent-1', role=AGENT, service='s', **rest)
        await anyio.sleep(0)
        site.seed(entry, agent)
        await anyio.sleep(3)
        assert entry.state_of(agent) == agent.state_of(entry) == 'alive'
        site.seed(entry, agent)
        yield site, entry, agent


@pytest.mark.anyio
async def test_peers_find_each_other_by_the_list():
    async with open_pair() as (site, entry, agent):
        assert entry.usable(AGENT) == {'agent-1'}
        assert entry.events == agent.events == []


@pytest.mark.anyio
@pytest.mark.parametrize(
    ('fault', 'seconds'),
    [('killed', 2.2), ('frozen', 2.9), ('cut', 2.9)],
)
async def test_dead_peer(fault, seconds):
    """A peer is killed, frozen or cut off without a word."""
    async with open_pair() as (site, entry, agent):
        match fault:
            case 'killed':
                site.kill(agent)
            case 'frozen':
                site.freeze(agent)
            case 'cut':
                site.network.cut(entry, agent)
        await anyio.sleep(1.0)
        assert entry.usable(AGENT) == {'agent-1'}
        await anyio.sleep(seconds - 1.0)
        assert entry.events == [('dead', 'agent-1')]
        assert entry.usable(AGENT) == set()


@pytest.mark.anyio
async def test_error_seen_on_a_call_hastens_the_verdict():
    """A peer is killed; a call finds out before the silence does.

    It is given nothing from the failed connection on, and is dead as soon
    as its silence has lasted.
    """
    async with open_pair() as (site, entry, agent):
        site.kill(agent)
        entry.membership.suspect('agent-1')
        await anyio.sleep(0.01)
        assert entry.usable(AGENT) == set()
        assert entry.state_of(agent) == 'unreachable'
        await anyio.sleep(2.1)
        assert entry.events == [('dead', 'agent-1')]


@pytest.mark.anyio
async def test_peer_whose_connections_fail_is_given_nothing():
    """Heartbeats come, but fresh connections are refused.

    Whoever routes by heartbeats alone would take it back at the next one.
    """
    async with open_pair() as (site, entry, agent):
        site.network.refusing.add(agent.port)
        entry.membership.suspect('agent-1')
        await anyio.sleep(1)
        assert entry.state_of(agent) == 'unreachable'
        heard = listen(entry)
        await anyio.sleep(2)
        assert heard and all(heartbeat.leaving for heartbeat in heard)
        site.network.mend()
        await anyio.sleep(2)
        assert not heard[-1].leaving


@contextlib.asynccontextmanager
async def open_choosy_entry():
    """Yield a site, an entry with one peer of a kind, and six agents.

    Two other entries use the agents, so that these do not introduce
    themselves.
    """
    async with open_site() as site:
        entry = site.start('entry-1', changes={'peers': 1})
        users = [site.start(f'entry-{number}') for number in (2, 3)]
        agents = [
            site.start(f'agent-{number}', role=AGENT, service='s')
            for number in range(6)
        ]
        await anyio.sleep(0)
        site.seed(*users, rows=[agent.row() for agent in agents])
        await anyio.sleep(2)
        yield site, entry, agents


@pytest.mark.anyio
async def test_end_of_a_link_is_told():
    """An entry no longer chooses an agent, as another one suits it better.

    Nothing would tell it of the old one's death, and its load report would
    stand still.
    """
    async with open_choosy_entry() as (_, entry, agents):
        ended = []
        entry.membership.on_unlinked(lambda peer: ended.append(peer.instance))
        for number in range(6):
            rows = [agent.row() for agent in agents[: number + 1]]
            entry.membership.seed(rows)
            await anyio.sleep(5)
        assert entry.usable(AGENT) <= chosen_by(entry)
        assert ended and chosen_by(entry).isdisjoint(ended)


def listen(node):
    """Return the heartbeats that a node passes on from now on."""
    heard = []
    node.membership.on_heartbeat(heard.append)
    return heard


@pytest.mark.anyio
async def test_heartbeats_without_a_link_are_not_passed_on():
    """An agent shows a new bundle to an entry that has not chosen it.

    Nothing would notice that agent's death, so no call may go to it.
    """
    async with open_choosy_entry() as (site, entry, agents):
        rows = [agent.row() for agent in agents]
        entry.membership.seed(rows)
        site.seed(*agents, rows=[*rows, entry.row()])
        await anyio.sleep(2)
        heard, shown = listen(entry), []
        entry.membership.on_every_heartbeat(shown.append)
        for agent in agents:
            agent.membership.send_now(watchers=3)
        await anyio.sleep(1)
        names = {heartbeat.instance for heartbeat in heard}
        assert names == chosen_by(entry)
        assert {each.instance for each in shown} >= {
            agent.name for agent in agents
        }


@pytest.mark.anyio
async def test_thawed_peer_lives_again():
    async with open_pair() as (site, entry, agent):
        site.freeze(agent)
        await anyio.sleep(5)
        assert entry.state_of(agent) == 'dead'
        site.thaw(agent)
        await anyio.sleep(3)
        assert entry.usable(AGENT) == {'agent-1'}


@pytest.mark.anyio
@pytest.mark.parametrize('outward', [True, False])
async def test_one_way_cut(outward):
    """Nothing passes one way while heartbeats still come the other way.

    The side that still hears would go on to send calls that cannot arrive
    or cannot be answered.  It notices that its sequence is not echoed.
    """
    async with open_pair() as (site, entry, agent):
        ends = (entry, agent) if outward else (agent, entry)
        site.network.cut(*ends, both=False)
        await anyio.sleep(4)
        assert entry.state_of(agent) == 'dead'
        heard = listen(entry)
        await anyio.sleep(4)
        assert bool(heard) == outward
        assert all(heartbeat.leaving for heartbeat in heard)
        await anyio.sleep(20)
        assert entry.events == [('dead', 'agent-1')]
        site.network.mend()
        await anyio.sleep(12)
        assert entry.usable(AGENT) == {'agent-1'}


@pytest.mark.anyio
async def test_lost_datagrams_do_not_kill():
    """Only datagrams are lost; fresh connections work all the time.

    The peer stays usable, whoever holds connections is told that they may be
    silent, and the probes still bring its bundle and that it leaves.
    """
    async with open_pair() as (site, entry, agent):
        ports = (agent.port, entry.port)
        site.network.datagrams_lost |= {ports, ports[::-1]}
        agent.membership.bundle_source = lambda: 9
        await anyio.sleep(10)
        assert entry.events == [('silent', 'agent-1')]
        assert entry.state_of(agent) == 'silent'
        assert entry.usable(AGENT) == {'agent-1'}
        assert entry.membership.find('agent-1').bundle == 9
        await agent.membership.announce_leaving()
        await anyio.sleep(3)
        assert entry.usable(AGENT) == set()
        site.network.mend()
        await anyio.sleep(3)
        assert entry.state_of(agent) == 'alive'


@pytest.mark.anyio
async def test_error_on_a_connection_that_went_silent():
    """A call times out on an open connection while heartbeats come.

    Something between the ends lost track of that connection.  The peer is
    not dead; its connections have to be closed.
    """
    async with open_pair() as (site, entry, agent):
        entry.membership.suspect('agent-1')
        await anyio.sleep(0.1)
        assert entry.events == [('silent', 'agent-1')]
        assert entry.state_of(agent) == 'alive'


@pytest.mark.anyio
async def test_own_freeze_condemns_nobody():
    """The whole process is stopped for a minute and goes on.

    Every peer looks silent though its heartbeats wait in the socket.
    """
    async with open_pair() as (site, entry, agent):
        loop = anyio.lowlevel.current_token().native_token
        loop._jumping.now += 60
        await anyio.sleep(1)
        assert entry.events == []
        assert entry.client.probes == 0


@pytest.mark.anyio
async def test_leaving_peer_gets_nothing_new():
    async with open_pair() as (site, entry, agent):
        unconfirmed = await agent.membership.announce_leaving()
        assert unconfirmed == ()
        assert entry.events == [('leaving', 'agent-1')]
        assert entry.usable(AGENT) == set()


@pytest.mark.anyio
async def test_leaving_is_repeated_until_it_is_echoed():
    """The first datagrams of an announcement are lost."""
    async with open_pair() as (site, entry, agent):
        lost = []

        def lose_three(datagram):
            lost.append(datagram)
            return [] if len(lost) <= 3 else [datagram]

        site.network.tamper = lose_three
        unconfirmed = await agent.membership.announce_leaving()
        assert unconfirmed == ()
        assert entry.events == [('leaving', 'agent-1')]


@pytest.mark.anyio
async def test_leaving_seen_by_one_side_only():
    """The list shows an agent as leaving to one entry only.

    The agent's and the other entry's readings lag.  The one that knows tells
    the agent, which tells everybody.
    """
    async with open_pair() as (site, entry, agent):
        other = site.start('entry-2')
        await anyio.sleep(0)
        site.seed(other, rows=[entry.row(), agent.row()])
        await anyio.sleep(2)
        entry.membership.seed([entry.row(), agent.row(leaving=True)])
        assert entry.usable(AGENT) == set()
        await anyio.sleep(1)
        assert agent.events == [('told',)]
        await agent.membership.announce_leaving()
        assert other.events == [('leaving', 'agent-1')]


@pytest.mark.anyio
async def test_stale_leaving_row_does_not_stop_a_restarted_peer():
    """A restarted agent is still shown as leaving by a list that lags.

    Believed at once, the flag would make every entry tell the new process
    that it leaves, which would stop itself again.
    """
    async with open_pair() as (site, entry, agent):
        row = agent.row(leaving=True)
        entry.membership.seed([entry.row(), row])
        site.kill(agent)
        again = site.start(
            'agent-1', role=AGENT, service='s', incarnation=2, port=agent.port
        )
        await anyio.sleep(0)
        for _ in range(5):
            site.seed(entry, again, rows=[entry.row(), row])
            await anyio.sleep(1)
        assert entry.usable(AGENT) == {'agent-1'}
        assert again.events == []
        for _ in range(11):
            site.seed(entry, again, rows=[entry.row(), row])
            await anyio.sleep(1)
        assert entry.usable(AGENT) == set()
        assert again.events[0] == ('told',)


@pytest.mark.anyio
@pytest.mark.parametrize(('age', 'told'), [(12, [('told',)]), (2, [])])
async def test_leaving_read_by_a_stranger(age, told):
    """Only an agent that has no link to it reads that an agent leaves.

    In a large fleet each process reads the list seldom, but somebody reads
    it at any moment.  An agent that has just started is not told: the list
    may still speak of its predecessor.
    """
    async with open_pair() as (site, entry, agent):
        other = site.start('agent-2', role=AGENT, service='s')
        await anyio.sleep(0)
        other.membership.seed([agent.row()])
        site.kill(agent)
        again = site.start(
            'agent-1', role=AGENT, service='s', incarnation=2, port=agent.port
        )
        await anyio.sleep(age)
        other.membership.seed([agent.row(leaving=True)])
        await anyio.sleep(1)
        assert again.events == told


@pytest.mark.anyio
@pytest.mark.parametrize(
    ('rows', 'least'), [(10, 1.0), (27, 1.35), (1280, 64)]
)
async def test_long_lists_are_read_seldom(rows, least):
    """A reading of 1,280 rows has 242 KB, and each process makes them."""
    async with open_site() as site:
        node = site.start('entry', changes={'table': 2000})
        await anyio.sleep(0)
        node.membership.seed(
            node.row(name=f'n{number}', datagram_port=1000 + number)
            for number in range(rows)
        )
        pauses = [node.membership.choose_list_pause(1.0) for _ in range(50)]
        assert least <= min(pauses) <= max(pauses) <= 1.55 * least
        await anyio.sleep(2 * least)
        assert not node.membership._listing.is_away()


@pytest.mark.anyio
async def test_restarted_peer_is_a_new_incarnation():
    async with open_pair() as (site, entry, agent):
        site.kill(agent)
        site.start(
            'agent-1', role=AGENT, service='s', incarnation=2, port=agent.port
        ).membership.seed([entry.row()])
        await anyio.sleep(1)
        assert entry.events == [('dead', 'agent-1')]
        assert entry.usable(AGENT) == {'agent-1'}
        assert entry.membership.find('agent-1').incarnation == 2


@pytest.mark.anyio
async def test_restart_with_a_clock_set_back():
    """A restarted peer's wall clock is behind, so its incarnation is lower.

    Its heartbeats look stale.  A fresh connection settles which one runs.
    """
    async with open_pair(incarnation=5) as (site, entry, agent):
        site.kill(agent)
        again = site.start(
            'agent-1', role=AGENT, service='s', incarnation=3, port=agent.port
        )
        again.membership.seed([entry.row()])
        await anyio.sleep(4)
        assert entry.membership.find('agent-1').incarnation == 3
        assert entry.state_of(again) == 'alive'


@pytest.mark.anyio
async def test_list_away_from_the_start():
    """A whole site starts while the instance list is away.

    Each process knows one address from its settings.  All of them find all
    others from there, the agents too.
    """
    async with open_site() as site:
        seeds = {'seeds': (f'{fake_network.HOST}:1',)}
        nodes = [
            site.start(f'entry-{number}', changes=seeds) for number in range(6)
        ] + [
            site.start(
                f'agent-{number}', role=AGENT, service='s', changes=seeds
            )
            for number in range(10)
        ]
        await anyio.sleep(10)
        entries = {f'entry-{number}' for number in range(6)}
        agents = {f'agent-{number}' for number in range(10)}
        for node in nodes[:6]:
            assert node.usable() == entries - {node.name}
            assert node.usable(AGENT) == agents


@pytest.mark.anyio
async def test_forged_datagrams_change_nothing():
    """A stranger with another key sends heartbeats of known names."""
    async with open_pair() as (site, entry, agent):
        stranger = site.start(
            'agent-1', role=AGENT, service='s', key=b'another key of 16'
        )
        stranger.membership.seed([entry.row()])
        stranger.membership._sender.leaving = True
        await anyio.sleep(3)
        assert entry.usable(AGENT) == {'agent-1'}
        assert entry.membership.find('agent-1').control_port == agent.port
        assert entry.membership.refusals['unauthenticated'] > 3


@pytest.mark.anyio
async def test_doubled_and_reordered_datagrams_change_nothing():
    """Each datagram comes twice, and the one before it once more.

    An old one that says nothing of leaving must not undo a later one.
    """
    async with open_pair() as (site, entry, agent):
        last = {}

        def repeat(datagram):
            before = last.get('datagram', datagram)
            last['datagram'] = datagram
            return [datagram, before, datagram]

        site.network.tamper = repeat
        await agent.membership.announce_leaving()
        await anyio.sleep(5)
        assert entry.usable(AGENT) == set()
        assert entry.events == [('leaving', 'agent-1')]
        assert entry.membership.refusals['replayed'] > 5


@pytest.mark.anyio
async def test_choice_is_bounded_and_crosses_data_centres():
    async with open_site() as site:
        nodes = [
            site.start(
                f'entry-{number}',
                data_centre='abc'[number % 3],
                changes={'peers': 6},
            )
            for number in range(24)
        ]
        await anyio.sleep(0)
        site.seed(*nodes)
        await anyio.sleep(0.01)
        for node in nodes:
            chosen = [each for each in node.membership._table if each.chosen]
            assert len(chosen) == 6
            assert len({each.data_centre for each in chosen}) == 3
            known = node.membership.known(messages.Role.ENTRY)
            names = {peer.instance for peer in known} | {node.name}
            assert names == {each.name for each in nodes}


@pytest.mark.anyio
@pytest.mark.parametrize(('count', 'interval'), [(5, 0.5), (40, 1.56)])
async def test_datagrams_stay_within_the_budget(count, interval):
    """An entry with many peers stretches the interval, also of its peers.

    At a fixed interval 40 peers would take some 20 KB a second.  The verdict
    on a dead peer takes longer in proportion, and nobody is suspected.
    """
    async with open_site() as site:
        many = site.start('entry-0', changes={'peers': 64, 'table': 256})
        nodes = [many] + [
            site.start(f'agent-{number}', role=AGENT, service='s')
            for number in range(1, count)
        ]
        await anyio.sleep(0)
        site.seed(many, rows=[node.row() for node in nodes])
        await anyio.sleep(20)
        site.network.sent.clear()
        await anyio.sleep(20)
        datagrams = sum(
            many.port in (source, target)
            for source, target, _ in site.network.sent
        )
        assert datagrams / 20 < 55
        assert sum(node.client.probes for node in nodes) == 0
        site.kill(nodes[1])
        await anyio.sleep(2.5 * interval)
        assert many.events == []
        await anyio.sleep(2.5 * interval)
        assert many.events == [('dead', 'agent-1')]


@pytest.mark.anyio
async def test_heartbeats_get_shorter_once_they_are_echoed():
    async with open_pair() as (site, entry, agent):
        whole = site.network.sent[0][-1]
        heard = []
        entry.membership.on_heartbeat(heard.append)
        await anyio.sleep(1)
        assert len(site.network.sent[-1][-1]) < len(whole) - 8
        assert heard[0].host == fake_network.HOST
        assert heard[0].service == 's'


@pytest.mark.anyio
async def test_peer_that_has_forgotten_us_is_told_again():
    """A peer is cut off for so long that it forgets us.

    The short heartbeats that come once the cut has mended say too little
    to answer them.
    """
    async with open_pair() as (site, entry, agent):
        site.network.cut(entry, agent)
        await anyio.sleep(10)
        agent.membership.seed([agent.row()])
        await anyio.sleep(10)
        assert agent.membership.find('entry-1') is None
        site.network.mend()
        await anyio.sleep(15)
        assert entry.state_of(agent) == agent.state_of(entry) == 'alive'


@pytest.mark.anyio
async def test_heartbeats_end_when_nobody_chooses_them():
    """Choices change as instances come and go.

    Each side of a link answers the other, so that a link that neither side
    chooses any more would live on, and the heartbeats of a process grow
    with each change.
    """
    async with open_site() as site:
        nodes = [
            site.start(f'entry-{number}', changes={'peers': 2})
            for number in range(24)
        ]
        await anyio.sleep(0)
        for part in (nodes[:12], nodes[8:], nodes):
            site.seed(*nodes, rows=[node.row() for node in part])
            await anyio.sleep(8)
        for node in nodes:
            choosers = {
                each.name for each in nodes if node.name in chosen_by(each)
            }
            assert attended_by(node) == chosen_by(node) | choosers


def chosen_by(node):
    return {each.instance for each in node.membership._table if each.chosen}


def attended_by(node):
    return {each.instance for each in node.membership._table if each.attended}


@pytest.mark.anyio
async def test_table_is_bounded():
    async with open_pair() as (site, entry, agent):
        rows = [
            fake_network.Node(
                network=site.network, name=f'n{number}', port=1000 + number
            ).row()
            for number in range(200)
        ]
        entry.membership.seed([agent.row(), *rows])
        assert len(entry.membership.all_peers()) == 64
        assert entry.usable(AGENT) == {'agent-1'}


@pytest.mark.anyio
async def test_watchers_agree_and_follow_a_death():
    async with open_site() as site:
        nodes = [site.start(f'entry-{number}') for number in range(5)]
        await anyio.sleep(0)
        site.seed(*nodes)
        await anyio.sleep(2)
        chosen = nodes[0].membership.watchers(2)
        assert {node.membership.watchers(2) for node in nodes} == {chosen}
        gone = next(node for node in nodes if node.name == chosen[0])
        site.kill(gone)
        await anyio.sleep(3)
        rest = [node for node in nodes if node is not gone]
        after = rest[0].membership.watchers(2)
        assert gone.name not in after
        assert {node.membership.watchers(2) for node in rest} == {after}
