"""Follows the platform's store, topic by topic, through its outages."""

import random
import typing

import structlog

from cardamom_kernel import clocks

from cardamom_gateway import interfaces

LOG = structlog.get_logger("cardamom.gateway.followers")

FEED_WAIT_MS = 20_000  # longest wait of one call; calls are priced
FIRST_PAUSE_MS = 100  # pause after a failed call, doubled each time
MAX_PAUSE_MS = 1_000  # so that a return is seen within about a second

Sink = typing.Callable[[interfaces.Changes, bool], None]


class Follower:
    """Keeps one topic current and tells how far it has come.

    The sink gets changes and whether they are a full reading.  ``version``
    is the store's when it answered last; ``last_change`` is the version of
    the topic's latest change, the same at every instance that has it.
    """

    def __init__(
        self,
        store: interfaces.Store,
        clock: clocks.Clock,
        topic: interfaces.Topic,
        sink: Sink,
        period_ms: typing.Callable[[], int] = lambda: 0,
    ) -> None:
        self._store = store
        self._clock = clock
        self._topic = topic
        self._sink = sink
        self._period_ms = period_ms
        self._pause_ms = FIRST_PAUSE_MS
        self._needs_all = True
        self.version = 0
        self.last_change = 0
        self.is_reached = False
        self.called_ms: int | None = None
        self.back_ms: int = clocks.NEVER_MS
        self._store_ahead_ms: int | None = None

    def store_ms(self) -> int | None:
        """Return the store's clock by its last answer, None before one."""
        if self._store_ahead_ms is None:
            return None
        return self._clock.now_ms() + self._store_ahead_ms

    def skip_to(self, version: int) -> None:
        """Continue after a change that was learnt from a peer."""
        self.last_change = max(self.last_change, version)
        if version > self.version:
            self.version = version
            self._needs_all = False

    async def run(self) -> None:
        """Follow the topic until cancelled."""
        while True:
            try:
                await self._step()
            except interfaces.HistoryLost:
                LOG.info("followers: history lost", topic=self._topic.value)
                self._needs_all = True
            except interfaces.StoreUnavailable as error:
                await self._note_lost(error)

    async def _step(self) -> None:
        is_full = self._needs_all
        self.called_ms = self._clock.now_ms()
        try:
            changes = await self._call(is_full)
        finally:
            self.called_ms = None
        self._note_reached()
        self._store_ahead_ms = changes.store_ms - self._clock.now_ms()
        if changes.version < self.version:
            return  # a peer has told more meanwhile
        self.version = changes.version
        self.last_change = max(self.last_change, changes.last_change)
        self._needs_all = False
        self._sink(changes, is_full)
        if self._period_ms():
            await self._clock.sleep_ms(self._period_ms())

    async def _call(self, is_full: bool) -> interfaces.Changes:
        if is_full:
            return await self._store.read_all(self._topic)
        return await self._store.follow(
            self._topic, self.version, FEED_WAIT_MS
        )

    def is_silent(self, patience_ms: int) -> bool:
        """Tell whether the store has not answered for so long.

        A call that waits for a change is silent too; it is of interest only
        when a peer has heard of one.
        """
        if self.called_ms is None:
            return not self.is_reached
        return self._clock.now_ms() - self.called_ms >= patience_ms

    def _note_reached(self) -> None:
        if self.is_reached:
            return
        self.is_reached = True
        self.back_ms = self._clock.now_ms()
        self._pause_ms = FIRST_PAUSE_MS
        LOG.info(
            "followers: store reached",
            topic=self._topic.value,
            version=self.version,
        )

    async def _note_lost(self, error: Exception) -> None:
        if self.is_reached:
            LOG.warning(
                "followers: store lost",
                topic=self._topic.value,
                version=self.version,
                error=str(error),
            )
        self.is_reached = False
        await self._clock.sleep_ms(self._pause_ms * random.uniform(0.5, 1))
        self._pause_ms = min(MAX_PAUSE_MS, self._pause_ms * 2)
