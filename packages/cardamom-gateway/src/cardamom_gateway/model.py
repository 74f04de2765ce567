"""What the gateway knows: configuration, targets and requests.

Every type here is free of any wire format; a platform's adapter decodes its
own messages into them once.
"""

import dataclasses
import enum
import functools
import typing

from cardamom_kernel import ids

ServiceId = typing.NewType("ServiceId", str)
PartId = typing.NewType("PartId", str)
Residence = tuple[str, str]
NO_LIMIT_MS = 1 << 40


class CallKind(enum.Enum):
    """What may be repeated, and whether the answer is a stream."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAM = "stream"


@dataclasses.dataclass(frozen=True)
class Split:
    """A service and its share of a route's requests."""

    service: ServiceId
    weight: float


@dataclasses.dataclass(frozen=True)
class Route:
    """Requests of one host under one path prefix.

    ``priority`` 0 is the most urgent; ``objective_ms`` is the time to the
    answer, or to the first event of a stream; ``pause_ms`` is the longest
    pause between events of an answer that is still on time, 0 for none;
    ``patience_ms`` is how long callers wait for the next event of a stream,
    the first one too, before they leave.
    """

    id: ids.RouteId
    host: str
    prefix: str
    kind: CallKind
    splits: tuple[Split, ...]
    timeout_ms: int
    objective_ms: int
    priority: int
    max_attempts: int
    is_open: bool
    is_resumable: bool
    pause_ms: int = 0
    patience_ms: int = NO_LIMIT_MS

    @property
    def is_repeatable(self) -> bool:
        """Tell whether a request may run more than once."""
        if self.kind is CallKind.STREAM:
            return self.is_resumable
        return self.kind is CallKind.IDEMPOTENT


@dataclasses.dataclass(frozen=True)
class ModelSpec:
    """A model, its memory and its load times by where its weights are.

    ``store_ms`` is from the weight store, ``disk_ms`` from the replica's
    disk and ``host_ms`` from its host memory.
    """

    name: str
    memory_mb: float
    store_ms: float
    disk_ms: float
    host_ms: float
    adapters: int
    adapter_mb: float


@dataclasses.dataclass(frozen=True)
class EngineSpec:
    """The model engines of one service."""

    slots: int
    cache_tokens: int
    memory_mb: float
    adapter_slots: int
    loads_per_s: float
    disk_mb: float
    host_mb: float
    model_by_name: typing.Mapping[str, ModelSpec]


@dataclasses.dataclass(frozen=True)
class Service:
    """A group of replicas with one software."""

    id: ServiceId
    connection_limit: int
    engine: EngineSpec | None = None


@dataclasses.dataclass(frozen=True)
class Team:
    """A team with its keys and its fleet-wide limit.

    The rate and the burst count tokens if ``counts_tokens``, else requests;
    a rate of 0 is no limit.  ``priority`` None leaves the route's.
    """

    id: ids.TeamId
    keys: tuple[str, ...]
    priority: int | None
    rate_per_s: float
    burst: float
    counts_tokens: bool
    plain_tokens: float


@dataclasses.dataclass(frozen=True)
class Configuration:
    """One whole configuration; versions only grow."""

    version: int
    routes: tuple[Route, ...]
    service_by_id: typing.Mapping[ServiceId, Service]
    team_by_id: typing.Mapping[ids.TeamId, Team]
    max_body_bytes: int

    @functools.cached_property
    def team_by_key(self) -> dict[str, Team]:
        """Return the team of each key."""
        return {
            key: team for team in self.team_by_id.values() for key in team.keys
        }

    @functools.cached_property
    def _routes_by_host(self) -> dict[str, list[Route]]:
        by_host: dict[str, list[Route]] = {}
        for route in sorted(self.routes, key=lambda r: -len(r.prefix)):
            by_host.setdefault(route.host, []).append(route)
        return by_host

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of the path."""
        routes = self._routes_by_host.get(host.lower(), ())
        return next((r for r in routes if path.startswith(r.prefix)), None)


class TargetState(enum.Enum):
    """What a target says of itself."""

    READY = "ready"
    LEAVING = "leaving"


@dataclasses.dataclass(frozen=True)
class Target:
    """A replica as it describes itself.

    ``born_ms`` is the wall time of its start and tells incarnations apart;
    ``writes`` counts what it has written of itself since.  ``residents`` are
    models, and adapters with their model.
    """

    id: ids.TargetId
    service: ServiceId
    address: str
    data_centre: ids.DataCentreId
    slots: int
    state: TargetState
    born_ms: int
    writes: int
    residents: frozenset[Residence]
    in_host_memory: frozenset[str]
    on_disk: frozenset[str]

    @property
    def incarnation(self) -> str:
        """Return a name of this start of the target."""
        return f"{self.id}@{self.born_ms}"

    @property
    def models(self) -> frozenset[str]:
        """Return the resident models."""
        return frozenset(model for model, adapter in self.residents)


@dataclasses.dataclass(frozen=True)
class EngineReport:
    """What an engine answers when asked; it may be some 100 ms old."""

    orders: int
    is_busy: bool
    residents: frozenset[Residence]
    pending: frozenset[Residence]
    in_host_memory: frozenset[str]
    on_disk: frozenset[str]
    born_ms: int
    running: int
    waiting: int


@dataclasses.dataclass(frozen=True)
class Head:
    """What a request's head says, decoded.

    ``parts`` are the prompt's parts in order, with their tokens; the last
    one belongs to the request's session.  ``prompt_tokens`` is None where
    the request does not tell its size; ``answer_tokens`` is the most that
    the answer may have, ``expected_tokens`` the caller's estimate.
    """

    attempt: ids.AttemptId
    key: str
    deadline_ms: int | None
    model: str
    adapter: str
    prompt_tokens: int | None
    answer_tokens: int
    expected_tokens: int
    parts: tuple[tuple[PartId, int], ...]
    last_event: str

    @property
    def residence(self) -> Residence:
        """Return the model and the adapter that must be resident."""
        return (self.model, self.adapter)


@dataclasses.dataclass(frozen=True)
class AnswerHead:
    """What a target's answer head says, decoded.

    ``is_signed`` tells that the answer carries the target's signature;
    ``has_not_run`` that the target says it did not run the request.
    """

    attempt: str
    is_signed: bool
    has_not_run: bool
    keep_alive_ms: int | None
