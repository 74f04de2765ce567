"""Freshness: what is in force is known to whoever may act."""

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
SEATED = 5
PERIOD_MS = 2_000
BEAT_MS = 500
MOST_KILLS = 2


@dataclasses.dataclass
class Table:
    """The rows that matter here."""

    roster: rosters.Roster
    withdrawn: frozenset[str] = frozenset()


@dataclasses.dataclass(frozen=True)
class Knowledge:
    """What a node or the table tells."""

    seat: ids.SeatId | None
    roster: rosters.Roster
    withdrawn: frozenset[str]
    heard_ms: dict[ids.SeatId, int]


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
        self.settling = freshness.Settling(clock, PERIOD_MS)
        self.epoch_by_seat: dict[ids.SeatId, int] = {}
        self.is_alive = True

    def learn(self, roster: rosters.Roster) -> None:
        """Hold a roster if it is newer."""
        if self.roster is not None and roster.epoch <= self.roster.epoch:
            return
        self.roster = roster
        seat = roster.seat_of(self.name)
        self.seat = seat.id if seat else None
        self.settling = freshness.Settling(self.clock, PERIOD_MS)
        self.freshness.hold_roster(roster, self.seat)

    def is_in_force(self) -> bool:
        """Tell whether nobody acts by the epoch before any more."""
        if self.roster is None:
            return False
        knowing = {
            seat
            for seat, epoch in self.epoch_by_seat.items()
            if epoch >= self.roster.epoch
        }
        if self.seat:
            knowing.add(self.seat)
        is_known = rosters.is_known_before(self.roster, knowing)
        return not self.roster.previous or self.settling.note(is_known)

    def tell(self) -> Knowledge:
        """Return what a peer would hear now."""
        assert self.roster is not None
        return Knowledge(
            self.seat,
            self.roster,
            frozenset(self.withdrawn.members()),
            dict(self.freshness.ages_ms()),
        )

    def hear(self, told: Knowledge, sent_ms: int) -> None:
        """Take a peer's answer to a question sent at ``sent_ms``."""
        self.learn(told.roster)
        self.withdrawn.merge(told.withdrawn)
        if told.seat is not None:
            self.epoch_by_seat[told.seat] = told.roster.epoch
            self.freshness.confirm_seat(told.seat, sent_ms)
        for seat, age_ms in told.heard_ms.items():
            self.freshness.confirm_seat(seat, sent_ms - age_ms)


