"""Counts calls to the platform's store by what they are for.

Each call to the store is charged for, so the counts show which part of the
gateway costs what.
"""

import collections
import typing

import structlog

from cardamom_kernel import tables

from cardamom_gateway import interfaces
from cardamom_gateway import metrics as metrics_module

LOG = structlog.get_logger("cardamom.gateway.store_calls")

KEY_SEPARATOR = "/"


class StoreCalls:
    """Counts of calls by step and subject."""

    def __init__(self, metrics: metrics_module.Metrics) -> None:
        self._metrics = metrics
        self._count_by_name: collections.Counter[str] = collections.Counter()

    def note(self, step: str, subject: str) -> None:
        """Count one call."""
        self._count_by_name[f"{step} {subject}"] += 1
        self._metrics.store_calls.labels(step, subject).inc()

    async def report(self) -> None:
        """Log the counts since the last report, if there are any."""
        if self._count_by_name:
            LOG.info("store_calls: counted", **self._count_by_name)
        self._count_by_name.clear()


class CountingStore(interfaces.Store):
    """A store whose calls are counted."""

    def __init__(self, store: interfaces.Store, calls: StoreCalls) -> None:
        self._store = store
        self._calls = calls

    async def read_all(self, topic: interfaces.Topic) -> interfaces.Changes:
        """Count and pass on."""
        self._calls.note("read_all", topic.value)
        return await self._store.read_all(topic)

    async def follow(
        self, topic: interfaces.Topic, after: int, wait_ms: int
    ) -> interfaces.Changes:
        """Count and pass on."""
        self._calls.note("follow", topic.value)
        return await self._store.follow(topic, after, wait_ms)

    def use_new_connections(self) -> None:
        """Pass on."""
        self._store.use_new_connections()

    def table(self, topic: interfaces.Topic) -> tables.Table:
        """Return one of the gateway's own tables, with counted calls."""
        return CountingTable(self._store.table(topic), self._calls)

    async def close(self) -> None:
        """Close the store."""
        await self._store.close()


class CountingTable(tables.Table):
    """A table whose calls are counted by the kind of their first key."""

    def __init__(self, table: tables.Table, calls: StoreCalls) -> None:
        self._table = table
        self._calls = calls

    async def read(self, keys: typing.Sequence[str]) -> dict[str, tables.Row]:
        """Count and pass on."""
        self._calls.note("read", _kind(keys))
        return await self._table.read(keys)

    async def read_latest(
        self, keys: typing.Sequence[str]
    ) -> dict[str, tables.Row]:
        """Count and pass on."""
        self._calls.note("read", _kind(keys))
        return await self._table.read_latest(keys)

    async def scan(self, prefix: str) -> dict[str, tables.Row]:
        """Count and pass on."""
        self._calls.note("scan", _kind([prefix]))
        return await self._table.scan(prefix)

    async def commit(
        self,
        conditions: typing.Mapping[str, int],
        puts: typing.Mapping[str, tables.Body],
        deletes: typing.Sequence[str] = (),
    ) -> tables.CommitResult:
        """Count and pass on."""
        self._calls.note("commit", _kind([*puts, *deletes]))
        return await self._table.commit(conditions, puts, deletes)


def _kind(keys: typing.Sequence[str]) -> str:
    """Return the first key without the name of an instance."""
    return keys[0].partition(KEY_SEPARATOR)[0] if keys else ""
