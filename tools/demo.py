"""The demo: a deployment under load, with each promise's verdict."""

import asyncio
import collections
import hashlib
import itertools
import json
import pathlib
import random
import signal
import sys
import time
import typing

import aiohttp
import typer

from cardamom_config import schema
from tools import deployment as deployments

LOAD_S = 6.0
WITHDRAWAL_BOUND_S = 5.0
LEAVING_BOUND_S = 3.0
INSTANCES = 4
CALLERS_PER_TEAM = 6
RETRY_AFTER_MAX_S = 2.0
BUILD = pathlib.Path("build")

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
        headers = self._headers(team)
        async with session.post(url, json=body, headers=headers) as response:
            after_s = float(response.headers.get("Retry-After", "0"))
            return response.status, await response.json(), after_s

    def _headers(self, team: str) -> dict[str, str]:
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
            headers=self._headers(team),
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
        headers = self._headers(team)
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
        headers = {**self._headers(team), "Idempotency-Key": key}
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


class Demo:
    """The scenes of the demo, each with its verdict."""

    def __init__(self, deployment: deployments.Deployment, seed: int) -> None:
        self._deployment = deployment
        self._tally = Tally()
        self._callers = Callers(deployment, self._tally, seed)
        self.verdicts: dict[str, tuple[bool, str]] = {}

    async def run(self) -> bool:
        """Play every scene; returns whether every promise held."""
        missing = await self._callers.reach_all()
        self._verdict(
            "every model and adapter reachable", not missing, missing
        )
        load = asyncio.create_task(self._callers.run(LOAD_S))
        await asyncio.sleep(1.0)
        await self._race_applies()
        await self._withdraw_on_open_connection()
        await self._refuse_strangers()
        await load
        await self._drain_instance_under_load()
        await self._drain_target_under_load()
        await self._check_ledgers()
        await self._check_instances()
        self._print()
        return all(held for held, _ in self.verdicts.values())

    def _verdict(self, promise: str, held: bool, detail: object) -> None:
        self.verdicts[promise] = (held, str(detail))

    async def _race_applies(self) -> None:
        urls = self._deployment.operator_urls()[:2]
        present = await self._deployment.operator_get(
            next(iter(self._deployment.instances.values())),
            "/v1/config",
        )
        based_on = str(present["version"])
        folder = str(self._deployment.config_folder)
        results = await asyncio.gather(
            *[
                self._deployment.ctl_async(
                    "apply", folder, "--based-on", based_on, operators=url
                )
                for url in urls
            ]
        )
        codes = sorted(result["exit"] for result in results)
        self._verdict(
            "racing operators: one wins, the other is told",
            codes == [0, 4],
            f"exit codes {codes}",
        )

    async def _withdraw_on_open_connection(self) -> None:
        team = sorted(self._deployment.key_by_team)[-1]
        created = await self._deployment.ctl_async("key", "create", team)
        headers = {"Authorization": f"Bearer {created['key']}"}
        urls = self._deployment.caller_urls()
        async with aiohttp.ClientSession(headers=headers) as session:
            stream = asyncio.create_task(self._long_stream(session, urls[0]))
            await asyncio.sleep(0.5)
            began_s = time.monotonic()
            answer = await self._deployment.ctl_async(
                "key", "withdraw", created["id"], operators=""
            )
            ended = await stream
            after_s = time.monotonic() - began_s
            refused = [
                await self._status(session, url + "/v1/models") for url in urls
            ]
        held = (
            ended == "key_withdrawn"
            and set(refused) == {401}
            and after_s < WITHDRAWAL_BOUND_S
        )
        self._verdict(
            "a withdrawn key stops within seconds, streams included",
            held,
            f"stream ended with {ended}, statuses {refused}, "
            f"{after_s:.2f} s, in force {answer.get('in_force')}",
        )

    async def _long_stream(
        self,
        session: aiohttp.ClientSession,
        url: str,
    ) -> str:
        model = sorted(self._deployment.configuration.models)[0]
        body = {
            "model": model,
            "messages": [{"role": "user", "content": "a long night"}],
            "max_tokens": 4000,
            "stream": True,
        }
        async with session.post(
            url + "/v1/chat/completions",
            json=body,
        ) as response:
            if response.status != 200:
                return f"status {response.status} {await response.text()}"
            _, error, is_ended = await read_stream(response)
        return "whole" if is_ended else error

    async def _status(self, session: aiohttp.ClientSession, url: str) -> int:
        async with session.get(url) as response:
            await response.read()
            return response.status

    async def _refuse_strangers(self) -> None:
        url = self._deployment.caller_urls()[0]
        async with aiohttp.ClientSession() as session:
            statuses = [
                await self._status(session, url + "/v1/models"),
                await self._status(session, url + "/no/such/path"),
            ]
            headers = {"Authorization": "Bearer ck-unknown"}
            async with session.get(
                url + "/v1/models", headers=headers
            ) as response:
                statuses.append(response.status)
        self._verdict(
            "no request runs without its team's key",
            statuses == [401, 404, 401],
            statuses,
        )

    async def _drain_instance_under_load(self) -> None:
        before = dict(self._tally.by_kind["drained"])
        victim = list(self._deployment.instances.values())[-1]
        load = asyncio.create_task(self._load_one(victim))
        await asyncio.sleep(0.5)
        victim.terminate()
        outcomes = await load
        code = await asyncio.to_thread(victim.handle.wait)
        del self._deployment.instances[victim.name]
        self._verdict(
            "a planned stop cuts no request",
            code == 0 and set(outcomes) <= {"answered", "closed"},
            f"exit {code}, {dict(outcomes)} {before or ''}",
        )

    async def _load_one(
        self,
        instance: deployments.InstanceProc,
    ) -> collections.Counter[str]:
        """Stream from one instance until it accepts no connection."""
        seen: collections.Counter[str] = collections.Counter()
        model = sorted(self._deployment.configuration.models)[0]
        teams = sorted(self._deployment.key_by_team)[:3]

        async def caller(team: str) -> None:
            headers = self._callers._headers(team)
            body = {
                "model": model,
                "messages": [{"role": "user", "content": team}],
                "max_tokens": 60,
                "stream": True,
            }
            while True:
                connector = aiohttp.TCPConnector(force_close=True)
                try:
                    async with aiohttp.ClientSession(
                        connector=connector
                    ) as session:
                        async with session.post(
                            instance.url + "/v1/chat/completions",
                            json=body,
                            headers=headers,
                        ) as response:
                            if response.status != 200:
                                answer = await response.json()
                                seen[answer["error"]["code"]] += 1
                                await asyncio.sleep(0.2)
                                continue
                            _, error, is_ended = await read_stream(response)
                        seen["answered" if is_ended else error or "cut"] += 1
                except aiohttp.ClientConnectorError:
                    seen["closed"] += 1
                    return
                except aiohttp.ClientError as error:
                    seen[f"cut {error!r}"] += 1

        await asyncio.gather(*[caller(team) for team in teams])
        return seen

    async def _drain_target_under_load(self) -> None:
        target = next(iter(self._deployment.configuration.engines()))
        load = asyncio.create_task(self._callers.run(LOAD_S))
        await asyncio.sleep(1.0)
        await self._deployment.ctl_async("drain", "target", target)
        await asyncio.sleep(LEAVING_BOUND_S)
        first = (await self._deployment.ledger(target))["requests"]
        await load
        last = (await self._deployment.ledger(target))["requests"]
        await self._deployment.ctl_async("drain", "target", target, "--undo")
        self._verdict(
            "a leaving target gets no new work after a few seconds",
            first == last,
            f"{last - first} requests after {LEAVING_BOUND_S} s",
        )

    async def _check_ledgers(self) -> None:
        runs: collections.Counter[str] = collections.Counter()
        leaks = overcommits = 0
        for target, spec in self._deployment.configuration.targets.items():
            ledger = await self._deployment.ledger(target)
            leaks += ledger["leaks"]
            overcommits += ledger.get("overcommits", 0)
            if spec.kind is schema.TargetKind.SERVICE:
                runs.update(ledger["runs_by_key"])
        twice = [key for key, count in runs.items() if count > 1]
        self._verdict("no target sees a caller's key", leaks == 0, leaks)
        self._verdict(
            "memory never overcommitted", not overcommits, overcommits
        )
        self._verdict(
            "non-idempotent calls run at most once",
            not twice and bool(runs),
            f"{len(runs)} ran once, {len(twice)} more than once",
        )
        self._verdict(
            "each caller gets the whole answer to its own request",
            not self._tally.wrong,
            self._tally.wrong[:3],
        )
        bad = {
            f"{kind}: {outcome}": count
            for kind, counts in self._tally.by_kind.items()
            for outcome, count in counts.items()
            if outcome not in ("answered", "rate_exceeded")
        }
        self._verdict("no request lost or cut short", not bad, bad)

    async def _check_instances(self) -> None:
        versions, violations = set(), 0
        for instance in self._deployment.instances.values():
            status = await self._deployment.operator_get(
                instance, "/v1/status"
            )
            versions.add(status["versions"]["config"])
            violations += sum(status["invariant_violations"].values())
        self._verdict(
            "accepted configuration in force everywhere",
            len(versions) == 1,
            f"versions {sorted(versions)}",
        )
        self._verdict(
            "invariants inside the program", not violations, violations
        )

    def _print(self) -> None:
        print(f"\n{'calls':<10}{'sent':>8}{'answered':>10}  refused by code")
        for kind, counts in sorted(self._tally.by_kind.items()):
            sent = sum(counts.values())
            refused = {k: v for k, v in counts.items() if k != "answered"}
            print(f"{kind:<10}{sent:>8}{counts['answered']:>10}  {refused}")
        print()
        for promise, (held, detail) in self.verdicts.items():
            print(f"{'held  ' if held else 'BROKEN'}  {promise}: {detail}")


async def _play(name: str, seed: int, stay: bool) -> int:
    folder = BUILD / "demo"
    deployment = deployments.Deployment(name, folder)
    try:
        await deployment.start(INSTANCES)
        deployment.write_endpoints(folder / "endpoints.json")
        if stay:
            print(f"up; endpoints are in {folder / 'endpoints.json'}")
            stop = asyncio.Event()
            loop = asyncio.get_running_loop()
            for signum in (signal.SIGINT, signal.SIGTERM):
                loop.add_signal_handler(signum, stop.set)
            await stop.wait()
            return 0
        held = await Demo(deployment, seed).run()
        return 0 if held else 1
    finally:
        await deployment.stop()


def main(
    deployment: str = "bogota",
    seed: int = 1,
    stay: bool = False,
) -> None:
    """Run the demo; exit 0 only if every promise held."""
    sys.exit(asyncio.run(_play(deployment, seed, stay)))


if __name__ == "__main__":
    typer.run(main)
