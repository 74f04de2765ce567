"""Tests of the count of requests at a brittle target over changes of owners.

They guard against targets that fall over while instances restart (review,
case 8): two owners counted, each only its own permits.
"""

import asyncio
import collections
import dataclasses
import itertools
import typing

import pytest

from cardamom_gateway.fleet import peers
from cardamom_gateway.targets import permit_client
from cardamom_gateway.targets import permit_messages
from cardamom_gateway.targets import target_records
from cardamom_kernel import ids
from cardamom_policy import room
from tests.gateway import links
from tests.gateway import test_target_limits

STEP_MS = 20
RUN_MS = 240
REPORT_PERIOD_MS = 1_000
# Time until the others learn of an instance's start or stop.
LEARNING_MS = 800
DURATION_MS = 8_000
CHANGE_MS = 3_000
SLOTS = 6
TARGET = dataclasses.replace(test_target_limits.TARGET, slots=SLOTS)

Change = typing.Callable[["BrittleFleet", int], None]


class BrittleFleet(test_target_limits.Fleet):
    """Instances that send whenever they may to one brittle target."""

    def __init__(self, size: int) -> None:
        super().__init__(size)
        for limits in self.all_limits:
            limits._targets.put(dataclasses.replace(TARGET, entry_sequence=2))
        self.state_all(3)
        self.ended: set[ids.InstanceId] = set()
        self.in_flight: list[
            tuple[int, ids.InstanceId, permit_client.Permit | None]
        ] = []
        self.most_in_flight = 0
        self.served = 0

    def begin_without_permits(self, count: int) -> None:
        """Let requests be under way, evenly over all instances."""
        end_ms = self.clock.now_ms() + RUN_MS
        for instance in itertools.islice(itertools.cycle(self.ids), count):
            self._record(instance).load.running += 1
            self.in_flight.append((end_ms, instance, None))
        self._report_loads()

    async def end_all(self) -> None:
        """Let all requests end that are under way."""
        self.clock.step(RUN_MS)
        self._end_requests()
        await asyncio.sleep(0)

    def state_all(self, tolerated_rejections: int | None) -> None:
        """Let the target tell all instances whether it is brittle."""
        head = test_target_limits.answer_head(None, tolerated_rejections)
        for record, limits in zip(self.records, self.all_limits):
            limits.note_answer(record, head)
        self.network.deliver()

    def _record(self, instance: ids.InstanceId) -> target_records.TargetRecord:
        return self.records[self.ids.index(instance)]

    def owner(self, asker: ids.InstanceId) -> ids.InstanceId:
        """Return the target's owner as an instance sees it."""
        limits = self.limits_by_id[asker]
        owner = limits.owner(TARGET.incarnation)
        return owner.id if owner else asker

    def find_owner(self) -> ids.InstanceId:
        """Return the target's owner as all see it."""
        owners = {self.owner(instance) for instance in self.ids}
        assert len(owners) == 1
        return owners.pop()

    def set_heard(
        self, instance: ids.InstanceId, is_heard: bool, **update: int
    ) -> None:
        """Let the others hear an instance, with an update, or not."""
        for link in self.network.links:
            peer = link.peer_by_id.get(instance)
            if peer is not None:
                peer.update = dict(update)
                peer.received_ms = (
                    self.clock.now_ms() if is_heard else -1_000_000
                )

    async def play_brittle(self, change: Change) -> None:
        """Let all instances send, with changes by the elapsed time."""
        for elapsed_ms in range(0, DURATION_MS, STEP_MS):
            change(self, elapsed_ms)
            if elapsed_ms % REPORT_PERIOD_MS == 0:
                self._report_loads()
            self._keep_fresh()
            for limits in self.all_limits:
                await limits.observe()
            for owners in self.owners_by_id.values():
                await owners.return_counts()
            self._end_requests()
            await self._send_requests()
            self.clock.step(STEP_MS)
            await asyncio.sleep(0)

    def _keep_fresh(self) -> None:
        for link in self.network.links:
            for peer in link.peer_by_id.values():
                if (
                    peer.received_ms > 0
                    and peer.member.id not in self.silent | self.ended
                ):
                    peer.received_ms = self.clock.now_ms()

    def _report_loads(self) -> None:
        for instance, limits in self.limits_by_id.items():
            for other in self.ids:
                if other != instance:
                    load = target_records.PeerLoad(
                        self.clock.now_ms(),
                        self._record(other).load.running,
                        0.0,
                        {},
                    )
                    limits._targets.note_peer_load(
                        f"{other}@1", {TARGET.id: load}
                    )

    def _end_requests(self) -> None:
        now_ms = self.clock.now_ms()
        ended = [item for item in self.in_flight if item[0] <= now_ms]
        self.in_flight = [item for item in self.in_flight if item[0] > now_ms]
        for _, instance, permit in ended:
            self._record(instance).load.running -= 1
            self.served += 1
            if permit is not None:
                self.clients[self.ids.index(instance)].finish(permit, False)

    async def _send_requests(self) -> None:
        for number, instance in enumerate(self.ids):
            now_ms, record = self.clock.now_ms(), self.records[number]
            if instance in self.ended | self.silent or record.permit_wait_ms(
                True, now_ms
            ):
                continue
            permit = await self.clients[number].acquire(record, True, 1_000.0)
            if permit is not None:
                record.load.running += 1
                self.in_flight.append((now_ms + RUN_MS, instance, permit))
        self.most_in_flight = max(self.most_in_flight, len(self.in_flight))


