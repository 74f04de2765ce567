"""Runs real processes under random pairs of faults and checks them."""

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
NOISY_TEAM_CALLERS = 16
MAX_FAULT_DURATION_S = 4.0
MAX_PAUSE_S = 2.5
CALL_TIMEOUT_S = 30.0
RECOVERY_S = 12.0
MONITOR_INTERVAL_S = 0.5
DRAIN_BOUND_S = 3.0
KEY_CYCLE_S = 6.0
POISON_PROMPT = "poison-pill"
BUILD_FOLDER = pathlib.Path("build/soak")
CLIENT_ERRORS = (aiohttp.ClientError, asyncio.TimeoutError, OSError)

Json = dict[str, typing.Any]


class Soak:
    """A run with its deployment, callers, faults and checker."""

    def __init__(self, seed: int, seconds: float) -> None:
        self._random = random.Random(seed)
        self._seed = seed
        self._seconds = seconds
        self._deployment = deployments.Deployment("san-isidro", BUILD_FOLDER)
        self._checker = checkers.Checker()
        self._sequence = itertools.count(1)
        self._end_s = 0.0
        self._table_relay = relays.Relay("127.0.0.1", 0)
        self._testbed = fault_module.Testbed(
            self._deployment,
            self._table_relay,
            {},
            {},
            self._restart_instance,
        )
        self._faults = fault_module.Faults(self._testbed, self._random)

    async def run(self) -> bool:
        """Run the soak test; return whether no promise was violated."""
        try:
            await self._start()
            self._end_s = time.monotonic() + self._seconds
            await asyncio.gather(
                self._inject_faults(),
                self._monitor_instances(),
                self._create_and_withdraw_keys(),
                self._apply_concurrently(),
                self._drain_targets(),
                self._send_poison_requests(),
                *self._callers(),
            )
            await self._check_at_end()
        finally:
            for relay in [
                self._table_relay,
                *self._testbed.peer_relays.values(),
            ]:
                await relay.stop()
            await self._deployment.stop()
        self._print_report()
        return not self._checker.violations

    async def _start(self) -> None:
        self._deployment.folder.mkdir(parents=True, exist_ok=True)
        await self._deployment.start(0, self._start_instances)

    async def _start_instances(self) -> None:
        port = int(self._deployment.standins["table"].url.rpartition(":")[2])
        self._table_relay = relays.Relay("127.0.0.1", port)
        self._testbed.table_relay = self._table_relay
        await self._table_relay.start()
        for number in range(INSTANCES):
            await self._start_instance(number)

    async def _start_instance(self, number: int) -> None:
        """Start an instance with its own relay and source address."""
        name = f"entry-{number + 1}"
        ports = deployments.free_ports(3)
        source = f"127.0.0.{10 + number}"
        old_relay = self._testbed.peer_relays.get(name)
        if old_relay is not None:
            await old_relay.stop()
        relay = relays.Relay("127.0.0.1", ports[1])
        await relay.start()
        self._testbed.peer_relays[name] = relay
        self._testbed.source_by_instance[name] = source
        data_centres = sorted(
            {
                target.data_centre
                for target in self._deployment.configuration.targets.values()
            }
        )
        self._deployment.start_instance(
            number,
            data_centres[number % len(data_centres)],
            *("--peer-url", relay.url),
            *("--source-address", source),
            *("--table-url", self._table_relay.url),
            *("--trace-ratio", "0"),
            ports=ports,
            peer_url=relay.url,
        )

    async def _restart_instance(self, name: str) -> None:
        number = int(name.rpartition("-")[2]) - 1
        await self._start_instance(number)

    async def _inject_faults(self) -> None:
        while time.monotonic() < self._end_s - MAX_FAULT_DURATION_S:
            duration_s = self._random.uniform(1.0, MAX_FAULT_DURATION_S)
            await self._faults.inject_pair(duration_s)
            await asyncio.sleep(self._random.uniform(0.5, MAX_PAUSE_S))

    def _callers(self) -> list[typing.Coroutine[typing.Any, typing.Any, None]]:
        teams = sorted(self._deployment.configuration.teams)
        noisy_team = teams[0]
        return [
            self._run_caller(team, number)
            for team in teams
            for number in range(
                NOISY_TEAM_CALLERS if team == noisy_team else CALLERS_PER_TEAM
            )
        ]

    def _pick_instance(
        self, rnd: random.Random
    ) -> deployments.InstanceProcess:
        running = [
            instance
            for instance in self._deployment.instances.values()
            if instance.is_running
        ]
        return rnd.choice(running)

    async def _run_caller(self, team: str, number: int) -> None:
        """Send random calls of a team until the end of the run."""
        rnd = random.Random(f"{self._seed}/{team}/{number}")
        call_functions = [
            self._call_model,
            self._call_model,
            self._call_idempotent_route,
            self._call_non_idempotent_route,
        ]
        timeout = aiohttp.ClientTimeout(total=CALL_TIMEOUT_S)
        is_noisy = team == sorted(self._deployment.configuration.teams)[0]
        async with aiohttp.ClientSession(timeout=timeout) as session:
            while time.monotonic() < self._end_s:
                await rnd.choice(call_functions)(session, team, rnd)
                if not is_noisy:
                    await asyncio.sleep(rnd.uniform(0.0, 0.15))

    def _headers(self, team: str) -> dict[str, str]:
        return {
            "Authorization": f"Bearer {self._deployment.key_by_team[team]}"
        }

    def _count_answer(self, kind: str, status: int, answer: Json) -> str:
        """Count an answer; record its request if reported as not run.

        Returns ``answered`` or the error code.
        """
        if status < 400:
            self._checker.outcomes[f"{kind}: answered"] += 1
            return "answered"
        error = answer.get("error", {})
        error_code = str(error.get("code"))
        self._checker.outcomes[f"{kind}: {error_code}"] += 1
        if error.get("not_run"):
            self._checker.not_run_request_ids.add(str(error["request_id"]))
        return error_code

    def _count_connection_error(
        self,
        kind: str,
        instance: deployments.InstanceProcess,
        error: Exception,
    ) -> None:
        """Count a failed connection; a draining instance may not cut one."""
        self._checker.outcomes[f"{kind}: {type(error).__name__}"] += 1
        was_cut = isinstance(
            error,
            (aiohttp.ClientPayloadError, aiohttp.ServerDisconnectedError),
        )
        if was_cut and instance.name in self._testbed.draining:
            self._checker.record_violation(
                "a planned stop cuts no request",
                f"{instance.name}: {kind}: {error!r}",
            )

    async def _call_model(
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
        instance = self._pick_instance(rnd)
        start_s = time.monotonic()
        try:
            async with session.post(
                instance.url + "/v1/chat/completions",
                json=body,
                headers=self._headers(team),
            ) as response:
                await self._check_model_answer(response, body, team, start_s)
        except CLIENT_ERRORS as error:
            self._count_connection_error("model", instance, error)

    async def _check_model_answer(
        self,
        response: aiohttp.ClientResponse,
        body: Json,
        team: str,
        start_s: float,
    ) -> None:
        if response.status != 200:
            answer = await response.json()
            error_code = self._count_answer("model", response.status, answer)
            if error_code == "suspect_refused":
                self._checker.record_violation(
                    "innocents are not refused", answer
                )
            return
        if body["stream"]:
            text, error, is_ended = await callers.read_stream(response)
            outcome = "answered" if is_ended else error or "cut"
            self._checker.outcomes[f"stream: {outcome}"] += 1
        else:
            answer = await response.json()
            text, is_ended = callers.chat_text(answer), True
            self._count_answer("model", 200, answer)
        expected = callers.expected_text(body)
        if is_ended and text != expected:
            self._checker.record_violation("whole answers", f"{text!r}")
        if not expected.startswith(text):
            self._checker.record_violation(
                "answers to the own request", f"{text!r}"
            )
        prompt_tokens = max(1, len(body["messages"][0]["content"]) // 4)
        tokens = prompt_tokens + text.count(" ")
        end_s = time.monotonic()
        self._checker.served.append(
            checkers.ServedRequest(team, start_s, end_s, tokens)
        )

    async def _call_idempotent_route(
        self,
        session: aiohttp.ClientSession,
        team: str,
        rnd: random.Random,
    ) -> None:
        routes = self._deployment.configuration.routes.values()
        route = rnd.choice([r for r in routes if r.idempotent])
        is_open = route.access is schema.Access.OPEN
        path = f"{route.path}/{next(self._sequence)}"
        instance = self._pick_instance(rnd)
        start_s = time.monotonic()
        try:
            async with session.get(
                instance.url + path,
                headers={} if is_open else self._headers(team),
            ) as response:
                answer = await response.json()
        except CLIENT_ERRORS as error:
            self._count_connection_error("read", instance, error)
            return
        outcome = self._count_answer("read", response.status, answer)
        if outcome == "answered" and answer["path"] != path:
            self._checker.record_violation(
                "answers to the own request", answer
            )
        if outcome == "answered" and not is_open:
            self._checker.served.append(
                checkers.ServedRequest(team, start_s, time.monotonic(), 1)
            )

    async def _call_non_idempotent_route(
        self,
        session: aiohttp.ClientSession,
        team: str,
        rnd: random.Random,
    ) -> None:
        """Send one call up to three times, to random instances."""
        routes = self._deployment.configuration.routes.values()
        route = rnd.choice([r for r in routes if not r.idempotent])
        key = f"{team}-{next(self._sequence)}"
        record = self._checker.record_by_key[key]
        headers = {**self._headers(team), "Idempotency-Key": key}
        for _ in range(rnd.randint(1, 3)):
            instance = self._pick_instance(rnd)
            try:
                async with session.post(
                    instance.url + route.path,
                    json={"child": key},
                    headers=headers,
                ) as response:
                    answer = await response.json()
            except CLIENT_ERRORS as error:
                record.outcome_unknown += 1
                self._count_connection_error("single", instance, error)
                continue
            outcome = self._count_answer("single", response.status, answer)
            if outcome == "answered":
                record.answered += 1
                record.bodies.add(str(answer))
            elif answer["error"]["not_run"]:
                record.not_run += 1
            else:
                record.outcome_unknown += 1

    async def _monitor_instances(self) -> None:
        """Check every instance's status periodically."""
        while time.monotonic() < self._end_s:
            for instance in list(self._deployment.instances.values()):
                required_version = self._checker.config_in_force
                status = await self._status(instance)
                if status is not None:
                    self._checker.saw_status(status)
                    self._checker.check_config_in_force(
                        status, required_version
                    )
            await asyncio.sleep(MONITOR_INTERVAL_S)

    async def _status(
        self,
        instance: deployments.InstanceProcess,
    ) -> Json | None:
        if not instance.is_running or instance.name in self._testbed.faulted:
            return None
        try:
            return await self._deployment.operator_get(instance, "/v1/status")
        except CLIENT_ERRORS:
            return None

    async def _create_and_withdraw_keys(self) -> None:
        """Create keys, use them, withdraw them, and use them again."""
        teams = sorted(self._deployment.configuration.teams)
        while time.monotonic() < self._end_s - KEY_CYCLE_S:
            created = await self._deployment.ctl_async(
                "key", "create", self._random.choice(teams)
            )
            if "key" not in created:
                self._checker.outcomes["key: not created"] += 1
                await asyncio.sleep(1.0)
                continue
            self._checker.outcomes["key: created"] += 1
            await self._check_key_withdrawal(created)

    async def _check_key_withdrawal(self, created: Json) -> None:
        headers = {"Authorization": f"Bearer {created['key']}"}
        stream = asyncio.create_task(self._long_stream(headers))
        await asyncio.sleep(1.0)
        withdraw_start_s = time.monotonic()
        withdrawn = await self._deployment.ctl_async(
            "key", "withdraw", created["id"]
        )
        if withdrawn.get("in_force"):
            self._checker.saw_withdrawal(created["id"], time.monotonic())
            self._checker.outcomes["key: withdrawn"] += 1
        else:
            self._checker.outcomes["key: withdrawal not yet in force"] += 1
        last_token_s = await stream
        if withdrawn.get("in_force") and last_token_s > withdraw_start_s:
            self._checker.saw_stream_end(last_token_s - withdraw_start_s)
        await self._use_withdrawn(created["id"], headers)

    async def _long_stream(self, headers: dict[str, str]) -> float:
        """Read a long stream; return the time of its last token, or 0."""
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
                    self._pick_instance(self._random).url
                    + "/v1/chat/completions",
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
                            self._checker.saw_answer_for_key(key_id, start_s)
                except CLIENT_ERRORS:
                    continue

    async def _apply_concurrently(self) -> None:
        """Let two operators apply a configuration at once, repeatedly."""
        folder = str(self._deployment.config_folder)
        while time.monotonic() < self._end_s:
            results = await asyncio.gather(
                *[self._deployment.ctl_async("apply", folder) for _ in "ab"]
            )
            for result in results:
                self._checker.outcomes[f"apply: exit {result['exit']}"] += 1
                if result.get("in_force"):
                    self._checker.saw_applied_config(result["version"])
            accepted_versions = [
                r["version"] for r in results if r["exit"] == 0
            ]
            if len(accepted_versions) != len(set(accepted_versions)):
                self._checker.record_violation(
                    "racing operators", accepted_versions
                )
            await asyncio.sleep(self._random.uniform(1.0, 4.0))

    async def _drain_targets(self) -> None:
        """Drain targets and check that they receive no new requests."""
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
            await asyncio.sleep(DRAIN_BOUND_S)
            before = (await self._deployment.ledger(target))["requests"]
            await asyncio.sleep(1.0)
            after = (await self._deployment.ledger(target))["requests"]
            self._checker.outcomes["drain: watched"] += 1
            if after > before:
                self._checker.record_violation(
                    "a leaving target gets no new work",
                    f"{target}: {after - before}",
                )
            await self._undo_drain(target)

    async def _undo_drain(self, target: str) -> None:
        for _ in range(20):
            result = await self._deployment.ctl_async(
                "drain", "target", target, "--undo"
            )
            if result["exit"] == 0:
                return
            await asyncio.sleep(1.0)

    async def _send_poison_requests(self) -> None:
        """Repeatedly send a request that crashes its engine."""
        team = sorted(self._deployment.configuration.teams)[-1]
        rnd = random.Random(self._seed)
        body = {
            "model": sorted(self._deployment.configuration.models)[0],
            "messages": [{"role": "user", "content": POISON_PROMPT}],
            "max_tokens": 5,
        }
        await asyncio.sleep(self._seconds / 4)
        async with aiohttp.ClientSession(
            timeout=aiohttp.ClientTimeout(total=CALL_TIMEOUT_S)
        ) as session:
            while time.monotonic() < self._end_s:
                try:
                    async with session.post(
                        self._pick_instance(rnd).url + "/v1/chat/completions",
                        json=body,
                        headers=self._headers(team),
                    ) as response:
                        answer = await response.json()
                        self._count_answer("poison", response.status, answer)
                except CLIENT_ERRORS as error:
                    name = type(error).__name__
                    self._checker.outcomes[f"poison: {name}"] += 1
                await asyncio.sleep(1.0)

    async def _check_at_end(self) -> None:
        await asyncio.sleep(RECOVERY_S)
        missing = await self._unreachable()
        if missing:
            self._checker.record_violation("every model reachable", missing)
        for instance in self._deployment.instances.values():
            status = await self._status(instance)
            if status is None:
                self._checker.record_violation(
                    "every instance answers", instance.name
                )
            else:
                self._checker.saw_status(status)
        runs_by_key: collections.Counter[str] = collections.Counter()
        request_ids: list[str] = []
        for target, spec in self._deployment.configuration.targets.items():
            ledger = await self._deployment.ledger(target)
            if ledger["leaks"]:
                self._checker.record_violation("no target sees a key", target)
            if ledger.get("overcommits"):
                self._checker.record_violation(
                    "memory", f"{target} overcommitted"
                )
            request_ids += ledger.get("ran", [])
            if spec.kind is schema.TargetKind.SERVICE:
                runs_by_key.update(ledger["runs_by_key"])
        self._checker.check_non_idempotent_calls(runs_by_key)
        self._checker.check_not_run(request_ids)
        self._checker.check_rates(
            {
                name: (team.rate_tokens_per_s, team.burst_tokens)
                for name, team in self._deployment.configuration.teams.items()
            }
        )

    async def _unreachable(self) -> list[str]:
        """Return the models and adapters that don't answer any more."""
        tally = callers.CallTally()
        all_callers = callers.Callers(self._deployment, tally, self._seed)
        return await all_callers.reach_all()

    def _print_report(self) -> None:
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
    """Run the soak test; exit 1 if any promise is violated."""
    is_kept = asyncio.run(Soak(seed, seconds).run())
    sys.exit(0 if is_kept else 1)


if __name__ == "__main__":
    typer.run(main)
