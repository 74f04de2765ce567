"""The policy under test and its baselines, on the same fakes."""

import abc
import collections
import itertools
import math

from cardamom_config import schema
from cardamom_daemon import catalog
from cardamom_daemon import demand
from cardamom_daemon import placer
from cardamom_kernel import clocks
from cardamom_kernel import ids
from cardamom_policy import fairness
from cardamom_policy import placement
from cardamom_policy import routing
from cardamom_policy import situations
from tools.bench import engines as engine_module
from tools.bench import workload

QUEUE_MS = 10_000
PLACE_MS = 250
REPORT_LAG_MS = 250

Assignment = tuple[workload.Request, engine_module.Engine]


class Policy(abc.ABC):
    """Decides where requests run and what engines hold."""

    name = "abstract"

    def __init__(
        self,
        configuration: schema.Configuration,
        engines: list[engine_module.Engine],
        store: engine_module.WeightStore,
        clock: clocks.SteppedClock,
    ) -> None:
        self.configuration = configuration
        self.engines = engines
        self.store = store
        self.clock = clock
        self.moves = 0
        self.dropped: list[workload.Request] = []
        self.set_up()

    def set_up(self) -> None:
        """Prepare what the policy keeps."""

    def drop(self, request: workload.Request) -> None:
        """Refuse a request that has waited too long."""
        request.refused = "queue"
        self.dropped.append(request)

    @abc.abstractmethod
    def arrive(self, request: workload.Request) -> None:
        """Take an admitted request."""

    @abc.abstractmethod
    def dispatch(self) -> list[Assignment]:
        """Return what should start now."""

    def place(self, is_table_up: bool) -> None:
        """Change what engines hold."""

    def ended(
        self,
        engine: engine_module.Engine,
        request: workload.Request,
    ) -> None:
        """Note that a request has ended."""

    def load(
        self,
        engine: engine_module.Engine,
        model: str,
        adapter: str = "",
    ) -> None:
        """Order a load."""
        now_ms = self.clock.now_ms()
        if adapter:
            spec = self.configuration.adapters[adapter]
            memory_mb, version = spec.memory_mb, spec.version
            ready_ms = float(now_ms + engine_module.ADAPTER_LOAD_MS)
        else:
            one = self.configuration.models[model]
            memory_mb, version = one.memory_mb + one.kv_mb, one.version
            ready_ms = self.store.ready_ms(memory_mb, now_ms)
            self.moves += 1
        held = engine_module.Held(memory_mb, version, ready_ms, now_ms)
        engine.load((model, adapter), held)

    def unload(
        self, engine: engine_module.Engine, name: tuple[str, str]
    ) -> None:
        """Order an unload."""
        if not name[1]:
            self.moves += 1
        engine.unload(name)


