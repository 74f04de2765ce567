"""What callers ask of each model here, for those who place models."""

import collections
import contextlib
import dataclasses
import math
import typing

from cardamom_kernel import clocks

URGENT_OBJECTIVE_MS = 2_500  # a shorter objective leaves no time for a load
MS_PER_PROMPT_TOKEN = 1 / 22  # read rate of the engines in use
MS_PER_ANSWER_TOKEN = 0.4  # a step of 8 ms shared by some 20 requests
RETURN_MS = 500  # after the wait that a caller was told


@dataclasses.dataclass(frozen=True)
class ModelNews:
    """One model's demand at one instance; ``work_ms`` only grows."""

    work_ms: float
    waiting: int
    oldest_wait_ms: int
    is_urgent: bool

    def export(self) -> list[int]:
        """Return the form in which instances tell it each other."""
        return [
            int(self.work_ms),
            self.waiting,
            self.oldest_wait_ms,
            int(self.is_urgent),
        ]

    @classmethod
    def decode(cls, told: typing.Sequence[int]) -> "ModelNews":
        """Return what an instance has told; raises IndexError."""
        return cls(told[0], told[1], told[2], bool(told[3]))


class DemandMeter:
    """Counts the work and the waiting requests of each model."""

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._work_ms: collections.Counter[str] = collections.Counter()
        self._noted_ms: dict[str, int] = {}
        self._urgent: set[str] = set()
        self._waiting: dict[str, list[int]] = {}
        self._promised: dict[str, tuple[int, int]] = {}

    def note(
        self,
        model: str,
        prompt_tokens: int,
        answer_tokens: int,
        objective_ms: int,
    ) -> None:
        """Count a request."""
        self._work_ms[model] += (  # type: ignore[assignment]
            prompt_tokens * MS_PER_PROMPT_TOKEN
            + answer_tokens * MS_PER_ANSWER_TOKEN
        )
        self._noted_ms[model] = self._clock.now_ms()
        if objective_ms < URGENT_OBJECTIVE_MS:
            self._urgent.add(model)

    @contextlib.contextmanager
    def waiting(self, model: str) -> typing.Iterator[None]:
        """Count a request that waits for a model."""
        since = self._waiting.setdefault(model, [])
        now_ms = self._clock.now_ms()
        since.append(now_ms)
        try:
            yield
        finally:
            since.remove(now_ms)

    def promise(self, model: str, wait_ms: int) -> None:
        """Count a caller that was told to come back for a model.

        It waits elsewhere, so the model must be loaded all the same.
        """
        now_ms = self._clock.now_ms()
        since_ms, _ = self._promise(model) or (now_ms, 0)
        until_ms = now_ms + wait_ms + RETURN_MS
        self._promised[model] = (since_ms, until_ms)

    def _promise(self, model: str) -> tuple[int, int] | None:
        """Return since and until when a caller is awaited, None for none."""
        promise = self._promised.get(model)
        if promise is None or promise[1] < self._clock.now_ms():
            return None
        return promise

    def _waits_since(self, model: str) -> list[int]:
        """Return since when each caller waits, here or until it returns."""
        promise = self._promise(model)
        since = self._waiting.get(model, [])
        return [*since, promise[0]] if promise else since

    def news(self, since_ms: int) -> dict[str, ModelNews]:
        """Return the demand for models asked for since, or waited for."""
        now_ms = self._clock.now_ms()
        found: dict[str, ModelNews] = {}
        for model, work_ms in self._work_ms.items():
            waits = self._waits_since(model)
            if self._noted_ms[model] < since_ms and not waits:
                continue
            found[model] = ModelNews(
                work_ms=work_ms,
                waiting=len(waits),
                oldest_wait_ms=now_ms - min(waits, default=now_ms),
                is_urgent=model in self._urgent,
            )
        return found


@dataclasses.dataclass
class _Track:
    work_ms: float
    at_ms: int
    per_s: float = 0.0


class DemandView:
    """The demand of all instances, smoothed over ``HALF_LIFE_MS``."""

    HALF_LIFE_MS = 1_200

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._tracks: dict[tuple[str, str], _Track] = {}
        self._latest: dict[str, tuple[int, dict[str, ModelNews]]] = {}
        self._seen: set[str] = set()
        self._urgent: set[str] = set()

    def heard(
        self, incarnation: str, news: typing.Mapping[str, ModelNews]
    ) -> None:
        """Take what an instance tells; models it leaves out are idle."""
        now_ms = self._clock.now_ms()
        self._latest[incarnation] = (now_ms, dict(news))
        self._seen.update(news)
        self._urgent.update(n for n, told in news.items() if told.is_urgent)
        for name, told in news.items():
            track = self._tracks.get((incarnation, name))
            if track is None:
                self._tracks[(incarnation, name)] = _Track(
                    told.work_ms, now_ms
                )
                continue
            elapsed_ms = max(1, now_ms - track.at_ms)
            rate = (told.work_ms - track.work_ms) * 1000 / elapsed_ms
            keep = 0.5 ** (elapsed_ms / self.HALF_LIFE_MS)
            track.per_s = keep * track.per_s + (1 - keep) * max(0.0, rate)
            track.work_ms, track.at_ms = told.work_ms, now_ms

    def work_per_s(self, name: str) -> float:
        """Return the work asked of a model, in ms a second."""
        now_ms = self._clock.now_ms()
        tracks = [
            track
            for (_, tracked), track in self._tracks.items()
            if tracked == name
        ]
        return sum(
            track.per_s
            * math.pow(0.5, (now_ms - track.at_ms) / self.HALF_LIFE_MS)
            for track in tracks
        )

    def waiting(self, name: str, max_age_ms: int) -> tuple[int, int]:
        """Return how many wait, and the longest wait."""
        now_ms = self._clock.now_ms()
        told = [
            news[name]
            for at_ms, news in self._latest.values()
            if now_ms - at_ms <= max_age_ms and name in news
        ]
        return (
            sum(one.waiting for one in told),
            max((one.oldest_wait_ms for one in told), default=0),
        )

    def is_seen(self, name: str) -> bool:
        """Tell whether any instance has told of requests for a model."""
        return name in self._seen

    def is_urgent(self, name: str) -> bool:
        """Tell whether a model has been asked for with a short objective."""
        return name in self._urgent
