"""Splitting a stream of server-sent events into complete events."""

EVENT_SEPARATOR = b"\n\n"
END_EVENT = b"data: [DONE]"
MAX_EVENT_BYTES = 4 << 20


class EventTooLarge(ValueError):
    """Raised when an event does not end within MAX_EVENT_BYTES."""


class EventSplitter:
    """Buffers bytes and returns only complete events.

    ``events`` counts the events returned, without the end event.
    """

    def __init__(self) -> None:
        self._partial = b""
        self.events = 0
        self.is_ended = False

    def feed(self, data: bytes) -> bytes:
        """Add bytes and return the events that are complete now.

        Raises EventTooLarge.
        """
        buffered = self._partial + data if self._partial else data
        end = buffered.rfind(EVENT_SEPARATOR)
        if end < 0:
            self._partial = buffered
            if len(buffered) > MAX_EVENT_BYTES:
                raise EventTooLarge("an event of the stream is too large")
            return b""
        end += len(EVENT_SEPARATOR)
        complete, self._partial = buffered[:end], buffered[end:]
        self.events += complete.count(EVENT_SEPARATOR)
        if END_EVENT in complete:
            self.is_ended = True
            self.events -= 1
        return complete

    def discard_partial(self) -> None:
        """Drop an incomplete event, before a stream is resumed."""
        self._partial = b""
