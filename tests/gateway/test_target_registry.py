"""Tests of the targets known to an instance."""

import dataclasses

import pytest

from cardamom_gateway.engines import holdings
from cardamom_gateway import model
from cardamom_gateway.targets import removed_targets
from cardamom_gateway.targets import target_records
from cardamom_gateway.targets import target_registry
from cardamom_kernel import clocks
from cardamom_kernel import ids

SERVICE = model.ServiceId("engines")
ENTRY = model.Target(
    id=ids.TargetId("i-1"),
    service=SERVICE,
    address="10.1.1.1:80",
    data_centre=ids.DataCentreId("a"),
    slots=4,
    state=model.TargetState.READY,
    started_ms=1_000,
    entry_sequence=5,
    residents=frozenset({("m1", "")}),
    in_host_memory=frozenset(),
    on_disk=frozenset({"m1", "m2"}),
)


class RegistryWithTarget:
    """A registry with one target, on a stepped clock."""

    def __init__(self) -> None:
        self.clock = clocks.SteppedClock(100_000)
        self.targets = target_registry.TargetRegistry(
            self.clock, ids.DataCentreId("a")
        )
        self.put()

    def put(self, **changes: object) -> None:
        """Put the entry with some fields changed."""
        self.targets.put(dataclasses.replace(ENTRY, **changes))  # type: ignore

    @property
    def usable(self) -> list[str]:
        """Return the targets that may get new requests."""
        return [r.target.id for r in self.targets.of_service(SERVICE)]


class TestLeaving:
    """Targets that are leaving."""

    def test_leaving_target_gets_no_new_requests(self) -> None:
        """Requests to it would fail, and peers need a report."""
        setup = RegistryWithTarget()
        reported: list[model.Target] = []
        setup.targets.on_leaving = reported.append
        setup.put(state=model.TargetState.LEAVING, entry_sequence=6)
        assert setup.usable == []
        assert [target.id for target in reported] == ["i-1"]

    def test_peer_report_holds_until_a_later_entry(self) -> None:
        """A later ready entry shows that the target is usable again."""
        setup = RegistryWithTarget()
        setup.targets.mark_leaving(ENTRY.id, ENTRY.started_ms, 5)
        assert setup.usable == []
        setup.put(entry_sequence=5)
        assert setup.usable == []
        setup.put(entry_sequence=6)
        assert setup.usable == ["i-1"]

    def test_stale_peer_report_is_ignored(self) -> None:
        """It is about an earlier start or is older than the entry."""
        setup = RegistryWithTarget()
        setup.targets.mark_leaving(ENTRY.id, 999, 9)
        setup.targets.mark_leaving(ENTRY.id, ENTRY.started_ms, 4)
        assert setup.usable == ["i-1"]

    def test_older_entry_is_ignored(self) -> None:
        """A late entry must not make a leaving target usable."""
        setup = RegistryWithTarget()
        setup.put(state=model.TargetState.LEAVING, entry_sequence=7)
        setup.put(entry_sequence=6)
        assert setup.usable == []


class TestExpiry:
    """Entries that expire during an outage of the store."""

    def test_expired_target_is_used_only_without_others(self) -> None:
        """It is removed if it does not return in time."""
        setup = RegistryWithTarget()
        reachable_since_ms = setup.clock.now_ms()
        setup.targets.remove(ENTRY.id, reachable_since_ms)
        assert setup.usable == ["i-1"]
        setup.put(id=ids.TargetId("i-2"), address="10.1.1.2:80")
        assert setup.usable == ["i-2"]
        setup.clock.step(target_registry.RETURN_GRACE_MS)
        setup.targets.drop_expired()
        assert list(setup.targets.by_id) == ["i-2"]

    def test_target_that_returns_is_kept(self) -> None:
        """A later check must not remove a target with a new entry."""
        setup = RegistryWithTarget()
        setup.targets.remove(ENTRY.id, setup.clock.now_ms())
        setup.put(entry_sequence=6)
        setup.clock.step(target_registry.RETURN_GRACE_MS)
        setup.targets.drop_expired()
        assert setup.usable == ["i-1"]

    def test_target_is_removed_at_once_without_an_outage(self) -> None:
        """Its entry has not expired in an outage, so it will not return."""
        setup = RegistryWithTarget()
        setup.targets.remove(ENTRY.id, clocks.NEVER_MS)
        assert setup.usable == []


