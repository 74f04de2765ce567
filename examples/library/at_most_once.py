"""Execute a payment at most once with the claims module.

Run it with ``python examples/library/at_most_once.py``.  A real program
provides its own shared table; the example uses one in memory.
"""

import asyncio
import typing

from cardamom_kernel import claims
from cardamom_kernel import ids
from cardamom_kernel import tables


class MemoryTable(tables.Table):
    """A table in memory, which covers only what the examples need."""

    def __init__(self) -> None:
        self._rows: dict[str, tables.Row] = {}

    async def read(self, keys: typing.Sequence[str]) -> dict[str, tables.Row]:
        """Return the rows present among the keys."""
        return {key: self._rows[key] for key in keys if key in self._rows}

    async def scan(self, prefix: str) -> dict[str, tables.Row]:
        """Return the rows whose key starts with the prefix."""
        return {k: r for k, r in self._rows.items() if k.startswith(prefix)}

    async def commit(
        self,
        conditions: typing.Mapping[str, int],
        puts: typing.Mapping[str, tables.Body],
        deletes: typing.Sequence[str] = (),
    ) -> tables.CommitResult:
        """Write the puts if every condition holds; ignores deletes."""
        rows = {k: self._rows[k] for k in conditions if k in self._rows}
        for key, expected in conditions.items():
            version = rows[key].version if key in rows else tables.ABSENT
            if expected not in (tables.ANY_VERSION, version):
                conflict = tables.CommitState.CONFLICT
                return tables.CommitResult(conflict, rows)
        for key, body in puts.items():
            version = rows[key].version if key in rows else tables.ABSENT
            self._rows[key] = tables.Row(key, version + 1, body)
        return tables.CommitResult(tables.CommitState.COMMITTED, rows)


async def pay(table: tables.Table, process: int) -> str:
    """Try to pay as one of several processes, and return the outcome."""
    attempt = claims.Attempt(
        ids.AttemptId(f"attempt-{process}"),
        ids.TeamId("team-a"),
        idempotency_key="invoice-7",
        body_hash=claims.hash_body(b"12.50"),
        instance=ids.InstanceId(f"process-{process}"),
    )
    book = claims.Claims(table)
    decision = await book.claim(attempt)
    if decision.verdict is not claims.Verdict.GRANTED:
        return f"process {process}: {decision.verdict.value}"
    await book.finish(attempt, claims.ClaimState.DONE, {"receipt": 1})
    return f"process {process}: paid"


async def main() -> None:
    """Try the same payment as three processes."""
    table = MemoryTable()
    for process in range(3):
        print(await pay(table, process))


if __name__ == "__main__":
    asyncio.run(main())
