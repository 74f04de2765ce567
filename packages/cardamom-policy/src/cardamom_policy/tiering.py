"""Which models each engine should hold, given where weights are kept.

Weights come from the engine's host memory, its disk or the weight store, in
rising order of time; only the last counts against the store's rate.  Urgent
models, whose objective is shorter than a load, hold most places in
proportion to their work.  Patient models, whose requests can wait for a load,
share one place on each engine, which is changed on demand; their orders
leave half of the engines free while an urgent model is overloaded.

It answers for demand that moves between models within seconds, and for many
rare models that are asked for at once.
"""

import collections
import dataclasses
import enum
import math
import typing

PATIENT_PLACES = 0.4  # for each patient model; the others take turns
SURPLUS_MARGIN = 1.6  # how much more work a copy must carry to replace one
URGENT_STORE_MS = 500.0  # a load from the store displaces other weights
PATIENT_STORE_MS = 3_000.0  # from a disk, which costs a later request
PATIENT_STORE_PART = 0.25  # of the engines, at once, for patient models
IDLE_STORE_PART = 0.7  # of the engines, at once, before traffic
EXPECTED_MS = 800.0  # a model that is expected to be asked for soon
COPY_WORK = 350.0  # ms a second that a copy carries with room for bursts
STORE_LOAD_WORK = 700.0  # ms a second; a copy above it is overloaded
IDLE_WORK = 5.0  # ms a second; below it nobody asks, it only fades
PATIENT_ORDER_PART = 0.5  # of the engines, while an urgent model is overloaded
STORE_LOADS_OF_MODEL = 2  # at once; a model that rises may need several
ENGINE_LOAD_COST = 0.3  # ms for each ms a second of work on an engine
UNSEEN_MS = 500.0  # a model that nobody has asked for yet may be urgent
UNLOAD_MS = 100.0  # an order and the notice of its end
DRAIN_MS = 700.0  # an unload waits for streams that run, seconds at worst
DRAIN_MS_PER_RUN = 150.0
SETTLE_MS = 1_500  # a model that was loaded stays at least so long
REUSE_MS = 600  # a model that was used so lately is replaced last


class MoveKind(enum.Enum):
    """What a move does."""

    LOAD = "load"
    UNLOAD = "unload"


@dataclasses.dataclass(frozen=True)
class Move:
    """One order with its reason."""

    kind: MoveKind
    engine: str
    model: str
    reason: str
    from_store: bool = False
    in_favour_of: str = ""


@dataclasses.dataclass(frozen=True)
class ModelSize:
    """A model's memory, and its load times by where its weights are."""

    memory_mb: float
    host_ms: float
    disk_ms: float
    store_ms: float


@dataclasses.dataclass(frozen=True)
class Demand:
    """What callers ask of a model, over all instances.

    ``work_per_s`` is in replica milliseconds a second; ``waiting`` counts
    requests that wait for the model to be loaded anywhere; ``is_expected``
    tells that the platform has placed it on several engines itself, and
    ``is_seen`` that it has been asked for at any time.
    """

    work_per_s: float = 0.0
    waiting: int = 0
    oldest_wait_ms: int = 0
    is_urgent: bool = False
    is_expected: bool = False
    is_seen: bool = True

    @property
    def is_active(self) -> bool:
        """Tell whether callers ask for the model now."""
        return self.work_per_s >= IDLE_WORK or self.waiting > 0


@dataclasses.dataclass(frozen=True)
class Resident:
    """A model on an engine."""

    running: int
    loaded_ms_ago: int
    used_ms_ago: int


@dataclasses.dataclass(frozen=True)
class Engine:
    """One engine that runs.

    ``is_free`` tells that an order may be sent, ``is_known`` that what the
    engine holds is certain; one that is known and not free is under an order.
    ``memory_mb`` is what models may take, room for adapters left out;
    ``busy_ms`` is how much longer an order that is under way should take.
    """

    id: str
    memory_mb: float
    by_model: typing.Mapping[str, Resident]
    in_host_memory: frozenset[str]
    on_disk: frozenset[str]
    is_free: bool
    is_known: bool = True
    busy_ms: float = 0.0
    loading: str = ""
    reserved_for: str = ""


