"""Memory limits of placement with lost, late and repeated orders, crashes."""

import asyncio
import dataclasses
import typing

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st
import pytest

from cardamom_config import schema
from cardamom_daemon import demand
from cardamom_daemon import messages
from cardamom_daemon import placer
from cardamom_daemon import targets
from cardamom_kernel import clocks
from cardamom_kernel import documents
from cardamom_kernel import leases
from cardamom_platform import interfaces
from cardamom_platform import pools
from cardamom_policy import placement
from cardamom_policy import situations
from tests import fakes
from tests import test_changes

ENGINES = 3
ENGINE_MB = 1_000
MODELS = {"a": 600, "b": 500, "c": 400, "d": 300, "e": 900}


class FakeControl(interfaces.EngineControl):
    """An engine that checks its memory and may lose or delay orders."""

    def __init__(self) -> None:
        self.restart_count = 0
        self.by_name: dict[tuple[str, str], interfaces.Resident] = {}
        self.outcome = fakes.CommitOutcome.ANSWERED
        self.late_orders: list[interfaces.Order] = []
        self.is_overcommitted = False

    async def state(self) -> interfaces.EngineState:
        """Return the true state."""
        return interfaces.EngineState(
            str(self.restart_count),
            ENGINE_MB,
            tuple(self.by_name.values()),
            0,
            0,
            0,
        )

    async def order(
        self,
        order: interfaces.Order,
        timeout_ms: int,
    ) -> interfaces.OrderResult:
        """Execute, delay or lose an order, as set by ``outcome``."""
        if self.outcome is fakes.CommitOutcome.LATE:
            self.late_orders.append(order)
        if self.outcome in (
            fakes.CommitOutcome.ANSWERED,
            fakes.CommitOutcome.LOST_AFTER,
        ):
            self.execute(order)
        if self.outcome is fakes.CommitOutcome.ANSWERED:
            return interfaces.OrderResult(interfaces.OrderOutcome.ACCEPTED)
        return interfaces.OrderResult(interfaces.OrderOutcome.UNKNOWN)

    async def cache_events(self, after: int) -> interfaces.CacheEvents:
        """Return no events."""
        return interfaces.CacheEvents(str(self.restart_count), ())

    def execute(self, order: interfaces.Order) -> None:
        """Execute an order without any check."""
        name = (order.model, order.adapter)
        if order.kind is interfaces.OrderKind.UNLOAD:
            self.by_name.pop(name, None)
            return
        self.by_name[name] = interfaces.Resident(
            order.model,
            order.version,
            order.adapter,
            order.memory_mb,
            interfaces.LoadState.READY,
        )
        used_mb = sum(r.memory_mb for r in self.by_name.values())
        self.is_overcommitted |= used_mb > ENGINE_MB


class FakeLease:
    """A lease that is always held."""

    def __init__(self, clock: clocks.SteppedClock) -> None:
        self._acquired_ms = clock.now_ms()

    def fence(self) -> leases.Fence:
        """Return the fence."""
        return leases.Fence(1, 1 << 60, self._acquired_ms)


