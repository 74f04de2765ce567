"""Freshness: every fresh instance has all withdrawals that are in force."""

import dataclasses
import itertools
import typing

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st
import pytest

from cardamom_kernel import clocks
from cardamom_kernel import freshness
from cardamom_kernel import growsets
from cardamom_kernel import ids
from cardamom_kernel import rosters
from tests import mutants

NODES = 7
SEATS = 5
PERIOD_MS = 2_000
HEARTBEAT_MS = 500
MAX_FAILED_NODES = 2


@dataclasses.dataclass
class Table:
    """The rows of the table that the test needs."""

    roster: rosters.Roster
    withdrawn: frozenset[str] = frozenset()


@dataclasses.dataclass(frozen=True)
class StateUpdate:
    """The state update that a node sends to a peer."""

    seat: ids.SeatId | None
    roster: rosters.Roster
    withdrawn: frozenset[str]
    ages_ms_by_seat: dict[ids.SeatId, int]


class Node:
    """One instance, with a clock of its own."""

    freshness_type = freshness.Freshness

    def __init__(self, name: str, clock: clocks.SteppedClock) -> None:
        self.name = ids.InstanceId(name)
        self.clock = clock
        self.withdrawn = growsets.GrowSet()
        self.freshness = self.freshness_type(clock, PERIOD_MS)
        self.roster: rosters.Roster | None = None
        self.seat: ids.SeatId | None = None
        self.enforcement_delay = freshness.EnforcementDelay(clock, PERIOD_MS)
        self.epoch_by_seat: dict[ids.SeatId, int] = {}
        self.is_alive = True

    def adopt_roster(self, roster: rosters.Roster) -> None:
        """Use a roster if it is newer."""
        if self.roster is not None and roster.epoch <= self.roster.epoch:
            return
        self.roster = roster
        seat = roster.seat_of(self.name)
        self.seat = seat.id if seat else None
        self.enforcement_delay = freshness.EnforcementDelay(
            self.clock, PERIOD_MS
        )
        self.freshness.set_roster(roster, self.seat)

    def is_in_force(self) -> bool:
        """Return whether no node can still act on the previous epoch."""
        if self.roster is None:
            return False
        acknowledged_by = {
            seat
            for seat, epoch in self.epoch_by_seat.items()
            if epoch >= self.roster.epoch
        }
        if self.seat:
            acknowledged_by.add(self.seat)
        is_known = rosters.has_previous_quorum(self.roster, acknowledged_by)
        return not self.roster.previous or self.enforcement_delay.update(
            is_known
        )

    def state_update(self) -> StateUpdate:
        """Return this node's current state update."""
        assert self.roster is not None
        return StateUpdate(
            self.seat,
            self.roster,
            frozenset(self.withdrawn.members()),
            dict(self.freshness.confirmation_ages_ms()),
        )

    def receive(self, update: StateUpdate, sent_ms: int) -> None:
        """Apply a peer's response to a request sent at ``sent_ms``."""
        self.adopt_roster(update.roster)
        self.withdrawn.merge(update.withdrawn)
        if update.seat is not None:
            self.epoch_by_seat[update.seat] = update.roster.epoch
            self.freshness.confirm_seat(update.seat, sent_ms)
        for seat, age_ms in update.ages_ms_by_seat.items():
            self.freshness.confirm_seat(seat, sent_ms - age_ms)


