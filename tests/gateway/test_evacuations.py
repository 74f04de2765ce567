"""Tests of which evacuations are in force."""

import typing

from cardamom_gateway.locations import evacuations
from cardamom_gateway.targets import permit_messages
from cardamom_gateway.targets import target_limits
from cardamom_kernel import clocks
from cardamom_kernel import ids
from tests.gateway import test_target_limits

ALLOWED_MS = 5_000
LAST_HOLDERS_MS = 2_000
A = ids.DataCentreId("bog-a")
B = ids.DataCentreId("bog-b")


class Deployment:
    """Evacuations on a stepped clock."""

    def __init__(self) -> None:
        self.clock = clocks.SteppedClock(100_000)
        self.evacuations = evacuations.Evacuations(self.clock)
        self.era = 1

    def read(self, *present: ids.DataCentreId) -> evacuations.Effects:
        """Apply a full read with these rows."""
        return self._apply(dict.fromkeys(present, True), is_full=True)

    def change(
        self,
        data_centre: ids.DataCentreId,
        is_evacuated: bool,
        age_ms: int = 0,
    ) -> evacuations.Effects:
        """Apply a change that may be some ms old."""
        return self._apply({data_centre: is_evacuated}, False, age_ms)

    def _apply(
        self,
        rows: typing.Mapping[ids.DataCentreId, bool],
        is_full: bool,
        age_ms: int = 0,
    ) -> evacuations.Effects:
        return self.evacuations.apply(
            evacuations.Rows(
                rows, is_full, self.era, self.clock.now_ms() - age_ms
            ),
            ALLOWED_MS,
        )

    @property
    def in_force(self) -> set[str]:
        """Return the evacuated data centres."""
        return {dc for dc in (A, B) if self.evacuations.is_evacuated(dc)}


class TestEvacuations:
    """Rows that begin and end evacuations."""

    def test_row_begins_and_its_removal_ends(self) -> None:
        """Requests would reach targets that the operator has evacuated."""
        setup = Deployment()
        assert setup.change(B, True).begun == (B,)
        assert setup.in_force == {B}
        assert setup.change(B, False).ended == (B,)
        assert setup.in_force == set()

    def test_second_write_of_a_row_begins_nothing(self) -> None:
        """It would allow requests to the last holders anew."""
        setup = Deployment()
        setup.change(B, True)
        setup.clock.step(LAST_HOLDERS_MS)
        assert setup.change(B, True) == evacuations.Effects()
        assert not setup.evacuations.may_use_last_holders(B)

    def test_full_read_replaces_what_is_known(self) -> None:
        """A removal whose change was lost would never take effect."""
        setup = Deployment()
        setup.read(A)
        effects = setup.read(B)
        assert (effects.begun, effects.ended) == ((B,), (A,))
        assert setup.in_force == {B}

    def test_concurrent_evacuations_are_independent(self) -> None:
        """The end of one must not end the other."""
        setup = Deployment()
        setup.change(A, True)
        setup.change(B, True)
        setup.change(A, False)
        assert setup.in_force == {B}

    def test_end_of_an_unknown_evacuation_is_noted(self) -> None:
        """The targets may have turned cold between two reads."""
        setup = Deployment()
        assert setup.change(B, False) == evacuations.Effects()
        ended = setup.evacuations.ended_ms_by_data_centre
        assert ended == {B: setup.clock.now_ms()}


class TestLastHolders:
    """Targets that alone hold a model when their evacuation begins."""

    def test_they_are_allowed_for_a_part_of_the_time(self) -> None:
        """Requests would be refused that a load elsewhere takes up."""
        setup = Deployment()
        setup.change(B, True)
        setup.clock.step(LAST_HOLDERS_MS - 1)
        assert setup.evacuations.may_use_last_holders(B)
        assert not setup.evacuations.is_closed(B)
        setup.clock.step(1)
        assert not setup.evacuations.may_use_last_holders(B)
        assert setup.evacuations.is_closed(B)

    def test_full_read_allows_none(self) -> None:
        """The row may be older than the time that operators allow."""
        setup = Deployment()
        setup.read(B)
        assert setup.evacuations.is_closed(B)

    def test_change_that_may_be_old_allows_less_or_none(self) -> None:
        """An instance that was cut off gets old changes, too."""
        setup = Deployment()
        setup.change(B, True, age_ms=3_000)
        setup.clock.step(999)
        assert setup.evacuations.may_use_last_holders(B)
        setup.clock.step(1)
        assert not setup.evacuations.may_use_last_holders(B)
        setup.change(A, True, age_ms=20_000)
        assert setup.evacuations.is_closed(A)


class TestOlderCopy:
    """A store that came back from an older copy."""

    def test_missing_row_is_waited_for(self) -> None:
        """Requests would reach evacuated targets until it is written again."""
        setup = Deployment()
        setup.read()
        setup.change(B, True)
        setup.era = 2
        assert setup.read() == evacuations.Effects(kept=(B,))
        setup.clock.step(evacuations.RESTORE_GRACE_MS - 1)
        assert setup.evacuations.end_expired() == evacuations.Effects()
        assert setup.in_force == {B}
        setup.clock.step(1)
        assert setup.evacuations.end_expired().ended == (B,)
        assert setup.in_force == set()

    def test_second_full_read_does_not_shorten_the_wait(self) -> None:
        """Several topics and lost histories cause further reads."""
        setup = Deployment()
        setup.read(B)
        setup.era = 2
        setup.read()
        setup.clock.step(1_000)
        assert setup.read() == evacuations.Effects()
        assert setup.in_force == {B}

    def test_row_that_is_written_again_stays_in_force(self) -> None:
        """It would expire although the operator has restored it."""
        setup = Deployment()
        setup.read(B)
        setup.era = 2
        setup.read()
        assert setup.change(B, True) == evacuations.Effects()
        setup.clock.step(2 * evacuations.RESTORE_GRACE_MS)
        assert setup.evacuations.end_expired() == evacuations.Effects()
        assert setup.in_force == {B}

    def test_removal_takes_effect_at_once(self) -> None:
        """The operator ends an evacuation while its row is waited for."""
        setup = Deployment()
        setup.read(B)
        setup.era = 2
        setup.read()
        assert setup.change(B, False).ended == (B,)
        assert setup.in_force == set()

    def test_first_read_of_a_later_era_waits_for_nothing(self) -> None:
        """An instance that has just started knows no earlier era."""
        setup = Deployment()
        setup.era = 7
        assert setup.read(B).begun == (B,)
        assert setup.read().ended == (B,)


class TestPermits:
    """Permits for targets in an evacuated data centre."""

    def test_owner_gives_none_until_the_end(self) -> None:
        """An instance that hasn't heard of the evacuation asks for them."""
        fleet = test_target_limits.Fleet(1)
        (limits,) = fleet.all_limits
        in_force = limits._targets._evacuations
        request = permit_messages.PermitRequest(
            incarnation=test_target_limits.TARGET.incarnation,
            permit="p",
            rate_per_s=100.0,
            is_brittle=False,
            slots=6,
            is_urgent=True,
            expires_in_ms=1_000,
        )
        for is_evacuated in (True, False):
            in_force.apply(
                evacuations.Rows({A: is_evacuated}, is_evacuated, 1, 0),
                ALLOWED_MS,
            )
            wait_ms = limits.take(request)
            assert (wait_ms >= target_limits.CLOSED_WAIT_MS) == is_evacuated
