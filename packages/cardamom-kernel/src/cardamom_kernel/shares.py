"""Fleet-wide token buckets, split into shares that instances hold in escrow.

Each team's rate and burst are divided into ``TOTAL_UNITS`` units.  An
instance holds some of the units and admits requests against a token bucket
with the same fraction of the rate and the burst.  The units held by all
instances never add up to more than the total:

* A transfer debits the lender before the message is sent and credits the
  borrower once.  A lost message makes units unavailable for a while and
  never creates any.
* Lost units are restored by a reconciliation round.  Every seat reports the
  units it holds at the moment it joins the round.  Transfers of an earlier
  round are rejected from then on, and only units that appear in no report
  are minted again.

Tokens reserved for running requests (reservations) count against the burst
until they are spent or returned.  No window of t seconds therefore sees more
than ``burst + rate * t`` tokens, whether used tokens are counted at the time
of admission or at the time of delivery.  Escrow follows O'Neil, "The Escrow
Transactional Method", 1986; the round is a consistent cut as in Chandy and
Lamport, 1985.
"""

import dataclasses
import math
import typing

from cardamom_kernel import clocks
from cardamom_kernel import ids
from cardamom_kernel import invariants

TOTAL_UNITS = 1_000_000
DEMAND_WINDOW_MS = 2_000  # time constant of the exponential average
RESERVED_DEMAND_MS = 250  # a lender keeps enough tokens for this time
GRANT_RETENTION_MS = 10_000  # a repeated request gets the same grant this long
CHARGE_TOLERANCE_TOKENS = 1e-6  # absorbs floating-point rounding errors


@dataclasses.dataclass(frozen=True)
class Rate:
    """A team's fleet-wide limit, in tokens per second and tokens."""

    tokens_per_s: float
    burst_tokens: float


@dataclasses.dataclass(frozen=True, order=True)
class Round:
    """A reconciliation round, ordered by number, then by coordinator."""

    number: int = 0
    coordinator: str = ""


@dataclasses.dataclass
class Reservation:
    """Tokens reserved for one running request.

    ``remaining`` is the number of tokens that are not spent.
    """

    team: ids.TeamId
    remaining: float
    closed: bool = False


@dataclasses.dataclass(frozen=True)
class Shortfall:
    """A charge that exceeds the tokens of this instance's share.

    ``attainable`` is false if the charge exceeds the team's whole burst, so
    that waiting or borrowing cannot help.
    """

    missing_tokens: float
    attainable: bool


@dataclasses.dataclass(frozen=True)
class BorrowRequest:
    """A borrower's message that asks a lender for tokens.

    The lender answers with a Grant of tokens and of the units whose bucket
    capacity holds these tokens.
    """

    id: str
    round: Round
    team: ids.TeamId
    tokens: float


@dataclasses.dataclass(frozen=True)
class Grant:
    """Units and tokens that the lender has already debited."""

    id: str
    round: Round
    team: ids.TeamId
    units: int
    tokens: float


