"""Stop acting on stale data with the freshness module.

Run it with ``python examples/library/freshness.py``.
"""

from cardamom_kernel import clocks
from cardamom_kernel import freshness
from cardamom_kernel import ids
from cardamom_kernel import rosters
from cardamom_kernel import suspicion


def main() -> None:
    """Reach a quorum, lose it, and count a request's crashes."""
    clock = clocks.SteppedClock(10_000)
    seats = {
        ids.SeatId(name): rosters.Seat(
            ids.SeatId(name),
            ids.InstanceId(f"process-{name}"),
            "http://10.0.0.1:8081",
            ids.DataCentreId("a"),
        )
        for name in ("a", "b", "c")
    }
    tracker = freshness.Freshness(clock, period_ms=2_000)
    tracker.set_roster(
        rosters.Roster(1, seats, frozenset()),
        own_seat=ids.SeatId("a"),
    )
    print(f"without peers: fresh is {tracker.is_fresh()}")
    tracker.confirm_seat(ids.SeatId("b"), sent_ms=clock.now_ms())
    print(f"with one of two peers: fresh is {tracker.is_fresh()}")
    clock.step(2_000)
    print(f"after two seconds: fresh is {tracker.is_fresh()}")
    suspects = suspicion.Suspicions(clock)
    suspects.record_crash("request-1", "engine-1/boot-1")
    suspects.record_crash("request-1", "engine-2/boot-4")
    print(f"after two crashes: refused is {suspects.is_refused('request-1')}")


if __name__ == "__main__":
    main()
