"""Placement: the holder of the order lease keeps models on engines."""

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
KEPT_MOVES = 200


@dataclasses.dataclass
class _Pending:
    """An order that may have been sent and is not yet seen in a report."""

    move: situations.Move
    boot: str
    sent_ms: int


class Placer:
    """Contends for the order lease, and orders while holding it."""

    def __init__(
        self,
        fleet: fleets.Fleet,
        book: target_module.TargetBook,
        gossip: gossips.Gossip,
        meter: demand.DemandMeter,
    ) -> None:
        self._fleet = fleet
        self._book = book
        self._gossip = gossip
        self._meter = meter
        self.lease = leases.Lease(
            fleet.table,
            fleet.clock,
            "orders",
            fleet.instance,
        )
        self._pending: dict[tuple[str, str, str], _Pending] = {}
        self._since_ms: dict[tuple[str, str, str], int] = {}
        self._fence_number = 0
        self._trusted_from_ms = 0
        self._load_credit = 0.0
        self._credit_ms = fleet.clock.now_ms()
        self.history: collections.deque[tuple[int, situations.Move]] = (
            collections.deque(maxlen=KEPT_MOVES)
        )

    async def contend(self) -> None:
        """Renew or seek the lease."""
        if self._fleet.is_draining or not self._fleet.is_fresh():
            return
        await self.lease.contend()
        fence = self.lease.fence()
        if fence is not None and fence.number != self._fence_number:
            self._fence_number = fence.number
            self._pending.clear()
            LOG.info("placer: lease held", number=fence.number)

    async def place(self) -> None:
        """Plan once and send the orders of the plan."""
        fence = self.lease.fence()
        if fence is None or not self._fleet.is_fresh():
            return
        # Orders of the holder before may still land until then, and what an
        # engine reported earlier may not show them.
        self._trusted_from_ms = fence.acquired_ms + ORDER_LIFETIME_MS
        if self._fleet.clock.now_ms() < self._trusted_from_ms:
            return
        self._settle_pending()
        moves = placement.plan(self._situation())
        paced = self._within_rates(moves)
        await asyncio.gather(*[self._send(move) for move in paced])

    def explain(self, model: str) -> list[str]:
        """Return the latest moves of a model with their reasons."""
        return [
            f"{move.kind.value} {move.model}"
            f"{':' + move.adapter if move.adapter else ''} on {move.engine}: "
            f"{move.reason}"
            for _, move in self.history
            if move.model == model
        ]

    async def _send(self, move: situations.Move) -> None:
        target = self._book.by_id.get(ids.TargetId(move.engine))
        if target is None or target.control is None:
            return
        fence = self.lease.fence()
        if fence is None:
            return
        key = (move.engine, move.model, move.adapter)
        now_ms = self._fleet.clock.now_ms()
        self._pending[key] = _Pending(move, target.boot, now_ms)
        self._since_ms[key] = now_ms
        self.history.append((now_ms, move))
        self._check_memory(target)
        self._fleet.metrics.count(f"placement.{move.kind.value}")
        result = await target.control.order(
            _order(move, fence.number),
            ORDER_LIFETIME_MS,
        )
        LOG.info(
            "placer: ordered",
            kind=move.kind.value,
            engine=move.engine,
            model=move.model,
            adapter=move.adapter,
            reason=move.reason,
            state=result.state.value,
        )
        refused = (
            interfaces.OrderState.REFUSED,
            interfaces.OrderState.FENCED,
        )
        if result.state in refused:
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

    def _settle_pending(self) -> None:
        """Drop the pending orders whose effect the engine has reported.

        An order that may still land keeps its memory until its lifetime is
        over and a later report shows that it did not.
        """
        for key, pending in list(self._pending.items()):
            target = self._book.by_id.get(ids.TargetId(key[0]))
            if target is None:
                del self._pending[key]
                continue
            if target.state is None or target.state_ms <= pending.sent_ms:
                continue
            held = {(r.model, r.adapter) for r in target.state.residents}
            is_load = pending.move.kind is situations.MoveKind.LOAD
            took_effect = (key[1:] in held) is is_load
            expired_ms = pending.sent_ms + 2 * ORDER_LIFETIME_MS
            if took_effect or target.state_ms > expired_ms:
                del self._pending[key]

    def _situation(self) -> situations.Situation:
        now_ms = self._fleet.clock.now_ms()
        return situations.Situation(
            configuration=self._fleet.catalog.configuration,
            engines=[self._engine(t) for t in self._book.engines()],
            demand_by_name=self._demand(),
            now_ms=now_ms,
            capacity_tokens_per_s=self._capacity(),
        )

    def _capacity(self) -> float:
        """Return the answer tokens a second of a typical engine."""
        engines = self._fleet.catalog.configuration.engines().values()
        return statistics.median(e.tokens_per_s for e in engines)

    def _engine(self, target: target_module.Target) -> situations.Engine:
        now_ms = self._fleet.clock.now_ms()
        by_name = {
            (r.model, r.adapter): situations.Held(
                r.model,
                r.adapter,
                r.version,
                r.memory_mb,
                is_ready=r.state is interfaces.LoadState.READY,
                since_ms=self._since_ms.get(
                    (target.id, r.model, r.adapter),
                    0,
                ),
                is_leaving=self._is_unloading(target.id, r),
            )
            for r in (target.state.residents if target.state else ())
        }
        for (engine, model, adapter), pending in self._pending.items():
            is_load = pending.move.kind is situations.MoveKind.LOAD
            name = (model, adapter)
            if engine == target.id and is_load and name not in by_name:
                move = pending.move
                by_name[name] = situations.Held(
                    model,
                    adapter,
                    move.version,
                    move.memory_mb,
                    is_ready=False,
                    since_ms=pending.sent_ms,
                )
        known = (
            target.is_up
            and target.state is not None
            and target.state_ms >= self._trusted_from_ms
            and now_ms - target.state_ms < target_module.STALE_STATE_MS
        )
        return situations.Engine(
            target.id,
            target.spec.data_centre,
            target.spec.memory_mb,
            by_name,
            is_usable=known and self._fleet.target_takes_work(target.id),
        )

    def _is_unloading(self, engine: str, r: interfaces.Resident) -> bool:
        pending = self._pending.get((engine, r.model, r.adapter))
        return r.state is interfaces.LoadState.UNLOADING or (
            pending is not None
            and pending.move.kind is situations.MoveKind.UNLOAD
        )

    def _demand(self) -> dict[situations.Name, situations.Demand]:
        notes = list(self._meter.notes())
        for peer in self._gossip.live():
            assert peer.heartbeat is not None
            notes += peer.heartbeat.demand
        return merge_demand(notes)

    def _within_rates(
        self,
        moves: list[situations.Move],
    ) -> list[situations.Move]:
        """Keep what the weight store and the engines can carry now."""
        store = self._fleet.catalog.configuration.weight_store
        loading = self._loading()
        models = sum(1 for _, adapter in loading if not adapter)
        adapters = len(loading) - models
        self._earn_credit(store)
        kept: list[situations.Move] = []
        for move in moves:
            if move.kind is situations.MoveKind.UNLOAD:
                kept.append(move)
            elif move.adapter:
                if adapters < store.adapters_in_flight:
                    adapters += 1
                    kept.append(move)
            elif models < store.concurrent_loads and self._load_credit >= 1:
                models += 1
                self._load_credit -= 1
                kept.append(move)
        return kept

    def _loading(self) -> list[tuple[str, str]]:
        return [
            name
            for target in self._book.engines()
            for name, held in self._engine(target).by_name.items()
            if not held.is_ready
        ]

    def _earn_credit(self, store: schema.WeightStore) -> None:
        now_ms = self._fleet.clock.now_ms()
        earned = store.loads_per_s * (now_ms - self._credit_ms) / 1000
        self._load_credit = min(
            math.ceil(store.loads_per_s),
            self._load_credit + earned,
        )
        self._credit_ms = now_ms


def merge_demand(
    notes: list[messages.DemandNote],
) -> dict[situations.Name, situations.Demand]:
    """Add up demand notes; a model's demand includes its adapters'."""
    merged: dict[situations.Name, situations.Demand] = {}
    for note in notes:
        names = {(note.model, note.adapter), (note.model, "")}
        for name in names:
            known = merged.get(name, situations.Demand())
            merged[name] = situations.Demand(
                known.tokens_per_s + note.tokens_per_s,
                known.waiting + note.waiting,
                min(known.idle_ms, note.idle_ms),
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
