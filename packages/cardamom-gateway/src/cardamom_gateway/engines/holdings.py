"""What engines hold, as numbered changes from the lease holder to all others.

The cost of a message follows what has changed and not what all engines hold.
Each change is part of ``SENDS`` messages.  An instance that has missed all of
them requests a snapshot.
"""

import dataclasses
import itertools
import typing

from cardamom_kernel import ids

from cardamom_gateway import model

SENDS = 2


@dataclasses.dataclass(frozen=True)
class Holdings:
    """What an engine holds, as the lease holder knows it.

    ``load_ms`` is the expected remaining time of the load of ``loading``,
    counted from the report that first contains it.  While a model is loaded
    or unloaded the engine ``is_moving`` and loads no adapters.
    """

    started_ms: int
    residents: frozenset[model.ModelAndAdapter]
    loading: str = ""
    load_ms: int = 0
    is_moving: bool = False

    def encode(self) -> list[typing.Any]:
        """Return the form for messages between instances."""
        return [
            self.started_ms,
            sorted(self.residents),
            self.loading,
            self.load_ms,
            int(self.is_moving),
        ]

    @classmethod
    def decode(cls, fields: typing.Sequence[typing.Any]) -> "Holdings":
        """Return holdings from their message form.

        Raises TypeError or ValueError if they are malformed.
        """
        started_ms, residents, loading, load_ms, is_moving = fields
        return cls(
            int(started_ms),
            _residents(residents),
            loading,
            int(load_ms),
            bool(is_moving),
        )


HoldingsByTarget = dict[ids.TargetId, Holdings]


@dataclasses.dataclass(frozen=True, order=True)
class Position:
    """The number of changes in the term of a lease holder."""

    term: int
    number: int


@dataclasses.dataclass(frozen=True)
class Change:
    """A change of one engine's holdings.

    ``started_ms`` is None if the engine is still in the same incarnation.
    ``is_unknown`` is set if the holder no longer knows what it holds.
    """

    number: int
    target: ids.TargetId
    started_ms: int | None
    added: frozenset[model.ModelAndAdapter]
    removed: frozenset[model.ModelAndAdapter]
    loading: str
    load_ms: int
    is_moving: bool
    is_unknown: bool = False

    @property
    def is_of_models(self) -> bool:
        """Return whether it is a change of more than adapters."""
        return (
            self.is_unknown
            or self.is_moving
            or any(not adapter for _, adapter in self.added | self.removed)
        )

    def apply(self, previous: Holdings | None) -> Holdings:
        """Return an engine's holdings after this change.

        Raises ValueError if the engine's incarnation is unknown.
        """
        started_ms, residents = self.started_ms, self.added
        if started_ms is None:
            if previous is None:
                raise ValueError(f"change {self.number} of an unknown engine")
            started_ms = previous.started_ms
            residents = (previous.residents - self.removed) | self.added
        return Holdings(
            started_ms, residents, self.loading, self.load_ms, self.is_moving
        )

    def encode(self) -> list[typing.Any]:
        """Return the form for messages between instances.

        Empty fields at its end are left out.
        """
        fields: list[typing.Any] = [
            self.number,
            self.target,
            self.started_ms,
            sorted(self.added),
            sorted(self.removed),
            self.loading,
            self.load_ms,
            int(self.is_moving),
            int(self.is_unknown),
        ]
        while not fields[-1]:
            fields.pop()
        return fields

    @classmethod
    def decode(cls, fields: typing.Sequence[typing.Any]) -> "Change":
        """Return a change from its message form.

        Raises IndexError, TypeError or ValueError if it is malformed.
        """
        defaults: tuple[typing.Any, ...] = (None, (), (), "", 0, 0, 0)
        number, target, *rest = fields
        started_ms, added, removed, loading, load_ms, is_moving, is_unknown = (
            *rest,
            *defaults[len(rest) :],
        )
        return cls(
            int(number),
            ids.TargetId(target),
            started_ms,
            _residents(added),
            _residents(removed),
            loading,
            int(load_ms),
            bool(is_moving),
            bool(is_unknown),
        )