class FreshnessMachine(stateful.RuleBasedStateMachine):
    """Instances, a table, cuts, late messages and changes of the roster."""

    node_type = Node
    quorum_check = staticmethod(rosters.is_acknowledged)
    waits_for_force = True

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
            for n in range(SEATED)
        }
        roster = rosters.Roster(1, seats, frozenset())
        self.table = Table(roster)
        for node in self.nodes:
            node.learn(roster)
        self.answered: list[tuple[int, Knowledge, int]] = []
        self.group: set[int] = set()
        self.table_side: bool | None = False
        self.keys: dict[str, tuple[freshness.Settling, int, set[int]]] = {}
        self.in_force: set[str] = set()
        self.added = SEATED

    node = st.integers(0, NODES - 1)

    @stateful.rule(ms=st.sampled_from([10, 300, 900, 2_000]))
    def pass_time(self, ms: int) -> None:
        """Let the same time pass everywhere."""
        for clock in self.clocks:
            clock.step(ms)

    @stateful.rule()
    def ask_all(self) -> None:
        """Let everyone ask everyone; the answers stay under way."""
        for who, peer in itertools.permutations(range(NODES), 2):
            if self.nodes[who].is_alive and self.nodes[peer].is_alive:
                sent_ms = self.clocks[who].now_ms()
                told = self.nodes[peer].tell()
                self.answered.append((who, told, sent_ms))

    @stateful.rule(whose=st.sets(node, min_size=1))
    def hear_late(self, whose: set[int]) -> None:
        """Let the answers under way to some nodes arrive."""
        arrived = [entry for entry in self.answered if entry[0] in whose]
        self.answered = [e for e in self.answered if e[0] not in whose]
        for who, told, sent_ms in arrived:
            if self.nodes[who].is_alive:
                self.nodes[who].hear(told, sent_ms)

    @stateful.rule(
        group=st.one_of(
            st.builds(lambda n: {n}, node),
            st.sets(node, min_size=2, max_size=3),
            st.sets(node, min_size=1, max_size=NODES - 1),
        ),
        has_table=st.sampled_from([True, False, None]),
    )
    def part(self, group: set[int], has_table: bool | None) -> None:
        """Cut a group off from the rest; one side may keep the table."""
        self.group = group
        self.table_side = has_table

    @stateful.rule()
    def heal(self) -> None:
        """End the cut."""
        self.group = set()
        self.table_side = False

    @stateful.rule(beats=st.sampled_from([1, 3, 12]))
    def live(self, beats: int) -> None:
        """Let heartbeats, reads and acknowledgements run on each side."""
        for _ in range(beats):
            for clock in self.clocks:
                clock.step(BEAT_MS)
            for side in (self.group, set(range(NODES)) - self.group):
                self.gossip(side)
                if self.is_on_table_side(side):
                    for who in sorted(side):
                        self.write(who)
                    self.poll(side)
                for index, key in enumerate(sorted(self.keys)):
                    if self.keys[key][1] in side:
                        self.push(index, side)
            self.judge()
            self.whoever_may_act_knows()

    def is_on_table_side(self, side: set[int]) -> bool:
        """Tell whether a side of the cut reaches the table."""
        if self.table_side is None:
            return False
        return (side is self.group) is self.table_side

    def gossip(self, group: set[int]) -> None:
        """Let everyone in a group hear everyone else in it."""
        for who in group:
            for peer in group - {who}:
                if self.nodes[who].is_alive and self.nodes[peer].is_alive:
                    told = self.nodes[peer].tell()
                    self.nodes[who].hear(told, self.clocks[who].now_ms())

    def poll(self, group: set[int]) -> None:
        """Let some nodes read the table at once."""
        for who in group:
            self._read(who, self.clocks[who].now_ms())

    def _read(self, who: int, sent_ms: int) -> None:
        node = self.nodes[who]
        if node.is_alive:
            node.learn(self.table.roster)
            node.withdrawn.merge(self.table.withdrawn, durable=True)
            node.freshness.confirm_table(sent_ms)

    @stateful.rule(who=node)
    def kill(self, who: int) -> None:
        """Kill a node for good, as long as most are alive."""
        if sum(node.is_alive for node in self.nodes) > NODES - MOST_KILLS:
            self.nodes[who].is_alive = False

    @stateful.rule(who=node)
    def withdraw(self, who: int) -> None:
        """Withdraw a key at a node."""
        node = self.nodes[who]
        key = f"k{len(self.keys)}"
        if node.is_alive:
            node.withdrawn.merge([key])
            settling = freshness.Settling(self.clocks[who], PERIOD_MS)
            self.keys[key] = (settling, who, {who})

    def push(self, pick: int, group: set[int]) -> None:
        """Tell some nodes of a withdrawal; they acknowledge."""
        key = sorted(self.keys)[pick % len(self.keys)]
        _, who, acknowledged = self.keys[key]
        for peer in group:
            if self.nodes[who].is_alive and self.nodes[peer].is_alive:
                self.nodes[peer].withdrawn.merge([key])
                acknowledged.add(peer)

    def write(self, who: int) -> None:
        """Let a node write its withdrawals to the table."""
        node = self.nodes[who]
        if node.is_alive:
            members = frozenset(node.withdrawn.members())
            self.table.withdrawn |= members
            node.withdrawn.merge(self.table.withdrawn, durable=True)

    def judge(self) -> None:
        """Let the nodes with a withdrawal judge whether it is in force."""
        for key, (settling, who, acknowledged) in self.keys.items():
            node = self.nodes[who]
            if not node.is_alive or node.roster is None:
                continue
            knowing = {
                seat.id
                for seat in node.roster.by_seat.values()
                for peer in acknowledged
                if seat.holder == self.nodes[peer].name
            }
            durable = key not in node.withdrawn.pending()
            is_quorum = self.quorum_check(node.roster, knowing, durable)
            if settling.note(is_quorum):
                self.in_force.add(key)

    @stateful.rule(who=node, seat=st.integers(0, 20), joins=node)
    def change_roster(self, who: int, seat: int, joins: int) -> None:
        """Let a fresh node remove a seat and add another node."""
        node = self.nodes[who]
        if self.table_side is None or (
            (who in self.group) is not self.table_side
        ):
            return
        if not (node.is_alive and node.roster):
            return
        if not node.freshness.is_fresh():
            return
        if self.waits_for_force and not node.is_in_force():
            return
        if node.roster.epoch != self.table.roster.epoch:
            return
        names = sorted(node.roster.by_seat)
        remove = [names[seat % len(names)]] if len(names) > 1 else []
        add = []
        if self.table.roster.seat_of(self.nodes[joins].name) is None:
            self.added += 1
            add.append(
                rosters.Seat(
                    ids.SeatId(f"s{self.added}"),
                    self.nodes[joins].name,
                    "",
                    ids.DataCentreId("a"),
                )
            )
        self.table.roster = rosters.next_roster(node.roster, add, remove)
        node.learn(self.table.roster)

    @stateful.invariant()
    def whoever_may_act_knows(self) -> None:
        """Assert that every fresh node knows what is in force."""
        for node in self.nodes:
            if node.is_alive and node.freshness.is_fresh():
                unknown = self.in_force - set(node.withdrawn.members())
                assert not unknown, f"{node.name} is fresh without {unknown}"


