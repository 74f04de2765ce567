"""Lists the models that a log shows as asked for and never served.

    python -m tools.starved LOG

LOG has the lines of all instances, in the form that ``cardamomctl trace``
reads.  For each such model the list shows its requests by how they were
refused, and the orders that concern it.
"""

import collections
import dataclasses
import pathlib
import re

import typer

from cardamom_ctl import traces

REQUEST_ENDS = ("forward: answered", "forward: refused", "forward: aborted")
ORDER = "placing: order"
DIGITS = re.compile(r"\d+")
MAX_REASON_CHARACTERS = 60


@dataclasses.dataclass
class Demand:
    """What a log shows of one model."""

    requests: int = 0
    served: int = 0
    refused: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    orders: list[str] = dataclasses.field(default_factory=list)


def demand_by_model(log: traces.Log) -> dict[str, Demand]:
    """Return what a log shows of each model that was asked for."""
    demands: collections.defaultdict[str, Demand] = collections.defaultdict(
        Demand
    )
    for line in log.lines:
        model = line.field_text("model")
        if not model or line.event not in REQUEST_ENDS:
            continue
        demand = demands[model]
        demand.requests += 1
        if line.event == "forward: answered":
            demand.served += line.fields.get("status") == 200
        elif line.event == "forward: refused":
            demand.refused[_refusal(line)] += 1
    for line in log.lines:
        if line.event == ORDER:
            for name in {line.field_text("model"), _beneficiary(line)}:
                if name in demands:
                    demands[name].orders.append(line.render())
    return dict(demands)


def _refusal(line: traces.LogLine) -> str:
    reason = DIGITS.sub("#", line.field_text("reason"))
    return f"{line.field_text('code')}: {reason[:MAX_REASON_CHARACTERS]}"


def _beneficiary(line: traces.LogLine) -> str:
    """Return the model for which an order makes room, empty if none."""
    model, colon, _ = line.field_text("reason").partition(":")
    return model if colon else ""


def main(log: pathlib.Path) -> None:
    """Print the models that were never served, with the reasons."""
    demands = demand_by_model(traces.read_log(traces.open_files([log])))
    starved = {n: d for n, d in demands.items() if not d.served}
    print(f"{len(starved)} of {len(demands)} models were never served")
    for name, demand in sorted(starved.items()):
        print(f"\n{name}: {demand.requests} tries")
        for reason, count in demand.refused.most_common():
            print(f"  {count} x {reason}")
        for order in demand.orders:
            print(f"  {order}")


if __name__ == "__main__":
    typer.run(main)
