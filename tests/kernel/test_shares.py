"""Shares: never above rate and burst, whatever happens to the messages."""

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
    """An ideal bucket that sees every token delivered to the team."""

    def __init__(self) -> None:
        self._level = RATE.burst_tokens
        self._ms = 0

    def deliver(self, tokens: float, now_ms: int) -> None:
        """Take delivered tokens; fails if rate and burst are exceeded."""
        refill = (now_ms - self._ms) * RATE.tokens_per_s / 1000
        self._level = min(RATE.burst_tokens, self._level + refill)
        self._ms = now_ms
        self._level -= tokens
        assert self._level >= -EPSILON, f"{-self._level} tokens above the rate"


@dataclasses.dataclass
class Admitted:
    """A loan with its holder, its time and what was used of it."""

    book: int
    loan: shares.Loan
    at_ms: int
    used: float = 0.0


class SharesMachine(stateful.RuleBasedStateMachine):
    """Books of several instances, and messages that fare badly."""

    book_type = shares.ShareBook

    def __init__(self) -> None:
        super().__init__()
        self.clock = clocks.SteppedClock()
        self.observer = Observer()
        self.books = [self.make_book() for _ in range(BOOKS)]
        self.is_cut = [False] * BOOKS
        self.admitted: list[Admitted] = []
        self.asks: list[tuple[int, int, shares.Ask]] = []
        self.grants: list[tuple[int, shares.Grant]] = []
        self.wanted = shares.Round()
        self.coordinator = 0
        self.reports: dict[int, shares.Report] = {}
        self.count = 0

    def make_book(self) -> shares.ShareBook:
        """Return an empty book with the team's rate."""
        book = self.book_type(self.clock)
        book.configure({TEAM: RATE})
        return book

    def name(self) -> str:
        """Return a new message id."""
        self.count += 1
        return f"m{self.count}"

    book = st.integers(0, BOOKS - 1)

    @stateful.initialize(ms=st.sampled_from([0, 2_000, 20_000]))
    def mint_and_fill(self, ms: int) -> None:
        """Begin with all units at one instance, empty or full."""
        self.whole_round(0)
        self.clock.step(ms)

    @stateful.rule(ms=st.sampled_from([1, 100, 1_000, 10_000]))
    def pass_time(self, ms: int) -> None:
        """Let time pass."""
        self.clock.step(ms)

    @stateful.rule(who=book, tokens=st.sampled_from([1, 50, 300, 700, 1_000]))
    def charge(self, who: int, tokens: int) -> None:
        """Admit a request at an instance."""
        outcome = self.books[who].charge(TEAM, tokens)
        if isinstance(outcome, shares.Loan):
            now_ms = self.clock.now_ms()
            self.admitted.append(Admitted(who, outcome, now_ms))

    @stateful.precondition(lambda self: self.admitted)
    @stateful.rule(
        pick=st.integers(0, 1 << 20), part=st.sampled_from([0.1, 0.5, 1.0])
    )
    def deliver(self, pick: int, part: float) -> None:
        """Deliver a part of a request's tokens."""
        self._deliver(self.admitted[pick % len(self.admitted)], part)

    @stateful.rule()
    def charge_all(self) -> None:
        """Admit as much as every share can carry."""
        for who, book in enumerate(self.books):
            if book.level(TEAM) >= 1:
                self.charge(who, int(book.level(TEAM)))

    @stateful.rule()
    def deliver_all(self) -> None:
        """Deliver everything that is on loan at this moment."""
        for entry in self.admitted:
            self._deliver(entry, 1.0)

    def _deliver(self, entry: Admitted, part: float) -> None:
        tokens = entry.loan.remaining * part
        if entry.loan.closed or tokens <= 0:
            return
        self.books[entry.book].spend(entry.loan, tokens)
        entry.used += tokens
        self.observer.deliver(tokens, self.clock.now_ms())

    @stateful.precondition(lambda self: self.admitted)
    @stateful.rule(pick=st.integers(0, 1 << 20))
    def finish(self, pick: int) -> None:
        """End a request and give back what it did not use."""
        entry = self.admitted[pick % len(self.admitted)]
        self.books[entry.book].settle(entry.loan)

    @stateful.rule(borrower=book, lender=book, tokens=st.integers(1, 900))
    def ask(self, borrower: int, lender: int, tokens: int) -> None:
        """Send an ask."""
        if borrower != lender and not self.is_cut[borrower]:
            book = self.books[borrower]
            ask = shares.Ask(self.name(), book.round, TEAM, tokens)
            self.asks.append((borrower, lender, ask))

    @stateful.precondition(lambda self: self.asks)
    @stateful.rule(pick=st.integers(0, 1 << 20), again=st.booleans())
    def answer(self, pick: int, again: bool) -> None:
        """Let an ask arrive, maybe more than once."""
        index = pick % len(self.asks)
        borrower, lender, ask = self.asks[index]
        if not again:
            del self.asks[index]
        if self.is_cut[lender]:
            return
        grant = self.books[lender].grant(ask)
        if grant is not None:
            self.grants.append((borrower, grant))

    @stateful.rule(borrower=book, lender=book, tokens=st.integers(1, 900))
    def borrow(self, borrower: int, lender: int, tokens: int) -> None:
        """Ask, answer and credit at once, with nothing lost."""
        self.ask(borrower, lender, tokens)
        if self.asks:
            self.answer(len(self.asks) - 1, again=False)
        if self.grants:
            self.credit(len(self.grants) - 1, again=False)

    @stateful.rule(giver=book, taker=book, units=st.integers(1, 1_000_000))
    def give(self, giver: int, taker: int, units: int) -> None:
        """Send units without an ask."""
        if giver == taker or self.is_cut[giver]:
            return
        grant = self.books[giver].give_units(self.name(), TEAM, units)
        if grant is not None:
            self.grants.append((taker, grant))

    @stateful.precondition(lambda self: self.grants)
    @stateful.rule(pick=st.integers(0, 1 << 20), again=st.booleans())
    def credit(self, pick: int, again: bool) -> None:
        """Let a grant arrive, maybe more than once."""
        index = pick % len(self.grants)
        taker, grant = self.grants[index]
        if not again:
            del self.grants[index]
        if not self.is_cut[taker]:
            self.books[taker].credit(grant)

    @stateful.precondition(lambda self: self.grants)
    @stateful.rule(pick=st.integers(0, 1 << 20))
    def lose(self, pick: int) -> None:
        """Lose a grant for good."""
        del self.grants[pick % len(self.grants)]

    @stateful.rule(who=book)
    def cut(self, who: int) -> None:
        """Cut an instance off; it goes on charging while it is fresh."""
        self.is_cut[who] = True

    @stateful.rule(who=book)
    def replace(self, who: int) -> None:
        """Put a new instance in the place of one that is no longer fresh."""
        for entry in self.admitted:
            if entry.book == who:
                entry.loan.closed = True
        self.admitted = [e for e in self.admitted if e.book != who]
        self.books[who] = self.make_book()
        self.is_cut[who] = False
        self.reports.pop(who, None)

    @stateful.rule(coordinator=book)
    def begin_round(self, coordinator: int) -> None:
        """Begin a reconciliation round."""
        self.coordinator = coordinator
        number = max(book.round.number for book in self.books) + 1
        self.wanted = shares.Round(number, str(coordinator))
        self.reports = {}
        self.join_round(coordinator)

    @stateful.rule(who=book)
    def join_round(self, who: int) -> None:
        """Let a seat join the round and report."""
        if self.is_cut[who] or self.wanted == shares.Round():
            return
        report = self.books[who].join(self.wanted)
        if report is not None:
            self.reports[who] = report

    @stateful.rule()
    def mint(self) -> None:
        """Mint, if every seat has reported."""
        if len(self.reports) == BOOKS and not self.is_cut[self.coordinator]:
            reports = list(self.reports.values())
            self.books[self.coordinator].mint(reports)

    @stateful.rule(coordinator=book)
    def whole_round(self, coordinator: int) -> None:
        """Run a whole round at once."""
        self.begin_round(coordinator)
        for who in range(BOOKS):
            self.join_round(who)
        self.mint()

    @stateful.invariant()
    def units_within_total(self) -> None:
        """Assert that no units are made out of nothing."""
        held = sum(b.units_by_team().get(TEAM, 0) for b in self.books)
        assert held <= shares.TOTAL_UNITS, f"{held} units"

    def teardown(self) -> None:
        """Assert the rate over admissions, by what was used in the end."""
        observer = Observer()
        for entry in sorted(self.admitted, key=lambda e: e.at_ms):
            observer.deliver(entry.used, entry.at_ms)


