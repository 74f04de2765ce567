"""Which models and adapters each engine should hold.

Memory counts as used from the moment an order to load may have been sent
until the engine confirms that the resident is gone.  A plan therefore never
counts on an unload that has not been confirmed: it orders the unload first
and the load in a later pass.
"""

import dataclasses
import enum
import itertools
import typing

from cardamom_config import schema

HOT_SHARE = 0.75
EVICT_IDLE_MS = 20_000
MIN_RESIDENCE_MS = 5_000
FULL_TURN_MS = 20_000

Name = tuple[str, str]


class MoveKind(enum.Enum):
    """What a planned move does."""

    LOAD = "load"
    UNLOAD = "unload"


@dataclasses.dataclass(frozen=True)
class Move:
    """One planned order with its reason, for ``status --why``."""

    kind: MoveKind
    engine: str
    model: str
    adapter: str
    version: str
    memory_mb: int
    reason: str


@dataclasses.dataclass(frozen=True)
class Held:
    """A resident as counted: also one that may only be on its way."""

    model: str
    adapter: str
    version: str
    memory_mb: int
    is_ready: bool
    since_ms: int
    is_leaving: bool = False


@dataclasses.dataclass(frozen=True)
class Engine:
    """One engine and everything that may be in its memory."""

    id: str
    data_centre: str
    memory_mb: int
    by_name: typing.Mapping[Name, Held]
    is_usable: bool = True

    @property
    def free_mb(self) -> int:
        """Return the memory that nothing may be using."""
        return self.memory_mb - sum(h.memory_mb for h in self.by_name.values())


@dataclasses.dataclass(frozen=True)
class Demand:
    """What callers ask of one model, or of one adapter of it."""

    tokens_per_s: float = 0.0
    waiting: int = 0
    idle_ms: int = 1 << 40


@dataclasses.dataclass(frozen=True)
class Situation:
    """Everything that a plan is made from."""

    configuration: schema.Configuration
    engines: typing.Sequence[Engine]
    demand_by_name: typing.Mapping[Name, Demand]
    now_ms: int
    capacity_tokens_per_s: float

    def demand(self, name: Name) -> Demand:
        """Return the demand for a model or an adapter."""
        return self.demand_by_name.get(name, Demand())


def plan(situation: Situation) -> list[Move]:
    """Return the next moves, the most urgent first, one for each engine.

    Moves on different engines do not depend on each other, and each leaves
    its engine within its memory whatever becomes of the others.
    """
    taken: set[str] = set()
    moves: list[Move] = []
    for move in itertools.chain(
        _stale_versions(situation),
        _missing_models(situation),
        _missing_adapters(situation),
        _crowded_models(situation),
    ):
        if move.engine in taken:
            continue
        taken.add(move.engine)
        moves.append(move)
    return moves


