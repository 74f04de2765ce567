"""The outside checker: what callers saw, held against the promises."""

import collections
import dataclasses
import typing

import numpy

Json = dict[str, typing.Any]

WITHDRAWAL_BOUND_S = 5.0


@dataclasses.dataclass(frozen=True)
class Served:
    """A request that was answered, with the tokens that it took."""

    team: str
    start_s: float
    end_s: float
    tokens: float


@dataclasses.dataclass
class SingleKey:
    """Everything that callers heard about one idempotency key."""

    answered: int = 0
    not_run: int = 0
    other: int = 0
    bodies: set[str] = dataclasses.field(default_factory=set)


class Checker:
    """Collects what happened and finds violations."""

    def __init__(self) -> None:
        self.violations: list[str] = []
        self.served: list[Served] = []
        self.outcomes: collections.Counter[str] = collections.Counter()
        self.single_by_key: dict[str, SingleKey] = collections.defaultdict(
            SingleKey
        )
        self.not_run_ids: set[str] = set()
        self._in_force_s_by_key: dict[str, float] = {}
        self._config_by_boot: dict[str, int] = {}
        self._config_in_force = 0

    def violation(self, promise: str, detail: object) -> None:
        """Record a broken promise."""
        self.violations.append(f"{promise}: {detail}")

    def withdrawn(self, key_id: str, at_s: float) -> None:
        """Note that a withdrawal was said to be in force."""
        self._in_force_s_by_key[key_id] = at_s

    def answered_for_key(self, key_id: str, start_s: float) -> None:
        """Note that a request with a key, begun at a time, was answered."""
        in_force_s = self._in_force_s_by_key.get(key_id)
        if in_force_s is not None and start_s > in_force_s:
            late_s = start_s - in_force_s
            self.violation("withdrawn key stops", f"{late_s:.2f} s after")

    def stream_outlived(self, seconds: float) -> None:
        """Note how long a stream went on after its key was withdrawn."""
        if seconds > WITHDRAWAL_BOUND_S:
            self.violation(
                "withdrawn key stops", f"stream for {seconds:.2f} s"
            )

    def applied(self, version: int) -> None:
        """Note that a configuration was said to be in force everywhere."""
        self._config_in_force = max(self._config_in_force, version)

    def saw_config(self, boot: str, version: int, is_ready: bool) -> None:
        """Note the version that an instance holds."""
        before = self._config_by_boot.get(boot, 0)
        if version < before:
            self.violation("configuration never reverts", f"{boot} {version}")
        self._config_by_boot[boot] = version

    def saw_status(self, status: Json) -> None:
        """Note an instance's status."""
        versions = status["versions"]
        self.saw_config(
            status["instance"],
            versions.get("config", 0),
            status["ready"],
        )
        for name, count in status["invariant_violations"].items():
            self.violation(f"invariant {name}", f"{count} times")

    def check_config_in_force(self, status: Json, asked_version: int) -> None:
        """Check that a ready instance has what was in force when asked."""
        held = status["versions"].get("config", 0)
        if status["ready"] and held < asked_version:
            detail = f"{status['instance']} has {held} of {asked_version}"
            self.violation("configuration in force", detail)

    @property
    def config_in_force(self) -> int:
        """Return the highest version said to be in force."""
        return self._config_in_force

    def check_rates(
        self, limit_by_team: dict[str, tuple[float, float]]
    ) -> None:
        """Check rate and burst in every window between two requests."""
        for team, (rate, burst) in limit_by_team.items():
            served = [s for s in self.served if s.team == team]
            excess = worst_excess(served, rate, burst)
            if excess > 1e-6:
                self.violation("rate and burst", f"{team} by {excess:.1f}")

    def check_singles(self, runs_by_key: typing.Mapping[str, int]) -> None:
        """Check at most once, and that what was said of a run is true."""
        for key, count in runs_by_key.items():
            if count > 1:
                self.violation("at most once", f"{key} ran {count} times")
        for key, seen in self.single_by_key.items():
            runs = runs_by_key.get(key, 0)
            if seen.answered and runs != 1:
                self.violation("answered means run", f"{key} ran {runs}")
            if seen.not_run and not (seen.answered or seen.other) and runs:
                self.violation("not run is true", f"{key} ran {runs}")
            if len(seen.bodies) > 1:
                self.violation("a repeat gets the first answer", key)

    def check_not_run(self, ran: typing.Iterable[str]) -> None:
        """Check that no request said not to have run reached an engine."""
        for request_id in self.not_run_ids & set(ran):
            self.violation("not run is true", request_id)


def worst_excess(served: list[Served], rate: float, burst: float) -> float:
    """Return by how many tokens the fullest window exceeds its bound.

    A request counts in a window only if it lies wholly within it.
    """
    if not served:
        return 0.0
    starts = numpy.array([s.start_s for s in served])
    ends = numpy.array([s.end_s for s in served])
    tokens = numpy.array([s.tokens for s in served])
    by_end = numpy.argsort(ends)
    starts, ends, tokens = starts[by_end], ends[by_end], tokens[by_end]
    worst = -burst
    for begin in starts:
        inside = numpy.cumsum(numpy.where(starts >= begin, tokens, 0.0))
        span_s = numpy.maximum(0.0, ends - begin)
        excess = inside - burst - rate * span_s
        worst = max(worst, float(excess.max()))
    return worst
