"""The messages between instances, checked when they arrive."""

import typing

import pydantic
from pydantic import dataclasses

from cardamom_kernel import documents
from cardamom_kernel import shares
from cardamom_kernel import suspicion

Message = typing.TypeVar("Message")


@dataclasses.dataclass(frozen=True)
class DemandNote:
    """What callers ask of a model or adapter at one instance."""

    model: str
    adapter: str
    tokens_per_s: float
    waiting: int
    idle_ms: int


@dataclasses.dataclass(frozen=True)
class SeatNote:
    """A seat that passed to a successor without the table."""

    seat: str
    holder: str
    address: str
    data_centre: str
    generation: int


@dataclasses.dataclass(frozen=True)
class Heartbeat:
    """What an instance tells a peer of itself, in question and answer.

    ``heard_ms_by_seat`` holds the age of the last confirmation of each seat
    at the moment of sending, so that peers can confirm seats through others.
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
class DocumentsWanted:
    """Asks a peer for documents newer than those held."""

    version_by_document: dict[str, int]


@dataclasses.dataclass(frozen=True)
class DocumentsHeld:
    """Documents, with all withdrawn keys and suspects."""

    documents: list[documents.Document]
    withdrawn: list[str]
    suspects: list[suspicion.SuspectNote]


@dataclasses.dataclass(frozen=True)
class Withdrawals:
    """Withdrawn key ids."""

    members: list[str]


@dataclasses.dataclass(frozen=True)
class Suspects:
    """Suspects that a peer should know of before it retries."""

    notes: list[suspicion.SuspectNote]


@dataclasses.dataclass(frozen=True)
class PermitWanted:
    """Asks to run a suspect on a target, or returns the permit."""

    target: str
    request: str
    is_return: bool


@dataclasses.dataclass(frozen=True)
class GrantAnswer:
    """The answer to an ask; no grant means nothing to spare."""

    grant: shares.Grant | None


@dataclasses.dataclass(frozen=True)
class RoundWanted:
    """Asks a seat to join a reconciliation round."""

    round: shares.Round


@dataclasses.dataclass(frozen=True)
class RoundAnswer:
    """A seat's report; none if it has joined a later round."""

    seat: str
    report: shares.Report | None


@dataclasses.dataclass(frozen=True)
class SeatPassed:
    """Everything that a successor needs to hold a seat.

    It must hold the documents that the predecessor has acknowledged.
    """

    seat: SeatNote
    report: shares.Report
    grants: list[shares.Grant]
    withdrawn: list[str]
    version_by_document: dict[str, int]


@dataclasses.dataclass(frozen=True)
class Accepted:
    """Tells whether a message was acted on."""

    accepted: bool


_adapter_by_type: dict[type, pydantic.TypeAdapter[typing.Any]] = {}


def encode(message: object) -> typing.Any:
    """Return a message as JSON types."""
    return _adapter(type(message)).dump_python(message, mode="json")


def decode(kind: type[Message], raw: bytes) -> Message:
    """Parse and check a message; raises ValueError with the faulty field."""
    return typing.cast(Message, _adapter(kind).validate_json(raw))


def decode_tree(kind: type[Message], tree: object) -> Message:
    """Check a parsed message; raises ValueError with the faulty field."""
    return typing.cast(Message, _adapter(kind).validate_python(tree))


def _adapter(kind: type) -> pydantic.TypeAdapter[typing.Any]:
    adapter = _adapter_by_type.get(kind)
    if adapter is None:
        adapter = pydantic.TypeAdapter(kind)
        _adapter_by_type[kind] = adapter
    return adapter
