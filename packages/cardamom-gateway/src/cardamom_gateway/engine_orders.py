"""Orders to one engine, and what is known of it.

Engines may not check fences, and an order may be carried out seconds later.
So each order names how many the engine has accepted before: one that comes
late, after another, is then refused by the engine.
"""

import asyncio
import dataclasses

import structlog

from cardamom_kernel import clocks
from cardamom_kernel import invariants

from cardamom_gateway import interfaces
from cardamom_gateway import model
from cardamom_gateway import order_turns
from cardamom_gateway import state as state_module
from cardamom_gateway import target_book

LOG = structlog.get_logger("cardamom.gateway.placing")

REPORT_MS = 200  # reports are some 200 ms old
RESEND_MS = 100  # before an order without an answer is sent again
MAX_RESENDS = 20
LOAD_TIMEOUT_PARTS = 3.0  # of the expected time, before a load is doubted
SOONEST_LOAD_PART = 0.5  # of the expected time, before a load can have ended
ORDER_TIMEOUT_MS = 4_000  # an unload waits for streams that run
UNLOAD_POLL_MS = 100  # between reports while an unload is under way


@dataclasses.dataclass
class Control:
    """What the holder knows of one engine."""

    born_ms: int
    orders: int
    residents: set[model.Residence]
    in_host_memory: frozenset[str]
    on_disk: frozenset[str]
    lock: asyncio.Lock = dataclasses.field(default_factory=asyncio.Lock)
    loading: str = ""
    load_ms: int = 0
    busy_until_ms: int = clocks.NEVER_MS
    reserved_for: str = ""
    reserved_until_ms: int = clocks.NEVER_MS
    is_known: bool = False
    loaded_at_ms: dict[str, int] = dataclasses.field(default_factory=dict)
    used_at_ms: dict[model.Residence, int] = dataclasses.field(
        default_factory=dict
    )

    def adapters(self) -> list[model.Residence]:
        """Return the adapters, the one used longest ago first."""
        return sorted(
            (r for r in self.residents if r[1]),
            key=lambda r: self.used_at_ms.get(r, 0),
        )


class OrderFailed(Exception):
    """Raised for an order that was not carried out."""


