"""Supervision of background tasks."""

import asyncio
import typing

import structlog

from cardamom_kernel import clocks

LOG = structlog.get_logger("cardamom.tasks")

RESTART_DELAY_MS = 200

Work = typing.Callable[[], typing.Awaitable[None]]


class TaskGroup:
    """Background tasks; named ones are restarted after an error."""

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._by_name: dict[str, asyncio.Task[None]] = {}
        self._unnamed_tasks: set[asyncio.Task[typing.Any]] = set()

    def start(self, name: str, work: Work) -> None:
        """Run ``work`` under a name until it returns or is stopped.

        An error is logged, and ``work`` is called again after
        ``RESTART_DELAY_MS``.  Does nothing if a task with the name is running.
        """
        if name in self._by_name and not self._by_name[name].done():
            return
        task = asyncio.create_task(self._supervise(name, work), name=name)
        self._by_name[name] = task

    def start_periodic(self, name: str, period_ms: int, work: Work) -> None:
        """Run ``work`` repeatedly, with ``period_ms`` between two runs."""

        async def repeat() -> None:
            while True:
                await work()
                await self._clock.sleep_ms(period_ms)

        self.start(name, repeat)

    def run_in_background(
        self,
        work: typing.Coroutine[typing.Any, typing.Any, typing.Any],
    ) -> asyncio.Task[typing.Any]:
        """Run a coroutine once in the background and return its task.

        An error is logged, and the coroutine is not restarted.
        """
        task = asyncio.create_task(work)
        self._unnamed_tasks.add(task)
        task.add_done_callback(self._finish_unnamed)
        return task

    async def stop(self, name: str) -> None:
        """Cancel a named task, if there is one, and wait for its end."""
        task = self._by_name.pop(name, None)
        if task is not None:
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)

    async def stop_all(self) -> None:
        """Cancel every task and wait for all of them."""
        running = [*self._by_name.values(), *self._unnamed_tasks]
        for task in running:
            task.cancel()
        await asyncio.gather(*running, return_exceptions=True)
        self._by_name.clear()

    async def _supervise(self, name: str, work: Work) -> None:
        while True:
            try:
                await work()
                return
            except asyncio.CancelledError:
                raise
            except Exception as error:
                LOG.exception("tasks: failed", task=name, error=repr(error))
                await self._clock.sleep_ms(RESTART_DELAY_MS)

    def _finish_unnamed(self, task: asyncio.Task[typing.Any]) -> None:
        self._unnamed_tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            LOG.error("tasks: failed", error=repr(task.exception()))