class FreshnessMachine(stateful.RuleBasedStateMachine):
    """Instances and a table, with partitions, delays and roster changes."""

    node_type = Node
    quorum_check = staticmethod(rosters.is_acknowledged)
    waits_until_in_force = True

    def __init__(self) -> None:
        super().__init__()
        self.clocks = [clocks.SteppedClock(n * 10_000) for n in range(NODES)]
        self.nodes = [
            self.node_type(f"entry-{n}", clock)
            for n, clock in enumerate(self.clocks)
        ]
        seats = {
            ids.SeatId(f"s{n}"): rosters.Seat(
                ids.SeatId(f"s{n}"),
                self.nodes[n].name,
                "",
                ids.DataCentreId("a"),
            )
            for n in range(SEATS)
        }
        roster = rosters.Roster(1, seats, frozenset())
        self.table = Table(roster)
        for node in self.nodes:
            node.adopt_roster(roster)
        self.pending_responses: list[tuple[int, StateUpdate, int]] = []
        self.group: set[int] = set()
        self.group_has_table: bool | None = False
        self.withdrawals: dict[
            str, tuple[freshness.EnforcementDelay, int, set[int]]
        ] = {}
        self.in_force: set[str] = set()
        self.seat_count = SEATS

    node = st.integers(0, NODES - 1)

    @stateful.rule(ms=st.sampled_from([10, 300, 900, 2_000]))
    def step_clocks(self, ms: int) -> None:
        """Advance all clocks by the same time."""
        for clock in self.clocks:
            clock.step(ms)

    @stateful.rule()
    def broadcast_requests(self) -> None:
        """Send requests between all nodes; the responses stay pending."""
        for node_index, peer in itertools.permutations(range(NODES), 2):
            if self.nodes[node_index].is_alive and self.nodes[peer].is_alive:
                sent_ms = self.clocks[node_index].now_ms()
                update = self.nodes[peer].state_update()
                self.pending_responses.append((node_index, update, sent_ms))

    @stateful.rule(receivers=st.sets(node, min_size=1))
    def deliver_responses(self, receivers: set[int]) -> None:
        """Deliver the pending responses to some nodes."""
        arrived = [
            entry for entry in self.pending_responses if entry[0] in receivers
        ]
        self.pending_responses = [
            e for e in self.pending_responses if e[0] not in receivers
        ]
        for node_index, update, sent_ms in arrived:
            if self.nodes[node_index].is_alive:
                self.nodes[node_index].receive(update, sent_ms)

    @stateful.rule(
        group=st.one_of(
            st.builds(lambda n: {n}, node),
            st.sets(node, min_size=2, max_size=3),
            st.sets(node, min_size=1, max_size=NODES - 1),
        ),
        has_table=st.sampled_from([True, False, None]),
    )
    def split_network(self, group: set[int], has_table: bool | None) -> None:
        """Separate a group from the other nodes.

        The table stays reachable for the group, for the others or, if
        ``has_table`` is None, for nobody.
        """
        self.group = group
        self.group_has_table = has_table

    @stateful.rule()
    def clear_partition(self) -> None:
        """End the partition."""
        self.group = set()
        self.group_has_table = False

    @stateful.rule(heartbeats=st.sampled_from([1, 3, 12]))
    def run_heartbeats(self, heartbeats: int) -> None:
        """Run heartbeats, table access and acknowledgements on each side."""
        for _ in range(heartbeats):
            for clock in self.clocks:
                clock.step(HEARTBEAT_MS)
            for side in (self.group, set(range(NODES)) - self.group):
                self.gossip(side)
                if self.is_on_table_side(side):
                    for node_index in sorted(side):
                        self.write(node_index)
                    self.poll(side)
                for index, key in enumerate(sorted(self.withdrawals)):
                    if self.withdrawals[key][1] in side:
                        self.send_withdrawal(index, side)
            self.update_in_force()
            self.fresh_nodes_have_withdrawals()

    def is_on_table_side(self, side: set[int]) -> bool:
        """Return whether a side of the partition reaches the table."""
        if self.group_has_table is None:
            return False
        return (side is self.group) is self.group_has_table

    def gossip(self, group: set[int]) -> None:
        """Exchange state updates between all nodes of a group."""
        for node_index in group:
            for peer in group - {node_index}:
                if (
                    self.nodes[node_index].is_alive
                    and self.nodes[peer].is_alive
                ):
                    update = self.nodes[peer].state_update()
                    self.nodes[node_index].receive(
                        update, self.clocks[node_index].now_ms()
                    )

    def poll(self, group: set[int]) -> None:
        """Read the table at each node of a group."""
        for node_index in group:
            self._read(node_index, self.clocks[node_index].now_ms())

    def _read(self, node_index: int, sent_ms: int) -> None:
        node = self.nodes[node_index]
        if node.is_alive:
            node.adopt_roster(self.table.roster)
            node.withdrawn.merge(self.table.withdrawn, durable=True)
            node.freshness.confirm_table(sent_ms)

    @stateful.rule(node_index=node)
    def fail_node(self, node_index: int) -> None:
        """Stop a node permanently, at most ``MAX_FAILED_NODES`` of them."""
        if (
            sum(node.is_alive for node in self.nodes)
            > NODES - MAX_FAILED_NODES
        ):
            self.nodes[node_index].is_alive = False

    @stateful.rule(node_index=node)
    def withdraw(self, node_index: int) -> None:
        """Withdraw a key at a node."""
        node = self.nodes[node_index]
        key = f"k{len(self.withdrawals)}"
        if node.is_alive:
            node.withdrawn.merge([key])
            enforcement_delay = freshness.EnforcementDelay(
                self.clocks[node_index], PERIOD_MS
            )
            self.withdrawals[key] = (
                enforcement_delay,
                node_index,
                {node_index},
            )

    def send_withdrawal(self, pick: int, group: set[int]) -> None:
        """Send a withdrawal to the nodes of a group, which acknowledge it."""
        key = sorted(self.withdrawals)[pick % len(self.withdrawals)]
        _, node_index, acknowledged = self.withdrawals[key]
        for peer in group:
            if self.nodes[node_index].is_alive and self.nodes[peer].is_alive:
                self.nodes[peer].withdrawn.merge([key])
                acknowledged.add(peer)

    def write(self, node_index: int) -> None:
        """Write a node's withdrawals to the table."""
        node = self.nodes[node_index]
        if node.is_alive:
            members = frozenset(node.withdrawn.members())
            self.table.withdrawn |= members
            node.withdrawn.merge(self.table.withdrawn, durable=True)

    def update_in_force(self) -> None:
        """Determine which withdrawals are in force."""
        for key, (
            enforcement_delay,
            node_index,
            acknowledged,
        ) in self.withdrawals.items():
            node = self.nodes[node_index]
            if not node.is_alive or node.roster is None:
                continue
            acknowledging_seats = {
                seat.id
                for seat in node.roster.by_seat.values()
                for peer in acknowledged
                if seat.holder == self.nodes[peer].name
            }
            is_durable = key not in node.withdrawn.pending()
            is_quorum = self.quorum_check(
                node.roster, acknowledging_seats, is_durable
            )
            if enforcement_delay.update(is_quorum):
                self.in_force.add(key)

    @stateful.rule(writer=node, seat_pick=st.integers(0, 20), joining=node)
    def change_roster(self, writer: int, seat_pick: int, joining: int) -> None:
        """Remove a seat and add another node, at a fresh node."""
        node = self.nodes[writer]
        if self.group_has_table is None or (
            (writer in self.group) is not self.group_has_table
        ):
            return
        if not (node.is_alive and node.roster):
            return
        if not node.freshness.is_fresh():
            return
        if self.waits_until_in_force and not node.is_in_force():
            return
        if node.roster.epoch != self.table.roster.epoch:
            return
        seats = sorted(node.roster.by_seat)
        remove = [seats[seat_pick % len(seats)]] if len(seats) > 1 else []
        add = []
        if self.table.roster.seat_of(self.nodes[joining].name) is None:
            self.seat_count += 1
            add.append(
                rosters.Seat(
                    ids.SeatId(f"s{self.seat_count}"),
                    self.nodes[joining].name,
                    "",
                    ids.DataCentreId("a"),
                )
            )
        self.table.roster = rosters.next_roster(node.roster, add, remove)
        node.adopt_roster(self.table.roster)

    @stateful.invariant()
    def fresh_nodes_have_withdrawals(self) -> None:
        """Assert that fresh nodes have every withdrawal in force."""
        for node in self.nodes:
            if node.is_alive and node.freshness.is_fresh():
                missing = self.in_force - set(node.withdrawn.members())
                assert not missing, f"{node.name} is fresh without {missing}"


