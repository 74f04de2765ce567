"""Failure detection with a lease: may this instance act on what it holds?

An instance is fresh for ``period_ms`` after it last heard from a quorum.
What counts is the moment at which the question was sent, so an answer that
was under way for long confirms little.  The time is compared on the
instance's own monotonic clock at the act, so a pause of the process between
check and act shows as no longer fresh.  The idea is that of leases in Gray
and Cheriton, 1989, without a single grantor.
"""

import typing

from cardamom_kernel import clocks
from cardamom_kernel import ids
from cardamom_kernel import rosters

FRESHNESS_PERIOD_MS = 2_000


class Freshness:
    """Tracks confirmations by seat and by the table.

    ``own_seat`` always confirms itself.  A seat whose holder the platform's
    instance list has dropped counts as confirmed beside the table, since a
    stopped instance cannot act.
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
        self._gone: frozenset[ids.SeatId] = frozenset()
        self._table_sent_ms: int = clocks.NEVER_MS
        self._until_ms: int = clocks.NEVER_MS
        self._is_changed = False

    def hold_roster(
        self,
        roster: rosters.Roster,
        own_seat: ids.SeatId | None,
    ) -> None:
        """Judge by this roster from now on."""
        self._roster = roster
        self._own_seat = own_seat
        voters = frozenset().union(*roster.voter_sets())
        self._sent_ms_by_seat = {
            seat: sent_ms
            for seat, sent_ms in self._sent_ms_by_seat.items()
            if seat in voters
        }
        self._is_changed = True

    def set_gone(self, seats: typing.Iterable[ids.SeatId]) -> None:
        """Set the seats whose holders the instance list has dropped."""
        self._gone = frozenset(seats)
        self._is_changed = True

    def confirm_seat(self, seat: ids.SeatId, sent_ms: int) -> None:
        """Count an answer of a seat to a question sent at ``sent_ms``.

        Call it only once everything that the answer announced is held.
        """
        if sent_ms > self._sent_ms_by_seat.get(seat, clocks.NEVER_MS):
            self._sent_ms_by_seat[seat] = sent_ms
            self._is_changed = True

    def confirm_table(self, sent_ms: int) -> None:
        """Count a linearizable read of the table begun at ``sent_ms``."""
        if sent_ms > self._table_sent_ms:
            self._table_sent_ms = sent_ms
            self._is_changed = True

    def ages_ms(self) -> typing.Iterator[tuple[ids.SeatId, int]]:
        """Yield each confirmed seat with the age of its confirmation."""
        now_ms = self._clock.now_ms()
        for seat, sent_ms in self._sent_ms_by_seat.items():
            if now_ms - sent_ms < self._period_ms:
                yield seat, now_ms - sent_ms

    def heard_ms(self, seat: ids.SeatId) -> int:
        """Return when a seat last confirmed, on the own clock."""
        return self._seat_ms(seat)

    def fresh_until_ms(self) -> int:
        """Return the end of the current right to act, on the own clock."""
        if self._is_changed:
            self._recompute()
            self._is_changed = False
        return self._until_ms

    def is_fresh(self) -> bool:
        """Tell whether this instance may act at this moment."""
        return self._clock.now_ms() < self.fresh_until_ms()

    def _recompute(self) -> None:
        if self._roster is None:
            return
        sets = self._roster.voter_sets()
        alone_ms = min(self._without_table_ms(seats) for seats in sets)
        beside_ms = min(self._with_table_ms(seats) for seats in sets)
        heard_ms = max(alone_ms, min(beside_ms, self._table_sent_ms))
        self._until_ms = heard_ms + self._period_ms

    def _without_table_ms(self, seats: frozenset[ids.SeatId]) -> int:
        times = [self._seat_ms(seat) for seat in seats]
        return _nth_latest(times, rosters.quorum_without_table(len(seats)))

    def _with_table_ms(self, seats: frozenset[ids.SeatId]) -> int:
        times = [
            clocks.FOREVER_MS if seat in self._gone else self._seat_ms(seat)
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


class Settling:
    """Tells when a change that tightens something is in force.

    Once a quorum has acknowledged the change, whoever has not heard of it
    stays fresh for the rest of its period at most.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        period_ms: int = FRESHNESS_PERIOD_MS,
    ) -> None:
        self._clock = clock
        self._period_ms = period_ms
        self._acknowledged_ms: int | None = None

    def note(self, is_acknowledged: bool) -> bool:
        """Take the present state of acknowledgement; true once in force.

        What was acknowledged once stays so, since acknowledgements are not
        taken back.
        """
        now_ms = self._clock.now_ms()
        if self._acknowledged_ms is None:
            if not is_acknowledged:
                return False
            self._acknowledged_ms = now_ms
        return now_ms - self._acknowledged_ms >= self._period_ms
