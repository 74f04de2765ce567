"""The choice among near-equal replicas while their figures are stale.

To handle many instances that choose at once: the load that peers report is
older than the requests that they have sent since, so instances that all take
the cheapest replica overrun one after the other while the rest are idle.  The
work that others may have sent since the report is estimated here.  It is
assumed to have filled the cheapest replicas up to a common level, like water,
and a request goes to one of those below that level at random, weighted by the
room up to it (Dahlin 1999).

Where others are expected to have sent less than one request, the figures are
taken as exact, so small deployments choose the cheapest.
"""

import dataclasses
import itertools
import math
import random
import typing

# Own sends are averaged over it: long enough to hold several requests of one
# instance, short enough to follow a burst.
SEND_WINDOW_MS = 5_000.0
# Bound of the tolerance, as a fraction of the objective.  A request that goes
# to a replica costlier by so much still meets an objective with a margin.
# With 0.1, figures 1 s old let the busiest of 24 replicas get twice the mean.
MAX_TOLERANCE_FRACTION = 0.2


@dataclasses.dataclass(frozen=True)
class Figures:
    """How stale the reported load is.

    ``others`` is the number of other instances that may send to the same
    replicas, and ``age_ms`` the mean age of their reports.
    """

    others: int = 0
    age_ms: float = 0.0


EXACT = Figures()


@dataclasses.dataclass(frozen=True)
class Option:
    """A replica that may be near-equal to the cheapest.

    ``cost_ms`` is its predicted cost, and ``request_ms`` by how much a request
    like the one to be sent raises it.
    """

    cost_ms: float
    request_ms: float


class SendMeter:
    """The work that this instance has lately sent to a replica.

    Work is in ms of predicted time that it adds for later requests.
    """

    def __init__(self) -> None:
        self._sum_ms = 0.0
        self._at_ms = 0

    def add(self, work_ms: float, now_ms: int) -> None:
        """Add the work of a request that is sent now."""
        self._sum_ms = self._decayed_ms(now_ms) + work_ms
        self._at_ms = now_ms

    def rate(self, now_ms: int) -> float:
        """Return the work sent, in ms of work a ms."""
        return self._decayed_ms(now_ms) / SEND_WINDOW_MS

    def _decayed_ms(self, now_ms: int) -> float:
        age_ms = max(0, now_ms - self._at_ms)
        return self._sum_ms * math.exp(-age_ms / SEND_WINDOW_MS)


def unseen_requests(
    sent_rate: float, request_ms: float, figures: Figures
) -> float:
    """Return how many requests like this one the others may have sent.

    Others are taken to send as much as this instance, ``sent_rate`` in ms of
    work a ms.  The request to be sent counts as one sent in the window: in a
    large fleet an instance sends so seldom to the replicas of one model that
    it would otherwise take the others for idle.
    """
    if request_ms <= 0:
        return 0.0
    own_rate = sent_rate / request_ms + 1 / SEND_WINDOW_MS
    return own_rate * figures.others * figures.age_ms


def spare_requests(
    options: typing.Sequence[Option], requests: float, max_tolerance_ms: float
) -> list[float]:
    """Return how many of some requests each replica takes below the level.

    The level is the lowest cost to which the replicas are filled by all the
    requests, at most ``max_tolerance_ms`` above the cheapest.
    """
    level_ms = min(
        _level_ms(options, requests),
        min(option.cost_ms for option in options) + max_tolerance_ms,
    )
    return [
        max(0.0, level_ms - option.cost_ms) / option.request_ms
        for option in options
    ]


def _level_ms(options: typing.Sequence[Option], requests: float) -> float:
    """Return the cost of the filled replicas after the requests."""
    by_cost = sorted(options, key=lambda option: option.cost_ms)
    room_per_ms = 0.0
    for option, costlier in itertools.pairwise(by_cost):
        room_per_ms += 1 / option.request_ms
        step_ms = costlier.cost_ms - option.cost_ms
        if requests <= step_ms * room_per_ms:
            return option.cost_ms + requests / room_per_ms
        requests -= step_ms * room_per_ms
    room_per_ms += 1 / by_cost[-1].request_ms
    return by_cost[-1].cost_ms + requests / room_per_ms


def pick(spare: typing.Sequence[float], source: random.Random) -> int | None:
    """Return the index of a random replica weighted by its spare requests.

    None if no replica has any.
    """
    if not any(weight > 0 for weight in spare):
        return None
    return source.choices(range(len(spare)), weights=spare)[0]
