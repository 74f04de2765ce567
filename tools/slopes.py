"""Measures how the cost of an instance's control plane grows with size."""

import asyncio
import json
import pathlib
import time
import tracemalloc
import typing

import aiohttp
from matplotlib import pyplot
import numpy
from opentelemetry import trace
import orjson
import psutil
import typer

from cardamom_config import folders
from cardamom_config import schema
from cardamom_daemon import demand
from cardamom_daemon import fleet as fleets
from cardamom_daemon import gossip as gossips
from cardamom_daemon import keyring
from cardamom_daemon import messages
from cardamom_daemon import settings as settings_module
from cardamom_kernel import clocks
from cardamom_kernel import documents
from cardamom_kernel import ids
from cardamom_kernel import rosters
from cardamom_kernel import tables
from cardamom_kernel import tasks
from cardamom_kernel import telemetry
from cardamom_policy import placement
from cardamom_policy import routing
from cardamom_policy import situations
from tools import deployment as deployments

REPORT_FOLDER = pathlib.Path("build/slopes")
PEER_COUNTS = (3, 9, 27, 81)
INSTANCE_COUNTS = (3, 9, 27)
TEAM_COUNTS = (5, 50, 500)
KEY_COUNTS = (100, 1_000, 10_000)
MODEL_COUNTS = (35, 195, 780)
TARGET_COUNTS = (9, 90, 750, 1_500)
REPEATS = 200
IDLE_DURATION_S = 6.0

Point = dict[str, float]


def _make_settings() -> settings_module.Settings:
    return settings_module.Settings(
        instance="entry-1",
        data_centre="a",
        operator_key="o" * 16,
        fleet_secret="f" * 16,
        table_url="http://127.0.0.1:1",
    )


def _make_fleet(peers: int, teams: int) -> fleets.Fleet:
    fleet = fleets.Fleet(
        _make_settings(),
        clocks.MonotonicClock(),
        typing.cast(tables.Table, None),
        telemetry.Metrics(),
        trace.get_tracer("slopes"),
    )
    configuration = schema.Configuration(
        teams={
            f"team-{n}": schema.Team(rate_tokens_per_s=1, burst_tokens=1_000)
            for n in range(teams)
        }
    ).model_dump(mode="json")
    body = {"configuration": configuration}
    fleet.documents.adopt(documents.Document(fleets.CONFIG, 1, body))
    seats = {
        ids.SeatId(f"seat-{n:024}"): rosters.Seat(
            ids.SeatId(f"seat-{n:024}"),
            fleet.instance if n == 0 else ids.InstanceId(f"entry-{n}"),
            f"http://10.0.0.{n}:8081",
            ids.DataCentreId("a"),
        )
        for n in range(peers)
    }
    roster = rosters.Roster(1, seats, frozenset())
    fleet.documents.adopt(
        documents.Document(fleets.ROSTER, 1, roster.to_body())
    )
    now_ms = fleet.clock.now_ms()
    for seat in seats:
        fleet.freshness.confirm_seat(seat, now_ms)
    return fleet


def _cpu_time_us(
    function: typing.Callable[[], object], repeats: int = REPEATS
) -> float:
    """Return the mean CPU time of a call in microseconds."""
    function()
    start_s = time.process_time()
    for _ in range(repeats):
        function()
    return (time.process_time() - start_s) / repeats * 1e6


def measure_heartbeat(peers: int, teams: int) -> Point:
    """Return the size of a heartbeat and the CPU time it costs."""
    fleet = _make_fleet(peers, teams)
    gossip = gossips.Gossip(
        fleet,
        tasks.TaskGroup(fleet.clock),
        demand.DemandMeter(fleet.clock),
        dict,
    )
    data = orjson.dumps(messages.encode(gossip.own_heartbeat()))

    def send() -> None:
        orjson.dumps(messages.encode(gossip.own_heartbeat()))

    def receive() -> None:
        message = messages.decode(messages.Heartbeat, data)
        gossip._confirm(message, fleet.clock.now_ms())

    return {
        "peers": peers,
        "teams": teams,
        "bytes": len(data),
        "send_us": round(_cpu_time_us(send), 1),
        "receive_us": round(_cpu_time_us(receive, 50), 1),
    }


def measure_keys(count: int) -> Point:
    """Return the CPU time and memory that a number of keys costs."""
    records = [
        keyring.make_key(ids.TeamId("team"), "")[1].__dict__
        for _ in range(count)
    ]
    tracemalloc.start()
    ring = keyring.Keyring()
    start_s = time.process_time()
    ring.replace({"keys": records})
    cpu_s = time.process_time() - start_s
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return {
        "keys": count,
        "adopt_ms": round(cpu_s * 1e3, 2),
        "kilobytes": round(size / 1e3, 1),
        "document_bytes": len(orjson.dumps(records)),
        "find_us": round(_cpu_time_us(lambda: ring.find("ck-none")), 2),
    }


def measure_configuration(models: int) -> Point:
    """Return the cost of checking a configuration.

    It has three adapters and two engines per model.
    """
    configuration = {
        "models": {f"model-{n}": {"memory_mb": 10_000} for n in range(models)},
        "adapters": {
            f"adapter-{n}": {"model": f"model-{n % models}", "memory_mb": 64}
            for n in range(models * 3)
        },
        "targets": {
            f"engine-{n}": {
                "kind": "engine",
                "group": "replicas",
                "url": f"http://10.0.{n // 250}.{n % 250}:9000",
                "data_centre": "a",
                "memory_mb": 80_000,
            }
            for n in range(models * 2)
        },
    }
    tracemalloc.start()
    start_s = time.process_time()
    loaded = folders.check_body(configuration)
    cpu_s = time.process_time() - start_s
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert loaded.configuration is not None
    return {
        "models": models,
        "adopt_ms": round(cpu_s * 1e3, 1),
        "kilobytes": round(size / 1e3, 1),
        "document_bytes": len(orjson.dumps(configuration)),
    }


