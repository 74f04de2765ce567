"""Tests of who knows which software version began a stream."""

import asyncio
import dataclasses

import orjson
import pytest

from cardamom_gateway.fleet import peers
from cardamom_gateway import model
from cardamom_gateway.requests import stream_origins
from cardamom_gateway.targets import target_registry
from cardamom_kernel import ids
from tests.gateway import links
from tests.gateway import test_target_registry

SERVICE = test_target_registry.SERVICE
V1 = stream_origins.Origin(SERVICE, "v1")
V2 = stream_origins.Origin(SERVICE, "v2")
STREAM = ids.AttemptId("a1")


class Fleet:
    """Instances that know the same targets, and can be cut off."""

    def __init__(self, size: int, *versions: str) -> None:
        self.network = links.Network(
            size,
            lambda number, incarnation, update, age_ms: self.origins[
                number
            ].receive(update),
        )
        self.clock = self.network.clock
        self.is_store_reached = True
        self.stored_row: dict[model.ServiceId, frozenset[str]] = {}
        self.down: set[ids.InstanceId] = set()
        self.registries = [
            target_registry.TargetRegistry(
                self.clock, ids.DataCentreId("bog-a")
            )
            for _ in range(size)
        ]
        self.origins = [
            self._start(registry, link, is_first_start=True)
            for registry, link in zip(
                self.registries, self.network.links, strict=True
            )
        ]
        for number, version in enumerate(versions):
            self.add_target(number, version)

    def _start(
        self,
        registry: target_registry.TargetRegistry,
        link: peers.PeerLink,
        is_first_start: bool,
    ) -> stream_origins.StreamOrigins:
        origins = stream_origins.StreamOrigins(
            link._settings.instance,
            self.clock,
            registry,
            link,
            lambda: {"up": 0},
            self._read_stored,
            is_first_start,
        )
        registry.on_software = origins.report_all
        return origins

    def add_target(self, number: int, version: str) -> None:
        """Let all instances see a target."""
        for registry in self.registries:
            registry.put(
                dataclasses.replace(
                    test_target_registry.ENTRY,
                    id=ids.TargetId(f"i-{number}"),
                    software_version=version,
                )
            )

    def remove_target(self, number: int) -> None:
        """Let all instances see that a target has gone."""
        for registry in self.registries:
            registry.remove(ids.TargetId(f"i-{number}"), 0)

    def settle(self) -> None:
        """Let so much time pass that former versions no longer count."""
        self.clock.step(stream_origins.RETENTION_MS + 1)
        for link in self.network.links:
            for peer in link.peer_by_id.values():
                peer.received_ms = self.clock.now_ms()

    def restart(self, number: int) -> None:
        """Replace an instance, which forgets everything but its targets."""
        self.origins[number] = self._start(
            self.registries[number],
            self.network.links[number],
            is_first_start=False,
        )

    def store(self, *versions: str) -> None:
        """Let all instances read these versions from the store."""
        self.stored_row = {SERVICE: frozenset(versions)}
        for origins in self.origins:
            origins.stored_versions_by_service = self.stored_row

    async def _read_stored(self) -> stream_origins.VersionsByService | None:
        return self.stored_row if self.is_store_reached else None

    async def _ask(
        self,
        member: peers.Member,
        attempt: ids.AttemptId,
        service: model.ServiceId,
    ) -> stream_origins.Knowledge | None:
        if member.id in self.down:
            return None
        number = int(member.id.removeprefix("frontend-"))
        return self.origins[number].knowledge(attempt, service)

    def find(self, number: int) -> stream_origins.Origin | None:
        """Return the origin of STREAM as an instance finds it."""
        return asyncio.run(
            self.origins[number].find(STREAM, SERVICE, self._ask)
        )


