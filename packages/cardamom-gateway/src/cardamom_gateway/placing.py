"""Orders to engines: one holder of a lease loads and unloads models.

The engines here do not check fences.  So the holder sends an order only
under a lease in the store, waits out the orders of an earlier holder, and
names in each order how many orders the engine has accepted before: an order
that comes late, after another one, is then refused by the engine.
"""

import asyncio
import collections
import dataclasses
import typing

import structlog

from cardamom_kernel import clocks
from cardamom_kernel import ids
from cardamom_kernel import invariants
from cardamom_kernel import leases
from cardamom_policy import tiering

from cardamom_gateway import handovers
from cardamom_gateway import interfaces
from cardamom_gateway import model
from cardamom_gateway import state as state_module
from cardamom_gateway import target_book

LOG = structlog.get_logger("cardamom.gateway.placing")

TICK_MS = 60  # a request that waits for a model is seen within a tick
REPORT_MS = 200  # reports are some 200 ms old
RESEND_MS = 100  # before an order without an answer is sent again
ADAPTER_SETTLE_MS = 16  # an adapter is loaded within some 14 ms
ADAPTER_USE_MS = 400  # an adapter used so lately is not replaced
LOAD_TIMEOUT_PARTS = 3.0  # of the expected time, before a load is doubted
SOONEST_LOAD_PART = 0.5  # of the expected time, before a load can have ended
ORDER_TIMEOUT_MS = 4_000  # an unload waits for streams that run
UNLOAD_POLL_MS = 100  # between reports while an unload is under way
SETTLED_MS = 2_500  # engines that start together register within it
RESERVE_MS = 5_000  # an unload waits for the requests that run
MAX_RESENDS = 20
HANDOVER_SLACK_MS = 300  # on top of the lease, for orders on their way
ORDER_MARGIN_MS = 1_000  # of a lease, in which no order is sent any more
HANDOVER_ERROR_MS = 250  # of the store's clock while the store is slow
DEMAND_AGE_MS = 1_600  # three periods of the slowest exchange

Publish = typing.Callable[[], None]


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


