"""The status of an instance and its peers, for operators."""

import typing

from cardamom_daemon import fleet as fleets
from cardamom_daemon import gossip as gossips
from cardamom_daemon import placer as placers
from cardamom_daemon import table_sync
from cardamom_daemon import targets as target_module
from cardamom_kernel import invariants

Json = dict[str, typing.Any]


class StatusReport:
    """Builds the answers to operators' questions about the status."""

    def __init__(
        self,
        fleet: fleets.Fleet,
        gossip: gossips.Gossip,
        target_registry: target_module.TargetRegistry,
        placer: placers.Placer,
        sync: table_sync.TableSync,
    ) -> None:
        self._fleet = fleet
        self._gossip = gossip
        self._target_registry = target_registry
        self._placer = placer
        self._sync = sync

    def make(self) -> Json:
        """Return the status as a JSON object."""
        fleet = self._fleet
        fence = self._placer.lease.fence()
        return {
            "instance": fleet.instance,
            "data_centre": fleet.settings.data_centre,
            "ready": fleet.is_ready(),
            "fresh": fleet.is_fresh(),
            "draining": fleet.is_draining,
            "table_reached": self._sync.is_reached,
            "seat": fleet.own_seat,
            "roster": {
                "epoch": fleet.roster.epoch if fleet.roster else 0,
                "in_force": fleet.is_roster_in_force,
                "seats": [seat.holder for seat in fleet.seats()],
            },
            "versions": fleet.documents.versions(),
            "withdrawn": len(fleet.withdrawn),
            "withdrawn_pending": len(fleet.withdrawn.pending()),
            "peers": [self._peer(peer) for peer in self._gossip.live()],
            "targets": [
                self._target(t) for t in self._target_registry.by_id.values()
            ],
            "shares": {
                "round": fleet.shares.round.number,
                "units": fleet.shares.units_by_team(),
            },
            "order_lease": fence.number if fence else None,
            "invariant_violations": dict(invariants.count_by_name),
            "counters": dict(fleet.metrics.count_by_name),
        }

    async def explain(self, model: str) -> Json:
        """Return the engines that hold a model and its recent moves.

        The moves are those that this instance planned as lease holder.
        """
        residents_by_engine = {
            target.id: [
                f"{r.model}{':' + r.adapter if r.adapter else ''} "
                f"version {r.version} {r.state.value}"
                for r in target.state.residents
                if r.model == model
            ]
            for target in self._target_registry.engines()
            if target.state is not None
        }
        return {
            "model": model,
            "holds_orders": self._placer.lease.fence() is not None,
            "on": {
                engine: residents
                for engine, residents in residents_by_engine.items()
                if residents
            },
            "moves": self._placer.explain(model),
        }

    def _peer(self, peer: gossips.Peer) -> Json:
        beat = peer.heartbeat
        assert beat is not None
        age_ms = self._fleet.clock.now_ms() - peer.last_heartbeat_ms
        return {
            "instance": beat.instance,
            "address": beat.address,
            "heard_ms_ago": age_ms,
            "leaving": beat.is_leaving,
            "versions": beat.version_by_document,
        }

    def _target(self, target: target_module.Target) -> Json:
        state = target.state
        return {
            "id": target.id,
            "up": target.is_up,
            "takes_work": self._fleet.target_takes_work(target.id),
            "in_flight": len(target.in_flight),
            "models": sorted(r.model for r in state.residents if not r.adapter)
            if state
            else [],
        }
