"""Peers: one heartbeat task for each, and what is known of them."""

import asyncio
import dataclasses
import typing

import structlog

from cardamom_daemon import demand
from cardamom_daemon import fleet as fleets
from cardamom_daemon import messages
from cardamom_kernel import ids
from cardamom_kernel import rosters
from cardamom_kernel import shares
from cardamom_kernel import tasks
from cardamom_platform import plugins
from cardamom_platform import pools

LOG = structlog.get_logger("cardamom.gossip")

CALL_TIMEOUT_S = 1.0
FORGET_PEER_MS = 20_000
FLEET_HEADER = "X-Cardamom-Fleet"

Answer = typing.TypeVar("Answer")


@dataclasses.dataclass
class Peer:
    """One peer's address, and its last heartbeat."""

    address: str
    pool: pools.Pool
    client: plugins.HttpClient
    heartbeat: messages.Heartbeat | None = None
    heard_ms: int = -(1 << 60)
    asked_since_ms: int = 0


class PeerFailed(Exception):
    """Raised when a peer gave no usable answer."""


class Gossip:
    """Heartbeats with every known peer, and calls to them."""

    def __init__(
        self,
        fleet: fleets.Fleet,
        group: tasks.TaskGroup,
        meter: demand.DemandMeter,
        in_flight: typing.Callable[[], dict[str, int]],
    ) -> None:
        self._fleet = fleet
        self._group = group
        self._meter = meter
        self._in_flight = in_flight
        self._by_address: dict[str, Peer] = {}
        self._seeds = set(fleet.settings.peers)

    def start(self) -> None:
        """Begin heartbeats with the peers known from the settings."""
        for address in self._seeds:
            self.meet(address)

    async def close(self) -> None:
        """Close every connection to peers."""
        for peer in self._by_address.values():
            await peer.pool.close()

    def meet(self, address: str) -> None:
        """Begin heartbeats with the peer at an address."""
        if address in self._by_address:
            return
        if address == self._fleet.settings.peer_address:
            return
        pool = pools.Pool(
            pools.PoolSettings(source=self._fleet.settings.source_address)
        )
        headers = {FLEET_HEADER: self._fleet.settings.fleet_secret}
        client = plugins.HttpClient(pool, address, headers)
        peer = Peer(address, pool, client)
        peer.asked_since_ms = self._fleet.clock.now_ms()
        self._by_address[address] = peer
        self._group.start(f"peer {address}", lambda: self._beat(peer))

    def live(self) -> list[Peer]:
        """Return the peers heard within the freshness period."""
        horizon_ms = (
            self._fleet.clock.now_ms() - self._fleet.settings.freshness_ms
        )
        return [
            peer
            for peer in self._by_address.values()
            if peer.heartbeat is not None and peer.heard_ms > horizon_ms
        ]

    def find(self, instance: str) -> Peer | None:
        """Return the live peer of an instance, if there is one."""
        return next(
            (
                peer
                for peer in self.live()
                if peer.heartbeat and peer.heartbeat.instance == instance
            ),
            None,
        )

    def others_in_flight(self) -> dict[str, int]:
        """Return what peers have in flight, by target."""
        totals: dict[str, int] = {}
        for peer in self.live():
            assert peer.heartbeat is not None
            for target, count in peer.heartbeat.in_flight_by_target.items():
                totals[target] = totals.get(target, 0) + count
        return totals

    def own_heartbeat(self) -> messages.Heartbeat:
        """Return what this instance tells its peers now."""
        fleet = self._fleet
        book = fleet.shares
        teams = fleet.catalog.configuration.teams
        seat = fleet.own_seat
        return messages.Heartbeat(
            instance=fleet.instance,
            boot=fleet.boot,
            address=fleet.settings.peer_address,
            data_centre=fleet.settings.data_centre,
            is_leaving=fleet.is_draining,
            seat=seat or "",
            version_by_document=fleet.documents.versions(),
            withdrawn_digest=fleet.withdrawn.digest,
            heard_ms_by_seat=dict(fleet.freshness.ages_ms()),
            round_number=book.round.number,
            round_coordinator=book.round.coordinator,
            units_by_team={
                str(team): units
                for team, units in book.units_by_team().items()
                if seat
            },
            level_by_team={
                team: book.level(ids.TeamId(team)) for team in teams
            },
            in_flight_by_target=self._in_flight(),
            demand=self._meter.notes(),
            seats=[_seat_note(s) for s in fleet.passed_seats.values()],
        )

    async def receive(self, beat: messages.Heartbeat) -> messages.Heartbeat:
        """Take a peer's heartbeat and return the own one."""
        self.meet(beat.address)
        self._learn(beat)
        return self.own_heartbeat()

    async def call(
        self,
        peer: Peer,
        path: str,
        message: object,
        kind: type[Answer],
        timeout_s: float = CALL_TIMEOUT_S,
    ) -> Answer:
        """Send a message and return the checked answer.

        Raises PeerFailed for no answer or one that is not understood.
        """
        try:
            tree = await peer.client.post(
                path,
                messages.encode(message),
                timeout_s,
            )
            return messages.decode_tree(kind, tree)
        except plugins.FAILURES as error:
            raise PeerFailed(f"{peer.address}{path}: {error!r}") from error

    async def tell_all(
        self,
        path: str,
        message: object,
    ) -> list[str]:
        """Send a message to all live peers; return the instances that took
        it.
        """
        peers = self.live()
        calls = [
            self.call(peer, path, message, messages.Accepted) for peer in peers
        ]
        answers = await asyncio.gather(*calls, return_exceptions=True)
        return [
            peer.heartbeat.instance
            for peer, answer in zip(peers, answers)
            if isinstance(answer, messages.Accepted)
            and answer.accepted
            and peer.heartbeat is not None
        ]

    async def _beat(self, peer: Peer) -> None:
        """Exchange heartbeats with one peer until it is forgotten."""
        clock = self._fleet.clock
        while not self._is_forgotten(peer):
            sent_ms = clock.now_ms()
            try:
                answer = await self.call(
                    peer,
                    "/peer/v1/heartbeat",
                    self.own_heartbeat(),
                    messages.Heartbeat,
                )
                peer.heartbeat = answer
                peer.heard_ms = clock.now_ms()
                self._learn(answer)
                if await self._catch_up(peer, answer):
                    self._confirm(answer, sent_ms)
            except PeerFailed as failure:
                self._fleet.metrics.count("peer.heartbeat_failed")
                LOG.debug("gossip: no heartbeat", peer=str(failure))
            elapsed_ms = clock.now_ms() - sent_ms
            pause_ms = self._fleet.settings.heartbeat_ms - elapsed_ms
            await clock.sleep_ms(max(50, pause_ms))
        del self._by_address[peer.address]
        await peer.pool.close()

    def _is_forgotten(self, peer: Peer) -> bool:
        now_ms = self._fleet.clock.now_ms()
        heard_ms = max(peer.heard_ms, peer.asked_since_ms)
        if now_ms - heard_ms < FORGET_PEER_MS:
            return False
        seated = any(s.address == peer.address for s in self._fleet.seats())
        return not seated and peer.address not in self._seeds

    def _learn(self, beat: messages.Heartbeat) -> None:
        for note in beat.seats:
            self._fleet.learn_seat(seat_from(note))
        seen = shares.Round(beat.round_number, beat.round_coordinator)
        book = self._fleet.shares
        if seen > book.round and not any(book.units_by_team().values()):
            book.join(seen)

    async def _catch_up(
        self,
        peer: Peer,
        beat: messages.Heartbeat,
    ) -> bool:
        """Fetch what a peer has and this instance lacks.

        Returns whether everything that the peer announced is held now.
        """
        fleet = self._fleet
        held = fleet.documents.versions()
        announced = beat.version_by_document
        behind = any(v > held.get(n, 0) for n, v in announced.items())
        if not behind and beat.withdrawn_digest == fleet.withdrawn.digest:
            return True
        answer = await self.call(
            peer,
            "/peer/v1/documents",
            messages.DocumentsWanted(held),
            messages.DocumentsHeld,
        )
        for document in answer.documents:
            fleet.documents.adopt(document)
        fleet.withdraw(answer.withdrawn)
        fleet.suspicions.merge(answer.suspects)
        return all(
            fleet.documents.version(name) >= version
            for name, version in announced.items()
        )

    def _confirm(self, beat: messages.Heartbeat, sent_ms: int) -> None:
        """Count the peer's seat, and those that it heard, as confirmed."""
        fleet = self._fleet
        if beat.seat:
            seat = fleet.seat_holder(ids.SeatId(beat.seat))
            if seat is not None and seat.holder == beat.instance:
                fleet.freshness.confirm_seat(seat.id, sent_ms)
        for name, age_ms in beat.heard_ms_by_seat.items():
            fleet.freshness.confirm_seat(ids.SeatId(name), sent_ms - age_ms)


def seat_from(note: messages.SeatNote) -> rosters.Seat:
    """Build a seat from a peer's note."""
    return rosters.Seat(
        ids.SeatId(note.seat),
        ids.InstanceId(note.holder),
        note.address,
        ids.DataCentreId(note.data_centre),
        note.generation,
    )


def _seat_note(seat: rosters.Seat) -> messages.SeatNote:
    return messages.SeatNote(
        seat.id,
        seat.holder,
        seat.address,
        seat.data_centre,
        seat.generation,
    )
