"""Placement: the holder of the order lease orders loads and unloads."""

import asyncio
import collections
import dataclasses
import math
import statistics

import structlog

from cardamom_config import schema
from cardamom_daemon import demand
from cardamom_daemon import fleet as fleets
from cardamom_daemon import gossip as gossips
from cardamom_daemon import messages
from cardamom_daemon import targets as target_module
from cardamom_kernel import ids
from cardamom_kernel import invariants
from cardamom_kernel import leases
from cardamom_platform import interfaces
from cardamom_policy import placement
from cardamom_policy import situations

LOG = structlog.get_logger("cardamom.placer")

ORDER_LIFETIME_MS = 4_000
MAX_MOVE_HISTORY = 200


@dataclasses.dataclass
class _PendingOrder:
    """An order that may be sent, with no effect in an engine report yet."""

    move: situations.Move
    incarnation: str
    sent_ms: int


class Placer:
    """Contends for the order lease and sends orders while holding it."""

    def __init__(
        self,
        fleet: fleets.Fleet,
        target_registry: target_module.TargetRegistry,
        gossip: gossips.Gossip,
        meter: demand.DemandMeter,
    ) -> None:
        self._fleet = fleet
        self._target_registry = target_registry
        self._gossip = gossip
        self._meter = meter
        self.lease = leases.Lease(
            fleet.table,
            fleet.clock,
            "orders",
            fleet.instance,
        )
        self._pending: dict[tuple[str, str, str], _PendingOrder] = {}
        self._ordered_ms: dict[tuple[str, str, str], int] = {}
        self._fence_number = 0
        self._trusted_from_ms = 0
        self._load_credit = 0.0
        self._credit_updated_ms = fleet.clock.now_ms()
        self.history: collections.deque[tuple[int, situations.Move]] = (
            collections.deque(maxlen=MAX_MOVE_HISTORY)
        )

    async def contend(self) -> None:
        """Renew or try to acquire the order lease."""
        if self._fleet.is_draining or not self._fleet.is_fresh():
            return
        await self.lease.contend()
        fence = self.lease.fence()
        if fence is not None and fence.number != self._fence_number:
            self._fence_number = fence.number
            self._pending.clear()
            LOG.info("placer: lease acquired", number=fence.number)

    async def place(self) -> None:
        """Plan once and send the plan's orders, if this instance may."""
        fence = self.lease.fence()
        if fence is None or not self._fleet.is_fresh():
            return
        # Until this time, orders of the previous lease holder may still take
        # effect, and earlier engine reports may not show their effect.
        self._trusted_from_ms = fence.acquired_ms + ORDER_LIFETIME_MS
        if self._fleet.clock.now_ms() < self._trusted_from_ms:
            return
        self._drop_reported_orders()
        moves = placement.plan(self._situation())
        allowed = self._within_rates(moves)
        await asyncio.gather(*[self._send(move) for move in allowed])

    def explain(self, model: str) -> list[str]:
        """Return one line for each recent move of a model, with its reason."""
        return [
            f"{move.kind.value} {move.model}"
            f"{':' + move.adapter if move.adapter else ''} on {move.engine}: "
            f"{move.reason}"
            for _, move in self.history
            if move.model == model
        ]

    async def _send(self, move: situations.Move) -> None:
        target = self._target_registry.by_id.get(ids.TargetId(move.engine))
        if target is None or target.control is None:
            return
        fence = self.lease.fence()
        if fence is None:
            return
        key = (move.engine, move.model, move.adapter)
        now_ms = self._fleet.clock.now_ms()
        self._pending[key] = _PendingOrder(move, target.incarnation, now_ms)
        self._ordered_ms[key] = now_ms
        self.history.append((now_ms, move))
        self._check_memory(target)
        self._fleet.metrics.count(f"placement.{move.kind.value}")
        result = await target.control.order(
            _order(move, fence.number),
            ORDER_LIFETIME_MS,
        )
        LOG.info(
            "placer: order sent",
            kind=move.kind.value,
            engine=move.engine,
            model=move.model,
            adapter=move.adapter,
            reason=move.reason,
            state=result.outcome.value,
        )
        refused = (
            interfaces.OrderOutcome.REFUSED,
            interfaces.OrderOutcome.FENCED,
        )
        if result.outcome in refused:
            self._pending.pop(key, None)
            if "overcommit" in result.message:
                self._fleet.metrics.count("placement.overcommit_refused")

    def _check_memory(self, target: target_module.Target) -> None:
        engine = self._engine(target)
        invariants.check(
            engine.free_mb >= 0,
            "placement.memory_within_engine",
            engine=engine.id,
            free_mb=engine.free_mb,
        )

    def _drop_reported_orders(self) -> None:
        """Drop the pending orders whose effect the engine has reported.

        An order without effect so far stays pending, and its memory reserved,
        until a report from after the order's expiry shows no effect.
        """
        for key, pending in list(self._pending.items()):
            target = self._target_registry.by_id.get(ids.TargetId(key[0]))
            if target is None:
                del self._pending[key]
                continue
            if (
                target.state is None
                or target.state_received_ms <= pending.sent_ms
            ):
                continue
            resident_names = {
                (r.model, r.adapter) for r in target.state.residents
            }
            is_load = pending.move.kind is situations.MoveKind.LOAD
            took_effect = (key[1:] in resident_names) is is_load
            expired_ms = pending.sent_ms + 2 * ORDER_LIFETIME_MS
            if took_effect or target.state_received_ms > expired_ms:
                del self._pending[key]

    def _situation(self) -> situations.Situation:
        now_ms = self._fleet.clock.now_ms()
        return situations.Situation(
            configuration=self._fleet.catalog.configuration,
            engines=[self._engine(t) for t in self._target_registry.engines()],
            demand_by_name=self._demand(),
            now_ms=now_ms,
            capacity_tokens_per_s=self._capacity(),
        )

    def _capacity(self) -> float:
        """Return the median engine's answer tokens per second."""
        engines = self._fleet.catalog.configuration.engines().values()
        return statistics.median(e.tokens_per_s for e in engines)

    def _engine(self, target: target_module.Target) -> situations.Engine:
        """Return an engine with its residents and pending loads."""
        now_ms = self._fleet.clock.now_ms()
        resident_by_name = {
            (r.model, r.adapter): situations.Resident(
                r.model,
                r.adapter,
                r.version,
                r.memory_mb,
                is_ready=r.state is interfaces.LoadState.READY,
                since_ms=self._ordered_ms.get(
                    (target.id, r.model, r.adapter),
                    0,
                ),
                is_unloading=self._is_unloading(target.id, r),
            )
            for r in (target.state.residents if target.state else ())
        }
        for (engine, model, adapter), pending in self._pending.items():
            is_load = pending.move.kind is situations.MoveKind.LOAD
            name = (model, adapter)
            if (
                engine == target.id
                and is_load
                and name not in resident_by_name
            ):
                move = pending.move
                resident_by_name[name] = situations.Resident(
                    model,
                    adapter,
                    move.version,
                    move.memory_mb,
                    is_ready=False,
                    since_ms=pending.sent_ms,
                )
        has_valid_report = (
            target.is_up
            and target.state is not None
            and target.state_received_ms >= self._trusted_from_ms
            and now_ms - target.state_received_ms
            < target_module.STALE_STATE_MS
        )
        return situations.Engine(
            target.id,
            target.spec.data_centre,
            target.spec.memory_mb,
            resident_by_name,
            is_usable=has_valid_report
            and self._fleet.target_takes_work(target.id),
        )

    def _is_unloading(
        self,
        engine: str,
        resident: interfaces.Resident,
    ) -> bool:
        pending = self._pending.get((engine, resident.model, resident.adapter))
        return resident.state is interfaces.LoadState.UNLOADING or (
            pending is not None
            and pending.move.kind is situations.MoveKind.UNLOAD
        )

    def _demand(self) -> dict[situations.Name, situations.Demand]:
        notes = list(self._meter.report())
        for peer in self._gossip.live():
            assert peer.heartbeat is not None
            notes += peer.heartbeat.demand
        return merge_demand(notes)

    def _within_rates(
        self,
        moves: list[situations.Move],
    ) -> list[situations.Move]:
        """Return the moves that the weight store's limits allow now.

        Unloads are always allowed.
        """
        store = self._fleet.catalog.configuration.weight_store
        loading = self._loading()
        models = sum(1 for _, adapter in loading if not adapter)
        adapters = len(loading) - models
        self._refill_load_credit(store)
        allowed: list[situations.Move] = []
        for move in moves:
            if move.kind is situations.MoveKind.UNLOAD:
                allowed.append(move)
            elif move.adapter:
                if adapters < store.adapters_in_flight:
                    adapters += 1
                    allowed.append(move)
            elif models < store.concurrent_loads and self._load_credit >= 1:
                models += 1
                self._load_credit -= 1
                allowed.append(move)
        return allowed

    def _loading(self) -> list[tuple[str, str]]:
        """Return the (model, adapter) of each load in progress."""
        return [
            name
            for target in self._target_registry.engines()
            for name, resident in self._engine(target).resident_by_name.items()
            if not resident.is_ready
        ]

    def _refill_load_credit(self, store: schema.WeightStore) -> None:
        """Add the model loads that the store allows since the last call."""
        now_ms = self._fleet.clock.now_ms()
        refilled = (
            store.loads_per_s * (now_ms - self._credit_updated_ms) / 1000
        )
        self._load_credit = min(
            math.ceil(store.loads_per_s),
            self._load_credit + refilled,
        )
        self._credit_updated_ms = now_ms


def merge_demand(
    notes: list[messages.DemandNote],
) -> dict[situations.Name, situations.Demand]:
    """Add up demand by name; a model's includes that of its adapters."""
    merged: dict[situations.Name, situations.Demand] = {}
    for note in notes:
        names = {(note.model, note.adapter), (note.model, "")}
        for name in names:
            total = merged.get(name, situations.Demand())
            merged[name] = situations.Demand(
                total.tokens_per_s + note.tokens_per_s,
                total.waiting + note.waiting,
                min(total.idle_ms, note.idle_ms),
            )
    return merged


def _order(move: situations.Move, fence: int) -> interfaces.Order:
    is_load = move.kind is situations.MoveKind.LOAD
    if move.adapter:
        kind = (
            interfaces.OrderKind.LOAD_ADAPTER
            if is_load
            else interfaces.OrderKind.UNLOAD_ADAPTER
        )
    else:
        kind = (
            interfaces.OrderKind.LOAD
            if is_load
            else interfaces.OrderKind.UNLOAD
        )
    return interfaces.Order(
        ids.OrderId(ids.random_id("order")),
        kind,
        fence,
        move.model,
        move.version,
        move.adapter,
        move.memory_mb,
    )
