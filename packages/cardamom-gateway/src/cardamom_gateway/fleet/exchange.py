"""State updates between instances: counts, load, demand and holdings.

The keys of a message are short, because bytes between data centres are
expensive:

| key | meaning |
|---|---|
| ``cv``, ``tv`` | versions of the configuration and of targets |
| ``te`` | the store's era to which ``tv`` belongs |
| ``store`` | whether the instance reaches the store |
| ``o`` | the holder of the lease for orders: its term, number of changes |
| ``up`` | uptime in ms |
| ``q``, ``r``, ``p`` | totals and window sums of rates, requests and retries |
| ``l`` | load by target: running, pending prompt tokens, use by resident |
| ``m`` | demand by model |
| ``s``, ``sc`` | requests suspected of crashing targets; those cleared |
| ``b``, ``bc`` | the same for parts of prompts |
| ``g`` | targets that are leaving or removed |
| ``t`` | limits that targets have stated: start, rate, age |
| ``sp`` | slow targets: start; kind, pace, answers, age of the last answer |
| ``st`` | whether the instance is stopping |
| ``ct`` | whether the instance is cut off from targets |
| ``e`` | counts of rates by ended incarnation, for one that has just started |
| ``v`` | streams by the service and software version that began them |
| ``h`` | changes of what engines hold |
| ``rd`` | whether the instance reads the store for its data centre |
| ``x`` | changes of the store, see ``store_relay`` |
| ``y`` | state updates of other instances, see ``digests`` |
"""

import asyncio
import typing

from cardamom_kernel import clocks
from cardamom_kernel import ids
from cardamom_kernel import rendezvous
from cardamom_policy import fleet_windows

from cardamom_gateway.engines import demand
from cardamom_gateway.engines import holdings as holdings_module
from cardamom_gateway.engines import holdings_exchange
from cardamom_gateway.fleet import delays
from cardamom_gateway.fleet import digests
from cardamom_gateway.fleet import peers
from cardamom_gateway.fleet import suspect_reports
from cardamom_gateway.requests import stream_origins
from cardamom_gateway import state as state_module
from cardamom_gateway.targets import leaving_reports
from cardamom_gateway.targets import target_limits
from cardamom_gateway.targets import target_records
from cardamom_gateway.targets import target_speeds

CHANGE_WINDOW_MS = 2_300  # so that each change is reported at least twice
MIN_START_GAP_MS = 4_000  # processes restarted together start within it
RATE_REPORT_DELAY_MS = 5  # combines the reports of simultaneous requests
STARTED_PEERS_PERIOD_MS = 400
# Instances that inform one that has started; one may not know everything.
STARTED_PEER_SENDERS = 3
MAX_REMOVED_PER_MESSAGE = 500


