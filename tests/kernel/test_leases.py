"""Leases: one holder at a time, and fencing numbers that never decrease."""

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
    """Contenders with unrelated clocks over a table that loses responses."""

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

    @stateful.rule(holder=st.integers(0, HOLDERS - 1))
    def contend(self, holder: int) -> None:
        """Start a contention of an instance."""
        self.runner.start(self.leases[holder].contend())
        self.runner.settle()

    @stateful.rule(holder=st.integers(0, HOLDERS - 1))
    def contend_undisturbed(self, holder: int) -> None:
        """Run a whole contention of an instance with no response lost."""
        waiting_before = len(self.table.waiting)
        self.contend(holder)
        while len(self.table.waiting) > waiting_before:
            self.table.decide_outcome(
                waiting_before, fakes.CommitOutcome.ANSWERED
            )
            self.runner.settle()

    @stateful.rule(holder=st.integers(0, HOLDERS - 1))
    def release(self, holder: int) -> None:
        """Start a release by an instance."""
        self.runner.start(self.leases[holder].release())
        self.runner.settle()

    @stateful.rule(ms=st.sampled_from([50, 2_000, 6_500, 7_000]))
    def pass_time(self, ms: int) -> None:
        """Advance all clocks by the same time."""
        for clock in self.clocks:
            clock.step(ms)

    @stateful.invariant()
    def at_most_one_holder(self) -> None:
        """Assert that two instances never hold the lease at once."""
        fences = [f for lease in self.leases if (f := lease.fence())]
        assert len(fences) <= 1, fences
        for fence in fences:
            assert fence.number >= self.highest
            self.highest = fence.number


class StartAtResponse(leases.Lease):
    """A mutant whose lease starts when the response arrives."""

    async def _write(self, row: object) -> leases.LeaseState:
        """Renew, and end the lease one period after the response."""
        state = await super()._write(row)  # type: ignore[arg-type]
        if state is leases.LeaseState.HELD and self._fence is not None:
            until_ms = self._clock.now_ms() + self._ttl_ms
            self._fence = leases.Fence(
                self._fence.number, until_ms, self._fence.acquired_ms
            )
        return state


class TakeOverAtOnce(leases.Lease):
    """A mutant that takes over without waiting for the lease to end."""

    def _may_write(self, row: object) -> bool:
        """Allow every write."""
        return True


TestLeaseMachine = LeaseMachine.TestCase
TestLeaseMachine.settings = hypothesis.settings(max_examples=300)


def _late_response_to_renewal(machine: LeaseMachine) -> None:
    """Delay the response to a renewal that took effect at once."""
    machine.contend_undisturbed(0)
    machine.contend(0)
    machine.decide(0, fakes.CommitOutcome.ANSWERED)
    machine.take_effect(0)
    machine.contend_undisturbed(1)
    machine.pass_time(5_000)
    machine.decide(0, fakes.CommitOutcome.ANSWERED)
    machine.pass_time(2_000)
    machine.contend_undisturbed(1)
    machine.at_most_one_holder()


def _contention_after_win(machine: LeaseMachine) -> None:
    """Contend directly after another instance has won the lease."""
    machine.contend_undisturbed(0)
    machine.contend_undisturbed(1)
    machine.at_most_one_holder()


class TestMutants:
    """Each scenario passes normally and fails with its mutant."""

    @pytest.mark.parametrize(
        ("scenario", "mutant"),
        [
            (_late_response_to_renewal, StartAtResponse),
            (_contention_after_win, TakeOverAtOnce),
        ],
    )
    def test_scenario_detects_mutant(
        self,
        scenario: typing.Callable[[LeaseMachine], None],
        mutant: type[leases.Lease],
    ) -> None:
        for lease_type in (leases.Lease, mutant):
            machine = type("M", (LeaseMachine,), {"lease_type": lease_type})()
            if lease_type is leases.Lease:
                scenario(machine)
            else:
                with pytest.raises(AssertionError):
                    scenario(machine)
            machine.teardown()


class TestRelease:
    """A release during a contention of the same instance."""

    def test_pending_release_does_not_end_a_later_lease(self) -> None:
        machine = LeaseMachine()
        machine.contend_undisturbed(2)
        machine.release(2)
        machine.contend(2)
        while machine.table.waiting:
            machine.decide(0, fakes.CommitOutcome.ANSWERED)
            machine.at_most_one_holder()
        machine.contend_undisturbed(0)
        machine.at_most_one_holder()
        machine.teardown()


class UnreliableTable(fakes.MemoryTable):
    """A table that can be made unavailable."""

    is_unavailable = False

    async def read_latest(
        self, keys: typing.Sequence[str]
    ) -> dict[str, tables.Row]:
        """Return the rows, or raise if the table is unavailable."""
        if self.is_unavailable:
            raise tables.TableUnavailable("unavailable")
        return await self.read(keys)


class Contenders:
    """Creates contenders on one table and one clock."""

    RETURN_MS = 1_500

    def __init__(self) -> None:
        self.clock = clocks.SteppedClock(0)
        self.table = UnreliableTable()

    def lease(self, name: str, number_floor: int = 0) -> leases.Lease:
        """Return the lease of a new process of an instance."""
        return leases.Lease(
            self.table,
            self.clock,
            "orders",
            ids.InstanceId(name),
            return_ms=self.RETURN_MS,
            number_floor=lambda: number_floor,
        )


