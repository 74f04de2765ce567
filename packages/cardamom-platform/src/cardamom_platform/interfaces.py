"""Interfaces through which the daemon uses the platform and model engines.

The interface of the transactional table is ``cardamom_kernel.tables.Table``.
"""

import abc
import dataclasses
import enum
import typing

from cardamom_kernel import ids


class InstanceState(enum.Enum):
    """The state of an instance in the platform's list."""

    LIVE = "live"
    LEAVING = "leaving"


@dataclasses.dataclass(frozen=True)
class ListedInstance:
    """An entry of the platform's instance list; ``address`` is a URL."""

    id: ids.InstanceId
    address: str
    data_centre: ids.DataCentreId
    state: InstanceState


class ListUnavailable(Exception):
    """Raised when the instance list gives no usable answer."""


class InstanceList(abc.ABC):
    """The platform's list of instances, which may lag behind."""

    @abc.abstractmethod
    async def instances(self) -> list[ListedInstance]:
        """Return the listed instances; raises ListUnavailable."""

    @abc.abstractmethod
    async def announce(self, instance: ListedInstance) -> None:
        """Publish this instance in the list; raises ListUnavailable."""


class ObjectsUnavailable(Exception):
    """Raised when the object store gives no usable answer."""


class ObjectStore(abc.ABC):
    """The platform's store of values too large for the table."""

    @abc.abstractmethod
    async def put(self, key: str, data: bytes) -> None:
        """Store a value under a key; raises ObjectsUnavailable."""

    @abc.abstractmethod
    async def get(self, key: str) -> bytes | None:
        """Return the value, None if absent; raises ObjectsUnavailable."""


class OrderKind(enum.Enum):
    """The operation that an order requests from an engine."""

    LOAD = "load"
    UNLOAD = "unload"
    LOAD_ADAPTER = "load_adapter"
    UNLOAD_ADAPTER = "unload_adapter"
    EXPORT_KV = "export_kv"
    IMPORT_KV = "import_kv"
    SET_ROLE = "set_role"


@dataclasses.dataclass(frozen=True)
class Order:
    """An order to an engine.

    ``fence`` is the fencing number of the sender's lease.
    """

    id: ids.OrderId
    kind: OrderKind
    fence: int
    model: str
    version: str = ""
    adapter: str = ""
    memory_mb: int = 0
    argument: str = ""


class OrderOutcome(enum.Enum):
    """The outcome of an order, as far as the sender knows."""

    ACCEPTED = "accepted"
    REFUSED = "refused"
    FENCED = "fenced"
    UNKNOWN = "unknown"


@dataclasses.dataclass(frozen=True)
class OrderResult:
    """The outcome of an order, with the message of the engine."""

    outcome: OrderOutcome
    message: str = ""


class LoadState(enum.Enum):
    """The state of a model or adapter on an engine."""

    LOADING = "loading"
    READY = "ready"
    UNLOADING = "unloading"


@dataclasses.dataclass(frozen=True)
class Resident:
    """A model or adapter on an engine, and the memory it occupies."""

    model: str
    version: str
    adapter: str
    memory_mb: int
    state: LoadState


@dataclasses.dataclass(frozen=True)
class EngineState:
    """The state that an engine reports.

    ``boot`` identifies a start of the engine, ``fence`` is the highest
    fencing number that it has received.
    """

    boot: str
    memory_mb: int
    residents: tuple[Resident, ...]
    running: int
    queued: int
    fence: int


@dataclasses.dataclass(frozen=True)
class CacheEvent:
    """A prompt prefix that was added to or evicted from an engine's cache."""

    sequence: int
    prefix: str
    present: bool


@dataclasses.dataclass(frozen=True)
class CacheEvents:
    """Cache events of one start of an engine, which ``boot`` identifies."""

    boot: str
    events: tuple[CacheEvent, ...]


class TargetUnreachable(Exception):
    """Raised when an engine's control interface gives no usable answer.

    ``timed_out`` is false if the connection was refused or closed, as happens
    when the engine's process has exited.
    """

    def __init__(self, message: str, timed_out: bool) -> None:
        super().__init__(message)
        self.timed_out = timed_out


class EngineControl(abc.ABC):
    """The control interface of one model engine."""

    @abc.abstractmethod
    async def state(self) -> EngineState:
        """Return the engine's state; raises TargetUnreachable."""

    @abc.abstractmethod
    async def order(self, order: Order, timeout_ms: int) -> OrderResult:
        """Send an order; the state is UNKNOWN if no answer arrives."""

    @abc.abstractmethod
    async def cache_events(self, after: int) -> CacheEvents:
        """Return the cache events after a sequence number.

        The sequence may have gaps. Raises TargetUnreachable.
        """


EngineControlFactory = typing.Callable[[str], EngineControl]
