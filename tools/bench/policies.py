"""The policy under test and its baselines, on simulated engines."""

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

QUEUE_TIMEOUT_MS = 10_000
PLACEMENT_INTERVAL_MS = 250
REPORT_DELAY_MS = 250

Assignment = tuple[workload.Request, engine_module.Engine]


class Policy(abc.ABC):
    """Decides which engine runs a request and what engines load."""

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
        self.initialise()

    def initialise(self) -> None:
        """Initialise the policy's own state."""

    def drop(self, request: workload.Request) -> None:
        """Refuse a queued request."""
        request.refusal = "queue"
        self.dropped.append(request)

    @abc.abstractmethod
    def enqueue(self, request: workload.Request) -> None:
        """Queue an admitted request."""

    @abc.abstractmethod
    def dispatch(self) -> list[Assignment]:
        """Start requests on engines; return the assignments."""

    def place(self, is_table_up: bool) -> None:
        """Load and unload models and adapters."""

    def on_finished(
        self,
        engine: engine_module.Engine,
        request: workload.Request,
    ) -> None:
        """Handle the end of a request."""

    def load(
        self,
        engine: engine_module.Engine,
        model: str,
        adapter: str = "",
    ) -> None:
        """Load a model, or an adapter of a model."""
        now_ms = self.clock.now_ms()
        if adapter:
            adapter_spec = self.configuration.adapters[adapter]
            memory_mb, version = adapter_spec.memory_mb, adapter_spec.version
            ready_ms = float(now_ms + engine_module.ADAPTER_LOAD_MS)
        else:
            model_spec = self.configuration.models[model]
            memory_mb, version = (
                model_spec.memory_mb + model_spec.kv_mb,
                model_spec.version,
            )
            ready_ms = self.store.schedule_load(memory_mb, now_ms)
            self.moves += 1
        resident = engine_module.Resident(memory_mb, version, ready_ms, now_ms)
        engine.load((model, adapter), resident)

    def unload(
        self, engine: engine_module.Engine, name: tuple[str, str]
    ) -> None:
        """Unload a model with its adapters, or an adapter."""
        if not name[1]:
            self.moves += 1
        engine.unload(name)


