"""Interfaces between the gateway and the platform that it runs on.

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
    """Raised when the store gives no usable answer to a call."""


class HistoryLost(Exception):
    """Raised when the store doesn't have the changes since a version.

    ``era`` is the store's era at its answer.
    """

    def __init__(self, step: str, era: int) -> None:
        super().__init__(f"{step}: no changes since that version")
        self.era = era


class MalformedMessage(ValueError):
    """Raised for a message that cannot be decoded; names the field."""


@dataclasses.dataclass(frozen=True)
class Change:
    """A row that was written, or removed if ``value`` is None.

    ``number`` is that of the store's version of the change; it grows over all
    rows of the store.
    """

    key: str
    value: bytes | None
    number: int


@dataclasses.dataclass(frozen=True)
class Changes:
    """Changes in order, up to and including a version of the store.

    ``store_clock_ms`` is the store's monotonic clock at the time of its
    answer.
    """

    changes: tuple[Change, ...]
    version: tables.StoreVersion
    store_clock_ms: int

    @property
    def last_change(self) -> tables.StoreVersion:
        """Return the version of the latest change, with number 0 for none."""
        number = max((change.number for change in self.changes), default=0)
        return tables.StoreVersion(self.version.era, number)


class Topic(enum.Enum):
    """Sets of rows in the platform's store that the gateway uses."""

    CONFIGURATION = "configuration"
    TARGETS = "targets"
    FLEET = "fleet"
    LEASES = "leases"


class Store(abc.ABC):
    """Client of the platform's store."""

    @abc.abstractmethod
    async def read_all(self, topic: Topic) -> Changes:
        """Return every row of a topic; raises StoreUnavailable."""

    @abc.abstractmethod
    async def follow(self, topic: Topic, after: int, wait_ms: int) -> Changes:
        """Return the changes after a version's number; wait for the first.

        Returns no changes if none comes within ``wait_ms``.  The answer may
        be of another era, in which the number stands for another version.
        Raises StoreUnavailable, and HistoryLost if ``read_all`` is needed.
        """

    @abc.abstractmethod
    def use_new_connections(self) -> None:
        """Send later calls over new connections, as open ones may be dead."""

    @abc.abstractmethod
    def table(self, topic: Topic) -> tables.Table:
        """Return one of the gateway's own tables: FLEET or LEASES."""

    @abc.abstractmethod
    async def close(self) -> None:
        """Close every connection."""


class OrderKind(enum.Enum):
    """Operation that an order requests from an engine."""

    LOAD = "load"
    UNLOAD = "unload"


@dataclasses.dataclass(frozen=True)
class Order:
    """An order to one engine.

    The engine accepts it only if it has accepted ``expected_orders`` orders
    before; None leaves this out.
    """

    kind: OrderKind
    model: str
    adapter: str
    holder: ids.InstanceId
    fencing_number: int
    expected_orders: int | None


class OrderOutcome(enum.Enum):
    """Outcome of an order, as far as the sender knows."""

    ACCEPTED = "accepted"
    ALREADY_HOLDS = "already_holds"
    CONFLICT = "conflict"
    REFUSED = "refused"
    UNREACHED = "unreached"
    UNKNOWN = "unknown"


class EngineControl(abc.ABC):
    """Sends orders to engines and requests their reports."""

    @abc.abstractmethod
    async def order(self, target: model.Target, order: Order) -> OrderOutcome:
        """Send an order and return its outcome.

        The outcome is UNKNOWN if no answer arrives, and UNREACHED if no
        connection could be made, so that the engine has no such order.
        """

    @abc.abstractmethod
    async def report(self, target: model.Target) -> model.EngineReport | None:
        """Return the engine's report, or None if it does not answer."""

    @abc.abstractmethod
    async def close(self) -> None:
        """Close every connection."""


class MessageCodec(abc.ABC):
    """Encodes and decodes the messages of the platform."""

    @abc.abstractmethod
    def decode_configuration(self, value: bytes) -> model.Configuration:
        """Decode a configuration; raises MalformedMessage."""

    @abc.abstractmethod
    def decode_target(self, key: str, value: bytes) -> model.Target:
        """Decode a target's entry; raises MalformedMessage."""

    @abc.abstractmethod
    def decode_head(
        self, headers: typing.Mapping[str, str]
    ) -> model.RequestHead:
        """Decode a request's head; raises MalformedMessage."""

    @abc.abstractmethod
    def encode_head(
        self,
        headers: Headers,
        forwarding_fields: "ForwardingFields",
    ) -> list[tuple[str, str]]:
        """Return the headers for a target, without the caller's key."""

    @abc.abstractmethod
    def decode_answer(
        self, headers: typing.Mapping[str, str]
    ) -> model.AnswerHead:
        """Decode the head of a target's answer."""

    @abc.abstractmethod
    def answer_headers(self, headers: Headers) -> list[tuple[str, str]]:
        """Return the headers of a target's answer that the caller gets."""

    @abc.abstractmethod
    def refusal_headers(
        self, attempt: str, retry_after_ms: int | None
    ) -> list[tuple[str, str]]:
        """Return the headers of the gateway's own refusal."""


@dataclasses.dataclass(frozen=True)
class ForwardingFields:
    """What the gateway adds to the head of a request for a target.

    ``remaining_ms`` is the time until the deadline; ``urgency`` is -1 for a
    service without engines; ``last_event`` is the id of the last event that
    the caller has received.
    """

    target: ids.TargetId
    team: ids.TeamId | None
    remaining_ms: int
    urgency: int
    last_event: str


class Platform(abc.ABC):
    """Adapter for one platform."""

    codec: MessageCodec

    @abc.abstractmethod
    def read_settings(self) -> settings.GatewaySettings:
        """Return the settings; raises SettingsError."""

    @abc.abstractmethod
    def settings_modification_time_s(self) -> float:
        """Return when the settings were last modified; 0 if unknown."""

    @abc.abstractmethod
    def open_store(self, address: str) -> Store:
        """Return a client of the store at an address."""

    @abc.abstractmethod
    def open_engines(self) -> EngineControl:
        """Return a client of the engines' control interface."""

    @property
    @abc.abstractmethod
    def configuration_key(self) -> str:
        """Return the key of the configuration's row in its topic."""

    @property
    @abc.abstractmethod
    def evacuation_prefix(self) -> str:
        """Return the start of the keys of the evacuations' rows.

        The rest of a key names the data centre; the rows are in the
        configuration's topic.
        """

    @property
    @abc.abstractmethod
    def readiness_path(self) -> str:
        """Return the path on which the platform checks readiness."""