class PlacerMachine(stateful.RuleBasedStateMachine):
    """The real placer with engines that lose or delay orders or crash."""

    placer_type = placer.Placer

    def __init__(self) -> None:
        super().__init__()
        self.clock = clocks.SteppedClock(100_000)
        self.controls = [FakeControl() for _ in range(ENGINES)]
        table = fakes.MemoryTable()
        self.fleet = test_changes.make_fleet("entry", table, self.clock)
        typing.cast(typing.Any, self.fleet).is_fresh = lambda: True
        self.versions = dict.fromkeys(MODELS, 1)
        self.config_version = 0
        self.configure()
        self.target_registry = targets.TargetRegistry(
            self.fleet, typing.cast(typing.Any, None)
        )
        for number, control in enumerate(self.controls):
            spec = self.fleet.catalog.configuration.targets[f"e{number}"]
            target = targets.Target(f"e{number}", spec, control, pools.Pool())
            self.target_registry.by_id[target.id] = target
        self.gossip: typing.Any = test_changes.NoGossip()
        self.meter = demand.DemandMeter(self.clock)
        self.waiting: dict[str, int] = {}
        self.start_placer()
        self.report_all()

    def configure(self) -> None:
        """Adopt a configuration with the current model versions."""
        self.config_version += 1
        configuration = schema.Configuration(
            models={
                name: schema.Model(
                    memory_mb=memory_mb, version=str(self.versions[name])
                )
                for name, memory_mb in MODELS.items()
            },
            targets={
                f"e{n}": schema.Target(
                    kind=schema.TargetKind.ENGINE,
                    group="g",
                    url=f"http://10.0.0.{n}:1",
                    data_centre=f"dc{n}",
                    memory_mb=ENGINE_MB,
                )
                for n in range(ENGINES)
            },
            weight_store=schema.WeightStore(loads_per_s=50),
        )
        body = {"configuration": configuration.model_dump(mode="json")}
        self.fleet.documents.adopt(
            documents.Document("config", self.config_version, body)
        )

    def start_placer(self) -> None:
        """Start a lease holder that acquired the lease just now."""
        self.placer = self.placer_type(
            self.fleet, self.target_registry, self.gossip, self.meter
        )
        lease: typing.Any = FakeLease(self.clock)
        self.placer.lease = lease
        typing.cast(typing.Any, self.placer)._demand = self.demand

    def demand(self) -> dict[situations.Name, situations.Demand]:
        """Return the demand of the waiting calls."""
        return placer.merge_demand(
            [
                messages.DemandNote(model, "", 100.0 * count, count, 0)
                for model, count in self.waiting.items()
            ]
        )

    def report_all(self) -> None:
        """Let every engine report its state."""
        for number in range(ENGINES):
            self.report(number)

    engine = st.integers(0, ENGINES - 1)

    @stateful.rule(number=engine)
    def report(self, number: int) -> None:
        """Let an engine report its state."""
        state = asyncio.run(self.controls[number].state())
        target = self.target_registry.engines()[number]
        target.record_state(state, self.clock.now_ms())

    @stateful.rule(ms=st.sampled_from([100, 1_000, 5_000, 21_000]))
    def pass_time(self, ms: int) -> None:
        """Let time pass; drop late orders whose lifetime has ended."""
        self.clock.step(ms)
        if ms >= placer.ORDER_LIFETIME_MS:
            for control in self.controls:
                control.late_orders.clear()

    @stateful.rule(
        model=st.sampled_from(sorted(MODELS)), count=st.integers(0, 9)
    )
    def set_waiting(self, model: str, count: int) -> None:
        """Set the number of calls that wait for a model."""
        self.waiting[model] = count

    @stateful.rule(
        number=engine,
        commit_outcome=st.sampled_from(list(fakes.CommitOutcome)),
    )
    def set_outcome(
        self, number: int, commit_outcome: fakes.CommitOutcome
    ) -> None:
        """Set whether an engine answers, delays or loses its orders."""
        self.controls[number].outcome = commit_outcome

    @stateful.rule()
    def place(self) -> None:
        """Plan once and send the orders."""
        asyncio.run(self.placer.place())

    @stateful.rule(steps=st.integers(1, 6))
    def run(self, steps: int) -> None:
        """Report, plan and send orders several times."""
        for _ in range(steps):
            self.report_all()
            asyncio.run(self.placer.place())
            self.clock.step(250)

    @stateful.rule(number=engine)
    def execute_late_order(self, number: int) -> None:
        """Execute the oldest late order."""
        control = self.controls[number]
        if control.late_orders:
            control.execute(control.late_orders.pop(0))

    @stateful.rule(number=engine)
    def crash(self, number: int) -> None:
        """Restart an engine with empty memory."""
        control = self.controls[number]
        control.restart_count += 1
        control.by_name.clear()

    @stateful.rule(model=st.sampled_from(sorted(MODELS)))
    def new_version(self, model: str) -> None:
        """Replace a model's version while it serves."""
        self.versions[model] += 1
        self.configure()

    @stateful.rule()
    def new_holder(self) -> None:
        """Let another instance take over the lease."""
        self.start_placer()

    @stateful.invariant()
    def memory_is_never_overcommitted(self) -> None:
        """Assert that no engine has exceeded its memory."""
        assert not any(c.is_overcommitted for c in self.controls)


