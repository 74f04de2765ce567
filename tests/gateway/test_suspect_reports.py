"""Tests of the exchange of suspects between instances."""

import collections
import itertools
import random

import orjson
import pytest

from cardamom_gateway.fleet import peers
from cardamom_gateway.fleet import suspect_reports
from cardamom_kernel import clocks
from cardamom_kernel import ids
from cardamom_kernel import suspicion

POISON = "poison"
LOST_FRACTION = 0.3
# What an instance may send for control, see docs/CAPACITY.md.
MAX_CONTROL_BYTES_PER_S = 5_000


class FakeLink(peers.PeerLink):
    """A link that delivers each message at once, unless it is lost."""

    def __init__(self, fleet: "Fleet", name: str) -> None:
        self._fleet = fleet
        self._name = name
        self.member_by_id = {}
        self.peer_by_id = {}
        self.sent_bytes = 0

    def send(self, members: object, update: peers.StateUpdate) -> None:
        """Deliver a message to members."""
        update["n"] = self._name
        assert isinstance(members, list)
        self.sent_bytes += len(orjson.dumps(update)) * len(members)
        for member in members:
            self._fleet.deliver(self._name, member.id, update)


class Instance:
    """One instance's suspicions and reports."""

    def __init__(self, fleet: "Fleet", name: str, incarnation: str) -> None:
        self.incarnation = f"{name}@{incarnation}"
        self.link = FakeLink(fleet, name)
        self.suspicions = fleet.ledger(fleet.clock)
        self.reports = suspect_reports.SuspectReports(
            ids.InstanceId(name),
            fleet.clock,
            self.suspicions,
            self.link,
            lambda: {},
        )

    def crash(self, fingerprint: str, target: str) -> None:
        """Record a crash of a target that ran a request of this instance."""
        self.suspicions.record_crash(fingerprint, target)
        self.reports.note_crash(fingerprint)


class Fleet:
    """Instances that know each other; ``is_lost`` decides on messages."""

    def __init__(
        self,
        size: int,
        ledger: type[suspicion.Suspicions] = suspicion.Suspicions,
    ) -> None:
        self.ledger = ledger
        self.clock = clocks.SteppedClock()
        self.is_lost = lambda: False
        self.by_id: dict[str, Instance] = {}
        for number in range(size):
            self.start(f"i{number}", "1")

    def start(self, name: str, incarnation: str) -> None:
        """Start an instance, which replaces one of the same name."""
        self.by_id[name] = Instance(self, name, incarnation)
        for first, second in itertools.permutations(self.by_id, 2):
            self._introduce(first, second)

    def _introduce(self, name: str, other: str) -> None:
        member = peers.Member(ids.InstanceId(other), "", 0, "", "")
        link = self.by_id[name].link
        link.member_by_id[member.id] = member
        link.peer_by_id[member.id] = peers.Peer(
            member, self.clock.now_ms(), {}
        )

    def deliver(
        self, sender: str, recipient: str, update: peers.StateUpdate
    ) -> None:
        """Deliver a message."""
        if not self.is_lost():
            self.by_id[recipient].reports.receive(
                self.by_id[sender].incarnation,
                orjson.loads(orjson.dumps(update)),
            )

    def run(self, rounds: int = 6) -> None:
        """Let each instance send what is pending, and an ordinary message."""
        for _ in range(rounds):
            for name, instance in self.by_id.items():
                instance.reports.send_pending()
                for other in instance.link.member_by_id:
                    self.deliver(name, other, {"n": name})
            self.clock.step(suspect_reports.SEND_PERIOD_MS)

    def refusing(self, fingerprint: str) -> int:
        """Return the number of instances that refuse a request."""
        return sum(
            instance.suspicions.is_refused(fingerprint)
            for instance in self.by_id.values()
        )


class TestRefusal:
    """A request that crashes each target that runs it."""

    def test_crashes_at_two_instances_refuse_it_at_all(self) -> None:
        """Each instance alone would let it crash targets."""
        fleet = Fleet(12)
        fleet.by_id["i3"].crash(POISON, "t1@1")
        fleet.run()
        assert fleet.refusing(POISON) == 0
        fleet.by_id["i8"].crash(POISON, "t2@1")
        fleet.run()
        assert fleet.refusing(POISON) == 12

    @pytest.mark.parametrize("seed", range(5))
    def test_lost_messages_do_not_prevent_it(self, seed: int) -> None:
        """A report that is sent only once could be lost."""
        fleet = Fleet(12)
        generator = random.Random(seed)
        fleet.is_lost = lambda: generator.random() < LOST_FRACTION
        fleet.by_id["i3"].crash(POISON, "t1@1")
        fleet.run()
        fleet.by_id["i8"].crash(POISON, "t2@1")
        fleet.run()
        assert fleet.refusing(POISON) == 12

    def test_restarted_instance_learns_of_it(self) -> None:
        """The request would crash a target at each restarted instance."""
        fleet = Fleet(8)
        fleet.by_id["i1"].crash(POISON, "t1@1")
        fleet.by_id["i1"].crash(POISON, "t2@1")
        fleet.run()
        for name in list(fleet.by_id):
            fleet.start(name, "2")
            fleet.run()
            assert fleet.refusing(POISON) == 8

    def test_cleared_suspect_is_not_counted_by_its_owners(self) -> None:
        """Two crashes long apart would refuse a harmless request."""
        fleet = Fleet(8)
        fleet.by_id["i1"].crash("harmless", "t1@1")
        fleet.run()
        assert fleet.by_id["i1"].suspicions.clear("harmless")
        fleet.by_id["i1"].reports.note_cleared("harmless")
        fleet.run()
        fleet.by_id["i2"].crash("harmless", "t2@1")
        fleet.run()
        assert fleet.refusing("harmless") == 0


class TestCost:
    """What instances send after a crash of many targets."""

    @pytest.mark.parametrize("instances", [8, 64])
    def test_cost_of_a_crash_does_not_grow_with_the_instances(
        self, instances: int
    ) -> None:
        """Every instance could repeat what all others have reported."""
        fleet = Fleet(instances)
        losses_by_instance = collections.Counter[str]()
        for number, name in zip(
            range(6 * instances), itertools.cycle(fleet.by_id)
        ):
            fleet.by_id[name].crash(f"request-{number:020}", "i-0bd876572f@1")
            losses_by_instance[name] += 1
        assert set(losses_by_instance.values()) == {6}
        fleet.run(rounds=20)
        elapsed_s = fleet.clock.now_ms() / 1_000
        for instance in fleet.by_id.values():
            used = instance.link.sent_bytes / elapsed_s
            assert used <= MAX_CONTROL_BYTES_PER_S
