"""How long a request must wait for a model that no engine holds.

When demand moves to other models, a request whose model would be loaded too
late is refused at once, and its caller receives the expected wait.
"""

import typing

from cardamom_policy import tiering

# Time until the lease holder that sends orders receives the demand, and until
# an unload that makes room has ended.
ORDER_DELAY_MS = 350.0
FIRST_EVENT_MS = 150.0  # from the end of the load


def wait_ms(
    size: tiering.ModelSize,
    due_in_ms: float | None,
    is_on_disk: bool,
) -> float:
    """Predict the wait for a first event, in milliseconds.

    ``due_in_ms`` is the time until a running load ends, None for no load;
    ``is_on_disk`` is whether a running engine has the weights on its disk.
    """
    if due_in_ms is not None:
        return max(0.0, due_in_ms) + FIRST_EVENT_MS
    load_ms = size.disk_load_ms if is_on_disk else size.store_load_ms
    return ORDER_DELAY_MS + load_ms + FIRST_EVENT_MS


def first_due_ms(
    due_by_target: typing.Iterable[int], now_ms: int
) -> float | None:
    """Return in how many ms the first load ends, None for no loads.

    ``due_by_target`` holds the points in time at which the loads should end.
    """
    remaining_ms = [due_ms - now_ms for due_ms in due_by_target]
    return min(remaining_ms) if remaining_ms else None
