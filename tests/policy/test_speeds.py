"""Tests of the pace of targets."""

import pytest

from cardamom_kernel import ids
from cardamom_policy import dispatching
from cardamom_policy import speeds


def learned_pace(*ratios: float, start_ms: int = 10_000) -> speeds.Pace:
    """Return a pace after answers 200 ms apart, the last at the start."""
    pace = speeds.Pace()
    for number, ratio in enumerate(ratios, 1 - len(ratios)):
        pace.note(ratio, start_ms + number * 200)
    return pace


class TestPace:
    """When a target counts as slow."""

    def test_three_slow_answers_are_needed(self) -> None:
        """Guards against a target that is avoided for one late answer."""
        assert learned_pace(4.0, 4.0).factor(10_000) == 1
        assert learned_pace(4.0, 4.0, 4.0).factor(10_000) > 2

    def test_a_small_difference_changes_nothing(self) -> None:
        """Guards against a choice by the noise of predictions."""
        assert learned_pace(*[1.4] * 10).factor(10_000) == 1
        assert learned_pace(*[0.2] * 10).factor(10_000) == 1

    def test_recovery_is_found_without_requests(self) -> None:
        """Guards against a target that stays unused once it was slow."""
        pace = learned_pace(*[4.0] * 10)
        assert pace.factor(11_000) > 2
        assert pace.factor(14_000) == 1

    def test_recovery_is_found_by_answers(self) -> None:
        """Guards against answers that weigh less than the time."""
        pace = learned_pace(*[4.0] * 10)
        for number in range(4):
            pace.note(1.0, 10_100 + number * 50)
        assert pace.factor(10_250) == 1

    def test_one_answer_cannot_dominate(self) -> None:
        """Guards against a pace of hundreds after a stall."""
        assert speeds.ratio(60_000.0, 50.0) == speeds.MAX_PACE

    def test_short_answers_tell_nothing(self) -> None:
        """Guards against delays on links that look like slowness."""
        assert speeds.ratio(45.0, 5.0) == 1


class TestReports:
    """Paces that peers have learned."""

    def test_a_starting_instance_uses_what_a_peer_has_learned(self) -> None:
        """Guards against each instance that learns it at a price."""
        pace = speeds.Pace()
        pace.receive("p", speeds.Report(4.0, 3, 9_900), 9_950)
        assert pace.factor(10_000) > 3
        assert pace.factor(14_000) == 1

    def test_single_answers_of_instances_count_together(self) -> None:
        """Guards against large fleets in which nobody has three answers."""
        pace = learned_pace(4.0)
        pace.receive("p", speeds.Report(1.52, 1, 9_500), 9_900)
        assert pace.factor(10_000) == 1
        pace.receive("q", speeds.Report(1.52, 1, 9_800), 9_900)
        assert pace.factor(10_000) > 2

    def test_late_answers_at_one_time_are_a_queue(self) -> None:
        """Guards against a slow target by one long prompt before others."""
        pace = learned_pace(4.0)
        for peer in "pqrs":
            pace.receive(peer, speeds.Report(1.52, 1, 9_950), 9_990)
        assert pace.factor(10_000) == 1
        own = speeds.Pace()
        for now_ms in range(9_900, 10_000, 10):
            own.note(4.0, now_ms)
        assert own.factor(10_000) == 1

    def test_own_answers_take_precedence(self) -> None:
        """Guards against a peer's slow link that decides for all."""
        pace = learned_pace(1.0, 1.0, 1.0)
        pace.receive("p", speeds.Report(4.0, 3, 9_900), 9_990)
        assert pace.factor(10_000) == 1

    def test_only_the_slowest_are_reported(self) -> None:
        """Guards against updates that grow with the slow targets."""
        reports = {
            number: speeds.Report(1.0 + number / 10, 3) for number in range(20)
        }
        slowest = speeds.slowest(reports)
        assert sorted(slowest) == list(range(12, 20))
        assert not speeds.slowest({1: speeds.Report(1.49, 3)})


class TestCommonRatio:
    """The median ratio of a service."""

    def test_what_all_targets_share_is_no_pace(self) -> None:
        """Guards against a choice by a wrong constant for a service."""
        common = speeds.CommonRatio()
        relative = [common.note(3.0) for _ in range(200)]
        assert relative[0] == 3.0
        assert relative[-1] == pytest.approx(1.0, abs=0.05)

    def test_some_slow_targets_do_not_shift_it(self) -> None:
        """Guards against slow targets that pass for normal ones."""
        common = speeds.CommonRatio()
        ratios = [1.0, 1.0, 1.0, 4.0] * 100
        assert [common.note(ratio) for ratio in ratios][-1] > 3.5


def candidate(
    name: str, pace: float, tokens: float = 0.0
) -> dispatching.Candidate:
    """Return a local target with a pace."""
    return dispatching.Candidate(
        ids.TargetId(name), 64, 0, tokens, True, pace=pace
    )


class TestChoice:
    """The use of slow targets."""

    def test_a_slow_target_is_used_if_it_is_still_the_fastest(self) -> None:
        """Guards against slow targets that stay idle under load."""
        slow, busy = candidate("a", 4.0), candidate("b", 1.0, 8_000.0)
        choice = dispatching.choose([slow, busy], 1_000, 1_000.0)
        assert choice is not None and choice.id == "a"
        assert choice.first_event_ms == pytest.approx(4 * 1_000 / 22)
        assert choice.unpaced_ms == pytest.approx(1_000 / 22)

    def test_a_slow_target_gets_no_request_that_is_late_there(self) -> None:
        """Guards against requests that run to their deadline there."""
        slow, busy = candidate("a", 8.0), candidate("b", 1.0, 40_000.0)
        choice = dispatching.choose([slow, busy], 4_000, 1_000.0)
        assert choice is not None and choice.id == "b"
        choice = dispatching.choose([slow], 4_000, 1_000.0)
        assert choice is not None and choice.id == "a"


class TestPauses:
    """Prompts that pause running streams."""

    def chosen(self, tokens: int, interval_objective_ms: float) -> str:
        """Return the choice between many streams and a longer queue."""
        streams = dispatching.Candidate(
            ids.TargetId("a"), 64, 20, 3_000.0, True
        )
        queue = dispatching.Candidate(ids.TargetId("b"), 64, 1, 4_400.0, True)
        choice = dispatching.choose(
            [streams, queue],
            tokens,
            1_000.0,
            interval_objective_ms=interval_objective_ms,
        )
        assert choice is not None
        return choice.id

    def test_a_long_prompt_goes_where_few_streams_run(self) -> None:
        """Guards against events that come late for all running streams."""
        assert self.chosen(5_000, 400.0) == "b"

    def test_a_prompt_that_pauses_nobody_goes_to_the_fastest(self) -> None:
        """Guards against a cost for pauses within the objective."""
        assert self.chosen(1_000, 400.0) == "a"

    def test_routes_without_the_objective_are_served_as_before(self) -> None:
        """Guards against a cost that nobody has asked for."""
        assert self.chosen(5_000, 0.0) == "a"
