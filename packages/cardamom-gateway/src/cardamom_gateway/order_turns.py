"""When the holder of the lease may send orders.

Two holders must not take turns at an engine within the time that the
operators set.  A successor therefore waits after a lease that ended, and
after a release for each engine from its last order on.
"""

import typing

import structlog

from cardamom_kernel import clocks
from cardamom_kernel import ids
from cardamom_kernel import leases

from cardamom_gateway import handovers
from cardamom_gateway import state as state_module
from cardamom_gateway import store_loads

LOG = structlog.get_logger("cardamom.gateway.placing")

HANDOVER_SLACK_MS = 300  # on top of the lease, for orders on their way
ORDER_MARGIN_MS = 1_000  # of a lease, in which no order is sent any more
HANDOVER_ERROR_MS = 250  # of the store's clock while the store is slow


class OrderTurns:
    """This instance's right to send orders, and what it leaves behind.

    ``number`` is that of the current or latest term.
    """

    def __init__(
        self,
        state: state_module.GatewayState,
        lease: leases.Lease,
        loads: store_loads.StoreLoads,
        store_ms: typing.Callable[[], int | None],
    ) -> None:
        self._state = state
        self._lease = lease
        self._loads = loads
        self._store_ms = store_ms
        self._orders_from_ms: int = clocks.FOREVER_MS
        self._orders_from_by_id: dict[ids.TargetId, int] = {}
        self._ordered_ms_by_id: dict[ids.TargetId, int] = {}
        self.is_over = False
        self.number: int = 0

    @property
    def is_holder(self) -> bool:
        """Tell whether the lease is held here."""
        return self._lease.fence() is not None

    @property
    def may_order(self) -> bool:
        """Tell whether an order may be sent at this moment."""
        fence, now_ms = self._lease.fence(), self._state.clock.now_ms()
        return (
            fence is not None
            and fence.number == self.number
            and now_ms >= self._orders_from_ms
            and now_ms < fence.until_ms - ORDER_MARGIN_MS
            and not self.is_over
        )

    def note_fence(
        self,
        previous_holder: str | None,
        note: typing.Mapping[str, typing.Any],
    ) -> bool:
        """Begin a term, after the orders of another holder are over.

        An empty name is a holder that released the lease and left a note;
        None is none.  Returns whether this is a new term.
        """
        fence = self._lease.fence()
        if fence is None or fence.number == self.number:
            return False
        self.number = fence.number
        self._orders_from_by_id.clear()
        try:
            handover = handovers.decode(note, self._store_ms())
        except handovers.MalformedHandover as error:
            LOG.warning("placing: handover not usable", error=str(error))
            handover = None
        wait_ms = 0
        if previous_holder == "" and handover is not None:
            self._take_over(handover)
        else:
            wait_ms = self._expiry_wait_ms(previous_holder)
        self._orders_from_ms = fence.acquired_ms + wait_ms
        LOG.info(
            "placing: holds the lease",
            fence=fence.number,
            previous=previous_holder,
            released_by=handover.released_by if handover else "",
            orders_in_ms=wait_ms,
        )
        return True

    def _expiry_wait_ms(self, previous_holder: str | None) -> int:
        """Return the wait after a lease that ended without a handover."""
        if previous_holder is None:
            return 0
        self._loads.assume_all(self._state.clock.now_ms())
        if previous_holder == self._state.settings.instance:
            return 0
        passed_ms = 0
        if previous_holder:
            passed_ms = self._lease.drift_ms + ORDER_MARGIN_MS
        turn_ms = self._state.settings.lease_ms + HANDOVER_SLACK_MS
        return max(0, turn_ms - passed_ms)

    def _take_over(self, handover: handovers.Handover) -> None:
        """Note when the holder before had ordered each engine."""
        now_ms = self._state.clock.now_ms()
        self._loads.take_over(
            now_ms - age_ms for age_ms in handover.store_load_ages_ms
        )
        if handover.released_by == self._state.settings.instance:
            return
        turn_ms = (
            self._state.settings.lease_ms
            + HANDOVER_SLACK_MS
            + HANDOVER_ERROR_MS
        )
        self._orders_from_by_id = {
            target_id: now_ms - age_ms + turn_ms
            for target_id, age_ms in handover.order_age_ms_by_id.items()
        }

    def handover(self) -> dict[str, typing.Any]:
        """Return the note for the next holder.

        It is empty if the store's clock is not known, so that the successor
        waits for all engines.
        """
        now_ms, store_ms = self._state.clock.now_ms(), self._store_ms()
        if store_ms is None:
            return {}
        return handovers.encode(
            handovers.Handover(
                self._state.settings.instance,
                {
                    target_id: now_ms - at_ms
                    for target_id, at_ms in self._ordered_ms_by_id.items()
                },
                tuple(now_ms - at_ms for at_ms in self._loads.begun_ms),
            ),
            store_ms,
        )

    def orders_from_ms(self, target_id: ids.TargetId) -> int:
        """Return from when an engine may be ordered, by the last holder."""
        return self._orders_from_by_id.get(target_id, clocks.NEVER_MS)

    def may_order_to(self, target_id: ids.TargetId) -> bool:
        """Tell whether an order to an engine may be sent at this moment."""
        from_ms = self.orders_from_ms(target_id)
        return self.may_order and self._state.clock.now_ms() >= from_ms

    def note_order(self, target_id: ids.TargetId) -> None:
        """Record that an order is sent to an engine now."""
        now_ms = self._state.clock.now_ms()
        self._ordered_ms_by_id = {
            ordered: at_ms
            for ordered, at_ms in self._ordered_ms_by_id.items()
            if now_ms - at_ms <= handovers.MAX_AGE_MS
        } | {target_id: now_ms}

    def end(self) -> None:
        """Send no more orders, whatever the lease says."""
        self.is_over = True
