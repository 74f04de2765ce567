"""Tests of the bound on requests in flight at a replica."""

from cardamom_policy import room

EXPIRES_MS = 10_000


def fill(bounded: room.Room, now_ms: int = 0) -> int:
    """Take permits until there is no room; return how many."""
    for number in range(100):
        if not bounded.take(f"{now_ms}-{number}", True, EXPIRES_MS, now_ms):
            return number
    return 100


class TestRoom:
    """The bound falls with rejections, and grows with time."""

    def test_bound_is_the_number_of_slots_at_first(self) -> None:
        """Nothing better is known."""
        assert fill(room.Room(6, 0)) == 6

    def test_rejection_leaves_room_for_those_that_were_accepted(self) -> None:
        """The sixth request was rejected, so five fit."""
        bounded = room.Room(6, 0)
        fill(bounded)
        bounded.finish("0-5", True, 0)
        assert bounded.bound == 5
        assert not bounded.take("other", True, EXPIRES_MS, 0)

    def test_simultaneous_rejections_count_each(self) -> None:
        """Four of six were rejected, so two fit."""
        bounded = room.Room(6, 0)
        fill(bounded)
        for number in range(2, 6):
            bounded.finish(f"0-{number}", True, 0)
        assert bounded.bound == 2

    def test_bound_never_falls_below_one(self) -> None:
        """A target that gets nothing would never be tried again."""
        bounded = room.Room(1, 0)
        for number in range(3):
            assert bounded.take(str(number), True, EXPIRES_MS, 0)
            bounded.finish(str(number), True, 0)
        assert bounded.bound == 1

    def test_bound_grows_by_one_in_a_period(self) -> None:
        """Each step may cost a rejection, so that steps are few."""
        bounded = room.Room(6, 0)
        fill(bounded)
        for number in range(6):
            bounded.finish(f"0-{number}", number >= 4, 0)
        assert bounded.bound == 4
        counts = [
            fill(bounded, now_ms)
            for now_ms in range(0, room.GROWTH_PERIOD_MS + 1, 100)
        ]
        assert sum(counts) == 5

    def test_permit_whose_end_is_never_reported_expires(self) -> None:
        """Its instance may have ended."""
        bounded = room.Room(2, 0)
        assert fill(bounded) == 2
        assert bounded.take("later", True, 2 * EXPIRES_MS, EXPIRES_MS + 1)

    def test_last_place_is_left_to_urgent_requests(self) -> None:
        """Others would take all places first."""
        bounded = room.Room(3, 0)
        taken = [
            bounded.take(str(number), False, EXPIRES_MS, 0)
            for number in range(3)
        ]
        assert taken == [True, True, False]
        assert bounded.take("urgent", True, EXPIRES_MS, 0)
