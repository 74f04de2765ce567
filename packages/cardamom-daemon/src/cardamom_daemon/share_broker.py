"""Moves rate shares between instances and restores missing units."""

import asyncio
import collections
import typing

import structlog

from cardamom_daemon import fleet as fleets
from cardamom_daemon import gossip as gossips
from cardamom_daemon import messages
from cardamom_kernel import clocks
from cardamom_kernel import ids
from cardamom_kernel import outcomes
from cardamom_kernel import shares

LOG = structlog.get_logger("cardamom.shares")

ASK_TIMEOUT_S = 0.25
BORROW_FACTOR = 1.25
MISSING_UNITS_DELAY_MS = 1_500
NO_LENDER_PAUSE_MS = 50
MIN_RETRY_AFTER_MS = 100


class ShareBroker:
    """Charges this instance's shares and borrows from peers if needed."""

    def __init__(self, fleet: fleets.Fleet, gossip: gossips.Gossip) -> None:
        self._fleet = fleet
        self._gossip = gossip
        self._lock_by_team: dict[ids.TeamId, asyncio.Lock] = (
            collections.defaultdict(asyncio.Lock)
        )
        self._no_lender_until_ms: dict[ids.TeamId, int] = {}
        self._last_complete_ms: int = clocks.NEVER_MS

    async def charge(
        self,
        team: ids.TeamId,
        tokens: float,
    ) -> shares.Reservation | shares.Shortfall:
        """Reserve tokens, and borrow from peers if this instance has too few.

        Returns a Reservation of the tokens, or a Shortfall.
        """
        book = self._fleet.shares
        outcome = book.charge(team, tokens)
        if isinstance(outcome, shares.Reservation) or not outcome.attainable:
            return outcome
        if not self._fleet.may_hold_shares():
            return outcome
        async with self._lock_by_team[team]:
            outcome = book.charge(team, tokens)
            if isinstance(outcome, shares.Reservation) or self._has_no_lender(
                team
            ):
                return outcome
            for peer in self._lenders(team):
                await self._borrow(peer, team, outcome.missing_tokens)
                outcome = book.charge(team, tokens)
                if isinstance(outcome, shares.Reservation):
                    return outcome
            self._no_lender_until_ms[team] = (
                self._fleet.clock.now_ms() + NO_LENDER_PAUSE_MS
            )
            return outcome

    async def charge_or_refuse(
        self,
        team: ids.TeamId,
        tokens: float,
    ) -> shares.Reservation:
        """Reserve tokens.

        Raises outcomes.RequestRefused if the team is above its rate, or if the
        request needs more tokens than the team's burst.
        """
        outcome = await self.charge(team, tokens)
        if isinstance(outcome, shares.Reservation):
            return outcome
        self._fleet.metrics.count("rate.refused")
        if not outcome.attainable:
            raise outcomes.RequestRefused(_unattainable(tokens))
        after_ms = self.retry_after_ms(team, outcome.missing_tokens)
        raise outcomes.RequestRefused(_above_rate(after_ms))

    def retry_after_ms(self, team: ids.TeamId, missing_tokens: float) -> int:
        """Return how long a team's rate takes to refill the missing tokens.

        The result is in milliseconds.
        """
        spec = self._fleet.catalog.configuration.teams.get(team)
        if spec is None:
            return MIN_RETRY_AFTER_MS
        wait_ms = missing_tokens / spec.rate_tokens_per_s * 1000
        return max(MIN_RETRY_AFTER_MS, round(wait_ms))

    async def give_away(self) -> None:
        """Give all shares to a live peer; called at a planned stop."""
        peers = [p for p in self._gossip.live() if self._can_trade(p)]
        if not peers:
            return
        peer = peers[0]
        for grant in self._fleet.shares.debit_all_free(ids.random_id("give")):
            await self._give(peer, grant)

    async def reconcile(self) -> None:
        """Run a reconciliation round if units are missing.

        Only the coordinator, the holder of the lowest seat, runs one.
        """
        now_ms = self._fleet.clock.now_ms()
        seats = self._peers_by_seat()
        if seats is None or not self._is_coordinator(seats):
            self._last_complete_ms = now_ms
            return
        state = self._state_of_units(seats)
        if state == "complete":
            self._last_complete_ms = now_ms
        waited_ms = now_ms - self._last_complete_ms
        if state == "unseeded" or waited_ms >= MISSING_UNITS_DELAY_MS:
            await self._run_round(seats)
            self._last_complete_ms = self._fleet.clock.now_ms()

    def _has_no_lender(self, team: ids.TeamId) -> bool:
        return self._fleet.clock.now_ms() < self._no_lender_until_ms.get(
            team, 0
        )

    def _lenders(self, team: ids.TeamId) -> list[gossips.Peer]:
        """Return the peers that may lend, the one with most tokens first."""

        def level(peer: gossips.Peer) -> float:
            assert peer.heartbeat is not None
            return peer.heartbeat.level_by_team.get(team, 0.0)

        peers = [p for p in self._gossip.live() if self._can_trade(p)]
        return sorted(peers, key=level, reverse=True)

    def _can_trade(self, peer: gossips.Peer) -> bool:
        beat = peer.heartbeat
        return beat is not None and bool(beat.seat) and not beat.is_leaving

    async def _borrow(
        self,
        peer: gossips.Peer,
        team: ids.TeamId,
        missing_tokens: float,
    ) -> None:
        borrow_request = shares.BorrowRequest(
            ids.random_id("ask"),
            self._fleet.shares.round,
            team,
            missing_tokens * BORROW_FACTOR,
        )
        try:
            answer = await self._gossip.call(
                peer,
                "/peer/v1/shares/ask",
                borrow_request,
                messages.GrantAnswer,
                ASK_TIMEOUT_S,
            )
        except gossips.PeerFailed:
            self._fleet.metrics.count("shares.ask_failed")
            return
        if answer.grant is not None and self._fleet.may_hold_shares():
            self._fleet.shares.credit(answer.grant)
            self._fleet.metrics.count("shares.borrowed")

    async def _give(self, peer: gossips.Peer, grant: shares.Grant) -> None:
        try:
            await self._gossip.call(
                peer,
                "/peer/v1/shares/give",
                grant,
                messages.Accepted,
            )
        except gossips.PeerFailed as failure:
            LOG.warning("shares: transfer failed", peer=str(failure))

    def _peers_by_seat(self) -> dict[ids.SeatId, gossips.Peer] | None:
        """Return the live peer of every other seat.

        Returns None if a seat has no live peer, or if this instance may not
        reconcile.
        """
        fleet = self._fleet
        if not (fleet.is_fresh() and fleet.is_roster_in_force):
            return None
        if fleet.own_seat is None or fleet.is_draining:
            return None
        peer_by_seat: dict[ids.SeatId, gossips.Peer] = {}
        for seat in fleet.seats():
            if seat.id == fleet.own_seat:
                continue
            peer = self._gossip.find(seat.holder)
            if peer is None:
                return None
            peer_by_seat[seat.id] = peer
        return peer_by_seat

    def _is_coordinator(self, seats: dict[ids.SeatId, gossips.Peer]) -> bool:
        return all(str(self._fleet.own_seat) < str(seat) for seat in seats)

    def _state_of_units(
        self,
        seats: dict[ids.SeatId, gossips.Peer],
    ) -> typing.Literal["complete", "missing", "unseeded"]:
        totals: collections.Counter[str] = collections.Counter()
        totals.update(
            {
                str(team): units
                for team, units in self._fleet.shares.units_by_team().items()
            }
        )
        for peer in seats.values():
            assert peer.heartbeat is not None
            totals.update(peer.heartbeat.units_by_team)
        teams = self._fleet.catalog.configuration.teams
        if any(totals[team] == 0 for team in teams):
            return "unseeded"
        if any(totals[team] < shares.TOTAL_UNITS for team in teams):
            return "missing"
        return "complete"

    async def _run_round(
        self,
        seats: dict[ids.SeatId, gossips.Peer],
    ) -> None:
        """Collect a report from every seat and mint the missing units.

        Mints nothing if a seat doesn't report, since it may hold units.
        """
        fleet = self._fleet
        epoch = fleet.roster.epoch if fleet.roster else 0
        next_round = shares.Round(
            fleet.shares.round.number + 1,
            fleet.instance,
        )
        own_report = fleet.shares.join_round(next_round)
        assert own_report is not None
        calls = [
            self._gossip.call(
                peer,
                "/peer/v1/shares/round",
                messages.RoundRequest(next_round),
                messages.RoundAnswer,
            )
            for peer in seats.values()
        ]
        answers = await asyncio.gather(*calls, return_exceptions=True)
        reports = [own_report]
        for seat, answer in zip(seats, answers):
            if not isinstance(answer, messages.RoundAnswer):
                return
            if answer.seat != seat or answer.report is None:
                return
            reports.append(answer.report)
        if not self._may_mint(epoch):
            return
        minted = fleet.shares.mint(reports)
        if minted:
            LOG.info("shares: minted", round=next_round.number, units=minted)
            fleet.metrics.count("shares.minted")
        await self._distribute(minted, list(seats.values()))

    def _may_mint(self, epoch: int) -> bool:
        """Tell whether the seats that reported are still all the seats.

        Checked right before minting, since the roster may change meanwhile.
        """
        fleet = self._fleet
        return (
            fleet.is_fresh()
            and fleet.roster is not None
            and fleet.roster.epoch == epoch
            and fleet.is_roster_in_force
            and fleet.own_seat is not None
        )

    async def _distribute(
        self,
        minted: dict[ids.TeamId, int],
        peers: list[gossips.Peer],
    ) -> None:
        """Give each peer an equal portion of the minted units."""
        for team, units in minted.items():
            portion = units // (len(peers) + 1)
            for peer in peers:
                grant = self._fleet.shares.debit_units(
                    ids.random_id("give"),
                    team,
                    portion,
                )
                if grant is not None:
                    await self._give(peer, grant)


def _unattainable(tokens: float) -> outcomes.Refusal:
    return outcomes.Refusal(
        outcomes.Code.RATE_UNATTAINABLE,
        f"needs {tokens:.0f} tokens, more than the team's burst; lower "
        "max_tokens",
        outcomes.Step.ADMIT,
        not_run=True,
    )


def _above_rate(retry_after_ms: int) -> outcomes.Refusal:
    return outcomes.Refusal(
        outcomes.Code.RATE_EXCEEDED,
        "the team is above its rate and burst; retry later",
        outcomes.Step.ADMIT,
        not_run=True,
        retry_after_ms=retry_after_ms,
    )
