"""Differences between two configurations, field by field."""

import dataclasses
import enum
import typing


class Change(enum.Enum):
    """How a field differs."""

    ADDED = "added"
    REMOVED = "removed"
    CHANGED = "changed"


@dataclasses.dataclass(frozen=True)
class Difference:
    """One field that differs.

    ``field`` is the dotted path.  ``before`` is None for an added field and
    ``after`` for a removed one.
    """

    change: Change
    field: str
    before: typing.Any = None
    after: typing.Any = None

    def __str__(self) -> str:
        if self.change is Change.ADDED:
            return f"+ {self.field}: {self.after}"
        if self.change is Change.REMOVED:
            return f"- {self.field}: {self.before}"
        return f"~ {self.field}: {self.before} -> {self.after}"


def diff(
    before: typing.Mapping[str, typing.Any],
    after: typing.Mapping[str, typing.Any],
    prefix: str = "",
) -> typing.Iterator[Difference]:
    """Yield the differences between two nested mappings, sorted by key.

    ``prefix`` is prepended to each path.
    """
    for key in sorted(before.keys() | after.keys()):
        field = f"{prefix}{key}"
        if key not in before:
            yield Difference(Change.ADDED, field, after=after[key])
        elif key not in after:
            yield Difference(Change.REMOVED, field, before=before[key])
        elif isinstance(before[key], dict) and isinstance(after[key], dict):
            yield from diff(before[key], after[key], f"{field}.")
        elif before[key] != after[key]:
            yield Difference(Change.CHANGED, field, before[key], after[key])
