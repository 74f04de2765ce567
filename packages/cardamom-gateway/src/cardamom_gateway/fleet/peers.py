"""State updates between instances in small, frequent datagrams.

Each instance sends its counts, its load and its demand to a bounded number of
peers.  A lost datagram is made up for by the next one, because each carries
totals.  Calls that need an answer use HTTP (``peer_calls``).
"""

import asyncio
import collections
import dataclasses
import enum
import itertools
import random
import typing

import orjson
import structlog

from cardamom_kernel import clocks
from cardamom_kernel import ids

from cardamom_gateway.fleet import delays
from cardamom_gateway import settings as settings_module

LOG = structlog.get_logger("cardamom.gateway.peers")

LOCAL_PERIOD_MS = 200  # within a data centre
REMOTE_PERIOD_MS = 1_000  # between data centres, where bytes are expensive
NEAR_LIMIT_PERIOD_MS = 400  # between data centres, if a team is near a limit
MAX_PEERS_PER_ROUND = 16  # bounds the cost of a round in a large fleet
MAX_PEER_AGE_MS = 3_200  # three remote periods
# With more members than this a sample of them is heard too seldom.
MAX_SAMPLED_MEMBERS = 100
# Sent each round beside the reader of the store, which passes updates on.
SAMPLED_IN_LARGE_FLEET = 1
HOLDER_ROUNDS = 2  # between two updates for the holder of the lease
HOLDER_ROUNDS_IN_LARGE_FLEET = 5
STARTING_MS = 5_000  # an instance that is first heard so soon has started
MAX_DATAGRAM_BYTES = 60_000  # an IPv4 datagram holds 65,507

StateUpdate = dict[str, typing.Any]
Item = typing.TypeVar("Item")


class Audience(enum.Enum):
    """The kinds of recipients of a state update."""

    HOLDER = "holder"
    LOCAL = "local"
    REMOTE = "remote"


class Forwarding(enum.Enum):
    """Whether a state update is to be forwarded in its data centre."""

    NONE = 0
    REQUESTED = 1
    DONE = 2


@dataclasses.dataclass(frozen=True)
class Member:
    """An instance as it registered itself in the store.

    Instances known only from their datagrams get one, too.
    """

    id: ids.InstanceId
    host: str
    port: int
    data_centre: str
    incarnation: str


def own_member(
    settings: settings_module.GatewaySettings, incarnation: str = ""
) -> Member:
    """Return an instance as the others know it."""
    return Member(
        settings.instance,
        settings.peers_host,
        settings.peers_port,
        settings.data_centre,
        incarnation,
    )


@dataclasses.dataclass
class Peer:
    """A member with its latest state update."""

    member: Member
    received_ms: int
    update: StateUpdate


