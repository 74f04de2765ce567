"""Measures one instance: added latency, throughput per core and memory."""

import asyncio
import pathlib
import statistics
import time
import typing

import aiohttp
import numpy
import psutil

from tools import deployment as deployments

BUILD_FOLDER = pathlib.Path("build/bench/proxy")
LATENCY_PAIRS = 1_500
REQUEST_LOAD_S = 5.0
REQUEST_CALLERS = 32
STREAMS = 300
STREAM_TOKENS = 400
OPEN_STREAMS = 1_000
UNLIMITED_RATE = 1_000_000_000


def run() -> dict[str, float]:
    """Return the proxy's measures by name."""
    return asyncio.run(_run())


def _overlay(teams: typing.Iterable[str], models: typing.Iterable[str]) -> str:
    lines = ["teams:"]
    for team in teams:
        lines += [
            f"  {team}:",
            f"    rate_tokens_per_s: {UNLIMITED_RATE}",
            f"    burst_tokens: {UNLIMITED_RATE}",
        ]
    lines += ["models:"]
    for model in list(models)[:1]:
        lines += [f"  {model}:", "    min_ready: 6"]
    lines += ["targets:"]
    lines += [
        line
        for number in range(1, 7)
        for line in (f"  engine-{number}:", "    slots: 400")
    ]
    return "\n".join(lines) + "\n"


async def _run() -> dict[str, float]:
    example = deployments.Deployment("san-isidro", BUILD_FOLDER)
    models = sorted(example.configuration.models)
    overlay = _overlay(example.configuration.teams, models)
    deployment = deployments.Deployment("san-isidro", BUILD_FOLDER, overlay)
    try:
        await deployment.start(1)
        benchmark = _ProxyBenchmark(deployment, models[0])
        await benchmark.warm_up()
        return {
            **await benchmark.latency(),
            **await benchmark.requests_per_core(),
            **await benchmark.chunks_per_core(),
            **await benchmark.memory(),
        }
    finally:
        await deployment.stop()


class _ProxyBenchmark:
    """Runs callers against one instance and measures it."""

    def __init__(self, deployment: deployments.Deployment, model: str) -> None:
        self._deployment = deployment
        self._instance = next(iter(deployment.instances.values()))
        self._process = psutil.Process(self._instance.popen.pid)
        self._model = model
        key = next(iter(deployment.key_by_team.values()))
        self._headers = {"Authorization": f"Bearer {key}"}
        self._service_url = deployment.standins["app-1"].url

    async def warm_up(self) -> None:
        """Wait until all six engines have loaded the model."""
        async with asyncio.timeout(60):
            while True:
                status = await self._deployment.operator_get(
                    self._instance, "/v1/status"
                )
                ready = [
                    target
                    for target in status["targets"]
                    if self._model in target["models"]
                ]
                if len(ready) == 6:
                    break
                await asyncio.sleep(0.2)
        await asyncio.sleep(6.0)

    async def latency(self) -> dict[str, float]:
        """Return the latency that the instance adds to a service call."""
        direct, proxied = [], []
        async with aiohttp.ClientSession() as session:
            for number in range(LATENCY_PAIRS):
                path = f"/rosters/{number}"
                direct.append(
                    await self._get(session, self._service_url + path)
                )
                proxied.append(
                    await self._get(session, self._instance.url + path)
                )
        added_p50_ms = numpy.percentile(proxied, 50) - numpy.percentile(
            direct, 50
        )
        added_p99_ms = numpy.percentile(proxied, 99) - numpy.percentile(
            direct, 99
        )
        return {
            "added_latency_ms_p50": round(float(added_p50_ms), 3),
            "added_latency_ms_p99": round(float(added_p99_ms), 3),
            "direct_latency_ms_p50": round(statistics.median(direct), 3),
        }

    async def _get(self, session: aiohttp.ClientSession, url: str) -> float:
        start_s = time.perf_counter()
        async with session.get(url, headers=self._headers) as response:
            await response.read()
            assert response.status == 200, await response.text()
        return (time.perf_counter() - start_s) * 1000

    def _cpu_s(self) -> float:
        times = self._process.cpu_times()
        return float(times.user + times.system)

    async def requests_per_core(self) -> dict[str, float]:
        """Return the small requests served per CPU second and second."""
        end_s = time.perf_counter() + REQUEST_LOAD_S
        cpu_before_s = self._cpu_s()
        started_s = time.perf_counter()
        request_count = 0

        async def caller(session: aiohttp.ClientSession) -> None:
            nonlocal request_count
            while time.perf_counter() < end_s:
                await self._get(session, self._instance.url + "/rosters/1")
                request_count += 1

        async with aiohttp.ClientSession() as session:
            await asyncio.gather(
                *[caller(session) for _ in range(REQUEST_CALLERS)]
            )
        elapsed_s = time.perf_counter() - started_s
        return {
            "requests_per_core_s": round(
                request_count / (self._cpu_s() - cpu_before_s)
            ),
            "requests_per_s": round(request_count / elapsed_s),
        }

    async def chunks_per_core(self) -> dict[str, float]:
        """Return the stream chunks forwarded per CPU second."""
        cpu_before_s = self._cpu_s()
        chunk_counts = await self._run_streams(STREAMS, STREAM_TOKENS)
        used_s = self._cpu_s() - cpu_before_s
        return {"chunks_per_core_s": round(sum(chunk_counts) / used_s)}

    async def memory(self) -> dict[str, float]:
        """Return the peak resident memory with many open streams."""
        task = asyncio.create_task(self._run_streams(OPEN_STREAMS, 300))
        peak_bytes = 0
        while not task.done():
            peak_bytes = max(peak_bytes, self._process.memory_info().rss)
            await asyncio.sleep(0.1)
        chunk_counts = await task
        return {
            "resident_mb": round(peak_bytes / 1e6, 1),
            "open_streams": sum(count > 0 for count in chunk_counts),
        }

    async def _run_streams(self, stream_count: int, tokens: int) -> list[int]:
        connector = aiohttp.TCPConnector(limit=0)
        async with aiohttp.ClientSession(connector=connector) as session:
            return await asyncio.gather(
                *[
                    self._run_stream(session, n, tokens)
                    for n in range(stream_count)
                ]
            )

    async def _run_stream(
        self,
        session: aiohttp.ClientSession,
        stream_number: int,
        tokens: int,
    ) -> int:
        body = {
            "model": self._model,
            "messages": [{"role": "user", "content": f"s {stream_number}"}],
            "max_tokens": tokens,
            "stream": True,
        }
        chunk_count = 0
        async with session.post(
            self._instance.url + "/v1/chat/completions",
            json=body,
            headers=self._headers,
        ) as response:
            if response.status != 200:
                return 0
            async for data in response.content.iter_any():
                chunk_count += data.count(b"\n\n")
        return chunk_count
