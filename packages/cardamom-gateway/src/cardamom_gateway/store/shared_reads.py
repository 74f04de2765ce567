"""Reads that several callers share, each of whom needs a current result."""

import asyncio
import typing

Result = typing.TypeVar("Result")


class SharedRead(typing.Generic[Result]):
    """Runs one read at a time; a call gets one that began after it.

    The number of reads thus doesn't grow with that of the callers.
    """

    def __init__(
        self, read: typing.Callable[[], typing.Awaitable[Result]]
    ) -> None:
        self._read = read
        self._running: asyncio.Task[Result] | None = None
        self._next: asyncio.Task[Result] | None = None

    async def get(self) -> Result:
        """Return the result of a read that begins after this call."""
        if self._next is None:
            self._next = asyncio.create_task(self._read_after(self._running))
        return await asyncio.shield(self._next)

    async def _read_after(
        self, previous: asyncio.Task[Result] | None
    ) -> Result:
        if previous is not None and not previous.done():
            await asyncio.wait({previous})
        self._running, self._next = self._next, None
        return await self._read()