class PeerLink(asyncio.DatagramProtocol):
    """Sends and receives state updates.

    ``gather_update`` builds the update for a kind of recipient, ``receive``
    gets the updates of peers with their age in ms, and ``holder`` returns the
    lease holder's id.
    """

    def __init__(
        self,
        settings: settings_module.GatewaySettings,
        clock: clocks.Clock,
        incarnation: str,
        gather_update: typing.Callable[[Audience], StateUpdate],
        receive: typing.Callable[[str, StateUpdate, int], None],
        holder: typing.Callable[[], ids.InstanceId | None],
        is_near_limit: typing.Callable[[], bool],
        monitor: delays.DelayMonitor,
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._incarnation = incarnation
        self._gather_update = gather_update
        self._receive = receive
        self._holder = holder
        self._is_near_limit = is_near_limit
        self._monitor = monitor
        self._transport: asyncio.DatagramTransport | None = None
        self.member_by_id: dict[ids.InstanceId, Member] = {}
        self.peer_by_id: dict[ids.InstanceId, Peer] = {}
        # Incarnation and uptime at each peer's latest update with counts.
        self._counted_up_ms: dict[ids.InstanceId, tuple[str, int]] = {}

    async def open(self) -> None:
        """Open the socket; raises OSError."""
        loop = asyncio.get_running_loop()
        transport, _ = await loop.create_datagram_endpoint(
            lambda: self,
            local_addr=(self._settings.peers_host, self._settings.peers_port),
        )
        self._transport = transport

    def close(self) -> None:
        """Close the socket."""
        if self._transport is not None:
            self._transport.close()
            self._transport = None

    def set_members(self, members: typing.Iterable[Member]) -> None:
        """Set the registered instances, leaving this one out.

        Those that are new get an update at once.
        """
        known = self.member_by_id
        self.member_by_id = {
            member.id: member
            for member in members
            if member.id != self._settings.instance
        }
        joined = [m for m in self.member_by_id.values() if m.id not in known]
        for member in _sample(joined):
            self.send_update([member], self._audience(member))

    def fresh_peers(self) -> list[Peer]:
        """Return the peers whose latest state update is fresh."""
        now_ms = self._clock.now_ms()
        return [
            peer
            for peer in self.peer_by_id.values()
            if now_ms - peer.received_ms <= MAX_PEER_AGE_MS
        ]

    @property
    def is_large(self) -> bool:
        """Return whether updates go through the readers of the store."""
        return len(self.member_by_id) > MAX_SAMPLED_MEMBERS

    def local_members(self) -> list[Member]:
        """Return the members in this instance's data centre."""
        return [
            member
            for member in self.member_by_id.values()
            if member.data_centre == self._settings.data_centre
        ]

    def local_readers(self) -> list[Member]:
        """Return the members that read the store for this data centre."""
        return [
            peer.member
            for peer in self.fresh_peers()
            if "rd" in peer.update
            and peer.member.data_centre == self._settings.data_centre
        ]

    def some_members(self) -> list[Member]:
        """Return the members, or some of them if many."""
        readers = self.local_readers() if self.is_large else []
        return readers or _sample(list(self.member_by_id.values()))

    def send_update(
        self, members: typing.Iterable[Member], audience: Audience
    ) -> None:
        """Send this instance's state update to some members now."""
        self.send(members, self._gather_update(audience))

    def send(
        self, members: typing.Iterable[Member], update: StateUpdate
    ) -> None:
        """Send a state update to some members now.

        One that is too large for a datagram is dropped and logged.
        """
        update = self.identified(update)
        self._transmit(list(members), orjson.dumps(update), _largest(update))

    def identified(self, update: StateUpdate) -> StateUpdate:
        """Return an update with this instance's name and incarnation."""
        return update | {
            "n": self._settings.instance,
            "u": self._incarnation,
            "z": self._settings.data_centre,
        }

    def _transmit(
        self, members: list[Member], data: bytes, largest_field: str
    ) -> None:
        if self._transport is None:
            return
        if len(data) > MAX_DATAGRAM_BYTES:
            LOG.warning("peers: news not sent", bytes=len(data))
            return
        for member in members:
            self._transport.sendto(data, (member.host, member.port))
        self._monitor.note_sent(len(members), len(data), largest_field)

    def broadcast(self, update: StateUpdate) -> None:
        """Send a state update to all members now.

        One member of each data centre gets it and forwards it to the others
        there, so that neither the sender's cost nor the bytes between data
        centres grow with the number of members.
        """
        fresh = {peer.member.id for peer in self.fresh_peers()}
        by_data_centre = collections.defaultdict(list)
        for member in self.member_by_id.values():
            by_data_centre[member.data_centre].append(member)
        forwarders = [
            random.choice([m for m in members if m.id in fresh] or members)
            for members in by_data_centre.values()
        ]
        self.send(forwarders, update | {"w": Forwarding.REQUESTED.value})

    def _forward(self, origin: ids.InstanceId, update: StateUpdate) -> None:
        data = orjson.dumps(update | {"w": Forwarding.DONE.value})
        self._transmit(
            [
                member
                for member in self.member_by_id.values()
                if member.data_centre == self._settings.data_centre
                and member.id != origin
            ],
            data,
            "w",
        )

    async def run(self) -> None:
        """Send state updates periodically until cancelled."""
        for round_number in itertools.count():
            await self._clock.sleep_ms(
                LOCAL_PERIOD_MS * random.uniform(0.9, 1.1)
            )
            remote_ms = (
                NEAR_LIMIT_PERIOD_MS
                if self._is_near_limit()
                else REMOTE_PERIOD_MS
            )
            remote_rounds = round(remote_ms / LOCAL_PERIOD_MS)
            members = self._round_members(round_number, remote_rounds)
            by_audience = collections.defaultdict(list)
            for member in members:
                by_audience[self._audience(member)].append(member)
            for audience, recipients in by_audience.items():
                self.send_update(recipients, audience)

    def _round_members(
        self, round_number: int, remote_rounds: int
    ) -> list[Member]:
        """Return whom to send this instance's update in a round."""
        holder_rounds = (
            HOLDER_ROUNDS_IN_LARGE_FLEET if self.is_large else HOLDER_ROUNDS
        )
        is_holder_round = round_number % holder_rounds == 0
        is_remote_round = round_number % remote_rounds == 0
        holder = self._holder()
        if self.is_large:
            chosen = self.local_readers()
            candidates = (
                list(self.member_by_id.values())
                if is_remote_round
                else self.local_members()
            )
            chosen += _sample(candidates, SAMPLED_IN_LARGE_FLEET)
            if holder in self.member_by_id and is_holder_round:
                chosen.append(self.member_by_id[holder])
            return list({member.id: member for member in chosen}.values())
        return _sample(
            [
                member
                for member in self.member_by_id.values()
                if member.data_centre == self._settings.data_centre
                or is_remote_round
                or (member.id == holder and is_holder_round)
            ]
        )

    def _audience(self, member: Member) -> Audience:
        if member.id == self._holder():
            return Audience.HOLDER
        if member.data_centre == self._settings.data_centre:
            return Audience.LOCAL
        return Audience.REMOTE

    def datagram_received(
        self, data: bytes, address: tuple[typing.Any, ...]
    ) -> None:
        """Record a peer's state update and pass it on.

        A malformed message is logged and dropped.
        """
        try:
            update = orjson.loads(data)
            peer_id = ids.InstanceId(update["n"])
            incarnation = str(update["u"])
            forwarding = Forwarding(update.pop("w", Forwarding.NONE.value))
            if forwarding is Forwarding.REQUESTED:
                self._forward(peer_id, update)
            if peer_id not in self.member_by_id and forwarding is (
                Forwarding.DONE
            ):
                return  # its address is unknown
            member = self.member_by_id.get(peer_id) or Member(
                peer_id,
                str(address[0]),
                int(address[1]),
                str(update["z"]),
                incarnation,
            )
            previous = self.peer_by_id.get(peer_id)
            if previous is None:
                LOG.info("peers: heard", peer=peer_id)
            self.peer_by_id[peer_id] = Peer(
                member, self._clock.now_ms(), update
            )
            self.member_by_id.setdefault(peer_id, member)
            self._monitor.note_received(
                f"{peer_id}@{incarnation}", len(data), int(update["up"])
            )
            self._note_counts(peer_id, incarnation, update)
            self._receive(f"{peer_id}@{incarnation}", update, 0)
            is_first = (
                previous is None or previous.update.get("u") != incarnation
            )
            if is_first and int(update["up"]) <= STARTING_MS:
                # It waits for what others know.
                self.send_update([member], self._audience(member))
        except (ValueError, KeyError, TypeError, IndexError) as error:
            LOG.warning("peers: malformed news", error=repr(error))

    def accept_passed_on(self, update: StateUpdate, age_ms: int) -> None:
        """Record a peer's state update that another instance passed on.

        One whose counts are known already, or of an unknown member, is
        dropped.  Raises KeyError, IndexError, TypeError or ValueError if it
        is malformed.
        """
        peer_id = ids.InstanceId(update["n"])
        incarnation = str(update["u"])
        member = self.member_by_id.get(peer_id)
        if member is None:
            return
        known = self.peer_by_id.get(peer_id)
        received_ms = self._clock.now_ms() - age_ms
        if known is None or known.received_ms < received_ms:
            self.peer_by_id[peer_id] = Peer(member, received_ms, update)
        elif known.update.get("u") != incarnation:
            return  # of an earlier incarnation
        if self._note_counts(peer_id, incarnation, update):
            self._receive(f"{peer_id}@{incarnation}", update, age_ms)

    def _note_counts(
        self, peer_id: ids.InstanceId, incarnation: str, update: StateUpdate
    ) -> bool:
        """Return whether an update is later than the latest with counts."""
        up_ms = int(update["up"])
        known_incarnation, known_up_ms = self._counted_up_ms.get(
            peer_id, ("", 0)
        )
        if known_incarnation == incarnation and up_ms <= known_up_ms:
            return False
        if "l" in update:
            self._counted_up_ms[peer_id] = (incarnation, up_ms)
        return True


def batched(
    items: typing.Iterable[Item], size: int
) -> typing.Iterator[list[Item]]:
    """Yield lists of at most ``size`` items, for one message each."""
    remaining = iter(items)
    while batch := list(itertools.islice(remaining, size)):
        yield batch


def _largest(update: StateUpdate) -> str:
    """Return the key of the field with the most entries."""
    sizes = {
        key: len(value)
        for key, value in update.items()
        if isinstance(value, (list, dict))
    }
    return max(sizes, key=sizes.__getitem__, default="")


def _sample(
    members: list[Member], count: int = MAX_PEERS_PER_ROUND
) -> list[Member]:
    if len(members) <= count:
        return members
    return random.sample(members, count)