class Exchange:
    """Builds this instance's state updates and applies those of peers."""

    def __init__(
        self,
        state: state_module.GatewayState,
        incarnation: str,
        versions: typing.Callable[[], dict[str, int]],
        is_store_reached: typing.Callable[[], bool],
        term: typing.Callable[[], int],
        holdings: typing.Callable[[], holdings_module.HoldingsByTarget],
        monitor: delays.DelayMonitor,
        is_store_reader: typing.Callable[[], bool],
        receive_relayed: typing.Callable[
            [ids.InstanceId, peers.StateUpdate], None
        ],
        read_stored_versions: typing.Callable[
            [],
            typing.Awaitable[stream_origins.VersionsByService | None],
        ],
    ) -> None:
        self._state = state
        self._clock = state.clock
        self.versions = versions
        self._is_store_reached = is_store_reached
        self._is_store_reader = is_store_reader
        self._receive_relayed = receive_relayed
        state.speeds.has_lagged = monitor.has_lagged
        self._started_ms = state.clock.now_ms()
        self._is_rate_report_pending = False
        # The highest fencing number that a holder of the lease has told of.
        self.highest_term = 0
        # When this instance last reported that it doesn't reach the store.
        self.told_unreached_ms: int = clocks.NEVER_MS
        self.link = peers.PeerLink(
            state.settings,
            state.clock,
            incarnation,
            self.gather_update,
            self.receive,
            self.holder_id,
            self._is_near_limit,
            monitor,
        )
        self.digests = digests.Digests(
            state.settings,
            state.clock,
            self.link,
            self.gather_update,
            is_store_reader,
            self._base_update,
        )
        self.holdings = holdings_exchange.HoldingsExchange(
            state, self.link, self._base_update, term, holdings
        )
        self.suspects = suspect_reports.SuspectReports(
            state.settings.instance,
            self._clock,
            state.suspicions,
            self.link,
            self._base_update,
        )
        self.suspect_parts = suspect_reports.SuspectReports(
            state.settings.instance,
            self._clock,
            state.part_suspicions,
            self.link,
            self._base_update,
            suspect_reports.PROMPT_PARTS,
        )
        self.leaving = leaving_reports.LeavingReports(
            self._clock, state.targets, self.link, self._base_update
        )
        state.targets.on_leaving = self.leaving.report
        self.origins = stream_origins.StreamOrigins(
            state.settings.instance,
            self._clock,
            state.targets,
            self.link,
            self._base_update,
            read_stored_versions,
            state.settings.is_first_start,
        )
        self.limits = target_limits.TargetLimits(
            state.settings.instance,
            self._clock,
            state.targets,
            self.link,
            self._base_update,
            lambda: state.is_stopping,
            is_store_reached,
        )

    def gather_update(self, audience: peers.Audience) -> peers.StateUpdate:
        """Return the recent changes that a kind of peer needs."""
        state, now_ms = self._state, self._clock.now_ms()
        since_ms = now_ms - CHANGE_WINDOW_MS
        is_for_holder = audience is peers.Audience.HOLDER
        # The holder gets updates that are passed on, too.
        has_residents = is_for_holder or self.link.is_large
        update = self._base_update()
        for key, window in (
            ("q", state.rates),
            ("r", state.requests),
            ("p", state.retries),
        ):
            changed = _rounded(window.export(now_ms, since_ms))
            if changed:
                update[key] = changed
        update["l"] = {
            target_id: [
                record.load.running,
                int(record.load.prefill_tokens),
                [[*r, n] for r, n in record.load.in_use().items()]
                if has_residents
                else [],
            ]
            for target_id, record in state.targets.by_id.items()
            if record.load.running
        }
        slow = state.speeds.export()
        if slow:
            update[target_speeds.FIELD] = slow
        limits = self.limits.export()
        if limits:
            update["t"] = limits
        if is_for_holder:
            update["m"] = {
                name: report.export()
                for name, report in state.demand.report(since_ms).items()
            }
        return update

    def announce_versions(self) -> None:
        """Tell all instances at once which versions this one knows."""
        self.link.broadcast(self._base_update())

    def send_relayed(
        self, members: list[peers.Member], texts: list[str]
    ) -> None:
        """Send changes of the store to some members."""
        self.link.send(members, self._base_update() | {"x": texts})

    def _base_update(self) -> peers.StateUpdate:
        """Return the fields that every message carries."""
        update: peers.StateUpdate = dict(self.versions())
        update["up"] = self._up_ms()
        is_store_reached = self._is_store_reached()
        if not is_store_reached:
            self.told_unreached_ms = self._clock.now_ms()
        update["store"] = int(is_store_reached)
        if self._is_store_reader():
            update["rd"] = 1
        if self._state.is_stopping:
            update["st"] = 1
        if self._state.targets.is_cut_off:
            update["ct"] = 1
        position = self.holdings.announced
        if position is not None:
            update["o"] = [position.term, position.number]
        return update

    def _up_ms(self) -> int:
        return self._clock.now_ms() - self._started_ms

    def receive(
        self, incarnation: str, update: peers.StateUpdate, age_ms: int
    ) -> None:
        """Apply a peer's state update, which was on its way for some ms.

        The time is 0 if the peer itself has sent the update to this instance.
        Raises KeyError, IndexError, TypeError or ValueError if it is
        malformed.
        """
        state, now_ms = self._state, self._clock.now_ms()
        for window, key in (
            (state.rates, "q"),
            (state.requests, "r"),
            (state.retries, "p"),
        ):
            window.receive(
                incarnation,
                update.get(key, {}),
                now_ms,
                is_older_peer=update["up"] + age_ms - self._up_ms()
                > MIN_START_GAP_MS,
                age_ms=age_ms,
            )
        state.rates.receive_ended(_decode_ended(update.get("e", {})), now_ms)
        self.leaving.receive(update)
        self.origins.receive(update)
        self.limits.receive(update)
        state.speeds.receive(incarnation, update, age_ms)
        if "l" in update:
            self._receive_load(incarnation, update["l"], age_ms)
            state.peer_figures.note(
                incarnation, str(update["z"]), now_ms - age_ms
            )
        if "m" in update:
            state.demand_view.receive(
                incarnation,
                {
                    name: demand.ModelDemand.decode(report)
                    for name, report in update["m"].items()
                },
            )
        if "o" in update:
            self.highest_term = max(self.highest_term, int(update["o"][0]))
        self.suspects.receive(incarnation, update)
        self.suspect_parts.receive(incarnation, update)
        self.holdings.receive(ids.InstanceId(update["n"]), update)
        self._receive_relayed(ids.InstanceId(update["n"]), update)
        if not age_ms:
            self.digests.note(update)
            self.digests.receive(update)

    def _receive_load(
        self,
        incarnation: str,
        load_by_target: dict[str, typing.Any],
        age_ms: int,
    ) -> None:
        at_ms = self._clock.now_ms() - age_ms
        self._state.targets.note_peer_load(
            incarnation,
            {
                target_id: target_records.PeerLoad(
                    at_ms,
                    load[0],
                    load[1],
                    {(name, adapter): n for name, adapter, n in load[2]},
                )
                for target_id, load in load_by_target.items()
            },
        )

    def report_rates(self) -> None:
        """Schedule a report of this instance's rate use to peers."""
        if self._is_rate_report_pending:
            return
        self._is_rate_report_pending = True
        asyncio.get_running_loop().call_later(
            RATE_REPORT_DELAY_MS / 1000, self._send_rates
        )

    def _send_rates(self) -> None:
        self._is_rate_report_pending = False
        now_ms, rates = self._clock.now_ms(), self._state.rates
        changed = _rounded(rates.export(now_ms, now_ms - CHANGE_WINDOW_MS))
        rates.mark_reported()
        self.link.send(
            self.link.some_members(), self._base_update() | {"q": changed}
        )

    async def inform_started_peers(self) -> None:
        """Tell instances that have just started what they can't read.

        These are the counts of ended instances, and which targets were
        removed, as an entry may be back in the store after that.
        """
        started = [
            peer.member
            for peer in self.link.fresh_peers()
            if peer.update["up"] < self._state.settings.rate_window_ms
            and self._informs(peer.member)
        ]
        if not started:
            return
        ended = self._state.rates.ended_counts(self._clock.now_ms())
        if ended:
            self.link.send(
                started, self._base_update() | {"e": _encode_ended(ended)}
            )
        removed = self.leaving.export_removed()
        for batch in peers.batched(removed, MAX_REMOVED_PER_MESSAGE):
            self.link.send(started, self._base_update() | {"g": batch})

    def _informs(self, member: peers.Member) -> bool:
        """Return whether this instance informs one that has started."""
        others = [
            peer.member.id
            for peer in self.link.fresh_peers()
            if peer.member.id != member.id
        ]
        return self._is_chosen(member.id, others, STARTED_PEER_SENDERS)

    def _is_chosen(
        self, key: str, others: list[ids.InstanceId], count: int
    ) -> bool:
        """Return whether this instance is among the owners of a key."""
        instance = self._state.settings.instance
        return instance in rendezvous.owners(key, [*others, instance], count)

    def _is_near_limit(self) -> bool:
        """Return whether any team is near the limit of its rate."""
        configuration, now_ms = self._state.configuration, self._clock.now_ms()
        return configuration is not None and any(
            self._state.rates.is_near_limit(
                team.id, self._state.rate_limit(team), now_ms
            )
            for team in configuration.team_by_id.values()
            if team.rate_per_s > 0
        )

    def holder_id(self) -> ids.InstanceId | None:
        """Return the id of the peer that holds the lease, None if none."""
        holder = self.holder()
        return holder.member.id if holder else None

    def holder(self) -> peers.Peer | None:
        """Return the peer that reports that it holds the lease, or None."""
        return next(
            (peer for peer in self.link.fresh_peers() if "o" in peer.update),
            None,
        )

    def store_peers(self) -> list[peers.Member]:
        """Return peers that reach the store, readers and local ones first."""
        reaching = [
            peer
            for peer in self.link.fresh_peers()
            if peer.update.get("store", 1)
        ]
        own_data_centre = self._state.settings.data_centre
        reaching.sort(
            key=lambda peer: (
                "rd" not in peer.update,
                peer.member.data_centre != own_data_centre,
            )
        )
        return [peer.member for peer in reaching]


def _encode_ended(
    counts_by_incarnation: typing.Mapping[str, fleet_windows.CountsByKey],
) -> dict[str, typing.Any]:
    return {
        incarnation: {
            key: [round(count.total), [round(a) for a in count.amounts]]
            for key, count in count_by_key.items()
        }
        for incarnation, count_by_key in counts_by_incarnation.items()
    }


def _decode_ended(
    fields: dict[str, typing.Any],
) -> dict[str, fleet_windows.CountsByKey]:
    """Decode ended counts; raises TypeError, ValueError or IndexError."""
    return {
        incarnation: {
            key: fleet_windows.EndedCount(
                float(count[0]), tuple(map(float, count[1]))
            )
            for key, count in count_by_key.items()
        }
        for incarnation, count_by_key in fields.items()
    }


def _rounded(
    count_by_key: dict[str, tuple[float, float]],
) -> dict[str, tuple[int, int]]:
    return {
        key: (round(total), round(recent))
        for key, (total, recent) in count_by_key.items()
    }
