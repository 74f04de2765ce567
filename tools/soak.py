"""The soak: real processes, random faults in pairs, an outside checker."""

import asyncio
import collections
import itertools
import pathlib
import random
import sys
import time
import typing

import aiohttp
import typer

from cardamom_config import schema
from tools import callers
from tools import checker as checkers
from tools import deployment as deployments
from tools import faults as fault_module
from tools import relay as relays

INSTANCES = 4
CALLERS_PER_TEAM = 8
ROGUE_CALLERS = 16
HOLD_S = 4.0
CALM_S = 2.5
CALL_TIMEOUT_S = 30.0
HEAL_S = 12.0
MONITOR_S = 0.5
LEAVING_S = 3.0
KEY_LIFE_S = 6.0
POISON = "poison-pill"
BUILD = pathlib.Path("build/soak")
CLIENT_ERRORS = (aiohttp.ClientError, asyncio.TimeoutError, OSError)

Json = dict[str, typing.Any]


class Soak:
    """One run with its deployment, its callers and its faults."""

    def __init__(self, seed: int, seconds: float) -> None:
        self._random = random.Random(seed)
        self._seed = seed
        self._seconds = seconds
        self._deployment = deployments.Deployment("san-isidro", BUILD)
        self._checker = checkers.Checker()
        self._sequence = itertools.count(1)
        self._end_s = 0.0
        self._table_relay = relays.Relay("127.0.0.1", 0)
        self._rig = fault_module.Rig(
            self._deployment,
            self._table_relay,
            {},
            {},
            self._replace,
        )
        self._faults = fault_module.Faults(self._rig, self._random)

    async def run(self) -> bool:
        """Run everything; returns whether nothing was violated."""
        try:
            await self._start()
            self._end_s = time.monotonic() + self._seconds
            await asyncio.gather(
                self._inject(),
                self._monitor(),
                self._churn_keys(),
                self._apply_again(),
                self._drain_targets(),
                self._repeat_poison(),
                *self._callers(),
            )
            await self._check_at_end()
        finally:
            for one in [self._table_relay, *self._rig.peer_relays.values()]:
                await one.stop()
            await self._deployment.stop()
        self._print()
        return not self._checker.violations

    async def _start(self) -> None:
        self._deployment.folder.mkdir(parents=True, exist_ok=True)
        await self._deployment.start(0, self._start_instances)

    async def _start_instances(self) -> None:
        port = int(self._deployment.standins["table"].url.rpartition(":")[2])
        self._table_relay = relays.Relay("127.0.0.1", port)
        self._rig.table_relay = self._table_relay
        await self._table_relay.start()
        for number in range(INSTANCES):
            await self._start_one(number)

    async def _start_one(self, number: int) -> None:
        """Start an instance behind a relay, from an address of its own."""
        name = f"entry-{number + 1}"
        ports = deployments.free_ports(3)
        source = f"127.0.0.{10 + number}"
        old = self._rig.peer_relays.get(name)
        if old is not None:
            await old.stop()
        relay = relays.Relay("127.0.0.1", ports[1])
        await relay.start()
        self._rig.peer_relays[name] = relay
        self._rig.source_by_instance[name] = source
        centres = sorted(
            {
                target.data_centre
                for target in self._deployment.configuration.targets.values()
            }
        )
        self._deployment.start_instance(
            number,
            centres[number % len(centres)],
            *("--peer-url", relay.url),
            *("--source-address", source),
            *("--table-url", self._table_relay.url),
            *("--trace-ratio", "0"),
            ports=ports,
            peer_url=relay.url,
        )

    async def _replace(self, name: str) -> None:
        number = int(name.rpartition("-")[2]) - 1
        await self._start_one(number)

    async def _inject(self) -> None:
        while time.monotonic() < self._end_s - HOLD_S:
            hold_s = self._random.uniform(1.0, HOLD_S)
            await self._faults.inject_pair(hold_s)
            await asyncio.sleep(self._random.uniform(0.5, CALM_S))

    def _callers(self) -> list[typing.Coroutine[typing.Any, typing.Any, None]]:
        teams = sorted(self._deployment.configuration.teams)
        rogue = teams[0]
        return [
            self._call_on(team, number)
            for team in teams
            for number in range(
                ROGUE_CALLERS if team == rogue else CALLERS_PER_TEAM
            )
        ]

    def _pick(self, rnd: random.Random) -> deployments.InstanceProc:
        running = [
            instance
            for instance in self._deployment.instances.values()
            if instance.is_running
        ]
        return rnd.choice(running)

    async def _call_on(self, team: str, number: int) -> None:
        """Be one caller until the end."""
        rnd = random.Random(f"{self._seed}/{team}/{number}")
        kinds = [self._model, self._model, self._read, self._single]
        timeout = aiohttp.ClientTimeout(total=CALL_TIMEOUT_S)
        is_rogue = team == sorted(self._deployment.configuration.teams)[0]
        async with aiohttp.ClientSession(timeout=timeout) as session:
            while time.monotonic() < self._end_s:
                await rnd.choice(kinds)(session, team, rnd)
                if not is_rogue:
                    await asyncio.sleep(rnd.uniform(0.0, 0.15))

    def _headers(self, team: str) -> dict[str, str]:
        return {
            "Authorization": f"Bearer {self._deployment.key_by_team[team]}"
        }

    def _note(self, kind: str, status: int, answer: Json) -> str:
        """Count an answer, and remember what was said not to have run."""
        if status < 400:
            self._checker.outcomes[f"{kind}: answered"] += 1
            return "answered"
        error = answer.get("error", {})
        code = str(error.get("code"))
        self._checker.outcomes[f"{kind}: {code}"] += 1
        if error.get("not_run"):
            self._checker.not_run_ids.add(str(error["request_id"]))
        return code

    def _note_cut(
        self,
        kind: str,
        instance: deployments.InstanceProc,
        error: Exception,
    ) -> None:
        """Count a connection that failed; only a fault may be the cause."""
        self._checker.outcomes[f"{kind}: {type(error).__name__}"] += 1
        was_cut = isinstance(
            error,
            (aiohttp.ClientPayloadError, aiohttp.ServerDisconnectedError),
        )
        if was_cut and instance.name in self._rig.draining:
            self._checker.violation(
                "a planned stop cuts no request",
                f"{instance.name}: {kind}: {error!r}",
            )

    async def _model(
        self,
        session: aiohttp.ClientSession,
        team: str,
        rnd: random.Random,
    ) -> None:
        models = sorted(self._deployment.configuration.models)
        model = models[min(int(rnd.expovariate(0.3)), len(models) - 1)]
        text = f"parent {next(self._sequence)} {rnd.random()}"
        body: Json = {
            "model": model,
            "messages": [{"role": "user", "content": text}],
            "max_tokens": rnd.choice([8, 40, 120]),
            "stream": rnd.random() < 0.5,
        }
        instance = self._pick(rnd)
        start_s = time.monotonic()
        try:
            async with session.post(
                instance.url + "/v1/chat/completions",
                json=body,
                headers=self._headers(team),
            ) as response:
                await self._take_model(response, body, team, start_s)
        except CLIENT_ERRORS as error:
            self._note_cut("model", instance, error)

    async def _take_model(
        self,
        response: aiohttp.ClientResponse,
        body: Json,
        team: str,
        start_s: float,
    ) -> None:
        if response.status != 200:
            answer = await response.json()
            code = self._note("model", response.status, answer)
            if code == "suspect_refused":
                self._checker.violation("innocents are not refused", answer)
            return
        if body["stream"]:
            text, error, is_ended = await callers.read_stream(response)
            outcome = "answered" if is_ended else error or "cut"
            self._checker.outcomes[f"stream: {outcome}"] += 1
        else:
            answer = await response.json()
            text, is_ended = callers.text_of(answer), True
            self._note("model", 200, answer)
        expected = callers.expected(body)
        if is_ended and text != expected:
            self._checker.violation("whole answers", f"{text!r}")
        if not expected.startswith(text):
            self._checker.violation("answers to the own request", f"{text!r}")
        prompt = max(1, len(body["messages"][0]["content"]) // 4)
        tokens = prompt + text.count(" ")
        end_s = time.monotonic()
        self._checker.served.append(
            checkers.Served(team, start_s, end_s, tokens)
        )

    async def _read(
        self,
        session: aiohttp.ClientSession,
        team: str,
        rnd: random.Random,
    ) -> None:
        routes = self._deployment.configuration.routes.values()
        route = rnd.choice([r for r in routes if r.idempotent])
        is_open = route.access is schema.Access.OPEN
        path = f"{route.path}/{next(self._sequence)}"
        instance = self._pick(rnd)
        start_s = time.monotonic()
        try:
            async with session.get(
                instance.url + path,
                headers={} if is_open else self._headers(team),
            ) as response:
                answer = await response.json()
        except CLIENT_ERRORS as error:
            self._note_cut("read", instance, error)
            return
        outcome = self._note("read", response.status, answer)
        if outcome == "answered" and answer["path"] != path:
            self._checker.violation("answers to the own request", answer)
        if outcome == "answered" and not is_open:
            self._checker.served.append(
                checkers.Served(team, start_s, time.monotonic(), 1)
            )

    async def _single(
        self,
        session: aiohttp.ClientSession,
        team: str,
        rnd: random.Random,
    ) -> None:
        """Send one call up to three times, at any instances."""
        routes = self._deployment.configuration.routes.values()
        route = rnd.choice([r for r in routes if not r.idempotent])
        key = f"{team}-{next(self._sequence)}"
        seen = self._checker.single_by_key[key]
        headers = {**self._headers(team), "Idempotency-Key": key}
        for _ in range(rnd.randint(1, 3)):
            instance = self._pick(rnd)
            try:
                async with session.post(
                    instance.url + route.path,
                    json={"child": key},
                    headers=headers,
                ) as response:
                    answer = await response.json()
            except CLIENT_ERRORS as error:
                seen.other += 1
                self._note_cut("single", instance, error)
                continue
            code = self._note("single", response.status, answer)
            if code == "answered":
                seen.answered += 1
                seen.bodies.add(str(answer))
            elif answer["error"]["not_run"]:
                seen.not_run += 1
            else:
                seen.other += 1

    async def _monitor(self) -> None:
        """Read every instance's status again and again."""
        while time.monotonic() < self._end_s:
            for instance in list(self._deployment.instances.values()):
                asked = self._checker.config_in_force
                status = await self._status(instance)
                if status is not None:
                    self._checker.saw_status(status)
                    self._checker.check_config_in_force(status, asked)
            await asyncio.sleep(MONITOR_S)

    async def _status(
        self,
        instance: deployments.InstanceProc,
    ) -> Json | None:
        if not instance.is_running or instance.name in self._rig.disturbed:
            return None
        try:
            return await self._deployment.operator_get(instance, "/v1/status")
        except CLIENT_ERRORS:
            return None

    async def _churn_keys(self) -> None:
        """Create keys, use them, withdraw them, and use them again."""
        teams = sorted(self._deployment.configuration.teams)
        while time.monotonic() < self._end_s - KEY_LIFE_S:
            created = await self._deployment.ctl_async(
                "key", "create", self._random.choice(teams)
            )
            if "key" not in created:
                self._checker.outcomes["key: not created"] += 1
                await asyncio.sleep(1.0)
                continue
            self._checker.outcomes["key: created"] += 1
            await self._live_of_a_key(created)

    async def _live_of_a_key(self, created: Json) -> None:
        headers = {"Authorization": f"Bearer {created['key']}"}
        stream = asyncio.create_task(self._long_stream(headers))
        await asyncio.sleep(1.0)
        began_s = time.monotonic()
        withdrawn = await self._deployment.ctl_async(
            "key", "withdraw", created["id"]
        )
        if withdrawn.get("in_force"):
            self._checker.withdrawn(created["id"], time.monotonic())
            self._checker.outcomes["key: withdrawn"] += 1
        else:
            self._checker.outcomes["key: withdrawal not yet in force"] += 1
        ended_s = await stream
        if withdrawn.get("in_force") and ended_s > began_s:
            self._checker.stream_outlived(ended_s - began_s)
        await self._use_withdrawn(created["id"], headers)

    async def _long_stream(self, headers: dict[str, str]) -> float:
        """Stream for long; returns when the last token came."""
        body = {
            "model": sorted(self._deployment.configuration.models)[0],
            "messages": [{"role": "user", "content": "long"}],
            "max_tokens": 3_000,
            "stream": True,
        }
        last_s = 0.0
        timeout = aiohttp.ClientTimeout(total=40)
        try:
            async with aiohttp.ClientSession(timeout=timeout) as session:
                async with session.post(
                    self._pick(self._random).url + "/v1/chat/completions",
                    json=body,
                    headers=headers,
                ) as response:
                    async for line in response.content:
                        if b"choices" in line:
                            last_s = time.monotonic()
        except CLIENT_ERRORS:
            pass
        return last_s

    async def _use_withdrawn(
        self,
        key_id: str,
        headers: dict[str, str],
    ) -> None:
        timeout = aiohttp.ClientTimeout(total=5)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            for instance in list(self._deployment.instances.values()):
                start_s = time.monotonic()
                try:
                    async with session.get(
                        instance.url + "/v1/models",
                        headers=headers,
                    ) as response:
                        if response.status == 200:
                            self._checker.answered_for_key(key_id, start_s)
                except CLIENT_ERRORS:
                    continue

    async def _apply_again(self) -> None:
        """Race two operators again and again."""
        folder = str(self._deployment.config_folder)
        while time.monotonic() < self._end_s:
            results = await asyncio.gather(
                *[self._deployment.ctl_async("apply", folder) for _ in "ab"]
            )
            for result in results:
                self._checker.outcomes[f"apply: exit {result['exit']}"] += 1
                if result.get("in_force"):
                    self._checker.applied(result["version"])
            won = [r["version"] for r in results if r["exit"] == 0]
            if len(won) != len(set(won)):
                self._checker.violation("racing operators", won)
            await asyncio.sleep(self._random.uniform(1.0, 4.0))

    async def _drain_targets(self) -> None:
        """Drain a target now and then, and watch that it gets no work."""
        engines = sorted(self._deployment.configuration.engines())
        while time.monotonic() < self._end_s - 10:
            await asyncio.sleep(self._random.uniform(4.0, 8.0))
            target = self._random.choice(engines)
            drained = await self._deployment.ctl_async(
                "drain", "target", target
            )
            if drained["exit"] != 0:
                self._checker.outcomes["drain: not accepted"] += 1
                continue
            await asyncio.sleep(LEAVING_S)
            before = (await self._deployment.ledger(target))["requests"]
            await asyncio.sleep(1.0)
            after = (await self._deployment.ledger(target))["requests"]
            self._checker.outcomes["drain: watched"] += 1
            if after > before:
                self._checker.violation(
                    "a leaving target gets no new work",
                    f"{target}: {after - before}",
                )
            await self._undrain(target)

    async def _undrain(self, target: str) -> None:
        for _ in range(20):
            undone = await self._deployment.ctl_async(
                "drain", "target", target, "--undo"
            )
            if undone["exit"] == 0:
                return
            await asyncio.sleep(1.0)

    async def _repeat_poison(self) -> None:
        """Send a request that crashes its engine, again and again."""
        team = sorted(self._deployment.configuration.teams)[-1]
        rnd = random.Random(self._seed)
        body = {
            "model": sorted(self._deployment.configuration.models)[0],
            "messages": [{"role": "user", "content": POISON}],
            "max_tokens": 5,
        }
        await asyncio.sleep(self._seconds / 4)
        async with aiohttp.ClientSession(
            timeout=aiohttp.ClientTimeout(total=CALL_TIMEOUT_S)
        ) as session:
            while time.monotonic() < self._end_s:
                try:
                    async with session.post(
                        self._pick(rnd).url + "/v1/chat/completions",
                        json=body,
                        headers=self._headers(team),
                    ) as response:
                        answer = await response.json()
                        self._note("poison", response.status, answer)
                except CLIENT_ERRORS as error:
                    name = type(error).__name__
                    self._checker.outcomes[f"poison: {name}"] += 1
                await asyncio.sleep(1.0)

    async def _check_at_end(self) -> None:
        await asyncio.sleep(HEAL_S)
        missing = await self._unreachable()
        if missing:
            self._checker.violation("every model reachable", missing)
        for instance in self._deployment.instances.values():
            status = await self._status(instance)
            if status is None:
                self._checker.violation(
                    "every instance answers", instance.name
                )
            else:
                self._checker.saw_status(status)
        runs: collections.Counter[str] = collections.Counter()
        ran: list[str] = []
        for target, spec in self._deployment.configuration.targets.items():
            ledger = await self._deployment.ledger(target)
            if ledger["leaks"]:
                self._checker.violation("no target sees a key", target)
            if ledger.get("overcommits"):
                self._checker.violation("memory", f"{target} overcommitted")
            ran += ledger.get("ran", [])
            if spec.kind is schema.TargetKind.SERVICE:
                runs.update(ledger["runs_by_key"])
        self._checker.check_singles(runs)
        self._checker.check_not_run(ran)
        self._checker.check_rates(
            {
                name: (team.rate_tokens_per_s, team.burst_tokens)
                for name, team in self._deployment.configuration.teams.items()
            }
        )

    async def _unreachable(self) -> list[str]:
        """Return the models that do not answer after the faults."""
        tally = callers.Tally()
        everyone = callers.Callers(self._deployment, tally, self._seed)
        return await everyone.reach_all()

    def _print(self) -> None:
        print(f"seed {self._seed}, {self._seconds:.0f} s")
        kinds = self._faults.count_by_kind
        print(
            f"\nfaults injected: {sum(kinds.values())} of {len(kinds)} kinds"
        )
        for kind, count in sorted(kinds.items()):
            print(f"  {kind}: {count}")
        outcomes = self._checker.outcomes
        print(f"\noperations: {sum(outcomes.values())}")
        for outcome, count in sorted(outcomes.items()):
            print(f"  {outcome}: {count}")
        violations = self._checker.violations
        print(f"\nviolations: {len(violations)}")
        for text, count in collections.Counter(violations).most_common(30):
            print(f"  {text} ({count}x)")


def main(seed: int = 1, seconds: float = 120.0) -> None:
    """Run the soak; exit 1 on any violation."""
    held = asyncio.run(Soak(seed, seconds).run())
    sys.exit(0 if held else 1)


if __name__ == "__main__":
    typer.run(main)
