"""A configuration version is accepted once and never reverts."""

import asyncio
import dataclasses
import typing

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st
from opentelemetry import trace

from cardamom_config import schema
from cardamom_daemon import changes
from cardamom_daemon import fleet as fleets
from cardamom_daemon import settings as settings_module
from cardamom_daemon import table_sync
from cardamom_kernel import clocks
from cardamom_kernel import documents
from cardamom_kernel import outcomes
from cardamom_kernel import telemetry
from tests import fakes
from tests import mutants

INSTANCES = 3


class NoGossip:
    """A fake of gossip without live peers."""

    def live(self) -> list[object]:
        """Return an empty list."""
        return []


def make_fleet(
    name: str,
    table: fakes.MemoryTable,
    clock: clocks.Clock,
) -> fleets.Fleet:
    """Return the state of an instance that uses a fake table."""
    settings = settings_module.Settings(
        instance=name,
        data_centre="a",
        operator_key="o" * 16,
        fleet_secret="f" * 16,
        table_url="http://127.0.0.1:1",
    )
    metrics = telemetry.Metrics()
    return fleets.Fleet(settings, clock, table, metrics, trace.get_tracer("t"))


@dataclasses.dataclass
class Apply:
    """One operator's apply and its outcome; version 0 means none yet."""

    tree: dict[str, typing.Any]
    version: int = 0
    refusal: outcomes.Refusal | None = None


class ChangesMachine(fakes.TableMachine):
    """Concurrent applies at instances over a table that loses answers."""

    changes_type = changes.Changes

    def __init__(self) -> None:
        super().__init__()
        self.clock = clocks.SteppedClock()
        self.apply_count = 0
        self.applies: list[Apply] = []
        self.fleets: list[fleets.Fleet] = []
        self.syncs: list[table_sync.TableSync] = []
        self.highest_version: list[int] = []
        for _ in range(INSTANCES):
            self._start()

    def _start(self) -> None:
        fleet = make_fleet("entry", self.table, self.clock)
        self.fleets.append(fleet)
        self.syncs.append(table_sync.TableSync(fleet))
        self.highest_version.append(0)

    instance = st.integers(0, INSTANCES - 1)

    @stateful.rule(index=instance)
    def apply(self, index: int) -> None:
        """Apply a configuration based on the version held by an instance."""
        self.apply_count += 1
        teams = {
            f"team-{self.apply_count}": {
                "rate_tokens_per_s": 1_000,
                "burst_tokens": 1_000,
            }
        }
        configuration = schema.Configuration.model_validate({"teams": teams})
        entry = Apply(configuration.model_dump(mode="json"))
        self.applies.append(entry)
        based_on = self.fleets[index].documents.version(fleets.CONFIG)
        work = self._apply(index, entry, based_on, f"apply-{self.apply_count}")
        self.runner.start(work)
        self.runner.settle()

    async def _apply(
        self,
        index: int,
        entry: Apply,
        based_on: int,
        apply_id: str,
    ) -> None:
        gossip: typing.Any = NoGossip()
        changer = self.changes_type(
            self.fleets[index], gossip, self.syncs[index]
        )
        try:
            result = await changer.apply(entry.tree, based_on, apply_id)
        except outcomes.RequestRefused as refused:
            entry.refusal = refused.refusal
            return
        entry.version = result["version"]

    @stateful.rule(index=instance)
    def poll(self, index: int) -> None:
        """Let an instance read the table."""
        self.runner.start(self.syncs[index].poll())
        self.runner.settle()

    @stateful.rule(index=instance, peer=instance)
    def gossip(self, index: int, peer: int) -> None:
        """Let an instance adopt the configuration that a peer holds."""
        held = self.fleets[peer].documents.get(fleets.CONFIG)
        if held is not None:
            self.fleets[index].documents.adopt(held)

    @stateful.rule(index=instance)
    def restart(self, index: int) -> None:
        """Replace an instance with one that holds no documents."""
        fleet = make_fleet("entry", self.table, self.clock)
        self.fleets[index] = fleet
        self.syncs[index] = table_sync.TableSync(fleet)
        self.highest_version[index] = 0

    @stateful.rule()
    def answer_all(self) -> None:
        """Let the table execute and answer the waiting commits."""
        for _ in range(20):
            if not self.table.waiting:
                break
            self.table.decide_outcome(0, fakes.CommitOutcome.ANSWERED)
            self.runner.settle()

    @stateful.invariant()
    def accepted_version_never_changes(self) -> None:
        """Assert that a version has one content and that none decreases."""
        tree_by_version: dict[int, object] = {}
        for entry in self.applies:
            if entry.version:
                assert entry.version not in tree_by_version, (
                    "version accepted twice"
                )
                tree_by_version[entry.version] = entry.tree
        for index, fleet in enumerate(self.fleets):
            held = fleet.documents.get(fleets.CONFIG)
            version = held.version if held else 0
            assert version >= self.highest_version[index], "version decreased"
            self.highest_version[index] = version
            if held is not None and version in tree_by_version:
                tree = held.body["configuration"]
                assert tree == tree_by_version[version], (
                    "contents of one version differ"
                )

    @stateful.invariant()
    def refused_apply_is_not_in_the_table(self) -> None:
        """Assert that an apply refused as not run is not in the table."""
        refused = [
            entry.tree
            for entry in self.applies
            if entry.refusal is not None and entry.refusal.not_run
        ]
        row = self.table.row_by_key.get(fleets.row_key(fleets.CONFIG))
        if row is not None:
            assert row.body["configuration"] not in refused


