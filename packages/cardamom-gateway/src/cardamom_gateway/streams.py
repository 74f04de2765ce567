"""Splits a byte stream of server-sent events at event boundaries."""

EVENT_END = b"\n\n"
ID_FIELD = b"id:"


class EventBuffer:
    """Releases only complete events and stores the id of the last one.

    ``last_event`` is that id; before the first event with an id, it is the
    value that was given at the start.
    """

    def __init__(self, last_event: str) -> None:
        self.last_event = last_event
        self._incomplete = b""

    def feed(self, data: bytes) -> bytes:
        """Add data and return the bytes of the events now complete."""
        buffered = self._incomplete + data
        end = buffered.rfind(EVENT_END)
        if end < 0:
            self._incomplete = buffered
            return b""
        complete, self._incomplete = buffered[: end + 2], buffered[end + 2 :]
        self._store_last_id(complete)
        return complete

    @property
    def incomplete(self) -> bytes:
        """Return the bytes after the last complete event."""
        return self._incomplete

    def drop_incomplete(self) -> None:
        """Drop the incomplete event of an answer that broke off."""
        self._incomplete = b""

    def _store_last_id(self, complete: bytes) -> None:
        for line in reversed(complete.split(b"\n")):
            if line.startswith(ID_FIELD):
                event_id = line[len(ID_FIELD) :].strip()
                self.last_event = event_id.decode("latin-1")
                return
