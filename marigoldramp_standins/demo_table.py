"""The short table that the demonstration prints at its end."""

import dataclasses
import math

from . import demo_calls

HEAD = (
    'kind',
    'calls',
    'answers',
    'refusals',
    'first token p50/p95/p99 ms',
    'total p50/p95/p99 ms',
    'runs per call',
)


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Verdict:
    """What has to hold of the calls, and what did not.

    :ivar faults: one sentence each; none means that all is well.
    """

    faults: tuple[str, ...]


def find_percentile(values: list[float], share: float) -> float:
    """Return the smallest value that ``share`` of all do not exceed."""
    ordered = sorted(values)
    index = math.ceil(share * len(ordered)) - 1
    return ordered[max(0, index)]


def judge(
    *, results: list[demo_calls.Result], runs: dict[str, int]
) -> Verdict:
    """Check each call for its answer and its runs."""
    faults = []
    for result in results:
        name = result.plan.reference
        if result.outcome is not demo_calls.Outcome.ANSWERED:
            faults.append(f'{name}: {result.outcome} {result.detail}')
        if result.plan.kind in demo_calls.NON_IDEMPOTENT:
            found = runs.get(name, 0)
            if found > 1:
                faults.append(f'{name} ran {found} times')
            if not found and result.outcome is demo_calls.Outcome.ANSWERED:
                faults.append(f'{name} was answered but did not run')
    return Verdict(faults=tuple(faults))


def render(*, results: list[demo_calls.Result], runs: dict[str, int]) -> str:
    """Return the table, a row for each kind of call."""
    rows: list[tuple[str, ...]] = [HEAD]
    for kind in demo_calls.Kind:
        of_kind = [one for one in results if one.plan.kind is kind]
        if of_kind:
            rows.append(_make_row(kind, of_kind, runs))
    widths = [max(map(len, column)) for column in zip(*rows)]
    return '\n'.join(
        '  '.join(
            cell.ljust(width) if index == 0 else cell.rjust(width)
            for index, (cell, width) in enumerate(zip(row, widths))
        )
        for row in rows
    )


def _make_row(
    kind: demo_calls.Kind,
    results: list[demo_calls.Result],
    runs: dict[str, int],
) -> tuple[str, ...]:
    answered = [
        one for one in results if one.outcome is demo_calls.Outcome.ANSWERED
    ]
    streamed = kind is demo_calls.Kind.STREAMED_DRAFT
    refused = (demo_calls.Outcome.NOT_RUN, demo_calls.Outcome.UNKNOWN)
    return (
        kind.value,
        str(len(results)),
        str(len(answered)),
        str(sum(one.outcome in refused for one in results)),
        _show([one.first for one in answered]) if streamed else '-',
        _show([one.total for one in answered]),
        _show_runs(kind, results, runs),
    )


def _show(seconds: list[float]) -> str:
    if not seconds:
        return '-'
    shares = (0.5, 0.95, 0.99)
    return ' / '.join(
        f'{find_percentile(seconds, share) * 1000:.1f}' for share in shares
    )


def _show_runs(
    kind: demo_calls.Kind,
    results: list[demo_calls.Result],
    runs: dict[str, int],
) -> str:
    """Say how many calls ran how often, as the stand-ins counted."""
    if kind not in demo_calls.NON_IDEMPOTENT:
        return '-'
    counts = [runs.get(one.plan.reference, 0) for one in results]
    return ', '.join(
        f'{times}x: {counts.count(times)}' for times in sorted(set(counts))
    )
