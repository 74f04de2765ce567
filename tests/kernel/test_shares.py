"""Shares: lost or repeated messages never exceed a team's rate or burst."""

import dataclasses

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from cardamom_kernel import clocks
from cardamom_kernel import ids
from cardamom_kernel import shares
from tests import mutants

TEAM = ids.TeamId("team-a")
RATE = shares.Rate(tokens_per_s=100.0, burst_tokens=1_000.0)
BOOKS = 4
EPSILON = 0.01


class Observer:
    """A reference token bucket that sees every token delivered to the team."""

    def __init__(self) -> None:
        self._level = RATE.burst_tokens
        self._updated_ms = 0

    def deliver(self, tokens: float, now_ms: int) -> None:
        """Record delivered tokens; fails if they exceed rate and burst."""
        refill_tokens = (now_ms - self._updated_ms) * RATE.tokens_per_s / 1000
        self._level = min(RATE.burst_tokens, self._level + refill_tokens)
        self._updated_ms = now_ms
        self._level -= tokens
        assert self._level >= -EPSILON, f"{-self._level} tokens above the rate"


@dataclasses.dataclass
class Admitted:
    """A reservation with its book, admission time and used tokens."""

    book: int
    reservation: shares.Reservation
    at_ms: int
    used_tokens: float = 0.0