def stop_owner(fleet: BrittleFleet, elapsed_ms: int) -> None:
    """Stop the owner as planned; the others learn of it later."""
    if elapsed_ms == CHANGE_MS:
        fleet.stopping.add(fleet.find_owner())
    if elapsed_ms == CHANGE_MS + LEARNING_MS:
        for instance in fleet.stopping:
            fleet.set_heard(instance, True, st=1)


class JoiningOwner:
    """An instance that owns the target once it has started.

    It knows the others at once, and each of them learns of it later.
    """

    def __init__(self, fleet: BrittleFleet) -> None:
        self._joining = fleet.find_owner()
        fleet.ended.add(self._joining)
        fleet.set_heard(self._joining, False)

    def __call__(self, fleet: BrittleFleet, elapsed_ms: int) -> None:
        """Start the instance, and let the others hear it in turn."""
        if elapsed_ms == CHANGE_MS:
            fleet.ended.discard(self._joining)
        numbers = itertools.count(1)
        for link in fleet.network.links:
            peer = link.peer_by_id.get(self._joining)
            if peer is not None and elapsed_ms == (
                CHANGE_MS + LEARNING_MS // 2 * next(numbers)
            ):
                peer.received_ms = fleet.clock.now_ms()


def silence_owner(fleet: BrittleFleet, elapsed_ms: int) -> None:
    """Let the owner fall silent, and be heard again."""
    if elapsed_ms == 1_000:
        fleet.silent.add(fleet.find_owner())
    if elapsed_ms == 1_000 + peers.MAX_PEER_AGE_MS + 1_000:
        for instance in fleet.silent:
            fleet.set_heard(instance, True)
        fleet.silent.clear()


class TestCountOverChanges:
    """Requests in flight never exceed the room, whoever counts them."""

    @pytest.mark.parametrize("size", [3, 9])
    def test_planned_stop_of_the_owner(self, size: int) -> None:
        """Its successor goes on with its count."""
        fleet = BrittleFleet(size)
        links.run_stepped(fleet.play_brittle(stop_owner))
        assert fleet.most_in_flight == SLOTS
        self._check_served(fleet)

    @pytest.mark.parametrize("size", [3, 9])
    def test_start_of_another_owner(self, size: int) -> None:
        """It is asked by those that have heard it, and passed on to."""
        fleet = BrittleFleet(size)
        links.run_stepped(fleet.play_brittle(JoiningOwner(fleet)))
        assert fleet.most_in_flight == SLOTS
        self._check_served(fleet)

    @pytest.mark.parametrize("size", [3, 9])
    def test_owner_that_is_silent_for_a_while(self, size: int) -> None:
        """Another one counts meanwhile, and gives the count back."""
        fleet = BrittleFleet(size)
        links.run_stepped(fleet.play_brittle(silence_owner))
        assert fleet.most_in_flight == SLOTS

    def test_requests_under_way_when_a_target_turns_brittle(self) -> None:
        """They have no permits, but take up room."""
        fleet = BrittleFleet(3)
        fleet.begin_without_permits(SLOTS)
        links.run_stepped(fleet.play_brittle(lambda *args: None))
        assert fleet.most_in_flight == SLOTS
        self._check_served(fleet)

    def test_requests_under_way_when_a_target_is_brittle_again(self) -> None:
        """The owner has counted before, but not these."""
        fleet = BrittleFleet(3)

        async def play_twice() -> None:
            await fleet.play_brittle(lambda *args: None)
            await fleet.end_all()
            for tolerated in (None, 3):
                fleet.state_all(tolerated)
                fleet.clock.step(10_000)
            fleet.begin_without_permits(SLOTS)
            await fleet.play_brittle(lambda *args: None)

        links.run_stepped(play_twice())
        assert fleet.most_in_flight == SLOTS

    def test_owner_that_nobody_can_ask_is_replaced_by_an_estimate(
        self,
    ) -> None:
        """Its own requests may still run; those of others are reported."""
        fleet = BrittleFleet(3)

        def kill_owner(fleet: BrittleFleet, elapsed_ms: int) -> None:
            if elapsed_ms == CHANGE_MS:
                fleet.ended.add(fleet.find_owner())
                fleet.silent |= fleet.ended

        links.run_stepped(fleet.play_brittle(kill_owner))
        assert fleet.most_in_flight == SLOTS

    def _check_served(self, fleet: BrittleFleet) -> None:
        """Check that the target was hardly idle."""
        assert fleet.served >= 0.8 * SLOTS * DURATION_MS / (RUN_MS + STEP_MS)


class TestSides:
    """Instances that don't hear each other, but reach the target."""

    def test_smaller_sides_use_their_part_of_the_room(self) -> None:
        """Both halves would use all of it."""
        fleet = BrittleFleet(6)
        for number, instance in enumerate(fleet.ids):
            fleet.side_by_id[instance] = number % 2
            for link in fleet.network.links:
                peer = link.peer_by_id.get(instance)
                own_side = fleet.ids.index(link._settings.instance) % 2
                if peer is not None and own_side != number % 2:
                    peer.received_ms = -1_000_000
        links.run_stepped(fleet.play_brittle(lambda *args: None))
        assert fleet.most_in_flight <= SLOTS
        by_side = collections.Counter(
            fleet.side_by_id[instance] for _, instance, _ in fleet.in_flight
        )
        assert set(by_side) == {0, 1}


class TestCounts:
    """The count in a message."""

    def test_malformed_count_is_an_error(self) -> None:
        """It is logged, and the requests are estimated."""
        fields = dataclasses.asdict(
            room.Count(6, 6, 0, [("a-1", 100, 0)], {"a": 1})
        )
        assert permit_messages.decode_count(fields).uncounted == {"a": 1}
        for name in fields:
            with pytest.raises((KeyError, TypeError, ValueError)):
                permit_messages.decode_count(fields | {name: [[1]]})
