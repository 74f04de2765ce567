"""What the daemon asks of the platform and of model engines.

The table's interface is ``cardamom_kernel.tables.Table``.
"""

import abc
import dataclasses
import enum
import typing

from cardamom_kernel import ids


class InstanceState(enum.Enum):
    """What the platform's list says of an instance."""

    LIVE = "live"
    LEAVING = "leaving"


@dataclasses.dataclass(frozen=True)
class ListedInstance:
    """One entry of the platform's lagging list."""

    id: ids.InstanceId
    address: str
    data_centre: ids.DataCentreId
    state: InstanceState


class ListUnavailable(Exception):
    """Raised when the instance list gives no answer."""


class InstanceList(abc.ABC):
    """The platform's lagging list of instances."""

    @abc.abstractmethod
    async def instances(self) -> list[ListedInstance]:
        """Return the listed instances; raises ListUnavailable."""

    @abc.abstractmethod
    async def announce(self, instance: ListedInstance) -> None:
        """Tell the platform of this instance; raises ListUnavailable."""


class ObjectsUnavailable(Exception):
    """Raised when the object store gives no answer."""


class ObjectStore(abc.ABC):
    """The platform's store of larger values."""

    @abc.abstractmethod
    async def put(self, key: str, data: bytes) -> None:
        """Store a value; raises ObjectsUnavailable."""

    @abc.abstractmethod
    async def get(self, key: str) -> bytes | None:
        """Return a value or None; raises ObjectsUnavailable."""


class OrderKind(enum.Enum):
    """What an order tells an engine to do."""

    LOAD = "load"
    UNLOAD = "unload"
    LOAD_ADAPTER = "load_adapter"
    UNLOAD_ADAPTER = "unload_adapter"
    EXPORT_KV = "export_kv"
    IMPORT_KV = "import_kv"
    SET_ROLE = "set_role"


@dataclasses.dataclass(frozen=True)
class Order:
    """An order to an engine, fenced by the number of its lease."""

    id: ids.OrderId
    kind: OrderKind
    fence: int
    model: str
    version: str = ""
    adapter: str = ""
    memory_mb: int = 0
    argument: str = ""


class OrderState(enum.Enum):
    """How an order ended, as far as the sender knows."""

    ACCEPTED = "accepted"
    REFUSED = "refused"
    FENCED = "fenced"
    UNKNOWN = "unknown"


@dataclasses.dataclass(frozen=True)
class OrderResult:
    """An order's end with the engine's words."""

    state: OrderState
    message: str = ""


class LoadState(enum.Enum):
    """The state of a model or adapter on an engine."""

    LOADING = "loading"
    READY = "ready"
    UNLOADING = "unloading"


@dataclasses.dataclass(frozen=True)
class Resident:
    """A model or adapter on an engine, and the memory it takes."""

    model: str
    version: str
    adapter: str
    memory_mb: int
    state: LoadState


@dataclasses.dataclass(frozen=True)
class EngineState:
    """An engine's report of itself; ``boot`` changes at each start."""

    boot: str
    memory_mb: int
    residents: tuple[Resident, ...]
    running: int
    queued: int
    fence: int


@dataclasses.dataclass(frozen=True)
class CacheEvent:
    """A prompt prefix that entered or left an engine's cache."""

    sequence: int
    prefix: str
    present: bool


@dataclasses.dataclass(frozen=True)
class CacheEvents:
    """Cache events after a sequence number; ``boot`` names the cache."""

    boot: str
    events: tuple[CacheEvent, ...]


class TargetUnreachable(Exception):
    """Raised when an engine's control interface gives no answer.

    ``timed_out`` is false if the connection was refused or cut, as after the
    death of the engine's process.
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
        """Send an order; a lost answer gives UNKNOWN."""

    @abc.abstractmethod
    async def cache_events(self, after: int) -> CacheEvents:
        """Return the cache events after a number, maybe with gaps.

        Raises TargetUnreachable.
        """


EngineControlFactory = typing.Callable[[str], EngineControl]
