"""Tests of the buffer that releases only complete events."""

import pytest

from cardamom_gateway.requests import streams

EVENTS = b"id: 1\ndata: one\n\nid: 2\ndata: two\n\n"


class TestEventBuffer:
    """Which bytes are released, and where a stream stands."""

    @pytest.mark.parametrize("line_end", [b"\n", b"\r\n"])
    @pytest.mark.parametrize("size", [1, 3, 100])
    def test_events_are_released_whole(
        self, line_end: bytes, size: int
    ) -> None:
        """Events with CRLF were held back until their stream ended."""
        data = EVENTS.replace(b"\n", line_end)
        buffer = streams.EventBuffer("")
        released = [
            buffer.feed(data[start : start + size])
            for start in range(0, len(data), size)
        ]
        assert b"".join(released) == data
        assert not buffer.is_inside_event
        assert buffer.last_event == "2"

    @pytest.mark.parametrize("end", range(1, len(EVENTS)))
    def test_end_inside_an_event_is_recognized(self, end: int) -> None:
        """A stream that broke off inside an event was taken for complete."""
        buffer = streams.EventBuffer("")
        buffer.feed(EVENTS[:end])
        assert buffer.is_inside_event == (not EVENTS[:end].endswith(b"\n\n"))
