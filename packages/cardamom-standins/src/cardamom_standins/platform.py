"""Stand-ins for the instance list, the object store and the weight store."""

import asyncio
import dataclasses
import time

from aiohttp import web
import orjson

from cardamom_standins import base
from cardamom_standins import table

LIST_LAG_MS = 2_000
LIST_TTL_MS = 8_000
WEIGHT_LOAD_MS = 200


class InstanceListStandin(base.Standin):
    """An instance list that shows announced entries after a delay."""

    def __init__(
        self,
        seed: int = 1,
        lag_ms: int = LIST_LAG_MS,
        ttl_ms: int = LIST_TTL_MS,
    ) -> None:
        super().__init__(seed)
        self._lag_ms = lag_ms
        self._ttl_ms = ttl_ms
        self._announced: list[tuple[float, base.Json]] = []
        self._visible: dict[str, tuple[float, base.Json]] = {}

    def routes(self) -> list[web.RouteDef]:
        """Return the list's routes."""
        return [
            web.get("/v1/instances", self._get),
            web.post("/v1/instances", self._announce),
        ]

    async def _announce(self, request: web.Request) -> web.Response:
        entry = orjson.loads(await request.read())
        self._announced.append((_now_ms() + self._lag_ms, entry))
        return base.reply({})

    async def _get(self, _: web.Request) -> web.Response:
        now_ms = _now_ms()
        while self._announced and self._announced[0][0] <= now_ms:
            visible_ms, entry = self._announced.pop(0)
            self._visible[entry["id"]] = (visible_ms, entry)
        self._visible = {
            key: (visible_ms, entry)
            for key, (visible_ms, entry) in self._visible.items()
            if now_ms - visible_ms < self._ttl_ms
        }
        entries = [entry for _, entry in self._visible.values()]
        return base.reply({"instances": entries})


class ObjectStoreStandin(base.Standin):
    """Keeps objects in memory."""

    def __init__(self, seed: int = 1) -> None:
        super().__init__(seed)
        self._by_key: dict[str, bytes] = {}

    def routes(self) -> list[web.RouteDef]:
        """Return the store's routes."""
        return [
            web.get("/v1/objects/{key:.+}", self._get),
            web.put("/v1/objects/{key:.+}", self._put),
        ]

    async def _get(self, request: web.Request) -> web.Response:
        data = self._by_key.get(request.match_info["key"])
        if data is None:
            return web.Response(status=404)
        return web.Response(body=data)

    async def _put(self, request: web.Request) -> web.Response:
        self._by_key[request.match_info["key"]] = await request.read()
        return base.reply({})


@dataclasses.dataclass(frozen=True)
class WeightRates:
    """The capacity of the weight store and the time of one load."""

    loads_per_s: float = 2.5
    concurrent_loads: int = 14
    load_ms: int = WEIGHT_LOAD_MS


class WeightStoreStandin(base.Standin):
    """Limits the rate of loads; too many concurrent loads become slower."""

    def __init__(
        self,
        seed: int = 1,
        rates: WeightRates | None = None,
    ) -> None:
        super().__init__(seed)
        self._rates = rates or WeightRates()
        self._pacer = table.Pacer(self._rates.loads_per_s)
        self._running_loads = 0

    def routes(self) -> list[web.RouteDef]:
        """Return the store's routes."""
        return [web.get("/v1/weights/{model}/{version}", self._get)]

    async def _get(self, request: web.Request) -> web.Response:
        self._running_loads += 1
        try:
            await self._pacer.wait()
            slowdown = max(
                1.0, self._running_loads / self._rates.concurrent_loads
            )
            await asyncio.sleep(self._rates.load_ms * slowdown / 1000)
        finally:
            self._running_loads -= 1
        return base.reply({"model": request.match_info["model"]})


def _now_ms() -> float:
    return time.monotonic() * 1000
