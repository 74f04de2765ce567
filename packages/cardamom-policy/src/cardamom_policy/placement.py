"""Which models and adapters each engine should hold.

Memory counts as used from the moment an order to load may have been sent
until the engine confirms that the resident is unloaded.  A plan therefore
never relies on an unconfirmed unload: it orders the unload first and the load
in a later pass.

A plan first loads missing copies, then spreads demand: the model with the
most demand per copy gets another copy on the least loaded engine, either in
free memory or in place of a copy with far less demand.
"""

from cardamom_policy import situations

EVICT_IDLE_MS = 20_000  # idle time until a last copy is evictable
MIN_RESIDENCE_MS = 5_000
# After this residence, a last copy in use may be replaced by an absent model.
GUARANTEED_RESIDENCE_MS = 20_000
ADAPTER_KEEP_MS = 60_000  # an adapter idle for less counts as in use
ADAPTER_RESERVE_MB = 2_000  # left free for adapters when models are spread
# Fractions of an engine's token rate: the demand per copy from which a model
# is spread, and by how much less the other engine must be loaded.
MIN_SPREAD_FRACTION = 0.06
SPREAD_MARGIN_FRACTION = 0.15
# Ratio of demand per copy at which a model replaces a copy of another one.
EVICTION_DEMAND_RATIO = 6.0


def plan(situation: situations.Situation) -> list[situations.Move]:
    """Return the next moves, the most urgent first.

    Each engine stays within its memory even if some moves fail.
    """
    draft = _Draft(situation)
    _unload_outdated(draft)
    _load_missing_copies(draft)
    _load_adapters(draft)
    _spread_models(draft)
    _fill_free_memory(draft)
    return draft.moves


class _Draft:
    """The moves chosen so far, and the memory and demand they use."""

    def __init__(self, situation: situations.Situation) -> None:
        self.situation = situation
        self.moves: list[situations.Move] = []
        self.engines = [e for e in situation.engines if e.is_usable]
        adapters = situation.configuration.adapters.values()
        self.adapter_reserve_mb = min(
            ADAPTER_RESERVE_MB,
            sum(adapter.memory_mb for adapter in adapters),
        )
        self.free_mb_by_engine = {e.id: e.free_mb for e in self.engines}
        self.unloading_engines = {
            engine.id
            for engine in self.engines
            if any(
                resident.is_unloading
                for resident in engine.resident_by_name.values()
            )
        }
        self.holders = {
            model: [e for e in self.engines if e.serves((model, ""))]
            for model in situation.configuration.models
        }
        self.load_by_engine = {engine.id: 0.0 for engine in self.engines}
        for model in self.holders:
            self._count_load(model, 1.0)

    def demand_per_copy(self, model: str, fewer: int = 0) -> float:
        """Return tokens/s of demand per copy, leaving out ``fewer`` copies."""
        copies = max(1, len(self.holders[model]) - fewer)
        return self.situation.demand((model, "")).tokens_per_s / copies

    def least_loaded(
        self, engines: list[situations.Engine]
    ) -> list[situations.Engine]:
        """Return the engines sorted by load, the least loaded first."""
        return sorted(engines, key=lambda e: (self.load_by_engine[e.id], e.id))

    def load_model(
        self, engine: situations.Engine, model: str, reason: str
    ) -> None:
        """Add the load of a model; count its memory and demand."""
        version = self.situation.configuration.models[model].version
        needed_mb = self.situation.model_memory_mb(model)
        self._add(
            situations.MoveKind.LOAD,
            engine,
            (model, ""),
            version,
            needed_mb,
            reason,
        )
        self.free_mb_by_engine[engine.id] -= needed_mb
        self._count_load(model, -1.0)
        self.holders[model].append(engine)
        self._count_load(model, 1.0)

    def load_adapter(
        self, engine: situations.Engine, adapter: str, reason: str
    ) -> None:
        """Add the load of an adapter; count its memory."""
        spec = self.situation.configuration.adapters[adapter]
        name = (spec.model, adapter)
        self._add(
            situations.MoveKind.LOAD,
            engine,
            name,
            spec.version,
            spec.memory_mb,
            reason,
        )
        self.free_mb_by_engine[engine.id] -= spec.memory_mb

    def unload(
        self,
        engine: situations.Engine,
        resident: situations.Resident,
        reason: str,
    ) -> None:
        """Add an unload; its memory stays counted until it is confirmed."""
        name = (resident.model, resident.adapter)
        self._add(
            situations.MoveKind.UNLOAD,
            engine,
            name,
            resident.version,
            resident.memory_mb,
            reason,
        )
        self.unloading_engines.add(engine.id)
        if not resident.adapter and resident.model in self.holders:
            self._count_load(resident.model, -1.0)
            self.holders[resident.model] = [
                e for e in self.holders[resident.model] if e.id != engine.id
            ]
            self._count_load(resident.model, 1.0)

    def _add(
        self,
        kind: situations.MoveKind,
        engine: situations.Engine,
        name: situations.Name,
        version: str,
        memory_mb: int,
        reason: str,
    ) -> None:
        self.moves.append(
            situations.Move(kind, engine.id, *name, version, memory_mb, reason)
        )

    def _count_load(self, model: str, sign: float) -> None:
        share = sign * self.demand_per_copy(model)
        for engine in self.holders[model]:
            self.load_by_engine[engine.id] += share


