"""The messages between instances, validated when they arrive."""

import typing

import pydantic
from pydantic import dataclasses

from cardamom_kernel import documents
from cardamom_kernel import shares
from cardamom_kernel import suspicion

Message = typing.TypeVar("Message")


@dataclasses.dataclass(frozen=True)
class DemandNote:
    """The demand for a model or adapter at one instance."""

    model: str
    adapter: str
    tokens_per_s: float
    waiting: int
    idle_ms: int


@dataclasses.dataclass(frozen=True)
class SeatNote:
    """A seat that was transferred to ``holder`` without the table."""

    seat: str
    holder: str
    address: str
    data_centre: str
    generation: int


@dataclasses.dataclass(frozen=True)
class Heartbeat:
    """The state of an instance, sent as a request and as its answer.

    ``heard_ms_by_seat`` holds the age of each seat's last confirmation at
    the time of sending, so that peers can confirm seats indirectly.
    """

    instance: str
    boot: str
    address: str
    data_centre: str
    is_leaving: bool
    seat: str
    version_by_document: dict[str, int]
    withdrawn_digest: str
    heard_ms_by_seat: dict[str, int]
    round_number: int
    round_coordinator: str
    units_by_team: dict[str, int]
    level_by_team: dict[str, float]
    in_flight_by_target: dict[str, int]
    demand: list[DemandNote]
    seats: list[SeatNote]


@dataclasses.dataclass(frozen=True)
class DocumentsRequest:
    """Asks a peer for documents newer than these versions."""

    version_by_document: dict[str, int]


@dataclasses.dataclass(frozen=True)
class DocumentsAnswer:
    """Newer documents, all withdrawn key ids and all suspects."""

    documents: list[documents.Document]
    withdrawn: list[str]
    suspects: list[suspicion.SuspectReport]


@dataclasses.dataclass(frozen=True)
class Withdrawals:
    """The ids of withdrawn keys."""

    members: list[str]


@dataclasses.dataclass(frozen=True)
class Suspects:
    """Suspects, sent to peers before a call is retried."""

    notes: list[suspicion.SuspectReport]


@dataclasses.dataclass(frozen=True)
class PermitRequest:
    """Asks for a permit to run a suspect on a target, or returns it."""

    target: str
    request: str
    is_return: bool


@dataclasses.dataclass(frozen=True)
class GrantAnswer:
    """Answers a shares.BorrowRequest; no grant if the peer lends nothing."""

    grant: shares.Grant | None


@dataclasses.dataclass(frozen=True)
class RoundRequest:
    """Asks a seat to join a reconciliation round."""

    round: shares.Round


@dataclasses.dataclass(frozen=True)
class RoundAnswer:
    """A seat's report; no report if it has joined a later round."""

    seat: str
    report: shares.Report | None


@dataclasses.dataclass(frozen=True)
class SeatTransfer:
    """The state that a successor needs to take over a seat.

    The successor must already hold the documents that the predecessor has
    acknowledged, in ``version_by_document`` or newer versions.
    """

    seat: SeatNote
    report: shares.Report
    grants: list[shares.Grant]
    withdrawn: list[str]
    version_by_document: dict[str, int]


@dataclasses.dataclass(frozen=True)
class Accepted:
    """The answer that says whether a message was accepted."""

    accepted: bool


_adapter_by_type: dict[type, pydantic.TypeAdapter[typing.Any]] = {}


def encode(message: object) -> typing.Any:
    """Return a message as JSON-compatible Python values."""
    return _adapter(type(message)).dump_python(message, mode="json")


def decode(kind: type[Message], raw: bytes) -> Message:
    """Parse and validate JSON; raise ValueError that names a wrong field."""
    return typing.cast(Message, _adapter(kind).validate_json(raw))


def decode_parsed(kind: type[Message], value: object) -> Message:
    """Validate parsed JSON; raise ValueError that names a wrong field."""
    return typing.cast(Message, _adapter(kind).validate_python(value))


def _adapter(kind: type) -> pydantic.TypeAdapter[typing.Any]:
    adapter = _adapter_by_type.get(kind)
    if adapter is None:
        adapter = pydantic.TypeAdapter(kind)
        _adapter_by_type[kind] = adapter
    return adapter
