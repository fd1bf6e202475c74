"""Tests of metrics, their text page and their export."""

import pytest

from marigoldramp import metrics
from marigoldramp import settings


@pytest.fixture
def made():
    return metrics.create(
        settings=settings.Metrics(otlp_endpoint='', interval=15.0),
        instance='entry-1',
    )


def lines(made):
    return made.render().decode().splitlines()


def test_empty_page(made):
    assert made.render() == b''


def test_counter(made):
    made.count('calls', service='s', outcome='answer')
    made.count('calls', 2, service='s', outcome='answer')
    made.count('calls', service='t', outcome='answer')
    assert lines(made) == [
        '# TYPE marigoldramp_calls_total counter',
        'marigoldramp_calls_total{outcome="answer",service="s"} 3',
        'marigoldramp_calls_total{outcome="answer",service="t"} 1',
    ]
    made.count('calls', service='t', outcome='answer')
    assert 'marigoldramp_calls_total{outcome="answer",service="t"} 2' in lines(
        made
    )


def test_gauge(made):
    values = [1, 2.5]
    made.gauge('queued', lambda: values.pop(0))
    assert lines(made)[1] == 'marigoldramp_queued 1'
    assert lines(made)[1] == 'marigoldramp_queued 2.5'


def test_histogram(made):
    for seconds in (0.001, 0.3, 0.3, 100.0):
        made.record('call_seconds', seconds, service='s')
    page = lines(made)
    for line in (
        'marigoldramp_call_seconds_bucket{le="0.002",service="s"} 1',
        'marigoldramp_call_seconds_bucket{le="0.2",service="s"} 1',
        'marigoldramp_call_seconds_bucket{le="0.33",service="s"} 3',
        'marigoldramp_call_seconds_bucket{le="60",service="s"} 3',
        'marigoldramp_call_seconds_bucket{le="+Inf",service="s"} 4',
        'marigoldramp_call_seconds_count{service="s"} 4',
    ):
        assert line in page


def test_label_values_are_escaped(made):
    made.count('calls', route='a"b\\c\nd')
    assert lines(made)[1] == (
        'marigoldramp_calls_total{route="a\\"b\\\\c\\nd"} 1'
    )


@pytest.mark.parametrize('kind', ['count', 'record'])
def test_label_sets_are_bounded(made, monkeypatch, kind):
    """Labels taken from calls cannot fill the memory.

    Symptom: a process grows with every customer that calls.  Sequence: calls
    come with ever new label values.  Cause: each label set is a series.
    """
    monkeypatch.setattr(metrics, 'MOST_SERIES', 3)
    add = getattr(made, kind)
    for index in range(10):
        add('calls', 1, label=f'{index}')
    add('calls', 1, label='0')
    page = [line for line in lines(made) if '_bucket' not in line]
    suffix = 'total' if kind == 'count' else 'count'
    counts = [line for line in page if f'calls_{suffix}{{' in line]
    assert len(counts) == 4
    assert f'marigoldramp_calls_{suffix}{{label="0"}} 2' in counts
    assert f'marigoldramp_calls_{suffix}{{overflow="true"}} 7' in counts


def test_label_set_added_during_an_export(made, monkeypatch):
    """A call that adds a label set does not break an export.

    Symptom: an export is lost at random.  Sequence: the exporter's thread
    walks the label sets while a call adds one.  Cause: the dict that is
    walked grows.
    """
    make = metrics.api.Observation

    def make_slowly(*arguments):
        made.count('calls', label='late')
        return make(*arguments)

    made.count('calls', label='early')
    monkeypatch.setattr(metrics.api, 'Observation', make_slowly)
    assert 'marigoldramp_calls_total{label="early"} 1' in lines(made)


def test_export_is_a_setting(monkeypatch):
    from opentelemetry.exporter.otlp.proto.http import metric_exporter

    exported = []

    def export(self, data, **rest):
        exported.append(self._endpoint)
        return metric_exporter.MetricExportResult.SUCCESS

    monkeypatch.setattr(metric_exporter.OTLPMetricExporter, 'export', export)
    made = metrics.create(
        settings=settings.Metrics(
            otlp_endpoint='http://127.0.0.1:1/v1/metrics', interval=3600.0
        ),
        instance='entry-1',
    )
    made.count('calls')
    made.close()
    assert exported == ['http://127.0.0.1:1/v1/metrics']
