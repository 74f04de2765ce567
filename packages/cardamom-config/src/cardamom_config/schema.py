"""The schema of the configuration that operators write."""

import enum
import typing

import pydantic

NAME_PATTERN = r"^[a-z0-9][a-z0-9._-]{0,62}$"

# Readers of JSON may round whole numbers above it, and the table refuses those
# of more than 64 bits.
LARGEST_NUMBER = 2**53

Name = typing.Annotated[str, pydantic.Field(pattern=NAME_PATTERN)]


class Section(pydantic.BaseModel):
    """Base class of all sections; unknown fields are errors.

    So are infinite numbers, which JSON lacks: the table stored null for them,
    which no instance accepts.
    """

    model_config = pydantic.ConfigDict(
        extra="forbid", frozen=True, allow_inf_nan=False
    )

    @pydantic.field_validator("*")
    @classmethod
    def _check_size(cls, value: typing.Any) -> typing.Any:
        if isinstance(value, int) and value > LARGEST_NUMBER:
            raise ValueError("is above 2^53; use a smaller number")
        return value


class TargetKind(enum.Enum):
    """The kind of a target: a model engine or a plain HTTP service."""

    ENGINE = "engine"
    SERVICE = "service"


class Access(enum.Enum):
    """Who may call a route: anyone, or only callers with an API key."""

    OPEN = "open"
    KEYED = "keyed"


class Team(Section):
    """A team with its fleet-wide token limit and its scheduling weight."""

    rate_tokens_per_s: float = pydantic.Field(gt=0)
    burst_tokens: float = pydantic.Field(gt=0)
    weight: float = pydantic.Field(default=1.0, gt=0)


class Model(Section):
    """A model to serve, with its memory per replica on an engine.

    ``kv_mb`` is memory for the KV cache beside the weights; ``min_ready`` is
    the minimum number of loaded replicas.
    """

    version: str = "1"
    memory_mb: int = pydantic.Field(gt=0)
    kv_mb: int = pydantic.Field(default=0, ge=0)
    min_ready: int = pydantic.Field(default=0, ge=0)


class Adapter(Section):
    """A fine-tuned adapter of one model, called as ``model:adapter``."""

    model: Name
    version: str = "1"
    memory_mb: int = pydantic.Field(gt=0)


class Target(Section):
    """A model engine or a plain service."""

    kind: TargetKind
    group: Name
    url: str = pydantic.Field(pattern=r"^http://[^/\s]+$")
    data_centre: Name
    memory_mb: int = pydantic.Field(default=0, ge=0)
    slots: int = pydantic.Field(default=32, gt=0)
    tokens_per_s: float = pydantic.Field(default=800, gt=0)
    checks_fencing: bool = False


class Route(Section):
    """A path prefix whose calls go to the services of a group."""

    path: str = pydantic.Field(pattern=r"^/[A-Za-z0-9/_.-]*$")
    methods: tuple[str, ...] = ("GET",)
    group: Name
    access: Access = Access.KEYED
    idempotent: bool = True
    cost_tokens: float = pydantic.Field(default=1, ge=0)
    timeout_ms: int = pydantic.Field(default=10_000, gt=0)


class Objectives(Section):
    """Latency objectives for callers, in milliseconds."""

    first_token_ms: int = pydantic.Field(default=330, gt=0)
    between_tokens_ms: int = pydantic.Field(default=39, gt=0)


class Limits(Section):
    """Limits on calls, queues and retries."""

    max_body_bytes: int = pydantic.Field(default=4 << 20, gt=0)
    default_max_tokens: int = pydantic.Field(default=256, gt=0)
    max_tokens: int = pydantic.Field(default=8_192, gt=0)
    request_timeout_ms: int = pydantic.Field(default=120_000, gt=0)
    queue_timeout_ms: int = pydantic.Field(default=10_000, gt=0)
    max_queued: int = pydantic.Field(default=2_000, gt=0)
    retry_budget_percent: int = pydantic.Field(default=10, ge=0, le=100)


class WeightStore(Section):
    """Limits on the loads of weights from the weight store."""

    loads_per_s: float = pydantic.Field(default=2.5, gt=0)
    concurrent_loads: int = pydantic.Field(default=14, gt=0)
    adapters_in_flight: int = pydantic.Field(default=110, gt=0)


class Configuration(Section):
    """A complete configuration; ids are the keys of the mappings."""

    teams: dict[Name, Team] = pydantic.Field(default_factory=dict)
    models: dict[Name, Model] = pydantic.Field(default_factory=dict)
    adapters: dict[Name, Adapter] = pydantic.Field(default_factory=dict)
    targets: dict[Name, Target] = pydantic.Field(default_factory=dict)
    routes: dict[Name, Route] = pydantic.Field(default_factory=dict)
    objectives: Objectives = Objectives()
    limits: Limits = Limits()
    weight_store: WeightStore = WeightStore()

    def engines(self) -> dict[str, Target]:
        """Return the targets that are model engines, by id."""
        return self._targets_of(TargetKind.ENGINE)

    def services(self, group: str) -> dict[str, Target]:
        """Return the plain services of a group, by id."""
        return {
            name: target
            for name, target in self._targets_of(TargetKind.SERVICE).items()
            if target.group == group
        }

    def adapters_of(self, model: str) -> list[str]:
        """Return the ids of a model's adapters, sorted."""
        return sorted(
            name
            for name, adapter in self.adapters.items()
            if adapter.model == model
        )

    def _targets_of(self, kind: TargetKind) -> dict[str, Target]:
        return {
            name: target
            for name, target in self.targets.items()
            if target.kind is kind
        }
