"""Bounds the bytes of all messages that a process holds at once.

Handles some tens of messages without an end that arrive at the same time.
Each may grow up to a limit of its own; if all of them together pass the bound,
the largest ones are given up, so that the small ones beside them go on.
"""

import contextlib
import typing


class TooManyBytes(ValueError):
    """Raised for a message that was given up, as too much is held."""


class Holding:
    """The bytes that are held of one message.

    ``on_evicted`` is called when the message is given up for another one.
    """

    def __init__(
        self, owner: "HeldBytes", on_evicted: typing.Callable[[], None]
    ) -> None:
        self.size_bytes = 0
        self.on_evicted = on_evicted
        self._owner = owner

    def resize(self, size_bytes: int) -> None:
        """Set how many bytes are held now.

        Raises TooManyBytes if the message was given up, now or before.
        """
        self._owner._resize(self, size_bytes)


class HeldBytes:
    """All messages that are held; ``total_bytes`` is their size."""

    def __init__(self, max_bytes: int) -> None:
        self.total_bytes = 0
        self._max_bytes = max_bytes
        self._holdings: set[Holding] = set()

    @contextlib.contextmanager
    def hold(
        self, on_evicted: typing.Callable[[], None]
    ) -> typing.Iterator[Holding]:
        """Count a message until the end of the context."""
        holding = Holding(self, on_evicted)
        self._holdings.add(holding)
        try:
            yield holding
        finally:
            self._remove(holding)

    def _resize(self, holding: Holding, size_bytes: int) -> None:
        if holding in self._holdings:
            self.total_bytes += size_bytes - holding.size_bytes
            holding.size_bytes = size_bytes
            self._evict_largest(holding)
        if holding not in self._holdings:
            raise TooManyBytes(
                f"messages have more than {self._max_bytes} bytes together, "
                "and this is one of the largest"
            )

    def _evict_largest(self, growing: Holding) -> None:
        while self.total_bytes > self._max_bytes:
            largest = max(self._holdings, key=lambda h: h.size_bytes)
            self._remove(largest)
            if largest is not growing:
                largest.on_evicted()

    def _remove(self, holding: Holding) -> None:
        if holding in self._holdings:
            self._holdings.remove(holding)
            self.total_bytes -= holding.size_bytes
