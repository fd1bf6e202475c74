"""Metrics of one process through OpenTelemetry.

The text page that a person can read with ``curl`` is always there; export
over OTLP is a setting.
"""

from typing import Callable
from typing import Iterable

from opentelemetry.exporter import prometheus
import opentelemetry.metrics as api
import opentelemetry.sdk.metrics as sdk
from opentelemetry.sdk.metrics import export
from opentelemetry.sdk.metrics import view
from opentelemetry.sdk.resources import Resource
import prometheus_client

from . import settings as settings_module

PREFIX = 'marigoldramp_'
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


class Metrics:
    """Instruments of one process, made when they are first used."""

    __slots__ = (
        '_provider',
        '_meter',
        '_registry',
        '_counters',
        '_histograms',
    )

    def __init__(
        self,
        *,
        provider: sdk.MeterProvider,
        registry: prometheus_client.CollectorRegistry,
    ) -> None:
        self._provider = provider
        self._meter = provider.get_meter('marigoldramp')
        self._registry = registry
        self._counters: dict[str, api.Counter] = {}
        self._histograms: dict[str, api.Histogram] = {}

    def count(self, name: str, amount: int = 1, **labels: str) -> None:
        """Add to a counter."""
        counter = self._counters.get(name)
        if counter is None:
            counter = self._meter.create_counter(PREFIX + name)
            self._counters[name] = counter
        counter.add(amount, labels)

    def record(self, name: str, seconds: float, **labels: str) -> None:
        """Put a duration into a histogram."""
        histogram = self._histograms.get(name)
        if histogram is None:
            histogram = self._meter.create_histogram(PREFIX + name, unit='s')
            self._histograms[name] = histogram
        histogram.record(seconds, labels)

    def gauge(self, name: str, callback: Callable[[], float]) -> None:
        """Show the value that a callback returns."""

        def observe(_: api.CallbackOptions) -> Iterable[api.Observation]:
            return [api.Observation(callback())]

        self._meter.create_observable_gauge(PREFIX + name, [observe])

    def render(self) -> bytes:
        """Return the text page."""
        page: bytes = prometheus_client.generate_latest(self._registry)
        return page

    def close(self) -> None:
        """Export what is left and stop."""
        self._provider.shutdown()


def create(*, settings: settings_module.Metrics, instance: str) -> Metrics:
    """Return the metrics of a process, exported if the settings say so."""
    registry = prometheus_client.CollectorRegistry()
    readers: list[export.MetricReader] = [_make_page_reader(registry)]
    if settings.otlp_endpoint:
        readers.append(_make_otlp_reader(settings))
    provider = sdk.MeterProvider(
        metric_readers=readers,
        resource=Resource.create({'service.instance.id': instance}),
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
    return Metrics(provider=provider, registry=registry)


def _make_page_reader(
    registry: prometheus_client.CollectorRegistry,
) -> export.MetricReader:
    """Return a reader whose collector feeds a registry of this process.

    The exporter's own constructor registers with a global registry, which
    two processes' worth of metrics in one test run would share.
    """
    reader = prometheus.PrometheusMetricReader(disable_target_info=True)
    prometheus_client.REGISTRY.unregister(reader._collector)
    registry.register(reader._collector)
    return reader


def _make_otlp_reader(
    settings: settings_module.Metrics,
) -> export.MetricReader:
    """Return a reader that exports over OTLP; its libraries load only now."""
    from opentelemetry.exporter.otlp.proto.http import metric_exporter

    return export.PeriodicExportingMetricReader(
        metric_exporter.OTLPMetricExporter(endpoint=settings.otlp_endpoint),
        export_interval_millis=settings.interval * 1000,
    )
