"""What instances tell each other: counts, load, demand and holdings.

A key of a message is one letter or two, as bytes between data centres are
dear:

| key | meaning |
|---|---|
| ``cv``, ``tv`` | versions of the configuration and of targets |
| ``store`` | whether the store is reached |
| ``o`` | the instance gives orders |
| ``up`` | for how long it has run, in ms |
| ``q``, ``r``, ``p`` | totals and window sums of rates, requests and repeats |
| ``l`` | load by target: running, tokens to read, use by model and adapter |
| ``m`` | demand by model |
| ``s`` | requests suspected of crashing targets |
| ``g`` | targets that leave or are gone |
| ``h`` | what engines hold |
"""

import asyncio
import typing

from cardamom_kernel import clocks
from cardamom_kernel import ids
from cardamom_kernel import suspicion

from cardamom_gateway import demand
from cardamom_gateway import model
from cardamom_gateway import peers
from cardamom_gateway import state as state_module
from cardamom_gateway import target_book

CHANGED_MS = 2_300  # so that each change is told twice or more often
ELDER_MS = 4_000  # processes that are restarted together differ by less
RATES_DELAY_MS = 5  # requests that come together are told together
REFRESH_MS = 2_000  # holdings are told anew, as datagrams may be lost

HoldingsByTarget = dict[ids.TargetId, target_book.Holdings]


