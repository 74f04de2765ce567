"""Simulates a deployment under each policy with a stepped clock.

During the run one engine crashes and restarts, and the table is unreachable
for a while.
"""

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
ENGINE_CRASH_AT_MS = 140_000
ENGINE_DOWN_FOR_MS = 20_000
TABLE_DOWN_FROM_MS = 170_000
TABLE_DOWN_UNTIL_MS = 195_000


@dataclasses.dataclass
class Simulation:
    """A run of one policy over the generated requests."""

    configuration: schema.Configuration
    engines: list[engine_module.Engine]
    policy: policies.Policy
    clock: clocks.SteppedClock
    book: shares.ShareBook
    arrivals: list[workload.Request]

    def run(self) -> dict[str, float]:
        """Run until HORIZON_MS and return the measures by name."""
        pending = collections.deque(self.arrivals)
        reservations: dict[int, shares.Reservation] = {}
        while self.clock.now_ms() < workload.HORIZON_MS:
            now_ms = self.clock.now_ms()
            self._crash_and_restart_engine(now_ms)
            while pending and pending[0].arrival_ms <= now_ms:
                self._admit(pending.popleft(), reservations)
            if now_ms % policies.PLACEMENT_INTERVAL_MS < engine_module.STEP_MS:
                is_table_down = (
                    TABLE_DOWN_FROM_MS <= now_ms < TABLE_DOWN_UNTIL_MS
                )
                self.policy.place(not is_table_down)
            self.policy.dispatch()
            for request in self.policy.dropped:
                self._refund(request, reservations)
            self.policy.dropped.clear()
            for engine in self.engines:
                for request in engine.step(now_ms):
                    self.policy.on_finished(engine, request)
                    self._settle(request, reservations)
            self.clock.step(engine_module.STEP_MS)
        return self._measure()

    def _admit(
        self,
        request: workload.Request,
        reservations: dict[int, shares.Reservation],
    ) -> None:
        tokens = request.prompt_tokens + request.answer_tokens
        team = ids.TeamId(request.team)
        outcome = self.book.charge(team, tokens)
        if isinstance(outcome, shares.Reservation):
            reservations[id(request)] = outcome
            self.policy.enqueue(request)
        else:
            request.refusal = "rate"

    def _settle(
        self,
        request: workload.Request,
        reservations: dict[int, shares.Reservation],
    ) -> None:
        reservation = reservations.pop(id(request))
        self.book.spend(reservation, reservation.remaining)
        self.book.close_reservation(reservation)

    def _refund(
        self,
        request: workload.Request,
        reservations: dict[int, shares.Reservation],
    ) -> None:
        self.book.close_reservation(reservations.pop(id(request)))

    def _crash_and_restart_engine(self, now_ms: int) -> None:
        engine = self.engines[-1]
        if now_ms == ENGINE_CRASH_AT_MS:
            for request in engine.crash():
                request.first_token_at_ms = None
                request.produced_tokens = 0.0
                self.policy.enqueue(request)
        if now_ms == ENGINE_CRASH_AT_MS + ENGINE_DOWN_FOR_MS:
            engine.is_up = True
            engine.up_since_ms = now_ms

    def _measure(self) -> dict[str, float]:
        objectives = self.configuration.objectives
        counted = [
            request
            for request in self.arrivals
            if WARM_UP_MS
            <= request.arrival_ms
            < workload.HORIZON_MS - policies.QUEUE_TIMEOUT_MS
        ]
        admitted = [r for r in counted if r.refusal != "rate"]
        met = [r for r in admitted if r.meets(objectives)]
        span_s = (
            workload.HORIZON_MS - policies.QUEUE_TIMEOUT_MS - WARM_UP_MS
        ) / 1000
        by_team = _attainment_by_team(admitted, objectives)
        mean = statistics.fmean(by_team.values())
        return {
            "attainment_per_accelerator": len(met)
            / span_s
            / len(self.engines),
            "attainment": len(met) / len(admitted),
            "moves_per_hour": self.policy.moves
            * 3_600_000
            / workload.HORIZON_MS,
            "worst_team_attainment": min(by_team.values()),
            "mean_team_attainment": mean,
            "memory_overcommits": sum(e.overcommits for e in self.engines),
            "unreachable_models": self._unreachable(counted),
            "refused_in_queue": sum(r.refusal == "queue" for r in counted),
            "refused_by_rate": sum(r.refusal == "rate" for r in counted),
        }

    def _unreachable(self, counted: list[workload.Request]) -> int:
        """Count the models that were requested but never answered."""
        requested = {r.model for r in counted if r.refusal != "rate"}
        answered = {r.model for r in counted if r.completed_at_ms is not None}
        return len(requested - answered)


def _attainment_by_team(
    admitted: list[workload.Request],
    objectives: schema.Objectives,
) -> dict[str, float]:
    total: collections.Counter[str] = collections.Counter()
    met: collections.Counter[str] = collections.Counter()
    for request in admitted:
        total[request.team] += 1
        met[request.team] += request.meets(objectives)
    return {team: met[team] / total[team] for team in total}


def run_deployment(
    name: str,
    seed: int,
    policy_classes: typing.Sequence[type[policies.Policy]] = policies.POLICIES,
) -> dict[str, dict[str, float]]:
    """Return the measures by policy and name for an example."""
    configuration = workload.load_example(name)
    return {
        policy_class.name: _make_simulation(
            configuration, policy_class, seed
        ).run()
        for policy_class in policy_classes
    }


def _make_simulation(
    configuration: schema.Configuration,
    policy_class: type[policies.Policy],
    seed: int,
) -> Simulation:
    clock = clocks.SteppedClock()
    engines = [
        engine_module.Engine(name, target.data_centre, target.memory_mb)
        for name, target in configuration.engines().items()
    ]
    store = engine_module.WeightStore(
        configuration.weight_store.loads_per_s,
        configuration.weight_store.concurrent_loads,
    )
    requests_per_s = engine_module.capacity_requests_per_s(
        len(engines),
        configuration.objectives.between_tokens_ms,
    )
    arrivals = workload.generate(configuration, requests_per_s, seed)
    book = _make_share_book(configuration, clock, requests_per_s)
    policy = policy_class(configuration, engines, store, clock)
    return Simulation(configuration, engines, policy, clock, book, arrivals)


def _make_share_book(
    configuration: schema.Configuration,
    clock: clocks.SteppedClock,
    requests_per_s: float,
) -> shares.ShareBook:
    """Return a book with all shares, scaled to 1.5 times the mean load."""
    rates = configuration.teams
    total = sum(team.rate_tokens_per_s for team in rates.values())
    tokens = workload.MEAN_PROMPT_TOKENS + workload.MEAN_ANSWER_TOKENS
    scale = requests_per_s * tokens * workload.LOAD_FRACTION * 1.5 / total
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
    report = book.join_round(shares.Round(1, "bench"))
    assert report is not None
    book.mint([report])
    for bucket in book._bucket_by_team.values():
        bucket.refilled_ms = -WARM_UP_MS
    return book
