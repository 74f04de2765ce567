"""What a holder of orders leaves for its successor.

Ages count by the store's steady clock, so that they go on while no holder
runs.
"""

import dataclasses
import typing

from cardamom_kernel import ids

MAX_AGE_MS = 10_000  # longer than any wait that follows from an order


class MalformedHandover(ValueError):
    """Raised for a note that is not of this form."""


@dataclasses.dataclass(frozen=True)
class Handover:
    """How long ago each engine got its last order, and loads began."""

    released_by: str
    order_age_ms_by_id: typing.Mapping[ids.TargetId, int]
    store_load_ages_ms: tuple[int, ...]


def encode(handover: Handover, store_ms: int) -> dict[str, typing.Any]:
    """Return the note at a time of the store's clock."""
    return {
        "at_ms": store_ms,
        "released_by": handover.released_by,
        "orders": dict(handover.order_age_ms_by_id),
        "loads": list(handover.store_load_ages_ms),
    }


def decode(
    note: typing.Mapping[str, typing.Any], store_ms: int | None
) -> Handover | None:
    """Return a note as of a time of the store's clock, None for none.

    Without the clock the ages are those of the release, so that no wait is
    too short.  Raises MalformedHandover.
    """
    if not note:
        return None
    try:
        left_ms = int(note["at_ms"])
        passed_ms = 0 if store_ms is None else max(0, store_ms - left_ms)
        return Handover(
            str(note["released_by"]),
            {
                ids.TargetId(target_id): int(age_ms) + passed_ms
                for target_id, age_ms in note["orders"].items()
            },
            tuple(int(age_ms) + passed_ms for age_ms in note["loads"]),
        )
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        raise MalformedHandover(repr(error)) from error
