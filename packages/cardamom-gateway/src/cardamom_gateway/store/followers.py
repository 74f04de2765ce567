"""Followers of the platform's store, one per topic."""

import asyncio
import random
import typing

import structlog

from cardamom_kernel import clocks
from cardamom_kernel import tables

from cardamom_gateway import interfaces
from cardamom_gateway.store import store_relay

LOG = structlog.get_logger("cardamom.gateway.followers")

# Longest wait of one call.  A call that the store has lost ends soon after it.
FEED_WAIT_MS = 1_000
# A call without an answer for so long after its wait is sent once more; the
# store usually answers within 10 ms.
OVERDUE_MS = 300
FIRST_BACKOFF_MS = 100  # after a failed call, doubled each time
MS_PER_S = 1000
MAX_BACKOFF_MS = 1_000  # the store's return is noticed within about 1 s

Sink = typing.Callable[[interfaces.Changes, bool], None]


class _CallEnded(Exception):
    """Raised for a call that was ended to send another one."""

    def __init__(self, waited_ms: int) -> None:
        super().__init__(f"ended after {waited_ms} ms")
        self.waited_ms = waited_ms


class Follower:
    """Passes the changes of one topic to a sink.

    The changes come from the store while ``reads_store`` returns true, and
    else from a peer that reads it, by ``receive``.  The sink also gets whether
    the changes are a full read of the topic.  ``version`` is the store's
    version at the last answer.  ``last_change`` is the version of the topic's
    latest change, which is equal at all instances that have received it.
    ``reachable_since_ms`` is the time at which the store last became
    reachable, or came back from an older copy.  ``is_verified`` is whether the
    store has answered this instance's own call since it began to read.
    ``current_ms`` is when the version was last known to be the latest one.
    ``wait_ms`` returns how long a call may wait for a change.  ``on_changes``
    is called after changes with the version before them.
    """

    def __init__(
        self,
        store: interfaces.Store,
        clock: clocks.Clock,
        topic: interfaces.Topic,
        sink: Sink,
        period_ms: typing.Callable[[], int] = lambda: 0,
        reads_store: typing.Callable[[], bool] = lambda: True,
        wait_ms: typing.Callable[[], int] = lambda: FEED_WAIT_MS,
        max_backoff_ms: typing.Callable[[], int] = lambda: MAX_BACKOFF_MS,
        on_changes: typing.Callable[
            [tables.StoreVersion], None
        ] = lambda known: None,
    ) -> None:
        self._store = store
        self._clock = clock
        self.topic = topic
        self._sink = sink
        self._period_ms = period_ms
        self.reads_store = reads_store
        self._on_changes = on_changes
        self._wait_ms = wait_ms
        self._max_backoff_ms = max_backoff_ms
        self._waiting_call: asyncio.Timeout | None = None
        self._backoff_ms = FIRST_BACKOFF_MS
        self._needs_full_read = True
        self._is_due = asyncio.Event()
        self._received_ms: int = clocks.NEVER_MS
        self.history = store_relay.TopicHistory(topic)
        self.version = tables.NO_VERSION
        self.last_change = tables.NO_VERSION
        self._known_era = 0
        self.is_reached = False
        self.is_verified = False
        self.call_started_ms: int | None = None
        self.reachable_since_ms: int = clocks.NEVER_MS
        self.current_ms: int = clocks.NEVER_MS
        self._store_clock_offset_ms: int | None = None

    def store_clock_ms(self) -> int | None:
        """Return the store's clock now in ms, None before any answer."""
        if self._store_clock_offset_ms is None:
            return None
        return self._clock.now_ms() + self._store_clock_offset_ms

    def receive(self, message: store_relay.Message) -> bool:
        """Apply changes that a peer has read.

        Returns false if changes before them are missing here.
        """
        if message.version < self.version:
            return True
        if not message.is_full and message.after > self.version:
            return False
        now_ms = self._clock.now_ms()
        if message.version.era > self.version.era:
            self._begin_era(message.version.era)
        is_later = message.version > self.version
        self.version = message.version
        self._needs_full_read = False
        self.reachable_since_ms = max(
            self.reachable_since_ms, now_ms - message.reachable_ms
        )
        self._store_clock_offset_ms = message.store_clock_ms - now_ms
        if not self.reads_store():
            self.is_reached = True
        if is_later:
            self._received_ms = now_ms
            self._apply(message.changes(), message.is_full)
        self.current_ms = now_ms
        return True

    def message_since(
        self, known: tables.StoreVersion
    ) -> store_relay.Message | None:
        """Return what a peer lacks, None before anything has been read."""
        store_clock_ms = self.store_clock_ms()
        if store_clock_ms is None:
            return None
        return self.history.since(
            known,
            self._clock.now_ms() - self.reachable_since_ms,
            store_clock_ms,
        )

    def _apply(self, changes: interfaces.Changes, is_full: bool) -> None:
        known = self.history.version
        self.last_change = max(self.last_change, changes.last_change)
        self.history.record(changes, is_full)
        self._sink(changes, is_full)
        self._on_changes(known)

    def read_again(self) -> None:
        """Read all rows from the store, as no peer gives what is missing."""
        self._needs_full_read = True
        self._is_due.set()

    def check(self) -> None:
        """Begin or end to read the store if ``reads_store`` has changed."""
        if self.reads_store():
            self._is_due.set()
            return
        self.is_verified = False
        self.restart_call()

    def restart_call(self) -> None:
        """End the call that waits for a change, and send another one."""
        if self._waiting_call is not None:
            now_s = asyncio.get_running_loop().time()
            self._waiting_call.reschedule(now_s)
            self._waiting_call = None

    def note_era(self, era: int) -> None:
        """Ask the store anew if a peer knows of a later era."""
        if era > max(self.version.era, self._known_era):
            self._known_era = era
            self.restart_call()

    async def run(self) -> None:
        """Follow the topic until cancelled."""
        while True:
            await self._wait_until_due()
            try:
                await self._read_once()
            except _CallEnded as ended:
                LOG.info(
                    "followers: call restarted",
                    topic=self.topic.value,
                    version=self.version.number,
                    waited_ms=ended.waited_ms,
                )
            except interfaces.HistoryLost as lost:
                LOG.info("followers: history lost", topic=self.topic.value)
                self._needs_full_read = True
                self._begin_era(lost.era)
                await self._pause()
            except (
                interfaces.StoreUnavailable,
                interfaces.MalformedMessage,
            ) as error:
                await self._note_unreachable(error)

    async def _wait_until_due(self) -> None:
        while not (self._needs_full_read or self.reads_store()):
            self._is_due.clear()
            await self._is_due.wait()

    async def _read_once(self) -> None:
        is_full = self._needs_full_read
        self.call_started_ms = self._clock.now_ms()
        try:
            changes = await self._call(is_full)
        finally:
            self.call_started_ms = None
        self._note_reached()
        self._store_clock_offset_ms = (
            changes.store_clock_ms - self._clock.now_ms()
        )
        if changes.version.era < self.version.era:
            raise interfaces.StoreUnavailable("an answer of an earlier era")
        is_contiguous = is_full or changes.version.era == self.version.era
        self._begin_era(changes.version.era)
        if changes.version < self.version or not is_contiguous:
            LOG.info(
                "followers: answer dropped",
                topic=self.topic.value,
                version=changes.version.number,
                era=changes.version.era,
                known_version=self.version.number,
                known_era=self.version.era,
            )
            await self._pause()
            return
        self.version = changes.version
        self._needs_full_read = False
        self._apply(changes, is_full)
        self.current_ms = self._clock.now_ms()
        if changes.changes and self._period_ms():
            await self._clock.sleep_ms(self._period_ms())

    def _begin_era(self, era: int) -> None:
        """Note that the store came back from an older copy, if it did.

        Versions of the former era say nothing of the rows that it has now.
        """
        if era <= self.version.era:
            return
        if self.version.number:
            LOG.warning(
                "followers: store came back from an older copy",
                topic=self.topic.value,
                was=self.version.era,
                era=era,
                version=self.version.number,
            )
            self.reachable_since_ms = self._clock.now_ms()
        self.version = tables.StoreVersion(era, 0)
        self._needs_full_read = True

    async def _pause(self) -> None:
        """Wait, so that not all instances read again at the same moment."""
        await self._clock.sleep_ms(FIRST_BACKOFF_MS * random.uniform(0.1, 1))

    async def _call(self, is_full: bool) -> interfaces.Changes:
        if is_full:
            return await self._store.read_all(self.topic)
        wait_ms = self._wait_ms() if self.is_verified else 0
        started_ms = self._clock.now_ms()
        try:
            async with asyncio.timeout(None) as self._waiting_call:
                return await self._follow(wait_ms)
        except TimeoutError:
            raise _CallEnded(self._clock.now_ms() - started_ms) from None
        finally:
            self._waiting_call = None

    async def _follow(self, wait_ms: int) -> interfaces.Changes:
        """Return the first answer to a call, or to another one if it is late.

        Either its connection is dead or the store is slow, so the first call
        goes on beside the other, which has a new connection and doesn't wait.
        """
        after = self.version.number
        calls = [
            asyncio.ensure_future(
                self._store.follow(self.topic, after, wait_ms)
            )
        ]
        try:
            done, _ = await asyncio.wait(
                calls, timeout=(wait_ms + OVERDUE_MS) / MS_PER_S
            )
            if not done:
                LOG.info(
                    "followers: call overdue",
                    topic=self.topic.value,
                    version=after,
                    wait_ms=wait_ms,
                )
                self._store.use_new_connections()
                calls.append(
                    asyncio.ensure_future(
                        self._store.follow(self.topic, after, 0)
                    )
                )
                done, _ = await asyncio.wait(
                    calls, return_when=asyncio.FIRST_COMPLETED
                )
            return done.pop().result()
        finally:
            for call in calls:
                call.cancel()

    def is_silent(self, timeout_ms: int) -> bool:
        """Return whether the store has not answered for the timeout.

        A call that waits for a change counts as silent, too.  That matters
        only if a peer has received a change.
        """
        if not self.reads_store():
            return self._clock.now_ms() - self._received_ms >= timeout_ms
        if self.call_started_ms is None:
            return not self.is_reached
        return self._clock.now_ms() - self.call_started_ms >= timeout_ms

    def _note_reached(self) -> None:
        self.is_verified = True
        if self.is_reached:
            return
        self.is_reached = True
        self.reachable_since_ms = self._clock.now_ms()
        self._backoff_ms = FIRST_BACKOFF_MS
        LOG.info(
            "followers: store reached",
            topic=self.topic.value,
            version=self.version.number,
        )

    async def _note_unreachable(self, error: Exception) -> None:
        if self.is_reached:
            LOG.warning(
                "followers: store lost",
                topic=self.topic.value,
                version=self.version.number,
                error=str(error),
            )
        self.is_reached = self.is_verified = False
        await self._clock.sleep_ms(self._backoff_ms * random.uniform(0.5, 1))
        self._backoff_ms = min(self._max_backoff_ms(), self._backoff_ms * 2)
