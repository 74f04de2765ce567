"""Leases: one holder at a time, and numbers that only grow."""

import asyncio
import typing

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st
import pytest

from cardamom_kernel import clocks
from cardamom_kernel import ids
from cardamom_kernel import leases
from cardamom_kernel import tables
from tests import fakes

HOLDERS = 3


class LeaseMachine(fakes.TableMachine):
    """Contenders with clocks that cannot be compared, and pauses."""

    lease_type = leases.Lease

    def __init__(self) -> None:
        super().__init__()
        self.clocks = [clocks.SteppedClock(n * 77_777) for n in range(HOLDERS)]
        self.leases = [
            self.lease_type(
                self.table,
                clock,
                "orders",
                ids.InstanceId(f"entry-{n}"),
            )
            for n, clock in enumerate(self.clocks)
        ]
        self.highest = 0

    @stateful.rule(who=st.integers(0, HOLDERS - 1))
    def contend(self, who: int) -> None:
        """Let an instance contend."""
        self.runner.start(self.leases[who].contend())
        self.runner.settle()

    @stateful.rule(who=st.integers(0, HOLDERS - 1))
    def contend_undisturbed(self, who: int) -> None:
        """Let an instance contend while the table answers at once."""
        before = len(self.table.waiting)
        self.contend(who)
        while len(self.table.waiting) > before:
            self.table.decide(before, fakes.Fate.ANSWERED)
            self.runner.settle()

    @stateful.rule(who=st.integers(0, HOLDERS - 1))
    def release(self, who: int) -> None:
        """Let an instance give its lease up."""
        self.runner.start(self.leases[who].release())
        self.runner.settle()

    @stateful.rule(ms=st.sampled_from([50, 2_000, 6_500, 7_000]))
    def pass_time(self, ms: int) -> None:
        """Let the same time pass everywhere."""
        for clock in self.clocks:
            clock.step(ms)

    @stateful.invariant()
    def one_holder(self) -> None:
        """Assert that two instances never hold the lease at once."""
        fences = [f for lease in self.leases if (f := lease.fence())]
        assert len(fences) <= 1, fences
        for fence in fences:
            assert fence.number >= self.highest
            self.highest = fence.number


class TrustFromTheAnswer(leases.Lease):
    """A mutant that counts the lease from the answer on."""

    async def _write(self, row: object) -> leases.LeaseState:
        """Renew and extend by the time the answer took."""
        state = await super()._write(row)  # type: ignore[arg-type]
        if state is leases.LeaseState.HELD and self._fence is not None:
            until_ms = self._clock.now_ms() + self._ttl_ms
            self._fence = leases.Fence(
                self._fence.number, until_ms, self._fence.acquired_ms
            )
        return state


class NoWait(leases.Lease):
    """A mutant that takes over without watching the row first."""

    def _may_write(self, row: object) -> bool:
        """Write at once."""
        return True


TestLeaseMachine = LeaseMachine.TestCase
TestLeaseMachine.settings = hypothesis.settings(max_examples=300)


def _answer_that_comes_late(machine: LeaseMachine) -> None:
    """Let a renewal take effect at once and be answered much later."""
    machine.contend_undisturbed(0)
    machine.contend(0)
    machine.decide(0, fakes.Fate.ANSWERED)
    machine.take_effect(0)
    machine.contend_undisturbed(1)
    machine.pass_time(5_000)
    machine.decide(0, fakes.Fate.ANSWERED)
    machine.pass_time(2_000)
    machine.contend_undisturbed(1)
    machine.one_holder()


def _holder_that_was_just_seen(machine: LeaseMachine) -> None:
    """Contend right after another has won."""
    machine.contend_undisturbed(0)
    machine.contend_undisturbed(1)
    machine.one_holder()


class TestMutants:
    """Each mechanism that is broken on purpose is found."""

    @pytest.mark.parametrize(
        ("scene", "kind"),
        [
            (_answer_that_comes_late, TrustFromTheAnswer),
            (_holder_that_was_just_seen, NoWait),
        ],
    )
    def test_scene(
        self,
        scene: typing.Callable[[LeaseMachine], None],
        kind: type[leases.Lease],
    ) -> None:
        for wanted in (leases.Lease, kind):
            machine = type("M", (LeaseMachine,), {"lease_type": wanted})()
            if wanted is leases.Lease:
                scene(machine)
            else:
                with pytest.raises(AssertionError):
                    scene(machine)
            machine.teardown()


class TestRelease:
    """A release beside a contention of the same instance."""

    def test_release_under_way_does_not_end_a_later_lease(self) -> None:
        machine = LeaseMachine()
        machine.contend_undisturbed(2)
        machine.release(2)
        machine.contend(2)
        while machine.table.waiting:
            machine.decide(0, fakes.Fate.ANSWERED)
            machine.one_holder()
        machine.contend_undisturbed(0)
        machine.one_holder()
        machine.teardown()


class Outage(fakes.MemoryTable):
    """A table that can be away."""

    is_away = False

    async def read_latest(
        self, keys: typing.Sequence[str]
    ) -> dict[str, tables.Row]:
        """Return the rows, or raise."""
        if self.is_away:
            raise tables.TableUnavailable("away")
        return await self.read(keys)


class Contenders:
    """Two instances, A and B, on one table and one clock."""

    RETURN_MS = 1_500

    def __init__(self) -> None:
        self.clock = clocks.SteppedClock(0)
        self.table = Outage()

    def lease(self, name: str) -> leases.Lease:
        """Return a new process of an instance."""
        return leases.Lease(
            self.table,
            self.clock,
            "orders",
            ids.InstanceId(name),
            return_ms=self.RETURN_MS,
        )


class TestReturn:
    """A process that gives its lease up and is restarted."""

    def test_it_takes_the_lease_again_before_others(self) -> None:
        """They wait until it could have come back."""

        async def run() -> None:
            scene = Contenders()
            old, other = scene.lease("a"), scene.lease("b")
            assert await old.contend() is leases.LeaseState.HELD
            await old.release({"count": 3})
            assert await other.contend() is leases.LeaseState.OTHER
            scene.clock.step(scene.RETURN_MS - 1)
            assert await other.contend() is leases.LeaseState.OTHER
            back = scene.lease("a")
            assert await back.contend() is leases.LeaseState.HELD
            assert back.seen_note == {"count": 3}
            assert await other.contend() is leases.LeaseState.OTHER

        asyncio.run(run())

    def test_if_it_stays_away_another_takes_it(self) -> None:
        """With the note that it left."""

        async def run() -> None:
            scene = Contenders()
            old, other = scene.lease("a"), scene.lease("b")
            await old.contend()
            await old.release({"count": 3})
            await other.contend()
            scene.clock.step(scene.RETURN_MS)
            assert await other.contend() is leases.LeaseState.HELD
            assert other.seen_holder == "" and other.seen_note == {"count": 3}

        asyncio.run(run())


class TestOutage:
    """A table that nobody reached for a while."""

    def test_the_wait_begins_anew(self) -> None:
        """The holder may have kept its lease with good reason."""

        async def run() -> None:
            scene = Contenders()
            holder, other = scene.lease("a"), scene.lease("b")
            await holder.contend()
            await other.contend()
            scene.table.is_away = True
            scene.clock.step(leases.LEASE_TTL_MS)
            assert await other.contend() is leases.LeaseState.UNREACHED
            scene.table.is_away = False
            scene.clock.step(1_000)
            assert await other.contend() is leases.LeaseState.OTHER
            scene.clock.step(leases.LEASE_TTL_MS + other.drift_ms)
            assert await other.contend() is leases.LeaseState.HELD

        asyncio.run(run())
