"""Types of the gateway: configuration, targets and requests.

None of them depends on a wire format: a platform's adapter decodes each of
its messages into them once.
"""

import dataclasses
import enum
import functools
import typing

from cardamom_kernel import ids
from cardamom_policy import urgency

ServiceId = typing.NewType("ServiceId", str)
PartId = typing.NewType("PartId", str)
RegionId = typing.NewType("RegionId", str)
ModelAndAdapter = tuple[str, str]
# Homes of a route or a team that may be served anywhere.
ANY_REGION: frozenset[RegionId] = frozenset()
NO_TIMEOUT_MS = 1 << 40


class CallKind(enum.Enum):
    """Whether calls may be repeated, and whether they are streamed."""

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
    """A rule for the requests of one host under one path prefix.

    ``priority`` 0 is the most urgent.  ``objective_ms`` is the latency
    objective for the answer, or for the first event of a stream.
    ``event_interval_objective_ms`` is the objective for the interval between
    two events of a stream, 0 for none.  ``event_timeout_ms`` is how long
    callers wait for an event of a stream, also for the first one, before they
    disconnect.  ``allows_unknown_keys`` admits requests without a known API
    key.  ``homes`` are the regions whose targets may run the requests,
    ANY_REGION for all.
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
    allows_unknown_keys: bool
    is_resumable: bool
    event_interval_objective_ms: int = 0
    event_timeout_ms: int = NO_TIMEOUT_MS
    homes: frozenset[RegionId] = ANY_REGION

    @property
    def is_retryable(self) -> bool:
        """Return whether a request may run more than once."""
        if self.kind is CallKind.STREAM:
            return self.is_resumable
        return self.kind is CallKind.IDEMPOTENT


@dataclasses.dataclass(frozen=True)
class ModelSpec:
    """A model, its memory and its load times by location of the weights.

    ``store_load_ms`` is the time of a load from the weight store,
    ``disk_load_ms`` from the replica's disk and ``host_load_ms`` from its host
    memory.  ``adapter_count`` is the number of the model's adapters and
    ``adapter_mb`` the size of each.
    """

    name: str
    memory_mb: float
    store_load_ms: float
    disk_load_ms: float
    host_load_ms: float
    adapter_count: int
    adapter_mb: float


@dataclasses.dataclass(frozen=True)
class EngineSpec:
    """The model engines of one service."""

    request_slots: int
    cache_tokens: int
    memory_mb: float
    adapter_slots: int
    loads_per_s: float
    disk_mb: float
    host_mb: float
    model_by_name: typing.Mapping[str, ModelSpec]


@dataclasses.dataclass(frozen=True)
class Service:
    """A group of replicas that run the same software.

    A replica is cold for ``cold_start_ms`` after its start, and then bears
    only ``cold_rate_per_s`` requests a second from all instances together; 0
    stands for replicas that are never cold.
    """

    id: ServiceId
    connection_limit: int
    engine: EngineSpec | None = None
    cold_start_ms: int = 0
    cold_rate_per_s: float = 0.0


@dataclasses.dataclass(frozen=True)
class Team:
    """A team with its keys and its fleet-wide limit.

    The rate and the burst are in tokens if ``counts_tokens``, else in
    requests; a rate of 0 means no limit.  ``default_request_tokens`` is the
    cost of a request that does not state its tokens.  ``priority`` None means
    that the route's priority applies.  ``homes`` are as those of a route;
    where both have homes, both bind.
    """

    id: ids.TeamId
    keys: tuple[str, ...]
    priority: int | None
    rate_per_s: float
    burst: float
    counts_tokens: bool
    default_request_tokens: float
    homes: frozenset[RegionId] = ANY_REGION


@dataclasses.dataclass(frozen=True)
class Configuration:
    """One complete configuration; versions only grow."""

    version: int
    routes: tuple[Route, ...]
    service_by_id: typing.Mapping[ServiceId, Service]
    team_by_id: typing.Mapping[ids.TeamId, Team]
    max_body_bytes: int

    @functools.cached_property
    def team_by_key(self) -> dict[str, Team]:
        """Return the team of each API key."""
        return {
            key: team for team in self.team_by_id.values() for key in team.keys
        }

    @functools.cached_property
    def top_priority_by_service(self) -> dict[ServiceId, int]:
        """Return the most urgent priority of the routes to each service."""
        top: dict[ServiceId, int] = {}
        for route in self.routes:
            for split in route.splits:
                priority = top.get(split.service, route.priority)
                top[split.service] = min(priority, route.priority)
        return top

    @functools.cached_property
    def urgent_by_priority(self) -> frozenset[tuple[ids.RouteId, str]]:
        """Return routes and services that are urgent by their priority only.

        For the rule see ``urgency``.
        """
        return urgency.urgent_by_priority(
            urgency.Claim(
                route.id, split.service, route.objective_ms, route.priority
            )
            for route in self.routes
            for split in route.splits
        )

    @functools.cached_property
    def _routes_by_host(self) -> dict[str, list[Route]]:
        by_host: dict[str, list[Route]] = {}
        for route in sorted(self.routes, key=lambda r: -len(r.prefix)):
            by_host.setdefault(route.host, []).append(route)
        return by_host

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of the path, or None."""
        routes = self._routes_by_host.get(host.lower(), ())
        return next((r for r in routes if path.startswith(r.prefix)), None)


