"""The note in the lease's row from a lease holder to its successor.

Ages are counted by the store's monotonic clock, so that they grow also while
no holder runs.
"""

import dataclasses
import typing

from cardamom_kernel import ids

MAX_ORDER_AGE_MS = 10_000  # longer than any wait caused by an order


class MalformedHandover(ValueError):
    """Raised for a note whose fields are missing or have wrong types."""


@dataclasses.dataclass(frozen=True)
class Handover:
    """Ages in ms of the last order to each engine and of store loads.

    ``released_by`` is the instance that released the lease.
    """

    released_by: str
    order_age_ms_by_id: typing.Mapping[ids.TargetId, int]
    store_load_ages_ms: tuple[int, ...]


def encode(handover: Handover, store_clock_ms: int) -> dict[str, typing.Any]:
    """Return the note as JSON fields, stamped with the store's clock."""
    return {
        "at_ms": store_clock_ms,
        "released_by": handover.released_by,
        "orders": dict(handover.order_age_ms_by_id),
        "loads": list(handover.store_load_ages_ms),
    }


def decode(
    note: typing.Mapping[str, typing.Any], store_clock_ms: int | None
) -> Handover | None:
    """Return a note with its ages at the given time of the store's clock.

    Returns None for an empty note.  If the clock is None, the ages are those
    at the release, so that no wait is too short.  Raises MalformedHandover.
    """
    if not note:
        return None
    try:
        released_ms = int(note["at_ms"])
        elapsed_ms = (
            0
            if store_clock_ms is None
            else max(0, store_clock_ms - released_ms)
        )
        return Handover(
            str(note["released_by"]),
            {
                ids.TargetId(target_id): int(age_ms) + elapsed_ms
                for target_id, age_ms in note["orders"].items()
            },
            tuple(int(age_ms) + elapsed_ms for age_ms in note["loads"]),
        )
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        raise MalformedHandover(repr(error)) from error