class NoReadBack(changes.Changes):
    """A mutant that treats a lost answer as a conflict."""

    async def _edit(
        self,
        name: str,
        change: typing.Callable[..., typing.Any],
    ) -> changes.WriteResult:
        """Write once; raise a conflict unless the write was committed."""
        await self._sync.poll()
        document = self._fleet.documents.get(name)
        version = document.version if document else 0
        body = change(document.body if document else {}, version)
        state = await self._sync.write_document(name, body, version)
        if not state.value == "committed":
            raise outcomes.RequestRefused(
                changes._version_conflict(version, version, [])
            )
        return changes.WriteResult(version + 1, body)


class AdoptsOlder(documents.DocumentStore):
    """A mutant that adopts any document, also an older one."""

    def adopt(self, document: documents.Document) -> bool:
        """Adopt the document regardless of its version."""
        self._by_name[document.name] = document
        for listener in self._listeners:
            listener(document)
        return True


class AdoptsOlderMachine(ChangesMachine):
    """The state machine with the mutant store in every instance."""

    def _start(self) -> None:
        super()._start()
        fleet = self.fleets[-1]
        fleet.documents = AdoptsOlder()
        fleet.documents.listen(fleet._apply_document)


TestChangesMachine = ChangesMachine.TestCase
TestChangesMachine.settings = hypothesis.settings(max_examples=150)


class TestMutants:
    """The state machine fails for each deliberately broken mechanism."""

    def test_detects_a_lost_answer_treated_as_conflict(self) -> None:
        mutants.must_fail(
            type("Mutant", (ChangesMachine,), {"changes_type": NoReadBack})
        )

    def test_detects_adoption_of_older_documents(self) -> None:
        mutants.must_fail(AdoptsOlderMachine)


class TestRestoredTable:
    """An accepted change survives the table's restore from a backup."""

    def test_missing_document_is_written_back(self) -> None:
        async def scenario() -> None:
            table = fakes.MemoryTable()
            fleet = make_fleet("entry", table, clocks.SteppedClock())
            sync = table_sync.TableSync(fleet)
            gossip: typing.Any = NoGossip()
            changer = changes.Changes(fleet, gossip, sync)
            tree = schema.Configuration().model_dump(mode="json")
            await changer.apply(tree, 0, "one")
            backup = dict(table.row_by_key)
            await changer.apply(tree, 1, "two")
            table.row_by_key = backup
            await sync.poll()
            await sync.poll()
            row = table.row_by_key[fleets.row_key(fleets.CONFIG)]
            assert row.body["version"] == 2
            assert fleet.documents.version(fleets.CONFIG) == 2

        asyncio.run(scenario())
