"""A stand-in of a model engine: batching, streams, memory and orders."""

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
CACHED_PREFIXES = 64
REPORT_LAG_MS = 250.0
RESTART_MS = 1_500.0
POISON_WORD = "poison-pill"
CHARACTERS_PER_TOKEN = 4
KEPT_STREAMS = 256


@dataclasses.dataclass
class EngineFaults(base.Faults):
    """The engine's switches.

    crash: lose everything once and come back empty with a new boot name.
    lose_orders: part of the orders that are dropped without effect.
    late_orders_ms: wait before an order takes effect, after its answer was
        lost.
    stall: leave running streams without tokens.
    short_answers: part of the answers that end without their end mark.
    crossed_answers: part of the answers that carry another request's id.
    lose_events: part of the cache events that are never published.
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
    """One running generation."""

    request_id: str
    model: str
    digest: str
    prompt_tokens: int
    max_tokens: int
    priority: int
    produced: list[str] = dataclasses.field(default_factory=list)
    cancelled: bool = False


class EngineStandin(base.Standin):
    """One engine; its memory and streams last until a crash."""

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
        self._pending_orders: set[asyncio.Task[None]] = set()
        self.memory = residents.Memory(memory_mb, checks_fencing)
        self.role = "mixed"
        self.requests = 0
        self.leaks = 0
        self.crashes = 0
        self.ran: list[str] = []
        self.start_empty()

    def start_empty(self) -> None:
        """Take the state of an engine that has just started."""
        self.boot = secrets.token_hex(6)
        self.memory.clear()
        self._job_by_id: dict[str, Job] = {}
        self._cached: dict[str, None] = {}
        self._events: list[base.Json] = []
        self._event_numbers = itertools.count(1)
        self._report: tuple[float, int] = (0.0, 0)
        self._down_until_s = 0.0

    def make_faults(self) -> EngineFaults:
        """Return the switches, all off."""
        return EngineFaults()

    def set_faults(self, values: base.Json) -> None:
        """Set switches; ``crash`` acts at once."""
        super().set_faults(values)
        if self.faults.crash:
            self.faults.crash = False
            self.crash()

    def crash(self) -> None:
        """Lose everything and come back after a while."""
        self.crashes += 1
        for job in self._job_by_id.values():
            job.cancelled = True
        self.start_empty()
        self._down_until_s = time.monotonic() + RESTART_MS / 1000
        self.cut_all()

    async def started(self) -> None:
        """Open the session towards the weight store."""
        self._session = aiohttp.ClientSession()

    async def stopped(self) -> None:
        """Close the session and drop late orders."""
        for task in self._pending_orders:
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
            return self._cut(request)
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
            self.ran.append(request.headers.get("X-Request-Id", "req-none"))
            await asyncio.sleep(0.02)
            self.crash()
            return self._cut(request)
        job = Job(
            request_id=request.headers.get("X-Request-Id", "req-none"),
            model=str(body["model"]),
            digest=hashlib.sha256(prompt.encode()).hexdigest()[:8],
            prompt_tokens=max(1, len(prompt) // CHARACTERS_PER_TOKEN),
            max_tokens=int(body.get("max_tokens") or 16),
            priority=int(body.get("priority") or 0),
        )
        self._job_by_id[job.request_id] = job
        self.ran.append(job.request_id)
        try:
            await self._prefill(prompt)
            if body.get("stream"):
                return await self._stream(request, job, chat)
            async for _ in self._tokens(job, request):
                pass
        finally:
            if not body.get("stream") or len(self._job_by_id) > KEPT_STREAMS:
                self._job_by_id.pop(job.request_id, None)
        return self._whole(job, chat)

    async def _prefill(self, prompt: str) -> None:
        prefix = hashlib.sha256(
            prompt[:PREFIX_CHARACTERS].encode()
        ).hexdigest()[:16]
        cached = prefix in self._cached
        tokens = len(prompt) / CHARACTERS_PER_TOKEN
        cost = tokens * (0.1 if cached else 1.0)
        await asyncio.sleep(cost / PREFILL_TOKENS_PER_S)
        self._cached.pop(prefix, None)
        self._cached[prefix] = None
        if not cached:
            self._publish(prefix, present=True)
        if len(self._cached) > CACHED_PREFIXES:
            oldest = next(iter(self._cached))
            del self._cached[oldest]
            self._publish(oldest, present=False)

    def _publish(self, prefix: str, present: bool) -> None:
        number = next(self._event_numbers)
        if self.random.random() < self.faults.lose_events:
            return
        self._events.append(
            {"sequence": number, "prefix": prefix, "present": present}
        )
        del self._events[:-1000]

    def _running(self) -> list[Job]:
        return [
            job
            for job in self._job_by_id.values()
            if len(job.produced) < job.max_tokens and not job.cancelled
        ]

    async def _tokens(
        self,
        job: Job,
        request: web.Request,
    ) -> typing.AsyncIterator[str]:
        """Yield tokens at a pace that falls as the batch grows."""
        boot = self.boot
        while len(job.produced) < job.max_tokens:
            batch = len(self._running())
            pace_s = max(BETWEEN_TOKENS_MS / 1000, batch / self._tokens_per_s)
            if job.priority < 0:
                pace_s *= 2
            await asyncio.sleep(pace_s)
            while self.faults.stall or self.is_silent(request):
                await asyncio.sleep(0.05)
            if job.cancelled or boot != self.boot:
                raise ConnectionResetError("job ended")
            token = f"{job.digest}-{len(job.produced)} "
            job.produced.append(token)
            yield token

    async def _stream(
        self,
        request: web.Request,
        job: Job,
        chat: bool,
        skip: int = 0,
    ) -> web.StreamResponse:
        response = web.StreamResponse(
            headers={
                "Content-Type": "text/event-stream",
                "X-Request-Id": self._answer_id(job),
            }
        )
        await response.prepare(request)
        try:
            for index in range(skip, len(job.produced)):
                await response.write(_chunk(job, chat, job.produced[index]))
            async for token in self._tokens(job, request):
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

    def _whole(self, job: Job, chat: bool) -> web.Response:
        text = "".join(job.produced)
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
        response.headers["X-Request-Id"] = self._answer_id(job)
        return response

    def _answer_id(self, job: Job) -> str:
        if self.random.random() < self.faults.crossed_answers:
            return "req-of-somebody-else"
        return job.request_id

    async def _cancel(self, request: web.Request) -> web.Response:
        wanted = orjson.loads(await request.read())["request_id"]
        job = self._job_by_id.pop(wanted, None)
        if job is not None:
            job.cancelled = True
        return base.reply({"cancelled": job is not None})

    async def _resume(self, request: web.Request) -> web.StreamResponse:
        job = self._job_by_id.get(request.query["request_id"])
        if job is None:
            return base.reply({"error": {"code": "unknown_stream"}}, 404)
        job.cancelled = False
        skip = int(request.query.get("from", "0"))
        return await self._stream(request, job, chat=True, skip=skip)

    async def _state(self, request: web.Request) -> web.Response:
        now_s = time.monotonic()
        if now_s < self._down_until_s:
            return self._cut(request)
        if (now_s - self._report[0]) * 1000 >= REPORT_LAG_MS:
            self._report = (now_s, len(self._running()))
        return base.reply(
            {
                "boot": self.boot,
                "role": self.role,
                "memory_mb": self.memory.total_mb,
                "residents": self.memory.describe(),
                "running": self._report[1],
                "queued": 0,
                "fence": self.memory.fence,
                "overcommits": self.memory.overcommits,
            }
        )

    async def _cache_events(self, request: web.Request) -> web.Response:
        after = int(request.query.get("after", "0"))
        events = [e for e in self._events if e["sequence"] > after]
        return base.reply({"boot": self.boot, "events": events})

    async def _order(self, request: web.Request) -> web.Response:
        if time.monotonic() < self._down_until_s:
            return self._cut(request)
        order = orjson.loads(await request.read())
        if self.random.random() < self.faults.lose_orders:
            return self._cut(request)
        if self.faults.late_orders_ms:
            self._spawn(self._late_order(order, self.faults.late_orders_ms))
            return self._cut(request)
        state, message = self._execute(order)
        return base.reply({"state": state, "message": message})

    async def _late_order(self, order: base.Json, delay_ms: float) -> None:
        boot = self.boot
        await asyncio.sleep(delay_ms / 1000)
        if boot == self.boot:
            self._execute(order)

    def _execute(self, order: base.Json) -> tuple[str, str]:
        kind = order["kind"]
        if kind == "set_role":
            self.role = str(order["argument"])
            return "accepted", ""
        if kind in ("export_kv", "import_kv"):
            return self._move_cache(kind, str(order["argument"]))
        answer, loading = self.memory.execute(order)
        if loading is not None:
            self._spawn(self._load(loading))
        return answer

    def _move_cache(self, kind: str, prefix: str) -> tuple[str, str]:
        if kind == "export_kv":
            known = prefix in self._cached
            return ("accepted", "") if known else ("refused", "not cached")
        self._cached[prefix] = None
        self._publish(prefix, present=True)
        return "accepted", ""

    async def _load(self, resident: residents.Held) -> None:
        boot = self.boot
        if resident.adapter:
            await asyncio.sleep(0.008)
        elif self._weights_url and self._session is not None:
            await self._fetch_weights(resident)
        if boot == self.boot:
            self.memory.loaded(resident)

    async def _fetch_weights(self, resident: residents.Held) -> None:
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
        self, work: typing.Coroutine[typing.Any, typing.Any, None]
    ) -> None:
        task = asyncio.create_task(work)
        self._pending_orders.add(task)
        task.add_done_callback(self._pending_orders.discard)

    async def _ledger(self, _: web.Request) -> web.Response:
        return base.reply(
            {
                "requests": self.requests,
                "leaks": self.leaks,
                "crashes": self.crashes,
                "ran": self.ran,
                "overcommits": self.memory.overcommits,
            }
        )


def prompt_of(body: base.Json, chat: bool) -> str:
    """Return the text that a request asks to continue."""
    if not chat:
        return str(body.get("prompt", ""))
    return "\n".join(str(m.get("content", "")) for m in body["messages"])


def _usage(job: Job) -> base.Json:
    completion = len(job.produced)
    return {
        "prompt_tokens": job.prompt_tokens,
        "completion_tokens": completion,
        "total_tokens": job.prompt_tokens + completion,
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
