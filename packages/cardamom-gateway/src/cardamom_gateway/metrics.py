"""Counters and latency histograms in the Prometheus text format."""

import prometheus_client

LATENCY_BUCKETS_S = (
    0.025,
    0.05,
    0.1,
    0.2,
    0.4,
    0.8,
    1.6,
    3.2,
    6.4,
    12.8,
)


class Metrics:
    """The gateway's metrics, in a registry of their own."""

    def __init__(self) -> None:
        self.registry = prometheus_client.CollectorRegistry()
        self.answers = prometheus_client.Counter(
            "cardamom_answers_total",
            "Answers to callers by route kind, status and code.",
            ("kind", "status", "code"),
            registry=self.registry,
        )
        self.attempts = prometheus_client.Counter(
            "cardamom_attempts_total",
            "Attempts at targets by service and how they ended.",
            ("service", "ending"),
            registry=self.registry,
        )
        self.choices = prometheus_client.Counter(
            "cardamom_choices_total",
            "Choices of a target by service: the cheapest, or one of several"
            " near-equal ones.",
            ("service", "choice"),
            registry=self.registry,
        )
        self.turns = prometheus_client.Counter(
            "cardamom_turns_total",
            "Turns of callers beyond a rate, kept or too late for them.",
            ("outcome",),
            registry=self.registry,
        )
        self.model_waits = prometheus_client.Counter(
            "cardamom_model_waits_total",
            "Requests for a model that no target held, by how the wait ended.",
            ("outcome",),
            registry=self.registry,
        )
        self.preferred = prometheus_client.Counter(
            "cardamom_urgent_by_priority_total",
            "Model requests that are urgent by their route's priority only.",
            ("route",),
            registry=self.registry,
        )
        self.permits = prometheus_client.Counter(
            "cardamom_permits_total",
            "Permits asked for by why they are needed and outcome.",
            ("reason", "outcome"),
            registry=self.registry,
        )
        self.cold_targets = prometheus_client.Counter(
            "cardamom_cold_targets_total",
            "Times that a target began to count as cold, by reason.",
            ("reason",),
            registry=self.registry,
        )
        self.room_waits = prometheus_client.Counter(
            "cardamom_room_waits_total",
            "Plain calls that found all targets full, by service and outcome.",
            ("service", "outcome"),
            registry=self.registry,
        )
        self.slow_targets = prometheus_client.Counter(
            "cardamom_slow_targets_total",
            "Times at which a target was found to be slow by service and kind"
            " of request.",
            ("service", "kind"),
            registry=self.registry,
        )
        self.prediction_ratio = prometheus_client.Histogram(
            "cardamom_prediction_ratio",
            "Actual to predicted time from sending to the first event of a"
            " stream, or to a plain answer.",
            ("kind",),
            buckets=(0.5, 0.75, 1, 1.5, 2, 3, 4, 6, 8, 12),
            registry=self.registry,
        )
        self.orders = prometheus_client.Counter(
            "cardamom_orders_total",
            "Orders to engines by kind and outcome.",
            ("kind", "outcome"),
            registry=self.registry,
        )
        self.store_calls = prometheus_client.Counter(
            "cardamom_store_calls_total",
            "Calls to the platform's store by step and subject.",
            ("step", "subject"),
            registry=self.registry,
        )
        self.evacuations = prometheus_client.Counter(
            "cardamom_evacuations_total",
            "Evacuations that began or ended by data centre.",
            ("data_centre", "change"),
            registry=self.registry,
        )
        self.evacuations_in_force = prometheus_client.Gauge(
            "cardamom_evacuation_in_force",
            "1 while a data centre is evacuated, 0 afterwards.",
            ("data_centre",),
            registry=self.registry,
        )
        self.last_holder_choices = prometheus_client.Counter(
            "cardamom_last_holder_choices_total",
            "Requests for targets of an evacuated data centre which alone "
            "held the model.",
            ("data_centre",),
            registry=self.registry,
        )
        self.location_refusals = prometheus_client.Counter(
            "cardamom_location_refusals_total",
            "Requests refused because no target was in an allowed place.",
            ("service", "reason"),
            registry=self.registry,
        )
        self.peer_bytes = prometheus_client.Counter(
            "cardamom_peer_bytes_total",
            "Bytes of state updates between instances by direction.",
            ("direction",),
            registry=self.registry,
        )
        self.loop_lag = prometheus_client.Histogram(
            "cardamom_loop_lag_seconds",
            "Time by which the event loop resumed a task too late.",
            buckets=LATENCY_BUCKETS_S,
            registry=self.registry,
        )
        self.first_byte = prometheus_client.Histogram(
            "cardamom_first_byte_seconds",
            "Time from a request's arrival to its answer's first byte.",
            ("kind",),
            buckets=LATENCY_BUCKETS_S,
            registry=self.registry,
        )

    def text(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return prometheus_client.generate_latest(self.registry)
