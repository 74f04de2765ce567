"""How long a request must wait for a model that no engine holds.

When demand moves to other models, a request whose model would be loaded too
late is refused at once, and its caller receives the expected wait.

When demand moves to many models at once, their loads queue for the weight
store and for engines.  An instance can't see this queue, so it learns from
recent waits how long loads take to begin.  Without news this decays, and the
first request for a model doesn't heed it, so that a long queue of the past
refuses no model for ever.
"""

import collections
import dataclasses
import math
import typing

from cardamom_policy import tiering

# Time until the lease holder that sends orders receives the demand, and until
# an unload that makes room has ended.
ORDER_DELAY_MS = 350.0
FIRST_EVENT_MS = 150.0  # from the end of the load
# Without news, half of a queue is taken as done after this time.
QUEUE_HALF_LIFE_MS = 4_000
RETENTION_MS = 6_000  # of a wait; demand moves within seconds
MAX_WAITS = 32  # the latest ones of a queue are kept
MEDIAN = 0.5
# A queue in which most waits were given up is taken as longer by this factor.
MISSED_FACTOR = 1.25


def wait_ms(
    size: tiering.ModelSize,
    due_in_ms: float | None,
    is_on_disk: bool,
) -> float:
    """Predict the wait for a first event, in milliseconds.

    ``due_in_ms`` is the time until a running load ends, None for no load;
    ``is_on_disk`` is whether a running engine has the weights on its disk.
    """
    if due_in_ms is not None:
        return max(0.0, due_in_ms) + FIRST_EVENT_MS
    load_ms = size.disk_load_ms if is_on_disk else size.store_load_ms
    return ORDER_DELAY_MS + load_ms + FIRST_EVENT_MS


def first_due_ms(
    due_by_target: typing.Iterable[int], now_ms: int
) -> float | None:
    """Return in how many ms the first load ends, None for no loads.

    ``due_by_target`` holds the points in time at which the loads should end.
    """
    remaining_ms = [due_ms - now_ms for due_ms in due_by_target]
    return min(remaining_ms) if remaining_ms else None


@dataclasses.dataclass(frozen=True)
class Queue:
    """The loads that wait for the same resources.

    Loads from the weight store are limited over all engines, and urgent
    models go first.
    """

    service: str
    is_on_disk: bool
    is_urgent: bool


@dataclasses.dataclass(frozen=True)
class _Wait:
    """For how long a load had not begun, and whether it then did."""

    at_ms: int
    queue_ms: float
    has_begun: bool


class QueueTimes:
    """How long loads took to begin lately, by queue, as seen from here.

    A prediction is the median of recent waits.  Those that were given up
    count as longer than they lasted (the estimate of Kaplan and Meier, 1958),
    since only the shorter waits of an overlong queue end with a load.
    """

    def __init__(self) -> None:
        self._by_queue: dict[Queue, collections.deque[_Wait]] = {}

    def remaining_ms(
        self, queue: Queue, waited_ms: float, now_ms: int
    ) -> float:
        """Return in how many ms a load should begin.

        ``waited_ms`` is how long its model has been waited for.
        """
        waits = self._by_queue.get(queue)
        if not waits:
            return 0.0
        age_ms = now_ms - waits[-1].at_ms
        faded = math.pow(0.5, age_ms / QUEUE_HALF_LIFE_MS)
        return max(0.0, faded * _median_ms(waits, waited_ms) - waited_ms)

    def note_loaded(
        self, queue: Queue, waited_ms: float, expected_ms: float, now_ms: int
    ) -> None:
        """Record a wait for a model that is there now.

        ``expected_ms`` is the wait predicted at its beginning, which ends
        with a first event.
        """
        queue_ms = waited_ms + FIRST_EVENT_MS - expected_ms
        self._add(queue, _Wait(now_ms, max(0.0, queue_ms), has_begun=True))

    def note_missed(
        self,
        queue: Queue,
        waited_ms: float,
        rest_ms: float,
        expected_ms: float,
        now_ms: int,
    ) -> None:
        """Record a wait that was given up, ``rest_ms`` before its end at best.

        The load would have begun then or later.
        """
        queue_ms = waited_ms + rest_ms - expected_ms
        if queue_ms > 0:  # else it says nothing of the queue
            self._add(queue, _Wait(now_ms, queue_ms, has_begun=False))

    def _add(self, queue: Queue, wait: _Wait) -> None:
        waits = self._by_queue.setdefault(
            queue, collections.deque(maxlen=MAX_WAITS)
        )
        while waits and wait.at_ms - waits[0].at_ms > RETENTION_MS:
            waits.popleft()
        waits.append(wait)


def _median_ms(waits: typing.Iterable[_Wait], waited_ms: float) -> float:
    """Return the median of the waits longer than one that goes on."""
    longer = sorted(
        (w for w in waits if w.queue_ms > waited_ms), key=lambda w: w.queue_ms
    )
    not_begun = 1.0
    for number, wait in enumerate(longer):
        if wait.has_begun:
            not_begun *= 1 - 1 / (len(longer) - number)
        if not_begun <= MEDIAN:
            return wait.queue_ms
    return longer[-1].queue_ms * MISSED_FACTOR if longer else 0.0
