"""Lists the models that a log shows as asked for and never served.

    python -m tools.starved LOG

LOG has the lines of all instances; a prefix before the first brace of a line
may hold its time.  For each such model the list shows its requests by how they
were refused, and the orders that concern it.
"""

import collections
import dataclasses
import json
import pathlib
import re
import typing

import typer

REQUEST_ENDS = ("forward: answered", "forward: refused", "forward: aborted")
ORDER = "placing: order"
DIGITS = re.compile(r"\d+")
# Names of models hold digits, so only those in a reason's first words matter.
MAX_REASON_CHARACTERS = 60

Fields = typing.Mapping[str, typing.Any]


@dataclasses.dataclass
class Demand:
    """What a log shows of one model."""

    requests: int = 0
    served: int = 0
    refused: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    orders: list[str] = dataclasses.field(default_factory=list)


def parse(text: str) -> typing.Iterator[tuple[str, Fields]]:
    """Yield the prefix and the fields of each line that is readable."""
    for line in text.splitlines():
        prefix, brace, rest = line.partition("{")
        try:
            fields = json.loads(brace + rest)
        except ValueError:
            continue
        yield prefix.strip(), fields


def demand_by_model(text: str) -> dict[str, Demand]:
    """Return what a log shows of each model that was asked for."""
    demands: collections.defaultdict[str, Demand] = collections.defaultdict(
        Demand
    )
    orders: list[tuple[str, Fields]] = []
    for prefix, fields in parse(text):
        event, model = fields.get("event"), fields.get("model")
        if event == ORDER:
            orders.append((prefix, fields))
        if not model or event not in REQUEST_ENDS:
            continue
        demand = demands[str(model)]
        demand.requests += 1
        if event == "forward: answered" and fields.get("status") == 200:
            demand.served += 1
        elif event == "forward: refused":
            demand.refused[_refusal(fields)] += 1
    for prefix, fields in orders:
        for name, demand in demands.items():
            if name in (fields.get("model"), _beneficiary(fields)):
                demand.orders.append(_shown(prefix, fields))
    return dict(demands)


def _refusal(fields: Fields) -> str:
    reason = DIGITS.sub("#", str(fields.get("reason", "")))
    return f"{fields.get('code')}: {reason[:MAX_REASON_CHARACTERS]}"


def _beneficiary(fields: Fields) -> str:
    """Return the model for which an order makes room, empty if none."""
    model, colon, _ = str(fields.get("reason", "")).partition(":")
    return model if colon else ""


def _shown(prefix: str, fields: Fields) -> str:
    return (
        f"{prefix} {fields.get('kind')} {fields.get('model')} "
        f"{fields.get('adapter') or ''} at {fields.get('target')}: "
        f"{fields.get('reason')}"
    )


def main(log: pathlib.Path) -> None:
    """Print the models that were never served, with the reasons."""
    demands = demand_by_model(log.read_text(errors="replace"))
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
