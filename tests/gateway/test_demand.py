"""What callers ask of models, and how long they must wait."""

from cardamom_gateway import demand
from cardamom_kernel import clocks
from cardamom_policy import loading_waits
from cardamom_policy import tiering

SIZE = tiering.ModelSize(70_000.0, 600.0, 1_200.0, 5_800.0)


class TestDemand:
    """Demand of all instances, as the holder of orders sees it."""

    def test_work_follows_a_shift_within_seconds(self) -> None:
        """A model that falls silent loses its weight."""
        clock = clocks.SteppedClock(1_000)
        meter = demand.DemandMeter(clock)
        view = demand.DemandView(clock)
        for _ in range(20):
            meter.note("m1", 2_200, 20, 800)
            clock.step(200)
            view.heard("a@1", meter.news(clock.now_ms() - 1_000))
        assert view.work_per_s("m1") > 400.0
        clock.step(5_000)
        assert view.work_per_s("m1") < 50.0

    def test_a_caller_that_will_come_back_waits_on(self) -> None:
        """Its model is loaded meanwhile, and no longer wanted afterwards."""
        clock = clocks.SteppedClock(1_000)
        meter = demand.DemandMeter(clock)
        meter.note("m1", 100, 20, 800)
        meter.promise("m1", 6_000)
        clock.step(3_000)
        meter.promise("m1", 3_000)
        news = meter.news(clock.now_ms())["m1"]
        assert (news.waiting, news.oldest_wait_ms) == (1, 3_000)
        clock.step(3_000 + demand.RETURN_MS + 1)
        assert "m1" not in meter.news(clock.now_ms())

    def test_urgency_is_remembered(self) -> None:
        """A model that falls silent may be asked for again at once."""
        clock = clocks.SteppedClock(1_000)
        meter = demand.DemandMeter(clock)
        view = demand.DemandView(clock)
        meter.note("m1", 2_200, 20, 800)
        meter.note("m2", 2_200, 20, 5_000)
        view.heard("a@1", meter.news(0))
        clock.step(60_000)
        view.heard("a@1", {})
        assert view.is_urgent("m1") and not view.is_urgent("m2")
        assert view.is_seen("m2") and not view.is_seen("m3")

    def test_waiting_requests_are_told_with_their_age(self) -> None:
        """And no longer once they have left."""
        clock = clocks.SteppedClock(1_000)
        meter = demand.DemandMeter(clock)
        view = demand.DemandView(clock)
        meter.note("m1", 100, 10, 5_000)
        with meter.waiting("m1"):
            clock.step(300)
            told = meter.news(0)
            view.heard("a@1", told)
            assert view.waiting("m1", 1_000) == (1, 300)
        view.heard("a@1", meter.news(0))
        assert view.waiting("m1", 1_000) == (0, 0)

    def test_the_form_between_instances(self) -> None:
        """What is told comes back as it was."""
        news = demand.ModelNews(12.0, 3, 400, True)
        assert demand.ModelNews.decode(news.export()) == news


class TestLoadingWaits:
    """The wait for a model that no engine holds."""

    def test_a_load_under_way_tells_its_end(self) -> None:
        """The first of several counts."""
        due_ms = loading_waits.first_due_ms([9_000, 7_000], 5_000)
        assert due_ms == 2_000
        wait_ms = loading_waits.wait_ms(SIZE, due_ms, True)
        assert wait_ms == 2_000 + loading_waits.FIRST_EVENT_MS

    def test_without_one_the_place_of_the_weights_tells(self) -> None:
        """A disk is faster than the store."""
        disk_ms = loading_waits.wait_ms(SIZE, None, True)
        store_ms = loading_waits.wait_ms(SIZE, None, False)
        assert store_ms - disk_ms == SIZE.store_ms - SIZE.disk_ms
        assert loading_waits.first_due_ms([], 5_000) is None
