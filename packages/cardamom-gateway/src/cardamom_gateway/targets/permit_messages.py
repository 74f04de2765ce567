"""Messages between senders and owners about permits for targets."""

import dataclasses
import typing

from cardamom_policy import cold_starts
from cardamom_policy import room


@dataclasses.dataclass(frozen=True)
class PermitRequest:
    """A request for a permit, with the limit as the sender knows it.

    ``permit`` is unique over all instances.  ``rate_per_s`` is None for a
    target without a limited rate; requests in flight are counted for one that
    ``is_brittle``.  The permit then expires after ``expires_in_ms``.  A cold
    target has the bound of ``cold_rate_per_s`` and ``cold_burst``.
    """

    incarnation: str
    permit: str
    rate_per_s: float | None
    is_brittle: bool
    slots: int
    is_urgent: bool
    expires_in_ms: int
    cold_rate_per_s: float | None = None
    cold_burst: float | None = None

    @property
    def sender(self) -> str:
        """Return the instance that asks."""
        return self.permit.rpartition("-")[0]

    @property
    def cold(self) -> cold_starts.ColdBound | None:
        """Return the bound of a cold target, None for a warm one."""
        if self.cold_rate_per_s is None or self.cold_burst is None:
            return None
        return cold_starts.ColdBound(self.cold_rate_per_s, self.cold_burst)

    def fields(self) -> dict[str, typing.Any]:
        """Return the fields of a message.

        Earlier builds don't know those of cold targets, so they are left out
        for warm ones.
        """
        return {
            name: value
            for name, value in dataclasses.asdict(self).items()
            if value is not None or not name.startswith("cold_")
        }


@dataclasses.dataclass(frozen=True)
class PermitEnd:
    """The end of a request with a permit, which the target may reject."""

    incarnation: str
    permit: str
    was_rejected: bool


def decode_count(fields: dict[str, typing.Any]) -> room.Count:
    """Decode the count of a target.

    Raises KeyError, TypeError or ValueError if it is malformed.
    """
    return room.Count(
        slots=int(fields["slots"]),
        bound=int(fields["bound"]),
        unchanged_ms=int(fields["unchanged_ms"]),
        in_flight=[
            (str(permit), int(expires_in_ms), int(others))
            for permit, expires_in_ms, others in fields["in_flight"]
        ],
        uncounted={
            str(sender): int(running)
            for sender, running in dict(fields["uncounted"]).items()
        },
    )