@dataclasses.dataclass(frozen=True)
class Situation:
    """Everything that a plan is made from.

    ``is_settled`` tells that no engine has come lately, so that others are
    hardly on their way with what seems to be absent.
    """

    size_by_model: typing.Mapping[str, ModelSize]
    engines: typing.Sequence[Engine]
    demand_by_model: typing.Mapping[str, Demand]
    store_loads: int
    is_settled: bool = True

    def demand(self, model: str) -> Demand:
        """Return the demand for a model."""
        return self.demand_by_model.get(model, Demand())


def plan(situation: Situation) -> list[Move]:
    """Return at most one move for each free engine, most urgent first."""
    draft = _Draft(situation)
    draft.load_reserved()
    draft.serve_waiting(is_urgent=True)
    draft.spread_urgent()
    draft.serve_waiting(is_urgent=False)
    if situation.is_settled:
        draft.fill_free_memory()
        draft.reach_every_model()
    return draft.moves


def copies_by_model(situation: Situation) -> dict[str, int]:
    """Return how many engines should hold each urgent model.

    Places are shared in proportion to the work, but no model gets more than
    its work needs: what is left keeps models within reach that may be asked
    for next.  A place for some of the patient models in demand is left to
    them.
    """
    work = {
        model: demand.work_per_s
        for model, demand in situation.demand_by_model.items()
        if demand.is_urgent and demand.work_per_s >= IDLE_WORK
    }
    total = sum(work.values())
    if not total or not situation.engines:
        return {}
    largest_mb = max(s.memory_mb for s in situation.size_by_model.values())
    places = sum(int(e.memory_mb / largest_mb) for e in situation.engines)
    patient = [
        model
        for model, demand in situation.demand_by_model.items()
        if not demand.is_urgent and demand.work_per_s >= IDLE_WORK
    ]
    places -= min(
        len(situation.engines), math.ceil(len(patient) * PATIENT_PLACES)
    )
    return {
        model: min(
            len(situation.engines),
            math.ceil(part / COPY_WORK),
            max(1, round(places * part / total)),
        )
        for model, part in work.items()
    }


