"""Follows the store for a data centre, or through the instance that does.

Every instance runs the same election (``store_readers``).  The reader follows
all topics and sends what it reads to the instances of its data centre.  They
ask it, or another peer, for what they have missed, and the store itself only
if no peer gives it.
"""

import asyncio
import collections
import dataclasses
import random
import typing

import structlog

from cardamom_kernel import clocks
from cardamom_kernel import ids
from cardamom_kernel import tables

from cardamom_gateway.fleet import exchange as exchange_module
from cardamom_gateway.fleet import peers
from cardamom_gateway import interfaces
from cardamom_gateway import settings as settings_module
from cardamom_gateway.store import followers
from cardamom_gateway.store import store_readers
from cardamom_gateway.store import store_relay

LOG = structlog.get_logger("cardamom.gateway.store_watch")

CHECK_PERIOD_MS = 150
# Larger messages are asked for by a call instead.
MAX_MESSAGE_CHARACTERS = 48_000
MAX_GAP_DELAY_MS = 200  # all instances may have missed a message
MAX_FETCHES = 2  # failed calls to peers before the store is asked
# The wait of a call, for each data centre: with one reader in each, calls of
# the whole fleet end this often, and one of them notices a lost change.
FEED_WAIT_PER_DATA_CENTRE_MS = 500
INSTANCES_PER_BACKOFF = 4  # that retry a lost store in one backoff
# Instances that have just started have not reached the store yet.
STARTUP_MS = 5_000

Fetch = typing.Callable[
    [peers.Member, interfaces.Topic, tables.StoreVersion],
    typing.Awaitable[store_relay.Message | None],
]


@dataclasses.dataclass(frozen=True)
class Gap:
    """Changes up to a version that are missing here, and who has them."""

    source: peers.Member
    version: tables.StoreVersion


