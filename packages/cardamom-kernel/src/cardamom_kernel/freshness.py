"""Failure detection by a quorum lease: whether an instance's data is fresh.

An instance is fresh, and may act on its data, for ``period_ms`` after a
quorum of seats confirmed that it is in contact.  A confirmation counts from
the moment at which the request for it was sent, so a response that was
delayed on the network does not extend freshness.  Freshness is compared with
the instance's own monotonic clock at the time of each action, so a process
that was paused between check and action is found to be stale.  The idea is
that of leases in Gray and Cheriton, 1989, without a single grantor.
"""

import typing

from cardamom_kernel import clocks
from cardamom_kernel import ids
from cardamom_kernel import rosters

FRESHNESS_PERIOD_MS = 2_000


class Freshness:
    """Tracks when each seat and the table last confirmed this instance.

    All times are readings of ``clock`` in milliseconds.  The own seat always
    counts as confirmed.  A seat whose holder is no longer in the platform's
    instance list counts as confirmed in a quorum that includes the table,
    since a stopped instance cannot act.  Without a roster nothing is fresh.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        period_ms: int = FRESHNESS_PERIOD_MS,
    ) -> None:
        self._clock = clock
        self._period_ms = period_ms
        self._roster: rosters.Roster | None = None
        self._own_seat: ids.SeatId | None = None
        self._sent_ms_by_seat: dict[ids.SeatId, int] = {}
        self._unlisted_seats: frozenset[ids.SeatId] = frozenset()
        self._table_sent_ms: int = clocks.NEVER_MS
        self._fresh_until_ms: int = clocks.NEVER_MS
        self._needs_recompute = False

    def set_roster(
        self,
        roster: rosters.Roster,
        own_seat: ids.SeatId | None,
    ) -> None:
        """Use this roster from now on.

        ``own_seat`` is None if this instance holds no seat.  Confirmations
        of seats that are not voters in the roster are dropped.
        """
        self._roster = roster
        self._own_seat = own_seat
        voters = frozenset().union(*roster.voter_sets())
        self._sent_ms_by_seat = {
            seat: sent_ms
            for seat, sent_ms in self._sent_ms_by_seat.items()
            if seat in voters
        }
        self._needs_recompute = True

    def set_unlisted_seats(self, seats: typing.Iterable[ids.SeatId]) -> None:
        """Set the seats whose holders are not in the instance list."""
        self._unlisted_seats = frozenset(seats)
        self._needs_recompute = True

    def confirm_seat(self, seat: ids.SeatId, sent_ms: int) -> None:
        """Record a seat's response to a request sent at ``sent_ms``.

        Call it only after every state update in the response was applied.
        """
        if sent_ms > self._sent_ms_by_seat.get(seat, clocks.NEVER_MS):
            self._sent_ms_by_seat[seat] = sent_ms
            self._needs_recompute = True

    def confirm_table(self, sent_ms: int) -> None:
        """Record a linearizable table read that began at ``sent_ms``."""
        if sent_ms > self._table_sent_ms:
            self._table_sent_ms = sent_ms
            self._needs_recompute = True

    def confirmation_ages_ms(self) -> typing.Iterator[tuple[ids.SeatId, int]]:
        """Yield each confirmed seat with its confirmation's age in ms.

        Seats whose confirmation is older than the period are left out.
        """
        now_ms = self._clock.now_ms()
        for seat, sent_ms in self._sent_ms_by_seat.items():
            if now_ms - sent_ms < self._period_ms:
                yield seat, now_ms - sent_ms

    def last_confirmed_ms(self, seat: ids.SeatId) -> int:
        """Return the sending time of a seat's last confirmed request.

        Returns ``clocks.NEVER_MS`` if there is none, and
        ``clocks.FOREVER_MS`` for the own seat.
        """
        return self._seat_ms(seat)

    def fresh_until_ms(self) -> int:
        """Return until when this instance is fresh, on its own clock.

        The result may be in the past.
        """
        if self._needs_recompute:
            self._recompute()
            self._needs_recompute = False
        return self._fresh_until_ms

    def is_fresh(self) -> bool:
        """Return whether this instance may act at this moment."""
        return self._clock.now_ms() < self.fresh_until_ms()

    def _recompute(self) -> None:
        if self._roster is None:
            return
        voter_sets = self._roster.voter_sets()
        without_table_ms = min(
            self._without_table_ms(seats) for seats in voter_sets
        )
        with_table_ms = min(self._with_table_ms(seats) for seats in voter_sets)
        confirmed_ms = max(
            without_table_ms, min(with_table_ms, self._table_sent_ms)
        )
        self._fresh_until_ms = confirmed_ms + self._period_ms

    def _without_table_ms(self, seats: frozenset[ids.SeatId]) -> int:
        times = [self._seat_ms(seat) for seat in seats]
        return _nth_latest(times, rosters.quorum_without_table(len(seats)))

    def _with_table_ms(self, seats: frozenset[ids.SeatId]) -> int:
        times = [
            clocks.FOREVER_MS
            if seat in self._unlisted_seats
            else self._seat_ms(seat)
            for seat in seats
        ]
        return _nth_latest(times, rosters.quorum_with_table(len(seats)))

    def _seat_ms(self, seat: ids.SeatId) -> int:
        if seat == self._own_seat:
            return clocks.FOREVER_MS
        return self._sent_ms_by_seat.get(seat, clocks.NEVER_MS)


def _nth_latest(times: list[int], nth: int) -> int:
    if not times or nth > len(times):
        return clocks.NEVER_MS
    return sorted(times, reverse=True)[nth - 1]


class EnforcementDelay:
    """Determines when a restricting change, such as a withdrawal, applies.

    Once a quorum has acknowledged the change, an instance that has not
    received it can stay fresh for at most one more period.  After that period
    no instance acts without the change: it is in force.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        period_ms: int = FRESHNESS_PERIOD_MS,
    ) -> None:
        self._clock = clock
        self._period_ms = period_ms
        self._acknowledged_ms: int | None = None

    def update(self, is_acknowledged: bool) -> bool:
        """Record whether a quorum has acknowledged the change.

        Returns whether the change is in force.  Once acknowledged, a change
        stays acknowledged, since acknowledgements are never revoked.
        """
        now_ms = self._clock.now_ms()
        if self._acknowledged_ms is None:
            if not is_acknowledged:
                return False
            self._acknowledged_ms = now_ms
        return now_ms - self._acknowledged_ms >= self._period_ms
