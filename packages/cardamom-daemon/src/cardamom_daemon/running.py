"""Running requests, which can be cancelled with a refusal."""

import asyncio
import dataclasses

from aiohttp import web

from cardamom_daemon import fleet as fleets
from cardamom_kernel import clocks
from cardamom_kernel import ids
from cardamom_kernel import outcomes

STALE_GRACE_MS = 2_000
CHECK_INTERVAL_MS = 250


@dataclasses.dataclass(eq=False)
class RunningRequest:
    """A running request with a key.

    ``cancel_reason`` is the refusal with which it was cancelled, if it was.
    ``was_sent`` is set before the first byte goes to a target,
    ``caller_stream`` when a stream to the caller begins.
    """

    request_id: ids.RequestId
    key_id: ids.KeyId
    task: asyncio.Task[object]
    cancel_reason: outcomes.Refusal | None = None
    was_sent: bool = False
    caller_stream: web.StreamResponse | None = None

    def cancel(self, refusal: outcomes.Refusal) -> None:
        """Cancel the request; its caller receives the refusal."""
        if self.cancel_reason is None:
            self.cancel_reason = refusal
            self.task.cancel()


class RunningRequests:
    """The running requests with a key at this instance."""

    def __init__(self, fleet: fleets.Fleet) -> None:
        self._fleet = fleet
        self._running: set[RunningRequest] = set()
        self._stale_since_ms: int = clocks.FOREVER_MS
        fleet.listen_withdrawals(self._cancel_withdrawn)

    def __len__(self) -> int:
        return len(self._running)

    def add(
        self, request_id: ids.RequestId, key_id: ids.KeyId
    ) -> RunningRequest:
        """Register the current task as a running request."""
        task = asyncio.current_task()
        assert task is not None
        running = RunningRequest(request_id, key_id, task)
        self._running.add(running)
        return running

    def remove(self, running: RunningRequest) -> None:
        """Remove a request that has ended."""
        self._running.discard(running)

    async def cancel_if_stale(self) -> None:
        """Cancel all requests once this instance was stale for STALE_GRACE_MS.

        Their keys may have been withdrawn without a message arriving here.
        """
        now_ms = self._fleet.clock.now_ms()
        if self._fleet.is_fresh():
            self._stale_since_ms = clocks.FOREVER_MS
            return
        self._stale_since_ms = min(self._stale_since_ms, now_ms)
        if now_ms - self._stale_since_ms < STALE_GRACE_MS:
            return
        for running in list(self._running):
            running.cancel(
                outcomes.Refusal(
                    outcomes.Code.NOT_FRESH,
                    "this instance lost contact with other instances; the "
                    "answer is cut short",
                    outcomes.Step.FRESHNESS,
                    not_run=False,
                )
            )

    def _cancel_withdrawn(self, key_ids: list[str]) -> None:
        for running in list(self._running):
            if running.key_id in key_ids:
                running.cancel(withdrawn_refusal(not_run=False))


def withdrawn_refusal(not_run: bool) -> outcomes.Refusal:
    """Return the refusal of a request whose key is withdrawn."""
    return outcomes.Refusal(
        outcomes.Code.KEY_WITHDRAWN,
        "the key has been withdrawn; ask your operator for another",
        outcomes.Step.AUTHENTICATE,
        not_run=not_run,
    )


def as_not_run(refusal: outcomes.Refusal) -> outcomes.Refusal:
    """Return the refusal for a request of which no byte was sent."""
    return dataclasses.replace(refusal, not_run=True)
