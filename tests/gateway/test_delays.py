"""Tests of the measured delays of the event loop and of messages."""

import asyncio
import typing

from cardamom_gateway.fleet import delays
from cardamom_gateway import metrics
from cardamom_kernel import clocks


class TestQueueingDelay:
    """The variation of the one-way delay from one peer."""

    def test_origin_of_the_senders_clock_does_not_matter(self) -> None:
        """Clocks of two machines have different origins."""
        delay = delays.QueueingDelay()
        assert delay.note(sent_ms=500_000, received_ms=1_003) == 0
        assert delay.note(sent_ms=500_100, received_ms=1_143) == 40
        assert delay.note(sent_ms=500_200, received_ms=1_203) == 0

    def test_drift_of_a_clock_is_not_reported_for_long(self) -> None:
        """A lowest delay of the past would turn drift into a delay."""
        delay = delays.QueueingDelay()
        delay.note(sent_ms=0, received_ms=0)
        drifted_ms = 50
        for second in range(1, 130):
            last_ms = delay.note(second * 1_000 - drifted_ms, second * 1_000)
        assert last_ms == 0


class TestDelayMonitor:
    """The line about delays."""

    def test_line_names_the_largest_field_and_restarts_its_counts(
        self, log_entries: list[typing.MutableMapping[str, typing.Any]]
    ) -> None:
        """Traffic of one field could fill the link without a trace."""
        clock = clocks.SteppedClock()
        monitor = delays.DelayMonitor(clock, metrics.Metrics())
        monitor.note_sent(16, 100, "l")
        monitor.note_sent(16, 9_000, "s")
        monitor.note_received("a@1", 9_000, 70_000)
        for _ in range(2):
            clock.step(delays.REPORT_PERIOD_MS)
            monitor.report_if_due()
        first, second = log_entries
        assert first["sent_bytes"] == 16 * 9_100
        assert (first["largest_bytes"], first["largest_field"]) == (9_000, "s")
        assert first["received_bytes"] == 9_000
        assert second["sent_bytes"] == second["received_bytes"] == 0

    def test_lag_is_known_before_it_has_been_measured(self) -> None:
        """Guards against first events, read late, that look slow.

        They may be read before the measurement resumes.
        """
        clock = clocks.SteppedClock(10_000)
        monitor = delays.DelayMonitor(clock, metrics.Metrics())
        assert not monitor.has_lagged(0)

        async def scenario() -> None:
            task = asyncio.create_task(monitor.run())
            await asyncio.sleep(0)
            clock.step(delays.LAG_CHECK_PERIOD_MS)
            assert not monitor.has_lagged(10_000)
            clock.step(delays.MIN_LAG_MS)
            assert monitor.has_lagged(10_100)
            await asyncio.sleep(2 * delays.LAG_CHECK_PERIOD_MS / 1_000)
            assert monitor.has_lagged(10_150)
            assert not monitor.has_lagged(10_151)
            task.cancel()

        asyncio.run(scenario())
