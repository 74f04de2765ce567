"""The refused requests and prompt parts, as the store keeps them.

Instances keep nothing, so after all of them were killed a request or a part
would have to crash targets again until it is refused.
"""

import dataclasses
import typing

import orjson

from cardamom_kernel import suspicion

MAX_STORED = 100  # of either kind, about 25 KB
MAX_LOSSES = 5

LossesByFingerprint = typing.Mapping[str, tuple[str, ...]]


class MalformedSuspects(ValueError):
    """Raised for a stored row that cannot be decoded."""


@dataclasses.dataclass(frozen=True)
class Suspects:
    """The crashed incarnations of what is refused, by fingerprint."""

    requests: LossesByFingerprint
    parts: LossesByFingerprint


NONE = Suspects({}, {})


def select(
    requests: typing.Iterable[suspicion.SuspectReport],
    parts: typing.Iterable[suspicion.SuspectReport],
) -> Suspects:
    """Return what is to be stored of the refused requests and parts."""
    return Suspects(_latest(requests), _latest(parts))


def _latest(
    reports: typing.Iterable[suspicion.SuspectReport],
) -> LossesByFingerprint:
    latest = sorted(reports, key=lambda report: report.age_ms)[:MAX_STORED]
    return {
        report.fingerprint: report.losses[:MAX_LOSSES] for report in latest
    }


def encode(suspects: Suspects, store_clock_ms: int) -> dict[str, typing.Any]:
    """Return the row's fields; older builds read those of the parts."""
    return {
        "at_ms": store_clock_ms,
        "parts": {part: list(x) for part, x in suspects.parts.items()},
        "requests": {
            request: list(x) for request, x in suspects.requests.items()
        },
    }


def decode(
    value: bytes, store_clock_ms: int | None
) -> tuple[list[suspicion.SuspectReport], list[suspicion.SuspectReport]]:
    """Return the reports of requests and of parts in a stored row.

    Older builds store no requests.  Raises MalformedSuspects.
    """
    try:
        fields = orjson.loads(value)
        age_ms = max(0, (store_clock_ms or 0) - int(fields["at_ms"]))
        return (
            _reports(fields.get("requests", {}), age_ms),
            _reports(fields["parts"], age_ms),
        )
    except (ValueError, TypeError, KeyError, AttributeError) as error:
        raise MalformedSuspects(repr(error)) from error


def _reports(
    losses_by_fingerprint: typing.Mapping[typing.Any, typing.Any], age_ms: int
) -> list[suspicion.SuspectReport]:
    return [
        suspicion.SuspectReport(
            str(fingerprint), tuple(map(str, incarnations)), age_ms
        )
        for fingerprint, incarnations in losses_by_fingerprint.items()
    ]
