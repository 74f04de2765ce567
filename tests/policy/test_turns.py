"""Tests of the turns of callers that are beyond their team's rate."""

import dataclasses
import heapq
import random
import typing

import pytest

from cardamom_kernel import ids
from cardamom_policy import fleet_windows
from cardamom_policy import turns

TEAM = ids.TeamId("team")
WINDOW_MS = 8_000
RATE_PER_S = 100.0
LIMIT = RATE_PER_S * WINDOW_MS / 1000
REMAINING_MS = 12_000
EXCHANGE_MS = 250
STEP_MS = 10


@dataclasses.dataclass(frozen=True)
class Outcome:
    """How many callers came back, and how many of them were refused again.

    ``busiest`` is the largest number that came back within 100 ms.
    """

    returned: int
    refused_again: int
    busiest: int

    @property
    def refused_ratio(self) -> float:
        """Return the part of the returning callers that was refused."""
        return self.refused_again / self.returned


class Flood:
    """A fleet that a team floods for some seconds.

    Before and after, the team uses a part of its rate.  A refused caller comes
    back once, after ``Retry-After`` or a third of its time, to any instance.
    """

    def __init__(self, count: int, has_turns: bool) -> None:
        self._draw = random.Random(5)
        self._names = [f"n{number}" for number in range(count)]
        self._windows = [
            fleet_windows.FleetWindow(WINDOW_MS, -20_000) for _ in self._names
        ]
        for name, window in zip(self._names, self._windows, strict=True):
            window.set_members([n for n in self._names if n != name])
        self._turns = [turns.Turns() for _ in self._names]
        self._has_turns = has_turns
        self._returns: list[int] = []
        self._returned_at: list[int] = []
        self._refused_again = 0

    def run(self, flood_per_s: float) -> Outcome:
        """Run 8 s of ordinary use, a flood of 4 s and 16 s after it."""
        for now_ms in range(0, 28_000, STEP_MS):
            if now_ms % EXCHANGE_MS == 0:
                self._exchange(now_ms)
            is_flood = 8_000 <= now_ms < 12_000
            per_s = flood_per_s if is_flood else 0.6 * RATE_PER_S
            arrivals = int(now_ms * per_s / 1000) - int(
                (now_ms - STEP_MS) * per_s / 1000
            )
            for _ in range(arrivals):
                self._arrive(now_ms)
            while self._returns and self._returns[0] <= now_ms:
                heapq.heappop(self._returns)
                self._returned_at.append(now_ms)
                if self._refuse_ms(now_ms, REMAINING_MS * 2 / 3) is not None:
                    self._refused_again += 1
        busiest = max(
            sum(at <= other < at + 100 for other in self._returned_at)
            for at in self._returned_at
        )
        return Outcome(len(self._returned_at), self._refused_again, busiest)

    def _exchange(self, now_ms: int) -> None:
        reports = [w.export(now_ms, now_ms - 900) for w in self._windows]
        for name, report in zip(self._names, reports, strict=True):
            for other, window in zip(self._names, self._windows, strict=True):
                if other != name:
                    window.receive(f"{name}@0", report, now_ms)

    def _arrive(self, now_ms: int) -> None:
        wait_ms = self._refuse_ms(now_ms, REMAINING_MS)
        if wait_ms is not None:
            wait_ms = min(wait_ms, REMAINING_MS / 3)
            heapq.heappush(self._returns, now_ms + int(wait_ms))

    def _refuse_ms(self, now_ms: int, remaining_ms: float) -> float | None:
        """Return the wait of a refused caller, None if it is admitted."""
        number = self._draw.randrange(len(self._names))
        window, promised = self._windows[number], self._turns[number]
        if window.try_add(TEAM, 1.0, LIMIT, now_ms):
            promised.take(TEAM, now_ms)
            return None
        room_ms = max(50, window.wait_ms(TEAM, 1.0, LIMIT, now_ms))
        if not self._has_turns:
            return room_ms
        pace = turns.Pace(RATE_PER_S, window.share(TEAM, LIMIT, now_ms))
        return promised.promise(TEAM, 1.0, pace, room_ms, remaining_ms, now_ms)


def promises(
    promised: turns.Turns, count: int, pace: turns.Pace, now_ms: int = 0
) -> typing.Iterator[float]:
    """Yield the waits of callers with room after 100 ms, of cost 10 each."""
    for _ in range(count):
        yield promised.promise(TEAM, 10.0, pace, 100, REMAINING_MS, now_ms)


