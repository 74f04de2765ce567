"""Run the bench and write ``build/bench/report.json`` with plots."""

import json
import multiprocessing
import pathlib
import statistics
import typing

from matplotlib import pyplot
import typer

from cardamom_kernel import telemetry
from tools.bench import proxy as proxy_module
from tools.bench import rates
from tools.bench import stepped

FOLDER = pathlib.Path("build/bench")
DEPLOYMENTS = ("bogota", "san-isidro")
BOUND = "upper_bound"
WORKERS = 3

Measures = dict[str, dict[str, float]]


def _stepped(job: tuple[str, int]) -> Measures:
    telemetry.configure_logs(telemetry.LogFormat.CONSOLE, "error", "bench")
    return stepped.run_deployment(*job)


def _rates(seed: int) -> Measures:
    telemetry.configure_logs(telemetry.LogFormat.CONSOLE, "error", "bench")
    return rates.run(seed)


def _median(runs: list[Measures]) -> Measures:
    """Return the median of each measure over several seeds."""
    return {
        kind: {
            name: statistics.median(run[kind][name] for run in runs)
            for name in measures
        }
        for kind, measures in runs[0].items()
    }


def _deployment_report(
    measures: Measures,
    limits: Measures,
) -> dict[str, typing.Any]:
    """Join a deployment's measures with those of the rates."""
    policy = {**measures["policy"], **limits["policy"]}
    others = {
        name: values
        for name, values in measures.items()
        if name not in ("policy", BOUND)
    }
    best = max(v["attainment_per_accelerator"] for v in others.values())
    bound = measures[BOUND]["attainment_per_accelerator"]
    mine = policy["attainment_per_accelerator"]
    return {
        "policy": policy,
        "baselines": others,
        "upper_bound": measures[BOUND],
        "ratio_to_best_baseline": round(mine / best, 3),
        "ratio_to_upper_bound": round(mine / bound, 3),
        "worst_to_mean_team": round(
            policy["worst_team_attainment"] / policy["mean_team_attainment"],
            3,
        ),
    }


def _plot(report: dict[str, typing.Any]) -> None:
    figure, axes = pyplot.subplots(1, 2, figsize=(11, 4))
    for axis, name in zip(axes, DEPLOYMENTS):
        one = report["deployments"][name]
        values = {"policy": one["policy"], **one["baselines"]}
        values[BOUND] = one["upper_bound"]
        heights = [v["attainment_per_accelerator"] for v in values.values()]
        axis.bar(range(len(values)), heights)
        axis.set_xticks(range(len(values)), list(values), rotation=25)
        axis.set_title(name)
        axis.set_ylabel("requests/s in time for each accelerator")
    figure.tight_layout()
    figure.savefig(FOLDER / "attainment.png")


def main(
    seed: typing.Annotated[int, typer.Option(help="First seed.")] = 1,
    seeds: typing.Annotated[int, typer.Option(help="How many seeds.")] = 1,
    proxy: typing.Annotated[
        bool, typer.Option(help="Measure the proxy on real processes.")
    ] = True,
) -> None:
    """Run the bench; medians over the seeds."""
    FOLDER.mkdir(parents=True, exist_ok=True)
    chosen = range(seed, seed + seeds)
    jobs = [(name, one) for name in DEPLOYMENTS for one in chosen]
    with multiprocessing.get_context("fork").Pool(WORKERS) as pool:
        limits = _median(pool.map(_rates, chosen))
        courses = pool.map(_stepped, jobs, chunksize=1)
    report: dict[str, typing.Any] = {
        "seed": seed,
        "seeds": list(chosen),
        "deployments": {
            name: _deployment_report(
                _median([c for j, c in zip(jobs, courses) if j[0] == name]),
                limits,
            )
            for name in DEPLOYMENTS
        },
        "proxy": proxy_module.run() if proxy else {},
        "control": {"rates": limits},
    }
    (FOLDER / "report.json").write_text(json.dumps(report, indent=2) + "\n")
    _plot(report)
    print(json.dumps(report, indent=2))


if __name__ == "__main__":
    typer.run(main)
