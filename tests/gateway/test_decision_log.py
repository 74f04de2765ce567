"""Tests of the bounded, non-blocking log on standard output."""

import json
import os

import pytest
import structlog

from cardamom_gateway import decision_log
from cardamom_kernel import clocks


class TestLineBuffer:
    """The buffer in front of standard output."""

    def test_stalled_reader_does_not_block(self) -> None:
        """A full pipe must not block; excess lines are dropped and counted."""
        reader, writer = os.pipe()
        os.set_blocking(writer, False)
        try:
            lines = decision_log.LineBuffer(writer)
            for _ in range(30):
                for _ in range(decision_log.MAX_BUFFERED_LINES):
                    lines.msg("x" * 100)
                lines.flush()  # would block forever on a full pipe
            assert lines.dropped > 0
        finally:
            os.close(reader)
            os.close(writer)

    def test_lines_are_complete_after_a_stall(self) -> None:
        """A partly written line must continue where it was interrupted."""
        reader, writer = os.pipe()
        os.set_blocking(writer, False)
        os.set_blocking(reader, False)
        try:
            lines = decision_log.LineBuffer(writer)
            sent = [f"{number:06d}" + "y" * 200 for number in range(1_000)]
            for line in sent:
                lines.msg(line)
            received = b""
            for _ in range(100):
                lines.flush()
                try:
                    received += os.read(reader, 1 << 20)
                except BlockingIOError:
                    break
            assert received.decode().splitlines() == sent
        finally:
            os.close(reader)
            os.close(writer)

    def test_closed_reader_is_not_an_error(self) -> None:
        """A process must keep running without its log."""
        reader, writer = os.pipe()
        os.close(reader)
        lines = decision_log.LineBuffer(writer)
        lines.msg("lost")
        lines.flush()
        os.close(writer)
        assert lines.dropped == 1


class TestRateLimit:
    """The rate limit for lines of one event."""

    def test_frequent_event_is_limited_and_counted(self) -> None:
        """Other events pass; the next line has the count of drops."""
        clock = clocks.SteppedClock(5_000)
        limit = decision_log.RateLimit(clock, 2)
        for _ in range(2):
            assert limit(None, "info", {"event": "busy"})
        for _ in range(3):
            with pytest.raises(structlog.DropEvent):
                limit(None, "info", {"event": "busy"})
        assert limit(None, "info", {"event": "calm"}) == {"event": "calm"}
        clock.step(1_000)
        line = limit(None, "info", {"event": "busy"})
        assert line["dropped_before"] == 3

    def test_lines_are_json(self) -> None:
        """Each line is JSON with its level and fields."""
        reader, writer = os.pipe()
        before = structlog.get_config()
        try:
            lines = decision_log.configure(
                clocks.SteppedClock(), "i", decision_log.LineBuffer(writer)
            )
            structlog.get_logger("x").info("part: said", id="a1", left=3)
            lines.flush()
            line = json.loads(os.read(reader, 10_000))
            assert (line["event"], line["id"]) == ("part: said", "a1")
            assert line["level"] == "info"
        finally:
            structlog.configure(**before)
            os.close(reader)
            os.close(writer)