class TargetState(enum.Enum):
    """State that a target reports about itself."""

    READY = "ready"
    LEAVING = "leaving"


@dataclasses.dataclass(frozen=True)
class Target:
    """A replica, as described by the entry that it writes to the store.

    ``started_ms`` is the wall time of its start, which distinguishes its
    incarnations; ``entry_sequence`` is the number of entries that it has
    written since.  ``residents`` are the loaded models and adapters, each
    adapter with its model.  ``software_version`` is that of the replica's
    software, not of the weights; a stream can't go on at another one.
    ``warmup_ms`` is how much longer it stays cold, as of the entry.
    """

    id: ids.TargetId
    service: ServiceId
    address: str
    data_centre: ids.DataCentreId
    slots: int
    state: TargetState
    started_ms: int
    entry_sequence: int
    residents: frozenset[ModelAndAdapter]
    in_host_memory: frozenset[str]
    on_disk: frozenset[str]
    software_version: str = ""
    warmup_ms: int = 0

    @property
    def incarnation(self) -> str:
        """Return an identifier of this incarnation of the target."""
        return f"{self.id}@{self.started_ms}"

    @property
    def models(self) -> frozenset[str]:
        """Return the resident models."""
        return frozenset(model for model, adapter in self.residents)


@dataclasses.dataclass(frozen=True)
class EngineReport:
    """An engine's report of its state, which may be some 100 ms old.

    ``accepted_orders`` is the number of orders that the engine has accepted;
    ``is_leaving`` is whether it says that it leaves.
    """

    accepted_orders: int
    is_busy: bool
    residents: frozenset[ModelAndAdapter]
    pending: frozenset[ModelAndAdapter]
    in_host_memory: frozenset[str]
    on_disk: frozenset[str]
    started_ms: int
    running: int
    waiting: int
    is_leaving: bool = False


@dataclasses.dataclass(frozen=True)
class RequestHead:
    """The decoded head of a request.

    ``prompt_parts`` are in order, with their numbers of tokens; the last part
    belongs to the request's session.  ``prompt_tokens`` is None if the request
    does not state its size.  ``answer_tokens`` is the maximum for the answer
    and ``expected_tokens`` the caller's estimate.  A caller that takes a
    broken-off stream up names in ``resumed_attempt`` its attempt that got the
    first event, and in ``last_event`` the last event that it has.
    """

    attempt: ids.AttemptId
    key: str
    deadline_ms: int | None
    model: str
    adapter: str
    prompt_tokens: int | None
    answer_tokens: int
    expected_tokens: int
    prompt_parts: tuple[tuple[PartId, int], ...]
    last_event: str
    resumed_attempt: ids.AttemptId = ids.AttemptId("")

    @property
    def model_and_adapter(self) -> ModelAndAdapter:
        """Return the model and the adapter that must be loaded."""
        return (self.model, self.adapter)


@dataclasses.dataclass(frozen=True)
class AnswerHead:
    """The decoded head of a target's answer.

    ``is_signed`` is whether the answer carries the target's signature;
    ``has_not_run`` is whether the target states that it did not run the
    request.  ``rate_limit_per_s`` is how many requests a second it takes from
    all instances together, None if it states no limit.  A target that fails
    if it rejects more requests a second than ``tolerated_rejections`` states
    that number.  ``malformed_limit`` is the value of either that can't be
    used.  ``is_leaving`` is whether the target says that it leaves.
    A target that rejects a request may state with ``retry_after_ms`` for how
    long it wants no others from this instance.  ``warmup_ms`` is how
    much longer the target stays cold, None if it says nothing of that.
    """

    attempt: str
    is_signed: bool
    has_not_run: bool
    keep_alive_ms: int | None
    rate_limit_per_s: float | None = None
    tolerated_rejections: int | None = None
    malformed_limit: str | None = None
    is_leaving: bool = False
    retry_after_ms: int | None = None
    warmup_ms: int | None = None
