"""Tests of the choice of the instance that reads the store."""

import dataclasses

import pytest

from cardamom_gateway.store import store_readers
from cardamom_gateway.store import store_watch
from cardamom_kernel import clocks
from cardamom_kernel import ids

DATA_CENTRE = ids.DataCentreId("bog-a")
# Instances of one data centre of the largest fleet to design for.
INSTANCES = 41
# Operators allow this long until instances act on a loss.
CONTACT_MS = 3_000


@dataclasses.dataclass
class Instance:
    """One instance of a data centre, as its peers see it."""

    election: store_readers.ReaderElection
    id: ids.InstanceId
    has_store: bool = True
    is_running: bool = True
    is_stopping: bool = False
    starts: int = 0

    def candidate(self) -> store_readers.Candidate:
        """Return what the instance says of itself."""
        return store_readers.Candidate(
            self.id,
            self.election.is_reading and self.has_store,
            self.has_store,
            self.is_stopping,
            age_ms=0,
        )


class DataCentre:
    """Instances that hear each other in each step."""

    def __init__(self, size: int) -> None:
        self.clock = clocks.SteppedClock(100_000)
        self.instances = []
        for number in range(size):
            name = ids.InstanceId(f"frontend-{number}")
            election = store_readers.ReaderElection(
                name, DATA_CENTRE, self.clock
            )
            self.instances.append(Instance(election, name))

    def run(self, duration_ms: int) -> None:
        """Let time pass."""
        for _ in range(duration_ms // store_watch.CHECK_PERIOD_MS):
            self.clock.step(store_watch.CHECK_PERIOD_MS)
            running = [i for i in self.instances if i.is_running]
            for instance in running:
                others = [i.candidate() for i in running if i is not instance]
                was_reading = instance.election.is_reading
                is_reading = instance.election.update(
                    others, instance.has_store, instance.is_stopping
                )
                instance.starts += is_reading and not was_reading

    def readers(self) -> list[Instance]:
        """Return the running instances that read the store."""
        return [
            instance
            for instance in self.instances
            if instance.is_running and instance.election.is_reading
        ]

    def starts(self) -> int:
        """Return how often an instance has begun to read."""
        return sum(instance.starts for instance in self.instances)


class TestReaderElection:
    """Readers of one data centre over their losses."""

    @pytest.mark.parametrize("size", [1, 3, INSTANCES])
    def test_one_instance_reads(self, size: int) -> None:
        """Each further one is charged for."""
        fleet = DataCentre(size)
        fleet.run(20_000)
        assert len(fleet.readers()) == 1
        assert fleet.starts() <= 3

    @pytest.mark.parametrize("losses", [1, 2, 5])
    def test_lost_readers_are_replaced_in_time(self, losses: int) -> None:
        """Nobody would hear of changes meanwhile."""
        fleet = DataCentre(INSTANCES)
        fleet.run(20_000)
        for _ in range(losses):
            (reader,) = fleet.readers()
            reader.is_running = False
            fleet.run(CONTACT_MS)
            assert len(fleet.readers()) == 1
        assert fleet.starts() <= 3 + 3 * losses

    def test_reader_without_the_store_is_replaced(self) -> None:
        """The store may turn it away and serve the others."""
        fleet = DataCentre(INSTANCES)
        fleet.run(20_000)
        (reader,) = fleet.readers()
        reader.has_store = False
        fleet.run(CONTACT_MS)
        (successor,) = fleet.readers()
        assert successor is not reader

    def test_all_ask_a_store_that_is_lost_for_all(self) -> None:
        """The lease is extended only if no instance reaches the store."""
        fleet = DataCentre(INSTANCES)
        fleet.run(20_000)
        for instance in fleet.instances:
            instance.has_store = False
        fleet.run(CONTACT_MS)
        assert len(fleet.readers()) == INSTANCES
        for instance in fleet.instances:
            instance.has_store = True
        fleet.run(CONTACT_MS)
        assert len(fleet.readers()) == 1

    def test_stopping_reader_reads_until_it_is_replaced(self) -> None:
        """A planned stop would leave a gap."""
        fleet = DataCentre(INSTANCES)
        fleet.run(20_000)
        (reader,) = fleet.readers()
        reader.is_stopping = True
        for _ in range(CONTACT_MS // store_watch.CHECK_PERIOD_MS):
            fleet.run(store_watch.CHECK_PERIOD_MS)
            assert fleet.readers()
        (successor,) = fleet.readers()
        assert successor is not reader
