"""Tests of the followers of the store."""

import asyncio
import typing

from cardamom_gateway import interfaces
from cardamom_gateway.store import followers
from cardamom_kernel import clocks
from cardamom_kernel import tables

TOPIC = interfaces.Topic.TARGETS


class ScriptedStore(interfaces.Store):
    """Answers calls from a list, then leaves them without an answer."""

    def __init__(self, *answers: interfaces.Changes | Exception) -> None:
        self._answers = list(answers)
        self.calls: list[str] = []
        self.new_connections = 0

    async def read_all(self, topic: interfaces.Topic) -> interfaces.Changes:
        """Return the next answer."""
        return await self._answer("all")

    async def follow(
        self, topic: interfaces.Topic, after: int, wait_ms: int
    ) -> interfaces.Changes:
        """Return the next answer."""
        return await self._answer(f"after {after}")

    async def _answer(self, call: str) -> interfaces.Changes:
        self.calls.append(call)
        if not self._answers:
            await asyncio.Event().wait()
        answer = self._answers.pop(0)
        if isinstance(answer, Exception):
            raise answer
        return answer

    def use_new_connections(self) -> None:
        """Count it."""
        self.new_connections += 1

    def table(self, topic: interfaces.Topic) -> tables.Table:
        """Not used."""
        raise NotImplementedError

    async def close(self) -> None:
        """Do nothing."""


def changes(era: int, number: int, *keys: str) -> interfaces.Changes:
    """Return an answer with changed rows."""
    return interfaces.Changes(
        tuple(interfaces.Change(key, b"{}", number) for key in keys),
        tables.StoreVersion(era, number),
        0,
    )


async def followed(
    *answers: interfaces.Changes | Exception,
) -> tuple[ScriptedStore, list[tuple[set[str], bool]], followers.Follower]:
    """Let a follower read all answers; return what its sink got."""
    store = ScriptedStore(*answers)
    received: list[tuple[set[str], bool]] = []
    follower = followers.Follower(
        store,
        clocks.MonotonicClock(),
        TOPIC,
        lambda read, is_full: received.append(
            ({change.key for change in read.changes}, is_full)
        ),
    )
    task = asyncio.create_task(follower.run())
    async with asyncio.timeout(5):
        while len(store.calls) <= len(answers):
            await asyncio.sleep(0.01)
    task.cancel()
    return store, received, follower


def run(scenario: typing.Coroutine[typing.Any, typing.Any, None]) -> None:
    """Run a scenario."""
    asyncio.run(scenario)


class TestEras:
    """Answers of a store that came back from an older copy."""

    def test_rows_under_numbers_given_out_again_are_read(self) -> None:
        """A row at a number that was known before would never be seen."""

        async def scenario() -> None:
            store, received, _ = await followed(
                changes(1, 50, "a"),
                changes(2, 60, "late"),
                changes(2, 61, "a", "rewritten", "late"),
            )
            assert store.calls == ["all", "after 50", "all", "after 61"]
            assert received[1:] == [({"a", "rewritten", "late"}, True)]

        run(scenario())

    def test_lower_version_of_a_later_era_is_taken(self) -> None:
        """It would be dropped, and read again without a pause."""

        async def scenario() -> None:
            store, received, follower = await followed(
                changes(1, 50, "a"),
                interfaces.HistoryLost("feed", 2),
                changes(2, 20, "a", "b"),
            )
            assert store.calls[-1] == "after 20"
            assert received[-1] == ({"a", "b"}, True)
            assert follower.last_change == tables.StoreVersion(2, 20)

        run(scenario())

    def test_late_answer_of_an_earlier_era_changes_nothing(self) -> None:
        """Rows that are gone would come back."""

        async def scenario() -> None:
            _, received, follower = await followed(
                changes(2, 20, "b"), changes(1, 90, "a")
            )
            assert received == [({"b"}, True)]
            assert follower.version == tables.StoreVersion(2, 20)

        run(scenario())

    def test_return_from_a_copy_gives_entries_time_to_come_back(self) -> None:
        """Targets whose entry isn't written again yet would be removed."""

        async def scenario() -> None:
            _, _, follower = await followed(
                changes(1, 50, "a"), interfaces.HistoryLost("feed", 2)
            )
            since_ms = clocks.MonotonicClock().now_ms() - 2_000
            assert follower.reachable_since_ms > since_ms

        run(scenario())


class TestOverdueCalls:
    """Calls that get no answer after the wait that they asked for."""

    def test_change_is_read_over_a_new_connection(self) -> None:
        """Changes were heard seconds late, after the first call's time-out."""

        async def scenario() -> None:
            store = ScriptedStore(changes(1, 50, "a"), changes(1, 50))
            received: list[set[str]] = []
            follower = followers.Follower(
                store,
                clocks.MonotonicClock(),
                TOPIC,
                lambda read, _: received.append({c.key for c in read.changes}),
                wait_ms=lambda: 200,
            )
            task = asyncio.create_task(follower.run())
            async with asyncio.timeout(1):
                while len(store.calls) < 3:
                    await asyncio.sleep(0.01)
            # The third call waits for a change, and is never answered.
            store._answers = [changes(1, 51, "b")]
            async with asyncio.timeout(1):
                while received[-1] != {"b"}:
                    await asyncio.sleep(0.01)
            assert store.new_connections == 1
            task.cancel()

        run(scenario())

    def test_both_calls_end_with_the_follower(self) -> None:
        """They would go on reading for nobody."""

        async def scenario() -> None:
            store = ScriptedStore(changes(1, 50, "a"), changes(1, 50))
            follower = followers.Follower(
                store,
                clocks.MonotonicClock(),
                TOPIC,
                lambda *read: None,
                wait_ms=lambda: 0,
            )
            task = asyncio.create_task(follower.run())
            async with asyncio.timeout(1):
                while len(store.calls) < 4:
                    await asyncio.sleep(0.01)
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)
            await asyncio.sleep(0)
            assert asyncio.all_tasks() == {asyncio.current_task()}

        run(scenario())


class TestDroppedReads:
    """Full reads that are older than what a peer has told."""

    def test_older_full_reads_are_not_repeated_without_a_pause(self) -> None:
        """Thousands of calls a second would use up the store's rate."""

        async def scenario() -> None:
            store = ScriptedStore(*[changes(1, 10, "a")] * 10_000)
            follower = followers.Follower(
                store, clocks.MonotonicClock(), TOPIC, lambda *read: None
            )
            follower.version = tables.StoreVersion(1, 20)
            follower._needs_full_read = True
            task = asyncio.create_task(follower.run())
            await asyncio.sleep(1.0)
            task.cancel()
            assert len(store.calls) < 100

        run(scenario())
