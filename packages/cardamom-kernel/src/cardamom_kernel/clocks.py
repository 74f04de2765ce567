"""Monotonic clocks in milliseconds, with a manual clock for tests."""

import abc
import asyncio
import heapq
import itertools
import time
import typing

Ms = typing.NewType("Ms", int)

NEVER_MS = Ms(-(1 << 60))
FOREVER_MS = Ms(1 << 60)
READY_TASK_LOOP_PASSES = 20


class Clock(abc.ABC):
    """A monotonic clock.

    Only differences between readings of one clock have a meaning; readings
    of two processes cannot be compared.
    """

    @abc.abstractmethod
    def now_ms(self) -> Ms:
        """Return the current reading in milliseconds."""

    @abc.abstractmethod
    async def sleep_ms(self, duration_ms: float) -> None:
        """Suspend the calling task for at least the given milliseconds."""


class MonotonicClock(Clock):
    """The operating system's clock since boot (CLOCK_BOOTTIME).

    Unlike CLOCK_MONOTONIC it includes the time that a machine is suspended,
    during which other instances may have taken over leases.
    """

    def now_ms(self) -> Ms:
        """Return the time since boot in whole milliseconds."""
        return Ms(time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1_000_000)

    async def sleep_ms(self, duration_ms: float) -> None:
        """Sleep on the event loop."""
        await asyncio.sleep(duration_ms / 1000)


class SteppedClock(Clock):
    """A clock that moves only by calls of ``step`` and ``advance``."""

    def __init__(self, start_ms: int = 0) -> None:
        self._now_ms = start_ms
        self._sequence = itertools.count()
        self._sleepers: list[tuple[float, int, asyncio.Future[None]]] = []

    def now_ms(self) -> Ms:
        """Return the stepped reading in milliseconds."""
        return Ms(self._now_ms)

    async def sleep_ms(self, duration_ms: float) -> None:
        """Wait until ``advance`` reaches the end of the duration."""
        future: asyncio.Future[None] = (
            asyncio.get_running_loop().create_future()
        )
        due_ms = self._now_ms + max(0.0, duration_ms)
        heapq.heappush(self._sleepers, (due_ms, next(self._sequence), future))
        await future

    def step(self, duration_ms: int) -> None:
        """Move the reading forward without waking any sleeper."""
        self._now_ms += duration_ms

    async def advance(self, duration_ms: int) -> None:
        """Move time forward and wake each sleeper when it becomes due."""
        end_ms = self._now_ms + duration_ms
        await run_ready_tasks()
        while self._sleepers and self._sleepers[0][0] <= end_ms:
            due_ms, _, future = heapq.heappop(self._sleepers)
            self._now_ms = max(self._now_ms, int(due_ms))
            if not future.done():
                future.set_result(None)
            await run_ready_tasks()
        self._now_ms = end_ms


async def run_ready_tasks() -> None:
    """Let ready asyncio tasks run without moving any clock."""
    for _ in range(READY_TASK_LOOP_PASSES):
        await asyncio.sleep(0)
