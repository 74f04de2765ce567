"""The stored form of the usage of teams near the limit of their rate.

Ages are counted by the store's monotonic clock, so that an instance that
starts on any machine knows when the usage leaves the window.
"""

import typing

import orjson

from cardamom_kernel import ids

Amounts = tuple[float, ...]


class MalformedUsage(ValueError):
    """Raised for a row whose fields are missing or have wrong types."""


def encode(
    amounts_by_team: typing.Mapping[ids.TeamId, Amounts], store_clock_ms: int
) -> dict[str, typing.Any]:
    """Return the row's JSON fields, stamped with the store's clock.

    The amounts of a team are by age, the latest first.
    """
    return {
        "at_ms": store_clock_ms,
        "amounts": {
            team: [round(amount) for amount in amounts]
            for team, amounts in amounts_by_team.items()
        },
    }


def decode(
    value: bytes | None, store_clock_ms: int | None
) -> dict[str, tuple[int, Amounts]]:
    """Return the age in ms and the amounts of each team in a row.

    If ``store_clock_ms`` is None, the usage counts as new, so that no limit is
    exceeded.  Raises MalformedUsage.
    """
    if value is None:
        return {}
    try:
        row = orjson.loads(value)
        at_ms = int(row["at_ms"])
        age_ms = (
            0 if store_clock_ms is None else max(0, store_clock_ms - at_ms)
        )
        return {
            str(team): (age_ms, tuple(float(amount) for amount in amounts))
            for team, amounts in row["amounts"].items()
        }
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        raise MalformedUsage(repr(error)) from error
