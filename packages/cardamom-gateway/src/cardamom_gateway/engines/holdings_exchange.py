"""Exchange of what engines hold between the lease holder and the others."""

import asyncio
import random
import typing

import structlog

from cardamom_kernel import clocks
from cardamom_kernel import ids

from cardamom_gateway.engines import holdings as holdings_module
from cardamom_gateway.fleet import peers
from cardamom_gateway import state as state_module

LOG = structlog.get_logger("cardamom.gateway.holdings")

MS_PER_S = 1000
# Requests wait for a model, but an adapter is missed only by later ones.
MODEL_DELAY_MS = 10
ADAPTER_DELAY_MS = 250
MIN_SEND_GAP_MS = 50
CONFIRM_PERIOD_MS = 1_000  # peers ignore holdings after five of them
# Time in which a message that was overtaken by a later one still arrives.
GAP_GRACE_MS = 200
MAX_SNAPSHOT_JITTER_MS = 200  # all instances may have missed a message


class HoldingsExchange:
    """Sends holdings while this instance has the lease, and receives them.

    ``term`` returns the lease's fencing number, 0 without the lease;
    ``holdings`` returns what engines hold now.
    """

    def __init__(
        self,
        state: state_module.GatewayState,
        link: peers.PeerLink,
        base_update: typing.Callable[[], peers.StateUpdate],
        term: typing.Callable[[], int],
        holdings: typing.Callable[[], holdings_module.HoldingsByTarget],
    ) -> None:
        self._targets = state.targets
        self._clock = state.clock
        self._link = link
        self._base_update = base_update
        self._term = term
        self._current_holdings = holdings
        self._log = holdings_module.HoldingsLog()
        self._view = holdings_module.HoldingsView()
        self._announced = self._log.position
        self._sent_ms: int = clocks.NEVER_MS
        self._send_due_ms: int = clocks.FOREVER_MS
        self._timer: asyncio.TimerHandle | None = None
        self._gap_sender: ids.InstanceId | None = None
        self._has_gap = asyncio.Event()

    @property
    def announced(self) -> holdings_module.Position | None:
        """Return the number of changes sent, None without the lease."""
        term = self._term()
        if not term:
            return None
        if self._announced.term != term:
            return holdings_module.Position(term, 0)
        return self._announced

    def publish(self) -> None:
        """Record changed holdings here, and send them to all peers soon."""
        term = self._term()
        if not term:
            return
        self._log.begin_term(term)
        changes = self._log.update(self._current_holdings())
        if not changes:
            return
        self._confirm(self._log.holdings_by_target)
        is_of_models = any(change.is_of_models for change in changes)
        self._schedule(MODEL_DELAY_MS if is_of_models else ADAPTER_DELAY_MS)

    def _schedule(self, delay_ms: int) -> None:
        due_ms = max(
            self._clock.now_ms() + delay_ms, self._sent_ms + MIN_SEND_GAP_MS
        )
        if due_ms >= self._send_due_ms:
            return
        self._cancel_timer()
        self._send_due_ms = due_ms
        self._timer = asyncio.get_running_loop().call_later(
            (due_ms - self._clock.now_ms()) / MS_PER_S, self.send
        )

    def _cancel_timer(self) -> None:
        self._send_due_ms = clocks.FOREVER_MS
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def send(self) -> None:
        """Send the latest changes to all peers now, while holding the lease.

        Without changes, the message confirms what peers know.
        """
        self._cancel_timer()
        if not self._term():
            return
        self._sent_ms = self._clock.now_ms()
        self._announced = self._log.position
        update = self._base_update()
        update["h"] = [change.encode() for change in self._log.next_changes()]
        self._link.broadcast(update)
        if self._log.has_unsent:
            self._schedule(ADAPTER_DELAY_MS)
        self._confirm(self._log.holdings_by_target)

    async def confirm_periodically(self) -> None:
        """Confirm unchanged holdings to all peers until cancelled."""
        while True:
            await self._clock.sleep_ms(CONFIRM_PERIOD_MS)
            if self._clock.now_ms() - self._sent_ms >= CONFIRM_PERIOD_MS:
                self.publish()
                self.send()

    def receive(
        self, sender: ids.InstanceId, update: peers.StateUpdate
    ) -> None:
        """Apply the part of a peer's message that is about holdings.

        Raises IndexError, TypeError or ValueError if it is malformed.
        """
        if "o" not in update or self._term():
            return
        term, number = update["o"]
        self._view.receive(
            holdings_module.Position(term, number),
            [holdings_module.Change.decode(c) for c in update.get("h", ())],
        )
        if self._view.is_behind:
            self._gap_sender = sender
            self._has_gap.set()
            return
        self._confirm(self._view.holdings_by_target)

    def _confirm(
        self, holdings_by_target: holdings_module.HoldingsByTarget
    ) -> None:
        for target_id, current in holdings_by_target.items():
            self._targets.note_holdings(target_id, current)

    def snapshot(self) -> dict[str, typing.Any]:
        """Return the holder's knowledge, as JSON fields."""
        return {
            "o": [self._log.position.term, self._log.position.number],
            "engines": {
                target_id: current.encode()
                for target_id, current in self._log.holdings_by_target.items()
            },
        }

    async def close_gaps(
        self,
        fetch: typing.Callable[
            [ids.InstanceId], typing.Awaitable[dict[str, typing.Any] | None]
        ],
    ) -> None:
        """Request a snapshot when changes are missing, until cancelled.

        ``fetch`` returns an instance's snapshot, None without an answer.
        """
        while True:
            await self._has_gap.wait()
            self._has_gap.clear()
            await self._clock.sleep_ms(
                GAP_GRACE_MS + random.uniform(0, MAX_SNAPSHOT_JITTER_MS)
            )
            if not self._view.is_behind or self._gap_sender is None:
                continue
            fields = await fetch(self._gap_sender)
            if fields is not None:
                self._adopt(fields, self._gap_sender)

    def _adopt(
        self, fields: dict[str, typing.Any], sender: ids.InstanceId
    ) -> None:
        term, number = fields["o"]
        self._view.adopt(
            holdings_module.Position(term, number),
            {
                ids.TargetId(target_id): holdings_module.Holdings.decode(entry)
                for target_id, entry in fields["engines"].items()
            },
        )
        LOG.info("holdings: snapshot", peer=sender, term=term, changes=number)
        self._confirm(self._view.holdings_by_target)
