"""What the parts of one gateway instance share."""

import dataclasses
import typing

from cardamom_kernel import clocks
from cardamom_kernel import suspicion
from cardamom_policy import fleet_windows

from cardamom_gateway import demand
from cardamom_gateway import interfaces
from cardamom_gateway import metrics as metrics_module
from cardamom_gateway import model
from cardamom_gateway import settings as settings_module
from cardamom_gateway import target_book

OVERAGE_PART = 0.6  # of the allowed overage of rates
SETTLED_OVERAGE_PART = 0.75  # the same while every member is heard
SLACK_PART = 0.8  # of the retry slack; the rest covers lagging counts
POISON_RETENTION_MS = 60_000  # a request that crashes targets is retried soon

ConfigurationListener = typing.Callable[[model.Configuration], None]


@dataclasses.dataclass
class Known:
    """A configuration in the form in which it came, for peers."""

    configuration: model.Configuration
    raw: bytes


class GatewayState:
    """Configuration, targets and counts of one instance.

    ``is_stopping`` is set at the start of a planned stop; ``is_closing``
    when new callers have stopped coming and kept connections are ended.
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
        self.known: Known | None = None
        self.book = target_book.TargetBook(clock, settings.data_centre)
        self.demand = demand.DemandMeter(clock)
        self.demand_view = demand.DemandView(clock)
        self.rates = fleet_windows.FleetWindow(settings.rate_window_ms, now_ms)
        self.requests = fleet_windows.FleetWindow(
            settings.retry_window_ms, now_ms
        )
        self.repeats = fleet_windows.FleetWindow(
            settings.retry_window_ms, now_ms
        )
        self.suspicions = suspicion.Suspicions(clock, POISON_RETENTION_MS)
        self.targets_version = 0
        self.targets_ms: int = clocks.NEVER_MS
        self.is_stopping = False
        self.is_closing = False
        self._listeners: list[ConfigurationListener] = []

    @property
    def configuration(self) -> model.Configuration | None:
        """Return the configuration in force, None before the first."""
        return self.known.configuration if self.known else None

    def note_targets(self, version: int) -> None:
        """Record as of which version of the store targets are known."""
        self.targets_version = version
        self.targets_ms = self.clock.now_ms()

    def known_as_of(self) -> dict[str, int | None]:
        """Return versions and ages of what decisions are made from."""
        configuration = self.configuration
        return {
            "configuration": configuration.version if configuration else None,
            "targets": self.targets_version,
            "targets_age_ms": self.clock.now_ms() - self.targets_ms,
        }

    def listen(self, listener: ConfigurationListener) -> None:
        """Call a listener at each new configuration."""
        self._listeners.append(listener)

    def adopt(self, raw: bytes) -> bool:
        """Put a configuration in force unless it is older.

        Returns whether it is new; raises MalformedMessage.
        """
        configuration = self.codec.decode_configuration(raw)
        held = self.configuration
        if held is not None and configuration.version <= held.version:
            return False
        self.known = Known(configuration, raw)
        self.book.cache_tokens_by_service = {
            service.id: service.engine.cache_tokens
            for service in configuration.service_by_id.values()
            if service.engine is not None
        }
        for listener in self._listeners:
            listener(configuration)
        return True

    def set_members(self, others: typing.Collection[str]) -> None:
        """Name the other instances in every count."""
        for window in (self.rates, self.requests, self.repeats):
            window.set_members(others)

    def rate_limit(self, team: model.Team) -> float:
        """Return what a team may take within the window.

        A part of the overage that the operators allow is used; the rest
        covers what is admitted between two exchanges with peers.
        """
        settings = self.settings
        is_settled = self.rates.is_settled(self.clock.now_ms())
        part = SETTLED_OVERAGE_PART if is_settled else OVERAGE_PART
        window_s = settings.rate_window_ms / 1000
        limit = team.rate_per_s * window_s + team.burst
        return (
            limit * (1 + settings.rate_overage * part)
            + settings.rate_tolerance * part
        )

    def take_repeat(self, service: model.ServiceId) -> bool:
        """Take one repeat from the fleet's budget for a service."""
        settings, now_ms = self.settings, self.clock.now_ms()
        limit = (
            settings.retry_ratio * self.requests.used(service, now_ms)
            + settings.retry_slack * SLACK_PART
        )
        return self.repeats.take(service, 1, limit, now_ms)