def _residents(
    pairs: typing.Iterable[typing.Sequence[str]],
) -> frozenset[model.ModelAndAdapter]:
    return frozenset((name, adapter) for name, adapter in pairs)


class HoldingsLog:
    """The changes of holdings in the term of this instance."""

    def __init__(self) -> None:
        self._unsent: list[list[Change]] = [[] for _ in range(SENDS)]
        self.holdings_by_target: HoldingsByTarget = {}
        self.position = Position(0, 0)

    def begin_term(self, term: int) -> None:
        """Begin a term with no changes, unless it has already begun."""
        if self.position.term == term:
            return
        self.position = Position(term, 0)
        self._unsent = [[] for _ in range(SENDS)]
        self.holdings_by_target.clear()

    def update(self, holdings_by_target: HoldingsByTarget) -> list[Change]:
        """Record and return the changes since the last update."""
        changes = [
            self._add(target_id, current)
            for target_id, current in holdings_by_target.items()
            if current != self.holdings_by_target.get(target_id)
        ]
        missing = self.holdings_by_target.keys() - holdings_by_target.keys()
        return changes + [self._add(target, None) for target in missing]

    def next_changes(self) -> list[Change]:
        """Return the changes for the next message, in order."""
        changes = list(itertools.chain.from_iterable(self._unsent))
        self._unsent = [*self._unsent[1:], []]
        return changes

    @property
    def has_unsent(self) -> bool:
        """Return whether a change has been part of too few messages."""
        return any(self._unsent)

    def _add(
        self, target_id: ids.TargetId, current: Holdings | None
    ) -> Change:
        previous = self.holdings_by_target.get(target_id)
        self.position = Position(self.position.term, self.position.number + 1)
        if current is None:
            del self.holdings_by_target[target_id]
        else:
            self.holdings_by_target[target_id] = current
        change = _change(self.position.number, target_id, previous, current)
        self._unsent[-1].append(change)
        return change


def _change(
    number: int,
    target_id: ids.TargetId,
    previous: Holdings | None,
    current: Holdings | None,
) -> Change:
    if current is None:
        empty = frozenset[model.ModelAndAdapter]()
        return Change(
            number, target_id, None, empty, empty, "", 0, False, True
        )
    is_same = (
        previous is not None and previous.started_ms == current.started_ms
    )
    known = previous.residents if previous and is_same else frozenset()
    return Change(
        number,
        target_id,
        None if is_same else current.started_ms,
        current.residents - known,
        known - current.residents,
        current.loading,
        current.load_ms,
        current.is_moving,
    )


class HoldingsView:
    """What this instance has received of the holder's changes.

    ``is_behind`` tells whether changes are missing, so that a snapshot is
    needed.
    """

    def __init__(self) -> None:
        self.holdings_by_target: HoldingsByTarget = {}
        self.position = Position(0, 0)
        self.is_behind = False

    def receive(
        self, position: Position, changes: typing.Sequence[Change]
    ) -> None:
        """Apply a holder's message.

        ``changes`` are the last ones up to ``position``.  A message of an
        earlier term changes nothing.
        """
        self._begin_term(position.term)
        if position.term < self.position.term:
            return
        for change in changes:
            if change.number != self.position.number + 1:
                continue
            self.position = Position(position.term, change.number)
            if change.is_unknown:
                self.holdings_by_target.pop(change.target, None)
                continue
            previous = self.holdings_by_target.get(change.target)
            self.holdings_by_target[change.target] = change.apply(previous)
        self.is_behind = self.position < position

    def adopt(
        self, position: Position, holdings_by_target: HoldingsByTarget
    ) -> None:
        """Adopt a snapshot unless it is older than what is known."""
        self._begin_term(position.term)
        if position < self.position:
            return
        self.position = position
        self.is_behind = False
        self.holdings_by_target.clear()
        self.holdings_by_target.update(holdings_by_target)

    def _begin_term(self, term: int) -> None:
        if term > self.position.term:
            self.position = Position(term, 0)
            self.holdings_by_target.clear()
