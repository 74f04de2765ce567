"""The store's table, read through a peer if the store is unreachable."""

import typing

from cardamom_kernel import tables

from cardamom_gateway.fleet import peer_calls
from cardamom_gateway.fleet import peers


class RelayedTable(tables.Table):
    """A table that falls back to a peer, one row at a time.

    A write without an answer is tried again through a peer under the same
    condition, so that at most one of the two takes effect.
    ``members_with_store`` returns the peers that reach the store.
    """

    def __init__(
        self,
        table: tables.Table,
        calls: peer_calls.PeerCalls,
        members_with_store: typing.Callable[[], list[peers.Member]],
    ) -> None:
        self._table = table
        self._calls = calls
        self._members_with_store = members_with_store

    async def read(self, keys: typing.Sequence[str]) -> dict[str, tables.Row]:
        """Return the rows present among the keys.

        Raises TableUnavailable if neither the store nor the peer answers.
        """
        try:
            return await self._table.read_latest(keys)
        except tables.TableUnavailable:
            members = self._members_with_store()
            if not members:
                raise
        rows = [await self._calls.read_row(members[0], key) for key in keys]
        return {row.key: row for row in rows if row is not None}

    async def read_latest(
        self, keys: typing.Sequence[str]
    ) -> dict[str, tables.Row]:
        """Return the latest rows among the keys, as ``read`` does."""
        return await self.read(keys)

    async def scan(self, prefix: str) -> dict[str, tables.Row]:
        """Return the rows whose key has the prefix, from the store only."""
        return await self._table.scan(prefix)

    async def commit(
        self,
        conditions: typing.Mapping[str, int],
        puts: typing.Mapping[str, tables.Body],
        deletes: typing.Sequence[str] = (),
    ) -> tables.CommitResult:
        """Write rows under conditions; without an answer return UNKNOWN.

        Only a write of a single row is tried through a peer.
        """
        result = await self._table.commit(conditions, puts, deletes)
        members = self._members_with_store()
        if result.state is not tables.CommitState.UNKNOWN or not members:
            return result
        if deletes or len(puts) != 1 or set(puts) != set(conditions):
            return result
        ((key, body),) = puts.items()
        state = await self._calls.commit_row(
            members[0], key, conditions[key], body
        )
        return tables.CommitResult(state)
