"""HTTP clients of the platform and of engines, registered as plug-ins."""

import asyncio
import typing

import aiohttp
import orjson

from cardamom_kernel import ids
from cardamom_kernel import registry
from cardamom_kernel import tables
from cardamom_platform import answer_bodies
from cardamom_platform import interfaces
from cardamom_platform import pools

TABLE_TIMEOUT_S = 2.0
LIST_TIMEOUT_S = 2.0
OBJECT_TIMEOUT_S = 5.0
CONTROL_TIMEOUT_S = 2.0

# A whole table in one answer.
MAX_STORED_BYTES = 64 << 20
SUCCESS_STATUSES = range(200, 300)
CALL_ERRORS = (*pools.NETWORK_ERRORS, ValueError)

Json = dict[str, typing.Any]


class JsonClient:
    """Sends JSON requests to one base URL over a connection pool.

    A timeout replaces the pool, since its other connections may be stalled
    too.
    """

    def __init__(
        self,
        pool: pools.Pool,
        url: str,
        headers: typing.Mapping[str, str] | None = None,
    ) -> None:
        self._pool = pool
        self._url = url.rstrip("/")
        self._headers = {"Content-Type": "application/json"}
        self._headers.update(headers or {})

    async def post(self, path: str, body: object, timeout_s: float) -> Json:
        """Post JSON and return the JSON object; raises one of CALL_ERRORS."""
        return await self._call("POST", path, orjson.dumps(body), timeout_s)

    async def get(self, path: str, timeout_s: float) -> Json:
        """Return the JSON object at a path; raises one of CALL_ERRORS."""
        return await self._call("GET", path, None, timeout_s)

    async def _call(
        self,
        method: str,
        path: str,
        data: bytes | None,
        timeout_s: float,
    ) -> Json:
        try:
            async with self._pool.session.request(
                method,
                self._url + path,
                data=data,
                headers=self._headers,
                timeout=aiohttp.ClientTimeout(total=timeout_s),
            ) as response:
                _require_success(response)
                parsed = orjson.loads(
                    await answer_bodies.read(response, MAX_STORED_BYTES)
                )
        except asyncio.TimeoutError:
            self._pool.replace()
            raise
        if not isinstance(parsed, dict):
            raise ValueError("the answer is not a JSON object")
        return parsed


def _require_success(response: aiohttp.ClientResponse) -> None:
    """Raise an aiohttp.ClientError unless the status is one of success."""
    if response.status not in SUCCESS_STATUSES:
        raise aiohttp.ClientPayloadError(
            f"status {response.status} is not one of success"
        )


@registry.PLUGINS.register("table", "http")
class HttpTable(tables.Table):
    """A client of the transactional table.

    ``reads`` and ``writes`` count the calls sent.
    """

    def __init__(self, pool: pools.Pool, url: str) -> None:
        self._http = JsonClient(pool, url)
        self.reads = 0
        self.writes = 0

    async def read(self, keys: typing.Sequence[str]) -> dict[str, tables.Row]:
        """Return the rows present among the keys; they may be stale.

        Raises TableUnavailable.
        """
        return await self._read_rows("/v1/read", {"keys": list(keys)})

    async def scan(self, prefix: str) -> dict[str, tables.Row]:
        """Return the rows whose key has the prefix; they may be stale.

        Raises TableUnavailable.
        """
        return await self._read_rows("/v1/scan", {"prefix": prefix})

    async def commit(
        self,
        conditions: typing.Mapping[str, int],
        puts: typing.Mapping[str, tables.Body],
        deletes: typing.Sequence[str] = (),
    ) -> tables.CommitResult:
        """Compare and set; the state is UNKNOWN if no answer arrives."""
        body = {
            "conditions": dict(conditions),
            "puts": {key: dict(value) for key, value in puts.items()},
            "deletes": list(deletes),
        }
        if puts or deletes:
            self.writes += 1
        else:
            self.reads += 1
        try:
            answer = await self._http.post("/v1/commit", body, TABLE_TIMEOUT_S)
            rows = _decode_rows(answer)
            committed = bool(answer["committed"])
        except (*CALL_ERRORS, KeyError):
            return tables.CommitResult(tables.CommitState.UNKNOWN)
        state = (
            tables.CommitState.COMMITTED
            if committed
            else tables.CommitState.CONFLICT
        )
        return tables.CommitResult(state, rows)

    async def _read_rows(self, path: str, body: Json) -> dict[str, tables.Row]:
        self.reads += 1
        try:
            answer = await self._http.post(path, body, TABLE_TIMEOUT_S)
            return _decode_rows(answer)
        except (*CALL_ERRORS, KeyError) as error:
            raise tables.TableUnavailable(f"table: {error!r}") from error


def _decode_rows(answer: Json) -> dict[str, tables.Row]:
    return {
        key: tables.Row(key, row["version"], row["body"])
        for key, row in answer["rows"].items()
    }


