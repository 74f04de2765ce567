"""Tests of the age of the load that peers have reported."""

import asyncio

from cardamom_gateway import model
from cardamom_gateway.requests import attempts
from cardamom_gateway.targets import peer_figures
from cardamom_gateway.targets import target_records
from cardamom_kernel import clocks
from cardamom_kernel import ids
from cardamom_policy import even_load
from tests.gateway import test_target_registry


class TestPeerFigures:
    """How stale the reported load is."""

    def test_a_lone_instance_has_exact_figures(self) -> None:
        """Guards against a random choice without peers."""
        figures = peer_figures.PeerFigures(clocks.SteppedClock(5_000), "a")
        assert figures.figures(is_local=True) == even_load.EXACT
        assert figures.figures(is_local=False) == even_load.EXACT

    def test_ages_grow_until_the_next_report(self) -> None:
        """Guards against a summary that freezes the ages."""
        clock = clocks.SteppedClock(5_000)
        figures = peer_figures.PeerFigures(clock, "a")
        figures.note("p", "a", 4_900)
        figures.note("q", "a", 4_700)
        assert figures.figures(True) == even_load.Figures(2, 200.0)
        clock.step(50)
        assert figures.figures(True) == even_load.Figures(2, 250.0)
        figures.note("q", "a", 5_050)
        clock.step(100)
        assert figures.figures(True) == even_load.Figures(2, 175.0)

    def test_peers_elsewhere_count_only_without_local_targets(self) -> None:
        """Guards against a tolerance for those who send elsewhere."""
        figures = peer_figures.PeerFigures(clocks.SteppedClock(5_000), "a")
        figures.note("p", "a", 4_900)
        figures.note("q", "b", 4_100)
        assert figures.figures(True) == even_load.Figures(1, 100.0)
        assert figures.figures(False) == even_load.Figures(2, 500.0)

    def test_a_silent_peer_is_left_out(self) -> None:
        """Guards against a tolerance for instances that are gone."""
        clock = clocks.SteppedClock(5_000)
        figures = peer_figures.PeerFigures(clock, "a")
        figures.note("p", "a", 5_000)
        clock.step(target_records.MAX_PEER_LOAD_AGE_MS + 1)
        assert figures.figures(True) == even_load.EXACT


class TestOwnSends:
    """The work that this instance sends to a target."""

    def test_an_attempt_counts_as_work_sent(self) -> None:
        """Guards against a tolerance that misses the own rate."""
        setup = test_target_registry.RegistryWithTarget()
        (record,) = setup.targets.by_id.values()

        async def attempt(resident: str, tokens: int) -> None:
            with attempts.Attempt(
                record, setup.clock, tokens, "", (resident, "")
            ):
                pass

        asyncio.run(attempt("m1", 2_200))
        head = model.RequestHead(
            attempt=ids.AttemptId("r"),
            key="",
            deadline_ms=None,
            model="m1",
            adapter="",
            prompt_tokens=2_200,
            answer_tokens=0,
            expected_tokens=0,
            prompt_parts=(),
            last_event="",
        )
        (candidate,) = setup.targets.candidates([record], head, (), False)
        stream_rate = 100.9 / even_load.SEND_WINDOW_MS
        assert abs(candidate.sent_rate - stream_rate) < 1e-6
        asyncio.run(attempt("", 0))
        plain_rate = 22.5 / even_load.SEND_WINDOW_MS
        (candidate,) = setup.targets.candidates([record], head, (), False)
        assert abs(candidate.sent_rate - stream_rate - plain_rate) < 1e-6
