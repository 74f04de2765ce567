"""Tests of the learned queue of loads."""

import dataclasses
import random
import statistics

import pytest

from cardamom_policy import loading_waits
from cardamom_policy import refusals
from cardamom_policy import tiering

SIZE = tiering.ModelSize(70_000.0, 600.0, 1_200.0, 1_400.0)
STORE = loading_waits.Queue("engines", False, True)
DISK = dataclasses.replace(STORE, is_on_disk=True)
STEP_MS = 50
REPORT_MS = 300  # until the lease holder knows of a waiting request


@dataclasses.dataclass
class Request:
    """A request that waits for its model at an instance."""

    model: int
    arrived_ms: int
    deadline_ms: int
    is_retry: bool = False
    is_first: bool = False
    expected_ms: float = 0.0


class Shift:
    """Demand that moves to many models at once, at some instances.

    The weight store allows ``loads_per_s`` loads; models wait for it in the
    order of their first request, and are unloaded some seconds later.  Callers
    that are refused come back once, to any instance.
    """

    def __init__(self, loads_per_s: int, learns: bool) -> None:
        self._loads_per_s = loads_per_s
        self._learns = learns
        self._draw = random.Random(7)
        self._times = [loading_waits.QueueTimes() for _ in range(4)]
        self._waiting: list[list[Request]] = [[] for _ in self._times]
        self._returning_ms: list[dict[int, tuple[int, int]]] = [
            {} for _ in self._times
        ]
        self._known_ms: dict[int, int] = {}
        self._due_ms: dict[int, int] = {}
        self._loaded_ms: dict[int, int] = {}
        self.held_ms: list[int] = []
        self.served = 0
        self.refused_again = 0
        self._retries: list[Request] = []

    def run(self, duration_ms: int, per_s: float, models: int) -> None:
        """Offer requests for random models."""
        for now_ms in range(0, duration_ms, STEP_MS):
            self._load(now_ms)
            for number in range(len(self._times)):
                self._wake(number, now_ms)
            for request in list(self._retries):
                if request.arrived_ms <= now_ms:
                    self._retries.remove(request)
                    self._arrive(self._pick(), request)
            expected = per_s * STEP_MS / 1000
            while self._draw.random() < expected:
                expected -= 1
                request = Request(
                    self._draw.randrange(models), now_ms, now_ms + 6_000
                )
                self._arrive(self._pick(), request)

    def _pick(self) -> int:
        return self._draw.randrange(len(self._times))

    def _load(self, now_ms: int) -> None:
        is_start = now_ms * self._loads_per_s // 1000 != (
            (now_ms - STEP_MS) * self._loads_per_s // 1000
        )
        queued = sorted(
            (known_ms, model)
            for model, known_ms in self._known_ms.items()
            if known_ms <= now_ms
        )
        if is_start and queued:
            _, model = queued[0]
            del self._known_ms[model]
            self._due_ms[model] = now_ms + int(SIZE.store_load_ms)
        for model, due_ms in list(self._due_ms.items()):
            if due_ms <= now_ms:
                del self._due_ms[model]
                self._loaded_ms[model] = now_ms
        for model, loaded_ms in list(self._loaded_ms.items()):
            if now_ms - loaded_ms > 3_000:
                del self._loaded_ms[model]

    def _base_ms(self, model: int, now_ms: int) -> float:
        due_ms = self._due_ms.get(model)
        return loading_waits.wait_ms(
            SIZE, None if due_ms is None else due_ms - now_ms, False
        )

    def _expected_ms(
        self, number: int, request: Request, now_ms: int
    ) -> float:
        expected_ms = self._base_ms(request.model, now_ms)
        if not self._learns or request.model in self._due_ms:
            return expected_ms
        oldest_ms = self._oldest_ms(number, request, now_ms)
        waited_ms = 0 if oldest_ms is None else now_ms - oldest_ms
        return expected_ms + self._times[number].remaining_ms(
            STORE, waited_ms, now_ms
        )

    def _is_late(self, number: int, request: Request, now_ms: int) -> bool:
        expected_ms = (
            self._base_ms(request.model, now_ms)
            if request.is_first
            else self._expected_ms(number, request, now_ms)
        )
        remaining_ms = request.deadline_ms - now_ms
        return refusals.excess_ms(expected_ms, remaining_ms) > 0

    def _oldest_ms(
        self, number: int, request: Request, now_ms: int
    ) -> int | None:
        """Return since when a request or a returning caller waits."""
        since_ms, until_ms = self._returning_ms[number].get(
            request.model, (now_ms, -1)
        )
        starts_ms = [
            other.arrived_ms
            for other in self._waiting[number]
            if other.model == request.model
        ]
        if until_ms >= now_ms:
            starts_ms.append(since_ms)
        return min(starts_ms, default=None)

    def _refuse(self, number: int, request: Request, now_ms: int) -> None:
        self.held_ms.append(now_ms - request.arrived_ms)
        oldest_ms = self._oldest_ms(number, request, now_ms)
        since_ms = now_ms if oldest_ms is None else oldest_ms
        rest_ms = self._expected_ms(number, request, now_ms)
        self._returning_ms[number][request.model] = (
            since_ms,
            now_ms + int(rest_ms) + 500,
        )
        if request.model not in self._due_ms:
            self._known_ms.setdefault(request.model, now_ms + REPORT_MS)
        if request.is_retry:
            self.refused_again += 1
            return
        wait_ms = min(rest_ms, (request.deadline_ms - now_ms) / 3)
        self._retries.append(
            Request(
                request.model,
                now_ms + int(wait_ms),
                request.deadline_ms,
                is_retry=True,
            )
        )

    def _arrive(self, number: int, request: Request) -> None:
        now_ms = request.arrived_ms
        if request.model in self._loaded_ms:
            self.served += 1
            return
        request.is_first = self._oldest_ms(number, request, now_ms) is None
        request.expected_ms = self._base_ms(request.model, now_ms)
        if request.model not in self._due_ms:
            self._known_ms.setdefault(request.model, now_ms + REPORT_MS)
        if self._is_late(number, request, now_ms):
            self._refuse(number, request, now_ms)
            return
        self._waiting[number].append(request)

    def _wake(self, number: int, now_ms: int) -> None:
        for request in list(self._waiting[number]):
            waited_ms = now_ms - request.arrived_ms
            if request.model in self._loaded_ms:
                self.served += 1
                if request.is_first:
                    self._times[number].note_loaded(
                        STORE, waited_ms, request.expected_ms, now_ms
                    )
            elif self._is_late(number, request, now_ms):
                self._refuse(number, request, now_ms)
                if request.is_first:
                    self._times[number].note_missed(
                        STORE,
                        waited_ms,
                        self._base_ms(request.model, now_ms),
                        request.expected_ms,
                        now_ms,
                    )
            else:
                continue
            self._waiting[number].remove(request)


