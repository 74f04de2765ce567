"""Bursty demand of five teams for a few hot and many cold models."""

import dataclasses
import math
import pathlib
import random

from cardamom_config import folders
from cardamom_config import schema

HORIZON_MS = 240_000
SHIFT_EVERY_MS = 60_000
LOAD_PART = 0.72
PROMPT_TOKENS = 400
ANSWER_TOKENS = 64
ADAPTER_PART = 0.3
ROGUE_FROM_MS = 90_000
ROGUE_UNTIL_MS = 130_000
ROGUE_FACTOR = 5.0
ZIPF_EXPONENT = 1.1
COMMON_PREFIXES = 4


@dataclasses.dataclass(eq=False)
class Request:
    """One model call and how it fared, in milliseconds."""

    team: str
    model: str
    adapter: str
    arrival_ms: int
    prompt_tokens: int
    answer_tokens: int
    prefix: str
    first_ms: float | None = None
    done_ms: float | None = None
    produced: float = 0.0
    prefill_left_ms: float = 0.0
    refused: str = ""

    def is_attained(self, objectives: schema.Objectives) -> bool:
        """Tell whether the answer came within the objectives."""
        if self.first_ms is None or self.done_ms is None:
            return False
        if self.first_ms - self.arrival_ms > objectives.first_token_ms:
            return False
        steps = max(1, self.answer_tokens - 1)
        between_ms = (self.done_ms - self.first_ms) / steps
        return between_ms <= objectives.between_tokens_ms


def load_example(name: str) -> schema.Configuration:
    """Return an example's configuration."""
    loaded = folders.load_folder(pathlib.Path("examples") / name)
    assert loaded.configuration is not None, loaded.problems
    return loaded.configuration


def generate(
    configuration: schema.Configuration,
    capacity_per_s: float,
    seed: int,
) -> list[Request]:
    """Return the arrivals in order; the same seed gives the same ones."""
    rnd = random.Random(seed)
    base_per_s = capacity_per_s * LOAD_PART
    weights = _team_weights(configuration)
    rogue = min(weights, key=lambda team: weights[team])
    requests: list[Request] = []
    for start_ms in range(0, HORIZON_MS, SHIFT_EVERY_MS):
        ranks = _model_weights(configuration, rnd)
        now_ms = float(start_ms)
        while True:
            per_s = base_per_s * _burst(now_ms)
            now_ms += rnd.expovariate(per_s) * 1000
            if now_ms >= start_ms + SHIFT_EVERY_MS:
                break
            team = _pick(rnd, _with_rogue(weights, rogue, now_ms))
            requests.append(
                _request(configuration, rnd, team, _pick(rnd, ranks), now_ms)
            )
    return requests


def _team_weights(configuration: schema.Configuration) -> dict[str, float]:
    return {
        name: team.rate_tokens_per_s
        for name, team in configuration.teams.items()
    }


def _with_rogue(
    weights: dict[str, float],
    rogue: str,
    now_ms: float,
) -> dict[str, float]:
    if not ROGUE_FROM_MS <= now_ms < ROGUE_UNTIL_MS:
        return weights
    return {**weights, rogue: weights[rogue] * ROGUE_FACTOR}


def _model_weights(
    configuration: schema.Configuration,
    rnd: random.Random,
) -> dict[str, float]:
    """Rank the models anew, so that demand moves tenfold and more."""
    models = sorted(configuration.models)
    rnd.shuffle(models)
    return {
        model: 1.0 / (rank + 1) ** ZIPF_EXPONENT
        for rank, model in enumerate(models)
    }


def _burst(now_ms: float) -> float:
    """Return the load's swing around its mean."""
    return 1.0 + 0.3 * math.sin(now_ms / 9_000)


def _pick(rnd: random.Random, weights: dict[str, float]) -> str:
    return rnd.choices(list(weights), list(weights.values()))[0]


def _request(
    configuration: schema.Configuration,
    rnd: random.Random,
    team: str,
    model: str,
    now_ms: float,
) -> Request:
    adapters = configuration.adapters_of(model)
    has_adapter = adapters and rnd.random() < ADAPTER_PART
    return Request(
        team=team,
        model=model,
        adapter=rnd.choice(adapters) if has_adapter else "",
        arrival_ms=int(now_ms),
        prompt_tokens=max(16, int(rnd.expovariate(1 / PROMPT_TOKENS))),
        answer_tokens=max(4, int(rnd.expovariate(1 / ANSWER_TOKENS))),
        prefix=f"{team}/{model}/{rnd.randrange(COMMON_PREFIXES)}",
    )
