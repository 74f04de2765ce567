"""Fleet-wide token buckets, split into shares that instances hold in escrow.

Each team's rate and burst are ``TOTAL_UNITS`` units.  An instance holds some
of them and admits against a token bucket of that part of rate and burst.  The
holdings of all instances never add up to more than the total:

* A transfer debits the lender before the message leaves and credits the
  borrower once; a lost message loses units for a while and never makes any.
* Lost units return through a reconciliation round.  Every seat reports its
  holdings at the moment it joins the round, transfers of an earlier round are
  void from then on, and only what no report names is minted again.

Tokens on loan to running requests count against the burst until they are
spent or given back, so no window of length t sees more than
``burst + rate * t``, whether tokens are counted at admission by what was used
or at delivery.  The escrow idea is that of O'Neil, "The Escrow Transactional
Method", 1986; the round is a cut as in Chandy and Lamport, 1985.
"""

import dataclasses
import math
import typing

from cardamom_kernel import clocks
from cardamom_kernel import ids
from cardamom_kernel import invariants

TOTAL_UNITS = 1_000_000
DEMAND_WINDOW_MS = 2_000
RESERVE_MS = 250
GRANT_MEMORY_MS = 10_000
TOLERANCE_TOKENS = 1e-6


@dataclasses.dataclass(frozen=True)
class Rate:
    """A team's fleet-wide limit, in tokens and tokens a second."""

    tokens_per_s: float
    burst_tokens: float


@dataclasses.dataclass(frozen=True, order=True)
class Round:
    """A reconciliation round; rounds are ordered."""

    number: int = 0
    coordinator: str = ""


@dataclasses.dataclass
class Loan:
    """Tokens reserved for one running request."""

    team: ids.TeamId
    remaining: float
    closed: bool = False


@dataclasses.dataclass(frozen=True)
class Shortfall:
    """A charge that this instance's share cannot carry now."""

    missing_tokens: float
    attainable: bool


@dataclasses.dataclass(frozen=True)
class Ask:
    """A borrower's request for tokens and the units that carry them."""

    id: str
    round: Round
    team: ids.TeamId
    tokens: float


@dataclasses.dataclass(frozen=True)
class Grant:
    """Units and tokens that have left their lender."""

    id: str
    round: Round
    team: ids.TeamId
    units: int
    tokens: float


@dataclasses.dataclass(frozen=True)
class Report:
    """The units that a seat held when it joined a round."""

    round: Round
    units_by_team: typing.Mapping[ids.TeamId, int]


@dataclasses.dataclass
class _Bucket:
    units: int = 0
    level: float = 0.0
    on_loan: float = 0.0
    refilled_ms: int = 0
    demand_per_ms: float = 0.0
    demand_ms: int = 0


