"""One deployment's course under each policy, on a stepped clock."""

import collections
import dataclasses
import statistics
import typing

from cardamom_config import schema
from cardamom_kernel import clocks
from cardamom_kernel import ids
from cardamom_kernel import shares
from tools.bench import engines as engine_module
from tools.bench import policies
from tools.bench import workload

WARM_UP_MS = 20_000
LOST_AT_MS = 140_000
LOST_FOR_MS = 20_000
TABLE_OUT_FROM_MS = 170_000
TABLE_OUT_UNTIL_MS = 195_000


@dataclasses.dataclass
class Course:
    """One policy's run."""

    configuration: schema.Configuration
    engines: list[engine_module.Engine]
    policy: policies.Policy
    clock: clocks.SteppedClock
    book: shares.ShareBook
    arrivals: list[workload.Request]

    def run(self) -> dict[str, float]:
        """Run to the horizon and return the measures."""
        pending = collections.deque(self.arrivals)
        loans: dict[int, shares.Loan] = {}
        while self.clock.now_ms() < workload.HORIZON_MS:
            now_ms = self.clock.now_ms()
            self._disturb(now_ms)
            while pending and pending[0].arrival_ms <= now_ms:
                self._admit(pending.popleft(), loans)
            if now_ms % policies.PLACE_MS < engine_module.STEP_MS:
                is_out = TABLE_OUT_FROM_MS <= now_ms < TABLE_OUT_UNTIL_MS
                self.policy.place(not is_out)
            self.policy.dispatch()
            for request in self.policy.dropped:
                self._give_back(request, loans)
            self.policy.dropped.clear()
            for engine in self.engines:
                for request in engine.step(now_ms):
                    self.policy.ended(engine, request)
                    self._settle(request, loans)
            self.clock.step(engine_module.STEP_MS)
        return self._measure()

    def _admit(
        self,
        request: workload.Request,
        loans: dict[int, shares.Loan],
    ) -> None:
        tokens = request.prompt_tokens + request.answer_tokens
        team = ids.TeamId(request.team)
        outcome = self.book.charge(team, tokens)
        if isinstance(outcome, shares.Loan):
            loans[id(request)] = outcome
            self.policy.arrive(request)
        else:
            request.refused = "rate"

    def _settle(
        self,
        request: workload.Request,
        loans: dict[int, shares.Loan],
    ) -> None:
        loan = loans.pop(id(request))
        self.book.spend(loan, loan.remaining)
        self.book.settle(loan)

    def _give_back(
        self,
        request: workload.Request,
        loans: dict[int, shares.Loan],
    ) -> None:
        self.book.settle(loans.pop(id(request)))

    def _disturb(self, now_ms: int) -> None:
        victim = self.engines[-1]
        if now_ms == LOST_AT_MS:
            for request in victim.crash():
                request.first_ms = None
                request.produced = 0.0
                self.policy.arrive(request)
        if now_ms == LOST_AT_MS + LOST_FOR_MS:
            victim.is_up = True
            victim.up_since_ms = now_ms

    def _measure(self) -> dict[str, float]:
        objectives = self.configuration.objectives
        counted = [
            request
            for request in self.arrivals
            if WARM_UP_MS
            <= request.arrival_ms
            < workload.HORIZON_MS - policies.QUEUE_MS
        ]
        admitted = [r for r in counted if r.refused != "rate"]
        attained = [r for r in admitted if r.is_attained(objectives)]
        span_s = (workload.HORIZON_MS - policies.QUEUE_MS - WARM_UP_MS) / 1000
        by_team = _attainment_by_team(admitted, objectives)
        mean = statistics.fmean(by_team.values())
        return {
            "attainment_per_accelerator": len(attained)
            / span_s
            / len(self.engines),
            "attainment": len(attained) / len(admitted),
            "moves_per_hour": self.policy.moves
            * 3_600_000
            / workload.HORIZON_MS,
            "worst_team_attainment": min(by_team.values()),
            "mean_team_attainment": mean,
            "memory_overcommits": sum(e.overcommits for e in self.engines),
            "unreachable_models": self._unreachable(counted),
            "refused_in_queue": sum(r.refused == "queue" for r in counted),
            "refused_by_rate": sum(r.refused == "rate" for r in counted),
        }

    def _unreachable(self, counted: list[workload.Request]) -> int:
        """Count the models that were asked for and never answered."""
        asked = {r.model for r in counted if r.refused != "rate"}
        answered = {r.model for r in counted if r.done_ms is not None}
        return len(asked - answered)


def _attainment_by_team(
    admitted: list[workload.Request],
    objectives: schema.Objectives,
) -> dict[str, float]:
    total: collections.Counter[str] = collections.Counter()
    good: collections.Counter[str] = collections.Counter()
    for request in admitted:
        total[request.team] += 1
        good[request.team] += request.is_attained(objectives)
    return {team: good[team] / total[team] for team in total}


def run_deployment(
    name: str,
    seed: int,
    kinds: typing.Sequence[type[policies.Policy]] = policies.ALL,
) -> dict[str, dict[str, float]]:
    """Return the measures of each policy on one example."""
    configuration = workload.load_example(name)
    return {
        kind.name: _course(configuration, kind, seed).run() for kind in kinds
    }


def _course(
    configuration: schema.Configuration,
    kind: type[policies.Policy],
    seed: int,
) -> Course:
    clock = clocks.SteppedClock()
    engines = [
        engine_module.Engine(name, target.data_centre, target.memory_mb)
        for name, target in configuration.engines().items()
    ]
    store = engine_module.WeightStore(
        configuration.weight_store.loads_per_s,
        configuration.weight_store.concurrent_loads,
    )
    per_s = engine_module.capacity_per_s(
        len(engines),
        configuration.objectives.between_tokens_ms,
    )
    arrivals = workload.generate(configuration, per_s, seed)
    book = _full_book(configuration, clock, per_s)
    policy = kind(configuration, engines, store, clock)
    return Course(configuration, engines, policy, clock, book, arrivals)


def _full_book(
    configuration: schema.Configuration,
    clock: clocks.SteppedClock,
    per_s: float,
) -> shares.ShareBook:
    """Return the team's buckets, scaled so that all rates fit the load."""
    rates = configuration.teams
    total = sum(team.rate_tokens_per_s for team in rates.values())
    tokens = workload.PROMPT_TOKENS + workload.ANSWER_TOKENS
    scale = per_s * tokens * workload.LOAD_PART * 1.5 / total
    book = shares.ShareBook(clock)
    book.configure(
        {
            ids.TeamId(name): shares.Rate(
                team.rate_tokens_per_s * scale,
                team.rate_tokens_per_s * scale * 10,
            )
            for name, team in rates.items()
        }
    )
    report = book.join(shares.Round(1, "bench"))
    assert report is not None
    book.mint([report])
    for bucket in book._by_team.values():
        bucket.refilled_ms = -WARM_UP_MS
    return book
