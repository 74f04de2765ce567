"""Fleet-wide rates on the real broker and books, with a stepped clock.

Callers are spread unevenly over nine instances, the balancer moves them, and
one instance dies.  A refusal counts as within the rate if one bucket that saw
every request offered would have admitted it.
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
BEAT_MS = 500
RECONCILE_MS = 300
MOVE_EVERY_MS = 15_000
DEATH_AT_MS = 90_000
REMOVED_AFTER_MS = 6_000
IN_FORCE_AFTER_MS = 8_500
OFFERED_PART = 0.9
HOLD_MS = 1_500
TOKENS = 464.0
USED_PART = 0.6
TEAM = ids.TeamId("team-a")
RATE = shares.Rate(tokens_per_s=30_000.0, burst_tokens=150_000.0)
WARM_UP_MS = 10_000


class Limiter(abc.ABC):
    """A way to hold a team to its rate over all instances."""

    name = "abstract"

    @abc.abstractmethod
    async def admit(self, instance: int, tokens: float) -> "Admitted | None":
        """Admit a request at an instance, or return None."""

    async def tick(self, now_ms: int) -> None:
        """Do what falls due."""

    def die(self, instance: int, now_ms: int) -> None:
        """Lose an instance."""


@dataclasses.dataclass(frozen=True)
class Admitted:
    """A request with the book and loan that carry it."""

    book: shares.ShareBook
    loan: shares.Loan

    def finish(self, used: float) -> None:
        """End the request."""
        self.book.spend(self.loan, used)
        self.book.settle(self.loan)


class FakePeer:
    """An instance as another one sees it."""

    def __init__(self, fleet: fleets.Fleet) -> None:
        self.fleet = fleet
        self.heartbeat: messages.Heartbeat | None = None
        self.heard_ms = 0


class FakeGossip:
    """Calls that reach the other instances' books at once."""

    def __init__(
        self, own: int, peers: list[FakePeer], dead: set[int]
    ) -> None:
        self._own = own
        self._peers = peers
        self._dead = dead
        self.calls = 0

    def live(self) -> list[FakePeer]:
        """Return the other instances that are alive."""
        return [
            peer
            for number, peer in enumerate(self._peers)
            if number != self._own
            and number not in self._dead
            and peer.heartbeat is not None
        ]

    def find(self, instance: str) -> FakePeer | None:
        """Return a live peer by its instance."""
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
        """Carry out a message at a peer."""
        self.calls += 1
        book = peer.fleet.shares
        if path.endswith("/ask"):
            return messages.GrantAnswer(book.grant(message))
        if path.endswith("/give"):
            return messages.Accepted(book.credit(message))
        seat = peer.fleet.own_seat or ""
        return messages.RoundAnswer(seat, book.join(message.round))


class Escrow(Limiter):
    """The product: shares that move between instances."""

    name = "policy"

    def __init__(self, clock: clocks.SteppedClock) -> None:
        self._clock = clock
        self._dead: set[int] = set()
        self._died_ms = -1
        self._fleets = [_fleet(clock, n) for n in range(INSTANCES)]
        self._peers = [FakePeer(fleet) for fleet in self._fleets]
        self.gossips = [
            FakeGossip(n, self._peers, self._dead) for n in range(INSTANCES)
        ]
        self._brokers = [
            share_broker.ShareBroker(fleet, typing.cast(typing.Any, gossip))
            for fleet, gossip in zip(self._fleets, self.gossips)
        ]
        self._adopt_roster(1, range(INSTANCES), [])

    async def admit(self, instance: int, tokens: float) -> Admitted | None:
        """Charge the own share, with what peers can spare."""
        outcome = await self._brokers[instance].charge(TEAM, tokens)
        if isinstance(outcome, shares.Loan):
            return Admitted(self._fleets[instance].shares, outcome)
        return None

    async def tick(self, now_ms: int) -> None:
        """Exchange heartbeats, reconcile, and change the roster."""
        if now_ms % BEAT_MS == 0:
            self._beat()
        if self._died_ms >= 0 and now_ms == self._died_ms + REMOVED_AFTER_MS:
            left = [n for n in range(INSTANCES) if n not in self._dead]
            self._adopt_roster(2, left, range(INSTANCES))
        if self._died_ms >= 0 and now_ms == self._died_ms + IN_FORCE_AFTER_MS:
            for fleet in self._fleets:
                fleet.is_roster_in_force = True
        if now_ms % RECONCILE_MS == 0:
            for number, broker in enumerate(self._brokers):
                if number not in self._dead:
                    await broker.reconcile()

    def die(self, instance: int, now_ms: int) -> None:
        """Lose an instance with its shares."""
        self._dead.add(instance)
        self._died_ms = now_ms

    def _beat(self) -> None:
        now_ms = self._clock.now_ms()
        for number, fleet in enumerate(self._fleets):
            if number in self._dead:
                continue
            self._peers[number].heartbeat = _heartbeat(fleet)
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
    """A baseline: each instance holds a fixed, equal part."""

    name = "equal_static_shares"

    def __init__(self, clock: clocks.SteppedClock) -> None:
        part = shares.Rate(
            RATE.tokens_per_s / INSTANCES,
            RATE.burst_tokens / INSTANCES,
        )
        self._books = [_whole_book(clock, part) for _ in range(INSTANCES)]

    async def admit(self, instance: int, tokens: float) -> Admitted | None:
        """Charge the own part."""
        book = self._books[instance]
        outcome = book.charge(TEAM, tokens)
        if isinstance(outcome, shares.Loan):
            return Admitted(book, outcome)
        return None


