"""The pace of each replica: how much slower it is than predicted.

To handle replicas that become several times slower for some seconds while
others keep their speed: the ratio of actual to predicted time of the answers
that come anyway is averaged for each replica.  The average decays back to 1
over time, so a replica that gets fewer requests because it was slow is tried
again, and its recovery is found without a probe.

Predictions may be off for all replicas of a service alike, since its prompts,
run times or links differ from those that the constants were taken from.  The
median ratio of the service is removed first, so that only the difference
between its replicas counts.
"""

import dataclasses
import enum
import heapq
import math
import typing

MIN_ANSWERS = 3  # below it, the pace of a replica counts as unknown
MIN_SLOW_PACE = 1.5  # smaller ones are within the error of the predictions
MAX_PACE = 16.0  # of one answer, so that a single one doesn't dominate
MAX_REPORTED = 8  # slow replicas that an instance reports to its peers
# Peers whose latest reports of a replica are kept.  All of 99 took 0.28 ms for
# each choice, and some are enough for MIN_ANSWERS.
MAX_REPORTERS = 9
ANSWER_WEIGHT = 0.3  # of one answer in the average
# The logarithm of the pace falls to 1/e in it.  A pace of 4 falls below 1.5
# in 3.7 s; slow phases of 6 s were observed.
DECAY_MS = 3_000.0
OWN_FRESH_MS = 1_000  # enough own answers younger than it take precedence
# MIN_ANSWERS must be spread over it: requests that wait behind one long
# prompt, which no report has shown, all come late at once.
MIN_SPREAD_MS = 400
EVIDENCE_MS = 10_000  # older answers don't count towards MIN_ANSWERS
# The error of a short prediction is mostly delay on links and in processes.
MIN_PREDICTED_MS = 50.0
# Step of the logarithm of a service's median ratio for each answer.
MEDIAN_STEP = 0.03


class Kind(enum.Enum):
    """What a pace is of; prompts and plain calls slow down separately."""

    STREAM = "stream"
    PLAIN = "plain"


def ratio(actual_ms: float, predicted_ms: float) -> float:
    """Return how many times slower than predicted an answer came."""
    actual_ms = max(actual_ms, MIN_PREDICTED_MS)
    return min(MAX_PACE, actual_ms / max(predicted_ms, MIN_PREDICTED_MS))


class CommonRatio:
    """The median ratio of all answers of a service, at least 1.

    It moves by a fixed step towards each answer, so that some slow replicas
    don't shift it by how slow they are.
    """

    def __init__(self) -> None:
        self._log = 0.0

    def note(self, value: float) -> float:
        """Record the ratio of an answer and return it without the median."""
        relative = value / math.exp(self._log)
        direction = math.copysign(MEDIAN_STEP, math.log(relative))
        if relative != 1:
            self._log = max(0.0, self._log + direction)
        return relative

    def remove_from(self, value: float) -> float:
        """Return a ratio without the median."""
        return value / math.exp(self._log)


@dataclasses.dataclass(frozen=True)
class Report:
    """What an instance has learned of a replica by some answers.

    The latest of them came at ``at_ms``; the pace is that of the time at which
    the report was made, not of this time.
    """

    pace: float
    answers: int
    at_ms: int = 0


NO_REPORT = Report(1.0, 0)


