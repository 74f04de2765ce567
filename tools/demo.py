"""The demo: a deployment under load, with each promise's verdict."""

import asyncio
import collections
import pathlib
import signal
import sys
import time
import typing

import aiohttp
import typer

from cardamom_config import schema
from tools import callers
from tools import deployment as deployments

LOAD_S = 6.0
WITHDRAWAL_BOUND_S = 5.0
LEAVING_BOUND_S = 3.0
INSTANCES = 4
BUILD = pathlib.Path("build")

Json = dict[str, typing.Any]


class Demo:
    """The scenes of the demo, each with its verdict."""

    def __init__(self, deployment: deployments.Deployment, seed: int) -> None:
        self._deployment = deployment
        self._tally = callers.Tally()
        self._callers = callers.Callers(deployment, self._tally, seed)
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
            _, error, is_ended = await callers.read_stream(response)
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
            headers = self._callers.headers(team)
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
                            _, error, is_ended = await callers.read_stream(
                                response
                            )
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
