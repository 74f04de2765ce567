"""Placement: memory through lost, late and repeated orders and crashes."""

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
    """An engine that counts memory and may lose or delay orders."""

    def __init__(self) -> None:
        self.boot = 0
        self.by_name: dict[tuple[str, str], interfaces.Resident] = {}
        self.fate = fakes.Fate.ANSWERED
        self.late: list[interfaces.Order] = []
        self.overcommitted = False

    async def state(self) -> interfaces.EngineState:
        """Return the true state."""
        return interfaces.EngineState(
            str(self.boot),
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
        """Take an order by the fate that is set."""
        if self.fate is fakes.Fate.LATE:
            self.late.append(order)
        if self.fate in (fakes.Fate.ANSWERED, fakes.Fate.LOST_AFTER):
            self.execute(order)
        if self.fate is fakes.Fate.ANSWERED:
            return interfaces.OrderResult(interfaces.OrderState.ACCEPTED)
        return interfaces.OrderResult(interfaces.OrderState.UNKNOWN)

    async def cache_events(self, after: int) -> interfaces.CacheEvents:
        """Return none."""
        return interfaces.CacheEvents(str(self.boot), ())

    def execute(self, order: interfaces.Order) -> None:
        """Carry out an order without any check of its own."""
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
        self.overcommitted |= used_mb > ENGINE_MB


class FakeLease:
    """A lease that is always held."""

    def __init__(self, clock: clocks.SteppedClock) -> None:
        self._acquired_ms = clock.now_ms()

    def fence(self) -> leases.Fence:
        """Return the fence."""
        return leases.Fence(1, 1 << 60, self._acquired_ms)


class PlacerMachine(stateful.RuleBasedStateMachine):
    """The real placer over engines that lose, delay and crash."""

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
        self.book = targets.TargetBook(
            self.fleet, typing.cast(typing.Any, None)
        )
        for number, control in enumerate(self.controls):
            spec = self.fleet.catalog.configuration.targets[f"e{number}"]
            target = targets.Target(f"e{number}", spec, control, pools.Pool())
            self.book.by_id[target.id] = target
        self.gossip: typing.Any = test_changes.NoGossip()
        self.meter = demand.DemandMeter(self.clock)
        self.waiting: dict[str, int] = {}
        self.start_placer()
        self.report_all()

    def configure(self) -> None:
        """Adopt a configuration with the present versions."""
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
        """Begin as a holder that has waited for orders under way."""
        self.placer = self.placer_type(
            self.fleet, self.book, self.gossip, self.meter
        )
        lease: typing.Any = FakeLease(self.clock)
        self.placer.lease = lease
        typing.cast(typing.Any, self.placer)._demand = self.demand

    def demand(self) -> dict[situations.Name, situations.Demand]:
        """Return what waits."""
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
        target = self.book.engines()[number]
        target.report(state, self.clock.now_ms())

    @stateful.rule(ms=st.sampled_from([100, 1_000, 5_000, 21_000]))
    def pass_time(self, ms: int) -> None:
        """Let time pass; what is late for longest cannot land any more."""
        self.clock.step(ms)
        if ms >= placer.ORDER_LIFETIME_MS:
            for control in self.controls:
                control.late.clear()

    @stateful.rule(
        model=st.sampled_from(sorted(MODELS)), count=st.integers(0, 9)
    )
    def want(self, model: str, count: int) -> None:
        """Set how many calls wait for a model."""
        self.waiting[model] = count

    @stateful.rule(number=engine, fate=st.sampled_from(list(fakes.Fate)))
    def set_fate(self, number: int, fate: fakes.Fate) -> None:
        """Set what becomes of an engine's orders."""
        self.controls[number].fate = fate

    @stateful.rule()
    def place(self) -> None:
        """Plan and order once."""
        asyncio.run(self.placer.place())

    @stateful.rule(steps=st.integers(1, 6))
    def run(self, steps: int) -> None:
        """Report, plan and order for a while."""
        for _ in range(steps):
            self.report_all()
            asyncio.run(self.placer.place())
            self.clock.step(250)

    @stateful.rule(number=engine)
    def land(self, number: int) -> None:
        """Let a late order take effect."""
        control = self.controls[number]
        if control.late:
            control.execute(control.late.pop(0))

    @stateful.rule(number=engine)
    def crash(self, number: int) -> None:
        """Let an engine lose its memory and come back."""
        control = self.controls[number]
        control.boot += 1
        control.by_name.clear()

    @stateful.rule(model=st.sampled_from(sorted(MODELS)))
    def new_version(self, model: str) -> None:
        """Replace a model's version while it serves."""
        self.versions[model] += 1
        self.configure()

    @stateful.rule()
    def new_holder(self) -> None:
        """Let another instance take the lease over."""
        self.start_placer()

    @stateful.invariant()
    def memory_is_never_overcommitted(self) -> None:
        """Assert the engines' own count."""
        assert not any(c.overcommitted for c in self.controls)


class ForgetsOrders(placer.Placer):
    """A mutant that does not count orders under way."""

    def _settle_pending(self) -> None:
        """Forget them all."""
        self._pending.clear()


class CountsOnUnloads(placer.Placer):
    """A mutant that frees memory when an unload is sent."""

    def _engine(self, target: targets.Target) -> situations.Engine:
        """Leave out what is about to leave."""
        engine = super()._engine(target)
        staying = {
            name: held
            for name, held in engine.by_name.items()
            if not held.is_leaving
        }
        return dataclasses.replace(engine, by_name=staying)


class NoWaitForOrders(placer.Placer):
    """A mutant whose new holder does not wait for orders under way."""

    async def place(self) -> None:
        """Place at once."""
        self.lease = typing.cast(typing.Any, _AcquiredLongAgo())
        await super().place()


class _AcquiredLongAgo:
    def fence(self) -> leases.Fence:
        return leases.Fence(1, 1 << 60, 0)


TestPlacerMachine = PlacerMachine.TestCase
TestPlacerMachine.settings = hypothesis.settings(max_examples=200)


def _set_all(machine: PlacerMachine, fate: fakes.Fate) -> None:
    for number in range(ENGINES):
        machine.set_fate(number, fate)


def _land_all(machine: PlacerMachine) -> None:
    for number in range(ENGINES):
        while machine.controls[number].late:
            machine.land(number)
    machine.memory_is_never_overcommitted()


def _loads_that_land_late(machine: PlacerMachine) -> None:
    """Plan for another model while the first loads are under way."""
    machine.pass_time(5_000)
    _set_all(machine, fakes.Fate.LATE)
    machine.run(1)
    _set_all(machine, fakes.Fate.ANSWERED)
    machine.want("e", 5)
    machine.run(2)
    _land_all(machine)


def _unloads_that_are_lost(machine: PlacerMachine) -> None:
    """Make room for a model by unloads that never arrive."""
    machine.pass_time(5_000)
    machine.run(2)
    machine.pass_time(21_000)
    machine.want("e", 5)
    _set_all(machine, fakes.Fate.LOST_BEFORE)
    for _ in range(2):
        machine.report(0)
        machine.report(1)
        machine.place()
        _set_all(machine, fakes.Fate.ANSWERED)
    machine.memory_is_never_overcommitted()


def _orders_of_the_holder_before(machine: PlacerMachine) -> None:
    """Take the lease over while orders of the other are under way."""
    machine.pass_time(5_000)
    _set_all(machine, fakes.Fate.LATE)
    machine.run(1)
    _set_all(machine, fakes.Fate.ANSWERED)
    machine.new_holder()
    machine.want("e", 5)
    machine.run(2)
    _land_all(machine)


class TestMutants:
    """Each mechanism that is broken on purpose is found."""

    @pytest.mark.parametrize(
        ("scene", "kind"),
        [
            (_loads_that_land_late, ForgetsOrders),
            (_unloads_that_are_lost, CountsOnUnloads),
            (_orders_of_the_holder_before, NoWaitForOrders),
        ],
    )
    def test_scene(
        self,
        scene: typing.Callable[[PlacerMachine], None],
        kind: type[placer.Placer],
    ) -> None:
        scene(PlacerMachine())
        mutant = type("Mutant", (PlacerMachine,), {"placer_type": kind})
        with pytest.raises(AssertionError):
            scene(mutant())


class TestPlan:
    """Single properties of a plan."""

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
                    (model, ""): situations.Held(
                        model, "", "1", MODELS[model], True, 0
                    )
                    for model in models
                },
            )
            for name, models in held.items()
        ]
        wants = {
            (model, ""): situations.Demand(100.0 * count, count, 0)
            for model, count in waiting.items()
        }
        return situations.Situation(
            configuration, engines, wants, now_ms, 800.0
        )

    def test_waited_for_model_is_reached_by_an_eviction(self) -> None:
        held = {"x": ["a", "c"], "y": ["b", "c"], "z": ["d", "b"]}
        moves = placement.plan(self._situation(held, {"e": 1}))
        kinds = {(m.kind, m.model) for m in moves}
        assert any(kind is situations.MoveKind.UNLOAD for kind, _ in kinds)

    def test_idle_models_fill_free_memory(self) -> None:
        moves = placement.plan(self._situation({"x": [], "y": []}, {}))
        assert moves
        assert all(m.kind is situations.MoveKind.LOAD for m in moves)

    def test_nothing_moves_when_all_is_well(self) -> None:
        held = {"x": ["a", "c"], "y": ["b", "d"], "z": ["e"]}
        assert placement.plan(self._situation(held, {})) == []


class TestAdapters:
    """Adapters where memory is short."""

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
                name: situations.Held(
                    *name, "1", 50 if name[1] else 300, True, 0
                )
                for name in names
            },
        )
        wants = {
            ("m", adapter): situations.Demand(10.0, waiting.get(adapter, 0), 0)
            for adapter in "xy"
        }
        return situations.Situation(
            configuration, [engine], wants, 100_000, 800.0
        )

    def test_adapters_in_use_do_not_displace_each_other(self) -> None:
        for held in ("x", "y"):
            assert placement.plan(self._situation([held], {})) == []

    def test_waited_for_adapter_displaces_an_idle_one_once(self) -> None:
        moves = placement.plan(self._situation(["x"], {"y": 1}))
        assert [(m.kind, m.adapter) for m in moves] == [
            (situations.MoveKind.UNLOAD, "x")
        ]
        moves = placement.plan(self._situation(["y"], {}))
        assert moves == []

    def test_room_is_filled_with_what_is_in_use(self) -> None:
        moves = placement.plan(self._situation(["x"], {}, 400))
        assert [(m.kind, m.adapter) for m in moves] == [
            (situations.MoveKind.LOAD, "y")
        ]