class CountsTheAnswer(freshness.Freshness):
    """A mutant that confirms as of the answer, not of the question."""

    def confirm_seat(self, seat: ids.SeatId, sent_ms: int) -> None:
        """Confirm as of now."""
        super().confirm_seat(seat, self._clock.now_ms())


class TableAlone(freshness.Freshness):
    """A mutant for which the table alone is enough."""

    def _with_table_ms(self, seats: frozenset[ids.SeatId]) -> int:
        """Ask for no seats."""
        return clocks.FOREVER_MS


def _one_quorum(
    roster: rosters.Roster,
    knowing: set[ids.SeatId],
    beside_table: bool,
) -> bool:
    seats = frozenset(roster.by_seat)
    return len(seats & knowing) * 3 > len(seats)


class CountsTheAnswerNode(Node):
    """A node with the mutant."""

    freshness_type = CountsTheAnswer


class TableAloneNode(Node):
    """A node with the mutant."""

    freshness_type = TableAlone


TestFreshnessMachine = FreshnessMachine.TestCase
TestFreshnessMachine.settings = hypothesis.settings(max_examples=600)


def _change_roster_twice_while_cut(machine: FreshnessMachine) -> None:
    """Let one seat replace two others at once, then cut those off."""
    machine.live(4)
    machine.change_roster(0, 1, 5)
    machine.change_roster(0, 1, 6)
    machine.part({1, 2, 3, 4}, False)
    machine.withdraw(0)
    machine.live(12)


def _answers_that_come_late(machine: FreshnessMachine) -> None:
    """Cut one seat off, and let it hear old answers after a withdrawal."""
    machine.live(4)
    machine.ask_all()
    machine.part({4}, None)
    machine.withdraw(0)
    machine.live(6)
    machine.hear_late({4})
    machine.whoever_may_act_knows()


def _withdrawal_on_the_small_side(machine: FreshnessMachine) -> None:
    """Withdraw a key where two seats of five are, without the table."""
    machine.live(4)
    machine.part({0, 1}, False)
    machine.withdraw(0)
    machine.live(12)


def _table_on_the_small_side(machine: FreshnessMachine) -> None:
    """Withdraw a key where four seats of five are, without the table."""
    machine.live(4)
    machine.part({4}, True)
    machine.withdraw(0)
    machine.live(12)


class TestMutants:
    """Each mechanism that is broken on purpose is found."""

    @pytest.mark.parametrize(
        ("scene", "changes"),
        [
            (_answers_that_come_late, {"node_type": CountsTheAnswerNode}),
            (_table_on_the_small_side, {"node_type": TableAloneNode}),
            (
                _withdrawal_on_the_small_side,
                {"quorum_check": staticmethod(_one_quorum)},
            ),
            (_change_roster_twice_while_cut, {"waits_for_force": False}),
        ],
    )
    def test_scene(
        self,
        scene: typing.Callable[[FreshnessMachine], None],
        changes: dict[str, typing.Any],
    ) -> None:
        scene(FreshnessMachine())
        mutant = type("Mutant", (FreshnessMachine,), changes)
        with pytest.raises(AssertionError):
            scene(mutant())

    def test_random_course(self) -> None:
        mutants.must_fail(
            type("Mutant", (FreshnessMachine,), {"node_type": TableAloneNode})
        )


class TestFreshness:
    """Single properties."""

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
            without = rosters.quorum_without_table(seats)
            beside = rosters.quorum_with_table(seats)
            assert without + beside == seats + 1

    def test_no_roster_no_right(self) -> None:
        clock = clocks.SteppedClock(10_000)
        assert not freshness.Freshness(clock).is_fresh()

    def test_pause_ends_the_right(self) -> None:
        clock = clocks.SteppedClock(10_000)
        tracker = freshness.Freshness(clock)
        tracker.hold_roster(self._three_seats(), ids.SeatId("a"))
        assert not tracker.is_fresh()
        tracker.confirm_seat(ids.SeatId("b"), clock.now_ms())
        assert tracker.is_fresh()
        clock.step(freshness.FRESHNESS_PERIOD_MS)
        assert not tracker.is_fresh()

    def test_gone_seats_count_beside_the_table_only(self) -> None:
        clock = clocks.SteppedClock(10_000)
        tracker = freshness.Freshness(clock)
        roster = self._three_seats()
        tracker.hold_roster(roster, None)
        tracker.set_gone(roster.by_seat)
        assert not tracker.is_fresh()
        tracker.confirm_table(clock.now_ms())
        assert tracker.is_fresh()