class TestLateEntries:
    """Entries that the store writes after their target's removal.

    Guards against requests to targets that are gone (review, case 7).
    """

    @pytest.mark.parametrize("entry_sequence", [1, 4, 5])
    def test_late_entry_does_not_bring_a_removed_target_back(
        self, entry_sequence: int
    ) -> None:
        """Its sequence is none that a target that lives on would write."""
        setup = RegistryWithTarget()
        setup.targets.remove(ENTRY.id, clocks.NEVER_MS)
        setup.put(entry_sequence=entry_sequence)
        assert not setup.targets.by_id

    def test_late_entry_does_not_bring_a_target_back_after_an_outage(
        self,
    ) -> None:
        """One that is still missing after the grace is gone, too."""
        setup = RegistryWithTarget()
        setup.targets.remove(ENTRY.id, setup.clock.now_ms())
        setup.clock.step(target_registry.RETURN_GRACE_MS)
        setup.targets.drop_expired()
        setup.put(entry_sequence=4)
        assert not setup.targets.by_id

    def test_late_entry_of_a_target_that_moved_is_ignored(self) -> None:
        """The last entry counts, whatever address it had."""
        setup = RegistryWithTarget()
        setup.put(entry_sequence=7, address="10.1.1.9:80")
        setup.targets.remove(ENTRY.id, clocks.NEVER_MS)
        setup.put(entry_sequence=6)
        assert not setup.targets.by_id

    def test_late_entry_of_an_earlier_start_is_ignored(self) -> None:
        """The target has started again, or was removed after that."""
        setup = RegistryWithTarget()
        setup.put(started_ms=2_000, entry_sequence=1)
        setup.put(entry_sequence=6)
        assert setup.targets.by_id[ENTRY.id].target.started_ms == 2_000
        setup.targets.remove(ENTRY.id, clocks.NEVER_MS)
        setup.put(entry_sequence=6)
        assert not setup.targets.by_id

    def test_live_target_is_back_with_its_next_entry(self) -> None:
        """Its entry had lapsed, or another writer's couldn't be read."""
        setup = RegistryWithTarget()
        setup.targets.remove(ENTRY.id, clocks.NEVER_MS)
        setup.put(entry_sequence=4)
        setup.put(entry_sequence=6)
        assert setup.usable == ["i-1"]

    def test_restarted_target_is_back_at_once(self) -> None:
        """Its sequence begins anew."""
        setup = RegistryWithTarget()
        setup.targets.remove(ENTRY.id, clocks.NEVER_MS)
        setup.put(started_ms=2_000, entry_sequence=1)
        assert setup.usable == ["i-1"]

    def test_start_by_a_corrected_clock_is_accepted_after_a_while(
        self,
    ) -> None:
        """Otherwise the target would never be used again."""
        setup = RegistryWithTarget()
        setup.clock.step(removed_targets.LATE_WRITE_MS + 1)
        setup.put(started_ms=500, entry_sequence=1)
        assert setup.targets.by_id[ENTRY.id].target.started_ms == 500
        setup.targets.remove(ENTRY.id, clocks.NEVER_MS)
        setup.clock.step(removed_targets.LATE_WRITE_MS + 1)
        setup.put(started_ms=400, entry_sequence=1)
        assert setup.usable == ["i-1"]

    def test_peers_hear_of_a_late_entry(self) -> None:
        """An instance that has just started doesn't know of the removal."""
        setup = RegistryWithTarget()
        setup.targets.remove(ENTRY.id, clocks.NEVER_MS)
        reported: list[model.Target] = []
        setup.targets.on_leaving = reported.append
        setup.put(entry_sequence=4)
        assert [
            (target.started_ms, target.entry_sequence) for target in reported
        ] == [(ENTRY.started_ms, 5)]

    def test_report_holds_for_an_entry_that_is_read_later(self) -> None:
        """An instance that has just started reads the late entry after it."""
        setup = RegistryWithTarget()
        other = dataclasses.replace(ENTRY, id=ids.TargetId("i-2"))
        setup.targets.mark_leaving(other.id, other.started_ms, 5)
        setup.targets.put(other)
        assert list(setup.targets.by_id) == ["i-1"]
        setup.targets.put(dataclasses.replace(other, entry_sequence=6))
        assert setup.usable == ["i-1", "i-2"]


class TestHoldings:
    """Holdings of engines, by their entries and by the lease holder."""

    def test_lease_holder_takes_precedence_while_fresh(self) -> None:
        """An entry is written later than an order takes effect."""
        setup = RegistryWithTarget()
        known = holdings.Holdings(ENTRY.started_ms, frozenset({("m2", "")}))
        setup.targets.note_holdings(ENTRY.id, known)
        assert not setup.targets.targets_with_model(SERVICE, "m1")
        assert setup.targets.targets_with_model(SERVICE, "m2")
        setup.clock.step(target_records.MAX_HOLDINGS_AGE_MS + 1)
        assert setup.targets.targets_with_model(SERVICE, "m1")


class TestSuspicion:
    """Targets that are unreachable."""

    def test_pause_grows_until_an_answer(self) -> None:
        """Without a bound a restored target would stay unused."""
        setup = RegistryWithTarget()
        record = setup.targets.by_id[ENTRY.id]
        pauses_ms = []
        for _ in range(5):
            now_ms = setup.clock.now_ms()
            record.record_connect_failure(now_ms)
            pauses_ms.append(record.suspect_until_ms - now_ms)
            setup.clock.step(pauses_ms[-1])
        assert pauses_ms == [400, 800, 1_600, 3_000, 3_000]
        record.record_connect_success(setup.clock.now_ms())
        assert record.suspect_until_ms < setup.clock.now_ms()
