"""Fakes of the table and the event loop for state machine tests."""

import asyncio
import dataclasses
import enum
import typing

from hypothesis import stateful
from hypothesis import strategies as st

from cardamom_kernel import clocks
from cardamom_kernel import tables


class CommitOutcome(enum.Enum):
    """The outcome of one commit.

    ANSWERED executes it and returns its result. The others return UNKNOWN:
    LOST_BEFORE never executes it, LOST_AFTER executes it at once, and LATE
    executes it only if the test calls ``ExploredTable.execute_late``.
    """

    ANSWERED = "answered"
    LOST_BEFORE = "lost_before"
    LOST_AFTER = "lost_after"
    LATE = "late"


@dataclasses.dataclass
class WaitingCommit:
    """A commit whose outcome the test has not decided yet."""

    conditions: dict[str, int]
    puts: dict[str, tables.Body]
    deletes: list[str]
    future: asyncio.Future[tables.CommitResult]
    result: tables.CommitResult | None = None


class MemoryTable(tables.Table):
    """An in-memory table that always answers."""

    def __init__(self) -> None:
        self.row_by_key: dict[str, tables.Row] = {}

    async def read(self, keys: typing.Sequence[str]) -> dict[str, tables.Row]:
        """Return the rows that exist."""
        return {k: self.row_by_key[k] for k in keys if k in self.row_by_key}

    async def scan(self, prefix: str) -> dict[str, tables.Row]:
        """Return the rows whose keys have a prefix."""
        return {
            key: row
            for key, row in self.row_by_key.items()
            if key.startswith(prefix)
        }

    async def commit(
        self,
        conditions: typing.Mapping[str, int],
        puts: typing.Mapping[str, tables.Body],
        deletes: typing.Sequence[str] = (),
    ) -> tables.CommitResult:
        """Execute a commit."""
        return self.execute(conditions, puts, deletes)

    def execute(
        self,
        conditions: typing.Mapping[str, int],
        puts: typing.Mapping[str, tables.Body],
        deletes: typing.Sequence[str] = (),
    ) -> tables.CommitResult:
        """Check the conditions; write only if all hold.

        The result has the rows of failed conditions and of those with
        ANY_VERSION.
        """
        differing = {
            key
            for key, expected in conditions.items()
            if expected not in (tables.ANY_VERSION, self._version(key))
        }
        result_keys = differing | {
            key
            for key, expected in conditions.items()
            if expected == tables.ANY_VERSION
        }
        rows = {
            key: self.row_by_key[key]
            for key in result_keys
            if key in self.row_by_key
        }
        if differing:
            return tables.CommitResult(tables.CommitState.CONFLICT, rows)
        for key, body in puts.items():
            row = tables.Row(key, self._version(key) + 1, dict(body))
            self.row_by_key[key] = row
        for key in deletes:
            self.row_by_key.pop(key, None)
        return tables.CommitResult(tables.CommitState.COMMITTED, rows)

    def _version(self, key: str) -> int:
        row = self.row_by_key.get(key)
        return row.version if row else tables.ABSENT


class ExploredTable(MemoryTable):
    """A table whose commits wait until the test decides their outcome."""

    def __init__(self) -> None:
        super().__init__()
        self.waiting: list[WaitingCommit] = []
        self.late: list[WaitingCommit] = []

    async def commit(
        self,
        conditions: typing.Mapping[str, int],
        puts: typing.Mapping[str, tables.Body],
        deletes: typing.Sequence[str] = (),
    ) -> tables.CommitResult:
        """Wait until the test decides the commit's outcome."""
        future: asyncio.Future[tables.CommitResult] = (
            asyncio.get_running_loop().create_future()
        )
        commit = WaitingCommit(
            dict(conditions), dict(puts), list(deletes), future
        )
        self.waiting.append(commit)
        return await future

    def take_effect(self, index: int) -> None:
        """Execute a waiting commit but delay its answer."""
        commit = self.waiting[index]
        if commit.result is None:
            commit.result = self._run(commit)

    def decide_outcome(self, index: int, outcome: CommitOutcome) -> None:
        """Decide the outcome of a waiting commit.

        A commit that already took effect only loses or returns its answer.
        """
        commit = self.waiting.pop(index)
        result = tables.CommitResult(tables.CommitState.UNKNOWN)
        if commit.result is not None:
            if outcome is CommitOutcome.ANSWERED:
                result = commit.result
        elif outcome is CommitOutcome.ANSWERED:
            result = self._run(commit)
        elif outcome is CommitOutcome.LOST_AFTER:
            self._run(commit)
        elif outcome is CommitOutcome.LATE:
            self.late.append(commit)
        if not commit.future.done():
            commit.future.set_result(result)

    def execute_late(self, index: int) -> None:
        """Execute a late commit."""
        self._run(self.late.pop(index))

    def _run(self, commit: WaitingCommit) -> tables.CommitResult:
        return self.execute(commit.conditions, commit.puts, commit.deletes)


class LoopRunner:
    """An event loop that a state machine advances step by step."""

    def __init__(self) -> None:
        self.loop = asyncio.new_event_loop()

    def start(
        self,
        work: typing.Coroutine[typing.Any, typing.Any, typing.Any],
    ) -> asyncio.Task[typing.Any]:
        """Start a task."""
        return self.loop.create_task(work)

    def settle(self) -> None:
        """Run the loop until no task is ready."""
        self.loop.run_until_complete(clocks.run_ready_tasks())

    def close(self) -> None:
        """Cancel every task and close the loop."""
        for task in asyncio.all_tasks(self.loop):
            task.cancel()
        self.settle()
        self.loop.close()


class TableMachine(stateful.RuleBasedStateMachine):
    """Base of the state machines that use a table with faults."""

    def __init__(self) -> None:
        super().__init__()
        self.runner = LoopRunner()
        self.table = ExploredTable()

    @stateful.precondition(lambda self: self.table.waiting)
    @stateful.rule(
        pick=st.integers(0, 1 << 20),
        outcome=st.sampled_from([*CommitOutcome, CommitOutcome.ANSWERED]),
    )
    def decide(self, pick: int, outcome: CommitOutcome) -> None:
        """Decide the outcome of a waiting commit."""
        self.table.decide_outcome(pick % len(self.table.waiting), outcome)
        self.runner.settle()

    @stateful.precondition(lambda self: self.table.waiting)
    @stateful.rule(pick=st.integers(0, 1 << 20))
    def take_effect(self, pick: int) -> None:
        """Execute a waiting commit; it may be answered later, or never."""
        self.table.take_effect(pick % len(self.table.waiting))

    @stateful.precondition(lambda self: self.table.late)
    @stateful.rule(pick=st.integers(0, 1 << 20))
    def land(self, pick: int) -> None:
        """Execute a late commit."""
        self.table.execute_late(pick % len(self.table.late))

    def teardown(self) -> None:
        """Close the loop."""
        self.runner.close()