def copies_wanted(situation: Situation, model: str) -> int:
    """Return how many engines should hold a model."""
    spec = situation.configuration.models[model]
    demand = situation.demand((model, ""))
    usable = sum(1 for engine in situation.engines if engine.is_usable)
    per_copy = situation.capacity_tokens_per_s * HOT_SHARE
    by_load = int(-(-demand.tokens_per_s // per_copy)) if per_copy else 0
    needed = max(spec.min_ready, by_load, 1 if demand.waiting else 0)
    return min(needed, usable)


def _holders(situation: Situation, name: Name) -> list[Engine]:
    return [
        engine
        for engine in situation.engines
        if engine.is_usable
        and name in engine.by_name
        and not engine.by_name[name].is_leaving
    ]


def _missing_models(situation: Situation) -> typing.Iterator[Move]:
    """Load models that have too few copies, the most wanted first."""
    models = situation.configuration.models

    def urgency(model: str) -> tuple[float, float, str]:
        demand = situation.demand((model, ""))
        return (-demand.waiting, -demand.tokens_per_s, model)

    for model in sorted(models, key=urgency):
        every = _holders(situation, (model, ""))
        holders = [
            engine
            for engine in every
            if engine.by_name[(model, "")].version == models[model].version
        ]
        replaced = 1 if len(holders) < len(every) else 0
        wanted = max(replaced, copies_wanted(situation, model))
        if len(holders) >= wanted:
            continue
        reason = f"{len(holders)} of {wanted} wanted copies"
        yield from _place(situation, model, holders, reason)


def _crowded_models(situation: Situation) -> typing.Iterator[Move]:
    """Fill free memory with models that are nowhere, for reachability."""
    for model in sorted(situation.configuration.models):
        if _holders(situation, (model, "")):
            continue
        spec = situation.configuration.models[model]
        needed_mb = spec.memory_mb + spec.kv_mb
        roomy = [
            engine
            for engine in situation.engines
            if engine.is_usable and engine.free_mb >= needed_mb
        ]
        if roomy:
            engine = max(roomy, key=lambda e: (e.free_mb, e.id))
            yield _load_model(situation, engine, model, "free memory")


def _place(
    situation: Situation,
    model: str,
    holders: list[Engine],
    reason: str,
) -> typing.Iterator[Move]:
    spec = situation.configuration.models[model]
    needed_mb = spec.memory_mb + spec.kv_mb
    held_in = {engine.data_centre for engine in holders}
    held_by = {engine.id for engine in holders}
    others = [
        engine
        for engine in situation.engines
        if engine.is_usable
        and engine.id not in held_by
        and (model, "") not in engine.by_name
        and engine.memory_mb >= needed_mb
    ]
    others.sort(key=lambda e: (e.data_centre in held_in, -e.free_mb, e.id))
    for engine in others:
        if engine.free_mb >= needed_mb:
            yield _load_model(situation, engine, model, reason)
            return
    for engine in others:
        victims = list(_victims(situation, engine, needed_mb, model))
        if victims:
            yield from victims
            return


def _victims(
    situation: Situation,
    engine: Engine,
    needed_mb: int,
    model: str,
) -> typing.Iterator[Move]:
    """Yield an unload that makes room, or nothing if none is justified."""
    candidates = [
        held
        for (_, adapter), held in engine.by_name.items()
        if not adapter
        and held.is_ready
        and not held.is_leaving
        and situation.now_ms - held.since_ms >= MIN_RESIDENCE_MS
        and _may_evict(situation, held, model)
    ]
    candidates.sort(key=lambda h: _value(situation, h.model))
    freed_mb = engine.free_mb + sum(
        h.memory_mb for h in engine.by_name.values() if h.is_leaving
    )
    chosen: list[Held] = []
    for held in candidates:
        if freed_mb >= needed_mb:
            break
        chosen.append(held)
        freed_mb += held.memory_mb
    if freed_mb < needed_mb or not chosen:
        return
    victim = chosen[0]
    yield Move(
        MoveKind.UNLOAD,
        engine.id,
        victim.model,
        "",
        victim.version,
        victim.memory_mb,
        f"makes room for {model}",
    )


def _may_evict(situation: Situation, held: Held, incoming: str) -> bool:
    """Tell whether a copy may make room for another model.

    A model that is nowhere and waited for may take the place of any copy
    that has had its time, so that each model is reached in bounded time.
    """
    demand = situation.demand((held.model, ""))
    spec = situation.configuration.models.get(held.model)
    if spec is None:
        return True
    copies = len(_holders(situation, (held.model, "")))
    if copies <= spec.min_ready:
        return False
    if copies > copies_wanted(situation, held.model):
        return True
    if demand.idle_ms >= EVICT_IDLE_MS and not demand.waiting:
        return True
    wanted = situation.demand((incoming, ""))
    if _holders(situation, (incoming, "")) or not wanted.waiting:
        return wanted.tokens_per_s > 4 * demand.tokens_per_s
    residence_ms = situation.now_ms - held.since_ms
    return not demand.waiting or residence_ms >= FULL_TURN_MS


def _value(situation: Situation, model: str) -> tuple[float, int, str]:
    demand = situation.demand((model, ""))
    copies = len(_holders(situation, (model, "")))
    return (demand.tokens_per_s / max(1, copies), -demand.idle_ms, model)


def _missing_adapters(situation: Situation) -> typing.Iterator[Move]:
    """Load adapters that callers wait for beside their models."""
    for name, adapter in sorted(situation.configuration.adapters.items()):
        demand = situation.demand((adapter.model, name))
        here = (adapter.model, name)
        if not demand.waiting or _holders(situation, here):
            continue
        hosts = [
            engine
            for engine in _holders(situation, (adapter.model, ""))
            if engine.by_name[(adapter.model, "")].is_ready
        ]
        for engine in sorted(hosts, key=lambda e: (-e.free_mb, e.id)):
            if engine.free_mb >= adapter.memory_mb:
                yield Move(
                    MoveKind.LOAD,
                    engine.id,
                    adapter.model,
                    name,
                    adapter.version,
                    adapter.memory_mb,
                    f"{demand.waiting} waiting",
                )
                break
            idle = _idle_adapter(situation, engine)
            if idle is not None:
                yield idle
                break


def _idle_adapter(situation: Situation, engine: Engine) -> Move | None:
    idle = [
        held
        for (model, adapter), held in engine.by_name.items()
        if adapter
        and held.is_ready
        and not held.is_leaving
        and not situation.demand((model, adapter)).waiting
    ]
    if not idle:
        return None
    held = max(
        idle,
        key=lambda h: (
            situation.demand((h.model, h.adapter)).idle_ms,
            h.adapter,
        ),
    )
    return Move(
        MoveKind.UNLOAD,
        engine.id,
        held.model,
        held.adapter,
        held.version,
        held.memory_mb,
        "makes room for another adapter",
    )


def _stale_versions(situation: Situation) -> typing.Iterator[Move]:
    """Unload what the configuration no longer lists, one copy at a time."""
    configuration = situation.configuration
    for engine in situation.engines:
        if not engine.is_usable:
            continue
        for (model, adapter), held in engine.by_name.items():
            if held.is_leaving or not held.is_ready:
                continue
            wanted = _wanted_version(configuration, model, adapter)
            if wanted == held.version:
                continue
            if wanted is not None and _is_last_ready(
                situation, engine, model, adapter
            ):
                continue
            yield Move(
                MoveKind.UNLOAD,
                engine.id,
                model,
                adapter,
                held.version,
                held.memory_mb,
                f"version {held.version} is replaced by {wanted}",
            )


def _wanted_version(
    configuration: schema.Configuration,
    model: str,
    adapter: str,
) -> str | None:
    if adapter:
        spec = configuration.adapters.get(adapter)
        return spec.version if spec and spec.model == model else None
    listed = configuration.models.get(model)
    return listed.version if listed else None


def _is_last_ready(
    situation: Situation,
    engine: Engine,
    model: str,
    adapter: str,
) -> bool:
    """Tell whether no other engine could answer for a resident."""
    others = [
        other
        for other in _holders(situation, (model, adapter))
        if other.id != engine.id and other.by_name[(model, adapter)].is_ready
    ]
    room_elsewhere = any(
        other.is_usable and other.id != engine.id
        for other in situation.engines
    )
    return not others and room_elsewhere and not adapter


def _load_model(
    situation: Situation,
    engine: Engine,
    model: str,
    reason: str,
) -> Move:
    spec = situation.configuration.models[model]
    return Move(
        MoveKind.LOAD,
        engine.id,
        model,
        "",
        spec.version,
        spec.memory_mb + spec.kv_mb,
        reason,
    )