@registry.PLUGINS.register("instance-list", "http")
class HttpInstanceList(interfaces.InstanceList):
    """A client of the platform's instance list."""

    def __init__(self, pool: pools.Pool, url: str) -> None:
        self._http = JsonClient(pool, url)

    async def instances(self) -> list[interfaces.ListedInstance]:
        """Return the listed instances; raises ListUnavailable."""
        try:
            answer = await self._http.get("/v1/instances", LIST_TIMEOUT_S)
            return [_decode_instance(item) for item in answer["instances"]]
        except (*CALL_ERRORS, KeyError) as error:
            raise interfaces.ListUnavailable(f"list: {error!r}") from error

    async def announce(self, instance: interfaces.ListedInstance) -> None:
        """Publish this instance and its state; raises ListUnavailable."""
        body = {
            "id": instance.id,
            "address": instance.address,
            "data_centre": instance.data_centre,
            "state": instance.state.value,
        }
        try:
            await self._http.post("/v1/instances", body, LIST_TIMEOUT_S)
        except CALL_ERRORS as error:
            raise interfaces.ListUnavailable(f"list: {error!r}") from error


def _decode_instance(item: Json) -> interfaces.ListedInstance:
    return interfaces.ListedInstance(
        ids.InstanceId(item["id"]),
        item["address"],
        ids.DataCentreId(item["data_centre"]),
        interfaces.InstanceState(item["state"]),
    )


@registry.PLUGINS.register("objects", "http")
class HttpObjectStore(interfaces.ObjectStore):
    """A client of the object store."""

    def __init__(self, pool: pools.Pool, url: str) -> None:
        self._pool = pool
        self._url = url.rstrip("/")
        self._timeout = aiohttp.ClientTimeout(total=OBJECT_TIMEOUT_S)

    async def put(self, key: str, data: bytes) -> None:
        """Store a value under a key; raises ObjectsUnavailable."""
        try:
            async with self._pool.session.put(
                f"{self._url}/v1/objects/{key}",
                data=data,
                timeout=self._timeout,
            ) as response:
                _require_success(response)
        except CALL_ERRORS as error:
            raise interfaces.ObjectsUnavailable(repr(error)) from error

    async def get(self, key: str) -> bytes | None:
        """Return the value, None if absent; raises ObjectsUnavailable."""
        try:
            async with self._pool.session.get(
                f"{self._url}/v1/objects/{key}",
                timeout=self._timeout,
            ) as response:
                if response.status == 404:
                    return None
                _require_success(response)
                return await answer_bodies.read(response, MAX_STORED_BYTES)
        except CALL_ERRORS as error:
            raise interfaces.ObjectsUnavailable(repr(error)) from error


@registry.PLUGINS.register("engine-control", "http")
class HttpEngineControl(interfaces.EngineControl):
    """A client of an engine's control interface."""

    def __init__(self, pool: pools.Pool, url: str) -> None:
        self._http = JsonClient(pool, url)

    async def state(self) -> interfaces.EngineState:
        """Return the engine's state; raises TargetUnreachable."""
        try:
            answer = await self._http.get(
                "/engine/v1/state", CONTROL_TIMEOUT_S
            )
            return _decode_engine_state(answer)
        except (*CALL_ERRORS, KeyError) as error:
            raise _target_unreachable(error) from error

    async def order(
        self,
        order: interfaces.Order,
        timeout_ms: int,
    ) -> interfaces.OrderResult:
        """Send an order, which the engine discards after the timeout.

        The state is UNKNOWN if no usable answer arrives.
        """
        body = {
            "id": order.id,
            "kind": order.kind.value,
            "fence": order.fence,
            "model": order.model,
            "version": order.version,
            "adapter": order.adapter,
            "memory_mb": order.memory_mb,
            "argument": order.argument,
            "lifetime_ms": timeout_ms,
        }
        try:
            answer = await self._http.post(
                "/engine/v1/orders", body, timeout_ms / 1000
            )
            return interfaces.OrderResult(
                interfaces.OrderOutcome(answer["state"]),
                str(answer.get("message", "")),
            )
        except (*CALL_ERRORS, KeyError) as error:
            return interfaces.OrderResult(
                interfaces.OrderOutcome.UNKNOWN, repr(error)
            )

    async def cache_events(self, after: int) -> interfaces.CacheEvents:
        """Return the cache events after a sequence number.

        Raises TargetUnreachable.
        """
        try:
            answer = await self._http.get(
                f"/engine/v1/events?after={after}", CONTROL_TIMEOUT_S
            )
            events = tuple(
                interfaces.CacheEvent(
                    event["sequence"], event["prefix"], event["present"]
                )
                for event in answer["events"]
            )
            return interfaces.CacheEvents(answer["boot"], events)
        except (*CALL_ERRORS, KeyError) as error:
            raise _target_unreachable(error) from error


def _target_unreachable(error: Exception) -> interfaces.TargetUnreachable:
    timed_out = isinstance(error, asyncio.TimeoutError)
    return interfaces.TargetUnreachable(repr(error), timed_out)


def _decode_engine_state(answer: Json) -> interfaces.EngineState:
    residents = tuple(
        interfaces.Resident(
            item["model"],
            item["version"],
            item["adapter"],
            item["memory_mb"],
            interfaces.LoadState(item["state"]),
        )
        for item in answer["residents"]
    )
    return interfaces.EngineState(
        boot=answer["boot"],
        memory_mb=answer["memory_mb"],
        residents=residents,
        running=answer["running"],
        queued=answer["queued"],
        fence=answer["fence"],
    )
