"""The choice of a target for one request.

Load is counted in requests: those that this instance has in flight, and those
in the reports of peers and targets, which arrive with a delay.  A slow target
counts as more loaded, one in another data centre as slightly more, and one
with a cached prefix as less if its load is within a bound as in Mirrokni et
al., "Consistent Hashing with Bounded Loads", 2018.
"""

import dataclasses
import math
import typing

from cardamom_kernel import ids

REMOTE_PENALTY = 0.05  # added to the load of a target in another data centre
PREFIX_BONUS = 0.25  # subtracted from the load of a target with the prefix
PREFIX_LOAD_BOUND = 1.25  # highest ratio to the mean load for the bonus
WARM_UP_MS = 5_000  # the usable slots of a new target grow during this time
MIN_WARM_UP_FRACTION = 0.1  # of the slots, usable from the start
MAX_SUSPECTS_PER_TARGET = 1


@dataclasses.dataclass(frozen=True)
class Candidate:
    """State of a target at the time of the choice.

    ``slowness`` is 1 or, for a target slower than its peers, more (see
    ``Latency``); ``up_ms`` is the time since it became available;
    ``suspects`` counts running requests that may have crashed a target.
    """

    id: ids.TargetId
    slots: int
    own_in_flight: int
    peers_in_flight: int
    is_local: bool
    slowness: float = 1.0
    up_ms: int = WARM_UP_MS
    has_prefix: bool = False
    suspects: int = 0

    @property
    def load(self) -> float:
        """Return the ratio of requests in flight to usable slots."""
        used = self.own_in_flight + self.peers_in_flight
        return used / self.usable_slots

    @property
    def usable_slots(self) -> float:
        """Return the slots, reduced while the target warms up or is slow."""
        warm_up_fraction = min(
            1.0, max(MIN_WARM_UP_FRACTION, self.up_ms / WARM_UP_MS)
        )
        return max(
            1.0, self.slots * warm_up_fraction / max(1.0, self.slowness)
        )


def choose(
    candidates: typing.Sequence[Candidate],
    is_suspect: bool = False,
    exclude: typing.Collection[ids.TargetId] = (),
) -> Candidate | None:
    """Return the best target with a free slot, or None.

    A suspect request, which may have crashed a target, goes only to a target
    that runs no other suspect.
    """
    usable = [
        candidate
        for candidate in candidates
        if candidate.id not in exclude
        and candidate.load < 1.0
        and not (is_suspect and candidate.suspects >= MAX_SUSPECTS_PER_TARGET)
    ]
    if not usable:
        return None
    mean_load = sum(candidate.load for candidate in usable) / len(usable)
    return min(
        usable,
        key=lambda candidate: (_score(candidate, mean_load), candidate.id),
    )


def _score(candidate: Candidate, mean_load: float) -> float:
    score = candidate.load
    if not candidate.is_local:
        score += REMOTE_PENALTY
    one_request = 1.0 / candidate.usable_slots
    within_bound = (
        candidate.load <= mean_load * PREFIX_LOAD_BOUND + one_request
    )
    if candidate.has_prefix and within_bound:
        score -= PREFIX_BONUS
    return score


class Latency:
    """A target's smoothed first-byte time, compared with its peers."""

    DECAY = 0.2  # weight of a new sample
    MAX_SLOWNESS = 8.0

    def __init__(self) -> None:
        self._mean_ms: float | None = None

    @property
    def mean_ms(self) -> float | None:
        """Return the smoothed time in ms, None before the first sample."""
        return self._mean_ms

    def observe(self, duration_ms: float) -> None:
        """Add a sample of the first-byte time."""
        if self._mean_ms is None:
            self._mean_ms = duration_ms
            return
        self._mean_ms += self.DECAY * (duration_ms - self._mean_ms)

    def slowness(self, median_ms: float | None) -> float:
        """Return the root of the ratio to the median, from 1 to the maximum.

        1 if there is no sample or no median.
        """
        if self._mean_ms is None or not median_ms:
            return 1.0
        latency_ratio = self._mean_ms / median_ms
        return min(self.MAX_SLOWNESS, max(1.0, math.sqrt(latency_ratio)))