class RefundWithoutLoans(shares.ShareBook):
    """A mutant that refills as if nothing were on loan."""

    def _clip_level(self, team: ids.TeamId, bucket: shares._Bucket) -> None:
        room = self._capacity_tokens(team, bucket.units)
        bucket.level = max(0.0, min(bucket.level, room))


class CreditOfAnyRound(shares.ShareBook):
    """A mutant that credits a grant of an earlier round."""

    def credit(self, grant: shares.Grant) -> bool:
        """Credit whatever the round."""
        return super().credit(dataclasses.replace(grant, round=self.round))


class CreditTwice(shares.ShareBook):
    """A mutant that forgets which grants it has credited."""

    def credit(self, grant: shares.Grant) -> bool:
        """Credit again."""
        self._credited_ms_by_grant_id.clear()
        return super().credit(grant)


class DebitAfter(shares.ShareBook):
    """A mutant that grants without a debit."""

    def grant(self, ask: shares.Ask) -> shares.Grant | None:
        """Grant, and take the debit back."""
        before = self.units_by_team().get(ask.team, 0)
        grant = super().grant(ask)
        if grant is not None:
            self._by_team[ask.team].units = before
        return grant


TestSharesMachine = SharesMachine.TestCase
TestSharesMachine.settings = hypothesis.settings(max_examples=500)


