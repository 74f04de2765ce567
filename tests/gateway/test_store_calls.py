"""Tests of the counts of calls to the store."""

import asyncio
import typing

from cardamom_gateway import interfaces
from cardamom_gateway import metrics
from cardamom_gateway.store import store_calls
from cardamom_kernel import tables
from tests import fakes
from tests.gateway import test_followers


class OneTableStore(test_followers.ScriptedStore):
    """A store with one table."""

    def table(self, topic: interfaces.Topic) -> tables.Table:
        """Return the table, whatever the topic."""
        return fakes.MemoryTable()


class TestStoreCalls:
    """Calls by step and subject, as they are charged for."""

    def test_each_call_is_counted_by_its_subject(self) -> None:
        """Operators could not tell what the calls are for."""
        counted: typing.Any = metrics.Metrics()
        calls = store_calls.StoreCalls(counted)
        store = store_calls.CountingStore(
            OneTableStore(test_followers.changes(1, 1, "a")), calls
        )

        async def scenario() -> None:
            await store.read_all(interfaces.Topic.TARGETS)
            table = store.table(interfaces.Topic.FLEET)
            await table.commit({}, {"instance/frontend-1": {}})
            await table.commit({}, {}, ["instance/frontend-2"])
            await table.read_latest(["lease/orders"])

        asyncio.run(scenario())
        text = counted.text().decode()
        for step, subject, count in (
            ("read_all", "targets", 1),
            ("commit", "instance", 2),
            ("read", "lease", 1),
        ):
            labels = f'step="{step}",subject="{subject}"'
            assert f"{{{labels}}} {count}.0" in text
