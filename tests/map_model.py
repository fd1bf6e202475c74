"""A model of leaders and ranks that is explored in every order of events.

Ranks, the network and the order in which a leader does things are modelled;
what a leader decides comes from the product's own functions.  An order is
carried out and answered, or carried out without an answer, or left without an
answer and carried out at any later moment.  A leader that is frozen or killed
is one that is not chosen to go on.

Small systems are explored whole.  Larger ones, with reports that lag, groups
that form anew and entries of ranks that lapse, are walked through at random.
"""

import dataclasses
import gc
import random as random_module
from typing import NamedTuple

from marigoldramp import expert_maps
from marigoldramp import map_decisions
from marigoldramp import map_decisions_unfenced
from marigoldramp import map_orders

#: Versions are numbered by ten for each fence.
A_FENCE = 10


class Rank(NamedTuple):
    """One rank.

    :ivar ready: the prepared map is copied.
    :ivar armed: version and step.
    :ivar fence: the highest that it has obeyed, where it checks fences.
    :ivar epoch: grows whenever the group forms anew.
    """

    version: int = 0
    highest: int = 0
    prepared: int = 0
    ready: bool = False
    armed: tuple[int, int] | None = None
    held: int = 0
    fence: int = 0
    epoch: int = 0


class Order(NamedTuple):
    """One order; ``step`` and ``version`` where it has them."""

    kind: str
    version: int = 0
    step: int = 0


class Late(NamedTuple):
    """An order without an answer that may yet be carried out."""

    leader: int
    rank: int
    order: Order
    epoch: int = 0


class Leader(NamedTuple):
    """What a leader is about.

    :ivar view: state of each rank as it was seen, ``None`` before.
    :ivar todo: orders to give, each with its rank, in any order.
    :ivar then: what follows when all are answered.
    :ivar names: maps that it has named.
    :ivar inspected: it has taken all ranks over, where they check fences.
    :ivar dropped: for each rank the last prepared map that it gave up.
    :ivar released: for each rank the last step whose hold it ended.
    :ivar epochs: of each rank, as it was last seen.
    :ivar since: for each rank, how many of its past states our last look or
        order has outdated; used where reports lag.
    """

    view: tuple[Rank | None, ...]
    todo: tuple[tuple[int, Order], ...] = ()
    then: tuple[str, ...] = ('look',)
    names: int = 0
    changes: int = 0
    inspected: bool = False
    dropped: tuple[int, ...] = ()
    ended: bool = False
    released: tuple[int, ...] = ()
    epochs: tuple[int, ...] = ()
    since: tuple[int, ...] = ()


