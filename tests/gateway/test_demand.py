"""Tests of the demand for models and of waits for a load."""

from cardamom_gateway import demand
from cardamom_kernel import clocks
from cardamom_policy import loading_waits
from cardamom_policy import tiering

SIZE = tiering.ModelSize(70_000.0, 600.0, 1_200.0, 5_800.0)


class TestDemand:
    """The demand of all instances, as the lease holder sees it."""

    def test_work_decays_within_seconds(self) -> None:
        """An idle model would otherwise keep its engines."""
        clock = clocks.SteppedClock(1_000)
        meter = demand.DemandMeter(clock)
        view = demand.DemandView(clock)
        for _ in range(20):
            meter.note("m1", 2_200, 20, 800)
            clock.step(200)
            view.receive("a@1", meter.report(clock.now_ms() - 1_000))
        assert view.work_per_s("m1") > 400.0
        clock.step(5_000)
        assert view.work_per_s("m1") < 50.0

    def test_returning_caller_counts_as_waiting(self) -> None:
        """Its model must be loaded meanwhile, but not after the retry."""
        clock = clocks.SteppedClock(1_000)
        meter = demand.DemandMeter(clock)
        meter.note("m1", 100, 20, 800)
        meter.note_retry_after("m1", 6_000)
        clock.step(3_000)
        meter.note_retry_after("m1", 3_000)
        report = meter.report(clock.now_ms())["m1"]
        assert (report.waiting, report.oldest_wait_ms) == (1, 3_000)
        clock.step(3_000 + demand.RETRY_GRACE_MS + 1)
        assert "m1" not in meter.report(clock.now_ms())

    def test_urgency_outlasts_idleness(self) -> None:
        """An idle model may be requested again at any time."""
        clock = clocks.SteppedClock(1_000)
        meter = demand.DemandMeter(clock)
        view = demand.DemandView(clock)
        meter.note("m1", 2_200, 20, 800)
        meter.note("m2", 2_200, 20, 5_000)
        view.receive("a@1", meter.report(0))
        clock.step(60_000)
        view.receive("a@1", {})
        assert view.is_urgent("m1") and not view.is_urgent("m2")
        assert view.has_had_requests("m2") and not view.has_had_requests("m3")

    def test_waiting_requests_are_reported_with_their_age(self) -> None:
        """A request that has ended must not count as waiting."""
        clock = clocks.SteppedClock(1_000)
        meter = demand.DemandMeter(clock)
        view = demand.DemandView(clock)
        meter.note("m1", 100, 10, 5_000)
        with meter.waiting("m1"):
            clock.step(300)
            reported = meter.report(0)
            view.receive("a@1", reported)
            assert view.waiting("m1", 1_000) == (1, 300)
        view.receive("a@1", meter.report(0))
        assert view.waiting("m1", 1_000) == (0, 0)

    def test_message_form_round_trip(self) -> None:
        """Demand must survive the message between instances."""
        report = demand.ModelDemand(12.0, 3, 400, True)
        assert demand.ModelDemand.decode(report.export()) == report


class TestLoadingWaits:
    """The wait for a model that no engine holds."""

    def test_wait_ends_with_the_first_load(self) -> None:
        """Of several loads in progress, the first to end counts."""
        due_ms = loading_waits.first_due_ms([9_000, 7_000], 5_000)
        assert due_ms == 2_000
        wait_ms = loading_waits.wait_ms(SIZE, due_ms, True)
        assert wait_ms == 2_000 + loading_waits.FIRST_EVENT_MS

    def test_wait_depends_on_the_place_of_the_weights(self) -> None:
        """Without a load in progress, a disk is faster than the store."""
        disk_ms = loading_waits.wait_ms(SIZE, None, True)
        store_ms = loading_waits.wait_ms(SIZE, None, False)
        assert store_ms - disk_ms == SIZE.store_load_ms - SIZE.disk_load_ms
        assert loading_waits.first_due_ms([], 5_000) is None
