"""Orders to one engine, and the state of that engine.

Engines may not check fencing numbers, and an order may be executed seconds
later.  Each order therefore names the number of orders that the engine has
accepted before, so that an engine refuses an order that arrives after a later
one.
"""

import asyncio
import dataclasses

import structlog

from cardamom_kernel import clocks
from cardamom_kernel import invariants

from cardamom_gateway.engines import order_terms
from cardamom_gateway import interfaces
from cardamom_gateway import model
from cardamom_gateway import state as state_module
from cardamom_gateway.targets import target_records

LOG = structlog.get_logger("cardamom.gateway.placing")

REPORT_AGE_MS = 200  # typical age of an engine's report
RESEND_PAUSE_MS = 100  # before an unanswered order is sent again
MAX_RESENDS = 20
LOAD_TIMEOUT_RATIO = 3.0  # of the expected time; then a load has failed
MIN_LOAD_TIME_RATIO = 0.5  # of the expected time; a load cannot end earlier
ORDER_TIMEOUT_MS = 4_000  # an unload waits for running streams
UNLOAD_POLL_MS = 100  # between reports while an unload is in progress


@dataclasses.dataclass
class EngineState:
    """The state of one engine, as the lease holder knows it.

    ``accepted_orders`` is the number of orders that the engine has accepted.
    ``load_ms`` is the expected duration of the load of ``loading``, and
    ``is_moving`` tells whether a model is being loaded or unloaded.
    ``reserved_for`` is the model to load after an unload, and
    ``is_state_certain`` tells whether an idle report of the engine has been
    received.  ``adapter_loads`` are the loads in progress.
    """

    started_ms: int
    accepted_orders: int
    residents: set[model.ModelAndAdapter]
    in_host_memory: frozenset[str]
    on_disk: frozenset[str]
    lock: asyncio.Lock = dataclasses.field(default_factory=asyncio.Lock)
    loading: str = ""
    load_ms: int = 0
    is_moving: bool = False
    busy_until_ms: int = clocks.NEVER_MS
    reserved_for: str = ""
    reserved_until_ms: int = clocks.NEVER_MS
    is_state_certain: bool = False
    adapter_loads: dict[model.ModelAndAdapter, asyncio.Task[bool]] = (
        dataclasses.field(default_factory=dict)
    )
    loaded_at_ms: dict[str, int] = dataclasses.field(default_factory=dict)
    used_at_ms: dict[model.ModelAndAdapter, int] = dataclasses.field(
        default_factory=dict
    )

    def adapters(self) -> list[model.ModelAndAdapter]:
        """Return the resident adapters, the least recently used first."""
        return sorted(
            (r for r in self.residents if r[1]),
            key=lambda r: self.used_at_ms.get(r, 0),
        )


class OrderFailed(Exception):
    """Raised for an order that was not executed."""


