"""The stored form of what teams near their limits have used.

The ages count by the store's steady clock, so that an instance that starts
anywhere knows when the use leaves the window.
"""

import typing

import orjson

from cardamom_kernel import ids

Amounts = tuple[float, ...]


class MalformedUsage(ValueError):
    """Raised for a row that is not of this form."""


def encode(
    amounts_by_team: typing.Mapping[ids.TeamId, Amounts], store_ms: int
) -> dict[str, typing.Any]:
    """Return the row of amounts by age, the latest first."""
    return {
        "at_ms": store_ms,
        "amounts": {
            team: [round(amount) for amount in amounts]
            for team, amounts in amounts_by_team.items()
        },
    }


def decode(
    value: bytes | None, store_ms: int | None
) -> dict[str, tuple[int, Amounts]]:
    """Return the age in ms and the amounts of each team in a row.

    ``store_ms`` is the store's clock now; without it the use is taken to be
    new.  Raises MalformedUsage.
    """
    if value is None:
        return {}
    try:
        row = orjson.loads(value)
        at_ms = int(row["at_ms"])
        age_ms = 0 if store_ms is None else max(0, store_ms - at_ms)
        return {
            str(team): (age_ms, tuple(float(one) for one in amounts))
            for team, amounts in row["amounts"].items()
        }
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        raise MalformedUsage(repr(error)) from error
