"""Demand for each model at one instance and over all instances."""

import collections
import contextlib
import dataclasses
import math
import typing

from cardamom_kernel import clocks
from cardamom_policy import urgency

MS_PER_PROMPT_TOKEN = 1 / 22  # prompt processing rate of the engines in use
MS_PER_ANSWER_TOKEN = 0.4  # a step of 8 ms shared by some 20 requests
RETRY_GRACE_MS = 500  # after the Retry-After that a caller got
# A model without requests for so long is left out of several reports, and its
# total begins anew.
IDLE_MS = 5_000
SILENT_MS = 60_000  # far longer than instances are cut off from each other
WORK_HALF_LIFE_MS = 1_200  # of the measured work after its end
MS_PER_S = 1000


@dataclasses.dataclass(frozen=True)
class ModelDemand:
    """One model's demand at one instance.

    ``work_ms`` is the total work requested since the model was last idle, and
    ``period`` the number of times that it was; ``is_urgent`` tells whether a
    request came by an urgent route.
    """

    work_ms: float
    waiting: int
    oldest_wait_ms: int
    is_urgent: bool
    period: int = 0

    def export(self) -> list[int]:
        """Return the form for messages between instances."""
        return [
            int(self.work_ms),
            self.waiting,
            self.oldest_wait_ms,
            int(self.is_urgent),
            self.period,
        ]

    @classmethod
    def decode(cls, fields: typing.Sequence[int]) -> "ModelDemand":
        """Return the demand from its message form; raises IndexError."""
        return cls(
            fields[0], fields[1], fields[2], bool(fields[3]), *fields[4:5]
        )

    def work_since(self, earlier: "ModelDemand | None") -> float:
        """Return the work in ms requested since an earlier report, or idle."""
        if earlier is None or earlier.period != self.period:
            return self.work_ms
        return max(0, self.work_ms - earlier.work_ms)


class DemandMeter:
    """Measures the work and the waiting requests per model here."""

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._work_ms: collections.Counter[str] = collections.Counter()
        self._idle_periods: collections.Counter[str] = collections.Counter()
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
        is_preferred: bool = False,
    ) -> None:
        """Add the estimated work of a request.

        Its model is urgent if the objective is short, or if ``is_preferred``:
        its route goes before one with a short objective.
        """
        now_ms = self._clock.now_ms()
        if now_ms - self._requested_ms.get(model, now_ms) > IDLE_MS:
            self._work_ms[model] = 0
            self._idle_periods[model] += 1
        self._work_ms[model] += (  # type: ignore[assignment]
            prompt_tokens * MS_PER_PROMPT_TOKEN
            + answer_tokens * MS_PER_ANSWER_TOKEN
        )
        self._requested_ms[model] = now_ms
        if is_preferred or urgency.is_short(objective_ms):
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

    def waits_since_ms(self, model: str) -> int | None:
        """Return since when a request or a caller waits, None for none."""
        return min(self._waits_since(model), default=None)

    def is_urgent(self, model: str) -> bool:
        """Return whether a model was ever urgent at this instance."""
        return model in self._urgent_models

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
                period=self._idle_periods[model],
            )
        return demand_by_model


@dataclasses.dataclass
class _WorkRate:
    """The work for a model over all instances, in ms per second at a time."""

    per_s: float = 0.0
    at_ms: int = 0

    def at(self, now_ms: int) -> float:
        """Return the decayed rate."""
        return self.per_s * _kept(now_ms - self.at_ms)

    def add(self, work_ms: float, elapsed_ms: int, now_ms: int) -> None:
        """Add work that was requested evenly over the last ``elapsed_ms``."""
        rate_per_s = work_ms * MS_PER_S / elapsed_ms
        self.per_s = self.at(now_ms) + rate_per_s * (1 - _kept(elapsed_ms))
        self.at_ms = now_ms


def _kept(elapsed_ms: int) -> float:
    """Return the part of a rate that is left after a time."""
    return math.pow(0.5, elapsed_ms / WORK_HALF_LIFE_MS)


class DemandView:
    """The demand of all instances.

    Rates are those of all instances together, since each of many instances
    gets a request for a model only now and then.
    """

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._rate_by_model: collections.defaultdict[str, _WorkRate] = (
            collections.defaultdict(_WorkRate)
        )
        self._latest: dict[str, tuple[int, dict[str, ModelDemand]]] = {}
        # The latest report of each model, also of one that is idle now.
        self._known: collections.defaultdict[str, dict[str, ModelDemand]] = (
            collections.defaultdict(dict)
        )
        self._seen_models: set[str] = set()
        self._urgent_models: set[str] = set()

    def receive(
        self, incarnation: str, reports: typing.Mapping[str, ModelDemand]
    ) -> None:
        """Record an instance's demand; models that it omits are idle."""
        now_ms = self._clock.now_ms()
        previous_ms, _ = self._latest.get(incarnation, (None, None))
        self._latest[incarnation] = (now_ms, dict(reports))
        self._seen_models.update(reports)
        self._urgent_models.update(
            name for name, report in reports.items() if report.is_urgent
        )
        known = self._known[incarnation]
        if previous_ms is not None:
            elapsed_ms = max(1, now_ms - previous_ms)
            for name, report in reports.items():
                work_ms = report.work_since(known.get(name))
                self._rate_by_model[name].add(work_ms, elapsed_ms, now_ms)
        else:
            self._forget_silent(now_ms)
        known.update(reports)

    def _forget_silent(self, now_ms: int) -> None:
        """Drop instances that have not reported for long."""
        silent = [
            incarnation
            for incarnation, (at_ms, _) in self._latest.items()
            if now_ms - at_ms > SILENT_MS
        ]
        for incarnation in silent:
            del self._latest[incarnation], self._known[incarnation]

    def work_per_s(self, name: str) -> float:
        """Return the requested work for a model, in ms per second."""
        rate = self._rate_by_model.get(name)
        return 0.0 if rate is None else rate.at(self._clock.now_ms())

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

    def names(self) -> list[str]:
        """Return all names under which demand was ever reported."""
        return list(self._seen_models)

    def has_had_requests(self, name: str) -> bool:
        """Return whether any instance has ever reported a model."""
        return name in self._seen_models

    def is_urgent(self, name: str) -> bool:
        """Return whether a model was ever requested by an urgent route."""
        return name in self._urgent_models
