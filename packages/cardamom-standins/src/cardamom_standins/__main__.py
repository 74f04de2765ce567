"""Run one stand-in as a separate process."""

import asyncio
import signal
import typing

import typer

from cardamom_standins import base
from cardamom_standins import engine
from cardamom_standins import platform
from cardamom_standins import service
from cardamom_standins import table

app = typer.Typer(help=__doc__, add_completion=False)

Port = typing.Annotated[int, typer.Option(help="Port on 127.0.0.1.")]
Seed = typing.Annotated[int, typer.Option(help="Seed of the random faults.")]


def _fault_help(faults_class: type[base.Faults]) -> str:
    return f"Fault switches (POST /faults). {base.Faults.__doc__}" + (
        f"\n\n{faults_class.__doc__}"
        if faults_class is not base.Faults
        else ""
    )


async def _serve(standin: base.Standin, port: int) -> None:
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signum in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(signum, stop.set)
    async with base.serving(standin, port=port) as url:
        print(url, flush=True)
        await stop.wait()


def _run(standin: base.Standin, port: int) -> None:
    asyncio.run(_serve(standin, port))


@app.command(name="table", help=_fault_help(table.TableFaults))
def run_table(port: Port, seed: Seed = 1) -> None:
    """Serve the transactional table."""
    _run(table.TableStandin(seed), port)


@app.command(name="list", help=_fault_help(base.Faults))
def run_list(
    port: Port,
    seed: Seed = 1,
    lag_ms: int = platform.LIST_LAG_MS,
) -> None:
    """Serve the instance list, which shows changes late."""
    _run(platform.InstanceListStandin(seed, lag_ms), port)


@app.command(name="objects", help=_fault_help(base.Faults))
def run_objects(port: Port, seed: Seed = 1) -> None:
    """Serve the object store."""
    _run(platform.ObjectStoreStandin(seed), port)


@app.command(name="weights", help=_fault_help(base.Faults))
def run_weights(
    port: Port,
    seed: Seed = 1,
    loads_per_s: float = 2.5,
    concurrent_loads: int = 14,
    load_ms: int = platform.WEIGHT_LOAD_MS,
) -> None:
    """Serve the rate-limited weight store."""
    rates = platform.WeightRates(loads_per_s, concurrent_loads, load_ms)
    _run(platform.WeightStoreStandin(seed, rates), port)


@app.command(name="service", help=_fault_help(service.ServiceFaults))
def run_service(port: Port, seed: Seed = 1, name: str = "service") -> None:
    """Serve a service without models."""
    _run(service.ServiceStandin(seed, name), port)


@app.command(name="engine", help=_fault_help(engine.EngineFaults))
def run_engine(
    port: Port,
    seed: Seed = 1,
    name: str = "engine",
    memory_mb: int = 80_000,
    weights_url: str = "",
    checks_fencing: bool = True,
    tokens_per_s: float = engine.TOKENS_PER_S,
) -> None:
    """Serve a model engine."""
    standin = engine.EngineStandin(
        seed, name, memory_mb, weights_url, checks_fencing, tokens_per_s
    )
    _run(standin, port)


if __name__ == "__main__":
    app()