class Cardamom(Policy):
    """The product's fair queue, routing and placement."""

    name = "policy"

    def set_up(self) -> None:
        """Prepare what this policy keeps."""
        super().set_up()
        self._queue: fairness.FairQueue[workload.Request] = (
            fairness.FairQueue()
        )
        self._queue.set_weights(
            {
                ids.TeamId(name): team.weight
                for name, team in self.configuration.teams.items()
            }
        )
        self._meter = demand.DemandMeter(self.clock)
        self._credit = 0.0
        self._placed_ms = 0

    def arrive(self, request: workload.Request) -> None:
        """Queue a request."""
        name = catalog.ModelName(request.model, request.adapter)
        self._meter.arrived(name, request.answer_tokens)
        self._meter.wait(name, 1)
        self._queue.push(
            fairness.Entry(
                ids.TeamId(request.team),
                str(name),
                request.prompt_tokens + request.answer_tokens,
                request.arrival_ms
                + self.configuration.objectives.first_token_ms,
                request.arrival_ms + QUEUE_MS,
                request,
            )
        )

    def dispatch(self) -> list[Assignment]:
        """Pop what has a target with room."""
        started: list[Assignment] = []
        chosen: list[engine_module.Engine] = []
        by_id = {engine.id: engine for engine in self.engines}

        def can_run(entry: fairness.Entry[workload.Request]) -> bool:
            candidate = self._choose(entry.item)
            if candidate is not None:
                chosen[:] = [by_id[candidate.id]]
            return candidate is not None

        for late in self._queue.expired(self.clock.now_ms()):
            self.drop(late.item)
            self._waits_no_more(late.item)
        now_ms = self.clock.now_ms()
        while (entry := self._queue.pop(can_run, now_ms)) is not None:
            chosen[0].start(entry.item)
            self._waits_no_more(entry.item)
            started.append((entry.item, chosen[0]))
        return started

    def _waits_no_more(self, request: workload.Request) -> None:
        name = catalog.ModelName(request.model, request.adapter)
        self._meter.wait(name, -1)

    def _choose(self, request: workload.Request) -> routing.Candidate | None:
        candidates = [
            routing.Candidate(
                id=ids.TargetId(engine.id),
                slots=engine_module.SLOTS,
                own_in_flight=len(engine.running),
                others_in_flight=0,
                is_local=True,
                up_ms=self._up_ms(engine),
                has_prefix=request.prefix in engine.prefixes,
            )
            for engine in self.engines
            if self._can_serve(engine, request)
        ]
        return routing.choose(candidates)

    def _up_ms(self, engine: engine_module.Engine) -> int:
        return self.clock.now_ms() - engine.up_since_ms

    def _can_serve(
        self,
        engine: engine_module.Engine,
        request: workload.Request,
    ) -> bool:
        now_ms = self.clock.now_ms()
        return engine.is_ready(request.model, request.adapter, now_ms)

    def place(self, is_table_up: bool) -> None:
        """Plan and carry out the moves that the store's rate allows."""
        now_ms = self.clock.now_ms()
        store = self.configuration.weight_store
        earned = store.loads_per_s * (now_ms - self._placed_ms) / 1000
        self._credit = min(
            math.ceil(store.loads_per_s),
            self._credit + earned,
        )
        self._placed_ms = now_ms
        if not is_table_up:
            return
        by_id = {engine.id: engine for engine in self.engines}
        for move in placement.plan(self._situation()):
            engine = by_id[move.engine]
            name = (move.model, move.adapter)
            if move.kind is situations.MoveKind.UNLOAD:
                self.unload(engine, name)
            elif move.adapter:
                self.load(engine, move.model, move.adapter)
            elif self._credit >= 1:
                self._credit -= 1
                self.load(engine, move.model)

    def _situation(self) -> situations.Situation:
        now_ms = self.clock.now_ms()
        return situations.Situation(
            configuration=self.configuration,
            engines=[self._view(engine) for engine in self.engines],
            demand_by_name=placer.merge_demand(self._meter.notes()),
            now_ms=now_ms,
            capacity_tokens_per_s=engine_module.answer_tokens_per_s(
                self.configuration.objectives.between_tokens_ms
            ),
        )

    def _view(self, engine: engine_module.Engine) -> situations.Engine:
        now_ms = self.clock.now_ms()
        return situations.Engine(
            engine.id,
            engine.data_centre,
            engine.memory_mb,
            {
                (model, adapter): situations.Held(
                    model,
                    adapter,
                    held.version,
                    held.memory_mb,
                    is_ready=held.ready_ms <= now_ms,
                    since_ms=int(held.since_ms),
                )
                for (model, adapter), held in engine.by_name.items()
            },
            is_usable=engine.is_up,
        )


class EverythingEverywhere(Cardamom):
    """The bound: a clairvoyant placement, as if memory had no limit."""

    name = "upper_bound"

    def _up_ms(self, engine: engine_module.Engine) -> int:
        return routing.WARM_UP_MS

    def _can_serve(
        self,
        engine: engine_module.Engine,
        request: workload.Request,
    ) -> bool:
        return engine.is_up

    def place(self, is_table_up: bool) -> None:
        """Hold everything already."""


class _Fifo(Policy):
    """Base of the baselines: one queue for each engine, in order."""

    def set_up(self) -> None:
        """Prepare what this policy keeps."""
        super().set_up()
        self._queue_by_engine: dict[
            str, collections.deque[workload.Request]
        ] = {engine.id: collections.deque() for engine in self.engines}

    @abc.abstractmethod
    def choose(self, request: workload.Request) -> engine_module.Engine | None:
        """Return the engine for a request, or None to refuse it."""

    def arrive(self, request: workload.Request) -> None:
        """Queue a request at its engine."""
        engine = self.choose(request)
        if engine is None:
            self.drop(request)
            return
        self._queue_by_engine[engine.id].append(request)

    def dispatch(self) -> list[Assignment]:
        """Start what is ready, in order, while there are slots."""
        now_ms = self.clock.now_ms()
        started: list[Assignment] = []
        for engine in self.engines:
            left: collections.deque[workload.Request] = collections.deque()
            for request in self._queue_by_engine[engine.id]:
                has_slot = len(engine.running) < engine_module.SLOTS
                if now_ms - request.arrival_ms > QUEUE_MS:
                    self.drop(request)
                elif has_slot and self._make_ready(engine, request):
                    engine.start(request)
                    started.append((request, engine))
                else:
                    left.append(request)
            self._queue_by_engine[engine.id] = left
        return started

    def _make_ready(
        self,
        engine: engine_module.Engine,
        request: workload.Request,
    ) -> bool:
        now_ms = self.clock.now_ms()
        if engine.is_ready(request.model, request.adapter, now_ms):
            return True
        if not engine.is_up:
            return False
        if (request.model, "") not in engine.by_name:
            self.miss(engine, request.model)
        elif (request.model, request.adapter) not in engine.by_name:
            self._load_adapter(engine, request)
        return engine.is_ready(request.model, request.adapter, now_ms)

    def _load_adapter(
        self,
        engine: engine_module.Engine,
        request: workload.Request,
    ) -> None:
        spec = self.configuration.adapters[request.adapter]
        adapters = [name for name in engine.by_name if name[1]]
        while engine.used_mb() + spec.memory_mb > engine.memory_mb:
            if not adapters:
                return
            self.unload(engine, adapters.pop(0))
        self.load(engine, request.model, request.adapter)

    def miss(self, engine: engine_module.Engine, model: str) -> None:
        """React to a model that an engine does not hold."""