def _unload_outdated(draft: _Draft) -> None:
    """Unload residents not in the configuration, one per engine at a time."""
    for engine in draft.engines:
        for resident in engine.resident_by_name.values():
            if resident.is_unloading or not resident.is_ready:
                continue
            wanted = _wanted_version(draft, resident)
            if wanted == resident.version:
                continue
            if wanted is None or not _is_last_ready(draft, engine, resident):
                reason = f"version {resident.version} is replaced by {wanted}"
                draft.unload(engine, resident, reason)
                break


def _wanted_version(
    draft: _Draft, resident: situations.Resident
) -> str | None:
    configuration = draft.situation.configuration
    if resident.adapter:
        spec = configuration.adapters.get(resident.adapter)
        return spec.version if spec and spec.model == resident.model else None
    listed = configuration.models.get(resident.model)
    return listed.version if listed else None


def _is_last_ready(
    draft: _Draft, engine: situations.Engine, resident: situations.Resident
) -> bool:
    """Return whether no other engine could serve the model of a resident.

    Always False for adapters and if there is only one engine.
    """
    if resident.adapter or len(draft.engines) == 1:
        return False
    name = (resident.model, "")
    return not any(
        other.serves(name) and other.resident_by_name[name].is_ready
        for other in draft.engines
        if other.id != engine.id
    )


def _load_missing_copies(draft: _Draft) -> None:
    """Load models that have too few copies, the most requested first."""

    def urgency(model: str) -> tuple[int, float, str]:
        demand = draft.situation.demand((model, ""))
        return (-demand.waiting, -demand.tokens_per_s, model)

    for model in sorted(draft.situation.configuration.models, key=urgency):
        current_holders = _current_holders(draft, model)
        wanted = _copies_needed(draft, model, len(current_holders))
        if len(current_holders) >= wanted:
            continue
        reason = f"{len(current_holders)} of {wanted} needed copies"
        if not _load_on_best_engine(draft, model, reason, 0):
            _unload_to_make_room(draft, model, reason)


def _current_holders(draft: _Draft, model: str) -> list[situations.Engine]:
    """Return the engines that hold or will hold the configured version."""
    version = draft.situation.configuration.models[model].version
    return [
        engine
        for engine in draft.holders[model]
        if (model, "") not in engine.resident_by_name
        or engine.resident_by_name[(model, "")].version == version
    ]


def _copies_needed(draft: _Draft, model: str, current_copies: int) -> int:
    spec = draft.situation.configuration.models[model]
    has_waiting = draft.situation.demand((model, "")).waiting > 0
    is_replaced = current_copies < len(draft.holders[model])
    needed = max(spec.min_ready, 1 if has_waiting or is_replaced else 0)
    return min(needed, len(draft.engines))


def _load_on_best_engine(
    draft: _Draft, model: str, reason: str, reserve_mb: int
) -> bool:
    """Load a model on the best engine with room; return whether one exists.

    Engines in data centres without a copy are preferred.
    """
    needed_mb = draft.situation.model_memory_mb(model) + reserve_mb
    used_data_centres = {engine.data_centre for engine in draft.holders[model]}
    with_room = [
        engine
        for engine in _engines_without(draft, model)
        if draft.free_mb_by_engine[engine.id] >= needed_mb
    ]
    if not with_room:
        return False
    preferred = draft.least_loaded(with_room)
    preferred.sort(key=lambda e: e.data_centre in used_data_centres)
    draft.load_model(preferred[0], model, reason)
    return True


