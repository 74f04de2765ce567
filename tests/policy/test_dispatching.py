"""The choice of a replica, and refusals."""

import typing

from cardamom_kernel import ids
from cardamom_policy import dispatching
from cardamom_policy import refusals


def candidate(name: str, **more: typing.Any) -> dispatching.Candidate:
    """Return an idle local replica."""
    known: dict[str, typing.Any] = {
        "slots": 64,
        "running": 0,
        "prefill_tokens": 0.0,
        "is_local": True,
    }
    return dispatching.Candidate(id=ids.TargetId(name), **(known | more))


class TestChoose:
    """Which replica gets a request."""

    def test_a_long_prompt_ahead_weighs_more_than_many_short_ones(
        self,
    ) -> None:
        """Load is what must be read first, not a count of requests."""
        long_ahead = candidate("a", running=1, prefill_tokens=6_000.0)
        many_short = candidate("b", running=12, prefill_tokens=600.0)
        choice = dispatching.choose([long_ahead, many_short], 1_000)
        assert choice is not None and choice.id == "b"

    def test_kept_parts_draw_a_session_back(self) -> None:
        """But not to a replica that is far behind."""
        kept = candidate("a", kept_tokens=2_000, prefill_tokens=500.0)
        choice = dispatching.choose([kept, candidate("b")], 2_400)
        assert choice is not None and choice.id == "a"
        behind = candidate("a", kept_tokens=2_000, prefill_tokens=9_000.0)
        choice = dispatching.choose([behind, candidate("b")], 2_400)
        assert choice is not None and choice.id == "b"

    def test_another_data_centre_must_gain_enough(self) -> None:
        """Bytes between data centres have a price."""
        far = candidate("far", is_local=False)
        near = candidate("near", prefill_tokens=1_000.0)
        choice = dispatching.choose([far, near], 1_000)
        assert choice is not None and choice.id == "near"

    def test_a_failing_replica_is_used_less(self) -> None:
        """Failures cost as much as a wait."""
        choice = dispatching.choose(
            [candidate("a", failures=0.8), candidate("b", running=3)], None
        )
        assert choice is not None and choice.id == "b"

    def test_no_replica_no_choice(self) -> None:
        """There is nothing to choose from."""
        assert dispatching.choose([], 10) is None


class TestKeptParts:
    """What a replica is thought to keep."""

    def test_a_part_counts_only_behind_those_before_it(self) -> None:
        """Another first part leaves nothing kept."""
        kept = dispatching.KeptParts(10_000)
        kept.note(("m", ""), [("a", 100), ("b", 50)])
        assert kept.kept_tokens(("m", ""), [("a", 100), ("b", 50)]) == 150
        assert kept.kept_tokens(("m", ""), [("a", 100), ("c", 50)]) == 100
        assert kept.kept_tokens(("m", ""), [("c", 10), ("b", 50)]) == 0
        assert kept.kept_tokens(("m", "x"), [("a", 100)]) == 0

    def test_the_oldest_parts_are_forgotten(self) -> None:
        """As the replica's memory is bounded."""
        kept = dispatching.KeptParts(250)
        for name in ("a", "b", "c"):
            kept.note(("m", ""), [(name, 100)])
        assert kept.kept_tokens(("m", ""), [("a", 100)]) == 0
        assert kept.kept_tokens(("m", ""), [("c", 100)]) == 100


class TestRefusals:
    """What is refused at once, and when to come back."""

    def test_what_would_be_late_is_refused_with_its_wait(self) -> None:
        """The wait is what is missing."""
        assert refusals.excess_ms(800.0, 1_000.0) <= 0
        excess_ms = refusals.excess_ms(2_000.0, 1_000.0)
        assert refusals.retry_after_ms(excess_ms) == 1_100
