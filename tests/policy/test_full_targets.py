"""Tests of targets without room, and of the calls that wait for it."""

import random

from cardamom_kernel import ids
from cardamom_policy import full_targets

TARGET = ids.TargetId("i-1")
OTHER = ids.TargetId("i-2")


class TestFullTargets:
    """Rejections as news of full targets."""

    def test_service_without_rejections_is_left_alone(self) -> None:
        """Its targets may queue calls beyond their slots."""
        full = full_targets.FullTargets()
        assert not full.is_active(0)
        full.note_rejected(TARGET, 0)
        assert full.is_active(full_targets.ACTIVE_MS - 1)
        assert not full.is_active(full_targets.ACTIVE_MS)

    def test_rejection_pauses_the_target_for_a_moment(self) -> None:
        """The known load is older than the rejection."""
        full = full_targets.FullTargets()
        full.note_rejected(TARGET, 0)
        assert full.free_slots(TARGET, 6, 2, 10) == 0
        assert full.free_slots(OTHER, 6, 2, 10) == 4
        assert full.free_slots(TARGET, 6, 2, full_targets.PAUSE_MS) == 4

    def test_more_running_calls_than_slots_leave_no_room(self) -> None:
        """The loads of several instances may add up to more."""
        full = full_targets.FullTargets()
        assert full.free_slots(TARGET, 6, 9, 0) == 0

    def test_old_rejections_are_dropped(self) -> None:
        """Targets come and go; their ids must not pile up."""
        full = full_targets.FullTargets()
        for number in range(1_000):
            full.note_rejected(ids.TargetId(f"i-{number}"), number * 1_000)
        assert len(full._rejected_ms) <= 10


class TestRoomQueue:
    """The order of waiting calls."""

    def test_more_urgent_call_goes_first(self) -> None:
        """Calls of low priority took the slots before."""
        queue = full_targets.RoomQueue()
        low, high, second_low = (queue.join(u) for u in (5, 1, 5))
        assert low and high and second_low
        assert queue.is_next(high, 1)
        assert not queue.is_next(low, 1)
        assert queue.is_next(low, 2) and not queue.is_next(second_low, 2)
        queue.leave(high)
        assert queue.is_next(low, 1)

    def test_new_call_passes_less_urgent_ones_only(self) -> None:
        """A stream of new calls would else starve those that wait."""
        queue = full_targets.RoomQueue()
        assert queue.may_pass(5, 1) and not queue.may_pass(5, 0)
        assert queue.join(5)
        assert not queue.may_pass(5, 1) and queue.may_pass(5, 2)
        assert queue.may_pass(4, 1)

    def test_full_queue_takes_no_more_calls(self) -> None:
        """They would wait in vain."""
        queue = full_targets.RoomQueue()
        for _ in range(full_targets.MAX_WAITING):
            assert queue.join(1) is not None
        assert queue.join(1) is None

    def test_calls_that_leave_in_any_order_leave_nothing(self) -> None:
        """A ticket that stays would block the others."""
        queue = full_targets.RoomQueue()
        tickets = [queue.join(number % 3) for number in range(30)]
        random.Random(1).shuffle(tickets)
        for ticket in tickets:
            assert ticket is not None
            queue.leave(ticket)
        assert len(queue) == 0
