"""Delays of the event loop and of messages from peers.

A request can be late because the event loop is busy, because the network link
of the instance is full, or because a peer is slow.  The measurements here tell
these apart.
"""

import asyncio
import dataclasses

import structlog

from cardamom_kernel import clocks

from cardamom_gateway import metrics as metrics_module

LOG = structlog.get_logger("cardamom.gateway")

LAG_CHECK_PERIOD_MS = 100
MS_PER_S = 1000
# A shorter delay than this is not reported before the next regular report.
REPORTED_DELAY_MS = 200
# Below it, the loop's lag doesn't matter for the times of answers.
MIN_LAG_MS = 50
REPORT_PERIOD_MS = 5_000
DELAYED_REPORT_PERIOD_MS = 1_000
# Clocks of two machines drift apart by a few ms in this time.
BASE_WINDOW_MS = 60_000


class QueueingDelay:
    """The queueing delay of one peer's messages, as in LEDBAT (RFC 6817).

    The clocks of two machines have different origins, so only the variation
    of the one-way delay is known.  The lowest one of the last one to two
    windows of ``BASE_WINDOW_MS`` counts as a delay without queueing.
    """

    def __init__(self) -> None:
        self.noted_ms: int = clocks.NEVER_MS
        self._window_start_ms: int = clocks.NEVER_MS
        self._lowest_ms: int = clocks.FOREVER_MS
        self._previous_lowest_ms: int = clocks.FOREVER_MS

    def note(self, sent_ms: int, received_ms: int) -> int:
        """Return a message's queueing delay in ms.

        ``sent_ms`` is by the sender's clock, ``received_ms`` by the receiver's
        clock.
        """
        self.noted_ms = received_ms
        if received_ms - self._window_start_ms >= BASE_WINDOW_MS:
            self._window_start_ms = received_ms
            self._previous_lowest_ms = self._lowest_ms
            self._lowest_ms = clocks.FOREVER_MS
        one_way_ms = received_ms - sent_ms
        self._lowest_ms = min(self._lowest_ms, one_way_ms)
        return one_way_ms - min(self._lowest_ms, self._previous_lowest_ms)


@dataclasses.dataclass
class Traffic:
    """State updates sent and received since the last report."""

    sent_messages: int = 0
    sent_bytes: int = 0
    received_messages: int = 0
    received_bytes: int = 0
    largest_bytes: int = 0
    largest_field: str = ""
    delay_ms: int = 0


class DelayMonitor:
    """Measures delays, and reports them with the traffic between instances.

    There is a report each ``REPORT_PERIOD_MS``, and more often while there
    are delays.
    """

    def __init__(
        self, clock: clocks.Clock, metrics: metrics_module.Metrics
    ) -> None:
        self._clock = clock
        self._metrics = metrics
        self._by_peer: dict[str, QueueingDelay] = {}
        self._traffic = Traffic()
        self._loop_lag_ms = 0
        self._checked_ms: int | None = None
        self._lagged_ms: int = clocks.NEVER_MS
        self._reported_ms: int = clock.now_ms()

    def note_sent(
        self, messages: int, size_bytes: int, largest_field: str
    ) -> None:
        """Count a state update of a size that was sent to several peers.

        ``largest_field`` is the name of its largest field.
        """
        traffic = self._traffic
        traffic.sent_messages += messages
        traffic.sent_bytes += messages * size_bytes
        if size_bytes > traffic.largest_bytes:
            traffic.largest_bytes = size_bytes
            traffic.largest_field = largest_field
        self._metrics.peer_bytes.labels("sent").inc(messages * size_bytes)

    def note_received(
        self, incarnation: str, size_bytes: int, sent_ms: int
    ) -> None:
        """Count a state update that was received from a peer.

        ``sent_ms`` is by the clock of this incarnation of the peer.
        """
        self._traffic.received_messages += 1
        self._traffic.received_bytes += size_bytes
        self._metrics.peer_bytes.labels("received").inc(size_bytes)
        delay = self._by_peer.setdefault(incarnation, QueueingDelay())
        delay_ms = delay.note(sent_ms, self._clock.now_ms())
        self._traffic.delay_ms = max(self._traffic.delay_ms, delay_ms)

    async def run(self) -> None:
        """Measure the event loop's lag and report until cancelled."""
        while True:
            started_ms = self._checked_ms = self._clock.now_ms()
            await asyncio.sleep(LAG_CHECK_PERIOD_MS / MS_PER_S)
            lag_ms = self._clock.now_ms() - started_ms - LAG_CHECK_PERIOD_MS
            self._metrics.loop_lag.observe(max(0, lag_ms) / MS_PER_S)
            self._loop_lag_ms = max(self._loop_lag_ms, lag_ms)
            if lag_ms >= MIN_LAG_MS:
                self._lagged_ms = self._clock.now_ms()
            self.report_if_due()

    def has_lagged(self, since_ms: int) -> bool:
        """Return whether the event loop has been late since a time.

        A loop that resumes now may not have resumed the measurement yet.
        """
        if self._checked_ms is None:
            return False
        overdue_ms = (
            self._clock.now_ms() - self._checked_ms - LAG_CHECK_PERIOD_MS
        )
        return self._lagged_ms >= since_ms or overdue_ms >= MIN_LAG_MS

    def report_if_due(self) -> None:
        """Log the delays and the traffic since the last report, if due."""
        elapsed_ms = self._clock.now_ms() - self._reported_ms
        longest_ms = max(self._loop_lag_ms, self._traffic.delay_ms)
        is_delayed = longest_ms >= REPORTED_DELAY_MS
        period_ms = (
            DELAYED_REPORT_PERIOD_MS if is_delayed else REPORT_PERIOD_MS
        )
        if elapsed_ms < period_ms:
            return
        LOG.info(
            "gateway: delays",
            loop_lag_ms=self._loop_lag_ms,
            peer_delay_ms=self._traffic.delay_ms,
            elapsed_ms=elapsed_ms,
            sent_messages=self._traffic.sent_messages,
            sent_bytes=self._traffic.sent_bytes,
            received_messages=self._traffic.received_messages,
            received_bytes=self._traffic.received_bytes,
            largest_bytes=self._traffic.largest_bytes,
            largest_field=self._traffic.largest_field,
        )
        self._traffic = Traffic()
        self._loop_lag_ms = 0
        self._reported_ms = self._clock.now_ms()
        self._drop_silent_peers()

    def _drop_silent_peers(self) -> None:
        oldest_ms = self._clock.now_ms() - BASE_WINDOW_MS
        self._by_peer = {
            incarnation: delay
            for incarnation, delay in self._by_peer.items()
            if delay.noted_ms >= oldest_ms
        }