def _engines_without(draft: _Draft, model: str) -> list[situations.Engine]:
    """Return the engines that certainly hold no copy of a model."""
    holding = {engine.id for engine in draft.holders[model]}
    return [
        engine
        for engine in draft.engines
        if engine.id not in holding
        and (model, "") not in engine.resident_by_name
    ]


def _unload_to_make_room(draft: _Draft, model: str, reason: str) -> None:
    """Unload the copies with the least demand to make room for a model."""
    needed_mb = draft.situation.model_memory_mb(model)
    options: list[
        tuple[float, str, situations.Engine, list[situations.Resident]]
    ] = []
    for engine in _engines_without(draft, model):
        if (
            engine.id in draft.unloading_engines
            or engine.memory_mb < needed_mb
        ):
            continue
        victims = _victims(draft, engine, needed_mb, model)
        if victims:
            cost = sum(
                draft.demand_per_copy(resident.model) for resident in victims
            )
            options.append((cost, engine.id, engine, victims))
    if not options:
        return
    _, _, engine, victims = min(options, key=lambda option: option[:2])
    for resident in victims:
        draft.unload(engine, resident, f"makes room for {model}: {reason}")


def _victims(
    draft: _Draft,
    engine: situations.Engine,
    needed_mb: int,
    model: str,
) -> list[situations.Resident]:
    """Return the copies whose unload makes room, the least valuable first."""
    candidates = [
        resident
        for resident in engine.resident_by_name.values()
        if not resident.adapter
        and resident.is_ready
        and not resident.is_unloading
        and _is_evictable(draft, resident, model)
    ]
    candidates.sort(key=lambda resident: _value_key(draft, resident))
    missing_mb = needed_mb - draft.free_mb_by_engine[engine.id]
    chosen: list[situations.Resident] = []
    for resident in candidates:
        if missing_mb <= 0:
            break
        chosen.append(resident)
        missing_mb -= _memory_with_adapters(engine, resident)
    return chosen if missing_mb <= 0 else []


def _memory_with_adapters(
    engine: situations.Engine, resident: situations.Resident
) -> int:
    return sum(
        other.memory_mb
        for other in engine.resident_by_name.values()
        if other.model == resident.model
    )


def _value_key(
    draft: _Draft, resident: situations.Resident
) -> tuple[bool, float, str]:
    """Return a sort key by value; the last copy of a model is worth most."""
    if resident.model not in draft.holders:
        return (False, -1.0, resident.model)
    is_last = len(draft.holders[resident.model]) <= 1
    return (is_last, draft.demand_per_copy(resident.model), resident.model)


def _is_evictable(
    draft: _Draft, resident: situations.Resident, model: str
) -> bool:
    """Return whether a copy may be unloaded to make room for a model.

    A model that no engine holds and that has waiting requests may replace any
    copy after its guaranteed residence, so that each model becomes available
    in bounded time.
    """
    situation = draft.situation
    spec = situation.configuration.models.get(resident.model)
    if spec is None:
        return True
    residence_ms = situation.now_ms - resident.since_ms
    copies = len(draft.holders[resident.model])
    if copies <= spec.min_ready or residence_ms < MIN_RESIDENCE_MS:
        return False
    if copies > 1:
        remaining_demand = draft.demand_per_copy(resident.model, fewer=1)
        is_absent = not draft.holders[model]
        return (
            is_absent
            or remaining_demand * EVICTION_DEMAND_RATIO
            < draft.demand_per_copy(model)
        )
    demand = situation.demand((resident.model, ""))
    if draft.holders[model]:
        return False
    if not demand.waiting and demand.idle_ms >= EVICT_IDLE_MS:
        return True
    return residence_ms >= GUARANTEED_RESIDENCE_MS