class Cardamom(Policy):
    """Cardamomway's own fair queue, routing and placement."""

    name = "policy"

    def initialise(self) -> None:
        """Initialise the policy's own state."""
        super().initialise()
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
        self._load_credits = 0.0
        self._last_placement_ms = 0

    def enqueue(self, request: workload.Request) -> None:
        """Queue a request."""
        name = catalog.ModelName(request.model, request.adapter)
        self._meter.record_request(name, request.answer_tokens)
        self._meter.add_waiting(name, 1)
        self._queue.push(
            fairness.Entry(
                ids.TeamId(request.team),
                str(name),
                request.prompt_tokens + request.answer_tokens,
                request.arrival_ms
                + self.configuration.objectives.first_token_ms,
                request.arrival_ms + QUEUE_TIMEOUT_MS,
                request,
            )
        )

    def dispatch(self) -> list[Assignment]:
        """Start queued requests while an engine can run them."""
        started: list[Assignment] = []
        chosen: list[engine_module.Engine] = []
        by_id = {engine.id: engine for engine in self.engines}

        def can_run(entry: fairness.Entry[workload.Request]) -> bool:
            candidate = self._choose_candidate(entry.item)
            if candidate is not None:
                chosen[:] = [by_id[candidate.id]]
            return candidate is not None

        for expired in self._queue.remove_expired(self.clock.now_ms()):
            self.drop(expired.item)
            self._stop_waiting(expired.item)
        now_ms = self.clock.now_ms()
        while (entry := self._queue.pop(can_run, now_ms)) is not None:
            chosen[0].start(entry.item)
            self._stop_waiting(entry.item)
            started.append((entry.item, chosen[0]))
        return started

    def _stop_waiting(self, request: workload.Request) -> None:
        name = catalog.ModelName(request.model, request.adapter)
        self._meter.add_waiting(name, -1)

    def _choose_candidate(
        self, request: workload.Request
    ) -> routing.Candidate | None:
        candidates = [
            routing.Candidate(
                id=ids.TargetId(engine.id),
                slots=engine_module.SLOTS,
                own_in_flight=len(engine.running),
                peers_in_flight=0,
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
        """Plan moves and apply them, as fast as the weight store allows."""
        now_ms = self.clock.now_ms()
        store = self.configuration.weight_store
        earned = store.loads_per_s * (now_ms - self._last_placement_ms) / 1000
        self._load_credits = min(
            math.ceil(store.loads_per_s),
            self._load_credits + earned,
        )
        self._last_placement_ms = now_ms
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
            elif self._load_credits >= 1:
                self._load_credits -= 1
                self.load(engine, move.model)

    def _situation(self) -> situations.Situation:
        now_ms = self.clock.now_ms()
        return situations.Situation(
            configuration=self.configuration,
            engines=[self._engine_view(engine) for engine in self.engines],
            demand_by_name=placer.merge_demand(self._meter.report()),
            now_ms=now_ms,
            capacity_tokens_per_s=engine_module.answer_tokens_per_s(
                self.configuration.objectives.between_tokens_ms
            ),
        )

    def _engine_view(self, engine: engine_module.Engine) -> situations.Engine:
        now_ms = self.clock.now_ms()
        return situations.Engine(
            engine.id,
            engine.data_centre,
            engine.memory_mb,
            {
                (model, adapter): situations.Resident(
                    model,
                    adapter,
                    resident.version,
                    resident.memory_mb,
                    is_ready=resident.ready_ms <= now_ms,
                    since_ms=int(resident.load_ordered_ms),
                )
                for (model, adapter), resident in engine.residents.items()
            },
            is_usable=engine.is_up,
        )


class UnlimitedMemory(Cardamom):
    """Upper bound: every engine holds every model and adapter."""

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
        """Do nothing, because everything counts as loaded."""


class _Fifo(Policy):
    """Base of the baselines: a first-in, first-out queue per engine."""

    def initialise(self) -> None:
        """Initialise the policy's own state."""
        super().initialise()
        self._queue_by_engine: dict[
            str, collections.deque[workload.Request]
        ] = {engine.id: collections.deque() for engine in self.engines}

    @abc.abstractmethod
    def choose_engine(
        self, request: workload.Request
    ) -> engine_module.Engine | None:
        """Return the engine for a request, or None if none is available."""

    def enqueue(self, request: workload.Request) -> None:
        """Queue a request at the chosen engine."""
        engine = self.choose_engine(request)
        if engine is None:
            self.drop(request)
            return
        self._queue_by_engine[engine.id].append(request)

    def dispatch(self) -> list[Assignment]:
        """Start requests whose model is loaded, while slots are free."""
        now_ms = self.clock.now_ms()
        started: list[Assignment] = []
        for engine in self.engines:
            remaining: collections.deque[workload.Request] = (
                collections.deque()
            )
            for request in self._queue_by_engine[engine.id]:
                has_slot = len(engine.running) < engine_module.SLOTS
                if now_ms - request.arrival_ms > QUEUE_TIMEOUT_MS:
                    self.drop(request)
                elif has_slot and self._make_ready(engine, request):
                    engine.start(request)
                    started.append((request, engine))
                else:
                    remaining.append(request)
            self._queue_by_engine[engine.id] = remaining
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
        if (request.model, "") not in engine.residents:
            self.on_miss(engine, request.model)
        elif (request.model, request.adapter) not in engine.residents:
            self._load_adapter(engine, request)
        return engine.is_ready(request.model, request.adapter, now_ms)

    def _load_adapter(
        self,
        engine: engine_module.Engine,
        request: workload.Request,
    ) -> None:
        spec = self.configuration.adapters[request.adapter]
        adapters = [name for name in engine.residents if name[1]]
        while engine.used_mb() + spec.memory_mb > engine.memory_mb:
            if not adapters:
                return
            self.unload(engine, adapters.pop(0))
        self.load(engine, request.model, request.adapter)

    def on_miss(self, engine: engine_module.Engine, model: str) -> None:
        """Handle a request whose model the engine does not hold."""


class StaticRoundRobin(_Fifo):
    """Places models once, by name; sends requests to copies in turn."""

    name = "static_round_robin"

    def initialise(self) -> None:
        """Initialise the policy's own state."""
        super().initialise()
        self._next_copy = itertools.count()
        self._copies: dict[str, list[engine_module.Engine]] = (
            collections.defaultdict(list)
        )
        self._place_copies()

    def _place_copies(self) -> None:
        reserve_mb = 4_000
        for position, model in enumerate(
            itertools.chain(*[sorted(self.configuration.models)] * 2)
        ):
            spec = self.configuration.models[model]
            needed_mb = spec.memory_mb + spec.kv_mb + reserve_mb
            for offset in range(len(self.engines)):
                engine = self.engines[(position + offset) % len(self.engines)]
                is_new = (model, "") not in engine.residents
                fits = engine.used_mb() + needed_mb <= engine.memory_mb
                if is_new and fits:
                    resident = engine_module.Resident(
                        spec.memory_mb + spec.kv_mb, spec.version, 0, 0
                    )
                    engine.load((model, ""), resident)
                    self._copies[model].append(engine)
                    break

    def choose_engine(
        self, request: workload.Request
    ) -> engine_module.Engine | None:
        """Return the next engine in turn that holds the model."""
        copies = [e for e in self._copies[request.model] if e.is_up]
        if not copies:
            return None
        return copies[next(self._next_copy) % len(copies)]

    def on_miss(self, engine: engine_module.Engine, model: str) -> None:
        """Reload a model that the engine lost in a crash."""
        if any(engine is copy for copy in self._copies[model]):
            self.load(engine, model)


class LoadOnMiss(_Fifo):
    """Uses the least loaded engine; evicts the least recently used model."""

    name = "least_loaded_lru"

    def initialise(self) -> None:
        """Initialise the policy's own state."""
        super().initialise()
        self._last_used_ms: dict[tuple[str, str], int] = {}

    def _request_count(self, engine: engine_module.Engine) -> int:
        return len(engine.running) + len(self._queue_by_engine[engine.id])

    def choose_engine(
        self, request: workload.Request
    ) -> engine_module.Engine | None:
        """Return the least loaded engine, preferably one with the model."""
        available = [engine for engine in self.engines if engine.is_up]
        holders = [e for e in available if (request.model, "") in e.residents]
        if not available:
            return None
        engine = min(
            holders or available, key=lambda e: (self._request_count(e), e.id)
        )
        self._last_used_ms[(engine.id, request.model)] = self.clock.now_ms()
        if not holders:
            self.on_miss(engine, request.model)
        return engine

    def on_miss(self, engine: engine_module.Engine, model: str) -> None:
        """Load a model, evicting idle models until it fits."""
        spec = self.configuration.models[model]
        needed_mb = spec.memory_mb + spec.kv_mb
        models_in_use = {request.model for request in engine.running}
        models_in_use |= {r.model for r in self._queue_by_engine[engine.id]}
        now_ms = self.clock.now_ms()
        models = [
            name
            for name, resident in engine.residents.items()
            if not name[1] and resident.ready_ms <= now_ms
        ]
        models.sort(key=lambda n: self._last_used_ms.get((engine.id, n[0]), 0))
        for name in models:
            if engine.used_mb() + needed_mb <= engine.memory_mb:
                break
            if name[0] not in models_in_use:
                self.unload(engine, name)
        if engine.used_mb() + needed_mb <= engine.memory_mb:
            self.load(engine, model)


class LoadOnMissWithSpill(LoadOnMiss):
    """Like LoadOnMiss, but loads another copy if all copies are busy."""

    name = "least_loaded_lru_spill"
    SPILL_AT_REQUESTS = 24

    def choose_engine(
        self, request: workload.Request
    ) -> engine_module.Engine | None:
        """Return a non-busy engine with the model, else any engine."""
        available = [engine for engine in self.engines if engine.is_up]
        holders = [e for e in available if (request.model, "") in e.residents]
        below_spill = [
            e
            for e in holders
            if self._request_count(e) < self.SPILL_AT_REQUESTS
        ]
        if not available:
            return None
        engine = min(
            below_spill or available,
            key=lambda e: (self._request_count(e), e.id),
        )
        self._last_used_ms[(engine.id, request.model)] = self.clock.now_ms()
        if (request.model, "") not in engine.residents:
            self.on_miss(engine, request.model)
        return engine


POLICIES: tuple[type[Policy], ...] = (
    Cardamom,
    StaticRoundRobin,
    LoadOnMiss,
    LoadOnMissWithSpill,
    UnlimitedMemory,
)
