"""Callers that keep their connections and check their answers."""

import asyncio
import hashlib
import random
import typing

import aiohttp
from aiohttp import web

from tests.soak import ledger as ledgers
from tests.soak import needs as needs_module
from tests.soak import processes
from tests.wire import standins

BAD_PART = "badbad00"
KEY = standins.KEY
FLOOD_KEY = "key-of-flood"
EVENTS = 6
EVENT_S = 0.02
MAX_WORK_S = 0.06
DEADLINE_S = 3.0
PAUSE_S = (0.02, 0.2)
TOKENS = (100, 20)
NOT_RUN_STATUSES = (408, 421, 429, 503)
OWN_REFUSALS = (400, 401, 403, 404)
CLIENT_ERRORS = (aiohttp.ClientError, TimeoutError, OSError)
PATH_BY_KIND = {"read": "/read/x", "write": "/write/x", "chat": "/chat/x"}


def piece(attempt: str, number: int) -> bytes:
    """Return an event of a stream."""
    return f"id: {number}\ndata: {attempt} {number}\n\n".encode()


def digest(attempt: str, body: bytes) -> str:
    """Return the plain answer to a request."""
    return hashlib.sha256(attempt.encode() + body).hexdigest()


class Replies:
    """How replicas answer, and what they record."""

    def __init__(self, ledger: ledgers.Ledger, rnd: random.Random) -> None:
        self._ledger = ledger
        self._random = rnd
        self.needs = needs_module.Needs(ledger, rnd)
        self.crash: typing.Callable[[standins.ReplicaStandIn], None]

    async def answer(
        self, replica: standins.ReplicaStandIn, request: web.BaseRequest
    ) -> web.StreamResponse:
        """Answer, or reject a request for want of room."""
        attempt = request.headers["Attempt-Id"]
        now_s = asyncio.get_running_loop().time()
        self._ledger.note_in_zone(replica.zone, replica.name, attempt, now_s)
        self._ledger.note_at_cold(replica.name, attempt, now_s)
        rejection = self.needs.rejection(replica, request)
        if rejection is not None:
            return rejection
        self.needs.begin(replica)
        try:
            return await self._answer(replica, request)
        finally:
            self.needs.end(replica)

    async def _answer(
        self, replica: standins.ReplicaStandIn, request: web.BaseRequest
    ) -> web.StreamResponse:
        """Answer by the request's path; crash under the bad part."""
        attempt = request.headers["Attempt-Id"]
        prompt, answer = request.headers.get("Token-Usage", "0,0").split(",")
        now_s = asyncio.get_running_loop().time()
        self._ledger.note_arrival(
            ledgers.Arrival(
                attempt,
                replica.name,
                now_s,
                request.headers.get("Tenant", ""),
                int(prompt) + int(answer),
            )
        )
        await asyncio.sleep(self._random.uniform(0, MAX_WORK_S))
        if BAD_PART in request.headers.get("Prompt-Prefix", ""):
            self._ledger.crash_s.append(now_s)
            self.crash(replica)
            await asyncio.sleep(DEADLINE_S)
        if not request.path.startswith("/chat/"):
            _, _, body = next(
                r
                for r in reversed(replica.requests)
                if r[1]["Attempt-Id"] == attempt
            )
            self._note_told(replica, attempt)
            return web.Response(
                text=digest(attempt, body),
                headers=standins.signed(request) | self.needs.headers(replica),
            )
        return await self._stream(replica, attempt, request)

    def _note_told(
        self, replica: standins.ReplicaStandIn, attempt: str
    ) -> None:
        if "Server-Limit" in self.needs.headers(replica):
            now_s = asyncio.get_running_loop().time()
            self._ledger.note_told(replica.name, attempt, now_s)

    async def _stream(
        self,
        replica: standins.ReplicaStandIn,
        attempt: str,
        request: web.BaseRequest,
    ) -> web.StreamResponse:
        self._note_told(replica, attempt)
        answer = await standins.begin_stream(
            request, self.needs.headers(replica)
        )
        first = int(request.headers.get("Last-Event-Id") or -1) + 1
        for number in range(first, EVENTS):
            await answer.write(piece(attempt, number))
            await asyncio.sleep(EVENT_S)
        await answer.write_eof()
        return answer


