"""Which models each engine should hold, given where weights are kept.

Weights come from the engine's host memory, its disk or the weight store, from
the fastest to the slowest.  Only loads from the weight store count against
its rate limit.  A place is room for one model in an engine's memory.  Urgent
models, whose objective is shorter than a load, get most places, in proportion
to their work.  Non-urgent models, whose requests can wait for a load, share
one place on each engine, which is replaced on demand.  While an urgent model
is overloaded, orders for non-urgent models leave half of the engines free.

This handles demand that moves between models within seconds, and simultaneous
requests for many rarely used models.
"""

import collections
import dataclasses
import enum
import math
import typing

# Work is in replica milliseconds per second (ms/s).  Costs of moves are in
# milliseconds, comparable to load times.

# Places reserved for each non-urgent model; these models take turns.
PLACES_PER_NON_URGENT_MODEL = 0.4
# An additional copy replaces another model's copy only if it carries this
# many times the work that the other model's remaining copies would carry.
MIN_WORK_RATIO = 1.6
# Costs of a load from the weight store besides its duration: the load
# displaces other weights from a disk, which delays a later request for them.
URGENT_STORE_COST_MS = 500.0
NON_URGENT_STORE_COST_MS = 3_000.0
# Fraction of the engines that may load from the weight store at once, for
# non-urgent models; higher while no model has demand, as before traffic.
NON_URGENT_STORE_LOAD_FRACTION = 0.25
IDLE_STORE_LOAD_FRACTION = 0.7
EXPECTED_COST_MS = 800.0  # of replacing a model with demand expected soon
COPY_WORK_MS_PER_S = 350.0  # work of a copy that leaves room for bursts
# With less work a model is idle: the measure decays and never reaches zero.
IDLE_WORK_MS_PER_S = 5.0
# Fraction of the engines that orders for non-urgent models may occupy while
# an urgent model is overloaded.
NON_URGENT_ORDER_FRACTION = 0.5
# From this number on, an engine that loads weights is a small part of all.
MANY_ENGINES = 40
ENGINE_WORK_COST = 0.3  # ms for each ms/s of urgent work on an engine
# Cost of replacing a model without any request so far; it may be urgent.
UNSEEN_COST_MS = 500.0
UNLOAD_MS = 100.0  # duration of an unload order and of the report of its end
# An unload waits for running streams, which takes seconds in the worst case.
DRAIN_MS = 700.0
DRAIN_MS_PER_REQUEST = 150.0
MIN_RESIDENCE_MS = 1_500  # a loaded model stays on its engine this long
RECENT_USE_MS = 600  # replacing a model used this recently costs more


@dataclasses.dataclass(frozen=True)
class SpreadLimits:
    """How readily busy models get further copies.

    A copy with more than ``overload_work_per_s`` is overloaded.
    ``store_loads_per_model`` loads of one model from the weight store may run
    at once.  ``may_take_non_urgent`` is whether a busy model may take places
    of non-urgent ones while these hold more than are set aside.
    """

    overload_work_per_s: float
    store_loads_per_model: int
    may_take_non_urgent: bool


FEW_ENGINES_LIMITS = SpreadLimits(700.0, 2, False)
MANY_ENGINES_LIMITS = SpreadLimits(450.0, 8, True)


class MoveKind(enum.Enum):
    """What a move does."""

    LOAD = "load"
    UNLOAD = "unload"


@dataclasses.dataclass(frozen=True)
class Move:
    """One planned order with its reason.

    ``makes_room_for`` is the model for which an unload makes room.
    """

    kind: MoveKind
    engine: str
    model: str
    reason: str
    from_store: bool = False
    makes_room_for: str = ""


@dataclasses.dataclass(frozen=True)
class ModelSize:
    """A model's memory, and its load times by location of the weights."""

    memory_mb: float
    host_load_ms: float
    disk_load_ms: float
    store_load_ms: float


@dataclasses.dataclass(frozen=True)
class Demand:
    """Demand for a model over all instances.

    ``work_per_s`` is in replica milliseconds per second; ``waiting`` counts
    requests that wait until some engine has loaded the model.  If
    ``is_expected``, the platform has itself placed the model on several
    engines; if ``has_had_requests``, the model has had at least one request.
    """

    work_per_s: float = 0.0
    waiting: int = 0
    oldest_wait_ms: int = 0
    is_urgent: bool = False
    is_expected: bool = False
    has_had_requests: bool = True

    @property
    def is_active(self) -> bool:
        """Return whether the model has current or waiting requests."""
        return self.work_per_s >= IDLE_WORK_MS_PER_S or self.waiting > 0


