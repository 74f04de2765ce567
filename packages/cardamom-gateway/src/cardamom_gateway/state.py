"""The state shared by the modules of one gateway instance."""

import dataclasses
import typing

from cardamom_kernel import clocks
from cardamom_kernel import held_bytes
from cardamom_kernel import suspicion
from cardamom_kernel import tables
from cardamom_kernel import trait_suspicion
from cardamom_policy import fleet_windows
from cardamom_policy import loading_waits
from cardamom_policy import turns

from cardamom_gateway.engines import demand
from cardamom_gateway import interfaces
from cardamom_gateway.locations import evacuations
from cardamom_gateway import metrics as metrics_module
from cardamom_gateway import model
from cardamom_gateway import settings as settings_module
from cardamom_gateway.targets import peer_figures
from cardamom_gateway.targets import target_registry
from cardamom_gateway.targets import target_speeds

OVERAGE_RATIO = 0.6  # share of the allowed rate overage that is used
SETTLED_OVERAGE_RATIO = 0.75  # the same while all members report
RETRY_SLACK_RATIO = 0.8  # the remaining retry slack covers late counts
# Of all answers that are being read, besides buffers of sockets.
MAX_HELD_ANSWER_BYTES = 32 << 20
POISON_RETENTION_MS = 60_000  # crashing requests are retried within it

ConfigurationListener = typing.Callable[[model.Configuration], None]


@dataclasses.dataclass
class ReceivedConfiguration:
    """A configuration with the bytes received, for peers."""

    configuration: model.Configuration
    raw: bytes


class GatewayState:
    """Configuration, targets and counts of one instance.

    ``is_stopping`` is set at the start of a planned stop, ``is_closing`` when
    new callers no longer arrive and kept connections are closed.  ``retries``
    counts the retried requests, ``held_answers`` what is held of the answers
    that are being read.
    """

    def __init__(
        self,
        settings: settings_module.GatewaySettings,
        clock: clocks.Clock,
        codec: interfaces.MessageCodec,
    ) -> None:
        now_ms = clock.now_ms()
        self.settings = settings
        self.clock = clock
        self.codec = codec
        self.metrics = metrics_module.Metrics()
        self.received: ReceivedConfiguration | None = None
        self.evacuations = evacuations.Evacuations(clock)
        self.targets = target_registry.TargetRegistry(
            clock, settings.data_centre, self.evacuations
        )
        self.peer_figures = peer_figures.PeerFigures(
            clock, settings.data_centre
        )
        self.targets.cold_rules.on_cold = lambda reason: (
            self.metrics.cold_targets.labels(reason.value).inc()
        )
        self.speeds = target_speeds.TargetSpeeds(
            clock, self.targets, self.metrics
        )
        self.demand = demand.DemandMeter(clock)
        self.demand_view = demand.DemandView(clock)
        self.queue_times = loading_waits.QueueTimes()
        self.rates = fleet_windows.FleetWindow(settings.rate_window_ms, now_ms)
        self.turns = turns.Turns()
        self.requests = fleet_windows.FleetWindow(
            settings.retry_window_ms, now_ms
        )
        self.retries = fleet_windows.FleetWindow(
            settings.retry_window_ms, now_ms
        )
        self.suspicions = suspicion.Suspicions(clock, POISON_RETENTION_MS)
        self.part_suspicions = trait_suspicion.TraitSuspicions(clock)
        self.targets_version = tables.NO_VERSION
        self.targets_ms: int = clocks.NEVER_MS
        self.held_answers = held_bytes.HeldBytes(MAX_HELD_ANSWER_BYTES)
        self.is_stopping = False
        self.is_closing = False
        self._listeners: list[ConfigurationListener] = []

    @property
    def configuration(self) -> model.Configuration | None:
        """Return the configuration in force, None before the first."""
        return self.received.configuration if self.received else None

    def set_targets_version(self, version: tables.StoreVersion) -> None:
        """Record the store version of the targets, and the current time."""
        self.targets_version = version
        self.targets_ms = self.clock.now_ms()

    def data_versions(self) -> dict[str, int | None]:
        """Return the versions and ages of the data behind decisions."""
        configuration = self.configuration
        return {
            "configuration": configuration.version if configuration else None,
            "targets": self.targets_version.number,
            "store_era": self.targets_version.era,
            "targets_age_ms": self.clock.now_ms() - self.targets_ms,
        }

    def listen(self, listener: ConfigurationListener) -> None:
        """Add a listener that is called with each new configuration."""
        self._listeners.append(listener)

    def apply_configuration(self, raw: bytes) -> bool:
        """Put a configuration in force if it is newer than the current one.

        Returns whether it is newer; raises MalformedMessage.
        """
        configuration = self.codec.decode_configuration(raw)
        current = self.configuration
        if current is not None and configuration.version <= current.version:
            return False
        self.received = ReceivedConfiguration(configuration, raw)
        self.targets.cache_tokens_by_service = {
            service.id: service.engine.cache_tokens
            for service in configuration.service_by_id.values()
            if service.engine is not None
        }
        self.targets.cold_rules.set_services(
            configuration.service_by_id.values(),
            self.settings.cold_overage,
            self.settings.cold_tolerance,
        )
        for listener in self._listeners:
            listener(configuration)
        return True

    def set_members(self, others: typing.Collection[str]) -> None:
        """Set the other instances in the windows of all counts."""
        for window in (self.rates, self.requests, self.retries):
            window.set_members(others)

    def rate_limit(self, team: model.Team) -> float:
        """Return the amount that a team may use within the window.

        Only a share of the overage that the operators allow is used.  The
        remaining share covers what is admitted between two exchanges
        with peers.
        """
        settings = self.settings
        is_settled = self.rates.is_settled(self.clock.now_ms())
        ratio = SETTLED_OVERAGE_RATIO if is_settled else OVERAGE_RATIO
        window_s = settings.rate_window_ms / 1000
        limit = team.rate_per_s * window_s + team.burst
        return (
            limit * (1 + settings.rate_overage * ratio)
            + settings.rate_tolerance * ratio
        )

    def pace(self, team: model.Team) -> turns.Pace:
        """Return the rate of a team with a limit, and this instance's part."""
        limit = self.rate_limit(team)
        return turns.Pace(
            limit * 1000 / self.settings.rate_window_ms,
            self.rates.share(team.id, limit, self.clock.now_ms()),
        )

    def take_retry(self, service: model.ServiceId) -> bool:
        """Take one retry from the fleet's retry budget for a service.

        Returns whether the budget allows it.
        """
        settings, now_ms = self.settings, self.clock.now_ms()
        limit = (
            settings.retry_ratio * self.requests.used(service, now_ms)
            + settings.retry_slack * RETRY_SLACK_RATIO
        )
        return self.retries.try_add(service, 1, limit, now_ms)
