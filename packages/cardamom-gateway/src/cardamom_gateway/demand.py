"""Demand for each model at one instance and over all instances."""

import collections
import contextlib
import dataclasses
import math
import typing

from cardamom_kernel import clocks

URGENT_OBJECTIVE_MS = 2_500  # a shorter objective leaves no time for a load
MS_PER_PROMPT_TOKEN = 1 / 22  # prompt processing rate of the engines in use
MS_PER_ANSWER_TOKEN = 0.4  # a step of 8 ms shared by some 20 requests
RETRY_GRACE_MS = 500  # after the Retry-After that a caller got


@dataclasses.dataclass(frozen=True)
class ModelDemand:
    """One model's demand at one instance.

    ``work_ms`` is the total work requested and only grows; ``is_urgent`` tells
    whether a request had a short objective.
    """

    work_ms: float
    waiting: int
    oldest_wait_ms: int
    is_urgent: bool

    def export(self) -> list[int]:
        """Return the form for messages between instances."""
        return [
            int(self.work_ms),
            self.waiting,
            self.oldest_wait_ms,
            int(self.is_urgent),
        ]

    @classmethod
    def decode(cls, fields: typing.Sequence[int]) -> "ModelDemand":
        """Return the demand from its message form; raises IndexError."""
        return cls(fields[0], fields[1], fields[2], bool(fields[3]))


class DemandMeter:
    """Measures the work and the waiting requests per model here."""

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._work_ms: collections.Counter[str] = collections.Counter()
        self._requested_ms: dict[str, int] = {}
        self._urgent_models: set[str] = set()
        self._waiting: dict[str, list[int]] = {}
        self._returning: dict[str, tuple[int, int]] = {}

    def note(
        self,
        model: str,
        prompt_tokens: int,
        answer_tokens: int,
        objective_ms: int,
    ) -> None:
        """Add the estimated work of a request."""
        self._work_ms[model] += (  # type: ignore[assignment]
            prompt_tokens * MS_PER_PROMPT_TOKEN
            + answer_tokens * MS_PER_ANSWER_TOKEN
        )
        self._requested_ms[model] = self._clock.now_ms()
        if objective_ms < URGENT_OBJECTIVE_MS:
            self._urgent_models.add(model)

    @contextlib.contextmanager
    def waiting(self, model: str) -> typing.Iterator[None]:
        """Count a request as waiting for a model while in the context."""
        starts_ms = self._waiting.setdefault(model, [])
        now_ms = self._clock.now_ms()
        starts_ms.append(now_ms)
        try:
            yield
        finally:
            starts_ms.remove(now_ms)

    def note_retry_after(self, model: str, wait_ms: int) -> None:
        """Count a caller that was asked to retry after a wait.

        It counts as waiting, so that the model is loaded meanwhile.
        """
        now_ms = self._clock.now_ms()
        since_ms, _ = self._returning_caller(model) or (now_ms, 0)
        until_ms = now_ms + wait_ms + RETRY_GRACE_MS
        self._returning[model] = (since_ms, until_ms)

    def _returning_caller(self, model: str) -> tuple[int, int] | None:
        """Return from and until when, in ms, a caller's retry is expected."""
        caller = self._returning.get(model)
        if caller is None or caller[1] < self._clock.now_ms():
            return None
        return caller

    def _waits_since(self, model: str) -> list[int]:
        """Return the start times in ms of waits, here or before a retry."""
        caller = self._returning_caller(model)
        starts_ms = self._waiting.get(model, [])
        return [*starts_ms, caller[0]] if caller else starts_ms

    def report(self, since_ms: int) -> dict[str, ModelDemand]:
        """Return the demand for models that are waited for or in use.

        A model is in use if it was requested at ``since_ms`` or later.
        """
        now_ms = self._clock.now_ms()
        demand_by_model: dict[str, ModelDemand] = {}
        for model, work_ms in self._work_ms.items():
            waits = self._waits_since(model)
            if self._requested_ms[model] < since_ms and not waits:
                continue
            demand_by_model[model] = ModelDemand(
                work_ms=work_ms,
                waiting=len(waits),
                oldest_wait_ms=now_ms - min(waits, default=now_ms),
                is_urgent=model in self._urgent_models,
            )
        return demand_by_model


@dataclasses.dataclass
class _WorkRate:
    work_ms: float
    at_ms: int
    per_s: float = 0.0


class DemandView:
    """The demand of all instances; rates decay with ``HALF_LIFE_MS``."""

    HALF_LIFE_MS = 1_200

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._rates: dict[tuple[str, str], _WorkRate] = {}
        self._latest: dict[str, tuple[int, dict[str, ModelDemand]]] = {}
        self._seen_models: set[str] = set()
        self._urgent_models: set[str] = set()

    def receive(
        self, incarnation: str, reports: typing.Mapping[str, ModelDemand]
    ) -> None:
        """Record an instance's demand; models that it omits are idle."""
        now_ms = self._clock.now_ms()
        self._latest[incarnation] = (now_ms, dict(reports))
        self._seen_models.update(reports)
        self._urgent_models.update(
            name for name, report in reports.items() if report.is_urgent
        )
        for name, report in reports.items():
            rate = self._rates.get((incarnation, name))
            if rate is None:
                self._rates[(incarnation, name)] = _WorkRate(
                    report.work_ms, now_ms
                )
                continue
            elapsed_ms = max(1, now_ms - rate.at_ms)
            new_per_s = (report.work_ms - rate.work_ms) * 1000 / elapsed_ms
            keep = 0.5 ** (elapsed_ms / self.HALF_LIFE_MS)
            rate.per_s = keep * rate.per_s + (1 - keep) * max(0.0, new_per_s)
            rate.work_ms, rate.at_ms = report.work_ms, now_ms

    def work_per_s(self, name: str) -> float:
        """Return the requested work for a model, in ms per second."""
        now_ms = self._clock.now_ms()
        rates = [
            rate
            for (_, rated_name), rate in self._rates.items()
            if rated_name == name
        ]
        return sum(
            rate.per_s
            * math.pow(0.5, (now_ms - rate.at_ms) / self.HALF_LIFE_MS)
            for rate in rates
        )

    def waiting(self, name: str, max_age_ms: int) -> tuple[int, int]:
        """Return the number of waiting requests and the longest wait in ms.

        Reports older than ``max_age_ms`` are ignored.
        """
        now_ms = self._clock.now_ms()
        reports = [
            reports_by_name[name]
            for at_ms, reports_by_name in self._latest.values()
            if now_ms - at_ms <= max_age_ms and name in reports_by_name
        ]
        return (
            sum(report.waiting for report in reports),
            max((report.oldest_wait_ms for report in reports), default=0),
        )

    def has_had_requests(self, name: str) -> bool:
        """Return whether any instance has ever reported a model."""
        return name in self._seen_models

    def is_urgent(self, name: str) -> bool:
        """Return whether a model was ever requested with a short objective."""
        return name in self._urgent_models
