"""Splits a byte stream of server-sent events at event boundaries."""

# A blank line after a line that ends with LF or CRLF.
EVENT_ENDS = (b"\n\n", b"\n\r\n")
ID_FIELD = b"id:"
LINE_END_BYTES = b"\r\n"
# Larger events of targets could fill an instance's memory.
MAX_EVENT_BYTES = 4 << 20


class EventTooLarge(ValueError):
    """Raised when an event does not end within MAX_EVENT_BYTES."""


class EventBuffer:
    """Releases only complete events and stores the id of the last one.

    ``last_event`` is that id; before the first event with an id, it is the
    value that was given at the start.
    """

    def __init__(self, last_event: str) -> None:
        self.last_event = last_event
        self._incomplete = b""

    def feed(self, data: bytes) -> bytes:
        """Add data and return the bytes of the events now complete.

        Raises EventTooLarge.
        """
        buffered = self._incomplete + data
        end = max(_end_of_last(mark, buffered) for mark in EVENT_ENDS)
        complete, self._incomplete = buffered[:end], buffered[end:]
        if len(self._incomplete) > MAX_EVENT_BYTES:
            raise EventTooLarge(
                f"an event has more than {MAX_EVENT_BYTES} bytes"
            )
        self._store_last_id(complete)
        return complete

    @property
    def incomplete(self) -> bytes:
        """Return the bytes after the last complete event."""
        return self._incomplete

    @property
    def is_inside_event(self) -> bool:
        """Return whether the data so far ends inside an event."""
        return bool(self._incomplete.strip(LINE_END_BYTES))

    def drop_incomplete(self) -> None:
        """Drop the incomplete event of an answer that broke off."""
        self._incomplete = b""

    def _store_last_id(self, complete: bytes) -> None:
        for line in reversed(complete.split(b"\n")):
            if line.startswith(ID_FIELD):
                event_id = line[len(ID_FIELD) :].strip()
                self.last_event = event_id.decode("latin-1")
                return


def _end_of_last(mark: bytes, data: bytes) -> int:
    """Return the position after the last occurrence of a mark, 0 for none."""
    start = data.rfind(mark)
    return 0 if start < 0 else start + len(mark)
