"""Simulates fleet-wide rate limits with the real share broker and books.

The load of one team is spread unevenly over nine instances and moves between
them, and one instance fails.  A refusal counts as within the rate if a single
bucket that sees every request would have admitted it.
"""

import abc
import asyncio
import dataclasses
import random
import typing

from opentelemetry import trace

from cardamom_config import schema
from cardamom_daemon import fleet as fleets
from cardamom_daemon import messages
from cardamom_daemon import settings as settings_module
from cardamom_daemon import share_broker
from cardamom_kernel import clocks
from cardamom_kernel import documents
from cardamom_kernel import ids
from cardamom_kernel import rosters
from cardamom_kernel import shares
from cardamom_kernel import tables
from cardamom_kernel import telemetry

INSTANCES = 9
HORIZON_MS = 180_000
STEP_MS = 10
HEARTBEAT_MS = 500
RECONCILE_MS = 300
REBALANCE_INTERVAL_MS = 15_000
INSTANCE_FAILS_AT_MS = 90_000
# Times after the failure of an instance.
ROSTER_CHANGE_DELAY_MS = 6_000
ROSTER_IN_FORCE_DELAY_MS = 8_500
OFFERED_FRACTION = 0.9
REQUEST_DURATION_MS = 1_500
CHARGED_TOKENS = 464.0
USED_FRACTION = 0.6
TEAM = ids.TeamId("team-a")
TEAM_RATE = shares.Rate(tokens_per_s=30_000.0, burst_tokens=150_000.0)
WARM_UP_MS = 10_000


class Limiter(abc.ABC):
    """Limits a team to its rate over all instances."""

    name = "abstract"

    @abc.abstractmethod
    async def admit(self, instance: int, tokens: float) -> "Admitted | None":
        """Admit a request at an instance; return None if refused."""

    async def tick(self, now_ms: int) -> None:
        """Run periodic work."""

    def on_instance_failed(self, instance: int, now_ms: int) -> None:
        """Handle the failure of an instance."""


@dataclasses.dataclass(frozen=True)
class Admitted:
    """An admitted request with the book and reservation that it uses."""

    book: shares.ShareBook
    reservation: shares.Reservation

    def finish(self, used_tokens: float) -> None:
        """Charge the used tokens and return the rest of the reservation."""
        self.book.spend(self.reservation, used_tokens)
        self.book.close_reservation(self.reservation)


class FakePeer:
    """Stands in for gossip.Peer, with the attributes the broker reads."""

    def __init__(self, fleet: fleets.Fleet) -> None:
        self.fleet = fleet
        self.heartbeat: messages.Heartbeat | None = None
        self.last_heartbeat_ms = 0


class FakeGossip:
    """Stands in for Gossip; calls reach the peer's book without delay."""

    def __init__(
        self, own_number: int, peers: list[FakePeer], failed: set[int]
    ) -> None:
        self._own = own_number
        self._peers = peers
        self._failed = failed
        self.calls = 0

    def live(self) -> list[FakePeer]:
        """Return the other instances that are alive."""
        return [
            peer
            for number, peer in enumerate(self._peers)
            if number != self._own
            and number not in self._failed
            and peer.heartbeat is not None
        ]

    def find(self, instance: str) -> FakePeer | None:
        """Return the live peer with this instance name, or None."""
        return next(
            (p for p in self.live() if p.fleet.instance == instance),
            None,
        )

    async def call(
        self,
        peer: FakePeer,
        path: str,
        message: typing.Any,
        kind: type[typing.Any],
        timeout_s: float = 1.0,
    ) -> typing.Any:
        """Apply a message to the peer's book and return the answer."""
        self.calls += 1
        book = peer.fleet.shares
        if path.endswith("/ask"):
            return messages.GrantAnswer(book.grant(message))
        if path.endswith("/give"):
            return messages.Accepted(book.credit(message))
        seat = peer.fleet.own_seat or ""
        return messages.RoundAnswer(seat, book.join_round(message.round))