class IgnoresPendingOrders(placer.Placer):
    """A mutant that does not count pending orders."""

    def _drop_reported_orders(self) -> None:
        """Drop all pending orders."""
        self._pending.clear()


class FreesMemoryAtUnloadOrder(placer.Placer):
    """A mutant that frees memory when an unload is sent."""

    def _engine(self, target: targets.Target) -> situations.Engine:
        """Leave out residents whose unload is ordered."""
        engine = super()._engine(target)
        staying = {
            name: resident
            for name, resident in engine.resident_by_name.items()
            if not resident.is_unloading
        }
        return dataclasses.replace(engine, resident_by_name=staying)


class SkipsWaitForPendingOrders(placer.Placer):
    """A mutant whose new lease holder does not wait for pending orders."""

    async def place(self) -> None:
        """Place without the wait."""
        self.lease = typing.cast(typing.Any, _AcquiredLongAgo())
        await super().place()


class _AcquiredLongAgo:
    def fence(self) -> leases.Fence:
        return leases.Fence(1, 1 << 60, 0)


TestPlacerMachine = PlacerMachine.TestCase
TestPlacerMachine.settings = hypothesis.settings(max_examples=200)


def _set_all(machine: PlacerMachine, outcome: fakes.CommitOutcome) -> None:
    for number in range(ENGINES):
        machine.set_outcome(number, outcome)


def _execute_all_late_orders(machine: PlacerMachine) -> None:
    for number in range(ENGINES):
        while machine.controls[number].late_orders:
            machine.execute_late_order(number)
    machine.memory_is_never_overcommitted()


def _loads_that_arrive_late(machine: PlacerMachine) -> None:
    """Plan for another model while the first loads are pending."""
    machine.pass_time(5_000)
    _set_all(machine, fakes.CommitOutcome.LATE)
    machine.run(1)
    _set_all(machine, fakes.CommitOutcome.ANSWERED)
    machine.set_waiting("e", 5)
    machine.run(2)
    _execute_all_late_orders(machine)


def _unloads_that_are_lost(machine: PlacerMachine) -> None:
    """Make room for a model with unload orders that never arrive."""
    machine.pass_time(5_000)
    machine.run(2)
    machine.pass_time(21_000)
    machine.set_waiting("e", 5)
    _set_all(machine, fakes.CommitOutcome.LOST_BEFORE)
    for _ in range(2):
        machine.report(0)
        machine.report(1)
        machine.place()
        _set_all(machine, fakes.CommitOutcome.ANSWERED)
    machine.memory_is_never_overcommitted()


def _orders_of_the_previous_lease_holder(machine: PlacerMachine) -> None:
    """Take over the lease while orders of the previous holder are pending."""
    machine.pass_time(5_000)
    _set_all(machine, fakes.CommitOutcome.LATE)
    machine.run(1)
    _set_all(machine, fakes.CommitOutcome.ANSWERED)
    machine.new_holder()
    machine.set_waiting("e", 5)
    machine.run(2)
    _execute_all_late_orders(machine)


