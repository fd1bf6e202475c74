"""Metrics of one process through OpenTelemetry.

Counts are kept here and shown to OpenTelemetry when it collects them, as
its own counter costs as much processor time for each call as a good part of
relaying a chunk.  The text page that a person can read with ``curl`` is
always there; export over OTLP is a setting.
"""

import functools
from typing import Callable
from typing import Iterable
from typing import TYPE_CHECKING

import opentelemetry.metrics as api
import opentelemetry.sdk.metrics as sdk
from opentelemetry.sdk.metrics import export
from opentelemetry.sdk.metrics import view
from opentelemetry.sdk.resources import Resource

from . import metrics_page

if TYPE_CHECKING:
    # Agents' settings load YAML and pydantic, which gateways do not need.
    from . import settings as settings_module

PREFIX = 'marigoldramp_'
#: Most label sets of one name; the rest is summed up under ``OVERFLOW``.
MOST_SERIES = 1000
OVERFLOW = {'overflow': 'true'}
#: Bounds of the histograms of durations, in seconds.
SECONDS_BOUNDS = (
    0.002,
    0.005,
    0.01,
    0.02,
    0.05,
    0.1,
    0.2,
    0.33,
    0.5,
    1.0,
    2.0,
    5.0,
    10.0,
    30.0,
    60.0,
)

Labels = tuple[tuple[str, str], ...]

_OVERFLOW_KEY: Labels = tuple(OVERFLOW.items())


class Metrics:
    """Instruments of one process, made when they are first used."""

    __slots__ = (
        '_counts',
        '_histograms',
        '_meter',
        '_provider',
        '_reader',
        '_recorded',
    )

    def __init__(
        self,
        *,
        provider: sdk.MeterProvider,
        reader: export.InMemoryMetricReader,
    ) -> None:
        self._provider = provider
        self._reader = reader
        self._meter = provider.get_meter('marigoldramp')
        self._counts: dict[str, dict[Labels, int]] = {}
        self._histograms: dict[str, api.Histogram] = {}
        self._recorded: dict[str, set[Labels]] = {}

    def count(self, name: str, amount: int = 1, **labels: str) -> None:
        """Add to a counter."""
        counts = self._counts.get(name)
        if counts is None:
            counts = self._make_counter(name)
        key = tuple(labels.items())
        if key not in counts and len(counts) >= MOST_SERIES:
            key = _OVERFLOW_KEY
        counts[key] = counts.get(key, 0) + amount

    def record(self, name: str, seconds: float, **labels: str) -> None:
        """Put a duration into a histogram."""
        histogram = self._histograms.get(name)
        if histogram is None:
            histogram = self._meter.create_histogram(PREFIX + name, unit='s')
            self._histograms[name] = histogram
            self._recorded[name] = set()
        known = self._recorded[name]
        key = tuple(labels.items())
        if key not in known:
            if len(known) >= MOST_SERIES:
                labels = OVERFLOW
            else:
                known.add(key)
        histogram.record(seconds, labels)

    def gauge(self, name: str, callback: Callable[[], float]) -> None:
        """Show the value that a callback returns.

        With the export on, the callback is also called from the exporter's
        thread; it must only read.
        """

        def observe(_: api.CallbackOptions) -> Iterable[api.Observation]:
            return [api.Observation(callback())]

        self._meter.create_observable_gauge(PREFIX + name, [observe])

    def gauge_by_label(
        self, name: str, label: str, callback: Callable[[], dict[str, float]]
    ) -> None:
        """Show values by the value of a label; see :meth:`gauge`."""

        def observe(_: api.CallbackOptions) -> Iterable[api.Observation]:
            return [
                api.Observation(value, {label: key})
                for key, value in callback().items()
            ]

        self._meter.create_observable_gauge(PREFIX + name, [observe])

    def render(self) -> bytes:
        """Return the text page."""
        return metrics_page.render(self._reader.get_metrics_data())

    def close(self) -> None:
        """Export what is left and stop."""
        self._provider.shutdown()

    def _make_counter(self, name: str) -> dict[Labels, int]:
        counts: dict[Labels, int] = {}
        self._counts[name] = counts
        self._meter.create_observable_counter(
            PREFIX + name, [functools.partial(_observe, counts)]
        )
        return counts


def _observe(
    counts: dict[Labels, int], _: api.CallbackOptions
) -> Iterable[api.Observation]:
    # The exporter's thread runs this while calls add label sets.  A dict that
    # grows while it is walked raises, which would lose the whole export;
    # copying it is one step for the interpreter.
    return [
        api.Observation(amount, dict(labels))
        for labels, amount in list(counts.items())
    ]


def create(*, settings: 'settings_module.Metrics', instance: str) -> Metrics:
    """Return the metrics of a process, exported if the settings say so."""
    more = [_make_otlp_reader(settings)] if settings.otlp_endpoint else []
    return create_local(instance=instance, more=more)


def create_local(
    *, instance: str, more: Iterable[export.MetricReader] = ()
) -> Metrics:
    """Return the metrics of a process that shows them as a page.

    :param more: readers beside the page's.
    """
    page_reader = export.InMemoryMetricReader()
    readers: list[export.MetricReader] = [page_reader, *more]
    provider = sdk.MeterProvider(
        metric_readers=readers,
        resource=Resource.create(
            {'service.name': 'marigoldramp', 'service.instance.id': instance}
        ),
        exemplar_filter=sdk.AlwaysOffExemplarFilter(),
        views=[
            view.View(
                instrument_type=sdk.Histogram,
                aggregation=view.ExplicitBucketHistogramAggregation(
                    boundaries=SECONDS_BOUNDS
                ),
            )
        ],
        shutdown_on_exit=False,
    )
    return Metrics(provider=provider, reader=page_reader)


def _make_otlp_reader(
    settings: 'settings_module.Metrics',
) -> export.MetricReader:
    """Return a reader that exports over OTLP; its libraries load only now."""
    from opentelemetry.exporter.otlp.proto.http import metric_exporter

    return export.PeriodicExportingMetricReader(
        metric_exporter.OTLPMetricExporter(endpoint=settings.otlp_endpoint),
        export_interval_millis=settings.interval * 1000,
    )
