"""Loads from the weight store within its rate."""

import collections
import typing

from cardamom_gateway import model
from cardamom_gateway import state as state_module

MS_PER_S = 1000


class StoreLoads:
    """When loads from the store began, over all engines."""

    def __init__(self, state: state_module.GatewayState) -> None:
        self._state = state
        self.begun_ms: collections.deque[int] = collections.deque()

    def note(self) -> None:
        """Record a load that begins now."""
        self.begun_ms.append(self._state.clock.now_ms())

    def take_over(self, begun_ms: typing.Iterable[int]) -> None:
        """Add the loads of the holder before."""
        self.begun_ms = collections.deque(sorted([*self.begun_ms, *begun_ms]))

    def assume_all(self, now_ms: int) -> None:
        """Count the loads that an earlier holder may have begun lately."""
        configuration = self._state.configuration
        if configuration is None:
            return
        for service in configuration.service_by_id.values():
            if service.engine is not None:
                allowed = self._allowed(service.engine)
                self.begun_ms.extend([now_ms] * (allowed - 1))

    def left(self, engine: model.EngineSpec) -> int:
        """Return how many loads may begin now."""
        window_ms = self._state.settings.load_window_ms
        horizon_ms = self._state.clock.now_ms() - window_ms
        while self.begun_ms and self.begun_ms[0] < horizon_ms:
            self.begun_ms.popleft()
        return self._allowed(engine) - len(self.begun_ms)

    def _allowed(self, engine: model.EngineSpec) -> int:
        window_ms = self._state.settings.load_window_ms
        return int(engine.loads_per_s * window_ms / MS_PER_S)
