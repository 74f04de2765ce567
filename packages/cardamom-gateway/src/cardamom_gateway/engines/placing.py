"""Placement of models and adapters on engines by the lease holder."""

import asyncio
import collections
import dataclasses
import typing

import structlog

from cardamom_kernel import clocks
from cardamom_kernel import ids
from cardamom_kernel import leases
from cardamom_policy import tiering

from cardamom_gateway.engines import engine_orders
from cardamom_gateway.engines import holdings as holdings_module
from cardamom_gateway.engines import order_terms
from cardamom_gateway.engines import store_loads
from cardamom_gateway import interfaces
from cardamom_gateway.locations import homes as homes_module
from cardamom_gateway import model
from cardamom_gateway import state as state_module
from cardamom_gateway.targets import target_records

LOG = structlog.get_logger("cardamom.gateway.placing")

PLACEMENT_PERIOD_MS = 60  # longest delay until a waiting request is seen
MS_PER_S = 1000
# Unanswered orders are sent again meanwhile; other engines may be quicker.
ADAPTER_TIMEOUT_MS = 250
ADAPTER_LOAD_WAIT_MS = 16  # engines load an adapter within about 14 ms
MIN_ADAPTER_IDLE_MS = 400  # an adapter used more recently is not replaced
ENGINE_START_SPREAD_MS = 2_500  # engines started together register within it
RESERVATION_MS = 5_000  # an unload waits for running requests to end
MAX_DEMAND_AGE_MS = 1_600  # three periods of the slowest exchange of demand

RecordsById = dict[
    ids.TargetId,
    tuple[target_records.TargetRecord, engine_orders.EngineState],
]
Publish = typing.Callable[[], None]


