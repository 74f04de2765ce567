"""A bound on the requests in flight at a replica that must not reject many.

The number of slots that a replica states may be more than it has room for, so
the bound falls to what was in flight before each rejection.  It grows by one
when it has been reached for a while without a rejection.
"""

import dataclasses

# Between two steps of growth, each of which may cost one rejection.
GROWTH_PERIOD_MS = 5_000
# Bounds from this one on leave a place to the most urgent requests.
MIN_RESERVING_BOUND = 3


@dataclasses.dataclass(frozen=True)
class _InFlight:
    """A request in flight, and how many others were when it was sent."""

    expires_ms: int
    others: int


class Room:
    """The requests of a whole fleet in flight at one replica.

    Each has a permit of its own, which expires if its end is never reported.
    """

    def __init__(self, slots: int, now_ms: int) -> None:
        self._slots = max(1, slots)
        self._changed_ms = now_ms
        self._in_flight_by_permit: dict[str, _InFlight] = {}
        self.bound = self._slots

    def take(
        self, permit: str, is_urgent: bool, expires_ms: int, now_ms: int
    ) -> bool:
        """Count a request in flight if there is room; return whether."""
        self._in_flight_by_permit = {
            other: request
            for other, request in self._in_flight_by_permit.items()
            if request.expires_ms > now_ms
        }
        others = len(self._in_flight_by_permit)
        if others >= self.bound:
            self._grow(now_ms)
        is_reserving = self.bound >= MIN_RESERVING_BOUND and not is_urgent
        if others >= self.bound - is_reserving:
            return False
        self._in_flight_by_permit[permit] = _InFlight(expires_ms, others)
        return True

    def _grow(self, now_ms: int) -> None:
        if (
            self.bound < self._slots
            and now_ms - self._changed_ms >= GROWTH_PERIOD_MS
        ):
            self.bound += 1
            self._changed_ms = now_ms

    def finish(self, permit: str, was_rejected: bool, now_ms: int) -> None:
        """Record the end of a request, and whether it was rejected."""
        request = self._in_flight_by_permit.pop(permit, None)
        if request is not None and was_rejected:
            self.bound = max(1, min(self.bound, request.others))
            self._changed_ms = now_ms
