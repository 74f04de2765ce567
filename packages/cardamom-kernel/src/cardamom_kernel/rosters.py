"""Voting membership: seats, their holders and quorum sizes.

A seat is one vote, held by one instance.  A roster of epoch ``e`` also lists
the seats of epoch ``e - 1``.  A quorum is needed in both sets, so that the
quorums of consecutive epochs intersect.
"""

import dataclasses
import typing

from cardamom_kernel import ids


@dataclasses.dataclass(frozen=True)
class Seat:
    """One vote.

    ``address`` is the holder's URL for peers.  ``generation`` increases each
    time the seat passes to another holder.
    """

    id: ids.SeatId
    holder: ids.InstanceId
    address: str
    data_centre: ids.DataCentreId
    generation: int = 1


@dataclasses.dataclass(frozen=True)
class Roster:
    """The seats of one epoch, and the seat ids of the epoch before it.

    ``previous`` is empty in the first epoch.
    """

    epoch: int
    by_seat: typing.Mapping[ids.SeatId, Seat]
    previous: frozenset[ids.SeatId]

    def seat_of(self, instance: ids.InstanceId) -> Seat | None:
        """Return the seat that an instance holds, or None."""
        return next(
            (s for s in self.by_seat.values() if s.holder == instance),
            None,
        )

    @property
    def is_settled(self) -> bool:
        """Return whether a quorum of this epoch's seats alone is enough.

        That is the case if the previous epoch had no seats or the same ones.
        Otherwise a quorum of the previous seats is needed as well, failed
        ones included, until another epoch with unchanged seats follows.
        """
        return not self.previous or self.previous == frozenset(self.by_seat)

    def voter_sets(self) -> tuple[frozenset[ids.SeatId], ...]:
        """Return the one or two seat sets that each need a quorum."""
        current = frozenset(self.by_seat)
        if self.is_settled:
            return (current,)
        return (current, self.previous)

    def to_body(self) -> dict[str, typing.Any]:
        """Return the roster without its epoch, as JSON types."""
        return {
            "seats": [dataclasses.asdict(s) for s in self.by_seat.values()],
            "previous": sorted(self.previous),
        }


def from_body(epoch: int, body: typing.Mapping[str, typing.Any]) -> Roster:
    """Build a roster from the result of ``Roster.to_body``.

    Raises KeyError or TypeError if a field is missing or unknown.
    """
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
    """Return the roster of the next epoch with seats added and removed.

    A seat in ``add`` replaces the seat with the same id.  Without a roster
    the result has epoch 1.  Ids in ``remove`` without a seat are ignored.
    """
    previous = dict(roster.by_seat) if roster else {}
    removed = set(remove)
    seats = {
        seat_id: seat
        for seat_id, seat in previous.items()
        if seat_id not in removed
    }
    seats.update({seat.id: seat for seat in add})
    return Roster(
        epoch=(roster.epoch if roster else 0) + 1,
        by_seat=seats,
        previous=frozenset(previous),
    )


def quorum_without_table(seats: int) -> int:
    """Return the quorum size when the table cannot be reached."""
    return seats - seats // 3


def quorum_with_table(seats: int) -> int:
    """Return the quorum size in addition to the table.

    Any such quorum shares a seat with any quorum without the table:
    ``quorum_with_table(n) + quorum_without_table(n) == n + 1``.
    """
    return seats // 3 + 1


def is_acknowledged(
    roster: Roster,
    acknowledged_by: typing.Collection[ids.SeatId],
    is_in_table: bool,
) -> bool:
    """Return whether the seats that acknowledged a change are a quorum.

    The smaller quorum is enough if the change is also written to the table,
    which ``is_in_table`` says.
    """
    quorum = quorum_with_table if is_in_table else quorum_without_table
    return all(
        sum(1 for seat in seats if seat in acknowledged_by)
        >= quorum(len(seats))
        for seats in roster.voter_sets()
    )


def has_previous_quorum(
    roster: Roster,
    acknowledged_by: typing.Collection[ids.SeatId],
) -> bool:
    """Return whether a quorum of the previous seats has this roster.

    The roster is in the table, so the smaller quorum is enough.  The result
    is false if there are no previous seats.
    """
    count = sum(1 for seat in roster.previous if seat in acknowledged_by)
    return count >= quorum_with_table(len(roster.previous))
