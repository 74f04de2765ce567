"""The fair queue: weighted service, no blocking, on-time entries first."""

import collections
import random
import typing

from cardamom_kernel import ids
from cardamom_policy import fairness

NEVER_MS = 1 << 30


def _entry(
    team: str,
    model: str,
    item: int,
    cost: float = 10.0,
    on_time_ms: int = NEVER_MS,
    deadline_ms: int = NEVER_MS,
) -> fairness.Entry[int]:
    return fairness.Entry(
        ids.TeamId(team), model, cost, on_time_ms, deadline_ms, item
    )


def _always(_: fairness.Entry[int]) -> bool:
    return True


def _drain(
    queue: fairness.FairQueue[int],
    count: int,
    can_run: typing.Callable[[fairness.Entry[int]], bool] = _always,
) -> list[fairness.Entry[int]]:
    popped = (queue.pop(can_run, 0) for _ in range(count))
    return [entry for entry in popped if entry is not None]


class TestService:
    """The order and the share of service."""

    def test_service_follows_the_weights(self) -> None:
        queue: fairness.FairQueue[int] = fairness.FairQueue()
        queue.set_weights({ids.TeamId("a"): 3.0, ids.TeamId("b"): 1.0})
        for number in range(400):
            queue.push(_entry("a", "m", number))
            queue.push(_entry("b", "m", number))
        served = collections.Counter(e.team for e in _drain(queue, 200))
        assert served == {"a": 150, "b": 50}

    def test_rogue_team_does_not_delay_another(self) -> None:
        queue: fairness.FairQueue[int] = fairness.FairQueue()
        for number in range(1_000):
            queue.push(_entry("rogue", "m", number))
        _drain(queue, 10)
        queue.push(_entry("calm", "m", 0))
        assert "calm" in [e.team for e in _drain(queue, 2)]

    def test_idle_team_gets_no_credit(self) -> None:
        queue: fairness.FairQueue[int] = fairness.FairQueue()
        for number in range(200):
            queue.push(_entry("a", "m", number))
        _drain(queue, 100)
        for number in range(100):
            queue.push(_entry("b", "m", number))
        served = collections.Counter(e.team for e in _drain(queue, 40))
        assert abs(served["a"] - served["b"]) <= 2

    def test_models_of_a_team_get_equal_service(self) -> None:
        queue: fairness.FairQueue[int] = fairness.FairQueue()
        for number in range(100):
            queue.push(_entry("a", "hot", number))
        for number in range(10):
            queue.push(_entry("a", "cold", number))
        served = collections.Counter(e.model for e in _drain(queue, 20))
        assert served == {"hot": 10, "cold": 10}

    def test_waiting_model_does_not_block_another(self) -> None:
        queue: fairness.FairQueue[int] = fairness.FairQueue()
        queue.push(_entry("a", "loading", 1))
        queue.push(_entry("a", "ready", 2))
        entry = queue.pop(lambda e: e.model == "ready", 0)
        assert entry is not None and entry.item == 2
        assert len(queue) == 1


class TestTime:
    """Late and expired entries."""

    def test_on_time_entries_go_before_late_ones(self) -> None:
        queue: fairness.FairQueue[int] = fairness.FairQueue()
        queue.push(_entry("a", "m", 1, on_time_ms=100))
        queue.push(_entry("a", "m", 2, on_time_ms=500))
        first = queue.pop(_always, 200)
        second = queue.pop(_always, 200)
        assert first is not None and first.item == 2
        assert second is not None and second.item == 1

    def test_expired_entries_are_removed(self) -> None:
        queue: fairness.FairQueue[int] = fairness.FairQueue()
        queue.push(_entry("a", "m", 1, deadline_ms=100))
        queue.push(_entry("a", "m", 2, deadline_ms=300))
        assert [e.item for e in queue.remove_expired(200)] == [1]
        assert len(queue) == 1

    def test_no_entry_is_lost_or_returned_twice(self) -> None:
        rnd = random.Random(1)
        queue: fairness.FairQueue[int] = fairness.FairQueue()
        pushed, seen = 0, []
        for now_ms in range(2_000):
            if rnd.random() < 0.6:
                team, model = rnd.choice("abc"), rnd.choice("xy")
                on_time_ms = now_ms + rnd.randrange(50)
                deadline_ms = on_time_ms + rnd.randrange(200)
                queue.push(
                    _entry(team, model, pushed, 5, on_time_ms, deadline_ms)
                )
                pushed += 1
            seen += [entry.item for entry in queue.remove_expired(now_ms)]
            entry = queue.pop(lambda e: rnd.random() < 0.4, now_ms)
            if entry is not None:
                seen.append(entry.item)
        seen += [entry.item for entry in queue.remove_expired(1 << 40)]
        assert sorted(seen) == list(range(pushed))
        assert len(queue) == 0
