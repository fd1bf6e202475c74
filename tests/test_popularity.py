"""Tests of the popularity estimate and of straggler detection."""

import pytest

from marigoldramp import popularity
from marigoldramp import stragglers

FIRST_EXPERT_HOT = [8.0, 1.0, 1.0, 1.0]
LAST_EXPERT_HOT = [1.0, 1.0, 1.0, 8.0]


def make_report(counts, sequence, series=1, seconds=30.0):
    return popularity.Report(
        series=series,
        sequence=sequence,
        seconds=seconds,
        layers=(popularity.scale(counts),),
    )


def make_estimator(**options):
    return popularity.Estimator(layers=1, experts=4, half_life=30.0, **options)


def test_estimate_follows_reports():
    estimator = make_estimator()
    for sequence in range(1, 12):
        assert estimator.take(
            agent='a', report=make_report(FIRST_EXPERT_HOT, sequence)
        )
    assert estimator.estimate(0) == pytest.approx(
        [8 / 11, 1 / 11, 1 / 11, 1 / 11], abs=0.01
    )


@pytest.mark.parametrize(
    ('series', 'sequence', 'accepted'),
    [(1, 4, True), (1, 3, False), (1, 2, False), (2, 1, True)],
    ids=['next', 'duplicate', 'older', 'agent-restarted'],
)
def test_duplicate_and_older_reports_are_dropped(series, sequence, accepted):
    estimator = make_estimator()
    estimator.take(agent='a', report=make_report(FIRST_EXPERT_HOT, 3))
    before = estimator.estimate(0)
    report = make_report(LAST_EXPERT_HOT, sequence, series)
    assert estimator.take(agent='a', report=report) == accepted
    assert (estimator.estimate(0) != before) == accepted


def test_late_report_counts_less():
    estimates = []
    for age in (0.0, 30.0):
        estimator = make_estimator(sudden=1.0)
        estimator.take(
            agent='a', report=make_report(FIRST_EXPERT_HOT, 1), age=age
        )
        estimates.append(estimator.estimate(0)[0])
    assert 0.25 < estimates[1] < estimates[0]


def test_missing_agent_does_not_change_estimate():
    """Missing reports of one agent must not make experts seem unpopular.

    Two agents report the same distribution, then one stops.  An estimate that
    adds up counts would show the missing half as a change.
    """
    estimator = make_estimator(agents=2)
    for sequence in range(1, 20):
        for agent in ('a', 'b'):
            estimator.take(
                agent=agent, report=make_report(FIRST_EXPERT_HOT, sequence)
            )
    before = estimator.estimate(0)
    for sequence in range(20, 23):
        estimator.take(
            agent='a', report=make_report(FIRST_EXPERT_HOT, sequence)
        )
    assert estimator.estimate(0) == pytest.approx(before, abs=0.01)


def test_estimate_follows_sudden_shift_at_once():
    slow, fast = make_estimator(sudden=1.0), make_estimator(sudden=0.1)
    for estimator in (slow, fast):
        for sequence in range(1, 12):
            estimator.take(
                agent='a', report=make_report(FIRST_EXPERT_HOT, sequence)
            )
        estimator.take(agent='a', report=make_report(LAST_EXPERT_HOT, 12))
    assert fast.estimate(0)[3] > 0.65 > slow.estimate(0)[3]


def test_empty_report_changes_nothing():
    estimator = make_estimator()
    estimator.take(agent='a', report=make_report([0.0] * 4, 1))
    assert estimator.estimate(0) == [0.25] * 4


def make_timings(loads, slow_rank=None):
    return [
        popularity.RankTiming(
            rank=rank,
            steps=10,
            tokens=load * 10,
            busy_seconds=(0.02 + 0.001 * load)
            * (13 if rank == slow_rank else 10),
        )
        for rank, load in enumerate(loads)
    ]


@pytest.mark.parametrize(
    ('loads', 'slow_rank', 'reported'),
    [
        ([10, 11, 9, 10, 30, 10, 12, 8], None, []),
        ([10, 11, 9, 10, 30, 10, 12, 8], 2, [2]),
        ([10, 10, 10, 10, 10, 10, 10, 10], 7, [7]),
    ],
    ids=['loaded-rank', 'slow-rank', 'even-loads'],
)
def test_straggler_is_distinguished_from_loaded_rank(
    loads, slow_rank, reported
):
    detector = stragglers.Detector(min_rounds=2)
    detector.take(make_timings(loads, slow_rank))
    assert detector.findings() == ()
    detector.take(make_timings(loads, slow_rank))
    findings = detector.findings()
    assert [one.rank for one in findings] == reported
    for one in findings:
        assert one.slowdown == pytest.approx(1.3, abs=0.02)
    detector.take(make_timings(loads))
    assert detector.findings() == ()


def test_merged_report_sums_over_ranks():
    reports = [
        popularity.Report(
            series=1,
            sequence=5,
            seconds=30.0,
            layers=(popularity.scale(counts),),
            timings=tuple(make_timings([total])),
        )
        for counts, total in (([80, 20, 0, 0], 1), ([0, 0, 0, 300], 2))
    ]
    merged = popularity.merge(reports=reports, series=9, sequence=1)
    assert merged.seconds == 60.0
    assert len(merged.timings) == 2
    (layer,) = merged.layers
    assert layer.total == pytest.approx(400)
    shares = [count / sum(layer.scaled) for count in layer.scaled]
    assert shares == pytest.approx([0.2, 0.05, 0.0, 0.75], abs=0.005)