class _Draft:
    """The moves chosen so far."""

    def __init__(self, situation: Situation) -> None:
        self.situation = situation
        self.moves: list[Move] = []
        self._store_loads = situation.store_loads
        self._free = {e.id: e for e in situation.engines if e.is_free}
        self._wanted = copies_by_model(situation)
        self._copies: dict[str, int] = {}
        self._ready = collections.Counter(
            model for engine in situation.engines for model in engine.by_model
        )
        for engine in situation.engines:
            coming = {engine.loading, engine.reserved_for}
            for model in {*engine.by_model, *coming} - {""}:
                self._copies[model] = self._copies.get(model, 0) + 1

    def load_reserved(self) -> None:
        """Load models in whose favour another one was unloaded."""
        for engine in list(self._free.values()):
            model = engine.reserved_for
            if not model:
                continue
            if self._fits(engine, model):
                self._copies[model] -= 1
                self._load(engine, model, "its place is free")
            else:
                del self._free[engine.id]

    def serve_waiting(self, is_urgent: bool) -> None:
        """Load models that requests wait for and no engine holds.

        Patient models leave a part of the engines to overloaded urgent ones.
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
            if is_urgent or not self._must_leave_engines():
                self._bring(model, "requests wait for it", is_needed=True)

    def _must_leave_engines(self) -> bool:
        """Tell whether patient models occupy enough of the engines."""
        if not any(
            self._work_per_copy(model) > STORE_LOAD_WORK
            for model in self._lacking()
        ):
            return False
        engines = self.situation.engines
        moving = {
            move.engine: move.in_favour_of or move.model for move in self.moves
        }
        occupied = sum(
            bool(model) and not self.situation.demand(model).is_urgent
            for model in (
                moving.get(e.id) or e.loading or e.reserved_for
                for e in engines
            )
        )
        return occupied >= max(1, int(len(engines) * PATIENT_ORDER_PART))

    def _lacking(self) -> typing.Iterator[str]:
        """Yield urgent models that have less than their part of places."""
        return (
            model
            for model, wanted in self._wanted.items()
            if self._copies.get(model, 0) < wanted
        )

    def spread_urgent(self) -> None:
        """Add copies of urgent models that have less than their part."""
        lacking = sorted(
            (-self._work_per_copy(model), model) for model in self._lacking()
        )
        for _, model in lacking:
            self._bring(model, "its copies carry too much", is_needed=False)

    def fill_free_memory(self) -> None:
        """Load absent models into memory that nothing uses."""
        absent = [
            model
            for model in self.situation.size_by_model
            if not self._copies.get(model)
        ]
        for model in sorted(absent, key=self._is_kept):
            roomy = [e for e in self._free.values() if self._fits(e, model)]
            if not roomy:
                continue
            engine = min(roomy, key=lambda e: self._load_ms(e, model))
            self._load(engine, model, "memory is free")

    def reach_every_model(self) -> None:
        """Bring models that only the store has to a disk, before traffic.

        Later such a load would hold up every other order to its engine.
        """
        if not self._is_idle():
            return
        for model in self.situation.size_by_model:
            if not self._copies.get(model) and not self._is_kept(model):
                self._bring(model, "only the store has it", is_needed=True)

    def _is_idle(self) -> bool:
        """Tell whether nobody asks for any model, as before traffic."""
        demands = self.situation.demand_by_model.values()
        return not any(demand.is_active for demand in demands)

    def _is_kept(self, model: str) -> bool:
        """Tell whether some engine has a model's weights."""
        return any(
            model in engine.by_model or not self._is_from_store(engine, model)
            for engine in self.situation.engines
        )

    def _bring(self, model: str, reason: str, is_needed: bool) -> None:
        options = [
            (cost, engine.id, engine, victim)
            for engine in self._free.values()
            if model not in engine.by_model
            for cost, victim in self._ways(engine, model, is_needed)
        ]
        if not options:
            return
        cost, _, engine, victim = min(options, key=lambda option: option[:2])
        if self._busy_home_ms(model, is_needed) < cost:
            return
        if victim:
            del self._free[engine.id]
            self._copies[victim] -= 1
            self._ready[victim] -= 1
            self._copies[model] = self._copies.get(model, 0) + 1
            self.moves.append(
                Move(
                    MoveKind.UNLOAD,
                    engine.id,
                    victim,
                    f"{model}: {reason}",
                    in_favour_of=model,
                )
            )
            return
        self._load(engine, model, reason)

    def _busy_home_ms(self, model: str, is_needed: bool) -> float:
        """Return when an engine under an order could have the model.

        Only engines that keep the weights and can make room count; a load
        from the store would also take the place of other weights on a disk.
        """
        return min(
            (
                engine.busy_ms + UNLOAD_MS + self._load_ms(engine, model)
                for engine in self.situation.engines
                if engine.id not in self._free
                and engine.is_known
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
            self._keep_ms(victim, resident, model, is_needed) is not None
            and self._fits(engine, model, victim)
            for victim, resident in engine.by_model.items()
        )

    def _ways(
        self, engine: Engine, model: str, is_needed: bool
    ) -> typing.Iterator[tuple[float, str]]:
        load_ms = self._load_ms(engine, model)
        if self.situation.demand(model).is_urgent:
            load_ms += ENGINE_LOAD_COST * self._engine_work(engine)
        if self._is_from_store(engine, model):
            is_overload = self._work_per_copy(model) > STORE_LOAD_WORK
            if self._store_loads <= 0 or not (is_needed or is_overload):
                return
            if self._loads_from_store(model) >= self._most_store_loads(model):
                return
            if self._is_store_busy(model):
                return
        if self._fits(engine, model):
            yield load_ms, ""
            return
        for victim, resident in engine.by_model.items():
            keep_ms = self._keep_ms(victim, resident, model, is_needed)
            if keep_ms is not None and self._fits(engine, model, victim):
                yield load_ms + keep_ms, victim

    def _keep_ms(
        self, victim: str, resident: Resident, model: str, is_needed: bool
    ) -> float | None:
        """Return what replacing a resident costs, None to keep it."""
        if resident.loaded_ms_ago < SETTLE_MS:
            return None
        demand = self.situation.demand(victim)
        copies = self._copies.get(victim, 0)
        surplus = copies - self._wanted.get(victim, 0)
        cost = UNLOAD_MS
        if resident.running:
            cost += DRAIN_MS + DRAIN_MS_PER_RUN * resident.running
        if resident.used_ms_ago < REUSE_MS:
            cost += 400.0
        if demand.is_expected and not demand.is_active:
            cost += EXPECTED_MS
        if not demand.is_seen and copies <= 1:
            cost += UNSEEN_MS
        if demand.is_urgent and demand.is_active:
            if self._ready[victim] <= 1 or copies <= 1:
                return None
            is_patient = not self.situation.demand(model).is_urgent
            if surplus <= 0 and (is_patient or not is_needed):
                return None
            if not is_needed and not self._is_worth(victim, model):
                return None
            return cost + (300.0 if surplus > 0 else 1_500.0)
        if not is_needed and demand.is_active and copies <= 1:
            return self._keep_patient(model, cost)
        return cost + demand.work_per_s / max(1, copies)

    def _keep_patient(self, model: str, cost: float) -> float | None:
        """Return the cost of taking a patient model's only copy."""
        has_copy = self._copies.get(model, 0) > 0
        return None if has_copy else cost + 500.0

    def _is_worth(self, victim: str, model: str) -> bool:
        copies = max(1, self._copies.get(victim, 0) - 1)
        after = self.situation.demand(victim).work_per_s / copies
        return self._work_per_copy(model) > after * SURPLUS_MARGIN

    def _work_per_copy(self, model: str) -> float:
        copies = max(1, self._copies.get(model, 0))
        return self.situation.demand(model).work_per_s / copies

    def _load(self, engine: Engine, model: str, reason: str) -> None:
        from_store = self._is_from_store(engine, model)
        if from_store:
            if self._store_loads <= 0:
                return
            self._store_loads -= 1
        del self._free[engine.id]
        self._copies[model] = self._copies.get(model, 0) + 1
        self.moves.append(
            Move(MoveKind.LOAD, engine.id, model, reason, from_store)
        )

    def _is_from_store(self, engine: Engine, model: str) -> bool:
        return model not in engine.on_disk | engine.in_host_memory

    def _is_store_busy(self, model: str) -> bool:
        """Tell whether enough engines wait for the store for patient models.

        An engine under such a load can carry out no other order.
        """
        if self.situation.demand(model).is_urgent:
            return False
        loading = sum(
            bool(engine.loading)
            and self._is_from_store(engine, engine.loading)
            for engine in self.situation.engines
        )
        engines = len(self.situation.engines)
        part = IDLE_STORE_PART if self._is_idle() else PATIENT_STORE_PART
        return loading >= max(1, int(engines * part))

    def _loads_from_store(self, model: str) -> int:
        """Return to how many engines the store sends a model."""
        return sum(
            model in (engine.loading, engine.reserved_for)
            and self._is_from_store(engine, model)
            for engine in self.situation.engines
        )

    def _most_store_loads(self, model: str) -> int:
        """Return to how many engines the store may send a model at once."""
        lacks = self._wanted.get(model, 1) - self._copies.get(model, 0)
        return max(1, min(STORE_LOADS_OF_MODEL, lacks))

    def _engine_work(self, engine: Engine) -> float:
        """Return the urgent work that an engine should carry."""
        return sum(
            self._work_per_copy(name)
            for name in engine.by_model
            if self.situation.demand(name).is_urgent
        )

    def _load_ms(self, engine: Engine, model: str) -> float:
        size = self.situation.size_by_model[model]
        if model in engine.in_host_memory:
            return size.host_ms
        if model in engine.on_disk:
            return size.disk_ms
        is_urgent = self.situation.demand(model).is_urgent
        return size.store_ms + (
            URGENT_STORE_MS if is_urgent else PATIENT_STORE_MS
        )

    def _fits(self, engine: Engine, model: str, without: str = "") -> bool:
        sizes = self.situation.size_by_model
        held = {*engine.by_model, engine.loading} - {"", without}
        if any(name not in sizes for name in held):
            return False
        used_mb = sum(sizes[name].memory_mb for name in held)
        return used_mb + sizes[model].memory_mb <= engine.memory_mb
