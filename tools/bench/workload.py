"""Generates bursty demand of teams for a few hot and many cold models."""

import dataclasses
import math
import pathlib
import random

from cardamom_config import folders
from cardamom_config import schema

HORIZON_MS = 240_000
DEMAND_SHIFT_INTERVAL_MS = 60_000
# Mean demand, relative to what all engines together can serve in time.
LOAD_FRACTION = 0.72
MEAN_PROMPT_TOKENS = 400
MEAN_ANSWER_TOKENS = 64
ADAPTER_FRACTION = 0.3
# One team sends more than its share for part of the run.
NOISY_TEAM_FROM_MS = 90_000
NOISY_TEAM_UNTIL_MS = 130_000
NOISY_TEAM_FACTOR = 5.0
ZIPF_EXPONENT = 1.1
PREFIXES_PER_TEAM_AND_MODEL = 4


@dataclasses.dataclass(eq=False)
class Request:
    """A model request and its outcome; times in milliseconds."""

    team: str
    model: str
    adapter: str
    arrival_ms: int
    prompt_tokens: int
    answer_tokens: int
    prefix: str
    first_token_at_ms: float | None = None
    completed_at_ms: float | None = None
    produced_tokens: float = 0.0
    remaining_prefill_ms: float = 0.0
    refusal: str = ""

    def meets(self, objectives: schema.Objectives) -> bool:
        """Return whether the answer met the latency objectives."""
        if self.first_token_at_ms is None or self.completed_at_ms is None:
            return False
        if (
            self.first_token_at_ms - self.arrival_ms
            > objectives.first_token_ms
        ):
            return False
        intervals = max(1, self.answer_tokens - 1)
        between_tokens_ms = (
            self.completed_at_ms - self.first_token_at_ms
        ) / intervals
        return between_tokens_ms <= objectives.between_tokens_ms


def load_example(name: str) -> schema.Configuration:
    """Return the configuration of a folder in ``examples``."""
    loaded = folders.load_folder(pathlib.Path("examples") / name)
    assert loaded.configuration is not None, loaded.problems
    return loaded.configuration


def generate(
    configuration: schema.Configuration,
    capacity_per_s: float,
    seed: int,
) -> list[Request]:
    """Return the requests by arrival time; a seed fixes all of them."""
    rnd = random.Random(seed)
    mean_rate_per_s = capacity_per_s * LOAD_FRACTION
    team_weights = _team_weights(configuration)
    noisy_team = min(team_weights, key=lambda team: team_weights[team])
    requests: list[Request] = []
    for start_ms in range(0, HORIZON_MS, DEMAND_SHIFT_INTERVAL_MS):
        model_weights = _model_weights(configuration, rnd)
        now_ms = float(start_ms)
        while True:
            rate_per_s = mean_rate_per_s * _load_factor(now_ms)
            now_ms += rnd.expovariate(rate_per_s) * 1000
            if now_ms >= start_ms + DEMAND_SHIFT_INTERVAL_MS:
                break
            team = _choose_weighted(
                rnd, _with_noisy_team(team_weights, noisy_team, now_ms)
            )
            requests.append(
                _make_request(
                    configuration,
                    rnd,
                    team,
                    _choose_weighted(rnd, model_weights),
                    now_ms,
                )
            )
    return requests


def _team_weights(configuration: schema.Configuration) -> dict[str, float]:
    return {
        name: team.rate_tokens_per_s
        for name, team in configuration.teams.items()
    }


def _with_noisy_team(
    weights: dict[str, float],
    noisy_team: str,
    now_ms: float,
) -> dict[str, float]:
    if not NOISY_TEAM_FROM_MS <= now_ms < NOISY_TEAM_UNTIL_MS:
        return weights
    return {**weights, noisy_team: weights[noisy_team] * NOISY_TEAM_FACTOR}


def _model_weights(
    configuration: schema.Configuration,
    rnd: random.Random,
) -> dict[str, float]:
    """Return Zipf weights for a new random ranking of the models.

    With a new ranking the demand for a model can change more than tenfold.
    """
    models = sorted(configuration.models)
    rnd.shuffle(models)
    return {
        model: 1.0 / (rank + 1) ** ZIPF_EXPONENT
        for rank, model in enumerate(models)
    }


def _load_factor(now_ms: float) -> float:
    """Return the load at a time as a multiple of the mean load."""
    return 1.0 + 0.3 * math.sin(now_ms / 9_000)


def _choose_weighted(rnd: random.Random, weights: dict[str, float]) -> str:
    return rnd.choices(list(weights), list(weights.values()))[0]


def _make_request(
    configuration: schema.Configuration,
    rnd: random.Random,
    team: str,
    model: str,
    now_ms: float,
) -> Request:
    adapters = configuration.adapters_of(model)
    has_adapter = adapters and rnd.random() < ADAPTER_FRACTION
    return Request(
        team=team,
        model=model,
        adapter=rnd.choice(adapters) if has_adapter else "",
        arrival_ms=int(now_ms),
        prompt_tokens=max(16, int(rnd.expovariate(1 / MEAN_PROMPT_TOKENS))),
        answer_tokens=max(4, int(rnd.expovariate(1 / MEAN_ANSWER_TOKENS))),
        prefix=f"{team}/{model}/{rnd.randrange(PREFIXES_PER_TEAM_AND_MODEL)}",
    )
