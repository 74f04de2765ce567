"""Run a payment at most once with the claims library.

Run it with ``python examples/library/at_most_once.py``.  A real program
brings its own table; this one is a small one in memory.
"""

import asyncio
import typing

from cardamom_kernel import claims
from cardamom_kernel import ids
from cardamom_kernel import tables


class SmallTable(tables.Table):
    """A table in memory for the example."""

    def __init__(self) -> None:
        self._rows: dict[str, tables.Row] = {}

    async def read(self, keys: typing.Sequence[str]) -> dict[str, tables.Row]:
        """Return the rows among the keys."""
        return {key: self._rows[key] for key in keys if key in self._rows}

    async def scan(self, prefix: str) -> dict[str, tables.Row]:
        """Return the rows under a prefix."""
        return {k: r for k, r in self._rows.items() if k.startswith(prefix)}

    async def commit(
        self,
        conditions: typing.Mapping[str, int],
        puts: typing.Mapping[str, tables.Body],
        deletes: typing.Sequence[str] = (),
    ) -> tables.CommitResult:
        """Compare and set."""
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


async def pay(table: tables.Table, number: int) -> str:
    """Try to pay, as the process with a number."""
    attempt = claims.Attempt(
        ids.AttemptId(f"attempt-{number}"),
        ids.TeamId("team-a"),
        idempotency_key="invoice-7",
        body_hash=claims.hash_body(b"12.50"),
        instance=ids.InstanceId(f"process-{number}"),
    )
    book = claims.Claims(table)
    decision = await book.claim(attempt)
    if decision.verdict is not claims.Verdict.GRANTED:
        return f"process {number}: {decision.verdict.value}"
    await book.finish(attempt, claims.ClaimState.DONE, {"receipt": 1})
    return f"process {number}: paid"


async def main() -> None:
    """Let three processes try the same payment."""
    table = SmallTable()
    for number in range(3):
        print(await pay(table, number))


if __name__ == "__main__":
    asyncio.run(main())