def measure_decisions(targets: int) -> Point:
    """Return the CPU time of a routing choice and of a placement plan."""
    candidates = [
        routing.Candidate(ids.TargetId(f"e{n}"), 32, n % 20, 2, n % 2 == 0)
        for n in range(targets)
    ]
    models = max(20, targets // 2)
    spec = schema.Configuration(
        models={f"m{n}": schema.Model(memory_mb=10_000) for n in range(models)}
    )
    engines = [
        situations.Engine(
            f"e{n}",
            f"dc{n % 4}",
            80_000,
            {
                (f"m{m % models}", ""): situations.Resident(
                    f"m{m % models}", "", "1", 10_000, True, 0
                )
                for m in range(n * 3, n * 3 + 6)
            },
        )
        for n in range(targets)
    ]
    situation = situations.Situation(
        spec,
        engines,
        {
            (f"m{n}", ""): situations.Demand(1_000 / (n + 1), 0, 0)
            for n in range(models)
        },
        100_000,
        800.0,
    )
    return {
        "targets": targets,
        "models": models,
        "choose_us": round(
            _cpu_time_us(lambda: routing.choose(candidates)), 1
        ),
        "plan_ms": round(
            _cpu_time_us(lambda: placement.plan(situation), 1) / 1e3, 1
        ),
    }


async def _measure_instances(count: int) -> Point:
    """Return the resources that idle instances use."""
    deployment = deployments.Deployment("bogota", REPORT_FOLDER / f"p{count}")
    try:
        await deployment.start(count)
        await asyncio.sleep(3.0)
        procs = [
            psutil.Process(instance.popen.pid)
            for instance in deployment.instances.values()
        ]
        table = deployment.standins["table"].url
        cpu_before_s = [_cpu_s(proc) for proc in procs]
        counts_before = await _table_counts(table)
        start_s = time.monotonic()
        await asyncio.sleep(IDLE_DURATION_S)
        span_s = time.monotonic() - start_s
        cpu_after_s = [_cpu_s(proc) for proc in procs]
        counts_after = await _table_counts(table)
        applied = await deployment.ctl_async(
            "apply", str(deployment.config_folder)
        )
        cpu_used_s = [b - a for a, b in zip(cpu_before_s, cpu_after_s)]
        return {
            "instances": count,
            "cpu_percent_each": round(
                float(numpy.median(cpu_used_s)) / span_s * 100, 2
            ),
            "resident_mb_each": round(
                float(numpy.median([p.memory_info().rss for p in procs]))
                / 1e6,
                1,
            ),
            "table_reads_per_s": round(
                (counts_after["read"] - counts_before["read"]) / span_s, 1
            ),
            "table_writes_per_s": round(
                (counts_after["write"] - counts_before["write"]) / span_s, 2
            ),
            "in_force_ms": applied.get("waited_ms", -1),
        }
    finally:
        await deployment.stop()


def _cpu_s(proc: psutil.Process) -> float:
    times = proc.cpu_times()
    return float(times.user + times.system)


async def _table_counts(url: str) -> dict[str, float]:
    async with aiohttp.ClientSession() as session:
        async with session.get(url + "/v1/counts") as response:
            counts: dict[str, float] = await response.json()
            return counts


def _plot(report: dict[str, list[Point]]) -> None:
    figure, axes = pyplot.subplots(1, 3, figsize=(13, 4))
    panels = (
        ("heartbeats_by_peers", "peers", "bytes"),
        ("processes", "instances", "cpu_percent_each"),
        ("decisions", "targets", "plan_ms"),
    )
    for axis, (name, x, y) in zip(axes, panels):
        points = report[name]
        axis.plot([p[x] for p in points], [p[y] for p in points], "o-")
        axis.set_xlabel(x)
        axis.set_ylabel(y)
    figure.tight_layout()
    figure.savefig(REPORT_FOLDER / "slopes.png")


def main(processes: bool = True) -> None:
    """Measure everything and write ``build/slopes/report.json``."""
    telemetry.configure_logs(telemetry.LogFormat.CONSOLE, "error", "slopes")
    REPORT_FOLDER.mkdir(parents=True, exist_ok=True)
    report: dict[str, list[Point]] = {
        "heartbeats_by_peers": [measure_heartbeat(n, 5) for n in PEER_COUNTS],
        "heartbeats_by_teams": [measure_heartbeat(9, n) for n in TEAM_COUNTS],
        "keys": [measure_keys(n) for n in KEY_COUNTS],
        "configurations": [measure_configuration(n) for n in MODEL_COUNTS],
        "decisions": [measure_decisions(n) for n in TARGET_COUNTS],
        "processes": [
            asyncio.run(_measure_instances(n))
            for n in INSTANCE_COUNTS
            if processes
        ],
    }
    (REPORT_FOLDER / "report.json").write_text(
        json.dumps(report, indent=2) + "\n"
    )
    if processes:
        _plot(report)
    print(json.dumps(report, indent=2))


if __name__ == "__main__":
    typer.run(main)
