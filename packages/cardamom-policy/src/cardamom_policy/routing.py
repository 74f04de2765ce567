"""The choice of a target for one request.

Load is counted in requests: those that this instance has in flight, and those
that peers and lagging reports name.  A slow target counts as more loaded, a
distant one as slightly more, and a cached prefix as less, within a bound on
load as in Mirrokni et al., "Consistent Hashing with Bounded Loads", 2018.
"""

import dataclasses
import math
import typing

from cardamom_kernel import ids

REMOTE_PENALTY = 0.05
PREFIX_BONUS = 0.25
PREFIX_LOAD_BOUND = 1.25
WARM_UP_MS = 5_000
WARM_UP_FLOOR = 0.1
SUSPECTS_PER_TARGET = 1


@dataclasses.dataclass(frozen=True)
class Candidate:
    """What is known of a target at the moment of the choice."""

    id: ids.TargetId
    slots: int
    own_in_flight: int
    others_in_flight: int
    is_local: bool
    slowness: float = 1.0
    up_ms: int = WARM_UP_MS
    has_prefix: bool = False
    suspects: int = 0

    @property
    def load(self) -> float:
        """Return the part of the usable slots that is taken."""
        used = self.own_in_flight + self.others_in_flight
        return used / self.usable_slots

    @property
    def usable_slots(self) -> float:
        """Return the slots, fewer while the target warms up or is slow."""
        warmth = min(1.0, max(WARM_UP_FLOOR, self.up_ms / WARM_UP_MS))
        return max(1.0, self.slots * warmth / max(1.0, self.slowness))


def choose(
    candidates: typing.Sequence[Candidate],
    is_suspect: bool = False,
    exclude: typing.Collection[ids.TargetId] = (),
) -> Candidate | None:
    """Return the best target with room, or None.

    A suspect goes only where no other suspect runs.
    """
    usable = [
        c
        for c in candidates
        if c.id not in exclude
        and c.load < 1.0
        and not (is_suspect and c.suspects >= SUSPECTS_PER_TARGET)
    ]
    if not usable:
        return None
    mean_load = sum(c.load for c in usable) / len(usable)
    return min(usable, key=lambda c: (_score(c, mean_load), c.id))


def _score(candidate: Candidate, mean_load: float) -> float:
    score = candidate.load
    if not candidate.is_local:
        score += REMOTE_PENALTY
    one = 1.0 / candidate.usable_slots
    within_bound = candidate.load <= mean_load * PREFIX_LOAD_BOUND + one
    if candidate.has_prefix and within_bound:
        score -= PREFIX_BONUS
    return score


class Latency:
    """A target's recent first-byte times against its peers'."""

    DECAY = 0.2
    SLOW_RATIO_CAP = 8.0

    def __init__(self) -> None:
        self._mean_ms: float | None = None

    @property
    def mean_ms(self) -> float | None:
        """Return the smoothed time, or None before the first sample."""
        return self._mean_ms

    def observe(self, duration_ms: float) -> None:
        """Add a sample."""
        if self._mean_ms is None:
            self._mean_ms = duration_ms
            return
        self._mean_ms += self.DECAY * (duration_ms - self._mean_ms)

    def slowness(self, median_ms: float | None) -> float:
        """Return how many times slower than the median, at least 1."""
        if self._mean_ms is None or not median_ms:
            return 1.0
        ratio = self._mean_ms / median_ms
        return min(self.SLOW_RATIO_CAP, max(1.0, math.sqrt(ratio)))
