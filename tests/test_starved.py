"""Tests of the list of models that were never served."""

import json

from cardamom_ctl import traces
from tools import starved


def line(second: float, **fields: object) -> str:
    """Return a log line as the operators' bench shows it."""
    timestamp = f"2026-07-11T13:55:{second:04.1f}Z"
    return (
        f"{second} frontend-0 {json.dumps(fields | {'timestamp': timestamp})}"
    )


def demands_of(*lines: str) -> dict[str, starved.Demand]:
    """Return what some lines show of each model."""
    return starved.demand_by_model(traces.read_log([("log", lines)]))


class TestStarvedModels:
    """What a log shows of models that were asked for."""

    def test_refusals_and_orders_of_a_model_are_listed(self) -> None:
        """The reason for a starved model would be searched for by hand."""
        demands = demands_of(
            "not a log line",
            line(
                1.0,
                event="placing: order",
                kind="unload",
                model="rare",
                target="e1",
                reason="busy: its copies are overloaded",
            ),
            line(
                2.0,
                event="forward: refused",
                model="rare",
                code="model_loading",
                reason="expected wait 4711 ms",
            ),
            line(3.0, event="forward: answered", model="busy", status=200),
        )
        rare, busy = demands["rare"], demands["busy"]
        assert (rare.requests, rare.served) == (1, 0)
        assert rare.refused == {"model_loading: expected wait # ms": 1}
        assert len(rare.orders) == len(busy.orders) == 1
        assert busy.served == 1

    def test_answer_of_another_status_is_not_served(self) -> None:
        """A model that only fails would not be listed."""
        failed = line(1.0, event="forward: answered", model="m", status=500)
        assert demands_of(failed)["m"].served == 0