class StoreWatch:
    """Reads the store if elected, passes changes on and receives them.

    ``fetch`` asks a peer for the changes of a topic after a version.
    """

    def __init__(
        self,
        settings: settings_module.GatewaySettings,
        clock: clocks.Clock,
        exchange: exchange_module.Exchange,
        fetch: Fetch,
        is_stopping: typing.Callable[[], bool],
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._exchange = exchange
        self._fetch = fetch
        self._is_stopping = is_stopping
        self._election = store_readers.ReaderElection(
            settings.instance, settings.data_centre, clock
        )
        self._follower_by_topic: dict[
            interfaces.Topic, followers.Follower
        ] = {}
        self._announced_era = 0
        self._next_report_ms: int = clocks.NEVER_MS
        self._has_gap = asyncio.Event()
        self._gap_by_topic: dict[interfaces.Topic, Gap] = {}
        self._failures_by_topic: collections.Counter[interfaces.Topic] = (
            collections.Counter()
        )

    def add(self, follower: followers.Follower) -> None:
        """Pass the changes of a follower on."""
        self._follower_by_topic[follower.topic] = follower

    def is_reading(self) -> bool:
        """Return whether this instance is to read the store."""
        return self._election.is_reading

    def is_reader(self) -> bool:
        """Return whether peers may rely on what this instance reads."""
        return self._election.is_reading and all(
            follower.is_verified
            for follower in self._follower_by_topic.values()
        )

    def wait_ms(self) -> int:
        """Return how long a call to the store may wait for a change."""
        members = self._exchange.link.member_by_id.values()
        data_centres = {member.data_centre for member in members}
        data_centres.add(self._settings.data_centre)
        return max(
            followers.FEED_WAIT_MS,
            FEED_WAIT_PER_DATA_CENTRE_MS * len(data_centres),
        )

    def max_backoff_ms(self) -> int:
        """Return the longest time between two calls to a lost store.

        It grows with the number of local instances, any of which may notice
        the store's return for all.
        """
        instances = len(self._exchange.link.local_members()) + 1
        return followers.MAX_BACKOFF_MS * max(
            1, instances // INSTANCES_PER_BACKOFF
        )

    async def check(self) -> None:
        """Begin or end to read the store, and report as its reader."""
        was_reading = self.is_reading()
        is_reading = self._election.update(
            self._candidates(),
            all(
                follower.is_reached
                for follower in self._follower_by_topic.values()
            ),
            self._is_stopping(),
        )
        if is_reading and not was_reading:
            LOG.info("store_watch: begins to read")
        elif was_reading and not is_reading:
            LOG.info("store_watch: ends to read")
        for follower in self._follower_by_topic.values():
            follower.check()
        self._note_later_era()
        if self.is_reader():
            self._announce_era()
            self._report_if_due()

    def _candidates(self) -> list[store_readers.Candidate]:
        now_ms = self._clock.now_ms()
        return [
            store_readers.Candidate(
                peer.member.id,
                is_reader="rd" in peer.update,
                has_store=bool(peer.update.get("store", 1))
                or peer.update.get("up", 0) < STARTUP_MS,
                is_stopping="st" in peer.update,
                age_ms=now_ms - peer.received_ms,
            )
            for peer in self._exchange.link.fresh_peers()
            if peer.member.data_centre == self._settings.data_centre
        ]

    def _note_later_era(self) -> None:
        own_eras = [
            follower.version.era
            for follower in self._follower_by_topic.values()
        ]
        told_eras = [
            peer.update.get("te", 0)
            for peer in self._exchange.link.fresh_peers()
        ]
        for follower in self._follower_by_topic.values():
            follower.note_era(max(own_eras + told_eras))

    def _announce_era(self) -> None:
        era = self._exchange.versions()["te"]
        if era > self._announced_era:
            self._announced_era = era
            self._exchange.announce_versions()

    def _report_if_due(self) -> None:
        """Tell the local instances which versions this reader has."""
        now_ms = self._clock.now_ms()
        if now_ms < self._next_report_ms:
            return
        self._next_report_ms = now_ms + store_readers.REPORT_PERIOD_MS
        self._send(
            [
                follower.message_since(follower.version)
                for follower in self._follower_by_topic.values()
            ]
        )

    def pass_on(
        self, topic: interfaces.Topic, known: tables.StoreVersion
    ) -> None:
        """Send the changes after a version, if this is the reader."""
        if not self.is_reader():
            return
        follower = self._follower_by_topic[topic]
        message = follower.message_since(known)
        if message is not None and message.rows:
            self._send([message])

    def _send(
        self, messages: typing.Iterable[store_relay.Message | None]
    ) -> None:
        texts = [
            message.encode()
            for message in messages
            if message is not None and not message.is_full
        ]
        if sum(map(len, texts)) > MAX_MESSAGE_CHARACTERS:
            texts = []  # the next report shows the local instances a gap
        self._exchange.send_relayed(self._exchange.link.local_members(), texts)

    def receive(
        self, sender: ids.InstanceId, update: peers.StateUpdate
    ) -> None:
        """Apply the changes of the store in a peer's message.

        Raises MalformedMessage or TypeError if they are malformed.
        """
        member = self._exchange.link.member_by_id.get(sender)
        for text in update.get("x", ()):
            message = store_relay.decode(text)
            follower = self._follower_by_topic[message.topic]
            if not follower.receive(message) and member is not None:
                self._gap_by_topic[message.topic] = Gap(member, message.after)
                self._has_gap.set()

    async def close_gaps(self) -> None:
        """Ask peers for changes that are missing, until cancelled."""
        while True:
            await self._has_gap.wait()
            await self._clock.sleep_ms(random.uniform(0, MAX_GAP_DELAY_MS))
            self._has_gap.clear()
            gap_by_topic, self._gap_by_topic = self._gap_by_topic, {}
            for topic, gap in gap_by_topic.items():
                await self._close_gap(topic, gap)

    async def _close_gap(self, topic: interfaces.Topic, gap: Gap) -> None:
        follower = self._follower_by_topic[topic]
        if follower.version >= gap.version or await self.catch_up(
            topic, gap.source
        ):
            self._failures_by_topic[topic] = 0
            return
        self._failures_by_topic[topic] += 1
        if self._failures_by_topic[topic] >= MAX_FETCHES:
            self._failures_by_topic[topic] = 0
            LOG.warning(
                "store_watch: reads the store, as a peer gives no changes",
                topic=topic.value,
                peer=gap.source.id,
            )
            follower.read_again()

    async def catch_up(
        self, topic: interfaces.Topic, member: peers.Member
    ) -> bool:
        """Get what is missing of a topic from a peer.

        Returns whether the peer had later changes that could be applied.
        """
        follower = self._follower_by_topic[topic]
        known = follower.version
        message = await self._fetch(member, topic, known)
        if message is None or message.topic is not topic:
            return False
        is_applied = follower.receive(message)
        if not is_applied or message.version <= known:
            return False
        LOG.info(
            "store_watch: changes from a peer",
            topic=topic.value,
            peer=member.id,
            was=known.number,
            version=message.version.number,
            era=message.version.era,
        )
        return True
