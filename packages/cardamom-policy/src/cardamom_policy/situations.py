"""Inputs and results of placement: engines, demand and moves."""

import dataclasses
import enum
import typing

from cardamom_config import schema

Name = tuple[str, str]  # model and adapter; "" for the model itself


class MoveKind(enum.Enum):
    """What a planned move does."""

    LOAD = "load"
    UNLOAD = "unload"


@dataclasses.dataclass(frozen=True)
class Move:
    """One planned order with its reason, for ``status --why``."""

    kind: MoveKind
    engine: str
    model: str
    adapter: str
    version: str
    memory_mb: int
    reason: str


@dataclasses.dataclass(frozen=True)
class Resident:
    """A model or adapter that may take memory of an engine.

    This includes one whose load is ordered and not yet confirmed.  If
    ``is_unloading``, its unload is ordered.
    """

    model: str
    adapter: str
    version: str
    memory_mb: int
    is_ready: bool
    since_ms: int
    is_unloading: bool = False


@dataclasses.dataclass(frozen=True)
class Engine:
    """One engine and all models and adapters that may be in its memory."""

    id: str
    data_centre: str
    memory_mb: int
    resident_by_name: typing.Mapping[Name, Resident]
    is_usable: bool = True

    @property
    def free_mb(self) -> int:
        """Return the memory that is certainly free, in MB."""
        return self.memory_mb - sum(
            r.memory_mb for r in self.resident_by_name.values()
        )

    def serves(self, name: Name) -> bool:
        """Return whether the engine holds a resident and keeps it.

        The resident's load may still be unconfirmed.
        """
        resident = self.resident_by_name.get(name)
        return (
            self.is_usable
            and resident is not None
            and not resident.is_unloading
        )


@dataclasses.dataclass(frozen=True)
class Demand:
    """Demand for one model or one of its adapters.

    ``waiting`` counts requests; the default of ``idle_ms`` means never used.
    """

    tokens_per_s: float = 0.0
    waiting: int = 0
    idle_ms: int = 1 << 40


@dataclasses.dataclass(frozen=True)
class Situation:
    """The inputs of a plan.

    ``capacity_tokens_per_s`` is the answer token rate of a typical engine.
    """

    configuration: schema.Configuration
    engines: typing.Sequence[Engine]
    demand_by_name: typing.Mapping[Name, Demand]
    now_ms: int
    capacity_tokens_per_s: float

    def demand(self, name: Name) -> Demand:
        """Return the demand for a model or an adapter."""
        return self.demand_by_name.get(name, Demand())

    def model_memory_mb(self, model: str) -> int:
        """Return the memory of a model in MB, including its KV cache."""
        spec = self.configuration.models[model]
        return spec.memory_mb + spec.kv_mb
