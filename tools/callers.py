"""Callers of every team, who check what they are answered."""

import asyncio
import collections
import hashlib
import itertools
import json
import random
import time
import typing

import aiohttp

from cardamom_config import schema
from tools import deployment as deployments

CALLERS_PER_TEAM = 6

Json = dict[str, typing.Any]


class Tally:
    """What was sent and what came of it, by kind of call."""

    def __init__(self) -> None:
        self.by_kind: dict[str, collections.Counter[str]] = (
            collections.defaultdict(collections.Counter)
        )
        self.wrong: list[str] = []

    def count(self, kind: str, outcome: str) -> None:
        """Count one call."""
        self.by_kind[kind][outcome] += 1


class Callers:
    """Callers of every team over all instances."""

    def __init__(
        self,
        deployment: deployments.Deployment,
        tally: Tally,
        seed: int,
    ) -> None:
        self._deployment = deployment
        self._tally = tally
        self._seed = seed
        self._configuration = deployment.configuration
        self._sent_by_key: dict[str, str] = {}
        self._sequence = itertools.count(1)

    async def run(self, seconds: float) -> None:
        """Send calls of all kinds for a while."""
        end_s = time.monotonic() + seconds
        teams = list(self._deployment.key_by_team)
        async with aiohttp.ClientSession() as session:
            await asyncio.gather(
                *[
                    self._loop(session, team, number, end_s)
                    for team in teams
                    for number in range(CALLERS_PER_TEAM)
                ]
            )

    async def reach_all(self) -> list[str]:
        """Call every model and adapter; return those that never answered."""
        names = sorted(self._configuration.models) + [
            f"{spec.model}:{name}"
            for name, spec in self._configuration.adapters.items()
        ]
        teams = itertools.cycle(self._deployment.key_by_team)
        limit = asyncio.Semaphore(24)

        async def reach(session: aiohttp.ClientSession, name: str) -> bool:
            async with limit:
                return await self._reach(session, next(teams), name)

        async with aiohttp.ClientSession() as session:
            results = await asyncio.gather(
                *[reach(session, name) for name in names]
            )
        return [name for name, reached in zip(names, results) if not reached]

    def _url(self, rnd: random.Random) -> str:
        return rnd.choice(self._deployment.caller_urls())

    async def _loop(
        self,
        session: aiohttp.ClientSession,
        team: str,
        number: int,
        end_s: float,
    ) -> None:
        rnd = random.Random(f"{self._seed}/{team}/{number}")
        kinds = [self._stream, self._whole, self._read, self._single]
        while time.monotonic() < end_s:
            await rnd.choice(kinds)(session, team, rnd)
            await asyncio.sleep(rnd.uniform(0.0, 0.1))

    def _model(self, rnd: random.Random) -> str:
        models = sorted(self._configuration.models)
        model = models[min(int(rnd.expovariate(0.4)), len(models) - 1)]
        adapters = self._configuration.adapters_of(model)
        if adapters and rnd.random() < 0.3:
            return f"{model}:{rnd.choice(adapters)}"
        return model

    def _body(self, rnd: random.Random, name: str, stream: bool) -> Json:
        text = f"night {next(self._sequence)} {rnd.random()}"
        return {
            "model": name,
            "messages": [{"role": "user", "content": text}],
            "max_tokens": rnd.randint(4, 24),
            "stream": stream,
        }

    async def _reach(
        self,
        session: aiohttp.ClientSession,
        team: str,
        name: str,
    ) -> bool:
        rnd = random.Random(name)
        for _ in range(8):
            body = self._body(rnd, name, stream=False)
            url = self._url(rnd) + "/v1/chat/completions"
            status, answer, wait_s = await self._post(session, url, team, body)
            if status == 200:
                return text_of(answer).startswith(_digest(body))
            await asyncio.sleep(wait_s)
        return False

    async def _post(
        self,
        session: aiohttp.ClientSession,
        url: str,
        team: str,
        body: Json,
    ) -> tuple[int, Json, float]:
        headers = self.headers(team)
        async with session.post(url, json=body, headers=headers) as response:
            after_s = float(response.headers.get("Retry-After", "0"))
            return response.status, await response.json(), after_s

    def headers(self, team: str) -> dict[str, str]:
        """Return headers that show a team's key."""
        return {
            "Authorization": f"Bearer {self._deployment.key_by_team[team]}"
        }

    async def _whole(
        self,
        session: aiohttp.ClientSession,
        team: str,
        rnd: random.Random,
    ) -> None:
        body = self._body(rnd, self._model(rnd), stream=False)
        url = self._url(rnd) + "/v1/chat/completions"
        status, answer, _ = await self._post(session, url, team, body)
        self._tally.count("model", _outcome(status, answer))
        if status == 200 and text_of(answer) != expected(body):
            self._tally.wrong.append(f"model answer {answer}")

    async def _stream(
        self,
        session: aiohttp.ClientSession,
        team: str,
        rnd: random.Random,
    ) -> None:
        body = self._body(rnd, self._model(rnd), stream=True)
        url = self._url(rnd) + "/v1/chat/completions"
        async with session.post(
            url,
            json=body,
            headers=self.headers(team),
        ) as response:
            if response.status != 200:
                outcome = _outcome(response.status, await response.json())
                self._tally.count("stream", outcome)
                return
            text, error, is_ended = await read_stream(response)
        outcome = "answered" if is_ended else error or "cut"
        self._tally.count("stream", outcome)
        if is_ended and text != expected(body):
            self._tally.wrong.append(f"stream answer {text!r}")

    async def _read(
        self,
        session: aiohttp.ClientSession,
        team: str,
        rnd: random.Random,
    ) -> None:
        routes = [r for r in self._routes() if r.idempotent]
        route = rnd.choice(routes)
        path = f"{route.path}/{next(self._sequence)}"
        headers = self.headers(team)
        if route.access is schema.Access.OPEN:
            headers = {}
        async with session.get(
            self._url(rnd) + path,
            headers=headers,
        ) as response:
            answer = await response.json()
        self._tally.count("read", _outcome(response.status, answer))
        if response.status == 200 and answer["path"] != path:
            self._tally.wrong.append(f"read answer {answer}")

    def _routes(self) -> list[schema.Route]:
        return list(self._configuration.routes.values())

    async def _single(
        self,
        session: aiohttp.ClientSession,
        team: str,
        rnd: random.Random,
    ) -> None:
        """Send a non-idempotent call twice, at two instances."""
        route = rnd.choice([r for r in self._routes() if not r.idempotent])
        key = f"{team}-{next(self._sequence)}"
        body = {"member": key}
        headers = {**self.headers(team), "Idempotency-Key": key}
        for _ in range(2):
            async with session.post(
                self._url(rnd) + route.path,
                json=body,
                headers=headers,
            ) as response:
                answer = await response.json()
            self._tally.count("single", _outcome(response.status, answer))


async def read_stream(
    response: aiohttp.ClientResponse,
) -> tuple[str, str, bool]:
    """Read a stream; returns its text, its error and whether it ended."""
    text, error, is_ended = "", "", False
    async for line in response.content:
        if not line.startswith(b"data: "):
            continue
        data = line[6:].strip()
        if data == b"[DONE]":
            is_ended = True
            continue
        event = json.loads(data)
        if "error" in event:
            error = event["error"]["code"]
            continue
        text += event["choices"][0]["delta"].get("content", "")
    return text, error, is_ended


def text_of(answer: Json) -> str:
    """Return the text of a whole chat answer."""
    return str(answer["choices"][0]["message"]["content"])


def _digest(body: Json) -> str:
    prompt = "\n".join(m["content"] for m in body["messages"])
    return hashlib.sha256(prompt.encode()).hexdigest()[:8]


def expected(body: Json) -> str:
    """Return the text that the engine stand-in gives to a body."""
    digest = _digest(body)
    return "".join(f"{digest}-{n} " for n in range(body["max_tokens"]))


def _outcome(status: int, answer: Json) -> str:
    if status < 400:
        return "answered"
    return str(answer["error"]["code"])