@dataclasses.dataclass(frozen=True)
class Report:
    """The units that a seat held when it joined a round, by team."""

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
        self._bucket_by_team: dict[ids.TeamId, _Bucket] = {}
        self._grant_by_request_id: dict[str, tuple[int, Grant]] = {}
        self._credited_ms_by_grant_id: dict[str, int] = {}

    @property
    def round(self) -> Round:
        """Return the round joined last, or ``Round()`` before the first."""
        return self._round

    def configure(
        self,
        rate_by_team: typing.Mapping[ids.TeamId, Rate],
    ) -> None:
        """Replace the rates of all teams.

        Tokens above a lowered burst are dropped at once.  A team without a
        rate can charge nothing.
        """
        for team in self._bucket_by_team:
            self._refill_bucket(team)
        self._rate_by_team = dict(rate_by_team)
        for team in rate_by_team:
            self._refill_bucket(team)

    def units_by_team(self) -> dict[ids.TeamId, int]:
        """Return the units held, by team."""
        return {
            team: bucket.units for team, bucket in self._bucket_by_team.items()
        }

    def level(self, team: ids.TeamId) -> float:
        """Return the number of tokens that can be charged now."""
        return self._refill_bucket(team).level

    def charge(
        self, team: ids.TeamId, tokens: float
    ) -> Reservation | Shortfall:
        """Reserve tokens for a request.

        Returns the reservation, or a shortfall if the share has too few
        tokens; a shortfall reserves nothing.
        """
        bucket = self._refill_bucket(team)
        if bucket.level + CHARGE_TOLERANCE_TOKENS >= tokens:
            self._record_demand(bucket, tokens)
            bucket.level = max(0.0, bucket.level - tokens)
            bucket.on_loan += tokens
            return Reservation(team, tokens)
        burst = self._rate(team).burst_tokens
        return Shortfall(tokens - bucket.level, tokens <= burst)

    def spend(self, reservation: Reservation, tokens: float) -> None:
        """Mark reserved tokens as used, up to what remains of the reservation.

        Does nothing if the reservation is closed.
        """
        if reservation.closed:
            return
        bucket = self._refill_bucket(reservation.team)
        used_tokens = min(tokens, reservation.remaining)
        reservation.remaining -= used_tokens
        bucket.on_loan = max(0.0, bucket.on_loan - used_tokens)

    def close_reservation(self, reservation: Reservation) -> None:
        """Close a reservation and return its unspent tokens to the bucket.

        Does nothing if the reservation is already closed.
        """
        if reservation.closed:
            return
        bucket = self._refill_bucket(reservation.team)
        reservation.closed = True
        bucket.on_loan = max(0.0, bucket.on_loan - reservation.remaining)
        bucket.level += reservation.remaining
        reservation.remaining = 0.0
        self._clip_level(reservation.team, bucket)

    def grant(self, borrow_request: BorrowRequest) -> Grant | None:
        """Debit up to the requested tokens and return them as a grant.

        Tokens for this instance's own expected demand are kept back.  A
        repeated request gets the first grant again.  Returns None for a
        request of another round or if there are no tokens or units to spare.
        """
        self._remove_expired_grants()
        entry = self._grant_by_request_id.get(borrow_request.id)
        if entry is not None:
            return entry[1]
        if borrow_request.round != self._round:
            return None
        bucket = self._refill_bucket(borrow_request.team)
        spare_tokens = (
            bucket.level - self._decay_demand(bucket) * RESERVED_DEMAND_MS
        )
        grant = self._debit(
            borrow_request.id,
            borrow_request.team,
            min(borrow_request.tokens, spare_tokens),
        )
        if grant is not None:
            self._grant_by_request_id[borrow_request.id] = (
                self._clock.now_ms(),
                grant,
            )
        return grant

    def credit(self, grant: Grant) -> bool:
        """Add a grant's units and tokens to this instance's share.

        Returns False, and adds nothing, if the grant was credited before or
        belongs to another round.
        """
        if (
            grant.round != self._round
            or grant.id in self._credited_ms_by_grant_id
        ):
            return False
        self._credited_ms_by_grant_id[grant.id] = self._clock.now_ms()
        bucket = self._refill_bucket(grant.team)
        bucket.units += grant.units
        bucket.level += grant.tokens
        self._clip_level(grant.team, bucket)
        self._check_units(grant.team, bucket)
        return True

    def debit_units(
        self,
        grant_id: str,
        team: ids.TeamId,
        units: int,
    ) -> Grant | None:
        """Debit about the given number of units and the tokens they hold.

        Units that back reserved tokens are kept.  Returns None if there is
        nothing to debit.
        """
        burst = self._rate(team).burst_tokens
        return self._debit(grant_id, team, burst * units / TOTAL_UNITS)

    def debit_all_free(self, grant_id: str) -> list[Grant]:
        """Debit all units that back no reserved tokens, before shutdown.

        Returns one grant for each team that had such units.
        """
        grants = [
            self._debit(f"{grant_id}/{team}", team, math.inf)
            for team in list(self._bucket_by_team)
        ]
        return [grant for grant in grants if grant is not None]

    def join_round(self, new_round: Round) -> Report | None:
        """Join a round and report the units held at this moment.

        Joining the same round again returns the first report.  Returns None
        for a round older than the one joined.
        """
        if new_round < self._round:
            return None
        if new_round > self._round:
            self._round = new_round
            self._report = Report(new_round, self.units_by_team())
            self._grant_by_request_id.clear()
            self._credited_ms_by_grant_id.clear()
        return self._report

    def last_report(self) -> Report:
        """Return the report made when the current round was joined."""
        return self._report

    def take_over(
        self, report: Report, grants: typing.Iterable[Grant]
    ) -> None:
        """Take over the seat of a predecessor.

        The units held before are dropped, the predecessor's round and report
        are adopted, and its grants are credited.
        """
        self.drop_all_units()
        self._round = report.round
        self._report = report
        self._credited_ms_by_grant_id.clear()
        for grant in grants:
            self.credit(grant)

    def mint(
        self,
        reports: typing.Sequence[Report],
    ) -> dict[ids.TeamId, int]:
        """Add the units that no seat reported to this instance's share.

        ``reports`` must hold exactly one report of each seat, including this
        instance's own, all of the joined round.  Returns the units created
        for each team; empty if a report is of another round or if this book
        has already minted in the round.  Minted units start without tokens,
        since their last holder may have spent these.
        """
        if any(report.round != self._round for report in reports):
            return {}
        if self._minted_round >= self._round:
            return {}
        self._minted_round = self._round
        minted: dict[ids.TeamId, int] = {}
        for team in self._rate_by_team:
            reported_units = sum(r.units_by_team.get(team, 0) for r in reports)
            missing_units = TOTAL_UNITS - reported_units
            invariants.check(
                missing_units >= 0,
                "shares.sum_within_total",
                team=team,
                held=reported_units,
            )
            if missing_units > 0:
                self._refill_bucket(team).units += missing_units
                minted[team] = missing_units
        return minted

    def drop_all_units(self) -> None:
        """Drop all units and tokens, for example when the seat is lost."""
        for bucket in self._bucket_by_team.values():
            bucket.units = 0
            bucket.level = 0.0

    def _rate(self, team: ids.TeamId) -> Rate:
        return self._rate_by_team.get(team, Rate(0.0, 0.0))

    def _capacity_tokens(self, team: ids.TeamId, units: int) -> float:
        return self._rate(team).burst_tokens * units / TOTAL_UNITS

    def _refill_bucket(self, team: ids.TeamId) -> _Bucket:
        now_ms = self._clock.now_ms()
        bucket = self._bucket_by_team.get(team)
        if bucket is None:
            bucket = _Bucket(refilled_ms=now_ms, demand_ms=now_ms)
            self._bucket_by_team[team] = bucket
        elapsed_s = max(0, now_ms - bucket.refilled_ms) / 1000
        tokens_per_s = (
            self._rate(team).tokens_per_s * bucket.units / TOTAL_UNITS
        )
        bucket.level += tokens_per_s * elapsed_s
        bucket.refilled_ms = now_ms
        self._clip_level(team, bucket)
        return bucket

    def _clip_level(self, team: ids.TeamId, bucket: _Bucket) -> None:
        limit = self._capacity_tokens(team, bucket.units) - bucket.on_loan
        bucket.level = max(0.0, min(bucket.level, limit))

    def _debit(
        self,
        grant_id: str,
        team: ids.TeamId,
        tokens: float,
    ) -> Grant | None:
        bucket = self._refill_bucket(team)
        burst = self._rate(team).burst_tokens
        if tokens <= 0 or burst <= 0 or bucket.units == 0:
            return None
        reserved_units = math.ceil(bucket.on_loan * TOTAL_UNITS / burst)
        free_units = max(0, bucket.units - reserved_units)
        exact_units = min(tokens * TOTAL_UNITS / burst, free_units)
        units = min(free_units, math.ceil(exact_units))
        if units == 0:
            return None
        granted_tokens = min(
            tokens, bucket.level, self._capacity_tokens(team, units)
        )
        bucket.units -= units
        bucket.level -= granted_tokens
        self._clip_level(team, bucket)
        return Grant(grant_id, self._round, team, units, granted_tokens)

    def _record_demand(self, bucket: _Bucket, tokens: float) -> None:
        bucket.demand_per_ms = (
            self._decay_demand(bucket) + tokens / DEMAND_WINDOW_MS
        )

    def _decay_demand(self, bucket: _Bucket) -> float:
        now_ms = self._clock.now_ms()
        elapsed_windows = (now_ms - bucket.demand_ms) / DEMAND_WINDOW_MS
        bucket.demand_per_ms *= math.exp(-max(0.0, elapsed_windows))
        bucket.demand_ms = now_ms
        return bucket.demand_per_ms

    def _remove_expired_grants(self) -> None:
        oldest_ms = self._clock.now_ms() - GRANT_RETENTION_MS
        self._grant_by_request_id = {
            request_id: entry
            for request_id, entry in self._grant_by_request_id.items()
            if entry[0] > oldest_ms
        }

    def _check_units(self, team: ids.TeamId, bucket: _Bucket) -> None:
        invariants.check(
            0 <= bucket.units <= TOTAL_UNITS,
            "shares.units_within_total",
            team=team,
            units=bucket.units,
        )
