"""Differences between two configurations, field by field."""

import dataclasses
import enum
import typing

from cardamom_config import redaction


class Change(enum.Enum):
    """How a field differs."""

    ADDED = "added"
    REMOVED = "removed"
    CHANGED = "changed"


@dataclasses.dataclass(frozen=True)
class Difference:
    """One field that differs.

    ``field`` is the dotted path.  ``before`` is None for an added field and
    ``after`` for a removed one.  Secrets are hidden in all three, also where
    they are what differs.
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

    def to_json(self) -> dict[str, typing.Any]:
        """Return the difference in JSON types."""
        return {
            "change": self.change.value,
            "field": self.field,
            "before": self.before,
            "after": self.after,
        }


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
            yield _difference(Change.ADDED, field, key, None, after[key])
        elif key not in after:
            yield _difference(Change.REMOVED, field, key, before[key], None)
        elif (
            isinstance(before[key], dict)
            and isinstance(after[key], dict)
            and not redaction.is_secret(key)
        ):
            yield from diff(before[key], after[key], f"{field}.")
        elif before[key] != after[key]:
            yield _difference(
                Change.CHANGED, field, key, before[key], after[key]
            )


def _difference(
    change: Change,
    field: str,
    key: str,
    before: typing.Any,
    after: typing.Any,
) -> Difference:
    return Difference(
        change,
        redaction.redact_text(field),
        redaction.redact_value(key, before),
        redaction.redact_value(key, after),
    )
