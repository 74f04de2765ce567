"""What a holder of orders leaves for its successor."""

import typing

import pytest

from cardamom_gateway import handovers
from cardamom_kernel import ids

ENGINE = ids.TargetId("e0")


class TestHandover:
    """The note in the lease's row."""

    def test_ages_go_on_by_the_clock_of_the_store(self) -> None:
        """Whoever reads it, an order is as long ago."""
        left = handovers.Handover("frontend-1", {ENGINE: 400}, (3_000, 10))
        note = handovers.encode(left, 50_000)
        read = handovers.decode(note, 51_000)
        assert read == handovers.Handover(
            "frontend-1", {ENGINE: 1_400}, (4_000, 1_010)
        )

    def test_without_the_clock_no_time_has_passed(self) -> None:
        """A wait may then be too long, and never too short."""
        left = handovers.Handover("frontend-1", {ENGINE: 400}, ())
        assert handovers.decode(handovers.encode(left, 50_000), None) == left

    def test_no_note(self) -> None:
        """The lease ended without one."""
        assert handovers.decode({}, 50_000) is None

    @pytest.mark.parametrize(
        "note",
        [
            {"at_ms": "x"},
            {"at_ms": 1, "released_by": "a", "orders": [], "loads": []},
            {"at_ms": 1, "released_by": "a", "orders": {"e": None}},
        ],
    )
    def test_another_form_is_an_error(
        self, note: dict[str, typing.Any]
    ) -> None:
        """The successor then waits as after a lease that ended."""
        with pytest.raises(handovers.MalformedHandover):
            handovers.decode(note, 50_000)
