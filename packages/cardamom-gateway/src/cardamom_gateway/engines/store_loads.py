"""Rate limit for loads from the weight store."""

import collections
import typing

from cardamom_gateway import model
from cardamom_gateway import state as state_module

MS_PER_S = 1000


class StoreLoads:
    """Start times of loads from the weight store, over all engines."""

    def __init__(self, state: state_module.GatewayState) -> None:
        self._state = state
        self.started_ms: collections.deque[int] = collections.deque()

    def note_start(self) -> None:
        """Record a load that starts now."""
        self.started_ms.append(self._state.clock.now_ms())

    def add_previous(self, started_ms: typing.Iterable[int]) -> None:
        """Add the start times of the previous holder's loads."""
        self.started_ms = collections.deque(
            sorted([*self.started_ms, *started_ms])
        )

    def assume_earlier_loads(self, now_ms: int) -> None:
        """Count all loads but one of each service's window as started now.

        An earlier holder without a handover may have started them.
        """
        configuration = self._state.configuration
        if configuration is None:
            return
        for service in configuration.service_by_id.values():
            if service.engine is not None:
                max_loads = self._max_loads_in_window(service.engine)
                self.started_ms.extend([now_ms] * (max_loads - 1))

    def remaining(self, engine: model.EngineSpec) -> int:
        """Return the number of loads that may start now."""
        window_ms = self._state.settings.load_window_ms
        horizon_ms = self._state.clock.now_ms() - window_ms
        while self.started_ms and self.started_ms[0] < horizon_ms:
            self.started_ms.popleft()
        return self._max_loads_in_window(engine) - len(self.started_ms)

    def _max_loads_in_window(self, engine: model.EngineSpec) -> int:
        window_ms = self._state.settings.load_window_ms
        return int(engine.loads_per_s * window_ms / MS_PER_S)