class State(NamedTuple):
    """The whole system.

    :ivar losses: how many more orders may be left without an answer.
    :ivar unlisted: ranks whose entries have lapsed.
    :ivar lapses: how many more entries may lapse.
    :ivar forms: how many more times the group may form anew.
    :ivar past: the states that each rank had, with the present one; kept
        where reports lag.
    """

    step: int
    ranks: tuple[Rank, ...]
    leaders: tuple[Leader, ...]
    late: frozenset[Late]
    losses: int
    unlisted: frozenset[int] = frozenset()
    lapses: int = 0
    forms: int = 0
    past: tuple[tuple[Rank, ...], ...] = ()


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Rules:
    """What is explored, and which of the guards are left out.

    :ivar fenced: ranks check fences.
    :ivar timed: a rank is held after the time of the loads, whether all have
        loaded or not.
    :ivar lapses: how often the entry of a rank may lapse.
    :ivar forms: how often the group may form anew.
    :ivar one_rank: leaders hold one rank, and every other step of it each.
    :ivar lags: a report shows any state since the leader's last order.
    :ivar without: the guard that is left out, see the tests.
    """

    fenced: bool
    ranks: int = 2
    leaders: int = 2
    changes: int = 1
    most_step: int = 4
    losses: int = 1
    timed: bool = False
    lapses: int = 0
    forms: int = 0
    lags: bool = False
    one_rank: bool = False
    without: str = ''

    def start(self) -> State:
        none = (0,) * self.ranks
        leader = Leader(
            view=(None,) * self.ranks,
            dropped=none,
            released=none,
            epochs=none,
            since=none,
        )
        return State(
            lapses=self.lapses,
            forms=self.forms,
            past=((Rank(),),) * self.ranks if self.lags else (),
            step=0,
            ranks=(Rank(),) * self.ranks,
            leaders=(leader,) * self.leaders,
            late=frozenset(),
            losses=self.losses,
        )

    def fence(self, leader):
        """Return the fence of a leader.

        A store that has gone back to a copy gives the same one out again.
        """
        return 1 if self.without == 'eras' else leader + 1

    # Ranks

    def obey(self, state, leader, number, order, epoch):
        """Return the rank after an order, ``None`` if it is refused."""
        rank = state.ranks[number]
        if self.fenced and rank.fence > self.fence(leader):
            return None
        if rank.epoch != epoch:
            return None
        found = self._obey(state, rank, order)
        if found is None or not self.fenced:
            return found
        return found._replace(fence=self.fence(leader))

    def _obey(self, state, rank, order):
        version, step = order.version, order.step
        match order.kind:
            case 'prepare' | 'seal':
                if rank.highest == version:
                    return rank
                if rank.highest > version and self.without != 'older':
                    return None
                if rank.armed and self.without != 'unarmed':
                    return None
                return rank._replace(
                    highest=version,
                    prepared=version,
                    ready=order.kind == 'seal',
                )
            case 'arm':
                if rank.armed == (version, step):
                    return rank
                if rank.prepared != version or not rank.ready:
                    return None
                if step <= state.step:
                    return None
                return rank._replace(armed=(version, step))
            case 'disarm':
                if rank.version == version:
                    return None
                if rank.armed and rank.armed[0] == version:
                    return rank._replace(armed=None)
                return rank
            case 'hold':
                if rank.held == step:
                    return rank
                if rank.held or step <= state.step:
                    return None
                return rank._replace(held=step)
            case 'release':
                if rank.held == step:
                    return rank._replace(held=0)
                return rank
        return rank

    def begin_pass(self, state):
        """Return the state after the next pass began, ``None`` if held."""
        step = state.step + 1
        if any(rank.held == step for rank in state.ranks):
            return None
        ranks = tuple(
            (
                rank._replace(
                    version=rank.armed[0], armed=None, prepared=0, ready=False
                )
                if rank.armed and rank.armed[1] == step
                else rank
            )
            for rank in state.ranks
        )
        return self._note(state._replace(step=step, ranks=ranks))

    def form_anew(self, state, crashed):
        """Return the state after the group has formed anew.

        The rank that crashed has forgotten which versions it had.
        """
        ranks = tuple(
            Rank(
                highest=0 if number == crashed else rank.highest,
                fence=0 if number == crashed else rank.fence,
                epoch=rank.epoch + 1,
            )
            for number, rank in enumerate(state.ranks)
        )
        return self._note(state._replace(ranks=ranks, forms=state.forms - 1))

    def _note(self, state):
        """Add the present states of the ranks to their past ones."""
        if not self.lags:
            return state
        past = tuple(
            rows if rows[-1] == rank else (*rows, rank)
            for rows, rank in zip(state.past, state.ranks)
        )
        return state._replace(past=past)

    # Everything that can happen next

    def follow(self, state):
        """Yield the states that can follow."""
        yield from self.happen(state)
        for number in range(self.leaders):
            yield from self.go_on(state, number)

    def happen(self, state):
        """Yield the states that follow without a leader's doing."""
        if state.step < self.most_step:
            found = self.begin_pass(state)
            if found is not None:
                yield found
        for number, rank in enumerate(state.ranks):
            if rank.prepared and not rank.ready:
                ready = rank._replace(ready=True)
                yield self._note(_put(state, number, ready))
        yield from self._list_anew(state)
        for late in state.late:
            rest = state._replace(late=state.late - {late})
            found = self.obey(
                state, late.leader, late.rank, late.order, late.epoch
            )
            yield (
                rest
                if found is None
                else self._put_obeyed(rest, late.leader, late.rank, found)
            )

    def go_on(self, state, number):
        """Yield the states that follow when a leader goes on."""
        leader = state.leaders[number]
        if not leader.ended:
            yield from self._go_on(state, number, leader)

    def _list_anew(self, state):
        """Yield the states after an entry has lapsed or come back."""
        for number in range(self.ranks):
            if number in state.unlisted:
                unlisted = state.unlisted - {number}
                yield state._replace(unlisted=unlisted)
            elif state.lapses:
                yield state._replace(
                    unlisted=state.unlisted | {number},
                    lapses=state.lapses - 1,
                )
            if state.forms:
                yield self.form_anew(state, number)

    def _put_obeyed(self, state, leader, number, rank):
        """Put a rank; where fences count, older copies are dead now."""
        state = self._note(_put(state, number, rank))
        if not self.fenced or self.without == 'tokens':
            return state
        late = frozenset(
            one
            for one in state.late
            if one.rank != number or self._outlives(one.leader, leader)
        )
        return state._replace(late=late)

    def _outlives(self, late, leader):
        """Whether a leader's order that is late has a higher token.

        Leaders of one fence number their orders alike, so that any may have.
        """
        if late == leader:
            return False
        return self.fence(late) >= self.fence(leader)

    def _go_on(self, state, number, leader):
        if leader.todo:
            for place, (rank, order) in enumerate(leader.todo):
                yield from self._send(state, number, leader, place)
            return
        if leader.then[0] == 'look' and not self._is_seen(leader):
            if self.fenced and not leader.inspected:
                yield self._order(
                    state,
                    number,
                    leader._replace(inspected=True),
                    [(one, Order('none')) for one in range(self.ranks)],
                    ('look',),
                )
                return
            if state.unlisted:
                return
            for rank, seen in enumerate(leader.view):
                if seen is None:
                    yield from self._view(state, number, leader, rank)
            return
        yield self._act(state, number, leader)

    def _view(self, state, number, leader, rank):
        """Yield what follows when a leader looks at one rank."""
        past = (state.ranks[rank],)
        if self.lags:
            past = state.past[rank][leader.since[rank] :]
        for place, seen in enumerate(reversed(past)):
            if seen.epoch != leader.epochs[rank]:
                epochs = _set(leader.epochs, rank, seen.epoch)
                released = _set(leader.released, rank, 0)
                # A rank that has started anew knows no fence.
                known = leader._replace(
                    epochs=epochs, released=released, inspected=False
                )
                yield self._look(state, number, known)
                continue
            since = leader.since
            if self.lags:
                # What a report has shown, no later one takes back.
                shown = len(state.past[rank]) - 1 - place
                since = _set(since, rank, max(since[rank], shown))
            view = _set(leader.view, rank, seen)
            yield _lead(state, number, leader._replace(view=view, since=since))

    def _note_release(self, leader, rank, order):
        """Return a leader that sends an order, which may end a hold."""
        if self.fenced or order.kind != 'release':
            return leader
        step = max(leader.released[rank], order.step)
        return leader._replace(released=_set(leader.released, rank, step))

    def _outdate(self, state, leader, rank):
        """Return a leader whose order to a rank has been answered."""
        if not self.lags:
            return leader
        present = len(state.past[rank]) - 1
        return leader._replace(since=_set(leader.since, rank, present))

    def _is_seen(self, leader):
        return all(one is not None for one in leader.view)

    def _send(self, state, number, leader, place):
        rank, order = leader.todo[place]
        rest = leader.todo[:place] + leader.todo[place + 1 :]
        leader = self._note_release(leader, rank, order)
        state = _lead(state, number, leader)
        epoch = leader.epochs[rank]
        found = self.obey(state, number, rank, order, epoch)
        if found is None:
            leader = self._outdate(state, leader, rank)
            yield self._refused(state, number, leader, rank, order)
        else:
            done = self._put_obeyed(state, number, rank, found)
            leader = self._outdate(done, leader, rank)
            yield _lead(done, number, leader._replace(todo=rest))
        if not state.losses:
            return
        lost = state._replace(losses=state.losses - 1)
        if found is not None:
            yield self._put_obeyed(lost, number, rank, found)
        copy = Late(leader=number, rank=rank, order=order, epoch=epoch)
        yield lost._replace(late=state.late | {copy})

    def _refused(self, state, number, leader, rank, order):
        if self.fenced and state.ranks[rank].fence > self.fence(number):
            return _lead(state, number, leader._replace(ended=True, todo=()))
        if order.kind == 'none':
            leader = leader._replace(inspected=False)
        if leader.then == ('complete',) and order.kind == 'arm':
            return self._seal(state, number, leader, [rank], ('look',))
        return self._look(state, number, leader)

    def _look(self, state, number, leader):
        return _lead(
            state,
            number,
            leader._replace(
                todo=(), then=('look',), view=(None,) * self.ranks
            ),
        )

    def _order(self, state, number, leader, todo, then):
        return _lead(
            state,
            number,
            leader._replace(
                todo=tuple(todo), then=then, view=(None,) * self.ranks
            ),
        )

    def _name(self, number, leader):
        return self.fence(number) * A_FENCE + leader.names + 1

    def _is_told(self, state, rank):
        """Whether an order to all goes to a rank."""
        return self.without != 'members' or rank not in state.unlisted

    def _seal(self, state, number, leader, ranks, then):
        version = self._name(number, leader)
        if leader.names + 2 >= A_FENCE:
            return _lead(state, number, leader._replace(ended=True))
        return self._order(
            state,
            number,
            leader._replace(names=leader.names + 1),
            [
                (rank, Order('seal', version))
                for rank in ranks
                if self._is_told(state, rank)
            ],
            then,
        )

    def _act(self, state, number, leader):
        match leader.then:
            case ('look',):
                return self._decide(state, number, leader)
            case ('hold', version):
                if not self._is_seen(leader):
                    return self._see(state, number, leader)
                return self._hold(state, number, leader, version)
            case ('held', version, step):
                return self._order(
                    state,
                    number,
                    leader,
                    [
                        (rank, Order('arm', version, step + 1))
                        for rank in range(self.ranks)
                        if self._is_told(state, rank)
                    ],
                    ('armed', step),
                )
            case ('armed', step):
                rank = self._choose_held(number)
                return self._order(
                    state,
                    number,
                    leader,
                    [(rank, Order('release', 0, step))],
                    ('look',),
                )
            case ('sealed', holders):
                return self._release(state, number, leader, holders)
        return self._look(state, number, leader)

    def _see(self, state, number, leader):
        """Look at all ranks at once, after an order has been answered."""
        view = state.ranks
        if any(
            rank.epoch != epoch for rank, epoch in zip(view, leader.epochs)
        ):
            return self._look(state, number, leader)
        return _lead(state, number, leader._replace(view=view))

    def _choose_held(self, number):
        if self.fenced or self.one_rank or self.without == 'other rank':
            return 0
        return (number + 1) % self.ranks

    def _hold(self, state, number, leader, version):
        view = leader.view
        rank = self._choose_held(number)
        if self.timed:
            # The one rank that is looked at is the one that is to be held.
            view = (view[rank],)
        else:
            view = tuple(
                one
                for place, one in enumerate(view)
                if self._is_told(state, place)
            )
        if self.timed:
            pass
        elif any(one.prepared != version for one in view):
            return self._look(state, number, leader)
        elif not all(one.ready for one in view):
            return _lead(
                state, number, leader._replace(view=(None,) * self.ranks)
            )
        if self.without != 'no other hold' and any(one.held for one in view):
            return self._look(state, number, leader)
        step = state.step + 1
        if self.without != 'hold anew':
            step = max(step, leader.released[rank] + 1)
        if self.one_rank and step % 2 != number % 2:
            step += 1
        return self._order(
            state,
            number,
            leader,
            [(rank, Order('hold', 0, step))],
            ('held', version, step),
        )

    def _release(self, state, number, leader, holders):
        return self._order(
            state,
            number,
            leader,
            [(rank, Order('release', 0, step)) for rank, step in holders],
            ('look',),
        )

    def _decide(self, state, number, leader):
        view = leader.view
        if not self.fenced and any(
            max(one.version, one.prepared, (one.armed or (0,))[0])
            >= (self.fence(number) + 1) * A_FENCE
            for one in view
        ):
            return _lead(state, number, leader._replace(ended=True))
        states = [
            _read(rank, one, state.step, leader.dropped[rank])
            for rank, one in enumerate(view)
        ]
        decide = (
            map_decisions.decide
            if self.fenced
            else map_decisions_unfenced.decide
        )
        found = decide(states=states, ranks=self.ranks)
        holders = tuple(
            (rank, one.held) for rank, one in enumerate(view) if one.held
        )
        match found:
            case map_decisions.Settled() if leader.changes < self.changes:
                return self._prepare(state, number, leader)
            case map_decisions.Undo():
                return self._undo(state, number, leader)
            case map_decisions.Release(unarmed=True) if self.without != 'void':
                return self._order(
                    state,
                    number,
                    leader,
                    # A leader disarms what its own orders may have armed.
                    [
                        (rank, Order('disarm', self._name(number, leader) - 1))
                        for rank in range(self.ranks)
                    ],
                    ('sealed', holders),
                )
            case map_decisions.Release():
                return self._release(state, number, leader, holders)
            case map_decisions_unfenced.Complete() if (
                self.without == 'complete'
            ):
                return self._disarm(state, number, leader, found.version)
            case map_decisions_unfenced.Complete():
                version, step = _number(found.version), found.from_step
                return self._order(
                    state,
                    number,
                    leader,
                    [
                        (one, Order('arm', version, step))
                        for one in found.ranks
                    ],
                    ('complete',),
                )
            case map_decisions_unfenced.Abandon():
                return self._disarm(state, number, leader, found.version)
            case map_decisions_unfenced.Seal() if self.without == 'seal':
                return self._release(state, number, leader, holders)
            case map_decisions_unfenced.Seal():
                return self._seal(
                    state,
                    number,
                    leader,
                    range(self.ranks),
                    ('sealed', holders),
                )
        return self._look(state, number, leader)

    def _disarm(self, state, number, leader, named):
        version = _number(named)
        return self._order(
            state,
            number,
            leader,
            [
                (rank, Order('disarm', version))
                for rank, one in enumerate(leader.view)
                if one.armed and one.armed[0] == version
            ],
            ('look',),
        )

    def _prepare(self, state, number, leader):
        version = self._name(number, leader)
        return self._order(
            state,
            number,
            leader._replace(
                names=leader.names + 1, changes=leader.changes + 1
            ),
            [
                (rank, Order('prepare', version))
                for rank in range(self.ranks)
                if self._is_told(state, rank)
            ],
            ('hold', version),
        )

    def _undo(self, state, number, leader):
        dropped = tuple(
            max(old, one.prepared)
            for old, one in zip(leader.dropped, leader.view)
        )
        return self._order(
            state,
            number,
            leader._replace(dropped=dropped),
            [
                (
                    rank,
                    (
                        Order('disarm', one.armed[0])
                        if one.armed
                        else Order('none')
                    ),
                )
                for rank, one in enumerate(leader.view)
            ],
            ('look',),
        )