class EngineOrders:
    """Sends orders and waits for their results."""

    def __init__(
        self,
        state: state_module.GatewayState,
        engines: interfaces.EngineControl,
        term: order_terms.OrderTerm,
    ) -> None:
        self._state = state
        self._engines = engines
        self._term = term

    async def send(
        self,
        target: model.Target,
        engine_state: EngineState,
        kind: interfaces.OrderKind,
        model_and_adapter: model.ModelAndAdapter,
        reason: str,
    ) -> interfaces.OrderOutcome:
        """Send an order until the engine answers.

        Returns ACCEPTED or ALREADY_HOLDS; raises OrderFailed otherwise.
        """
        for _ in range(MAX_RESENDS):
            if not self._term.may_order_to(target.id):
                raise OrderFailed("orders are not allowed now")
            if self._state.targets.is_evacuated(target):
                raise OrderFailed("the data centre is evacuated")
            self._term.note_order(target.id)
            order = interfaces.Order(
                kind=kind,
                model=model_and_adapter[0],
                adapter=model_and_adapter[1],
                holder=self._state.settings.instance,
                fencing_number=self._term.fencing_number,
                expected_orders=engine_state.accepted_orders,
            )
            outcome = await self._engines.order(target, order)
            self._state.metrics.orders.labels(kind.value, outcome.value).inc()
            LOG.info(
                "placing: order",
                target=target.id,
                kind=kind.value,
                model=model_and_adapter[0],
                adapter=model_and_adapter[1],
                after_orders=engine_state.accepted_orders,
                fence=self._term.fencing_number,
                outcome=outcome.value,
                reason=reason,
            )
            if outcome is interfaces.OrderOutcome.ACCEPTED:
                engine_state.accepted_orders += 1
                return outcome
            if outcome is interfaces.OrderOutcome.ALREADY_HOLDS:
                engine_state.accepted_orders += (
                    1 if model_and_adapter[1] else 0
                )
                return outcome
            if outcome is interfaces.OrderOutcome.UNREACHED:
                self._note_unreached(target)
                raise OrderFailed("the engine is unreachable")
            if outcome is interfaces.OrderOutcome.REFUSED:
                raise OrderFailed("refused")
            if outcome is interfaces.OrderOutcome.CONFLICT:
                raise OrderFailed("the engine has accepted other orders")
            await self._state.clock.sleep_ms(RESEND_PAUSE_MS)
        raise OrderFailed("no answer from the engine")

    def _note_unreached(self, target: model.Target) -> None:
        """Exclude an unreachable engine from plans for a while."""
        record = self._state.targets.by_id.get(target.id)
        if record is not None:
            record.record_connect_failure(self._state.clock.now_ms())

    async def await_report(
        self, target: model.Target, engine_state: EngineState, lag_ms: int = 0
    ) -> None:
        """Update an engine's state from its report once it is idle.

        ``lag_ms`` is a wait before the first report, so that the report is
        not older than the call.  Returns early if the engine is removed or
        restarts.
        """
        engine_state.is_state_certain = False
        started_ms = self._state.clock.now_ms()
        await self._state.clock.sleep_ms(lag_ms)
        while not engine_state.is_state_certain:
            current = self._state.targets.by_id.get(target.id)
            if (
                current is None
                or current.target.started_ms != engine_state.started_ms
            ):
                return
            if self._state.targets.is_evacuated(target):
                await self._state.clock.sleep_ms(REPORT_AGE_MS)
                continue
            report = await self._engines.report(current.target)
            if report is not None and report.is_leaving:
                self._state.targets.note_stated_leaving(current)
            if (
                report is not None
                and not report.is_busy
                and not report.pending
                and report.accepted_orders >= engine_state.accepted_orders
            ):
                engine_state.accepted_orders = report.accepted_orders
                engine_state.residents = set(report.residents)
                engine_state.in_host_memory = report.in_host_memory
                engine_state.on_disk = report.on_disk
                engine_state.is_state_certain = True
                break
            await self._state.clock.sleep_ms(REPORT_AGE_MS)
        LOG.info(
            "placing: engine known",
            target=target.id,
            orders=engine_state.accepted_orders,
            residents=sorted(name for name, _ in engine_state.residents),
            in_host_memory=sorted(engine_state.in_host_memory),
            on_disk=sorted(engine_state.on_disk),
            took_ms=self._state.clock.now_ms() - started_ms,
        )

    async def await_end(
        self,
        record: target_records.TargetRecord,
        engine_state: EngineState,
        kind: interfaces.OrderKind,
        spec: model.ModelSpec,
    ) -> None:
        """Wait until a report or an entry shows that an order has ended.

        An entry may be older than the order.  It is therefore ignored for an
        unload, and for a load until the load can have ended.  Raises
        OrderFailed after a timeout or a restart of the engine.
        """
        state, is_load = self._state, kind is interfaces.OrderKind.LOAD
        entry_sequence_before = record.target.entry_sequence
        expected_ms = self.expected_ms(engine_state, kind, spec)
        started_ms = state.clock.now_ms()
        end_ms = started_ms + int(
            expected_ms * LOAD_TIMEOUT_RATIO + ORDER_TIMEOUT_MS
        )
        report_ms = started_ms + max(REPORT_AGE_MS, int(expected_ms))
        while state.clock.now_ms() < end_ms:
            await state.targets.wait_for_change(UNLOAD_POLL_MS)
            current = state.targets.by_id.get(record.target.id)
            if (
                current is None
                or current.target.started_ms != engine_state.started_ms
            ):
                raise OrderFailed("the engine has restarted")
            now_ms, entry = state.clock.now_ms(), current.target
            if (
                is_load
                and now_ms - started_ms >= expected_ms * MIN_LOAD_TIME_RATIO
                and entry.entry_sequence > entry_sequence_before
                and (spec.name, "") in entry.residents
            ):
                self._record_result(engine_state, entry, spec.name, is_load)
                return
            if now_ms < report_ms or state.targets.is_evacuated(entry):
                continue
            report_ms = now_ms + (REPORT_AGE_MS if is_load else UNLOAD_POLL_MS)
            report = await self._engines.report(record.target)
            if (
                report is not None
                and report.accepted_orders >= engine_state.accepted_orders
                and not report.is_busy
                and ((spec.name, "") in report.residents) is is_load
            ):
                self._record_result(engine_state, report, spec.name, is_load)
                return
        raise OrderFailed("not executed in time")

    def _record_result(
        self,
        engine_state: EngineState,
        report: model.Target | model.EngineReport,
        name: str,
        is_load: bool,
    ) -> None:
        """Update the state from a report or entry after an order."""
        engine_state.in_host_memory = report.in_host_memory
        engine_state.on_disk = report.on_disk
        if is_load:
            engine_state.residents.add((name, ""))
            engine_state.used_at_ms[(name, "")] = self._state.clock.now_ms()
        reported_models = {r for r in report.residents if not r[1]}
        invariants.check(
            {r for r in engine_state.residents if not r[1]} <= reported_models,
            "placing.residents_match",
            known=sorted(engine_state.residents),
            told=sorted(reported_models),
        )

    def expected_ms(
        self,
        engine_state: EngineState,
        kind: interfaces.OrderKind,
        spec: model.ModelSpec,
    ) -> float:
        """Return the expected duration of an order in ms."""
        if kind is interfaces.OrderKind.UNLOAD:
            return 0.0
        if spec.name in engine_state.in_host_memory:
            return spec.host_load_ms
        if spec.name in engine_state.on_disk:
            return spec.disk_load_ms
        return spec.store_load_ms
