"""A stand-in for a model engine: batching, streams, memory and orders."""

import asyncio
import dataclasses
import hashlib
import itertools
import secrets
import time
import typing

import aiohttp
from aiohttp import web
import orjson

from cardamom_standins import base
from cardamom_standins import residents
from cardamom_standins import service

TOKENS_PER_S = 2_000.0
BETWEEN_TOKENS_MS = 5.0
PREFILL_TOKENS_PER_S = 40_000.0
PREFIX_CHARACTERS = 256
MAX_CACHED_PREFIXES = 64
RUNNING_REPORT_INTERVAL_MS = 250.0
RESTART_MS = 1_500.0
POISON_WORD = "poison-pill"  # a prompt that contains it crashes the engine
CHARACTERS_PER_TOKEN = 4
MAX_RESUMABLE_STREAMS = 256


@dataclasses.dataclass
class EngineFaults(base.Faults):
    """The engine's switches.

    crash: lose all state once and restart empty, as a new incarnation.
    lose_orders: fraction of the orders that are dropped without effect or
        answer.
    late_orders_ms: abort the connection of each order and let the order
        take effect after this time.
    stall: generate no tokens for the running requests.
    short_answers: fraction of the streams that end without their end mark.
    crossed_answers: fraction of the answers with another request's id.
    lose_events: fraction of the cache events that are never published.
    """

    crash: bool = False
    lose_orders: float = 0.0
    late_orders_ms: float = 0.0
    stall: bool = False
    short_answers: float = 0.0
    crossed_answers: float = 0.0
    lose_events: float = 0.0


@dataclasses.dataclass
class Job:
    """The generation of one answer; a streamed one can be resumed."""

    request_id: str
    model: str
    prompt_digest: str
    prompt_tokens: int
    max_tokens: int
    priority: int
    tokens: list[str] = dataclasses.field(default_factory=list)
    cancelled: bool = False


