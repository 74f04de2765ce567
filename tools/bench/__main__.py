"""Run the benchmark; write ``build/bench/report.json`` and a plot."""

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

REPORT_FOLDER = pathlib.Path("build/bench")
DEPLOYMENTS = ("bogota", "san-isidro")
UPPER_BOUND = "upper_bound"
WORKER_PROCESSES = 3

Measures = dict[str, dict[str, float]]


def _run_deployment(job: tuple[str, int]) -> Measures:
    telemetry.configure_logs(telemetry.LogFormat.CONSOLE, "error", "bench")
    return stepped.run_deployment(*job)


def _run_rates(seed: int) -> Measures:
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
    rate_measures: Measures,
) -> dict[str, typing.Any]:
    """Return a deployment's report, including the rate measures."""
    policy = {**measures["policy"], **rate_measures["policy"]}
    baselines = {
        name: values
        for name, values in measures.items()
        if name not in ("policy", UPPER_BOUND)
    }
    best_baseline = max(
        v["attainment_per_accelerator"] for v in baselines.values()
    )
    upper_bound = measures[UPPER_BOUND]["attainment_per_accelerator"]
    own_result = policy["attainment_per_accelerator"]
    return {
        "policy": policy,
        "baselines": baselines,
        "upper_bound": measures[UPPER_BOUND],
        "ratio_to_best_baseline": round(own_result / best_baseline, 3),
        "ratio_to_upper_bound": round(own_result / upper_bound, 3),
        "worst_to_mean_team": round(
            policy["worst_team_attainment"] / policy["mean_team_attainment"],
            3,
        ),
    }


def _plot(report: dict[str, typing.Any]) -> None:
    figure, axes = pyplot.subplots(1, 2, figsize=(11, 4))
    for axis, name in zip(axes, DEPLOYMENTS):
        deployment = report["deployments"][name]
        values = {"policy": deployment["policy"], **deployment["baselines"]}
        values[UPPER_BOUND] = deployment["upper_bound"]
        heights = [v["attainment_per_accelerator"] for v in values.values()]
        axis.bar(range(len(values)), heights)
        axis.set_xticks(range(len(values)), list(values), rotation=25)
        axis.set_title(name)
        axis.set_ylabel("requests/s in time for each accelerator")
    figure.tight_layout()
    figure.savefig(REPORT_FOLDER / "attainment.png")


def main(
    seed: typing.Annotated[int, typer.Option(help="First seed.")] = 1,
    seeds: typing.Annotated[int, typer.Option(help="How many seeds.")] = 1,
    proxy: typing.Annotated[
        bool, typer.Option(help="Measure the proxy on real processes.")
    ] = True,
) -> None:
    """Run the benchmark and report the medians over the seeds."""
    REPORT_FOLDER.mkdir(parents=True, exist_ok=True)
    seed_range = range(seed, seed + seeds)
    jobs = [
        (name, run_seed) for name in DEPLOYMENTS for run_seed in seed_range
    ]
    with multiprocessing.get_context("fork").Pool(WORKER_PROCESSES) as pool:
        rate_measures = _median(pool.map(_run_rates, seed_range))
        results = pool.map(_run_deployment, jobs, chunksize=1)
    report: dict[str, typing.Any] = {
        "seed": seed,
        "seeds": list(seed_range),
        "deployments": {
            name: _deployment_report(
                _median(
                    [
                        result
                        for result_job, result in zip(jobs, results)
                        if result_job[0] == name
                    ]
                ),
                rate_measures,
            )
            for name in DEPLOYMENTS
        },
        "proxy": proxy_module.run() if proxy else {},
        "control": {"rates": rate_measures},
    }
    (REPORT_FOLDER / "report.json").write_text(
        json.dumps(report, indent=2) + "\n"
    )
    _plot(report)
    print(json.dumps(report, indent=2))


if __name__ == "__main__":
    typer.run(main)
