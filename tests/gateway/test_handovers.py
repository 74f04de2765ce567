"""Tests of the note from a lease holder to its successor."""

import typing

import pytest

from cardamom_gateway.engines import handovers
from cardamom_kernel import ids

ENGINE = ids.TargetId("e0")


class TestHandover:
    """The note in the lease's row."""

    def test_ages_grow_by_the_stores_clock(self) -> None:
        """A successor would misjudge ages by its own clock."""
        written = handovers.Handover("frontend-1", {ENGINE: 400}, (3_000, 10))
        note = handovers.encode(written, 50_000)
        read = handovers.decode(note, 51_000)
        assert read == handovers.Handover(
            "frontend-1", {ENGINE: 1_400}, (4_000, 1_010)
        )

    def test_ages_do_not_grow_without_the_clock(self) -> None:
        """Otherwise a wait could be too short."""
        written = handovers.Handover("frontend-1", {ENGINE: 400}, ())
        assert (
            handovers.decode(handovers.encode(written, 50_000), None)
            == written
        )

    def test_empty_note_is_no_handover(self) -> None:
        """A lease that expired has no note."""
        assert handovers.decode({}, 50_000) is None

    @pytest.mark.parametrize(
        "note",
        [
            {"at_ms": "x"},
            {"at_ms": 1, "released_by": "a", "orders": [], "loads": []},
            {"at_ms": 1, "released_by": "a", "orders": {"e": None}},
        ],
    )
    def test_malformed_note_is_an_error(
        self, note: dict[str, typing.Any]
    ) -> None:
        """The successor must wait as after a lease that expired."""
        with pytest.raises(handovers.MalformedHandover):
            handovers.decode(note, 50_000)