class TestTurns:
    """The turns that one instance promises."""

    def test_turns_follow_one_another_at_the_rate(self) -> None:
        """Callers that return together would be refused again."""
        waits_ms = promises(turns.Turns(), 4, turns.Pace(100.0, 1.0))
        assert list(waits_ms) == [100, 200, 300, 400]

    def test_share_of_the_rate_is_promised(self) -> None:
        """Other instances promise the rest to callers of their own."""
        first, second = promises(turns.Turns(), 2, turns.Pace(100.0, 0.2))
        assert 100 <= first <= 500
        assert 600 <= second <= 1_000

    def test_turn_that_is_too_late_does_not_delay_others(self) -> None:
        """Its caller leaves before, so nobody would take it."""
        promised, pace = turns.Turns(), turns.Pace(100.0, 1.0)
        too_late = promised.promise(TEAM, 500.0, pace, 900, 2_000, 0)
        assert too_late == 900
        assert list(promises(promised, 1, pace)) == [100]

    def test_turn_that_is_not_taken_expires(self) -> None:
        """Most callers return to another instance, and some not at all."""
        promised, pace = turns.Turns(), turns.Pace(100.0, 1.0)
        assert len(list(promises(promised, 20, pace))) == 20
        assert promised.waiting(TEAM, 1_050) == 13
        assert promised.waiting(TEAM, 5_000) == 0
        assert list(promises(promised, 1, pace, 5_000)) == [100]

    def test_admitted_request_takes_a_due_turn_only(self) -> None:
        """Turns still to come would else be promised twice."""
        promised, pace = turns.Turns(), turns.Pace(100.0, 1.0)
        assert len(list(promises(promised, 3, pace))) == 3
        promised.take(TEAM, 50)
        assert promised.waiting(TEAM, 50) == 3
        promised.take(TEAM, 150)
        promised.take(TEAM, 150)
        assert promised.waiting(TEAM, 150) == 2

    def test_teams_do_not_delay_each_other(self) -> None:
        """A flood of one team must not change the waits of others."""
        promised, pace = turns.Turns(), turns.Pace(100.0, 1.0)
        assert len(list(promises(promised, 30, pace))) == 30
        other = ids.TeamId("other")
        assert promised.promise(other, 10.0, pace, 100, 9_000, 0) == 100


class TestShare:
    """An instance's part of a team's requests."""

    def test_share_follows_own_and_reported_use(self) -> None:
        """A turn is as far off as this instance's callers are many."""
        window = fleet_windows.FleetWindow(WINDOW_MS, -20_000)
        window.set_members(["b", "c", "d"])
        assert window.share(TEAM, LIMIT, 0) == 0.25
        window.add(TEAM, 700.0, 0)
        assert window.share(TEAM, LIMIT, 0) > 0.9
        window.receive("b@1", {TEAM: (0.0, 0.0)}, 0)
        window.receive("b@1", {TEAM: (6_300.0, 6_300.0)}, 10)
        assert 0.09 < window.share(TEAM, LIMIT, 10) < 0.12

    def test_instance_without_requests_has_a_share(self) -> None:
        """Its first refused caller would be told to wait for ever."""
        window = fleet_windows.FleetWindow(WINDOW_MS, -20_000)
        window.set_members(["b"])
        window.receive("b@1", {TEAM: (0.0, 0.0)}, 0)
        window.receive("b@1", {TEAM: (LIMIT, LIMIT)}, 10)
        assert 0.04 < window.share(TEAM, LIMIT, 10) < 0.05


class TestFlood:
    """Refusals of a flood of one team, over a whole fleet."""

    @pytest.mark.parametrize("instances", [1, 8, 30])
    def test_fewer_callers_are_refused_again(self, instances: int) -> None:
        """Told when one request fits, more than four fifths are."""
        random.seed(3)
        before = Flood(instances, has_turns=False).run(2 * RATE_PER_S)
        after = Flood(instances, has_turns=True).run(2 * RATE_PER_S)
        assert before.refused_ratio > 0.8
        assert after.refused_ratio < 0.6

    @pytest.mark.parametrize("instances", [8, 30])
    def test_callers_of_a_large_flood_return_one_by_one(
        self, instances: int
    ) -> None:
        """Told when one request fits, hundreds return within 100 ms."""
        random.seed(3)
        before = Flood(instances, has_turns=False).run(8 * RATE_PER_S)
        after = Flood(instances, has_turns=True).run(8 * RATE_PER_S)
        assert before.busiest > 200
        assert after.busiest < 120
