"""Checks what callers observed against the promises of the system."""

import collections
import dataclasses
import typing

import numpy

Json = dict[str, typing.Any]

WITHDRAWAL_BOUND_S = 5.0


@dataclasses.dataclass(frozen=True)
class ServedRequest:
    """An answered request with its tokens; times are monotonic."""

    team: str
    start_s: float
    end_s: float
    tokens: float


@dataclasses.dataclass
class IdempotencyKeyRecord:
    """The outcomes that callers received for one idempotency key."""

    answered: int = 0
    not_run: int = 0
    outcome_unknown: int = 0
    bodies: set[str] = dataclasses.field(default_factory=set)


class Checker:
    """Collects observations and records violated promises."""

    def __init__(self) -> None:
        self.violations: list[str] = []
        self.served: list[ServedRequest] = []
        self.outcomes: collections.Counter[str] = collections.Counter()
        self.record_by_key: dict[str, IdempotencyKeyRecord] = (
            collections.defaultdict(IdempotencyKeyRecord)
        )
        self.not_run_request_ids: set[str] = set()
        self._withdrawn_s_by_key: dict[str, float] = {}
        self._version_by_instance: dict[str, int] = {}
        self._config_in_force = 0

    def record_violation(self, promise: str, detail: object) -> None:
        """Record a broken promise."""
        self.violations.append(f"{promise}: {detail}")

    def saw_withdrawal(self, key_id: str, at_s: float) -> None:
        """Record that the withdrawal of a key was reported in force."""
        self._withdrawn_s_by_key[key_id] = at_s

    def saw_answer_for_key(self, key_id: str, start_s: float) -> None:
        """Check an answered request with a key that started at a time."""
        withdrawn_s = self._withdrawn_s_by_key.get(key_id)
        if withdrawn_s is not None and start_s > withdrawn_s:
            late_s = start_s - withdrawn_s
            self.record_violation(
                "withdrawn key stops", f"{late_s:.2f} s after"
            )

    def saw_stream_end(self, seconds: float) -> None:
        """Check how long a stream lasted after its key was withdrawn."""
        if seconds > WITHDRAWAL_BOUND_S:
            self.record_violation(
                "withdrawn key stops", f"stream for {seconds:.2f} s"
            )

    def saw_applied_config(self, version: int) -> None:
        """Record that a version was reported in force everywhere."""
        self._config_in_force = max(self._config_in_force, version)

    def saw_config_version(
        self, instance: str, version: int, is_ready: bool
    ) -> None:
        """Check the configuration version of an instance for a revert."""
        previous_version = self._version_by_instance.get(instance, 0)
        if version < previous_version:
            self.record_violation(
                "configuration never reverts", f"{instance} {version}"
            )
        self._version_by_instance[instance] = version

    def saw_status(self, status: Json) -> None:
        """Check the status that an instance reports."""
        versions = status["versions"]
        self.saw_config_version(
            status["instance"],
            versions.get("config", 0),
            status["ready"],
        )
        for name, count in status["invariant_violations"].items():
            self.record_violation(f"invariant {name}", f"{count} times")

    def check_config_in_force(self, status: Json, required: int) -> None:
        """Check that a ready instance has at least the given version.

        ``required`` was in force when the status was requested.
        """
        version = status["versions"].get("config", 0)
        if status["ready"] and version < required:
            detail = f"{status['instance']} has {version} of {required}"
            self.record_violation("configuration in force", detail)

    @property
    def config_in_force(self) -> int:
        """Return the highest version that was reported in force."""
        return self._config_in_force

    def check_rates(
        self, limit_by_team: dict[str, tuple[float, float]]
    ) -> None:
        """Check each team's rate and burst in every window.

        A limit is a rate in tokens/s and a burst in tokens.
        """
        for team, (rate, burst) in limit_by_team.items():
            served = [
                request for request in self.served if request.team == team
            ]
            excess = largest_excess(served, rate, burst)
            if excess > 1e-6:
                self.record_violation(
                    "rate and burst", f"{team} by {excess:.1f}"
                )

    def check_non_idempotent_calls(
        self, runs_by_key: typing.Mapping[str, int]
    ) -> None:
        """Check that calls ran at most once and as their answers said.

        ``runs_by_key`` counts the runs at the targets by idempotency key.
        """
        for key, count in runs_by_key.items():
            if count > 1:
                self.record_violation(
                    "at most once", f"{key} ran {count} times"
                )
        for key, record in self.record_by_key.items():
            runs = runs_by_key.get(key, 0)
            if record.answered and runs != 1:
                self.record_violation(
                    "answered means run", f"{key} ran {runs}"
                )
            if (
                record.not_run
                and not (record.answered or record.outcome_unknown)
                and runs
            ):
                self.record_violation("not run is true", f"{key} ran {runs}")
            if len(record.bodies) > 1:
                self.record_violation("a repeat gets the first answer", key)

    def check_not_run(self, request_ids: typing.Iterable[str]) -> None:
        """Check that no request reported as not run reached an engine."""
        for request_id in self.not_run_request_ids & set(request_ids):
            self.record_violation("not run is true", request_id)


def largest_excess(
    served: list[ServedRequest], rate: float, burst: float
) -> float:
    """Return the largest excess of a window over its limit in tokens.

    A window of t seconds may have ``burst + rate * t`` tokens.  A request
    counts in a window only if it lies entirely within it.
    """
    if not served:
        return 0.0
    starts = numpy.array([request.start_s for request in served])
    ends = numpy.array([request.end_s for request in served])
    tokens = numpy.array([request.tokens for request in served])
    by_end = numpy.argsort(ends)
    starts, ends, tokens = starts[by_end], ends[by_end], tokens[by_end]
    largest_excess_tokens = -burst
    for window_start in starts:
        window_tokens = numpy.cumsum(
            numpy.where(starts >= window_start, tokens, 0.0)
        )
        span_s = numpy.maximum(0.0, ends - window_start)
        excess = window_tokens - burst - rate * span_s
        largest_excess_tokens = max(largest_excess_tokens, float(excess.max()))
    return largest_excess_tokens
