"""Limit a team's rate across two processes with the shares module.

Run it with ``python examples/library/rate_limit.py``.
"""

from cardamom_kernel import clocks
from cardamom_kernel import ids
from cardamom_kernel import shares

TEAM = ids.TeamId("team-a")
RATE = shares.Rate(tokens_per_s=100.0, burst_tokens=1_000.0)


def main() -> None:
    """Split a token bucket between two books and transfer tokens."""
    clock = clocks.SteppedClock()
    first, second = shares.ShareBook(clock), shares.ShareBook(clock)
    for book in (first, second):
        book.configure({TEAM: RATE})
    first_round = shares.Round(1, "first")
    reports = [first.join_round(first_round), second.join_round(first_round)]
    minted = first.mint([report for report in reports if report is not None])
    print(f"first process: minted {minted[TEAM]} units")
    clock.step(10_000)
    shortfall = second.charge(TEAM, 300)
    print(f"second process before the transfer: {shortfall}")
    borrow_request = shares.BorrowRequest(
        "ask-1", second.round, TEAM, tokens=300
    )
    grant = first.grant(borrow_request)
    assert grant is not None
    second.credit(grant)
    reservation = second.charge(TEAM, 300)
    assert isinstance(reservation, shares.Reservation)
    second.spend(reservation, 120)
    second.close_reservation(reservation)
    print(f"second process after it: {second.level(TEAM):.0f} tokens unused")


if __name__ == "__main__":
    main()
