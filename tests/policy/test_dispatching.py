"""Tests of the choice of a replica and of refusals."""

import typing

from cardamom_kernel import ids
from cardamom_policy import dispatching
from cardamom_policy import refusals


def candidate(name: str, **overrides: typing.Any) -> dispatching.Candidate:
    """Return an idle local replica."""
    defaults: dict[str, typing.Any] = {
        "slots": 64,
        "running": 0,
        "prefill_tokens": 0.0,
        "is_local": True,
    }
    return dispatching.Candidate(
        id=ids.TargetId(name), **(defaults | overrides)
    )


class TestChoose:
    """Which replica gets a request."""

    def test_a_long_prompt_ahead_weighs_more_than_many_short_ones(
        self,
    ) -> None:
        """Guards against counting load in requests instead of tokens."""
        long_ahead = candidate("a", running=1, prefill_tokens=6_000.0)
        many_short = candidate("b", running=12, prefill_tokens=600.0)
        choice = dispatching.choose([long_ahead, many_short], 1_000)
        assert choice is not None and choice.id == "b"

    def test_cached_parts_attract_a_session(self) -> None:
        """They don't attract it to a replica with much more pending work."""
        cached = candidate("a", cached_tokens=2_000, prefill_tokens=500.0)
        choice = dispatching.choose([cached, candidate("b")], 2_400)
        assert choice is not None and choice.id == "a"
        overloaded = candidate(
            "a", cached_tokens=2_000, prefill_tokens=9_000.0
        )
        choice = dispatching.choose([overloaded, candidate("b")], 2_400)
        assert choice is not None and choice.id == "b"

    def test_another_data_centre_must_save_enough_time(self) -> None:
        """Guards against traffic between data centres for a small gain."""
        remote = candidate("far", is_local=False)
        local = candidate("near", prefill_tokens=1_000.0)
        choice = dispatching.choose([remote, local], 1_000)
        assert choice is not None and choice.id == "near"

    def test_a_failing_replica_is_used_less(self) -> None:
        """Guards against a failing replica that attracts plain calls."""
        choice = dispatching.choose(
            [candidate("a", failure_ratio=0.8), candidate("b", running=3)],
            None,
        )
        assert choice is not None and choice.id == "b"

    def test_choice_without_replicas_is_none(self) -> None:
        """Guards against an error for an empty list."""
        assert dispatching.choose([], 10) is None


class TestPrefixCacheEstimate:
    """The estimate of a replica's prefix cache."""

    def test_a_part_counts_only_after_the_parts_before_it(self) -> None:
        """Guards against hits after a different part, model or adapter."""
        estimate = dispatching.PrefixCacheEstimate(10_000)
        estimate.record_prompt(("m", ""), [("a", 100), ("b", 50)])
        assert (
            estimate.cached_tokens(("m", ""), [("a", 100), ("b", 50)]) == 150
        )
        assert (
            estimate.cached_tokens(("m", ""), [("a", 100), ("c", 50)]) == 100
        )
        assert estimate.cached_tokens(("m", ""), [("c", 10), ("b", 50)]) == 0
        assert estimate.cached_tokens(("m", "x"), [("a", 100)]) == 0

    def test_the_oldest_parts_are_evicted(self) -> None:
        """Guards against an estimate larger than the cache."""
        estimate = dispatching.PrefixCacheEstimate(250)
        for name in ("a", "b", "c"):
            estimate.record_prompt(("m", ""), [(name, 100)])
        assert estimate.cached_tokens(("m", ""), [("a", 100)]) == 0
        assert estimate.cached_tokens(("m", ""), [("c", 100)]) == 100


class TestRefusals:
    """Immediate refusals and the wait before a retry."""

    def test_a_late_request_is_refused_with_its_wait(self) -> None:
        """The wait is the time by which the deadline would be missed."""
        assert refusals.excess_ms(800.0, 1_000.0) <= 0
        excess_ms = refusals.excess_ms(2_000.0, 1_000.0)
        assert refusals.retry_after_ms(excess_ms) == 1_100
