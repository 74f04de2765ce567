"""Fleet-wide limits: never above, also through cuts and restarts."""

import collections
import itertools
import random
import typing

import pytest

from cardamom_policy import fleet_windows

WINDOW_MS = 8_000
LIMIT = 9_000.0
STEP_MS = 50


class Fleet:
    """Instances that admit what their windows allow, and tell each other."""

    def __init__(self, count: int, started_ms: int = -20_000) -> None:
        self.now_ms = 0
        self.names = [f"n{number}" for number in range(count)]
        self.windows = [self._window(started_ms) for _ in self.names]
        self.starts = [0] * count
        self.cut: set[int] = set()
        self.admitted: list[tuple[int, float]] = []
        self._meet()

    def _window(self, started_ms: int) -> fleet_windows.FleetWindow:
        return fleet_windows.FleetWindow(WINDOW_MS, started_ms)

    def _meet(self) -> None:
        for name, window in zip(self.names, self.windows, strict=True):
            window.set_members([n for n in self.names if n != name])

    def restart(self, number: int) -> None:
        """Kill an instance; its successor knows nothing."""
        self.windows[number] = self._window(self.now_ms)
        self.starts[number] += 1
        self._meet()

    def profile(self) -> fleet_windows.Profile:
        """Return what the first instance would store now."""
        return self.windows[0].profile("team", self.now_ms)

    def restart_all(self, stored: fleet_windows.Profile) -> None:
        """Kill every instance; their successors read what was stored."""
        for number in range(len(self.names)):
            self.restart(number)
            self.windows[number].set_earlier({"team": stored})

    def exchange(self) -> None:
        """Let instances on the same side of the cut tell each other."""
        for teller, name in enumerate(self.names):
            told = self.windows[teller].export(self.now_ms, self.now_ms - 900)
            for listener, window in enumerate(self.windows):
                same_side = (teller in self.cut) == (listener in self.cut)
                if listener != teller and same_side:
                    incarnation = f"{name}@{self.starts[teller]}"
                    window.heard(incarnation, told, self.now_ms)

    def run(self, duration_ms: int, per_step: float, seed: int) -> None:
        """Offer requests at random instances, telling every 0.4 s."""
        draw = random.Random(seed)
        for _ in range(duration_ms // STEP_MS):
            self.now_ms += STEP_MS
            if self.now_ms % 400 == 0:
                self.exchange()
            offered = 0.0
            while offered < per_step:
                amount = draw.uniform(5, 40)
                offered += amount
                number = draw.randrange(len(self.names))
                window = self.windows[number]
                if window.take("team", amount, LIMIT, self.now_ms):
                    self.admitted.append((self.now_ms, amount))

    def most_in_a_window(self) -> float:
        """Return the largest sum over a window."""
        return max(
            sum(
                amount
                for at_ms, amount in self.admitted
                if start_ms <= at_ms < start_ms + WINDOW_MS
            )
            for start_ms, _ in self.admitted[::20]
        )


class TestFleetWindow:
    """One limit over several instances."""

    def test_a_team_within_its_limit_is_never_refused(self) -> None:
        """One instance may use what others leave."""
        fleet = Fleet(7)
        fleet.exchange()
        window = fleet.windows[0]
        for _ in range(85):
            assert window.take("team", 100.0, LIMIT, fleet.now_ms)

    @pytest.mark.parametrize("seed", range(3))
    def test_a_flood_stays_within_the_limit(self, seed: int) -> None:
        """The agreed overage of a tenth covers the lag."""
        fleet = Fleet(7)
        fleet.run(20_000, per_step=150.0, seed=seed)
        assert fleet.most_in_a_window() <= LIMIT * 1.1

    @pytest.mark.parametrize("seed", range(3))
    def test_a_cut_leaves_each_side_its_part(self, seed: int) -> None:
        """Both sides together stay within the limit."""
        fleet = Fleet(7)
        fleet.run(9_000, per_step=60.0, seed=seed)
        fleet.cut = {0, 1, 2}
        fleet.run(12_000, per_step=60.0, seed=seed)
        assert fleet.most_in_a_window() <= LIMIT * 1.1

    @pytest.mark.parametrize("seed", range(3))
    def test_a_herd_restart_does_not_open_a_new_window(
        self, seed: int
    ) -> None:
        """What was near its limit counts on, by what the store keeps."""
        fleet = Fleet(7)
        fleet.run(12_000, per_step=120.0, seed=seed)
        fleet.restart_all(fleet.profile())
        fleet.run(12_000, per_step=120.0, seed=seed)
        assert fleet.most_in_a_window() <= LIMIT * 1.1

    @pytest.mark.parametrize("seed", range(3))
    def test_a_herd_restart_leaves_a_flooded_team_its_rate(
        self, seed: int
    ) -> None:
        """Earlier use leaves the window as it would have without it."""
        served = []
        for has_restart in (False, True):
            fleet = Fleet(7)
            fleet.run(12_000, per_step=120.0, seed=seed)
            if has_restart:
                fleet.restart_all(fleet.profile())
            restart_ms = fleet.now_ms
            fleet.run(7_000, per_step=120.0, seed=seed)
            served.append(
                sum(
                    amount
                    for at_ms, amount in fleet.admitted
                    if at_ms > restart_ms
                )
            )
        without, restarted = served
        assert restarted >= without - 0.15 * LIMIT  # the new headroom

    @pytest.mark.parametrize("seed", range(5))
    def test_a_stored_part_that_has_grown_since(self, seed: int) -> None:
        """A flood goes on between the last storing and the restart."""
        fleet = Fleet(7)
        fleet.run(2_500, per_step=110.0, seed=seed)
        stored = fleet.profile()
        fleet.run(900, per_step=110.0, seed=seed + 100)
        fleet.restart_all(stored)
        fleet.run(8_000, per_step=120.0, seed=seed)
        assert fleet.most_in_a_window() <= LIMIT * 1.1

    def test_new_use_of_a_peer_does_not_lessen_the_estimate(self) -> None:
        """Only what an elder peer tells was part of the earlier use."""
        for is_elder, expected in ((False, 9_500.0), (True, 9_000.0)):
            window = fleet_windows.FleetWindow(WINDOW_MS, 0)
            window.set_members(["n1"])
            full = fleet_windows.Profile(0, (9_000.0,))
            window.set_earlier({"team": full})
            told = {"team": (500.0, 500.0)}
            window.heard("n1@2", told, 400, is_elder=is_elder)
            assert window.used("team", 400, LIMIT) == expected

    def test_a_lost_report_is_made_good_by_the_next(self) -> None:
        """Totals are told, so nothing is counted twice or forgotten."""
        teller = fleet_windows.FleetWindow(WINDOW_MS, -20_000)
        listener = fleet_windows.FleetWindow(WINDOW_MS, -20_000)
        for at_ms in (0, 100, 200):
            teller.add("team", 10.0, at_ms)
            if at_ms != 100:
                told = teller.export(at_ms, at_ms - 900)
                listener.heard("t@1", told, at_ms)
                listener.heard("t@1", told, at_ms)
        assert listener.used("team", 200) == 30.0


class Flood:
    """A team whose large requests come faster than its limit allows.

    Sizes and rates are those of the users' teams: requests of 2,000 tokens
    in the mean and 7,000 at most, against a limit of some 100,000.
    """

    RULE = 35_000.0 * 1.1 + 17_000  # what must never be exceeded
    LIMIT = 35_000.0 * 1.075 + 17_000 * 0.75
    HOP_MS = 3
    TELL_MS = 5
    PERIOD_MS = 400

    def __init__(self, seed: int, tells_at_once: bool) -> None:
        self.draw = random.Random(seed)
        self.tells_at_once = tells_at_once
        self.names = [f"n{number}" for number in range(7)]
        self.windows = [
            fleet_windows.FleetWindow(WINDOW_MS, -20_000) for _ in self.names
        ]
        for name, window in zip(self.names, self.windows, strict=True):
            window.set_members([n for n in self.names if n != name])
        self.tell_at = [self.draw.randrange(400) for _ in self.names]
        self.on_the_way: list[tuple[int, str, typing.Any]] = []
        self.admitted: list[tuple[int, float]] = []

    def run(self, duration_ms: int, per_s: float) -> None:
        """Offer requests at random instances."""
        next_ms = 0.0
        for now_ms in range(0, duration_ms, 2):
            self._tell(now_ms)
            while next_ms <= now_ms:
                next_ms += self.draw.expovariate(per_s / 1000)
                self._offer(now_ms)

    def _offer(self, now_ms: int) -> None:
        number = self.draw.randrange(len(self.names))
        amount = min(7_000.0, self.draw.lognormvariate(7.2, 0.9))
        window = self.windows[number]
        if window.take("team", amount, self.LIMIT, now_ms):
            self.admitted.append((now_ms, amount))
            is_due = window.is_news_due("team", self.LIMIT, now_ms)
            if self.tells_at_once and is_due:
                due_ms = now_ms + self.TELL_MS
                self.tell_at[number] = min(due_ms, self.tell_at[number])

    def _tell(self, now_ms: int) -> None:
        for number, name in enumerate(self.names):
            if now_ms < self.tell_at[number]:
                continue
            self.tell_at[number] = now_ms + self.PERIOD_MS
            told = self.windows[number].export(now_ms, now_ms - 2_300)
            self.windows[number].note_told()
            self.on_the_way.append((now_ms + self.HOP_MS, name, told))
        while self.on_the_way and self.on_the_way[0][0] <= now_ms:
            _, name, told = self.on_the_way.pop(0)
            others = itertools.compress(
                self.windows, (n != name for n in self.names)
            )
            for window in others:
                if self.draw.random() > 0.03:  # some datagrams are lost
                    window.heard(f"{name}@1", told, now_ms)

    def most_in_a_window(self) -> float:
        """Return the largest sum over a window."""
        recent: collections.deque[tuple[int, float]] = collections.deque()
        most = total = 0.0
        for at_ms, amount in self.admitted:
            recent.append((at_ms, amount))
            total += amount
            while recent[0][0] <= at_ms - WINDOW_MS:
                total -= recent.popleft()[1]
            most = max(most, total)
        return most


class TestFlood:
    """A settled fleet uses most of the overage and never exceeds it."""

    @pytest.mark.parametrize("seed", range(4))
    @pytest.mark.parametrize("per_s", [4.0, 20.0])
    def test_counts_are_told_before_they_matter(
        self, seed: int, per_s: float
    ) -> None:
        """No window holds more than the rule allows."""
        flood = Flood(seed, tells_at_once=True)
        flood.run(30_000, per_s)
        assert flood.most_in_a_window() <= flood.RULE

    def test_periods_alone_would_exceed_it(self) -> None:
        """The check above can fail."""
        most = []
        for seed in range(4):
            flood = Flood(seed, tells_at_once=False)
            flood.run(30_000, 20.0)
            most.append(flood.most_in_a_window())
        assert max(most) > Flood.RULE


class TestWait:
    """When a refused request may come back."""

    def test_it_fits_after_the_wait_and_not_before(self) -> None:
        """The oldest counts leave first, those of peers too."""
        window = fleet_windows.FleetWindow(WINDOW_MS, -20_000)
        window.set_members(["n1"])
        window.heard("n1@1", {"team": (4_000.0, 4_000.0)}, 100)
        for at_ms in (200, 1_000, 7_000):
            window.add("team", 1_500.0, at_ms)
        window.heard("n1@1", {"team": (4_000.0, 4_000.0)}, 7_500)
        assert not window.fits("team", 3_000.0, LIMIT, 7_500)
        wait_ms = window.wait_ms("team", 3_000.0, LIMIT, 7_500)
        window.heard("n1@1", {}, 7_500 + wait_ms)
        assert not window.fits("team", 3_000.0, LIMIT, 7_499 + wait_ms)
        assert window.fits("team", 3_000.0, LIMIT, 7_500 + wait_ms)

    def test_what_fits_need_not_wait(self) -> None:
        """Zero is told only then."""
        window = fleet_windows.FleetWindow(WINDOW_MS, -20_000)
        assert window.wait_ms("team", 10.0, LIMIT, 0) == 0

    def test_what_never_fits_waits_for_the_window(self) -> None:
        """A request larger than the limit cannot be served."""
        window = fleet_windows.FleetWindow(WINDOW_MS, -20_000)
        wait_ms = window.wait_ms("team", 2 * LIMIT, LIMIT, 0)
        assert wait_ms == WINDOW_MS


class TestSlidingSum:
    """The sum of a window."""

    def test_amounts_leave_after_the_window(self) -> None:
        """Nothing counts for much longer than the window."""
        counted = fleet_windows.SlidingSum(WINDOW_MS)
        counted.add(5.0, 1_000)
        assert counted.sum(1_000 + WINDOW_MS) == 5.0
        late_ms = 1_000 + WINDOW_MS + 2 * fleet_windows.BUCKET_MS
        assert counted.sum(late_ms) == 0.0
