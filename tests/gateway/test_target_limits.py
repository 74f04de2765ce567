"""Tests of the permits that a fleet of instances shares."""

import collections
import dataclasses
import random
import typing

import orjson
import pytest

from cardamom_gateway.fleet import peers
from cardamom_gateway import model
from cardamom_gateway.targets import brittle_services
from cardamom_gateway.targets import permit_client
from cardamom_gateway.targets import permit_messages
from cardamom_gateway.targets import permit_owners
from cardamom_gateway.targets import target_limits
from cardamom_gateway.targets import target_records
from cardamom_gateway.targets import target_registry
from cardamom_kernel import ids
from cardamom_kernel import tasks
from cardamom_policy import room
from tests.gateway import links

STEP_MS = 20
SPAN_MS = 4_000
# The operators count requests from this long after the first statement.
CONTACT_MS = 3_000
DURATION_MS = 20_000
OVERAGE_RATIO = 1.5
SLACK_REQUESTS = 5
TARGET = model.Target(
    ids.TargetId("e1"),
    model.ServiceId("engines"),
    "10.1.64.1:8264",
    ids.DataCentreId("bog-a"),
    64,
    model.TargetState.READY,
    1_700_000_000_000,
    1,
    frozenset(),
    frozenset(),
    frozenset(),
)


def answer_head(
    rate_per_s: float | None, tolerated_rejections: int | None = None
) -> model.AnswerHead:
    """Return the head of an answer that states these limits."""
    return model.AnswerHead(
        "a", True, False, None, rate_per_s, tolerated_rejections
    )


class Calls(permit_owners.PermitCalls):
    """Calls of one instance to those that it reaches."""

    def __init__(self, fleet: "Fleet", member: peers.Member) -> None:
        self._fleet = fleet
        self._member = member

    def _owners(self, peer: peers.Member) -> permit_owners.PermitOwners | None:
        if not self._fleet.is_reached(self._member.id, peer.id):
            return None
        return self._fleet.owners_by_id[peer.id]

    async def ask_permit(
        self,
        owner: peers.Member,
        request: permit_messages.PermitRequest,
        running: int,
        is_passed_on: bool = False,
    ) -> int | None:
        """Ask an owner; return None if it isn't reached."""
        owners = self._owners(owner)
        if owners is None:
            return None
        return await owners.take(request, running, is_passed_on)

    async def report_permit_end(
        self,
        owner: peers.Member,
        end: permit_messages.PermitEnd,
        is_passed_on: bool = False,
    ) -> None:
        """Report to an owner if it is reached."""
        owners = self._owners(owner)
        if owners is not None:
            await owners.finish(end, is_passed_on)

    async def take_count(
        self,
        previous: peers.Member,
        incarnation: str,
        to: peers.Member | None = None,
    ) -> room.Count | None:
        """Take a count over if the previous owner is reached."""
        owners = self._owners(previous)
        if owners is None:
            return None
        count = await owners.hand_over(
            incarnation, to or self._member, to is not None
        )
        return count and permit_messages.decode_count(
            orjson.loads(orjson.dumps(dataclasses.asdict(count)))
        )

    async def return_count(
        self,
        owner: peers.Member,
        incarnation: str,
        count: room.Count,
    ) -> None:
        """Give a count to an owner if it is reached."""
        owners = self._owners(owner)
        if owners is not None:
            owners.accept(incarnation, count)


