"""Routing: room, load, slowness, distance, prefixes and suspects."""

import typing

from cardamom_kernel import ids
from cardamom_policy import retries
from cardamom_policy import routing


def _candidate(
    name: str, used: int = 0, **overrides: typing.Any
) -> routing.Candidate:
    values: dict[str, typing.Any] = {
        "id": ids.TargetId(name),
        "slots": 10,
        "own_in_flight": used,
        "peers_in_flight": 0,
        "is_local": True,
        **overrides,
    }
    return routing.Candidate(**values)


def _chosen(
    *candidates: routing.Candidate, **overrides: typing.Any
) -> str | None:
    choice = routing.choose(candidates, **overrides)
    return choice.id if choice else None


class TestChoose:
    """The choice of a target."""

    def test_load_includes_requests_of_other_instances(self) -> None:
        with_peers = _candidate("a", 2, peers_in_flight=5)
        assert _chosen(with_peers, _candidate("b", 4)) == "b"

    def test_full_targets_get_nothing(self) -> None:
        assert _chosen(_candidate("a", 10), _candidate("b", 12)) is None

    def test_local_target_wins_only_at_similar_load(self) -> None:
        remote = _candidate("a", 2, is_local=False)
        assert _chosen(remote, _candidate("b", 2)) == "b"
        assert _chosen(remote, _candidate("b", 6)) == "a"

    def test_slow_target_is_used_less(self) -> None:
        slow = _candidate("a", 2, slowness=4.0)
        assert _chosen(slow, _candidate("b", 4)) == "b"

    def test_restarted_target_is_not_overloaded(self) -> None:
        restarted = _candidate("a", 1, up_ms=0)
        assert _chosen(restarted, _candidate("b", 5)) == "b"

    def test_cached_prefix_counts_only_within_the_load_bound(self) -> None:
        cached = _candidate("a", 3, has_prefix=True)
        assert _chosen(cached, _candidate("b", 2)) == "a"
        cached = _candidate("a", 9, has_prefix=True)
        assert _chosen(cached, _candidate("b", 0)) == "b"

    def test_suspects_run_on_different_targets(self) -> None:
        busy = _candidate("a", 1, suspects=1)
        assert _chosen(busy, is_suspect=True) is None
        assert _chosen(busy, is_suspect=False) == "a"

    def test_excluded_targets_are_not_tried_again(self) -> None:
        assert _chosen(_candidate("a"), exclude={ids.TargetId("a")}) is None


class TestRetryBudget:
    """Retries stay a limited part of the traffic."""

    def test_retries_stay_within_the_part_of_first_attempts(self) -> None:
        budget = retries.RetryBudget(10, reserve=5)
        retry_count = 0
        for _ in range(1_000):
            budget.record_first_attempt()
            retry_count += budget.try_retry()
        assert retry_count <= 1_000 * 0.1 + 5
