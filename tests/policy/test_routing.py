"""Routing: room, load, slowness, distance, prefixes and suspects."""

import typing

from cardamom_kernel import ids
from cardamom_policy import retries
from cardamom_policy import routing


def _candidate(
    name: str, used: int = 0, **more: typing.Any
) -> routing.Candidate:
    values: dict[str, typing.Any] = {
        "id": ids.TargetId(name),
        "slots": 10,
        "own_in_flight": used,
        "others_in_flight": 0,
        "is_local": True,
        **more,
    }
    return routing.Candidate(**values)


def _chosen(*candidates: routing.Candidate, **more: typing.Any) -> str | None:
    found = routing.choose(candidates, **more)
    return found.id if found else None


class TestChoose:
    """The choice of a target."""

    def test_least_loaded_counts_the_others(self) -> None:
        one = _candidate("a", 2, others_in_flight=5)
        assert _chosen(one, _candidate("b", 4)) == "b"

    def test_full_targets_get_nothing(self) -> None:
        assert _chosen(_candidate("a", 10), _candidate("b", 12)) is None

    def test_local_wins_a_near_tie_only(self) -> None:
        far = _candidate("a", 2, is_local=False)
        assert _chosen(far, _candidate("b", 2)) == "b"
        assert _chosen(far, _candidate("b", 6)) == "a"

    def test_slow_target_is_used_less(self) -> None:
        slow = _candidate("a", 2, slowness=4.0)
        assert _chosen(slow, _candidate("b", 4)) == "b"

    def test_target_coming_back_is_not_swamped(self) -> None:
        new = _candidate("a", 1, up_ms=0)
        assert _chosen(new, _candidate("b", 5)) == "b"

    def test_prefix_draws_within_a_bound(self) -> None:
        cached = _candidate("a", 3, has_prefix=True)
        assert _chosen(cached, _candidate("b", 2)) == "a"
        cached = _candidate("a", 9, has_prefix=True)
        assert _chosen(cached, _candidate("b", 0)) == "b"

    def test_suspects_stay_apart(self) -> None:
        taken = _candidate("a", 1, suspects=1)
        assert _chosen(taken, is_suspect=True) is None
        assert _chosen(taken, is_suspect=False) == "a"

    def test_excluded_targets_are_not_tried_again(self) -> None:
        assert _chosen(_candidate("a"), exclude={ids.TargetId("a")}) is None


class TestRetryBudget:
    """Retries stay a part of the traffic."""

    def test_part_of_first_attempts(self) -> None:
        budget = retries.RetryBudget(10, reserve=5)
        taken = 0
        for _ in range(1_000):
            budget.earn()
            taken += budget.take()
        assert taken <= 1_000 * 0.1 + 5
