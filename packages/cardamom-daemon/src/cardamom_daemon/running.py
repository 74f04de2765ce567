"""The requests that run now, so that they can be ended for a reason."""

import asyncio
import dataclasses

from aiohttp import web

from cardamom_daemon import fleet as fleets
from cardamom_kernel import clocks
from cardamom_kernel import ids
from cardamom_kernel import outcomes

STREAM_GRACE_MS = 2_000
WATCH_MS = 250


@dataclasses.dataclass(eq=False)
class Running:
    """One keyed request; ``ended_by`` tells why it was cancelled.

    ``was_sent`` is set before the first byte goes to a target, ``out`` when
    a stream to the caller has begun.
    """

    request: ids.RequestId
    key: ids.KeyId
    task: asyncio.Task[object]
    ended_by: outcomes.Refusal | None = None
    was_sent: bool = False
    out: web.StreamResponse | None = None

    def end(self, refusal: outcomes.Refusal) -> None:
        """Cancel the request for a reason."""
        if self.ended_by is None:
            self.ended_by = refusal
            self.task.cancel()


class RunningRequests:
    """All keyed requests of this instance."""

    def __init__(self, fleet: fleets.Fleet) -> None:
        self._fleet = fleet
        self._running: set[Running] = set()
        self._stale_since_ms: int = clocks.FOREVER_MS
        fleet.listen_withdrawals(self._withdrawn)

    def __len__(self) -> int:
        return len(self._running)

    def add(self, request: ids.RequestId, key: ids.KeyId) -> Running:
        """Count the calling task as a running request."""
        task = asyncio.current_task()
        assert task is not None
        running = Running(request, key, task)
        self._running.add(running)
        return running

    def remove(self, running: Running) -> None:
        """Count a request as ended."""
        self._running.discard(running)

    async def watch(self) -> None:
        """End keyed requests when this instance has not been fresh for the
        grace period, since their keys may have been withdrawn unheard.
        """
        now_ms = self._fleet.clock.now_ms()
        if self._fleet.is_fresh():
            self._stale_since_ms = clocks.FOREVER_MS
            return
        self._stale_since_ms = min(self._stale_since_ms, now_ms)
        if now_ms - self._stale_since_ms < STREAM_GRACE_MS:
            return
        for running in list(self._running):
            running.end(
                outcomes.Refusal(
                    outcomes.Code.NOT_FRESH,
                    "this instance lost contact with the others; the answer "
                    "is cut short",
                    outcomes.Step.FRESHNESS,
                    not_run=False,
                )
            )

    def _withdrawn(self, keys: list[str]) -> None:
        for running in list(self._running):
            if running.key in keys:
                running.end(withdrawn_refusal(not_run=False))


def withdrawn_refusal(not_run: bool) -> outcomes.Refusal:
    """Return the refusal of a request whose key is withdrawn."""
    return outcomes.Refusal(
        outcomes.Code.KEY_WITHDRAWN,
        "the key has been withdrawn; ask your operator for another",
        outcomes.Step.AUTHENTICATE,
        not_run=not_run,
    )


def not_run(refusal: outcomes.Refusal) -> outcomes.Refusal:
    """Return a refusal of a request of which no byte was sent."""
    return dataclasses.replace(refusal, not_run=True)
