"""Logs, metrics and traces; they must never contain a caller's key."""

import collections
import enum
import logging
import sys
import typing

from opentelemetry.sdk import resources
from opentelemetry.sdk import trace as sdk_trace
from opentelemetry.sdk.trace import export
from opentelemetry.sdk.trace import sampling
from opentelemetry import trace
from opentelemetry.trace.propagation import tracecontext
import statsd
import structlog

PROPAGATOR = tracecontext.TraceContextTextMapPropagator()


class LogFormat(enum.Enum):
    """The format of log lines."""

    JSON = "json"
    CONSOLE = "console"


class TraceExport(enum.Enum):
    """Where finished trace spans are exported to."""

    NONE = "none"
    CONSOLE = "console"


def configure_logs(log_format: LogFormat, level: str, instance: str) -> None:
    """Write structured logs to standard error.

    Every line has the field ``instance``.  ``level`` is the name of a level
    of ``logging``, in upper or lower case; raises AttributeError for another
    name.
    """
    renderer: typing.Any = structlog.processors.JSONRenderer()
    if log_format is LogFormat.CONSOLE:
        renderer = structlog.dev.ConsoleRenderer(colors=False)
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            renderer,
        ],
        wrapper_class=structlog.make_filtering_bound_logger(
            getattr(logging, level.upper()),
        ),
        logger_factory=structlog.PrintLoggerFactory(sys.stderr),
        cache_logger_on_first_use=True,
    )
    structlog.contextvars.bind_contextvars(instance=instance)


class Metrics:
    """Counters, gauges and timings, sent to statsd if a host is given.

    Counters and gauges are also kept in memory for the status endpoint.
    """

    def __init__(self, host: str = "", port: int = 8125) -> None:
        self._client: typing.Any = None
        if host:
            self._client = statsd.StatsClient(host, port, prefix="cardamom")
        self.count_by_name: collections.Counter[str] = collections.Counter()
        self.gauge_by_name: dict[str, float] = {}

    def count(self, name: str, by: int = 1) -> None:
        """Add to a counter."""
        self.count_by_name[name] += by
        if self._client is not None:
            self._client.incr(name, by)

    def gauge(self, name: str, value: float) -> None:
        """Set a gauge."""
        self.gauge_by_name[name] = value
        if self._client is not None:
            self._client.gauge(name, value)

    def timing(self, name: str, duration_ms: float) -> None:
        """Record a duration in milliseconds."""
        if self._client is not None:
            self._client.timing(name, duration_ms)


def configure_traces(
    destination: TraceExport,
    ratio: float,
    instance: str,
) -> trace.Tracer:
    """Return a tracer that samples new traces at a ratio from 0 to 1.

    A trace that a caller started keeps the caller's sampling decision.
    """
    provider = sdk_trace.TracerProvider(
        sampler=sampling.ParentBased(sampling.TraceIdRatioBased(ratio)),
        resource=resources.Resource.create(
            {"service.name": "cardamomd", "service.instance.id": instance},
        ),
    )
    if destination is TraceExport.CONSOLE:
        exporter = export.ConsoleSpanExporter(out=sys.stderr)
        provider.add_span_processor(export.BatchSpanProcessor(exporter))
    return provider.get_tracer("cardamom")
