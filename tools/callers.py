"""Simulated callers of every team that check the answers they receive."""

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


class CallTally:
    """Counts calls by kind and outcome, and collects wrong answers."""

    def __init__(self) -> None:
        self.by_kind: dict[str, collections.Counter[str]] = (
            collections.defaultdict(collections.Counter)
        )
        self.wrong_answers: list[str] = []

    def count(self, kind: str, outcome: str) -> None:
        """Count a call."""
        self.by_kind[kind][outcome] += 1


class Callers:
    """Callers of every team that send calls to all instances."""

    def __init__(
        self,
        deployment: deployments.Deployment,
        tally: CallTally,
        seed: int,
    ) -> None:
        self._deployment = deployment
        self._tally = tally
        self._seed = seed
        self._configuration = deployment.configuration
        self._sent_by_key: dict[str, str] = {}
        self._sequence = itertools.count(1)

    async def run(self, seconds: float) -> None:
        """Send calls of all kinds for a number of seconds."""
        end_s = time.monotonic() + seconds
        teams = list(self._deployment.key_by_team)
        async with aiohttp.ClientSession() as session:
            await asyncio.gather(
                *[
                    self._run_caller(session, team, number, end_s)
                    for team in teams
                    for number in range(CALLERS_PER_TEAM)
                ]
            )

    async def reach_all(self) -> list[str]:
        """Call every model and adapter; return those that don't answer."""
        names = sorted(self._configuration.models) + [
            f"{spec.model}:{name}"
            for name, spec in self._configuration.adapters.items()
        ]
        teams = itertools.cycle(self._deployment.key_by_team)
        concurrency = asyncio.Semaphore(24)

        async def is_reachable(
            session: aiohttp.ClientSession, name: str
        ) -> bool:
            async with concurrency:
                return await self._is_reachable(session, next(teams), name)

        async with aiohttp.ClientSession() as session:
            results = await asyncio.gather(
                *[is_reachable(session, name) for name in names]
            )
        return [name for name, reached in zip(names, results) if not reached]

    def _url(self, rnd: random.Random) -> str:
        return rnd.choice(self._deployment.caller_urls())

    async def _run_caller(
        self,
        session: aiohttp.ClientSession,
        team: str,
        number: int,
        end_s: float,
    ) -> None:
        rnd = random.Random(f"{self._seed}/{team}/{number}")
        call_functions = [
            self._stream_model,
            self._call_model,
            self._call_idempotent_route,
            self._call_non_idempotent_route,
        ]
        while time.monotonic() < end_s:
            await rnd.choice(call_functions)(session, team, rnd)
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

    async def _is_reachable(
        self,
        session: aiohttp.ClientSession,
        team: str,
        name: str,
    ) -> bool:
        rnd = random.Random(name)
        for _ in range(8):
            body = self._body(rnd, name, stream=False)
            url = self._url(rnd) + "/v1/chat/completions"
            status, answer, retry_after_s = await self._post_json(
                session, url, team, body
            )
            if status == 200:
                return chat_text(answer).startswith(_prompt_digest(body))
            await asyncio.sleep(retry_after_s)
        return False

    async def _post_json(
        self,
        session: aiohttp.ClientSession,
        url: str,
        team: str,
        body: Json,
    ) -> tuple[int, Json, float]:
        headers = self.headers(team)
        async with session.post(url, json=body, headers=headers) as response:
            retry_after_s = float(response.headers.get("Retry-After", "0"))
            return response.status, await response.json(), retry_after_s

    def headers(self, team: str) -> dict[str, str]:
        """Return request headers with a team's key."""
        return {
            "Authorization": f"Bearer {self._deployment.key_by_team[team]}"
        }

    async def _call_model(
        self,
        session: aiohttp.ClientSession,
        team: str,
        rnd: random.Random,
    ) -> None:
        body = self._body(rnd, self._model(rnd), stream=False)
        url = self._url(rnd) + "/v1/chat/completions"
        status, answer, _ = await self._post_json(session, url, team, body)
        self._tally.count("model", _outcome(status, answer))
        if status == 200 and chat_text(answer) != expected_text(body):
            self._tally.wrong_answers.append(f"model answer {answer}")

    async def _stream_model(
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
        if is_ended and text != expected_text(body):
            self._tally.wrong_answers.append(f"stream answer {text!r}")

    async def _call_idempotent_route(
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
            self._tally.wrong_answers.append(f"read answer {answer}")

    def _routes(self) -> list[schema.Route]:
        return list(self._configuration.routes.values())

    async def _call_non_idempotent_route(
        self,
        session: aiohttp.ClientSession,
        team: str,
        rnd: random.Random,
    ) -> None:
        """Send a non-idempotent call twice with the same key."""
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
    """Read a stream; return its text, error code and whether it ended."""
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


def chat_text(answer: Json) -> str:
    """Return the text of a chat answer that is not streamed."""
    return str(answer["choices"][0]["message"]["content"])


def _prompt_digest(body: Json) -> str:
    prompt = "\n".join(m["content"] for m in body["messages"])
    return hashlib.sha256(prompt.encode()).hexdigest()[:8]


def expected_text(body: Json) -> str:
    """Return the text that the engine stand-in answers to a body."""
    digest = _prompt_digest(body)
    return "".join(f"{digest}-{n} " for n in range(body["max_tokens"]))


def _outcome(status: int, answer: Json) -> str:
    if status < 400:
        return "answered"
    return str(answer["error"]["code"])