class Exchange:
    """Gathers this instance's news and takes those of its peers."""

    def __init__(
        self,
        state: state_module.GatewayState,
        incarnation: str,
        versions: typing.Callable[[], dict[str, int]],
        is_store_reached: typing.Callable[[], bool],
        is_holder: typing.Callable[[], bool],
        holdings: typing.Callable[[], HoldingsByTarget],
    ) -> None:
        self._state = state
        self._clock = state.clock
        self._versions = versions
        self._is_store_reached = is_store_reached
        self._is_holder = is_holder
        self._holdings = holdings
        self._refreshed_ms: int = clocks.NEVER_MS
        self._told: HoldingsByTarget = {}
        self._started_ms = state.clock.now_ms()
        self._is_telling_rates = False
        self.link = peers.PeerLink(
            state.settings,
            state.clock,
            incarnation,
            self.gather,
            self.receive,
            self.holder_id,
            self._is_pressed,
        )
        state.book.on_left = self.tell_left

    def gather(self, audience: peers.Audience) -> peers.News:
        """Return what has changed lately, as far as it serves a peer."""
        state, now_ms = self._state, self._clock.now_ms()
        since_ms = now_ms - CHANGED_MS
        is_for_holder = audience is peers.Audience.HOLDER
        news = self._base_news()
        for key, window in (
            ("q", state.rates),
            ("r", state.requests),
            ("p", state.repeats),
        ):
            changed = _rounded(window.export(now_ms, since_ms))
            if changed:
                news[key] = changed
        news["l"] = {
            target_id: [
                record.load.running,
                int(record.load.prefill_tokens),
                [[*r, n] for r, n in record.load.in_use().items()]
                if is_for_holder
                else [],
            ]
            for target_id, record in state.book.by_id.items()
            if record.load.running
        }
        if is_for_holder:
            news["m"] = {
                name: told.export()
                for name, told in state.demand.news(since_ms).items()
            }
        suspects = state.suspicions.export()
        if suspects:
            news["s"] = [
                [note.fingerprint, list(note.losses), note.age_ms]
                for note in suspects
            ]
        if self._is_holder() and now_ms - self._refreshed_ms > REFRESH_MS:
            self._refreshed_ms = now_ms
            self._told.clear()
            self.publish()
        return news

    def _base_news(self) -> peers.News:
        """Return what each message tells of this instance."""
        news: peers.News = dict(self._versions())
        news["up"] = self._up_ms()
        news["store"] = int(self._is_store_reached())
        if self._is_holder():
            news["o"] = 1
        return news

    def _up_ms(self) -> int:
        return self._clock.now_ms() - self._started_ms

    def receive(self, incarnation: str, news: peers.News) -> None:
        """Take a peer's news."""
        state, now_ms = self._state, self._clock.now_ms()
        for window, key in (
            (state.rates, "q"),
            (state.requests, "r"),
            (state.repeats, "p"),
        ):
            window.heard(
                incarnation,
                news.get(key, {}),
                now_ms,
                is_elder=news["up"] - self._up_ms() > ELDER_MS,
            )
        for target_id, born_ms, writes in news.get("g", ()):
            state.book.mark_left(ids.TargetId(target_id), born_ms, writes)
        if "l" in news:
            self._receive_load(incarnation, news["l"])
        if "m" in news:
            state.demand_view.heard(
                incarnation,
                {
                    name: demand.ModelNews.decode(told)
                    for name, told in news["m"].items()
                },
            )
        state.suspicions.merge(
            suspicion.SuspectNote(told[0], tuple(told[1]), told[2])
            for told in news.get("s", ())
        )
        for target_id, held in news.get("h", {}).items():
            state.book.note_holdings(
                ids.TargetId(target_id),
                target_book.Holdings(
                    held[0],
                    frozenset((name, adapter) for name, adapter in held[1]),
                    held[2],
                    held[3],
                ),
            )

    def _receive_load(
        self, incarnation: str, load_by_target: dict[str, typing.Any]
    ) -> None:
        now_ms = self._clock.now_ms()
        self._state.book.note_peer_load(
            incarnation,
            {
                target_id: target_book.PeerLoad(
                    now_ms,
                    load[0],
                    load[1],
                    {(name, adapter): n for name, adapter, n in load[2]},
                )
                for target_id, load in load_by_target.items()
            },
        )

    def tell_left(self, target: model.Target) -> None:
        """Tell peers at once, as some may not reach the store."""
        left = [target.id, target.born_ms, target.writes]
        self.link.send(
            self.link.member_by_id.values(), self._base_news() | {"g": [left]}
        )

    def tell_rates(self) -> None:
        """Tell peers this instance's use of rates within a moment."""
        if self._is_telling_rates:
            return
        self._is_telling_rates = True
        asyncio.get_running_loop().call_later(
            RATES_DELAY_MS / 1000, self._tell_rates_now
        )

    def _tell_rates_now(self) -> None:
        self._is_telling_rates = False
        now_ms, rates = self._clock.now_ms(), self._state.rates
        changed = _rounded(rates.export(now_ms, now_ms - CHANGED_MS))
        rates.note_told()
        self.link.send(
            self.link.some_members(), self._base_news() | {"q": changed}
        )

    def publish(self) -> None:
        """Tell every peer, and this instance, of changed holdings."""
        holdings = self._holdings()
        for target_id, held in holdings.items():
            self._state.book.note_holdings(target_id, held)
        changed = {
            target_id: [
                held.born_ms,
                sorted(held.residents),
                held.loading,
                held.load_ms,
            ]
            for target_id, held in holdings.items()
            if self._told.get(target_id) != held
        }
        self._told = holdings
        if changed:
            self.link.send(
                self.link.member_by_id.values(),
                self._base_news() | {"h": changed},
            )

    def _is_pressed(self) -> bool:
        """Tell whether some team's count must be exchanged often."""
        configuration, now_ms = self._state.configuration, self._clock.now_ms()
        return configuration is not None and any(
            self._state.rates.is_pressed(
                team.id, self._state.rate_limit(team), now_ms
            )
            for team in configuration.team_by_id.values()
            if team.rate_per_s > 0
        )

    def holder_id(self) -> ids.InstanceId | None:
        """Return the instance that says that it gives orders."""
        holder = self.holder()
        return holder.member.id if holder else None

    def holder(self) -> peers.Peer | None:
        """Return the peer that says that it gives orders."""
        return next(
            (peer for peer in self.link.fresh_peers() if "o" in peer.news),
            None,
        )

    def store_peers(self) -> list[peers.Member]:
        """Return peers that reach the store, the nearest first."""
        reaching = [
            peer.member
            for peer in self.link.fresh_peers()
            if peer.news.get("store", 1)
        ]
        return sorted(
            reaching,
            key=lambda m: m.data_centre != self._state.settings.data_centre,
        )


def _rounded(
    count_by_key: dict[str, tuple[float, float]],
) -> dict[str, tuple[int, int]]:
    return {
        key: (round(total), round(recent))
        for key, (total, recent) in count_by_key.items()
    }
