"""Gossip: one heartbeat task per peer, and calls to peers."""

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
PEER_EXPIRY_MS = 20_000
FLEET_HEADER = "X-Cardamom-Fleet"

Answer = typing.TypeVar("Answer")


@dataclasses.dataclass
class Peer:
    """One peer: its address, HTTP client and last heartbeat.

    Times are in milliseconds of the instance's clock.
    """

    address: str
    pool: pools.Pool
    client: plugins.JsonClient
    heartbeat: messages.Heartbeat | None = None
    last_heartbeat_ms: int = -(1 << 60)
    added_ms: int = 0


class PeerFailed(Exception):
    """Raised when a call to a peer fails or its answer is not valid."""


class Gossip:
    """Exchanges heartbeats with every known peer and sends them messages.

    ``in_flight`` returns the number of this instance's running calls by
    target.
    """

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
        """Start heartbeats with the peers in the settings."""
        for address in self._seeds:
            self.add_peer(address)

    async def close(self) -> None:
        """Close all connections to peers."""
        for peer in self._by_address.values():
            await peer.pool.close()

    def add_peer(self, address: str) -> None:
        """Start heartbeats with the peer at an address.

        Does nothing for a known peer or for this instance's own address.
        """
        if address in self._by_address:
            return
        if address == self._fleet.settings.peer_address:
            return
        pool = pools.Pool(
            pools.PoolSettings(
                source_address=self._fleet.settings.source_address
            )
        )
        headers = {FLEET_HEADER: self._fleet.settings.fleet_secret}
        client = plugins.JsonClient(pool, address, headers)
        peer = Peer(address, pool, client)
        peer.added_ms = self._fleet.clock.now_ms()
        self._by_address[address] = peer
        self._group.start(
            f"peer {address}", lambda: self._exchange_heartbeats(peer)
        )

    def live(self) -> list[Peer]:
        """Return the peers whose last heartbeat is fresh."""
        horizon_ms = (
            self._fleet.clock.now_ms() - self._fleet.settings.freshness_ms
        )
        return [
            peer
            for peer in self._by_address.values()
            if peer.heartbeat is not None
            and peer.last_heartbeat_ms > horizon_ms
        ]

    def find(self, instance: str) -> Peer | None:
        """Return the live peer that runs as an instance, or None."""
        return next(
            (
                peer
                for peer in self.live()
                if peer.heartbeat and peer.heartbeat.instance == instance
            ),
            None,
        )

    def peers_in_flight(self) -> dict[str, int]:
        """Return the calls that live peers have in flight, by target."""
        totals: dict[str, int] = {}
        for peer in self.live():
            assert peer.heartbeat is not None
            for target, count in peer.heartbeat.in_flight_by_target.items():
                totals[target] = totals.get(target, 0) + count
        return totals

    def own_heartbeat(self) -> messages.Heartbeat:
        """Return the heartbeat that describes this instance now."""
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
            heard_ms_by_seat=dict(fleet.freshness.confirmation_ages_ms()),
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
            demand=self._meter.report(),
            seats=[_seat_note(s) for s in fleet.transferred_seats.values()],
        )

    async def receive(self, beat: messages.Heartbeat) -> messages.Heartbeat:
        """Process a peer's heartbeat and return this instance's."""
        self.add_peer(beat.address)
        self._adopt_state(beat)
        return self.own_heartbeat()

    async def call(
        self,
        peer: Peer,
        path: str,
        message: object,
        kind: type[Answer],
        timeout_s: float = CALL_TIMEOUT_S,
    ) -> Answer:
        """Send a message to a peer and return its validated answer.

        Raises PeerFailed if the call fails or the answer is not valid.
        """
        try:
            answer = await peer.client.post(
                path,
                messages.encode(message),
                timeout_s,
            )
            return messages.decode_parsed(kind, answer)
        except plugins.CALL_ERRORS as error:
            raise PeerFailed(f"{peer.address}{path}: {error!r}") from error

    async def send_to_all(
        self,
        path: str,
        message: object,
    ) -> list[str]:
        """Send a message to all live peers.

        Returns the instances that accepted it.
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

    async def _exchange_heartbeats(self, peer: Peer) -> None:
        """Exchange heartbeats with one peer until it is removed."""
        clock = self._fleet.clock
        while not self._is_expired(peer):
            sent_ms = clock.now_ms()
            try:
                answer = await self.call(
                    peer,
                    "/peer/v1/heartbeat",
                    self.own_heartbeat(),
                    messages.Heartbeat,
                )
                peer.heartbeat = answer
                peer.last_heartbeat_ms = clock.now_ms()
                self._adopt_state(answer)
                if await self._catch_up(peer, answer):
                    self._confirm(answer, sent_ms)
            except PeerFailed as failure:
                self._fleet.metrics.count("peer.heartbeat_failed")
                LOG.debug("gossip: heartbeat failed", peer=str(failure))
            elapsed_ms = clock.now_ms() - sent_ms
            pause_ms = self._fleet.settings.heartbeat_ms - elapsed_ms
            await clock.sleep_ms(max(50, pause_ms))
        del self._by_address[peer.address]
        await peer.pool.close()

    def _is_expired(self, peer: Peer) -> bool:
        """Tell whether heartbeats with a silent peer may stop.

        Peers from the settings and holders of seats never expire.
        """
        now_ms = self._fleet.clock.now_ms()
        active_ms = max(peer.last_heartbeat_ms, peer.added_ms)
        if now_ms - active_ms < PEER_EXPIRY_MS:
            return False
        holds_seat = any(
            seat.address == peer.address for seat in self._fleet.seats()
        )
        return not holds_seat and peer.address not in self._seeds

    def _adopt_state(self, beat: messages.Heartbeat) -> None:
        """Adopt the transferred seats and the newer round of a heartbeat.

        An instance that holds units doesn't join a round through a heartbeat.
        """
        for note in beat.seats:
            self._fleet.update_seat(seat_from_note(note))
        peer_round = shares.Round(beat.round_number, beat.round_coordinator)
        book = self._fleet.shares
        if peer_round > book.round and not any(book.units_by_team().values()):
            book.join_round(peer_round)

    async def _catch_up(
        self,
        peer: Peer,
        beat: messages.Heartbeat,
    ) -> bool:
        """Fetch the documents and withdrawals that this instance lacks.

        Returns whether this instance now holds every document version that
        the peer announced. Raises PeerFailed if the call fails.
        """
        fleet = self._fleet
        held = fleet.documents.versions()
        announced = beat.version_by_document
        is_behind = any(
            version > held.get(name, 0) for name, version in announced.items()
        )
        if not is_behind and beat.withdrawn_digest == fleet.withdrawn.digest:
            return True
        answer = await self.call(
            peer,
            "/peer/v1/documents",
            messages.DocumentsRequest(held),
            messages.DocumentsAnswer,
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
        """Confirm the peer's seat and the seats that it has confirmed.

        ``sent_ms`` is when this instance sent its own heartbeat.
        """
        fleet = self._fleet
        if beat.seat:
            seat = fleet.seat_holder(ids.SeatId(beat.seat))
            if seat is not None and seat.holder == beat.instance:
                fleet.freshness.confirm_seat(seat.id, sent_ms)
        for name, age_ms in beat.heard_ms_by_seat.items():
            fleet.freshness.confirm_seat(ids.SeatId(name), sent_ms - age_ms)


def seat_from_note(note: messages.SeatNote) -> rosters.Seat:
    """Return the seat that a message describes."""
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
