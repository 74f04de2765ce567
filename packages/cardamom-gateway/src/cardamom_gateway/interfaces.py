"""What the gateway asks of the platform that it runs on.

Each platform has an adapter that implements these interfaces and registers
it as a plug-in of the kind ``PLUGIN_KIND``.
"""

import abc
import dataclasses
import enum
import typing

from cardamom_kernel import ids
from cardamom_kernel import tables

from cardamom_gateway import model
from cardamom_gateway import settings

PLUGIN_KIND = "gateway-platform"

Headers = typing.Iterable[tuple[str, str]]


class StoreUnavailable(Exception):
    """Raised when the store gives no usable answer; nothing is known."""


class HistoryLost(Exception):
    """Raised when changes since a version are no longer known."""


class MalformedMessage(ValueError):
    """Raised for a message that cannot be decoded; names the field."""


@dataclasses.dataclass(frozen=True)
class Change:
    """A row that was written, or removed if ``value`` is None.

    ``version`` is that of the writing; it grows over all rows of the store.
    """

    key: str
    value: bytes | None
    version: int


@dataclasses.dataclass(frozen=True)
class Changes:
    """Changes in order, up to and with a version of the store.

    ``store_ms`` is the store's steady clock as it answered.
    """

    changes: tuple[Change, ...]
    version: int
    store_ms: int

    @property
    def last_change(self) -> int:
        """Return the version of the latest change, 0 for none."""
        return max((change.version for change in self.changes), default=0)


class Topic(enum.Enum):
    """What the platform's store tells the gateway about."""

    CONFIGURATION = "configuration"
    TARGETS = "targets"
    FLEET = "fleet"
    LEASES = "leases"


class Store(abc.ABC):
    """The platform's store as far as the gateway follows it."""

    @abc.abstractmethod
    async def read_all(self, topic: Topic) -> Changes:
        """Return every row of a topic; raises StoreUnavailable."""

    @abc.abstractmethod
    async def follow(self, topic: Topic, after: int, wait_ms: int) -> Changes:
        """Return changes after a version, waiting for the first one.

        Raises StoreUnavailable, and HistoryLost if ``read_all`` is needed.
        """

    @abc.abstractmethod
    def table(self, topic: Topic) -> tables.Table:
        """Return one of the gateway's own tables: FLEET or LEASES."""

    @abc.abstractmethod
    async def close(self) -> None:
        """Close every connection."""


class OrderKind(enum.Enum):
    """What an order tells an engine to do."""

    LOAD = "load"
    UNLOAD = "unload"


@dataclasses.dataclass(frozen=True)
class Order:
    """An order to one engine, valid only after ``after_orders`` others."""

    kind: OrderKind
    model: str
    adapter: str
    holder: ids.InstanceId
    fence: int
    after_orders: int | None


class OrderOutcome(enum.Enum):
    """How an order ended, as far as the sender knows."""

    ACCEPTED = "accepted"
    ALREADY_HOLDS = "already_holds"
    CONFLICT = "conflict"
    REFUSED = "refused"
    UNREACHED = "unreached"
    UNKNOWN = "unknown"


class EngineControl(abc.ABC):
    """Orders to engines and their reports."""

    @abc.abstractmethod
    async def order(self, target: model.Target, order: Order) -> OrderOutcome:
        """Send an order; a lost answer gives UNKNOWN.

        UNREACHED tells that no connection could be made, so that the order
        was not taken.
        """

    @abc.abstractmethod
    async def report(self, target: model.Target) -> model.EngineReport | None:
        """Return the engine's report, or None without an answer."""

    @abc.abstractmethod
    async def close(self) -> None:
        """Close every connection."""


class MessageCodec(abc.ABC):
    """The platform's forms of messages."""

    @abc.abstractmethod
    def decode_configuration(self, value: bytes) -> model.Configuration:
        """Decode a configuration; raises MalformedMessage."""

    @abc.abstractmethod
    def decode_target(self, key: str, value: bytes) -> model.Target:
        """Decode a target's entry; raises MalformedMessage."""

    @abc.abstractmethod
    def decode_head(self, headers: typing.Mapping[str, str]) -> model.Head:
        """Decode a request's head; raises MalformedMessage."""

    @abc.abstractmethod
    def encode_head(
        self,
        headers: Headers,
        grant: "Grant",
    ) -> list[tuple[str, str]]:
        """Return the headers for a target, the caller's key left out."""

    @abc.abstractmethod
    def decode_answer(
        self, headers: typing.Mapping[str, str]
    ) -> model.AnswerHead:
        """Decode the head of a target's answer."""

    @abc.abstractmethod
    def answer_headers(self, headers: Headers) -> list[tuple[str, str]]:
        """Return the headers of a target's answer for the caller."""

    @abc.abstractmethod
    def refusal_headers(
        self, attempt: str, retry_after_ms: int | None
    ) -> list[tuple[str, str]]:
        """Return the headers of the gateway's own refusal."""


@dataclasses.dataclass(frozen=True)
class Grant:
    """What the gateway adds to a request that it hands to a target."""

    target: ids.TargetId
    team: ids.TeamId | None
    deadline_ms: int
    urgency: int
    last_event: str


class Platform(abc.ABC):
    """One platform's adapter."""

    codec: MessageCodec

    @abc.abstractmethod
    def read_settings(self) -> settings.GatewaySettings:
        """Return the settings; raises SettingsError."""

    @abc.abstractmethod
    def settings_stamp(self) -> float:
        """Return what changes whenever the settings do; 0 if unknown."""

    @abc.abstractmethod
    def open_store(self, address: str) -> Store:
        """Return a client of the store."""

    @abc.abstractmethod
    def open_engines(self) -> EngineControl:
        """Return a client of the engines' control interface."""

    @property
    @abc.abstractmethod
    def configuration_key(self) -> str:
        """Return the key of the configuration's row in its topic."""

    @property
    @abc.abstractmethod
    def readiness_path(self) -> str:
        """Return the path at which the platform asks for readiness."""