def _load_adapters(draft: _Draft) -> None:
    """Load adapters in use on every engine with a ready copy of their model.

    If memory is short, only an adapter with waiting requests that no engine
    holds gets room, and on one engine.
    """
    for adapter, spec in sorted(
        draft.situation.configuration.adapters.items()
    ):
        demand = draft.situation.demand((spec.model, adapter))
        if not demand.waiting and demand.idle_ms >= ADAPTER_KEEP_MS:
            continue
        name = (spec.model, adapter)
        hosts = [
            engine
            for engine in draft.least_loaded(draft.holders[spec.model])
            if _is_ready(engine, (spec.model, ""))
        ]
        without_adapter = [
            engine for engine in hosts if name not in engine.resident_by_name
        ]
        with_room = [
            engine
            for engine in without_adapter
            if draft.free_mb_by_engine[engine.id] >= spec.memory_mb
        ]
        for engine in with_room:
            draft.load_adapter(engine, adapter, "in use")
        is_absent = len(without_adapter) == len(hosts)
        if demand.waiting and is_absent and not with_room:
            _unload_for_adapter(draft, hosts, adapter)


def _is_ready(engine: situations.Engine, name: situations.Name) -> bool:
    resident = engine.resident_by_name.get(name)
    return resident is not None and resident.is_ready


def _unload_for_adapter(
    draft: _Draft,
    hosts: list[situations.Engine],
    adapter: str,
) -> None:
    """Unload an adapter without waiting requests, else a surplus copy."""
    reason = f"makes room for adapter {adapter}"
    for engine in hosts:
        if engine.id in draft.unloading_engines:
            return
    for choose in (_idle_adapter, _surplus_copy):
        for engine in hosts:
            resident = choose(draft, engine, adapter)
            if resident is not None:
                draft.unload(engine, resident, reason)
                return


def _idle_adapter(
    draft: _Draft,
    engine: situations.Engine,
    adapter: str,
) -> situations.Resident | None:
    """Return the longest idle adapter without waiting requests, if any."""

    def idle_ms(resident: situations.Resident) -> tuple[int, str]:
        name = (resident.model, resident.adapter)
        return (draft.situation.demand(name).idle_ms, resident.adapter)

    idle = [
        resident
        for resident in engine.resident_by_name.values()
        if resident.adapter
        and resident.is_ready
        and not draft.situation.demand(
            (resident.model, resident.adapter)
        ).waiting
    ]
    return max(idle, key=idle_ms, default=None)


def _surplus_copy(
    draft: _Draft,
    engine: situations.Engine,
    adapter: str,
) -> situations.Resident | None:
    """Return the least valuable surplus copy of another model, if any."""
    model = draft.situation.configuration.adapters[adapter].model
    copies = [
        resident
        for resident in engine.resident_by_name.values()
        if not resident.adapter
        and resident.is_ready
        and resident.model != model
        and len(draft.holders.get(resident.model, ())) > 1
        and _is_evictable(draft, resident, model)
    ]
    return min(
        copies, key=lambda resident: _value_key(draft, resident), default=None
    )


def _spread_models(draft: _Draft) -> None:
    """Add a copy of each model with high demand per copy."""
    capacity = draft.situation.capacity_tokens_per_s
    by_demand = sorted(
        (model for model in draft.holders if draft.holders[model]),
        key=lambda model: (-draft.demand_per_copy(model), model),
    )
    for model in by_demand:
        if draft.demand_per_copy(model) < MIN_SPREAD_FRACTION * capacity:
            return
        busiest = max(draft.load_by_engine[e.id] for e in draft.holders[model])
        engines = [
            engine
            for engine in draft.least_loaded(_engines_without(draft, model))
            if draft.load_by_engine[engine.id]
            + SPREAD_MARGIN_FRACTION * capacity
            < busiest
        ]
        if engines:
            _spread_to(draft, model, engines)


def _spread_to(
    draft: _Draft, model: str, engines: list[situations.Engine]
) -> None:
    needed_mb = (
        draft.situation.model_memory_mb(model) + draft.adapter_reserve_mb
    )
    reason = f"{draft.demand_per_copy(model):.0f} tokens/s per copy"
    for engine in engines:
        if draft.free_mb_by_engine[engine.id] >= needed_mb:
            draft.load_model(engine, model, reason)
            return
    for engine in engines:
        if engine.id in draft.unloading_engines:
            continue
        victims = _victims(draft, engine, needed_mb, model)
        if victims:
            for resident in victims:
                draft.unload(
                    engine, resident, f"makes room for {model}: {reason}"
                )
            return


def _fill_free_memory(draft: _Draft) -> None:
    """Load models that no engine holds into free memory."""
    for model in sorted(draft.situation.configuration.models):
        if not draft.holders[model]:
            _load_on_best_engine(
                draft, model, "no engine holds it", draft.adapter_reserve_mb
            )