class TestQueueTimes:
    """Predictions from recent waits."""

    def test_prediction_is_a_recent_queue(self) -> None:
        """A load that is not ordered at once ends later than predicted."""
        times = loading_waits.QueueTimes()
        expected_ms = loading_waits.wait_ms(SIZE, None, False)
        there_ms = expected_ms - loading_waits.FIRST_EVENT_MS
        assert times.remaining_ms(STORE, 0, 0) == 0
        for queue_ms in (2_000, 3_000, 2_500):
            times.note_loaded(STORE, there_ms + queue_ms, expected_ms, 0)
        assert times.remaining_ms(STORE, 0, 0) == 2_500
        assert times.remaining_ms(STORE, 1_000, 0) == 1_500

    def test_queues_are_apart(self) -> None:
        """Loads from disks don't wait for the weight store."""
        times = loading_waits.QueueTimes()
        times.note_missed(STORE, 3_000, 1_900, 1_900, 0)
        assert times.remaining_ms(STORE, 0, 0) > 3_000
        assert times.remaining_ms(DISK, 0, 0) == 0

    def test_prediction_decays_without_news(self) -> None:
        """A queue of the past would otherwise refuse for ever."""
        times = loading_waits.QueueTimes()
        times.note_missed(STORE, 3_000, 1_900, 1_900, 0)
        first_ms = times.remaining_ms(STORE, 0, 0)
        later_ms = loading_waits.QUEUE_HALF_LIFE_MS
        assert times.remaining_ms(STORE, 0, later_ms) == first_ms / 2
        assert times.remaining_ms(STORE, 0, 60_000) < 1

    def test_old_wait_does_not_count_beside_a_new_one(self) -> None:
        """Demand moves within seconds."""
        times = loading_waits.QueueTimes()
        for _ in range(10):
            times.note_missed(STORE, 3_000, 1_900, 1_900, 0)
        now_ms = loading_waits.RETENTION_MS + 1
        times.note_loaded(STORE, 1_800, 1_900, now_ms)
        assert times.remaining_ms(STORE, 0, now_ms) == 50

    def test_waits_given_up_count_as_longer_than_they_lasted(self) -> None:
        """Only the short waits of an overlong queue end with a load."""
        times = loading_waits.QueueTimes()
        times.note_loaded(STORE, 1_750 + 500, 1_900, 0)
        for _ in range(4):
            times.note_missed(STORE, 3_900, 1_900, 1_900, 0)
        assert times.remaining_ms(STORE, 0, 0) > 3_900


class TestShift:
    """Refusals while demand moves to many models at once."""

    @pytest.mark.parametrize(
        ("loads_per_s", "per_s", "models"),
        [(8, 200, 200), (8, 100, 100), (20, 200, 200)],
    )
    def test_hopeless_requests_are_refused_at_once(
        self, loads_per_s: int, per_s: float, models: int
    ) -> None:
        """Half of them were held for most of their time before."""
        before = Shift(loads_per_s, learns=False)
        before.run(30_000, per_s, models)
        after = Shift(loads_per_s, learns=True)
        after.run(30_000, per_s, models)
        assert statistics.median(before.held_ms) > 3_000
        assert statistics.median(after.held_ms) < 1_200
        assert after.served > 0.95 * before.served

    def test_request_that_can_be_served_is_not_refused(self) -> None:
        """The store keeps up with the demand here."""
        shift = Shift(20, learns=True)
        shift.run(30_000, 60, 60)
        assert not shift.held_ms
