"""Who votes: seats, their holders, and how many of them are needed.

A roster of epoch ``e`` carries the seats of ``e - 1`` as well.  A quorum is
needed in both sets, so that quorums of neighbouring epochs intersect.
"""

import dataclasses
import typing

from cardamom_kernel import ids


@dataclasses.dataclass(frozen=True)
class Seat:
    """One vote; ``generation`` grows each time it passes to a successor."""

    id: ids.SeatId
    holder: ids.InstanceId
    address: str
    data_centre: ids.DataCentreId
    generation: int = 1


@dataclasses.dataclass(frozen=True)
class Roster:
    """The seats of one epoch and of the epoch before it."""

    epoch: int
    by_seat: typing.Mapping[ids.SeatId, Seat]
    previous: frozenset[ids.SeatId]

    def seat_of(self, instance: ids.InstanceId) -> Seat | None:
        """Return the seat that an instance holds, if any."""
        return next(
            (s for s in self.by_seat.values() if s.holder == instance),
            None,
        )

    @property
    def is_settled(self) -> bool:
        """Tell whether the epoch before has no seats of its own.

        Until then a quorum of the earlier seats is needed as well, also of
        those that have died.  An epoch with the same seats ends that.
        """
        return not self.previous or self.previous == frozenset(self.by_seat)

    def voter_sets(self) -> tuple[frozenset[ids.SeatId], ...]:
        """Return the seat sets in each of which a quorum is needed."""
        current = frozenset(self.by_seat)
        if self.is_settled:
            return (current,)
        return (current, self.previous)

    def to_body(self) -> dict[str, typing.Any]:
        """Return the roster as JSON types."""
        return {
            "seats": [dataclasses.asdict(s) for s in self.by_seat.values()],
            "previous": sorted(self.previous),
        }


def from_body(epoch: int, body: typing.Mapping[str, typing.Any]) -> Roster:
    """Build a roster from its JSON types."""
    seats = [Seat(**seat) for seat in body["seats"]]
    return Roster(
        epoch=epoch,
        by_seat={seat.id: seat for seat in seats},
        previous=frozenset(body["previous"]),
    )


def next_roster(
    roster: Roster | None,
    add: typing.Iterable[Seat] = (),
    remove: typing.Iterable[ids.SeatId] = (),
) -> Roster:
    """Return the following epoch with seats added and removed."""
    before = dict(roster.by_seat) if roster else {}
    removed = set(remove)
    seats = {key: seat for key, seat in before.items() if key not in removed}
    seats.update({seat.id: seat for seat in add})
    return Roster(
        epoch=(roster.epoch if roster else 0) + 1,
        by_seat=seats,
        previous=frozenset(before),
    )


def quorum_without_table(seats: int) -> int:
    """Return how many seats suffice when the table is not reached."""
    return seats - seats // 3


def quorum_with_table(seats: int) -> int:
    """Return how many seats suffice beside the table.

    Any such quorum shares a seat with any quorum that lacks the table:
    ``quorum_with_table(n) + quorum_without_table(n) == n + 1``.
    """
    return seats // 3 + 1


def is_acknowledged(
    roster: Roster,
    knowing: typing.Collection[ids.SeatId],
    beside_table: bool,
) -> bool:
    """Tell whether the seats that know of a change make up a quorum.

    With ``beside_table`` the change must also be written to the table.
    """
    needed = quorum_with_table if beside_table else quorum_without_table
    return all(
        sum(1 for seat in seats if seat in knowing) >= needed(len(seats))
        for seats in roster.voter_sets()
    )


def is_known_before(
    roster: Roster,
    knowing: typing.Collection[ids.SeatId],
) -> bool:
    """Tell whether enough seats of the epoch before know this one.

    The roster is in the table, so the smaller quorum is enough.
    """
    known = sum(1 for seat in roster.previous if seat in knowing)
    return known >= quorum_with_table(len(roster.previous))
