"""Metrics as a page of plain text, one value a line.

The form is the widely used text exposition format.  It is written here, as
the exporter's library adds 4.6 MB to every process.
"""

from typing import Iterator
from typing import Mapping

from opentelemetry.sdk.metrics import export


def render(data: export.MetricsData | None) -> bytes:
    """Return the page of what was collected."""
    lines: list[str] = []
    for metric in _list_metrics(data):
        match metric.data:
            case export.Sum():
                lines += _render_sum(metric.name, metric.data)
            case export.Gauge():
                lines += _render_gauge(metric.name, metric.data)
            case export.Histogram():
                lines += _render_histogram(metric.name, metric.data)
    return ''.join(f'{line}\n' for line in lines).encode()


def _list_metrics(
    data: export.MetricsData | None,
) -> Iterator[export.Metric]:
    if data is None:
        return
    for resource in data.resource_metrics:
        for scope in resource.scope_metrics:
            yield from scope.metrics


def _render_sum(name: str, data: export.Sum) -> Iterator[str]:
    yield f'# TYPE {name}_total counter'
    for point in data.data_points:
        yield f'{name}_total{_show_labels(point.attributes)} {point.value}'


def _render_gauge(name: str, data: export.Gauge) -> Iterator[str]:
    yield f'# TYPE {name} gauge'
    for point in data.data_points:
        yield f'{name}{_show_labels(point.attributes)} {point.value}'


def _render_histogram(name: str, data: export.Histogram) -> Iterator[str]:
    yield f'# TYPE {name} histogram'
    for point in data.data_points:
        bounds = [f'{bound:g}' for bound in point.explicit_bounds]
        total = 0
        for bound, count in zip([*bounds, '+Inf'], point.bucket_counts):
            total += count
            labels = _show_labels(point.attributes, {'le': bound})
            yield f'{name}_bucket{labels} {total}'
        labels = _show_labels(point.attributes)
        yield f'{name}_sum{labels} {point.sum}'
        yield f'{name}_count{labels} {point.count}'


def _show_labels(
    attributes: Mapping[str, object] | None,
    more: Mapping[str, object] | None = None,
) -> str:
    pairs = {**(attributes or {}), **(more or {})}
    if not pairs:
        return ''
    shown = [f'{key}="{_escape(str(pairs[key]))}"' for key in sorted(pairs)]
    return '{' + ','.join(shown) + '}'


def _escape(text: str) -> str:
    text = text.replace('\\', '\\\\').replace('"', '\\"')
    return text.replace('\n', '\\n')
