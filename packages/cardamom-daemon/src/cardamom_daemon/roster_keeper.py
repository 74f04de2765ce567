"""Seats: joining, removing the dead, and passing a seat on at a stop."""

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

GATHER_MS = 1_200
DEAD_AFTER_MS = 6_000
GONE_AFTER_MS = 10_000


class RosterKeeper:
    """Proposes the next roster when seats and instances differ."""

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
        self._settling_epoch = 0
        self._settling = freshness.Settling(fleet.clock)
        self._unlisted_ms_by_seat: dict[ids.SeatId, int] = {}
        self._seen_ms_by_seat: dict[ids.SeatId, int] = {}

    async def keep(self) -> None:
        """Look once at the roster, and propose a change if one is due."""
        self._note_in_force()
        for seat in self._fleet.seats():
            self._gossip.meet(seat.address)
        if not self._sync.is_reached or self._fleet.is_draining:
            return
        if self._fleet.roster is None:
            await self._create()
        elif self._fleet.is_roster_in_force and self._is_proposer():
            await self._propose()

    def note_list(self, listed: list[interfaces.ListedInstance]) -> None:
        """Take the platform's list: meet the new, count the gone."""
        now_ms = self._fleet.clock.now_ms()
        for entry in listed:
            if entry.address.startswith("http"):
                self._gossip.meet(entry.address)
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
        self._fleet.freshness.set_gone(
            seat
            for seat, since_ms in self._unlisted_ms_by_seat.items()
            if now_ms - since_ms >= GONE_AFTER_MS
            and not self._is_heard(seat, GONE_AFTER_MS)
        )

    async def leave(self) -> None:
        """Give up the own seat: by the table, else to a successor."""
        if self._fleet.own_seat is None:
            return
        if await self._pass_on():
            return
        clock = self._fleet.clock
        end_ms = clock.now_ms() + 3 * self._fleet.settings.freshness_ms
        while clock.now_ms() < end_ms and self._sync.is_reached:
            self._note_in_force()
            if self._fleet.is_roster_in_force and await self._write(
                remove=[self._fleet.own_seat]
            ):
                return
            await clock.sleep_ms(200)
            await self._sync.poll()

    def accept_seat(self, passed: messages.SeatPassed) -> bool:
        """Take over a predecessor's seat with its shares."""
        fleet = self._fleet
        if fleet.own_seat is not None or fleet.is_draining:
            return False
        seat = gossips.seat_from(passed.seat)
        if seat.holder != fleet.instance:
            return False
        if not _covers(fleet.documents.versions(), passed.version_by_document):
            return False
        fleet.withdraw(passed.withdrawn)
        fleet.learn_seat(seat)
        if fleet.own_seat != seat.id:
            return False
        fleet.shares.resume(passed.report, passed.grants)
        LOG.info("roster: seat taken over", seat=seat.id)
        return True

    async def _pass_on(self) -> bool:
        """Hand the seat to an instance that has none; true if it took it."""
        fleet = self._fleet
        mine = next(
            (s for s in fleet.seats() if s.id == fleet.own_seat),
            None,
        )
        versions = fleet.documents.versions()
        free = [
            peer
            for peer in self._gossip.live()
            if peer.heartbeat
            and not peer.heartbeat.seat
            and not peer.heartbeat.is_leaving
            and _covers(peer.heartbeat.version_by_document, versions)
        ]
        if mine is None or not free:
            return False
        beat = free[0].heartbeat
        assert beat is not None
        note = messages.SeatNote(
            mine.id,
            beat.instance,
            beat.address,
            beat.data_centre,
            mine.generation + 1,
        )
        report = fleet.shares.last_report()
        passed = messages.SeatPassed(
            note,
            report,
            fleet.shares.give_all(ids.random_id("pass")),
            fleet.withdrawn.members(),
            versions,
        )
        fleet.learn_seat(gossips.seat_from(note))
        try:
            answer = await self._gossip.call(
                free[0],
                "/peer/v1/seat",
                passed,
                messages.Accepted,
            )
        except gossips.PeerFailed as failure:
            LOG.warning("roster: seat may be lost", peer=str(failure))
            return True
        LOG.info("roster: seat passed on", to=beat.instance)
        return answer.accepted

    def _note_in_force(self) -> None:
        """Note when nobody can act by the epoch before the held one.

        Once a quorum of the earlier seats knows the held epoch, whoever does
        not know it can be fresh only for the rest of its period.
        """
        fleet = self._fleet
        roster = fleet.roster
        if roster is None or fleet.is_roster_in_force:
            return
        if self._settling_epoch != roster.epoch:
            self._settling_epoch = roster.epoch
            self._settling = freshness.Settling(
                fleet.clock,
                fleet.settings.freshness_ms,
            )
        is_known = rosters.is_known_before(roster, self._knowing(roster))
        if not roster.previous or self._settling.note(is_known):
            fleet.is_roster_in_force = True
            LOG.info("roster: in force", epoch=roster.epoch)

    def _knowing(self, roster: rosters.Roster) -> set[ids.SeatId]:
        """Return the seats that know a roster, or that are gone."""
        now_ms = self._fleet.clock.now_ms()
        knowing = {
            seat
            for seat, since_ms in self._unlisted_ms_by_seat.items()
            if now_ms - since_ms >= GONE_AFTER_MS
        }
        knowing |= {
            ids.SeatId(peer.heartbeat.seat)
            for peer in self._gossip.live()
            if peer.heartbeat
            and peer.heartbeat.version_by_document.get(fleets.ROSTER, 0)
            >= roster.epoch
        }
        if self._fleet.own_seat:
            knowing.add(self._fleet.own_seat)
        return knowing

    def _is_proposer(self) -> bool:
        """Tell whether this is the lowest live seat, or none is live."""
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
        if now_ms - self._started_ms < GATHER_MS:
            return
        await self._write(add=self._unseated())

    async def _propose(self) -> None:
        roster = self._fleet.roster
        assert roster is not None
        add = self._unseated()
        remove = self._dead()
        is_passed = any(
            seat != roster.by_seat[seat.id] for seat in self._fleet.seats()
        )
        if add or remove or is_passed or not roster.is_settled:
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
        fleet = self._fleet
        holders = {seat.holder for seat in fleet.seats()}
        found = [
            (
                ids.InstanceId(peer.heartbeat.instance),
                peer.heartbeat.address,
                ids.DataCentreId(peer.heartbeat.data_centre),
            )
            for peer in self._gossip.live()
            if peer.heartbeat and not peer.heartbeat.is_leaving
        ]
        found.append(
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
            for instance, address, data_centre in found
            if instance not in holders
        ]

    def _dead(self) -> list[ids.SeatId]:
        return [
            seat.id
            for seat in self._fleet.seats()
            if seat.id != self._fleet.own_seat
            and not self._is_heard(seat.id, DEAD_AFTER_MS)
        ]

    def _is_heard(self, seat: ids.SeatId, within_ms: int) -> bool:
        """Tell whether a seat was heard, or first listed, lately."""
        now_ms = self._fleet.clock.now_ms()
        first_ms = self._seen_ms_by_seat.setdefault(seat, now_ms)
        heard_ms = max(first_ms, self._fleet.freshness.heard_ms(seat))
        return now_ms - heard_ms < within_ms


def _covers(held: dict[str, int], wanted: dict[str, int]) -> bool:
    """Tell whether every wanted document is held, in no older version."""
    return all(
        held.get(name, 0) >= version for name, version in wanted.items()
    )