class ConfirmAtResponse(freshness.Freshness):
    """A mutant that confirms from the response, not from the request."""

    def confirm_seat(self, seat: ids.SeatId, sent_ms: int) -> None:
        """Confirm as if the request had been sent now."""
        super().confirm_seat(seat, self._clock.now_ms())


class TableOnly(freshness.Freshness):
    """A mutant that needs no seats beside the table."""

    def _with_table_ms(self, seats: frozenset[ids.SeatId]) -> int:
        """Require no seats."""
        return clocks.FOREVER_MS


def _always_smaller_quorum(
    roster: rosters.Roster,
    acknowledged_by: set[ids.SeatId],
    is_in_table: bool,
) -> bool:
    seats = frozenset(roster.by_seat)
    return len(seats & acknowledged_by) * 3 > len(seats)


class ConfirmAtResponseNode(Node):
    """A node that uses the mutant."""

    freshness_type = ConfirmAtResponse


class TableOnlyNode(Node):
    """A node that uses the mutant."""

    freshness_type = TableOnly


TestFreshnessMachine = FreshnessMachine.TestCase
TestFreshnessMachine.settings = hypothesis.settings(max_examples=600)


def _two_roster_changes_before_partition(machine: FreshnessMachine) -> None:
    """Replace two seats in a row, then partition the replaced ones."""
    machine.run_heartbeats(4)
    machine.change_roster(0, 1, 5)
    machine.change_roster(0, 1, 6)
    machine.split_network({1, 2, 3, 4}, False)
    machine.withdraw(0)
    machine.run_heartbeats(12)