class Placer:
    """Places models and adapters while it holds the lease."""

    def __init__(
        self,
        state: state_module.GatewayState,
        engines: interfaces.EngineControl,
        lease: leases.Lease,
        publish: Publish,
        store_ms: typing.Callable[[], int],
    ) -> None:
        self._state = state
        self._store_ms = store_ms
        self._engines = engines
        self._lease = lease
        self._publish = publish
        self._control_by_id: dict[ids.TargetId, Control] = {}
        self._work: set[asyncio.Task[None]] = set()
        self._store_loads: collections.deque[int] = collections.deque()
        self._orders_from_ms: int = clocks.FOREVER_MS
        self._orders_from_by_id: dict[ids.TargetId, int] = {}
        self._ordered_ms_by_id: dict[ids.TargetId, int] = {}
        self._is_over = False
        self._fence: int = 0
        self._expected: set[str] = set()
        self._new_engine_ms: int = clocks.NEVER_MS

    @property
    def may_order(self) -> bool:
        """Tell whether an order may be sent at this moment."""
        fence, now_ms = self._lease.fence(), self._state.clock.now_ms()
        return (
            fence is not None
            and fence.number == self._fence
            and now_ms >= self._orders_from_ms
            and now_ms < fence.until_ms - ORDER_MARGIN_MS
            and not self._is_over
        )

    @property
    def is_holder(self) -> bool:
        """Tell whether the lease is held here."""
        return self._lease.fence() is not None

    def note_fence(
        self,
        previous_holder: str | None,
        note: typing.Mapping[str, typing.Any],
    ) -> None:
        """Begin a term, after the orders of another holder are over.

        An empty name is a holder that released the lease and left a note;
        None is none.
        """
        fence = self._lease.fence()
        if fence is None or fence.number == self._fence:
            return
        self._fence = fence.number
        self._control_by_id.clear()
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

    def _expiry_wait_ms(self, previous_holder: str | None) -> int:
        """Return the wait after a lease that ended without a handover."""
        if previous_holder is None:
            return 0
        self._assume_store_loads()
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
        loads = [now_ms - age_ms for age_ms in handover.store_load_ages_ms]
        self._store_loads = collections.deque(
            sorted({*self._store_loads, *loads})
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
        """Return the note for the next holder."""
        now_ms = self._state.clock.now_ms()
        return handovers.encode(
            handovers.Handover(
                self._state.settings.instance,
                {
                    target_id: now_ms - at_ms
                    for target_id, at_ms in self._ordered_ms_by_id.items()
                    if now_ms - at_ms <= handovers.MAX_AGE_MS
                },
                tuple(now_ms - at_ms for at_ms in self._store_loads),
            ),
            self._store_ms(),
        )

    def _may_order_to(self, target_id: ids.TargetId) -> bool:
        from_ms = self._orders_from_by_id.get(target_id, clocks.NEVER_MS)
        return self.may_order and self._state.clock.now_ms() >= from_ms

    def holdings(self) -> dict[ids.TargetId, target_book.Holdings]:
        """Return what engines hold, for peers; empty without the lease."""
        if not self.is_holder:
            return {}
        return {
            target_id: target_book.Holdings(
                control.born_ms,
                frozenset(control.residents),
                control.loading,
                control.load_ms,
            )
            for target_id, control in self._control_by_id.items()
            if control.is_known
        }

    async def run(self) -> None:
        """Place models until cancelled."""
        while True:
            await self._state.clock.sleep_ms(TICK_MS)
            if self.may_order:
                state = self._state
                own = state.demand.news(state.clock.now_ms() - DEMAND_AGE_MS)
                state.demand_view.heard(state.settings.instance, own)
                self._sync()
                for service in self._services():
                    self._place(service)

    async def stop(self) -> None:
        """End every order under way; no other is sent."""
        self._is_over = True
        for task in list(self._work):
            task.cancel()
        await asyncio.gather(*self._work, return_exceptions=True)

    async def ensure_adapter(
        self, target_id: ids.TargetId, name: str, adapter: str
    ) -> bool:
        """Load an adapter on an engine; tells whether it is there."""
        if not self._may_order_to(target_id):
            return False
        self._sync()
        record = self._state.book.by_id.get(target_id)
        control = self._control_by_id.get(target_id)
        if record is None or control is None:
            return False
        residence = (name, adapter)
        async with control.lock:
            if residence in control.residents:
                return True
            if (name, "") not in control.residents or not control.is_known:
                return False
            try:
                if not await self._make_room(record, control):
                    return False
                await self._order(
                    record.target,
                    control,
                    interfaces.OrderKind.LOAD,
                    residence,
                    "a request needs it",
                )
            except OrderFailed as error:
                self._note_failed(record, control, residence, error)
                return False
            control.residents.add(residence)
            control.used_at_ms[residence] = self._state.clock.now_ms()
        await self._state.clock.sleep_ms(ADAPTER_SETTLE_MS)
        self._publish()
        return True

    async def _make_room(
        self, record: target_book.TargetRecord, control: Control
    ) -> bool:
        configuration = self._state.configuration
        assert configuration is not None
        service = configuration.service_by_id.get(record.target.service)
        if service is None or service.engine is None:
            return False
        now_ms = self._state.clock.now_ms()
        held = control.adapters()
        if len(held) < service.engine.adapter_slots:
            return True
        for victim in held:
            if now_ms - control.used_at_ms.get(victim, 0) < ADAPTER_USE_MS:
                return False
            outcome = await self._order(
                record.target,
                control,
                interfaces.OrderKind.UNLOAD,
                victim,
                "room for another adapter",
            )
            control.residents.discard(victim)
            self._publish()
            if outcome is interfaces.OrderOutcome.ALREADY_HOLDS:
                return True
        return False

    def _services(self) -> list[model.Service]:
        configuration = self._state.configuration
        if configuration is None:
            return []
        return [
            service
            for service in configuration.service_by_id.values()
            if service.engine is not None
        ]

    def _sync(self) -> None:
        """Take in what the engines' entries say."""
        engine_by_id = {
            target_id: record.target
            for service in self._services()
            for target_id, record in self._state.book.by_id.items()
            if record.target.service == service.id
        }
        for target_id in list(self._control_by_id):
            if target_id not in engine_by_id:
                del self._control_by_id[target_id]
        for target_id, target in engine_by_id.items():
            control = self._control_by_id.get(target_id)
            if control is None or control.born_ms != target.born_ms:
                control = Control(
                    target.born_ms,
                    0,
                    set(target.residents),
                    target.in_host_memory,
                    target.on_disk,
                )
                self._control_by_id[target_id] = control
                self._note_expected()
                self._new_engine_ms = self._state.clock.now_ms()
                self._start(self._learn(target, control))
            elif not control.lock.locked():
                control.in_host_memory = target.in_host_memory
                control.on_disk = target.on_disk

    def _note_expected(self) -> None:
        """Note models that came on several engines, before any order."""
        count = collections.Counter(
            name
            for control in self._control_by_id.values()
            for name in {name for name, _ in control.residents}
        )
        if not self._store_loads:
            self._expected = {name for name, n in count.items() if n > 1}

    def _start(
        self, work: typing.Coroutine[typing.Any, typing.Any, None]
    ) -> None:
        task = asyncio.create_task(work)
        self._work.add(task)
        task.add_done_callback(self._work.discard)

    def _place(self, service: model.Service) -> None:
        engine = service.engine
        assert engine is not None
        controls = {
            record.target.id: (record, self._control_by_id[record.target.id])
            for record in self._state.book.of_service(service.id)
            if record.target.id in self._control_by_id
        }
        situation = self._situation(engine, controls)
        moves = tiering.plan(situation)
        if moves:
            LOG.info(
                "placing: plan",
                service=service.id,
                moves=len(moves),
                store_loads_left=situation.store_loads,
                demand_by_model={
                    name: [round(demand.work_per_s), demand.waiting]
                    for name, demand in situation.demand_by_model.items()
                    if demand.work_per_s >= 1 or demand.waiting
                },
                wanted_by_model=tiering.copies_by_model(situation),
            )
        for move in moves:
            record, control = controls[ids.TargetId(move.engine)]
            if move.from_store:
                self._store_loads.append(self._state.clock.now_ms())
            kind = interfaces.OrderKind[move.kind.name]
            if kind is interfaces.OrderKind.LOAD:
                control.loading = move.model
                control.reserved_for = ""
            else:
                control.reserved_for = move.in_favour_of
                control.reserved_until_ms = (
                    self._state.clock.now_ms() + RESERVE_MS
                )
            work = self._carry_out(
                record, control, kind, engine.model_by_name[move.model], move
            )
            self._start(work)

    def _situation(
        self,
        engine: model.EngineSpec,
        controls: dict[ids.TargetId, tuple[target_book.TargetRecord, Control]],
    ) -> tiering.Situation:
        specs = engine.model_by_name
        reserve_mb = engine.adapter_slots * max(
            (spec.adapter_mb for spec in specs.values()), default=0.0
        )
        return tiering.Situation(
            size_by_model={
                name: tiering.ModelSize(
                    spec.memory_mb, spec.host_ms, spec.disk_ms, spec.store_ms
                )
                for name, spec in specs.items()
            },
            engines=[
                self._engine(record, control, engine.memory_mb - reserve_mb)
                for record, control in controls.values()
                if record.suspect_until_ms <= self._state.clock.now_ms()
            ],
            demand_by_model={name: self._demand(name) for name in specs},
            store_loads=self._store_loads_left(engine),
            is_settled=self._state.clock.now_ms() - self._new_engine_ms
            >= SETTLED_MS,
        )

    def _engine(
        self,
        record: target_book.TargetRecord,
        control: Control,
        memory_mb: float,
    ) -> tiering.Engine:
        now_ms = self._state.clock.now_ms()
        names = {name for name, _ in control.residents}
        in_use = record.in_use(now_ms)
        for residence in in_use:
            control.used_at_ms[residence] = now_ms
            control.used_at_ms[(residence[0], "")] = now_ms
        busy_until_ms = max(
            control.busy_until_ms,
            self._orders_from_by_id.get(record.target.id, clocks.NEVER_MS),
        )
        running = collections.Counter[str]()
        for (name, _), count in in_use.items():
            running[name] += count
        return tiering.Engine(
            id=record.target.id,
            memory_mb=memory_mb,
            by_model={
                name: tiering.Resident(
                    running=running[name],
                    loaded_ms_ago=now_ms
                    - control.loaded_at_ms.get(name, clocks.NEVER_MS),
                    used_ms_ago=now_ms
                    - control.used_at_ms.get((name, ""), clocks.NEVER_MS),
                )
                for name in names
            },
            in_host_memory=control.in_host_memory,
            on_disk=control.on_disk,
            is_free=not control.loading
            and control.is_known
            and not control.lock.locked()
            and self._may_order_to(record.target.id),
            is_known=control.is_known,
            busy_ms=max(0, busy_until_ms - now_ms),
            loading=control.loading,
            reserved_for=control.reserved_for
            if control.reserved_until_ms > now_ms
            else "",
        )

    def _demand(self, name: str) -> tiering.Demand:
        view = self._state.demand_view
        waiting, oldest_ms = view.waiting(name, DEMAND_AGE_MS)
        return tiering.Demand(
            view.work_per_s(name),
            waiting,
            oldest_ms,
            view.is_urgent(name),
            name in self._expected,
            view.is_seen(name),
        )

    def _assume_store_loads(self) -> None:
        """Count the loads that an earlier holder may have begun lately."""
        now_ms = self._state.clock.now_ms()
        for service in self._services():
            if service.engine is not None:
                allowed = self._store_loads_allowed(service.engine)
                self._store_loads.extend([now_ms] * (allowed - 1))

    def _store_loads_allowed(self, engine: model.EngineSpec) -> int:
        window_ms = self._state.settings.load_window_ms
        return int(engine.loads_per_s * window_ms / 1000)

    def _store_loads_left(self, engine: model.EngineSpec) -> int:
        """Return the loads from the weight store that its rate leaves."""
        window_ms = self._state.settings.load_window_ms
        horizon_ms = self._state.clock.now_ms() - window_ms
        while self._store_loads and self._store_loads[0] < horizon_ms:
            self._store_loads.popleft()
        return self._store_loads_allowed(engine) - len(self._store_loads)

    async def _carry_out(
        self,
        record: target_book.TargetRecord,
        control: Control,
        kind: interfaces.OrderKind,
        spec: model.ModelSpec,
        move: tiering.Move,
    ) -> None:
        name = spec.name
        try:
            async with control.lock:
                self._note_begun(control, kind, spec)
                if kind is interfaces.OrderKind.UNLOAD:
                    control.residents = {
                        r for r in control.residents if r[0] != name
                    }
                self._publish()
                outcome = await self._order(
                    record.target, control, kind, (name, ""), move.reason
                )
                if outcome is interfaces.OrderOutcome.ACCEPTED:
                    await self._await_end(record, control, kind, spec)
                elif kind is interfaces.OrderKind.LOAD:
                    control.residents.add((name, ""))
                control.loaded_at_ms[name] = self._state.clock.now_ms()
        except OrderFailed as error:
            self._note_failed(record, control, (name, ""), error)
        finally:
            control.loading = ""
            control.load_ms = 0
            self._publish()

    def _note_failed(
        self,
        record: target_book.TargetRecord,
        control: Control,
        residence: model.Residence,
        error: OrderFailed,
    ) -> None:
        """Ask an engine what it holds, as an order to it has failed."""
        LOG.info(
            "placing: order failed",
            target=record.target.id,
            model=residence[0],
            adapter=residence[1],
            reason=str(error),
        )
        if control.is_known and self.may_order:
            control.is_known = False
            self._start(self._learn(record.target, control, REPORT_MS))

    def _note_begun(
        self,
        control: Control,
        kind: interfaces.OrderKind,
        spec: model.ModelSpec,
    ) -> None:
        expected_ms = int(self._expected_ms(control, kind, spec))
        control.busy_until_ms = self._state.clock.now_ms() + expected_ms
        if kind is interfaces.OrderKind.LOAD:
            control.load_ms = expected_ms

    async def _order(
        self,
        target: model.Target,
        control: Control,
        kind: interfaces.OrderKind,
        residence: model.Residence,
        reason: str,
    ) -> interfaces.OrderOutcome:
        """Send an order until its end is known; raises OrderFailed."""
        for _ in range(MAX_RESENDS):
            if not self._may_order_to(target.id):
                raise OrderFailed("the lease is not held")
            self._ordered_ms_by_id[target.id] = self._state.clock.now_ms()
            order = interfaces.Order(
                kind=kind,
                model=residence[0],
                adapter=residence[1],
                holder=self._state.settings.instance,
                fence=self._fence,
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
                fence=self._fence,
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

    async def _learn(
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
        self._publish()

    async def _await_end(
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
        expected_ms = self._expected_ms(control, kind, spec)
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

    def _expected_ms(
        self,
        control: Control,
        kind: interfaces.OrderKind,
        spec: model.ModelSpec,
    ) -> float:
        if kind is interfaces.OrderKind.UNLOAD:
            return 0.0
        if spec.name in control.in_host_memory:
            return spec.host_ms
        if spec.name in control.on_disk:
            return spec.disk_ms
        return spec.store_ms