class EngineStandin(base.Standin):
    """One engine; it loses its memory and streams when it crashes."""

    faults: EngineFaults

    def __init__(
        self,
        seed: int = 1,
        name: str = "engine",
        memory_mb: int = 80_000,
        weights_url: str = "",
        checks_fencing: bool = True,
        tokens_per_s: float = TOKENS_PER_S,
    ) -> None:
        super().__init__(seed)
        self._name = name
        self._weights_url = weights_url
        self._tokens_per_s = tokens_per_s
        self._order_count = itertools.count(1)
        self._session: aiohttp.ClientSession | None = None
        self._background_tasks: set[asyncio.Task[None]] = set()
        self.memory = residents.Memory(memory_mb, checks_fencing)
        self.role = "mixed"
        self.requests = 0
        self.leaks = 0
        self.crashes = 0
        self.executed_request_ids: list[str] = []
        self.reset_state()

    def reset_state(self) -> None:
        """Reset the state to that of an engine that has just started."""
        self.incarnation = secrets.token_hex(6)
        self.memory.clear()
        self._job_by_id: dict[str, Job] = {}
        self._cached_prefixes: dict[str, None] = {}
        self._events: list[base.Json] = []
        self._event_numbers = itertools.count(1)
        self._running_report: tuple[float, int] = (0.0, 0)
        self._down_until_s = 0.0

    def make_faults(self) -> EngineFaults:
        """Return the switches, all off."""
        return EngineFaults()

    def set_faults(self, values: base.Json) -> None:
        """Set switches; ``crash`` takes effect at once and is reset."""
        super().set_faults(values)
        if self.faults.crash:
            self.faults.crash = False
            self.crash()

    def crash(self) -> None:
        """Lose all state; the engine is down for ``RESTART_MS``."""
        self.crashes += 1
        for job in self._job_by_id.values():
            job.cancelled = True
        self.reset_state()
        self._down_until_s = time.monotonic() + RESTART_MS / 1000
        self.abort_connections()

    async def on_start(self) -> None:
        """Open the HTTP session for the weight store."""
        self._session = aiohttp.ClientSession()

    async def on_stop(self) -> None:
        """Cancel late orders and loads in progress, and close the session."""
        for task in self._background_tasks:
            task.cancel()
        if self._session is not None:
            await self._session.close()

    def routes(self) -> list[web.RouteDef]:
        """Return the engine's routes."""
        return [
            web.post("/v1/chat/completions", self._chat),
            web.post("/v1/completions", self._complete),
            web.get("/engine/v1/state", self._state),
            web.get("/engine/v1/events", self._cache_events),
            web.post("/engine/v1/orders", self._order),
            web.post("/engine/v1/cancel", self._cancel),
            web.get("/engine/v1/resume", self._resume),
            web.get("/engine/v1/ledger", self._ledger),
        ]

    async def _chat(self, request: web.Request) -> web.StreamResponse:
        return await self._generate(request, chat=True)

    async def _complete(self, request: web.Request) -> web.StreamResponse:
        return await self._generate(request, chat=False)

    async def _generate(
        self,
        request: web.Request,
        chat: bool,
    ) -> web.StreamResponse:
        if time.monotonic() < self._down_until_s:
            return self._abort_connection(request)
        raw = await request.read()
        self.requests += 1
        self.leaks += service.count_leaks(request, raw)
        body = orjson.loads(raw)
        model, _, adapter = str(body["model"]).partition(":")
        if not self.memory.is_ready(model, adapter):
            error = {"code": "not_loaded", "not_run": True}
            return base.reply({"error": error}, 409)
        prompt = prompt_of(body, chat)
        if POISON_WORD in prompt:
            self.executed_request_ids.append(
                request.headers.get("X-Request-Id", "req-none")
            )
            await asyncio.sleep(0.02)
            self.crash()
            return self._abort_connection(request)
        job = Job(
            request_id=request.headers.get("X-Request-Id", "req-none"),
            model=str(body["model"]),
            prompt_digest=hashlib.sha256(prompt.encode()).hexdigest()[:8],
            prompt_tokens=max(1, len(prompt) // CHARACTERS_PER_TOKEN),
            max_tokens=int(body.get("max_tokens") or 16),
            priority=int(body.get("priority") or 0),
        )
        self._job_by_id[job.request_id] = job
        self.executed_request_ids.append(job.request_id)
        try:
            await self._prefill(prompt)
            if body.get("stream"):
                return await self._stream_response(request, job, chat)
            async for _ in self._generate_tokens(job, request):
                pass
        finally:
            if (
                not body.get("stream")
                or len(self._job_by_id) > MAX_RESUMABLE_STREAMS
            ):
                self._job_by_id.pop(job.request_id, None)
        return self._full_response(job, chat)

    async def _prefill(self, prompt: str) -> None:
        prefix = hashlib.sha256(
            prompt[:PREFIX_CHARACTERS].encode()
        ).hexdigest()[:16]
        is_cached = prefix in self._cached_prefixes
        tokens = len(prompt) / CHARACTERS_PER_TOKEN
        prefill_tokens = tokens * (0.1 if is_cached else 1.0)
        await asyncio.sleep(prefill_tokens / PREFILL_TOKENS_PER_S)
        self._cached_prefixes.pop(prefix, None)
        self._cached_prefixes[prefix] = None
        if not is_cached:
            self._publish_cache_event(prefix, present=True)
        if len(self._cached_prefixes) > MAX_CACHED_PREFIXES:
            oldest = next(iter(self._cached_prefixes))
            del self._cached_prefixes[oldest]
            self._publish_cache_event(oldest, present=False)

    def _publish_cache_event(self, prefix: str, present: bool) -> None:
        sequence = next(self._event_numbers)
        if self.random.random() < self.faults.lose_events:
            return
        self._events.append(
            {"sequence": sequence, "prefix": prefix, "present": present}
        )
        del self._events[:-1000]

    def _running_jobs(self) -> list[Job]:
        return [
            job
            for job in self._job_by_id.values()
            if len(job.tokens) < job.max_tokens and not job.cancelled
        ]

    async def _generate_tokens(
        self,
        job: Job,
        request: web.Request,
    ) -> typing.AsyncIterator[str]:
        """Yield tokens, more slowly as the batch grows."""
        incarnation = self.incarnation
        while len(job.tokens) < job.max_tokens:
            batch_size = len(self._running_jobs())
            interval_s = max(
                BETWEEN_TOKENS_MS / 1000, batch_size / self._tokens_per_s
            )
            if job.priority < 0:
                interval_s *= 2
            await asyncio.sleep(interval_s)
            while self.faults.stall or self.is_silent(request):
                await asyncio.sleep(0.05)
            if job.cancelled or incarnation != self.incarnation:
                raise ConnectionResetError("job ended")
            token = f"{job.prompt_digest}-{len(job.tokens)} "
            job.tokens.append(token)
            yield token

    async def _stream_response(
        self,
        request: web.Request,
        job: Job,
        chat: bool,
        first_index: int = 0,
    ) -> web.StreamResponse:
        response = web.StreamResponse(
            headers={
                "Content-Type": "text/event-stream",
                "X-Request-Id": self._response_request_id(job),
            }
        )
        await response.prepare(request)
        try:
            for index in range(first_index, len(job.tokens)):
                await response.write(_chunk(job, chat, job.tokens[index]))
            async for token in self._generate_tokens(job, request):
                await response.write(_chunk(job, chat, token))
        except ConnectionResetError:
            job.cancelled = True
            if request.transport is not None:
                request.transport.abort()
            return response
        if self.random.random() >= self.faults.short_answers:
            await response.write(_chunk(job, chat, None))
            await response.write(b"data: [DONE]\n\n")
        await response.write_eof()
        return response

    def _full_response(self, job: Job, chat: bool) -> web.Response:
        text = "".join(job.tokens)
        choice: base.Json = {"index": 0, "finish_reason": "length"}
        if chat:
            choice["message"] = {"role": "assistant", "content": text}
        else:
            choice["text"] = text
        response = base.reply(
            {
                "id": job.request_id,
                "object": "chat.completion" if chat else "text_completion",
                "created": 0,
                "model": job.model,
                "choices": [choice],
                "usage": _usage(job),
            }
        )
        response.headers["X-Request-Id"] = self._response_request_id(job)
        return response

    def _response_request_id(self, job: Job) -> str:
        if self.random.random() < self.faults.crossed_answers:
            return "req-of-somebody-else"
        return job.request_id

    async def _cancel(self, request: web.Request) -> web.Response:
        request_id = orjson.loads(await request.read())["request_id"]
        job = self._job_by_id.pop(request_id, None)
        if job is not None:
            job.cancelled = True
        return base.reply({"cancelled": job is not None})

    async def _resume(self, request: web.Request) -> web.StreamResponse:
        job = self._job_by_id.get(request.query["request_id"])
        if job is None:
            return base.reply({"error": {"code": "unknown_stream"}}, 404)
        job.cancelled = False
        first_index = int(request.query.get("from", "0"))
        return await self._stream_response(
            request, job, chat=True, first_index=first_index
        )

    async def _state(self, request: web.Request) -> web.Response:
        now_s = time.monotonic()
        if now_s < self._down_until_s:
            return self._abort_connection(request)
        if (
            now_s - self._running_report[0]
        ) * 1000 >= RUNNING_REPORT_INTERVAL_MS:
            self._running_report = (now_s, len(self._running_jobs()))
        return base.reply(
            {
                "boot": self.incarnation,
                "role": self.role,
                "memory_mb": self.memory.total_mb,
                "residents": self.memory.describe(),
                "running": self._running_report[1],
                "queued": 0,
                "fence": self.memory.fencing_number,
                "overcommits": self.memory.overcommits,
            }
        )

    async def _cache_events(self, request: web.Request) -> web.Response:
        after = int(request.query.get("after", "0"))
        events = [event for event in self._events if event["sequence"] > after]
        return base.reply({"boot": self.incarnation, "events": events})

    async def _order(self, request: web.Request) -> web.Response:
        if time.monotonic() < self._down_until_s:
            return self._abort_connection(request)
        order = orjson.loads(await request.read())
        if self.random.random() < self.faults.lose_orders:
            return self._abort_connection(request)
        if self.faults.late_orders_ms:
            self._spawn(self._execute_later(order, self.faults.late_orders_ms))
            return self._abort_connection(request)
        state, message = self._execute(order)
        return base.reply({"state": state, "message": message})

    async def _execute_later(self, order: base.Json, delay_ms: float) -> None:
        incarnation = self.incarnation
        await asyncio.sleep(delay_ms / 1000)
        if incarnation == self.incarnation:
            self._execute(order)

    def _execute(self, order: base.Json) -> tuple[str, str]:
        kind = order["kind"]
        if kind == "set_role":
            self.role = str(order["argument"])
            return "accepted", ""
        if kind in ("export_kv", "import_kv"):
            return self._transfer_cache(kind, str(order["argument"]))
        answer, resident = self.memory.execute(order)
        if resident is not None:
            self._spawn(self._load(resident))
        return answer

    def _transfer_cache(self, kind: str, prefix: str) -> tuple[str, str]:
        if kind == "export_kv":
            is_cached = prefix in self._cached_prefixes
            return ("accepted", "") if is_cached else ("refused", "not cached")
        self._cached_prefixes[prefix] = None
        self._publish_cache_event(prefix, present=True)
        return "accepted", ""

    async def _load(self, resident: residents.Resident) -> None:
        incarnation = self.incarnation
        if resident.adapter:
            await asyncio.sleep(0.008)
        elif self._weights_url and self._session is not None:
            await self._fetch_weights(resident)
        if incarnation == self.incarnation:
            self.memory.mark_ready(resident)

    async def _fetch_weights(self, resident: residents.Resident) -> None:
        url = f"{self._weights_url}/v1/weights/{resident.model}/1"
        assert self._session is not None
        while True:
            try:
                async with self._session.get(url) as response:
                    response.raise_for_status()
                    return
            except (aiohttp.ClientError, OSError):
                await asyncio.sleep(0.2)

    def _spawn(
        self, coroutine: typing.Coroutine[typing.Any, typing.Any, None]
    ) -> None:
        task = asyncio.create_task(coroutine)
        self._background_tasks.add(task)
        task.add_done_callback(self._background_tasks.discard)

    async def _ledger(self, _: web.Request) -> web.Response:
        return base.reply(
            {
                "requests": self.requests,
                "leaks": self.leaks,
                "crashes": self.crashes,
                "ran": self.executed_request_ids,
                "overcommits": self.memory.overcommits,
            }
        )


def prompt_of(body: base.Json, chat: bool) -> str:
    """Return the prompt text of a request's body."""
    if not chat:
        return str(body.get("prompt", ""))
    return "\n".join(
        str(message.get("content", "")) for message in body["messages"]
    )


def _usage(job: Job) -> base.Json:
    completion_count = len(job.tokens)
    return {
        "prompt_tokens": job.prompt_tokens,
        "completion_tokens": completion_count,
        "total_tokens": job.prompt_tokens + completion_count,
    }


def _chunk(job: Job, chat: bool, token: str | None) -> bytes:
    choice: base.Json = {"index": 0, "finish_reason": None}
    if chat:
        choice["delta"] = {} if token is None else {"content": token}
    else:
        choice["text"] = token or ""
    body: base.Json = {
        "id": job.request_id,
        "object": "chat.completion.chunk" if chat else "text_completion",
        "created": 0,
        "model": job.model,
        "choices": [choice],
    }
    if token is None:
        choice["finish_reason"] = "length"
        body["usage"] = _usage(job)
    return b"data: " + orjson.dumps(body) + b"\n\n"