class Placer:
    """Orders loads and unloads while this instance holds the lease.

    ``publish`` sends changed holdings to peers; ``store_clock_ms`` returns
    the store's clock, or None while it is unknown.
    """

    def __init__(
        self,
        state: state_module.GatewayState,
        engines: interfaces.EngineControl,
        lease: leases.Lease,
        publish: Publish,
        store_clock_ms: typing.Callable[[], int | None],
    ) -> None:
        self._state = state
        self._publish = publish
        self._store_loads = store_loads.StoreLoads(state)
        self._term = order_terms.OrderTerm(
            state, lease, self._store_loads, store_clock_ms
        )
        self._orders = engine_orders.EngineOrders(state, engines, self._term)
        self._engine_state_by_id: dict[
            ids.TargetId, engine_orders.EngineState
        ] = {}
        self._tasks: set[asyncio.Task[typing.Any]] = set()
        self._expected_models: set[str] = set()
        self._latest_engine_ms: int = clocks.NEVER_MS

    @property
    def may_order(self) -> bool:
        """Return whether orders may be sent now."""
        return self._term.may_order

    @property
    def is_holder(self) -> bool:
        """Return whether this instance holds the lease."""
        return self._term.is_holder

    @property
    def term(self) -> int:
        """Return the fencing number of the lease, 0 without the lease."""
        return self._term.fencing_number if self.is_holder else 0

    def begin_term(
        self,
        previous_holder: str | None,
        note: typing.Mapping[str, typing.Any],
    ) -> None:
        """Begin a new term of the lease.

        Does nothing if the current term has already begun.  For the arguments
        see ``OrderTerm.begin_term``.
        """
        if self._term.begin_term(previous_holder, note):
            self._engine_state_by_id.clear()

    def handover(self) -> dict[str, typing.Any]:
        """Return the lease's note for the next holder, as JSON fields."""
        return self._term.handover()

    def holdings(self) -> holdings_module.HoldingsByTarget:
        """Return the holdings of engines; empty without the lease.

        Engines whose state is unknown are left out.
        """
        if not self.is_holder:
            return {}
        return {
            target_id: holdings_module.Holdings(
                engine_state.started_ms,
                frozenset(engine_state.residents),
                engine_state.loading,
                engine_state.load_ms,
                engine_state.is_moving,
            )
            for target_id, engine_state in self._engine_state_by_id.items()
            if engine_state.is_state_certain
        }

    async def run(self) -> None:
        """Plan and send orders periodically until cancelled."""
        while True:
            await self._state.clock.sleep_ms(PLACEMENT_PERIOD_MS)
            if self.may_order:
                state = self._state
                own = state.demand.report(
                    state.clock.now_ms() - MAX_DEMAND_AGE_MS
                )
                state.demand_view.receive(state.settings.instance, own)
                self._sync_engines()
                for service in self._engine_services():
                    self._place_service(service)

    async def stop(self) -> None:
        """Cancel all orders in progress and send no others."""
        self._term.end()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def ensure_adapter(
        self, target_id: ids.TargetId, name: str, adapter: str
    ) -> bool:
        """Load an adapter on an engine; return whether it is resident.

        Unloads the least recently used adapter if all slots are taken.  An
        engine that loads or unloads a model accepts no adapter meanwhile.
        The load goes on if the caller is cancelled, and if it takes so long
        that this returns False.
        """
        if not self._term.may_order_to(target_id):
            return False
        self._sync_engines()
        record = self._state.targets.by_id.get(target_id)
        engine_state = self._engine_state_by_id.get(target_id)
        if record is None or engine_state is None:
            return False
        if self._state.targets.is_evacuated(record.target):
            return False
        model_and_adapter = (name, adapter)
        if model_and_adapter in engine_state.residents:
            return True
        if engine_state.is_moving:
            return False
        load = engine_state.adapter_loads.get(model_and_adapter)
        if load is None:
            load = asyncio.create_task(
                self._load_adapter(record, engine_state, model_and_adapter)
            )
            self._keep_until_done(load)
            engine_state.adapter_loads[model_and_adapter] = load
        await asyncio.wait({load}, timeout=ADAPTER_TIMEOUT_MS / MS_PER_S)
        return load.done() and not load.cancelled() and load.result()

    async def _load_adapter(
        self,
        record: target_records.TargetRecord,
        engine_state: engine_orders.EngineState,
        model_and_adapter: model.ModelAndAdapter,
    ) -> bool:
        try:
            is_loaded = await self._order_adapter(
                record, engine_state, model_and_adapter
            )
        finally:
            del engine_state.adapter_loads[model_and_adapter]
        if is_loaded:
            await self._state.clock.sleep_ms(ADAPTER_LOAD_WAIT_MS)
            self._publish()
        return is_loaded

    async def _order_adapter(
        self,
        record: target_records.TargetRecord,
        engine_state: engine_orders.EngineState,
        model_and_adapter: model.ModelAndAdapter,
    ) -> bool:
        async with engine_state.lock:
            if model_and_adapter in engine_state.residents:
                return True
            if (
                (model_and_adapter[0], "") not in engine_state.residents
                or not engine_state.is_state_certain
            ):
                return False
            try:
                if not await self._make_room(record, engine_state):
                    return False
                await self._orders.send(
                    record.target,
                    engine_state,
                    interfaces.OrderKind.LOAD,
                    model_and_adapter,
                    "a request needs it",
                )
            except engine_orders.OrderFailed as error:
                self._handle_order_failure(
                    record, engine_state, model_and_adapter, error
                )
                return False
            engine_state.residents.add(model_and_adapter)
            engine_state.used_at_ms[model_and_adapter] = (
                self._state.clock.now_ms()
            )
        return True

    async def _make_room(
        self,
        record: target_records.TargetRecord,
        engine_state: engine_orders.EngineState,
    ) -> bool:
        """Free an adapter slot; return whether one is free.

        Raises OrderFailed.
        """
        configuration = self._state.configuration
        assert configuration is not None
        service = configuration.service_by_id.get(record.target.service)
        if service is None or service.engine is None:
            return False
        now_ms = self._state.clock.now_ms()
        adapters = engine_state.adapters()
        if len(adapters) < service.engine.adapter_slots:
            return True
        for adapter in adapters:
            if (
                now_ms - engine_state.used_at_ms.get(adapter, 0)
                < MIN_ADAPTER_IDLE_MS
            ):
                return False
            outcome = await self._orders.send(
                record.target,
                engine_state,
                interfaces.OrderKind.UNLOAD,
                adapter,
                "room for another adapter",
            )
            engine_state.residents.discard(adapter)
            self._publish()
            if outcome is interfaces.OrderOutcome.ALREADY_HOLDS:
                return True
        return False

    def _engine_services(self) -> list[model.Service]:
        configuration = self._state.configuration
        if configuration is None:
            return []
        return [
            service
            for service in configuration.service_by_id.values()
            if service.engine is not None
        ]

    def _sync_engines(self) -> None:
        """Update the engine states from the engines' entries."""
        engine_by_id = {
            target_id: record.target
            for service in self._engine_services()
            for target_id, record in self._state.targets.by_id.items()
            if record.target.service == service.id
        }
        for target_id in list(self._engine_state_by_id):
            if target_id not in engine_by_id:
                del self._engine_state_by_id[target_id]
        for target_id, target in engine_by_id.items():
            engine_state = self._engine_state_by_id.get(target_id)
            if (
                engine_state is None
                or engine_state.started_ms != target.started_ms
            ):
                engine_state = engine_orders.EngineState(
                    target.started_ms,
                    0,
                    set(target.residents),
                    target.in_host_memory,
                    target.on_disk,
                )
                self._engine_state_by_id[target_id] = engine_state
                self._update_expected_models()
                self._latest_engine_ms = self._state.clock.now_ms()
                self._start_task(self._await_report(target, engine_state))
            elif not engine_state.lock.locked():
                engine_state.in_host_memory = target.in_host_memory
                engine_state.on_disk = target.on_disk

    def _update_expected_models(self) -> None:
        """Record models resident on several engines before any order.

        They are expected to be in demand, as the engines started with them.
        """
        engine_count_by_model = collections.Counter(
            name
            for engine_state in self._engine_state_by_id.values()
            for name in {name for name, _ in engine_state.residents}
        )
        if not self._store_loads.started_ms:
            self._expected_models = {
                name
                for name, count in engine_count_by_model.items()
                if count > 1
            }

    async def _await_report(
        self,
        target: model.Target,
        engine_state: engine_orders.EngineState,
        lag_ms: int = 0,
    ) -> None:
        await self._orders.await_report(target, engine_state, lag_ms)
        self._publish()

    def _start_task(
        self, coroutine: typing.Coroutine[typing.Any, typing.Any, None]
    ) -> None:
        self._keep_until_done(asyncio.create_task(coroutine))

    def _keep_until_done(self, task: asyncio.Task[typing.Any]) -> None:
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _place_service(self, service: model.Service) -> None:
        engine = service.engine
        assert engine is not None
        records_by_id = {
            record.target.id: (
                record,
                self._engine_state_by_id[record.target.id],
            )
            for record in self._state.targets.of_service(service.id)
            if record.target.id in self._engine_state_by_id
        }
        situation = self._describe_situation(engine, records_by_id)
        moves = tiering.plan(situation)
        if moves:
            LOG.info(
                "placing: plan",
                service=service.id,
                moves=len(moves),
                store_loads_left=situation.allowed_store_loads,
                demand_by_model={
                    name: [round(demand.work_per_s), demand.waiting]
                    for name, demand in situation.demand_by_model.items()
                    if demand.work_per_s >= 1 or demand.waiting
                },
                wanted_by_model=tiering.copies_by_model(situation),
            )
        self._start_moves(engine, records_by_id, moves)
        for move in moves:
            del records_by_id[ids.TargetId(move.engine)]
        self._place_at_homes(engine, records_by_id)

    def _place_at_homes(
        self, engine: model.EngineSpec, records_by_id: RecordsById
    ) -> None:
        """Load models that requests wait for which may run in some regions.

        Copies elsewhere are of no use to them.
        """
        regions = self._state.settings.region_by_data_centre
        for homes, demand_by_model in self._demand_at_homes(engine).items():
            at_home = {
                target_id: (record, engine_state)
                for target_id, (record, engine_state) in records_by_id.items()
                if homes.includes(record.target.data_centre, regions)
            }
            situation = self._describe_situation(engine, at_home)
            others = {
                name: dataclasses.replace(demand, waiting=0)
                for name, demand in situation.demand_by_model.items()
            }
            moves = [
                move
                for move in tiering.plan(
                    dataclasses.replace(
                        situation, demand_by_model=others | demand_by_model
                    )
                )
                if (move.makes_room_for or move.model) in demand_by_model
            ]
            if moves:
                LOG.info(
                    "placing: plan at homes",
                    homes=str(homes),
                    moves=len(moves),
                    waiting_by_model={
                        name: demand.waiting
                        for name, demand in demand_by_model.items()
                    },
                )
            self._start_moves(engine, at_home, moves)
            for move in moves:
                del records_by_id[ids.TargetId(move.engine)]

    def _demand_at_homes(
        self, engine: model.EngineSpec
    ) -> dict[homes_module.Homes, dict[str, tiering.Demand]]:
        """Return the demand of requests that wait, by homes and model."""
        view = self._state.demand_view
        demand_by_homes = collections.defaultdict[
            homes_module.Homes, dict[str, tiering.Demand]
        ](dict)
        for demand_name in view.names():
            name, homes = homes_module.split_demand_name(demand_name)
            if not homes.are_bound or name not in engine.model_by_name:
                continue
            waiting, oldest_wait_ms = view.waiting(
                demand_name, MAX_DEMAND_AGE_MS
            )
            if waiting:
                demand_by_homes[homes][name] = dataclasses.replace(
                    self._describe_demand(name),
                    waiting=waiting,
                    oldest_wait_ms=oldest_wait_ms,
                )
        return demand_by_homes

    def _start_moves(
        self,
        engine: model.EngineSpec,
        records_by_id: RecordsById,
        moves: typing.Iterable[tiering.Move],
    ) -> None:
        for move in moves:
            record, engine_state = records_by_id[ids.TargetId(move.engine)]
            if move.from_store:
                self._store_loads.note_start()
            kind = interfaces.OrderKind[move.kind.name]
            if kind is interfaces.OrderKind.LOAD:
                engine_state.loading = move.model
                engine_state.reserved_for = ""
            else:
                engine_state.reserved_for = move.makes_room_for
                engine_state.reserved_until_ms = (
                    self._state.clock.now_ms() + RESERVATION_MS
                )
            coroutine = self._execute_move(
                record,
                engine_state,
                kind,
                engine.model_by_name[move.model],
                move,
            )
            self._start_task(coroutine)

    def _describe_situation(
        self,
        engine: model.EngineSpec,
        records_by_id: RecordsById,
    ) -> tiering.Situation:
        specs = engine.model_by_name
        adapter_reserve_mb = engine.adapter_slots * max(
            (spec.adapter_mb for spec in specs.values()), default=0.0
        )
        return tiering.Situation(
            size_by_model={
                name: tiering.ModelSize(
                    spec.memory_mb,
                    spec.host_load_ms,
                    spec.disk_load_ms,
                    spec.store_load_ms,
                )
                for name, spec in specs.items()
            },
            engines=[
                self._describe_engine(
                    record, engine_state, engine.memory_mb - adapter_reserve_mb
                )
                for record, engine_state in records_by_id.values()
                if record.suspect_until_ms <= self._state.clock.now_ms()
            ],
            demand_by_model={
                name: self._describe_demand(name) for name in specs
            },
            allowed_store_loads=self._store_loads.remaining(engine),
            is_settled=self._state.clock.now_ms() - self._latest_engine_ms
            >= ENGINE_START_SPREAD_MS,
        )

    def _describe_engine(
        self,
        record: target_records.TargetRecord,
        engine_state: engine_orders.EngineState,
        memory_mb: float,
    ) -> tiering.Engine:
        now_ms = self._state.clock.now_ms()
        names = {name for name, _ in engine_state.residents}
        in_use = record.in_use(now_ms)
        for model_and_adapter in in_use:
            engine_state.used_at_ms[model_and_adapter] = now_ms
            engine_state.used_at_ms[(model_and_adapter[0], "")] = now_ms
        busy_until_ms = max(
            engine_state.busy_until_ms,
            self._term.orders_allowed_from_ms(record.target.id),
        )
        running_by_model = collections.Counter[str]()
        for (name, _), count in in_use.items():
            running_by_model[name] += count
        return tiering.Engine(
            id=record.target.id,
            memory_mb=memory_mb,
            by_model={
                name: tiering.Resident(
                    running=running_by_model[name],
                    loaded_ms_ago=now_ms
                    - engine_state.loaded_at_ms.get(name, clocks.NEVER_MS),
                    used_ms_ago=now_ms
                    - engine_state.used_at_ms.get((name, ""), clocks.NEVER_MS),
                )
                for name in names
            },
            in_host_memory=engine_state.in_host_memory,
            on_disk=engine_state.on_disk,
            is_free=not engine_state.loading
            and engine_state.is_state_certain
            and not engine_state.lock.locked()
            and self._term.may_order_to(record.target.id),
            is_state_certain=engine_state.is_state_certain,
            busy_ms=max(0, busy_until_ms - now_ms),
            loading=engine_state.loading,
            reserved_for=engine_state.reserved_for
            if engine_state.reserved_until_ms > now_ms
            else "",
            is_cold=record.cold.is_cold(now_ms),
        )

    def _describe_demand(self, name: str) -> tiering.Demand:
        view = self._state.demand_view
        waiting, oldest_wait_ms = view.waiting(name, MAX_DEMAND_AGE_MS)
        return tiering.Demand(
            view.work_per_s(name),
            waiting,
            oldest_wait_ms,
            view.is_urgent(name),
            name in self._expected_models,
            view.has_had_requests(name),
        )

    async def _execute_move(
        self,
        record: target_records.TargetRecord,
        engine_state: engine_orders.EngineState,
        kind: interfaces.OrderKind,
        spec: model.ModelSpec,
        move: tiering.Move,
    ) -> None:
        name = spec.name
        engine_state.is_moving = True
        try:
            async with engine_state.lock:
                self._set_expected_duration(engine_state, kind, spec)
                if kind is interfaces.OrderKind.UNLOAD:
                    engine_state.residents = {
                        r for r in engine_state.residents if r[0] != name
                    }
                self._publish()
                outcome = await self._orders.send(
                    record.target, engine_state, kind, (name, ""), move.reason
                )
                if outcome is interfaces.OrderOutcome.ACCEPTED:
                    await self._orders.await_end(
                        record, engine_state, kind, spec
                    )
                elif kind is interfaces.OrderKind.LOAD:
                    engine_state.residents.add((name, ""))
                engine_state.loaded_at_ms[name] = self._state.clock.now_ms()
        except engine_orders.OrderFailed as error:
            engine_state.reserved_for = ""
            self._handle_order_failure(record, engine_state, (name, ""), error)
        finally:
            engine_state.loading = ""
            engine_state.load_ms = 0
            engine_state.is_moving = False
            self._publish()

    def _handle_order_failure(
        self,
        record: target_records.TargetRecord,
        engine_state: engine_orders.EngineState,
        model_and_adapter: model.ModelAndAdapter,
        error: engine_orders.OrderFailed,
    ) -> None:
        """Log a failed order and resync with the engine's report."""
        LOG.info(
            "placing: order failed",
            target=record.target.id,
            model=model_and_adapter[0],
            adapter=model_and_adapter[1],
            reason=str(error),
        )
        if engine_state.is_state_certain and not self._term.is_ended:
            engine_state.is_state_certain = False
            self._start_task(
                self._await_report(
                    record.target, engine_state, engine_orders.REPORT_AGE_MS
                )
            )

    def _set_expected_duration(
        self,
        engine_state: engine_orders.EngineState,
        kind: interfaces.OrderKind,
        spec: model.ModelSpec,
    ) -> None:
        expected_ms = int(self._orders.expected_ms(engine_state, kind, spec))
        engine_state.busy_until_ms = self._state.clock.now_ms() + expected_ms
        if kind is interfaces.OrderKind.LOAD:
            engine_state.load_ms = expected_ms