def _machine_with(kind: type[shares.ShareBook]) -> type[SharesMachine]:
    return type("Mutant", (SharesMachine,), {"book_type": kind})


class TestMutants:
    """The machine finds each mechanism that is broken on purpose."""

    def test_refund_without_counting_loans(self) -> None:
        mutants.must_fail(_machine_with(RefundWithoutLoans))

    def test_credit_of_an_earlier_round(self) -> None:
        mutants.must_fail(_machine_with(CreditOfAnyRound))

    def test_credit_twice(self) -> None:
        mutants.must_fail(_machine_with(CreditTwice))

    def test_grant_without_debit(self) -> None:
        mutants.must_fail(_machine_with(DebitAfter))


class TestShareBook:
    """Single properties of a book."""

    def _book(self) -> tuple[clocks.SteppedClock, shares.ShareBook]:
        clock = clocks.SteppedClock()
        book = shares.ShareBook(clock)
        book.configure({TEAM: RATE})
        report = book.join(shares.Round(1, "a"))
        assert report is not None
        book.mint([report])
        return clock, book

    def test_minted_units_start_empty(self) -> None:
        clock, book = self._book()
        assert isinstance(book.charge(TEAM, 1), shares.Shortfall)
        clock.step(1_000)
        assert isinstance(book.charge(TEAM, 100), shares.Loan)

    def test_lowered_burst_clips_at_once(self) -> None:
        clock, book = self._book()
        clock.step(60_000)
        assert book.level(TEAM) == 1_000
        book.configure({TEAM: shares.Rate(100.0, 50.0)})
        assert book.level(TEAM) == 50

    def test_more_than_the_burst_is_unattainable(self) -> None:
        _, book = self._book()
        outcome = book.charge(TEAM, 1_001)
        assert isinstance(outcome, shares.Shortfall)
        assert not outcome.attainable

    def test_repeated_ask_gets_the_same_grant(self) -> None:
        clock, book = self._book()
        clock.step(10_000)
        ask = shares.Ask("ask", book.round, TEAM, 100)
        assert book.grant(ask) == book.grant(ask)
        assert book.units_by_team()[TEAM] == 900_000

    def test_round_mints_once(self) -> None:
        _, book = self._book()
        assert book.mint([book.last_report()]) == {}
