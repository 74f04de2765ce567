"""Structured log lines on standard output that don't block the event loop.

Lines are added to a bounded buffer, which a task flushes.  Lines are dropped
and counted while the reader of standard output stalls, and if an event
exceeds its rate limit; the next line of such an event has the number of
dropped ones.
"""

import asyncio
import collections
import os
import typing

import structlog

from cardamom_kernel import clocks

FLUSH_PERIOD_MS = 200
MAX_BUFFERED_LINES = 4_000  # about 1 MB
# Limit for each event, so that a frequent one cannot fill the log.
MAX_LINES_PER_S_PER_EVENT = 60
STDOUT = 1


class LineBuffer:
    """Buffers lines and writes them without blocking."""

    def __init__(self, descriptor: int = STDOUT) -> None:
        self._descriptor = descriptor
        self._lines: collections.deque[str] = collections.deque()
        self._unwritten = b""
        self.dropped = 0

    def msg(self, line: str) -> None:
        """Add a line, or count it as dropped if the buffer is full."""
        if len(self._lines) >= MAX_BUFFERED_LINES:
            self.dropped += 1
            return
        self._lines.append(line)

    log = debug = info = warning = error = critical = msg

    def flush(self) -> None:
        """Write as many bytes as the descriptor accepts without blocking."""
        if not self._unwritten and self._lines:
            self._unwritten = ("\n".join(self._lines) + "\n").encode()
            self._lines.clear()
        if not self._unwritten:
            return
        try:
            written = os.write(self._descriptor, self._unwritten)
            self._unwritten = self._unwritten[written:]
        except BlockingIOError:
            return  # the reader stalls; the buffer keeps the lines
        except OSError:
            self.dropped += self._unwritten.count(b"\n")
            self._unwritten = b""


class RateLimit:
    """A structlog processor that limits the lines per second of an event."""

    def __init__(self, clock: clocks.Clock, lines_per_s: int) -> None:
        self._clock = clock
        self._lines_per_s = lines_per_s
        self._second = 0
        self._count_by_event: collections.Counter[str] = collections.Counter()
        self._dropped_by_event: collections.Counter[str] = (
            collections.Counter()
        )

    def __call__(
        self,
        logger: object,
        name: str,
        event: typing.MutableMapping[str, typing.Any],
    ) -> typing.MutableMapping[str, typing.Any]:
        """Return an event, with the number of those dropped before it.

        Raises DropEvent above the limit.
        """
        second = self._clock.now_ms() // 1000
        if second != self._second:
            self._second = second
            self._count_by_event.clear()
        event_name = str(event.get("event"))
        self._count_by_event[event_name] += 1
        if self._count_by_event[event_name] > self._lines_per_s:
            self._dropped_by_event[event_name] += 1
            raise structlog.DropEvent
        dropped = self._dropped_by_event.pop(event_name, 0)
        if dropped:
            event["dropped_before"] = dropped
        return event


def configure(
    clock: clocks.Clock, instance: str, buffer: LineBuffer | None = None
) -> LineBuffer:
    """Set structlog up to write into a buffer, and return the buffer."""
    lines = buffer or LineBuffer()
    structlog.configure(
        processors=[
            RateLimit(clock, MAX_LINES_PER_S_PER_EVENT),
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
            structlog.processors.JSONRenderer(),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(20),
        logger_factory=lambda *names: lines,
        cache_logger_on_first_use=False,
    )
    return lines


async def flush_forever(lines: LineBuffer, clock: clocks.Clock) -> None:
    """Flush the buffer periodically, and once more when cancelled."""
    if lines._descriptor == STDOUT:
        os.set_blocking(STDOUT, False)
    try:
        while True:
            lines.flush()
            await clock.sleep_ms(FLUSH_PERIOD_MS)
    except asyncio.CancelledError:
        lines.flush()
        raise
