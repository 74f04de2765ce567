"""Tests of learning and sharing the paces of targets."""

import asyncio
import typing

from cardamom_gateway import metrics
from cardamom_gateway.requests import attempts
from cardamom_gateway.targets import target_speeds
from cardamom_kernel import clocks
from cardamom_policy import dispatching
from cardamom_policy import speeds
from tests.gateway import test_target_registry

ENTRY = test_target_registry.ENTRY


class Instance:
    """The paces that one instance knows of one target."""

    def __init__(self) -> None:
        self.setup = test_target_registry.RegistryWithTarget()
        self.clock: clocks.SteppedClock = self.setup.clock
        self.speeds = target_speeds.TargetSpeeds(
            self.clock, self.setup.targets, metrics.Metrics()
        )

    @property
    def pace(self) -> float:
        """Return the pace that predictions of streams are multiplied by."""
        return self.setup.targets.by_id[ENTRY.id].pace(
            "m1", self.clock.now_ms()
        )

    def attempt(
        self,
        took_ms: int,
        queued_ms: int = 0,
        has_come: bool = True,
        kind: speeds.Kind = speeds.Kind.STREAM,
    ) -> None:
        """Play an attempt whose first event is predicted after 100 ms."""

        async def play() -> None:
            record = self.setup.targets.by_id[ENTRY.id]
            attempt = attempts.Attempt(
                record, self.clock, 2_200, "", ("m1", "")
            )
            choice = dispatching.Choice(
                ENTRY.id, 100.0, False, unpaced_ms=100.0
            )
            self.speeds.watch(attempt, kind, choice)
            with attempt:
                self.clock.step(queued_ms)
                attempt.note_sent()
                self.clock.step(took_ms)
                if has_come:
                    attempt.note_first_event()
                    self.clock.step(5_000 if queued_ms else 0)
                    attempt.note_first_event()

        asyncio.run(play())


class TestLearning:
    """Which answers count."""

    def test_slow_first_events_are_learned(self) -> None:
        """Guards against requests that go on to a slow target."""
        instance = Instance()
        for _ in range(3):
            instance.attempt(400)
        assert instance.pace > 2

    def test_the_wait_before_sending_is_left_out(self) -> None:
        """Guards against a slow target by waits for a connection.

        Later events of the stream are no first events, either.
        """
        instance = Instance()
        for _ in range(5):
            instance.attempt(100, queued_ms=2_000)
        assert instance.pace == 1

    def test_events_that_were_read_late_are_left_out(self) -> None:
        """Guards against slow targets by a lag of the event loop."""
        instance = Instance()
        instance.speeds.has_lagged = lambda since_ms: True
        for _ in range(5):
            instance.attempt(400)
        assert instance.pace == 1

    def test_an_answer_that_never_comes_counts(self) -> None:
        """Guards against targets that are slow beyond every deadline."""
        instance = Instance()
        for _ in range(5):
            instance.attempt(90, has_come=False)
        assert instance.pace == 1
        for _ in range(4):
            instance.attempt(800, has_come=False)
        assert instance.pace > 2

    def test_streams_and_plain_calls_are_separate(self) -> None:
        """Guards against prompts avoided because plain calls are slow."""
        instance = Instance()
        for _ in range(4):
            instance.attempt(400, kind=speeds.Kind.PLAIN)
        assert instance.pace == 1

    def test_a_restart_begins_anew(self) -> None:
        """Guards against the pace of an earlier incarnation."""
        instance = Instance()
        for _ in range(3):
            instance.attempt(400)
        instance.setup.put(started_ms=2_000)
        assert instance.pace == 1


class TestSharing:
    """Slow paces in state updates."""

    def exported(self) -> tuple[Instance, dict[str, typing.Any]]:
        """Return an instance that knows a slow target, and its report."""
        instance = Instance()
        for _ in range(3):
            instance.attempt(400)
        return instance, {target_speeds.FIELD: instance.speeds.export()}

    def test_a_starting_instance_knows_slow_targets(self) -> None:
        """Guards against each instance that finds a slow target itself."""
        sender, update = self.exported()
        receiver = Instance()
        receiver.speeds.receive("p", update, 20)
        assert receiver.pace > 2
        assert not receiver.speeds.export()  # only own answers are told

    def test_another_incarnation_is_left_alone(self) -> None:
        """Guards against a restarted target that is avoided."""
        _, update = self.exported()
        receiver = Instance()
        receiver.setup.put(started_ms=2_000)
        receiver.speeds.receive("p", update, 20)
        assert receiver.pace == 1

    def test_normal_targets_add_no_bytes(self) -> None:
        """Guards against updates that grow without a slow target."""
        instance = Instance()
        for _ in range(3):
            instance.attempt(100)
        assert instance.speeds.export() == {}