class SharesMachine(stateful.RuleBasedStateMachine):
    """Books of several instances with lost, late and repeated messages."""

    book_type = shares.ShareBook

    def __init__(self) -> None:
        super().__init__()
        self.clock = clocks.SteppedClock()
        self.observer = Observer()
        self.books = [self.make_book() for _ in range(BOOKS)]
        self.is_disconnected = [False] * BOOKS
        self.admitted: list[Admitted] = []
        self.borrow_requests: list[tuple[int, int, shares.BorrowRequest]] = []
        self.grants: list[tuple[int, shares.Grant]] = []
        self.current_round = shares.Round()
        self.coordinator = 0
        self.reports: dict[int, shares.Report] = {}
        self.id_count = 0

    def make_book(self) -> shares.ShareBook:
        """Return an empty book with the team's rate."""
        book = self.book_type(self.clock)
        book.configure({TEAM: RATE})
        return book

    def new_id(self) -> str:
        """Return a new message id."""
        self.id_count += 1
        return f"m{self.id_count}"

    book = st.integers(0, BOOKS - 1)

    @stateful.initialize(ms=st.sampled_from([0, 2_000, 20_000]))
    def mint_and_fill(self, ms: int) -> None:
        """Begin with all units at one instance, without or with tokens."""
        self.run_round(0)
        self.clock.step(ms)

    @stateful.rule(ms=st.sampled_from([1, 100, 1_000, 10_000]))
    def pass_time(self, ms: int) -> None:
        """Advance the clock."""
        self.clock.step(ms)

    @stateful.rule(
        instance=book, charged_tokens=st.sampled_from([1, 50, 300, 700, 1_000])
    )
    def charge(self, instance: int, charged_tokens: int) -> None:
        """Admit a request at an instance."""
        outcome = self.books[instance].charge(TEAM, charged_tokens)
        if isinstance(outcome, shares.Reservation):
            now_ms = self.clock.now_ms()
            self.admitted.append(Admitted(instance, outcome, now_ms))

    @stateful.precondition(lambda self: self.admitted)
    @stateful.rule(
        pick=st.integers(0, 1 << 20), fraction=st.sampled_from([0.1, 0.5, 1.0])
    )
    def deliver(self, pick: int, fraction: float) -> None:
        """Deliver a fraction of a request's remaining tokens."""
        self._deliver(self.admitted[pick % len(self.admitted)], fraction)

    @stateful.rule()
    def charge_all(self) -> None:
        """Admit as many tokens as each share has."""
        for instance, book in enumerate(self.books):
            if book.level(TEAM) >= 1:
                self.charge(instance, int(book.level(TEAM)))

    @stateful.rule()
    def deliver_all(self) -> None:
        """Deliver everything that is reserved at this moment."""
        for entry in self.admitted:
            self._deliver(entry, 1.0)

    def _deliver(self, entry: Admitted, fraction: float) -> None:
        tokens = entry.reservation.remaining * fraction
        if entry.reservation.closed or tokens <= 0:
            return
        self.books[entry.book].spend(entry.reservation, tokens)
        entry.used_tokens += tokens
        self.observer.deliver(tokens, self.clock.now_ms())

    @stateful.precondition(lambda self: self.admitted)
    @stateful.rule(pick=st.integers(0, 1 << 20))
    def finish(self, pick: int) -> None:
        """End a request and return the tokens that it did not use."""
        entry = self.admitted[pick % len(self.admitted)]
        self.books[entry.book].close_reservation(entry.reservation)

    @stateful.rule(borrower=book, lender=book, tokens=st.integers(1, 900))
    def ask(self, borrower: int, lender: int, tokens: int) -> None:
        """Send a borrow request, unless the borrower is disconnected."""
        if borrower != lender and not self.is_disconnected[borrower]:
            book = self.books[borrower]
            borrow_request = shares.BorrowRequest(
                self.new_id(), book.round, TEAM, tokens
            )
            self.borrow_requests.append((borrower, lender, borrow_request))

    @stateful.precondition(lambda self: self.borrow_requests)
    @stateful.rule(pick=st.integers(0, 1 << 20), keeps_copy=st.booleans())
    def answer_ask(self, pick: int, keeps_copy: bool) -> None:
        """Deliver a borrow request to its lender, possibly more than once."""
        index = pick % len(self.borrow_requests)
        borrower, lender, borrow_request = self.borrow_requests[index]
        if not keeps_copy:
            del self.borrow_requests[index]
        if self.is_disconnected[lender]:
            return
        grant = self.books[lender].grant(borrow_request)
        if grant is not None:
            self.grants.append((borrower, grant))

    @stateful.rule(borrower=book, lender=book, tokens=st.integers(1, 900))
    def borrow(self, borrower: int, lender: int, tokens: int) -> None:
        """Run a whole transfer with no message lost."""
        self.ask(borrower, lender, tokens)
        if self.borrow_requests:
            self.answer_ask(len(self.borrow_requests) - 1, keeps_copy=False)
        if self.grants:
            self.credit_grant(len(self.grants) - 1, keeps_copy=False)

    @stateful.rule(giver=book, taker=book, units=st.integers(1, 1_000_000))
    def give_units(self, giver: int, taker: int, units: int) -> None:
        """Send units that nobody asked for."""
        if giver == taker or self.is_disconnected[giver]:
            return
        grant = self.books[giver].debit_units(self.new_id(), TEAM, units)
        if grant is not None:
            self.grants.append((taker, grant))

    @stateful.precondition(lambda self: self.grants)
    @stateful.rule(pick=st.integers(0, 1 << 20), keeps_copy=st.booleans())
    def credit_grant(self, pick: int, keeps_copy: bool) -> None:
        """Deliver a grant to its receiver, possibly more than once."""
        index = pick % len(self.grants)
        taker, grant = self.grants[index]
        if not keeps_copy:
            del self.grants[index]
        if not self.is_disconnected[taker]:
            self.books[taker].credit(grant)

    @stateful.precondition(lambda self: self.grants)
    @stateful.rule(pick=st.integers(0, 1 << 20))
    def lose_grant(self, pick: int) -> None:
        """Drop a grant permanently."""
        del self.grants[pick % len(self.grants)]

    @stateful.rule(instance=book)
    def cut_connection(self, instance: int) -> None:
        """Disconnect an instance; it keeps charging while it is fresh."""
        self.is_disconnected[instance] = True

    @stateful.rule(instance=book)
    def replace(self, instance: int) -> None:
        """Replace an instance that is no longer fresh by a new one."""
        for entry in self.admitted:
            if entry.book == instance:
                entry.reservation.closed = True
        self.admitted = [e for e in self.admitted if e.book != instance]
        self.books[instance] = self.make_book()
        self.is_disconnected[instance] = False
        self.reports.pop(instance, None)

    @stateful.rule(coordinator=book)
    def begin_round(self, coordinator: int) -> None:
        """Begin a reconciliation round."""
        self.coordinator = coordinator
        number = max(book.round.number for book in self.books) + 1
        self.current_round = shares.Round(number, str(coordinator))
        self.reports = {}
        self.join_round(coordinator)

    @stateful.rule(instance=book)
    def join_round(self, instance: int) -> None:
        """Join the current round with a seat and collect its report."""
        if (
            self.is_disconnected[instance]
            or self.current_round == shares.Round()
        ):
            return
        report = self.books[instance].join_round(self.current_round)
        if report is not None:
            self.reports[instance] = report

    @stateful.rule()
    def mint(self) -> None:
        """Mint at the coordinator if every seat has reported."""
        if (
            len(self.reports) == BOOKS
            and not self.is_disconnected[self.coordinator]
        ):
            reports = list(self.reports.values())
            self.books[self.coordinator].mint(reports)

    @stateful.rule(coordinator=book)
    def run_round(self, coordinator: int) -> None:
        """Run a complete round with no message lost."""
        self.begin_round(coordinator)
        for instance in range(BOOKS):
            self.join_round(instance)
        self.mint()

    @stateful.invariant()
    def units_within_total(self) -> None:
        """Assert that the books never hold more than all units."""
        held_units = sum(b.units_by_team().get(TEAM, 0) for b in self.books)
        assert held_units <= shares.TOTAL_UNITS, f"{held_units} units"

    def teardown(self) -> None:
        """Assert that tokens used stay in the rate, by time of admission."""
        observer = Observer()
        for entry in sorted(self.admitted, key=lambda e: e.at_ms):
            observer.deliver(entry.used_tokens, entry.at_ms)