def _set(row, place, value):
    return row[:place] + (value,) + row[place + 1 :]


def _put(state, number, rank):
    return state._replace(ranks=_set(state.ranks, number, rank))


def _lead(state, number, leader):
    return state._replace(leaders=_set(state.leaders, number, leader))


def _name(number):
    return expert_maps.Version(
        fence=number // A_FENCE, number=number % A_FENCE
    )


def _number(version):
    return version.fence * A_FENCE + version.number


def _read(number, rank, entered, dropped):
    """Return a rank's state in the product's terms."""
    following = None if rank.armed is None else _name(rank.armed[0])
    loaded = [_name(rank.version)]
    if rank.prepared > dropped and rank.ready:
        loaded.append(_name(rank.prepared))
    return map_orders.RankState(
        rank=number,
        entered=entered,
        schedule=expert_maps.Schedule(
            in_force=_name(rank.version),
            following=following,
            from_step=0 if rank.armed is None else rank.armed[1],
        ),
        loaded=tuple(loaded),
        hold_before=rank.held or None,
    )


#: Parts of the moves of a walk that are a leader's, and of these the ones at
#: which another leader takes over.
LEADING = 0.75
SUCCEEDING = 0.08


def walk(rules: Rules, *, seed: int, moves: int = 120) -> State:
    """Return where a random walk ends: at mixed maps, or after its moves."""
    random = random_module.Random(seed)
    state = rules.start()
    leader = 0
    for _ in range(moves):
        if random.random() < SUCCEEDING:
            leader = random.randrange(rules.leaders)
        following = []
        if random.random() < LEADING:
            following = list(rules.go_on(state, leader))
        following = following or list(rules.follow(state))
        if not following:
            break
        state = random.choice(following)
        if mixes(state):
            break
    return state


