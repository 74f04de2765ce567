"""Tests of cold targets: when a target is cold, and what a fleet sends."""

import dataclasses
import random
import typing

import pytest

from cardamom_gateway.fleet import peers
from cardamom_gateway import metrics as metrics_module
from cardamom_gateway import model
from cardamom_gateway.targets import permit_client
from cardamom_gateway.targets import permit_messages
from cardamom_gateway.targets import permit_owners
from cardamom_gateway.targets import target_limits
from cardamom_gateway.targets import target_records
from cardamom_gateway.targets import target_registry
from cardamom_kernel import clocks
from cardamom_kernel import ids
from cardamom_kernel import tasks
from cardamom_policy import room
from tests.gateway import links

SERVICE = model.Service(
    model.ServiceId("engines"), 50, cold_start_ms=3_000, cold_rate_per_s=9.2
)
OVERAGE = 1.5
TOLERANCE = 5.0
ALLOWED = SERVICE.cold_rate_per_s * OVERAGE + TOLERANCE
STEP_MS = 10
SECOND_MS = 1_000
MAX_ENTRY_DELAY_MS = 1_000
MAX_ARRIVAL_DELAY_MS = 60
OBSERVE_PERIOD_MS = 150
TARGET = model.Target(
    ids.TargetId("e1"),
    SERVICE.id,
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


def entry(sequence: int, warmup_ms: int, started_ms: int = 0) -> model.Target:
    """Return an entry of the target."""
    return dataclasses.replace(
        TARGET,
        entry_sequence=sequence,
        warmup_ms=warmup_ms,
        started_ms=TARGET.started_ms + started_ms,
    )


def make_registry(clock: clocks.Clock) -> target_registry.TargetRegistry:
    """Return a registry that knows the service."""
    registry = target_registry.TargetRegistry(clock, ids.DataCentreId("bog-a"))
    registry.cold_rules.set_services([SERVICE], OVERAGE, TOLERANCE)
    return registry


class OneTarget:
    """One target in the registry of one instance."""

    def __init__(self) -> None:
        self.clock = clocks.SteppedClock(100_000)
        self.registry = make_registry(self.clock)

    @property
    def record(self) -> target_records.TargetRecord:
        """Return the target's record."""
        return self.registry.by_id[TARGET.id]

    @property
    def need(self) -> target_records.PermitNeed | None:
        """Return why a request needs a permit now."""
        return self.record.permit_need(self.clock.now_ms())


class TestWhenATargetIsCold:
    """What entries, outages and evacuations say of a target."""

    def test_time_counts_from_when_the_entry_is_read(self) -> None:
        """Guards against a late entry that is taken for a fresh one."""
        one = OneTarget()
        one.registry.put(entry(1, 2_000))
        one.clock.step(1_999)
        assert one.need is not None and one.need.cold is not None
        one.clock.step(1)
        assert one.need is None

    def test_entry_without_a_time_is_believed(self) -> None:
        """Guards against limits on targets that started before traffic."""
        one = OneTarget()
        one.registry.put(entry(1, 0))
        assert one.need is None

    def test_target_that_turns_cold_later_needs_permits(self) -> None:
        """Guards against a state that is read only at the first entry."""
        one = OneTarget()
        one.registry.put(entry(1, 0))
        one.registry.put(entry(2, 3_000))
        assert one.need is not None
        one.registry.put(entry(3, 0))
        assert one.need is None

    def test_target_that_was_not_reached_counts_as_cold(self) -> None:
        """Guards against a restart whose entry the store doesn't pass on."""
        one = OneTarget()
        one.registry.put(entry(1, 0))
        one.record.record_connect_failure(one.clock.now_ms())
        assert one.need is not None and one.need.cold is not None
        one.clock.step(10_000)
        assert one.need is None
        one.record.record_connect_success(one.clock.now_ms())
        assert one.need is not None
        one.clock.step(SERVICE.cold_start_ms)
        one.record.record_connect_success(one.clock.now_ms())
        assert one.need is None

    def test_older_entry_that_arrives_late_changes_nothing(self) -> None:
        """Guards against an earlier entry that calls a cold target warm."""
        one = OneTarget()
        one.registry.put(entry(2, 3_000))
        one.registry.put(entry(1, 0))
        assert one.need is not None

    def test_restart_begins_anew(self) -> None:
        """Guards against a prefix cache that the target has lost."""
        one = OneTarget()
        one.registry.put(entry(9, 0))
        before = one.record
        one.registry.put(entry(1, 3_000, started_ms=5))
        assert one.need is not None
        assert one.record.prefix_cache is not before.prefix_cache

    def test_state_outlasts_another_address(self) -> None:
        """Guards against a new address that makes a target warm."""
        one = OneTarget()
        one.registry.put(entry(1, 0))
        one.record.note_cold(one.clock.now_ms() + 3_000)
        one.registry.put(dataclasses.replace(entry(2, 0), address="10.2:1"))
        assert one.need is not None

    def test_first_entry_after_an_outage_may_be_outdated(self) -> None:
        """Guards against a target that started during the outage."""
        one = OneTarget()
        one.registry.put(entry(1, 0), is_after_outage=True)
        assert one.need is not None
        one.registry.put(entry(1, 0), is_after_outage=True)
        assert one.need is not None
        one.registry.put(entry(2, 0), is_after_outage=True)
        assert one.need is None

    def test_target_known_before_an_outage_keeps_its_state(self) -> None:
        """Guards against limits on all targets after each outage."""
        one = OneTarget()
        one.registry.put(entry(1, 0))
        one.registry.put(entry(2, 0), is_after_outage=True)
        assert one.need is None

    def test_noted_time_outlasts_entries(self) -> None:
        """Guards against a warm entry from before an evacuation's end."""
        one = OneTarget()
        one.registry.put(entry(1, 0))
        one.record.note_cold(one.clock.now_ms() + 3_000)
        one.registry.put(entry(2, 0))
        assert one.need is not None
        one.clock.step(3_000)
        assert one.need is None

    def test_instance_that_is_cut_off_takes_all_for_cold(self) -> None:
        """Guards against an instance that can't know which are cold."""
        one = OneTarget()
        one.registry.put(entry(1, 0))
        one.registry.cold_rules.is_cut_off = True
        assert one.need is not None

    def test_targets_of_other_services_are_never_cold(self) -> None:
        """Guards against an effect on deployments without cold targets."""
        one = OneTarget()
        one.registry.cold_rules.set_services([], OVERAGE, TOLERANCE)
        one.registry.cold_rules.is_cut_off = True
        one.registry.put(entry(1, 3_000), is_after_outage=True)
        one.record.note_cold(one.clock.now_ms() + 3_000)
        assert one.need is None

    def test_stated_limit_and_warmth_are_reasons_apart(self) -> None:
        """Guards against a limit that ends as the target gets warm."""
        one = OneTarget()
        one.registry.put(entry(1, 3_000))
        now_ms = one.clock.now_ms()
        one.record.limit = target_records.StatedLimit(1.5, None, now_ms, True)
        assert one.need is not None
        assert (one.need.stated_rate_per_s, one.need.reason) == (1.5, "cold")
        one.clock.step(3_000)
        assert one.need is not None and one.need.cold is None

    def test_wait_for_a_permit_ends_as_the_target_gets_warm(self) -> None:
        """Guards against a warm target that is left out for its permits."""
        one = OneTarget()
        one.registry.put(entry(1, 3_000))
        now_ms = one.clock.now_ms()
        one.record.pause_permits(now_ms + 60_000, is_urgent=True)
        assert one.record.permit_wait_ms(True, now_ms) == 60_000
        assert one.record.permit_wait_ms(True, now_ms + 3_000) == 0


class Instance:
    """One instance of the fleet, and when it hears the others."""

    def __init__(self, fleet: "Fleet", link: peers.PeerLink) -> None:
        self._fleet = fleet
        self.link = link
        self.id = link._settings.instance
        self.side = 0
        self.is_running = True
        self.is_store_reached = True
        self.started_ms = fleet.clock.now_ms() - 60_000
        self.next_observation_ms = 0
        self.due_entries: list[tuple[int, model.Target]] = []
        self.begin()

    def begin(self) -> None:
        """Start with nothing known of targets and permits."""
        clock = self._fleet.clock
        self.registry = make_registry(clock)
        self.limits = target_limits.TargetLimits(
            self.id,
            clock,
            self.registry,
            self.link,
            lambda: {"up": clock.now_ms()},
            lambda: False,
            lambda: self.is_store_reached,
        )
        self.client = permit_client.PermitClient(
            self.id,
            clock,
            permit_owners.PermitOwners(
                clock, self.limits, Calls(self._fleet, self)
            ),
            tasks.TaskGroup(clock),
            self._fleet.metrics,
        )


class Calls(permit_owners.PermitCalls):
    """Calls of one instance; no target here is brittle."""

    def __init__(self, fleet: "Fleet", instance: Instance) -> None:
        self._fleet = fleet
        self._instance = instance

    async def ask_permit(
        self,
        owner: peers.Member,
        request: permit_messages.PermitRequest,
        running: int,
        is_passed_on: bool = False,
    ) -> int | None:
        """Ask an instance of the same side that runs."""
        other = self._fleet.instance_by_id[owner.id]
        if not other.is_running or other.side != self._instance.side:
            return None
        fields = request.fields()
        return other.limits.take(permit_messages.PermitRequest(**fields))

    async def report_permit_end(
        self,
        owner: peers.Member,
        end: permit_messages.PermitEnd,
        is_passed_on: bool = False,
    ) -> None:
        """Do nothing."""

    async def take_count(
        self,
        previous: peers.Member,
        incarnation: str,
        to: peers.Member | None = None,
    ) -> room.Count | None:
        """Return no count."""
        return None

    async def return_count(
        self,
        owner: peers.Member,
        incarnation: str,
        count: room.Count,
    ) -> None:
        """Do nothing."""


class Fleet:
    """Instances that send to one target whenever they may."""

    def __init__(self, size: int, rng: random.Random) -> None:
        self.network = links.Network(size, lambda *args: None)
        self.clock = self.network.clock
        self.rng = rng
        self.metrics = metrics_module.Metrics()
        self.instances = [Instance(self, k) for k in self.network.links]
        self.instance_by_id = {i.id: i for i in self.instances}
        self.member_by_id = {
            member_id: member
            for link in self.network.links
            for member_id, member in link.member_by_id.items()
        }
        self.sequence = 0
        self.started_ms = 0
        self.cold_until_ms = 0
        self.next_entry_ms = 0
        self.arrivals_ms: list[int] = []
        self.has_demand = True
        self._next_message_ms: dict[tuple[str, str], int] = {}

    def restart_target(self, cold_ms: int) -> None:
        """Start the target anew; it is cold then."""
        now_ms = self.clock.now_ms()
        self.started_ms = now_ms
        self.sequence = 0
        self.cold_until_ms = now_ms + cold_ms
        self.next_entry_ms = now_ms

    def _write_entry(self, max_delay_ms: int) -> None:
        """Write the target's entry, which reaches instances later."""
        now_ms = self.clock.now_ms()
        if now_ms < self.next_entry_ms:
            return
        self.next_entry_ms = now_ms + 1_200
        self.sequence += 1
        warmup_ms = max(0, self.cold_until_ms - now_ms)
        written = entry(self.sequence, warmup_ms, self.started_ms)
        for instance in self.instances:
            due_ms = now_ms + self.rng.randrange(max_delay_ms + 1)
            instance.due_entries.append((due_ms, written))

    def _deliver_entries(self, instance: Instance) -> None:
        now_ms = self.clock.now_ms()
        due = [e for due_ms, e in instance.due_entries if due_ms <= now_ms]
        instance.due_entries = [
            pending for pending in instance.due_entries if pending[0] > now_ms
        ]
        for target in due:
            known = instance.registry.by_id.get(target.id)
            if known is None or target.started_ms >= known.target.started_ms:
                instance.registry.put(target)

    def _deliver_messages(self, recipient: Instance) -> None:
        """Let an instance hear the others each 250 to 1,000 ms.

        An instance that has started is heard up to a second later.
        """
        now_ms = self.clock.now_ms()
        for sender in self.instances:
            key = (sender.id, recipient.id)
            if (
                sender is recipient
                or not sender.is_running
                or sender.side != recipient.side
                or now_ms < self._next_message_ms.get(key, 0)
            ):
                continue
            self._next_message_ms[key] = now_ms + self.rng.choice((250, 1_000))
            member = self.member_by_id[sender.id]
            recipient.link.peer_by_id[sender.id] = peers.Peer(
                member, now_ms, {}
            )

    def start_again(self, instance: Instance) -> None:
        """Start an instance that hears the others one after the other."""
        now_ms = self.clock.now_ms()
        instance.is_running = True
        instance.link.peer_by_id.clear()
        instance.begin()
        for other in self.instances:
            for key in ((instance.id, other.id), (other.id, instance.id)):
                delay_ms = self.rng.randrange(SECOND_MS)
                self._next_message_ms[key] = now_ms + delay_ms
        if self.sequence:
            last = entry(
                self.sequence,
                max(0, self.cold_until_ms - self.next_entry_ms + 1_200),
                self.started_ms,
            )
            instance.registry.put(last)

    async def play(
        self,
        duration_ms: int,
        disturb: typing.Callable[[int], None],
        max_entry_delay_ms: int = MAX_ENTRY_DELAY_MS,
    ) -> None:
        """Let all instances send whenever they may."""
        for step in range(duration_ms // STEP_MS):
            disturb(step * STEP_MS)
            self._write_entry(max_entry_delay_ms)
            running = [i for i in self.instances if i.is_running]
            self.rng.shuffle(running)
            for instance in running:
                self._deliver_messages(instance)
                if instance.is_store_reached:
                    self._deliver_entries(instance)
                if self.clock.now_ms() >= instance.next_observation_ms:
                    await instance.limits.observe()
                    instance.next_observation_ms = (
                        self.clock.now_ms() + OBSERVE_PERIOD_MS
                    )
                if self.has_demand:
                    await self._send(instance)
            self.clock.step(STEP_MS)

    async def _send(self, instance: Instance) -> None:
        """Send a request to the target if it is cold and may get one.

        Requests to an earlier incarnation are answered with 421.
        """
        now_ms = self.clock.now_ms()
        record = instance.registry.by_id.get(TARGET.id)
        if record is None or record.target.started_ms != (
            TARGET.started_ms + self.started_ms
        ):
            return
        is_urgent = self.rng.random() < 0.5
        if record.permit_wait_ms(is_urgent, now_ms):
            return
        if record.permit_need(now_ms) is not None:
            if await instance.client.acquire(record, is_urgent, 1_000.0):
                self._arrive(now_ms)
        elif now_ms < self.cold_until_ms:
            self._arrive(now_ms)  # sent without a permit

    def _arrive(self, now_ms: int) -> None:
        delay_ms = self.rng.randrange(MAX_ARRIVAL_DELAY_MS)
        self.arrivals_ms.append(now_ms + delay_ms)

    def most_in_a_second(self) -> int:
        """Return the most requests that arrived in any second."""
        times = sorted(self.arrivals_ms)
        return max(
            (
                sum(1 for t in times if first <= t < first + SECOND_MS)
                for first in times
            ),
            default=0,
        )

    def longest_gap_ms(self) -> int:
        """Return the longest time between two requests."""
        times = sorted(self.arrivals_ms)
        return max(b - a for a, b in zip(times, times[1:]))


class TestColdTargetOfAFleet:
    """Instances that would all send as much as a cold target bears."""

    @pytest.mark.parametrize("size", [1, 3, 12, 40])
    def test_permits_are_used_and_the_bound_holds(self, size: int) -> None:
        """Guards against permits that are left while requests wait."""
        fleet = Fleet(size, random.Random(size))

        def disturb(elapsed_ms: int) -> None:
            if elapsed_ms == 2_000:
                fleet.restart_target(20_000)

        links.run_stepped(fleet.play(22_000, disturb))
        assert fleet.most_in_a_second() <= ALLOWED
        assert len(fleet.arrivals_ms) >= 0.85 * 19 * SERVICE.cold_rate_per_s
        assert fleet.longest_gap_ms() <= 400

    @pytest.mark.parametrize("seed", range(4))
    def test_bound_holds_while_targets_and_instances_start(
        self, seed: int
    ) -> None:
        """Guards against a burst of the new owner beside the earlier one's."""
        rng = random.Random(seed)
        fleet = Fleet(12, rng)
        stopped: list[Instance] = []

        def disturb(elapsed_ms: int) -> None:
            if elapsed_ms % 5_000 == 1_000:
                fleet.restart_target(3_000 + rng.randrange(1_500))
            if elapsed_ms % 700 == 0 and stopped:
                fleet.start_again(stopped.pop())
            elif elapsed_ms % 900 == 0:
                running = [i for i in fleet.instances if i.is_running]
                stopped.append(rng.choice(running))
                stopped[-1].is_running = False

        links.run_stepped(fleet.play(40_000, disturb))
        assert 0 < fleet.most_in_a_second() <= ALLOWED

    @pytest.mark.parametrize("size", [4, 9])
    @pytest.mark.parametrize("sides", [2, 4])
    def test_bound_holds_over_all_sides_of_a_partition(
        self, size: int, sides: int
    ) -> None:
        """Guards against sides that each use the whole bound.

        The demand pauses in all sides at once, so that all save permits.
        """
        fleet = Fleet(size, random.Random(size))

        def disturb(elapsed_ms: int) -> None:
            if elapsed_ms == 2_000:
                fleet.restart_target(28_000)
            fleet.has_demand = elapsed_ms % 2_000 >= 900
            for number, instance in enumerate(fleet.instances):
                is_cut = 6_000 <= elapsed_ms < 18_000
                instance.side = number % sides if is_cut else 0

        links.run_stepped(fleet.play(30_000, disturb))
        assert fleet.most_in_a_second() <= ALLOWED
        during_cut = [
            t
            for t in fleet.arrivals_ms
            if 12_000 <= t - links_start_ms() < 18_000
        ]
        assert len(during_cut) >= 0.3 * 6 * SERVICE.cold_rate_per_s

    def test_bound_holds_when_the_owner_is_suspended(self) -> None:
        """Guards against an owner that returns with its former permits."""
        fleet = Fleet(9, random.Random(3))
        owner: list[Instance] = []

        def disturb(elapsed_ms: int) -> None:
            if elapsed_ms == 2_000:
                fleet.restart_target(28_000)
            if elapsed_ms == 8_000:
                incarnation = entry(1, 0, fleet.started_ms).incarnation
                member = fleet.instances[0].limits.owner(incarnation)
                first = member.id if member else fleet.instances[0].id
                owner.append(fleet.instance_by_id[first])
                owner[0].is_running = False
            if elapsed_ms in (13_000, 20_000):
                owner[0].is_running = True
            if elapsed_ms == 19_000:
                owner[0].is_running = False

        links.run_stepped(fleet.play(30_000, disturb))
        assert fleet.most_in_a_second() <= ALLOWED
        assert fleet.longest_gap_ms() <= peers.MAX_PEER_AGE_MS + 1_500

    @pytest.mark.parametrize("cut", [1, 3, 9])
    def test_instances_that_are_cut_off_send_little(self, cut: int) -> None:
        """Guards against instances that can't know which targets are cold.

        They don't read the entry after which the others need permits.
        """
        fleet = Fleet(9, random.Random(cut))

        def disturb(elapsed_ms: int) -> None:
            if elapsed_ms == 4_000:
                for number, instance in enumerate(fleet.instances[:cut]):
                    instance.side = number + 1
                    instance.is_store_reached = False
            if elapsed_ms == 10_000:
                fleet.cold_until_ms = fleet.clock.now_ms() + 20_000
                fleet.next_entry_ms = fleet.clock.now_ms()

        links.run_stepped(fleet.play(30_000, disturb, max_entry_delay_ms=0))
        assert 0 < fleet.most_in_a_second() <= ALLOWED

    def test_one_target_of_two_owners_gives_permits_once(self) -> None:
        """Guards against instances that ask one that isn't the owner."""
        fleet = Fleet(3, random.Random(1))

        def disturb(elapsed_ms: int) -> None:
            if elapsed_ms == 2_000:
                fleet.restart_target(10_000)

        links.run_stepped(fleet.play(6_000, disturb))
        incarnation = entry(1, 0, fleet.started_ms).incarnation
        others = [
            i
            for i in fleet.instances
            if i.limits.owner(incarnation) is not None
        ]
        bound = fleet.instances[0].registry.cold_rules.by_service[SERVICE.id]
        request = permit_messages.PermitRequest(
            incarnation=incarnation,
            permit="x",
            rate_per_s=None,
            is_brittle=False,
            slots=64,
            is_urgent=True,
            expires_in_ms=1_000,
            cold_rate_per_s=bound.bound.rate_per_s,
            cold_burst=bound.bound.burst,
        )
        assert len(others) == len(fleet.instances) - 1
        waits_ms = [i.limits.take(request) for i in others]
        assert waits_ms == [target_limits.UNSETTLED_WAIT_MS] * len(others)

    def test_permits_are_counted(self) -> None:
        """Guards against decisions that operators can't see."""
        fleet = Fleet(3, random.Random(1))

        def disturb(elapsed_ms: int) -> None:
            if elapsed_ms == 2_000:
                fleet.restart_target(3_000)

        links.run_stepped(fleet.play(6_000, disturb))
        text = fleet.metrics.text().decode()
        assert 'cardamom_permits_total{outcome="given",reason="cold"}' in text
        assert 'outcome="refused",reason="cold"}' in text


def links_start_ms() -> int:
    """Return the clock's reading at the start of each fleet."""
    return 100_000


class TestMessagesOfPermits:
    """The fields that owners of permits are sent."""

    def test_warm_target_is_asked_for_as_by_earlier_builds(self) -> None:
        """Guards against fields that an owner of an earlier build rejects."""
        request = permit_messages.PermitRequest(
            "e1@1", "x", 1.5, False, 64, True, 1_000
        )
        assert not any(name.startswith("cold") for name in request.fields())
        assert request.fields()["rate_per_s"] == 1.5
