"""The lease for orders: renewal, succession and store outages."""

import typing

import structlog

from cardamom_kernel import clocks
from cardamom_kernel import leases

from cardamom_gateway.engines import placing
from cardamom_gateway.fleet import exchange as exchange_module
from cardamom_gateway import state as state_module

LOG = structlog.get_logger("cardamom.gateway.placing")

LEASE_NAME = "orders"
# Longer than the delay of a slow store.  A successor waits this long.
LEASE_TTL_MS = 4_000
# After a member's report, and a second less than the time for which the member
# then waits: the report may have been delayed.
LEASE_EXTENSION_MS = 3_000
LEASE_RENEW_MS = 1_300  # three renewals within a lease
LEASE_RETRY_MS = 300  # while the lease may become free
SUCCESSOR_POLL_MS = 1_500  # between a successor's reads of the lease
RESTART_MS = 1_500  # a process that stops as planned restarts within it


class OrderLease:
    """Renews the lease for orders, or contends for it."""

    def __init__(
        self,
        state: state_module.GatewayState,
        exchange: exchange_module.Exchange,
        lease: leases.Lease,
        placer: placing.Placer,
        is_store_reached: typing.Callable[[], bool],
    ) -> None:
        self._state = state
        self._clock = state.clock
        self._exchange = exchange
        self._lease = lease
        self._placer = placer
        self._is_store_reached = is_store_reached
        self._next_poll_ms: int = clocks.NEVER_MS

    async def run(self) -> None:
        """Renew the lease or contend for it, until cancelled."""
        while True:
            await self._clock.sleep_ms(LEASE_RETRY_MS)
            if self._state.is_stopping and not self._lease.fence():
                continue
            if self._state.targets.is_cut_off:
                await self._release_if_held()
                continue
            if (
                not self._is_store_reached()
                and not self._exchange.store_peers()
            ):
                self._extend_lease()
                continue
            if not self._lease.fence() and not self._should_contend():
                continue
            state = await self._lease.contend()
            if state is leases.LeaseState.HELD:
                self._placer.begin_term(
                    self._lease.seen_holder, self._lease.seen_note
                )
                await self._clock.sleep_ms(LEASE_RENEW_MS - LEASE_RETRY_MS)

    async def _release_if_held(self) -> None:
        """Release the lease, as engines can't be reached from here."""
        if self._lease.fence():
            LOG.warning("placing: gives the lease back while cut off")
            await self._lease.release(self._placer.handover())

    def _should_contend(self) -> bool:
        """Return whether to read the lease's row, and take it if it is free.

        While a peer reports that it holds the lease, only the other instance
        with the lowest name reads the row from time to time.  Its wait has
        then already begun when the holder stops reporting.
        """
        if self._exchange.holder() is None:
            return True
        now_ms = self._clock.now_ms()
        if now_ms < self._next_poll_ms:
            return False
        self._next_poll_ms = now_ms + SUCCESSOR_POLL_MS
        others = {peer.member.id for peer in self._exchange.link.fresh_peers()}
        others -= {self._exchange.holder_id()}
        return all(self._state.settings.instance < other for other in others)

    def _extend_lease(self) -> None:
        """Extend the lease while no instance can write to the store.

        The members report that they don't reach it.  This is safe because a
        member takes the lease over only a whole lease after its last report
        of that kind, even if the store's row hasn't changed for longer.
        """
        report_ms_by_member = {
            peer.member.id: peer.received_ms
            for peer in self._exchange.link.fresh_peers()
            if not peer.update.get("store", 1)
        }
        members = self._exchange.link.member_by_id
        if not members.keys() <= report_ms_by_member.keys():
            return
        oldest_ms = min(
            report_ms_by_member.values(), default=self._clock.now_ms()
        )
        self._lease.extend(oldest_ms + LEASE_EXTENSION_MS)
