"""Splitting a stream of server-sent events into whole events."""

EVENT_END = b"\n\n"
END_MARK = b"data: [DONE]"
MAX_EVENT_BYTES = 4 << 20


class EventTooLarge(ValueError):
    """Raised when an event does not end within MAX_EVENT_BYTES."""


class EventSplitter:
    """Collects bytes and gives out only whole events.

    ``events`` counts the events passed on, without the end mark.
    """

    def __init__(self) -> None:
        self._rest = b""
        self.events = 0
        self.is_ended = False

    def feed(self, data: bytes) -> bytes:
        """Add bytes and return the whole events among them.

        Raises EventTooLarge.
        """
        joined = self._rest + data if self._rest else data
        cut = joined.rfind(EVENT_END)
        if cut < 0:
            self._rest = joined
            if len(joined) > MAX_EVENT_BYTES:
                raise EventTooLarge("an event of the stream is too large")
            return b""
        cut += len(EVENT_END)
        whole, self._rest = joined[:cut], joined[cut:]
        self.events += whole.count(EVENT_END)
        if END_MARK in whole:
            self.is_ended = True
            self.events -= 1
        return whole

    def restart(self) -> None:
        """Drop a partial event, as before a resumed stream."""
        self._rest = b""
