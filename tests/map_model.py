"""Model checker for the protocol that changes the expert map of a group.

Ranks, the network and the sequence of a leader's actions are modelled; the
decisions of a leader come from the product's own functions.  An order is
carried out and answered, or carried out without an answer, or left without an
answer and carried out at any later moment.  A leader that is frozen or killed
is modelled as one that is not scheduled any more.

Small systems are explored exhaustively.  Larger ones, with lagging reports,
groups that restart and ranks whose listing lapses, are explored by random
walks.
"""

import dataclasses
import gc
import random as random_module
from typing import NamedTuple

from marigoldramp import expert_maps
from marigoldramp import map_decisions
from marigoldramp import map_decisions_unfenced
from marigoldramp import map_orders

#: Versions are integers: the fence times ten, plus the number of the map.
VERSIONS_PER_FENCE = 10


class Rank(NamedTuple):
    """The state of one rank.

    :ivar version: the map in force.
    :ivar highest: the highest version that it was told to prepare.
    :ivar prepared: the map that it copies or has copied, 0 for none.
    :ivar ready: the prepared map is copied.
    :ivar armed: version and step of the armed map.
    :ivar held: the step that it does not enter, 0 for none.
    :ivar fence: the highest that it has obeyed, where it checks fences.
    :ivar epoch: grows whenever the group restarts.
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
    """One order; ``step`` and ``version`` are 0 where it has none."""

    kind: str
    version: int = 0
    step: int = 0


class DelayedOrder(NamedTuple):
    """An unanswered order that may still be carried out."""

    leader: int
    rank: int
    order: Order
    epoch: int = 0


class Leader(NamedTuple):
    """The state of one leader.

    :ivar view: the state of each rank as it was inspected, ``None`` before.
    :ivar pending_orders: orders to send, each with its rank, in any order.
    :ivar phase: what follows when all of them are answered.
    :ivar named_maps: how many maps it has named.
    :ivar changes: how many changes it has started.
    :ivar inspected: all ranks have adopted its fence, where they check them.
    :ivar dropped: for each rank the last prepared map that it has undone.
    :ivar ended: it has been deposed or has run out of versions.
    :ivar released: for each rank the last step whose hold it ended.
    :ivar epochs: the epoch of each rank at its last inspection.
    :ivar seen_from: for each rank, how many of its past states the last
        inspection or order has outdated; used where reports lag.
    """

    view: tuple[Rank | None, ...]
    pending_orders: tuple[tuple[int, Order], ...] = ()
    phase: tuple[str, ...] = ('inspect',)
    named_maps: int = 0
    changes: int = 0
    inspected: bool = False
    dropped: tuple[int, ...] = ()
    ended: bool = False
    released: tuple[int, ...] = ()
    epochs: tuple[int, ...] = ()
    seen_from: tuple[int, ...] = ()


class State(NamedTuple):
    """The state of the whole system.

    :ivar step: the last step that the group has entered.
    :ivar late: unanswered orders that may still be carried out.
    :ivar losses: how many more orders may be left without an answer.
    :ivar unlisted: ranks whose listing has lapsed.
    :ivar lapses: how many more listings may lapse.
    :ivar reforms: how many more times the group may restart.
    :ivar past: all states that each rank has had, the present one last;
        kept where reports lag.
    """

    step: int
    ranks: tuple[Rank, ...]
    leaders: tuple[Leader, ...]
    late: frozenset[DelayedOrder]
    losses: int
    unlisted: frozenset[int] = frozenset()
    lapses: int = 0
    reforms: int = 0
    past: tuple[tuple[Rank, ...], ...] = ()


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Rules:
    """The transition rules and limits of a model.

    :ivar fenced: ranks check fences.
    :ivar changes: how many changes each leader starts.
    :ivar max_step: the last step that the group enters.
    :ivar losses: how many orders may be left without an answer.
    :ivar timed: a rank is held once the time of the loads has passed, even if
        some ranks are still loading.
    :ivar lapses: how often the listing of a rank may lapse.
    :ivar reforms: how often the group may restart.
    :ivar hold_one_rank: all leaders hold the same rank, and alternate between
        odd and even steps.
    :ivar reports_lag: a report shows any state since the leader's last order.
    :ivar disabled_guard: the protection that is left out; the ids of the
        tests say which failure that allows.
    """

    fenced: bool
    ranks: int = 2
    leaders: int = 2
    changes: int = 1
    max_step: int = 4
    losses: int = 1
    timed: bool = False
    lapses: int = 0
    reforms: int = 0
    reports_lag: bool = False
    hold_one_rank: bool = False
    disabled_guard: str = ''

    def start(self) -> State:
        none = (0,) * self.ranks
        leader = Leader(
            view=(None,) * self.ranks,
            dropped=none,
            released=none,
            epochs=none,
            seen_from=none,
        )
        return State(
            lapses=self.lapses,
            reforms=self.reforms,
            past=((Rank(),),) * self.ranks if self.reports_lag else (),
            step=0,
            ranks=(Rank(),) * self.ranks,
            leaders=(leader,) * self.leaders,
            late=frozenset(),
            losses=self.losses,
        )

    def fence(self, leader):
        """Return the fence of a leader.

        Without the guard ``eras`` a restored store issues the same one again.
        """
        return 1 if self.disabled_guard == 'eras' else leader + 1

    # Ranks

    def obey(self, state, leader, number, order, epoch):
        """Return the rank after an order, ``None`` if it refuses."""
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
                if rank.highest > version and self.disabled_guard != 'older':
                    return None
                if rank.armed and self.disabled_guard != 'unarmed':
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

    def begin_step(self, state):
        """Return the state after the next step, ``None`` if it is held."""
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
        return self._record_past(state._replace(step=step, ranks=ranks))

    def reform_group(self, state, crashed):
        """Return the state after the group has restarted.

        The rank that crashed has forgotten its versions and its fence.
        """
        ranks = tuple(
            Rank(
                highest=0 if number == crashed else rank.highest,
                fence=0 if number == crashed else rank.fence,
                epoch=rank.epoch + 1,
            )
            for number, rank in enumerate(state.ranks)
        )
        return self._record_past(
            state._replace(ranks=ranks, reforms=state.reforms - 1)
        )

    def _record_past(self, state):
        """Append the present states of the ranks to their past ones."""
        if not self.reports_lag:
            return state
        past = tuple(
            rows if rows[-1] == rank else (*rows, rank)
            for rows, rank in zip(state.past, state.ranks)
        )
        return state._replace(past=past)

    # Transitions

    def successors(self, state):
        """Yield every state that can follow."""
        yield from self.environment_successors(state)
        for number in range(self.leaders):
            yield from self.leader_successors(state, number)

    def environment_successors(self, state):
        """Yield the states that follow without an action of a leader."""
        if state.step < self.max_step:
            found = self.begin_step(state)
            if found is not None:
                yield found
        for number, rank in enumerate(state.ranks):
            if rank.prepared and not rank.ready:
                ready = rank._replace(ready=True)
                yield self._record_past(_replace_rank(state, number, ready))
        yield from self._listing_successors(state)
        for late in state.late:
            rest = state._replace(late=state.late - {late})
            found = self.obey(
                state, late.leader, late.rank, late.order, late.epoch
            )
            yield (
                rest
                if found is None
                else self._apply_order(rest, late.leader, late.rank, found)
            )

    def leader_successors(self, state, number):
        """Yield the states that follow the next action of a leader."""
        leader = state.leaders[number]
        if not leader.ended:
            yield from self._leader_successors(state, number, leader)

    def _listing_successors(self, state):
        """Yield the states after a listing changes or the group restarts."""
        for number in range(self.ranks):
            if number in state.unlisted:
                unlisted = state.unlisted - {number}
                yield state._replace(unlisted=unlisted)
            elif state.lapses:
                yield state._replace(
                    unlisted=state.unlisted | {number},
                    lapses=state.lapses - 1,
                )
            if state.reforms:
                yield self.reform_group(state, number)

    def _apply_order(self, state, leader, number, rank):
        """Replace a rank that obeyed an order.

        Where ranks check fences, older copies of orders are now ineffective.
        """
        state = self._record_past(_replace_rank(state, number, rank))
        if not self.fenced or self.disabled_guard == 'tokens':
            return state
        late = frozenset(
            one
            for one in state.late
            if one.rank != number or self._outranks(one.leader, leader)
        )
        return state._replace(late=late)

    def _outranks(self, late, leader):
        """Return whether a late order may have a higher token.

        Leaders with the same fence number their orders independently, so a
        late order of either may have the higher number.
        """
        if late == leader:
            return False
        return self.fence(late) >= self.fence(leader)

    def _leader_successors(self, state, number, leader):
        if leader.pending_orders:
            for place, (rank, order) in enumerate(leader.pending_orders):
                yield from self._send(state, number, leader, place)
            return
        if leader.phase[0] == 'inspect' and not self._is_inspected(leader):
            if self.fenced and not leader.inspected:
                yield self._start_orders(
                    state,
                    number,
                    leader._replace(inspected=True),
                    [(one, Order('none')) for one in range(self.ranks)],
                    ('inspect',),
                )
                return
            if state.unlisted:
                return
            for rank, seen in enumerate(leader.view):
                if seen is None:
                    yield from self._inspect_rank(state, number, leader, rank)
            return
        yield self._act(state, number, leader)

    def _inspect_rank(self, state, number, leader, rank):
        """Yield the states after a leader has inspected one rank."""
        past = (state.ranks[rank],)
        if self.reports_lag:
            past = state.past[rank][leader.seen_from[rank] :]
        for place, seen in enumerate(reversed(past)):
            if seen.epoch != leader.epochs[rank]:
                epochs = _replace_at(leader.epochs, rank, seen.epoch)
                released = _replace_at(leader.released, rank, 0)
                # A restarted rank knows no fence.
                known = leader._replace(
                    epochs=epochs, released=released, inspected=False
                )
                yield self._restart_inspection(state, number, known)
                continue
            seen_from = leader.seen_from
            if self.reports_lag:
                # Later reports show no state before this one.
                shown = len(state.past[rank]) - 1 - place
                seen_from = _replace_at(
                    seen_from, rank, max(seen_from[rank], shown)
                )
            view = _replace_at(leader.view, rank, seen)
            yield _replace_leader(
                state, number, leader._replace(view=view, seen_from=seen_from)
            )

    def _note_release(self, leader, rank, order):
        """Return a leader after sending an order that may end a hold."""
        if self.fenced or order.kind != 'release':
            return leader
        step = max(leader.released[rank], order.step)
        return leader._replace(
            released=_replace_at(leader.released, rank, step)
        )

    def _mark_outdated(self, state, leader, rank):
        """Return a leader after a rank has answered its order."""
        if not self.reports_lag:
            return leader
        present = len(state.past[rank]) - 1
        return leader._replace(
            seen_from=_replace_at(leader.seen_from, rank, present)
        )

    def _is_inspected(self, leader):
        return all(one is not None for one in leader.view)

    def _send(self, state, number, leader, place):
        rank, order = leader.pending_orders[place]
        rest = (
            leader.pending_orders[:place] + leader.pending_orders[place + 1 :]
        )
        leader = self._note_release(leader, rank, order)
        state = _replace_leader(state, number, leader)
        epoch = leader.epochs[rank]
        found = self.obey(state, number, rank, order, epoch)
        if found is None:
            leader = self._mark_outdated(state, leader, rank)
            yield self._handle_refusal(state, number, leader, rank, order)
        else:
            done = self._apply_order(state, number, rank, found)
            leader = self._mark_outdated(done, leader, rank)
            yield _replace_leader(
                done, number, leader._replace(pending_orders=rest)
            )
        if not state.losses:
            return
        lost = state._replace(losses=state.losses - 1)
        if found is not None:
            yield self._apply_order(lost, number, rank, found)
        copy = DelayedOrder(leader=number, rank=rank, order=order, epoch=epoch)
        yield lost._replace(late=state.late | {copy})

    def _handle_refusal(self, state, number, leader, rank, order):
        if self.fenced and state.ranks[rank].fence > self.fence(number):
            return _replace_leader(
                state, number, leader._replace(ended=True, pending_orders=())
            )
        if order.kind == 'none':
            leader = leader._replace(inspected=False)
        if leader.phase == ('complete',) and order.kind == 'arm':
            return self._seal(state, number, leader, [rank], ('inspect',))
        return self._restart_inspection(state, number, leader)

    def _restart_inspection(self, state, number, leader):
        return _replace_leader(
            state,
            number,
            leader._replace(
                pending_orders=(),
                phase=('inspect',),
                view=(None,) * self.ranks,
            ),
        )

    def _start_orders(self, state, number, leader, pending_orders, phase):
        return _replace_leader(
            state,
            number,
            leader._replace(
                pending_orders=tuple(pending_orders),
                phase=phase,
                view=(None,) * self.ranks,
            ),
        )

    def _next_version(self, number, leader):
        return self.fence(number) * VERSIONS_PER_FENCE + leader.named_maps + 1

    def _receives_orders(self, state, rank):
        """Return whether an order to all ranks goes to a given rank."""
        return self.disabled_guard != 'members' or rank not in state.unlisted

    def _seal(self, state, number, leader, ranks, phase):
        version = self._next_version(number, leader)
        if leader.named_maps + 2 >= VERSIONS_PER_FENCE:
            return _replace_leader(state, number, leader._replace(ended=True))
        return self._start_orders(
            state,
            number,
            leader._replace(named_maps=leader.named_maps + 1),
            [
                (rank, Order('seal', version))
                for rank in ranks
                if self._receives_orders(state, rank)
            ],
            phase,
        )

    def _act(self, state, number, leader):
        match leader.phase:
            case ('inspect',):
                return self._decide(state, number, leader)
            case ('hold', version):
                if not self._is_inspected(leader):
                    return self._inspect_all(state, number, leader)
                return self._hold(state, number, leader, version)
            case ('held', version, step):
                return self._start_orders(
                    state,
                    number,
                    leader,
                    [
                        (rank, Order('arm', version, step + 1))
                        for rank in range(self.ranks)
                        if self._receives_orders(state, rank)
                    ],
                    ('armed', step),
                )
            case ('armed', step):
                rank = self._choose_held(number)
                return self._start_orders(
                    state,
                    number,
                    leader,
                    [(rank, Order('release', 0, step))],
                    ('inspect',),
                )
            case ('sealed', holders):
                return self._release(state, number, leader, holders)
        return self._restart_inspection(state, number, leader)

    def _inspect_all(self, state, number, leader):
        """Inspect all ranks in one action, after an order was answered."""
        view = state.ranks
        if any(
            rank.epoch != epoch for rank, epoch in zip(view, leader.epochs)
        ):
            return self._restart_inspection(state, number, leader)
        return _replace_leader(state, number, leader._replace(view=view))

    def _choose_held(self, number):
        if (
            self.fenced
            or self.hold_one_rank
            or self.disabled_guard == 'other rank'
        ):
            return 0
        return (number + 1) % self.ranks

    def _hold(self, state, number, leader, version):
        view = leader.view
        rank = self._choose_held(number)
        if self.timed:
            # Only the rank that is to be held is inspected.
            view = (view[rank],)
        else:
            view = tuple(
                one
                for place, one in enumerate(view)
                if self._receives_orders(state, place)
            )
        if self.timed:
            pass
        elif any(one.prepared != version for one in view):
            return self._restart_inspection(state, number, leader)
        elif not all(one.ready for one in view):
            return _replace_leader(
                state, number, leader._replace(view=(None,) * self.ranks)
            )
        if self.disabled_guard != 'no other hold' and any(
            one.held for one in view
        ):
            return self._restart_inspection(state, number, leader)
        step = state.step + 1
        if self.disabled_guard != 'hold anew':
            step = max(step, leader.released[rank] + 1)
        if self.hold_one_rank and step % 2 != number % 2:
            step += 1
        return self._start_orders(
            state,
            number,
            leader,
            [(rank, Order('hold', 0, step))],
            ('held', version, step),
        )

    def _release(self, state, number, leader, holders):
        return self._start_orders(
            state,
            number,
            leader,
            [(rank, Order('release', 0, step)) for rank, step in holders],
            ('inspect',),
        )

    def _decide(self, state, number, leader):
        view = leader.view
        if not self.fenced and any(
            max(one.version, one.prepared, (one.armed or (0,))[0])
            >= (self.fence(number) + 1) * VERSIONS_PER_FENCE
            for one in view
        ):
            return _replace_leader(state, number, leader._replace(ended=True))
        states = [
            _make_rank_state(rank, one, state.step, leader.dropped[rank])
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
            case map_decisions.Release(unarmed=True) if (
                self.disabled_guard != 'void'
            ):
                return self._start_orders(
                    state,
                    number,
                    leader,
                    # A leader disarms what its own orders may have armed.
                    [
                        (
                            rank,
                            Order(
                                'disarm',
                                self._next_version(number, leader) - 1,
                            ),
                        )
                        for rank in range(self.ranks)
                    ],
                    ('sealed', holders),
                )
            case map_decisions.Release():
                return self._release(state, number, leader, holders)
            case map_decisions_unfenced.Complete() if (
                self.disabled_guard == 'complete'
            ):
                return self._disarm(state, number, leader, found.version)
            case map_decisions_unfenced.Complete():
                version, step = _encode_version(found.version), found.from_step
                return self._start_orders(
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
            case map_decisions_unfenced.Seal() if (
                self.disabled_guard == 'seal'
            ):
                return self._release(state, number, leader, holders)
            case map_decisions_unfenced.Seal():
                return self._seal(
                    state,
                    number,
                    leader,
                    range(self.ranks),
                    ('sealed', holders),
                )
        return self._restart_inspection(state, number, leader)

    def _disarm(self, state, number, leader, named):
        version = _encode_version(named)
        return self._start_orders(
            state,
            number,
            leader,
            [
                (rank, Order('disarm', version))
                for rank, one in enumerate(leader.view)
                if one.armed and one.armed[0] == version
            ],
            ('inspect',),
        )

    def _prepare(self, state, number, leader):
        version = self._next_version(number, leader)
        return self._start_orders(
            state,
            number,
            leader._replace(
                named_maps=leader.named_maps + 1, changes=leader.changes + 1
            ),
            [
                (rank, Order('prepare', version))
                for rank in range(self.ranks)
                if self._receives_orders(state, rank)
            ],
            ('hold', version),
        )

    def _undo(self, state, number, leader):
        dropped = tuple(
            max(old, one.prepared)
            for old, one in zip(leader.dropped, leader.view)
        )
        return self._start_orders(
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
            ('inspect',),
        )


def _replace_at(row, place, value):
    return row[:place] + (value,) + row[place + 1 :]


def _replace_rank(state, number, rank):
    return state._replace(ranks=_replace_at(state.ranks, number, rank))


def _replace_leader(state, number, leader):
    return state._replace(leaders=_replace_at(state.leaders, number, leader))


def _make_version(number):
    return expert_maps.Version(
        fence=number // VERSIONS_PER_FENCE, number=number % VERSIONS_PER_FENCE
    )


def _encode_version(version):
    return version.fence * VERSIONS_PER_FENCE + version.number


def _make_rank_state(number, rank, entered, dropped):
    """Return the product's representation of a rank's state."""
    following = None if rank.armed is None else _make_version(rank.armed[0])
    loaded = [_make_version(rank.version)]
    if rank.prepared > dropped and rank.ready:
        loaded.append(_make_version(rank.prepared))
    return map_orders.RankState(
        rank=number,
        entered=entered,
        schedule=expert_maps.Schedule(
            in_force=_make_version(rank.version),
            following=following,
            from_step=0 if rank.armed is None else rank.armed[1],
        ),
        loaded=tuple(loaded),
        hold_before=rank.held or None,
    )


#: Shares of the moves of a walk that are a leader's action, and at which
#: another leader takes over.
LEADER_SHARE = 0.75
TAKEOVER_SHARE = 0.08


def random_walk(rules: Rules, *, seed: int, moves: int = 120) -> State:
    """Return the last state of a random walk, which ends at mixed maps."""
    random = random_module.Random(seed)
    state = rules.start()
    leader = 0
    for _ in range(moves):
        if random.random() < TAKEOVER_SHARE:
            leader = random.randrange(rules.leaders)
        following = []
        if random.random() < LEADER_SHARE:
            following = list(rules.leader_successors(state, leader))
        following = following or list(rules.successors(state))
        if not following:
            break
        state = random.choice(following)
        if has_mixed_maps(state):
            break
    return state


def has_mixed_maps(state: State) -> bool:
    """Return whether ranks of a group use different maps."""
    return len({rank.version for rank in state.ranks}) > 1


@dataclasses.dataclass(slots=True, kw_only=True)
class Result:
    """The result of an exploration.

    :ivar states: how many states are reachable.
    :ivar mixed: a trace that ends in a step with two maps, if there is one.
    :ivar deadlocked: how many states cannot reach the last step.
    """

    states: int
    mixed: list[State]
    deadlocked: int


def explore(rules: Rules) -> Result:
    """Visit every reachable state."""
    # No state is freed before the end, so garbage collection is of no use.
    gc.disable()
    try:
        return _explore(rules)
    finally:
        gc.enable()


def _explore(rules: Rules) -> Result:
    start = rules.start()
    numbers = {start: 0}
    states = [start]
    before = [-1]
    edges: list[list[int]] = [[]]
    ends = []
    place = 0
    while place < len(states):
        state = states[place]
        if has_mixed_maps(state):
            return Result(
                states=len(states),
                mixed=_trace(states, before, place),
                deadlocked=0,
            )
        if state.step == rules.max_step:
            ends.append(place)
            place += 1
            continue
        for found in rules.successors(state):
            number = numbers.get(found)
            if number is None:
                number = numbers[found] = len(states)
                states.append(found)
                before.append(place)
                edges.append([])
            edges[number].append(place)
        place += 1
    return Result(
        states=len(states),
        mixed=[],
        deadlocked=len(states) - _count_reaching(edges, ends),
    )


def _trace(states, before, place):
    history = []
    while place >= 0:
        history.append(states[place])
        place = before[place]
    return history[::-1]


def _count_reaching(edges, ends):
    """Count the states that can reach one of the end states."""
    reached = set(ends)
    waiting = list(ends)
    while waiting:
        for one in edges[waiting.pop()]:
            if one not in reached:
                reached.add(one)
                waiting.append(one)
    return len(reached)
