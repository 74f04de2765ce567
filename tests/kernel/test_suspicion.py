"""Suspicion: a request that crashes targets is refused, others are not."""

import random

import pytest

from cardamom_kernel import clocks
from cardamom_kernel import suspicion
from cardamom_policy import routing

POISON = "poison"


class Simulation:
    """Targets that crash when they run the poison request, and retries."""

    def __init__(
        self, seed: int, instances: int = 3, targets: int = 6
    ) -> None:
        self.random = random.Random(seed)
        self.clock = clocks.SteppedClock()
        self.books = [
            suspicion.Suspicions(self.clock) for _ in range(instances)
        ]
        self.boot_count_by_target = {n: 0 for n in range(targets)}
        self.crashes = 0
        self.refused: set[str] = set()

    def run_batch(self, target: int, batch: list[tuple[int, str]]) -> set[str]:
        """Run requests together and return those that did not finish."""
        names = {name for _, name in batch}
        if POISON not in names:
            for instance, name in batch:
                self.books[instance].clear(name)
            return set()
        self.crashes += 1
        incarnation = f"{target}/{self.boot_count_by_target[target]}"
        self.boot_count_by_target[target] += 1
        for instance, name in batch:
            self.books[instance].record_crash(name, incarnation)
        reports = [report for book in self.books for report in book.export()]
        for book in self.books:
            book.merge(reports)
        return names

    def run_attempts(self, waiting: dict[str, int]) -> dict[str, int]:
        """Run one attempt of each waiting request; return the unfinished."""
        batches: dict[int, list[tuple[int, str]]] = {}
        for name, instance in waiting.items():
            book = self.books[instance]
            if book.is_refused(name):
                self.refused.add(name)
                continue
            target = self._choose_target(batches, book.is_suspect(name))
            if target is not None:
                batches.setdefault(target, []).append((instance, name))
        unfinished: set[str] = set()
        for target, batch in batches.items():
            unfinished |= self.run_batch(target, batch)
        placed = {name for batch in batches.values() for _, name in batch}
        return {
            name: instance
            for name, instance in waiting.items()
            if name not in self.refused
            and (name in unfinished or name not in placed)
        }

    def _choose_target(
        self,
        batches: dict[int, list[tuple[int, str]]],
        is_suspect: bool,
    ) -> int | None:
        candidates = [
            routing.Candidate(
                id=str(target),  # type: ignore[arg-type]
                slots=4,
                own_in_flight=len(batches.get(target, [])),
                peers_in_flight=0,
                is_local=True,
                suspects=sum(
                    self.books[instance].is_suspect(name)
                    for instance, name in batches.get(target, [])
                ),
            )
            for target in self.boot_count_by_target
        ]
        self.random.shuffle(candidates)
        chosen = routing.choose(candidates, is_suspect)
        return int(chosen.id) if chosen else None


class TestPoison:
    """One poison request among others, retried at every instance."""

    @pytest.mark.parametrize("seed", range(40))
    def test_only_poison_is_refused_after_two_crashes(self, seed: int) -> None:
        simulation = Simulation(seed)
        waiting = {f"harmless-{n}": n % 3 for n in range(9)}
        waiting[POISON] = seed % 3
        for _ in range(12):
            waiting = simulation.run_attempts(waiting)
        assert not waiting
        assert simulation.refused == {POISON}
        assert simulation.crashes == suspicion.CRASHES_TO_REFUSE
        for instance in range(3):
            waiting = simulation.run_attempts({POISON: instance})
            assert not waiting
        assert simulation.crashes == suspicion.CRASHES_TO_REFUSE

    def test_mutant_without_exchange_crashes_more_targets(self) -> None:
        simulation = Simulation(1)
        for book in simulation.books:
            book.merge = lambda reports: None  # type: ignore[method-assign]
        for instance in range(3):
            waiting = {POISON: instance}
            for _ in range(4):
                waiting = simulation.run_attempts(waiting)
        assert simulation.crashes > suspicion.CRASHES_TO_REFUSE


class TestSuspicions:
    """Counts, exchange and clearing of suspects."""

    def test_same_incarnation_counts_once(self) -> None:
        book = suspicion.Suspicions(clocks.SteppedClock())
        assert book.record_crash("a", "t/1") == 1
        assert book.record_crash("a", "t/1") == 1
        assert not book.is_refused("a")
        assert book.record_crash("a", "t/2") == 2
        assert book.is_refused("a")

    def test_exchange_does_not_restart_retention(self) -> None:
        clock = clocks.SteppedClock()
        first = suspicion.Suspicions(clock, retention_ms=1_000)
        second = suspicion.Suspicions(clock, retention_ms=1_000)
        first.record_crash("a", "t/1")
        for _ in range(5):
            clock.step(400)
            second.merge(first.export())
            first.merge(second.export())
        assert not first.is_suspect("a")
        assert not second.is_suspect("a")

    def test_finished_request_clears_only_an_unrefused_suspect(self) -> None:
        book = suspicion.Suspicions(clocks.SteppedClock())
        book.record_crash("a", "t/1")
        book.clear("a")
        assert not book.is_suspect("a")
        book.record_crash("a", "t/1")
        book.record_crash("a", "t/2")
        book.clear("a")
        assert book.is_refused("a")