class Fleet:
    """Instances that know one target, without a network."""

    def __init__(self, size: int) -> None:
        self.network = links.Network(size, self._receive)
        self.clock = self.network.clock
        self.silent: set[ids.InstanceId] = set()
        self.side_by_id: dict[ids.InstanceId, int] = collections.defaultdict(
            int
        )
        self.limits_by_id: dict[
            ids.InstanceId, target_limits.TargetLimits
        ] = {}
        self.owners_by_id: dict[
            ids.InstanceId, permit_owners.PermitOwners
        ] = {}
        self.stopping: set[ids.InstanceId] = set()
        self.records: list[target_records.TargetRecord] = []
        self.clients: list[permit_client.PermitClient] = []
        self.all_limits: list[target_limits.TargetLimits] = []
        self.ids: list[ids.InstanceId] = []
        for link in self.network.links:
            self._add(link)
        self.sent_ms: list[int] = []

    def _add(self, link: peers.PeerLink) -> None:
        instance = link._settings.instance
        registry = target_registry.TargetRegistry(
            self.clock, ids.DataCentreId("bog-a")
        )
        registry.put(TARGET)
        limits = target_limits.TargetLimits(
            instance,
            self.clock,
            registry,
            link,
            lambda: {"up": self.clock.now_ms()},
            lambda: instance in self.stopping,
        )
        self.limits_by_id[instance] = limits
        self.all_limits.append(limits)
        owners = permit_owners.PermitOwners(
            self.clock, limits, Calls(self, peers.own_member(link._settings))
        )
        self.owners_by_id[instance] = owners
        self.clients.append(
            permit_client.PermitClient(
                instance, self.clock, owners, tasks.TaskGroup(self.clock)
            )
        )
        self.records.append(registry.by_id[TARGET.id])
        self.ids.append(instance)

    def _receive(
        self,
        number: int,
        incarnation: str,
        update: peers.StateUpdate,
        age_ms: int,
    ) -> None:
        self.all_limits[number].receive(update)

    def keep_fresh(self) -> None:
        """Let all instances of a side hear each other."""
        now_ms = self.clock.now_ms()
        for link in self.network.links:
            side = self.side_by_id[link._settings.instance]
            for peer in link.peer_by_id.values():
                if (
                    self.side_by_id[peer.member.id] == side
                    and peer.member.id not in self.silent
                ):
                    peer.received_ms = now_ms

    def is_reached(self, asker: ids.InstanceId, other: ids.InstanceId) -> bool:
        """Return whether an instance gets answers of another."""
        is_cut = self.side_by_id[other] != self.side_by_id[asker]
        return not is_cut and other not in self.silent

    async def play(
        self, rate_per_s: float, disturb: typing.Callable[[int], None]
    ) -> None:
        """Let all instances send whenever they may."""
        for number, limits in enumerate(self.all_limits):
            limits.note_answer(self.records[number], answer_head(rate_per_s))
        self.network.deliver()
        start_ms = self.clock.now_ms()
        for step in range(DURATION_MS // STEP_MS):
            disturb(step * STEP_MS)
            self.keep_fresh()
            await self._send_all(start_ms)
            self.clock.step(STEP_MS)

    async def _send_all(self, start_ms: int) -> None:
        numbers = list(range(len(self.ids)))
        random.shuffle(numbers)
        for number in numbers:
            record, instance = self.records[number], self.ids[number]
            client = self.clients[number]
            now_ms = self.clock.now_ms()
            if instance in self.silent or record.permit_wait_ms(True, now_ms):
                continue
            if await client.acquire(record, True, 1_000.0):
                self.sent_ms.append(now_ms - start_ms)

    def most_in_span(self) -> int:
        """Return the most requests in a span, from when they count."""
        times = [t for t in self.sent_ms if t >= CONTACT_MS]
        return max(
            sum(1 for t in times if first <= t < first + SPAN_MS)
            for first in times
        )


def allowed(rate_per_s: float) -> float:
    """Return how many requests the target may get in a span."""
    span_s = SPAN_MS / 1000
    return rate_per_s * span_s * OVERAGE_RATIO + SLACK_REQUESTS


class TestPermitsOfAFleet:
    """Instances that would all send more than the target takes."""

    @pytest.mark.parametrize("size", [9, 64])
    @pytest.mark.parametrize("rate_per_s", [0.0, 0.4, 1.5, 20.0])
    def test_sum_of_all_instances_keeps_to_the_limit(
        self, size: int, rate_per_s: float
    ) -> None:
        """The limit is used, but not by each instance."""
        fleet = Fleet(size)
        links.run_stepped(fleet.play(rate_per_s, lambda elapsed_ms: None))
        assert fleet.most_in_span() <= allowed(rate_per_s)
        expected = rate_per_s * DURATION_MS / 1000
        assert len(fleet.sent_ms) >= 0.8 * expected

    @pytest.mark.parametrize("rate_per_s", [0.4, 1.5, 20.0])
    def test_sum_holds_when_the_owner_falls_silent(
        self, rate_per_s: float
    ) -> None:
        """Another instance takes over, and is used from then on."""
        fleet = Fleet(9)
        owner = fleet.all_limits[0].owner(TARGET.incarnation)
        first = owner.id if owner else fleet.ids[0]

        def disturb(elapsed_ms: int) -> None:
            if elapsed_ms == 6_000:
                fleet.silent.add(first)
            if elapsed_ms == 14_000:
                fleet.silent.clear()

        links.run_stepped(fleet.play(rate_per_s, disturb))
        assert fleet.most_in_span() <= allowed(rate_per_s)
        silent_ms = peers.MAX_PEER_AGE_MS
        used_ms = DURATION_MS - silent_ms - 2 * 1_000 / rate_per_s
        assert len(fleet.sent_ms) >= 0.7 * rate_per_s * used_ms / 1_000

    @pytest.mark.parametrize("rate_per_s", [0.4, 1.5, 20.0])
    @pytest.mark.parametrize("size", [8, 9])
    def test_sum_holds_over_both_sides_of_a_partition(
        self, size: int, rate_per_s: float
    ) -> None:
        """Both sides reach the target, but not each other."""
        fleet = Fleet(size)

        def disturb(elapsed_ms: int) -> None:
            for number, instance in enumerate(fleet.ids):
                is_cut = 6_000 <= elapsed_ms < 14_000
                fleet.side_by_id[instance] = number % 2 if is_cut else 0

        links.run_stepped(fleet.play(rate_per_s, disturb))
        assert fleet.most_in_span() <= allowed(rate_per_s)

    def test_end_of_a_limit_reaches_all_instances(self) -> None:
        """A report of the limit that arrives late doesn't bring it back."""
        fleet = Fleet(3)
        fleet.all_limits[0].note_answer(fleet.records[0], answer_head(1.5))
        late = {"n": fleet.ids[0], "t": fleet.all_limits[0].export()}
        fleet.network.deliver()
        assert all(r.limit and r.limit.rate_per_s for r in fleet.records)
        fleet.clock.step(500)
        fleet.all_limits[1].note_answer(fleet.records[1], answer_head(None))
        fleet.network.deliver()
        late["t"][TARGET.id][3] += 500
        fleet.all_limits[2].receive(late)
        assert not any(
            r.limit.rate_per_s is not None for r in fleet.records if r.limit
        )

    def test_limit_of_an_earlier_incarnation_is_ignored(self) -> None:
        """A target that has started again states its limit itself."""
        fleet = Fleet(2)
        entry = [TARGET.started_ms - 1, 1.5, None, 0]
        fleet.all_limits[0].receive({"n": "x", "t": {TARGET.id: entry}})
        assert fleet.records[0].limit is None

    @pytest.mark.parametrize("value", [-1.0, "many", [1]])
    def test_malformed_report_is_an_error(self, value: object) -> None:
        """It is logged and dropped with its message."""
        fleet = Fleet(2)
        entry = [TARGET.started_ms, value, None, 0]
        update = {"n": "x", "t": {TARGET.id: entry}}
        with pytest.raises((ValueError, TypeError)):
            fleet.all_limits[0].receive(update)


class TestRestartedBrittleTargets:
    """Targets that start while others of their service are brittle."""

    OTHER = dataclasses.replace(TARGET, id=ids.TargetId("e2"))

    def _start_other(
        self, fleet: Fleet, number: int = 0
    ) -> target_records.TargetRecord:
        """Let another target start; return its record at an instance."""
        registry = fleet.all_limits[number]._targets
        registry.put(self.OTHER)
        return registry.by_id[self.OTHER.id]

    def _is_brittle(
        self, fleet: Fleet, record: target_records.TargetRecord
    ) -> bool:
        need = record.permit_need(fleet.clock.now_ms())
        return need is not None and need.is_brittle

    def test_target_counts_as_brittle_before_its_first_answer(self) -> None:
        """At all instances, whichever of them have heard of the others."""
        fleet = Fleet(2)
        fleet.all_limits[0].note_answer(fleet.records[0], answer_head(None, 3))
        fleet.network.deliver()
        for number in range(2):
            record = self._start_other(fleet, number)
            assert self._is_brittle(fleet, record)

    def test_first_answer_decides(self) -> None:
        """One brittle target doesn't bind its service for long."""
        fleet = Fleet(1)
        limits = fleet.all_limits[0]
        limits.note_answer(fleet.records[0], answer_head(None, 3))
        record = self._start_other(fleet)
        limits.note_answer(record, answer_head(None))
        assert not self._is_brittle(fleet, record)
        limits.note_answer(fleet.records[0], answer_head(None, 3))
        assert not self._is_brittle(fleet, record)

    def test_target_that_has_answered_is_not_bound_by_others(self) -> None:
        """It would have said so itself."""
        fleet = Fleet(1)
        record = self._start_other(fleet)
        limits = fleet.all_limits[0]
        limits.note_answer(record, answer_head(None))
        limits.note_answer(fleet.records[0], answer_head(None, 3))
        assert not self._is_brittle(fleet, record)

    def test_other_services_are_not_bound(self) -> None:
        """Their targets may be of another kind."""
        fleet = Fleet(1)
        limits = fleet.all_limits[0]
        limits.note_answer(fleet.records[0], answer_head(None, 3))
        registry = limits._targets
        registry.put(
            dataclasses.replace(self.OTHER, service=model.ServiceId("plain"))
        )
        assert not self._is_brittle(fleet, registry.by_id[self.OTHER.id])

    def test_statement_of_long_ago_binds_nobody(self) -> None:
        """The others may have been idle, or replaced, since."""
        fleet = Fleet(1)
        fleet.all_limits[0].note_answer(fleet.records[0], answer_head(None, 3))
        fleet.clock.step(brittle_services.RETENTION_MS + 1)
        assert not self._is_brittle(fleet, self._start_other(fleet))
