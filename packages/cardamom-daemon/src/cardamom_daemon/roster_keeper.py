"""Roster changes: adds and removes seats, transfers one at a stop."""

import structlog

from cardamom_daemon import fleet as fleets
from cardamom_daemon import gossip as gossips
from cardamom_daemon import messages
from cardamom_daemon import table_sync
from cardamom_kernel import freshness
from cardamom_kernel import ids
from cardamom_kernel import rosters
from cardamom_platform import interfaces

LOG = structlog.get_logger("cardamom.roster")

FIRST_ROSTER_DELAY_MS = 1_200
FAILED_AFTER_MS = 6_000
REMOVED_AFTER_MS = 10_000


class RosterKeeper:
    """Proposes the next roster when seats and live instances differ."""

    def __init__(
        self,
        fleet: fleets.Fleet,
        gossip: gossips.Gossip,
        sync: table_sync.TableSync,
    ) -> None:
        self._fleet = fleet
        self._gossip = gossip
        self._sync = sync
        self._started_ms = fleet.clock.now_ms()
        self._enforcement_delay_epoch = 0
        self._enforcement_delay = freshness.EnforcementDelay(fleet.clock)
        self._unlisted_ms_by_seat: dict[ids.SeatId, int] = {}
        self._first_seen_ms_by_seat: dict[ids.SeatId, int] = {}

    async def keep(self) -> None:
        """Check the roster once and propose a change if it needs one."""
        self._update_in_force()
        for seat in self._fleet.seats():
            self._gossip.add_peer(seat.address)
        if not self._sync.is_reached or self._fleet.is_draining:
            return
        if self._fleet.roster is None:
            await self._create()
        elif self._fleet.is_roster_in_force and self._is_proposer():
            await self._propose()

    def process_list(self, listed: list[interfaces.ListedInstance]) -> None:
        """Process the platform's instance list.

        Adds listed instances as peers. A seat whose holder is neither listed
        nor confirmed for REMOVED_AFTER_MS counts as removed.
        """
        now_ms = self._fleet.clock.now_ms()
        for entry in listed:
            if entry.address.startswith("http"):
                self._gossip.add_peer(entry.address)
        names = {entry.id for entry in listed}
        unlisted = {
            seat.id
            for seat in self._fleet.seats()
            if seat.holder not in names and seat.id != self._fleet.own_seat
        }
        self._unlisted_ms_by_seat = {
            seat: self._unlisted_ms_by_seat.get(seat, now_ms)
            for seat in unlisted
        }
        self._fleet.freshness.set_unlisted_seats(
            seat
            for seat, since_ms in self._unlisted_ms_by_seat.items()
            if now_ms - since_ms >= REMOVED_AFTER_MS
            and not self._is_recent(seat, REMOVED_AFTER_MS)
        )

    async def leave(self) -> None:
        """Give up this instance's seat at a planned stop.

        Transfers the seat to an instance without one, or removes the seat
        from the roster in the table.
        """
        if self._fleet.own_seat is None:
            return
        if await self._transfer_seat():
            return
        clock = self._fleet.clock
        end_ms = clock.now_ms() + 3 * self._fleet.settings.freshness_ms
        while clock.now_ms() < end_ms and self._sync.is_reached:
            self._update_in_force()
            if self._fleet.is_roster_in_force and await self._write(
                remove=[self._fleet.own_seat]
            ):
                return
            await clock.sleep_ms(200)
            await self._sync.poll()

    def accept_seat(self, transfer: messages.SeatTransfer) -> bool:
        """Take over a predecessor's seat and shares.

        Returns False if this instance cannot hold the seat.
        """
        fleet = self._fleet
        if fleet.own_seat is not None or fleet.is_draining:
            return False
        seat = gossips.seat_from_note(transfer.seat)
        if seat.holder != fleet.instance:
            return False
        if not _covers(
            fleet.documents.versions(), transfer.version_by_document
        ):
            return False
        fleet.withdraw(transfer.withdrawn)
        fleet.update_seat(seat)
        if fleet.own_seat != seat.id:
            return False
        fleet.shares.take_over(transfer.report, transfer.grants)
        LOG.info("roster: seat taken over", seat=seat.id)
        return True

    async def _transfer_seat(self) -> bool:
        """Transfer the seat to an instance that has none.

        Returns whether it was transferred. A call that fails counts as
        transferred, since the successor may have taken the seat.
        """
        fleet = self._fleet
        own_seat = next(
            (s for s in fleet.seats() if s.id == fleet.own_seat),
            None,
        )
        versions = fleet.documents.versions()
        successors = [
            peer
            for peer in self._gossip.live()
            if peer.heartbeat
            and not peer.heartbeat.seat
            and not peer.heartbeat.is_leaving
            and _covers(peer.heartbeat.version_by_document, versions)
        ]
        if own_seat is None or not successors:
            return False
        beat = successors[0].heartbeat
        assert beat is not None
        note = messages.SeatNote(
            own_seat.id,
            beat.instance,
            beat.address,
            beat.data_centre,
            own_seat.generation + 1,
        )
        report = fleet.shares.last_report()
        transfer = messages.SeatTransfer(
            note,
            report,
            fleet.shares.debit_all_free(ids.random_id("pass")),
            fleet.withdrawn.members(),
            versions,
        )
        fleet.update_seat(gossips.seat_from_note(note))
        try:
            answer = await self._gossip.call(
                successors[0],
                "/peer/v1/seat",
                transfer,
                messages.Accepted,
            )
        except gossips.PeerFailed as failure:
            LOG.warning("roster: seat transfer unconfirmed", peer=str(failure))
            return True
        LOG.info("roster: seat transferred", to=beat.instance)
        return answer.accepted

    def _update_in_force(self) -> None:
        """Mark the held roster as in force once it is safe.

        It is safe when no instance can act on the previous epoch. Once a
        quorum of the previous seats knows the held epoch, an instance that
        doesn't know it stays fresh at most for one freshness period.
        """
        fleet = self._fleet
        roster = fleet.roster
        if roster is None or fleet.is_roster_in_force:
            return
        if self._enforcement_delay_epoch != roster.epoch:
            self._enforcement_delay_epoch = roster.epoch
            self._enforcement_delay = freshness.EnforcementDelay(
                fleet.clock,
                fleet.settings.freshness_ms,
            )
        is_known = rosters.has_previous_quorum(
            roster,
            self._seats_with_roster(roster),
        )
        if not roster.previous or self._enforcement_delay.update(is_known):
            fleet.is_roster_in_force = True
            LOG.info("roster: in force", epoch=roster.epoch)

    def _seats_with_roster(self, roster: rosters.Roster) -> set[ids.SeatId]:
        """Return the seats that hold a roster or count as removed."""
        now_ms = self._fleet.clock.now_ms()
        seats = {
            seat
            for seat, since_ms in self._unlisted_ms_by_seat.items()
            if now_ms - since_ms >= REMOVED_AFTER_MS
        }
        seats |= {
            ids.SeatId(peer.heartbeat.seat)
            for peer in self._gossip.live()
            if peer.heartbeat
            and peer.heartbeat.version_by_document.get(fleets.ROSTER, 0)
            >= roster.epoch
        }
        if self._fleet.own_seat:
            seats.add(self._fleet.own_seat)
        return seats

    def _is_proposer(self) -> bool:
        """Tell whether this instance proposes roster changes.

        It does if it holds the lowest live seat, or if no seat is live.
        """
        fleet = self._fleet
        if not fleet.is_fresh():
            return False
        live = sorted(
            peer.heartbeat.seat
            for peer in self._gossip.live()
            if peer.heartbeat
            and peer.heartbeat.seat
            and not peer.heartbeat.is_leaving
        )
        if fleet.own_seat is None:
            return not live
        return not live or fleet.own_seat <= live[0]

    async def _create(self) -> None:
        now_ms = self._fleet.clock.now_ms()
        if now_ms - self._started_ms < FIRST_ROSTER_DELAY_MS:
            return
        await self._write(add=self._unseated())

    async def _propose(self) -> None:
        roster = self._fleet.roster
        assert roster is not None
        add = self._unseated()
        remove = self._failed_seats()
        has_transfer = any(
            seat != roster.by_seat[seat.id] for seat in self._fleet.seats()
        )
        if add or remove or has_transfer or not roster.is_settled:
            await self._write(add, remove)

    async def _write(
        self,
        add: list[rosters.Seat] | None = None,
        remove: list[ids.SeatId] | None = None,
    ) -> bool:
        fleet = self._fleet
        held = fleet.roster
        if held is not None:
            held = rosters.Roster(
                held.epoch,
                {seat.id: seat for seat in fleet.seats()},
                held.previous,
            )
        roster = rosters.next_roster(held, add or [], remove or [])
        state = await self._sync.write_document(
            fleets.ROSTER,
            roster.to_body(),
            held.epoch if held else 0,
        )
        LOG.info(
            "roster: proposed",
            epoch=roster.epoch,
            seats=len(roster.by_seat),
            removed=remove or [],
            state=state.value,
        )
        return state is state.COMMITTED

    def _unseated(self) -> list[rosters.Seat]:
        """Return a new seat for each live instance that has none."""
        fleet = self._fleet
        holders = {seat.holder for seat in fleet.seats()}
        candidates = [
            (
                ids.InstanceId(peer.heartbeat.instance),
                peer.heartbeat.address,
                ids.DataCentreId(peer.heartbeat.data_centre),
            )
            for peer in self._gossip.live()
            if peer.heartbeat and not peer.heartbeat.is_leaving
        ]
        candidates.append(
            (
                fleet.instance,
                fleet.settings.peer_address,
                ids.DataCentreId(fleet.settings.data_centre),
            )
        )
        return [
            rosters.Seat(
                ids.SeatId(ids.random_id("seat")),
                instance,
                address,
                data_centre,
            )
            for instance, address, data_centre in candidates
            if instance not in holders
        ]

    def _failed_seats(self) -> list[ids.SeatId]:
        return [
            seat.id
            for seat in self._fleet.seats()
            if seat.id != self._fleet.own_seat
            and not self._is_recent(seat.id, FAILED_AFTER_MS)
        ]

    def _is_recent(self, seat: ids.SeatId, within_ms: int) -> bool:
        """Tell whether a seat was confirmed, or first seen, recently."""
        now_ms = self._fleet.clock.now_ms()
        first_ms = self._first_seen_ms_by_seat.setdefault(seat, now_ms)
        last_ms = max(first_ms, self._fleet.freshness.last_confirmed_ms(seat))
        return now_ms - last_ms < within_ms


def _covers(held: dict[str, int], wanted: dict[str, int]) -> bool:
    """Tell whether every document is held in the wanted or a newer version."""
    return all(
        held.get(name, 0) >= version for name, version in wanted.items()
    )