class TestMutants:
    """Guards against a machine that does not find a broken mechanism."""

    @pytest.mark.parametrize(
        ("scenario", "kind"),
        [
            (_loads_that_arrive_late, IgnoresPendingOrders),
            (_unloads_that_are_lost, FreesMemoryAtUnloadOrder),
            (_orders_of_the_previous_lease_holder, SkipsWaitForPendingOrders),
        ],
    )
    def test_scenario(
        self,
        scenario: typing.Callable[[PlacerMachine], None],
        kind: type[placer.Placer],
    ) -> None:
        scenario(PlacerMachine())
        mutant = type("Mutant", (PlacerMachine,), {"placer_type": kind})
        with pytest.raises(AssertionError):
            scenario(mutant())


class TestPlan:
    """Individual properties of a plan."""

    def _situation(
        self,
        held: dict[str, list[str]],
        waiting: dict[str, int],
        now_ms: int = 100_000,
    ) -> situations.Situation:
        configuration = schema.Configuration(
            models={
                name: schema.Model(memory_mb=memory_mb)
                for name, memory_mb in MODELS.items()
            },
        )
        engines = [
            situations.Engine(
                name,
                name,
                ENGINE_MB,
                {
                    (model, ""): situations.Resident(
                        model, "", "1", MODELS[model], True, 0
                    )
                    for model in models
                },
            )
            for name, models in held.items()
        ]
        demand_by_name = {
            (model, ""): situations.Demand(100.0 * count, count, 0)
            for model, count in waiting.items()
        }
        return situations.Situation(
            configuration, engines, demand_by_name, now_ms, 800.0
        )

    def test_eviction_makes_room_for_a_model_with_waiting_requests(
        self,
    ) -> None:
        held = {"x": ["a", "c"], "y": ["b", "c"], "z": ["d", "b"]}
        moves = placement.plan(self._situation(held, {"e": 1}))
        kinds = {(m.kind, m.model) for m in moves}
        assert any(kind is situations.MoveKind.UNLOAD for kind, _ in kinds)

    def test_idle_models_fill_free_memory(self) -> None:
        moves = placement.plan(self._situation({"x": [], "y": []}, {}))
        assert moves
        assert all(m.kind is situations.MoveKind.LOAD for m in moves)

    def test_complete_placement_has_no_moves(self) -> None:
        held = {"x": ["a", "c"], "y": ["b", "d"], "z": ["e"]}
        assert placement.plan(self._situation(held, {})) == []


class TestAdapters:
    """Adapters on an engine with little memory."""

    def _situation(
        self,
        held: list[str],
        waiting: dict[str, int],
        memory_mb: int = 350,
    ) -> situations.Situation:
        configuration = schema.Configuration(
            models={"m": schema.Model(memory_mb=300)},
            adapters={
                name: schema.Adapter(model="m", memory_mb=50) for name in "xy"
            },
        )
        names = [("m", ""), *[("m", adapter) for adapter in held]]
        engine = situations.Engine(
            "e",
            "a",
            memory_mb,
            {
                name: situations.Resident(
                    *name, "1", 50 if name[1] else 300, True, 0
                )
                for name in names
            },
        )
        demand_by_name = {
            ("m", adapter): situations.Demand(10.0, waiting.get(adapter, 0), 0)
            for adapter in "xy"
        }
        return situations.Situation(
            configuration, [engine], demand_by_name, 100_000, 800.0
        )

    def test_adapters_in_use_do_not_displace_each_other(self) -> None:
        for held in ("x", "y"):
            assert placement.plan(self._situation([held], {})) == []

    def test_waiting_requests_displace_an_idle_adapter_once(self) -> None:
        moves = placement.plan(self._situation(["x"], {"y": 1}))
        assert [(m.kind, m.adapter) for m in moves] == [
            (situations.MoveKind.UNLOAD, "x")
        ]
        moves = placement.plan(self._situation(["y"], {}))
        assert moves == []

    def test_free_memory_gets_adapters_in_use(self) -> None:
        moves = placement.plan(self._situation(["x"], {}, 400))
        assert [(m.kind, m.adapter) for m in moves] == [
            (situations.MoveKind.LOAD, "y")
        ]