@dataclasses.dataclass(frozen=True)
class Resident:
    """A model loaded on an engine, with its number of running requests."""

    running: int
    loaded_ms_ago: int
    used_ms_ago: int


@dataclasses.dataclass(frozen=True)
class Engine:
    """One running engine.

    If ``is_free``, an order may be sent; if ``is_state_certain``, the engine's
    contents are certain.  Such an engine that is not free is executing an
    order, which should end in ``busy_ms``.  ``memory_mb`` is the memory for
    models, without the room for adapters.  ``reserved_for`` is the model for
    which another one was unloaded.  An engine that ``is_cold`` bears only a
    few requests a second for some seconds.
    """

    id: str
    memory_mb: float
    by_model: typing.Mapping[str, Resident]
    in_host_memory: frozenset[str]
    on_disk: frozenset[str]
    is_free: bool
    is_state_certain: bool = True
    busy_ms: float = 0.0
    loading: str = ""
    reserved_for: str = ""
    is_cold: bool = False


@dataclasses.dataclass(frozen=True)
class Situation:
    """The inputs of a plan.

    ``allowed_store_loads`` is the number of loads from the weight store that
    may begin now.  If ``is_settled``, no engine has registered lately, so a
    model that seems absent is unlikely to arrive with another engine.
    """

    size_by_model: typing.Mapping[str, ModelSize]
    engines: typing.Sequence[Engine]
    demand_by_model: typing.Mapping[str, Demand]
    allowed_store_loads: int
    is_settled: bool = True

    def demand(self, model: str) -> Demand:
        """Return the demand for a model."""
        return self.demand_by_model.get(model, Demand())


def plan(situation: Situation) -> list[Move]:
    """Return at most one move for each free engine, the most urgent first."""
    draft = _Draft(situation)
    draft.load_reserved()
    draft.serve_waiting(is_urgent=True)
    draft.spread_urgent()
    draft.serve_waiting(is_urgent=False)
    if situation.is_settled:
        draft.fill_free_memory()
        draft.load_store_only_models()
    return draft.moves


def copies_by_model(situation: Situation) -> dict[str, int]:
    """Return how many engines should hold each urgent model.

    Places are shared in proportion to the work, but no model gets more than
    its work needs: the remaining places keep models loaded that may be
    requested next.  Some places are set aside for the non-urgent models in
    demand.
    """
    work = {
        model: demand.work_per_s
        for model, demand in situation.demand_by_model.items()
        if demand.is_urgent and demand.work_per_s >= IDLE_WORK_MS_PER_S
    }
    total = sum(work.values())
    if not total or not situation.engines:
        return {}
    largest_mb = max(s.memory_mb for s in situation.size_by_model.values())
    places = sum(int(e.memory_mb / largest_mb) for e in situation.engines)
    places -= non_urgent_places(situation)
    return {
        model: min(
            len(situation.engines),
            math.ceil(model_work / COPY_WORK_MS_PER_S),
            max(1, round(places * model_work / total)),
        )
        for model, model_work in work.items()
    }


def non_urgent_places(situation: Situation) -> int:
    """Return how many places are set aside for non-urgent models."""
    in_demand = sum(
        not demand.is_urgent and demand.work_per_s >= IDLE_WORK_MS_PER_S
        for demand in situation.demand_by_model.values()
    )
    return min(
        len(situation.engines),
        math.ceil(in_demand * PLACES_PER_NON_URGENT_MODEL),
    )