def mixes(state: State) -> bool:
    """Whether ranks of a group use different maps."""
    return len({rank.version for rank in state.ranks}) > 1


@dataclasses.dataclass(slots=True, kw_only=True)
class Found:
    """What an exploration has found.

    :ivar seen: how many states there are.
    :ivar mixed: a history that ends in a pass with two maps, if any.
    :ivar stuck: states from which the group cannot go on.
    """

    seen: int
    mixed: list[State]
    stuck: int


def explore(rules: Rules) -> Found:
    """Visit every state that can be reached."""
    # States are kept to the end, so each collection looks at all in vain.
    gc.disable()
    try:
        return _explore(rules)
    finally:
        gc.enable()


def _explore(rules: Rules) -> Found:
    start = rules.start()
    numbers = {start: 0}
    states = [start]
    before = [-1]
    edges: list[list[int]] = [[]]
    ends = []
    place = 0
    while place < len(states):
        state = states[place]
        if mixes(state):
            return Found(
                seen=len(states),
                mixed=_tell(states, before, place),
                stuck=0,
            )
        if state.step == rules.most_step:
            ends.append(place)
            place += 1
            continue
        for found in rules.follow(state):
            number = numbers.get(found)
            if number is None:
                number = numbers[found] = len(states)
                states.append(found)
                before.append(place)
                edges.append([])
            edges[number].append(place)
        place += 1
    return Found(
        seen=len(states),
        mixed=[],
        stuck=len(states) - _count_leading(edges, ends),
    )


def _tell(states, before, place):
    history = []
    while place >= 0:
        history.append(states[place])
        place = before[place]
    return history[::-1]


def _count_leading(edges, ends):
    """Count the states from which one of the ends can be reached."""
    reached = set(ends)
    waiting = list(ends)
    while waiting:
        for one in edges[waiting.pop()]:
            if one not in reached:
                reached.add(one)
                waiting.append(one)
    return len(reached)