class ShareBook:
    """One instance's shares of every team's rate and burst."""

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._round = Round()
        self._report = Report(self._round, {})
        self._minted_round = Round()
        self._rate_by_team: dict[ids.TeamId, Rate] = {}
        self._by_team: dict[ids.TeamId, _Bucket] = {}
        self._grant_by_ask: dict[str, tuple[int, Grant]] = {}
        self._credited: dict[str, int] = {}

    @property
    def round(self) -> Round:
        """Return the round that this book has joined."""
        return self._round

    def configure(
        self,
        rate_by_team: typing.Mapping[ids.TeamId, Rate],
    ) -> None:
        """Apply new rates; a lowered burst clips what is held at once."""
        for team in self._by_team:
            self._refilled(team)
        self._rate_by_team = dict(rate_by_team)
        for team in rate_by_team:
            self._refilled(team)

    def units_by_team(self) -> dict[ids.TeamId, int]:
        """Return the units held, by team."""
        return {team: bucket.units for team, bucket in self._by_team.items()}

    def level(self, team: ids.TeamId) -> float:
        """Return the tokens that could be charged now."""
        return self._refilled(team).level

    def charge(self, team: ids.TeamId, tokens: float) -> Loan | Shortfall:
        """Reserve tokens for a request, or tell how many are missing."""
        bucket = self._refilled(team)
        if bucket.level + TOLERANCE_TOKENS >= tokens:
            self._note_demand(bucket, tokens)
            bucket.level = max(0.0, bucket.level - tokens)
            bucket.on_loan += tokens
            return Loan(team, tokens)
        burst = self._rate(team).burst_tokens
        return Shortfall(tokens - bucket.level, tokens <= burst)

    def spend(self, loan: Loan, tokens: float) -> None:
        """Turn a part of a loan into used tokens."""
        if loan.closed:
            return
        bucket = self._refilled(loan.team)
        used = min(tokens, loan.remaining)
        loan.remaining -= used
        bucket.on_loan = max(0.0, bucket.on_loan - used)

    def settle(self, loan: Loan) -> None:
        """Close a loan and give back what was not spent."""
        if loan.closed:
            return
        bucket = self._refilled(loan.team)
        loan.closed = True
        bucket.on_loan = max(0.0, bucket.on_loan - loan.remaining)
        bucket.level += loan.remaining
        loan.remaining = 0.0
        self._clip(loan.team, bucket)

    def grant(self, ask: Ask) -> Grant | None:
        """Debit what this instance can spare and return it as a grant.

        A repeated ask gets the first grant again.  Returns None for an ask
        of another round or if there is nothing to spare.
        """
        self._forget_old()
        known = self._grant_by_ask.get(ask.id)
        if known is not None:
            return known[1]
        if ask.round != self._round:
            return None
        bucket = self._refilled(ask.team)
        spare = bucket.level - self._demand(bucket) * RESERVE_MS
        grant = self._debit(ask.id, ask.team, min(ask.tokens, spare))
        if grant is not None:
            self._grant_by_ask[ask.id] = (self._clock.now_ms(), grant)
        return grant

    def credit(self, grant: Grant) -> bool:
        """Add a grant once; returns False for a repeat or another round."""
        if grant.round != self._round or grant.id in self._credited:
            return False
        self._credited[grant.id] = self._clock.now_ms()
        bucket = self._refilled(grant.team)
        bucket.units += grant.units
        bucket.level += grant.tokens
        self._clip(grant.team, bucket)
        self._check_total(grant.team, bucket)
        return True

    def give_units(
        self,
        grant_id: str,
        team: ids.TeamId,
        units: int,
    ) -> Grant | None:
        """Debit a number of units with the tokens that fill them."""
        burst = self._rate(team).burst_tokens
        return self._debit(grant_id, team, burst * units / TOTAL_UNITS)

    def give_all(self, grant_id: str) -> list[Grant]:
        """Debit everything that no running request needs, for a stop."""
        grants = [
            self._debit(f"{grant_id}/{team}", team, math.inf)
            for team in list(self._by_team)
        ]
        return [grant for grant in grants if grant is not None]

    def join(self, joined: Round) -> Report | None:
        """Join a round and report what is held at this moment.

        Joining again returns the first report.  Returns None for a round
        older than the one joined.
        """
        if joined < self._round:
            return None
        if joined > self._round:
            self._round = joined
            self._report = Report(joined, self.units_by_team())
            self._grant_by_ask.clear()
            self._credited.clear()
        return self._report

    def last_report(self) -> Report:
        """Return the report made when the current round was joined."""
        return self._report

    def resume(self, report: Report, grants: typing.Iterable[Grant]) -> None:
        """Take over the place of a predecessor that passed on its seat."""
        self.void()
        self._round = report.round
        self._report = report
        self._credited.clear()
        for grant in grants:
            self.credit(grant)

    def mint(
        self,
        reports: typing.Sequence[Report],
    ) -> dict[ids.TeamId, int]:
        """Create the units that no seat reported, for this instance.

        ``reports`` holds one report of each seat, this one's included, all
        of the joined round.  A round mints once.  Returns the units created
        by team.  Minted
        units start without tokens, since their last holder may have spent
        them.
        """
        if any(report.round != self._round for report in reports):
            return {}
        if self._minted_round >= self._round:
            return {}
        self._minted_round = self._round
        minted: dict[ids.TeamId, int] = {}
        for team in self._rate_by_team:
            held = sum(r.units_by_team.get(team, 0) for r in reports)
            missing = TOTAL_UNITS - held
            invariants.check(
                missing >= 0,
                "shares.sum_within_total",
                team=team,
                held=held,
            )
            if missing > 0:
                self._refilled(team).units += missing
                minted[team] = missing
        return minted

    def void(self) -> None:
        """Drop every unit, as after the loss of the seat."""
        for bucket in self._by_team.values():
            bucket.units = 0
            bucket.level = 0.0

    def _rate(self, team: ids.TeamId) -> Rate:
        return self._rate_by_team.get(team, Rate(0.0, 0.0))

    def _capacity(self, team: ids.TeamId, units: int) -> float:
        return self._rate(team).burst_tokens * units / TOTAL_UNITS

    def _refilled(self, team: ids.TeamId) -> _Bucket:
        now_ms = self._clock.now_ms()
        bucket = self._by_team.get(team)
        if bucket is None:
            bucket = _Bucket(refilled_ms=now_ms, demand_ms=now_ms)
            self._by_team[team] = bucket
        elapsed_s = max(0, now_ms - bucket.refilled_ms) / 1000
        per_s = self._rate(team).tokens_per_s * bucket.units / TOTAL_UNITS
        bucket.level += per_s * elapsed_s
        bucket.refilled_ms = now_ms
        self._clip(team, bucket)
        return bucket

    def _clip(self, team: ids.TeamId, bucket: _Bucket) -> None:
        room = self._capacity(team, bucket.units) - bucket.on_loan
        bucket.level = max(0.0, min(bucket.level, room))

    def _debit(
        self,
        grant_id: str,
        team: ids.TeamId,
        tokens: float,
    ) -> Grant | None:
        bucket = self._refilled(team)
        burst = self._rate(team).burst_tokens
        if tokens <= 0 or burst <= 0 or bucket.units == 0:
            return None
        lent = math.ceil(bucket.on_loan * TOTAL_UNITS / burst)
        free_units = max(0, bucket.units - lent)
        wanted = min(tokens * TOTAL_UNITS / burst, free_units)
        units = min(free_units, math.ceil(wanted))
        if units == 0:
            return None
        given = min(tokens, bucket.level, self._capacity(team, units))
        bucket.units -= units
        bucket.level -= given
        self._clip(team, bucket)
        return Grant(grant_id, self._round, team, units, given)

    def _note_demand(self, bucket: _Bucket, tokens: float) -> None:
        bucket.demand_per_ms = self._demand(bucket) + tokens / DEMAND_WINDOW_MS

    def _demand(self, bucket: _Bucket) -> float:
        now_ms = self._clock.now_ms()
        age = (now_ms - bucket.demand_ms) / DEMAND_WINDOW_MS
        bucket.demand_per_ms *= math.exp(-max(0.0, age))
        bucket.demand_ms = now_ms
        return bucket.demand_per_ms

    def _forget_old(self) -> None:
        horizon_ms = self._clock.now_ms() - GRANT_MEMORY_MS
        self._grant_by_ask = {
            ask: entry
            for ask, entry in self._grant_by_ask.items()
            if entry[0] > horizon_ms
        }

    def _check_total(self, team: ids.TeamId, bucket: _Bucket) -> None:
        invariants.check(
            0 <= bucket.units <= TOTAL_UNITS,
            "shares.units_within_total",
            team=team,
            units=bucket.units,
        )