class _Draft:
    """The moves chosen so far, and the copies that result from them."""

    def __init__(self, situation: Situation) -> None:
        self.situation = situation
        self.moves: list[Move] = []
        self._store_loads = situation.allowed_store_loads
        self._free_engine_by_id = {
            e.id: e for e in situation.engines if e.is_free
        }
        self._wanted_copies = copies_by_model(situation)
        self._non_urgent_places = non_urgent_places(situation)
        self._limits = (
            MANY_ENGINES_LIMITS
            if len(situation.engines) >= MANY_ENGINES
            else FEW_ENGINES_LIMITS
        )
        self._may_take_non_urgent = False
        self._copies: dict[str, int] = {}
        self._ready_copies = collections.Counter(
            model for engine in situation.engines for model in engine.by_model
        )
        for engine in situation.engines:
            arriving = {engine.loading, engine.reserved_for}
            for model in {*engine.by_model, *arriving} - {""}:
                self._copies[model] = self._copies.get(model, 0) + 1

    def load_reserved(self) -> None:
        """Load models for which another model was unloaded."""
        for engine in list(self._free_engine_by_id.values()):
            model = engine.reserved_for
            if not model:
                continue
            if self._fits(engine, model):
                self._copies[model] -= 1
                self._add_load(engine, model, "its place is free")
            else:
                del self._free_engine_by_id[engine.id]

    def serve_waiting(self, is_urgent: bool) -> None:
        """Load models that have waiting requests and no copy.

        Non-urgent models leave some engines to overloaded urgent models.
        """
        waiting = sorted(
            (
                (-demand.oldest_wait_ms, model)
                for model, demand in self.situation.demand_by_model.items()
                if demand.waiting
                and demand.is_urgent is is_urgent
                and not self._copies.get(model)
            )
        )
        for _, model in waiting:
            if is_urgent or not self._is_non_urgent_limit_reached():
                self._plan_copy(model, "requests wait for it", is_needed=True)

    def _is_non_urgent_limit_reached(self) -> bool:
        """Return whether no more engines may take non-urgent orders.

        This limit applies only while an urgent model is overloaded.
        """
        if not any(
            self._work_per_copy(model) > self._limits.overload_work_per_s
            for model in self._models_short_of_copies()
        ):
            return False
        engines = self.situation.engines
        model_by_engine = {
            move.engine: move.makes_room_for or move.model
            for move in self.moves
        }
        occupied_engines = sum(
            bool(model) and not self.situation.demand(model).is_urgent
            for model in (
                model_by_engine.get(e.id) or e.loading or e.reserved_for
                for e in engines
            )
        )
        return occupied_engines >= max(
            1, int(len(engines) * NON_URGENT_ORDER_FRACTION)
        )

    def _models_short_of_copies(self) -> typing.Iterator[str]:
        """Yield urgent models with fewer copies than wanted."""
        return (
            model
            for model, wanted in self._wanted_copies.items()
            if self._copies.get(model, 0) < wanted
        )

    def spread_urgent(self) -> None:
        """Add copies of urgent models with fewer copies than wanted."""
        short_of_copies = sorted(
            (-self._work_per_copy(model), model)
            for model in self._models_short_of_copies()
        )
        for _, model in short_of_copies:
            self._plan_copy(
                model, "its copies are overloaded", is_needed=False
            )

    def fill_free_memory(self) -> None:
        """Load models without a copy into unused memory."""
        absent = [
            model
            for model in self.situation.size_by_model
            if not self._copies.get(model)
        ]
        for model in sorted(absent, key=self._has_local_weights):
            with_room = [
                e
                for e in self._free_engine_by_id.values()
                if self._fits(e, model)
            ]
            if not with_room:
                continue
            engine = min(
                self._preferred(model, with_room),
                key=lambda e: self._load_ms(e, model),
            )
            self._add_load(engine, model, "memory is free")

    def load_store_only_models(self) -> None:
        """Load models kept only in the weight store, before traffic.

        This brings their weights to a disk.  Under traffic such a load would
        delay every other order to its engine.
        """
        if not self._is_idle():
            return
        for model in self.situation.size_by_model:
            if not self._copies.get(model) and not self._has_local_weights(
                model
            ):
                self._plan_copy(model, "only the store has it", is_needed=True)

    def _is_idle(self) -> bool:
        """Return whether no model has demand, as before traffic."""
        demands = self.situation.demand_by_model.values()
        return not any(demand.is_active for demand in demands)

    def _has_local_weights(self, model: str) -> bool:
        """Return whether some engine has a model's weights."""
        return any(
            model in engine.by_model or not self._is_from_store(engine, model)
            for engine in self.situation.engines
        )

    def _plan_copy(self, model: str, reason: str, is_needed: bool) -> None:
        """Add the cheapest load of a model, or an unload that makes room.

        No move is added if waiting for a busy engine takes less time.
        ``is_needed`` is False for an additional copy to spread load.
        """
        self._may_take_non_urgent = (
            self._limits.may_take_non_urgent
            and self._work_per_copy(model) > COPY_WORK_MS_PER_S
            and self._non_urgent_copies() > self._non_urgent_places
        )
        options = [
            (cost, engine.id, engine, victim)
            for engine in self._free_engine_by_id.values()
            if model not in engine.by_model
            for cost, victim in self._load_options(engine, model, is_needed)
        ]
        engines = self._preferred(model, [option[2] for option in options])
        options = [option for option in options if option[2] in engines]
        if not options:
            return
        cost, _, engine, victim = min(options, key=lambda option: option[:2])
        if self._shortest_busy_wait_ms(model, is_needed) < cost:
            return
        if victim:
            del self._free_engine_by_id[engine.id]
            self._copies[victim] -= 1
            self._ready_copies[victim] -= 1
            self._copies[model] = self._copies.get(model, 0) + 1
            self.moves.append(
                Move(
                    MoveKind.UNLOAD,
                    engine.id,
                    victim,
                    f"{model}: {reason}",
                    makes_room_for=model,
                )
            )
            return
        self._add_load(engine, model, reason)

    def _preferred(self, model: str, engines: list[Engine]) -> list[Engine]:
        """Return the warm engines for an urgent model, all if none is."""
        if not self.situation.demand(model).is_urgent:
            return engines
        return [e for e in engines if not e.is_cold] or engines

    def _shortest_busy_wait_ms(self, model: str, is_needed: bool) -> float:
        """Return in how many ms a busy engine could have loaded the model.

        Only engines that keep the weights and can make room are considered,
        since a load from the weight store would also displace other weights
        from a disk.  Without such an engine the result is infinite.
        """
        return min(
            (
                engine.busy_ms + UNLOAD_MS + self._load_ms(engine, model)
                for engine in self.situation.engines
                if engine.id not in self._free_engine_by_id
                and engine.is_state_certain
                and model not in engine.by_model
                and not self._is_from_store(engine, model)
                and self._can_make_room(engine, model, is_needed)
            ),
            default=math.inf,
        )

    def _can_make_room(
        self, engine: Engine, model: str, is_needed: bool
    ) -> bool:
        return self._fits(engine, model) or any(
            self._replacement_cost_ms(victim, resident, model, is_needed)
            is not None
            and self._fits(engine, model, victim)
            for victim, resident in engine.by_model.items()
        )

    def _load_options(
        self, engine: Engine, model: str, is_needed: bool
    ) -> typing.Iterator[tuple[float, str]]:
        """Yield the cost in ms and the model to unload, "" for none."""
        load_ms = self._load_ms(engine, model)
        if self.situation.demand(model).is_urgent:
            load_ms += ENGINE_WORK_COST * self._engine_work(engine)
        if self._is_from_store(engine, model):
            is_overload = (
                self._work_per_copy(model) > self._limits.overload_work_per_s
            )
            if self._store_loads <= 0 or not (is_needed or is_overload):
                return
            if self._loads_from_store(model) >= self._max_store_loads(model):
                return
            if self._is_store_busy(model):
                return
        if self._fits(engine, model):
            yield load_ms, ""
            return
        for victim, resident in engine.by_model.items():
            replacement_cost_ms = self._replacement_cost_ms(
                victim, resident, model, is_needed
            )
            if replacement_cost_ms is not None and self._fits(
                engine, model, victim
            ):
                yield load_ms + replacement_cost_ms, victim

    def _replacement_cost_ms(
        self, victim: str, resident: Resident, model: str, is_needed: bool
    ) -> float | None:
        """Return the cost of replacing a resident in ms, None to keep it."""
        if resident.loaded_ms_ago < MIN_RESIDENCE_MS:
            return None
        demand = self.situation.demand(victim)
        copies = self._copies.get(victim, 0)
        surplus = copies - self._wanted_copies.get(victim, 0)
        cost = UNLOAD_MS
        if resident.running:
            cost += DRAIN_MS + DRAIN_MS_PER_REQUEST * resident.running
        if resident.used_ms_ago < RECENT_USE_MS:
            cost += 400.0
        if demand.is_expected and not demand.is_active:
            cost += EXPECTED_COST_MS
        if not demand.has_had_requests and copies <= 1:
            cost += UNSEEN_COST_MS
        if demand.is_urgent and demand.is_active:
            if self._ready_copies[victim] <= 1 or copies <= 1:
                return None
            is_non_urgent = not self.situation.demand(model).is_urgent
            if surplus <= 0 and (is_non_urgent or not is_needed):
                return None
            if not is_needed and not self._carries_enough_work(victim, model):
                return None
            return cost + (300.0 if surplus > 0 else 1_500.0)
        if not is_needed and demand.is_active and copies <= 1:
            return self._non_urgent_replacement_cost_ms(model, cost)
        return cost + demand.work_per_s / max(1, copies)

    def _non_urgent_replacement_cost_ms(
        self, model: str, cost: float
    ) -> float | None:
        """Return the cost of replacing a non-urgent model's only copy.

        Only a model without any copy may replace it, or a busy urgent one
        while non-urgent models hold more places than are set aside.
        """
        has_copy = self._copies.get(model, 0) > 0
        if has_copy and not self._may_take_non_urgent:
            return None
        return cost + 500.0

    def _non_urgent_copies(self) -> int:
        """Return how many copies of non-urgent models there are."""
        return sum(
            copies
            for model, copies in self._copies.items()
            if not self.situation.demand(model).is_urgent
        )

    def _carries_enough_work(self, victim: str, model: str) -> bool:
        copies = max(1, self._copies.get(victim, 0) - 1)
        remaining_work = self.situation.demand(victim).work_per_s / copies
        return self._work_per_copy(model) > remaining_work * MIN_WORK_RATIO

    def _work_per_copy(self, model: str) -> float:
        copies = max(1, self._copies.get(model, 0))
        return self.situation.demand(model).work_per_s / copies

    def _add_load(self, engine: Engine, model: str, reason: str) -> None:
        from_store = self._is_from_store(engine, model)
        if from_store:
            if self._store_loads <= 0:
                return
            self._store_loads -= 1
        del self._free_engine_by_id[engine.id]
        self._copies[model] = self._copies.get(model, 0) + 1
        self.moves.append(
            Move(MoveKind.LOAD, engine.id, model, reason, from_store)
        )

    def _is_from_store(self, engine: Engine, model: str) -> bool:
        return model not in engine.on_disk | engine.in_host_memory

    def _is_store_busy(self, model: str) -> bool:
        """Return whether enough engines already load from the weight store.

        This limits only non-urgent models.  An engine can execute no other
        order during such a load.
        """
        if self.situation.demand(model).is_urgent:
            return False
        loading = sum(
            bool(engine.loading)
            and self._is_from_store(engine, engine.loading)
            for engine in self.situation.engines
        )
        engines = len(self.situation.engines)
        fraction = (
            IDLE_STORE_LOAD_FRACTION
            if self._is_idle()
            else NON_URGENT_STORE_LOAD_FRACTION
        )
        return loading >= max(1, int(engines * fraction))

    def _loads_from_store(self, model: str) -> int:
        """Return how many engines load a model from the weight store."""
        return sum(
            model in (engine.loading, engine.reserved_for)
            and self._is_from_store(engine, model)
            for engine in self.situation.engines
        )

    def _max_store_loads(self, model: str) -> int:
        """Return how many engines may load a model from the store at once."""
        missing = self._wanted_copies.get(model, 1) - self._copies.get(
            model, 0
        )
        return max(1, min(self._limits.store_loads_per_model, missing))

    def _engine_work(self, engine: Engine) -> float:
        """Return the urgent work of an engine in ms/s, shared by copies."""
        return sum(
            self._work_per_copy(name)
            for name in engine.by_model
            if self.situation.demand(name).is_urgent
        )

    def _load_ms(self, engine: Engine, model: str) -> float:
        size = self.situation.size_by_model[model]
        if model in engine.in_host_memory:
            return size.host_load_ms
        if model in engine.on_disk:
            return size.disk_load_ms
        is_urgent = self.situation.demand(model).is_urgent
        return size.store_load_ms + (
            URGENT_STORE_COST_MS if is_urgent else NON_URGENT_STORE_COST_MS
        )

    def _fits(self, engine: Engine, model: str, without: str = "") -> bool:
        sizes = self.situation.size_by_model
        held = {*engine.by_model, engine.loading} - {"", without}
        if any(name not in sizes for name in held):
            return False
        used_mb = sum(sizes[name].memory_mb for name in held)
        return used_mb + sizes[model].memory_mb <= engine.memory_mb