def _late_responses(machine: FreshnessMachine) -> None:
    """Deliver old responses to a partitioned seat after a withdrawal."""
    machine.run_heartbeats(4)
    machine.broadcast_requests()
    machine.split_network({4}, None)
    machine.withdraw(0)
    machine.run_heartbeats(6)
    machine.deliver_responses({4})
    machine.fresh_nodes_have_withdrawals()


def _withdrawal_on_the_small_side(machine: FreshnessMachine) -> None:
    """Withdraw a key on the side with two of five seats and no table."""
    machine.run_heartbeats(4)
    machine.split_network({0, 1}, False)
    machine.withdraw(0)
    machine.run_heartbeats(12)


def _table_on_the_small_side(machine: FreshnessMachine) -> None:
    """Withdraw a key on the side with four of five seats and no table."""
    machine.run_heartbeats(4)
    machine.split_network({4}, True)
    machine.withdraw(0)
    machine.run_heartbeats(12)


class TestMutants:
    """Each scenario passes normally and fails with its mutant."""

    @pytest.mark.parametrize(
        ("scenario", "overrides"),
        [
            (_late_responses, {"node_type": ConfirmAtResponseNode}),
            (_table_on_the_small_side, {"node_type": TableOnlyNode}),
            (
                _withdrawal_on_the_small_side,
                {"quorum_check": staticmethod(_always_smaller_quorum)},
            ),
            (
                _two_roster_changes_before_partition,
                {"waits_until_in_force": False},
            ),
        ],
    )
    def test_scenario_detects_mutant(
        self,
        scenario: typing.Callable[[FreshnessMachine], None],
        overrides: dict[str, typing.Any],
    ) -> None:
        scenario(FreshnessMachine())
        mutant = type("Mutant", (FreshnessMachine,), overrides)
        with pytest.raises(AssertionError):
            scenario(mutant())

    def test_random_steps_detect_mutant(self) -> None:
        mutants.must_fail(
            type("Mutant", (FreshnessMachine,), {"node_type": TableOnlyNode})
        )


class TestFreshness:
    """Properties of quorums and of one tracker."""

    def _three_seats(self) -> rosters.Roster:
        seats = {
            ids.SeatId(n): rosters.Seat(
                ids.SeatId(n), ids.InstanceId(n), "", ids.DataCentreId("a")
            )
            for n in ("a", "b", "c")
        }
        return rosters.Roster(1, seats, frozenset())

    def test_quorums_share_a_seat(self) -> None:
        for seats in range(1, 400):
            without_table = rosters.quorum_without_table(seats)
            with_table = rosters.quorum_with_table(seats)
            assert without_table + with_table == seats + 1

    def test_not_fresh_without_a_roster(self) -> None:
        clock = clocks.SteppedClock(10_000)
        assert not freshness.Freshness(clock).is_fresh()

    def test_not_fresh_after_a_pause(self) -> None:
        clock = clocks.SteppedClock(10_000)
        tracker = freshness.Freshness(clock)
        tracker.set_roster(self._three_seats(), ids.SeatId("a"))
        assert not tracker.is_fresh()
        tracker.confirm_seat(ids.SeatId("b"), clock.now_ms())
        assert tracker.is_fresh()
        clock.step(freshness.FRESHNESS_PERIOD_MS)
        assert not tracker.is_fresh()

    def test_unlisted_seats_count_only_with_the_table(self) -> None:
        clock = clocks.SteppedClock(10_000)
        tracker = freshness.Freshness(clock)
        roster = self._three_seats()
        tracker.set_roster(roster, None)
        tracker.set_unlisted_seats(roster.by_seat)
        assert not tracker.is_fresh()
        tracker.confirm_table(clock.now_ms())
        assert tracker.is_fresh()