class EngineOrders:
    """Sends orders and learns what became of them."""

    def __init__(
        self,
        state: state_module.GatewayState,
        engines: interfaces.EngineControl,
        turns: order_turns.OrderTurns,
    ) -> None:
        self._state = state
        self._engines = engines
        self._turns = turns

    async def send(
        self,
        target: model.Target,
        control: Control,
        kind: interfaces.OrderKind,
        residence: model.Residence,
        reason: str,
    ) -> interfaces.OrderOutcome:
        """Send an order until its end is known; raises OrderFailed."""
        for _ in range(MAX_RESENDS):
            if not self._turns.may_order_to(target.id):
                raise OrderFailed("the lease is not held")
            self._turns.note_order(target.id)
            order = interfaces.Order(
                kind=kind,
                model=residence[0],
                adapter=residence[1],
                holder=self._state.settings.instance,
                fence=self._turns.number,
                after_orders=control.orders,
            )
            outcome = await self._engines.order(target, order)
            self._state.metrics.orders.labels(kind.value, outcome.value).inc()
            LOG.info(
                "placing: order",
                target=target.id,
                kind=kind.value,
                model=residence[0],
                adapter=residence[1],
                after_orders=control.orders,
                fence=self._turns.number,
                outcome=outcome.value,
                reason=reason,
            )
            if outcome is interfaces.OrderOutcome.ACCEPTED:
                control.orders += 1
                return outcome
            if outcome is interfaces.OrderOutcome.ALREADY_HOLDS:
                control.orders += 1 if residence[1] else 0
                return outcome
            if outcome is interfaces.OrderOutcome.UNREACHED:
                self._note_unreached(target)
                raise OrderFailed("not reached")
            if outcome is interfaces.OrderOutcome.REFUSED:
                raise OrderFailed("refused")
            if outcome is interfaces.OrderOutcome.CONFLICT:
                raise OrderFailed("the engine has had other orders")
            await self._state.clock.sleep_ms(RESEND_MS)
        raise OrderFailed("no answer")

    def _note_unreached(self, target: model.Target) -> None:
        """Leave an engine that is down out of plans for a while."""
        record = self._state.book.by_id.get(target.id)
        if record is not None:
            record.note_unreached(self._state.clock.now_ms())

    async def learn(
        self, target: model.Target, control: Control, lag_ms: int = 0
    ) -> None:
        """Take an engine's own report once it is idle.

        ``lag_ms`` is the age that a report may have.
        """
        control.is_known = False
        asked_ms = self._state.clock.now_ms()
        await self._state.clock.sleep_ms(lag_ms)
        while not control.is_known:
            current = self._state.book.by_id.get(target.id)
            if current is None or current.target.born_ms != control.born_ms:
                return
            report = await self._engines.report(current.target)
            if (
                report is not None
                and not report.is_busy
                and not report.pending
                and report.orders >= control.orders
            ):
                control.orders = report.orders
                control.residents = set(report.residents)
                control.in_host_memory = report.in_host_memory
                control.on_disk = report.on_disk
                control.is_known = True
                break
            await self._state.clock.sleep_ms(REPORT_MS)
        LOG.info(
            "placing: engine known",
            target=target.id,
            orders=control.orders,
            residents=sorted(name for name, _ in control.residents),
            in_host_memory=sorted(control.in_host_memory),
            on_disk=sorted(control.on_disk),
            took_ms=self._state.clock.now_ms() - asked_ms,
        )

    async def await_end(
        self,
        record: target_book.TargetRecord,
        control: Control,
        kind: interfaces.OrderKind,
        spec: model.ModelSpec,
    ) -> None:
        """Wait until a report, or the entry of a load, shows the end.

        An entry may be from before the order, so it tells nothing of an
        unload, and of a load only when that can have ended.
        """
        state, wanted = self._state, kind is interfaces.OrderKind.LOAD
        writes = record.target.writes
        expected_ms = self.expected_ms(control, kind, spec)
        started_ms = state.clock.now_ms()
        end_ms = started_ms + int(
            expected_ms * LOAD_TIMEOUT_PARTS + ORDER_TIMEOUT_MS
        )
        report_ms = started_ms + max(REPORT_MS, int(expected_ms))
        while state.clock.now_ms() < end_ms:
            await state.book.wait_for_change(UNLOAD_POLL_MS)
            current = state.book.by_id.get(record.target.id)
            if current is None or current.target.born_ms != control.born_ms:
                raise OrderFailed("the engine has restarted")
            now_ms, entry = state.clock.now_ms(), current.target
            if (
                wanted
                and now_ms - started_ms >= expected_ms * SOONEST_LOAD_PART
                and entry.writes > writes
                and (spec.name, "") in entry.residents
            ):
                self._finish(control, entry, spec.name, wanted)
                return
            if now_ms < report_ms:
                continue
            report_ms = now_ms + (REPORT_MS if wanted else UNLOAD_POLL_MS)
            report = await self._engines.report(record.target)
            if (
                report is not None
                and report.orders >= control.orders
                and not report.is_busy
                and ((spec.name, "") in report.residents) is wanted
            ):
                self._finish(control, report, spec.name, wanted)
                return
        raise OrderFailed("not carried out in time")

    def _finish(
        self,
        control: Control,
        told: model.Target | model.EngineReport,
        name: str,
        wanted: bool,
    ) -> None:
        """Take what an engine tells at the end of an order."""
        control.in_host_memory = told.in_host_memory
        control.on_disk = told.on_disk
        if wanted:
            control.residents.add((name, ""))
            control.used_at_ms[(name, "")] = self._state.clock.now_ms()
        models = {r for r in told.residents if not r[1]}
        invariants.check(
            {r for r in control.residents if not r[1]} <= models,
            "placing.residents_match",
            known=sorted(control.residents),
            told=sorted(models),
        )

    def expected_ms(
        self,
        control: Control,
        kind: interfaces.OrderKind,
        spec: model.ModelSpec,
    ) -> float:
        """Return how long an order should take."""
        if kind is interfaces.OrderKind.UNLOAD:
            return 0.0
        if spec.name in control.in_host_memory:
            return spec.host_ms
        if spec.name in control.on_disk:
            return spec.disk_ms
        return spec.store_ms