class Caller:
    """One caller, which stays with an instance until that is gone."""

    def __init__(
        self,
        name: str,
        key: str,
        instances: list[processes.Instance],
        ledger: ledgers.Ledger,
        rnd: random.Random,
    ) -> None:
        self._name = name
        self._key = key
        self._instances = instances
        self._ledger = ledger
        self._random = rnd
        self._count = 0
        self._instance = rnd.choice(instances)
        self.is_flooding = False

    async def run(self, end_s: float) -> None:
        """Send requests until a time."""
        loop = asyncio.get_running_loop()
        while loop.time() < end_s:
            async with aiohttp.ClientSession(
                connector=aiohttp.TCPConnector(limit=1, keepalive_timeout=60),
                timeout=aiohttp.ClientTimeout(DEADLINE_S + 1, sock_connect=1),
            ) as session:
                session._retry_connection = False
                while loop.time() < end_s and await self._send(session):
                    pause_s = 0 if self.is_flooding else PAUSE_S[1]
                    await asyncio.sleep(
                        self._random.uniform(PAUSE_S[0], PAUSE_S[0] + pause_s)
                    )
            self._instance = processes.pick(self._instances, self._random)
            await asyncio.sleep(0.05)

    async def _send(self, session: aiohttp.ClientSession) -> bool:
        """Send one request; return whether to stay with the instance."""
        kind = self._random.choice(list(PATH_BY_KIND))
        self._count += 1
        attempt = f"{self._name}-{self._count}"
        loop = asyncio.get_running_loop()
        instance, stopping = self._instance, self._instance.is_stopping
        self._ledger.sent[attempt] = ledgers.Sent(
            instance.name,
            kind,
            loop.time(),
            instance.disturbance.is_calm(loop.time()),
            instance.incarnation,
            not instance.is_earlier_build,
        )
        body = f"body of {attempt}".encode()
        try:
            async with session.post(
                instance.url + PATH_BY_KIND[kind],
                data=body,
                headers=self._headers(attempt, kind),
            ) as answer:
                if "Server-Leaving" in answer.headers:
                    self._ledger.note_told_leaving(attempt, loop.time())
                data = await answer.read()
        except CLIENT_ERRORS as error:
            self._note_cut(attempt, instance, stopping, error)
            return False
        self._check(attempt, kind, body, answer.status, data)
        return answer.status == 200 or self.is_flooding

    def _headers(self, attempt: str, kind: str) -> dict[str, str]:
        headers = {
            "Host": "ficu95.example",
            "Attempt-Id": attempt,
            "X-Api-Key": self._key,
            "Deadline-Ms": str(round(DEADLINE_S * 1000)),
            "Token-Usage": ",".join(map(str, TOKENS)),
        }
        if kind == "chat":
            shared = "5c1e07a2"
            if self._random.random() < self.bad_fraction:
                shared = BAD_PART
                self._ledger.bad_attempts.add(attempt)
            headers["Model"] = self._random.choice(["m1", "m2"])
            headers["Prompt-Prefix"] = f"aa01:50,{shared}:30,{attempt}:20"
        return headers

    bad_fraction = 0.0

    def _check(
        self, attempt: str, kind: str, body: bytes, status: int, data: bytes
    ) -> None:
        self._ledger.outcomes[f"{kind} {status}"] += 1
        self._ledger.status_by_attempt[attempt] = status
        if status in NOT_RUN_STATUSES:
            self._ledger.not_run.add(attempt)
        if status in OWN_REFUSALS:
            self._ledger.violate(f"{attempt}: {status} {data[:80]!r}")
        if status != 200:
            return
        expected = digest(attempt, body).encode()
        if kind == "chat":
            expected = b"".join(piece(attempt, n) for n in range(EVENTS))
        if data != expected:
            self._ledger.violate(f"{attempt}: wrong answer {data[:200]!r}")

    def _note_cut(
        self,
        attempt: str,
        instance: processes.Instance,
        was_stopping: bool,
        error: BaseException,
    ) -> None:
        """Check a connection that ended without a whole answer."""
        self._ledger.outcomes[f"cut {type(error).__name__}"] += 1
        self._ledger.status_by_attempt[attempt] = 0
        now_s = asyncio.get_running_loop().time()
        has_arrived = any(
            a.attempt == attempt for a in self._ledger.arrivals[-2_000:]
        )
        if (
            has_arrived
            and (was_stopping or instance.is_stopping)
            and instance.disturbance.is_calm(now_s)
            and self._ledger.targets.is_calm(now_s)
            and self._ledger.store.is_calm(now_s)
        ):
            self._ledger.violate(
                f"{attempt}: cut at {instance.name} in its planned stop: "
                f"{error!r}"
            )
