"""Runs a deployment under load and reports whether each promise held."""

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

LOAD_DURATION_S = 6.0
WITHDRAWAL_BOUND_S = 5.0
DRAIN_BOUND_S = 3.0
INSTANCES = 4
BUILD_FOLDER = pathlib.Path("build")

Json = dict[str, typing.Any]


class Demo:
    """The scenarios of the demo and their verdicts."""

    def __init__(self, deployment: deployments.Deployment, seed: int) -> None:
        self._deployment = deployment
        self._tally = callers.CallTally()
        self._callers = callers.Callers(deployment, self._tally, seed)
        self.verdicts: dict[str, tuple[bool, str]] = {}

    async def run(self) -> bool:
        """Run every scenario; return whether every promise held."""
        missing = await self._callers.reach_all()
        self._record_verdict(
            "every model and adapter reachable", not missing, missing
        )
        load = asyncio.create_task(self._callers.run(LOAD_DURATION_S))
        await asyncio.sleep(1.0)
        await self._apply_concurrently()
        await self._withdraw_key_during_stream()
        await self._check_requests_without_key()
        await load
        await self._drain_instance_under_load()
        await self._drain_target_under_load()
        await self._check_ledgers()
        await self._check_instances()
        self._print_report()
        return all(is_kept for is_kept, _ in self.verdicts.values())

    def _record_verdict(
        self, promise: str, is_kept: bool, detail: object
    ) -> None:
        self.verdicts[promise] = (is_kept, str(detail))

    async def _apply_concurrently(self) -> None:
        urls = self._deployment.operator_urls()[:2]
        current_config = await self._deployment.operator_get(
            next(iter(self._deployment.instances.values())),
            "/v1/config",
        )
        based_on = str(current_config["version"])
        folder = str(self._deployment.config_folder)
        results = await asyncio.gather(
            *[
                self._deployment.ctl_async(
                    "apply", folder, "--based-on", based_on, operators=url
                )
                for url in urls
            ]
        )
        exit_codes = sorted(result["exit"] for result in results)
        self._record_verdict(
            "racing operators: one wins, the other is told",
            exit_codes == [0, 4],
            f"exit codes {exit_codes}",
        )

    async def _withdraw_key_during_stream(self) -> None:
        team = sorted(self._deployment.key_by_team)[-1]
        created = await self._deployment.ctl_async("key", "create", team)
        headers = {"Authorization": f"Bearer {created['key']}"}
        urls = self._deployment.caller_urls()
        async with aiohttp.ClientSession(headers=headers) as session:
            stream = asyncio.create_task(self._long_stream(session, urls[0]))
            await asyncio.sleep(0.5)
            began_s = time.monotonic()
            withdrawal = await self._deployment.ctl_async(
                "key", "withdraw", created["id"], operators=""
            )
            ended = await stream
            elapsed_s = time.monotonic() - began_s
            statuses = [
                await self._status(session, url + "/v1/models") for url in urls
            ]
        is_kept = (
            ended == "key_withdrawn"
            and set(statuses) == {401}
            and elapsed_s < WITHDRAWAL_BOUND_S
        )
        self._record_verdict(
            "a withdrawn key stops within seconds, streams included",
            is_kept,
            f"stream ended with {ended}, statuses {statuses}, "
            f"{elapsed_s:.2f} s, in force {withdrawal.get('in_force')}",
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

    async def _check_requests_without_key(self) -> None:
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
        self._record_verdict(
            "no request runs without its team's key",
            statuses == [401, 404, 401],
            statuses,
        )

    async def _drain_instance_under_load(self) -> None:
        before = dict(self._tally.by_kind["drained"])
        instance = list(self._deployment.instances.values())[-1]
        load = asyncio.create_task(self._load_instance(instance))
        await asyncio.sleep(0.5)
        instance.terminate()
        outcomes = await load
        exit_code = await asyncio.to_thread(instance.popen.wait)
        del self._deployment.instances[instance.name]
        self._record_verdict(
            "a planned stop cuts no request",
            exit_code == 0 and set(outcomes) <= {"answered", "closed"},
            f"exit {exit_code}, {dict(outcomes)} {before or ''}",
        )

    async def _load_instance(
        self,
        instance: deployments.InstanceProcess,
    ) -> collections.Counter[str]:
        """Stream from one instance until it refuses connections."""
        outcomes: collections.Counter[str] = collections.Counter()
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
                                outcomes[answer["error"]["code"]] += 1
                                await asyncio.sleep(0.2)
                                continue
                            _, error, is_ended = await callers.read_stream(
                                response
                            )
                        outcomes[
                            "answered" if is_ended else error or "cut"
                        ] += 1
                except aiohttp.ClientConnectorError:
                    outcomes["closed"] += 1
                    return
                except aiohttp.ClientError as error:
                    outcomes[f"cut {error!r}"] += 1

        await asyncio.gather(*[caller(team) for team in teams])
        return outcomes

    async def _drain_target_under_load(self) -> None:
        target = next(iter(self._deployment.configuration.engines()))
        load = asyncio.create_task(self._callers.run(LOAD_DURATION_S))
        await asyncio.sleep(1.0)
        await self._deployment.ctl_async("drain", "target", target)
        await asyncio.sleep(DRAIN_BOUND_S)
        before = (await self._deployment.ledger(target))["requests"]
        await load
        after = (await self._deployment.ledger(target))["requests"]
        await self._deployment.ctl_async("drain", "target", target, "--undo")
        self._record_verdict(
            "a leaving target gets no new work after a few seconds",
            before == after,
            f"{after - before} requests after {DRAIN_BOUND_S} s",
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
        repeated = [key for key, count in runs.items() if count > 1]
        self._record_verdict(
            "no target sees a caller's key", leaks == 0, leaks
        )
        self._record_verdict(
            "memory never overcommitted", not overcommits, overcommits
        )
        self._record_verdict(
            "non-idempotent calls run at most once",
            not repeated and bool(runs),
            f"{len(runs)} ran once, {len(repeated)} more than once",
        )
        self._record_verdict(
            "each caller gets the whole answer to its own request",
            not self._tally.wrong_answers,
            self._tally.wrong_answers[:3],
        )
        unexpected_outcomes = {
            f"{kind}: {outcome}": count
            for kind, counts in self._tally.by_kind.items()
            for outcome, count in counts.items()
            if outcome not in ("answered", "rate_exceeded")
        }
        self._record_verdict(
            "no request lost or cut short",
            not unexpected_outcomes,
            unexpected_outcomes,
        )

    async def _check_instances(self) -> None:
        versions, violations = set(), 0
        for instance in self._deployment.instances.values():
            status = await self._deployment.operator_get(
                instance, "/v1/status"
            )
            versions.add(status["versions"]["config"])
            violations += sum(status["invariant_violations"].values())
        self._record_verdict(
            "accepted configuration in force everywhere",
            len(versions) == 1,
            f"versions {sorted(versions)}",
        )
        self._record_verdict(
            "invariants inside the program", not violations, violations
        )

    def _print_report(self) -> None:
        print(f"\n{'calls':<10}{'sent':>8}{'answered':>10}  refused by code")
        for kind, counts in sorted(self._tally.by_kind.items()):
            sent = sum(counts.values())
            refused = {k: v for k, v in counts.items() if k != "answered"}
            print(f"{kind:<10}{sent:>8}{counts['answered']:>10}  {refused}")
        print()
        for promise, (is_kept, detail) in self.verdicts.items():
            print(f"{'held  ' if is_kept else 'BROKEN'}  {promise}: {detail}")


async def _run_demo(name: str, seed: int, stay: bool) -> int:
    folder = BUILD_FOLDER / "demo"
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
        is_kept = await Demo(deployment, seed).run()
        return 0 if is_kept else 1
    finally:
        await deployment.stop()


def main(
    deployment: str = "bogota",
    seed: int = 1,
    stay: bool = False,
) -> None:
    """Run the demo; exit 0 only if every promise held."""
    sys.exit(asyncio.run(_run_demo(deployment, seed, stay)))


if __name__ == "__main__":
    typer.run(main)
