"""A bound on the requests in flight at a replica that must not reject many.

The number of slots that a replica states may be more than it has room for, so
the bound falls to what was in flight before each rejection.  It grows by one
when it has been reached for a while without a rejection.
"""

import collections
import dataclasses
import typing

# Between two steps of growth, each of which may cost one rejection.
GROWTH_PERIOD_MS = 5_000
# Bounds from this one on leave a place to the most urgent requests.
MIN_RESERVING_BOUND = 3


@dataclasses.dataclass(frozen=True)
class Count:
    """What one instance has counted at a replica, for the next that does.

    ``in_flight`` are permits with the ms until they expire and the number of
    other requests in flight when each was given.  ``uncounted`` are requests
    without a permit, by their sender.
    """

    slots: int
    bound: int
    unchanged_ms: int
    in_flight: list[tuple[str, int, int]]
    uncounted: dict[str, int]


@dataclasses.dataclass(frozen=True)
class _InFlight:
    """A request in flight, and how many others were when it was sent."""

    expires_ms: int
    others: int


class Room:
    """The requests of a whole fleet in flight at one replica.

    Each has a permit of its own, which expires if its end is never reported.
    Permits are named after their senders: SENDER-NUMBER.
    """

    def __init__(self, slots: int, now_ms: int) -> None:
        self._slots = max(1, slots)
        self._changed_ms = now_ms
        self._in_flight_by_permit: dict[str, _InFlight] = {}
        self._uncounted_by_sender: dict[str, int] = {}
        self.bound = self._slots

    @classmethod
    def continued(cls, count: Count, now_ms: int) -> "Room":
        """Return a room that goes on with what another has counted."""
        room = cls(count.slots, now_ms)
        room.merge(count, now_ms)
        return room

    def merge(self, count: Count, now_ms: int) -> None:
        """Add what another instance has counted."""
        self.bound = max(1, min(self.bound, count.bound))
        self._changed_ms = now_ms - max(0, count.unchanged_ms)
        self._in_flight_by_permit |= {
            permit: _InFlight(now_ms + expires_in_ms, others)
            for permit, expires_in_ms, others in count.in_flight
        }
        self._uncounted_by_sender |= {
            sender: running
            for sender, running in count.uncounted.items()
            if running > 0
        }

    def export(self, now_ms: int) -> Count:
        """Return what has been counted."""
        return Count(
            self._slots,
            self.bound,
            now_ms - self._changed_ms,
            [
                (permit, request.expires_ms - now_ms, request.others)
                for permit, request in self._in_flight_by_permit.items()
                if request.expires_ms > now_ms
            ],
            dict(self._uncounted_by_sender),
        )

    @property
    def has_uncounted(self) -> bool:
        """Return whether there may be requests without a permit."""
        return bool(self._uncounted_by_sender)

    def note_running(
        self, running_by_sender: typing.Mapping[str, int]
    ) -> None:
        """Record how many requests senders have reported, permits included.

        Requests without a permit only become fewer; those of senders that
        report none have ended.
        """
        self._set_uncounted(
            {
                sender: min(uncounted, running_by_sender.get(sender, 0))
                for sender, uncounted in self._uncounted_by_sender.items()
            }
        )

    def note_sender(self, sender: str, running: int) -> None:
        """Record how many requests a sender has now, permits included."""
        uncounted = self._uncounted_by_sender.get(sender)
        if uncounted is None:
            return
        remaining = min(uncounted, running - self._permits_by_sender()[sender])
        self._set_uncounted(self._uncounted_by_sender | {sender: remaining})

    def resume(self, running_by_sender: typing.Mapping[str, int]) -> None:
        """Go on counting after a time in which no permits were needed.

        What senders have reported beyond their permits runs without one.
        """
        permits = self._permits_by_sender()
        self._set_uncounted(
            {
                sender: running - permits[sender]
                for sender, running in running_by_sender.items()
            }
        )

    def _permits_by_sender(self) -> collections.Counter[str]:
        return collections.Counter(
            permit.rpartition("-")[0] for permit in self._in_flight_by_permit
        )

    def _set_uncounted(self, by_sender: dict[str, int]) -> None:
        self._uncounted_by_sender = {
            sender: running
            for sender, running in by_sender.items()
            if running > 0
        }

    def take(
        self,
        permit: str,
        is_urgent: bool,
        expires_ms: int,
        now_ms: int,
        share: float = 1.0,
    ) -> bool:
        """Count a request in flight if there is room; return whether.

        ``share`` is the part of the bound that may be used here.
        """
        self._in_flight_by_permit = {
            other: request
            for other, request in self._in_flight_by_permit.items()
            if request.expires_ms > now_ms
        }
        others = len(self._in_flight_by_permit) + sum(
            self._uncounted_by_sender.values()
        )
        if others >= self.bound:
            self._grow(now_ms)
        bound = max(1, int(self.bound * share))
        is_reserving = bound >= MIN_RESERVING_BOUND and not is_urgent
        if others >= bound - is_reserving:
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
