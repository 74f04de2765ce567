"""What instances tell each other: datagrams, often and small.

Each instance sends its counts, its load and what it waits for to a bounded
number of peers; a lost datagram is made good by the next one, because each
carries totals.  What needs an answer goes over HTTP (``peer_calls``).
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

from cardamom_gateway import settings as settings_module

LOG = structlog.get_logger("cardamom.gateway.peers")

LOCAL_PERIOD_MS = 200  # within a data centre
REMOTE_PERIOD_MS = 1_000  # between data centres, where bytes are dear
PRESSED_PERIOD_MS = 400  # while a team's use is near its limit
FANOUT = 16  # peers told in a round, so that the cost does not grow
SILENT_MS = 3_200  # three remote periods
MAX_DATAGRAM_BYTES = 60_000  # an IPv4 datagram holds 65,507

News = dict[str, typing.Any]


class Audience(enum.Enum):
    """For whom news is gathered."""

    HOLDER = "holder"
    LOCAL = "local"
    REMOTE = "remote"


@dataclasses.dataclass(frozen=True)
class Member:
    """An instance as it registered itself in the store."""

    id: ids.InstanceId
    host: str
    port: int
    data_centre: str
    incarnation: str


@dataclasses.dataclass
class Peer:
    """A member that was heard."""

    member: Member
    heard_ms: int
    news: News


class PeerLink(asyncio.DatagramProtocol):
    """Sends and receives news."""

    def __init__(
        self,
        settings: settings_module.GatewaySettings,
        clock: clocks.Clock,
        incarnation: str,
        gather: typing.Callable[[Audience], News],
        receive: typing.Callable[[str, News], None],
        holder: typing.Callable[[], ids.InstanceId | None],
        is_pressed: typing.Callable[[], bool],
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._incarnation = incarnation
        self._gather = gather
        self._receive = receive
        self._holder = holder
        self._is_pressed = is_pressed
        self._transport: asyncio.DatagramTransport | None = None
        self.member_by_id: dict[ids.InstanceId, Member] = {}
        self.peer_by_id: dict[ids.InstanceId, Peer] = {}

    async def open(self) -> None:
        """Open the socket."""
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
        """Name the instances that are registered, this one left out."""
        self.member_by_id = {
            member.id: member
            for member in members
            if member.id != self._settings.instance
        }

    def fresh_peers(self) -> list[Peer]:
        """Return the peers that were heard lately."""
        now_ms = self._clock.now_ms()
        return [
            peer
            for peer in self.peer_by_id.values()
            if now_ms - peer.heard_ms <= SILENT_MS
        ]

    def some_members(self) -> list[Member]:
        """Return the members, or a sample where they are many."""
        return _sample(list(self.member_by_id.values()))

    def tell(
        self, members: typing.Iterable[Member], audience: Audience
    ) -> None:
        """Send this instance's news to some members now."""
        self.send(members, self._gather(audience))

    def send(self, members: typing.Iterable[Member], news: News) -> None:
        """Send news to some members now."""
        news |= {
            "n": self._settings.instance,
            "u": self._incarnation,
            "z": self._settings.data_centre,
        }
        data = orjson.dumps(news)
        if self._transport is None:
            return
        if len(data) > MAX_DATAGRAM_BYTES:
            LOG.warning("peers: news not sent", bytes=len(data))
            return
        for member in members:
            self._transport.sendto(data, (member.host, member.port))

    async def run(self) -> None:
        """Tell peers in turn until cancelled."""
        for round_number in itertools.count():
            await self._clock.sleep_ms(
                LOCAL_PERIOD_MS * random.uniform(0.9, 1.1)
            )
            remote_ms = (
                PRESSED_PERIOD_MS if self._is_pressed() else REMOTE_PERIOD_MS
            )
            every = round(remote_ms / LOCAL_PERIOD_MS)
            members = [
                member
                for member in self.member_by_id.values()
                if member.data_centre == self._settings.data_centre
                or round_number % every == 0
                or (member.id == self._holder() and round_number % 2 == 0)
            ]
            members = _sample(members)
            by_audience = collections.defaultdict(list)
            for member in members:
                by_audience[self._audience(member)].append(member)
            for audience, told in by_audience.items():
                self.tell(told, audience)

    def _audience(self, member: Member) -> Audience:
        if member.id == self._holder():
            return Audience.HOLDER
        if member.data_centre == self._settings.data_centre:
            return Audience.LOCAL
        return Audience.REMOTE

    def datagram_received(
        self, data: bytes, address: tuple[typing.Any, ...]
    ) -> None:
        """Take a peer's news."""
        try:
            news = orjson.loads(data)
            peer_id = ids.InstanceId(news["n"])
            incarnation = str(news["u"])
            member = self.member_by_id.get(peer_id) or Member(
                peer_id,
                str(address[0]),
                self._settings.peers_port,
                str(news["z"]),
                incarnation,
            )
            known = self.peer_by_id.get(peer_id)
            if known is None:
                LOG.info("peers: heard", peer=peer_id)
            self.peer_by_id[peer_id] = Peer(member, self._clock.now_ms(), news)
            self.member_by_id.setdefault(peer_id, member)
            self._receive(f"{peer_id}@{incarnation}", news)
        except (ValueError, KeyError, TypeError, IndexError) as error:
            LOG.warning("peers: malformed news", error=repr(error))


def _sample(members: list[Member]) -> list[Member]:
    if len(members) <= FANOUT:
        return members
    return random.sample(members, FANOUT)
