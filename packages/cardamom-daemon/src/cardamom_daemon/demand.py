"""The demand for each model and adapter at this instance."""

import dataclasses
import math

from cardamom_daemon import catalog
from cardamom_daemon import messages
from cardamom_kernel import clocks

TIME_CONSTANT_MS = 10_000
FORGET_AFTER_MS = 300_000


@dataclasses.dataclass
class _ModelDemand:
    tokens_per_ms: float = 0.0
    updated_ms: int = 0
    last_request_ms: int = 0
    waiting: int = 0


class DemandMeter:
    """Tokens a second, smoothed exponentially, and the waiting requests."""

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._demand_by_name: dict[catalog.ModelName, _ModelDemand] = {}

    def record_request(self, name: catalog.ModelName, tokens: float) -> None:
        """Count the tokens of a new request."""
        demand = self._decayed(name)
        demand.tokens_per_ms += tokens / TIME_CONSTANT_MS
        demand.last_request_ms = self._clock.now_ms()

    def add_waiting(self, name: catalog.ModelName, change: int) -> None:
        """Count a request that starts (1) or stops (-1) waiting."""
        self._decayed(name).waiting += change

    def report(self) -> list[messages.DemandNote]:
        """Return the demand for each recently requested model and adapter.

        An entry without a request for FORGET_AFTER_MS is dropped.
        """
        now_ms = self._clock.now_ms()
        for name in [
            name
            for name, demand in self._demand_by_name.items()
            if now_ms - demand.last_request_ms > FORGET_AFTER_MS
            and not demand.waiting
        ]:
            del self._demand_by_name[name]
        return [
            messages.DemandNote(
                name.model,
                name.adapter,
                self._decayed(name).tokens_per_ms * 1000,
                demand.waiting,
                now_ms - demand.last_request_ms,
            )
            for name, demand in self._demand_by_name.items()
        ]

    def _decayed(self, name: catalog.ModelName) -> _ModelDemand:
        now_ms = self._clock.now_ms()
        demand = self._demand_by_name.setdefault(
            name,
            _ModelDemand(updated_ms=now_ms, last_request_ms=now_ms),
        )
        elapsed_ratio = (now_ms - demand.updated_ms) / TIME_CONSTANT_MS
        demand.tokens_per_ms *= math.exp(-elapsed_ratio)
        demand.updated_ms = now_ms
        return demand