class Escrow(Limiter):
    """Cardamomway's limiter: shares that move between instances."""

    name = "policy"

    def __init__(self, clock: clocks.SteppedClock) -> None:
        self._clock = clock
        self._failed: set[int] = set()
        self._failed_at_ms = -1
        self._fleets = [_make_fleet(clock, n) for n in range(INSTANCES)]
        self._peers = [FakePeer(fleet) for fleet in self._fleets]
        self.gossips = [
            FakeGossip(n, self._peers, self._failed) for n in range(INSTANCES)
        ]
        self._brokers = [
            share_broker.ShareBroker(fleet, typing.cast(typing.Any, gossip))
            for fleet, gossip in zip(self._fleets, self.gossips)
        ]
        self._adopt_roster(1, range(INSTANCES), [])

    async def admit(self, instance: int, tokens: float) -> Admitted | None:
        """Charge the instance's share, borrowing from peers if needed."""
        outcome = await self._brokers[instance].charge(TEAM, tokens)
        if isinstance(outcome, shares.Reservation):
            return Admitted(self._fleets[instance].shares, outcome)
        return None

    async def tick(self, now_ms: int) -> None:
        """Exchange heartbeats, reconcile, and change the roster."""
        if now_ms % HEARTBEAT_MS == 0:
            self._exchange_heartbeats()
        if (
            self._failed_at_ms >= 0
            and now_ms == self._failed_at_ms + ROSTER_CHANGE_DELAY_MS
        ):
            remaining = [n for n in range(INSTANCES) if n not in self._failed]
            self._adopt_roster(2, remaining, range(INSTANCES))
        if (
            self._failed_at_ms >= 0
            and now_ms == self._failed_at_ms + ROSTER_IN_FORCE_DELAY_MS
        ):
            for fleet in self._fleets:
                fleet.is_roster_in_force = True
        if now_ms % RECONCILE_MS == 0:
            for number, broker in enumerate(self._brokers):
                if number not in self._failed:
                    await broker.reconcile()

    def on_instance_failed(self, instance: int, now_ms: int) -> None:
        """Mark an instance and its shares as failed."""
        self._failed.add(instance)
        self._failed_at_ms = now_ms

    def _exchange_heartbeats(self) -> None:
        now_ms = self._clock.now_ms()
        for number, fleet in enumerate(self._fleets):
            if number in self._failed:
                continue
            self._peers[number].heartbeat = _make_heartbeat(fleet)
            for seat in fleet.seats():
                fleet.freshness.confirm_seat(seat.id, now_ms)

    def _adopt_roster(
        self,
        epoch: int,
        members: typing.Iterable[int],
        previous: typing.Iterable[int],
    ) -> None:
        seats = [
            rosters.Seat(
                ids.SeatId(f"seat-{n}"),
                self._fleets[n].instance,
                "",
                ids.DataCentreId("a"),
            )
            for n in members
        ]
        roster = rosters.Roster(
            epoch,
            {seat.id: seat for seat in seats},
            frozenset(ids.SeatId(f"seat-{n}") for n in previous),
        )
        for fleet in self._fleets:
            body = roster.to_body()
            document = documents.Document(fleets.ROSTER, epoch, body)
            fleet.documents.adopt(document)
            fleet.is_roster_in_force = not roster.previous


class EqualShares(Limiter):
    """Baseline: each instance has a fixed, equal share of the rate."""

    name = "equal_static_shares"

    def __init__(self, clock: clocks.SteppedClock) -> None:
        instance_rate = shares.Rate(
            TEAM_RATE.tokens_per_s / INSTANCES,
            TEAM_RATE.burst_tokens / INSTANCES,
        )
        self._books = [
            _make_share_book(clock, instance_rate) for _ in range(INSTANCES)
        ]

    async def admit(self, instance: int, tokens: float) -> Admitted | None:
        """Charge the instance's own share."""
        book = self._books[instance]
        outcome = book.charge(TEAM, tokens)
        if isinstance(outcome, shares.Reservation):
            return Admitted(book, outcome)
        return None


class SingleOwner(Limiter):
    """Baseline: one instance holds the bucket until it fails."""

    name = "single_owner"

    def __init__(self, clock: clocks.SteppedClock) -> None:
        self._clock = clock
        self._book = _make_share_book(clock, TEAM_RATE)
        self._down_until_ms = -1

    async def admit(self, instance: int, tokens: float) -> Admitted | None:
        """Charge the owner's bucket."""
        if self._clock.now_ms() < self._down_until_ms:
            return None
        outcome = self._book.charge(TEAM, tokens)
        if isinstance(outcome, shares.Reservation):
            return Admitted(self._book, outcome)
        return None

    def on_instance_failed(self, instance: int, now_ms: int) -> None:
        """Refuse requests until a new owner takes over.

        The new owner starts without tokens, and only when it is certain
        that the failed one no longer admits requests.
        """
        self._down_until_ms = now_ms + ROSTER_IN_FORCE_DELAY_MS
        self._book = _make_share_book(self._clock, TEAM_RATE)


def _make_share_book(
    clock: clocks.Clock, rate: shares.Rate
) -> shares.ShareBook:
    book = shares.ShareBook(clock)
    book.configure({TEAM: rate})
    report = book.join_round(shares.Round(1, "owner"))
    assert report is not None
    book.mint([report])
    return book


def _make_fleet(clock: clocks.Clock, number: int) -> fleets.Fleet:
    settings = settings_module.Settings(
        instance=f"entry-{number}",
        data_centre="a",
        operator_key="o" * 16,
        fleet_secret="f" * 16,
        table_url="http://127.0.0.1:1",
    )
    fleet = fleets.Fleet(
        settings,
        clock,
        typing.cast(tables.Table, None),
        telemetry.Metrics(),
        trace.get_tracer("bench"),
    )
    team = schema.Team(
        rate_tokens_per_s=TEAM_RATE.tokens_per_s,
        burst_tokens=TEAM_RATE.burst_tokens,
    )
    configuration = schema.Configuration(teams={TEAM: team})
    body = {"configuration": configuration.model_dump(mode="json")}
    fleet.documents.adopt(documents.Document(fleets.CONFIG, 1, body))
    return fleet


