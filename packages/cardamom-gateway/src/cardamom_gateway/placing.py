"""One holder of a lease decides what engines load and unload."""

import asyncio
import collections
import typing

import structlog

from cardamom_kernel import clocks
from cardamom_kernel import ids
from cardamom_kernel import leases
from cardamom_policy import tiering

from cardamom_gateway import engine_orders
from cardamom_gateway import interfaces
from cardamom_gateway import model
from cardamom_gateway import order_turns
from cardamom_gateway import state as state_module
from cardamom_gateway import store_loads
from cardamom_gateway import target_book

LOG = structlog.get_logger("cardamom.gateway.placing")

TICK_MS = 60  # a request that waits for a model is seen within a tick
ADAPTER_SETTLE_MS = 16  # an adapter is loaded within some 14 ms
ADAPTER_USE_MS = 400  # an adapter used so lately is not replaced
SETTLED_MS = 2_500  # engines that start together register within it
RESERVE_MS = 5_000  # an unload waits for the requests that run
DEMAND_AGE_MS = 1_600  # three periods of the slowest exchange

Publish = typing.Callable[[], None]


class Placer:
    """Places models and adapters while it holds the lease."""

    def __init__(
        self,
        state: state_module.GatewayState,
        engines: interfaces.EngineControl,
        lease: leases.Lease,
        publish: Publish,
        store_ms: typing.Callable[[], int | None],
    ) -> None:
        self._state = state
        self._publish = publish
        self._loads = store_loads.StoreLoads(state)
        self._turns = order_turns.OrderTurns(
            state, lease, self._loads, store_ms
        )
        self._orders = engine_orders.EngineOrders(state, engines, self._turns)
        self._control_by_id: dict[ids.TargetId, engine_orders.Control] = {}
        self._work: set[asyncio.Task[None]] = set()
        self._expected: set[str] = set()
        self._new_engine_ms: int = clocks.NEVER_MS

    @property
    def may_order(self) -> bool:
        """Tell whether an order may be sent at this moment."""
        return self._turns.may_order

    @property
    def is_holder(self) -> bool:
        """Tell whether the lease is held here."""
        return self._turns.is_holder

    def begin_term(
        self,
        previous_holder: str | None,
        note: typing.Mapping[str, typing.Any],
    ) -> None:
        """Begin a term of the lease, if it is a new one."""
        if self._turns.note_fence(previous_holder, note):
            self._control_by_id.clear()

    def handover(self) -> dict[str, typing.Any]:
        """Return the note for the next holder."""
        return self._turns.handover()

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
        self._turns.end()
        for task in list(self._work):
            task.cancel()
        await asyncio.gather(*self._work, return_exceptions=True)

    async def ensure_adapter(
        self, target_id: ids.TargetId, name: str, adapter: str
    ) -> bool:
        """Load an adapter on an engine; tells whether it is there."""
        if not self._turns.may_order_to(target_id):
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
                await self._orders.send(
                    record.target,
                    control,
                    interfaces.OrderKind.LOAD,
                    residence,
                    "a request needs it",
                )
            except engine_orders.OrderFailed as error:
                self._note_failed(record, control, residence, error)
                return False
            control.residents.add(residence)
            control.used_at_ms[residence] = self._state.clock.now_ms()
        await self._state.clock.sleep_ms(ADAPTER_SETTLE_MS)
        self._publish()
        return True

    async def _make_room(
        self, record: target_book.TargetRecord, control: engine_orders.Control
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
            outcome = await self._orders.send(
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
                control = engine_orders.Control(
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
        if not self._loads.begun_ms:
            self._expected = {name for name, n in count.items() if n > 1}

    async def _learn(
        self,
        target: model.Target,
        control: engine_orders.Control,
        lag_ms: int = 0,
    ) -> None:
        await self._orders.learn(target, control, lag_ms)
        self._publish()

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
                self._loads.note()
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
        controls: dict[
            ids.TargetId,
            tuple[target_book.TargetRecord, engine_orders.Control],
        ],
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
            store_loads=self._loads.left(engine),
            is_settled=self._state.clock.now_ms() - self._new_engine_ms
            >= SETTLED_MS,
        )

    def _engine(
        self,
        record: target_book.TargetRecord,
        control: engine_orders.Control,
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
            self._turns.orders_from_ms(record.target.id),
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
            and self._turns.may_order_to(record.target.id),
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

    async def _carry_out(
        self,
        record: target_book.TargetRecord,
        control: engine_orders.Control,
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
                outcome = await self._orders.send(
                    record.target, control, kind, (name, ""), move.reason
                )
                if outcome is interfaces.OrderOutcome.ACCEPTED:
                    await self._orders.await_end(record, control, kind, spec)
                elif kind is interfaces.OrderKind.LOAD:
                    control.residents.add((name, ""))
                control.loaded_at_ms[name] = self._state.clock.now_ms()
        except engine_orders.OrderFailed as error:
            control.reserved_for = ""
            self._note_failed(record, control, (name, ""), error)
        finally:
            control.loading = ""
            control.load_ms = 0
            self._publish()

    def _note_failed(
        self,
        record: target_book.TargetRecord,
        control: engine_orders.Control,
        residence: model.Residence,
        error: engine_orders.OrderFailed,
    ) -> None:
        """Ask an engine what it holds, as an order to it has failed."""
        LOG.info(
            "placing: order failed",
            target=record.target.id,
            model=residence[0],
            adapter=residence[1],
            reason=str(error),
        )
        if control.is_known and not self._turns.is_over:
            control.is_known = False
            self._start(
                self._learn(record.target, control, engine_orders.REPORT_MS)
            )

    def _note_begun(
        self,
        control: engine_orders.Control,
        kind: interfaces.OrderKind,
        spec: model.ModelSpec,
    ) -> None:
        expected_ms = int(self._orders.expected_ms(control, kind, spec))
        control.busy_until_ms = self._state.clock.now_ms() + expected_ms
        if kind is interfaces.OrderKind.LOAD:
            control.load_ms = expected_ms
