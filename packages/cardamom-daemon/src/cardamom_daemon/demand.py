"""What callers ask of each model and adapter at this instance."""

import dataclasses
import math

from cardamom_daemon import catalog
from cardamom_daemon import messages
from cardamom_kernel import clocks

WINDOW_MS = 10_000
FORGET_MS = 300_000


@dataclasses.dataclass
class _Meter:
    tokens_per_ms: float = 0.0
    updated_ms: int = 0
    last_ms: int = 0
    waiting: int = 0


class DemandMeter:
    """Smoothed tokens a second, and the requests that wait."""

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._by_name: dict[catalog.ModelName, _Meter] = {}

    def arrived(self, name: catalog.ModelName, tokens: float) -> None:
        """Count a request's tokens."""
        meter = self._decayed(name)
        meter.tokens_per_ms += tokens / WINDOW_MS
        meter.last_ms = self._clock.now_ms()

    def wait(self, name: catalog.ModelName, change: int) -> None:
        """Count a request that begins (1) or ends (-1) to wait."""
        self._decayed(name).waiting += change

    def notes(self) -> list[messages.DemandNote]:
        """Return the demand for everything asked for lately."""
        now_ms = self._clock.now_ms()
        for name in [
            name
            for name, meter in self._by_name.items()
            if now_ms - meter.last_ms > FORGET_MS and not meter.waiting
        ]:
            del self._by_name[name]
        return [
            messages.DemandNote(
                name.model,
                name.adapter,
                self._decayed(name).tokens_per_ms * 1000,
                meter.waiting,
                now_ms - meter.last_ms,
            )
            for name, meter in self._by_name.items()
        ]

    def _decayed(self, name: catalog.ModelName) -> _Meter:
        now_ms = self._clock.now_ms()
        meter = self._by_name.setdefault(
            name,
            _Meter(updated_ms=now_ms, last_ms=now_ms),
        )
        age = (now_ms - meter.updated_ms) / WINDOW_MS
        meter.tokens_per_ms *= math.exp(-age)
        meter.updated_ms = now_ms
        return meter