def _make_heartbeat(fleet: fleets.Fleet) -> messages.Heartbeat:
    book = fleet.shares
    return messages.Heartbeat(
        instance=fleet.instance,
        boot=fleet.boot,
        address="",
        data_centre="a",
        is_leaving=False,
        seat=fleet.own_seat or "",
        version_by_document={},
        withdrawn_digest="",
        heard_ms_by_seat={},
        round_number=book.round.number,
        round_coordinator=book.round.coordinator,
        units_by_team={str(k): v for k, v in book.units_by_team().items()},
        level_by_team={str(TEAM): book.level(TEAM)},
        in_flight_by_target={},
        demand=[],
        seats=[],
    )


class ExcessMeter:
    """Counts delivered tokens that exceed the team's rate and burst."""

    def __init__(self) -> None:
        self._level = TEAM_RATE.burst_tokens
        self._refilled_ms = 0
        self.excess_tokens = 0.0

    def deliver(self, tokens: float, now_ms: int) -> None:
        """Record tokens delivered at a time."""
        refill = (now_ms - self._refilled_ms) * TEAM_RATE.tokens_per_s / 1000
        self._level = min(TEAM_RATE.burst_tokens, self._level + refill)
        self._refilled_ms = now_ms
        self._level -= tokens
        if self._level < -1e-6:
            self.excess_tokens -= self._level
            self._level = 0.0


async def _simulate(
    limiter: Limiter, clock: clocks.SteppedClock, seed: int
) -> dict[str, float]:
    rnd = random.Random(seed)
    ideal = _make_share_book(clock, TEAM_RATE)
    excess_meter = ExcessMeter()
    unfinished: list[tuple[int, Admitted]] = []
    ideal_unfinished: list[tuple[int, shares.Reservation]] = []
    weights = [1.0] * INSTANCES
    offered = wrongly_refused = 0
    requests_per_step = (
        TEAM_RATE.tokens_per_s
        * OFFERED_FRACTION
        / (CHARGED_TOKENS * USED_FRACTION)
    )
    requests_per_step *= STEP_MS / 1000
    due_requests = 0.0
    live_instances = list(range(INSTANCES))
    while clock.now_ms() < HORIZON_MS:
        now_ms = clock.now_ms()
        if now_ms % REBALANCE_INTERVAL_MS == 0:
            weights = [rnd.paretovariate(0.8) for _ in range(INSTANCES)]
        if now_ms == INSTANCE_FAILS_AT_MS:
            live_instances.remove(0)
            limiter.on_instance_failed(0, now_ms)
        await limiter.tick(now_ms)
        while unfinished and unfinished[0][0] <= now_ms:
            _, finished = unfinished.pop(0)
            finished.finish(CHARGED_TOKENS * USED_FRACTION)
            excess_meter.deliver(CHARGED_TOKENS * USED_FRACTION, now_ms)
        while ideal_unfinished and ideal_unfinished[0][0] <= now_ms:
            _, reservation = ideal_unfinished.pop(0)
            ideal.spend(reservation, CHARGED_TOKENS * USED_FRACTION)
            ideal.close_reservation(reservation)
        due_requests += requests_per_step * rnd.uniform(0.0, 2.0)
        while due_requests >= 1.0:
            due_requests -= 1.0
            instance = rnd.choices(
                live_instances, [weights[n] for n in live_instances]
            )[0]
            admitted = await limiter.admit(instance, CHARGED_TOKENS)
            ideal_outcome = ideal.charge(TEAM, CHARGED_TOKENS)
            if isinstance(ideal_outcome, shares.Reservation):
                ideal_unfinished.append(
                    (now_ms + REQUEST_DURATION_MS, ideal_outcome)
                )
            if admitted is not None:
                unfinished.append((now_ms + REQUEST_DURATION_MS, admitted))
            if now_ms >= WARM_UP_MS:
                offered += 1
                is_ideal = isinstance(ideal_outcome, shares.Reservation)
                wrongly_refused += admitted is None and is_ideal
        clock.step(STEP_MS)
    return {
        "offered": offered,
        "refused_within_rate": wrongly_refused / offered,
        "tokens_above_rate": round(excess_meter.excess_tokens, 3),
    }


def run(seed: int) -> dict[str, dict[str, float]]:
    """Return the measures of Cardamomway and the baselines, by name."""
    results: dict[str, dict[str, float]] = {}
    for limiter_class in (Escrow, EqualShares, SingleOwner):
        clock = clocks.SteppedClock()
        limiter = limiter_class(clock)
        measures = asyncio.run(_simulate(limiter, clock, seed))
        if isinstance(limiter, Escrow):
            calls = sum(gossip.calls for gossip in limiter.gossips)
            measures["peer_calls_per_request"] = calls / measures["offered"]
        results[limiter_class.name] = measures
    return results
