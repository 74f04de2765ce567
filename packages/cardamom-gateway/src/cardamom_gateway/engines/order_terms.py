"""When the lease holder may send orders.

Two holders must not send orders to one engine within the time that the
operators set.  A successor therefore waits for all engines after a lease that
expired.  After a release it waits for each engine, counted from the last order
to that engine.
"""

import typing

import structlog

from cardamom_kernel import clocks
from cardamom_kernel import ids
from cardamom_kernel import leases

from cardamom_gateway.engines import handovers
from cardamom_gateway.engines import store_loads
from cardamom_gateway import state as state_module

LOG = structlog.get_logger("cardamom.gateway.placing")

HANDOVER_SLACK_MS = 300  # added to the lease, for orders in transit
ORDER_MARGIN_MS = 1_000  # no order is sent in this last part of a lease
STORE_CLOCK_ERROR_MS = 250  # while the store answers slowly


class OrderTerm:
    """This instance's term as lease holder, with the times of its orders.

    ``fencing_number`` is that of the current or latest term; ``is_ended``
    forbids orders for good.  ``store_clock_ms`` returns the store's clock, or
    None while it is unknown.
    """

    def __init__(
        self,
        state: state_module.GatewayState,
        lease: leases.Lease,
        loads: store_loads.StoreLoads,
        store_clock_ms: typing.Callable[[], int | None],
    ) -> None:
        self._state = state
        self._lease = lease
        self._store_loads = loads
        self._store_clock_ms = store_clock_ms
        self._orders_allowed_from_ms: int = clocks.FOREVER_MS
        self._orders_allowed_from_ms_by_id: dict[ids.TargetId, int] = {}
        self._last_order_ms_by_id: dict[ids.TargetId, int] = {}
        self.is_ended = False
        self.fencing_number: int = 0

    @property
    def is_holder(self) -> bool:
        """Return whether this instance holds the lease."""
        return self._lease.fence() is not None

    @property
    def may_order(self) -> bool:
        """Return whether orders may be sent now."""
        fence, now_ms = self._lease.fence(), self._state.clock.now_ms()
        return (
            fence is not None
            and fence.number == self.fencing_number
            and now_ms >= self._orders_allowed_from_ms
            and now_ms < fence.until_ms - ORDER_MARGIN_MS
            and not self.is_ended
        )

    def begin_term(
        self,
        previous_holder: str | None,
        note: typing.Mapping[str, typing.Any],
    ) -> bool:
        """Begin a term and set from when on orders are allowed.

        ``previous_holder`` is empty if the holder released the lease and left
        a note, and None if there was no holder.  Returns whether the term is
        new.
        """
        fence = self._lease.fence()
        if fence is None or fence.number == self.fencing_number:
            return False
        self.fencing_number = fence.number
        self._orders_allowed_from_ms_by_id.clear()
        try:
            handover = handovers.decode(note, self._store_clock_ms())
        except handovers.MalformedHandover as error:
            LOG.warning("placing: handover not usable", error=str(error))
            handover = None
        wait_ms = 0
        if previous_holder == "" and handover is not None:
            self._apply_handover(handover)
        else:
            wait_ms = self._expiry_wait_ms(previous_holder)
        self._orders_allowed_from_ms = fence.acquired_ms + wait_ms
        LOG.info(
            "placing: holds the lease",
            fence=fence.number,
            previous=previous_holder,
            released_by=handover.released_by if handover else "",
            orders_in_ms=wait_ms,
        )
        return True

    def _expiry_wait_ms(self, previous_holder: str | None) -> int:
        """Return the wait in ms after a lease without a usable handover."""
        if previous_holder is None:
            return 0
        self._store_loads.assume_earlier_loads(self._state.clock.now_ms())
        if previous_holder == self._state.settings.instance:
            return 0
        elapsed_ms = 0
        if previous_holder:
            elapsed_ms = self._lease.drift_ms + ORDER_MARGIN_MS
        separation_ms = self._state.settings.lease_ms + HANDOVER_SLACK_MS
        return max(0, separation_ms - elapsed_ms)

    def _apply_handover(self, handover: handovers.Handover) -> None:
        """Set the wait for each engine from a handover."""
        now_ms = self._state.clock.now_ms()
        self._store_loads.add_previous(
            now_ms - age_ms for age_ms in handover.store_load_ages_ms
        )
        if handover.released_by == self._state.settings.instance:
            return
        separation_ms = (
            self._state.settings.lease_ms
            + HANDOVER_SLACK_MS
            + STORE_CLOCK_ERROR_MS
        )
        self._orders_allowed_from_ms_by_id = {
            target_id: now_ms - age_ms + separation_ms
            for target_id, age_ms in handover.order_age_ms_by_id.items()
        }

    def handover(self) -> dict[str, typing.Any]:
        """Return the lease's note for the next holder, as JSON fields.

        It is empty if the store's clock is unknown, so that the successor
        waits for all engines.
        """
        now_ms, store_clock_ms = (
            self._state.clock.now_ms(),
            self._store_clock_ms(),
        )
        if store_clock_ms is None:
            return {}
        return handovers.encode(
            handovers.Handover(
                self._state.settings.instance,
                {
                    target_id: now_ms - at_ms
                    for target_id, at_ms in self._last_order_ms_by_id.items()
                },
                tuple(
                    now_ms - at_ms for at_ms in self._store_loads.started_ms
                ),
            ),
            store_clock_ms,
        )

    def orders_allowed_from_ms(self, target_id: ids.TargetId) -> int:
        """Return the time in ms from which an engine may get orders.

        It follows from the previous holder's last order to that engine.
        """
        return self._orders_allowed_from_ms_by_id.get(
            target_id, clocks.NEVER_MS
        )

    def may_order_to(self, target_id: ids.TargetId) -> bool:
        """Return whether an order may be sent to an engine now."""
        from_ms = self.orders_allowed_from_ms(target_id)
        return self.may_order and self._state.clock.now_ms() >= from_ms

    def note_order(self, target_id: ids.TargetId) -> None:
        """Record the time of an order to an engine.

        Times that can no longer cause a wait are dropped.
        """
        now_ms = self._state.clock.now_ms()
        self._last_order_ms_by_id = {
            ordered_id: at_ms
            for ordered_id, at_ms in self._last_order_ms_by_id.items()
            if now_ms - at_ms <= handovers.MAX_ORDER_AGE_MS
        } | {target_id: now_ms}

    def end(self) -> None:
        """Forbid further orders, even while the lease is held."""
        self.is_ended = True
