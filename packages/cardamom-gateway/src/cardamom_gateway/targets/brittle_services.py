"""Services whose targets have stated that they are brittle.

The targets of a service turn brittle together.  One that has just started
can't say so before its first answer, when it may have rejected too many
requests already, so that it counts as brittle while others of its service do.
"""

import collections

from cardamom_kernel import clocks

from cardamom_gateway import model

# Longer than a target is down after it has failed.
RETENTION_MS = 30_000


class BrittleServices:
    """When a target of each service last stated that it is brittle."""

    def __init__(self) -> None:
        self._stated_ms: collections.defaultdict[model.ServiceId, int] = (
            collections.defaultdict(lambda: clocks.NEVER_MS)
        )

    def note_stated(self, service: model.ServiceId, at_ms: int) -> None:
        """Record that a target of a service has stated that it is brittle."""
        self._stated_ms[service] = max(self._stated_ms[service], at_ms)

    def is_brittle(self, service: model.ServiceId, now_ms: int) -> bool:
        """Return whether a target that hasn't answered counts as brittle."""
        return now_ms - self._stated_ms[service] <= RETENTION_MS
