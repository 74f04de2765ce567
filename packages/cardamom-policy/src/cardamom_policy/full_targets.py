"""Which targets of plain services have room, and who goes first.

Handles short bursts of plain calls at few targets with few slots that reject
what they have no slot for.  Calls go to targets with a free slot; if there is
none, they wait a moment, the more urgent ones first.  The known loads are a
little old, so a rejection counts as news of a full target for a short time.

Only services whose targets have rejected a call lately are concerned: others
may queue calls themselves, whatever their slots.
"""

import bisect
import itertools

from cardamom_kernel import ids

# About the time in which one of a few slots becomes free.
PAUSE_MS = 40
# From the last rejection until the slots of a service no longer matter.
ACTIVE_MS = 10_000
# More calls than so many would wait in vain.
MAX_WAITING = 64

Ticket = tuple[int, int]


class FullTargets:
    """The rejections of the targets of one service."""

    def __init__(self) -> None:
        self._rejected_ms: dict[ids.TargetId, int] = {}

    def note_rejected(self, target: ids.TargetId, now_ms: int) -> None:
        """Record that a target had no room for a call."""
        self._rejected_ms = {
            other: at_ms
            for other, at_ms in self._rejected_ms.items()
            if now_ms - at_ms < ACTIVE_MS
        } | {target: now_ms}

    def is_active(self, now_ms: int) -> bool:
        """Return whether a target has rejected a call lately."""
        return any(
            now_ms - at_ms < ACTIVE_MS for at_ms in self._rejected_ms.values()
        )

    def free_slots(
        self, target: ids.TargetId, slots: int, running: int, now_ms: int
    ) -> int:
        """Return how many calls a target has room for."""
        rejected_ms = self._rejected_ms.get(target)
        if rejected_ms is not None and now_ms - rejected_ms < PAUSE_MS:
            return 0
        return max(0, slots - running)


class RoomQueue:
    """The calls that wait for room at one service, the most urgent first."""

    def __init__(self) -> None:
        self._tickets: list[Ticket] = []
        self._numbers = itertools.count()

    def __len__(self) -> int:
        return len(self._tickets)

    def join(self, urgency: int) -> Ticket | None:
        """Add a call, of which urgency 0 goes first; None if it can't wait.

        The queue takes a limited number of calls.
        """
        if len(self._tickets) >= MAX_WAITING:
            return None
        ticket = (urgency, next(self._numbers))
        bisect.insort(self._tickets, ticket)
        return ticket

    def leave(self, ticket: Ticket) -> None:
        """Remove a call that waits no longer."""
        del self._tickets[bisect.bisect_left(self._tickets, ticket)]

    def is_next(self, ticket: Ticket, free_slots: int) -> bool:
        """Return whether a waiting call may take one of the free slots."""
        return bisect.bisect_left(self._tickets, ticket) < free_slots

    def may_pass(self, urgency: int, free_slots: int) -> bool:
        """Return whether a new call may take a free slot without waiting."""
        before = bisect.bisect_right(
            self._tickets, urgency, key=lambda ticket: ticket[0]
        )
        return before < free_slots
