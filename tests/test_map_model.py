"""Checks the protocol that changes expert maps by its model."""

import map_model
import pytest


@pytest.mark.parametrize(
    'rules',
    [
        pytest.param(
            map_model.Rules(fenced=False, losses=0), id='late by leaders only'
        ),
        pytest.param(
            map_model.Rules(fenced=False, max_step=2), id='an order is late'
        ),
        pytest.param(
            map_model.Rules(fenced=False, leaders=1, losses=3, changes=2),
            id='one leader, three orders are late',
        ),
        pytest.param(
            map_model.Rules(fenced=False, leaders=1, losses=2, timed=True),
            id='loads are timed, two orders are late',
        ),
        pytest.param(
            map_model.Rules(fenced=True, max_step=3), id='fenced, one late'
        ),
        pytest.param(
            map_model.Rules(fenced=False, losses=0, max_step=1, timed=True),
            id='loads are timed, late by leaders only',
        ),
        pytest.param(
            map_model.Rules(fenced=True, leaders=1, losses=2, timed=True),
            id='fenced, loads are timed, two orders are late',
        ),
        pytest.param(
            map_model.Rules(fenced=True, leaders=1, losses=3),
            id='fenced, one leader, three late',
        ),
        pytest.param(
            map_model.Rules(
                fenced=False, leaders=1, changes=2, max_step=2, timed=True
            ),
            id='two timed changes, an order is late',
        ),
        pytest.param(
            map_model.Rules(
                fenced=False, leaders=1, max_step=3, timed=True, lapses=1
            ),
            id='an entry lapses, an order is late',
        ),
        pytest.param(
            map_model.Rules(
                fenced=True, leaders=1, max_step=3, timed=True, lapses=1
            ),
            id='fenced, an entry lapses, an order is late',
        ),
    ],
)
def test_one_map_in_every_pass_and_no_state_is_final(rules):
    """Two ranks use different maps in one step, or the group deadlocks.

    Sequence: orders are carried out, lost or delayed in any order, while an
    older leader acts at any later moment.
    Cause: a decision assumes that a lost order cannot take effect any more.
    """
    found = map_model.explore(rules)
    print(f'{found.states} states')
    assert found.mixed == []
    assert found.deadlocked == 0


@pytest.mark.parametrize(
    'rules',
    [
        pytest.param(
            map_model.Rules(fenced=False, max_step=2, disabled_guard='seal'),
            id='a held step is released at once',
        ),
        pytest.param(
            map_model.Rules(
                fenced=False, max_step=3, disabled_guard='complete'
            ),
            id='an armed map is given up, not completed',
        ),
        pytest.param(
            map_model.Rules(
                fenced=False,
                max_step=2,
                timed=True,
                disabled_guard='other rank',
            ),
            id='all leaders hold the same rank',
        ),
        pytest.param(
            map_model.Rules(
                fenced=False, losses=0, max_step=3, disabled_guard='unarmed'
            ),
            id='ranks prepare while a map is armed',
        ),
        pytest.param(
            map_model.Rules(
                fenced=True,
                leaders=1,
                losses=2,
                timed=True,
                disabled_guard='void',
            ),
            id='a held step is released with an order to arm on its way',
        ),
        pytest.param(
            map_model.Rules(fenced=True, max_step=2, disabled_guard='tokens'),
            id='ranks obey older tokens of a fence',
        ),
        pytest.param(
            map_model.Rules(fenced=True, max_step=2, disabled_guard='eras'),
            id='a restored store gives a fence out again',
        ),
        pytest.param(
            map_model.Rules(
                fenced=False, losses=0, max_step=2, disabled_guard='eras'
            ),
            id='it does where ranks check none',
        ),
        pytest.param(
            map_model.Rules(
                fenced=False,
                leaders=1,
                losses=0,
                max_step=3,
                timed=True,
                lapses=1,
                disabled_guard='members',
            ),
            id='a change leaves out ranks that are not listed',
        ),
        pytest.param(
            map_model.Rules(
                fenced=True,
                leaders=1,
                losses=0,
                max_step=3,
                timed=True,
                lapses=1,
                disabled_guard='members',
            ),
            id='it does where ranks check tokens',
        ),
        pytest.param(
            map_model.Rules(
                fenced=False,
                leaders=1,
                changes=2,
                max_step=2,
                timed=True,
                disabled_guard='hold anew',
            ),
            id='a step that was released is held again',
        ),
    ],
)
def test_model_finds_mixed_maps_without_a_guard(rules):
    found = map_model.explore(rules)
    assert found.mixed
    versions = {rank.version for rank in found.mixed[-1].ranks}
    assert len(versions) == 2


#: Limits of systems that are too large to be explored exhaustively.
LARGE = {
    'leaders': 3,
    'changes': 2,
    'losses': 3,
    'max_step': 8,
    'lapses': 2,
    'reports_lag': True,
    'reforms': 1,
}


@pytest.mark.parametrize(
    'rules',
    [
        pytest.param(
            map_model.Rules(fenced=False, ranks=4, timed=True, **LARGE),
            id='loads are timed',
        ),
        pytest.param(
            map_model.Rules(
                fenced=False, ranks=2, timed=True, hold_one_rank=True, **LARGE
            ),
            id='leaders hold one rank',
        ),
        pytest.param(
            map_model.Rules(fenced=False, ranks=4, **LARGE),
            id='loads are waited for',
        ),
        pytest.param(
            map_model.Rules(fenced=True, ranks=3, timed=True, **LARGE),
            id='fenced, loads are timed',
        ),
    ],
)
def test_walks_of_larger_groups_never_mix_maps(rules):
    """Three leaders, late reports and orders, restarts, lapsed listings."""
    for seed in range(300):
        assert not map_model.has_mixed_maps(
            map_model.random_walk(rules, seed=seed)
        ), seed


@pytest.mark.parametrize('fenced', [True, False])
@pytest.mark.parametrize('disabled_guard', ['members', 'eras'])
def test_walks_find_mixed_maps_without_a_guard(disabled_guard, fenced):
    rules = map_model.Rules(
        fenced=fenced,
        ranks=3,
        leaders=3,
        changes=2,
        losses=2,
        max_step=6,
        timed=True,
        lapses=1,
        reports_lag=True,
        disabled_guard=disabled_guard,
    )
    assert any(
        map_model.has_mixed_maps(map_model.random_walk(rules, seed=seed))
        for seed in range(1500)
    )
