"""A stand-in for the transactional table: multi-key compare-and-set."""

import asyncio
import dataclasses
import time
import typing

from aiohttp import web
import orjson

from cardamom_standins import base

WRITES_PER_S = 400.0
READS_PER_S = 2_000.0
ANY_VERSION = -1


@dataclasses.dataclass
class TableFaults(base.Faults):
    """The table's switches.

    stale: serve reads and scans from the rows at the time when this was
        switched on; commits still use the current rows.
    """

    stale: bool = False


class Pacer:
    """Limits the rate of operations by spacing them evenly."""

    def __init__(self, per_s: float) -> None:
        self._interval_s = 1.0 / per_s
        self._next_s = 0.0

    async def wait(self) -> None:
        """Wait until this operation may start."""
        now_s = time.monotonic()
        start_s = max(now_s, self._next_s)
        self._next_s = start_s + self._interval_s
        if start_s > now_s:
            await asyncio.sleep(start_s - now_s)


class TableStandin(base.Standin):
    """Keeps rows in memory; it is one process, so it fails as a whole."""

    faults: TableFaults

    def __init__(self, seed: int = 1) -> None:
        super().__init__(seed)
        self._row_by_key: dict[str, base.Json] = {}
        self._version_by_key: dict[str, int] = {}
        self._snapshot: dict[str, base.Json] = {}
        self._write_pacer = Pacer(WRITES_PER_S)
        self._read_pacer = Pacer(READS_PER_S)
        self.count_by_operation = {"read": 0, "write": 0}

    def make_faults(self) -> TableFaults:
        """Return the switches, all off."""
        return TableFaults()

    def set_faults(self, values: base.Json) -> None:
        """Set switches; ``stale`` takes a snapshot of the rows for reads."""
        if values.get("stale") and not self.faults.stale:
            self._snapshot = dict(self._row_by_key)
        super().set_faults(values)

    def routes(self) -> list[web.RouteDef]:
        """Return the table's routes."""
        return [
            web.post("/v1/read", self._read),
            web.post("/v1/scan", self._scan),
            web.post("/v1/commit", self._commit),
            web.get("/v1/counts", self._counts),
        ]

    def _readable_rows(self) -> dict[str, base.Json]:
        return self._snapshot if self.faults.stale else self._row_by_key

    async def _read(self, request: web.Request) -> web.Response:
        await self._count_and_pace("read")
        keys = orjson.loads(await request.read())["keys"]
        rows = self._readable_rows()
        return base.reply({"rows": {k: rows[k] for k in keys if k in rows}})

    async def _scan(self, request: web.Request) -> web.Response:
        await self._count_and_pace("read")
        prefix = orjson.loads(await request.read())["prefix"]
        rows = {
            key: row
            for key, row in self._readable_rows().items()
            if key.startswith(prefix)
        }
        return base.reply({"rows": rows})

    async def _commit(self, request: web.Request) -> web.Response:
        body = orjson.loads(await request.read())
        conditions: dict[str, int] = body["conditions"]
        is_write = bool(body["puts"] or body["deletes"])
        await self._count_and_pace("write" if is_write else "read")
        committed = all(
            expected in (ANY_VERSION, self._current_version(key))
            for key, expected in conditions.items()
        )
        rows = {
            key: self._row_by_key[key]
            for key, expected in conditions.items()
            if key in self._row_by_key
            and expected != self._current_version(key)
        }
        if committed:
            self._apply(body["puts"], body["deletes"])
        return base.reply({"committed": committed, "rows": rows})

    def _current_version(self, key: str) -> int:
        row = self._row_by_key.get(key)
        return int(row["version"]) if row else 0

    def _apply(
        self,
        puts: dict[str, typing.Any],
        deletes: list[str],
    ) -> None:
        for key, value in puts.items():
            version = self._version_by_key.get(key, 0) + 1
            self._version_by_key[key] = version
            self._row_by_key[key] = {"version": version, "body": value}
        for key in deletes:
            self._row_by_key.pop(key, None)

    async def _count_and_pace(self, operation: str) -> None:
        self.count_by_operation[operation] += 1
        pacer = self._write_pacer if operation == "write" else self._read_pacer
        await pacer.wait()

    async def _counts(self, _: web.Request) -> web.Response:
        return base.reply(self.count_by_operation)