class LevelWithoutLoans(shares.ShareBook):
    """A mutant that ignores reservations when it limits the level."""

    def _clip_level(self, team: ids.TeamId, bucket: shares._Bucket) -> None:
        limit = self._capacity_tokens(team, bucket.units)
        bucket.level = max(0.0, min(bucket.level, limit))


class CreditAnyRound(shares.ShareBook):
    """A mutant that credits a grant of an earlier round."""

    def credit(self, grant: shares.Grant) -> bool:
        """Credit a grant of any round."""
        return super().credit(dataclasses.replace(grant, round=self.round))


class CreditTwice(shares.ShareBook):
    """A mutant that credits a repeated grant twice."""

    def credit(self, grant: shares.Grant) -> bool:
        """Forget earlier grants and credit."""
        self._credited_ms_by_grant_id.clear()
        return super().credit(grant)


class GrantWithoutDebit(shares.ShareBook):
    """A mutant that grants without a debit."""

    def grant(
        self, borrow_request: shares.BorrowRequest
    ) -> shares.Grant | None:
        """Grant, and restore the debited units."""
        units_before = self.units_by_team().get(borrow_request.team, 0)
        grant = super().grant(borrow_request)
        if grant is not None:
            self._bucket_by_team[borrow_request.team].units = units_before
        return grant


TestSharesMachine = SharesMachine.TestCase
TestSharesMachine.settings = hypothesis.settings(max_examples=500)


def _machine_with(kind: type[shares.ShareBook]) -> type[SharesMachine]:
    return type("Mutant", (SharesMachine,), {"book_type": kind})


class TestMutants:
    """The state machine detects deliberately broken share books."""

    def test_detects_level_that_ignores_loans(self) -> None:
        mutants.must_fail(_machine_with(LevelWithoutLoans))

    def test_detects_credit_of_an_earlier_round(self) -> None:
        mutants.must_fail(_machine_with(CreditAnyRound))

    def test_detects_repeated_credit(self) -> None:
        mutants.must_fail(_machine_with(CreditTwice))

    def test_detects_grant_without_debit(self) -> None:
        mutants.must_fail(_machine_with(GrantWithoutDebit))


class TestShareBook:
    """Properties of one book."""

    def _book(self) -> tuple[clocks.SteppedClock, shares.ShareBook]:
        clock = clocks.SteppedClock()
        book = shares.ShareBook(clock)
        book.configure({TEAM: RATE})
        report = book.join_round(shares.Round(1, "a"))
        assert report is not None
        book.mint([report])
        return clock, book

    def test_minted_units_start_without_tokens(self) -> None:
        clock, book = self._book()
        assert isinstance(book.charge(TEAM, 1), shares.Shortfall)
        clock.step(1_000)
        assert isinstance(book.charge(TEAM, 100), shares.Reservation)

    def test_lowered_burst_drops_tokens_at_once(self) -> None:
        clock, book = self._book()
        clock.step(60_000)
        assert book.level(TEAM) == 1_000
        book.configure({TEAM: shares.Rate(100.0, 50.0)})
        assert book.level(TEAM) == 50

    def test_charge_above_the_burst_is_unattainable(self) -> None:
        _, book = self._book()
        outcome = book.charge(TEAM, 1_001)
        assert isinstance(outcome, shares.Shortfall)
        assert not outcome.attainable

    def test_repeated_ask_gets_the_same_grant(self) -> None:
        clock, book = self._book()
        clock.step(10_000)
        borrow_request = shares.BorrowRequest("ask", book.round, TEAM, 100)
        assert book.grant(borrow_request) == book.grant(borrow_request)
        assert book.units_by_team()[TEAM] == 900_000

    def test_round_mints_once(self) -> None:
        _, book = self._book()
        assert book.mint([book.last_report()]) == {}