class StaticRoundRobin(_Fifo):
    """Models placed once in the order of names; round robin over copies."""

    name = "static_round_robin"

    def set_up(self) -> None:
        """Prepare what this policy keeps."""
        super().set_up()
        self._turn = itertools.count()
        self._copies: dict[str, list[engine_module.Engine]] = (
            collections.defaultdict(list)
        )
        self._fill()

    def _fill(self) -> None:
        reserve_mb = 4_000
        for turn, model in enumerate(
            itertools.chain(*[sorted(self.configuration.models)] * 2)
        ):
            spec = self.configuration.models[model]
            needed_mb = spec.memory_mb + spec.kv_mb + reserve_mb
            for offset in range(len(self.engines)):
                engine = self.engines[(turn + offset) % len(self.engines)]
                is_new = (model, "") not in engine.by_name
                fits = engine.used_mb() + needed_mb <= engine.memory_mb
                if is_new and fits:
                    held = engine_module.Held(
                        spec.memory_mb + spec.kv_mb, spec.version, 0, 0
                    )
                    engine.load((model, ""), held)
                    self._copies[model].append(engine)
                    break

    def choose(self, request: workload.Request) -> engine_module.Engine | None:
        """Return the next copy in turn."""
        copies = [e for e in self._copies[request.model] if e.is_up]
        if not copies:
            return None
        return copies[next(self._turn) % len(copies)]

    def miss(self, engine: engine_module.Engine, model: str) -> None:
        """Load again what a crash has lost."""
        if any(engine is copy for copy in self._copies[model]):
            self.load(engine, model)


class LoadOnMiss(_Fifo):
    """Least loaded copy; a miss loads and evicts the least recently used."""

    name = "least_loaded_lru"

    def set_up(self) -> None:
        """Prepare what this policy keeps."""
        super().set_up()
        self._used_ms: dict[tuple[str, str], int] = {}

    def _load_of(self, engine: engine_module.Engine) -> int:
        return len(engine.running) + len(self._queue_by_engine[engine.id])

    def choose(self, request: workload.Request) -> engine_module.Engine | None:
        """Return the least loaded holder, else the least loaded engine."""
        up = [engine for engine in self.engines if engine.is_up]
        holders = [e for e in up if (request.model, "") in e.by_name]
        if not up:
            return None
        engine = min(holders or up, key=lambda e: (self._load_of(e), e.id))
        self._used_ms[(engine.id, request.model)] = self.clock.now_ms()
        if not holders:
            self.miss(engine, request.model)
        return engine

    def miss(self, engine: engine_module.Engine, model: str) -> None:
        """Load a model, and evict until it fits."""
        spec = self.configuration.models[model]
        needed_mb = spec.memory_mb + spec.kv_mb
        running = {request.model for request in engine.running}
        running |= {r.model for r in self._queue_by_engine[engine.id]}
        now_ms = self.clock.now_ms()
        models = [
            name
            for name, held in engine.by_name.items()
            if not name[1] and held.ready_ms <= now_ms
        ]
        models.sort(key=lambda n: self._used_ms.get((engine.id, n[0]), 0))
        for name in models:
            if engine.used_mb() + needed_mb <= engine.memory_mb:
                break
            if name[0] not in running:
                self.unload(engine, name)
        if engine.used_mb() + needed_mb <= engine.memory_mb:
            self.load(engine, model)


class LoadOnMissAnywhere(LoadOnMiss):
    """The same, but a loaded copy's queue sends work to a new copy."""

    name = "least_loaded_lru_spill"
    SPILL_AT = 24

    def choose(self, request: workload.Request) -> engine_module.Engine | None:
        """Return a holder unless all are busy; then any engine."""
        up = [engine for engine in self.engines if engine.is_up]
        holders = [e for e in up if (request.model, "") in e.by_name]
        calm = [e for e in holders if self._load_of(e) < self.SPILL_AT]
        if not up:
            return None
        engine = min(calm or up, key=lambda e: (self._load_of(e), e.id))
        self._used_ms[(engine.id, request.model)] = self.clock.now_ms()
        if (request.model, "") not in engine.by_name:
            self.miss(engine, request.model)
        return engine


ALL: tuple[type[Policy], ...] = (
    Cardamom,
    StaticRoundRobin,
    LoadOnMiss,
    LoadOnMissAnywhere,
    EverythingEverywhere,
)