class TestReturn:
    """A process that releases its lease and is restarted."""

    def test_restarted_holder_gets_the_lease_back(self) -> None:
        """Others must not take the lease while the holder restarts."""

        async def run() -> None:
            contenders = Contenders()
            old, other = contenders.lease("a"), contenders.lease("b")
            assert await old.contend() is leases.LeaseState.HELD
            await old.release({"count": 3})
            assert await other.contend() is leases.LeaseState.OTHER
            contenders.clock.step(contenders.RETURN_MS - 1)
            assert await other.contend() is leases.LeaseState.OTHER
            restarted = contenders.lease("a")
            assert await restarted.contend() is leases.LeaseState.HELD
            assert restarted.seen_note == {"count": 3}
            assert await other.contend() is leases.LeaseState.OTHER

        asyncio.run(run())

    def test_another_takes_the_lease_after_the_return_time(self) -> None:
        """The successor must also receive the note of the last holder."""

        async def run() -> None:
            contenders = Contenders()
            old, other = contenders.lease("a"), contenders.lease("b")
            await old.contend()
            await old.release({"count": 3})
            await other.contend()
            contenders.clock.step(contenders.RETURN_MS)
            assert await other.contend() is leases.LeaseState.HELD
            assert other.seen_holder == "" and other.seen_note == {"count": 3}

        asyncio.run(run())


class TestOutage:
    """A table that is unavailable for a while."""

    def test_contender_waits_again_after_an_outage(self) -> None:
        """The holder may have extended its lease during the outage."""

        async def run() -> None:
            contenders = Contenders()
            holder, other = contenders.lease("a"), contenders.lease("b")
            await holder.contend()
            await other.contend()
            contenders.table.is_unavailable = True
            contenders.clock.step(leases.LEASE_TTL_MS)
            assert await other.contend() is leases.LeaseState.UNREACHED
            contenders.table.is_unavailable = False
            contenders.clock.step(1_000)
            assert await other.contend() is leases.LeaseState.OTHER
            contenders.clock.step(leases.LEASE_TTL_MS + other.drift_ms)
            assert await other.contend() is leases.LeaseState.HELD

        asyncio.run(run())


class TestOlderCopy:
    """A table that comes back from a copy without the latest writes."""

    def test_holder_restores_its_row_and_number(self) -> None:
        """It would give up a lease that nobody else can have."""

        async def run() -> None:
            contenders = Contenders()
            first, holder = contenders.lease("a"), contenders.lease("b")
            await first.contend()
            copy = dict(contenders.table.row_by_key)
            await first.release()
            contenders.clock.step(contenders.RETURN_MS)
            await holder.contend()
            contenders.clock.step(contenders.RETURN_MS)
            assert await holder.contend() is leases.LeaseState.HELD
            contenders.table.row_by_key = copy
            assert await holder.contend() is leases.LeaseState.HELD
            fence = holder.fence()
            assert fence is not None and fence.number == 2
            assert await first.contend() is leases.LeaseState.OTHER

        asyncio.run(run())

    @pytest.mark.parametrize("is_row_lost", [True, False])
    def test_former_holder_waits_and_takes_a_higher_number(
        self, is_row_lost: bool
    ) -> None:
        """Two holders could send orders under one number."""

        async def run() -> None:
            contenders = Contenders()
            await contenders.lease("a").contend()
            if is_row_lost:
                contenders.table.row_by_key.clear()
            restarted = contenders.lease("a", number_floor=5)
            assert await restarted.contend() is leases.LeaseState.OTHER
            wait_ms = leases.LEASE_TTL_MS + restarted.drift_ms
            contenders.clock.step(wait_ms - 1)
            assert await restarted.contend() is leases.LeaseState.OTHER
            contenders.clock.step(1)
            assert await restarted.contend() is leases.LeaseState.HELD
            fence = restarted.fence()
            assert fence is not None and fence.number == 6

        asyncio.run(run())


class TestExtension:
    """A holder that extends its lease while no contender reaches the table."""

    def test_wait_begins_after_the_extensions_that_the_contender_allowed(
        self,
    ) -> None:
        """Two holders at once after an outage in which none tried to write.

        The contender read nothing during the outage, so the row looks
        unchanged since before it.
        """

        async def run() -> None:
            contenders = Contenders()
            clock, told_ms = contenders.clock, [0]
            holder = contenders.lease("a")
            other = leases.Lease(
                contenders.table,
                clock,
                "orders",
                ids.InstanceId("b"),
                told_unreached_ms=lambda: told_ms[0],
            )
            await holder.contend()
            assert await other.contend() is leases.LeaseState.OTHER
            for _ in range(3):
                clock.step(leases.LEASE_TTL_MS // 2)
                told_ms[0] = clock.now_ms()
                holder.extend(clock.now_ms() + leases.LEASE_TTL_MS)
            assert await other.contend() is leases.LeaseState.OTHER
            assert holder.fence() is not None
            clock.step(leases.LEASE_TTL_MS + other.drift_ms - 1)
            assert await other.contend() is leases.LeaseState.OTHER
            clock.step(1)
            assert holder.fence() is None
            assert await other.contend() is leases.LeaseState.HELD

        asyncio.run(run())

    def test_lease_ends_once_a_later_holder_is_known(self) -> None:
        """Two holders at once, as one extends without the table."""

        async def run() -> None:
            contenders, known_number = Contenders(), [0]
            holder = leases.Lease(
                contenders.table,
                contenders.clock,
                "orders",
                ids.InstanceId("a"),
                number_floor=lambda: known_number[0],
            )
            await holder.contend()
            fence = holder.fence()
            assert fence is not None
            known_number[0] = fence.number
            assert holder.fence() == fence
            known_number[0] = fence.number + 1
            assert holder.fence() is None

        asyncio.run(run())