class TestStreamOrigins:
    """Which origin an instance finds for a stream that it did not begin."""

    def test_origin_is_known_after_its_instance_is_restarted(self) -> None:
        """A stream could not go on when the instance before it was killed."""
        fleet = Fleet(24, "v1", "v2")
        fleet.origins[0].note_begun(STREAM, V2)
        fleet.network.deliver()
        fleet.restart(0)
        assert {fleet.find(number) for number in range(24)} == {V2}

    def test_origin_is_known_after_two_owners_are_restarted(self) -> None:
        """A stream could not go on when several instances were killed."""
        fleet = Fleet(24, "v1", "v2")
        fleet.origins[0].note_begun(STREAM, V2)
        fleet.network.deliver()
        owners = [
            number
            for number in range(1, 24)
            if fleet.origins[number].knowledge(STREAM, SERVICE).origin
        ]
        for number in [0, *owners[:2]]:
            fleet.restart(number)
        assert len(owners) >= stream_origins.OWNERS - 1
        assert fleet.find(0) == (V2 if len(owners) > 2 else None)

    def test_stream_begun_before_another_version_came_keeps_its_own(
        self,
    ) -> None:
        """A stream could go on at a version that was released after it."""
        fleet = Fleet(9, "v1")
        fleet.store("v1")
        fleet.origins[0].note_begun(STREAM, V1)
        assert not fleet.network.queue
        fleet.add_target(1, "v2")
        fleet.network.deliver()
        fleet.restart(0)
        fleet.remove_target(0)
        assert {fleet.find(number) for number in range(9)} == {V1}

    def test_unreported_stream_is_unknown_while_versions_differ(self) -> None:
        """A guess could join events of two versions."""
        fleet = Fleet(9, "v1", "v2")
        fleet.settle()
        assert fleet.find(3) is None

    def test_streams_without_an_id_are_not_taken_for_each_other(self) -> None:
        """A stream without an id could get the version of another one."""
        fleet = Fleet(9, "v1", "v2")
        fleet.origins[0].note_begun(ids.AttemptId(""), V2)
        assert not fleet.network.queue
        knowledge = fleet.origins[0].knowledge(ids.AttemptId(""), SERVICE)
        assert knowledge.origin is None

    def test_former_version_counts_after_its_last_target_has_gone(
        self,
    ) -> None:
        """A stream of a former version could go on at the only one left."""
        fleet = Fleet(9, "v1", "v2")
        fleet.settle()
        fleet.remove_target(0)
        assert fleet.find(3) is None
        fleet.settle()
        assert fleet.find(3) == V2

    def test_restarted_version_under_the_same_id_counts_as_another(
        self,
    ) -> None:
        """A restart with new software could pass for the same version."""
        fleet = Fleet(9, "v1")
        fleet.settle()
        for registry in fleet.registries:
            registry.put(
                dataclasses.replace(
                    test_target_registry.ENTRY,
                    id=ids.TargetId("i-0"),
                    started_ms=9_000,
                    software_version="v2",
                )
            )
        assert fleet.find(3) is None

    def test_isolated_instance_does_not_rely_on_what_it_saw_last(
        self,
    ) -> None:
        """An instance that is cut off could miss a new version."""
        fleet = Fleet(9, "v1")
        fleet.store("v1")
        fleet.settle()
        fleet.down = {link._settings.instance for link in fleet.network.links}
        assert fleet.find(3) == V1
        fleet.is_store_reached = False
        assert fleet.find(4) is None

    @pytest.mark.parametrize("neighbours", [0, 2])
    @pytest.mark.parametrize("silent_ms", [0, 20_000])
    def test_instance_out_of_step_does_not_miss_a_new_version(
        self, silent_ms: int, neighbours: int
    ) -> None:
        """A stream of the new version went on at the former one.

        The instance hears of no target while it is cut off from its reader,
        alone or together with neighbours, or stands still.
        """
        fleet = Fleet(9, "v1")
        fleet.store("v1")
        fleet.settle()
        fleet.clock.step(silent_ms)
        fleet.stored_row = {SERVICE: frozenset({"v1", "v2"})}
        fleet.down = {
            link._settings.instance
            for link in fleet.network.links[: 8 - neighbours]
        }
        assert fleet.find(8) is None
        fleet.is_store_reached = False
        assert fleet.find(8) is None

    def test_lost_instance_does_not_make_origins_unknown_in_an_outage(
        self,
    ) -> None:
        """Streams would not go on, although most instances agree."""
        fleet = Fleet(9, "v1")
        fleet.store("v1")
        fleet.settle()
        fleet.is_store_reached = False
        fleet.down = {fleet.network.links[0]._settings.instance}
        assert fleet.find(3) == V1


class TestStoredVersions:
    """The versions that outlast a restart of all instances."""

    def test_only_version_is_known_after_a_restart_of_all(self) -> None:
        """Each stream was refused after a restart of all instances."""
        fleet = Fleet(9, "v1")
        for number in range(9):
            fleet.restart(number)
        assert fleet.find(3) is None
        fleet.origins[3].stored_versions_by_service = {
            SERVICE: frozenset({"v1"})
        }
        assert fleet.find(3) == V1

    def test_restarted_holder_keeps_a_former_version(self) -> None:
        """A holder that has just started could drop a version too early."""
        fleet = Fleet(9, "v1")
        origins = fleet.origins[3]
        row = stream_origins.encode_versions({SERVICE: frozenset({"v0"})})
        origins.stored_versions_by_service = stream_origins.decode_versions(
            orjson.dumps(row)
        )
        assert origins.versions_to_store() == {SERVICE: {"v0", "v1"}}
        fleet.settle()
        assert origins.versions_to_store() == {SERVICE: {"v1"}}

    def test_instance_that_may_have_missed_a_version_stores_none(
        self,
    ) -> None:
        """Its row would look complete after a restart of all.

        The row before is lost with an older copy of the store.
        """
        fleet = Fleet(9, "v2")
        fleet.restart(3)
        assert fleet.origins[3].versions_to_store() is None
        fleet.settle()
        assert fleet.origins[3].versions_to_store() == {SERVICE: {"v2"}}

    def test_streams_are_reported_while_no_version_is_stored(self) -> None:
        """They couldn't be taken up elsewhere until the row is written."""
        fleet = Fleet(9, "v1")
        for number in range(9):
            fleet.restart(number)
        fleet.origins[0].note_begun(STREAM, V1)
        fleet.network.deliver()
        fleet.restart(0)
        assert {fleet.find(number) for number in range(9)} == {V1}

    def test_streams_begin_at_a_version_once_it_is_stored(self) -> None:
        """A restart of all could leave nobody who knows of the version."""
        fleet = Fleet(1, "v1")
        origins, registry = fleet.origins[0], fleet.registries[0]
        fleet.store("v1")
        fleet.add_target(1, "v2")
        old, new = (record.target for record in registry.by_id.values())
        assert origins.may_begin(old) and not origins.may_begin(new)
        fleet.store("v1", "v2")
        assert origins.may_begin(new)
        fleet.store("v1")
        fleet.clock.step(stream_origins.MAX_UNSTORED_MS)
        assert origins.may_begin(new)

    def test_unchanged_versions_are_not_stored_again(self) -> None:
        """Each period would cost a call to the store."""
        fleet = Fleet(1, "v1")
        origins = fleet.origins[0]
        versions = origins.versions_to_store()
        assert versions == {SERVICE: {"v1"}}
        origins.stored_versions_by_service = versions
        assert origins.versions_to_store() is None
