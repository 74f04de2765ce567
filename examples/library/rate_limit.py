"""Hold a team to its rate over two processes with the shares library.

Run it with ``python examples/library/rate_limit.py``.
"""

from cardamom_kernel import clocks
from cardamom_kernel import ids
from cardamom_kernel import shares

TEAM = ids.TeamId("team-a")
RATE = shares.Rate(tokens_per_s=100.0, burst_tokens=1_000.0)


def main() -> None:
    """Share one bucket between two books and move tokens on demand."""
    clock = clocks.SteppedClock()
    one, two = shares.ShareBook(clock), shares.ShareBook(clock)
    for book in (one, two):
        book.configure({TEAM: RATE})
    first_round = shares.Round(1, "one")
    reports = [one.join(first_round), two.join(first_round)]
    minted = one.mint([report for report in reports if report is not None])
    print(f"minted {minted[TEAM]} units at the first process")
    clock.step(10_000)
    short = two.charge(TEAM, 300)
    print(f"the second process alone: {short}")
    ask = shares.Ask("ask-1", two.round, TEAM, tokens=300)
    grant = one.grant(ask)
    assert grant is not None
    two.credit(grant)
    loan = two.charge(TEAM, 300)
    assert isinstance(loan, shares.Loan)
    two.spend(loan, 120)
    two.settle(loan)
    print(f"with a grant it runs; {two.level(TEAM):.0f} tokens came back")


if __name__ == "__main__":
    main()