class SingleOwner(Limiter):
    """A baseline: one instance owns the bucket, until it dies."""

    name = "single_owner"

    def __init__(self, clock: clocks.SteppedClock) -> None:
        self._clock = clock
        self._book = _whole_book(clock, RATE)
        self._down_until_ms = -1

    async def admit(self, instance: int, tokens: float) -> Admitted | None:
        """Charge the owner's bucket."""
        if self._clock.now_ms() < self._down_until_ms:
            return None
        outcome = self._book.charge(TEAM, tokens)
        if isinstance(outcome, shares.Loan):
            return Admitted(self._book, outcome)
        return None

    def die(self, instance: int, now_ms: int) -> None:
        """Lose the owner; another starts empty when it is sure."""
        self._down_until_ms = now_ms + IN_FORCE_AFTER_MS
        self._book = _whole_book(self._clock, RATE)


def _whole_book(clock: clocks.Clock, rate: shares.Rate) -> shares.ShareBook:
    book = shares.ShareBook(clock)
    book.configure({TEAM: rate})
    report = book.join(shares.Round(1, "owner"))
    assert report is not None
    book.mint([report])
    return book


def _fleet(clock: clocks.Clock, number: int) -> fleets.Fleet:
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
        rate_tokens_per_s=RATE.tokens_per_s,
        burst_tokens=RATE.burst_tokens,
    )
    configuration = schema.Configuration(teams={TEAM: team})
    body = {"configuration": configuration.model_dump(mode="json")}
    fleet.documents.adopt(documents.Document(fleets.CONFIG, 1, body))
    return fleet


def _heartbeat(fleet: fleets.Fleet) -> messages.Heartbeat:
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


class Observer:
    """An ideal bucket over tokens as they are delivered."""

    def __init__(self) -> None:
        self._level = RATE.burst_tokens
        self._ms = 0
        self.above = 0.0

    def deliver(self, tokens: float, now_ms: int) -> None:
        """Take tokens, and count what is above rate and burst."""
        refill = (now_ms - self._ms) * RATE.tokens_per_s / 1000
        self._level = min(RATE.burst_tokens, self._level + refill)
        self._ms = now_ms
        self._level -= tokens
        if self._level < -1e-6:
            self.above -= self._level
            self._level = 0.0


async def _course(
    limiter: Limiter, clock: clocks.SteppedClock, seed: int
) -> dict[str, float]:
    rnd = random.Random(seed)
    ideal = _whole_book(clock, RATE)
    observer = Observer()
    ends: list[tuple[int, Admitted]] = []
    ideal_ends: list[tuple[int, shares.Loan]] = []
    weights = [1.0] * INSTANCES
    offered = wrongly_refused = 0
    per_step = RATE.tokens_per_s * OFFERED_PART / (TOKENS * USED_PART)
    per_step *= STEP_MS / 1000
    due = 0.0
    alive = list(range(INSTANCES))
    while clock.now_ms() < HORIZON_MS:
        now_ms = clock.now_ms()
        if now_ms % MOVE_EVERY_MS == 0:
            weights = [rnd.paretovariate(0.8) for _ in range(INSTANCES)]
        if now_ms == DEATH_AT_MS:
            alive.remove(0)
            limiter.die(0, now_ms)
        await limiter.tick(now_ms)
        while ends and ends[0][0] <= now_ms:
            _, done = ends.pop(0)
            done.finish(TOKENS * USED_PART)
            observer.deliver(TOKENS * USED_PART, now_ms)
        while ideal_ends and ideal_ends[0][0] <= now_ms:
            _, loan = ideal_ends.pop(0)
            ideal.spend(loan, TOKENS * USED_PART)
            ideal.settle(loan)
        due += per_step * rnd.uniform(0.0, 2.0)
        while due >= 1.0:
            due -= 1.0
            instance = rnd.choices(alive, [weights[n] for n in alive])[0]
            admitted = await limiter.admit(instance, TOKENS)
            best = ideal.charge(TEAM, TOKENS)
            if isinstance(best, shares.Loan):
                ideal_ends.append((now_ms + HOLD_MS, best))
            if admitted is not None:
                ends.append((now_ms + HOLD_MS, admitted))
            if now_ms >= WARM_UP_MS:
                offered += 1
                is_ideal = isinstance(best, shares.Loan)
                wrongly_refused += admitted is None and is_ideal
        clock.step(STEP_MS)
    return {
        "offered": offered,
        "refused_within_rate": wrongly_refused / offered,
        "tokens_above_rate": round(observer.above, 3),
    }


def run(seed: int) -> dict[str, dict[str, float]]:
    """Return the measures of the product and its baselines."""
    results: dict[str, dict[str, float]] = {}
    for kind in (Escrow, EqualShares, SingleOwner):
        clock = clocks.SteppedClock()
        limiter = kind(clock)
        measured = asyncio.run(_course(limiter, clock, seed))
        if isinstance(limiter, Escrow):
            calls = sum(gossip.calls for gossip in limiter.gossips)
            measured["peer_calls_per_request"] = calls / measured["offered"]
        results[kind.name] = measured
    return results