class Pace:
    """The pace of one replica for one kind of request, at one instance.

    In a large fleet no instance gets MIN_ANSWERS answers of a replica while
    it is slow, so the answers that peers report count together with the own.
    """

    def __init__(self) -> None:
        self._log = 0.0
        self._at_ms = 0
        self._answers = 0
        self._counted_ms = -MIN_SPREAD_MS
        self._report_by_peer: dict[str, tuple[Report, int]] = {}

    def note(self, relative: float, now_ms: int) -> None:
        """Record an answer that was so many times slower than predicted."""
        if now_ms - self._at_ms > EVIDENCE_MS:
            self._answers = 0
        decayed = _decayed(self._log, now_ms - self._at_ms)
        self._log = decayed + ANSWER_WEIGHT * (math.log(relative) - decayed)
        self._at_ms = now_ms
        if now_ms - self._counted_ms >= MIN_SPREAD_MS / (MIN_ANSWERS - 1):
            self._answers = min(self._answers + 1, MIN_ANSWERS)
            self._counted_ms = now_ms

    def receive(self, peer: str, report: Report, at_ms: int) -> None:
        """Record what a peer has learned by a time."""
        answers = max(0, min(report.answers, MIN_ANSWERS))
        pace = min(max(report.pace, 1.0), MAX_PACE)
        self._report_by_peer.pop(peer, None)
        while len(self._report_by_peer) >= MAX_REPORTERS:
            del self._report_by_peer[next(iter(self._report_by_peer))]
        self._report_by_peer[peer] = (
            Report(pace, answers, report.at_ms),
            at_ms,
        )

    def factor(self, now_ms: int) -> float:
        """Return the factor of predictions, 1 unless the replica is slow."""
        own = self.learned(now_ms)
        if own.answers >= MIN_ANSWERS and (
            now_ms - self._at_ms <= OWN_FRESH_MS or not self._report_by_peer
        ):
            return _as_factor(own.pace)
        if not self._report_by_peer:
            return 1.0
        return _as_factor(_combined([own, *self._reported(now_ms)]))

    def learned(self, now_ms: int) -> Report:
        """Return what own answers say."""
        age_ms = now_ms - self._at_ms
        if age_ms > EVIDENCE_MS:
            return NO_REPORT
        return Report(
            math.exp(_decayed(self._log, age_ms)), self._answers, self._at_ms
        )

    def _reported(self, now_ms: int) -> list[Report]:
        self._report_by_peer = {
            peer: (report, at_ms)
            for peer, (report, at_ms) in self._report_by_peer.items()
            if now_ms - at_ms <= EVIDENCE_MS
        }
        return [
            Report(
                math.exp(_decayed(math.log(report.pace), now_ms - at_ms)),
                report.answers,
                report.at_ms,
            )
            for report, at_ms in self._report_by_peer.values()
        ]


def _combined(reports: typing.Sequence[Report]) -> float:
    """Return the pace by the answers of several instances.

    An average of few answers is still near its start, so that of all answers
    is further from 1 than the averages of which it consists.
    """
    reports = [report for report in reports if report.answers]
    answers = sum(report.answers for report in reports)
    times_ms = [report.at_ms for report in reports]
    is_confirmed = any(report.answers >= MIN_ANSWERS for report in reports)
    if not is_confirmed and (
        answers < MIN_ANSWERS or max(times_ms) - min(times_ms) < MIN_SPREAD_MS
    ):
        return 1.0
    mean_log = (
        sum(
            report.answers * math.log(report.pace) / _share(report.answers)
            for report in reports
        )
        / answers
    )
    return math.exp(mean_log * _share(answers))


def _share(answers: int) -> float:
    """Return the share of some answers in an average that began at 1."""
    return 1.0 - (1.0 - ANSWER_WEIGHT) ** answers


Key = typing.TypeVar("Key")


def slowest(report_by_key: typing.Mapping[Key, Report]) -> dict[Key, Report]:
    """Return the slow paces to report, at most the MAX_REPORTED slowest."""
    slow = [
        item
        for item in report_by_key.items()
        if item[1].answers and item[1].pace >= MIN_SLOW_PACE
    ]
    return dict(
        heapq.nlargest(MAX_REPORTED, slow, key=lambda item: item[1].pace)
    )


def _decayed(log: float, age_ms: float) -> float:
    return log * math.exp(-max(0.0, age_ms) / DECAY_MS)


def _as_factor(pace: float) -> float:
    return pace if pace >= MIN_SLOW_PACE else 1.0
