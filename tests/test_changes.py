"""Configuration: accepted once, the same everywhere, never reverting."""

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
    """A fake of the gossip with no live peer."""

    def live(self) -> list[object]:
        """Return nobody."""
        return []


def make_fleet(
    name: str,
    table: fakes.MemoryTable,
    clock: clocks.Clock,
) -> fleets.Fleet:
    """Return an instance's state over a fake table."""
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
    """One operator's apply and what came of it."""

    tree: dict[str, typing.Any]
    version: int = 0
    refusal: outcomes.Refusal | None = None


class ChangesMachine(fakes.TableMachine):
    """Operators that race over a table that loses answers."""

    changes_type = changes.Changes

    def __init__(self) -> None:
        super().__init__()
        self.clock = clocks.SteppedClock()
        self.count = 0
        self.applies: list[Apply] = []
        self.fleets: list[fleets.Fleet] = []
        self.syncs: list[table_sync.TableSync] = []
        self.highest: list[int] = []
        for _ in range(INSTANCES):
            self._start()

    def _start(self) -> None:
        fleet = make_fleet("entry", self.table, self.clock)
        self.fleets.append(fleet)
        self.syncs.append(table_sync.TableSync(fleet))
        self.highest.append(0)

    instance = st.integers(0, INSTANCES - 1)

    @stateful.rule(who=instance)
    def apply(self, who: int) -> None:
        """Apply a configuration based on what the instance holds."""
        self.count += 1
        teams = {
            f"team-{self.count}": {
                "rate_tokens_per_s": 1_000,
                "burst_tokens": 1_000,
            }
        }
        configuration = schema.Configuration.model_validate({"teams": teams})
        entry = Apply(configuration.model_dump(mode="json"))
        self.applies.append(entry)
        based_on = self.fleets[who].documents.version(fleets.CONFIG)
        work = self._apply(who, entry, based_on, f"apply-{self.count}")
        self.runner.start(work)
        self.runner.settle()

    async def _apply(
        self,
        who: int,
        entry: Apply,
        based_on: int,
        apply_id: str,
    ) -> None:
        gossip: typing.Any = NoGossip()
        changer = self.changes_type(self.fleets[who], gossip, self.syncs[who])
        try:
            done = await changer.apply(entry.tree, based_on, apply_id)
        except outcomes.Refused as refused:
            entry.refusal = refused.refusal
            return
        entry.version = done["version"]

    @stateful.rule(who=instance)
    def poll(self, who: int) -> None:
        """Let an instance read the table."""
        self.runner.start(self.syncs[who].poll())
        self.runner.settle()

    @stateful.rule(who=instance, peer=instance)
    def gossip(self, who: int, peer: int) -> None:
        """Let an instance adopt what a peer holds."""
        held = self.fleets[peer].documents.get(fleets.CONFIG)
        if held is not None:
            self.fleets[who].documents.adopt(held)

    @stateful.rule(who=instance)
    def restart(self, who: int) -> None:
        """Replace an instance by one that holds nothing."""
        fleet = make_fleet("entry", self.table, self.clock)
        self.fleets[who] = fleet
        self.syncs[who] = table_sync.TableSync(fleet)
        self.highest[who] = 0

    @stateful.rule()
    def answer_all(self) -> None:
        """Let the table answer everything that waits."""
        for _ in range(20):
            if not self.table.waiting:
                break
            self.table.decide(0, fakes.Fate.ANSWERED)
            self.runner.settle()

    @stateful.invariant()
    def accepted_stays(self) -> None:
        """Assert one content for each version, and that none goes back."""
        tree_by_version: dict[int, object] = {}
        for entry in self.applies:
            if entry.version:
                assert entry.version not in tree_by_version, "accepted twice"
                tree_by_version[entry.version] = entry.tree
        for index, fleet in enumerate(self.fleets):
            held = fleet.documents.get(fleets.CONFIG)
            version = held.version if held else 0
            assert version >= self.highest[index], "went back"
            self.highest[index] = version
            if held is not None and version in tree_by_version:
                tree = held.body["configuration"]
                assert tree == tree_by_version[version], "another content"

    @stateful.invariant()
    def refused_is_not_in_force(self) -> None:
        """Assert that what was refused as not run is held nowhere."""
        refused = [
            entry.tree
            for entry in self.applies
            if entry.refusal is not None and entry.refusal.not_run
        ]
        row = self.table.row_by_key.get(fleets.row_key(fleets.CONFIG))
        if row is not None:
            assert row.body["configuration"] not in refused


class NoReadBack(changes.Changes):
    """A mutant that takes a lost answer for a refusal."""

    async def _edit(
        self,
        name: str,
        change: typing.Callable[..., typing.Any],
    ) -> changes.Written:
        """Write once, and call anything but a yes a conflict."""
        await self._sync.poll()
        document = self._fleet.documents.get(name)
        version = document.version if document else 0
        body = change(document.body if document else {}, version)
        state = await self._sync.write_document(name, body, version)
        if not state.value == "committed":
            raise outcomes.Refused(changes._lost_race(version, version, []))
        return changes.Written(version + 1, body)


class AdoptsAnything(documents.DocumentStore):
    """A mutant that holds whatever it saw last."""

    def adopt(self, document: documents.Document) -> bool:
        """Hold it."""
        self._by_name[document.name] = document
        for listener in self._listeners:
            listener(document)
        return True


class AdoptsAnythingMachine(ChangesMachine):
    """The machine with the mutant store in every instance."""

    def _start(self) -> None:
        super()._start()
        fleet = self.fleets[-1]
        fleet.documents = AdoptsAnything()
        fleet.documents.listen(fleet._adopted)


TestChangesMachine = ChangesMachine.TestCase
TestChangesMachine.settings = hypothesis.settings(max_examples=150)


class TestMutants:
    """The machine finds each mechanism that is broken on purpose."""

    def test_no_read_back(self) -> None:
        mutants.must_fail(
            type("Mutant", (ChangesMachine,), {"changes_type": NoReadBack})
        )

    def test_adoption_of_anything(self) -> None:
        mutants.must_fail(AdoptsAnythingMachine)


class TestTableBehind:
    """A table that was restored from a backup gets back what is missing."""

    def test_document_is_written_back(self) -> None:
        async def scene() -> None:
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

        asyncio.run(scene())
